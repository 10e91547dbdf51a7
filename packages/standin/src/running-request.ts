/**
 * A request that runs on a stand-in worker.
 */
import type { TaskReport, TaskState, WorkerRequest } from '@fireflymount/service-clients/worker'

/** Attempt number in the report of a request; attempts of tasks start at 1. */
const REQUEST_ATTEMPT = 0

/** A request that runs. */
export class RunningRequest {
  /** Whether a response to adoption reported the request. If so, its completion is reported too. */
  reported = false

  /**
   * @param request the request
   * @param startedMs start time in the worker's clock
   */
  constructor (private readonly request: WorkerRequest, private readonly startedMs: number) {}

  /** Creates a report of the request with a state. */
  report (state: TaskState, nowMs: number): TaskReport {
    const { id, team, kind, size } = this.request
    return { id, attempt: REQUEST_ATTEMPT, team, kind, size, state, runtimeMs: nowMs - this.startedMs }
  }
}
