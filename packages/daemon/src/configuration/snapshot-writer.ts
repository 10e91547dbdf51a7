/**
 * Snapshots of the configuration. They are stored in a separate stream, read only by nodes whose next offset has expired. A
 * short marker record in the stream of the configuration informs the other nodes that a snapshot was written.
 */
import { randomUUID } from 'node:crypto'
import type { SnapshotPart } from '@fireflymount/service-clients/snapshot-assembler'
import { sleep, type Clock } from '@fireflymount/service-clients/clock'
import type { Log } from '@fireflymount/service-clients/log'
import { Backoff, withTimeout, type LogCallSettings } from '@fireflymount/service-clients/retry'
import { Codec, exactly, number, string, unknown } from 'purify-ts/Codec'
import type { Replica } from './replica.js'

/** Name of the stream that holds the snapshots. */
export const SNAPSHOT_STREAM = 'configuration.snapshots'

/** Longest time for which the append of one record is retried. */
const RECORD_TIMEOUT_MS = 10_000
const MAX_POLL_INTERVAL_MS = 1000

/** The marker record in the stream of the configuration after a complete snapshot. */
export const SnapshotMarkerCodec = Codec.interface({ entry: exactly('archived'), asOf: number })

/** One part of a snapshot, as stored in the snapshot stream. */
export const SnapshotPartCodec = Codec.interface({
  entry: exactly('snapshot'),
  snapshot: string,
  part: number,
  parts: number,
  asOf: number,
  value: unknown
})

/**
 * Parses a record as a part of a snapshot.
 *
 * @param data the record
 * @returns the part, or undefined if the record is something else
 */
export function parseSnapshotPart (data: unknown): SnapshotPart | undefined {
  const part = SnapshotPartCodec.decode(data)
  return part.isRight() ? part.extract() as SnapshotPart : undefined
}

/**
 * Parses a record as the marker of a complete snapshot.
 *
 * @param data the record
 * @returns offset of the last record that the snapshot includes, or undefined if the record is something else
 */
export function parseSnapshotMarker (data: unknown): number | undefined {
  const marker = SnapshotMarkerCodec.decode(data)
  return marker.isRight() ? (marker.extract() as { asOf: number }).asOf : undefined
}

/** Constructor arguments of `SnapshotWriter`. */
export interface SnapshotWriterOptions {
  readonly log: Log
  /** Name of the stream of the configuration. */
  readonly stream: string
  readonly clock: Clock
  readonly replica: Replica
  readonly callSettings: LogCallSettings
  /** Returns true on the node that normally writes the snapshots. Other nodes write one only if there was none for two intervals. */
  readonly isSnapshotWriter: () => boolean
  readonly snapshotIntervalMs: number
  readonly maxRecordsBetweenSnapshots: number
}

/** Writes snapshots of the configuration before the log expires the records that they replace. */
export class SnapshotWriter {
  /** Number of complete snapshots written. */
  snapshotsWritten = 0
  private readonly writerId = randomUUID().slice(0, 8)

  constructor (private readonly options: SnapshotWriterOptions) {}

  /**
   * Writes snapshots when they are due.
   *
   * @param signal stops the writer
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isSnapshotDue()) await this.write(signal)
      await sleep(Math.min(MAX_POLL_INTERVAL_MS, this.options.snapshotIntervalMs / 4), signal)
    }
  }

  /**
   * All nodes except the designated writer write a snapshot only if there was none for two intervals. A node whose configuration
   * was not confirmed within one interval writes none.
   */
  private isSnapshotDue (): boolean {
    const { replica, clock, isSnapshotWriter, snapshotIntervalMs, maxRecordsBetweenSnapshots } = this.options
    if (replica.position === 0 || replica.ageMs() > snapshotIntervalMs) return false
    const ageMs = clock.now() - replica.snapshotAtMs
    if (!isSnapshotWriter()) return ageMs >= 2 * snapshotIntervalMs
    return ageMs >= snapshotIntervalMs || replica.position - replica.snapshotAsOf > maxRecordsBetweenSnapshots
  }

  private async write (signal: AbortSignal): Promise<void> {
    const { replica } = this.options
    const asOf = replica.position - 1
    const values = replica.state.snapshot()
    const snapshot = `${this.writerId}-${asOf}`
    for (const [part, value] of values.entries()) {
      const record = { entry: 'snapshot', snapshot, part, parts: values.length, asOf, value }
      if (!await this.append(SNAPSHOT_STREAM, record, signal)) return
    }
    this.snapshotsWritten += 1
    replica.recordSnapshot(asOf)
    await this.append(this.options.stream, { entry: 'archived', asOf }, signal)
  }

  private async append (stream: string, record: unknown, signal: AbortSignal): Promise<boolean> {
    const { log, clock, callSettings } = this.options
    const backoff = new Backoff(callSettings)
    const endMs = clock.now() + RECORD_TIMEOUT_MS
    while (!signal.aborted && clock.now() < endMs) {
      const answer = await withTimeout(() => log.append(stream, record), callSettings.appendTimeoutMs, signal)
      if (answer.isOk()) return true
      await backoff.wait(signal)
    }
    return false
  }
}
