import { err, ok, type Result } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { JournalFailure, type JournalError } from '@fireflymount/service-clients/journal'
import { TaskState, type TaskReport } from '@fireflymount/service-clients/worker'
import { Shard } from '@fireflymount/policy/shard'
import { ChangeKind, RunOutcome } from '../../src/owner/change.js'
import { createUnrecordedTask } from '../../src/owner/completion.js'
import { Runs, type RunsOptions } from '../../src/owner/runs.js'
import type { Session } from '../../src/owner/session.js'
import { ShardState } from '../../src/owner/state.js'

const SIZE = { cpuMilli: 1, memoryMb: 1, accelerators: 0 }

interface Seen {
  readonly stopped: string[]
  readonly acknowledged: string[]
  readonly readopted: number[]
}

interface Harness {
  readonly runs: Runs
  readonly scheduler: Shard
  readonly session: Session
  readonly seen: Seen
}

function createRuns (provisional: boolean, fields: Partial<RunsOptions> = {}): Harness {
  const seen: Seen = { stopped: [], acknowledged: [], readopted: [] }
  const scheduler = new Shard({ weights: { waiting: 1, share: 1, packing: 1 } })
  const session = {
    id: 'w1',
    stop: (task: string, attempt: number) => {
      seen.stopped.push(`${task}/${attempt}`)
      return Promise.resolve()
    },
    acknowledge: (task: string) => { seen.acknowledged.push(task) },
    readoptAfter: (untilMs: number) => { seen.readopted.push(untilMs) },
    leaseUntilMs: () => 0
  } as unknown as Session
  const runs = new Runs({
    scheduler,
    journal: { available: () => !provisional, commit: () => Promise.resolve(ok(undefined)) },
    state: new ShardState(),
    clock: new SystemClock(),
    metrics: { count: () => {}, timing: () => {}, gauge: () => {} },
    session: () => session,
    confirmed: () => true,
    isEvacuated: () => false,
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
    requestRound: () => {},
    ...fields
  })
  return { runs, scheduler, session, seen }
}

function report (state: TaskState): TaskReport {
  return { id: 's.a/0', attempt: 1, team: 'guild', kind: 'render', size: SIZE, state, runtimeMs: 5 }
}

test.each([
  { title: 'an owner with the complete state stops a run that the state lacks', provisional: false, state: TaskState.Running, stopped: ['s.a/0/1'], acknowledged: 0, used: 0 },
  { title: 'an owner with the complete state acknowledges the end of a run that the state lacks', provisional: false, state: TaskState.Succeeded, stopped: [], acknowledged: 1, used: 0 },
  { title: 'a provisional owner charges a run that its state lacks and does not stop it', provisional: true, state: TaskState.Running, stopped: [], acknowledged: 0, used: 1 },
  { title: 'a provisional owner does not acknowledge the end of a run that its state lacks, so that its successor gets the report', provisional: true, state: TaskState.Succeeded, stopped: [], acknowledged: 0, used: 0 }
])('$title', ({ provisional, state, stopped, acknowledged, used }) => {
  const { runs, scheduler, session, seen } = createRuns(provisional)
  runs.onReport(session, report(state))
  expect([seen.stopped, seen.acknowledged.length, scheduler.usedBy('guild').tasks]).toEqual([stopped, acknowledged, used])
})

test('a provisional owner releases the charge of a run that its state lacks when the run completes', () => {
  const { runs, scheduler, session } = createRuns(true)
  runs.onReport(session, report(TaskState.Running))
  runs.onReport(session, report(TaskState.Running))
  expect(scheduler.usedBy('guild').tasks).toBe(1)
  runs.onReport(session, report(TaskState.Succeeded))
  expect(scheduler.usedBy('guild').tasks).toBe(0)
})

const ACCEPTED = {
  kind: ChangeKind.Accepted,
  job: 's.a',
  queue: 'render',
  team: 'guild',
  digest: 'd',
  idempotent: false,
  gang: false,
  tasks: 1,
  runtimeMs: 5,
  size: SIZE,
  body: null,
  atMs: 1
}

