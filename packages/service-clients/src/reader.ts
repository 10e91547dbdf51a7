/**
 * Reads a journal's stream and applies its records.
 */
import { err, ok, type Result } from 'neverthrow'
import type { Clock } from './clock.js'
import { SnapshotPartRecordCodec, type JournalRecord, type SnapshotPartRecord } from './journal-record.js'
import type { StateMachine } from './journal.js'
import { LogFailure, type Log, type LogError, type LogPage } from './log.js'
import { StreamState } from './stream-state.js'
import { findSnapshot } from './snapshot-search.js'
import { withTimeout, type LogCallSettings } from './retry.js'
import type { JournalTotals } from './journal-totals.js'

/** Options of a reader. */
export interface ReaderOptions {
  readonly log: Log
  readonly stream: string
  readonly clock: Clock
  readonly stateMachine: StateMachine
  readonly callSettings: LogCallSettings
  readonly totals: JournalTotals
}

/** Reads a journal's stream. At most one restart from a snapshot is in progress at a time. */
export class Reader {
  readonly state: StreamState
  /**
   * Send time of the newest call that confirmed that the reader is at the end of the stream. Such a call is a read that
   * returned no records, or an append by this process that got the next offset to read. All records appended before this
   * time have been read.
   */
  confirmedAtMs = -Infinity
  private restarting: Promise<Result<boolean, LogError>> | undefined
  private readonly waiters = new Set<() => void>()

  constructor (private readonly options: ReaderOptions) {
    this.state = new StreamState(options)
  }

  /**
   * Waits until a condition holds. The condition is checked now and after each batch of records.
   *
   * @param condition the condition
   * @param signal aborts the wait
   * @returns a promise that resolves when the condition holds or the signal aborts
   */
  waitUntil (condition: () => boolean, signal: AbortSignal): Promise<undefined> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.waiters.delete(check)
        signal.removeEventListener('abort', finish)
        resolve(undefined)
      }
      const check = (): void => {
        if (condition()) finish()
      }
      signal.addEventListener('abort', finish, { once: true })
      this.waiters.add(check)
      check()
    })
  }

  /**
   * Reads once. If the offset has expired, restarts from the newest complete snapshot.
   *
   * @param waitMs how long the service holds the read open while the stream has no new record
   * @param signal aborts the read
   * @returns true if the read reached the end of the stream
   */
  async read (waitMs: number, signal?: AbortSignal): Promise<Result<boolean, LogError>> {
    if (this.restarting !== undefined) return await this.restarting
    const sentMs = this.options.clock.now()
    const from = this.state.position
    const page = await this.fetch(from, waitMs, signal)
    if (page.isErr()) {
      if (page.error.failure !== LogFailure.Expired) return err(page.error)
      if (this.state.position !== from) return ok(false)
      return await this.restartOnce(page.error.earliest ?? 0)
    }
    this.state.applyRecords(page.value.records)
    this.notifyWaiters()
    if (page.value.records.length > 0) return ok(false)
    this.confirm(sentMs)
    return ok(true)
  }

  /**
   * Reads to the end of the stream.
   *
   * @returns the first error, if any
   */
  async catchUp (): Promise<Result<void, LogError>> {
    for (;;) {
      const read = await this.read(0)
      if (read.isErr()) return err(read.error)
      if (read.value) return ok(undefined)
    }
  }

  /**
   * Applies a record that this process appended, so that it need not be read back. Does nothing if earlier records
   * have not been read yet.
   *
   * @param offset offset that the append returned
   * @param data the record
   * @param sentMs clock time at which the append was sent
   */
  applyOwnRecord (offset: number, data: JournalRecord, sentMs: number): void {
    if (offset !== this.state.position) return
    this.state.applyRecord(data, offset)
    this.confirm(sentMs)
    this.notifyWaiters()
  }

  private confirm (sentMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, sentMs)
  }

  private notifyWaiters (): void {
    for (const check of this.waiters) check()
  }

  private async fetch (from: number, waitMs: number, signal?: AbortSignal): Promise<Result<LogPage, LogError>> {
    const { log, stream, callSettings, totals } = this.options
    const page = await withTimeout(
      (callSignal) => log.read(stream, from, waitMs, callSignal), waitMs + callSettings.readTimeoutMs, signal
    )
    if (signal?.aborted !== true) totals.available = page.isOk()
    if (page.isOk()) totals.charactersRead += JSON.stringify(page.value.records).length
    return page
  }

  private restartOnce (earliest: number): Promise<Result<boolean, LogError>> {
    this.restarting ??= this.restartFromSnapshot(earliest).finally(() => { this.restarting = undefined })
    return this.restarting
  }

  private async restartFromSnapshot (earliest: number): Promise<Result<boolean, LogError>> {
    const found = await findSnapshot({ fetch: (from) => this.fetch(from, 0), parse: parsePart }, earliest)
    if (found.isErr()) return err(found.error)
    this.state.restart(found.value)
    this.notifyWaiters()
    return ok(false)
  }
}

function parsePart (data: unknown): SnapshotPartRecord | undefined {
  const part = SnapshotPartRecordCodec.decode(data)
  return part.isRight() ? part.extract() as SnapshotPartRecord : undefined
}
