/**
 * Writes the progress of jobs and the records submitted by callers to the journal.
 */
import { Execution } from '@fireflymount/protocol/refusal'
import { sleep } from '../clock.js'
import type { Encoder } from '../journal/job-changes.js'
import type { JobEntry } from '../journal/journal-state.js'
import { Subject, splitKey } from '../journal/record.js'
import type { Writer } from '../journal/writer.js'
import { isFinal, type Phase } from '../model/job.js'
import type { KeyedRecord } from '../ports/store.js'

/**
 * Maximum number of attempts to withdraw a caller's record while an append that contains it is in flight, and the delay between
 * them.
 */
const MAX_WITHDRAW_ATTEMPTS = 5
const WITHDRAW_RETRY_DELAY_MS = 30

/** Commits changes through one writer. */
export class JournalCommitter {
  /** Number of callers that wait for each key to be written. */
  private readonly waitingCallers = new Map<string, number>()

  constructor (private readonly writer: Writer) {}

  /**
   * Commits the changes of jobs. Without any, waits for those that were committed before, which the store may not have yet.
   *
   * @returns true once the journal holds the jobs as the owner knows them, false if the owner was superseded or closed
   */
  async commitJobs (entries: readonly JobEntry[]): Promise<boolean> {
    const changes = new Map<string, Encoder>()
    const written = new Map<JobEntry, Phase>()
    for (const entry of entries) {
      for (const [key, encode] of entry.takeChanges()) {
        changes.set(key, () => {
          // Only the record of its end tells a successor that a job has ended.
          if (!isFinal(entry.phase) || splitKey(key).subject === Subject.Progress) written.set(entry, entry.phase)
          return encode()
        })
      }
    }
    const committed = changes.size === 0 ? await this.writer.flush() : await this.writer.commit(changes)
    if (committed.isErr()) return false
    for (const [entry, phase] of written) entry.committedPhase = phase
    return true
  }

  /**
   * Appends callers' records together with the owner's own changes.
   *
   * @param timeoutMs time after which the records are withdrawn if that is still possible
   * @returns whether the append was executed: Run once the store has the records, NotRun if they will provably never be stored,
   *   Unknown otherwise
   */
  async appendRecords (records: readonly KeyedRecord[], timeoutMs: number): Promise<Execution> {
    const changes = new Map<string, Encoder>()
    const keys = records.map((record) => record.key)
    for (const record of records) changes.set(record.key, () => record)
    for (const key of keys) this.waitingCallers.set(key, (this.waitingCallers.get(key) ?? 0) + 1)
    const committing = this.writer.commit(changes)
    let committed = await Promise.race([committing, sleep(timeoutMs)])
    let withdrawn = false
    for (let attempt = 0; attempt < MAX_WITHDRAW_ATTEMPTS && committed === undefined && !withdrawn; attempt++) {
      withdrawn = this.withdraw(keys)
      if (!withdrawn) committed = await Promise.race([committing, sleep(WITHDRAW_RETRY_DELAY_MS)])
    }
    for (const key of keys) this.releaseKey(key)
    if (withdrawn) return Execution.NotRun
    return committed === undefined || committed.isErr() ? Execution.Unknown : Execution.Run
  }

  /** Withdraws keys unless another caller waits for one of them. */
  private withdraw (keys: readonly string[]): boolean {
    return keys.every((key) => this.waitingCallers.get(key) === 1) && this.writer.withdraw(keys)
  }

  private releaseKey (key: string): void {
    const remaining = this.waitingCallers.get(key)! - 1
    if (remaining === 0) this.waitingCallers.delete(key)
    else this.waitingCallers.set(key, remaining)
  }
}
