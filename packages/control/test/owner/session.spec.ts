import { err, ok } from 'neverthrow'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { detach } from '../../src/detach.js'
import { JobEntry } from '../../src/journal/journal-state.js'
import { Stage } from '../../src/journal/record.js'
import type { AdviceSettings } from '../../src/model/configuration.js'
import { RunOutcome, type ActiveRun, type EndedRun, type Report } from '../../src/model/worker.js'
import { Fences, epochAfter } from '../../src/owner/fence.js'
import { MAX_COMMAND_DELAY_MS } from '../../src/owner/lease.js'
import { Ledger, chargeOf } from '../../src/owner/ledger.js'
import { Run, RunState, StopReason } from '../../src/owner/run.js'
import { Session } from '../../src/owner/session.js'
import type { SessionHost } from '../../src/owner/session-host.js'
import { WorkerFailure } from '../../src/ports/fleet.js'
import { ALL_ZONES, FakeClock, FakeFleet, createJob, createQueue, createSessionHost, createStep, createWorker } from '../fakes.js'

const LEASE_MS = 6000

interface Harness {
  readonly clock: FakeClock
  readonly fleet: FakeFleet
  readonly session: Session
  readonly run: Run
  readonly lost: string[]
  readonly released: string[]
  readonly unknownRuns: string[]
  readonly missing: string[]
  readonly endedRuns: EndedRun[]
  /** Whether the store has confirmed the ownership lately. */
  mayAct: boolean
  /** Number of reports that could not be handled. */
  failed: number
  /** How often the worker showed that another node owns the cell, and how often the owner had no fencing token left. */
  readonly counts: { fenced: number, usedUp: number }
  /** Result of writing ended runs to the journal; resolves immediately unless a test replaces it. */
  journal: Promise<boolean>
}

function createHarness (fields: Partial<SessionHost> = {}, ticket = ''): Harness {
  const clock = new FakeClock()
  const fleet = new FakeFleet()
  const lost: string[] = []
  const released: string[] = []
  const unknownRuns: string[] = []
  const missing: string[] = []
  const endedRuns: EndedRun[] = []
  const ledger = new Ledger()
  const host = createSessionHost({
    leaseMs: LEASE_MS,
    fleet,
    clock,
    mayAct: () => harness.mayAct,
    mayStart: () => harness.mayAct,
    onRunsEnded: async (_, ended) => {
      endedRuns.push(...ended)
      return await harness.journal ? ended : []
    },
    onUnknownRun: (_, task) => { unknownRuns.push(task) },
    onRunsLost: (_, runs, reason) => { for (const run of runs) { lost.push(`${run.name}: ${reason}`); ledger.remove(run) } },
    onRunReleased: (run, reason) => { released.push(reason); ledger.remove(run) },
    onRunMissing: ({ name }) => { missing.push(name) },
    onReportFailed: () => { harness.failed++ },
    onFenced: () => { harness.counts.fenced++ },
    onFencesUsedUp: () => { harness.counts.usedUp++ },
    ...fields
  })
  const session = new Session(createWorker(), host)
  const run = createRun(session, clock.now(), ticket)
  ledger.add(run)
  const harness: Harness = {
    clock,
    fleet,
    session,
    run,
    lost,
    released,
    unknownRuns,
    missing,
    endedRuns,
    mayAct: true,
    failed: 0,
    counts: { fenced: 0, usedUp: 0 },
    journal: Promise.resolve(true)
  }
  return harness
}

/** Creates the first run of a task, which is assigned to the session's worker. */
function createRun (session: Session, nowMs: number, ticket = ''): Run {
  const entry = new JobEntry(createJob())
  const task = entry.task(0, 0, 0)
  Object.assign(task, { stage: Stage.Assigned, run: 1, worker: 'w1', born: 10 })
  return new Run(entry, task, 1, session, chargeOf(entry.job.steps[0]!), ticket, nowMs)
}

function report (fields: Partial<Report>): Report {
  return { born: 10, clockMs: 6000, running: [], ended: [], ...fields }
}

const RUNNING = { task: '00000000000000aa.0.0.0', run: 1, checkpoint: '', progress: 100, load: 0 }

afterEach(() => { vi.useRealTimers() })

