/**
 * Measures how late timers fire. A long delay means that the process lacks processor time or is blocked.
 */
import type { Clock } from '../clock.js'
import type { Log } from './log.js'
import type { Metrics } from './metrics.js'

const SAMPLE_INTERVAL_MS = 100
/** Delays from this on are logged. Other nodes close a connection to this process after such a delay. */
const LOGGED_DELAY_MS = 1000

/**
 * Starts to observe the delay of the event loop.
 *
 * @param signal ends the observation
 */
export function observeEventLoop (metrics: Metrics, log: Log, clock: Clock, signal: AbortSignal): void {
  let dueMs = clock.now() + SAMPLE_INTERVAL_MS
  const timer = setInterval(() => {
    const nowMs = clock.now()
    const delayMs = Math.max(0, nowMs - dueMs)
    metrics.eventLoopSeconds.observe(delayMs / 1000)
    if (delayMs >= LOGGED_DELAY_MS) log.event('event loop delayed', { delayMs: Math.round(delayMs) })
    dueMs = nowMs + SAMPLE_INTERVAL_MS
  }, SAMPLE_INTERVAL_MS)
  timer.unref()
  signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
}
