/**
 * Jobs whose submission through this node has an unknown outcome. A refusal of the same job as not run could be untrue.
 */

/** Time after which an append in progress has certainly ended, and its effect has been read. */
const MAX_AGE_MS = 60_000
const MAX_JOBS = 4096

/** Ids of jobs that may be stored although this node's copy of the journal does not have them. */
export class UnconfirmedJobs {
  /** Steady time of the last submission, by id, oldest first. */
  private readonly submittedMs = new Map<string, number>()
  /** Steady time at which a job was last forgotten too early. */
  private forgottenMs = -Infinity

  /** Notes a job. Beyond a maximum, the oldest ones are forgotten. */
  add (id: string, nowMs: number): void {
    this.submittedMs.delete(id)
    this.submittedMs.set(id, nowMs)
    for (const [oldest, sinceMs] of this.submittedMs) {
      if (nowMs - sinceMs < MAX_AGE_MS && this.submittedMs.size <= MAX_JOBS) break
      this.submittedMs.delete(oldest)
      if (nowMs - sinceMs < MAX_AGE_MS) this.forgottenMs = nowMs
    }
  }

  /** Returns true if the job may have been stored. */
  has (id: string, nowMs: number): boolean {
    return this.submittedMs.has(id) || nowMs - this.forgottenMs < MAX_AGE_MS
  }
}
