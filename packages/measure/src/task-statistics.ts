/**
 * Statistics of the waiting times and outcomes of tasks, by kind of task.
 */
import type { Task } from '@fireflymount/policy/task'

/** Waiting times and outcomes of the tasks of one kind. */
export interface KindOutcome {
  readonly kind: string
  readonly p50Ms: number
  readonly p99Ms: number
  /** Tasks that started a run that does not fail, except those that wait again at the end. */
  readonly started: number
  /** Tasks that the scheduler refused on arrival. */
  readonly refused: number
  /** Tasks that were not started before their latest start time. */
  readonly expired: number
  /** Tasks that failed on all attempts; the results call them lost. */
  readonly lost: number
  /**
   * Tasks still waiting at the end. The percentiles include their waiting time up to then. For a task that started earlier
   * and was preempted, they include the wait until its first start instead.
   */
  readonly left: number
  readonly preempted: number
}

interface KindCounts {
  readonly waits: Map<string, number>
  refused: number
  expired: number
  cancelled: number
  failed: number
  left: number
  preempted: number
}

/** Collects waiting times and outcomes by kind of task. A task waits until the start of its first run that does not fail. */
export class TaskStatistics {
  private readonly countsByKind = new Map<string, KindCounts>()

  recordStart (task: Task, nowMs: number): void {
    const { waits } = this.countsOf(task)
    if (!waits.has(task.id)) waits.set(task.id, nowMs - task.submittedMs)
  }

  /** Records a task that is still waiting at the end. */
  recordStillWaiting (task: Task, nowMs: number): void {
    this.recordStart(task, nowMs)
    this.countsOf(task).left++
  }

  recordRefusal (task: Task): void {
    this.countsOf(task).refused++
  }

  recordExpiry (task: Task): void {
    this.countsOf(task).expired++
  }

  recordCancellation (task: Task): void {
    this.countsOf(task).cancelled++
  }

  recordFailure (task: Task): void {
    this.countsOf(task).failed++
  }

  recordPreemption (task: Task): void {
    this.countsOf(task).preempted++
  }

  /**
   * Summarizes the statistics.
   *
   * @returns one entry for each kind, sorted by name
   */
  outcomes (): KindOutcome[] {
    const kinds = [...this.countsByKind.keys()].sort()
    return kinds.map(kind => {
      const { waits, refused, expired, failed, left, preempted } = this.countsByKind.get(kind)!
      const sorted = Float64Array.from(waits.values()).sort()
      return {
        kind,
        p50Ms: quantile(sorted, 0.5),
        p99Ms: quantile(sorted, 0.99),
        started: sorted.length - left,
        refused,
        expired,
        lost: failed,
        left,
        preempted
      }
    })
  }

  private countsOf ({ kind }: Task): KindCounts {
    const known = this.countsByKind.get(kind)
    if (known !== undefined) return known
    const count = { waits: new Map(), refused: 0, expired: 0, cancelled: 0, failed: 0, left: 0, preempted: 0 }
    this.countsByKind.set(kind, count)
    return count
  }
}

/**
 * Computes a quantile.
 *
 * @param sorted the values in ascending order
 * @param fraction the quantile, from 0 to 1
 * @returns the value at the quantile, NaN if there are no values
 */
export function quantile (sorted: ArrayLike<number>, fraction: number): number {
  if (sorted.length === 0) return NaN
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))]!
}
