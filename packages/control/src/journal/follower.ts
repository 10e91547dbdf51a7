/**
 * Follows a keyed topic: reads the newest record of each key first, then all later records.
 */
import { err, ok, type Result } from 'neverthrow'
import { sleep, NEVER, type Clock, type Stamp } from '../clock.js'
import { StoreFailure, type NewestPage, type Store, type StoredRecord, type Topic } from '../ports/store.js'

/** Long-poll time of one read. It adds to the time until an unresponsive store is noticed. */
const LONG_POLL_MS = 1000
/** Bounds of the exponential backoff after a failed read. */
const MIN_RETRY_DELAY_MS = 30
const MAX_RETRY_DELAY_MS = 300
/**
 * Interval at which later records are read while the pages of the newest records are. It is far below the time for which the store
 * retains records, so that none of them expires, however long the pages take.
 */
const LATER_RECORDS_INTERVAL_MS = 2000

/** Receives the records that a follower reads. */
export interface FollowerListener {
  /** Called for each record, in order. */
  readonly onRecord: (record: StoredRecord) => void
  /** Called with a record on which `onRecord` has failed. It is passed over. */
  readonly onRejected: (record: StoredRecord, error: unknown) => void
  /** Called when all records that the store had at the time of its answer have been read. */
  readonly onCaughtUp?: () => void
  /**
   * Called before the newest records are delivered, the first time and each time the topic is read again from scratch. Keys that
   * do not appear afterwards have been deleted.
   */
  readonly onReset?: () => void
}

/** A position in the topic. */
interface Cursor {
  /** Offset of the next record to read. */
  offset: number
}

/** A reading of the newest records that has begun. It continues after a failed call. */
interface Rereading {
  /** Position of the later records, which are read besides the pages. It starts at the end that the first page reported. */
  readonly cursor: Cursor
  /** Key after which the next page starts; undefined once the last page has been read. */
  after: string | undefined
  /** Steady time at which the store still had all later records that have not been read. */
  laterReadMs: number
}

/** Follows one topic. */
export class Follower {
  /** The last time at which the follower was known to have read everything in the topic. */
  freshAt: Stamp = NEVER
  /**
   * Minimum interval between the starts of two reads. It bounds the cost of following, because each read costs a call to the
   * store.
   */
  intervalMs: number
  /** Undefined until the newest records have been read. */
  private cursor: Cursor | undefined
  /** True if the listener has received all records before the cursor: no reading from scratch has begun since. */
  private complete = false
  private rereading: Rereading | undefined
  private rereadInProgress: Promise<Result<void, StoreFailure>> | undefined
  /** Ends the wait between two reads. */
  private endInterval: (() => void) | undefined

  constructor (
    private readonly store: Store,
    private readonly topic: Topic,
    private readonly listener: FollowerListener,
    private readonly clock: Clock,
    intervalMs: number
  ) {
    this.intervalMs = intervalMs
  }

  /** Offset of the next record to read; undefined until the newest records, and all later ones, have been read. */
  get offset (): number | undefined {
    return this.cursor?.offset
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
    this.endInterval?.()
  }

  /** Reads the topic from scratch. */
  restart (): void {
    this.cursor = undefined
    this.complete = false
    this.rereading = undefined
    this.readNow()
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
    await Promise.race([sleep(ms, signal), new Promise<void>((resolve) => { this.endInterval = resolve })])
    this.endInterval = undefined
  }

  private async read (waitMs: number): Promise<Result<void, StoreFailure>> {
    const { cursor } = this
    if (cursor === undefined || !this.complete) return await this.reread()
    const read = await this.readLater(cursor, waitMs)
    if (read.isErr()) return read.error === StoreFailure.Expired ? await this.reread() : err(read.error)
    return this.finishRead(cursor, read.value)
  }

  /** Reads the newest records and all later ones. Concurrent callers share one such read. */
  private async reread (): Promise<Result<void, StoreFailure>> {
    this.rereadInProgress ??= this.readNewest().finally(() => { this.rereadInProgress = undefined })
    return await this.rereadInProgress
  }

