import { expect, test } from 'vitest'
import { ChangeKind, RunOutcome } from '../../src/owner/change.js'
import { JOB_RETENTION_MS, ShardState, Stage, describeJob } from '../../src/owner/state.js'

const SIZE = { cpuMilli: 1000, memoryMb: 500, accelerators: 0 }

function accepted (job: string, fields: object = {}): object {
  return {
    kind: ChangeKind.Accepted,
    job,
    queue: 'render',
    team: 'guild',
    digest: 'd',
    idempotent: false,
    gang: false,
    tasks: 1,
    runtimeMs: 100,
    size: SIZE,
    body: { pattern: 7 },
    atMs: 1000,
    ...fields
  }
}

function attempt (task: string, number = 1): object {
  return { kind: ChangeKind.Attempt, runs: [{ task, attempt: number, worker: 'w1', boot: 'b1' }] }
}

function ended (task: string, outcome: RunOutcome, fields: object = {}): object {
  return { kind: ChangeKind.Ended, task, attempt: 1, outcome, atMs: 2000, ...fields }
}

test.each([
  { title: 'an accepted job waits', changes: [accepted('s.a')], state: 'waiting', attempts: 0 },
  { title: 'a job with an attempt is running', changes: [accepted('s.a'), attempt('s.a/0')], state: 'running', attempts: 1 },
  {
    title: 'the end of its run ends the job',
    changes: [accepted('s.a'), attempt('s.a/0'), ended('s.a/0', RunOutcome.Succeeded, { result: 42 })],
    state: 'succeeded',
    attempts: 1
  },
  {
    title: 'the end of another attempt has no effect',
    changes: [accepted('s.a'), attempt('s.a/0', 2), ended('s.a/0', RunOutcome.Succeeded)],
    state: 'running',
    attempts: 2
  },
  {
    title: 'a task that has to run again waits',
    changes: [accepted('s.a'), attempt('s.a/0'), ended('s.a/0', RunOutcome.Retry)],
    state: 'waiting',
    attempts: 1
  },
  {
    title: 'a waiting job that is cancelled ends at once',
    changes: [accepted('s.a'), { kind: ChangeKind.Cancelled, job: 's.a', atMs: 3000 }],
    state: 'cancelled',
    attempts: 0
  },
  {
    title: 'a running job that is cancelled ends when its run has ended',
    changes: [accepted('s.a'), attempt('s.a/0'), { kind: ChangeKind.Cancelled, job: 's.a', atMs: 3000 }, ended('s.a/0', RunOutcome.Retry)],
    state: 'cancelled',
    attempts: 1
  },
  {
    title: 'an attempt that is recorded after the cancellation of its task has no effect',
    changes: [accepted('s.a'), { kind: ChangeKind.Cancelled, job: 's.a', atMs: 3000 }, attempt('s.a/0')],
    state: 'cancelled',
    attempts: 0
  },
  {
    title: 'a cancelled job does not end before its last run, if an attempt is recorded after the cancellation of its task',
    changes: [
      accepted('s.a', { tasks: 2 }), attempt('s.a/0'), { kind: ChangeKind.Cancelled, job: 's.a', atMs: 3000 }, attempt('s.a/1'),
      ended('s.a/1', RunOutcome.Retry)
    ],
    state: 'running',
    attempts: 1
  },
  {
    title: 'an unknown outcome is not replaced by a retry',
    changes: [accepted('s.a'), attempt('s.a/0'), ended('s.a/0', RunOutcome.Unknown, { detail: 'lost' }), ended('s.a/0', RunOutcome.Retry)],
    state: 'unknown',
    attempts: 1
  },
  {
    title: 'a late report replaces an unknown outcome with the actual one',
    changes: [accepted('s.a'), attempt('s.a/0'), ended('s.a/0', RunOutcome.Unknown), ended('s.a/0', RunOutcome.Succeeded, { result: 1 })],
    state: 'succeeded',
    attempts: 1
  },
  {
    title: 'one failed task fails the job when all of its tasks are finished',
    changes: [
      accepted('s.a', { tasks: 2 }), attempt('s.a/0'), attempt('s.a/1'), ended('s.a/0', RunOutcome.Failed, { detail: 'The task failed.' }),
      ended('s.a/1', RunOutcome.Succeeded)
    ],
    state: 'failed',
    attempts: 2
  },
  {
    title: 'a repeated acceptance of a job that has just ended has no effect',
    changes: [accepted('s.a'), attempt('s.a/0'), ended('s.a/0', RunOutcome.Succeeded), accepted('s.a', { atMs: 3000 })],
    state: 'succeeded',
    attempts: 1
  },
  { title: 'a repeated acceptance has no effect', changes: [accepted('s.a'), attempt('s.a/0'), accepted('s.a')], state: 'running', attempts: 1 }
])('$title, also after a snapshot', ({ changes, state, attempts }) => {
  const applied = new ShardState()
  for (const change of changes) applied.apply(change)
  const restored = new ShardState()
  restored.restore(JSON.parse(JSON.stringify(applied.snapshot())) as unknown[])
  for (const shard of [applied, restored]) {
    expect(describeJob(shard.jobs.get('s.a')!)).toMatchObject({ state, attempts })
  }
})

