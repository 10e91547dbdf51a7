/**
 * Limits the append rate of one writer, so that all writers together stay within the rate limit of the log.
 */

/** Lower bound of the rate, so that a throttled writer keeps trying. */
const MIN_APPENDS_PER_S = 0.5
/** The rate is multiplied by this factor after each throttled append. */
const DECREASE_FACTOR = 0.7
/**
 * Increase of the rate per second, in appends per second. Each successful append adds INCREASE_PER_S / rate, and at the
 * current rate there are `rate` appends in a second. The value is the same for all writers, so that their rates converge.
 */
const INCREASE_PER_S = 4

/** An append rate with additive increase after successful appends and multiplicative decrease after throttled ones. */
export class AppendRate {
  private readonly maxPerS: number
  private perS: number

  /** @param minIntervalMs time between the starts of two appends at the maximum rate; the writer adds a jitter of +-20 % */
  constructor (minIntervalMs: number) {
    this.maxPerS = 1000 / Math.max(1, minIntervalMs)
    this.perS = this.maxPerS
  }

  /** Current time between the starts of two appends. */
  intervalMs (): number {
    return 1000 / this.perS
  }

  /** Raises the rate after a successful append. */
  onAppended (): void {
    this.perS = Math.min(this.maxPerS, this.perS + INCREASE_PER_S / this.perS)
  }

  /** Lowers the rate after an append that the log throttled. */
  onThrottled (): void {
    this.perS = Math.max(MIN_APPENDS_PER_S, this.perS * DECREASE_FACTOR)
  }
}
