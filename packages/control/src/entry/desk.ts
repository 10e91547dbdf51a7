/**
 * What callers may do at any node: submit, look up and cancel jobs, and count a queue's waiting jobs.
 */
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import type { Clock, Stamp } from '../clock.js'
import { Subject, encodeJob, encodeRecord } from '../journal/record.js'
import type { Table } from '../journal/table.js'
import { findQueueByPath, findWorkspaceByKey, type Configuration, type Queue } from '../model/configuration.js'
import { findJobMistake, isFinal, Phase, type Job, type Step } from '../model/job.js'
import type { KeyedRecord, Store } from '../ports/store.js'
import type { Log } from '../report/log.js'
import type { Metrics } from '../report/metrics.js'
import { Appender } from './appender.js'

/** Longest wait for the owner's answer to a look-up, before this node's own copy of the journal is used. */
const LOOKUP_TIMEOUT_MS = 400
/** Time kept of a caller's deadline for the way of the answer. */
const ANSWER_RESERVE_MS = 150
/** Longest time for the owner to append a record. */
const HAND_OVER_MS = 900
/** When to come back while the store or the configuration cannot be reached. */
const AWAY_RETRY_MS = 1000
/** Longest time for an unknown job to be looked for in the journal. */
const CATCH_UP_AGE_MS = 20

/** A call that has been let in. */
export interface Access {
  readonly queue: Queue
  /** Empty on an open queue without a key. */
  readonly workspace: string
  /** Version of the configuration that let the call in. */
  readonly version: number
}

/** What a caller submits. */
export interface Submission {
  readonly id: string
  readonly payload: string
  readonly steps: readonly Step[]
  readonly occurrences: number
  readonly firstDueMs: number
  readonly intervalMs: number
}

/** What the desk is built from. */
export interface DeskParts {
  readonly configuration: () => Configuration | undefined
  /** When the configuration was last known to be the newest. */
  readonly configurationFreshAt: () => Stamp
  /** Age of the configuration beyond which keys are not trusted. */
  readonly configurationAgeMaxMs: number
  readonly table: () => Table
  readonly store: Store
  /** Reads the journal to its end. */
  readonly catchUp: () => Promise<void>
  /** When the journal was last read to its end. */
  readonly journalFreshAt: () => Stamp
  /** Has the owner append a record together with its own; undefined if no owner can be asked. */
  readonly handOver: (record: KeyedRecord, timeoutMs: number) => Promise<Result<void, Refusal> | undefined>
  /** Tells the owner, and this node's own table, of a record that this node has appended; resolves at once. */
  readonly notify: (record: KeyedRecord) => void
  /** Asks the owner for a job's phase; null if it knows no such job, undefined without an answer. */
  readonly askPhase: (job: string, timeoutMs: number) => Promise<Phase | null | undefined>
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
}

/** Serves callers. */
export class Desk {
  private readonly appender: Appender

  constructor (private readonly parts: DeskParts) {
    this.appender = new Appender(parts.store, parts.clock)
  }

  /**
   * Lets a call in, or refuses it.
   *
   * @param host host name without a port
   * @param path path of the request
   * @param key the caller's key; empty without one
   */
  admit (host: string, path: string, key: string): Result<Access, Refusal> {
    const configuration = this.parts.configuration()
    if (configuration === undefined) {
      return err(refuse(Reason.ConfigurationStale, 'This node has no configuration yet.', AWAY_RETRY_MS))
    }
    const ageMs = this.parts.clock.ageOf(this.parts.configurationFreshAt())
    if (ageMs > this.parts.configurationAgeMaxMs) {
      return err(refuse(Reason.ConfigurationStale, `The configuration was last confirmed ${Math.round(ageMs)} ms ago.`, AWAY_RETRY_MS))
    }
    const queue = findQueueByPath(configuration, host, path)
    if (queue === undefined) return err(refuse(Reason.NoSuchQueue, `There is no queue at ${host}${path}.`))
    const workspace = key === '' ? undefined : findWorkspaceByKey(configuration, key)
    if (workspace === undefined && !queue.open) return err(refuse(Reason.BadKey, 'The key is missing or belongs to no workspace.'))
    return ok({ queue, workspace: workspace?.name ?? '', version: configuration.version })
  }

