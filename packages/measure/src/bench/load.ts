/**
 * Load that does not wait for answers: each request is due at a fixed time, and its latency counts from then.
 */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { build, type Histogram } from 'hdr-histogram-js'

const US_PER_MS = 1000
const MS_PER_S = 1000
const HIGHEST_US = 60_000_000

/** A load. */
export interface LoadPlan {
  /** Requests a second. */
  readonly rate: number
  readonly durationMs: number
  /** Requests of this time at the start are sent and not counted. */
  readonly warmUpMs: number
  /** Sends one request. Returns false unless the right answer came back. */
  readonly send: (index: number) => Promise<boolean>
}

/** What came of a load. */
export interface LoadResult {
  readonly rate: number
  readonly sent: number
  readonly failed: number
  /** Right answers a second, from the first due time to the last answer. */
  readonly throughput: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly maxMs: number
}

/**
 * Sends a load at a constant rate, however long the answers take.
 *
 * @param plan the load
 * @returns latencies from the time at which each request was due, so that a stall counts for all that were due in it
 */
export async function runLoad (plan: LoadPlan): Promise<LoadResult> {
  const { rate, durationMs, warmUpMs, send } = plan
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 3 })
  const first = Math.round(warmUpMs * rate / MS_PER_S)
  const count = first + Math.round(durationMs * rate / MS_PER_S)
  const answers: Array<Promise<void>> = []
  let failed = 0
  const startMs = performance.now()
  for (let index = 0; index < count; index++) {
    const dueMs = startMs + index * MS_PER_S / rate
    while (performance.now() < dueMs) await nextTurn()
    answers.push(send(index).then((right) => {
      if (!right) failed += 1
      else if (index >= first) histogram.recordValue(Math.max(1, Math.round((performance.now() - dueMs) * US_PER_MS)))
    }))
  }
  await Promise.all(answers)
  const elapsedS = (performance.now() - startMs - warmUpMs) / MS_PER_S
  return { rate, sent: count, failed, throughput: histogram.totalCount / elapsedS, ...summarize(histogram) }
}

/**
 * Reads the usual percentiles.
 *
 * @param histogram latencies in microseconds
 * @returns milliseconds
 */
export function summarize (histogram: Histogram): Pick<LoadResult, 'p50Ms' | 'p99Ms' | 'maxMs'> {
  return {
    p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS,
    maxMs: histogram.maxValue / US_PER_MS
  }
}
