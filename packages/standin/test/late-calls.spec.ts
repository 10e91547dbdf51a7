/**
 * Tests what a call changes that a worker carries out after it has restarted under its id.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { TaskState, WorkerFailure, type Adoption, type TaskReport } from '@fireflymount/service-clients/worker'
import { RemoteWorker } from '@fireflymount/service-clients/worker-client'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { Call, Event, WorkerControl } from '@fireflymount/standin/test-control'
import { afterAll, afterEach, beforeAll, beforeEach, expect, test } from 'vitest'
import { startWorkers, stop, type Standin } from './process.js'

const TIMEOUT_MS = 250
const PATIENT_TIMEOUT_MS = 5000
/** Delay before a late call takes effect: the client has given it up and the worker has restarted by then. */
const LATE_MS = 600
const FOREVER_MS = 1e9
const LEASE_MS = 200
const SIZE = { cpuMilli: 1_000, memoryMb: 100, accelerators: 0 }
const OWNER: Epoch = { counter: 1, node: 'node-a' }

let standin: Standin<readonly { id: string, address: string }[]>
let control: WorkerControl
/** Sends the late calls. */
let worker: RemoteWorker
/** Sends all others, also on a busy machine. */
let patientWorker: RemoteWorker
let adoption: Adoption

beforeAll(async () => {
  standin = await startWorkers('--id', 'bee', '--usage-lag-ms', '0')
  control = new WorkerControl(standin.listening[0]?.address ?? '')
})

beforeEach(async () => {
  await control.restart()
  worker = new RemoteWorker({ address: standin.listening[0]?.address ?? '', timeoutMs: TIMEOUT_MS })
  patientWorker = new RemoteWorker({ address: standin.listening[0]?.address ?? '', timeoutMs: PATIENT_TIMEOUT_MS })
  await adopt()
})

afterEach(async () => {
  await control.clearFaults()
  await worker.close()
  await patientWorker.close()
})

afterAll(async () => {
  await stop(standin.child)
})

/** Adopts the worker's incarnation, and returns the worker's clock. */
async function adopt (): Promise<number> {
  const report = (await patientWorker.adopt(OWNER, 0))._unsafeUnwrap()
  adoption = { epoch: OWNER, boot: report.boot }
  return report.clockMs
}

async function start (untilMs: number, body: unknown = {}): Promise<void> {
  const started = await patientWorker.start(adoption, { id: 't', attempt: 1, team: 'guild', kind: 'render', size: SIZE, body }, untilMs)
  started._unsafeUnwrap()
}

/** Returns the reports of the worker's tasks. */
async function reports (): Promise<readonly TaskReport[]> {
  return (await patientWorker.adopt(OWNER, 0))._unsafeUnwrap().tasks
}

interface Case {
  readonly title: string
  readonly call: Call
  readonly send: () => Promise<{ isErr: () => boolean }>
  /** What the owner does after it has adopted the new incarnation, whose clock then shows `clockMs`. */
  readonly play: (clockMs: number) => Promise<void>
  /** States of the tasks that the new incarnation reports afterwards. */
  readonly states: readonly TaskState[]
}

const TASK = { id: 't', attempt: 1, team: 'guild', kind: 'render', size: SIZE, body: {} }

