/**
 * One request while it runs on a stand-in worker.
 */
import type { TaskReport, TaskState, WorkerRequest } from '@fireflymount/platform/worker'

/** Attempt in the report of a request. */
const REQUEST_ATTEMPT = 0

/** A running request. */
export class ActiveRequest {
  /** Whether an adoption reported it: its end is then reported too. */
  told = false

  /**
   * @param request the request
   * @param startedMs time of the start in the worker's clock
   */
  constructor (private readonly request: WorkerRequest, private readonly startedMs: number) {}

  /** The report of the request in a state. */
  report (state: TaskState, nowMs: number): TaskReport {
    const { id, team, kind, size } = this.request
    return { id, attempt: REQUEST_ATTEMPT, team, kind, size, state, runtimeMs: nowMs - this.startedMs }
  }
}
