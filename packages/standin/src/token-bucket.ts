/**
 * A token bucket that limits the appends per second of the log service.
 */

const MS_PER_SECOND = 1_000

/** Limits operations per second. A burst may use up to the tokens of one second. */
export class TokenBucket {
  private tokens: number
  private refilledAtMs = performance.now()

  /** @param perSecond operations per second */
  constructor (private perSecond: number) {
    this.tokens = perSecond
  }

  /** Changes the rate and fills the bucket. */
  setRate (perSecond: number): void {
    this.perSecond = perSecond
    this.tokens = perSecond
  }

  /**
   * Takes a token for one operation.
   *
   * @returns false if there is none, which means that the operation exceeds the limit
   */
  take (): boolean {
    const now = performance.now()
    const refill = (now - this.refilledAtMs) * this.perSecond / MS_PER_SECOND
    this.tokens = Math.min(this.perSecond, this.tokens + refill)
    this.refilledAtMs = now
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}
