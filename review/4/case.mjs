/**
 * A queue allows four attempts. Its route is removed for some seconds while a job runs whose first three runs fail, and comes back
 * with the same settings. The fourth run would complete.
 */
import { configurationOf, routeOf } from '../lib/cell.mjs'
import { TROUBLE, runCase } from '../lib/case.mjs'
import { wait } from '../lib/store.mjs'

const ATTEMPTS = 4
const RUN_MS = 2500
const JOB = 'b000000000000001'
const QUEUE = routeOf({ maxAttempts: ATTEMPTS })
const OTHER_QUEUE = routeOf({ name: 'queue-b', pathPrefix: '/queue-b/', maxAttempts: ATTEMPTS })

await runCase(async (cell) => {
  await cell.prepare(3)
  cell.configure(configurationOf(7, {}, [QUEUE, OTHER_QUEUE]))
  const [worker] = [await cell.addWorker({
    id: 'worker-1',
    service: 'service-a',
    capacity: { cpu: 16_000, memMb: 32_768, gpu: 0 },
    labels: ['a', 'r1-1'],
    plan: (_, run) => ({ ms: RUN_MS, how: run < ATTEMPTS ? 'failed' : 'done' })
  })]
  if (!await cell.waitForNodes(20_000)) return undefined
  if (!await cell.waitFor(() => cell.owner() !== undefined, 10_000)) return undefined
  await wait(1500)
  const job = { spec: 'one task', steps: [{ count: 1, cpu: 1500, memMb: 1024, estimateMs: RUN_MS }] }
  if (!await cell.submit(`/queue-a/${JOB}`, job)) return undefined
  const runIs = (run) => worker.running.get(`${JOB}.0.0.0`)?.run === run
  if (!await cell.waitFor(() => runIs(3), 20_000)) return undefined
  if (TROUBLE) cell.configure(configurationOf(11, {}, [OTHER_QUEUE]))
  await cell.waitFor(() => !runIs(3), 10_000)
  await wait(2500)
  if (TROUBLE) cell.configure(configurationOf(16, {}, [QUEUE, OTHER_QUEUE]))
  const breaches = []
  let state
  for (let poll = 0; poll < 24 && state !== 'completed' && state !== 'failed'; poll++) {
    await wait(500)
    const { status, text } = await cell.send(cell.nodes[poll % 3], 'GET', `/queue-a/${JOB}`)
    if (status === 200) state = JSON.parse(text).state
  }
  const failed = cell.events.filter(({ event, how }) => event === 'run ended' && how === 'failed').length
  const started = cell.events.filter(({ event }) => event === 'run started').length
  cell.record('job at the end', { state, failed, started, attempts: ATTEMPTS })
  if (state === 'failed' && failed < ATTEMPTS) breaches.push({ job: JOB, state, failedRuns: failed, maxAttempts: ATTEMPTS })
  return breaches
})
