/**
 * Tests the injected faults of a worker, and how its client handles them.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { WorkerFailure, type Adoption } from '@fireflymount/service-clients/worker'
import { RemoteWorker } from '@fireflymount/service-clients/worker-client'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { Call, Event, WorkerControl, type EventEntry, type WorkerFault } from '@fireflymount/standin/test-control'
import { afterAll, afterEach, beforeAll, beforeEach, expect, test } from 'vitest'
import { startWorkers, stop, type Standin } from './process.js'

const TIMEOUT_MS = 250

const FOREVER_MS = 1e9

const SIZE = { cpuMilli: 100, memoryMb: 100, accelerators: 0 }

const OWNER: Epoch = { counter: 1, node: 'node-a' }

let standin: Standin<readonly { id: string, address: string }[]>
let address: string
let control: WorkerControl
let worker: RemoteWorker
/** The worker's incarnation in the current test. */
let boot: string
let firstEntry: number

beforeAll(async () => {
  standin = await startWorkers('--id', 'bee', '--count', '2')
  address = standin.listening[0]?.address ?? ''
  control = new WorkerControl(address)
})

beforeEach(async () => {
  await control.restart()
  worker = new RemoteWorker({ address, timeoutMs: TIMEOUT_MS })
  boot = (await worker.adopt(OWNER, FOREVER_MS))._unsafeUnwrap().boot
  firstEntry = (await control.readEvents()).length
})

afterEach(async () => {
  await control.clearFaults()
  await worker.close()
})

afterAll(async () => {
  await stop(standin.child)
})

function under (epoch: Epoch): Adoption {
  return { epoch, boot }
}

async function startTask (id = 't', body: unknown = {}): Promise<WorkerFailure | undefined> {
  const task = { id, attempt: 1, team: 'guild', kind: 'render', size: SIZE, body }
  const started = await worker.start(under(OWNER), task, FOREVER_MS)
  return started.isErr() ? started.error.failure : undefined
}

async function sendRequest (id = 'r', client = worker): Promise<unknown> {
  const request = { id, team: 'guild', kind: 'preview', size: SIZE, body: { echo: id } }
  const response = await client.request(under(OWNER), request, TIMEOUT_MS)
  return response.isErr() ? response.error.failure : response.value
}

async function startEntries (): Promise<EventEntry[]> {
  const entries = await control.readEvents(firstEntry)
  return entries.filter((entry) => entry.event === Event.Start || entry.event === Event.RequestStart)
}

test('each worker of one process has its own address and its own event history', async () => {
  expect(standin.listening.map(({ id }) => id)).toEqual(['bee-1', 'bee-2'])
  await startTask()
  const other = await new WorkerControl(standin.listening[1]?.address ?? '').readEvents()
  expect(other.map(({ worker, event }) => [worker, event])).toEqual([['bee-2', Event.Boot]])
})

interface Case {
  readonly behaviour: string
  readonly fault: WorkerFault
  readonly failure: WorkerFailure
  /** Whether the call took effect. */
  readonly effect: boolean
}

const commonCases: Case[] = [
  { behaviour: 'whose response is lost after the effect', fault: { lostAnswers: 1 }, failure: WorkerFailure.Unknown, effect: true },
  { behaviour: 'whose response is cut off after half of its body', fault: { halfAnswers: 1 }, failure: WorkerFailure.Unknown, effect: true },
  { behaviour: 'whose response is later than the timeout', fault: { lateMs: 400 }, failure: WorkerFailure.Unknown, effect: true },
  { behaviour: 'on a dead worker', fault: { dead: true }, failure: WorkerFailure.Unknown, effect: false },
  { behaviour: 'on a frozen worker', fault: { freeze: true }, failure: WorkerFailure.Unknown, effect: false }
]

test.each(commonCases)('a start $behaviour fails as $failure', async ({ fault, failure, effect }) => {
  await control.injectFault(fault)
  expect(await startTask()).toBe(failure)
  expect(await startEntries()).toHaveLength(effect ? 1 : 0)
})

test.each([
  ...commonCases,
  { behaviour: 'that receives the response to another request', fault: { crossedAnswers: 1 }, failure: WorkerFailure.Unknown, effect: true },
  { behaviour: 'on a worker on which everything fails', fault: { failAll: true }, failure: WorkerFailure.Failed, effect: true }
])('a request $behaviour fails as $failure', async ({ behaviour, fault, failure, effect }) => {
  await control.injectFault(fault)
  expect(await sendRequest(behaviour)).toBe(failure)
  expect(await startEntries()).toHaveLength(effect ? 1 : 0)
})

test('a counted fault stops after its count, and a fault limited to one kind of call does not affect the others', async () => {
  await control.injectFault({ command: Call.Request, lostAnswers: 1 })
  expect(await startTask()).toBeUndefined()
  expect(await sendRequest('r1')).toBe(WorkerFailure.Unknown)
  expect(await sendRequest('r2')).toEqual({ echo: 'r2', worker: 'bee-1' })
})

test('a command to a slow worker takes effect late, and the client does not wait beyond its timeout', async () => {
  await control.injectFault({ command: Call.Start, slowMs: 400 })
  expect(await startTask()).toBe(WorkerFailure.Unknown)
  expect(await startEntries()).toHaveLength(0)
  await sleep(250)
  expect(await startEntries()).toHaveLength(1)
})

