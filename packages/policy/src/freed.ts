/**
 * Workers that may have new free capacity and have not been offered to the lanes since.
 */
import type { Fleet } from './fleet.js'
import { Condition } from './task.js'
import { NONE } from './table.js'

/** A set of workers, in the order in which they were added. */
export class FreedWorkers {
  /** Set when a worker is added to the set; Review clears it after it has unblocked the gangs that missing capacity blocked. */
  changed = false
  private readonly workers = new Set<number>()

  constructor (private readonly fleet: Fleet) {}

  /**
   * Adds a worker.
   *
   * @param worker the worker's index
   */
  add (worker: number): void {
    this.changed = true
    this.workers.add(worker)
  }

  /**
   * Removes a worker: no lane can use its free capacity, or it has left.
   *
   * @param worker the worker's index
   */
  remove (worker: number): void {
    this.workers.delete(worker)
  }

  /**
   * Returns the first ready worker with a free slot, and drops the workers before it.
   *
   * @returns the worker's index, or NONE
   */
  next (): number {
    for (const worker of this.workers) {
      if (this.fleet.freeSlots[worker]! > 0 && this.fleet.conditions[worker] === Condition.Ready) return worker
      this.workers.delete(worker)
    }
    return NONE
  }
}
