/**
 * Applies ended, lost and released runs to jobs, resource accounting, ready steps and the statistics about workers. A run is lost
 * if the incarnation of its worker has ended or the lease of the worker has expired. It is released if it has provably not
 * started or has ended for another reason without being reported.
 */
import type { Clock } from '../clock.js'
import { detach } from '../detach.js'
import type { JobEntry, JournalState, TaskEntry } from '../journal/journal-state.js'
import { Stage } from '../journal/record.js'
import type { Configuration } from '../model/configuration.js'
import { dueMsOf, isFinal, occurrencesOf, Phase } from '../model/job.js'
import { RunOutcome, splitTask, type EndedRun } from '../model/worker.js'
import type { SpeedEstimator } from '../place/speed.js'
import { WorkerFailure } from '../ports/fleet.js'
import type { JobStatistics } from '../report/job-statistics.js'
import { describeError, type Log } from '../report/log.js'
import type { Metrics } from '../report/metrics.js'
import type { AdvisorClient } from './advisor-client.js'
import { JobSettings } from './job-settings.js'
import type { JournalCommitter } from './journal-committer.js'
import type { ReadySteps } from './ready-step.js'
import type { Ledger } from './ledger.js'
import { RunState, StopReason, type Run } from './run.js'
import type { Session } from './session.js'
import type { UnstartedJobs } from './unstarted-jobs.js'
import { membersOf, applyRunEnd, endJob } from './run-end.js'

/**
 * Delay before a task is placed again after one of these ends of its run:
 *
 * - the worker reported an outcome other than done or failed: the run was stopped, its lease expired, or its gang was incomplete
 *   or broken;
 * - the owner released the run for a reason other than a missing ticket.
 *
 * There is no delay after a run that the owner declared lost.
 */
const TASK_RETRY_DELAY_MS = 150
/** Ended runs whose changes took at least this long to be written to the journal are logged. The others are in the histogram. */
const LOGGED_WRITE_MS = 1000
/** Maximum number of failed runs of a task if the job's queue is not known; see `JobSettings.queueOf`. */
const UNKNOWN_QUEUE_ATTEMPTS = 3

/** Dependencies of the handler. */
export interface RunEndHandlerOptions {
  readonly journalState: JournalState
  readonly ledger: Ledger
  readonly readySteps: ReadySteps
  readonly advisorClient: AdvisorClient
  readonly speeds: SpeedEstimator
  /** Time on the steady clock before which a task is not placed again, by task name. */
  readonly notBeforeMs: Map<string, number>
  readonly committer: JournalCommitter
  readonly statistics: JobStatistics
  readonly unstartedJobs: UnstartedJobs
  readonly configuration: () => Configuration
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  /** Stops all runs of a job that has ended or has been cancelled. */
  readonly stopJob: (entry: JobEntry, reason: StopReason) => void
  readonly requestRound: () => void
  /** Called with a run that was lost with its worker, or that was preempted, before it is removed from the ledger. */
  readonly onWorkDiscarded: (run: Run) => void
}

/** Handles ended, lost and released runs. */
export class RunEndHandler {
  private readonly jobSettings: JobSettings
  /** Jobs that may have changed without a note for the next commit, because the handling of an end has failed. */
  private readonly unnotedJobs = new Set<JobEntry>()

  constructor (private readonly options: RunEndHandlerOptions) {
    this.jobSettings = new JobSettings(options.configuration)
  }

  /**
   * Applies ended runs.
   *
   * @returns those that were applied, once the journal shows a successor everything that this owner knows of their jobs, also what
   *   earlier ends have changed; none if the owner was superseded or closed
   */
  async handleRunEnds (session: Session, endedRuns: readonly EndedRun[]): Promise<readonly EndedRun[]> {
    const receivedMs = this.options.clock.now()
    const touched = new Set<JobEntry>()
    const applied: EndedRun[] = []
    for (const endedRun of endedRuns) {
      const entry = this.entryOf(endedRun)
      if (entry !== undefined) {
        touched.add(entry)
        this.options.unstartedJobs.onStarted(entry)
      }
      try {
        this.noteChanges(entry)
        this.handleRunEnd(session, endedRun, entry)
        applied.push(endedRun)
      } catch (error) {
        if (entry !== undefined) this.unnotedJobs.add(entry)
        const { task, run } = endedRun
        this.options.log.event('run end failed unexpectedly', { task, run, worker: session.id, error: describeError(error) })
      }
    }
    this.options.requestRound()
    if (!await this.options.committer.commitJobs([...touched])) return []
    this.recordWrite(session, endedRuns.length, this.options.clock.now() - receivedMs)
    return applied
  }

  /** Returns the job of an ended run; undefined if it or its task is not known, or its details have been dropped. */
  private entryOf ({ task }: EndedRun): JobEntry | undefined {
    const { job, key } = splitTask(task)
    const entry = this.options.journalState.jobs.get(job)
    return entry?.hasTask(key) === true ? entry : undefined
  }

  private noteChanges (entry: JobEntry | undefined): void {
    if (entry === undefined || !this.unnotedJobs.has(entry)) return
    entry.markAllChanged()
    this.unnotedJobs.delete(entry)
  }

