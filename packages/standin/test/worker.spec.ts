/**
 * Tests the commands, leases and reports of a stand-in worker through its client.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { TaskState, WorkerFailure, type Adoption, type TaskReport, type TaskStart } from '@fireflymount/service-clients/worker'
import { RemoteWorker } from '@fireflymount/service-clients/worker-client'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { Event, WorkerControl, type EventEntry } from '@fireflymount/standin/test-control'
import { afterAll, beforeAll, beforeEach, describe, expect, test } from 'vitest'
import { startWorkers, stop, type Standin } from './process.js'

const FOREVER_MS = 1e9

const SIZE = { cpuMilli: 1_000, memoryMb: 1_000, accelerators: 0 }

const OLD: Epoch = { counter: 1, node: 'node-a' }
const OWNER: Epoch = { counter: 2, node: 'node-a' }
/** Newer than OWNER by the name of its node: the counters are equal. */
const NEWER: Epoch = { counter: 2, node: 'node-b' }

let standin: Standin<readonly { id: string, address: string }[]>
let control: WorkerControl
let worker: RemoteWorker
/** The worker's incarnation in the current test. */
let boot: string
/** Sequence number of the first event of the current test. */
let firstEntry: number

beforeAll(async () => {
  standin = await startWorkers('--id', 'bee', '--slots', '3', '--cpu-milli', '4000', '--memory-mb', '8000', '--usage-lag-ms', '50')
  const address = standin.listening[0]?.address ?? ''
  control = new WorkerControl(address)
  worker = new RemoteWorker({ address, timeoutMs: 500 })
})

beforeEach(async () => {
  await control.clearFaults()
  await control.restart()
  firstEntry = (await control.readEvents()).length
  boot = (await worker.adopt(OWNER, FOREVER_MS))._unsafeUnwrap().boot
})

afterAll(async () => {
  await worker.close()
  await stop(standin.child)
})

function under (epoch: Epoch): Adoption {
  return { epoch, boot }
}

function createTask (fields: Partial<TaskStart> = {}): TaskStart {
  return { id: 't', attempt: 1, team: 'guild', kind: 'render', size: SIZE, body: {}, ...fields }
}

function createRequest (id: string, body: unknown = { echo: id }) {
  return { id, team: 'guild', kind: 'preview', size: SIZE, body }
}

async function recorded (...events: Event[]): Promise<EventEntry[]> {
  const entries = await control.readEvents(firstEntry)
  return entries.filter((entry) => events.includes(entry.event))
}

/** Renews the leases, and returns the reports of ended tasks and of changed usage. */
async function renew (acknowledged: string[] = [], waitMs = 0): Promise<readonly TaskReport[]> {
  return (await worker.renew(under(OWNER), FOREVER_MS, acknowledged, waitMs))._unsafeUnwrap().tasks
}

async function clock (): Promise<number> {
  return (await worker.renew(under(OWNER), 0, [], 0))._unsafeUnwrap().clockMs
}