  private async readNewest (): Promise<Result<void, StoreFailure>> {
    if (this.rereading === undefined) {
      const sentMs = this.clock.now()
      const page = await this.store.newest(this.topic, undefined)
      if (page.isErr()) return err(page.error)
      this.startRereading(page.value, sentMs)
    }
    const rereading = this.rereading!
    while (rereading.after !== undefined) {
      const read = await this.readNextPage(rereading)
      if (read.isErr()) return err(read.error)
    }
    const read = await this.readLaterOf(rereading)
    if (read.isErr()) return err(read.error)
    if (this.rereading !== rereading) return err(StoreFailure.Expired)
    this.cursor = rereading.cursor
    this.complete = true
    this.rereading = undefined
    return this.finishRead(rereading.cursor, read.value)
  }

  private startRereading (page: NewestPage, sentMs: number): void {
    this.listener.onReset?.()
    this.complete = false
    this.rereading = { cursor: { offset: page.end }, after: page.next, laterReadMs: sentMs }
    for (const record of page.records) this.handle(record)
  }

  /** Reads the next page, after the later records if these are due: a page never contains older records than those. */
  private async readNextPage (rereading: Rereading): Promise<Result<void, StoreFailure>> {
    if (this.clock.now() - rereading.laterReadMs >= LATER_RECORDS_INTERVAL_MS) {
      const read = await this.readLaterOf(rereading)
      if (read.isErr()) return err(read.error)
    }
    const page = await this.store.newest(this.topic, rereading.after)
    if (page.isErr()) return err(page.error)
    if (this.rereading !== rereading) return err(StoreFailure.Expired)
    for (const record of page.value.records) this.handle(record)
    rereading.after = page.value.next
    return ok(undefined)
  }

  /**
   * Reads the later records of a rereading. If some have expired, the rereading is given up: it cannot learn any more which of the
   * keys that it has read were deleted.
   */
  private async readLaterOf (rereading: Rereading): Promise<Result<Stamp, StoreFailure>> {
    const read = await this.readLater(rereading.cursor, 0)
    if (read.isOk()) rereading.laterReadMs = read.value.steadyMs
    else if (read.error === StoreFailure.Expired && this.rereading === rereading) this.rereading = undefined
    return read
  }

  /**
   * Reads the records after a cursor until none is left. Concurrent reads deliver each record only once.
   *
   * @returns the time at which the last read was sent: all records that the topic had then have been delivered
   */
  private async readLater (cursor: Cursor, waitMs: number): Promise<Result<Stamp, StoreFailure>> {
    for (;;) {
      const sentAt = this.clock.stamp()
      const page = await this.store.read(this.topic, cursor.offset, waitMs)
      if (page.isErr()) return err(page.error)
      if (!this.isCurrent(cursor)) return err(StoreFailure.Expired)
      for (const record of page.value.records) this.deliver(cursor, record)
      if (page.value.records.length === 0 && page.value.end > cursor.offset) cursor.offset = page.value.end
      if (cursor.offset >= page.value.end) return ok(sentAt)
    }
  }

  private deliver (cursor: Cursor, record: StoredRecord): void {
    if (record.offset < cursor.offset) return
    cursor.offset = record.offset + 1
    this.handle(record)
  }

  private handle (record: StoredRecord): void {
    try {
      this.listener.onRecord(record)
    } catch (error) {
      this.listener.onRejected(record, error)
    }
  }

  private finishRead (cursor: Cursor, sentAt: Stamp): Result<void, StoreFailure> {
    if (!this.isCurrent(cursor)) return err(StoreFailure.Expired)
    // A long poll may end after a later read.
    if (sentAt.steadyMs > this.freshAt.steadyMs) this.freshAt = sentAt
    this.listener.onCaughtUp?.()
    return ok(undefined)
  }

  /**
   * False if a reading from scratch began while a read from the cursor was in flight. Such a read fails with `Expired`, like one of
   * records that are no longer retained: in both cases the topic is read from scratch.
   */
  private isCurrent (cursor: Cursor): boolean {
    if (this.rereading !== undefined) return this.rereading.cursor === cursor
    return this.complete && this.cursor === cursor
  }
}
