/**
 * Reads the stream of the configuration, and asks peers while the log does not serve.
 */
import { sleep, type Clock } from '@fireflymount/platform/clock'
import { LogFailure, type Log, type LogError, type LogPage } from '@fireflymount/platform/log'
import { findSnapshot } from '@fireflymount/platform/retained'
import { Backoff, limitTime, type Patience } from '@fireflymount/platform/retry'
import type { RecordsPage } from '@fireflymount/protocol/message'
import { err, ok, type Result } from 'neverthrow'
import { ARCHIVE, parsePart } from './archive.js'
import type { Replica } from './replica.js'

const HOLD_MS = 1000
/** Age after which the end of a busy stream is asked for without holding the read. */
const CONFIRM_MS = 500
/** Age after which peers are asked. */
const PEER_AFTER_MS = 1500
const PEER_POLL_MS = 500
/** Age after which all nodes are asked whether anyone knows more, and the time between two such rounds. */
const ALL_AFTER_MS = 3000
const ALL_POLL_MS = 1500
const IDLE_MS = 10

/** What a feed works on. */
export interface FeedOptions {
  readonly log: Log
  readonly stream: string
  readonly clock: Clock
  readonly replica: Replica
  readonly patience: Patience
  /** Asks peers for the records from an offset; undefined if none answered. */
  readonly askPeers: (from: number) => Promise<RecordsPage | undefined>
  /** Asks every node that may be alive for the records from an offset; undefined unless all answered. */
  readonly askAll: (from: number) => Promise<readonly RecordsPage[] | undefined>
  /** Time without any snapshot after which a node that knows nothing takes the state as lost. */
  readonly lossMs: number
}

/** Brings records from the log and from peers to the replica. */
export class Feed {
  /** Times that the offset had expired. */
  restarts = 0
  /** Times that records were lost for good. */
  gaps = 0
  private missingSinceMs: number | undefined
  private askedAllAtMs = -Infinity
  private restarting: Promise<Result<boolean, LogError>> | undefined

  constructor (private readonly options: FeedOptions) {}

  /**
   * Follows the log.
   *
   * @param signal ends the task
   */
  async follow (signal: AbortSignal): Promise<void> {
    const { clock, replica, patience } = this.options
    const backoff = new Backoff(patience)
    while (!signal.aborted) {
      const sentMs = clock.now()
      const read = await this.read(replica.ageMs() < CONFIRM_MS ? HOLD_MS : 0, signal)
      if (read.isErr()) {
        await backoff.wait(signal)
        continue
      }
      backoff.reset()
      if (read.value && clock.now() - sentMs < IDLE_MS) await sleep(IDLE_MS, signal)
    }
  }

  /**
   * Asks peers whenever the log has not confirmed the configuration for some time.
   *
   * @param signal ends the task
   */
  async followPeers (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.options.replica.ageMs() > PEER_AFTER_MS) await this.takeFromPeers()
      if (this.options.replica.ageMs() > ALL_AFTER_MS) await this.confirmWithAll()
      await sleep(PEER_POLL_MS, signal)
    }
  }

  /**
   * Reads the log once. Starts over from the newest whole snapshot if the offset expired.
   *
   * @param waitMs how long the service holds the read open while there is nothing new
   * @param signal ends the read early
   * @returns true if the end of the stream was reached
   */
  async read (waitMs: number, signal?: AbortSignal): Promise<Result<boolean, LogError>> {
    const { clock, replica } = this.options
    const sentMs = clock.now()
    const from = replica.position
    const page = await this.fetch(this.options.stream, from, waitMs, signal)
    if (page.isErr()) {
      if (page.error.failure !== LogFailure.Expired) return err(page.error)
      if (replica.position !== from) return ok(false)
      return await this.restart(page.error.earliest ?? 0)
    }
    this.missingSinceMs = undefined
    replica.take(page.value.records)
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
   * Asks peers once, and again while one of them has more records.
   */
  async takeFromPeers (): Promise<void> {
    const { clock, replica, askPeers } = this.options
    for (;;) {
      const sentMs = clock.now()
      const before = replica.position
      const page = await askPeers(before)
      if (page === undefined) return
      if (page.snapshot !== undefined) replica.restore(page.snapshot.asOf, page.snapshot.parts)
      replica.take(page.records)
      if (page.ageMs !== undefined && replica.position >= page.next) replica.confirm(sentMs - page.ageMs)
      if (replica.position === before || page.ageMs !== undefined) return
    }
  }

  /**
   * Confirms the configuration without the log: publications go through nodes, so that none was answered as accepted
   * before this round if every node that may be alive says that it knows of none.
   */
  async confirmWithAll (): Promise<void> {
    const { clock, replica, askAll } = this.options
    const sentMs = clock.now()
    if (sentMs - this.askedAllAtMs < ALL_POLL_MS) return
    this.askedAllAtMs = sentMs
    const pages = await askAll(replica.position)
    if (pages === undefined) return
    for (const page of pages) replica.take(page.records)
    if (pages.every((page) => page.next <= replica.position)) replica.confirm(sentMs)
  }

  private async fetch (
    stream: string, from: number, waitMs: number, signal?: AbortSignal
  ): Promise<Result<LogPage, LogError>> {
    const { log, patience } = this.options
    return await limitTime((limit) => log.read(stream, from, waitMs, limit), waitMs + patience.readMs, signal)
  }

  private restart (earliest: number): Promise<Result<boolean, LogError>> {
    this.restarting ??= this.startOver(earliest).finally(() => { this.restarting = undefined })
    return this.restarting
  }

  private async startOver (earliest: number): Promise<Result<boolean, LogError>> {
    const { replica } = this.options
    const found = await findSnapshot({ fetch: (from) => this.fetch(ARCHIVE, from, 0), parse: parsePart }, 0)
    if (found.isErr()) return err(found.error)
    const { snapshot } = found.value
    if (snapshot !== undefined && snapshot.asOf + 1 >= earliest) {
      if (replica.restore(snapshot.asOf, snapshot.values)) this.restarts += 1
      return ok(false)
    }
    await this.takeFromPeers()
    if (replica.position >= earliest) return ok(false)
    this.checkLoss(earliest)
    return err({ failure: LogFailure.Expired, detail: 'Neither the log nor a peer has the state.', earliest })
  }

  /** Only a node that never had a state may start without one: a configuration in effect is never taken back. */
  private checkLoss (earliest: number): void {
    const { clock, replica, lossMs } = this.options
    this.missingSinceMs ??= clock.now()
    if (replica.position > 0 || clock.now() - this.missingSinceMs < lossMs) return
    this.gaps += 1
    replica.skipTo(earliest)
  }
}
