/**
 * A client hands in one job of many small tasks. All of them fit on the workers at the same time.
 */
import { dirname, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { KEY, routeOf, runCase, sleep } from '../lib-2/cell.mjs'
import { runsOf } from '../lib-2/judge.mjs'

const SERVICE = 'cloth-studio'
const CAPACITY = { cpu: 64000, memMb: 262144, gpu: 0 }
const WORKERS = 24
const LARGE = 'b000000000000001'
const TASKS = Number(process.env.TASKS ?? 100_000)
const TASKS_IN_CALM = 60
const TASK_CPU = 10
const TRAFFIC_MS = 60_000
const FINISH_MS = 14_000
const ANSWER_MS = 3000
const RESTART_MS = 500
/** Part of LOST: for 3 s a job has nothing running while a task's turn has come. */
const STALL_MS = 3000

const folder = dirname(fileURLToPath(import.meta.url))

await runCase({ folder, root: resolve(folder, '../..') }, async (cell, isTroubled) => {
  const config = {
    version: 7,
    routes: [routeOf('r-1', '/preview/', SERVICE), routeOf('r-2', '/match/', SERVICE)],
    services: [{ name: SERVICE, admissionCheck: false }],
    tenants: [{ name: 'guild', apiKeys: [KEY], weight: 0, upperLimit: { cpu: 0, memMb: 0, gpu: 0 } }],
    limits: { maxBodyBytes: 262144 }
  }
  cell.isTraced = (task) => !task.startsWith(LARGE)
  await cell.start(config, Array.from({ length: WORKERS }, () => ({ service: SERVICE, capacity: CAPACITY })))
  await sleep(3000)
  const ends = cell.nodes.map(() => 0)
  let latenessMs = 0
  let expectedMs = performance.now()
  const watch = setInterval(() => {
    const nowMs = performance.now()
    latenessMs = Math.max(latenessMs, nowMs - expectedMs)
    expectedMs = nowMs + 100
    for (const { index, ended } of cell.nodes) {
      if (ended === undefined || ended.isCounted) continue
      ended.isCounted = true
      ends[index]++
      // The platform starts a process that has ended again after a short delay.
      setTimeout(() => { cell.startNode(index, false) }, RESTART_MS)
    }
  }, 100)
  const plain = { spec: '{"ms":400}', steps: [{ count: 2, cpu: 500, memMb: 100, estimateMs: 400 }] }
  const accepted = []
  let isLargeAccepted = false
  const count = isTroubled ? TASKS : TASKS_IN_CALM
  const large = { spec: '{"ms":2000}', steps: [{ count, cpu: TASK_CPU, memMb: 16, estimateMs: 2000 }] }
  const endMs = cell.atMs + TRAFFIC_MS
  for (let number = 0; cell.atMs < endMs; number++) {
    if (number === 2) isLargeAccepted = (await cell.ask(0, 'POST', `/match/${LARGE}`, large)).status === 200
    const id = `00000000000001${number.toString(16).padStart(2, '0')}`
    const { status } = await cell.ask(number % cell.nodeCount, 'POST', `/preview/${id}`, plain)
    if (status === 200) accepted.push(id)
    await sleep(1000)
  }
  cell.record(`end of the traffic; ${accepted.length} plain jobs were accepted`)
  await sleep(FINISH_MS)
  const fromMs = cell.atMs
  const unanswered = []
  const unfinished = []
  await Promise.all(accepted.map(async (id) => {
    const asked = await Promise.all(cell.nodes.map(({ index }) => cell.ask(index, 'GET', `/preview/${id}`, undefined, ANSWER_MS)))
    const states = asked.map((each) => cell.stateOf(each)).filter((state) => state !== undefined)
    if (states.length === 0) unanswered.push(id)
    else if (!states.includes('completed')) unfinished.push(id)
  }))
  await sleep(Math.max(0, fromMs + STALL_MS - cell.atMs))
  const toMs = cell.atMs
  const runs = runsOf(cell.events)
  const busy = runs.filter(({ startMs, endMs }) => startMs <= toMs && endMs >= fromMs)
  // The last part of LOST holds while under half of the capacity is in use.
  const isHalfFree = busy.length * TASK_CPU < WORKERS * CAPACITY.cpu / 2
  clearInterval(watch)
  cell.record(`processes that ended by themselves, by node: ${ends.join(' ')}; the stand-ins were at most ${Math.round(latenessMs)} ms late`)
  const breaches = []
  if (ends.some((count) => count > 0)) breaches.push(`Fault: processes ended by themselves: ${ends.join(' ')} times, by node`)
  if (unanswered.length > 0) breaches.push(`LOST: no node answers for accepted jobs, asked ${FINISH_MS} ms after the traffic: ${unanswered.join(' ')}`)
  for (const id of isHalfFree ? unfinished : []) {
    if (busy.some(({ task }) => task.startsWith(id))) continue
    breaches.push(`LOST: accepted job ${id} has had nothing running from ${fromMs} to ${toMs} and is not completed; ${busy.length} tasks ran on all workers`)
  }
  const done = new Set(runs.filter(({ how }) => how === 'done').map(({ task }) => task)).size
  const isStalled = isHalfFree && isLargeAccepted && done < count && !busy.some(({ task }) => task.startsWith(LARGE))
  cell.record(`${runs.length} runs, ${done} tasks done`)
  if (isStalled) {
    breaches.push(`LOST: the large job has had nothing running from ${fromMs} to ${toMs}, with ${busy.length} tasks on all workers and most of its tasks not done`)
  }
  return breaches
})
