/**
 * Whether a worker could take a task of a step, and if not, why.
 */
import { WorkerVerdict, type WorkerOutlook } from '@fireflymount/protocol/dry-run'
import { fitsResources, type Resources } from '@fireflymount/protocol/resources'
import type { Step } from '../model/job.js'
import type { Worker } from '../model/worker.js'
import { headroomOf } from '../place/limit.js'

/** What the owner knows of a worker. */
export interface WorkerState {
  readonly worker: Worker
  /** The owner has taken the worker over, and it answers. */
  readonly reachable: boolean
  readonly evacuated: boolean
  /** Nothing is placed on the worker for a while, because runs failed on it. */
  readonly paused: boolean
  /** Runs that the owner does not know use capacity of the worker. */
  readonly hasUnknownRuns: boolean
  readonly free: Resources
}

/** What is known of the advisor's permission to run a step on a worker. */
export enum Permission {
  NotNeeded = 'not-needed',
  /** The advisor was not asked. */
  Unknown = 'unknown',
  Granted = 'granted',
  Denied = 'denied'
}

/** Verdicts on workers that take no new tasks of any step. */
const CLOSED: ReadonlySet<WorkerVerdict> = new Set([
  WorkerVerdict.Unreachable, WorkerVerdict.Evacuated, WorkerVerdict.Draining, WorkerVerdict.Quarantined
])
/** Verdicts on workers that can never run the step. */
const UNFIT: ReadonlySet<WorkerVerdict> = new Set([
  WorkerVerdict.Label, WorkerVerdict.TooSmall, WorkerVerdict.NotPermitted
])

/**
 * Judges a worker.
 *
 * @param charge what a task of the step is charged
 */
export function outlookOf (state: WorkerState, step: Step, charge: Resources, permission: Permission): WorkerOutlook {
  const { worker: { id, zone, capacity }, free } = state
  const verdict = verdictOf(state, step, charge, permission)
  const fits = verdict === WorkerVerdict.Available || verdict === WorkerVerdict.AdviceUnknown
  return { id, zone, capacity, verdict, startable: fits ? countFitting(step, charge, free) : 0 }
}

/** Returns true if a worker could run the step, whether or not it takes new tasks now. */
export function isFit ({ verdict }: WorkerOutlook): boolean {
  return !UNFIT.has(verdict)
}

/** Returns true if a worker could run the step and takes new tasks. */
export function isOpen ({ verdict }: WorkerOutlook): boolean {
  return !UNFIT.has(verdict) && !CLOSED.has(verdict)
}

function verdictOf (state: WorkerState, step: Step, charge: Resources, permission: Permission): WorkerVerdict {
  const { worker, free } = state
  // Without a registry entry, label and size are unknown.
  if (worker.address === '') return WorkerVerdict.Unreachable
  if (step.label !== '' && !worker.labels.includes(step.label)) return WorkerVerdict.Label
  if (!fitsResources(step.size, worker.capacity)) return WorkerVerdict.TooSmall
  if (permission === Permission.Denied) return WorkerVerdict.NotPermitted
  if (state.evacuated) return WorkerVerdict.Evacuated
  if (worker.draining) return WorkerVerdict.Draining
  if (!state.reachable) return WorkerVerdict.Unreachable
  if (state.paused) return WorkerVerdict.Quarantined
  if (state.hasUnknownRuns || !fitsResources(charge, free)) return WorkerVerdict.Busy
  return permission === Permission.Unknown ? WorkerVerdict.AdviceUnknown : WorkerVerdict.Available
}

/** Counts the tasks that fit, at most all tasks of the step. */
function countFitting (step: Step, charge: Resources, free: Resources): number {
  const limit = step.perWorker > 0 ? Math.min(step.perWorker, step.count) : step.count
  return Math.min(limit, headroomOf(free, { cpuMilli: 0, memoryMb: 0, accelerators: 0 }, charge))
}
