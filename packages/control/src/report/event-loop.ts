/**
 * Measures how late timers fire. A long delay means that the process lacks processor time or is blocked.
 */
import type { Clock } from '../clock.js'
import type { Log } from './log.js'
import type { Metrics } from './metrics.js'

const SAMPLE_INTERVAL_MS = 100
/** Delays from this on are logged. Other nodes close a connection to this process after such a delay. */
const LOGGED_DELAY_MS = 1000

/** The time between two executions of a timer. */
export interface LoopSample {
  /** Steady time of the second execution. */
  readonly atMs: number
  readonly spanMs: number
  /** How late the second execution was. */
  readonly delayMs: number
  /** Processor time that the process used in between. */
  readonly processorMs: number
}

/**
 * Starts to observe the delay of the event loop.
 *
 * @param onSample called with each sample
 * @param signal ends the observation
 */
export function observeEventLoop (
  metrics: Metrics, log: Log, clock: Clock, onSample: (sample: LoopSample) => void, signal: AbortSignal
): void {
  let lastMs = clock.now()
  let lastProcessorMs = clock.processorMs()
  const timer = setInterval(() => {
    const atMs = clock.now()
    const processorMs = clock.processorMs()
    const spanMs = atMs - lastMs
    const delayMs = Math.max(0, spanMs - SAMPLE_INTERVAL_MS)
    metrics.eventLoopSeconds.observe(delayMs / 1000)
    if (delayMs >= LOGGED_DELAY_MS) log.event('event loop delayed', { delayMs: Math.round(delayMs) })
    onSample({ atMs, spanMs, delayMs, processorMs: processorMs - lastProcessorMs })
    lastMs = atMs
    lastProcessorMs = processorMs
  }, SAMPLE_INTERVAL_MS)
  timer.unref()
  signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
}
