/**
 * Measures how fast memory is released, so that callers can be told when there will be room.
 */

/** Minimum time over which a rate is measured. */
const WINDOW_MS = 2000
/** Time in which the weight of an earlier rate falls to 1/e. */
const AVERAGING_MS = 10_000

/** A moving average of the rate of releases. */
export class ReleaseRate {
  /** Bytes that were released since `sinceMs`. */
  private released = 0
  private sinceMs: number | undefined
  private bytesPerMs: number | undefined

  add (bytes: number): void {
    this.released += bytes
  }

  /**
   * Closes the window if it is long enough. Calls at regular intervals keep old releases from counting as new ones.
   *
   * @param nowMs time on the steady clock
   * @returns the rate in bytes per millisecond, or undefined until a window has passed since the first call
   */
  measure (nowMs: number): number | undefined {
    const elapsedMs = this.sinceMs === undefined ? Infinity : nowMs - this.sinceMs
    if (elapsedMs < WINDOW_MS) return this.bytesPerMs
    if (elapsedMs < Infinity) {
      const rate = this.released / elapsedMs
      const earlier = this.bytesPerMs ?? rate
      this.bytesPerMs = rate + (earlier - rate) * Math.exp(-elapsedMs / AVERAGING_MS)
    }
    this.released = 0
    this.sinceMs = nowMs
    return this.bytesPerMs
  }
}
