/**
 * One run of a task on a worker, as the owner knows it.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { TaskEntry, JobEntry } from '../journal/journal-state.js'
import type { Step } from '../model/job.js'
import { Progress } from './progress.js'
import type { Session } from './session.js'
import { StartAttempts } from './start-attempts.js'

/** State of a run. */
export enum RunState {
  /** The assignment is being written to the journal. */
  Committing = 'committing',
  /** The start request is in flight. */
  Starting = 'starting',
  /** The run is assigned, but it is unknown whether it has started. */
  Uncertain = 'uncertain',
  Running = 'running'
}

/** Why a run is being stopped. */
export enum StopReason {
  Cancelled = 'cancelled',
  /** The job has failed, or has completed while members of a gang still run. */
  JobEnded = 'job-failed',
  /**
   * It is unknown whether the run has started. A confirmed stop proves that it is not running and can no longer start in this incarnation of
   * the worker.
   */
  Uncertain = 'uncertain',
  /** The run of another member of the gang has ended without completing. */
  GangMemberEnded = 'gang-incomplete',
  Eviction = 'evacuation',
  /** The journal does not contain the run. Not used. */
  Unknown = 'unknown',
  /** An earlier run of the task has completed. */
  Superseded = 'superseded',
  /** A long-running or urgent task needs the capacity. */
  Preempted = 'preempted',
  /** The run makes no progress. */
  Stalled = 'stalled',
  /** The worker lists the run nowhere. A confirmed stop proves that it has ended. */
  Missing = 'missing'
}

/** A run, from its assignment until it is known that it has ended or can no longer start. */
export class Run {
  state = RunState.Committing
  /**
   * Assigned by a previous owner. If a report under this owner's fence contains all ended runs, and the run is neither among
   * them nor running, it can no longer start in this incarnation of the worker.
   */
  inherited = false
  /** The current incarnation of the worker has reported the run. The run therefore ends with that incarnation. */
  listed = false
  stopping: StopReason | undefined
  readonly starts = new StartAttempts()
  /** The worker only accepts a start of the run with a ticket for its present incarnation. */
  readonly needsTicket: boolean
  /** The start is being repeated until the worker confirms the run. */
  repeating = false
  /** The run is kept only because a start of it may still be carried out. */
  releaseDelayed = false
  /**
   * When the current incarnation of the worker last confirmed that the run was there, by the answer to its start or by a report: the worker's
   * clock, and the steady clock of this process. Undefined before.
   */
  confirmed: { readonly clockMs: number, readonly atMs: number } | undefined
  /** A report that contains all ended runs lists the run no more, neither as running nor as ended, although it was confirmed before. */
  missing = false
  /**
   * The worker's clock when it confirmed a stop. A later report without the run proves that the run has ended or never started.
   */
  stoppedClockMs: number | undefined
  /** Time on the steady clock of the assignment; for an inherited run, of the takeover. */
  readonly assignedMs: number
  /**
   * Time on the steady clock of the first confirmation that the run has started; 0 before it. For an inherited run, it is the
   * time of the first report to this owner.
   */
  startedMs = 0
  /** The most recent checkpoint that the worker reported; empty if there is none. */
  checkpoint = ''
  /** Time on the steady clock at which the checkpoint last changed, or at which the start was confirmed. */
  checkpointChangedMs = 0
  readonly progress = new Progress()
  /**
   * Percentage of full speed to which the worker has confirmed to throttle the run; undefined if it is unknown, because a command
   * is in flight or has failed, or an earlier owner may have throttled the run.
   */
  throttlePercent: number | undefined = 100
  /** A throttle command is in flight. */
  throttling = false
  /** As in ActiveRun.load. */
  load = 0
  /** The task's name as workers know it. */
  readonly name: string
  /** Job id, occurrence and step index, joined by dots. */
  readonly stepName: string
  readonly step: Step

  constructor (
    readonly entry: JobEntry,
    readonly task: TaskEntry,
    readonly number: number,
    readonly session: Session,
    readonly charge: Resources,
    readonly ticket: string,
    nowMs: number
  ) {
    this.assignedMs = nowMs
    this.needsTicket = ticket !== '' || entry.job.queueSettings?.advice !== undefined
    this.name = `${entry.job.id}.${task.key}`
    this.stepName = `${entry.job.id}.${task.occurrence}.${task.step}`
    this.step = entry.job.steps[task.step]!
  }
}