describe('epochs', () => {
  const commands: [string, (epoch: Epoch) => Promise<{ isOk: () => boolean }>][] = [
    ['adopt', (epoch) => worker.adopt(epoch, 0)],
    ['start', (epoch) => worker.start(under(epoch), createTask(), FOREVER_MS)],
    ['stop', (epoch) => worker.stop(under(epoch), 't', 1, false)],
    ['throttle', (epoch) => worker.throttle(under(epoch), 't', 100)],
    ['renew', (epoch) => worker.renew(under(epoch), FOREVER_MS, [], 0)],
    ['request', (epoch) => worker.request(under(epoch), createRequest('r'), 500)]
  ]

  test.each(commands)('%s under the owner\'s epoch is accepted', async (_command, send) => {
    expect((await send(OWNER)).isOk()).toBe(true)
  })

  test.each(commands)('%s under an older epoch is refused with an error that contains the current epoch, and starts and stops nothing', async (_command, send) => {
    expect(await send(OLD)).toMatchObject({ error: { failure: WorkerFailure.StaleEpoch, epoch: OWNER } })
    expect(await recorded(Event.Start, Event.Stop, Event.RequestStart)).toEqual([])
    expect(await recorded(Event.Refused)).toMatchObject([{ epoch: OLD }])
  })

  test.each(commands.slice(1, 4))('%s under a newer epoch is refused before adoption', async (_command, send) => {
    expect(await send(NEWER)).toMatchObject({ error: { failure: WorkerFailure.Refused } })
  })

  test('adoption reports everything that runs, with requests as attempt 0, and commands of the former owner are refused', async () => {
    await worker.start(under(OWNER), createTask(), FOREVER_MS)
    const request = worker.request(under(OWNER), createRequest('r', { workMs: 150 }), 1_000)
    await sleep(50)
    const report = (await worker.adopt(NEWER, 1_000))._unsafeUnwrap()
    expect(report.tasks.map(({ id, attempt, state }) => [id, attempt, state]))
      .toEqual([['t', 1, TaskState.Running], ['r', 0, TaskState.Running]])
    expect((await request).isOk()).toBe(true)
    const ended = (await worker.renew(under(NEWER), FOREVER_MS, [], 0))._unsafeUnwrap().tasks
    expect(ended.find((task) => task.id === 'r')).toMatchObject({ attempt: 0, state: TaskState.Succeeded })
    expect((await worker.stop(under(OWNER), 't', 1, false))._unsafeUnwrapErr().failure).toBe(WorkerFailure.StaleEpoch)
  })

  test('a held renewal fails as stale when a new owner adopts the worker', async () => {
    const renewal = worker.renew(under(OWNER), FOREVER_MS, [], 5_000)
    await sleep(30)
    const adoptedMs = performance.now()
    await worker.adopt(NEWER, 0)
    expect((await renewal)._unsafeUnwrapErr().failure).toBe(WorkerFailure.StaleEpoch)
    expect(performance.now() - adoptedMs).toBeLessThan(1_000)
  })

  test('a restart changes the boot id, loses everything, and requires a new adoption', async () => {
    const before = (await worker.adopt(OWNER, 0))._unsafeUnwrap()
    await worker.start(under(OWNER), createTask(), FOREVER_MS)
    await control.restart()
    const started = await worker.start(under(OWNER), createTask({ attempt: 2 }), FOREVER_MS)
    expect(started._unsafeUnwrapErr().failure).toBe(WorkerFailure.Refused)
    const renewal = (await worker.renew(under(OWNER), FOREVER_MS, [], 0))._unsafeUnwrap()
    expect(renewal.boot).not.toBe(before.boot)
    expect((await worker.adopt(OWNER, 0))._unsafeUnwrap()).toMatchObject({ boot: renewal.boot, tasks: [] })
    expect(await recorded(Event.Lost)).toMatchObject([{ task: 't', boot: before.boot }])
  })
})

describe('tasks', () => {
  test.each<[string, unknown, TaskState, unknown]>([
    ['succeeds with its result', { runMs: 20, result: { bill: 7 } }, TaskState.Succeeded, { bill: 7 }],
    ['returns its echo and the worker\'s id', { runMs: 20, echo: 'x' }, TaskState.Succeeded, { echo: 'x', worker: 'bee' }],
    ['fails', { runMs: 20, fail: true }, TaskState.Failed, undefined],
    ['fails with probability 1', { runMs: 20, fail: 1 }, TaskState.Failed, undefined],
    ['succeeds with probability 0 of failure', { runMs: 20, fail: 0, result: 1 }, TaskState.Succeeded, 1]
  ])('a task %s, and its report is kept until acknowledged', async (_case, body, state, result) => {
    await worker.start(under(OWNER), createTask({ body }), FOREVER_MS)
    const [report] = await renew([], 1_000)
    expect(report).toMatchObject({ id: 't', attempt: 1, team: 'guild', kind: 'render', size: SIZE, state, usage: SIZE })
    expect(report?.result).toEqual(result)
    expect(report?.runtimeMs).toBeGreaterThanOrEqual(18)
    expect(await renew()).toHaveLength(1)
    expect(await renew(['t/1'])).toEqual([])
  })

  test.each([
    ['while it runs', 200, 0],
    ['after it ended', 10, 60]
  ])('starting the same attempt again %s has no further effect', async (_case, runMs, waitMs) => {
    const task = createTask({ body: { runMs } })
    expect((await worker.start(under(OWNER), task, FOREVER_MS)).isOk()).toBe(true)
    await sleep(waitMs)
    expect((await worker.start(under(OWNER), task, FOREVER_MS)).isOk()).toBe(true)
    expect(await recorded(Event.Start)).toHaveLength(1)
  })

  test('a second attempt of a running task is refused', async () => {
    await worker.start(under(OWNER), createTask(), FOREVER_MS)
    const second = await worker.start(under(OWNER), createTask({ attempt: 2 }), FOREVER_MS)
    expect(second._unsafeUnwrapErr().failure).toBe(WorkerFailure.Refused)
    expect(await recorded(Event.Start)).toHaveLength(1)
  })

  test.each<[string, Partial<TaskStart>[], number]>([
    ['slots', [{}, {}, {}, {}], 3],
    ['CPU', [{ size: { ...SIZE, cpuMilli: 3_000 } }, { size: { ...SIZE, cpuMilli: 1_001 } }], 1],
    ['memory', [{ size: { ...SIZE, memoryMb: 8_000 } }, {}], 1],
    ['accelerators', [{ size: { ...SIZE, accelerators: 1 } }], 0]
  ])('a task that exceeds the %s is refused as full', async (_case, tasks, fitting) => {
    const failures: (WorkerFailure | undefined)[] = []
    for (const [index, fields] of tasks.entries()) {
      const started = await worker.start(under(OWNER), createTask({ ...fields, id: `t${index}` }), FOREVER_MS)
      failures.push(started.isErr() ? started.error.failure : undefined)
    }
    expect(failures).toEqual(tasks.map((_, index) => index < fitting ? undefined : WorkerFailure.Full))
  })

  test('requests use slots, and completed work releases them', async () => {
    for (const id of ['t1', 't2']) await worker.start(under(OWNER), createTask({ id }), FOREVER_MS)
    const first = worker.request(under(OWNER), createRequest('r1', { workMs: 60 }), 1_000)
    await sleep(20)
    expect((await worker.request(under(OWNER), createRequest('r2'), 1_000))._unsafeUnwrapErr().failure).toBe(WorkerFailure.Full)
    expect((await first).isOk()).toBe(true)
    expect((await worker.request(under(OWNER), createRequest('r3'), 1_000)).isOk()).toBe(true)
  })

  test.each([
    ['immediately', false, undefined],
    ['with a checkpoint', true, { checkpoint: { ranMs: expect.any(Number) as number } }]
  ])('a task is stopped %s, and stopping it again has no further effect', async (_case, checkpoint, result) => {
    await worker.start(under(OWNER), createTask({ body: { checkpointMs: 30 } }), FOREVER_MS)
    expect((await worker.stop(under(OWNER), 't', 1, checkpoint)).isOk()).toBe(true)
    expect((await worker.stop(under(OWNER), 't', 1, checkpoint)).isOk()).toBe(true)
    const [report] = await renew([], 1_000)
    expect(report?.state).toBe(TaskState.Stopped)
    expect(report?.result).toEqual(result)
    expect(await recorded(Event.Stop)).toHaveLength(1)
  })

  test('a task resumes from its checkpoint', async () => {
    await worker.start(under(OWNER), createTask({ body: { runMs: 10_000, checkpoint: { ranMs: 9_980 } } }), FOREVER_MS)
    expect((await renew([], 1_000))[0]?.state).toBe(TaskState.Succeeded)
  })

  test('usage is reported once, after the lag, and again when a throttle changed it', async () => {
    const usage = { cpuMilli: 9_000, memoryMb: 10, accelerators: 0 }
    await worker.start(under(OWNER), createTask({ body: { usage } }), FOREVER_MS)
    expect(await renew()).toEqual([])
    await sleep(60)
    expect((await renew())[0]?.usage).toEqual(usage)
    expect(await renew()).toEqual([])
    await worker.throttle(under(OWNER), 't', 500)
    await sleep(60)
    expect((await renew())[0]?.usage).toEqual({ ...usage, cpuMilli: 500 })
  })
})

