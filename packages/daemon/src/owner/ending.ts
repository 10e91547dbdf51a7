/**
 * What a worker's report of a task means for the shard's stream and for the scheduler.
 */
import { TaskState, type TaskReport } from '@fireflymount/platform/worker'
import { Ending, type Task } from '@fireflymount/policy/task'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { ChangeKind, Outcome, type Ended } from './change.js'

/**
 * Describes a task that only its worker's report tells of.
 *
 * @param report the worker's report of a running task
 * @param nowMs the time
 * @returns the task, as the scheduler charges it
 *
 * @example
 * scheduler.adopt(createUnread(report, nowMs), worker, nowMs)
 */
export function createUnread (report: TaskReport, nowMs: number): Task {
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
 * Describes the end of a run for the shard's stream.
 *
 * @param report the worker's report of an ended task
 * @param outcome what the end means for the task
 * @returns the change
 *
 * @example
 * await journal.commit(endOf(report, Outcome.Succeeded), PATIENCE_MS)
 */
export function endOf (report: TaskReport, outcome: Outcome): Ended {
  return {
    kind: ChangeKind.Ended,
    task: report.id,
    attempt: report.attempt,
    outcome,
    atMs: Date.now(),
    ...(report.result === undefined || outcome === Outcome.Again ? {} : { result: report.result }),
    ...(report.state === TaskState.Failed ? { detail: 'The task failed.' } : {}),
    ...(report.state === TaskState.Lapsed && outcome === Outcome.Failed
      ? { detail: 'The worker stopped the task because its lease lapsed.' }
      : {})
  }
}

/**
 * Tells what the end of a run means for its task.
 *
 * @param report the worker's report of an ended task
 * @param again the task may run again
 * @returns the outcome
 *
 * @example
 * outcomeOf(report, queue.idempotent)
 */
export function outcomeOf (report: TaskReport, again: boolean): Outcome {
  switch (report.state) {
    case TaskState.Succeeded: return Outcome.Succeeded
    case TaskState.Stopped: return again ? Outcome.Again : Outcome.Cancelled
    case TaskState.Failed: return again ? Outcome.Again : Outcome.Failed
    default: return again ? Outcome.Again : Outcome.Failed
  }
}

/**
 * Tells how a run ended, as far as the scheduler learns from it.
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
