/**
 * Tasks that belong together: members of a gang, replicas of a service.
 */
import type { Task } from './task.js'

/** A group's members and where they run. */
export class Group {
  /** Slots of waiting members. */
  readonly waiting = new Set<number>()
  /** Slots of running members. */
  readonly running = new Set<number>()
  readonly workers = new Map<number, number>()
  readonly racks = new Map<number, number>()
  readonly zones = new Map<number, number>()
  /** Slot that stands for the whole gang in its lane, or NONE. */
  leader = -1

  constructor (readonly key: string, readonly size: number) {}

  /**
   * Tells whether all members are known that are needed for a start.
   *
   * @returns true if none is missing
   */
  complete (): boolean {
    return this.waiting.size > 0 && this.waiting.size + this.running.size >= this.size
  }

  /**
   * Counts a running member in or out of a place.
   *
   * @param worker the worker's index
   * @param rack the rack's index
   * @param zone the availability zone's index
   * @param change 1 or -1
   */
  count (worker: number, rack: number, zone: number, change: number): void {
    add(this.workers, worker, change)
    add(this.racks, rack, change)
    add(this.zones, zone, change)
  }
}

function add (counts: Map<number, number>, key: number, change: number): void {
  const count = (counts.get(key) ?? 0) + change
  if (count === 0) counts.delete(key)
  else counts.set(key, count)
}

/**
 * Names a task's group.
 *
 * @param task the task
 * @returns the key, unique among teams; undefined if the task stands alone
 */
export function groupKey (task: Task): string | undefined {
  return task.group === undefined ? undefined : `${task.team}/${task.kind}/${task.group}`
}
