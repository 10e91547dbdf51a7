/**
 * 2000 small tasks of 50 jobs run on one worker and end together, just after the node that owns the cell was killed. Its successor
 * reads the worker's list of ends, of which an answer holds 500.
 */
import { configurationOf } from '../lib/cell.mjs'
import { TROUBLE, findStartsAfterDone, runCase } from '../lib/case.mjs'
import { wait } from '../lib/store.mjs'

const JOBS = 50
const TASKS = 40
const RUN_MS = 9000
const SUBMIT_INTERVAL_MS = 100
const RERUN_MS = 1000
const KILL_BEFORE_END_MS = 100

await runCase(async (cell) => {
  await cell.prepare(3)
  cell.configure(configurationOf(7))
  let firstStartMs
  await cell.addWorker({
    id: 'worker-1',
    service: 'service-a',
    capacity: { cpu: 128_000, memMb: 524_288, gpu: 8 },
    labels: ['a', 'r1-1'],
    plan: (task, run) => {
      firstStartMs ??= performance.now()
      return { ms: run === 1 ? firstStartMs + RUN_MS - performance.now() : RERUN_MS, how: 'done' }
    }
  })
  if (!await cell.waitForNodes(20_000)) return undefined
  if (!await cell.waitFor(() => cell.owner() !== undefined, 10_000)) return undefined
  await wait(1500)
  const jobs = Array.from({ length: JOBS }, (_, index) => (0xa000000000000000n + BigInt(index)).toString(16))
  const job = { spec: 'small', steps: [{ count: TASKS, cpu: 60, memMb: 250, estimateMs: RUN_MS }] }
  for (const id of jobs) {
    if (!await cell.submit(`/queue-a/${id}`, job)) return undefined
    await wait(SUBMIT_INTERVAL_MS)
  }
  const [worker] = cell.workers
  if (!await cell.waitFor(() => worker.running.size === JOBS * TASKS, 2000)) return undefined
  await wait(firstStartMs + RUN_MS - KILL_BEFORE_END_MS - performance.now())
  if (TROUBLE) cell.signal(cell.owner(), 'SIGKILL')
  await cell.waitFor(() => worker.ended.length > 0, 5000)
  cell.record('ends listed', { count: worker.ended.length })
  await cell.waitFor(() => worker.ended.length === 0 && worker.running.size === 0, 15_000)
  await wait(3000)
  for (const id of jobs) await cell.send(cell.nodes[2], 'GET', `/queue-a/${id}`)
  return findStartsAfterDone(cell.events)
})
