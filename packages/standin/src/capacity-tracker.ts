/**
 * Tracks the slots and resources in use on a stand-in worker.
 */
import { addResources, fitsResources, NO_RESOURCES, subtractResources, type Resources } from '@fireflymount/protocol/resources'

/** The slots and resources in use on one worker. */
export class CapacityTracker {
  private usedSlots = 0
  private usedResources: Resources = NO_RESOURCES

  /**
   * @param slots maximum number of concurrent tasks and requests
   * @param capacity CPU, memory and accelerators
   */
  constructor (private readonly slots: number, private readonly capacity: Resources) {}

  /**
   * Allocates a slot and resources.
   *
   * @returns false, without allocating anything, if there is no free slot or not enough free resources
   */
  tryAllocate (size: Resources): boolean {
    if (this.usedSlots >= this.slots) return false
    if (!fitsResources(size, subtractResources(this.capacity, this.usedResources))) return false
    this.usedSlots += 1
    this.usedResources = addResources(this.usedResources, size)
    return true
  }

  /** Releases a slot and resources. */
  release (size: Resources): void {
    this.usedSlots -= 1
    this.usedResources = subtractResources(this.usedResources, size)
  }

  /** Releases everything. */
  clear (): void {
    this.usedSlots = 0
    this.usedResources = NO_RESOURCES
  }
}
