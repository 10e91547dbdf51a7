/**
 * The operations that every node offers to callers: submit, look up and cancel jobs, and count a queue's pending jobs.
 */
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { sleep, type Clock, type Stamp } from '../clock.js'
import { encodeCompactJob } from '../journal/job-record.js'
import { Subject, encodeRecord, type EarlyCancellation } from '../journal/record.js'
import type { JobEntry, JournalState } from '../journal/journal-state.js'
import {
  findQueueByPath, findWorkspaceByKey, type Configuration, type Queue, type WorkspaceSettings
} from '../model/configuration.js'
import { findJobError, isFinal, Phase, type Job, type Step } from '../model/job.js'
import { EARLY_CANCELLATION_BYTES } from '../place/backlog.js'
import type { KeyedRecord, Store } from '../ports/store.js'
import { describeError, type Log } from '../report/log.js'
import { RefusalCounter } from '../report/refusal-counter.js'
import { Appender } from './appender.js'
import { refuseBeyondBacklog } from './backlog-refusal.js'
import { OwnerlessAdmission } from './ownerless-admission.js'
import { SharedReads } from './shared-reads.js'
import { UnconfirmedJobs } from './unconfirmed-jobs.js'

/** Timeout of the owner's answer to a lookup; after it this node answers from its own copy of the journal. */
const LOOKUP_TIMEOUT_MS = 400
/** Part of a caller's time that is reserved for the transfer of the answer. */
const ANSWER_TRANSFER_MS = 150
/** Timeout for the owner to append a record. */
const OWNER_APPEND_TIMEOUT_MS = 900
/** Retry time given to callers while the store or the configuration is unavailable, and after an unexpected error. */
const UNAVAILABLE_RETRY_AFTER_MS = 1000
/**
 * A job counts as unknown only if the journal was read to its end by a read that started at most this long before the request. An
 * older journal is read again.
 */
const MAX_JOURNAL_AGE_MS = 20
/** Age of the journal from which it is read again before jobs are counted, and from which they are not counted at all. */
const COUNT_REFRESH_AGE_MS = 2000
const MAX_COUNT_AGE_MS = 3000
/** How long a request waits for the journal to be read. A node that has just started may need seconds. */
const CATCH_UP_TIMEOUT_MS = 400

/** A request whose queue and key have been checked. */
export interface AuthorizedRequest {
  readonly queue: Queue
  /** Empty for a request without a known key on an open queue. */
  readonly workspace: string
  /** Undefined if there is no workspace. */
  readonly workspaceSettings?: WorkspaceSettings | undefined
  /** Version of the configuration by which the request was authorized. */
  readonly version: number
}

/** A job as a caller submits it. */
export interface Submission {
  readonly id: string
  readonly payload: string
  readonly steps: readonly Step[]
  readonly occurrences: number
  readonly firstDueMs: number
  readonly intervalMs: number
}

/** Dependencies and settings of the job service. */
export interface JobServiceOptions {
  readonly configuration: () => Configuration | undefined
  /** The last time at which the configuration was known to be current. */
  readonly configurationFreshAt: () => Stamp
  /** Maximum age of the configuration: with an older one requests are refused, since their keys may have been revoked. */
  readonly configurationAgeMaxMs: number
  readonly journalState: () => JournalState
  readonly store: Store
  /** Reads the journal to its end. */
  readonly catchUp: () => Promise<void>
  /** The last time at which the journal had been read to its end. */
  readonly journalFreshAt: () => Stamp
  /** Sends a record to the owner, which appends it together with its own; undefined if the owner was not reached. */
  readonly forwardToOwner: (record: KeyedRecord, timeoutMs: number) => Promise<Result<void, Refusal> | undefined>
  /** Applies to this node's state a record that it has appended to the journal. An owner on another node reads it from there. */
  readonly applyAppended: (record: KeyedRecord) => void
  /** Asks the owner for the phase of a queue's job; null if the owner does not know it there, undefined if it did not answer. */
  readonly askPhase: (job: string, queue: string, timeoutMs: number) => Promise<Phase | null | undefined>
  /** Asks the owner for the number of a queue's jobs that are active in the journal and have not started; 0 if it does not answer. */
  readonly countUnstarted: (queue: string, timeoutMs: number) => Promise<number>
  readonly clock: Clock
  readonly log: Log
}

/** Handles callers' requests. */
export class JobService {
  private readonly appender: Appender
  private readonly ownerlessAdmission: OwnerlessAdmission
  private readonly refusals: RefusalCounter
  private readonly unconfirmedJobs = new UnconfirmedJobs()
  /** Number of submissions in progress, by id of the job. */
  private readonly submitting = new Map<string, number>()

