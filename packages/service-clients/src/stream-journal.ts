/**
 * The journal on one stream of the platform's log.
 */
import { randomUUID } from 'node:crypto'
import { compareEpochs, type Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import { sleep, type Clock } from './clock.js'
import type { SnapshotPartRecord } from './journal-record.js'
import { RecordKind, Journal, JournalFailure, type StateMachine, type Holder, type JournalCounters, type JournalError } from './journal.js'
import { LogFailure, type Log } from './log.js'
import { Reader } from './reader.js'
import { Backoff, DEFAULT_LOG_CALL_SETTINGS, type LogCallSettings } from './retry.js'
import { JournalTotals } from './journal-totals.js'
import { createError, Writer } from './writer.js'

/**
 * Reads are held open only if a call sent less than this time ago confirmed that the reader is at the end of the stream. On
 * a busy stream, a read that is held open always returns records and confirms nothing. A read that is not held open may
 * return an empty page, which is a confirmation.
 */
const MAX_CONFIRMATION_AGE_MS = 500
/**
 * If this process appends while its reader is at the end of the stream, `follow` does not read for this long after the
 * append was sent. Its reads would usually return only records that this process appended.
 */
const READ_PAUSE_MS = 200
/** Extra wait, after a claim timed out, for the response to its last append. */
const CLAIM_RESPONSE_GRACE_MS = 30
/** Minimum time between the starts of reads that return no records. */
const MIN_EMPTY_READ_INTERVAL_MS = 10

/** Options of a stream. */
export interface StreamOptions {
  readonly log: Log
  readonly stream: string
  readonly clock: Clock
  readonly stateMachine: StateMachine
  /**
   * Mean time between the starts of two group commits while changes are pending, jittered by +-20 %. It is longer if appends
   * take longer or while the log throttles.
   */
  readonly commitMs: number
  /** Number of records since the last snapshot after which the holder writes the next one. */
  readonly snapshotRecords: number
  /**
   * Time since the last snapshot after which the holder writes the next one. It must be well
   * below the time for which the log retains a record.
   */
  readonly snapshotMs: number
  /** How long a claim, or the write of a snapshot part, is retried while the log is unavailable. */
  readonly timeoutMs: number
  readonly callSettings?: LogCallSettings
}

/** A claim in progress. */
interface ClaimAttempt {
  readonly epoch: Epoch
  readonly standbys: string[]
  /** Aborted at the timeout of the claim, or once claimUntilDone returns. */
  readonly done: AbortController
  /** Whether an append of the claim may be in the log, or may still take effect. */
  mayBeInLog: boolean
}

/**
 * A journal on one stream of the log.
 *
 * @example
 * const journal = new StreamJournal({ log, stream: 'shard.bee-planner', clock, stateMachine, ...SETTINGS })
 * const holder = await journal.claim({ counter: 1, node: 'entry-1' }, ['entry-2', 'entry-3'])
 * if (holder.isOk()) await journal.commit({ kind: 'accepted' }, COMMIT_TIMEOUT_MS)
 */
export class StreamJournal extends Journal {
  private readonly totals = new JournalTotals()
  private readonly callSettings: LogCallSettings
  private readonly reader: Reader
  private readonly writer: Writer
  private readonly stop = new AbortController()
  /** Distinguishes the snapshots of this process from those that other processes write as of the same offset. */
  private readonly instance = randomUUID().slice(0, 8)
  private writingSnapshot = false

  constructor (private readonly options: StreamOptions) {
    super()
    const { log, stream, clock, stateMachine, commitMs, callSettings = DEFAULT_LOG_CALL_SETTINGS } = options
    this.callSettings = callSettings
    this.reader = new Reader({ log, stream, clock, stateMachine, callSettings, totals: this.totals })
    this.writer = new Writer({ log, stream, clock, commitMs, callSettings, totals: this.totals }, this.reader)
  }

  async catchUp (): Promise<Result<void, JournalError>> {
    const read = await this.reader.catchUp()
    return read.mapErr((error) => createError(JournalFailure.Unavailable, error.detail))
  }

  async follow (waitMs: number, signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    const backoff = new Backoff(this.callSettings)
    while (!signal.aborted) {
      const pauseMs = this.writer.lastAppendWhileCaughtUpMs + READ_PAUSE_MS - clock.now()
      if (pauseMs > 0) {
        await sleep(pauseMs, signal)
        continue
      }
      const sentMs = clock.now()
      const read = await this.reader.read(this.isConfirmationRecent() ? waitMs : 0, signal)
      if (read.isErr()) {
        await backoff.wait(signal)
        continue
      }
      backoff.reset()
      if (read.value && clock.now() - sentMs < MIN_EMPTY_READ_INTERVAL_MS) await sleep(MIN_EMPTY_READ_INTERVAL_MS, signal)
    }
  }

  private isConfirmationRecent (): boolean {
    return this.options.clock.now() - this.reader.confirmedAtMs < MAX_CONFIRMATION_AGE_MS
  }

  holder (): Holder | undefined {
    return this.reader.state.holder()
  }

  position (): number {
    return this.reader.state.position
  }

  confirmedAtMs (): number {
    return this.reader.confirmedAtMs
  }

  onHolder (listener: (holder: Holder) => void): void {
    this.reader.state.onHolder(listener)
  }

  async claim (epoch: Epoch, standbys: readonly string[]): Promise<Result<Holder, JournalError>> {
    const attempt: ClaimAttempt = { epoch, standbys: [...standbys], done: new AbortController(), mayBeInLog: false }
    const timeout = sleep(this.options.timeoutMs, attempt.done.signal).then(() => undefined)
    const claiming = this.claimUntilDone(attempt)
    const outcome = await Promise.race([claiming, timeout])
    attempt.done.abort()
    if (outcome !== undefined) return outcome
    // If the append in flight is refused or throttled within the grace time, and no earlier one may be in the log, the claim
    // certainly has no effect. After a success, the outcome is still reported as unknown.
    if (attempt.mayBeInLog) await Promise.race([claiming, sleep(CLAIM_RESPONSE_GRACE_MS)])
    if (attempt.mayBeInLog) return err(createError(JournalFailure.Unknown, 'It is unknown whether the claim took effect.'))
    return err(createError(JournalFailure.Unavailable, 'The log did not accept the claim before its timeout, or the journal was closed.'))
  }

  private async claimUntilDone (attempt: ClaimAttempt): Promise<Result<Holder, JournalError> | undefined> {
    const { epoch, standbys, done } = attempt
    const backoff = new Backoff(this.callSettings)
    while (!this.stop.signal.aborted) {
      const read = await this.reader.catchUp()
      if (done.signal.aborted) return undefined
      const outcome = read.isOk() ? this.checkClaim(epoch) : undefined
      if (outcome !== undefined) return outcome
      if (read.isOk()) {
        const before = attempt.mayBeInLog
        attempt.mayBeInLog = true
        const appended = await this.writer.append({ entry: RecordKind.Claim, epoch, standbys })
        if (appended.isOk()) continue
        if (appended.error.failure !== LogFailure.Unknown) attempt.mayBeInLog = before
      }
      await backoff.wait(done.signal)
    }
    return undefined
  }

  private checkClaim (epoch: Epoch): Result<Holder, JournalError> | undefined {
    const holder = this.reader.state.holder()
    if (holder === undefined) return undefined
    if (compareEpochs(holder.epoch, epoch) === 0) {
      this.writer.open(epoch)
      return ok(holder)
    }
    if (holder.epoch.counter < epoch.counter) return undefined
    return err(createError(
      JournalFailure.Superseded, `Node ${holder.epoch.node} holds the stream with epoch ${holder.epoch.counter}.`
    ))
  }

  commit (change: unknown, timeoutMs: number): Promise<Result<void, JournalError>> {
    return this.writer.commit(change, timeoutMs)
  }

  available (): boolean {
    return this.totals.available
  }

  async writeSnapshotIfDue (): Promise<Result<boolean, JournalError>> {
    if (this.writingSnapshot || !this.writer.holdsStream() || !this.isSnapshotDue()) return ok(false)
    this.writingSnapshot = true
    const written = await this.writeSnapshot()
    this.writingSnapshot = false
    return written
  }

  private isSnapshotDue (): boolean {
    const { snapshotRecords, snapshotMs, clock } = this.options
    if (clock.now() - this.reader.state.snapshotAtMs >= snapshotMs) return true
    return this.reader.state.position - 1 - this.reader.state.snapshotAsOf >= snapshotRecords
  }

  private async writeSnapshot (): Promise<Result<boolean, JournalError>> {
    const asOf = this.reader.state.position - 1
    const head = this.reader.state.copyFencingState()
    const values = this.options.stateMachine.snapshot()
    const snapshotId = `${this.instance}-${asOf}`
    const parts = values.length
    for (const [part, value] of (parts === 0 ? [null] : values).entries()) {
      const record: SnapshotPartRecord = { entry: RecordKind.Snapshot, snapshot: snapshotId, part, parts, asOf, head, value }
      const written = await this.writePart(record)
      if (written.isErr()) return err(written.error)
    }
    this.totals.snapshots += 1
    return ok(true)
  }

  private async writePart (record: SnapshotPartRecord): Promise<Result<void, JournalError>> {
    const { clock, timeoutMs } = this.options
    const backoff = new Backoff(this.callSettings)
    const deadlineMs = clock.now() + timeoutMs
    while (this.writer.holdsStream()) {
      const appended = await this.writer.append(record)
      if (appended.isOk()) return ok(undefined)
      if (clock.now() > deadlineMs) return err(createError(JournalFailure.Unavailable, appended.error.detail))
      await backoff.wait(this.stop.signal)
    }
    return err(createError(JournalFailure.Superseded, 'This process does not hold the stream.'))
  }

  counters (): JournalCounters {
    return this.totals.counters()
  }

  /**
   * Stops writing permanently. Pending changes that certainly have no effect fail as Unavailable. Pending changes whose outcome
   * is not known fail as Unknown. Later changes fail as Superseded.
   */
  close (): void {
    this.stop.abort()
    this.writer.close()
  }
}
