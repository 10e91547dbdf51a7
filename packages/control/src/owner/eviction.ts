/**
 * Selects the runs to evict from a draining worker.
 */
import type { Run } from './run.js'

/**
 * Time to send a stop and to receive the end of the run, in addition to `stopMs`, the maximum time that a worker takes to stop a
 * run.
 */
const STOP_MARGIN_MS = 600

/**
 * Selects the runs to stop on a draining worker. A task that saves checkpoints is stopped as late as possible, because it loses
 * little work by a stop and makes progress until then. A long-running task is stopped at once, because it gains nothing by
 * staying. Other tasks run on, since a stop would lose all their work.
 *
 * @param runs runs on the worker
 * @param remainingMs minimum time that the worker has left
 * @param stopMs maximum time that a worker takes to stop a run
 */
export function chooseRunsToEvict (runs: Iterable<Run>, remainingMs: number, stopMs: number): Run[] {
  const runsToEvict: Run[] = []
  const mustStopNow = remainingMs < stopMs + STOP_MARGIN_MS
  for (const run of runs) {
    if (run.stopping !== undefined) continue
    if (run.step.lasting || (run.step.checkpoints && mustStopNow)) runsToEvict.push(run)
  }
  return runsToEvict
}
