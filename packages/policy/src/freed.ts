/**
 * Workers that freed room and have not been offered to the lanes yet.
 */
import type { Fleet } from './fleet.js'
import { Condition } from './task.js'
import { NONE } from './table.js'

/** A set of workers, in the order in which they freed room. */
export class FreedWorkers {
  /** Set whenever a worker frees room; whoever has acted on it clears it. */
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
   * Takes a worker out because no lane can use it.
   *
   * @param worker the worker's index
   */
  remove (worker: number): void {
    this.workers.delete(worker)
  }

  /**
   * Finds a worker that can take something.
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