// Guards against a task that runs twice: a call that was meant for a former incarnation of the worker starts, keeps alive, stops or
// acknowledges a run of the present one, which the same owner has adopted under the same epoch.
test.each<Case>([
  {
    title: 'a start starts nothing',
    call: Call.Start,
    send: () => worker.start(adoption, TASK, FOREVER_MS),
    play: async () => {},
    states: []
  },
  {
    title: 'a renewal extends no lease',
    call: Call.Renew,
    send: () => worker.renew(adoption, FOREVER_MS, [], 0),
    play: (clockMs) => start(clockMs + LATE_MS + LEASE_MS),
    states: [TaskState.LeaseExpired]
  },
  {
    title: 'a renewal acknowledges no end',
    call: Call.Renew,
    send: () => worker.renew(adoption, 0, ['t/1'], 0),
    play: () => start(FOREVER_MS, { runMs: 1 }),
    states: [TaskState.Succeeded]
  },
  {
    title: 'a stop stops nothing',
    call: Call.Stop,
    send: () => worker.stop(adoption, 't', 1, false),
    play: () => start(FOREVER_MS),
    states: [TaskState.Running]
  },
  {
    title: 'a request does not run',
    call: Call.Request,
    send: () => worker.request(adoption, { id: 'r', team: 'guild', kind: 'preview', size: SIZE, body: { workMs: 10_000 } }, TIMEOUT_MS),
    play: async () => {},
    states: []
  }
])('of a worker that has restarted since it was sent, $title', async ({ call, send, play, states }) => {
  await control.injectFault({ command: call, slowMs: LATE_MS })
  const sent = send()
  await sleep(TIMEOUT_MS / 2)
  await control.restart()
  await control.clearFaults()
  await play(await adopt())
  expect(await sent).toMatchObject({ error: { failure: WorkerFailure.Unknown } })
  await sleep(LATE_MS + LEASE_MS)
  expect((await reports()).map(({ state }) => state)).toEqual(states)
})

// Guards against a throttled task of a new incarnation, which the owner does not know to be throttled.
test('of a worker that has restarted since it was sent, a throttle limits nothing', async () => {
  await control.injectFault({ command: Call.Throttle, slowMs: LATE_MS })
  const sent = worker.throttle(adoption, 't', 1)
  await sleep(TIMEOUT_MS / 2)
  await control.restart()
  await control.clearFaults()
  await adopt()
  await start(FOREVER_MS)
  await sent
  await sleep(LATE_MS)
  expect((await reports())[0]?.usage).toEqual(SIZE)
  expect((await control.readEvents()).filter(({ event }) => event === Event.Start)).not.toEqual([])
})

// Guards against a run that ends as stopped although nobody stopped it, which cancels a job that may not run twice.
test('a stop that is carried out after its run has ended does not stop the next run of the task', async () => {
  await start(FOREVER_MS, { runMs: 1 })
  await control.injectFault({ command: Call.Stop, slowMs: LATE_MS })
  const sent = worker.stop(adoption, 't', 1, false)
  await sleep(TIMEOUT_MS / 2)
  await control.clearFaults()
  ;(await patientWorker.renew(adoption, FOREVER_MS, ['t/1'], 0))._unsafeUnwrap()
  ;(await patientWorker.start(adoption, { ...TASK, attempt: 2 }, FOREVER_MS))._unsafeUnwrap()
  expect(await sent).toMatchObject({ error: { failure: WorkerFailure.Unknown } })
  await sleep(LATE_MS)
  expect((await reports()).map(({ attempt, state }) => [attempt, state])).toEqual([[2, TaskState.Running]])
})

test('a renewal that is carried out after the next run of a task has ended acknowledges only the end that it names', async () => {
  await start(FOREVER_MS, { runMs: 1 })
  await control.injectFault({ command: Call.Renew, slowMs: LATE_MS })
  const sent = worker.renew(adoption, FOREVER_MS, ['t/1'], 0)
  await sleep(TIMEOUT_MS / 2)
  await control.clearFaults()
  ;(await patientWorker.renew(adoption, FOREVER_MS, ['t/1'], 0))._unsafeUnwrap()
  ;(await patientWorker.start(adoption, { ...TASK, attempt: 2, body: { runMs: 1 } }, FOREVER_MS))._unsafeUnwrap()
  expect(await sent).toMatchObject({ error: { failure: WorkerFailure.Unknown } })
  await sleep(LATE_MS)
  expect((await reports()).map(({ attempt, state }) => [attempt, state])).toEqual([[2, TaskState.Succeeded]])
})
