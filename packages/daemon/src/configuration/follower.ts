/**
 * The configuration of a node that follows the log.
 */
import type { Delta } from '@fireflymount/manifest/delta'
import type { Section } from '@fireflymount/manifest/manifest'
import type { Clock } from '@fireflymount/platform/clock'
import type { Log } from '@fireflymount/platform/log'
import { DEFAULT_PATIENCE, type Patience } from '@fireflymount/platform/retry'
import type { RecordsPage } from '@fireflymount/protocol/message'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Result } from 'neverthrow'
import { Archive } from './archive.js'
import { Configuration, type Revision } from './configuration.js'
import { Feed } from './feed.js'
import { Publisher } from './publisher.js'
import { Replica, type Applied } from './replica.js'

const STREAM = 'configuration'
const SNAPSHOT_MS = 300_000
const SNAPSHOT_RECORDS = 2000
const PUBLISH_MS = 10_000

/** What a follower works on. */
export interface FollowerOptions {
  readonly log: Log
  readonly clock: Clock
  /** Asks peers for the records from an offset; undefined if none answered. */
  readonly askPeers: (from: number) => Promise<RecordsPage | undefined>
  /** Asks every node that may be alive; undefined unless all answered. Without it, only the log keeps a node fresh. */
  readonly askAll?: (from: number) => Promise<readonly RecordsPage[] | undefined>
  /** Tells whether this node is the one that writes snapshots. */
  readonly isWriter: () => boolean
  /** Time between snapshots; the log must retain records for four times as long. */
  readonly snapshotMs?: number
  /** Records after which a snapshot is written early; the log must retain more. */
  readonly snapshotRecords?: number
  /** Longest time until a publication is answered. */
  readonly publishMs?: number
  readonly patience?: Patience
}

/** Totals since start. */
export interface FollowerCounters {
  readonly snapshots: number
  readonly restarts: number
  readonly gaps: number
}

/**
 * Folds the stream of the configuration and publishes to it.
 *
 * @example
 * const configuration = new Follower({ log, clock, askPeers, isWriter: () => false })
 * configuration.run(stop.signal)
 */
export class Follower extends Configuration {
  private readonly replica: Replica
  private readonly feed: Feed
  private readonly archive: Archive
  private readonly publisher: Publisher

  constructor (options: FollowerOptions) {
    super()
    const { log, clock, askPeers, isWriter, patience = DEFAULT_PATIENCE } = options
    const askAll = options.askAll ?? (() => Promise.resolve(undefined))
    const { snapshotMs = SNAPSHOT_MS, snapshotRecords = SNAPSHOT_RECORDS, publishMs = PUBLISH_MS } = options
    const replica = new Replica(clock)
    const common = { log, stream: STREAM, clock, replica, patience }
    this.replica = replica
    this.feed = new Feed({ ...common, askPeers, askAll, lossMs: 4 * snapshotMs })
    this.archive = new Archive({ ...common, isWriter, snapshotMs, snapshotRecords })
    this.publisher = new Publisher({ ...common, feed: this.feed, publishMs })
  }

  current (): Revision {
    return this.replica.current()
  }

  changedAt (section: string, name: string): number | undefined {
    return this.replica.ledger.changedAt(section as Section, name)
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
    await Promise.all([this.feed.follow(signal), this.feed.followPeers(signal), this.archive.run(signal)])
  }

  /**
   * Lists the revisions that were in effect on this node, for checkers.
   *
   * @returns the latest ones, oldest first
   */
  applied (): readonly Applied[] {
    return this.replica.applied()
  }

  /**
   * Returns the totals of this node.
   *
   * @returns the totals
   */
  counters (): FollowerCounters {
    return { snapshots: this.archive.written, restarts: this.feed.restarts, gaps: this.feed.gaps }
  }
}
