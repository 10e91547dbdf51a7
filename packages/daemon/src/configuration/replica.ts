/**
 * The configuration as folded by this node, and what it can hand to peers.
 */
import { Ledger, NO_REVISION } from '@fireflymount/manifest/fold'
import type { Outcome, Verdict } from '@fireflymount/manifest/verdict'
import type { Clock } from '@fireflymount/platform/clock'
import type { LogRecord } from '@fireflymount/platform/log'
import type { RecordsPage } from '@fireflymount/protocol/message'
import { parseMark } from './archive.js'
import type { Revision } from './configuration.js'
import { Window } from './window.js'

/** Revisions kept for checkers. */
const HISTORY_COUNT = 10_000
/** Largest snapshot handed to a peer, below the largest frame between daemons. */
const SNAPSHOT_CHARACTERS = 3_000_000

/** A revision that came into effect, and when by the wall clock. */
export interface Applied {
  readonly revision: number
  readonly atMs: number
}

/** A publication whose outcome is awaited. */
interface Waiter {
  readonly publish: string
  readonly resolve: (outcome: Verdict | Outcome | undefined) => void
}

/** Everything that this node knows of the configuration. Offsets and revisions only grow. */
export class Replica {
  readonly ledger = new Ledger()
  /** Next offset to read. */
  position = 0
  /** Time at which the configuration was last known to be up to date. */
  confirmedAtMs = -Infinity
  /** Last record that the newest snapshot includes, and when this node learnt of it. */
  snapshotAsOf = -1
  snapshotAtMs: number
  private revision: Revision
  private readonly window = new Window()
  private readonly history: Applied[] = []
  private readonly listeners: Array<(revision: Revision) => void> = []
  private readonly waiting = new Set<Waiter>()

  constructor (private readonly clock: Clock) {
    this.snapshotAtMs = clock.now()
    this.revision = { revision: NO_REVISION, manifest: this.ledger.manifest() }
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
   * @returns the latest ones, in the order in which they came into effect
   */
  applied (): readonly Applied[] {
    return this.history
  }

  /**
   * Calls a listener after each new revision. Revisions that were read together are announced once.
   *
   * @param listener the listener
   */
  onRevision (listener: (revision: Revision) => void): void {
    this.listeners.push(listener)
  }

  /**
   * Waits for the verdict on a publication.
   *
   * @param publish its publish id
   * @param signal ends the wait
   * @returns the verdict; only the outcome if it comes from a snapshot; undefined if the wait was ended
   */
  awaitVerdict (publish: string, signal: AbortSignal): Promise<Verdict | Outcome | undefined> {
    return new Promise((resolve) => {
      const waiter = { publish, resolve }
      this.waiting.add(waiter)
      signal.addEventListener('abort', () => {
        this.waiting.delete(waiter)
        resolve(undefined)
      }, { once: true })
    })
  }

  /**
   * Folds records. Those before the position are skipped, and those after a gap too.
   *
   * @param records records in the order of their offsets
   */
  take (records: readonly LogRecord[]): void {
    for (const record of records) {
      if (record.offset === this.position) this.fold(record)
    }
    this.announce()
  }

  private fold (record: LogRecord): void {
    this.position += 1
    this.window.push(record)
    const asOf = parseMark(record.data)
    if (asOf !== undefined) {
      this.noteSnapshot(asOf)
      return
    }
    const verdict = this.ledger.apply(record.data, record.offset)
    for (const waiter of this.waiting) {
      if (waiter.publish === verdict.publish) waiter.resolve(verdict.repeated ? verdict.outcome : verdict)
    }
  }

  /**
   * Replaces the state by a newer one; does nothing if the state is not newer.
   *
   * @param asOf offset of the last record that the state includes
   * @param parts the state, as the ledger wrote it
   * @returns true if the state was replaced
   */
  restore (asOf: number, parts: readonly unknown[]): boolean {
    if (asOf < this.position) return false
    this.ledger.restore(parts)
    this.position = asOf + 1
    this.window.clear()
    this.announce()
    for (const waiter of this.waiting) {
      const outcome = this.ledger.outcomeOf(waiter.publish)
      if (outcome !== undefined) waiter.resolve(outcome)
    }
    return true
  }

  /**
   * Starts without any state at an offset, because everything before it is lost.
   *
   * @param offset the offset
   */
  skipTo (offset: number): void {
    this.position = offset
    this.window.clear()
  }

  /**
   * Notes that a whole snapshot was written.
   *
   * @param asOf offset of the last record that it includes
   */
  noteSnapshot (asOf: number): void {
    this.snapshotAsOf = Math.max(this.snapshotAsOf, asOf)
    this.snapshotAtMs = this.clock.now()
  }

  /**
   * Notes that the configuration was up to date.
   *
   * @param atMs a time at which it was
   */
  confirm (atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs)
  }

  /**
   * Returns the time since the configuration was last known to be up to date.
   *
   * @returns milliseconds
   */
  ageMs (): number {
    return this.clock.now() - this.confirmedAtMs
  }

  /**
   * Returns records for a peer that lacks them.
   *
   * @param offset offset of the first record that it lacks
   * @returns records, or a snapshot if they are not held any more; with the age of this node's knowledge if nothing is left
   */
  recordsFrom (offset: number): RecordsPage {
    if (offset >= this.position) return this.finishPage({ records: [], next: this.position })
    if (this.window.holds(offset)) {
      const records = this.window.slice(offset)
      return this.finishPage({ records: [...records], next: offset + records.length })
    }
    const parts = [...this.ledger.snapshot()]
    if (JSON.stringify(parts).length > SNAPSHOT_CHARACTERS) return { records: [], next: offset }
    return this.finishPage({ records: [], next: this.position, snapshot: { asOf: this.position - 1, parts } })
  }

  private finishPage (page: Pick<RecordsPage, 'records' | 'next' | 'snapshot'>): RecordsPage {
    const ageMs = this.ageMs()
    if (page.next < this.position || !Number.isFinite(ageMs)) return page
    return { ...page, ageMs }
  }

  private announce (): void {
    const revision = this.ledger.revision()
    if (revision === this.revision.revision) return
    this.revision = { revision, manifest: this.ledger.manifest() }
    this.history.push({ revision, atMs: this.clock.wall() })
    if (this.history.length > 2 * HISTORY_COUNT) this.history.splice(0, HISTORY_COUNT)
    for (const listener of this.listeners) listener(this.revision)
  }
}
