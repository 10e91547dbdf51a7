/**
 * A stream with one writer at a time. Epochs fence off former writers: the order of records in the log decides which
 * claim is in effect.
 */
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Result } from 'neverthrow'

/** Kinds of records in a journal's stream. */
export enum RecordKind {
  /**
   * Makes its writer the holder, if the counter of its epoch is above that of the current holder's epoch. Later commits of
   * older epochs then have no effect.
   */
  Claim = 'claim',
  /**
   * A batch of changes. It is in effect if the newest claim in effect before it has the same epoch, and its sequence number is
   * above that of the last commit in effect of that epoch.
   */
  Commit = 'commit',
  /** One part of the complete state as of an offset. */
  Snapshot = 'snapshot'
}

/** The node that may write the stream, according to the newest claim in effect. */
export interface Holder {
  readonly epoch: Epoch
  /** Names of the nodes that stand by, as given in the claim. */
  readonly standbys: readonly string[]
  /** Offset of the claim. */
  readonly offset: number
}

/** The state that a reader builds by applying the changes in effect in log order, so that it is the same on every reader. */
export abstract class StateMachine {
  /** Applies one change of a commit in effect. `offset` is that of the commit's record. */
  abstract apply (change: unknown, offset: number): void
  /** Returns the complete state as JSON values of at most 200 kB each, for a snapshot. */
  abstract snapshot (): readonly unknown[]
  /** Replaces the complete state. */
  abstract restore (parts: readonly unknown[]): void
}

/** Why a call to a journal failed. */
export enum JournalFailure {
  /**
   * This process does not hold the stream, for example because a newer claim is in effect or the journal was closed before the
   * call. A change has no effect.
   */
  Superseded = 'superseded',
  /**
   * The log is unavailable, or the journal was closed while a change was pending or before a claim could take effect. A change
   * or claim certainly has no effect.
   */
  Unavailable = 'unavailable',
  /**
   * It is not known whether the change or claim took effect. The journal was closed, the claim timed out, or the records
   * that would show the outcome were lost.
   */
  Unknown = 'unknown',
  /** The pending queue is full, or the change is too large. The change has no effect. */
  Overloaded = 'overloaded'
}

/** A failure of a journal. */
export interface JournalError {
  readonly failure: JournalFailure
  readonly detail: string
}

/** Reads and, after a claim, writes one stream. */
export abstract class Journal {
  /** Reads to the end of the stream once. If the next offset has expired, restarts from the newest complete snapshot. */
  abstract catchUp (): Promise<Result<void, JournalError>>
  /** Follows the stream until the signal aborts, with long polls of `waitMs`. */
  abstract follow (waitMs: number, signal: AbortSignal): Promise<void>
  /** The holder according to the records read so far; undefined before the first claim. */
  abstract holder (): Holder | undefined
  /** Next offset to read. */
  abstract position (): number
  /**
   * Send time, in the clock given to the journal, of the newest call that confirmed that the reader is at the end of the
   * stream. Such a call is a read that returned no records, or an append by this process that got the next offset to read.
   * All records appended before this time have been read.
   */
  abstract confirmedAtMs (): number
  /** Calls the listener after each claim read that replaces the holder. */
  abstract onHolder (listener: (holder: Holder) => void): void
  /** Appends a claim and reads up to it. Fails as Superseded if a claim with an equal or higher counter precedes it. */
  abstract claim (epoch: Epoch, standbys: readonly string[]): Promise<Result<Holder, JournalError>>
  /**
   * Adds a change to the next group commit. Resolves after the commit is in the log, found in effect, and applied.
   * If the response to an append is lost, the journal reads the stream to find out whether the append took effect. If it
   * did not, the journal retries it with the same sequence number; readers skip duplicates. While the log is unavailable,
   * a change fails as Unavailable once `timeoutMs` has passed, provided that it certainly has no effect. A change
   * that may have taken effect stays pending until its outcome is known. If the journal is closed before that, or the
   * records that would show the outcome are lost, the change fails as Unknown.
   */
  abstract commit (change: unknown, timeoutMs: number): Promise<Result<void, JournalError>>
  /** Whether the last append or read succeeded. A throttled append counts as failed only from the third in a row. */
  abstract available (): boolean
  /**
   * Writes a snapshot if enough records or enough time passed since the last one. The holder calls it periodically. Returns
   * true if it wrote one.
   */
  abstract writeSnapshotIfDue (): Promise<Result<boolean, JournalError>>
  /** Totals for monitoring. */
  abstract counters (): JournalCounters
}

/** Totals since the start of the process. */
export interface JournalCounters {
  /** Appends sent, whether or not they succeeded. */
  readonly appends: number
  /** Characters of the JSON text of the records in those appends. */
  readonly charactersWritten: number
  /** Characters of the JSON text of the records read. */
  readonly charactersRead: number
  /** Valid records processed, with or without effect: read from the log, or appended by this process. */
  readonly records: number
  readonly snapshots: number
  /** Restarts because the next offset had expired. */
  readonly restarts: number
  /**
   * Restarts that found no complete snapshot, or only one that does not include all expired records: the expired records
   * are lost.
   */
  readonly gaps: number
  /** Records that no codec of a journal record accepts. */
  readonly malformed: number
}