  private recordWrite (session: Session, ends: number, tookMs: number): void {
    this.options.metrics.runEndWriteSeconds.observe(tookMs / 1000)
    if (tookMs < LOGGED_WRITE_MS) return
    this.options.log.decision('run ends written', { worker: session.id, ends, tookMs: Math.round(tookMs) })
  }

  private handleRunEnd (session: Session, ended: EndedRun, entry: JobEntry | undefined): void {
    if (entry === undefined) return this.logUnchanged(session, ended, undefined)
    const task = entry.taskByKey(splitTask(ended.task).key)
    const run = this.options.ledger.find(ended.task)
    const isCurrent = run !== undefined && run.number === ended.run && run.session === session
    // The end of an earlier run counts if it failed, or if it completed and no later run of its task has started.
    const hasLaterStarted = !isCurrent && run?.state === RunState.Running
    if (!isCurrent && ended.ending !== RunOutcome.Failed && (hasLaterStarted || ended.ending !== RunOutcome.Done)) {
      // An earlier attempt to handle the end may have failed before this.
      this.options.readySteps.refresh(entry)
      return this.logUnchanged(session, ended, entry)
    }
    const phase = entry.phase
    const changed = applyRunEnd(entry, task, ended, this.maxAttemptsOf(entry), this.options.clock.wall())
    if (isCurrent) this.removeRun(run, ended)
    this.recordRunEnd(session, ended, isCurrent ? run : undefined, phase)
    if (changed && ended.ending === RunOutcome.Done && !isFinal(phase)) this.recordStepEnd(entry, task)
    if (changed && task.stage === Stage.Done) this.stopLaterRuns(entry, task, ended.run)
    if (entry.phase !== phase) this.recordJobEnd(entry)
    if (isCurrent && ended.ending === RunOutcome.Done) this.recordDuration(run)
    if (ended.ending === RunOutcome.Failed || ended.ending === RunOutcome.Done) {
      session.recordOutcome(ended.ending === RunOutcome.Failed)
    }
    // A failed task is placed again without delay, on another worker if possible; the number of attempts is limited.
    if (ended.ending !== RunOutcome.Done && ended.ending !== RunOutcome.Failed) this.delayTask(ended.task)
    if (ended.run === task.run && ended.ending !== RunOutcome.Done && !entry.isFinishedOrCancelled()) this.stopGang(entry, task)
    if (entry.isFinishedOrCancelled()) {
      this.options.stopJob(entry, entry.phase === Phase.Cancelled ? StopReason.Cancelled : StopReason.JobEnded)
    }
    this.options.readySteps.refresh(entry)
    if (!changed) this.logUnchanged(session, ended, entry)
  }

  private removeRun (run: Run, { ending, checkpoint }: EndedRun): void {
    const discarded = run.stopping === StopReason.Preempted && ending === RunOutcome.Stopped && checkpoint === ''
    if (discarded) this.options.onWorkDiscarded(run)
    this.options.ledger.remove(run)
  }

  /** Logs an end that changes nothing, such as that of an outdated run, or of a gang of which another member has ended. */
  private logUnchanged (session: Session, { task, run, ending }: EndedRun, entry: JobEntry | undefined): void {
    this.options.log.decision('run end changes nothing', { task, run, worker: session.id, ending, phase: entry?.phase })
  }

  private recordRunEnd (session: Session, ended: EndedRun, run: Run | undefined, before: Phase): void {
    const { log, clock, statistics } = this.options
    const { task, ending } = ended
    const ranMs = run === undefined || run.startedMs === 0 ? undefined : Math.round(clock.now() - run.startedMs)
    // Most runs complete. They are counted in the line about their step.
    if (ending !== RunOutcome.Done || run === undefined || run.step.lasting) {
      log.decision('run ended', { task, run: ended.run, worker: session.id, ending, ranMs, stop: run?.stopping })
    }
    const step = task.slice(0, task.lastIndexOf('.'))
    // A job that had ended before was counted then.
    if (!isFinal(before)) statistics.recordEnd(step, { task, worker: session.id, ending, ranMs })
    this.options.metrics.runEnds.inc({ ending })
  }

  private recordJobEnd (entry: JobEntry): void {
    const { job, phase } = entry
    const tookMs = entry.endedMs - job.acceptedMs
    this.options.log.decision('job ended', {
      job: job.id, queue: job.queue, phase, tookMs, ...this.options.statistics.endJob(job.id)
    })
    this.options.metrics.jobsEnded.inc({ queue: entry.job.queue, phase: entry.phase })
    this.options.metrics.jobSeconds.observe({ queue: entry.job.queue }, tookMs / 1000)
  }

  private recordStepEnd (entry: JobEntry, { occurrence, step }: TaskEntry): void {
    // If there is only one step, the line about the job contains the same.
    if (entry.job.steps.length * occurrencesOf(entry.job) === 1 || !entry.isStepDone(occurrence, step)) return
    const { clock, log, statistics } = this.options
    const { job } = entry
    const name = `${job.id}.${occurrence}.${step}`
    const tookMs = clock.wall() - dueMsOf(job, occurrence)
    log.decision('step ended', { step: name, tasks: job.steps[step]!.count, tookMs, ...statistics.endStep(name) })
  }

