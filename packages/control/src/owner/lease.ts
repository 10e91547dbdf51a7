/**
 * The lease under which all runs on one worker execute, measured on the worker's own clock.
 */
import type { Clock } from '../clock.js'
import { COMMAND_VALIDITY_MS } from '../ports/fleet.js'

/** Lowest rate at which a worker's clock may run, relative to true time. */
export const MIN_CLOCK_RATE = 0.98
/** Added to the deadline of a lease before it counts as expired. */
const EXPIRY_MARGIN_MS = 150

/** Longest time from the call of a worker to its execution by the worker. */
const MAX_CALL_DELAY_MS = 12_000
/** Longest time from when the owner sends a command to its execution by a worker. */
export const MAX_COMMAND_DELAY_MS = COMMAND_VALIDITY_MS + MAX_CALL_DELAY_MS

/** Tracks the deadlines granted to a worker and determines when all of them have certainly passed. */
export class Lease {
  /** Time on the steady clock at which the newest reading of the worker's clock was received. */
  private clockReadAtMs: number
  private latestDeadlineMs = 0

  constructor (private readonly clock: Clock, private clockMs: number) {
    this.clockReadAtMs = clock.now()
  }

  /** Stores a reading of the worker's clock, unless it is older than the stored one because answers arrived out of order. */
  updateClock (clockMs: number): void {
    if (clockMs < this.clockMs) return
    this.clockMs = clockMs
    this.clockReadAtMs = this.clock.now()
  }

  /**
   * Resets the lease after a worker restarted. Commands sent to the previous incarnation can still reach the new one. Their
   * deadlines refer to the previous clock, so each of them is assumed to grant the longest lease.
   *
   * @param leaseMs longest lease that a worker accepts
   */
  reset (clockMs: number, leaseMs: number): void {
    this.clockMs = clockMs
    this.clockReadAtMs = this.clock.now()
    this.latestDeadlineMs = clockMs + MAX_COMMAND_DELAY_MS + leaseMs
  }

  /**
   * Records that a command with a deadline is about to be sent. The command may take effect whether or not it is answered.
   *
   * @param durationMs time from now until the deadline
   * @returns the deadline on the worker's clock, in whole milliseconds
   */
  grant (durationMs: number): number {
    const deadlineMs = Math.floor(this.clockMs + (this.clock.now() - this.clockReadAtMs)) + durationMs
    this.latestDeadlineMs = Math.max(this.latestDeadlineMs, deadlineMs)
    return deadlineMs
  }

  /** Returns true once every granted deadline has certainly passed on the worker's clock. */
  hasExpired (): boolean {
    const elapsedMs = (this.clock.now() - this.clockReadAtMs) * MIN_CLOCK_RATE
    return this.clockMs + elapsedMs > this.latestDeadlineMs + EXPIRY_MARGIN_MS
  }
}
