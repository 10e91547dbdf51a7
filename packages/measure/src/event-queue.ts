/**
 * Queue of the future events of a simulation.
 */

/** A binary heap ordered by time; events with the same time are taken in the order in which they were added. */
export class EventQueue<Item> {
  private readonly times: number[] = []
  private readonly sequences: number[] = []
  private readonly items: Item[] = []
  private nextSequence = 0

  /**
   * Reads the time of the first event.
   *
   * @returns the time in milliseconds, Infinity if the queue is empty
   */
  firstMs (): number {
    return this.times[0] ?? Infinity
  }

  /**
   * Adds an event.
   *
   * @param atMs its time
   * @param item the event
   */
  add (atMs: number, item: Item): void {
    const sequence = this.nextSequence++
    let child = this.times.length
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (this.times[parent]! <= atMs) break
      this.write(child, this.times[parent]!, this.sequences[parent]!, this.items[parent]!)
      child = parent
    }
    this.write(child, atMs, sequence, item)
  }

  /**
   * Removes the first event.
   *
   * @returns the event; the queue must not be empty
   */
  takeFirst (): Item {
    const item = this.items[0]!
    const time = this.times.pop()!
    const sequence = this.sequences.pop()!
    const last = this.items.pop()!
    const length = this.times.length
    if (length === 0) return item
    let parent = 0
    for (let child = 1; child < length; child = parent * 2 + 1) {
      if (child + 1 < length && this.isBefore(child + 1, this.times[child]!, this.sequences[child]!)) child++
      if (!this.isBefore(child, time, sequence)) break
      this.write(parent, this.times[child]!, this.sequences[child]!, this.items[child]!)
      parent = child
    }
    this.write(parent, time, sequence, last)
    return item
  }

  private isBefore (index: number, time: number, sequence: number): boolean {
    const other = this.times[index]!
    return other === time ? this.sequences[index]! < sequence : other < time
  }

  private write (index: number, time: number, sequence: number, item: Item): void {
    this.times[index] = time
    this.sequences[index] = sequence
    this.items[index] = item
  }
}
