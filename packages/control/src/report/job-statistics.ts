/**
 * Statistics about the runs of unfinished jobs, for one log line when a step or a job ends instead of one for each run.
 */
import { splitTask, type RunOutcome } from '../model/worker.js'

/** What is logged about the runs of a step or of a job. Only runs that this owner has handled are counted. */
export interface RunSummary {
  /** Number of runs that were assigned. */
  readonly starts: number
  /** Number of reported ends, by ending. */
  readonly ends: Readonly<Partial<Record<RunOutcome, number>>>
  /** Task of the longest run that a worker reported as ended; undefined if the start of none was known. */
  readonly slowest: string | undefined
  readonly slowestWorker: string | undefined
  readonly slowestMs: number | undefined
}

/** A run that has ended. */
export interface FinishedRun {
  /** Name of the task. */
  readonly task: string
  readonly worker: string
  readonly ending: RunOutcome
  /** Time since the start; undefined if it is unknown when the run started. */
  readonly ranMs: number | undefined
}

class Tally implements RunSummary {
  starts = 0
  readonly ends: Partial<Record<RunOutcome, number>> = {}
  slowest: string | undefined
  slowestWorker: string | undefined
  slowestMs: number | undefined

  count ({ task, worker, ending, ranMs }: FinishedRun): void {
    this.ends[ending] = (this.ends[ending] ?? 0) + 1
    if (ranMs === undefined || ranMs <= (this.slowestMs ?? -1)) return
    this.slowest = task
    this.slowestWorker = worker
    this.slowestMs = ranMs
  }
}

interface JobTally {
  readonly job: Tally
  readonly steps: Map<string, Tally>
}

/** Counts the runs of jobs until they end. */
export class JobStatistics {
  private readonly jobs = new Map<string, JobTally>()

  /** Counts a run that was assigned. */
  recordStart (step: string): void {
    const { job, steps } = this.tallyOf(step)
    job.starts++
    stepOf(steps, step).starts++
  }

  /** Counts a run that has ended. */
  recordEnd (step: string, run: FinishedRun): void {
    const { job, steps } = this.tallyOf(step)
    job.count(run)
    stepOf(steps, step).count(run)
  }

  /** Returns the summary of a step that has ended, and forgets the step. */
  endStep (step: string): RunSummary {
    const { steps } = this.tallyOf(step)
    const tally = stepOf(steps, step)
    steps.delete(step)
    return tally
  }

  /** Returns the summary of a job that has ended, and forgets the job. */
  endJob (job: string): RunSummary {
    const known = this.jobs.get(job)?.job ?? new Tally()
    this.jobs.delete(job)
    return known
  }

  private tallyOf (step: string): JobTally {
    const { job } = splitTask(step)
    let known = this.jobs.get(job)
    if (known === undefined) this.jobs.set(job, known = { job: new Tally(), steps: new Map() })
    return known
  }
}

function stepOf (steps: Map<string, Tally>, step: string): Tally {
  let known = steps.get(step)
  if (known === undefined) steps.set(step, known = new Tally())
  return known
}
