/**
 * The start requests of one run. A worker may carry out a request that it has not answered long after it was sent, and also after a
 * restart: the new incarnation knows neither the stop of the run nor the fencing tokens of the one before.
 */
import { MAX_COMMAND_DELAY_MS } from './lease.js'

/** Tells until when a start of the run may take effect. */
export class StartAttempts {
  private sent = 0
  /** Number of requests of which it is not known that they were carried out or refused. */
  private unsettled = 0
  /** Time on the steady clock after which no request can be carried out any more. */
  private untilMs = -Infinity

  /** Notes a request that is about to be sent, at a time on the steady clock. */
  onSent (nowMs: number): void {
    this.sent++
    this.unsettled++
    this.untilMs = nowMs + MAX_COMMAND_DELAY_MS
  }

  /** Notes the answer to a request: the worker has carried it out or refused it, and does neither again. */
  onAnswered (): void {
    this.unsettled = Math.max(0, this.unsettled - 1)
  }

  /** Notes that the worker has reported the run. It does not show which one of several requests it has carried out. */
  onReported (): void {
    if (this.sent === 1) this.unsettled = 0
  }

  /** Notes that no request can be carried out any more. */
  settle (): void {
    this.unsettled = 0
  }

  /** Notes that an earlier owner may have sent a request, which can be carried out until a time on the steady clock. */
  inherit (untilMs: number): void {
    this.sent = 1
    this.unsettled = 1
    this.untilMs = untilMs
  }

  /** How long a request may still be carried out, from a time on the steady clock on; 0 if none can be. */
  remainingMs (nowMs: number): number {
    return this.unsettled === 0 ? 0 : Math.max(0, this.untilMs - nowMs)
  }
}
