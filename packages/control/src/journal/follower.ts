/**
 * Follows a keyed topic: reads the newest record of each key first, then all later records.
 */
import { err, ok, type Result } from 'neverthrow'
import { sleep, NEVER, type Clock, type Stamp } from '../clock.js'
import { StoreFailure, type Store, type StoredRecord, type Topic } from '../ports/store.js'

/** Long-poll time of one read. It adds to the time until an unresponsive store is noticed. */
const LONG_POLL_MS = 1000
/** Bounds of the exponential backoff after a failed read. */
const MIN_RETRY_DELAY_MS = 30
const MAX_RETRY_DELAY_MS = 300

/** Receives the records that a follower reads. */
export interface FollowerListener {
  /** Called for each record, in order. */
  readonly onRecord: (record: StoredRecord) => void
  /** Called when all records that the store had at the time of its answer have been read. */
  readonly onCaughtUp?: () => void
  /**
   * Called before the newest records are delivered, the first time and each time the topic is read again from scratch. Keys that
   * do not appear afterwards have been deleted.
   */
  readonly onReset?: () => void
}

/** Follows one topic. */
export class Follower {
  /** Offset of the next record to read; undefined until the newest records have been read. */
  offset: number | undefined
  /** The last time at which the follower was known to have read everything in the topic. */
  freshAt: Stamp = NEVER
  /**
   * Minimum interval between the starts of two reads. It bounds the cost of following, because each read costs a call to the
   * store.
   */
  intervalMs: number
  private rereadInProgress: Promise<Result<void, StoreFailure>> | undefined
  private intervalAbort: AbortController | undefined

  constructor (
    private readonly store: Store,
    private readonly topic: Topic,
    private readonly listener: FollowerListener,
    private readonly clock: Clock,
    intervalMs: number
  ) {
    this.intervalMs = intervalMs
  }

  /** Follows the topic until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    let retryDelayMs = MIN_RETRY_DELAY_MS
    while (!signal.aborted) {
      const startedMs = this.clock.now()
      const read = await this.read(LONG_POLL_MS)
      if (read.isErr()) {
        await sleep(retryDelayMs * (0.5 + Math.random()), signal)
        retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS)
        continue
      }
      retryDelayMs = MIN_RETRY_DELAY_MS
      const remainingMs = startedMs + this.intervalMs - this.clock.now()
      if (remainingMs > 0) await this.waitForInterval(remainingMs, signal)
    }
  }

  /** Starts the next read immediately if the follower is waiting between two reads. */
  readNow (): void {
    this.intervalAbort?.abort()
  }

  /**
   * Reads everything that is in the topic now, even while a long poll of `run` is in flight.
   *
   * @returns nothing once everything has been read, or why the store cannot be read
   */
  async catchUp (): Promise<Result<void, StoreFailure>> {
    return await this.read(0)
  }

  private async waitForInterval (ms: number, signal: AbortSignal): Promise<void> {
    this.intervalAbort = new AbortController()
    await sleep(ms, AbortSignal.any([signal, this.intervalAbort.signal]))
    this.intervalAbort = undefined
  }

  private async read (waitMs: number): Promise<Result<void, StoreFailure>> {
    if (this.offset === undefined) return await this.reread()
    const read = await this.readNewRecords(waitMs)
    return read.isErr() && read.error === StoreFailure.Expired ? await this.reread() : read
  }

  /** Reads the topic from scratch. Concurrent callers share one such read. */
  private async reread (): Promise<Result<void, StoreFailure>> {
    this.rereadInProgress ??= this.readNewest()
    const result = await this.rereadInProgress
    this.rereadInProgress = undefined
    return result
  }

  private async readNewest (): Promise<Result<void, StoreFailure>> {
    let after: string | undefined
    let from: number | undefined
    do {
      const page = await this.store.newest(this.topic, after)
      if (page.isErr()) return err(page.error)
      if (from === undefined) this.listener.onReset?.()
      // Records appended while the pages are read are read again below.
      from ??= page.value.end
      for (const record of page.value.records) this.listener.onRecord(record)
      after = page.value.next
    } while (after !== undefined)
    this.offset = from
    return await this.readNewRecords(0)
  }

  /** Reads the records after the offset until none is left. Concurrent reads deliver each record only once. */
  private async readNewRecords (waitMs: number): Promise<Result<void, StoreFailure>> {
    while (true) {
      const from = this.offset
      // Reported as `Expired`, like records that are no longer retained, so that `read` reads the topic from scratch.
      if (from === undefined) return err(StoreFailure.Expired)
      const sentAt = this.clock.stamp()
      const page = await this.store.read(this.topic, from, waitMs)
      if (page.isErr()) return err(page.error)
      // The offset may have been reset, or advanced by another read, while this read was in flight.
      if (this.offset === undefined) return err(StoreFailure.Expired)
      for (const record of page.value.records) this.deliver(record)
      if (page.value.records.length === 0 && page.value.end > this.offset) this.offset = page.value.end
      if (this.offset < page.value.end) continue
      this.freshAt = sentAt
      this.listener.onCaughtUp?.()
      return ok(undefined)
    }
  }

  private deliver (record: StoredRecord): void {
    if (this.offset === undefined || record.offset < this.offset) return
    this.offset = record.offset + 1
    this.listener.onRecord(record)
  }
}
