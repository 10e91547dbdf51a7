/**
 * Decides when scheduling rounds run. A round runs at once if the one before is long enough ago; otherwise requests are combined
 * into one round. The pause after a round grows with its duration, so that rounds leave most of the processor to calls and
 * reports however many tasks wait.
 */
import type { Clock } from '../clock.js'

/** Minimum pause after a round. Requests in this time are combined into one round. */
const MIN_PAUSE_MS = 4
/** The pause as a multiple of the duration of the round before it. */
const PAUSE_FACTOR = 3
/** Maximum pause. The duration of a round is not bounded: it includes times in which the process did not run. */
const MAX_PAUSE_MS = 100

/** Runs rounds on request. */
export class RoundPacer {
  private timer: NodeJS.Timeout | undefined
  private running = false
  /** A round was requested while one was running. */
  private requestedAgain = false
  private nextMs = -Infinity

  constructor (private readonly clock: Clock, private readonly runRound: () => void) {}

  /** Requests a round. It runs in a later turn of the event loop, after the pause. */
  request (): void {
    if (this.timer !== undefined) return
    if (this.running) {
      this.requestedAgain = true
      return
    }
    this.timer = setTimeout(() => { this.run() }, Math.max(0, this.nextMs - this.clock.now()))
  }

  /** Drops a requested round. */
  close (): void {
    clearTimeout(this.timer)
  }

  private run (): void {
    this.timer = undefined
    this.running = true
    this.requestedAgain = false
    const startedMs = this.clock.now()
    this.runRound()
    const endedMs = this.clock.now()
    this.nextMs = endedMs + Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, PAUSE_FACTOR * (endedMs - startedMs)))
    this.running = false
    if (this.requestedAgain) this.request()
  }
}
