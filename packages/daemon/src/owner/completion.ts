/**
 * Translates a worker's report of a task into changes of the shard's stream and into endings for the scheduler.
 */
import { TaskState, type TaskReport } from '@fireflymount/service-clients/worker'
import { Ending, type Task } from '@fireflymount/policy/task'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { ChangeKind, RunOutcome, type Ended } from './change.js'

/**
 * Describes a running task that is known only from its worker's report.
 *
 * @param report the worker's report of a running task
 * @param nowMs the monotonic time
 * @returns the task for the scheduler
 *
 * @example
 * scheduler.adopt(createUnrecordedTask(report, nowMs), worker, nowMs)
 */
export function createUnrecordedTask (report: TaskReport, nowMs: number): Task {
  return {
    id: report.id,
    team: report.team,
    kind: report.kind,
    workload: Workload.Batch,
    urgency: Urgency.Normal,
    size: report.size,
    runtimeMs: report.runtimeMs,
    submittedMs: nowMs,
    checkpoint: false
  }
}

/**
 * Creates the change that records the end of a run.
 *
 * @param report the worker's report of an ended task
 * @param outcome the outcome for the task
 * @returns the change
 *
 * @example
 * await journal.commit(createEnded(report, RunOutcome.Succeeded), COMMIT_TIMEOUT_MS)
 */
export function createEnded (report: TaskReport, outcome: RunOutcome): Ended {
  return {
    kind: ChangeKind.Ended,
    task: report.id,
    attempt: report.attempt,
    outcome,
    atMs: Date.now(),
    ...(report.result === undefined || outcome === RunOutcome.Retry ? {} : { result: report.result }),
    ...(report.state === TaskState.Failed ? { detail: 'The task failed.' } : {}),
    ...(report.state === TaskState.LeaseExpired && outcome === RunOutcome.Failed
      ? { detail: 'The worker stopped the task because its lease expired.' }
      : {})
  }
}

/**
 * Returns the outcome that the end of a run has for its task.
 *
 * @param report the worker's report of an ended task
 * @param mayRetry true if the task may run again
 * @returns the outcome
 *
 * @example
 * outcomeOf(report, mayRetry)
 */
export function outcomeOf (report: TaskReport, mayRetry: boolean): RunOutcome {
  switch (report.state) {
    case TaskState.Succeeded: return RunOutcome.Succeeded
    case TaskState.Stopped: return mayRetry ? RunOutcome.Retry : RunOutcome.Cancelled
    case TaskState.Failed: return mayRetry ? RunOutcome.Retry : RunOutcome.Failed
    // TaskState.LeaseExpired: the same outcomes as for TaskState.Failed.
    default: return mayRetry ? RunOutcome.Retry : RunOutcome.Failed
  }
}

/**
 * Returns how a run ended, as far as the scheduler distinguishes it.
 *
 * @param report the worker's report of an ended task
 * @returns the ending
 *
 * @example
 * scheduler.finish(report.id, endingOf(report), nowMs)
 */
export function endingOf (report: TaskReport): Ending {
  switch (report.state) {
    case TaskState.Succeeded: return Ending.Succeeded
    case TaskState.Failed: return Ending.Failed
    default: return Ending.Released
  }
}