/** A journal that fails as often as given and applies each other change to the state; it stops the owner with its last failure. */
class FailingJournal {
  readonly state = new ShardState()
  stopped = false
  commits = 0

  constructor (private readonly failures: JournalFailure[], private readonly stops: boolean) {
    this.state.apply(ACCEPTED)
    this.state.apply({ kind: ChangeKind.Attempt, runs: [{ task: 's.a/0', attempt: 1, worker: 'w1', boot: 'b1' }] })
  }

  async commit (change: unknown): Promise<Result<void, JournalError>> {
    this.commits++
    await Promise.resolve()
    const failure = this.failures.shift()
    if (failure === undefined) {
      this.state.apply(change)
      return ok(undefined)
    }
    if (this.failures.length === 0) this.stopped = this.stops
    return err({ failure, detail: '' })
  }
}

const WRITES: Array<{ write: string, failures: JournalFailure[], stops: boolean, acknowledged: string[] }> = [
  { write: 'succeeds', failures: [], stops: false, acknowledged: ['s.a/0'] },
  { write: 'succeeds after failures', failures: [JournalFailure.Unavailable, JournalFailure.Overloaded], stops: false, acknowledged: ['s.a/0'] },
  { write: 'has an unknown outcome', failures: [JournalFailure.Unknown], stops: false, acknowledged: [] },
  { write: 'is superseded', failures: [JournalFailure.Superseded], stops: false, acknowledged: [] },
  { write: 'fails until the owner stops', failures: [JournalFailure.Unavailable, JournalFailure.Unavailable], stops: true, acknowledged: [] }
]

// Guards against a run whose end no successor can read, because the worker dropped its report: it was acknowledged without a record.
test.each(['running', 'unknown'].flatMap((recorded) => WRITES.map((row) => ({ ...row, recorded }))))(
  'the end of a run recorded as $recorded is acknowledged only if its change is in the log: the write $write',
  async ({ recorded, failures, stops, acknowledged }) => {
    const journal = new FailingJournal([...failures], stops)
    const { state } = journal
    const { runs, scheduler, session, seen } = createRuns(false, {
      journal: { available: () => true, commit: (change) => journal.commit(change) }, state, active: () => !journal.stopped
    })
    if (recorded === 'unknown') {
      state.apply({ kind: ChangeKind.Ended, task: 's.a/0', attempt: 1, outcome: RunOutcome.Unknown, atMs: 2 })
    } else {
      scheduler.setWorker({ id: 'w1', zone: 'z', rack: 'r', capacity: SIZE, slots: 1 })
      runs.inherit(createUnrecordedTask(report(TaskState.Running), 0), state.task('s.a/0')!)
    }
    runs.onReport(session, report(TaskState.Succeeded))
    await new Promise((resolve) => setTimeout(resolve, 200))
    expect([seen.acknowledged, state.task('s.a/0')?.outcome === RunOutcome.Succeeded]).toEqual([acknowledged, acknowledged.length > 0])
    // A report that is not acknowledged is repeated.
    const { commits } = journal
    runs.onReport(session, report(TaskState.Succeeded))
    await new Promise((resolve) => setTimeout(resolve, 10))
    const mayWriteAgain = recorded === 'unknown' && acknowledged.length === 0
    expect(journal.commits > commits).toBe(mayWriteAgain)
    expect(seen.acknowledged.length > 0).toBe(mayWriteAgain || acknowledged.length > 0)
  }
)

// Guards against a process that does nothing else any more, neither the writes of other ends nor renewals.
test('an end whose write is refused at once, because too many changes are pending, is not written again at once', async () => {
  const journal = new FailingJournal(Array<JournalFailure>(2000).fill(JournalFailure.Overloaded), false)
  const { runs, session } = createRuns(false, {
    journal: { available: () => true, commit: (change) => journal.commit(change) }, state: journal.state
  })
  journal.state.apply({ kind: ChangeKind.Ended, task: 's.a/0', attempt: 1, outcome: RunOutcome.Unknown, atMs: 2 })
  runs.onReport(session, report(TaskState.Succeeded))
  await new Promise((resolve) => setTimeout(resolve, 20))
  expect(journal.commits).toBeLessThan(5)
  journal.stopped = true
})

