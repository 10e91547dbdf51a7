/**
 * Which runs leave a worker that drains, and when.
 */
import type { Run } from './run.js'

/** Time that a stop and the listing of its end take beside the worker's own bound on stops. */
const LEAVE_RESERVE_MS = 600

/**
 * Chooses the runs to stop on a draining worker. Tasks that save checkpoints lose nothing by a stop, but the less the later;
 * lasting tasks gain nothing by staying.
 *
 * @param runs what runs there
 * @param remainingMs least time that is left
 * @param stopMs longest time that a stop takes
 */
export function chooseLeaving (runs: Iterable<Run>, remainingMs: number, stopMs: number): Run[] {
  const leaving: Run[] = []
  const lastCall = remainingMs < stopMs + LEAVE_RESERVE_MS
  for (const run of runs) {
    if (run.stopping !== undefined) continue
    if (run.step.lasting || (run.step.checkpoints && lastCall)) leaving.push(run)
  }
  return leaving
}
