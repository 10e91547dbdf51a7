/**
 * What the owner writes to the journal: the progress of jobs, and records of callers.
 */
import { Execution } from '@fireflymount/protocol/refusal'
import { sleep } from '../clock.js'
import { encodeRecord, Subject } from '../journal/record.js'
import type { JobEntry } from '../journal/table.js'
import { progressKeyOf, type Encoder, type Writer } from '../journal/writer.js'
import type { Phase } from '../model/job.js'
import type { KeyedRecord } from '../ports/store.js'

/** Tries to withdraw a record of a caller while an append that has it is open, and the pause between them. */
const WITHDRAW_TRIES = 5
const WITHDRAW_PAUSE_MS = 30

/** Writes by way of one writer. */
export class Commits {
  /** How many callers wait for a key to be written. */
  private readonly offered = new Map<string, number>()

  constructor (private readonly writer: Writer) {}

  /** Journals what has become of jobs. Resolves to false if the cell has another owner. */
  async jobs (entries: readonly JobEntry[]): Promise<boolean> {
    const changes = new Map<string, Encoder>()
    const written = new Map<JobEntry, Phase>()
    for (const entry of entries) {
      changes.set(progressKeyOf(entry.job.id), () => {
        written.set(entry, entry.phase)
        return encodeRecord(Subject.Progress, entry.job.id, entry.progress())
      })
    }
    const committed = await this.writer.commit(changes)
    if (committed.isErr()) return false
    for (const [entry, phase] of written) entry.shown = phase
    return true
  }

  /**
   * Appends records of callers with the owner's own.
   *
   * @param timeoutMs time after which the records are withdrawn, if that is still possible
   * @returns Run once the store has them; NotRun if they provably never will be there
   */
  async offer (records: readonly KeyedRecord[], timeoutMs: number): Promise<Execution> {
    const changes = new Map<string, Encoder>()
    const keys = records.map((record) => record.key)
    for (const record of records) changes.set(record.key, () => record)
    for (const key of keys) this.offered.set(key, (this.offered.get(key) ?? 0) + 1)
    const committing = this.writer.commit(changes)
    let committed = await Promise.race([committing, sleep(timeoutMs)])
    let withdrawn = false
    for (let attempt = 0; attempt < WITHDRAW_TRIES && committed === undefined && !withdrawn; attempt++) {
      withdrawn = this.withdraw(keys)
      if (!withdrawn) committed = await Promise.race([committing, sleep(WITHDRAW_PAUSE_MS)])
    }
    for (const key of keys) this.release(key)
    if (withdrawn) return Execution.NotRun
    return committed === undefined || committed.isErr() ? Execution.Unknown : Execution.Run
  }

  /** Withdraws keys for which nobody else waits. */
  private withdraw (keys: readonly string[]): boolean {
    return keys.every((key) => this.offered.get(key) === 1) && this.writer.withdraw(keys)
  }

  private release (key: string): void {
    const left = this.offered.get(key)! - 1
    if (left === 0) this.offered.delete(key)
    else this.offered.set(key, left)
  }
}
