/**
 * Groups of tasks: the members of a gang or the replicas of a service.
 */
import type { Task } from './task.js'
import { NONE } from './table.js'

/** The members of a group, and how many run on each worker, rack and availability zone. */
export class Group {
  /** Rows of waiting members. */
  readonly waiting = new Set<number>()
  /** Rows of running members. */
  readonly running = new Set<number>()
  readonly workers = new Map<number, number>()
  readonly racks = new Map<number, number>()
  readonly zones = new Map<number, number>()
  /** Row of the member that represents the whole gang in its lane, or NONE. */
  representative = NONE

  constructor (readonly key: string, readonly size: number) {}

  /**
   * Returns whether enough members have arrived to start the group.
   *
   * @returns true if a member waits and none is missing
   */
  isComplete (): boolean {
    return this.waiting.size > 0 && this.waiting.size + this.running.size >= this.size
  }

  /**
   * Adds a running member to the counts of its worker, rack and availability zone, or removes it from them.
   *
   * @param worker the worker's index
   * @param rack the rack's index
   * @param zone the availability zone's index
   * @param change 1 to add, -1 to remove
   */
  countRunning (worker: number, rack: number, zone: number, change: number): void {
    addToCount(this.workers, worker, change)
    addToCount(this.racks, rack, change)
    addToCount(this.zones, zone, change)
  }
}

function addToCount (counts: Map<number, number>, key: number, change: number): void {
  const count = (counts.get(key) ?? 0) + change
  if (count === 0) counts.delete(key)
  else counts.set(key, count)
}

/**
 * Returns the key of a task's group.
 *
 * @param task the task
 * @returns the key, unique over all teams and kinds; undefined if the task has no group
 */
export function groupKey (task: Task): string | undefined {
  return task.group === undefined ? undefined : `${task.team}/${task.kind}/${task.group}`
}
