/**
 * Admission control for the records that callers submit: refuses jobs that cannot meet their objective or that the memory has no room
 * for, appends the other records and tracks the job rate of each workspace.
 */
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import type { Clock, Stamp } from '../clock.js'
import { refuseBeyondBacklog } from '../entry/backlog-refusal.js'
import { compactJob, decodeJob, encodeCompactJob } from '../journal/job-record.js'
import { Subject, keyOf, splitKey } from '../journal/record.js'
import type { JobEntry, JournalState } from '../journal/journal-state.js'
import { sizeOf, type Writer } from '../journal/writer.js'
import type { Configuration } from '../model/configuration.js'
import type { Job } from '../model/job.js'
import { findRetryAfterMs } from '../place/admission.js'
import { Backlog, heldBytesOf } from '../place/backlog.js'
import { ExcessLimiter } from '../place/excess.js'
import { RateTracker } from '../place/rate.js'
import type { KeyedRecord } from '../ports/store.js'
import type { Log } from '../report/log.js'
import { RefusalCounter } from '../report/refusal-counter.js'
import { JobSettings } from './job-settings.js'
import type { JournalCommitter } from './journal-committer.js'
import type { Dispatcher } from './dispatcher.js'

/** Time after which callers are told to retry while the store is unavailable. */
const STORE_UNAVAILABLE_RETRY_AFTER_MS = 1000

/**
 * A job whose time of acceptance differs by more than this from the owner's clock was accepted on a clock that has jumped. A record
 * that is forwarded takes less than a second to the owner.
 */
const MAX_CLOCK_DIFFERENCE_MS = 2000

/** Time for which the key of an unconfirmed append is kept after the append has ended, so that its record has been read. */
const MIN_SETTLED_MS = 60_000

/** Part of the backlog's bound that records of jobs may hold while they wait for the store. */
const UNSTORED_SHARE = 0.25

/** Dependencies of the admission controller. */
export interface AdmissionControllerOptions {
  readonly journalState: JournalState
  readonly writer: Writer
  readonly committer: JournalCommitter
  readonly dispatcher: Dispatcher
  readonly configuration: () => Configuration
  readonly clock: Clock
  /** The last time at which the journal had been read to its end. */
  readonly journalReadAt: () => Stamp
  /** Called after the store has confirmed a record. */
  readonly onWritten: (record: KeyedRecord) => void
  readonly log: Log
}

/** What a submitted job will take. */
interface JobSize {
  readonly job: Job
  /** Bytes of memory on each node. */
  readonly heldBytes: number
  /** Bytes of its record until this is stored. */
  readonly unstoredBytes: number
}

/** Admits callers' records for one owner. */
export class AdmissionController {
  private readonly rates = new RateTracker()
  private readonly excess = new ExcessLimiter()
  private readonly countedJobs = new Set<string>()
  /**
   * Keys of records whose append was not confirmed in time. It may have written them since, or may still write them. The value is the
   * steady time since which it cannot write them any more, or undefined.
   */
  private readonly unconfirmedKeys = new Map<string, number | undefined>()
  private readonly jobSettings: JobSettings
  /** Records of jobs that are not known to be stored. */
  private readonly unstored: Backlog
  private readonly refusals: RefusalCounter

  /** @param overRateJobs ids of jobs beyond the rate of their workspace; the controller adds and removes them */
  constructor (private readonly options: AdmissionControllerOptions, private readonly overRateJobs: Set<string>) {
    const { journalState, clock, log } = options
    this.jobSettings = new JobSettings(options.configuration)
    const countWorkspaces = (): number => options.configuration().workspaces.length
    this.unstored = new Backlog(() => UNSTORED_SHARE * journalState.backlog.boundBytes, countWorkspaces)
    this.refusals = new RefusalCounter(log, clock, 'jobs refused by the owner')
  }

