/**
 * Admission of jobs while no owner is reached. All nodes append jobs then without knowing of each other's, so each uses only its part of
 * the free room. A job that is larger than this part waits for a random time, like a sender on a shared medium, and is admitted if it
 * fits into what the journal leaves free after that.
 */
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { sleep, type Clock, type Stamp } from '../clock.js'
import type { JournalState } from '../journal/journal-state.js'
import type { Job } from '../model/job.js'
import { heldBytesOf, type Backlog } from '../place/backlog.js'
import { refuseBeyondBacklog } from './backlog-refusal.js'

/** Range of the random times, so that few nodes read the journal and append between the read and the append of another one. */
const SPREAD_PER_NODE_MS = 10
const MIN_SPREAD_MS = 100
const MAX_SPREAD_MS = 500
/** Time after which an owner is expected to be reached. */
const RETRY_AFTER_MS = 1000

/** Dependencies of the admission. */
export interface OwnerlessAdmissionOptions {
  readonly journalState: () => JournalState
  /** Reads the journal to its end. */
  readonly catchUp: () => Promise<void>
  /** The last time at which the journal had been read to its end. */
  readonly journalFreshAt: () => Stamp
  readonly clock: Clock
}

/** Admits the jobs that one node appends by itself. */
export class OwnerlessAdmission {
  /** True while a job that is larger than this node's part waits. */
  private waiting = false

  constructor (private readonly options: OwnerlessAdmissionOptions) {}

  /**
   * Reserves room for a job until it is released in the backlog.
   *
   * @returns why there is none, or undefined
   */
  async reserve (job: Job): Promise<Refusal | undefined> {
    const bytes = heldBytesOf(job)
    const nodes = Math.max(1, this.options.journalState().nodes.size)
    const refusal = this.findRefusal(job, bytes)
    if (refusal !== undefined) return refusal
    if (this.backlog.findShortage(job.workspace, bytes, nodes) !== undefined) {
      const later = await this.waitForTurn(nodes) ?? this.findRefusal(job, bytes)
      if (later !== undefined) return later
    }
    this.backlog.reserve(job.id, job.workspace, bytes)
  }

  private get backlog (): Backlog {
    return this.options.journalState().backlog
  }

  private findRefusal (job: Job, bytes: number): Refusal | undefined {
    return refuseBeyondBacklog(this.backlog, job.workspace, bytes, this.options.clock.now())
  }

  /** Waits and reads the journal. Refuses if a second job would wait, or if others may have appended much since the read began. */
  private async waitForTurn (nodes: number): Promise<Refusal | undefined> {
    if (this.waiting) {
      return refuse(Reason.LimitReached, 'Large jobs are accepted one at a time while the owner is not reached. Retry later.', RETRY_AFTER_MS)
    }
    this.waiting = true
    const spreadMs = Math.min(MAX_SPREAD_MS, Math.max(MIN_SPREAD_MS, SPREAD_PER_NODE_MS * nodes))
    try {
      await sleep(Math.random() * spreadMs)
      await this.options.catchUp()
    } finally {
      this.waiting = false
    }
    if (this.options.clock.ageOf(this.options.journalFreshAt()) <= spreadMs) return undefined
    const detail = 'The owner is not reached, and this node cannot read the journal fast enough to know whether there is room.'
    return refuse(Reason.LogUnavailable, detail, RETRY_AFTER_MS)
  }
}
