/**
 * Applies completed and lost runs to jobs, resource accounting, demands and the statistics about workers.
 */
import type { Clock } from '../clock.js'
import { detach } from '../detach.js'
import type { JobEntry, Table, TaskEntry } from '../journal/table.js'
import type { Configuration } from '../model/configuration.js'
import { Phase } from '../model/job.js'
import { Ending, splitTask, type EndedRun } from '../model/worker.js'
import type { SpeedEstimator } from '../place/speed.js'
import { WorkerFailure } from '../ports/fleet.js'
import type { Log } from '../report/log.js'
import type { Metrics } from '../report/metrics.js'
import type { AdvisorClient } from './advisor-client.js'
import type { JournalCommitter } from './journal-committer.js'
import type { Demands } from './demand.js'
import type { Ledger } from './ledger.js'
import { StopReason, type Run } from './run.js'
import type { Session } from './session.js'
import { membersOf, applyCompletion } from './run-completion.js'

/** Delay before a task is placed again after its run was stopped or could not start. */
const TASK_RETRY_DELAY_MS = 150
/** Maximum number of attempts for a job whose queue has been removed. */
const DEFAULT_MAX_ATTEMPTS = 3

/** Dependencies of the completion handler. */
export interface CompletionHandlerOptions {
  readonly table: Table
  readonly ledger: Ledger
  readonly demands: Demands
  readonly advisorClient: AdvisorClient
  readonly speeds: SpeedEstimator
  /** Time on the steady clock before which a task is not placed again, by task name. */
  readonly backoff: Map<string, number>
  readonly committer: JournalCommitter
  readonly configuration: () => Configuration
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  /** Stops all runs of a job that is over. */
  readonly stopJob: (entry: JobEntry, reason: StopReason) => void
  readonly requestRound: () => void
}

/** Handles completed, lost and released runs. */
export class CompletionHandler {
  constructor (private readonly options: CompletionHandlerOptions) {}

  /** Applies completed runs. Resolves to true once the changes are in the journal. */
  async handleCompletions (session: Session, completions: readonly EndedRun[]): Promise<boolean> {
    const changed = new Set<JobEntry>()
    for (const completion of completions) {
      const entry = this.handleCompletion(session, completion)
      if (entry !== undefined) changed.add(entry)
    }
    this.options.requestRound()
    if (changed.size === 0) return true
    return await this.options.committer.commitJobs([...changed])
  }

  private handleCompletion (session: Session, ended: EndedRun): JobEntry | undefined {
    const { job, key } = splitTask(ended.task)
    const entry = this.options.table.jobs.get(job)
    if (entry === undefined || !entry.hasTask(key)) return undefined
    const task = entry.taskByKey(key)
    const run = this.options.ledger.find(ended.task)
    const isCurrent = run !== undefined && run.number === ended.run && run.session === session
    if (isCurrent) this.options.ledger.remove(run)
    // A run that is no longer in the ledger counts only if it is done and no other run of its task has been assigned.
    else if (run !== undefined || ended.ending !== Ending.Done) return undefined
    const phase = entry.phase
    const changed = applyCompletion(entry, task, ended, this.maxAttemptsOf(entry), this.options.clock.wall())
    this.recordCompletion(session, entry, ended, run, phase)
    if (isCurrent && ended.ending === Ending.Done) this.recordDuration(run)
    if (ended.ending === Ending.Failed || ended.ending === Ending.Done) session.recordOutcome(ended.ending === Ending.Failed)
    // A failed task is placed again without delay, on another worker if possible; the number of attempts is limited.
    if (ended.ending !== Ending.Done && ended.ending !== Ending.Failed) this.delayTask(ended.task)
    if (ended.ending !== Ending.Done && !entry.over()) this.stopGang(entry, task)
    if (entry.over()) this.options.stopJob(entry, entry.phase === Phase.Cancelled ? StopReason.Cancelled : StopReason.JobFailed)
    this.options.demands.refresh(entry)
    return changed ? entry : undefined
  }

  private recordCompletion (session: Session, entry: JobEntry, ended: EndedRun, run: Run | undefined, before: Phase): void {
    const ranMs = run === undefined || run.startedMs === 0 ? undefined : Math.round(this.options.clock.now() - run.startedMs)
    this.options.log.decision('run ended', { task: ended.task, run: ended.run, worker: session.id, ending: ended.ending, ranMs })
    this.options.metrics.ends.inc({ ending: ended.ending })
    if (entry.phase === before) return
    const tookMs = entry.endedMs - entry.job.acceptedMs
    this.options.log.decision('job ended', { job: entry.job.id, queue: entry.job.queue, phase: entry.phase, tookMs })
    this.options.metrics.jobsEnded.inc({ queue: entry.job.queue, phase: entry.phase })
    this.options.metrics.jobSeconds.observe({ queue: entry.job.queue }, tookMs / 1000)
  }

  private recordDuration (run: Run): void {
    const isComparable = run.task.checkpoint === '' && run.percent === 100 && !run.step.bestEffort
    if (isComparable && run.startedMs > 0) {
      this.options.speeds.recordDuration(run.stepName, run.session.id, this.options.clock.now() - run.startedMs)
    }
  }

  /** Stops the other members of a gang, because a gang only runs as a whole. */
  private stopGang (entry: JobEntry, task: TaskEntry): void {
    if (!entry.job.steps[task.step]!.gang) return
    for (const member of membersOf(entry, task)) {
      const run = this.options.ledger.runOf(entry, member)
      if (run !== undefined) detach(run.session.stopRun(run, StopReason.GangIncomplete))
    }
  }

  onRunsLost (session: Session, runs: readonly Run[], reason: string): void {
    this.options.log.event('worker lost', { worker: session.id, runs: runs.length, reason })
    const changed = new Set<JobEntry>()
    for (const run of runs) changed.add(this.releaseRun(run, Ending.Lapsed))
    detach(this.options.committer.commitJobs([...changed]))
    this.options.requestRound()
  }

  onRunGone (run: Run, reason: string): void {
    this.options.log.decision('run released', { task: run.name, run: run.number, worker: run.session.id, reason })
    if (reason === WorkerFailure.NoTicket) this.options.advisorClient.expire(run.stepName, run.session.id)
    else this.delayTask(run.name)
    const entry = this.releaseRun(run, Ending.Stopped)
    if (!entry.over()) this.stopGang(entry, run.task)
    detach(this.options.committer.commitJobs([entry]))
    this.options.requestRound()
  }

  /** Releases a run that is provably not running any more. */
  private releaseRun (run: Run, ending: Ending): JobEntry {
    const { entry, task } = run
    this.options.ledger.remove(run)
    const completion = { run: run.number, ending, checkpoint: run.checkpoint }
    applyCompletion(entry, task, completion, this.maxAttemptsOf(entry), this.options.clock.wall())
    this.options.demands.refresh(entry)
    return entry
  }

  private delayTask (task: string): void {
    this.options.backoff.set(task, this.options.clock.now() + TASK_RETRY_DELAY_MS)
  }

  private maxAttemptsOf (entry: JobEntry): number {
    const queue = this.options.configuration().queues.find((each) => each.name === entry.job.queue)
    return queue?.attempts ?? DEFAULT_MAX_ATTEMPTS
  }
}
