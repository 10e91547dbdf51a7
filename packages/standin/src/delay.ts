/**
 * Delays of calls.
 */
import { sleep } from '@fireflymount/service-clients/clock'

/** Waits for the given time. A delay of zero sets no timer. */
export async function delay (ms: number): Promise<void> {
  if (ms > 0) await sleep(ms)
}