  /**
   * Refuses a job that would miss its objective, and appends any other record. The record of a known job is not appended again.
   *
   * @param submitted the record as the accepting node sent it
   * @param timeoutMs time after which the record is withdrawn if that is still possible
   */
  async admit (submitted: KeyedRecord, timeoutMs: number): Promise<Result<void, Refusal>> {
    if (this.isKnownJob(submitted)) return ok(undefined)
    const submittedJob = decodeSubmitted(submitted)
    const job = submittedJob === undefined ? undefined : this.correctTime(submittedJob)
    const size = job === undefined ? undefined : sizeOfJob(job, submitted)
    const refusal = size === undefined ? undefined : this.findRefusal(size, submitted.key)
    if (refusal !== undefined) return err(refusal)
    const record = job === undefined || job === submittedJob ? submitted : encodeCompactJob(job)
    if (size !== undefined) this.reserve(size)
    const execution = await this.append([record], timeoutMs)
    if (job !== undefined && execution !== Execution.Unknown) this.release(job.id, submitted.key)
    if (execution === Execution.Run) return ok(undefined)
    return err({
      reason: Reason.LogUnavailable,
      detail: 'It was not confirmed that the request was stored.',
      execution,
      retryAfterMs: STORE_UNAVAILABLE_RETRY_AFTER_MS
    })
  }

  /**
   * Appends records and applies them once they are stored.
   *
   * @returns Run, NotRun or Unknown, see `JournalCommitter.appendRecords`; NotRun only if no earlier append may have written a record
   */
  async append (records: readonly KeyedRecord[], timeoutMs: number): Promise<Execution> {
    const execution = await this.options.committer.appendRecords(records.map(compactJob), timeoutMs)
    if (execution === Execution.Run) {
      for (const record of records) {
        this.unconfirmedKeys.delete(record.key)
        this.options.onWritten(record)
      }
      return execution
    }
    const mayBeWritten = execution === Execution.Unknown || records.some((record) => this.unconfirmedKeys.has(record.key))
    if (!mayBeWritten) return execution
    for (const record of records) this.unconfirmedKeys.set(record.key, undefined)
    return Execution.Unknown
  }

  /** Counts a job once against the rate of its workspace. */
  countAgainstRate ({ job }: JobEntry): void {
    if (this.countedJobs.has(job.id)) return
    this.countedJobs.add(job.id)
    // From now on the job is known.
    this.unconfirmedKeys.delete(keyOf(Subject.Job, job.id))
    this.unstored.release(job.id)
    const weight = this.weightOf(job)
    // A job that an entry node appended itself may be from a clock that is ahead.
    const acceptedMs = Math.min(job.acceptedMs, this.options.clock.wall())
    this.excess.count(job.workspace, weight, acceptedMs)
    if (!this.rates.count(job.workspace, weight, acceptedMs)) return
    this.overRateJobs.add(job.id)
    this.options.log.decision('job exceeds workspace rate', { job: job.id, workspace: job.workspace, weight })
  }

  /** Performs the work that is due. The owner calls it on every tick. */
  tick (): void {
    this.unstored.measure(this.options.clock.now())
    this.collectUnconfirmed()
  }

  /** Drops the state of a job whose records are deleted. */
  forget (job: string): void {
    this.countedJobs.delete(job)
    this.overRateJobs.delete(job)
    this.unconfirmedKeys.delete(keyOf(Subject.Cancellation, job))
  }

  /** Forgets unconfirmed records once the journal has been read after their last append: the job is known by then, or not stored. */
  private collectUnconfirmed (): void {
    const { writer, clock, journalReadAt } = this.options
    for (const [key, settledMs] of this.unconfirmedKeys) {
      if (writer.isUncommitted(key)) continue
      if (settledMs === undefined) {
        this.unconfirmedKeys.set(key, clock.now())
      } else if (journalReadAt().steadyMs - settledMs > MIN_SETTLED_MS) {
        this.unconfirmedKeys.delete(key)
        this.release(splitKey(key).name, key)
      }
    }
  }

  /**
   * Returns a job with the owner's time if it was accepted on a clock that differs from the owner's, and any other job as it is. The
   * order of placement and the rates compare times of acceptance from all nodes.
   */
  private correctTime (job: Job): Job {
    const nowMs = this.options.clock.wall()
    const differenceMs = Math.round(job.acceptedMs - nowMs)
    if (job.occurrences > 0 || Math.abs(differenceMs) <= MAX_CLOCK_DIFFERENCE_MS) return job
    this.options.log.decision('job accepted on another clock', { job: job.id, differenceMs })
    return { ...job, acceptedMs: nowMs }
  }