  private readonly reads: SharedReads

  constructor (private readonly options: JobServiceOptions) {
    this.reads = new SharedReads(options.catchUp)
    this.refusals = new RefusalCounter(options.log, options.clock, 'jobs refused by the backlog')
    this.appender = new Appender(options.store, options.clock)
    const { journalState, journalFreshAt, clock } = options
    this.ownerlessAdmission = new OwnerlessAdmission({ journalState, journalFreshAt, clock, catchUp: () => this.catchUp() })
  }

  /**
   * Finds the queue of a request and checks its key, or refuses the request.
   *
   * @param host host name without a port
   * @param path path of the request
   * @param key the caller's key; empty if there is none
   * @returns the authorized request, or why it is refused
   */
  authorize (host: string, path: string, key: string): Result<AuthorizedRequest, Refusal> {
    const configuration = this.options.configuration()
    if (configuration === undefined) {
      return err(refuse(Reason.ConfigurationStale, 'This node has no configuration yet.', UNAVAILABLE_RETRY_AFTER_MS))
    }
    const ageMs = this.options.clock.ageOf(this.options.configurationFreshAt())
    if (ageMs > this.options.configurationAgeMaxMs) {
      return err(refuse(
        Reason.ConfigurationStale,
        `The configuration was last confirmed ${Math.round(ageMs)} ms ago.`,
        UNAVAILABLE_RETRY_AFTER_MS
      ))
    }
    const queue = findQueueByPath(configuration, host, path)
    if (queue === undefined) return err(refuse(Reason.NoSuchQueue, `There is no queue at ${host}${path}.`))
    const workspace = key === '' ? undefined : findWorkspaceByKey(configuration, key)
    if (workspace === undefined && !queue.open) return err(refuse(Reason.BadKey, 'The key is missing or unknown.'))
    const workspaceSettings = workspace && { weight: workspace.weight, upperLimit: workspace.upperLimit }
    return ok({ queue, workspace: workspace?.name ?? '', workspaceSettings, version: configuration.version })
  }

  /**
   * Accepts a job. Success means that the job is in the store.
   *
   * @param budgetMs time for which the caller still waits
   */
  async submit (request: AuthorizedRequest, submission: Submission, budgetMs: number): Promise<Result<void, Refusal>> {
    const { queue } = request
    const entry = this.options.journalState().jobs.get(submission.id)
    if (entry !== undefined) {
      if (entry.job.queue === queue.name) return ok(undefined)
      return err(refuse(Reason.BadRequest, `The id ${submission.id} is in use by a job on another queue. Choose another id.`))
    }
    const validationError = findJobError(submission)
    if (validationError !== undefined) return err(refuse(Reason.BadRequest, validationError))
    const job = this.createJob(request, submission)
    const appended = await this.appendJob(job, budgetMs)
    if (appended.isErr()) {
      const { reason, execution, retryAfterMs } = appended.error
      if (execution === Execution.Unknown) this.unconfirmedJobs.add(job.id, this.options.clock.now())
      if (reason === Reason.LimitReached) {
        this.refusals.count(reason, { queue: queue.name, workspace: job.workspace, retryAfterMs })
        return err(appended.error)
      }
      this.options.log.decision('job refused', {
        job: job.id, queue: queue.name, workspace: job.workspace, reason, execution, retryAfterMs
      })
      return err(appended.error)
    }
    this.options.log.decision('job accepted', {
      job: job.id, queue: queue.name, workspace: job.workspace, version: request.version, steps: job.steps.length
    })
    return ok(undefined)
  }

  /** Appends a job. While another submission of it is in progress, which may store it, it is not said to be not run. */
  private async appendJob (job: Job, budgetMs: number): Promise<Result<void, Refusal>> {
    const { id } = job
    const others = this.submitting.get(id) ?? 0
    this.submitting.set(id, others + 1)
    try {
      const appended = await this.append(encodeCompactJob(job), budgetMs, () => this.options.journalState().jobs.has(id), job)
      return others === 0 ? appended : appended.mapErr((refusal) => ({ ...refusal, execution: Execution.Unknown }))
    } finally {
      const remaining = this.submitting.get(id)! - 1
      if (remaining === 0) this.submitting.delete(id)
      else this.submitting.set(id, remaining)
    }
  }

