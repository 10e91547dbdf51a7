/**
 * Open-loop load generator: each request is due at a fixed time, independent of earlier answers, and its latency is
 * measured from that time.
 */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { build, type Histogram } from 'hdr-histogram-js'

const US_PER_MS = 1000
const MS_PER_S = 1000
/** Highest latency that the histograms can record. */
export const MAX_LATENCY_US = 60_000_000

/** Parameters of a load run. */
export interface LoadPlan {
  /** Requests a second. */
  readonly rate: number
  readonly durationMs: number
  /** Time at the start whose requests are sent but not recorded in the latencies and the throughput. */
  readonly warmUpMs: number
  /** Sends one request. Resolves to false unless the correct answer is returned. */
  readonly send: (index: number) => Promise<boolean>
}

/** Result of a load run. */
export interface LoadResult {
  /** Requests per second. */
  readonly rate: number
  /** Requests sent, including those of the warm-up. */
  readonly sent: number
  /** Requests without a correct answer, including those of the warm-up. */
  readonly failed: number
  /** Correct answers per second, from the first due time after the warm-up to the last answer. */
  readonly throughput: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly maxMs: number
}

/**
 * Sends requests at a constant rate, regardless of how long the answers take.
 *
 * @param plan parameters of the load
 * @returns the result. Each latency is measured from the time at which the request was due. A stall therefore adds to the
 *   latency of every request that was due during it.
 */
export async function runLoad (plan: LoadPlan): Promise<LoadResult> {
  const { rate, durationMs, warmUpMs, send } = plan
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 })
  const firstCounted = Math.round(warmUpMs * rate / MS_PER_S)
  const count = firstCounted + Math.round(durationMs * rate / MS_PER_S)
  const answers: Array<Promise<void>> = []
  let failed = 0
  const startMs = performance.now()
  for (let index = 0; index < count; index++) {
    const dueMs = startMs + index * MS_PER_S / rate
    while (performance.now() < dueMs) await nextTurn()
    answers.push(send(index).then((isCorrect) => {
      if (!isCorrect) failed += 1
      else if (index >= firstCounted) histogram.recordValue(Math.max(1, Math.round((performance.now() - dueMs) * US_PER_MS)))
    }))
  }
  await Promise.all(answers)
  const elapsedS = (performance.now() - startMs - warmUpMs) / MS_PER_S
  return { rate, sent: count, failed, throughput: histogram.totalCount / elapsedS, ...summarize(histogram) }
}

/**
 * Reads the median, the 99th percentile and the maximum.
 *
 * @param histogram latencies in microseconds
 * @returns the values in milliseconds
 */
export function summarize (histogram: Histogram): Pick<LoadResult, 'p50Ms' | 'p99Ms' | 'maxMs'> {
  return {
    p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS,
    maxMs: histogram.maxValue / US_PER_MS
  }
}
