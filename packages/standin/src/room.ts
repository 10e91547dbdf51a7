/**
 * Slots and resources of a stand-in worker.
 */
import { addResources, fitsResources, NO_RESOURCES, subtractResources, type Resources } from '@fireflymount/protocol/resources'

/** What is taken of a worker's slots and resources. */
export class Room {
  private taken = 0
  private used: Resources = NO_RESOURCES

  /**
   * @param slots how many tasks and requests run at once
   * @param capacity processors, memory and accelerators
   */
  constructor (private readonly slots: number, private readonly capacity: Resources) {}

  /** @returns false if there is no slot or not enough resources; nothing is taken then */
  take (size: Resources): boolean {
    if (this.taken >= this.slots) return false
    if (!fitsResources(size, subtractResources(this.capacity, this.used))) return false
    this.taken += 1
    this.used = addResources(this.used, size)
    return true
  }

  /** Gives a slot and resources back. */
  free (size: Resources): void {
    this.taken -= 1
    this.used = subtractResources(this.used, size)
  }

  /** Gives everything back. */
  clear (): void {
    this.taken = 0
    this.used = NO_RESOURCES
  }
}
