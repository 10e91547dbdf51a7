/**
 * The records of the stand-in's log service, in memory.
 */
import { err, ok, type Result } from 'neverthrow'
import type { LogPage, LogRecord } from '@fireflymount/platform/log'
import { Waiters } from './waiters.js'

/** Most records in one answer. */
const PAGE_RECORDS = 1_000

/** Most bytes in one answer, unless a single record is larger. */
const PAGE_BYTES = 4_000_000

/** A read below the retention. */
export interface Expiry {
  readonly earliest: number
}

/** One stream: every record ever appended, and the offset from which records are retained. */
class Stream {
  readonly records: LogRecord[] = []
  /** Bytes of each record. */
  readonly sizes: number[] = []
  earliest = 0
  readonly readers = new Waiters()
}

/** All streams. A stream exists from its first use. */
export class Streams {
  private readonly streams = new Map<string, Stream>()

  /** @param retention most records that a stream retains */
  constructor (private retention: number) {}

  /** Names of all streams. */
  names (): string[] {
    return [...this.streams.keys()]
  }

  /** Changes the retention of every stream; records beyond it expire at once. */
  retain (records: number): void {
    this.retention = records
    for (const stream of this.streams.values()) this.expireOld(stream)
  }

  /** Expires the records of a stream before an offset. */
  expire (name: string, before: number): void {
    const stream = this.find(name)
    stream.earliest = Math.max(stream.earliest, Math.min(before, stream.records.length))
  }

  /**
   * Appends a record and wakes the held reads.
   *
   * @param name the stream
   * @param data a JSON value
   * @param bytes its size
   * @returns the record's offset
   */
  append (name: string, data: unknown, bytes: number): number {
    const stream = this.find(name)
    const offset = stream.records.length
    stream.records.push({ offset, data })
    stream.sizes.push(bytes)
    this.expireOld(stream)
    stream.readers.wake()
    return offset
  }

  /**
   * Reads retained records.
   *
   * @param name the stream
   * @param from offset of the first record wanted
   * @returns a page, or the oldest retained offset if `from` is below it
   */
  read (name: string, from: number): Result<LogPage, Expiry> {
    const stream = this.find(name)
    if (from < stream.earliest) return err({ earliest: stream.earliest })
    return ok(takePage(stream, from))
  }

  /** Reads records whether or not they are retained, for checkers. */
  dump (name: string, from: number): LogPage {
    return takePage(this.find(name), from)
  }

  /**
   * Waits for a record at an offset.
   *
   * @param name the stream
   * @param from the offset
   * @param waitMs longest wait
   * @returns a promise that resolves when the record is there or the time is over
   */
  wait (name: string, from: number, waitMs: number): Promise<void> {
    const stream = this.find(name)
    if (waitMs <= 0 || from < stream.records.length) return Promise.resolve()
    return stream.readers.wait(waitMs)
  }

  private find (name: string): Stream {
    const known = this.streams.get(name)
    if (known !== undefined) return known
    const stream = new Stream()
    this.streams.set(name, stream)
    return stream
  }

  private expireOld (stream: Stream): void {
    stream.earliest = Math.max(stream.earliest, stream.records.length - this.retention)
  }
}

function takePage (stream: Stream, from: number): LogPage {
  const records: LogRecord[] = []
  let bytes = 0
  for (const record of stream.records.slice(from, from + PAGE_RECORDS)) {
    bytes += stream.sizes[record.offset] ?? 0
    if (records.length > 0 && bytes > PAGE_BYTES) break
    records.push(record)
  }
  return { records, next: from + records.length, earliest: stream.earliest }
}