test('a snapshot does not change when the state changes later', () => {
  const state = new ShardState()
  state.apply(accepted('s.a'))
  const parts = state.snapshot()
  state.apply(attempt('s.a/0'))
  const restored = new ShardState()
  restored.restore(parts)
  expect(restored.task('s.a/0')?.stage).toBe(Stage.Waiting)
})

test('an ended job is kept for the retention time and then removed', () => {
  const state = new ShardState()
  state.apply(accepted('s.a'))
  state.apply(attempt('s.a/0'))
  state.apply(ended('s.a/0', RunOutcome.Succeeded))
  state.prune(2000 + JOB_RETENTION_MS - 1)
  expect(state.jobs.has('s.a')).toBe(true)
  state.prune(2000 + JOB_RETENTION_MS)
  expect(state.jobs.has('s.a')).toBe(false)
  expect(state.task('s.a/0')).toBeUndefined()
})

// Guards against an accepted job that no successor runs: the owner had removed an ended job with the same id, and its standbys had not.
test.each([
  { title: 'an ended job', changes: [attempt('s.a/0'), attempt('s.a/1'), ended('s.a/0', RunOutcome.Failed), ended('s.a/1', RunOutcome.Succeeded)] },
  { title: 'a cancelled job', changes: [{ kind: ChangeKind.Cancelled, job: 's.a', atMs: 2000 }] }
])('a standby that still has $title accepts it again once the owner, which writes snapshots, has removed it', ({ changes }) => {
  const owner = new ShardState()
  const standby = new ShardState()
  const atMs = 2000 + JOB_RETENTION_MS
  const apply = (change: object): void => {
    for (const state of [owner, standby]) state.apply(change)
  }
  for (const change of [accepted('s.a', { tasks: 2 }), ...changes, accepted('s.b', { atMs })]) apply(change)
  owner.snapshot()
  expect([owner.jobs.has('s.a'), standby.jobs.has('s.a')]).toEqual([false, true])
  // The clock of the node that accepts it may be behind.
  apply(accepted('s.a', { atMs: atMs - 60_000, digest: 'new' }))
  expect([...standby.jobs.get('s.a')!.tasks]).toEqual(owner.jobs.get('s.a')!.tasks)
  apply(attempt('s.a/0'))
  for (const state of [owner, standby]) {
    expect(state.jobs.get('s.a')!.digest).toBe('new')
    expect(state.task('s.a/0')?.stage).toBe(Stage.Dispatched)
    expect(state.task('s.a/1')).toBeUndefined()
  }
})

test.each([
  { title: 'a transfer to another shard lowers the team\'s allotment', change: { kind: ChangeKind.Lent, to: 't', team: 'guild', sequence: 1, amount: { tasks: 2, ...SIZE } }, tasks: -2 },
  { title: 'a transfer from another shard raises the team\'s allotment', change: { kind: ChangeKind.Borrowed, from: 't', team: 'guild', sequence: 1, amount: { tasks: 2, ...SIZE } }, tasks: 2 }
])('$title, and a repeated record has no further effect', ({ change, tasks }) => {
  const state = new ShardState()
  state.apply(change)
  state.apply(change)
  expect(state.net.get('guild')?.tasks).toBe(tasks)
})

// Guards against an allotment that two shards use, or none: a request about an earlier transfer was carried out after newer ones.
test.each([
  { title: 'a record of an earlier transfer to another shard', late: { kind: ChangeKind.Lent, to: 't', team: 'guild', sequence: 1, amount: { tasks: 5, ...SIZE } } },
  { title: 'the settlement of an earlier transfer', late: { kind: ChangeKind.Settled, to: 't', team: 'guild', sequence: 1 } },
  { title: 'a record of an earlier transfer from another shard', late: { kind: ChangeKind.Borrowed, from: 't', team: 'guild', sequence: 1, amount: { tasks: 5, ...SIZE } } }
])('after a newer transfer, $title changes nothing', ({ late }) => {
  const state = new ShardState()
  const amount = { tasks: 2, ...SIZE }
  state.apply({ kind: ChangeKind.Lent, to: 't', team: 'guild', sequence: 2, amount })
  state.apply({ kind: ChangeKind.Borrowed, from: 't', team: 'guild', sequence: 2, amount })
  const before = state.snapshot()
  state.apply(late)
  expect(state.snapshot()).toEqual(before)
})

test('a change that no codec accepts is counted and skipped', () => {
  const state = new ShardState()
  state.apply({ kind: 'accepted', job: 7 })
  expect(state.malformed).toBe(1)
  expect(state.jobs.size).toBe(0)
})
