/**
 * How quick each worker is, found by comparing tasks of one step with each other: they do about the same work, whatever the
 * caller estimated. Answers the patterns of slow machines and of workers on which tasks stand still.
 */

/** Weight of one comparison. */
const LEARNING_RATE = 0.2
/** Comparisons of tasks done after which a step's typical duration is trusted. */
const SIBLINGS_MIN = 2
/** A task that takes this many times as long as its siblings is not worth waiting for. */
const STALL_FACTOR = 2.5
/** The same against the caller's estimate, which is rough. */
const ESTIMATE_FACTOR = 6
/** No task counts as stalled before this time. */
const STALL_MIN_MS = 700
/** Added to a worker's slowness, as a logarithm, when a task stalls on it. */
const STALL_PENALTY = 0.5
const SLOWNESS_MAX = 8
/** Steps whose durations are remembered. */
const STEPS_MAX = 5000

interface Durations {
  sumMs: number
  count: number
}

/** Speeds of workers and durations of steps. */
export class SpeedBook {
  private readonly steps = new Map<string, Durations>()
  /** Natural logarithm of the slowness, by worker. */
  private readonly workers = new Map<string, number>()

  /**
   * Notes a task that is done.
   *
   * @param step name of the step
   * @param worker where it ran
   * @param ranMs its duration, without checkpoints resumed from
   */
  note (step: string, worker: string, ranMs: number): void {
    const known = this.steps.get(step) ?? { sumMs: 0, count: 0 }
    if (known.count > 0 && ranMs > 0) {
      const ratio = Math.log(ranMs / (known.sumMs / known.count))
      const before = this.workers.get(worker) ?? 0
      this.workers.set(worker, before + LEARNING_RATE * (ratio - before))
    }
    known.sumMs += ranMs / this.slownessOf(worker)
    known.count++
    this.steps.delete(step)
    this.steps.set(step, known)
    const oldest = this.steps.keys().next()
    if (this.steps.size > STEPS_MAX && oldest.done !== true) this.steps.delete(oldest.value)
  }

  /** Notes that a task stood still on a worker. */
  noteStall (worker: string): void {
    this.workers.set(worker, (this.workers.get(worker) ?? 0) + STALL_PENALTY)
  }

  /** Forgets a worker that has started anew. */
  forget (worker: string): void {
    this.workers.delete(worker)
  }

  /** Expected duration on a worker against that on a typical one; at least 1 and never below the quickest. */
  slownessOf (worker: string): number {
    return Math.min(SLOWNESS_MAX, Math.max(0.7, Math.exp(this.workers.get(worker) ?? 0)))
  }

  /**
   * Tells whether a task runs so long that it is better begun elsewhere.
   *
   * @param step name of the step
   * @param estimateMs the caller's estimate
   * @param elapsedMs how long the task has run
   */
  isStalled (step: string, estimateMs: number, elapsedMs: number): boolean {
    if (elapsedMs < STALL_MIN_MS) return false
    const known = this.steps.get(step)
    if (known !== undefined && known.count >= SIBLINGS_MIN) return elapsedMs > STALL_FACTOR * known.sumMs / known.count
    return elapsedMs > ESTIMATE_FACTOR * estimateMs
  }
}
