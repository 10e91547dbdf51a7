/**
 * The steps whose turn has come, with the tasks of each that wait for a worker.
 */
import { Stage } from '../journal/record.js'
import type { JobEntry, TaskEntry } from '../journal/table.js'
import { dueMsOf, occurrencesOf, remainingChainsOf, type Step } from '../model/job.js'
import type { Ledger } from './ledger.js'

/** A step of an occurrence with waiting tasks. */
export interface Demand {
  readonly entry: JobEntry
  readonly occurrence: number
  readonly index: number
  readonly step: Step
  /** Job id, occurrence and step, joined by dots. */
  readonly name: string
  readonly dueMs: number
  /** Longest chain of steps from this one on, by the caller's estimates. */
  readonly chainMs: number
  readonly waiting: readonly TaskEntry[]
}

/** Demands of all jobs, kept up to date job by job. */
export class Demands {
  private readonly byJob = new Map<string, Demand[]>()

  constructor (private readonly ledger: Ledger) {}

  /** Works the demands of a job out anew. Call it after each change of the job or its runs. */
  refresh (entry: JobEntry): void {
    const demands = entry.over() ? [] : this.demandsOf(entry)
    if (demands.length === 0) this.byJob.delete(entry.job.id)
    else this.byJob.set(entry.job.id, demands)
  }

  /** All demands, in no order. */
  * list (): Iterable<Demand> {
    for (const demands of this.byJob.values()) yield * demands
  }

  /** Number of jobs with a demand. */
  get size (): number {
    return this.byJob.size
  }

  private demandsOf (entry: JobEntry): Demand[] {
    const { job } = entry
    const chains = remainingChainsOf(job.steps)
    const demands: Demand[] = []
    for (let occurrence = 0; occurrence < occurrencesOf(job); occurrence++) {
      for (const [index, step] of job.steps.entries()) {
        if (!step.after.every((earlier) => entry.stepDone(occurrence, earlier))) continue
        const waiting = this.waitingOf(entry, occurrence, index, step)
        if (waiting.length === 0) continue
        const name = `${job.id}.${occurrence}.${index}`
        demands.push({ entry, occurrence, index, step, name, dueMs: dueMsOf(job, occurrence), chainMs: chains[index]!, waiting })
      }
    }
    return demands
  }

  /** Tasks without a run; of a gang all or none. */
  private waitingOf (entry: JobEntry, occurrence: number, index: number, step: Step): TaskEntry[] {
    const waiting: TaskEntry[] = []
    for (let task = 0; task < step.count; task++) {
      const known = entry.task(occurrence, index, task)
      if (known.stage === Stage.Waiting && this.ledger.runOf(entry, known) === undefined) waiting.push(known)
    }
    return step.gang && waiting.length < step.count ? [] : waiting
  }
}
