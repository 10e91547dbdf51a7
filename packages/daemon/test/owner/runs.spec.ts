import { ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { TaskState, type TaskReport } from '@fireflymount/service-clients/worker'
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
    specHashOf: () => undefined,
    mayRetry: () => false,
    maxFailuresOf: () => 1,
    requeue: () => {},
    onFinished: () => {},
    onStarted: () => {},
    onSuperseded: () => {},
    requestRound: () => {}
  })
  return { runs, scheduler, session, seen }
}

function report (state: TaskState): TaskReport {
  return { id: 's.a/0', attempt: 1, team: 'guild', kind: 'render', size: { cpuMilli: 1, memoryMb: 1, accelerators: 0 }, state, runtimeMs: 5 }
}

test.each([
  { title: 'an owner with the complete state stops a run that the state lacks', provisional: false, state: TaskState.Running, stopped: 1, acknowledged: 0, used: 0 },
  { title: 'an owner with the complete state acknowledges the end of a run that the state lacks', provisional: false, state: TaskState.Succeeded, stopped: 0, acknowledged: 1, used: 0 },
  { title: 'a provisional owner charges a run that its state lacks and does not stop it', provisional: true, state: TaskState.Running, stopped: 0, acknowledged: 0, used: 1 },
  { title: 'a provisional owner does not acknowledge the end of a run that its state lacks, so that its successor gets the report', provisional: true, state: TaskState.Succeeded, stopped: 0, acknowledged: 0, used: 0 }
])('$title', ({ provisional, state, stopped, acknowledged, used }) => {
  const { runs, scheduler, session, seen } = createRuns(provisional)
  runs.onReport(session, report(state))
  expect([seen.stopped.length, seen.acknowledged.length, scheduler.usedBy('guild').tasks]).toEqual([stopped, acknowledged, used])
})

test('a provisional owner releases the charge of a run that its state lacks when the run completes', () => {
  const { runs, scheduler, session } = createRuns(true)
  runs.onReport(session, report(TaskState.Running))
  runs.onReport(session, report(TaskState.Running))
  expect(scheduler.usedBy('guild').tasks).toBe(1)
  runs.onReport(session, report(TaskState.Succeeded))
  expect(scheduler.usedBy('guild').tasks).toBe(0)
})
