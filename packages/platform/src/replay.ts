/**
 * Replays the records of a journal's stream: what is in effect, who holds the stream, and the fold of the changes.
 */
import { compareEpochs, type Epoch } from '@fireflymount/protocol/epoch'
import { Assembly, type WholeSnapshot } from './assembly.js'
import type { Clock } from './clock.js'
import { EnvelopeCodec, type Claim, type Commit, type Envelope, type Head, type Part } from './envelope.js'
import { Entry, type Fold, type Holder } from './journal.js'
import type { LogRecord } from './log.js'
import type { Retained } from './retained.js'
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

/** What a replay works on. */
export interface ReplayOptions {
  readonly clock: Clock
  readonly fold: Fold
  readonly tally: Tally
}

/** The state of a stream at the position read so far. */
export class Replay {
  /** Next offset to read. */
  position = 0
  /** Last record that the newest whole snapshot includes, and when its last part was read. */
  snapshotAsOf = -1
  snapshotAtMs = -Infinity
  private head: Head = createHead()
  private assembly = new Assembly<Part>()
  /** After records were lost: the oldest offset retained then. The next whole snapshot that reaches it replaces the state. */
  private gapAt: number | undefined
  private readonly listeners: Array<(holder: Holder) => void> = []

  constructor (private readonly options: ReplayOptions) {}

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
   * Takes records read. Those before the position are skipped, and those after a gap too.
   *
   * @param records records in the order of their offsets
   */
  take (records: readonly LogRecord[]): void {
    for (const record of records) {
      if (record.offset === this.position) this.takeNext(record)
    }
  }

  private takeNext (record: LogRecord): void {
    const envelope = EnvelopeCodec.decode(record.data)
    if (envelope.isRight()) {
      this.fold(envelope.extract() as Envelope, record.offset)
      return
    }
    this.position = record.offset + 1
    this.options.tally.malformed += 1
  }

  /**
   * Folds the record at the position.
   *
   * @param envelope the record
   * @param offset its offset
   */
  fold (envelope: Envelope, offset: number): void {
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
    if (this.gapAt !== undefined && whole.asOf + 1 >= this.gapAt) this.restore(whole)
    this.snapshotAsOf = whole.asOf
    this.snapshotAtMs = this.options.clock.now()
  }

  /**
   * Starts over from what the stream retains.
   *
   * @param retained the oldest offset and, if there is one, the newest snapshot
   */
  startOver ({ earliest, snapshot, tail }: Retained<Part>): void {
    this.options.tally.restarts += 1
    this.assembly = new Assembly()
    if (snapshot !== undefined && snapshot.asOf + 1 >= earliest) {
      this.restore(snapshot)
      this.take(tail)
      return
    }
    this.options.tally.gaps += 1
    this.gapAt = earliest
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
    this.gapAt = undefined
    const holder = this.head.holder
    if (holder !== undefined && holder.offset !== before?.offset) this.announce(holder)
  }
}

function createHead (): Head {
  return { holder: undefined, sequence: 0, past: [] }
}
