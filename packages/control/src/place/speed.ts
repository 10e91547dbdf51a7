/**
 * Estimates the speed of each worker by comparing tasks of the same step. Such tasks do about the same work, even if the caller's
 * estimate is wrong. Detects slow machines and tasks that stall.
 */

/** Weight of one comparison in the moving average of the logarithm of a worker's slowness. */
const LEARNING_RATE = 0.2
/** Minimum number of completed tasks of a step for its mean duration to be used instead of the estimate. */
const MIN_COMPLETED_TASKS = 2
/** A sound task may take this many times as long as the mean duration of its step on a typical worker. */
const MEAN_FACTOR = 2.5
/**
 * Used instead of MEAN_FACTOR, as a factor on the caller's estimate, while fewer than MIN_COMPLETED_TASKS durations of the step
 * are known. It is larger because the estimate is rough.
 */
const ESTIMATE_FACTOR = 6
/**
 * A task has stalled if it makes no progress for this share of its duration. Progress is reported in steps of 0.01, and a worker
 * may become several times as slow while a task runs.
 */
const STANDSTILL_SHARE = 0.1
/** A shorter standstill is never a stall. */
const MIN_STANDSTILL_MS = 700
/** Added to the logarithm of a worker's slowness when a task stalls on it. */
const STALL_PENALTY = 0.5
const MIN_SLOWNESS = 0.7
const MAX_SLOWNESS = 8
/** Maximum number of steps whose durations are kept. */
const MAX_STEPS = 5000

interface Durations {
  /** Sum of the durations, each divided by the slowness of its worker. */
  sumMs: number
  count: number
}

/** Estimates of the speed of workers and of the duration of steps. */
export class SpeedEstimator {
  private readonly steps = new Map<string, Durations>()
  /** Natural logarithm of the slowness, by worker. */
  private readonly logSlowness = new Map<string, number>()
  /** The slowness, by worker. */
  private readonly slowness = new Map<string, number>()

  /**
   * Records the duration of a completed task.
   *
   * @param step name of the step
   * @param worker worker on which the task ran
   * @param ranMs duration of a run that did not resume from a checkpoint
   */
  recordDuration (step: string, worker: string, ranMs: number): void {
    const known = this.steps.get(step) ?? { sumMs: 0, count: 0 }
    if (known.count > 0 && ranMs > 0) {
      const logRatio = Math.log(ranMs / (known.sumMs / known.count))
      const before = this.logSlowness.get(worker) ?? 0
      this.setLogSlowness(worker, before + LEARNING_RATE * (logRatio - before))
    }
    known.sumMs += ranMs / this.slownessOf(worker)
    known.count++
    this.steps.delete(step)
    this.steps.set(step, known)
    const oldest = this.steps.keys().next()
    if (this.steps.size > MAX_STEPS && oldest.done !== true) this.steps.delete(oldest.value)
  }

  /** Records that a task stalled on a worker. */
  recordStall (worker: string): void {
    this.setLogSlowness(worker, (this.logSlowness.get(worker) ?? 0) + STALL_PENALTY)
  }

  /** Drops the estimate for a worker. It is not called: an estimate stays in use when its worker restarts under the same id. */
  forget (worker: string): void {
    this.logSlowness.delete(worker)
    this.slowness.delete(worker)
  }

  /** Expected duration on a worker relative to that on a typical worker, from MIN_SLOWNESS to MAX_SLOWNESS. */
  slownessOf (worker: string): number {
    return this.slowness.get(worker) ?? 1
  }

  /**
   * Returns how long a task may make no progress before it counts as stalled, and should be placed again. A task that makes
   * progress is not stalled, however long it takes.
   *
   * @param step name of the step
   * @param estimateMs the caller's estimate; 0 if there is none
   * @param projectedMs time that the task takes at its own speed; undefined if it has made no progress yet
   * @returns milliseconds; Infinity if nothing is known about the duration of the task
   */
  maxStandstillMs (step: string, estimateMs: number, projectedMs: number | undefined): number {
    const durationMs = projectedMs ?? this.maxDurationMs(step, estimateMs)
    return durationMs > 0 ? Math.max(MIN_STANDSTILL_MS, STANDSTILL_SHARE * durationMs) : Infinity
  }

  private maxDurationMs (step: string, estimateMs: number): number {
    const known = this.steps.get(step)
    if (known !== undefined && known.count >= MIN_COMPLETED_TASKS) return MEAN_FACTOR * known.sumMs / known.count
    return ESTIMATE_FACTOR * estimateMs
  }

  private setLogSlowness (worker: string, value: number): void {
    this.logSlowness.set(worker, value)
    this.slowness.set(worker, Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, Math.exp(value))))
  }
}
