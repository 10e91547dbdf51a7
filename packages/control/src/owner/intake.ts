/**
 * What callers hand in: jobs that are refused or taken, and the rates of their workspaces.
 */
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { Subject, decodeValue, splitKey } from '../journal/record.js'
import type { JobEntry, Table } from '../journal/table.js'
import type { Writer } from '../journal/writer.js'
import type { Configuration } from '../model/configuration.js'
import type { Job } from '../model/job.js'
import { findReturnMs } from '../place/admission.js'
import { RateBook } from '../place/rate.js'
import type { KeyedRecord } from '../ports/store.js'
import type { Log } from '../report/log.js'
import type { Commits } from './commits.js'
import type { Dispatcher } from './dispatcher.js'

/** When to come back while the store takes no records. */
const AWAY_RETRY_MS = 1000

/** What callers' records meet. */
export interface IntakeParts {
  readonly table: Table
  readonly writer: Writer
  readonly commits: Commits
  readonly dispatcher: Dispatcher
  readonly configuration: () => Configuration
  /** The store has a record: acts on it. */
  readonly onWritten: (record: KeyedRecord) => void
  readonly log: Log
}

/** Takes records of callers for one owner. */
export class Intake {
  private readonly rates = new RateBook()
  private readonly counted = new Set<string>()

  /**
   * @param excess jobs beyond the rate of their workspace, kept up to date here
   */
  constructor (private readonly parts: IntakeParts, private readonly excess: Set<string>) {}

  /**
   * Takes a record: refuses a job that would end too late, and appends all others.
   *
   * @param timeoutMs time after which the record is withdrawn, if that is still possible
   */
  async take (record: KeyedRecord, timeoutMs: number): Promise<Result<void, Refusal>> {
    const refusal = this.findRefusal(record)
    if (refusal !== undefined) return err(refusal)
    const execution = await this.append([record], timeoutMs)
    if (execution === Execution.Run) return ok(undefined)
    return err({ reason: Reason.LogUnavailable, detail: 'The store takes no records.', execution, retryAfterMs: AWAY_RETRY_MS })
  }

  /**
   * Appends records, and acts on them.
   *
   * @returns what has become of the records
   */
  async append (records: readonly KeyedRecord[], timeoutMs: number): Promise<Execution> {
    const execution = await this.parts.commits.offer(records, timeoutMs)
    if (execution !== Execution.Run) return execution
    for (const record of records) this.parts.onWritten(record)
    return execution
  }

  /** Counts a job once against the rate of its workspace. */
  count ({ job }: JobEntry): void {
    if (this.counted.has(job.id)) return
    this.counted.add(job.id)
    const weight = this.weightOf(job.workspace)
    if (!this.rates.count(job.workspace, weight, job.acceptedMs)) return
    this.excess.add(job.id)
    this.parts.log.decision('beyond rate', { job: job.id, workspace: job.workspace, weight })
  }

  /** Forgets a job that has ended long ago. */
  forget (job: string): void {
    this.counted.delete(job)
    this.excess.delete(job)
  }

  /** Why a job is not taken. One that may have been written already is never said not to have run. */
  private findRefusal (record: KeyedRecord): Refusal | undefined {
    const { table, writer, dispatcher } = this.parts
    const { subject, name } = splitKey(record.key)
    if (subject !== Subject.Job || record.value === undefined) return undefined
    if (table.jobs.has(name) || writer.holds(record.key)) return undefined
    const decoded = decodeValue<Job>(record.value)
    if (decoded.isErr()) return undefined
    const job = decoded.value
    if (job.occurrences > 0 || job.steps.some((step) => step.lasting)) return undefined
    const beyondRate = this.rates.exceeds(job.workspace, this.weightOf(job.workspace), job.acceptedMs)
    const returnMs = findReturnMs(dispatcher.lacksOf(job.queue, beyondRate))
    if (returnMs === undefined || dispatcher.hasRoom(job)) return undefined
    return refuse(Reason.DeadlineUnreachable, 'The jobs before it take longer than this one can wait.', returnMs)
  }

  /** Jobs a second that the share of a workspace covers; 0 for no bound. */
  private weightOf (name: string): number {
    return this.parts.configuration().workspaces.find((workspace) => workspace.name === name)?.weight ?? 0
  }
}
