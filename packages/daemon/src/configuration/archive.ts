/**
 * Snapshots of the configuration. They stand in a stream of their own, which only nodes that start over read; a short
 * mark in the stream of the configuration tells the others that one was written.
 */
import { randomUUID } from 'node:crypto'
import type { SnapshotPart } from '@fireflymount/platform/assembly'
import { sleep, type Clock } from '@fireflymount/platform/clock'
import type { Log } from '@fireflymount/platform/log'
import { Backoff, limitTime, type Patience } from '@fireflymount/platform/retry'
import { Codec, exactly, number, string, unknown } from 'purify-ts/Codec'
import type { Replica } from './replica.js'

/** The stream of the snapshots. */
export const ARCHIVE = 'configuration.snapshots'

/** Longest time that one record is tried. */
const RECORD_MS = 10_000
const POLL_MS = 1000

/** The record by which the stream of the configuration tells that a whole snapshot was written. */
export const MarkCodec = Codec.interface({ entry: exactly('archived'), asOf: number })

/** One part of a snapshot, as it stands in its stream. */
export const PartCodec = Codec.interface({
  entry: exactly('snapshot'),
  snapshot: string,
  part: number,
  parts: number,
  asOf: number,
  value: unknown
})

/**
 * Reads a record as a part of a snapshot.
 *
 * @param data the record
 * @returns the part, or undefined if the record is something else
 */
export function parsePart (data: unknown): SnapshotPart | undefined {
  const part = PartCodec.decode(data)
  return part.isRight() ? part.extract() as SnapshotPart : undefined
}

/**
 * Reads a record as the mark of a whole snapshot.
 *
 * @param data the record
 * @returns offset of the last record that the snapshot includes, or undefined if the record is something else
 */
export function parseMark (data: unknown): number | undefined {
  const mark = MarkCodec.decode(data)
  return mark.isRight() ? (mark.extract() as { asOf: number }).asOf : undefined
}

/** What an archive works on. */
export interface ArchiveOptions {
  readonly log: Log
  /** The stream of the configuration. */
  readonly stream: string
  readonly clock: Clock
  readonly replica: Replica
  readonly patience: Patience
  /** Tells whether this node is the one that writes snapshots. */
  readonly isWriter: () => boolean
  readonly snapshotMs: number
  readonly snapshotRecords: number
}

/** Writes the configuration again well inside the retention of the log. */
export class Archive {
  /** Snapshots written whole. */
  written = 0
  private readonly token = randomUUID().slice(0, 8)

  constructor (private readonly options: ArchiveOptions) {}

  /**
   * Writes snapshots when they are due.
   *
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isDue()) await this.write(signal)
      await sleep(Math.min(POLL_MS, this.options.snapshotMs / 4), signal)
    }
  }

  /** Other nodes step in when the writer has not written for twice the time. A node that lags writes nothing. */
  private isDue (): boolean {
    const { replica, clock, isWriter, snapshotMs, snapshotRecords } = this.options
    if (replica.position === 0 || replica.ageMs() > snapshotMs) return false
    const ageMs = clock.now() - replica.snapshotAtMs
    if (!isWriter()) return ageMs >= 2 * snapshotMs
    return ageMs >= snapshotMs || replica.position - replica.snapshotAsOf > snapshotRecords
  }

  private async write (signal: AbortSignal): Promise<void> {
    const { replica } = this.options
    const asOf = replica.position - 1
    const values = replica.ledger.snapshot()
    const snapshot = `${this.token}-${asOf}`
    for (const [part, value] of values.entries()) {
      const record = { entry: 'snapshot', snapshot, part, parts: values.length, asOf, value }
      if (!await this.append(ARCHIVE, record, signal)) return
    }
    this.written += 1
    replica.noteSnapshot(asOf)
    await this.append(this.options.stream, { entry: 'archived', asOf }, signal)
  }

  private async append (stream: string, record: unknown, signal: AbortSignal): Promise<boolean> {
    const { log, clock, patience } = this.options
    const backoff = new Backoff(patience)
    const endMs = clock.now() + RECORD_MS
    while (!signal.aborted && clock.now() < endMs) {
      const answer = await limitTime(() => log.append(stream, record), patience.appendMs, signal)
      if (answer.isOk()) return true
      await backoff.wait(signal)
    }
    return false
  }
}
