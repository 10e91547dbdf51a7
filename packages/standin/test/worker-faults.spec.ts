/**
 * The faults of a worker, and what its client makes of them.
 */
import { setTimeout as pass } from 'node:timers/promises'
import { WorkerFailure } from '@fireflymount/platform/worker'
import { RemoteWorker } from '@fireflymount/platform/worker-client'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { Command, Event, WorkerControl, type RecordEntry, type WorkerFault } from '@fireflymount/standin/control'
import { afterAll, afterEach, beforeAll, beforeEach, expect, test } from 'vitest'
import { end, startWorkers, type Standin } from './process.js'

const TIMEOUT_MS = 250

const FOREVER_MS = 1e9

const SIZE = { cpuMilli: 100, memoryMb: 100, accelerators: 0 }

const OWNER: Epoch = { counter: 1, node: 'node-a' }

let process: Standin<readonly { id: string, address: string }[]>
let address: string
let control: WorkerControl
let worker: RemoteWorker
let began: number

beforeAll(async () => {
  process = await startWorkers('--id', 'bee', '--count', '2')
  address = process.listening[0]?.address ?? ''
  control = new WorkerControl(address)
})

beforeEach(async () => {
  await control.restart()
  worker = new RemoteWorker({ address, timeoutMs: TIMEOUT_MS })
  await worker.adopt(OWNER, FOREVER_MS)
  began = (await control.record()).length
})

afterEach(async () => {
  await control.mend()
  await worker.close()
})

afterAll(async () => {
  await end(process.child)
})

async function start (id = 't', body: unknown = {}): Promise<WorkerFailure | undefined> {
  const task = { id, attempt: 1, team: 'guild', kind: 'render', size: SIZE, body }
  const started = await worker.start(OWNER, task, FOREVER_MS)
  return started.isErr() ? started.error.failure : undefined
}

async function ask (id = 'r', client = worker): Promise<unknown> {
  const request = { id, team: 'guild', kind: 'preview', size: SIZE, body: { echo: id } }
  const answer = await client.request(OWNER, request, TIMEOUT_MS)
  return answer.isErr() ? answer.error.failure : answer.value
}

async function ran (): Promise<RecordEntry[]> {
  const entries = await control.record(began)
  return entries.filter((entry) => entry.event === Event.Start || entry.event === Event.RequestStart)
}

test('workers of one process have addresses and records of their own', async () => {
  expect(process.listening.map(({ id }) => id)).toEqual(['bee-1', 'bee-2'])
  await start()
  const other = await new WorkerControl(process.listening[1]?.address ?? '').record()
  expect(other.map(({ worker, event }) => [worker, event])).toEqual([['bee-2', Event.Boot]])
})

interface Case {
  readonly behaviour: string
  readonly fault: WorkerFault
  readonly failure: WorkerFailure
  /** Whether the command took effect. */
  readonly effect: boolean
}

const both: Case[] = [
  { behaviour: 'lost after taking effect: unknown', fault: { lostAnswers: 1 }, failure: WorkerFailure.Unknown, effect: true },
  { behaviour: 'broken after half of it: unknown', fault: { halfAnswers: 1 }, failure: WorkerFailure.Unknown, effect: true },
  { behaviour: 'later than the deadline: unknown', fault: { lateMs: 400 }, failure: WorkerFailure.Unknown, effect: true },
  { behaviour: 'from a dead worker: unknown', fault: { dead: true }, failure: WorkerFailure.Unknown, effect: false },
  { behaviour: 'from a frozen worker: unknown', fault: { freeze: true }, failure: WorkerFailure.Unknown, effect: false }
]

test.each(both)('the answer to a start is $behaviour', async ({ fault, failure, effect }) => {
  await control.fault(fault)
  expect(await start()).toBe(failure)
  expect(await ran()).toHaveLength(effect ? 1 : 0)
})

test.each([
  ...both,
  { behaviour: 'crossed with another: unknown', fault: { crossedAnswers: 1 }, failure: WorkerFailure.Unknown, effect: true },
  { behaviour: 'a failure on a worker that fails all', fault: { failAll: true }, failure: WorkerFailure.Failed, effect: true }
])('the answer to a request is $behaviour', async ({ behaviour, fault, failure, effect }) => {
  await control.fault(fault)
  expect(await ask(behaviour)).toBe(failure)
  expect(await ran()).toHaveLength(effect ? 1 : 0)
})

test('a counted fault ends by itself, and a fault of one command leaves the others alone', async () => {
  await control.fault({ command: Command.Request, lostAnswers: 1 })
  expect(await start()).toBeUndefined()
  expect(await ask('r1')).toBe(WorkerFailure.Unknown)
  expect(await ask('r2')).toEqual({ echo: 'r2', worker: 'bee-1' })
})

test('a slow worker takes effect late, and the client does not wait for it', async () => {
  await control.fault({ command: Command.Start, slowMs: 400 })
  expect(await start()).toBe(WorkerFailure.Unknown)
  expect(await ran()).toHaveLength(0)
  await pass(250)
  expect(await ran()).toHaveLength(1)
})

