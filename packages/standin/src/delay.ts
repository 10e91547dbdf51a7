/**
 * Delays that cost nothing if there is none.
 */
import { sleep } from '@fireflymount/platform/clock'

/** Waits, without a turn of the event loop's timers if the time is zero. */
export async function delay (ms: number): Promise<void> {
  if (ms > 0) await sleep(ms)
}
