/**
 * Counters and timings of a node, sent as StatsD metrics and shown on the status page.
 */

/** Where counts and timings go. */
export abstract class Metrics {
  /** Adds to a counter. */
  abstract count (name: string, by?: number): void
  /** Records a duration in milliseconds. */
  abstract timing (name: string, ms: number): void
  /** Sets a gauge. */
  abstract gauge (name: string, value: number): void
}
