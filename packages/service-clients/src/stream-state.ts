/**
 * Applies the records of a journal's stream: determines the holder and which commits are in effect, and applies their changes.
 */
import { compareEpochs, type Epoch } from '@fireflymount/protocol/epoch'
import { SnapshotAssembler, type CompleteSnapshot } from './snapshot-assembler.js'
import type { Clock } from './clock.js'
import {
  JournalRecordCodec,
  type ClaimRecord,
  type CommitRecord,
  type FencingState,
  type JournalRecord,
  type SnapshotPartRecord
} from './journal-record.js'
import { RecordKind, type StateMachine, type Holder } from './journal.js'
import type { LogRecord } from './log.js'
import type { SnapshotSearchResult } from './snapshot-search.js'
import type { JournalTotals } from './journal-totals.js'

/** Maximum number of past epochs whose last sequence number is kept. */
const MAX_PAST_EPOCHS = 16

/** Whether a commit is in effect, according to the records read so far. */
export enum CommitStatus {
  InEffect = 'in-effect',
  /** Not read yet; it may still take effect. */
  Undecided = 'open',
  /** Not in effect, and it can no longer take effect. */
  Void = 'void',
  /**
   * It cannot be determined: records were lost, the epoch's claim has not been read, or more than MAX_PAST_EPOCHS epochs
   * followed it.
   */
  Unknown = 'unknown'
}

/** Options of the state of a stream. */
export interface StreamStateOptions {
  readonly clock: Clock
  readonly stateMachine: StateMachine
  readonly totals: JournalTotals
}

/** The state of a stream at the position read so far. */
export class StreamState {
  /** Next offset to read. */
  position = 0
  /** Offset of the last record included in the snapshot that was completed or restored last; -1 if there is none. */
  snapshotAsOf = -1
  /**
   * Time at which a part last completed a snapshot. A restart from a snapshot does not set it. The parts are in the stream
   * after the records that the snapshot includes, so they are applied again, and the last of them sets it.
   */
  snapshotAtMs = -Infinity
  private fencing: FencingState = createFencingState()
  private assembler = new SnapshotAssembler<SnapshotPartRecord>()
  /**
   * After records were lost: the oldest offset retained at that time. The next complete snapshot that includes every
   * record before it replaces the state.
   */
  private gapEnd: number | undefined
  private readonly listeners: Array<(holder: Holder) => void> = []

  constructor (private readonly options: StreamStateOptions) {}

  /**
   * Returns the newest claim in effect.
   *
   * @returns the holder, or undefined before the first claim
   */
  holder (): Holder | undefined {
    return this.fencing.holder
  }

