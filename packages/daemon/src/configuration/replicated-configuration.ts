/**
 * The configuration of a node, replicated from the log.
 */
import type { Delta } from '@fireflymount/manifest/delta'
import type { Section } from '@fireflymount/manifest/manifest'
import type { Clock } from '@fireflymount/service-clients/clock'
import type { Log } from '@fireflymount/service-clients/log'
import { DEFAULT_LOG_CALL_SETTINGS, type LogCallSettings } from '@fireflymount/service-clients/retry'
import type { RecordsPage } from '@fireflymount/protocol/message'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Result } from 'neverthrow'
import { SnapshotWriter } from './snapshot-writer.js'
import { Configuration, type Revision } from './configuration.js'
import { Feed } from './feed.js'
import { Publisher } from './publisher.js'
import { Replica, type AppliedRevision } from './replica.js'

const CONFIGURATION_STREAM = 'configuration'
const SNAPSHOT_INTERVAL_MS = 300_000
const MAX_RECORDS_BETWEEN_SNAPSHOTS = 2000
const PUBLISH_TIMEOUT_MS = 10_000

/** Constructor arguments of `ReplicatedConfiguration`. */
export interface ReplicatedConfigurationOptions {
  readonly log: Log
  readonly clock: Clock
  /** Asks peers for the records from an offset; returns undefined if none responded. */
  readonly askPeers: (from: number) => Promise<RecordsPage | undefined>
  /**
   * Asks every node that may be alive; returns undefined unless all responded. If absent, only the log, directly or through a
   * peer that read it, confirms that the configuration is up to date.
   */
  readonly askAllNodes?: (from: number) => Promise<readonly RecordsPage[] | undefined>
  /** Returns true on the node that normally writes the snapshots. Other nodes write one only if there was none for two intervals. */
  readonly isSnapshotWriter: () => boolean
  /**
   * Time between snapshots. The log must retain records for at least four times as long. A node that never had any state treats
   * expired records as lost if it finds no snapshot for four intervals (`lossTimeoutMs`).
   */
  readonly snapshotIntervalMs?: number
  /** Number of records after which a snapshot is written early. The log must retain more records than that. */
  readonly maxRecordsBetweenSnapshots?: number
  /** Longest wait for the outcome of a publication. */
  readonly publishTimeoutMs?: number
  readonly callSettings?: LogCallSettings
}

/** Totals since the start of the node. */
export interface ReplicationCounters {
  readonly snapshots: number
  readonly restarts: number
  readonly gaps: number
}

/**
 * Builds the configuration from its stream in the log and publishes changes to that stream.
 *
 * @example
 * const configuration = new ReplicatedConfiguration({ log, clock, askPeers, isSnapshotWriter: () => false })
 * configuration.run(stop.signal)
 */
export class ReplicatedConfiguration extends Configuration {
  private readonly replica: Replica
  private readonly feed: Feed
  private readonly snapshotWriter: SnapshotWriter
  private readonly publisher: Publisher

  constructor (options: ReplicatedConfigurationOptions) {
    super()
    const { log, clock, askPeers, isSnapshotWriter, callSettings = DEFAULT_LOG_CALL_SETTINGS } = options
    const askAllNodes = options.askAllNodes ?? (() => Promise.resolve(undefined))
    const {
      snapshotIntervalMs = SNAPSHOT_INTERVAL_MS,
      maxRecordsBetweenSnapshots = MAX_RECORDS_BETWEEN_SNAPSHOTS,
      publishTimeoutMs = PUBLISH_TIMEOUT_MS
    } = options
    const replica = new Replica(clock)
    const common = { log, stream: CONFIGURATION_STREAM, clock, replica, callSettings }
    this.replica = replica
    this.feed = new Feed({ ...common, askPeers, askAllNodes, lossTimeoutMs: 4 * snapshotIntervalMs })
    this.snapshotWriter = new SnapshotWriter({ ...common, isSnapshotWriter, snapshotIntervalMs, maxRecordsBetweenSnapshots })
    this.publisher = new Publisher({ ...common, feed: this.feed, publishTimeoutMs })
  }

  current (): Revision {
    return this.replica.current()
  }

  changedAt (section: string, name: string): number | undefined {
    return this.replica.state.changedAt(section as Section, name)
  }

  ageMs (): number {
    return this.replica.ageMs()
  }

  onRevision (listener: (revision: Revision) => void): void {
    this.replica.onRevision(listener)
  }

  publish (delta: Delta): Promise<Result<Revision, Refusal>> {
    return this.publisher.publish(delta)
  }

  recordsFrom (offset: number): RecordsPage {
    return this.replica.recordsFrom(offset)
  }

  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.feed.follow(signal), this.feed.followPeers(signal), this.snapshotWriter.run(signal)])
  }

  /**
   * Lists the revisions that were in effect on this node, for consistency checks in tests.
   *
   * @returns the most recent ones, oldest first
   */
  applied (): readonly AppliedRevision[] {
    return this.replica.applied()
  }

  /**
   * Returns the totals of this node.
   *
   * @returns the totals
   */
  counters (): ReplicationCounters {
    return { snapshots: this.snapshotWriter.snapshotsWritten, restarts: this.feed.restarts, gaps: this.feed.gaps }
  }
}
