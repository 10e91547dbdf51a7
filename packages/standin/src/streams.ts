/**
 * The records of the stand-in's log service, in memory.
 */
import { err, ok, type Result } from 'neverthrow'
import type { LogPage, LogRecord } from '@fireflymount/service-clients/log'
import { Waiters } from './waiters.js'

const MAX_PAGE_RECORDS = 1_000

/** Limit of the size of a page. A single record may exceed it. */
const MAX_PAGE_BYTES = 4_000_000

/** The error of a read below the oldest retained offset. */
export interface ExpiredOffset {
  readonly earliest: number
}

/** One stream: every record ever appended, and the offset from which records are retained. */
class Stream {
  readonly records: LogRecord[] = []
  /** Size of each record in bytes. */
  readonly sizes: number[] = []
  earliest = 0
  readonly heldReads = new Waiters()
}

/** All streams. A stream is created at its first use. */
export class Streams {
  private readonly streams = new Map<string, Stream>()

  /** @param retention maximum number of records that a stream retains */
  constructor (private retention: number) {}

  /** Returns the names of all streams. */
  names (): string[] {
    return [...this.streams.keys()]
  }

  /** Changes the retention of every stream. Records beyond it expire immediately. */
  setRetention (records: number): void {
    this.retention = records
    for (const stream of this.streams.values()) this.expireOld(stream)
  }

  /** Expires the records of a stream with offsets below `before`. */
  expire (name: string, before: number): void {
    const stream = this.findOrCreate(name)
    stream.earliest = Math.max(stream.earliest, Math.min(before, stream.records.length))
  }

  /**
   * Appends a record and completes the held reads.
   *
   * @param name the stream
   * @param data a JSON value
   * @param bytes size of the record
   * @returns the record's offset
   */
  append (name: string, data: unknown, bytes: number): number {
    const stream = this.findOrCreate(name)
    const offset = stream.records.length
    stream.records.push({ offset, data })
    stream.sizes.push(bytes)
    this.expireOld(stream)
    stream.heldReads.wake()
    return offset
  }

  /**
   * Reads retained records.
   *
   * @param name the stream
   * @param from offset of the first record to return
   * @returns a page, or the oldest retained offset if `from` is below it
   */
  read (name: string, from: number): Result<LogPage, ExpiredOffset> {
    const stream = this.findOrCreate(name)
    if (from < stream.earliest) return err({ earliest: stream.earliest })
    return ok(createPage(stream, from))
  }

  /** Reads records for checkers, including expired ones. */
  dump (name: string, from: number): LogPage {
    return createPage(this.findOrCreate(name), from)
  }

  /**
   * Waits for a record at an offset.
   *
   * @param name the stream
   * @param from the offset
   * @param waitMs timeout of the wait
   * @returns a promise that resolves at the next append or the timeout; at once if the record exists
   */
  wait (name: string, from: number, waitMs: number): Promise<void> {
    const stream = this.findOrCreate(name)
    if (waitMs <= 0 || from < stream.records.length) return Promise.resolve()
    return stream.heldReads.wait(waitMs)
  }

  private findOrCreate (name: string): Stream {
    const existing = this.streams.get(name)
    if (existing !== undefined) return existing
    const stream = new Stream()
    this.streams.set(name, stream)
    return stream
  }

  private expireOld (stream: Stream): void {
    stream.earliest = Math.max(stream.earliest, stream.records.length - this.retention)
  }
}

function createPage (stream: Stream, from: number): LogPage {
  const records: LogRecord[] = []
  let bytes = 0
  for (const record of stream.records.slice(from, from + MAX_PAGE_RECORDS)) {
    bytes += stream.sizes[record.offset] ?? 0
    if (records.length > 0 && bytes > MAX_PAGE_BYTES) break
    records.push(record)
  }
  return { records, next: from + records.length, earliest: stream.earliest }
}
