/**
 * The rate of appends of one writer, so that all writers together stay within the budget of the log.
 */

/** Least appends a second. */
const LEAST_PER_S = 0.5
/** Factor by which a refusal for the budget lowers the rate. */
const LOWER = 0.7
/** How much the rate rises in each second, in appends a second. The same for all, so that they come to equal rates. */
const RISE_PER_S = 4

/** A rate that falls by a factor when the log is over its budget, and rises steadily when it is not. */
export class Pace {
  private readonly mostPerS: number
  private perS: number

  /** @param shortestMs shortest time between the starts of two appends */
  constructor (shortestMs: number) {
    this.mostPerS = 1000 / Math.max(1, shortestMs)
    this.perS = this.mostPerS
  }

  /** Time between the starts of two appends. */
  intervalMs (): number {
    return 1000 / this.perS
  }

  /** The log took an append. */
  onTaken (): void {
    this.perS = Math.min(this.mostPerS, this.perS + RISE_PER_S / this.perS)
  }

  /** The log refused an append because it is over its budget. */
  onThrottled (): void {
    this.perS = Math.max(LEAST_PER_S, this.perS * LOWER)
  }
}
