/**
 * Jobs that have been assigned and of which no task has started. The journal shows an assigned job as active, and a start without an answer
 * can delay its first task for long.
 */
import type { JobEntry } from '../journal/journal-state.js'
import { Stage } from '../journal/record.js'
import { isFinal } from '../model/job.js'

/** The jobs of one owner that are active in the journal and have not started. */
export class UnstartedJobs {
  private readonly started = new WeakSet<JobEntry>()
  /** By id. */
  private readonly unstarted = new Map<string, JobEntry>()

  /** Notes a job that was read from the journal. It counts as started if one of its tasks may have started before its last run. */
  restore (entry: JobEntry): void {
    for (const { stage, run, failures, checkpoint } of entry.tasks.values()) {
      if (stage === Stage.Done || run > 1 || failures > 0 || checkpoint !== '') return this.onStarted(entry)
    }
  }

  /** Notes that a task of a job has started. */
  onStarted (entry: JobEntry): void {
    this.started.add(entry)
    this.unstarted.delete(entry.job.id)
  }

  /** Notes that a run of a job is not running. */
  onNotRunning (entry: JobEntry): void {
    if (!this.started.has(entry)) this.unstarted.set(entry.job.id, entry)
  }

  forget (job: string): void {
    this.unstarted.delete(job)
  }

  has (entry: JobEntry): boolean {
    return this.unstarted.has(entry.job.id) && !isFinal(entry.visiblePhase())
  }

  /** Returns the number of such jobs on a queue. */
  countOf (queue: string): number {
    let count = 0
    for (const entry of this.unstarted.values()) {
      if (entry.job.queue === queue && this.has(entry)) count++
    }
    return count
  }
}
