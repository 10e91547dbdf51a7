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

/** What a read returned. */
export interface LogPage {
  readonly records: readonly LogRecord[]
  /** Offset of the next record to read. */
  readonly next: number
  /** Oldest offset that is still retained. */
  readonly earliest: number
}

/** Why the log did not serve. */
export enum LogFailure {
  /** The append certainly had no effect: refused, throttled, or the connection was never opened. */
  Refused = 'refused',
  /** Over the appends a second that the service takes. No effect. */
  Throttled = 'throttled',
  /** No answer or a broken one: an append may have taken effect. */
  Unknown = 'unknown',
  /** The offset is older than the retention. */
  Expired = 'expired'
}

/** A failure of the log service. */
export interface LogError {
  readonly failure: LogFailure
  readonly detail: string
  /** With LogFailure.Expired: the oldest offset that is still retained. */
  readonly earliest?: number
}

/** The append-only log service. Every stream has offsets of its own, from 0, without gaps. */
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
   * @param from offset of the first record wanted
   * @param waitMs how long the service holds the read open while there is nothing new
   * @param signal ends the read early
   * @returns a page; empty if there is nothing new
   */
  abstract read (stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Result<LogPage, LogError>>
}
