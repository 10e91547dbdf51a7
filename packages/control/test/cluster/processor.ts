/**
 * The processor of one simulated node: work is done one piece at a time, in the order in which it was requested.
 */
export class Processor {
  private idleAtMs = 0

  /** @param costMs processor time of one piece of work on this node */
  constructor (private readonly costMs: number) {}

  /** Resolves when the processor has done one more piece of work. */
  async use (): Promise<void> {
    const nowMs = performance.now()
    this.idleAtMs = Math.max(this.idleAtMs, nowMs) + this.costMs
    await new Promise((resolve) => setTimeout(resolve, this.idleAtMs - nowMs))
  }
}
