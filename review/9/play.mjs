/**
 * An order to start a task gets no answer and is carried out late. Before that, its worker has crashed and started again under its id.
 */
import { dirname, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { KEY, routeOf, runCase, sleep } from '../lib-2/cell.mjs'
import { findDoubleRuns, runsOf } from '../lib-2/judge.mjs'

const SERVICE = 'bee-planner'
const CAPACITY = { cpu: 16000, memMb: 32768, gpu: 0 }
const WORKERS = 8
const JOB = '00000000000000e1'
const WORK_MS = 200
/** One order of 20 and one worker of 8: below the largest doses of `applied_late` (0.055) and `srv_crash` (0.14) on kasuri-grid. */
const TASKS = 20
const CRASH_AFTER_MS = 4000
const DOWN_MS = 1000

const folder = dirname(fileURLToPath(import.meta.url))

await runCase({ folder, root: resolve(folder, '../..') }, async (cell, isTroubled) => {
  const config = {
    version: 7,
    routes: [routeOf('r-1', '/preview/', SERVICE)],
    services: [{ name: SERVICE, admissionCheck: false }],
    tenants: [{ name: 'guild', apiKeys: [KEY], weight: 0, upperLimit: { cpu: 0, memMb: 0, gpu: 0 } }],
    limits: { maxBodyBytes: 262144 }
  }
  await cell.start(config, Array.from({ length: WORKERS }, () => ({ service: SERVICE, capacity: CAPACITY })))
  await sleep(4000)
  let late
  if (isTroubled) {
    for (const worker of cell.workers) {
      worker.fault = (url, body) => {
        if (late !== undefined || url !== '/api/run-start') return undefined
        late = { worker, body }
        cell.record(`${worker.id} leaves the order to start ${body.task} run ${body.runId} unanswered`)
        return 'silent'
      }
    }
  }
  const body = { spec: JSON.stringify({ ms: WORK_MS }), steps: [{ count: TASKS, cpu: 2000, memMb: 100, estimateMs: WORK_MS }] }
  await cell.ask(0, 'POST', `/preview/${JOB}`, body)
  await sleep(CRASH_AFTER_MS)
  if (isTroubled) {
    const { worker, body: order } = late
    await worker.crash()
    cell.record(`${worker.id} has crashed`)
    await sleep(DOWN_MS)
    // The order that was under way reaches the worker as soon as it accepts connections again.
    await worker.startAgain()
    worker.carryOut('/api/run-start', order)
    cell.record(`${worker.id} has started again under its id, and the late order has reached it`)
  }
  await sleep(WORK_MS + 6000)
  const asked = await cell.ask(1, 'GET', `/preview/${JOB}`)
  if (cell.stateOf(asked) !== 'completed') cell.record('the job is not shown as completed')
  for (const { task, run, worker, startMs, endMs, how } of runsOf(cell.events)) {
    cell.record(`seen: ${task} run ${run} on ${worker}, ${startMs} to ${endMs} ${how}`)
  }
  return findDoubleRuns(cell.events)
})