test('on a worker that fails all, tasks fail', async () => {
  await control.fault({ failAll: true })
  expect(await start()).toBeUndefined()
  const report = (await worker.renew(OWNER, FOREVER_MS, [], 1_000))._unsafeUnwrap()
  expect(report.tasks).toMatchObject([{ id: 't', state: 'failed' }])
})

test('leases lapse on a frozen worker, and commands that wait take effect at the thaw', async () => {
  const clockMs = (await worker.renew(OWNER, 0, [], 0))._unsafeUnwrap().clockMs
  const leased = { id: 'leased', attempt: 1, team: 'guild', kind: 'render', size: SIZE, body: {} }
  await worker.start(OWNER, leased, clockMs + 100)
  await control.fault({ freeze: true })
  expect(await start('waiting')).toBe(WorkerFailure.Unknown)
  const frozen = await control.record(began)
  expect(frozen.filter(({ event }) => event === Event.Lapse)).toMatchObject([{ task: 'leased' }])
  await control.fault({ freeze: false })
  await pass(50)
  expect((await ran()).map(({ task }) => task)).toEqual(['leased', 'waiting'])
})

test('a dead worker loses what runs', async () => {
  await start()
  await control.fault({ dead: true })
  const entries = await control.record(began)
  expect(entries.filter(({ event }) => event === Event.Lost)).toMatchObject([{ task: 't' }])
})

test('a command to a worker that is not there never leaves', async () => {
  const other = await startWorkers('--id', 'gone')
  await end(other.child)
  const gone = new RemoteWorker({ address: other.listening[0]?.address ?? '' })
  expect((await gone.adopt(OWNER, 0))._unsafeUnwrapErr().failure).toBe(WorkerFailure.Unreachable)
  expect(await ask('r', gone)).toBe(WorkerFailure.Unreachable)
  await gone.close()
})

test('a request that waits for a connection until its deadline never leaves', async () => {
  const narrow = new RemoteWorker({ address, requestConnections: 1 })
  const request = { id: 'long', team: 'guild', kind: 'preview', size: SIZE, body: { workMs: 400 } }
  const long = narrow.request(OWNER, request, 1_000)
  expect(await ask('waiting', narrow)).toBe(WorkerFailure.Unreachable)
  expect((await long).isOk()).toBe(true)
  expect((await ran()).map(({ task }) => task)).toEqual(['long'])
  await narrow.close()
})

test('a silent request fails one call, and none of the next uses a silent connection', async () => {
  const before = ['r1', 'r2', 'r3', 'r4']
  const after = ['r6', 'r7', 'r8', 'r9']
  await Promise.all(before.map((id) => ask(id)))
  await control.silence()
  expect(await ask('r5')).toBe(WorkerFailure.Unknown)
  const answers = await Promise.all(after.map((id) => ask(id)))
  expect(answers).toEqual(after.map((echo) => ({ echo, worker: 'bee-1' })))
  expect((await ran()).map(({ task }) => task).sort()).toEqual([...before, ...after])
})

test('a renewal that goes silent saves the requests from the silent connections', async () => {
  await ask('r1')
  const renewal = worker.renew(OWNER, FOREVER_MS, [], 50)
  await control.silence()
  expect((await renewal)._unsafeUnwrapErr().failure).toBe(WorkerFailure.Unknown)
  expect(await ask('r2')).toEqual({ echo: 'r2', worker: 'bee-1' })
  expect(await start()).toBeUndefined()
})

test('a held renewal does not delay other commands and requests', async () => {
  const renewal = worker.renew(OWNER, FOREVER_MS, [], 1_000)
  const began = performance.now()
  expect(await ask()).toEqual({ echo: 'r', worker: 'bee-1' })
  expect(await start('t', { runMs: 1 })).toBeUndefined()
  expect(performance.now() - began).toBeLessThan(500)
  expect((await renewal).isOk()).toBe(true)
})

test('a worker takes 64 connections, and one more is broken without an effect', async () => {
  const clients = Array.from({ length: 66 }, () => new RemoteWorker({ address, requestConnections: 1, timeoutMs: 1_000 }))
  const failures: WorkerFailure[] = []
  for (const client of clients) {
    const adopted = await client.adopt(OWNER, 0)
    if (adopted.isErr()) failures.push(adopted.error.failure)
  }
  expect(failures).toEqual([WorkerFailure.Unknown, WorkerFailure.Unknown, WorkerFailure.Unknown])
  for (const client of clients) await client.close()
})

test('control and requests are counted apart', async () => {
  const before = worker.traffic()
  await ask()
  expect(worker.traffic()).toEqual(before)
  expect(worker.requestTraffic().sent).toBeGreaterThan(100)
  await start()
  expect(worker.traffic().sent).toBeGreaterThan(before.sent)
})
