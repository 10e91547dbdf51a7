/**
 * A queue of future events.
 */

/** A binary heap by time; events at the same time leave in the order of their arrival. */
export class Queue<Item> {
  private readonly times: number[] = []
  private readonly orders: number[] = []
  private readonly items: Item[] = []
  private sequence = 0

  /**
   * Time of the first event.
   *
   * @returns milliseconds, Infinity if there is none
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
    const order = this.sequence++
    let child = this.times.length
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (this.times[parent]! <= atMs) break
      this.write(child, this.times[parent]!, this.orders[parent]!, this.items[parent]!)
      child = parent
    }
    this.write(child, atMs, order, item)
  }

  /**
   * Takes the first event.
   *
   * @returns the event; the queue must not be empty
   */
  take (): Item {
    const item = this.items[0]!
    const time = this.times.pop()!
    const order = this.orders.pop()!
    const last = this.items.pop()!
    const length = this.times.length
    if (length === 0) return item
    let parent = 0
    for (let child = 1; child < length; child = parent * 2 + 1) {
      if (child + 1 < length && this.before(child + 1, this.times[child]!, this.orders[child]!)) child++
      if (!this.before(child, time, order)) break
      this.write(parent, this.times[child]!, this.orders[child]!, this.items[child]!)
      parent = child
    }
    this.write(parent, time, order, last)
    return item
  }

  private before (index: number, time: number, order: number): boolean {
    const other = this.times[index]!
    return other === time ? this.orders[index]! < order : other < time
  }

  private write (index: number, time: number, order: number, item: Item): void {
    this.times[index] = time
    this.orders[index] = order
    this.items[index] = item
  }
}
