/**
 * The journal on one stream of the platform's log.
 */
import { randomUUID } from 'node:crypto'
import { compareEpochs, type Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import { sleep, type Clock } from './clock.js'
import type { Part } from './envelope.js'
import { Entry, Journal, JournalFailure, type Fold, type Holder, type JournalCounters, type JournalError } from './journal.js'
import { LogFailure, type Log } from './log.js'
import { Reader } from './reader.js'
import { Backoff, DEFAULT_PATIENCE, type Patience } from './retry.js'
import { Tally } from './tally.js'
import { fail, Writer } from './writer.js'

/** Age of the confirmation after which a busy stream is asked whether its end was reached. */
const CONFIRM_MS = 500
/** Time after an own append that proved to be at the end of the stream, in which nothing is read: own records would come back. */
const QUIET_MS = 200
/** Time beyond the patience of a claim in which the answer to its last append is awaited. */
const GRACE_MS = 30
/** Shortest time between reads that return nothing. */
const IDLE_MS = 10

/** What a stream works on. */
export interface StreamOptions {
  readonly log: Log
  readonly stream: string
  readonly clock: Clock
  readonly fold: Fold
  /** Shortest time between the starts of two group commits. */
  readonly commitMs: number
  /** Records since the last snapshot after which the holder writes another. */
  readonly snapshotRecords: number
  /** Time since the last snapshot after which the holder writes another; well inside the retention. */
  readonly snapshotMs: number
  /** How long a claim and a part of a snapshot are tried while the log does not serve. */
  readonly patienceMs: number
  readonly patience?: Patience
}

/** A claim that is being made. */
interface Attempt {
  readonly epoch: Epoch
  readonly standbys: string[]
  /** Aborted when the claim was answered. */
  readonly over: AbortController
  /** An append of it was sent that may take effect. */
  undecided: boolean
}

/**
 * A journal on one stream of the log.
 *
 * @example
 * const journal = new Stream({ log, stream: 'shard.bee-planner', clock, fold, ...SNAPSHOTS })
 * const holder = await journal.claim({ counter: 1, node: 'entry-1' }, ['entry-2', 'entry-3'])
 * if (holder.isOk()) await journal.commit({ kind: 'accepted' }, PATIENCE_MS)
 */
export class Stream extends Journal {
  private readonly tally = new Tally()
  private readonly patience: Patience
  private readonly reader: Reader
  private readonly writer: Writer
  private readonly stop = new AbortController()
  private readonly token = randomUUID().slice(0, 8)
  private compacting = false

  constructor (private readonly options: StreamOptions) {
    super()
    const { log, stream, clock, fold, commitMs, patience = DEFAULT_PATIENCE } = options
    this.patience = patience
    this.reader = new Reader({ log, stream, clock, fold, patience, tally: this.tally })
    this.writer = new Writer({ log, stream, clock, commitMs, patience, tally: this.tally }, this.reader)
  }

  async catchUp (): Promise<Result<void, JournalError>> {
    const read = await this.reader.catchUp()
    return read.mapErr((error) => fail(JournalFailure.Unavailable, error.detail))
  }

  async follow (waitMs: number, signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    const backoff = new Backoff(this.patience)
    while (!signal.aborted) {
      const quietMs = this.writer.confirmedAtMs + QUIET_MS - clock.now()
      if (quietMs > 0) {
        await sleep(quietMs, signal)
        continue
      }
      const sentMs = clock.now()
      const read = await this.reader.read(this.isConfirmed() ? waitMs : 0, signal)
      if (read.isErr()) {
        await backoff.wait(signal)
        continue
      }
      backoff.reset()
      if (read.value && clock.now() - sentMs < IDLE_MS) await sleep(IDLE_MS, signal)
    }
  }

  private isConfirmed (): boolean {
    return this.options.clock.now() - this.reader.confirmedAtMs < CONFIRM_MS
  }

  holder (): Holder | undefined {
    return this.reader.replay.holder()
  }

  position (): number {
    return this.reader.replay.position
  }

  confirmedAtMs (): number {
    return this.reader.confirmedAtMs
  }

  onHolder (listener: (holder: Holder) => void): void {
    this.reader.replay.onHolder(listener)
  }

  async claim (epoch: Epoch, standbys: readonly string[]): Promise<Result<Holder, JournalError>> {
    const attempt: Attempt = { epoch, standbys: [...standbys], over: new AbortController(), undecided: false }
    const late = sleep(this.options.patienceMs, attempt.over.signal).then(() => undefined)
    const trying = this.tryClaim(attempt)
    const outcome = await Promise.race([trying, late])
    attempt.over.abort()
    if (outcome !== undefined) return outcome
    // An append that was just sent is likely to be answered at once, and then nothing is unknown.
    if (attempt.undecided) await Promise.race([trying, sleep(GRACE_MS)])
    if (attempt.undecided) return err(fail(JournalFailure.Unknown, 'It is not known whether the claim took effect.'))
    return err(fail(JournalFailure.Unavailable, 'The log did not take the claim.'))
  }

  private async tryClaim (attempt: Attempt): Promise<Result<Holder, JournalError> | undefined> {
    const { epoch, standbys, over } = attempt
    const backoff = new Backoff(this.patience)
    while (!this.stop.signal.aborted) {
      const read = await this.reader.catchUp()
      if (over.signal.aborted) return undefined
      const outcome = read.isOk() ? this.judgeClaim(epoch) : undefined
      if (outcome !== undefined) return outcome
      if (read.isOk()) {
        const before = attempt.undecided
        attempt.undecided = true
        const answer = await this.writer.append({ entry: Entry.Claim, epoch, standbys })
        if (answer.isOk()) continue
        if (answer.error.failure !== LogFailure.Unknown) attempt.undecided = before
      }
      await backoff.wait(over.signal)
    }
    return undefined
  }

  private judgeClaim (epoch: Epoch): Result<Holder, JournalError> | undefined {
    const holder = this.reader.replay.holder()
    if (holder === undefined) return undefined
    if (compareEpochs(holder.epoch, epoch) === 0) {
      this.writer.open(epoch)
      return ok(holder)
    }
    if (holder.epoch.counter < epoch.counter) return undefined
    return err(fail(JournalFailure.Superseded, `Epoch ${holder.epoch.counter} of ${holder.epoch.node} holds the stream.`))
  }

  commit (change: unknown, patienceMs: number): Promise<Result<void, JournalError>> {
    return this.writer.commit(change, patienceMs)
  }

  available (): boolean {
    return this.tally.available
  }

  async compact (): Promise<Result<boolean, JournalError>> {
    if (this.compacting || !this.writer.isOpen() || !this.isSnapshotDue()) return ok(false)
    this.compacting = true
    const written = await this.writeSnapshot()
    this.compacting = false
    return written
  }

  private isSnapshotDue (): boolean {
    const { snapshotRecords, snapshotMs, clock } = this.options
    if (clock.now() - this.reader.replay.snapshotAtMs >= snapshotMs) return true
    return this.reader.replay.position - 1 - this.reader.replay.snapshotAsOf >= snapshotRecords
  }

  private async writeSnapshot (): Promise<Result<boolean, JournalError>> {
    const asOf = this.reader.replay.position - 1
    const head = this.reader.replay.copyHead()
    const values = this.options.fold.snapshot()
    const snapshot = `${this.token}-${asOf}`
    const parts = values.length
    for (const [part, value] of (parts === 0 ? [null] : values).entries()) {
      const record: Part = { entry: Entry.Snapshot, snapshot, part, parts, asOf, head, value }
      const written = await this.writePart(record)
      if (written.isErr()) return err(written.error)
    }
    this.tally.snapshots += 1
    return ok(true)
  }

  private async writePart (record: Part): Promise<Result<void, JournalError>> {
    const { clock, patienceMs } = this.options
    const backoff = new Backoff(this.patience)
    const deadlineMs = clock.now() + patienceMs
    while (this.writer.isOpen()) {
      const answer = await this.writer.append(record)
      if (answer.isOk()) return ok(undefined)
      if (clock.now() > deadlineMs) return err(fail(JournalFailure.Unavailable, answer.error.detail))
      await backoff.wait(this.stop.signal)
    }
    return err(fail(JournalFailure.Superseded, 'This process does not hold the stream.'))
  }

  counters (): JournalCounters {
    return this.tally.counters()
  }

  /** Stops writing for good. Changes that were never sent are refused; the effect of others is unknown. */
  close (): void {
    this.stop.abort()
    this.writer.close()
  }
}
