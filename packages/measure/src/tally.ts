/**
 * Counts what became of tasks, by class.
 */
import type { Task } from '@fireflymount/policy/task'

/** What became of the tasks of one class. */
export interface Outcome {
  readonly kind: string
  readonly p50Ms: number
  readonly p99Ms: number
  readonly started: number
  /** Refused at once. */
  readonly refused: number
  /** Expired after waiting. */
  readonly expired: number
  /** Failed for good. */
  readonly lost: number
  /** Still waiting at the end, counted in the waiting times with the time waited so far. */
  readonly left: number
  readonly preempted: number
}

interface Count {
  readonly waits: Map<string, number>
  refused: number
  expired: number
  cancelled: number
  lost: number
  left: number
  preempted: number
}

/** Waiting times and ends by kind of task. A task's waiting time ends with the start that succeeds. */
export class Tally {
  private readonly counts = new Map<string, Count>()

  start (task: Task, nowMs: number): void {
    const { waits } = this.count(task)
    if (!waits.has(task.id)) waits.set(task.id, nowMs - task.submittedMs)
  }

  /** Counts a task that still waits. */
  leave (task: Task, nowMs: number): void {
    this.start(task, nowMs)
    this.count(task).left++
  }

  refuse (task: Task): void {
    this.count(task).refused++
  }

  expire (task: Task): void {
    this.count(task).expired++
  }

  cancel (task: Task): void {
    this.count(task).cancelled++
  }

  lose (task: Task): void {
    this.count(task).lost++
  }

  preempt (task: Task): void {
    this.count(task).preempted++
  }

  /**
   * Sums up.
   *
   * @returns one line for each kind, by name
   */
  outcomes (): Outcome[] {
    const kinds = [...this.counts.keys()].sort()
    return kinds.map(kind => {
      const { waits, refused, expired, lost, left, preempted } = this.counts.get(kind)!
      const sorted = Float64Array.from(waits.values()).sort()
      return {
        kind,
        p50Ms: quantile(sorted, 0.5),
        p99Ms: quantile(sorted, 0.99),
        started: sorted.length - left,
        refused,
        expired,
        lost,
        left,
        preempted
      }
    })
  }

  private count ({ kind }: Task): Count {
    const known = this.counts.get(kind)
    if (known !== undefined) return known
    const count = { waits: new Map(), refused: 0, expired: 0, cancelled: 0, lost: 0, left: 0, preempted: 0 }
    this.counts.set(kind, count)
    return count
  }
}

/**
 * Reads a quantile.
 *
 * @param sorted the values, ascending
 * @param part from 0 to 1
 * @returns the value, NaN if there are none
 */
export function quantile (sorted: ArrayLike<number>, part: number): number {
  if (sorted.length === 0) return NaN
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))]!
}
