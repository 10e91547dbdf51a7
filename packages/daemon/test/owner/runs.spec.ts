import { ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/platform/clock'
import { TaskState, type TaskReport } from '@fireflymount/platform/worker'
import { Shard } from '@fireflymount/policy/shard'
import { Runs } from '../../src/owner/runs.js'
import type { Session } from '../../src/owner/session.js'
import { ShardState } from '../../src/owner/state.js'

interface Seen {
  readonly stopped: string[]
  readonly acknowledged: string[]
}

function createRuns (provisional: boolean): { runs: Runs, scheduler: Shard, session: Session, seen: Seen } {
  const seen: Seen = { stopped: [], acknowledged: [] }
  const scheduler = new Shard({ weights: { waiting: 1, share: 1, packing: 1 } })
  const session = {
    id: 'w1',
    stop: (task: string) => {
      seen.stopped.push(task)
      return Promise.resolve()
    },
    acknowledge: (task: string) => { seen.acknowledged.push(task) }
  } as unknown as Session
  const runs = new Runs({
    scheduler,
    journal: { available: () => !provisional, commit: () => Promise.resolve(ok(undefined)) },
    state: new ShardState(),
    clock: new SystemClock(),
    metrics: { count: () => {}, timing: () => {}, gauge: () => {} },
    session: () => session,
    confirmed: () => true,
    provisional,
    active: () => true,
    bodyOf: () => null,
    specOf: () => undefined,
    mayRepeat: () => false,
    attemptsOf: () => 1,
    requeue: () => {},
    onOver: () => {},
    onStarted: () => {},
    onSuperseded: () => {},
    onRoom: () => {}
  })
  return { runs, scheduler, session, seen }
}

function report (state: TaskState): TaskReport {
  return { id: 's.a/0', attempt: 1, team: 'guild', kind: 'render', size: { cpuMilli: 1, memoryMb: 1, accelerators: 0 }, state, runtimeMs: 5 }
}

test.each([
  { says: 'an owner with the whole state stops what it does not have', provisional: false, state: TaskState.Running, stopped: 1, acknowledged: 0, used: 0 },
  { says: 'an owner with the whole state acknowledges an end that it does not have', provisional: false, state: TaskState.Succeeded, stopped: 0, acknowledged: 1, used: 0 },
  { says: 'a provisional owner leaves what it has not read running, and charges it', provisional: true, state: TaskState.Running, stopped: 0, acknowledged: 0, used: 1 },
  { says: 'a provisional owner keeps the report of an end for its successor', provisional: true, state: TaskState.Succeeded, stopped: 0, acknowledged: 0, used: 0 }
])('$says', ({ provisional, state, stopped, acknowledged, used }) => {
  const { runs, scheduler, session, seen } = createRuns(provisional)
  runs.onReport(session, report(state))
  expect([seen.stopped.length, seen.acknowledged.length, scheduler.used('guild').tasks]).toEqual([stopped, acknowledged, used])
})

test('a provisional owner releases what it had charged when it ends', () => {
  const { runs, scheduler, session } = createRuns(true)
  runs.onReport(session, report(TaskState.Running))
  runs.onReport(session, report(TaskState.Running))
  expect(scheduler.used('guild').tasks).toBe(1)
  runs.onReport(session, report(TaskState.Succeeded))
  expect(scheduler.used('guild').tasks).toBe(0)
})
