/**
 * Background loops that outlive unexpected errors.
 */
import { sleep } from './clock.js'
import { describeError, type Log } from './report/log.js'

/** Delay before a loop is started again after an unexpected error. */
export const RESTART_DELAY_MS = 500

/**
 * Runs a loop until it returns. An unexpected error ends only this run of the loop: it is logged, and the loop is started again.
 *
 * @param name what the loop does, for the log
 * @param loop the loop; it returns once the signal aborts
 * @param signal no new run is started once it aborts
 */
export async function supervise (name: string, loop: () => Promise<void>, signal: AbortSignal, log: Log): Promise<void> {
  while (!signal.aborted) {
    try {
      await loop()
      return
    } catch (error) {
      log.event('background task failed', { task: name, error: describeError(error) })
      await sleep(RESTART_DELAY_MS, signal)
    }
  }
}