  /** True if the record is that of a job whose record, or whose end, is in the journal. */
  private isKnownJob ({ key }: KeyedRecord): boolean {
    const { subject, name } = splitKey(key)
    return subject === Subject.Job && this.options.journalState.jobs.has(name)
  }

  /**
   * Returns the reason to refuse a job, or undefined: it has no room in the backlog, its workspace is far beyond its rate while others
   * wait, or the jobs ahead take too long. Jobs with a schedule or with long-running steps are refused only for lack of memory. A job
   * that may already have been written is never refused, because a refusal states that the job did not run.
   *
   * @param key key of the job's record
   */
  private findRefusal (size: JobSize, key: string): Refusal | undefined {
    const { writer, dispatcher } = this.options
    const { job } = size
    if (writer.isUncommitted(key) || this.unconfirmedKeys.has(key)) return undefined
    const shortage = this.findShortage(size)
    if (shortage !== undefined) return shortage
    if (job.occurrences > 0 || job.steps.some((step) => step.lasting)) return undefined
    const weight = this.weightOf(job)
    const overRate = this.rates.exceeds(job.workspace, weight, job.acceptedMs)
    const contended = overRate && dispatcher.contention.isContendedFor(job, () => dispatcher.hasCapacityFor(job))
    const returnMs = this.excess.findRetryAfterMs(job.workspace, weight, job.acceptedMs, contended)
    if (returnMs !== undefined) {
      return refuse(
        Reason.RateExceeded,
        `Workspace ${job.workspace} is beyond its rate of ${weight} jobs a second, and jobs within their rate wait. Retry later.`,
        returnMs
      )
    }
    const retryAfterMs = findRetryAfterMs(dispatcher.unplacedStepsOf(job.queue, overRate))
    if (retryAfterMs === undefined || dispatcher.hasCapacityFor(job)) return undefined
    return refuse(
      Reason.DeadlineUnreachable,
      'The jobs ahead in the queue take too long for this job to meet its objective. Retry later.',
      retryAfterMs
    )
  }

  private findShortage ({ job, heldBytes, unstoredBytes }: JobSize): Refusal | undefined {
    const { journalState, clock } = this.options
    const { workspace } = job
    const refusal = refuseBeyondBacklog(journalState.backlog, workspace, heldBytes, clock.now()) ??
      refuseBeyondBacklog(this.unstored, workspace, unstoredBytes, clock.now())
    if (refusal !== undefined) this.refusals.count(refusal.reason, { workspace })
    return refusal
  }

  /** Counts a job whose record is about to be appended. */
  private reserve ({ job, heldBytes, unstoredBytes }: JobSize): void {
    this.options.journalState.backlog.reserve(job.id, job.workspace, heldBytes)
    this.unstored.reserve(job.id, job.workspace, unstoredBytes)
  }

  /** Ends the reservations of a job that was stored, or of which no record can be stored any more. */
  private release (id: string, key: string): void {
    if (this.options.writer.isUncommitted(key) || this.unconfirmedKeys.has(key)) return
    this.options.journalState.backlog.release(id)
    this.unstored.release(id)
  }

  /** Rate of a job's workspace in jobs per second, which the configuration calls its weight; 0 for no limit. */
  private weightOf (job: Job): number {
    return this.jobSettings.workspaceOf(job)?.weight ?? 0
  }
}

/** A record that waits for the store is held twice: it is received in one form and written in another. */
function sizeOfJob (job: Job, record: KeyedRecord): JobSize {
  return { job, heldBytes: heldBytesOf(job), unstoredBytes: 2 * sizeOf([record]) }
}

/** Decodes the record of a job; undefined for any other record, and for one that cannot be decoded. */
function decodeSubmitted ({ key, value }: KeyedRecord): Job | undefined {
  if (splitKey(key).subject !== Subject.Job || value === undefined) return undefined
  return decodeJob(key, value).unwrapOr(undefined)
}
