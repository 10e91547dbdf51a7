/**
 * Jobs of dependent steps, as callers submit them.
 */
import type { Resources } from '@fireflymount/protocol/resources'

/** One step: a number of tasks of the same size that run the same image. */
export interface Step {
  readonly count: number
  readonly size: Resources
  /** The caller's rough estimate of one task's duration. */
  readonly estimateMs: number
  /** Indices of the steps that must be done first. */
  readonly after: readonly number[]
  /** The tasks save checkpoints from which they resume. */
  readonly checkpoints: boolean
  /** All tasks of one run work together or not at all. */
  readonly gang: boolean
  /** The gang is slower on more than one rack. */
  readonly sameRack: boolean
  /** Label that a worker must have; empty for none. */
  readonly label: string
  /** Rack where the data is; empty for none. */
  readonly rack: string
  /** Most tasks of one occurrence on one worker; 0 for no bound. */
  readonly perWorker: number
  /** Copies of a task may run in parallel. */
  readonly speculative: boolean
  /** The tasks run until the job is cancelled and are restarted however they end. */
  readonly lasting: boolean
  /** What the tasks run; tasks of one image behave alike. */
  readonly image: string
  /** Latency that the tail of a serving task's responses must stay below; 0 if it serves nobody. */
  readonly latencyTargetMs: number
  /** The tasks use the processors that others leave idle and are not charged for them. */
  readonly bestEffort: boolean
  /** Tasks of a lasting step that may be away at once because of the scheduler. */
  readonly disruptionBudget: number
}

/** An accepted job. Immutable. */
export interface Job {
  /** 16 hexadecimal digits, chosen by the caller. */
  readonly id: string
  readonly queue: string
  /** The upstream that the queue named at acceptance; used if the queue is removed. */
  readonly upstream: string
  /** The workspace whose key came with the job; empty on a queue that is open to all. */
  readonly workspace: string
  /** Opaque to the scheduler; handed to every task. */
  readonly payload: string
  readonly steps: readonly Step[]
  /** How many times the steps run; 0 for a job without a schedule. */
  readonly occurrences: number
  /** When occurrence 0 is due, Unix time. */
  readonly firstDueMs: number
  readonly intervalMs: number
  /** Unix time of the acceptance, on the accepting node's clock. */
  readonly acceptedMs: number
}

/** What callers are shown of a job. */
export enum Phase {
  Pending = 'pending',
  Active = 'active',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

/**
 * Tells whether a phase is final.
 *
 * @param phase the phase
 * @returns true if no task of the job may start any more
 */
export function isFinal (phase: Phase): boolean {
  return phase === Phase.Completed || phase === Phase.Failed || phase === Phase.Cancelled
}

/**
 * Names the task of a job: occurrence, step and index.
 *
 * @returns the task's key within its job
 */
export function taskKeyOf (occurrence: number, step: number, index: number): string {
  return `${occurrence}.${step}.${index}`
}

/** How many times the steps of a job run. */
export function occurrencesOf (job: Job): number {
  return Math.max(1, job.occurrences)
}

/**
 * Tells when an occurrence is due.
 *
 * @param job the job
 * @param occurrence counted from 0
 * @returns Unix time in milliseconds
 */
export function dueMsOf (job: Job, occurrence: number): number {
  return job.occurrences === 0 ? job.acceptedMs : job.firstDueMs + occurrence * job.intervalMs
}

/**
 * Sums the longest chain of dependent steps.
 *
 * @param steps the steps of a job
 * @returns the length in milliseconds by the caller's estimates
 */
export function chainMsOf (steps: readonly Step[]): number {
  return Math.max(0, ...remainingChainsOf(steps))
}

/**
 * Sums, for each step, the longest chain of dependent steps that begins with it.
 *
 * @param steps the steps of a job
 * @returns lengths in milliseconds, by index of the step
 */
export function remainingChainsOf (steps: readonly Step[]): number[] {
  const longest = steps.map((step) => step.estimateMs)
  for (let index = steps.length - 1; index >= 0; index--) {
    const step = steps[index]!
    for (const earlier of step.after) {
      longest[earlier] = Math.max(longest[earlier] ?? 0, (steps[earlier]?.estimateMs ?? 0) + longest[index]!)
    }
  }
  return longest
}

/**
 * Finds what makes a job impossible to run.
 *
 * @param steps the steps as they were submitted
 * @returns the mistake and how to mend it, or undefined if there is none
 */
export function findJobMistake (steps: readonly Step[]): string | undefined {
  if (steps.length === 0) return 'The job has no steps. Give at least one.'
  for (const [index, step] of steps.entries()) {
    if (!Number.isInteger(step.count) || step.count < 1) return `Step ${index} has no tasks. Give a count of 1 or more.`
    for (const earlier of step.after) {
      if (!Number.isInteger(earlier) || earlier < 0 || earlier >= index) {
        return `Step ${index} depends on step ${earlier}. A step can depend on earlier steps only.`
      }
    }
  }
}
