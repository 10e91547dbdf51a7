/**
 * Forgets what is over: workers that have left, runs that no lease can hold any more, and jobs that ended long ago.
 */
import type { Clock, Stamp } from '../clock.js'
import { detach } from '../detach.js'
import { keyOf, Subject } from '../journal/record.js'
import type { JobEntry, Table } from '../journal/table.js'
import type { Encoder, Writer } from '../journal/writer.js'
import { isFinal } from '../model/job.js'
import { AUTHORITY_MS } from './authority.js'
import type { Session } from './session.js'

/** How long a worker may be without an entry before nothing new is placed on it. */
const MISSING_MS = 2200
/** A worker with neither entry nor runs is forgotten after this time. */
const FORGET_MS = 10_000
/** Records are kept for this many times the time that is promised: clocks differ, and callers are slow. */
const KEPT_FACTOR = 1.5
const SWEEP_INTERVAL_MS = 1000
/** Records that one sweep drops at most. */
const SWEEP_RECORDS = 600
/** How long one sweep keeps a worker without an entry from new work; the next sweep comes sooner. */
const CLOSE_MS = 200

/** What is swept. */
export interface SweepParts {
  readonly table: Table
  readonly sessions: Map<string, Session>
  readonly backoff: Map<string, number>
  readonly writer: Writer
  readonly clock: Clock
  readonly claimedAt: Stamp
  readonly terms: { readonly leaseMs: number, readonly keptMs: number }
  /** How long a worker has had no entry in the registry. */
  readonly missingMs: (worker: string) => number
  /** A job is not known any more. */
  readonly forgetJob: (job: string) => void
}

/** Sweeps for one owner. */
export class Sweeper {
  private sweptMs = -Infinity

  constructor (private readonly parts: SweepParts) {}

  /** Does what is due. Called every tick of the owner. */
  tick (): void {
    this.sweepSessions()
    this.sweepBackoff()
    const nowMs = this.parts.clock.now()
    if (nowMs - this.sweptMs < SWEEP_INTERVAL_MS) return
    this.sweptMs = nowMs
    this.sweepJobs()
  }

  private sweepSessions (): void {
    const { clock, claimedAt, terms } = this.parts
    const orphanMs = AUTHORITY_MS + terms.leaseMs / 0.98
    for (const session of this.parts.sessions.values()) {
      const missingMs = this.parts.missingMs(session.id)
      if (missingMs > MISSING_MS) session.coolUntilMs = Math.max(session.coolUntilMs, clock.now() + CLOSE_MS)
      const orphanedMs = clock.now() - Math.max(claimedAt.steadyMs, session.rebornMs)
      if (!session.adopted && session.runs.size > 0 && orphanedMs > orphanMs) {
        session.lose('The worker has not been reached, and no earlier owner can have renewed its lease.')
      }
      if (missingMs > FORGET_MS && !session.reachable && session.runs.size === 0) {
        session.close()
        this.parts.sessions.delete(session.id)
      }
    }
  }

  /** Drops the records of jobs that ended longer ago than callers may ask for them. */
  private sweepJobs (): void {
    const nowMs = this.parts.clock.wall()
    const changes = new Map<string, Encoder>()
    for (const [id, entry] of this.parts.table.jobs) {
      if (!isFinal(entry.shown) || nowMs - entry.endedMs < KEPT_FACTOR * this.parts.terms.keptMs) continue
      for (const subject of [Subject.Job, Subject.Cancellation, Subject.Progress]) {
        const key = keyOf(subject, id)
        changes.set(key, () => ({ key, value: undefined }))
      }
      this.forgetJob(entry)
      if (changes.size >= SWEEP_RECORDS) break
    }
    if (changes.size > 0) detach(this.parts.writer.commit(changes))
  }

  private forgetJob ({ job }: JobEntry): void {
    this.parts.table.jobs.delete(job.id)
    this.parts.forgetJob(job.id)
  }

  private sweepBackoff (): void {
    const nowMs = this.parts.clock.now()
    for (const [task, untilMs] of this.parts.backoff) {
      if (untilMs <= nowMs) this.parts.backoff.delete(task)
    }
  }
}