describe('leases', () => {
  test('a task is stopped when its lease expires, and the report says so', async () => {
    await worker.start(under(OWNER), createTask(), await clock() + 80)
    const [start] = await recorded(Event.Start)
    await sleep(150)
    const [expiry] = await recorded(Event.Expire)
    const leasedMs = (expiry?.monotonicMs ?? 0) - (start?.monotonicMs ?? 0)
    expect(leasedMs).toBeGreaterThan(60)
    expect(leasedMs).toBeLessThan(140)
    expect((await worker.renew(under(OWNER), 0, [], 0))._unsafeUnwrap().tasks[0]?.state).toBe(TaskState.LeaseExpired)
  })

  test.each<[string, () => Promise<unknown>, boolean]>([
    ['a renewal extends a lease', async () => await worker.renew(under(OWNER), FOREVER_MS, [], 0), true],
    ['adoption extends a lease', async () => await worker.adopt(OWNER, 10_000), true],
    ['a renewal never shortens a lease', async () => await worker.renew(under(OWNER), 0, [], 0), false],
    ['a stale renewal does not extend a lease', async () => await worker.renew(under(OLD), FOREVER_MS, [], 0), false]
  ])('%s', async (_case, extend, isRunning) => {
    await worker.start(under(OWNER), createTask(), await clock() + 150)
    await extend()
    await sleep(50)
    expect(await recorded(Event.Expire)).toEqual([])
    await sleep(150)
    expect(await recorded(Event.Expire)).toHaveLength(isRunning ? 0 : 1)
  })

  test('a start whose lease has expired is refused', async () => {
    const started = await worker.start(under(OWNER), createTask(), await clock())
    expect(started._unsafeUnwrapErr().failure).toBe(WorkerFailure.Refused)
  })
})

test('a renewal is held until a task ends or the renewal times out, and returns the report', async () => {
  const startMs = performance.now()
  expect(await renew([], 100)).toEqual([])
  expect(performance.now() - startMs).toBeGreaterThanOrEqual(95)
  await worker.start(under(OWNER), createTask({ body: { runMs: 50 } }), FOREVER_MS)
  expect(await renew([], 5_000)).toHaveLength(1)
  expect(performance.now() - startMs).toBeLessThan(2_000)
})
