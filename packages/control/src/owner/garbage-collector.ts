/**
 * Removes state that is no longer needed: workers without a registry entry, the runs of workers that did not answer this owner
 * in time, and jobs that ended long ago.
 */
import type { Clock, Stamp } from '../clock.js'
import { detach } from '../detach.js'
import type { Encoder } from '../journal/job-changes.js'
import type { JobEntry, JournalState } from '../journal/journal-state.js'
import { Subject, keyOf } from '../journal/record.js'
import type { Writer } from '../journal/writer.js'
import { isFinal } from '../model/job.js'
import { MAX_UNCONFIRMED_OWNERSHIP_MS } from './ownership.js'
import { MIN_CLOCK_RATE } from './lease.js'
import { MAX_MISSING_MS } from './registry.js'
import type { Session } from './session.js'

/** An unreachable worker with neither an entry nor runs is removed after this time. */
const FORGET_AFTER_MS = 10_000
/** Records are kept for the promised retention time multiplied by this factor, because clocks differ and callers may be slow. */
const RETENTION_FACTOR = 1.5
/** Minimum time between two collections of jobs. */
const JOB_COLLECTION_INTERVAL_MS = 1000
/** Maximum number of records that one collection removes. */
const MAX_RECORDS_PER_COLLECTION = 600
/** How long one tick pauses placement on a worker without an entry. The next tick comes sooner. */
const MISSING_ENTRY_PAUSE_MS = 200

/** Dependencies of the garbage collector. */
export interface GarbageCollectorOptions {
  readonly journalState: JournalState
  readonly sessions: Map<string, Session>
  /** Time on the steady clock before which a task may not start, by task name. */
  readonly notBeforeMs: Map<string, number>
  readonly writer: Writer
  readonly clock: Clock
  /** When the claim of the ownership was confirmed. */
  readonly claimedAt: Stamp
  readonly settings: { readonly leaseMs: number, readonly keptMs: number }
  /** The last time at which the journal had been read to its end. */
  readonly journalReadAt: () => Stamp
  /** How long a worker has had no entry in the registry. */
  readonly missingMs: (worker: string) => number
  /** True if a run of the job may exist. */
  readonly hasRuns: (entry: JobEntry) => boolean
  /** Called when a job has been removed. */
  readonly forgetJob: (job: string) => void
}

/** Collects garbage for one owner. */
export class GarbageCollector {
  private collectedMs = -Infinity
  /** Time on the steady clock at which a job that is about to be removed was first seen to be due, by its id. */
  private readonly dueSinceMs = new Map<string, number>()

  constructor (private readonly options: GarbageCollectorOptions) {}

  /** Performs the work that is due. The owner calls it on every tick. */
  tick (): void {
    this.collectSessions()
    this.collectRetryDelays()
    const nowMs = this.options.clock.now()
    if (nowMs - this.collectedMs < JOB_COLLECTION_INTERVAL_MS) return
    this.collectedMs = nowMs
    this.collectJobs()
  }

  private collectSessions (): void {
    const { clock, claimedAt, settings } = this.options
    // Time for which an earlier owner may act without confirmation, plus its last lease on the slowest clock. It is counted from
    // the claim, or from the restart of the worker if this owner saw one. The leases that this owner has granted are checked too.
    const maxEarlierLeaseMs = MAX_UNCONFIRMED_OWNERSHIP_MS + settings.leaseMs / MIN_CLOCK_RATE
    for (const session of this.options.sessions.values()) {
      const missingMs = this.options.missingMs(session.id)
      if (missingMs > MAX_MISSING_MS) {
        session.pausedUntilMs = Math.max(session.pausedUntilMs, clock.now() + MISSING_ENTRY_PAUSE_MS)
      }
      const unadoptedMs = clock.now() - Math.max(claimedAt.steadyMs, session.restartSeenMs)
      if (!session.adopted && session.runs.size > 0 && unadoptedMs > maxEarlierLeaseMs && session.hasLeaseExpired()) {
        session.declareLost('The worker was not adopted before the timeout for leases of an earlier owner.')
      }
      if (missingMs > FORGET_AFTER_MS && !session.reachable && session.runs.size === 0) {
        session.discard()
        this.options.sessions.delete(session.id)
      }
    }
  }

  /** Drops the details of jobs that ended, and removes the records of those that callers may no longer ask for. */
  private collectJobs (): void {
    const nowMs = this.options.clock.wall()
    const changes = new Map<string, Encoder>()
    for (const entry of this.options.journalState.jobs.values()) {
      if (!isFinal(entry.committedPhase)) continue
      if (!this.options.hasRuns(entry)) this.options.journalState.dropDetails(entry)
      if (nowMs - entry.endedMs < RETENTION_FACTOR * this.options.settings.keptMs) continue
      if (!this.isRead(entry)) continue
      for (const key of entry.storedKeys()) changes.set(key, () => ({ key, value: undefined }))
      this.forgetJob(entry)
      if (changes.size >= MAX_RECORDS_PER_COLLECTION) break
    }
    this.collectEarlyCancellations(nowMs, changes)
    if (changes.size > 0) detach(this.options.writer.commit(changes))
  }

  /** Removes cancellations of jobs that were never stored, once no append of their records can be carried out any more. */
  private collectEarlyCancellations (nowMs: number, changes: Map<string, Encoder>): void {
    const { journalState, settings } = this.options
    for (const [id, { atMs }] of journalState.earlyCancellations) {
      if (changes.size >= MAX_RECORDS_PER_COLLECTION) return
      // The clock of the node that has written it may have been wrong.
      if (Math.abs(nowMs - atMs) < RETENTION_FACTOR * settings.keptMs) continue
      const key = keyOf(Subject.Cancellation, id)
      changes.set(key, () => ({ key, value: undefined }))
      journalState.removeEarlyCancellation(id)
    }
  }

  /**
   * True once the journal has been read since a job became due. The record of a job that is read after its removal would be taken for
   * that of a new job.
   */
  private isRead ({ job }: JobEntry): boolean {
    const dueSinceMs = this.dueSinceMs.get(job.id) ?? this.options.clock.now()
    this.dueSinceMs.set(job.id, dueSinceMs)
    return this.options.journalReadAt().steadyMs > dueSinceMs
  }

  private forgetJob ({ job }: JobEntry): void {
    this.dueSinceMs.delete(job.id)
    this.options.journalState.remove(job.id)
    this.options.forgetJob(job.id)
  }

  private collectRetryDelays (): void {
    const nowMs = this.options.clock.now()
    for (const [task, untilMs] of this.options.notBeforeMs) {
      if (untilMs <= nowMs) this.options.notBeforeMs.delete(task)
    }
  }
}
