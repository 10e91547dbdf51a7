/**
 * Writes a journal's stream with group commits.
 */
import { compareEpochs, type Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import { sleep, type Clock } from './clock.js'
import type { CommitRecord, JournalRecord } from './journal-record.js'
import { RecordKind, JournalFailure, type JournalError } from './journal.js'
import { LogFailure, type Log, type LogError } from './log.js'
import type { Reader } from './reader.js'
import { CommitStatus } from './stream-state.js'
import { Backoff, withTimeout, type LogCallSettings } from './retry.js'
import { AppendRate } from './append-rate.js'
import type { JournalTotals } from './journal-totals.js'

const MAX_BATCH_CHARACTERS = 256 * 1024
const MAX_BATCH_CHANGES = 1000
const MAX_QUEUE_CHARACTERS = 16 * 1024 * 1024
const MAX_QUEUE_CHANGES = 20_000
const MAX_CHANGE_CHARACTERS = 900_000
const DEADLINE_CHECK_INTERVAL_MS = 50
/** The log counts as unavailable after this many throttled appends in a row. */
const MAX_CONSECUTIVE_THROTTLES = 3
/** Width of the random variation of the interval between appends, as a fraction of the interval: 0.4 is +-20 %. */
const INTERVAL_JITTER = 0.4

const SUPERSEDED = err(createError(JournalFailure.Superseded, 'This process no longer holds the stream; the change has no effect.'))
const UNKNOWN = err(createError(JournalFailure.Unknown, 'It is unknown whether the change took effect.'))
const CLOSED = err(createError(JournalFailure.Unavailable, 'The journal is closed.'))

/** A change that is not committed yet. */
interface PendingChange {
  readonly change: unknown
  readonly characters: number
  readonly deadlineMs: number
  readonly resolve: (result: Result<void, JournalError>) => void
}

/** Options of a writer. */
export interface WriterOptions {
  readonly log: Log
  readonly stream: string
  readonly clock: Clock
  readonly commitMs: number
  readonly callSettings: LogCallSettings
  readonly totals: JournalTotals
}

/** Writes a journal's stream, one batch at a time. A batch takes effect only while the epoch given to `open` is in effect. */
export class Writer {
  /**
   * Send time of the last append, successful or not, after which the reader was known to have read every record appended
   * before this send time; see Reader.confirmedAtMs.
   */
  lastAppendWhileCaughtUpMs = -Infinity
  private epoch: Epoch | undefined
  private queue: PendingChange[] = []
  private queuedCharacters = 0
  private draining = false
  private lastAppendMs = -Infinity
  private readonly appendRate: AppendRate
  /** Number of appends in a row that the log throttled. */
  private consecutiveThrottles = 0
  private readonly stop = new AbortController()

  constructor (private readonly options: WriterOptions, private readonly reader: Reader) {
    this.appendRate = new AppendRate(options.commitMs)
    reader.state.onHolder((holder) => {
      if (this.epoch === undefined || compareEpochs(holder.epoch, this.epoch) === 0) return
      this.epoch = undefined
      this.rejectQueue(SUPERSEDED)
    })
  }

  /**
   * Starts to accept changes.
   *
   * @param epoch the epoch of a claim of this process that is in effect
   */
  open (epoch: Epoch): void {
    this.epoch = epoch
  }

  /**
   * Returns whether this process holds the stream, according to the records read so far.
   *
   * @returns true from `open` until a newer claim is read or the writer is closed
   */
  holdsStream (): boolean {
    const holder = this.reader.state.holder()
    if (this.epoch === undefined || holder === undefined || this.stop.signal.aborted) return false
    return compareEpochs(this.epoch, holder.epoch) === 0
  }

  /**
   * Stops permanently. Pending changes that certainly have no effect fail as Unavailable. Pending changes whose outcome is not
   * known fail as Unknown. Later changes fail as Superseded.
   */
  close (): void {
    this.stop.abort()
    this.rejectQueue(CLOSED)
  }

  /**
   * Adds a change to the next batch.
   *
   * @param change a JSON value
   * @param timeoutMs timeout of the change; it no longer applies once an append that contains the change may have taken effect
   * @returns ok after the commit is in effect and its changes are applied
   */
  commit (change: unknown, timeoutMs: number): Promise<Result<void, JournalError>> {
    if (!this.holdsStream()) {
      return Promise.resolve(err(createError(JournalFailure.Superseded, 'This process does not hold the stream.')))
    }
    const text = JSON.stringify(change)
    if (text.length > MAX_CHANGE_CHARACTERS) {
      return Promise.resolve(err(createError(
        JournalFailure.Overloaded, `The change is larger than ${MAX_CHANGE_CHARACTERS} characters.`
      )))
    }
    if (this.queue.length >= MAX_QUEUE_CHANGES || this.queuedCharacters + text.length > MAX_QUEUE_CHARACTERS) {
      return Promise.resolve(err(createError(JournalFailure.Overloaded, `${this.queue.length} changes are pending already.`)))
    }
    const deadlineMs = this.options.clock.now() + timeoutMs
    return new Promise((resolve) => {
      this.queue.push({ change: JSON.parse(text), characters: text.length, deadlineMs, resolve })
      this.queuedCharacters += text.length
      if (!this.draining) this.drain()
    })
  }

  /**
   * Appends one record, without determining whether it is in effect.
   *
   * @param data the record
   * @returns its offset
   */
  async append (data: JournalRecord): Promise<Result<number, LogError>> {
    const { log, stream, callSettings, totals, clock } = this.options
    const sentMs = clock.now()
    const response = await withTimeout(() => log.append(stream, data), callSettings.appendTimeoutMs)
    totals.appends += 1
    totals.charactersWritten += JSON.stringify(data).length
    const throttled = response.isErr() && response.error.failure === LogFailure.Throttled
    this.consecutiveThrottles = throttled ? this.consecutiveThrottles + 1 : 0
    totals.available = response.isOk() || (throttled && this.consecutiveThrottles < MAX_CONSECUTIVE_THROTTLES)
    if (response.isOk()) this.appendRate.onAppended()
    if (throttled) this.appendRate.onThrottled()
    if (response.isOk()) this.reader.applyOwnRecord(response.value, data, sentMs)
    if (this.reader.confirmedAtMs >= sentMs) this.lastAppendWhileCaughtUpMs = sentMs
    return response
  }

  private async drain (): Promise<void> {
    this.draining = true
    const deadlineCheck = setInterval(() => this.rejectTimedOut(), DEADLINE_CHECK_INTERVAL_MS)
    while (this.queue.length > 0) {
      await this.waitForAppendSlot()
      const batch = this.dequeueBatch()
      if (this.epoch !== undefined && batch.length > 0) await this.write(this.epoch, batch)
    }
    clearInterval(deadlineCheck)
    this.draining = false
  }

  private async waitForAppendSlot (): Promise<void> {
    const { clock } = this.options
    // The jitter spreads the appends of writers that started at the same time.
    const waitMs = this.lastAppendMs + this.appendRate.intervalMs() * (1 + INTERVAL_JITTER * (Math.random() - 0.5)) - clock.now()
    if (waitMs > 0) await sleep(waitMs, this.stop.signal)
    this.lastAppendMs = clock.now()
  }

  private dequeueBatch (): PendingChange[] {
    let characters = 0
    let count = 0
    for (const pending of this.queue) {
      if (count >= MAX_BATCH_CHANGES || (count > 0 && characters + pending.characters > MAX_BATCH_CHARACTERS)) break
      characters += pending.characters
      count += 1
    }
    this.queuedCharacters -= characters
    return this.queue.splice(0, count)
  }

  /**
   * Appends a batch, and retries until its outcome is known or the writer is closed. Changes that timed out are removed only
   * while no append of the batch can be in the log. A batch that may be in the log is retried unchanged, because it keeps its
   * sequence number.
   */
  private async write (epoch: Epoch, changes: readonly PendingChange[]): Promise<void> {
    const sequence = this.reader.state.sequence() + 1
    const backoff = new Backoff(this.options.callSettings)
    let batch = changes
    let mayBeInLog = false
    for (;;) {
      const status = this.reader.state.commitStatus(epoch, sequence)
      if (status !== CommitStatus.Undecided) return resolveBatch(batch, mayBeInLog ? toResult(status) : SUPERSEDED)
      if (this.stop.signal.aborted) return resolveBatch(batch, mayBeInLog ? UNKNOWN : CLOSED)
      if (!mayBeInLog) batch = this.removeTimedOut(batch)
      if (batch.length === 0) return
      const commit: CommitRecord = { entry: RecordKind.Commit, epoch, sequence, changes: batch.map((pending) => pending.change) }
      const response = await this.appendUnlessDecided(commit)
      mayBeInLog ||= response === undefined || response.isOk() || response.error.failure === LogFailure.Unknown
      if (response?.isOk()) await this.readPast(response.value, commit)
      else if (mayBeInLog && response !== undefined) await this.reader.catchUp()
      if (this.reader.state.commitStatus(epoch, sequence) !== CommitStatus.Undecided) continue
      if (response?.isErr() && response.error.failure === LogFailure.Throttled) await this.waitForAppendSlot()
      else await backoff.wait(this.stop.signal)
    }
  }

  /** Appends once. Returns undefined if the outcome of the commit is known before the response arrives. */
  private async appendUnlessDecided (commit: CommitRecord): Promise<Result<number, LogError> | undefined> {
    const decided = new AbortController()
    const isDecided = (): boolean => this.reader.state.commitStatus(commit.epoch, commit.sequence) !== CommitStatus.Undecided
    const decision = this.reader.waitUntil(isDecided, decided.signal)
    const response = await Promise.race([this.append(commit), decision])
    decided.abort()
    return response
  }

  private async readPast (offset: number, commit: CommitRecord): Promise<void> {
    const backoff = new Backoff(this.options.callSettings)
    while (!this.stop.signal.aborted && this.reader.state.position <= offset) {
      if (this.reader.state.commitStatus(commit.epoch, commit.sequence) !== CommitStatus.Undecided) return
      const read = await this.reader.read(0)
      if (read.isErr()) await backoff.wait(this.stop.signal)
    }
  }

  private rejectTimedOut (): void {
    const kept = this.removeTimedOut(this.queue)
    if (kept.length === this.queue.length) return
    this.queue = kept
    this.queuedCharacters = kept.reduce((sum, pending) => sum + pending.characters, 0)
  }

  private removeTimedOut (changes: readonly PendingChange[]): PendingChange[] {
    const nowMs = this.options.clock.now()
    const kept: PendingChange[] = []
    for (const pending of changes) {
      if (pending.deadlineMs > nowMs) kept.push(pending)
      else pending.resolve(err(createError(JournalFailure.Unavailable, 'The log did not accept the change before its timeout.')))
    }
    return kept
  }

  private rejectQueue (result: Result<void, JournalError>): void {
    const rejected = this.queue
    this.queue = []
    this.queuedCharacters = 0
    resolveBatch(rejected, result)
  }
}

function resolveBatch (batch: readonly PendingChange[], result: Result<void, JournalError>): void {
  for (const pending of batch) pending.resolve(result)
}

function toResult (status: CommitStatus): Result<void, JournalError> {
  if (status === CommitStatus.InEffect) return ok(undefined)
  return status === CommitStatus.Void ? SUPERSEDED : UNKNOWN
}

/**
 * Creates a journal error.
 *
 * @param failure the kind of failure
 * @param detail a sentence that describes it
 * @returns the error
 */
export function createError (failure: JournalFailure, detail: string): JournalError {
  return { failure, detail }
}
