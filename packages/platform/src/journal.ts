/**
 * A stream with one writer at a time, fenced by epochs in the order of the log.
 */
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Result } from 'neverthrow'

/** What a journal's record is. */
export enum Entry {
  /** Takes the stream over: later commits of older epochs have no effect. */
  Claim = 'claim',
  /** A batch of changes, in effect unless a newer claim stands before it. */
  Commit = 'commit',
  /** One part of the whole state as of an offset. */
  Snapshot = 'snapshot'
}

/** The newest claim in effect. */
export interface Holder {
  readonly epoch: Epoch
  readonly standbys: readonly string[]
  readonly offset: number
}

/** A reader's state: built from the changes in effect, in order, the same on every reader. */
export abstract class Fold {
  /** Applies one change of a commit in effect. */
  abstract apply (change: unknown, offset: number): void
  /** Returns the whole state as JSON values of at most 200 kB each, for a snapshot. */
  abstract snapshot (): readonly unknown[]
  /** Replaces the whole state. */
  abstract restore (parts: readonly unknown[]): void
}

/** Why a journal did not write. */
export enum JournalFailure {
  /** A newer claim stands: this writer is no longer the holder. The change has no effect. */
  Superseded = 'superseded',
  /** The log certainly did not take the change. */
  Unavailable = 'unavailable',
  /** Closed before it was known whether the change took effect. */
  Unknown = 'unknown',
  /** More changes wait than the journal holds. The change has no effect. */
  Overloaded = 'overloaded'
}

/** A failure of a journal. */
export interface JournalError {
  readonly failure: JournalFailure
  readonly detail: string
}

/** Reads and, after a claim, writes one stream. */
export abstract class Journal {
  /** Reads to the end of the stream once. Starts over from the newest whole snapshot if the offset expired. */
  abstract catchUp (): Promise<Result<void, JournalError>>
  /** Follows the stream until the signal, holding reads open for `waitMs`. */
  abstract follow (waitMs: number, signal: AbortSignal): Promise<void>
  /** The newest claim read so far. */
  abstract holder (): Holder | undefined
  /** Next offset to read. */
  abstract position (): number
  /** Clock time (of the clock handed in) at which the last read was sent that reached the end of the stream. */
  abstract confirmedAtMs (): number
  /** Called after a claim was read that differs from the one before. */
  abstract onHolder (listener: (holder: Holder) => void): void
  /** Appends a claim and reads up to it. Superseded if an equal counter or a newer claim stands before it. */
  abstract claim (epoch: Epoch, standbys: readonly string[]): Promise<Result<Holder, JournalError>>
  /**
   * Adds a change to the next group commit. Resolves after the commit is in the log, found in effect, and folded.
   * An append whose answer was lost is settled by reading back and repeated with the same sequence number;
   * readers skip repeats. While the log is away, pending changes are refused as Unavailable once `patienceMs`
   * has passed and it is certain that they did not take effect; an undecided one keeps being settled.
   */
  abstract commit (change: unknown, patienceMs: number): Promise<Result<void, JournalError>>
  /** True while the last append or read succeeded. */
  abstract available (): boolean
  /** Writes a snapshot if enough records or time passed since the last one. Called regularly by the holder. */
  abstract compact (): Promise<Result<boolean, JournalError>>
  /** Counts for reports: appends, records, bytes written and read, restarts from a snapshot. */
  abstract counters (): JournalCounters
}

/** Totals since start. */
export interface JournalCounters {
  readonly appends: number
  readonly bytesWritten: number
  readonly bytesRead: number
  /** Records read or taken. */
  readonly records: number
  readonly snapshots: number
  /** Times that the offset had expired. */
  readonly restarts: number
  /** Restarts without a usable snapshot: records were lost for good. */
  readonly gaps: number
  /** Records that are no envelope. */
  readonly malformed: number
}
