/**
 * Progress of a call to the store.
 */

/** What has been received of the answer to one call, through all attempts to make it directly. */
export class Transfer {
  /** Number of times that the call was sent. */
  attempts = 0
  /** Steady time of the latest data of the answer; before the first, the time at which the call was sent. */
  latestMs: number
  /** Time from the call until the first data of the answer; undefined while there is none. */
  firstDataAfterMs: number | undefined
  /** Numbers of the attempts whose answer has begun to arrive. */
  private readonly begunAttempts = new Set<number>()

  /**
   * @param sentMs steady time at which the call is sent
   * @param longPollMs how long the store may delay its answer
   */
  constructor (private readonly sentMs: number, private readonly longPollMs: number) {
    this.latestMs = sentMs
  }

  /** True if the answer has begun to arrive. */
  get begun (): boolean {
    return this.firstDataAfterMs !== undefined
  }

  /** Steady time from which the lack of further data counts as silence of the store. */
  get silentFromMs (): number {
    return this.begun ? this.latestMs : this.latestMs + this.longPollMs
  }

  /** True if the answer to another attempt has begun to arrive. */
  hasBegunElsewhere (attempt: number): boolean {
    return this.begunAttempts.size > (this.begunAttempts.has(attempt) ? 1 : 0)
  }

  /**
   * Records that data of the answer has arrived.
   *
   * @param nowMs steady time
   * @param attempt number of the attempt, from 1
   */
  recordData (nowMs: number, attempt: number): void {
    this.begunAttempts.add(attempt)
    this.firstDataAfterMs ??= nowMs - this.sentMs
    this.latestMs = nowMs
  }
}
