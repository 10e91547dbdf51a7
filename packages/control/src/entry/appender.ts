/**
 * Appends callers' records when no owner can be reached, or when it is unknown whether the owner appended them. It makes one call
 * at a time, each with all pending records up to `MAX_APPEND_BYTES`. Many small appends from all nodes would overload a slow
 * store for seconds.
 */
import { Execution } from '@fireflymount/protocol/refusal'
import { sleep, type Clock } from '../clock.js'
import { detach } from '../detach.js'
import { MAX_APPEND_BYTES, sizeOf } from '../journal/writer.js'
import { StoreFailure, Topic, type KeyedRecord, type Store } from '../ports/store.js'

/** Bounds of the exponential backoff between two attempts. */
const MIN_RETRY_DELAY_MS = 30
const MAX_RETRY_DELAY_MS = 300
/**
 * How long a refused record is retried while it has certainly not been written. After that the caller is told to retry
 * later. A record with an unknown outcome is retried until the timeout of its caller.
 */
const REFUSED_TIMEOUT_MS = 400
/** Maximum size of the records that wait, unless a single one is larger. */
const MAX_PENDING_BYTES = 4 * MAX_APPEND_BYTES

/** A record whose outcome has not been reported to its caller. */
class PendingRecord {
  /** True while the record is part of an append that is in flight. */
  inFlight = false
  settled = false
  private readonly timer: NodeJS.Timeout

  constructor (
    readonly record: KeyedRecord,
    /** Steady time of the request. */
    readonly sinceMs: number,
    /** Whether an earlier attempt may have written the record. */
    public execution: Execution,
    timeoutMs: number,
    private readonly resolve: (execution: Execution) => void
  ) {
    this.timer = setTimeout(() => { this.settle(this.inFlight ? Execution.Unknown : this.execution) }, Math.max(0, timeoutMs))
  }

  settle (execution: Execution): void {
    if (this.settled) return
    this.settled = true
    clearTimeout(this.timer)
    this.resolve(execution)
  }
}

/** Appends to the journal without a fence. Appending a record twice has no further effect. */
export class Appender {
  private pending: PendingRecord[] = []
  private pendingSize = 0
  private running = false

  constructor (private readonly store: Store, private readonly clock: Clock) {}

  /**
   * Appends a record, unless too many wait: it is then given up at once.
   *
   * @param timeoutMs time after which the caller needs an answer
   * @param before whether an earlier attempt may have written the record: NotRun or Unknown
   * @returns whether the append was executed: Run if the record was written, NotRun if it certainly was not, Unknown otherwise
   */
  async append (record: KeyedRecord, timeoutMs: number, before: Execution): Promise<Execution> {
    const size = sizeOf([record])
    if (this.pendingSize > 0 && this.pendingSize + size > MAX_PENDING_BYTES) return before
    this.pendingSize += size
    const appending = new Promise<Execution>((resolve) => {
      this.pending.push(new PendingRecord(record, this.clock.now(), before, timeoutMs, resolve))
      if (!this.running) detach(this.run())
    })
    return await appending.finally(() => { this.pendingSize -= size })
  }

  private async run (): Promise<void> {
    this.running = true
    let retryDelayMs = MIN_RETRY_DELAY_MS
    for (let batch = this.takeBatch(); batch.length > 0; batch = this.takeBatch()) {
      for (const pending of batch) pending.inFlight = true
      const appended = await this.store.append(Topic.Journal, batch.map((pending) => pending.record))
      for (const pending of batch) this.recordOutcome(pending, appended.isOk() ? undefined : appended.error)
      if (appended.isOk()) {
        retryDelayMs = MIN_RETRY_DELAY_MS
        continue
      }
      await sleep(retryDelayMs * (0.5 + Math.random()))
      retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS)
    }
    this.running = false
  }

  /** Returns the records for the next append: at least one if any is pending, and no more than the maximum size allows. */
  private takeBatch (): PendingRecord[] {
    this.pending = this.pending.filter((pending) => !pending.settled)
    let bytes = 0
    let count = 0
    for (const { record } of this.pending) {
      bytes += record.key.length + (record.value?.length ?? 0)
      if (count > 0 && bytes > MAX_APPEND_BYTES) break
      count++
    }
    return this.pending.slice(0, count)
  }

  private recordOutcome (pending: PendingRecord, failure: StoreFailure | undefined): void {
    pending.inFlight = false
    if (failure === undefined) return pending.settle(Execution.Run)
    if (failure === StoreFailure.NoAnswer) pending.execution = Execution.Unknown
    const mayRetry = failure !== StoreFailure.Invalid && this.clock.now() - pending.sinceMs < REFUSED_TIMEOUT_MS
    if (pending.execution === Execution.NotRun && !mayRetry) pending.settle(Execution.NotRun)
  }
}