  /** Returns the phase of a job as callers see it. */
  async lookup (request: AuthorizedRequest, id: string): Promise<Result<Phase, Refusal>> {
    const since = this.options.clock.stamp()
    const known = this.options.journalState().jobs.get(id)
    const { name } = request.queue
    if (known !== undefined && known.job.queue !== name) return err(noSuchJob(id))
    if (known === undefined || !isFinal(known.visiblePhase())) {
      const phase = await this.options.askPhase(id, name, LOOKUP_TIMEOUT_MS)
      if (phase !== undefined && phase !== null) return ok(phase)
    }
    return (await this.findJob(request, id, since)).map((entry) => entry.visiblePhase())
  }

  /**
   * Cancels a job. Success, or the refusal that there is no such job, means that the cancellation is in the store: a submission of the job
   * that was not answered may still be stored.
   *
   * @param budgetMs time for which the caller still waits
   */
  async cancel (request: AuthorizedRequest, id: string, budgetMs: number): Promise<Result<void, Refusal>> {
    const found = await this.findJob(request, id, this.options.clock.stamp())
    if (found.isErr() && found.error.reason === Reason.NoSuchJob && !this.options.journalState().jobs.has(id)) {
      return await this.cancelUnknown(request, id, budgetMs)
    }
    if (found.isErr()) return err(found.error)
    // An end that is not in the journal yet may be lost with the owner that decided it.
    if (isFinal(found.value.visiblePhase())) return ok(undefined)
    const record = encodeRecord(Subject.Cancellation, id, { atMs: this.options.clock.wall() })
    const appended = await this.append(record, budgetMs, () => (this.options.journalState().jobs.get(id)?.cancelledMs ?? 0) > 0)
    if (appended.isErr()) return err(appended.error)
    this.options.log.decision('cancellation accepted', { job: id, version: request.version, known: true })
    return ok(undefined)
  }

  /** Stores the cancellation of a job that is not known, so that the job does not run if its record is stored later. */
  private async cancelUnknown (request: AuthorizedRequest, id: string, budgetMs: number): Promise<Result<void, Refusal>> {
    const { queue, workspace, version } = request
    const isCancelled = (): boolean => {
      const { jobs, earlyCancellations } = this.options.journalState()
      return earlyCancellations.get(id)?.queue === queue.name || (jobs.get(id)?.cancelledMs ?? 0) > 0
    }
    if (!isCancelled()) {
      const shortage = this.findShortage(request)
      if (shortage !== undefined) return err(shortage)
      const cancellation: EarlyCancellation = { atMs: this.options.clock.wall(), queue: queue.name, workspace }
      const appended = await this.append(encodeRecord(Subject.Cancellation, id, cancellation), budgetMs, isCancelled)
      if (appended.isErr()) return err(appended.error)
    }
    const isKnown = this.options.journalState().jobs.get(id)?.job.queue === queue.name
    this.options.log.decision('cancellation accepted', { job: id, version, known: isKnown })
    return isKnown ? ok(undefined) : err(noSuchJob(id))
  }

  /** Returns why the cancellation of a job that is not known is refused, or undefined: it is kept in memory like a job that has ended. */
  private findShortage ({ queue, workspace }: AuthorizedRequest): Refusal | undefined {
    const { journalState, clock } = this.options
    const shortage = refuseBeyondBacklog(journalState().backlog, workspace, EARLY_CANCELLATION_BYTES, clock.now())
    if (shortage === undefined) return undefined
    this.refusals.count(shortage.reason, { queue: queue.name, workspace, retryAfterMs: shortage.retryAfterMs })
    return shortage
  }

  /**
   * Logs an unexpected error in the handling of a request.
   *
   * @returns the refusal for the caller: the error may have come after the request took effect
   */
  refuseAfterError (method: string, path: string, error: unknown): Refusal {
    this.options.log.event('request failed unexpectedly', { method, path, error: describeError(error) })
    return {
      reason: Reason.Internal,
      detail: 'An unexpected error ended the request. It may have taken effect. The log of the node has the error.',
      execution: Execution.Unknown,
      retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS
    }
  }

  /** Counts the jobs of a queue of which no task has started. Refuses with a journal that is too old. */
  async countPending (request: AuthorizedRequest): Promise<Result<number, Refusal>> {
    if (this.journalAgeMs() > COUNT_REFRESH_AGE_MS) await this.catchUp()
    if (this.journalAgeMs() > MAX_COUNT_AGE_MS) {
      return err(this.refuseStaleJournal({ queue: request.queue.name }, 'The jobs of the queue cannot be counted.'))
    }
    let count = await this.options.countUnstarted(request.queue.name, LOOKUP_TIMEOUT_MS)
    for (const entry of this.options.journalState().jobs.values()) {
      if (entry.job.queue === request.queue.name && entry.visiblePhase() === Phase.Pending) count++
    }
    return ok(count)
  }

