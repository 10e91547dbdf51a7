/**
 * The platform's append-only log service.
 */
import type { Result } from 'neverthrow'

/** One record of a stream. */
export interface LogRecord {
  readonly offset: number
  /** Any JSON value. */
  readonly data: unknown
}

/** The result of a read. */
export interface LogPage {
  readonly records: readonly LogRecord[]
  /** Offset from which to read next. */
  readonly next: number
  /** Oldest retained offset. */
  readonly earliest: number
}

/** Why a call to the log failed. */
export enum LogFailure {
  /** The call certainly had no effect: the log refused it, or it was never sent. */
  Refused = 'refused',
  /** The append exceeds the limit of appends per second. It had no effect. */
  Throttled = 'throttled',
  /** No response, or an invalid one: an append may have taken effect. */
  Unknown = 'unknown',
  /** The offset is older than the oldest retained record. */
  Expired = 'expired'
}

/** A failure of the log service. */
export interface LogError {
  readonly failure: LogFailure
  readonly detail: string
  /** With LogFailure.Expired: the oldest retained offset. */
  readonly earliest?: number
}

/** The append-only log service. The offsets of each stream start at 0 and have no gaps. */
export abstract class Log {
  /**
   * Appends one record.
   *
   * @param stream the stream's name
   * @param data a JSON value
   * @returns the record's offset
   */
  abstract append (stream: string, data: unknown): Promise<Result<number, LogError>>

  /**
   * Reads records in order.
   *
   * @param stream the stream's name
   * @param from offset of the first record to return
   * @param waitMs how long the service holds the read open while the stream has no new record
   * @param signal aborts the read
   * @returns a page; empty if there is no record at the offset or after it
   */
  abstract read (stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Result<LogPage, LogError>>
}
