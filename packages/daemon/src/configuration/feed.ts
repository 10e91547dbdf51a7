/**
 * Keeps the replica of the configuration up to date from the log, and from peers while the log is unavailable.
 */
import { sleep, type Clock } from '@fireflymount/service-clients/clock'
import { LogFailure, type Log, type LogError, type LogPage } from '@fireflymount/service-clients/log'
import { findSnapshot } from '@fireflymount/service-clients/snapshot-search'
import { Backoff, withTimeout, type LogCallSettings } from '@fireflymount/service-clients/retry'
import type { RecordsPage } from '@fireflymount/protocol/message'
import { err, ok, type Result } from 'neverthrow'
import { SNAPSHOT_STREAM, parseSnapshotPart } from './snapshot-writer.js'
import type { Replica } from './replica.js'

/** Time for which the log service holds a read open while there are no new records. */
const LONG_POLL_MS = 1000
/**
 * Age of the configuration up to which reads are long polls. Above it, reads return at once: only an empty page confirms the
 * configuration, and a long poll of a busy stream always returns records.
 */
const MAX_LONG_POLL_AGE_MS = 500
/** Age of the configuration after which peers are asked for records. */
const PEER_FALLBACK_AGE_MS = 1500
const PEER_POLL_INTERVAL_MS = 500
/** Age of the configuration after which all nodes are asked whether any of them has newer records. */
const ALL_NODES_FALLBACK_AGE_MS = 3000
const ALL_NODES_POLL_INTERVAL_MS = 1500
/** Minimum time between two reads if the first found no new records. */
const MIN_READ_INTERVAL_MS = 10

/** Constructor arguments of `Feed`. */
export interface FeedOptions {
  readonly log: Log
  readonly stream: string
  readonly clock: Clock
  readonly replica: Replica
  readonly callSettings: LogCallSettings
  /** Asks peers for the records from an offset; returns undefined if none responded. */
  readonly askPeers: (from: number) => Promise<RecordsPage | undefined>
  /** Asks every node that may be alive for the records from an offset; returns undefined unless all responded. */
  readonly askAllNodes: (from: number) => Promise<readonly RecordsPage[] | undefined>
  /** Time without any snapshot after which a node that has no state treats the state as lost. */
  readonly lossTimeoutMs: number
}

/** Applies records from the log and from peers to the replica. */
export class Feed {
  /** Number of restarts from a snapshot because the next offset had expired. */
  restarts = 0
  /** Number of times that records were skipped because they were permanently lost. */
  gaps = 0
  private stateMissingSinceMs: number | undefined
  private allNodesAskedAtMs = -Infinity
  private recovery: Promise<Result<boolean, LogError>> | undefined

  constructor (private readonly options: FeedOptions) {}

  /**
   * Reads new records from the log until the signal is aborted.
   *
   * @param signal stops the reading
   */
  async follow (signal: AbortSignal): Promise<void> {
    const { clock, replica, callSettings } = this.options
    const backoff = new Backoff(callSettings)
    while (!signal.aborted) {
      const sentMs = clock.now()
      const read = await this.read(replica.ageMs() < MAX_LONG_POLL_AGE_MS ? LONG_POLL_MS : 0, signal)
      if (read.isErr()) {
        await backoff.wait(signal)
        continue
      }
      backoff.reset()
      if (read.value && clock.now() - sentMs < MIN_READ_INTERVAL_MS) await sleep(MIN_READ_INTERVAL_MS, signal)
    }
  }

