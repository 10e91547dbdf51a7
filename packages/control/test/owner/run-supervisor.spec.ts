import { err, ok } from 'neverthrow'
import { beforeEach, describe, expect, it } from 'vitest'
import { JobEntry } from '../../src/journal/journal-state.js'
import type { Step } from '../../src/model/job.js'
import type { ActiveRun } from '../../src/model/worker.js'
import { chargeOf, Ledger } from '../../src/owner/ledger.js'
import { Run, RunState } from '../../src/owner/run.js'
import { RunSupervisor } from '../../src/owner/run-supervisor.js'
import { Session } from '../../src/owner/session.js'
import { SpeedEstimator } from '../../src/place/speed.js'
import { WorkerFailure } from '../../src/ports/fleet.js'
import { SilentLog } from '../../src/report/log.js'
import { createJob, createSessionHost, createStep, createWorker, FakeClock, FakeFleet } from '../fakes.js'

const TICK_MS = 100
const TARGET_MS = 50
const SERVING = createStep({ lasting: true, latencyTargetMs: TARGET_MS })
const BEST_EFFORT = createStep({ bestEffort: true })

/** One worker with one task of each step, and the supervisor. */
class Harness {
  readonly clock = new FakeClock()
  readonly fleet = new FakeFleet()
  readonly runs: Run[]
  /** What the next reports say of the runs. */
  readonly reported: ActiveRun[]
  private readonly session: Session
  private readonly supervisor: RunSupervisor
  private workerClockMs = 6000

  constructor (steps: readonly Step[]) {
    const { clock, fleet } = this
    const ledger = new Ledger()
    this.session = new Session(createWorker(), createSessionHost({ fence: 3, leaseMs: 6000, fleet, clock, mayAct: () => true }))
    const entry = new JobEntry(createJob({ steps: [...steps] }))
    this.runs = steps.map((step, index) => {
      const run = new Run(entry, entry.task(0, index, 0), 1, this.session, chargeOf(step), '', clock.now())
      run.state = RunState.Running
      run.startedMs = clock.now()
      ledger.add(run)
      return run
    })
    this.reported = this.runs.map((run) => ({ task: run.name, run: 1, checkpoint: '', progress: 0, load: 0 }))
    fleet.onReportRequest = async () => ok({ born: 10, clockMs: this.workerClockMs, running: [...this.reported], ended: [] })
    this.supervisor = new RunSupervisor({
      ledger, sessions: new Map([['w1', this.session]]), speeds: new SpeedEstimator(), clock, stopMs: 200, log: new SilentLog()
    })
  }

  /** Changes what the next reports say of a run. */
  change (index: number, fields: Partial<ActiveRun>): void {
    this.reported[index] = { ...this.reported[index]!, ...fields }
  }

  /** Lets time pass; the worker reports on every tick. */
  async pass (ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
      this.clock.advance(TICK_MS)
      this.workerClockMs += TICK_MS
      await this.session.requestReportNow()
      this.supervisor.tick()
      // The answers to the commands of this tick.
      await new Promise((resolve) => setImmediate(resolve))
    }
  }

  percentages (): number[] {
    return this.fleet.throttled.map(({ percent }) => percent)
  }
}

describe('the speed of best-effort tasks beside a serving task', () => {
  let harness: Harness
  beforeEach(() => { harness = new Harness([SERVING, BEST_EFFORT]) })

  // Guards against a command for each best-effort run at each check, and none when it is due, because the reported progress of a
  // run is taken for the speed to which the worker has throttled it.
  it.each([
    ['is not sent again while the serving task has headroom and the run advances', 10, [10, 40, 70, 99], []],
    ['is halved once while the tail latency stays just below its target', 45, [10, 40, 70, 99], [50]],
    ['is halved for a run that has done half of its work', 45, [50, 50, 50, 50], [50]]
  ])('%s', async (_, tailMs, progress, percentages) => {
    if (percentages.length > 0) {
      harness.change(0, { load: TARGET_MS + 10 })
      harness.change(1, { progress: progress[0]! })
      await harness.pass(TICK_MS)
    }
    harness.change(0, { load: tailMs })
    for (const value of progress) {
      harness.change(1, { progress: value })
      await harness.pass(1000)
    }
    expect(harness.percentages()).toEqual(percentages)
  })

  it.each([
    ['does not answer', WorkerFailure.NoAnswer],
    ['is overloaded', WorkerFailure.Unhealthy]
  ])('is sent again until it is confirmed if the worker %s', async (_, failure) => {
    const { fleet } = harness
    const failures = [failure, failure]
    fleet.throttle = async (_worker, command, percent) => {
      fleet.throttled.push({ command, percent })
      const failed = failures.pop()
      return failed === undefined ? ok(1) : err(failed)
    }
    harness.change(0, { load: TARGET_MS + 10 })
    harness.change(1, { progress: 50 })
    await harness.pass(TICK_MS)
    harness.change(0, { load: TARGET_MS - 5 })
    await harness.pass(4000)
    expect(harness.percentages()).toEqual([50, 50, 50])
  })

  it('is not sent again while the worker may still answer the previous command', async () => {
    const { fleet } = harness
    let answer: () => void = () => {}
    fleet.throttle = async (_worker, command, percent) => {
      fleet.throttled.push({ command, percent })
      await new Promise<void>((resolve) => { answer = resolve })
      return ok(1)
    }
    harness.change(0, { load: TARGET_MS + 10 })
    await harness.pass(1100)
    expect(harness.percentages()).toEqual([50])
    answer()
    await harness.pass(500)
    expect(harness.percentages()).toEqual([50, 0])
  })

  it('is sent once to a run that an earlier owner may have throttled', async () => {
    const [, run] = harness.runs
    run!.throttlePercent = undefined
    await harness.pass(3000)
    expect(harness.percentages()).toEqual([100])
  })
})
