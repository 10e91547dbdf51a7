/**
 * Jobs: graphs of dependent steps that callers submit.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { QueueSettings, WorkspaceSettings } from './configuration.js'

/** One step: a number of tasks of equal size that run the same image. */
export interface Step {
  readonly count: number
  readonly size: Resources
  /** The caller's rough estimate of one task's duration. */
  readonly estimateMs: number
  /** Indices of the steps that must complete before this step starts. */
  readonly after: readonly number[]
  /** True if the tasks save checkpoints from which a later run resumes. */
  readonly checkpoints: boolean
  /** True if the tasks are gang scheduled: all of them run at the same time, or none does. */
  readonly gang: boolean
  /** True if the gang runs slower when it is spread over more than one rack. */
  readonly sameRack: boolean
  /** Label that a worker must have; empty if any worker will do. */
  readonly label: string
  /** Rack that holds the tasks' data; empty if there is no preference. */
  readonly rack: string
  /** Maximum number of tasks of one occurrence on one worker; 0 for no limit. */
  readonly perWorker: number
  /** True if a speculative copy of a task may run in parallel with it. Not used by this scheduler. */
  readonly speculative: boolean
  /** True if the tasks are long-running: they run until the job is cancelled and are placed again whenever a run ends. */
  readonly lasting: boolean
  /** Image that the tasks run. Tasks of the same image are expected to behave alike. Not used by this scheduler. */
  readonly image: string
  /** Target for the tail latency of a serving task's responses; 0 if the tasks serve no requests. */
  readonly latencyTargetMs: number
  /** True if the tasks use only CPU time that other tasks leave idle, which is not charged to them. */
  readonly bestEffort: boolean
  /**
   * Maximum number of tasks of a long-running step that the scheduler may make unavailable at the same time. Not used by this
   * scheduler.
   */
  readonly disruptionBudget: number
}

/** An accepted job. Immutable. */
export interface Job {
  /** 16 hexadecimal digits, chosen by the caller. */
  readonly id: string
  readonly queue: string
  /** The queue's upstream when the job was accepted; used if the queue is removed from the configuration. */
  readonly upstream: string
  /** The workspace whose key was used to submit the job; empty for a job without a known key on an open queue. */
  readonly workspace: string
  /** Passed to every task; the scheduler does not interpret it. */
  readonly payload: string
  readonly steps: readonly Step[]
  /** Number of scheduled executions of the steps; 0 for a job without a schedule. */
  readonly occurrences: number
  /** Unix time at which occurrence 0 is due. */
  readonly firstDueMs: number
  /** Time between the due times of two consecutive occurrences. */
  readonly intervalMs: number
  /** Unix time at which the job was accepted, on the accepting node's clock. */
  readonly acceptedMs: number
  /**
   * Settings of the queue when the job was accepted; they apply if the queue is removed from the configuration. Undefined in records
   * of earlier builds.
   */
  readonly queueSettings?: QueueSettings | undefined
  /** The same of the workspace. Undefined also for a job without a workspace. */
  readonly workspaceSettings?: WorkspaceSettings | undefined
}