test('on a worker on which everything fails, tasks fail', async () => {
  await control.injectFault({ failAll: true })
  expect(await startTask()).toBeUndefined()
  const report = (await worker.renew(under(OWNER), FOREVER_MS, [], 1_000))._unsafeUnwrap()
  expect(report.tasks).toMatchObject([{ id: 't', state: 'failed' }])
})

test('leases expire on a frozen worker, and pending commands take effect once it is thawed', async () => {
  const clockMs = (await worker.renew(under(OWNER), 0, [], 0))._unsafeUnwrap().clockMs
  const leased = { id: 'leased', attempt: 1, team: 'guild', kind: 'render', size: SIZE, body: {} }
  await worker.start(under(OWNER), leased, clockMs + 100)
  await control.injectFault({ freeze: true })
  expect(await startTask('waiting')).toBe(WorkerFailure.Unknown)
  const frozen = await control.readEvents(firstEntry)
  expect(frozen.filter(({ event }) => event === Event.Expire)).toMatchObject([{ task: 'leased' }])
  await control.injectFault({ freeze: false })
  await sleep(50)
  expect((await startEntries()).map(({ task }) => task)).toEqual(['leased', 'waiting'])
})

test('a dead worker loses everything that runs', async () => {
  await startTask()
  await control.injectFault({ dead: true })
  const entries = await control.readEvents(firstEntry)
  expect(entries.filter(({ event }) => event === Event.Lost)).toMatchObject([{ task: 't' }])
})

test('a command to a worker that is not running is never sent', async () => {
  const other = await startWorkers('--id', 'gone')
  await stop(other.child)
  const gone = new RemoteWorker({ address: other.listening[0]?.address ?? '' })
  expect((await gone.adopt(OWNER, 0))._unsafeUnwrapErr().failure).toBe(WorkerFailure.Unreachable)
  expect(await sendRequest('r', gone)).toBe(WorkerFailure.Unreachable)
  await gone.close()
})

test('a request that finds no free connection before its deadline is never sent', async () => {
  const narrow = new RemoteWorker({ address, requestConnections: 1 })
  const request = { id: 'long', team: 'guild', kind: 'preview', size: SIZE, body: { workMs: 400 } }
  const long = narrow.request(under(OWNER), request, 1_000)
  expect(await sendRequest('waiting', narrow)).toBe(WorkerFailure.Unreachable)
  expect((await long).isOk()).toBe(true)
  expect((await startEntries()).map(({ task }) => task)).toEqual(['long'])
  await narrow.close()
})

test('a request on a connection that does not respond fails, and no later request uses such a connection', async () => {
  const before = ['r1', 'r2', 'r3', 'r4']
  const after = ['r6', 'r7', 'r8', 'r9']
  await Promise.all(before.map((id) => sendRequest(id)))
  await control.stallConnections()
  expect(await sendRequest('r5')).toBe(WorkerFailure.Unknown)
  const responses = await Promise.all(after.map((id) => sendRequest(id)))
  expect(responses).toEqual(after.map((echo) => ({ echo, worker: 'bee-1' })))
  expect((await startEntries()).map(({ task }) => task).sort()).toEqual([...before, ...after])
})

test('after a renewal without a response, requests use new connections', async () => {
  await sendRequest('r1')
  const renewal = worker.renew(under(OWNER), FOREVER_MS, [], 50)
  await control.stallConnections()
  expect((await renewal)._unsafeUnwrapErr().failure).toBe(WorkerFailure.Unknown)
  expect(await sendRequest('r2')).toEqual({ echo: 'r2', worker: 'bee-1' })
  expect(await startTask()).toBeUndefined()
})

test('a held renewal does not delay other commands and requests', async () => {
  const renewal = worker.renew(under(OWNER), FOREVER_MS, [], 1_000)
  const startMs = performance.now()
  expect(await sendRequest()).toEqual({ echo: 'r', worker: 'bee-1' })
  expect(await startTask('t', { runMs: 1 })).toBeUndefined()
  expect(performance.now() - startMs).toBeLessThan(500)
  expect((await renewal).isOk()).toBe(true)
})

test('a worker accepts 64 connections, and closes further ones', async () => {
  // One of the 64 connections is that of `worker`, so 3 of the 66 clients fail.
  const clients = Array.from({ length: 66 }, () => new RemoteWorker({ address, requestConnections: 1, timeoutMs: 1_000 }))
  const failures: WorkerFailure[] = []
  for (const client of clients) {
    const adopted = await client.adopt(OWNER, 0)
    if (adopted.isErr()) failures.push(adopted.error.failure)
  }
  expect(failures).toEqual([WorkerFailure.Unknown, WorkerFailure.Unknown, WorkerFailure.Unknown])
  for (const client of clients) await client.close()
})

test('the bytes of commands and of requests are counted separately', async () => {
  const before = worker.traffic()
  await sendRequest()
  expect(worker.traffic()).toEqual(before)
  expect(worker.requestTraffic().sent).toBeGreaterThan(100)
  await startTask()
  expect(worker.traffic().sent).toBeGreaterThan(before.sent)
})
