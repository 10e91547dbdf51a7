/**
 * Reads a journal's stream and folds the changes in effect.
 */
import { compareEpochs, type Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import { Assembly, type WholeSnapshot } from './assembly.js'
import type { Clock } from './clock.js'
import { EnvelopeCodec, PartCodec, type Claim, type Commit, type Envelope, type Head, type Part } from './envelope.js'
import { Entry, type Fold, type Holder } from './journal.js'
import { LogFailure, type Log, type LogError, type LogPage, type LogRecord } from './log.js'
import { findSnapshot, type Retained } from './retained.js'
import { limitTime, type Patience } from './retry.js'
import type { Tally } from './tally.js'

/** Former epochs whose last sequence number is remembered. */
const PAST_COUNT = 16

/** Whether a commit is in effect, as far as was read. */
export enum Settlement {
  InEffect = 'in-effect',
  /** Not read yet, and it may still take effect. */
  Open = 'open',
  /** Not in effect, and it can never be. */
  Void = 'void',
  /** The records that would tell were never read. */
  Unknown = 'unknown'
}

/** What a reader works on. */
export interface ReaderOptions {
  readonly log: Log
  readonly stream: string
  readonly clock: Clock
  readonly fold: Fold
  readonly patience: Patience
  readonly tally: Tally
}

/** The reading side of a journal. */
export class Reader {
  /** Next offset to read. */
  position = 0
  confirmedAtMs = -Infinity
  /** Last record that the newest whole snapshot includes, and when its last part was read. */
  snapshotAsOf = -1
  snapshotAtMs = -Infinity
  private head: Head = createHead()
  private assembly = new Assembly<Part>()
  /** Records were lost before the first one read; the next whole snapshot replaces the state. */
  private incomplete = false
  private restarting: Promise<Result<boolean, LogError>> | undefined
  private readonly watches = new Set<() => void>()
  private readonly listeners: Array<(holder: Holder) => void> = []

  constructor (private readonly options: ReaderOptions) {}

  /**
   * Returns the newest claim in effect.
   *
   * @returns the holder, or undefined before the first claim
   */
  holder (): Holder | undefined {
    return this.head.holder
  }

  /**
   * Returns the last sequence number in effect of the holder's epoch.
   *
   * @returns the number; 0 before the first commit
   */
  sequence (): number {
    return this.head.sequence
  }

  /**
   * Calls a listener after each claim in effect.
   *
   * @param listener the listener
   */
  onHolder (listener: (holder: Holder) => void): void {
    this.listeners.push(listener)
  }

  /**
   * Waits until a condition holds, looking after each record.
   *
   * @param check the condition
   * @param signal ends the wait early
   * @returns a promise that resolves when the condition holds
   */
  until (check: () => boolean, signal: AbortSignal): Promise<undefined> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.watches.delete(look)
        signal.removeEventListener('abort', finish)
        resolve(undefined)
      }
      const look = (): void => {
        if (check()) finish()
      }
      signal.addEventListener('abort', finish, { once: true })
      this.watches.add(look)
      look()
    })
  }

  /**
   * Tells whether a commit is in effect.
   *
   * @param epoch epoch of the commit
   * @param sequence sequence number of the commit
   * @returns what the records read so far show
   */
  settle (epoch: Epoch, sequence: number): Settlement {
    const { holder, sequence: last, past } = this.head
    if (holder === undefined) return Settlement.Unknown
    const order = compareEpochs(holder.epoch, epoch)
    if (order === 0) return last >= sequence ? Settlement.InEffect : Settlement.Open
    const term = past.find((each) => compareEpochs(each.epoch, epoch) === 0)
    if (term === undefined) return Settlement.Unknown
    return term.sequence >= sequence ? Settlement.InEffect : Settlement.Void
  }

  /**
   * Copies what is known besides the fold.
   *
   * @returns the head as of the current position
   */
  copyHead (): Head {
    return { ...this.head, past: [...this.head.past] }
  }

  /**
   * Reads once. Starts over from the newest whole snapshot if the offset expired.
   *
   * @param waitMs how long the service holds the read open while there is nothing new
   * @param signal ends the read early
   * @returns true if the end of the stream was reached
   */
  async read (waitMs: number, signal?: AbortSignal): Promise<Result<boolean, LogError>> {
    if (this.restarting !== undefined) return await this.restarting
    const sentMs = this.options.clock.now()
    const from = this.position
    const page = await this.fetch(from, waitMs, signal)
    if (page.isErr()) {
      if (page.error.failure !== LogFailure.Expired) return err(page.error)
      if (this.position !== from) return ok(false)
      return await this.restart(page.error.earliest ?? 0)
    }
    for (const record of page.value.records) this.take(record)
    this.wake()
    if (page.value.records.length > 0) return ok(false)
    this.confirm(sentMs)
    return ok(true)
  }

  /**
   * Reads to the end of the stream.
   *
   * @returns the first failure, if any
   */
  async catchUp (): Promise<Result<void, LogError>> {
    for (;;) {
      const read = await this.read(0)
      if (read.isErr()) return err(read.error)
      if (read.value) return ok(undefined)
    }
  }

  /**
   * Takes a record that this process appended itself, without reading it back. Does nothing if records before it
   * were not read yet.
   *
   * @param offset offset that the append returned
   * @param data the record
   * @param sentMs clock time at which the append was sent
   */
  takeOwn (offset: number, data: Envelope, sentMs: number): void {
    if (offset !== this.position) return
    this.fold(data, offset)
    this.confirm(sentMs)
    this.wake()
  }

  private confirm (sentMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, sentMs)
  }

  private wake (): void {
    for (const look of this.watches) look()
  }

  private async fetch (from: number, waitMs: number, signal?: AbortSignal): Promise<Result<LogPage, LogError>> {
    const { log, stream, patience, tally } = this.options
    const page = await limitTime((limit) => log.read(stream, from, waitMs, limit), waitMs + patience.readMs, signal)
    if (signal?.aborted !== true) tally.available = page.isOk()
    if (page.isOk()) tally.bytesRead += JSON.stringify(page.value.records).length
    return page
  }

  private take (record: LogRecord): void {
    if (record.offset !== this.position) return
    const envelope = EnvelopeCodec.decode(record.data)
    if (envelope.isRight()) {
      this.fold(envelope.extract() as Envelope, record.offset)
      return
    }
    this.position = record.offset + 1
    this.options.tally.malformed += 1
  }

  private fold (envelope: Envelope, offset: number): void {
    this.position = offset + 1
    this.options.tally.records += 1
    switch (envelope.entry) {
      case Entry.Claim:
        this.foldClaim(envelope, offset)
        return
      case Entry.Commit:
        this.foldCommit(envelope, offset)
        return
      case Entry.Snapshot:
        this.foldPart(envelope)
    }
  }

  private foldClaim (claim: Claim, offset: number): void {
    const { holder, sequence, past } = this.head
    if (holder !== undefined && claim.epoch.counter <= holder.epoch.counter) return
    const ended = holder === undefined ? past : [...past, { epoch: holder.epoch, sequence }].slice(-PAST_COUNT)
    const next = { epoch: claim.epoch, standbys: claim.standbys, offset }
    this.head = { holder: next, sequence: 0, past: ended }
    this.announce(next)
  }

  private announce (holder: Holder): void {
    for (const listener of this.listeners) listener(holder)
  }

  private foldCommit (commit: Commit, offset: number): void {
    const { holder, sequence } = this.head
    if (holder === undefined || compareEpochs(commit.epoch, holder.epoch) !== 0) return
    if (commit.sequence <= sequence) return
    this.head = { ...this.head, sequence: commit.sequence }
    for (const change of commit.changes) this.options.fold.apply(change, offset)
  }

  private foldPart (part: Part): void {
    const whole = this.assembly.add(part)
    if (whole === undefined) return
    if (this.incomplete) this.restore(whole)
    this.snapshotAsOf = whole.asOf
    this.snapshotAtMs = this.options.clock.now()
  }

  private restart (earliest: number): Promise<Result<boolean, LogError>> {
    this.restarting ??= this.scan(earliest).finally(() => { this.restarting = undefined })
    return this.restarting
  }

  private async scan (oldest: number): Promise<Result<boolean, LogError>> {
    const found = await findSnapshot({ fetch: (from) => this.fetch(from, 0), parse: parsePart }, oldest)
    if (found.isErr()) return err(found.error)
    this.startOver(found.value)
    return ok(false)
  }

  private startOver ({ earliest, snapshot, tail }: Retained<Part>): void {
    this.options.tally.restarts += 1
    this.assembly = new Assembly()
    if (snapshot !== undefined) {
      this.restore(snapshot)
      for (const record of tail) this.take(record)
      this.wake()
      return
    }
    this.options.tally.gaps += 1
    this.incomplete = true
    this.head = createHead()
    this.options.fold.restore([])
    this.position = earliest
  }

  private restore (snapshot: WholeSnapshot<Part>): void {
    const before = this.head.holder
    this.head = snapshot.first.head
    this.options.fold.restore(snapshot.values)
    this.position = snapshot.asOf + 1
    this.snapshotAsOf = snapshot.asOf
    this.incomplete = false
    const holder = this.head.holder
    if (holder !== undefined && holder.offset !== before?.offset) this.announce(holder)
  }
}

function parsePart (data: unknown): Part | undefined {
  const part = PartCodec.decode(data)
  return part.isRight() ? part.extract() as Part : undefined
}

function createHead (): Head {
  return { holder: undefined, sequence: 0, past: [] }
}