  /**
   * Asks peers, and later all nodes, while the log has not recently confirmed the configuration.
   *
   * @param signal stops the polling
   */
  async followPeers (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.options.replica.ageMs() > PEER_FALLBACK_AGE_MS) await this.fetchFromPeers()
      if (this.options.replica.ageMs() > ALL_NODES_FALLBACK_AGE_MS) await this.confirmWithAllNodes()
      await sleep(PEER_POLL_INTERVAL_MS, signal)
    }
  }

  /**
   * Reads one page from the log. If the offset has expired, restores the newest complete snapshot instead.
   *
   * @param waitMs how long the service holds the read open while there are no new records
   * @param signal cancels the read
   * @returns true if the end of the stream was reached
   */
  async read (waitMs: number, signal?: AbortSignal): Promise<Result<boolean, LogError>> {
    const { clock, replica } = this.options
    const sentMs = clock.now()
    const from = replica.position
    const page = await this.fetch(this.options.stream, from, waitMs, signal)
    if (page.isErr()) {
      if (page.error.failure !== LogFailure.Expired) return err(page.error)
      // Another read, a peer's records or a publication has moved the position in the meantime.
      if (replica.position !== from) return ok(false)
      return await this.recover(page.error.earliest ?? 0)
    }
    this.stateMissingSinceMs = undefined
    replica.applyRecords(page.value.records)
    if (page.value.records.length > 0) return ok(false)
    replica.confirm(sentMs)
    return ok(true)
  }

  /**
   * Reads to the end of the stream.
   *
   * @returns the first failure, if any
   */
  async catchUp (): Promise<Result<void, LogError>> {
    for (;;) {
      const read = await this.read(0)
      if (read.isErr()) return err(read.error)
      if (read.value) return ok(undefined)
    }
  }

  /**
   * Requests records from peers, page by page, until a page is the last one or contains nothing newer.
   */
  async fetchFromPeers (): Promise<void> {
    const { clock, replica, askPeers } = this.options
    for (;;) {
      const sentMs = clock.now()
      const before = replica.position
      const page = await askPeers(before)
      if (page === undefined) return
      if (page.snapshot !== undefined) replica.restore(page.snapshot.asOf, page.snapshot.parts)
      replica.applyRecords(page.records)
      if (page.ageMs !== undefined && replica.position >= page.next) replica.confirm(sentMs - page.ageMs)
      if (replica.position === before || page.ageMs !== undefined) return
    }
  }

  /**
   * Confirms the configuration without the log, if every node that may be alive responded and no page goes beyond this node's
   * position. Every publication goes through a node. A publication known only to nodes that have since terminated is not
   * noticed.
   */
  async confirmWithAllNodes (): Promise<void> {
    const { clock, replica, askAllNodes } = this.options
    const sentMs = clock.now()
    if (sentMs - this.allNodesAskedAtMs < ALL_NODES_POLL_INTERVAL_MS) return
    this.allNodesAskedAtMs = sentMs
    const pages = await askAllNodes(replica.position)
    if (pages === undefined) return
    for (const page of pages) replica.applyRecords(page.records)
    if (pages.every((page) => page.next <= replica.position)) replica.confirm(sentMs)
  }

  private async fetch (
    stream: string, from: number, waitMs: number, signal?: AbortSignal
  ): Promise<Result<LogPage, LogError>> {
    const { log, callSettings } = this.options
    return await withTimeout((limit) => log.read(stream, from, waitMs, limit), waitMs + callSettings.readTimeoutMs, signal)
  }

  private recover (earliest: number): Promise<Result<boolean, LogError>> {
    this.recovery ??= this.recoverFromSnapshot(earliest).finally(() => { this.recovery = undefined })
    return this.recovery
  }

  private async recoverFromSnapshot (earliest: number): Promise<Result<boolean, LogError>> {
    const { replica } = this.options
    const found = await findSnapshot({ fetch: (from) => this.fetch(SNAPSHOT_STREAM, from, 0), parse: parseSnapshotPart }, 0)
    if (found.isErr()) return err(found.error)
    const { snapshot } = found.value
    if (snapshot !== undefined && snapshot.asOf + 1 >= earliest) {
      if (replica.restore(snapshot.asOf, snapshot.values)) this.restarts += 1
      return ok(false)
    }
    await this.fetchFromPeers()
    if (replica.position >= earliest) return ok(false)
    this.skipIfLost(earliest)
    return err({ failure: LogFailure.Expired, detail: 'Neither the log nor a peer has the expired records.', earliest })
  }

  /** Skips lost records after a timeout, only on a node that never had any state: a configuration in effect is never reverted. */
  private skipIfLost (earliest: number): void {
    const { clock, replica, lossTimeoutMs } = this.options
    this.stateMissingSinceMs ??= clock.now()
    if (replica.position > 0 || clock.now() - this.stateMissingSinceMs < lossTimeoutMs) return
    this.gaps += 1
    replica.skipTo(earliest)
  }
}
