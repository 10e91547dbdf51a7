/**
 * Estimates the speed of each worker by comparing tasks of the same step. Such tasks do about the same work, even if the caller's
 * estimate is wrong. Detects slow machines and workers on which tasks stall.
 */

/** Weight of one comparison in the moving average of the logarithm of a worker's slowness. */
const LEARNING_RATE = 0.2
/** Minimum number of completed tasks of a step for its mean duration to be used in the check for stalls. */
const MIN_COMPLETED_TASKS = 2
/** A task that takes this many times as long as the mean duration of its step on a typical worker has stalled. */
const STALL_FACTOR = 2.5
/**
 * Used instead of STALL_FACTOR, as a factor on the caller's estimate, while fewer than MIN_COMPLETED_TASKS durations of the step
 * are known. It is larger because the estimate is rough.
 */
const ESTIMATE_FACTOR = 6
/** No task counts as stalled before it has run for this time. */
const MIN_STALL_MS = 700
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
   * Returns true if a task has run for so long that it should be stopped and placed again, preferably on a faster worker.
   *
   * @param step name of the step
   * @param estimateMs the caller's estimate
   * @param elapsedMs how long the task has run
   */
  isStalled (step: string, estimateMs: number, elapsedMs: number): boolean {
    if (elapsedMs < MIN_STALL_MS) return false
    const known = this.steps.get(step)
    if (known !== undefined && known.count >= MIN_COMPLETED_TASKS) return elapsedMs > STALL_FACTOR * known.sumMs / known.count
    return elapsedMs > ESTIMATE_FACTOR * estimateMs
  }

  private setLogSlowness (worker: string, value: number): void {
    this.logSlowness.set(worker, value)
    this.slowness.set(worker, Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, Math.exp(value))))
  }
}
