/**
 * A token bucket for the appends that the log service takes.
 */

const SECOND_MS = 1_000

/** Allows a number of operations a second, with bursts of up to one second's worth. */
export class Budget {
  private tokens: number
  private filledAt = performance.now()

  /** @param perSecond operations a second */
  constructor (private perSecond: number) {
    this.tokens = perSecond
  }

  /** Changes the rate. The bucket starts full. */
  change (perSecond: number): void {
    this.perSecond = perSecond
    this.tokens = perSecond
  }

  /** @returns true if the operation is within the budget */
  take (): boolean {
    const now = performance.now()
    const refill = (now - this.filledAt) * this.perSecond / SECOND_MS
    this.tokens = Math.min(this.perSecond, this.tokens + refill)
    this.filledAt = now
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}