  /**
   * Finds a job of the request's queue. A job that is not in this node's copy of the journal exists or not only by a read that is
   * newer than the request: the node may have just started, or may not reach the store.
   *
   * @param since time of the request
   */
  private async findJob (request: AuthorizedRequest, id: string, since: Stamp): Promise<Result<JobEntry, Refusal>> {
    if (!this.options.journalState().jobs.has(id)) {
      if (this.journalAgeMs() > MAX_JOURNAL_AGE_MS) await this.catchUp()
      const entry = this.options.journalState().jobs.get(id)
      if (entry === undefined && this.journalAgeMs() > this.options.clock.ageOf(since) + MAX_JOURNAL_AGE_MS) {
        return err(this.refuseStaleJournal({ job: id }, `It is not known whether job ${id} exists.`))
      }
    }
    const entry = this.options.journalState().jobs.get(id)
    return entry === undefined || entry.job.queue !== request.queue.name ? err(noSuchJob(id)) : ok(entry)
  }

  private journalAgeMs (): number {
    return this.options.clock.ageOf(this.options.journalFreshAt())
  }

  private async catchUp (): Promise<void> {
    await Promise.race([this.reads.run(), sleep(CATCH_UP_TIMEOUT_MS)])
  }

  private refuseStaleJournal (subject: { readonly job: string } | { readonly queue: string }, detail: string): Refusal {
    this.options.log.decision('request refused', { ...subject, reason: 'journal-stale', ageMs: Math.round(this.journalAgeMs()) })
    return refuse(Reason.LogUnavailable, `${detail} This node has not read the journal lately.`, UNAVAILABLE_RETRY_AFTER_MS)
  }

  private createJob ({ queue, workspace, workspaceSettings }: AuthorizedRequest, submission: Submission): Job {
    const { priority, attempts, stretch, targetMs, advice } = queue
    return {
      ...submission,
      queue: queue.name,
      upstream: queue.upstream,
      workspace,
      acceptedMs: this.options.clock.wall(),
      queueSettings: { priority, attempts, stretch, targetMs, advice },
      workspaceSettings
    }
  }

  /**
   * Appends a record through the owner, which batches the records of many callers into one append even if the store is slow. If
   * the owner was not reached, this node appends the record itself, until the store has it or the caller's time is over.
   *
   * @param budgetMs time for which the caller still waits
   * @param isWritten returns true if the record is in the part of the journal that has been read
   * @param job the job that the record submits; undefined for another record
   */
  private async append (
    record: KeyedRecord, budgetMs: number, isWritten: () => boolean, job?: Job
  ): Promise<Result<void, Refusal>> {
    const forwarded = await this.options.forwardToOwner(record, Math.min(OWNER_APPEND_TIMEOUT_MS, budgetMs / 2))
    // The owner has stored the record, refused the job, or withdrawn the record. A withdrawn record has certainly not been written,
    // although the owner calls the store directly and through other nodes. Another attempt from here could only make the outcome
    // unknown.
    if (forwarded !== undefined && (forwarded.isOk() || forwarded.error.execution === Execution.NotRun)) return forwarded
    const isUnconfirmed = job !== undefined && this.unconfirmedJobs.has(job.id, this.options.clock.now())
    const mayBeStored = forwarded !== undefined || isUnconfirmed
    const sinceMs = this.options.clock.now()
    const refusal = job === undefined || mayBeStored ? undefined : await this.ownerlessAdmission.reserve(job)
    if (refusal !== undefined) return err(refusal)
    const admissionMs = this.options.clock.now() - sinceMs
    const { backlog } = this.options.journalState()
    // If the outcome at the owner is unknown, the timeout given to the owner is subtracted, even if the answer was lost earlier.
    const forwardMs = Math.min(OWNER_APPEND_TIMEOUT_MS, budgetMs / 2)
    const remainingMs = budgetMs - (forwarded === undefined ? 0 : forwardMs) - admissionMs - ANSWER_TRANSFER_MS
    const execution = await this.appender.append(record, remainingMs, mayBeStored ? Execution.Unknown : Execution.NotRun)
    if (execution === Execution.Run) this.options.applyAppended(record)
    if (job !== undefined && !mayBeStored) backlog.release(job.id)
    if (execution === Execution.Run) return ok(undefined)
    // The owner may have appended the record although its answer was lost.
    if (execution === Execution.Unknown && isWritten()) return ok(undefined)
    return err({
      reason: Reason.LogUnavailable,
      detail: 'It was not confirmed that the request was stored.',
      execution,
      retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS
    })
  }
}

function noSuchJob (id: string): Refusal {
  return refuse(Reason.NoSuchJob, `There is no job ${id} on this queue.`)
}
