import { afterEach, beforeEach, expect, test } from 'vitest'
import { JournalFailure } from '@fireflymount/service-clients/journal'
import { TaskState } from '@fireflymount/service-clients/worker'
import { MessageKind, type Request } from '@fireflymount/protocol/message'
import { Execution, Reason } from '@fireflymount/protocol/refusal'
import { Stage } from '../../src/owner/state.js'
import { JOB, REPLICA, SuccessiveOwners, sleep } from './successive-owners.js'

const TASK = `${JOB}/0`
let shard: SuccessiveOwners

beforeEach(async () => {
  shard = new SuccessiveOwners()
  // The worker is adopted before a job is submitted, so that its run is recorded at once.
  await expect.poll(() => [...shard.owner.fleet.all()].every((session) => session.adopted)).toBe(true)
})
afterEach(() => { shard.owner.stop() })

async function runsAtWorker (): Promise<void> {
  await expect.poll(() => shard.worker.started).toEqual([TASK])
  await expect.poll(() => shard.jobState()).toBe('running')
}

// Guards against a task that starts or runs on after the cancellation of its job was acknowledged.
test.each<{ title: string, play: () => Promise<void>, started: string[] }>([
  {
    title: 'at the owner, if the start of its recorded run did not reach the worker',
    play: async () => {
      shard.worker.reachable = false
      await shard.submit()
      await expect.poll(() => shard.state.task(TASK)?.stage).toBe(Stage.Dispatched)
      await shard.cancel()
      shard.worker.reachable = true
    },
    started: []
  },
  {
    title: 'at the owner, while its run runs',
    play: async () => {
      await shard.submit()
      await runsAtWorker()
      await shard.cancel()
    },
    started: [TASK]
  },
  {
    title: 'at the owner, although its stop did not reach the worker',
    play: async () => {
      await shard.submit()
      await runsAtWorker()
      shard.worker.reachable = false
      await shard.cancel()
      await sleep(100)
      shard.worker.reachable = true
    },
    started: [TASK]
  },
  {
    title: 'at a successor that adopts its run, because the stop did not reach the worker',
    play: async () => {
      await shard.submit()
      await runsAtWorker()
      shard.worker.reachable = false
      await shard.cancel()
      shard.takeOver()
    },
    started: [TASK]
  },
  {
    title: 'at a successor, if its recorded run was never sent',
    play: async () => {
      shard.worker.reachable = false
      await shard.submit()
      await expect.poll(() => shard.state.task(TASK)?.stage).toBe(Stage.Dispatched)
      await shard.cancel()
      shard.takeOver()
    },
    started: []
  }
])('a task of a cancelled job ends $title', async ({ play, started }) => {
  await play()
  await expect.poll(() => shard.jobState(), { timeout: 2000 }).toBe('cancelled')
  await sleep(100)
  expect([shard.worker.started, [...shard.worker.reports.values()].filter(({ state }) => state === TaskState.Running)])
    .toEqual([started, []])
})

// Guards against a task that runs again after a takeover, although the end of its run was acknowledged.
test.each<{ title: string, play: () => Promise<void>, kept: boolean, state: string }>([
  { title: 'while the log refuses it, although it is reported again and again', play: () => sleep(700), kept: true, state: 'succeeded' },
  {
    title: 'while the log refuses it, although its worker is forgotten and found again',
    play: async () => {
      await sleep(100)
      shard.listed = false
      await sleep(300)
      shard.listed = true
      await sleep(300)
    },
    kept: true,
    state: 'succeeded'
  },
  {
    title: 'while the log refuses it, and its worker restarts',
    play: async () => {
      await sleep(100)
      shard.worker.restart()
      await sleep(500)
    },
    kept: false,
    state: 'unknown'
  },
  {
    title: 'before it is in the log, and then is',
    play: async () => {
      await sleep(100)
      shard.refuses = false
      await expect.poll(() => shard.worker.reports.size).toBe(0)
    },
    kept: false,
    state: 'succeeded'
  }
])('the end of a run is not acknowledged $title', async ({ play, kept, state }) => {
  await shard.submit()
  await runsAtWorker()
  shard.refuses = true
  shard.worker.end(TASK, TaskState.Succeeded)
  await play()
  expect(shard.worker.reports.size > 0).toBe(kept)
  shard.takeOver()
  await expect.poll(() => shard.jobState()).toBe(state)
  await sleep(100)
  expect(shard.worker.started).toEqual([TASK])
})

// Guards against a replica that does not run although its owner counts it as running: its run had the number of an earlier one.
test('a replica that ends as succeeded is started again under another number, so that its worker does not take it for a repeated start', async () => {
  shard.declaresService = true
  await expect.poll(() => shard.worker.reports.get(`${REPLICA}/1`)?.state).toBe(TaskState.Running)
  shard.worker.end(REPLICA, TaskState.Succeeded)
  await expect.poll(() => shard.worker.reports.get(`${REPLICA}/2`)?.state).toBe(TaskState.Running)
  expect(shard.worker.started).toEqual([REPLICA, REPLICA])
})

test.each([
  { title: 'keeps tasks away', at: 'the owner', play: () => {} },
  { title: 'keeps tasks away', at: 'a successor', play: () => { shard.takeOver() } }
])('an evacuated zone $title at $at, until it is taken back', async ({ play }) => {
  const zone = shard.owner.fleet.session('w1')!.options.vm.zone!
  const request: Request = { kind: MessageKind.Evacuate, shard: 'cloth-studio', zone, evacuated: true }
  expect((await shard.owner.handle(request)).isOk()).toBe(true)
  play()
  await shard.submit()
  await sleep(200)
  expect([shard.worker.started, [...shard.state.evacuated]]).toEqual([[], [zone]])
  const explanation = await shard.owner.handle({ kind: MessageKind.Explain, job: JOB })
  expect(explanation._unsafeUnwrap()).toMatchObject({ detail: expect.stringContaining('their zone is being evacuated') })
  expect((await shard.owner.handle({ ...request, evacuated: false })).isOk()).toBe(true)
  await runsAtWorker()
})

// Guards against an operator who is told that a drain was not written although a successor reads it.
test.each([
  { failure: JournalFailure.Unavailable, reason: Reason.LogUnavailable, execution: Execution.NotRun },
  { failure: JournalFailure.Unknown, reason: Reason.LogUnavailable, execution: Execution.Unknown },
  { failure: JournalFailure.Overloaded, reason: Reason.Overloaded, execution: Execution.NotRun },
  { failure: JournalFailure.Superseded, reason: Reason.NotOwner, execution: Execution.NotRun }
])('a drain whose write fails as $failure is refused as $reason, $execution', async ({ failure, reason, execution }) => {
  shard.failure = failure
  const drain: Request = { kind: MessageKind.Drain, shard: 'cloth-studio', worker: 'w1', drained: true }
  expect((await shard.owner.handle(drain))._unsafeUnwrapErr()).toMatchObject({ reason, execution })
  shard.failure = undefined
  expect((await shard.owner.handle(drain)).isOk()).toBe(true)
  shard.takeOver()
  expect([...shard.state.drained]).toEqual(['w1'])
})
