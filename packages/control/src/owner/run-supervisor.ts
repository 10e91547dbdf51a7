/**
 * Periodic supervision of runs: evicts runs from draining workers, stops stalled runs so that their tasks are placed again,
 * preferably on faster workers, and throttles best-effort tasks.
 */
import type { Clock } from '../clock.js'
import { detach } from '../detach.js'
import { nextThrottlePercent } from '../place/throttle.js'
import type { SpeedEstimator } from '../place/speed.js'
import type { Log } from '../report/log.js'
import { chooseRunsToEvict } from './eviction.js'
import type { Ledger } from './ledger.js'
import { RunState, StopReason, type Run } from './run.js'
import type { Session } from './session.js'

/** Time between two adjustments of the throttling. */
const THROTTLE_INTERVAL_MS = 500
/**
 * Runs of a task with a higher number than this are not checked for stalls. The number counts all starts of the task, also those
 * after a failure, a stop or a preemption: a task that has been started this often is left to finish, however long it takes.
 */
const MAX_STALL_CHECKED_RUN_NUMBER = 4

/** Dependencies of the run supervisor. */
export interface RunSupervisorOptions {
  readonly ledger: Ledger
  readonly sessions: ReadonlyMap<string, Session>
  readonly speeds: SpeedEstimator
  readonly clock: Clock
  /** Maximum time that a worker takes to stop a run. */
  readonly stopMs: number
  readonly log: Log
}

/** Performs the periodic supervision of one owner's runs. */
export class RunSupervisor {
  private lastThrottleMs = -Infinity
  private readonly throttlePercents = new Map<string, number>()

  constructor (private readonly options: RunSupervisorOptions) {}

  /** Performs the work that is due. The owner calls it on every tick. */
  tick (): void {
    const nowMs = this.options.clock.now()
    for (const session of this.options.sessions.values()) this.evictRuns(session)
    this.restartStalled(nowMs)
    if (nowMs - this.lastThrottleMs < THROTTLE_INTERVAL_MS) return
    this.lastThrottleMs = nowMs
    for (const session of this.options.sessions.values()) this.throttle(session)
  }

  private evictRuns (session: Session): void {
    const remainingMs = session.remainingMs()
    if (remainingMs === undefined || session.runs.size === 0) return
    for (const run of chooseRunsToEvict(session.runs.values(), remainingMs, this.options.stopMs)) {
      this.options.log.decision('evict run', { task: run.name, run: run.number, worker: session.id, remainingMs })
      detach(session.stopRun(run, StopReason.Eviction))
    }
  }

  private restartStalled (nowMs: number): void {
    for (const run of this.options.ledger.all()) {
      if (run.state !== RunState.Running || run.stopping !== undefined || !isExpectedToAdvance(run)) continue
      const { progress, step } = run
      const standstillMs = progress.standstillMs()
      const limitMs = this.options.speeds.maxStandstillMs(run.stepName, step.estimateMs, progress.projectedMs())
      if (standstillMs <= limitMs) continue
      // A checkpoint shows progress of less than one percent.
      if (step.checkpoints && nowMs - run.checkpointChangedMs <= limitMs) continue
      this.options.log.decision('restart stalled task', {
        task: run.name,
        run: run.number,
        worker: run.session.id,
        elapsedMs: Math.round(nowMs - run.startedMs),
        progress: progress.percent,
        standstillMs: Math.round(standstillMs)
      })
      // The members of a gang stand still together, so that it is not known which worker is the cause.
      if (!step.gang) this.options.speeds.recordStall(run.session.id)
      detach(run.session.stopRun(run, StopReason.Stalled))
    }
  }

  private throttle (session: Session): void {
    const servingTasks = []
    const bestEffortRuns: Run[] = []
    for (const run of session.runs.values()) {
      if (run.state !== RunState.Running || run.stopping !== undefined) continue
      if (run.step.bestEffort) bestEffortRuns.push(run)
      else if (run.step.latencyTargetMs > 0) servingTasks.push({ tailMs: run.load, targetMs: run.step.latencyTargetMs })
    }
    if (bestEffortRuns.length === 0) {
      this.throttlePercents.delete(session.id)
      return
    }
    const before = this.throttlePercents.get(session.id) ?? 100
    const percent = nextThrottlePercent(before, servingTasks)
    this.throttlePercents.set(session.id, percent)
    for (const run of bestEffortRuns) {
      if (run.throttling || run.throttlePercent === percent) continue
      const { name: task, number, throttlePercent: before } = run
      this.options.log.decision('throttle task', { task, run: number, worker: session.id, percent, before })
      detach(session.throttle(run, percent))
    }
  }
}

/**
 * Returns true if a sound run makes progress all the time. A best-effort task makes none without unused capacity, and a gang none
 * until all of its members are present.
 */
function isExpectedToAdvance ({ step, number, progress }: Run): boolean {
  if (step.lasting || step.bestEffort || number > MAX_STALL_CHECKED_RUN_NUMBER || progress.percent === 100) return false
  return !step.gang || progress.projectedMs() !== undefined
}
