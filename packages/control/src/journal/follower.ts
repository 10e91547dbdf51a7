/**
 * Follows a keyed topic from the newest record of each key on.
 */
import { err, ok, type Result } from 'neverthrow'
import { sleep, NEVER, type Clock, type Stamp } from '../clock.js'
import { StoreFailure, type Store, type StoredRecord, type Topic } from '../ports/store.js'

/** Longest wait of one read: bounds how long a silent store stays unnoticed. */
const READ_WAIT_MS = 1000
/** First and longest pause after a failed read; doubles between them. */
const RETRY_MIN_MS = 30
const RETRY_MAX_MS = 300

/** Receives what is read. */
export interface Sink {
  /** A record, in order. */
  readonly onRecord: (record: StoredRecord) => void
  /** All records have been read that the store had when it answered. */
  readonly onCaughtUp?: () => void
  /** All keys are about to be read anew; those that do not appear are gone. */
  readonly onReset?: () => void
}

/** Reads one topic, one call at a time. */
export class Follower {
  /** Offset of the next record to read; undefined until the newest records have been read. */
  offset: number | undefined
  /** When the store was last known to hold nothing that has not been read. */
  freshAt: Stamp = NEVER
  /** Least time between the beginnings of two reads; bounds the price of following. */
  intervalMs: number
  private rereading: Promise<Result<void, StoreFailure>> | undefined
  private hurried: AbortController | undefined

  constructor (
    private readonly store: Store,
    private readonly topic: Topic,
    private readonly sink: Sink,
    private readonly clock: Clock,
    intervalMs: number
  ) {
    this.intervalMs = intervalMs
  }

  /** Follows until the signal. */
  async run (signal: AbortSignal): Promise<void> {
    let retryMs = RETRY_MIN_MS
    while (!signal.aborted) {
      const startedMs = this.clock.now()
      const read = await this.read(READ_WAIT_MS)
      if (read.isErr()) {
        await sleep(retryMs * (0.5 + Math.random()), signal)
        retryMs = Math.min(2 * retryMs, RETRY_MAX_MS)
        continue
      }
      retryMs = RETRY_MIN_MS
      const restMs = startedMs + this.intervalMs - this.clock.now()
      if (restMs > 0) await this.rest(restMs, signal)
    }
  }

  /** Begins the next read at once, if the follower rests. */
  hurry (): void {
    this.hurried?.abort()
  }

  /**
   * Reads all that the store has now, also while a read of `run` waits for records.
   *
   * @returns nothing once all is read, or why it cannot be
   */
  async catchUp (): Promise<Result<void, StoreFailure>> {
    return await this.read(0)
  }

  private async rest (ms: number, signal: AbortSignal): Promise<void> {
    this.hurried = new AbortController()
    await sleep(ms, AbortSignal.any([signal, this.hurried.signal]))
    this.hurried = undefined
  }

  private async read (waitMs: number): Promise<Result<void, StoreFailure>> {
    if (this.offset === undefined) return await this.reread()
    const read = await this.readOn(waitMs)
    return read.isErr() && read.error === StoreFailure.Expired ? await this.reread() : read
  }

  /** Reads the newest records once, however many ask for it. */
  private async reread (): Promise<Result<void, StoreFailure>> {
    this.rereading ??= this.readNewest()
    const result = await this.rereading
    this.rereading = undefined
    return result
  }

  private async readNewest (): Promise<Result<void, StoreFailure>> {
    let after: string | undefined
    let from: number | undefined
    do {
      const page = await this.store.newest(this.topic, after)
      if (page.isErr()) return err(page.error)
      if (from === undefined) this.sink.onReset?.()
      from ??= page.value.end
      for (const record of page.value.records) this.sink.onRecord(record)
      after = page.value.next
    } while (after !== undefined)
    this.offset = from
    return await this.readOn(0)
  }

  /** Reads on until nothing is left. Two reads at once hand each record on only once. */
  private async readOn (waitMs: number): Promise<Result<void, StoreFailure>> {
    while (true) {
      const from = this.offset
      if (from === undefined) return err(StoreFailure.Expired)
      const sentAt = this.clock.stamp()
      const page = await this.store.read(this.topic, from, waitMs)
      if (page.isErr()) return err(page.error)
      // The offset may have been dropped, or moved on by another read, while the answer was on its way.
      if (this.offset === undefined) return err(StoreFailure.Expired)
      for (const record of page.value.records) this.handOn(record)
      if (page.value.records.length === 0 && page.value.end > this.offset) this.offset = page.value.end
      if (this.offset < page.value.end) continue
      this.freshAt = sentAt
      this.sink.onCaughtUp?.()
      return ok(undefined)
    }
  }

  private handOn (record: StoredRecord): void {
    if (this.offset === undefined || record.offset < this.offset) return
    this.offset = record.offset + 1
    this.sink.onRecord(record)
  }
}
