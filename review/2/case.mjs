/**
 * A gang of two is placed while one of the workers refuses starts as unhealthy: the other member is ordered to stop. The node that
 * owns the cell is stopped for a planned restart at that moment.
 */
import { configurationOf } from '../lib/cell.mjs'
import { TROUBLE, findParallelRuns, runCase } from '../lib/case.mjs'
import { wait } from '../lib/store.mjs'

const WORKERS = 10
const RUN_MS = 2500
const STOP_MS = 800
const UNHEALTHY_MS = 5000
const STOP_ORDER_DELAY_MS = 100
const JOB = 'c000000000000001'

await runCase(async (cell) => {
  await cell.prepare(3, { stopMs: 900, farX: 3 })
  cell.configure(configurationOf(7))
  // The worker that is the first to be told to start a task is unhealthy for UNHEALTHY_MS from then on.
  let unhealthy
  let refusedAtMs
  const plan = (task, run) => ({ ms: membersOf(cell, task, run) < 2 ? Infinity : RUN_MS, how: 'done' })
  for (let index = 1; index <= WORKERS; index++) {
    const id = `worker-${index}`
    await cell.addWorker({
      id,
      service: 'service-a',
      capacity: { cpu: 128_000, memMb: 524_288, gpu: 8 },
      labels: ['a', `r1-${Math.ceil(index / 3)}`],
      stopMs: STOP_MS,
      plan,
      onEnd: (task, run, how) => { breakGang(cell, task, run, how) },
      refuse: () => {
        if (!TROUBLE) return undefined
        unhealthy ??= id
        refusedAtMs ??= performance.now()
        return id === unhealthy && performance.now() - refusedAtMs < UNHEALTHY_MS ? 503 : undefined
      }
    })
  }
  if (!await cell.waitForNodes(20_000)) return undefined
  if (!await cell.waitFor(() => cell.owner() !== undefined, 10_000)) return undefined
  await wait(1500)
  const job = { spec: 'gang', steps: [{ count: 2, cpu: 62_000, memMb: 320_000, gpu: 8, estimateMs: RUN_MS, gang: true }] }
  if (!await cell.submit(`/queue-a/${JOB}`, job)) return undefined
  if (TROUBLE) {
    if (!await cell.waitFor(() => refusedAtMs !== undefined && cell.events.some(({ event }) => event === 'stop ordered'), 10_000)) {
      return undefined
    }
    await wait(STOP_ORDER_DELAY_MS)
    cell.signal(cell.owner(), 'SIGTERM')
  }
  await cell.waitFor(() => cell.events.filter(({ event, how }) => event === 'run ended' && how === 'done').length === 2, 30_000)
  await wait(1500)
  await cell.send(cell.nodes[2], 'GET', `/queue-a/${JOB}`)
  return findParallelRuns(cell.events)
})

/** Returns the number of members of a run of the gang, and lets the run end together once all are there. */
function membersOf (cell, task, run) {
  const present = []
  for (const worker of cell.workers) {
    for (const [name, each] of worker.running) {
      if (each.run === run && !each.stopping) present.push({ worker, name, each })
    }
  }
  if (present.length === 2) {
    for (const { worker, name, each } of present) {
      if (name !== task) each.timer = setTimeout(() => { worker.endRun(name, each, 'done') }, RUN_MS)
    }
  }
  return present.length
}

/** Ends the other member as broken once a member of a run that was complete has ended otherwise. */
function breakGang (cell, task, run, how) {
  if (how === 'done') return
  for (const worker of cell.workers) {
    for (const [name, each] of [...worker.running]) {
      if (name !== task && each.run === run) worker.endRun(name, each, 'broken')
    }
  }
}