describe('a session with a worker', () => {
  it('lets the lease of an unreachable worker expire instead of extending it with each retry', async () => {
    vi.useFakeTimers()
    const { clock, fleet, session, lost, run } = createHarness()
    run.state = RunState.Running
    let answers = 1
    fleet.onReportRequest = async () => answers-- > 0 ? ok(report({ running: [RUNNING] })) : err(WorkerFailure.NoAnswer)
    const running = session.run()
    for (let tick = 0; tick < 80 && lost.length === 0; tick++) {
      clock.advance(100)
      await vi.advanceTimersByTimeAsync(100)
    }
    expect(lost).toHaveLength(1)
    // The lease on the slowest permitted clock, plus at most one second for the margin and the last retry.
    expect(clock.steadyMs - 1000).toBeGreaterThan(LEASE_MS)
    expect(clock.steadyMs - 1000).toBeLessThan(LEASE_MS / 0.98 + 1000)
    session.close()
    await vi.advanceTimersByTimeAsync(3000)
    await running
  })

  it.each([
    ['is listed as running', report({ running: [RUNNING] }), RunState.Running, []],
    ['is not listed by the first report under the new fence', report({}), RunState.Uncertain, ['not running and can no longer start']]
  ])('resolves an uncertain run that %s', async (_, answer, state, released) => {
    const harness = createHarness()
    harness.run.state = RunState.Uncertain
    harness.run.inherited = true
    harness.fleet.onReportRequest = async () => ok(answer)
    await harness.session.requestReportNow()
    expect([harness.run.state, harness.released]).toEqual([state, released])
  })

  // The ticket of a start is only valid for the incarnation of the worker that the report comes from.
  it.each<{ says: string, advice: AdviceSettings | undefined, expected: string[] }>([
    { says: 'may have been sent without a ticket', advice: undefined, expected: [] },
    { says: 'had a ticket', advice: { callMs: 1, workerMs: 1, validMs: 1 }, expected: ['not running and can no longer start'] }
  ])('keeps an inherited run that the worker does not list only if its start $says', async ({ advice, expected }) => {
    const { clock, fleet, session, released } = createHarness()
    const entry = new JobEntry(createJob({ queueSettings: { ...createQueue(), advice } }))
    const run = new Run(entry, entry.task(0, 0, 0), 1, session, chargeOf(entry.job.steps[0]!), '', clock.now())
    run.state = RunState.Uncertain
    run.inherited = true
    run.starts.inherit(clock.now() + MAX_COMMAND_DELAY_MS)
    session.runs.set(run.name, run)
    fleet.onReportRequest = async () => ok(report({}))
    await session.requestReportNow()
    expect(released).toEqual(expected)
  })

  // Guards against tasks that run twice because a run is taken for not started while a full report omits its end.
  it.each<[string, (harness: Harness) => Promise<void>]>([
    ['an inherited run', async ({ run }) => {
      run.state = RunState.Uncertain
      run.inherited = true
    }],
    ['a run whose stop is confirmed', async ({ fleet, session, run }) => {
      run.state = RunState.Running
      fleet.onStop = () => ok(6000)
      detach(session.stopRun(run, StopReason.Preempted))
      await vi.advanceTimersByTimeAsync(1)
    }]
  ])('does not release %s until the worker has reported all ended runs', async (_, prepare) => {
    vi.useFakeTimers()
    const harness = createHarness()
    const { fleet, session, released, endedRuns } = harness
    fleet.maxReportedEnds = 2
    const ended = ['cc', 'bb', 'aa'].map((job, index) => (
      { position: index + 1, task: `00000000000000${job}.0.0.0`, run: 1, ending: RunOutcome.Done, checkpoint: '' }
    ))
    let clockMs = 6000
    fleet.onReportRequest = async ({ acknowledged }) => (
      ok(report({ clockMs: ++clockMs, ended: ended.filter((end) => end.position > acknowledged).slice(0, 2) }))
    )
    await prepare(harness)
    await session.requestReportNow()
    expect(released).toEqual([])
    await vi.advanceTimersByTimeAsync(100)
    await session.requestReportNow()
    expect([released, endedRuns.at(-1)?.task]).toEqual([[], RUNNING.task])
    session.close()
    await vi.advanceTimersByTimeAsync(1000)
  })

  // Guards against a run that an owner keeps for as long as its worker answers, although no report lists it.
  it.each<{ says: string, reports: Array<Partial<Report>>, missing: number }>([
    { says: 'once no newer report lists it', reports: [{ clockMs: 6001 }, { clockMs: 6002 }], missing: 1 },
    { says: 'but not if the report was made before the start', reports: [{ clockMs: 5999 }, { clockMs: 6000 }], missing: 0 },
    { says: 'but not while it is listed as running', reports: [{ clockMs: 6001, running: [RUNNING] }], missing: 0 },
    {
      says: 'but not once its end is listed',
      reports: [{ clockMs: 6001, ended: [{ position: 1, task: RUNNING.task, run: 1, ending: RunOutcome.Done, checkpoint: '' }] }],
      missing: 0
    },
    {
      says: 'but not by a report that may omit its end',
      reports: [{
        clockMs: 6001, ended: [{ position: 1, task: '00000000000000bb.0.0.0', run: 1, ending: RunOutcome.Done, checkpoint: '' }]
      }],
      missing: 0
    },
    { says: 'but not by a report of an earlier incarnation', reports: [{ born: 9, clockMs: 9000 }], missing: 0 }
  ])('notices that a run which has started is missing, $says', async ({ reports, missing: count }) => {
    const { fleet, session, run, missing } = createHarness()
    fleet.maxReportedEnds = 1
    fleet.onReportRequest = async () => ok(report({ clockMs: 5500 }))
    await session.requestReportNow()
    fleet.onStart = () => ok(6000)
    await session.start(run)
    for (const fields of reports) {
      fleet.onReportRequest = async () => ok(report(fields))
      await session.requestReportNow()
    }
    expect(missing).toEqual(Array(count).fill(RUNNING.task))
  })

  it('does not take a run for missing because of a report that was requested before it had started', async () => {
    const { fleet, session, run, missing, clock } = createHarness()
    fleet.onReportRequest = async () => ok(report({ clockMs: 5500 }))
    await session.requestReportNow()
    fleet.onStart = () => ok(6000)
    let answer = (): void => {}
    fleet.onReportRequest = async () => {
      await new Promise<void>((resolve) => { answer = resolve })
      return ok(report({ clockMs: 6001 }))
    }
    const requesting = session.requestReportNow()
    clock.advance(1)
    await session.start(run)
    answer()
    await requesting
    expect([missing, run.confirmed?.clockMs]).toEqual([[], 6000])
  })

  it('treats a run whose start was not answered as running once the worker reports it', async () => {
    const { fleet, session, run, released } = createHarness()
    fleet.onStart = () => err(WorkerFailure.NoAnswer)
    let clockMs = 6000
    fleet.onReportRequest = async () => ok(report({ clockMs: ++clockMs, running: [RUNNING] }))
    await session.requestReportNow()
    run.state = RunState.Committing
    await session.start(run)
    expect([run.state, released, fleet.stopped.length]).toEqual([RunState.Running, [], 0])
  })

  // Guards against a task that runs twice because its start is carried out late by a later incarnation of the worker, which has not seen the stop.
  it.each<{ says: string, isConfirmed: boolean, ticket?: string, elapsedMs: number, expected: string[] }>([
    { says: 'the stop is not confirmed', isConfirmed: false, elapsedMs: MAX_COMMAND_DELAY_MS + 1, expected: [] },
    { says: 'the start may be carried out late', isConfirmed: true, elapsedMs: MAX_COMMAND_DELAY_MS - 1, expected: [] },
    // The ticket is only valid for the incarnation of the worker that has confirmed the stop.
    { says: 'the start has a ticket', isConfirmed: true, ticket: 't', elapsedMs: 0, expected: ['stop confirmed'] },
    { says: 'the start has a ticket, and the stop is not confirmed', isConfirmed: false, ticket: 't', elapsedMs: 1000, expected: [] },
    { says: 'the start cannot be carried out', isConfirmed: true, elapsedMs: MAX_COMMAND_DELAY_MS + 1, expected: ['stop confirmed'] }
  ])('releases a run whose start was not answered only after a confirmed stop and the longest delay of a start: $says', async ({
    isConfirmed, ticket = '', elapsedMs, expected
  }) => {
    vi.useFakeTimers()
    const { clock, fleet, session, run, released } = createHarness({}, ticket)
    let clockMs = 6000
    fleet.onReportRequest = async () => ok(report({ clockMs: ++clockMs }))
    run.state = RunState.Running
    await session.requestReportNow()
    run.state = RunState.Committing
    fleet.onStart = () => err(WorkerFailure.NoAnswer)
    fleet.onStop = () => isConfirmed ? ok(clockMs) : err(WorkerFailure.NoAnswer)
    detach(session.start(run))
    await vi.advanceTimersByTimeAsync(1000)
    expect([fleet.stopped.length > 0, released]).toEqual([true, elapsedMs === 0 ? expected : []])
    clock.advance(elapsedMs)
    await vi.advanceTimersByTimeAsync(1000)
    expect(released).toEqual(expected)
    session.close()
  })

  // Guards against an owner that wakes after its successor has waited for its last start, and sends one more.
  it('sends no start that the store has not confirmed its ownership for lately, although it still renews leases', async () => {
    const { session, run, fleet, released } = createHarness({ mayAct: () => true, mayStart: () => false })
    await session.start(run)
    expect([fleet.started, released]).toEqual([[], ['ownership not confirmed lately']])
  })

  it('does not start a run that was lost while its assignment was being written', async () => {
    const { fleet, session, run, lost } = createHarness()
    session.update(createWorker({ born: 20 }))
    await session.start(run)
    expect([lost.length, fleet.started]).toEqual([1, []])
  })

  it('does not start a run that was stopped while its assignment was being written', async () => {
    const { fleet, session, run, released } = createHarness()
    await session.stopRun(run, StopReason.Cancelled)
    await session.start(run)
    expect([fleet.started, released]).toEqual([[], ['stopped before it was started']])
  })

  // Guards against a process that ends because the report of one worker cannot be handled.
  it('treats a worker whose report cannot be handled as unreachable, until one can be', async () => {
    const harness = createHarness()
    const { fleet, session } = harness
    let endedRuns: unknown = [null]
    fleet.onReportRequest = async () => ok(report({ ended: endedRuns as EndedRun[] }))
    await session.requestReportNow()
    expect([session.reachable, harness.failed]).toEqual([false, 1])
    endedRuns = []
    await session.requestReportNow()
    expect([session.reachable, harness.failed]).toEqual([true, 1])
  })

  // Guards against an owner that is suspended after it has written an assignment, and sends the start when another node may own the cell.
  it('does not start a run once its ownership was not confirmed lately', async () => {
    const harness = createHarness()
    harness.mayAct = false
    await harness.session.start(harness.run)
    expect([harness.fleet.started, harness.released]).toEqual([[], ['ownership not confirmed lately']])
  })

  it.each([
    ['a later start time', 20, 1],
    ['the same start time', 10, 0],
    ['an earlier start time', 5, 0]
  ])('declares runs lost only if the worker reports a newer incarnation: %s', async (_, born, count) => {
    const { fleet, session, lost } = createHarness()
    fleet.onReportRequest = async () => ok(report({ born, running: [RUNNING] }))
    await session.requestReportNow()
    expect(lost).toHaveLength(count)
  })

  it.each([
    ['lists it', [RUNNING], RunState.Running, []],
    ['does not list it', [], RunState.Uncertain, ['stop confirmed']]
  ])('settles a run whose start may have reached a newer incarnation when its report %s', async (
    _, running, state, confirmed
  ) => {
    vi.useFakeTimers()
    const { fleet, session, run, lost, released } = createHarness()
    fleet.onStart = () => ok(6001)
    await session.start(run)
    session.update(createWorker({ born: 20, clockMs: 5 }))
    expect([lost, released]).toEqual([[], []])
    let clockMs = 6
    fleet.onStop = () => ok(clockMs)
    fleet.onReportRequest = async () => ok(report({ born: 20, clockMs: ++clockMs, running }))
    await session.requestReportNow()
    await vi.advanceTimersByTimeAsync(1000)
    expect([lost, released, run.state]).toEqual([[], confirmed, state])
    session.close()
    await vi.advanceTimersByTimeAsync(1000)
  })

  it('declares the runs lost that a worker reported before it restarted', async () => {
    const { fleet, session, lost } = createHarness()
    fleet.onReportRequest = async () => ok(report({ running: [RUNNING] }))
    await session.requestReportNow()
    session.update(createWorker({ born: 20, clockMs: 5 }))
    expect(lost).toHaveLength(1)
  })

  it.each([
    ['every run fails', [true, true, true, true], false],
    ['some runs fail', [true, true, true, false, true], true]
  ])('quarantines a worker only after consecutive failed runs: %s', async (_, outcomes, accepts) => {
    const { clock, fleet, session } = createHarness()
    fleet.onReportRequest = async () => ok(report({}))
    await session.requestReportNow()
    for (const failed of outcomes) session.recordOutcome(failed)
    expect(session.acceptsRuns(clock.now())).toBe(accepts)
    expect(session.acceptsRuns(clock.now() + 10_000)).toBe(true)
  })

  it('acknowledges an ended run only after it is in the journal', async () => {
    vi.useFakeTimers()
    const harness = createHarness()
    const { fleet, session, endedRuns } = harness
    let write = (_: boolean): void => {}
    harness.journal = new Promise((resolve) => { write = resolve })
    const ended = [{ position: 7, task: RUNNING.task, run: 1, ending: RunOutcome.Done, checkpoint: '' }]
    fleet.onReportRequest = async () => ok(report({ ended }))
    await session.requestReportNow()
    await session.requestReportNow()
    write(true)
    await vi.advanceTimersByTimeAsync(100)
    await session.requestReportNow()
    expect(endedRuns).toHaveLength(1)
    expect(fleet.reportCommands.map((request) => request.acknowledged)).toEqual([0, 0, 7])
  })

  // Guards against an end that is acknowledged with a later one, although its own change was not written.
  it.each([
    { says: 'its handling has failed', outcome: async () => [] },
    { says: 'its handling throws', outcome: async () => { throw new Error('unexpected') } }
  ])('holds back the acknowledgement of later ends while $says, and handles it again', async ({ outcome }) => {
    vi.useFakeTimers()
    const clock = new FakeClock()
    const fleet = new FakeFleet()
    const handled: number[][] = []
    let failing = true
    const session = new Session(createWorker(), createSessionHost({
      fleet,
      clock,
      onRunsEnded: async (_, ended) => {
        handled.push(ended.map(({ position }) => position))
        return failing && ended.some(({ position }) => position === 2) ? await outcome() : ended
      }
    }))
    const ended = [1, 2, 3].map((position) => (
      { position, task: `${RUNNING.task.slice(0, -1)}${position}`, run: 1, ending: RunOutcome.Done, checkpoint: '' }
    ))
    let count = 0
    const requestNext = async (): Promise<void> => {
      count = Math.min(count + 1, ended.length)
      fleet.onReportRequest = async () => ok(report({ ended: ended.slice(0, count) }))
      await session.requestReportNow()
      await vi.advanceTimersByTimeAsync(50)
    }
    for (let request = 0; request < 4; request++) await requestNext()
    failing = false
    await requestNext()
    await requestNext()
    expect(handled).toEqual([[1], [2], [2, 3], [2, 3], [2, 3]].slice(0, handled.length))
    expect(fleet.reportCommands.map(({ acknowledged }) => acknowledged)).toEqual([0, 1, 1, 1, 1, 3])
    session.close()
    await vi.advanceTimersByTimeAsync(2000)
  })

  // Guards against an end of a new incarnation that is acknowledged unread, with the position of an end of the previous one.
  it('does not acknowledge to a new incarnation what the previous one reported, once it is in the journal', async () => {
    vi.useFakeTimers()
    const harness = createHarness()
    const { fleet, session } = harness
    let write = (_: boolean): void => {}
    harness.journal = new Promise((resolve) => { write = resolve })
    const ended = [{ position: 7, task: RUNNING.task, run: 1, ending: RunOutcome.Done, checkpoint: '' }]
    fleet.onReportRequest = async () => ok(report({ ended }))
    await session.requestReportNow()
    fleet.onReportRequest = async () => ok(report({ born: 20, clockMs: 5 }))
    await session.requestReportNow()
    write(true)
    await vi.advanceTimersByTimeAsync(100)
    await session.requestReportNow()
    expect(fleet.reportCommands.map(({ acknowledged }) => acknowledged)).toEqual([0, 0, 0])
  })

  // Guards against a task that runs twice: a worker restarts under its id between two reports, carries out a start that was in flight,
  // and drops the end of that run because the next report request acknowledges as many ends as its previous incarnation had listed.
  it.each([
    { says: 'that did not answer for a while', silent: true },
    { says: 'between two answers', silent: false }
  ])('receives the first ends of a worker that restarted under its id $says', async ({ silent }) => {
    vi.useFakeTimers()
    const { fleet, session, endedRuns, released } = createHarness()
    const worker = {
      born: 10,
      clockMs: 6000,
      ended: [{ position: 7, task: '00000000000000bb.0.0.0', run: 1, ending: RunOutcome.Done, checkpoint: '' }]
    }
    let answers = true
    fleet.onReportRequest = async ({ acknowledged }) => {
      if (!answers) return err(WorkerFailure.NoAnswer)
      worker.ended = worker.ended.filter(({ position }) => position > acknowledged)
      return ok(report({ born: worker.born, clockMs: ++worker.clockMs, ended: [...worker.ended] }))
    }
    for (let request = 0; request < 2; request++) {
      await session.requestReportNow()
      await vi.advanceTimersByTimeAsync(100)
    }
    expect(worker.ended).toEqual([])
    answers = !silent
    await session.requestReportNow()
    answers = true
    Object.assign(worker, {
      born: 20, clockMs: 5, ended: [{ position: 1, task: RUNNING.task, run: 1, ending: RunOutcome.Done, checkpoint: '' }]
    })
    for (let request = 0; request < 3; request++) {
      await session.requestReportNow()
      await vi.advanceTimersByTimeAsync(300)
    }
    expect({ handled: endedRuns.map(({ position }) => position), released }).toEqual({ handled: [7, 1], released: [] })
    session.close()
    await vi.advanceTimersByTimeAsync(3000)
  })

  const ENDED = { position: 7, task: '00000000000000bb.0.0.0', run: 1, ending: RunOutcome.Done, checkpoint: '' }

  // Guards against an owner that gives up the cell because a start has overtaken its own report request.
  it.each<{ says: string, hasStarted: boolean, fenced: number }>([
    { says: 'unless a start of this owner has overtaken the refused request', hasStarted: true, fenced: 0 },
    { says: 'when its newest fencing token is refused', hasStarted: false, fenced: 1 }
  ])('takes another node for the owner, $says', async ({ hasStarted, fenced }) => {
    vi.useFakeTimers()
    const { fleet, session, run, counts } = createHarness()
    fleet.onReportRequest = async () => ok(report({ ended: [ENDED] }))
    await session.requestReportNow()
    await vi.advanceTimersByTimeAsync(100)
    let answer = (): void => {}
    fleet.onReportRequest = async () => {
      await new Promise<void>((resolve) => { answer = resolve })
      return err(WorkerFailure.Fenced)
    }
    const requesting = session.requestReportNow()
    if (hasStarted) await session.start(run)
    answer()
    await requesting
    expect({ fenced: counts.fenced, reachable: session.reachable }).toEqual({ fenced, reachable: true })
    const [acknowledging] = fleet.reportCommands.slice(-1)
    expect(fleet.started.map(({ fence }) => fence - acknowledging!.fence)).toEqual(hasStarted ? [1] : [])
  })

  // Guards against an acknowledgement that a later incarnation carries out after the start, and against requests without pause until then.
  it('acknowledges no end while a start is not answered', async () => {
    vi.useFakeTimers()
    const clock = new SystemClock()
    const fleet = new FakeFleet()
    const session = new Session(createWorker(), createSessionHost({ fleet, clock }))
    let clockMs = 6000
    const active: ActiveRun[] = []
    fleet.onReportRequest = async ({ acknowledged, waitMs }) => {
      const ended = acknowledged < ENDED.position ? [ENDED] : []
      if (ended.length === 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
      return ok(report({ clockMs: ++clockMs, running: active, ended }))
    }
    let answer = (): void => {}
    fleet.start = async () => {
      await new Promise<void>((resolve) => { answer = resolve })
      active.push(RUNNING)
      return ok(clockMs)
    }
    const run = createRun(session, clock.now())
    new Ledger().add(run)
    const starting = session.start(run)
    const running = session.run()
    await vi.advanceTimersByTimeAsync(900)
    expect(new Set(fleet.reportCommands.map(({ acknowledged }) => acknowledged))).toEqual(new Set([0]))
    expect(fleet.reportCommands.length).toBeLessThanOrEqual(4)
    answer()
    await starting
    await vi.advanceTimersByTimeAsync(100)
    expect(fleet.reportCommands.at(-1)!.acknowledged).toBe(ENDED.position)
    session.close()
    await vi.advanceTimersByTimeAsync(2000)
    await running
  })

  // Guards against a worker that can neither drop ends nor show that a run has not started: no report is complete before ends are
  // dropped, and none are acknowledged before a complete report has settled the start.
  it('acknowledges ends of a full report although a start is not answered', async () => {
    vi.useFakeTimers()
    const clock = new SystemClock()
    const released: string[] = []
    const fleet = new FakeFleet()
    fleet.maxReportedEnds = 1
    const session = new Session(createWorker(), createSessionHost({
      fleet, clock, onRunReleased: (run, reason) => { released.push(reason); ledger.remove(run) }
    }))
    const ledger = new Ledger()
    let clockMs = 6000
    let ended = [ENDED]
    fleet.onReportRequest = async ({ acknowledged, waitMs }) => {
      ended = ended.filter(({ position }) => position > acknowledged)
      if (ended.length === 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
      return ok(report({ clockMs: ++clockMs, ended }))
    }
    fleet.onStart = () => err(WorkerFailure.NoAnswer)
    fleet.onStop = () => ok(++clockMs)
    const run = createRun(session, clock.now())
    ledger.add(run)
    const running = session.run()
    const starting = session.start(run)
    await vi.advanceTimersByTimeAsync(30_000)
    expect({ ended, released }).toEqual({ ended: [], released: ['stop confirmed'] })
    session.close()
    await vi.advanceTimersByTimeAsync(2000)
    await Promise.all([running, starting])
  })

  // Guards against requests without pause, and an acknowledgement that waits, because of a start whose run never shows.
  it.each<{ says: string, maxReportedEnds: number, acknowledged: number, most: number }>([
    { says: 'once a report omits the run', maxReportedEnds: 500, acknowledged: ENDED.position, most: 4 },
    { says: 'rarely asked while reports may omit the run', maxReportedEnds: 1, acknowledged: 0, most: 6 }
  ])('acknowledges ends after a start that an unseen incarnation may have answered: $says', async ({ maxReportedEnds, acknowledged, most }) => {
    vi.useFakeTimers()
    const clock = new SystemClock()
    const fleet = new FakeFleet()
    fleet.maxReportedEnds = maxReportedEnds
    const session = new Session(createWorker(), createSessionHost({ fleet, clock }))
    let clockMs = 100
    let ended = [ENDED]
    fleet.onReportRequest = async (command) => {
      ended = ended.filter(({ position }) => position > command.acknowledged)
      await new Promise((resolve) => setTimeout(resolve, ended.length === 0 ? command.waitMs : 5))
      return ok(report({ clockMs: ++clockMs, ended }))
    }
    fleet.onStart = () => ok(++clockMs)
    const run = createRun(session, clock.now())
    new Ledger().add(run)
    const running = session.run()
    await vi.advanceTimersByTimeAsync(20)
    await session.start(run)
    await vi.advanceTimersByTimeAsync(1000)
    expect(Math.max(...fleet.reportCommands.map((command) => command.acknowledged))).toBe(acknowledged)
    expect(fleet.reportCommands.length).toBeLessThanOrEqual(most)
    session.close()
    await vi.advanceTimersByTimeAsync(3000)
    await running
  })

  // Guards against ends that are never acknowledged because the worker always has a start to answer.
  it('acknowledges ends of a worker whose starts overlap', async () => {
    vi.useFakeTimers()
    const clock = new SystemClock()
    const fleet = new FakeFleet()
    const session = new Session(createWorker(), createSessionHost({ fleet, clock }))
    let clockMs = 6000
    let ended = [ENDED]
    const active: ActiveRun[] = []
    fleet.onReportRequest = async ({ acknowledged, waitMs }) => {
      ended = ended.filter(({ position }) => position > acknowledged)
      if (ended.length === 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
      return ok(report({ clockMs: ++clockMs, running: [...active], ended }))
    }
    fleet.start = async (_, { task, run }) => {
      await new Promise((resolve) => setTimeout(resolve, 150))
      active.push({ ...RUNNING, task, run })
      return ok(++clockMs)
    }
    const running = session.run()
    for (let index = 0; index < 100; index++) {
      const entry = new JobEntry(createJob({ steps: [createStep({ count: 100 })] }))
      const task = entry.task(0, 0, index)
      const run = new Run(entry, task, 1, session, chargeOf(entry.job.steps[0]!), '', clock.now())
      session.addRun(run)
      detach(session.start(run))
      await vi.advanceTimersByTimeAsync(100)
    }
    expect(ended).toEqual([])
    session.close()
    await vi.advanceTimersByTimeAsync(3000)
    await running
  })

  // Guards against a job that fails, or a task that runs twice, because an answer of the former incarnation arrives after the owner has
  // noticed the restart, and its clock is compared with that of the new one.
  it('does not take a run for missing because the former incarnation has answered its start', async () => {
    vi.useFakeTimers()
    const { fleet, session, run, missing } = createHarness()
    let answer = (): void => {}
    fleet.start = async () => {
      await new Promise<void>((resolve) => { answer = resolve })
      return ok(300)
    }
    fleet.onStop = () => err(WorkerFailure.NoAnswer)
    const starting = session.start(run)
    session.update(createWorker({ born: 20, clockMs: 400 }))
    fleet.onReportRequest = async () => ok(report({ born: 20, clockMs: 500 }))
    await session.requestReportNow()
    answer()
    await starting
    fleet.onReportRequest = async () => ok(report({ born: 20, clockMs: 600 }))
    await session.requestReportNow()
    expect(missing).toEqual([])
    session.close()
    await vi.advanceTimersByTimeAsync(1000)
  })

  it('does not take a stop for confirmed because the former incarnation has confirmed it', async () => {
    vi.useFakeTimers()
    const { fleet, session, run, released } = createHarness()
    fleet.onReportRequest = async () => err(WorkerFailure.NoAnswer)
    fleet.onStart = () => err(WorkerFailure.NoAnswer)
    let answer = (): void => {}
    let stops = 0
    fleet.stop = async () => {
      if (stops++ > 0) return err(WorkerFailure.NoAnswer)
      await new Promise<void>((resolve) => { answer = resolve })
      return ok(300)
    }
    const starting = session.start(run)
    await vi.advanceTimersByTimeAsync(10)
    expect(stops).toBe(1)
    session.update(createWorker({ born: 20, clockMs: 400 }))
    answer()
    await vi.advanceTimersByTimeAsync(10)
    fleet.onReportRequest = async () => ok(report({ born: 20, clockMs: 600 }))
    await session.requestReportNow()
    expect(released).toEqual([])
    session.close()
    await vi.advanceTimersByTimeAsync(1000)
    await starting
  })

  it.each([
    ['not at all while its zone is being evacuated', { isEvacuated: () => true }, [], ['its zone is being evacuated']],
    ['not at all if the evacuations were read too long ago', { maxStartValidityMs: () => 0 }, [], ['evacuations not read lately']],
    ['with a shorter validity if they were read a while ago', { maxStartValidityMs: () => 700 }, [700], []],
    ['with the usual validity if they were just read', { maxStartValidityMs: () => 4500 }, [2000], []]
  ])('starts a run %s', async (_, zones, validities, expected) => {
    const held: string[] = []
    const { fleet, session, run } = createHarness({
      zones: { ...ALL_ZONES, ...zones }, onStartHeld: (_, reason) => { held.push(reason) }
    })
    await session.start(run)
    expect([fleet.started.map(({ deadlineMs }) => deadlineMs - createWorker().clockMs), held]).toEqual([validities, expected])
  })

  it('starts no run without a higher fencing token than its acknowledgements, and tells the owner', async () => {
    vi.useFakeTimers()
    const fences = new Fences(epochAfter(0))
    const used = fences.create()
    while (used.raise());
    fences.retire(used)
    const { fleet, session, run, released, counts } = createHarness({ fences })
    for (const ended of [[ENDED], [ENDED]]) {
      fleet.onReportRequest = async () => ok(report({ ended }))
      await session.requestReportNow()
      await vi.advanceTimersByTimeAsync(100)
    }
    await session.start(run)
    expect({ started: fleet.started, released, usedUp: counts.usedUp }).toEqual({
      started: [], released: ['no fencing token left'], usedUp: 1
    })
  })

  // Guards against a new owner that has to open the connections to all workers again.
  it.each([
    { says: 'keeps the connections to the worker for the next owner when it ends', end: (session: Session) => { session.close() }, closed: 0 },
    { says: 'closes the connections to a worker that is gone', end: (session: Session) => { session.discard() }, closed: 1 },
    {
      says: 'closes the connections to an address that the worker has left',
      end: (session: Session) => { session.update(createWorker({ address: '10.0.0.2:80' })) },
      closed: 1
    }
  ])('$says', ({ end, closed }) => {
    const { fleet, session } = createHarness()
    end(session)
    expect(fleet.closedAddresses).toEqual(Array.from({ length: closed }, () => '10.0.0.1:80'))
  })

  it('ignores the running tasks of a report that arrives out of order', async () => {
    const { fleet, session, unknownRuns } = createHarness()
    fleet.onReportRequest = async () => ok(report({ clockMs: 9000 }))
    await session.requestReportNow()
    fleet.onReportRequest = async () => ok(report({ clockMs: 8000, running: [{ ...RUNNING, task: '00000000000000bb.0.0.0' }] }))
    await session.requestReportNow()
    expect(unknownRuns).toEqual([])
  })
})
