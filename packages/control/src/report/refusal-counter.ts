/**
 * Counts refusals, so that a flood of them takes at most one log line a second for each reason.
 */
import type { Clock } from '../clock.js'
import type { Log } from './log.js'

const INTERVAL_MS = 1000

interface Count {
  loggedMs: number
  /** Number of refusals since the last line. */
  refusals: number
}

/** Counts refusals by reason. */
export class RefusalCounter {
  private readonly counts = new Map<string, Count>()

  /** @param name name of the log lines */
  constructor (private readonly log: Log, private readonly clock: Clock, private readonly name: string) {}

  /**
   * Counts a refusal. Logs it with the number of those since the last line of the reason, which are not logged themselves.
   *
   * @param fields further fields of the line
   */
  count (reason: string, fields: Record<string, unknown>): void {
    const nowMs = this.clock.now()
    const known = this.counts.get(reason)
    const count = known ?? { loggedMs: -Infinity, refusals: 0 }
    if (known === undefined) this.counts.set(reason, count)
    count.refusals++
    if (nowMs - count.loggedMs < INTERVAL_MS) return
    this.log.event(this.name, { reason, refusals: count.refusals, ...fields })
    count.loggedMs = nowMs
    count.refusals = 0
  }
}
