/**
 * Steps whose dependencies have completed, including steps of occurrences that are not due yet, each with its waiting tasks.
 */
import { Stage } from '../journal/record.js'
import type { JobEntry, TaskEntry } from '../journal/journal-state.js'
import type { Resources } from '@fireflymount/protocol/resources'
import { dueMsOf, occurrencesOf, longestChainsOf, type Step } from '../model/job.js'
import { chargeOf, type Ledger } from './ledger.js'

/** A step, of one occurrence of a job, whose dependencies have completed and which has waiting tasks. */
export interface ReadyStep {
  readonly entry: JobEntry
  readonly occurrence: number
  /** Index of the step in the job. */
  readonly index: number
  readonly step: Step
  /** Job id, occurrence and step index, joined by dots. */
  readonly name: string
  /** Unix time at which the occurrence is due; for a job without a schedule, at which it was accepted. */
  readonly dueMs: number
  /** Estimated duration of the longest chain of dependent steps that starts with this one. */
  readonly chainMs: number
  /** Length of the job's critical path. */
  readonly criticalPathMs: number
  /** What a task of the step is charged on its worker. */
  readonly charge: Resources
  /** Tasks that are not done and have no run. */
  readonly waiting: readonly TaskEntry[]
  /** Identifies the step for as long as it has waiting tasks. */
  readonly identity: object
}

/** The ready steps of all jobs, updated one job at a time. */
export class ReadySteps {
  private readonly byJob = new Map<string, ReadyStep[]>()
  private readonly changed = new Set<JobEntry>()

  constructor (private readonly ledger: Ledger) {}

  /**
   * Marks the ready steps of a job to be computed again before the next use. Must be called after each change of the job or of
   * its runs.
   */
  refresh (entry: JobEntry): void {
    this.changed.add(entry)
  }

  /** Returns all ready steps in no particular order. */
  * list (): Iterable<ReadyStep> {
    this.computeChanged()
    for (const readySteps of this.byJob.values()) yield * readySteps
  }

  /** Number of jobs that have a ready step. */
  get size (): number {
    this.computeChanged()
    return this.byJob.size
  }

  private computeChanged (): void {
    for (const entry of this.changed) this.compute(entry)
    this.changed.clear()
  }

  private compute (entry: JobEntry): void {
    const readySteps = entry.isFinishedOrCancelled() ? [] : this.readyStepsOf(entry)
    if (readySteps.length === 0) this.byJob.delete(entry.job.id)
    else this.byJob.set(entry.job.id, readySteps)
  }

  private readyStepsOf (entry: JobEntry): ReadyStep[] {
    const { job } = entry
    const before = this.byJob.get(job.id)
    const chains = longestChainsOf(job.steps)
    const criticalPathMs = Math.max(0, ...chains)
    const busy = new Set<TaskEntry>()
    for (const run of this.ledger.runsOf(entry)) busy.add(run.task)
    const readySteps: ReadyStep[] = []
    for (let occurrence = 0; occurrence < occurrencesOf(job); occurrence++) {
      for (const [index, step] of job.steps.entries()) {
        if (!step.after.every((earlier) => entry.isStepDone(occurrence, earlier))) continue
        const waiting = waitingOf(entry, busy, occurrence, index, step)
        if (waiting.length === 0) continue
        const name = `${job.id}.${occurrence}.${index}`
        const dueMs = dueMsOf(job, occurrence)
        readySteps.push({
          entry,
          occurrence,
          index,
          step,
          name,
          dueMs,
          chainMs: chains[index]!,
          criticalPathMs,
          charge: chargeOf(step),
          waiting,
          identity: before?.find((readyStep) => readyStep.name === name)?.identity ?? {}
        })
      }
    }
    return readySteps
  }
}

/**
 * Returns the tasks that are not done and have no run. For a gang, returns all of its tasks, or none if one of them has a run or
 * is done.
 *
 * @param busy tasks of the job that have a run
 */
function waitingOf (entry: JobEntry, busy: ReadonlySet<TaskEntry>, occurrence: number, index: number, step: Step): TaskEntry[] {
  const waiting: TaskEntry[] = []
  for (let task = 0; task < step.count; task++) {
    const known = entry.task(occurrence, index, task)
    if (known.stage === Stage.Waiting && !busy.has(known)) waiting.push(known)
  }
  return step.gang && waiting.length < step.count ? [] : waiting
}
