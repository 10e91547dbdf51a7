/**
 * This node's replica of the configuration. The node builds it from the records, and serves pages of records to peers.
 */
import { ConfigurationState, NO_REVISION } from '@fireflymount/manifest/configuration-state'
import type { Outcome, DeltaResult } from '@fireflymount/manifest/delta-result'
import type { Clock } from '@fireflymount/service-clients/clock'
import type { LogRecord } from '@fireflymount/service-clients/log'
import type { RecordsPage } from '@fireflymount/protocol/message'
import { parseSnapshotMarker } from './snapshot-writer.js'
import type { Revision } from './configuration.js'
import { RecordWindow } from './record-window.js'

/**
 * Minimum number of revisions kept, for consistency checks in tests. Once the history is longer than twice this number, this many
 * of the oldest revisions are removed.
 */
const MIN_HISTORY_REVISIONS = 10_000
/** Largest snapshot sent to a peer; it stays below the largest frame between daemons. */
const MAX_SNAPSHOT_CHARACTERS = 3_000_000

/** A revision that came into effect, and the wall-clock time at which it did. */
export interface AppliedRevision {
  readonly revision: number
  readonly atMs: number
}

/** A caller that waits for the result of a publication. */
interface ResultWaiter {
  readonly publish: string
  readonly resolve: (outcome: DeltaResult | Outcome | undefined) => void
}

/** The local state of the configuration. The position and the revision never decrease. */
export class Replica {
  /** Applies the deltas; holds the manifest, the outcomes of publications and the revisions of the objects. */
  readonly state = new ConfigurationState()
  /** Next offset to read. */
  position = 0
  /** Time at which the configuration was last known to be up to date. */
  confirmedAtMs = -Infinity
  /**
   * Offset of the last record included in the newest known snapshot, whether read from a marker or written by this node; -1 if
   * none is known.
   */
  snapshotAsOf = -1
  /** Time at which this node last read a marker or wrote a snapshot; initially the time of its start. */
  snapshotAtMs: number
  private revision: Revision
  private readonly window = new RecordWindow()
  private readonly history: AppliedRevision[] = []
  private readonly listeners: Array<(revision: Revision) => void> = []
  private readonly waiters = new Set<ResultWaiter>()

  constructor (private readonly clock: Clock) {
    this.snapshotAtMs = clock.now()
    this.revision = { revision: NO_REVISION, manifest: this.state.manifest() }
  }

  /**
   * Returns the revision in effect.
   *
   * @returns the revision
   */
  current (): Revision {
    return this.revision
  }

  /**
   * Lists the revisions that were in effect on this node.
   *
   * @returns the most recent ones, in the order in which they came into effect
   */
  applied (): readonly AppliedRevision[] {
    return this.history
  }

  /**
   * Calls a listener after each new revision. Revisions that were read in one page cause a single call, with the last of them.
   *
   * @param listener the listener
   */
  onRevision (listener: (revision: Revision) => void): void {
    this.listeners.push(listener)
  }

  /**
   * Waits for the result of a publication.
   *
   * @param publish id of the publication
   * @param signal cancels the wait
   * @returns the result, or only the outcome if it is known from a snapshot or a repeated record; undefined if cancelled
   */
  awaitResult (publish: string, signal: AbortSignal): Promise<DeltaResult | Outcome | undefined> {
    return new Promise((resolve) => {
      const waiter = { publish, resolve }
      this.waiters.add(waiter)
      signal.addEventListener('abort', () => {
        this.waiters.delete(waiter)
        resolve(undefined)
      }, { once: true })
    })
  }

  /**
   * Applies records. Records before the position and records after a gap are skipped.
   *
   * @param records records in the order of their offsets
   */
  applyRecords (records: readonly LogRecord[]): void {
    for (const record of records) {
      if (record.offset === this.position) this.applyRecord(record)
    }
    this.notifyListeners()
  }

  private applyRecord (record: LogRecord): void {
    this.position += 1
    this.window.push(record)
    const asOf = parseSnapshotMarker(record.data)
    if (asOf !== undefined) {
      this.recordSnapshot(asOf)
      return
    }
    const deltaResult = this.state.apply(record.data, record.offset)
    for (const waiter of this.waiters) {
      if (waiter.publish === deltaResult.publish) waiter.resolve(deltaResult.repeated ? deltaResult.outcome : deltaResult)
    }
  }

  /**
   * Replaces the state by a snapshot; does nothing if the snapshot is not newer than the state.
   *
   * @param asOf offset of the last record that the snapshot includes
   * @param parts the parts of the snapshot, as written by the configuration state
   * @returns true if the state was replaced
   */
  restore (asOf: number, parts: readonly unknown[]): boolean {
    if (asOf < this.position) return false
    this.state.restore(parts)
    this.position = asOf + 1
    this.window.clear()
    this.notifyListeners()
    for (const waiter of this.waiters) {
      const outcome = this.state.outcomeOf(waiter.publish)
      if (outcome !== undefined) waiter.resolve(outcome)
    }
    return true
  }

  /**
   * Moves the position to an offset and leaves the state empty, because all earlier records are lost.
   *
   * @param offset the offset
   */
  skipTo (offset: number): void {
    this.position = offset
    this.window.clear()
  }

  /**
   * Records that a complete snapshot was written.
   *
   * @param asOf offset of the last record that it includes
   */
  recordSnapshot (asOf: number): void {
    this.snapshotAsOf = Math.max(this.snapshotAsOf, asOf)
    this.snapshotAtMs = this.clock.now()
  }

  /**
   * Records that the configuration was up to date at a point in time.
   *
   * @param atMs the time
   */
  confirm (atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs)
  }

  /**
   * Returns the time since the configuration was last known to be up to date.
   *
   * @returns milliseconds; Infinity if it never was
   */
  ageMs (): number {
    return this.clock.now() - this.confirmedAtMs
  }

  /**
   * Returns records for a peer whose replica is behind.
   *
   * @param offset offset of the first record that the peer lacks
   * @returns a page of records, or a snapshot if those records are no longer held; the last page carries the age of this
   *   replica. If that snapshot is too large for a frame, the page is empty and has no age.
   */
  recordsFrom (offset: number): RecordsPage {
    if (offset >= this.position) return this.finishPage({ records: [], next: this.position })
    if (this.window.contains(offset)) {
      const records = this.window.slice(offset)
      return this.finishPage({ records: [...records], next: offset + records.length })
    }
    const parts = [...this.state.snapshot()]
    if (JSON.stringify(parts).length > MAX_SNAPSHOT_CHARACTERS) return { records: [], next: offset }
    return this.finishPage({ records: [], next: this.position, snapshot: { asOf: this.position - 1, parts } })
  }

  private finishPage (page: Pick<RecordsPage, 'records' | 'next' | 'snapshot'>): RecordsPage {
    const ageMs = this.ageMs()
    if (page.next < this.position || !Number.isFinite(ageMs)) return page
    return { ...page, ageMs }
  }

  private notifyListeners (): void {
    const revision = this.state.revision()
    if (revision === this.revision.revision) return
    this.revision = { revision, manifest: this.state.manifest() }
    this.history.push({ revision, atMs: this.clock.wall() })
    if (this.history.length > 2 * MIN_HISTORY_REVISIONS) this.history.splice(0, MIN_HISTORY_REVISIONS)
    for (const listener of this.listeners) listener(this.revision)
  }
}