/** The state of a job that callers see. */
export enum Phase {
  Pending = 'pending',
  Active = 'active',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

const PHASES: ReadonlySet<unknown> = new Set(Object.values(Phase))

/** Checks whether a value, which another process sent, is a phase. */
export function isPhase (value: unknown): value is Phase {
  return PHASES.has(value)
}

/**
 * Checks whether a phase is final.
 *
 * @param phase the phase
 * @returns true if the job has completed, failed or been cancelled
 */
export function isFinal (phase: Phase): boolean {
  return phase === Phase.Completed || phase === Phase.Failed || phase === Phase.Cancelled
}

/**
 * Builds the key of a task from its occurrence, step and index.
 *
 * @returns the key, unique within the job
 */
export function taskKeyOf (occurrence: number, step: number, index: number): string {
  return `${occurrence}.${step}.${index}`
}

/** Returns how many times the steps of a job run. */
export function occurrencesOf (job: Job): number {
  return Math.max(1, job.occurrences)
}

/**
 * Returns the time at which an occurrence is due. For a job without a schedule, this is the time at which it was accepted.
 *
 * @param job the job
 * @param occurrence index of the occurrence, from 0
 * @returns Unix time in milliseconds
 */
export function dueMsOf (job: Job, occurrence: number): number {
  return job.occurrences === 0 ? job.acceptedMs : job.firstDueMs + occurrence * job.intervalMs
}

/**
 * Computes the length of a job's critical path: its longest chain of dependent steps.
 *
 * @param steps the steps of a job
 * @returns the length in milliseconds, from the caller's estimates
 */
export function criticalPathMsOf (steps: readonly Step[]): number {
  return Math.max(0, ...longestChainsOf(steps))
}

/**
 * Computes, for each step, the length of the longest chain of dependent steps that starts with it.
 *
 * @param steps the steps of a job
 * @returns lengths in milliseconds, by step index
 */
export function longestChainsOf (steps: readonly Step[]): number[] {
  const longest = steps.map((step) => step.estimateMs)
  for (let index = steps.length - 1; index >= 0; index--) {
    const step = steps[index]!
    for (const earlier of step.after) {
      longest[earlier] = Math.max(longest[earlier] ?? 0, (steps[earlier]?.estimateMs ?? 0) + longest[index]!)
    }
  }
  return longest
}

/** Maximum number of tasks of a job, all occurrences together. Every node keeps the state of all of them in memory. */
export const MAX_JOB_TASKS = 100_000

/**
 * Validates the settings that a job keeps of its queue and its workspace.
 *
 * @returns the first validation error, or undefined if the settings are valid
 */
export function findSettingsError ({ queueSettings: queue, workspaceSettings: workspace }: Job): string | undefined {
  if (queue !== undefined) {
    const { callMs, workerMs, validMs } = queue.advice ?? { callMs: 0, workerMs: 0, validMs: 0 }
    const amounts = [queue.priority, queue.stretch, queue.targetMs, callMs, workerMs, validMs]
    if (!isCount(queue.attempts) || !amounts.every(isAmount)) return 'A setting of the queue is not a number of 0 or more.'
  }
  if (workspace !== undefined) {
    const { cpuMilli, memoryMb, accelerators } = workspace.upperLimit
    const amounts = [workspace.weight, cpuMilli, memoryMb, accelerators]
    if (!amounts.every(isAmount)) return 'A setting of the workspace is not a number of 0 or more.'
  }
}

/**
 * Validates a job.
 *
 * @param job the job as it was submitted
 * @returns the first validation error and how to fix it, or undefined if the job is valid
 */
export function findJobError (job: Pick<Job, 'steps' | 'occurrences' | 'firstDueMs' | 'intervalMs'>): string | undefined {
  const { steps, occurrences, firstDueMs, intervalMs } = job
  if (steps.length === 0) return 'The job has no steps. Submit at least one step.'
  if (!isCount(occurrences)) return 'The number of occurrences is invalid. Set it to 0 or a positive whole number.'
  if (!isAmount(firstDueMs) || !isAmount(intervalMs)) return 'A time of the schedule is invalid. Set it to 0 or more milliseconds.'
  let taskCount = 0
  for (const [index, step] of steps.entries()) {
    const stepError = findStepError(step, index)
    if (stepError !== undefined) return `Step ${index} ${stepError}`
    taskCount += step.count * Math.max(1, occurrences)
  }
  if (taskCount > MAX_JOB_TASKS) return `The job has ${taskCount} tasks. Split it into jobs of at most ${MAX_JOB_TASKS} tasks.`
}

function findStepError (step: Step, index: number): string | undefined {
  if (!isCount(step.count) || step.count < 1) return 'has no tasks. Set its count to 1 or more.'
  for (const earlier of step.after) {
    if (!isCount(earlier) || earlier >= index) return `depends on step ${earlier}. A step can depend only on steps before it.`
  }
  const { cpuMilli, memoryMb, accelerators } = step.size
  if (![cpuMilli, memoryMb, accelerators].every(isAmount)) return 'has an invalid size. Set each resource to 0 or more.'
  if (!isAmount(step.estimateMs) || !isAmount(step.latencyTargetMs)) return 'has an invalid time. Set it to 0 or more milliseconds.'
  if (!isCount(step.perWorker) || !isCount(step.disruptionBudget)) {
    return 'has an invalid bound. Set it to 0 or a positive whole number.'
  }
}

function isCount (value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0
}

function isAmount (value: number): boolean {
  return Number.isFinite(value) && value >= 0
}
