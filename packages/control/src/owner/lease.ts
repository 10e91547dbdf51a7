/**
 * The lease of all that runs on one worker, on the worker's own clock.
 */
import type { Clock } from '../clock.js'

/** Slowest that a worker's clock may run, as a share of true time. */
const CLOCK_SLOWEST = 0.98
/** Added to the end of a lease before it counts as lapsed. */
const LAPSE_MARGIN_MS = 150

/** Longest time after which an order without an answer is still carried out. */
const LATE_ORDER_MS = 12_000

/** What has been granted, and when it has certainly ended. */
export class Lease {
  /** Steady time at which the newest reading of the worker's clock was received. */
  private readAtMs: number
  private lastDeadlineMs = 0

  constructor (private readonly clock: Clock, private clockMs: number) {
    this.readAtMs = clock.now()
  }

  /** Takes over a reading of the worker's clock, unless an older answer was overtaken. */
  read (clockMs: number): void {
    if (clockMs < this.clockMs) return
    this.clockMs = clockMs
    this.readAtMs = this.clock.now()
  }

  /**
   * Begins anew for a worker that has started anew. Orders that were meant for the earlier incarnation can still reach this one;
   * their deadlines, on the earlier clock, count here as the longest lease.
   *
   * @param leaseMs longest lease that a worker grants
   */
  reset (clockMs: number, leaseMs: number): void {
    this.clockMs = clockMs
    this.readAtMs = this.clock.now()
    this.lastDeadlineMs = clockMs + LATE_ORDER_MS + leaseMs
  }

  /**
   * Notes that an order with a deadline is sent: it may take effect, whether answered or not.
   *
   * @param forMs time from now
   * @returns the deadline on the worker's clock, whole milliseconds
   */
  grant (forMs: number): number {
    const deadlineMs = Math.floor(this.clockMs + (this.clock.now() - this.readAtMs)) + forMs
    this.lastDeadlineMs = Math.max(this.lastDeadlineMs, deadlineMs)
    return deadlineMs
  }

  /** True once every deadline that was granted has certainly passed on the worker's clock. */
  lapsed (): boolean {
    const elapsedMs = (this.clock.now() - this.readAtMs) * CLOCK_SLOWEST
    return this.clockMs + elapsedMs > this.lastDeadlineMs + LAPSE_MARGIN_MS
  }
}
