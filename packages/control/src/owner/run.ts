/**
 * One run of a task on a worker, as the owner knows it.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { TaskEntry, JobEntry } from '../journal/table.js'
import type { Step } from '../model/job.js'
import type { Session } from './session.js'

/** How far a run has come. */
export enum RunState {
  /** Its assignment is being written to the journal. */
  Committing = 'committing',
  /** The start has been sent. */
  Starting = 'starting',
  /** Assigned, but whether it began is not known. */
  Uncertain = 'uncertain',
  Running = 'running'
}

/** Why a run is being stopped. */
export enum StopReason {
  Cancelled = 'cancelled',
  JobFailed = 'job-failed',
  /** Whether it began is not known; the stop proves that it never will. */
  Uncertain = 'uncertain',
  GangIncomplete = 'gang-incomplete',
  Evacuation = 'evacuation',
  /** The journal does not know the run. */
  Unknown = 'unknown',
  /** Another copy has finished. */
  Superseded = 'superseded',
  /** More urgent work takes its place. */
  Preempted = 'preempted',
  /** It makes no progress. */
  Stalled = 'stalled'
}

/** A run from its assignment until its end is known. */
export class Run {
  state = RunState.Committing
  /** Assigned by an earlier owner: a report under this owner's fence that does not list it proves that it will never begin. */
  inherited = false
  /** A report of the worker listed it: it began in the incarnation that is known, and ends with that one. */
  listed = false
  stopping: StopReason | undefined
  /** The worker's clock when it confirmed a stop; a later report without the run proves that it is gone. */
  stoppedClockMs: number | undefined
  /** Steady time of the assignment and of the first proof that it runs; 0 before. */
  readonly assignedMs: number
  startedMs = 0
  checkpoint = ''
  /** Steady time at which the checkpoint last changed. */
  progressMs = 0
  /** Share of its speed that it is let work at, as reported. */
  percent = 100
  load = 0

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
  }

  /** The task's name as workers know it. */
  get name (): string {
    return `${this.entry.job.id}.${this.task.key}`
  }

  /** Job id, occurrence and step, joined by dots. */
  get stepName (): string {
    return `${this.entry.job.id}.${this.task.occurrence}.${this.task.step}`
  }

  get step (): Step {
    return this.entry.job.steps[this.task.step]!
  }
}
