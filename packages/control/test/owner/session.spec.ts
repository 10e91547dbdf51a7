import { err, ok } from 'neverthrow'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { JobEntry } from '../../src/journal/table.js'
import { Stage } from '../../src/journal/record.js'
import { Ending, type EndedRun, type Report } from '../../src/model/worker.js'
import { Ledger, chargeOf } from '../../src/owner/ledger.js'
import { Run, RunState, StopReason } from '../../src/owner/run.js'
import { Session, type SessionHost } from '../../src/owner/session.js'
import { WorkerFailure } from '../../src/ports/fleet.js'
import { FakeClock, FakeFleet, createJob, createWorker } from '../fakes.js'

const LEASE_MS = 6000

interface Scene {
  readonly clock: FakeClock
  readonly fleet: FakeFleet
  readonly session: Session
  readonly run: Run
  readonly lost: string[]
  readonly gone: string[]
  readonly unknownRuns: string[]
  readonly ends: EndedRun[]
  /** Resolves the journaling of ends; at once unless a test replaces it. */
  journal: Promise<boolean>
}

function createScene (): Scene {
  const clock = new FakeClock()
  const fleet = new FakeFleet()
  const lost: string[] = []
  const gone: string[] = []
  const unknownRuns: string[] = []
  const ends: EndedRun[] = []
  const ledger = new Ledger()
  const host: SessionHost = {
    fence: 3,
    leaseMs: LEASE_MS,
    fleet,
    clock,
    mayAct: () => true,
    onCompletions: async (_, ended) => { ends.push(...ended); return await scene.journal },
    onUnknownRun: (_, task) => { unknownRuns.push(task) },
    onAdopted: () => {},
    onRunsLost: (_, runs, reason) => { for (const run of runs) { lost.push(`${run.name}: ${reason}`); ledger.remove(run) } },
    onRunGone: (run, reason) => { gone.push(reason); ledger.remove(run) },
    onStarted: () => {},
    onFenced: () => {},
    onReachabilityChange: () => {},
    onRenewal: () => {}
  }
  const session = new Session(createWorker(), host)
  const entry = new JobEntry(createJob())
  const task = entry.task(0, 0, 0)
  Object.assign(task, { stage: Stage.Assigned, run: 1, worker: 'w1', born: 10 })
  const run = new Run(entry, task, 1, session, chargeOf(entry.job.steps[0]!), '', clock.now())
  ledger.add(run)
  const scene: Scene = { clock, fleet, session, run, lost, gone, unknownRuns, ends, journal: Promise.resolve(true) }
  return scene
}

function report (fields: Partial<Report>): Report {
  return { born: 10, clockMs: 6000, running: [], ended: [], ...fields }
}

const RUNNING = { task: '00000000000000aa.0.0.0', run: 1, checkpoint: '', percent: 100, load: 0 }

afterEach(() => { vi.useRealTimers() })

