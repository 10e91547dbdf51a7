/**
 * Reports which clients were refused or closed: counters by reason, and one log line for each reason and interval.
 */
import type { Logger } from 'pino'
import type { Metrics } from '../metrics.js'
import { Cutoff } from './gate.js'

/** Counts the clients of one listener that were refused or closed. */
export class CutoffReport {
  /** Those since the last report. */
  private readonly counts = new Map<Cutoff, number>()

  /** @param listener name of the listener in metrics and log lines */
  constructor (private readonly listener: string, private readonly metrics: Metrics, private readonly logger: Pick<Logger, 'warn'>) {}

  /** Counts a connection or request that was refused or closed. */
  count (cutoff: Cutoff): void {
    this.metrics.count(`${this.listener}.cutoff.${cutoff}`)
    if (cutoff === Cutoff.Connections) this.metrics.count(`${this.listener}.connections.refused`)
    this.counts.set(cutoff, (this.counts.get(cutoff) ?? 0) + 1)
  }

  /** Writes a line for each reason that occurred since the last report. */
  report (): void {
    for (const [reason, count] of this.counts) {
      this.logger.warn({ listener: this.listener, reason, count }, 'clients refused or closed')
    }
    this.counts.clear()
  }
}