  private recordDuration (run: Run): void {
    const { step, task, inherited, startedMs } = run
    // The duration of an inherited run is only known from its first report to this owner on.
    const isComparable = !step.lasting && !step.bestEffort && task.checkpoint === '' && !inherited && startedMs > 0
    if (isComparable) this.options.speeds.recordDuration(run.stepName, run.session.id, this.options.clock.now() - startedMs)
  }

  /** Stops the runs that were assigned after the one that has completed their task. */
  private stopLaterRuns (entry: JobEntry, task: TaskEntry, completed: number): void {
    const members = new Set(membersOf(entry, task))
    for (const run of [...this.options.ledger.runsOf(entry)]) {
      if (members.has(run.task) && run.number > completed) detach(run.session.stopRun(run, StopReason.Superseded))
    }
  }

  /** Stops the other members of a gang, because a gang only runs as a whole. */
  private stopGang (entry: JobEntry, task: TaskEntry): void {
    if (!entry.job.steps[task.step]!.gang) return
    for (const member of membersOf(entry, task)) {
      const run = this.options.ledger.runOf(entry, member)
      if (run !== undefined) detach(run.session.stopRun(run, StopReason.GangMemberEnded))
    }
  }

  /**
   * Handles the loss of runs: the incarnation of their worker has ended, or its lease has expired. The event is logged as 'worker
   * lost', although the worker may have restarted and be in use.
   */
  onRunsLost (session: Session, runs: readonly Run[], reason: string): void {
    this.options.log.event('worker lost', { worker: session.id, runs: runs.length, reason })
    const changed = new Set<JobEntry>()
    for (const run of runs) {
      this.options.log.decision('run lost', { task: run.name, run: run.number, worker: session.id, reason })
      this.options.onWorkDiscarded(run)
      changed.add(this.endRun(run, RunOutcome.LeaseExpired))
    }
    detach(this.options.committer.commitJobs([...changed]))
    this.options.requestRound()
  }

  /** Handles a run that has provably not started, or has ended without being reported. */
  onRunReleased (run: Run, reason: string): void {
    this.options.log.decision('run released', { task: run.name, run: run.number, worker: run.session.id, reason })
    if (reason === WorkerFailure.NoTicket) this.options.advisorClient.expire(run.stepName, run.session.id, run.ticket)
    else this.delayTask(run.name)
    const entry = this.endRun(run, RunOutcome.Stopped)
    this.options.unstartedJobs.onNotRunning(entry)
    if (!entry.isFinishedOrCancelled()) this.stopGang(entry, run.task)
    detach(this.options.committer.commitJobs([entry]))
    this.options.requestRound()
  }

  /** Handles a run that is not running and is kept for a while. The other members of its gang can't complete without it. */
  onReleaseDelayed ({ entry, task }: Run): void {
    this.options.unstartedJobs.onNotRunning(entry)
    if (!entry.isFinishedOrCancelled()) this.stopGang(entry, task)
  }

  /**
   * Handles a run that has ended, and whose end is lost. The worker may have completed it, so its job fails rather than run it twice. A
   * task that is long-running, or may run twice, is placed again.
   */
  onEndLost (run: Run): void {
    const { entry, task, step } = run
    const fails = !step.lasting && !step.speculative && task.stage !== Stage.Done && !entry.isFinishedOrCancelled()
    this.options.log.decision('run end lost', { task: run.name, run: run.number, worker: run.session.id, fails })
    this.delayTask(run.name)
    this.endRun(run, RunOutcome.Stopped)
    if (fails) this.failJob(entry)
    else if (!entry.isFinishedOrCancelled()) this.stopGang(entry, task)
    detach(this.options.committer.commitJobs([entry]))
    this.options.requestRound()
  }

  private failJob (entry: JobEntry): void {
    endJob(entry, Phase.Failed, this.options.clock.wall())
    this.recordJobEnd(entry)
    this.options.stopJob(entry, StopReason.JobEnded)
  }

  /** Removes a lost or released run, and applies its end to the task. */
  private endRun (run: Run, ending: RunOutcome): JobEntry {
    const { entry, task } = run
    this.options.ledger.remove(run)
    const { phase } = entry
    const end = { run: run.number, ending, checkpoint: run.checkpoint }
    applyRunEnd(entry, task, end, this.maxAttemptsOf(entry), this.options.clock.wall())
    // The last attempt may have been reported as failed before this run was given up.
    if (entry.phase !== phase) {
      this.recordJobEnd(entry)
      this.options.stopJob(entry, StopReason.JobEnded)
    }
    this.options.readySteps.refresh(entry)
    return entry
  }

  private delayTask (task: string): void {
    this.options.notBeforeMs.set(task, this.options.clock.now() + TASK_RETRY_DELAY_MS)
  }

  private maxAttemptsOf (entry: JobEntry): number {
    return this.jobSettings.queueOf(entry.job)?.attempts ?? UNKNOWN_QUEUE_ATTEMPTS
  }
}
