/**
 * Turns of connections on which more was received than is handled at once: one connection in each iteration of the event loop.
 *
 * Node.js accepts one new connection in each iteration. Many connections that go on in the same one would keep new clients waiting.
 */

/** Connections that wait for their turns. */
export class Turns {
  private readonly waiting = new Set<() => void>()
  private scheduled = false

  /** Calls a function once its turn has come. A function that is waiting already keeps its place. */
  add (goOn: () => void): void {
    this.waiting.add(goOn)
    this.schedule()
  }

  /** Takes back a function that was added. */
  remove (goOn: () => void): void {
    this.waiting.delete(goOn)
  }

  private schedule (): void {
    if (this.scheduled || this.waiting.size === 0) return
    this.scheduled = true
    setImmediate(() => { this.next() })
  }

  private next (): void {
    this.scheduled = false
    const [goOn] = this.waiting
    if (goOn === undefined) return
    this.waiting.delete(goOn)
    this.schedule()
    goOn()
  }
}
