/**
 * Appends of a node that has no owner to ask: one call at a time, each with all records that wait. Answers the pattern of a slow
 * store under load, which many small appends of all nodes would keep busy for seconds.
 */
import { Execution } from '@fireflymount/protocol/refusal'
import { sleep, type Clock } from '../clock.js'
import { detach } from '../detach.js'
import { APPEND_BYTES } from '../journal/writer.js'
import { StoreFailure, Topic, type KeyedRecord, type Store } from '../ports/store.js'

/** First and longest pause between two tries; doubles between them. */
const RETRY_MIN_MS = 30
const RETRY_MAX_MS = 300
/** A record that the store provably did not take is tried again for this long; then the caller is told to come back. */
const REFUSED_PATIENCE_MS = 400

/** A record on its way. */
class Entry {
  /** Part of a call that has not been answered. */
  sent = false
  settled = false
  private readonly timer: NodeJS.Timeout

  constructor (
    readonly record: KeyedRecord,
    readonly sinceMs: number,
    /** What is known of the tries that are over. */
    public execution: Execution,
    timeoutMs: number,
    private readonly resolve: (execution: Execution) => void
  ) {
    this.timer = setTimeout(() => { this.settle(this.sent ? Execution.Unknown : this.execution) }, Math.max(0, timeoutMs))
  }

  settle (execution: Execution): void {
    if (this.settled) return
    this.settled = true
    clearTimeout(this.timer)
    this.resolve(execution)
  }
}

/** Appends to the journal without a fence. Appending a record twice changes nothing. */
export class Appender {
  private waiting: Entry[] = []
  private running = false

  constructor (private readonly store: Store, private readonly clock: Clock) {}

  /**
   * Appends a record.
   *
   * @param timeoutMs time after which its caller needs the answer
   * @param before what is known of earlier tries
   * @returns Run once the store has it; NotRun if it provably has not; Unknown otherwise
   */
  async append (record: KeyedRecord, timeoutMs: number, before: Execution): Promise<Execution> {
    return await new Promise((resolve) => {
      this.waiting.push(new Entry(record, this.clock.now(), before, timeoutMs, resolve))
      if (!this.running) detach(this.run())
    })
  }

  private async run (): Promise<void> {
    this.running = true
    let retryMs = RETRY_MIN_MS
    for (let batch = this.takeBatch(); batch.length > 0; batch = this.takeBatch()) {
      for (const entry of batch) entry.sent = true
      const appended = await this.store.append(Topic.Journal, batch.map((entry) => entry.record))
      for (const entry of batch) this.note(entry, appended.isOk() ? undefined : appended.error)
      if (appended.isOk()) {
        retryMs = RETRY_MIN_MS
        continue
      }
      await sleep(retryMs * (0.5 + Math.random()))
      retryMs = Math.min(2 * retryMs, RETRY_MAX_MS)
    }
    this.running = false
  }

  /** Takes the records of the next call, of a bounded size; at least one if any waits. */
  private takeBatch (): Entry[] {
    this.waiting = this.waiting.filter((entry) => !entry.settled)
    let bytes = 0
    let count = 0
    for (const { record } of this.waiting) {
      bytes += record.key.length + (record.value?.length ?? 0)
      if (count > 0 && bytes > APPEND_BYTES) break
      count++
    }
    return this.waiting.slice(0, count)
  }

  private note (entry: Entry, failure: StoreFailure | undefined): void {
    entry.sent = false
    if (failure === undefined) return entry.settle(Execution.Run)
    if (failure === StoreFailure.NoAnswer) entry.execution = Execution.Unknown
    const patient = failure !== StoreFailure.Invalid && this.clock.now() - entry.sinceMs < REFUSED_PATIENCE_MS
    if (entry.execution === Execution.NotRun && !patient) entry.settle(Execution.NotRun)
  }
}