  /** Accepts a job. It is in the store when this resolves to a value. */
  async submit (access: Access, submission: Submission, budgetMs: number): Promise<Result<void, Refusal>> {
    const { queue } = access
    const known = this.parts.table().jobs.get(submission.id)
    if (known !== undefined) {
      if (known.job.queue === queue.name) return ok(undefined)
      return err(refuse(Reason.BadRequest, `The id ${submission.id} names a job on another queue. Choose another id.`))
    }
    const mistake = findJobMistake(submission.steps)
    if (mistake !== undefined) return err(refuse(Reason.BadRequest, mistake))
    const job = this.createJob(access, submission)
    const appended = await this.append(encodeJob(job), budgetMs, () => this.parts.table().jobs.has(job.id))
    if (appended.isErr()) {
      const { reason, execution, retryAfterMs } = appended.error
      this.parts.log.decision('job refused', { job: job.id, queue: queue.name, workspace: job.workspace, reason, execution, retryAfterMs })
      return err(appended.error)
    }
    this.parts.log.decision('job accepted', {
      job: job.id, queue: queue.name, workspace: job.workspace, version: access.version, steps: job.steps.length
    })
    return ok(undefined)
  }

  /** Returns what a caller is shown of a job. */
  async lookup (access: Access, id: string): Promise<Result<Phase, Refusal>> {
    const known = this.parts.table().jobs.get(id)
    if (known !== undefined && isFinal(known.visiblePhase())) return this.show(access, id)
    const phase = await this.parts.askPhase(id, LOOKUP_TIMEOUT_MS)
    if (phase !== undefined && phase !== null) return ok(phase)
    if (!this.parts.table().jobs.has(id)) await this.catchUp()
    return this.show(access, id)
  }

  /** Cancels a job. The cancellation is in the store when this resolves to a value. */
  async cancel (access: Access, id: string, budgetMs: number): Promise<Result<void, Refusal>> {
    if (!this.parts.table().jobs.has(id)) await this.catchUp()
    const known = this.parts.table().jobs.get(id)
    if (known === undefined || known.job.queue !== access.queue.name) return err(noSuchJob(id))
    if (known.over()) return ok(undefined)
    const record = encodeRecord(Subject.Cancellation, id, { atMs: this.parts.clock.wall() })
    const appended = await this.append(record, budgetMs, () => (this.parts.table().jobs.get(id)?.cancelledMs ?? 0) > 0)
    if (appended.isErr()) return err(appended.error)
    this.parts.log.decision('cancellation accepted', { job: id, version: access.version })
    return ok(undefined)
  }

  /** Counts the jobs of a queue of which no task has started. */
  waiting (access: Access): number {
    let count = 0
    for (const entry of this.parts.table().jobs.values()) {
      if (entry.job.queue === access.queue.name && entry.visiblePhase() === Phase.Pending) count++
    }
    return count
  }

  private show (access: Access, id: string): Result<Phase, Refusal> {
    const known = this.parts.table().jobs.get(id)
    if (known === undefined || known.job.queue !== access.queue.name) return err(noSuchJob(id))
    return ok(known.visiblePhase())
  }

  private async catchUp (): Promise<void> {
    if (this.parts.clock.ageOf(this.parts.journalFreshAt()) > CATCH_UP_AGE_MS) await this.parts.catchUp()
  }

  private createJob (access: Access, submission: Submission): Job {
    return {
      ...submission,
      queue: access.queue.name,
      upstream: access.queue.upstream,
      workspace: access.workspace,
      acceptedMs: this.parts.clock.wall()
    }
  }

  /**
   * Appends by way of the owner, whose one append carries many records however slow the store is. Without an owner this node appends
   * by itself, until the store has the record or the caller's time is over.
   *
   * @param isWritten tells whether the journal, as far as it was read, has the record
   */
  private async append (record: KeyedRecord, budgetMs: number, isWritten: () => boolean): Promise<Result<void, Refusal>> {
    const handed = await this.parts.handOver(record, Math.min(HAND_OVER_MS, budgetMs / 2))
    // What the owner cannot append, with all ways to the store, this node would only leave in doubt.
    if (handed !== undefined && (handed.isOk() || handed.error.execution === Execution.NotRun)) return handed
    const handedMs = Math.min(HAND_OVER_MS, budgetMs / 2)
    const leftMs = budgetMs - (handed === undefined ? 0 : handedMs) - ANSWER_RESERVE_MS
    const execution = await this.appender.append(record, leftMs, handed === undefined ? Execution.NotRun : Execution.Unknown)
    if (execution === Execution.Run) {
      this.parts.notify(record)
      return ok(undefined)
    }
    // An owner can have appended it although its answer was lost.
    if (execution === Execution.Unknown && isWritten()) return ok(undefined)
    return err({ reason: Reason.LogUnavailable, detail: 'The store did not take the record.', execution, retryAfterMs: AWAY_RETRY_MS })
  }
}

function noSuchJob (id: string): Refusal {
  return refuse(Reason.NoSuchJob, `There is no job ${id} on this queue.`)
}
