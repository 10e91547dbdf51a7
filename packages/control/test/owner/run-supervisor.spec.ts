import { err, ok } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
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
  readonly session: Session
  readonly speeds = new SpeedEstimator()
  private readonly supervisor: RunSupervisor
  private workerClockMs = 6000

  constructor (steps: readonly Step[], number = 1) {
    const { clock, fleet, speeds } = this
    const ledger = new Ledger()
    this.session = new Session(createWorker(), createSessionHost({ fleet, clock }))
    const entry = new JobEntry(createJob({ steps: [...steps] }))
    this.runs = steps.map((step, index) => {
      const run = new Run(entry, entry.task(0, index, 0), number, this.session, chargeOf(step), '', clock.now())
      run.state = RunState.Running
      run.startedMs = clock.now()
      ledger.add(run)
      return run
    })
    this.reported = this.runs.map((run) => ({ task: run.name, run: 1, checkpoint: '', progress: 0, load: 0 }))
    fleet.onReportRequest = async () => ok({ born: 10, clockMs: this.workerClockMs, running: [...this.reported], ended: [] })
    this.supervisor = new RunSupervisor({
      ledger, sessions: new Map([['w1', this.session]]), speeds, clock, stopMs: 200, log: new SilentLog()
    })
  }

  /** Changes what the next reports say of a run. */
  change (index: number, fields: Partial<ActiveRun>): void {
    this.reported[index] = { ...this.reported[index]!, ...fields }
  }

  /** Lets time pass; the worker reports on every tick. */
  async pass (ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) await this.tick(TICK_MS, TICK_MS)
  }

  /** Lets time pass until the next report, which the owner receives later than the worker has sent it if the times differ. */
  async tick (ownerMs: number, workerMs: number): Promise<void> {
    this.clock.advance(ownerMs)
    this.workerClockMs += workerMs
    await this.session.requestReportNow()
    this.supervisor.tick()
    // The answers to the commands of this tick.
    await new Promise((resolve) => setImmediate(resolve))
  }

  /** Reports each progress of the first run for a time. */
  async advance (percentages: readonly number[], msEach: number): Promise<void> {
    for (const progress of percentages) {
      this.change(0, { progress })
      await this.pass(msEach)
    }
  }

  stopped (): string[] {
    return this.fleet.stopped.map(({ task }) => task)
  }

  percentages (): number[] {
    return this.fleet.throttled.map(({ percent }) => percent)
  }
}

/** All whole numbers from one to another. */
function range (from: number, to: number): number[] {
  return Array.from({ length: to - from + 1 }, (_, index) => from + index)
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

  // Guards also against a command that is carried out late, after a later one that was confirmed: a higher fencing token excludes it.
  it.each([
    ['does not answer', WorkerFailure.NoAnswer, [0, 1, 2]],
    ['is overloaded', WorkerFailure.Unhealthy, [0, 0, 0]]
  ])('is sent again until it is confirmed if the worker %s', async (_, failure, raised) => {
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
    const [first] = fleet.throttled
    expect(fleet.throttled.map(({ command }) => command.fence - first!.command.fence)).toEqual(raised)
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

describe('a run that may have stalled', () => {
  let harness: Harness
  afterEach(() => { harness.session.close() })

  // Guards against tasks that wait for the end of a fault on their worker, because a run whose reported progress is below 100 is
  // never taken for stalled.
  it.each<[string, Step, (harness: Harness) => Promise<void>]>([
    ['stands still at its start', createStep(), async (harness) => {
      await harness.advance([0], 1500)
    }],
    ['stands still in the middle of its work', createStep(), async (harness) => {
      await harness.advance([0, 20, 40], 200)
      await harness.pass(700)
    }],
    ['stands still just before its end', createStep(), async (harness) => {
      await harness.advance([80, 99], 100)
      await harness.pass(900)
    }],
    ['has resumed from a checkpoint and stands still', createStep({ checkpoints: true }), async (harness) => {
      harness.change(0, { checkpoint: 'a' })
      await harness.advance([51], 1500)
    }],
    ['is a member of a gang that has advanced and stands still', createStep({ gang: true }), async (harness) => {
      await harness.advance([0, 20, 40], 200)
      await harness.pass(700)
    }]
  ])('is stopped if it %s', async (_, step, live) => {
    harness = new Harness([step])
    await live(harness)
    expect(harness.stopped()).toEqual([harness.runs[0]!.name])
  })

  // Guards against the loss of the work of sound tasks that take longer than their estimate.
  it.each<[string, Step, (harness: Harness) => Promise<void>]>([
    ['advances, although it takes 60 times its estimate', createStep(), async (harness) => {
      await harness.advance(range(0, 99), 600)
    }],
    ['advances, although its worker becomes seven times as slow', createStep(), async (harness) => {
      await harness.advance(range(0, 50), 100)
      await harness.advance(range(51, 99), 700)
    }],
    ['advances from a checkpoint on a slow worker', createStep({ checkpoints: true }), async (harness) => {
      await harness.advance(range(51, 99), 600)
    }],
    ['needs long for its first percent, as a rough estimate allows', createStep({ estimateMs: 60_000 }), async (harness) => {
      await harness.advance([0, 1, 2], 30_000)
    }],
    ['writes new checkpoints without a new percent', createStep({ checkpoints: true, estimateMs: 5000 }), async (harness) => {
      for (const checkpoint of ['a', 'b', 'c', 'd', 'e', 'f']) {
        harness.change(0, { checkpoint })
        await harness.pass(1000)
      }
    }],
    ['has no estimate and has not advanced yet', createStep({ estimateMs: 0 }), async (harness) => {
      await harness.advance([0], 60_000)
    }],
    ['is done and its end is not listed yet', createStep(), async (harness) => {
      await harness.advance([99, 100], 200)
      await harness.pass(10_000)
    }],
    ['lasts', createStep({ lasting: true, estimateMs: 0 }), async (harness) => {
      await harness.advance([100], 60_000)
    }],
    ['waits for unused capacity', BEST_EFFORT, async (harness) => {
      await harness.advance([0, 40], 30_000)
    }],
    ['waits for the other members of its gang', createStep({ gang: true }), async (harness) => {
      await harness.advance([0], 5000)
    }],
    ['is not listed by a report yet', createStep(), async (harness) => {
      harness.reported.length = 0
      await harness.pass(20_000)
    }],
    ['is on a worker that does not answer', createStep(), async (harness) => {
      await harness.advance([0, 20], 200)
      harness.fleet.onReportRequest = async () => err(WorkerFailure.NoAnswer)
      await harness.pass(5000)
    }],
    ['is listed by a report that the owner receives late', createStep(), async (harness) => {
      await harness.advance([0, 20], 200)
      await harness.tick(5000, 50)
    }]
  ])('is not stopped if it %s', async (_, step, live) => {
    harness = new Harness([step])
    await live(harness)
    expect(harness.stopped()).toEqual([])
  })

  it('is left to finish if its task has been started many times', async () => {
    harness = new Harness([createStep()], 5)
    harness.change(0, { run: 5 })
    await harness.advance([0], 20_000)
    expect(harness.stopped()).toEqual([])
  })

  it.each([
    ['is avoided', createStep(), true],
    ['is not avoided after a gang has stalled, whose members stand still with any of them', createStep({ gang: true }), false]
  ])('leaves a worker that %s', async (_, step, avoided) => {
    harness = new Harness([step])
    await harness.advance([0, 20], 200)
    await harness.pass(1000)
    expect(harness.stopped()).toHaveLength(1)
    expect(harness.speeds.slownessOf('w1') > 1).toBe(avoided)
  })
})
