/**
 * Steps whose dependencies have completed, including steps of occurrences that are not due yet, each with its waiting tasks.
 */
import { Stage } from '../journal/record.js'
import type { JobEntry, TaskEntry } from '../journal/journal-state.js'
import { dueMsOf, occurrencesOf, longestChainsOf, type Step } from '../model/job.js'
import type { Ledger } from './ledger.js'

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
  /** Tasks that are not done and have no run. */
  readonly waiting: readonly TaskEntry[]
}

/** The ready steps of all jobs, updated one job at a time. */
export class ReadySteps {
  private readonly byJob = new Map<string, ReadyStep[]>()

  constructor (private readonly ledger: Ledger) {}

  /** Recomputes the ready steps of a job. Must be called after each change of the job or of its runs. */
  refresh (entry: JobEntry): void {
    const readySteps = entry.isFinishedOrCancelled() ? [] : this.readyStepsOf(entry)
    if (readySteps.length === 0) this.byJob.delete(entry.job.id)
    else this.byJob.set(entry.job.id, readySteps)
  }

  /** Returns all ready steps in no particular order. */
  * list (): Iterable<ReadyStep> {
    for (const readySteps of this.byJob.values()) yield * readySteps
  }

  /** Number of jobs that have a ready step. */
  get size (): number {
    return this.byJob.size
  }

  private readyStepsOf (entry: JobEntry): ReadyStep[] {
    const { job } = entry
    const chains = longestChainsOf(job.steps)
    const readySteps: ReadyStep[] = []
    for (let occurrence = 0; occurrence < occurrencesOf(job); occurrence++) {
      for (const [index, step] of job.steps.entries()) {
        if (!step.after.every((earlier) => entry.isStepDone(occurrence, earlier))) continue
        const waiting = this.waitingOf(entry, occurrence, index, step)
        if (waiting.length === 0) continue
        const name = `${job.id}.${occurrence}.${index}`
        const dueMs = dueMsOf(job, occurrence)
        readySteps.push({ entry, occurrence, index, step, name, dueMs, chainMs: chains[index]!, waiting })
      }
    }
    return readySteps
  }

  /**
   * Returns the tasks that are not done and have no run. For a gang, returns all of its tasks, or none if one of them has a run
   * or is done.
   */
  private waitingOf (entry: JobEntry, occurrence: number, index: number, step: Step): TaskEntry[] {
    const waiting: TaskEntry[] = []
    for (let task = 0; task < step.count; task++) {
      const known = entry.task(occurrence, index, task)
      if (known.stage === Stage.Waiting && this.ledger.runOf(entry, known) === undefined) waiting.push(known)
    }
    return step.gang && waiting.length < step.count ? [] : waiting
  }
}