describe('a session with a worker', () => {
  it('lets the lease of a silent worker lapse instead of granting more with each try', async () => {
    vi.useFakeTimers()
    const { clock, fleet, session, lost, run } = createScene()
    run.state = RunState.Running
    let answers = 1
    fleet.onRenew = async () => answers-- > 0 ? ok(report({ running: [RUNNING] })) : err(WorkerFailure.NoAnswer)
    const running = session.run()
    for (let step = 0; step < 80 && lost.length === 0; step++) {
      clock.pass(100)
      await vi.advanceTimersByTimeAsync(100)
    }
    expect(lost).toHaveLength(1)
    // The lease and the slowest clock that is allowed, and no more than a second for the margin and the last try.
    expect(clock.steadyMs - 1000).toBeGreaterThan(LEASE_MS)
    expect(clock.steadyMs - 1000).toBeLessThan(LEASE_MS / 0.98 + 1000)
    session.close()
    await vi.advanceTimersByTimeAsync(3000)
    await running
  })

  it.each([
    ['is listed as running', report({ running: [RUNNING] }), RunState.Running, []],
    ['is not listed by the first report under the new fence', report({}), RunState.Uncertain, ['never started under an earlier owner']]
  ])('concludes of an uncertain run that %s', async (_, answer, state, gone) => {
    const scene = createScene()
    scene.run.state = RunState.Uncertain
    scene.run.inherited = true
    scene.fleet.onRenew = async () => ok(answer)
    await scene.session.poll()
    expect([scene.run.state, scene.gone]).toEqual([state, gone])
  })

  it('takes a start without an answer as running once the worker lists it', async () => {
    const { fleet, session, run, gone } = createScene()
    fleet.onStart = () => err(WorkerFailure.NoAnswer)
    let clockMs = 6000
    fleet.onRenew = async () => ok(report({ clockMs: ++clockMs, running: [RUNNING] }))
    await session.poll()
    run.state = RunState.Committing
    await session.start(run)
    expect([run.state, gone, fleet.stopped.length]).toEqual([RunState.Running, [], 0])
  })

  it('stops a start without an answer that the worker does not list, and gives it up only then', async () => {
    vi.useFakeTimers()
    const { fleet, session, run, gone } = createScene()
    let clockMs = 6000
    fleet.onRenew = async () => ok(report({ clockMs: ++clockMs }))
    run.state = RunState.Running
    await session.poll()
    run.state = RunState.Committing
    fleet.onStart = () => err(WorkerFailure.NoAnswer)
    fleet.onStop = () => ok(clockMs)
    const starting = session.start(run)
    await vi.advanceTimersByTimeAsync(1000)
    await starting
    expect([fleet.stopped.length > 0, gone]).toEqual([true, ['stop confirmed']])
  })

  it('does not start a run that was given up while its assignment was written', async () => {
    const { fleet, session, run, lost } = createScene()
    session.update(createWorker({ born: 20 }))
    await session.start(run)
    expect([lost.length, fleet.started]).toEqual([1, []])
  })

  it('does not start a run that was stopped while its assignment was written', async () => {
    const { fleet, session, run, gone } = createScene()
    await session.stopRun(run, StopReason.Cancelled)
    await session.start(run)
    expect([fleet.started, gone]).toEqual([[], ['stopped before it was started']])
  })

  it.each([
    ['a later start', 20, 1],
    ['the same start', 10, 0],
    ['an earlier start', 5, 0]
  ])('gives up the runs of a worker that reports %s', async (_, born, count) => {
    const { fleet, session, lost } = createScene()
    fleet.onRenew = async () => ok(report({ born, running: [RUNNING] }))
    await session.poll()
    expect(lost).toHaveLength(count)
  })

  it.each([
    ['has it', [RUNNING], RunState.Running, []],
    ['does not have it', [], RunState.Uncertain, ['stop confirmed']]
  ])('keeps a run whose start can have reached a later incarnation until that one %s', async (_, running, state, confirmed) => {
    vi.useFakeTimers()
    const { fleet, session, run, lost, gone } = createScene()
    fleet.onStart = () => ok(6001)
    await session.start(run)
    session.update(createWorker({ born: 20, clockMs: 5 }))
    expect([lost, gone]).toEqual([[], []])
    let clockMs = 6
    fleet.onStop = () => ok(clockMs)
    fleet.onRenew = async () => ok(report({ born: 20, clockMs: ++clockMs, running }))
    await session.poll()
    await vi.advanceTimersByTimeAsync(1000)
    expect([lost, gone, run.state]).toEqual([[], confirmed, state])
    session.close()
    await vi.advanceTimersByTimeAsync(1000)
  })

  it('gives up what a worker listed before it started anew', async () => {
    const { fleet, session, lost } = createScene()
    fleet.onRenew = async () => ok(report({ running: [RUNNING] }))
    await session.poll()
    session.update(createWorker({ born: 20, clockMs: 5 }))
    expect(lost).toHaveLength(1)
  })

  it.each([
    ['fails all it starts', [true, true, true, true], false],
    ['fails now and then', [true, true, true, false, true], true]
  ])('leaves alone for a while a worker that %s', async (_, outcomes, open) => {
    const { clock, fleet, session } = createScene()
    fleet.onRenew = async () => ok(report({}))
    await session.poll()
    for (const failed of outcomes) session.recordOutcome(failed)
    expect(session.acceptsRuns(clock.now())).toBe(open)
    expect(session.acceptsRuns(clock.now() + 10_000)).toBe(true)
  })

  it('acknowledges an end only after it is journaled', async () => {
    vi.useFakeTimers()
    const scene = createScene()
    const { fleet, session, ends } = scene
    let write = (_: boolean): void => {}
    scene.journal = new Promise((resolve) => { write = resolve })
    const ended = [{ position: 7, task: RUNNING.task, run: 1, ending: Ending.Done, checkpoint: '' }]
    fleet.onRenew = async () => ok(report({ ended }))
    await session.poll()
    await session.poll()
    write(true)
    await vi.advanceTimersByTimeAsync(100)
    await session.poll()
    expect(ends).toHaveLength(1)
    expect(fleet.renewed.map((order) => order.acknowledged)).toEqual([0, 0, 7])
  })

  it('ignores what an overtaken report says of running tasks', async () => {
    const { fleet, session, unknownRuns } = createScene()
    fleet.onRenew = async () => ok(report({ clockMs: 9000 }))
    await session.poll()
    fleet.onRenew = async () => ok(report({ clockMs: 8000, running: [{ ...RUNNING, task: '00000000000000bb.0.0.0' }] }))
    await session.poll()
    expect(unknownRuns).toEqual([])
  })
})