  /**
   * Returns the sequence number of the last commit in effect of the holder's epoch.
   *
   * @returns the number; 0 before the first commit
   */
  sequence (): number {
    return this.fencing.sequence
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
   * Returns whether a commit is in effect.
   *
   * @param epoch epoch of the commit
   * @param sequence sequence number of the commit
   * @returns the status according to the records read so far
   */
  commitStatus (epoch: Epoch, sequence: number): CommitStatus {
    const { holder, sequence: last, past } = this.fencing
    if (holder === undefined) return CommitStatus.Unknown
    const order = compareEpochs(holder.epoch, epoch)
    if (order === 0) return last >= sequence ? CommitStatus.InEffect : CommitStatus.Undecided
    const pastEpoch = past.find((each) => compareEpochs(each.epoch, epoch) === 0)
    if (pastEpoch === undefined) return CommitStatus.Unknown
    return pastEpoch.sequence >= sequence ? CommitStatus.InEffect : CommitStatus.Void
  }

  /**
   * Copies the state that decides which commits take effect, for a snapshot.
   *
   * @returns the state as of the current position
   */
  copyFencingState (): FencingState {
    return { ...this.fencing, past: [...this.fencing.past] }
  }

  /**
   * Applies records that were read. Skips records before the current position, and records after a missing offset.
   *
   * @param records records in the order of their offsets
   */
  applyRecords (records: readonly LogRecord[]): void {
    for (const record of records) {
      if (record.offset === this.position) this.applyNext(record)
    }
  }

  private applyNext (record: LogRecord): void {
    const decoded = JournalRecordCodec.decode(record.data)
    if (decoded.isRight()) {
      this.applyRecord(decoded.extract() as JournalRecord, record.offset)
      return
    }
    this.position = record.offset + 1
    this.options.totals.malformed += 1
  }

  /**
   * Applies the record at the current position.
   *
   * @param record the record
   * @param offset its offset
   */
  applyRecord (record: JournalRecord, offset: number): void {
    this.position = offset + 1
    this.options.totals.records += 1
    switch (record.entry) {
      case RecordKind.Claim:
        this.applyClaim(record, offset)
        return
      case RecordKind.Commit:
        this.applyCommit(record, offset)
        return
      case RecordKind.Snapshot:
        this.applySnapshotPart(record)
    }
  }

  private applyClaim (claim: ClaimRecord, offset: number): void {
    const { holder, sequence, past } = this.fencing
    if (holder !== undefined && claim.epoch.counter <= holder.epoch.counter) return
    const pastEpochs = holder === undefined ? past : [...past, { epoch: holder.epoch, sequence }].slice(-MAX_PAST_EPOCHS)
    const next = { epoch: claim.epoch, standbys: claim.standbys, offset }
    this.fencing = { holder: next, sequence: 0, past: pastEpochs }
    this.notifyListeners(next)
  }

  private notifyListeners (holder: Holder): void {
    for (const listener of this.listeners) listener(holder)
  }

  private applyCommit (commit: CommitRecord, offset: number): void {
    const { holder, sequence } = this.fencing
    if (holder === undefined || compareEpochs(commit.epoch, holder.epoch) !== 0) return
    if (commit.sequence <= sequence) return
    this.fencing = { ...this.fencing, sequence: commit.sequence }
    for (const change of commit.changes) this.options.stateMachine.apply(change, offset)
  }

  private applySnapshotPart (part: SnapshotPartRecord): void {
    const snapshot = this.assembler.add(part)
    if (snapshot === undefined) return
    if (this.gapEnd !== undefined && snapshot.asOf + 1 >= this.gapEnd) this.restore(snapshot)
    this.snapshotAsOf = snapshot.asOf
    this.snapshotAtMs = this.options.clock.now()
  }

  /**
   * Restarts from the newest snapshot that the stream retains. If there is none, or if it does not include all
   * expired records, records are lost: counts a gap and starts with an empty state at the oldest retained offset.
   *
   * @param found the oldest retained offset and, if there is one, the newest snapshot
   */
  restart ({ earliest, snapshot, tail }: SnapshotSearchResult<SnapshotPartRecord>): void {
    this.options.totals.restarts += 1
    this.assembler = new SnapshotAssembler()
    if (snapshot !== undefined && snapshot.asOf + 1 >= earliest) {
      this.restore(snapshot)
      this.applyRecords(tail)
      return
    }
    this.options.totals.gaps += 1
    this.gapEnd = earliest
    this.fencing = createFencingState()
    this.options.stateMachine.restore([])
    this.position = earliest
  }

  private restore (snapshot: CompleteSnapshot<SnapshotPartRecord>): void {
    const previousHolder = this.fencing.holder
    this.fencing = snapshot.first.head
    this.options.stateMachine.restore(snapshot.values)
    this.position = snapshot.asOf + 1
    this.snapshotAsOf = snapshot.asOf
    this.gapEnd = undefined
    const holder = this.fencing.holder
    if (holder !== undefined && holder.offset !== previousHolder?.offset) this.notifyListeners(holder)
  }
}

function createFencingState (): FencingState {
  return { holder: undefined, sequence: 0, past: [] }
}