const PLACEMENT = { task: createUnrecordedTask(report(TaskState.Running), 0), worker: 'w1' }

// Guards against a run that is recorded as lost although it was never sent, and whose task is also returned to the queue.
test.each<{ event: string, play: (runs: Runs, session: Session) => void }>([
  { event: 'its worker restarts', play: (runs, session) => { runs.onAdopted(session, { boot: 'b2', clockMs: 0, tasks: [] }) } },
  { event: 'the leases on its worker expire', play: (runs) => { runs.onExpired('w1') } }
])('a run is only returned to the queue if, while its attempt is being written, $event', async ({ play }) => {
  const changes: unknown[] = []
  const requeued: string[] = []
  const { runs, session } = createRuns(false, {
    journal: {
      available: () => true,
      commit: async (change) => {
        changes.push(change)
        await new Promise((resolve) => setTimeout(resolve, 10))
        return ok(undefined)
      }
    },
    requeue: (task) => { requeued.push(task) }
  })
  const launched = runs.launch([PLACEMENT])
  play(runs, session)
  await launched
  expect([changes, requeued, runs.get(PLACEMENT.task.id)]).toMatchObject([[{ kind: ChangeKind.Attempt }], ['s.a/0'], undefined])
})

// Guards against a job that stays active for good: its worker has the report of an earlier run, and the present one was never sent.
test.each([
  { title: 'has no report of its task', reported: [], requeued: ['s.a/0'], readopted: 0 },
  { title: 'has the end of an earlier run', reported: [report(TaskState.Succeeded)], requeued: ['s.a/0'], readopted: 0 },
  { title: 'still runs an earlier run', reported: [report(TaskState.Running)], requeued: [], readopted: 1 },
  { title: 'runs it', reported: [{ ...report(TaskState.Running), attempt: 2 }], requeued: [], readopted: 0 }
])('a run of a former owner whose worker $title is returned to the queue at once: $requeued', ({ reported, requeued, readopted }) => {
  const state = new ShardState()
  state.apply(ACCEPTED)
  state.apply({ kind: ChangeKind.Attempt, runs: [{ task: 's.a/0', attempt: 2, worker: 'w1', boot: 'b1' }] })
  const returned: string[] = []
  const { runs, scheduler, session, seen } = createRuns(false, { state, requeue: (task) => { returned.push(task) } })
  scheduler.setWorker({ id: 'w1', zone: 'z', rack: 'r', capacity: SIZE, slots: 1 })
  runs.inherit(PLACEMENT.task, state.task('s.a/0')!)
  runs.onAdopted(session, { boot: 'b1', clockMs: 0, tasks: reported })
  for (const each of reported) runs.onReport(session, each)
  expect([returned, seen.readopted.length]).toEqual([requeued, readopted])
})

test.each([
  { sent: 'after', adoptionSentMs: Infinity, recorded: 1 },
  { sent: 'before', adoptionSentMs: 0, recorded: 0 }
])('the loss of a run that an adoption sent $sent its start does not report is recorded: $recorded', async ({ adoptionSentMs, recorded }) => {
  const journal = new FailingJournal([], false)
  const { runs, scheduler, session } = createRuns(false, {
    journal: { available: () => true, commit: (change) => journal.commit(change) }, state: journal.state
  })
  scheduler.setWorker({ id: 'w1', zone: 'z', rack: 'r', capacity: SIZE, slots: 1 })
  runs.inherit(PLACEMENT.task, journal.state.task('s.a/0')!)
  runs.onReport(session, report(TaskState.Running))
  session.adoptionSentMs = adoptionSentMs
  runs.onAdopted(session, { boot: 'b1', clockMs: 0, tasks: [] })
  await new Promise((resolve) => setTimeout(resolve, 10))
  expect([journal.commits, runs.get('s.a/0') === undefined]).toEqual([recorded, recorded > 0])
})
