/**
 * Group commit of the owner's journal writes: one fenced append at a time, with all changes since the previous one.
 */
import { err, ok, type Result } from 'neverthrow'
import { sleep, type Clock, type Stamp } from '../clock.js'
import { StoreFailure, Topic, type KeyedRecord, type Store } from '../ports/store.js'
import type { Encoder } from './job-changes.js'
import { Subject, appendRankOf, encodeRecord, jobOf } from './record.js'

/** Bounds of the exponential backoff after a failed append. */
const MIN_RETRY_DELAY_MS = 20
const MAX_RETRY_DELAY_MS = 250
/**
 * Maximum size of one append, unless a single record, or the records of one job, are larger. It is below the platform's smallest limit on the size of a call.
 */
export const MAX_APPEND_BYTES = 1024 * 1024
/** Minimum interval between the starts of two appends. Each append costs a call to the store, so changes in between share one. */
const APPEND_INTERVAL_MS = 20
/**
 * Time without an append after which the owner writes a heartbeat. Candidates usually claim the cell after two missing heartbeats;
 * see election.ts for the exceptions.
 */
export const HEARTBEAT_INTERVAL_MS = 350

/** Error of a commit that is abandoned: the owner was superseded or closed, or the store rejected an append for good. */
export class CommitAbandoned {}

interface Waiter {
  readonly resolve: (result: Result<void, CommitAbandoned>) => void
}

/** The result of one append. */
enum Outcome {
  Written,
  /** The records were certainly not written. */
  Refused,
  /** The epoch is fenced, the store rejected the append for good, or the signal aborted. */
  Abandoned
}

/** Writes to the journal for one epoch of ownership. */
export class Writer {
  /** The last time at which the store was known to accept this epoch. */
  confirmedAt: Stamp
  private pending = new Map<string, Encoder>()
  /** Changes in an append that is in flight or may still take effect. */
  private inFlight: ReadonlyMap<string, Encoder> = new Map()
  private waiters: Waiter[] = []
  /** Waiters of the append that is in flight. */
  private inFlightWaiters: Waiter[] = []
  private wake: (() => void) | undefined
  private retryDelayMs = MIN_RETRY_DELAY_MS
  /** Steady time at which the last append started. */
  private appendStartedMs = -Infinity
  private stopped = false

  constructor (
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly epoch: number,
    private sequence: number,
    confirmedAt: Stamp,
    private readonly onAppended: (bytes: number, tookMs: number) => void
  ) {
    this.confirmedAt = confirmedAt
  }

  /**
   * Commits changed keys. Several commits of one key are merged into one record with the newest content.
   *
   * @param changes encoders by key
   * @returns nothing once the records are in the store or withdrawn, or CommitAbandoned
   */
  commit (changes: ReadonlyMap<string, Encoder>): Promise<Result<void, CommitAbandoned>> {
    if (this.stopped) return Promise.resolve(err(new CommitAbandoned()))
    for (const [key, encoder] of changes) this.pending.set(key, encoder)
    return new Promise((resolve) => {
      this.waiters.push({ resolve })
      this.wake?.()
    })
  }

  /**
   * Waits until all changes that were committed so far are in the journal or withdrawn, without an append of its own.
   *
   * @returns as `commit`
   */
  flush (): Promise<Result<void, CommitAbandoned>> {
    if (this.stopped) return Promise.resolve(err(new CommitAbandoned()))
    if (this.pending.size > 0) return new Promise((resolve) => { this.waiters.push({ resolve }) })
    if (this.inFlight.size > 0) return new Promise((resolve) => { this.inFlightWaiters.push({ resolve }) })
    return Promise.resolve(ok(undefined))
  }

  /** Appends changes and heartbeats until the epoch is fenced, the store rejects an append for good, or the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.pending.size === 0 && this.waiters.length === 0) await this.waitForChange(signal)
      await sleep(Math.max(0, this.appendStartedMs + APPEND_INTERVAL_MS - this.clock.now()), signal)
      if (signal.aborted) break
      if (!await this.appendPending(signal)) break
    }
    this.stopped = true
    for (const waiter of this.waiters) waiter.resolve(err(new CommitAbandoned()))
    this.waiters = []
  }

  private async waitForChange (signal: AbortSignal): Promise<void> {
    const woken = new AbortController()
    this.wake = () => { woken.abort() }
    await sleep(HEARTBEAT_INTERVAL_MS, AbortSignal.any([signal, woken.signal]))
    this.wake = undefined
  }

  /**
   * Withdraws keys from the pending changes, unless one of them is not pending or is in flight. A key whose append was refused is
   * pending again.
   *
   * @returns true if the changes were withdrawn, so that none has been or will be written; false if nothing was withdrawn
   */
  withdraw (keys: readonly string[]): boolean {
    if (!keys.every((key) => this.pending.has(key) && !this.inFlight.has(key))) return false
    for (const key of keys) this.pending.delete(key)
    return true
  }

  /** True if a change of the key is pending or in flight, so that it may or may not be in the journal. */
  isUncommitted (key: string): boolean {
    return this.pending.has(key) || this.inFlight.has(key)
  }

  /**
   * Appends the pending changes. Returns false if the writer has to stop: the epoch is fenced, the store rejects the append for
   * good, or the signal aborts.
   */
  private async appendPending (signal: AbortSignal): Promise<boolean> {
    this.appendStartedMs = this.clock.now()
    const encoders = this.pending
    const waiters = this.waiters
    this.inFlight = encoders
    this.inFlightWaiters = waiters
    this.pending = new Map()
    this.waiters = []
    for (const batch of splitBatches(encoders, this.epoch)) {
      const outcome = await this.append(batch.records, signal)
      if (outcome === Outcome.Written) {
        for (const key of batch.keys) encoders.delete(key)
        continue
      }
      if (outcome === Outcome.Refused) {
        this.requeue(encoders, waiters)
        this.inFlight = new Map()
        await this.backOff(signal)
        return true
      }
      this.stopped = true
      for (const waiter of waiters) waiter.resolve(err(new CommitAbandoned()))
      return false
    }
    this.inFlight = new Map()
    for (const waiter of waiters) waiter.resolve(ok(undefined))
    return true
  }

  /** Makes changes that were certainly not written pending again, unless the key has a newer change. */
  private requeue (encoders: ReadonlyMap<string, Encoder>, waiters: readonly Waiter[]): void {
    for (const [key, encoder] of encoders) {
      if (!this.pending.has(key)) this.pending.set(key, encoder)
    }
    this.waiters.unshift(...waiters)
  }

  private async backOff (signal: AbortSignal): Promise<void> {
    await sleep(this.retryDelayMs * (0.5 + Math.random()), signal)
    this.retryDelayMs = Math.min(2 * this.retryDelayMs, MAX_RETRY_DELAY_MS)
  }

  /**
   * Appends under one sequence number. Once the records may have reached the store, it repeats the same bytes, without encoding
   * the records again, until the outcome is known.
   */
  private async append (records: readonly KeyedRecord[], signal: AbortSignal): Promise<Outcome> {
    let uncertain = false
    while (!signal.aborted) {
      const sentAt = this.clock.stamp()
      const appended = await this.store.append(Topic.Journal, records, { epoch: this.epoch, sequence: this.sequence })
      if (appended.isOk()) {
        this.confirmedAt = sentAt
        this.sequence++
        this.retryDelayMs = MIN_RETRY_DELAY_MS
        this.onAppended(sizeOf(records), this.clock.now() - sentAt.steadyMs)
        return Outcome.Written
      }
      if (appended.error !== StoreFailure.Refused && appended.error !== StoreFailure.NoAnswer) return Outcome.Abandoned
      uncertain ||= appended.error === StoreFailure.NoAnswer
      if (!uncertain) return Outcome.Refused
      await this.backOff(signal)
    }
    return Outcome.Abandoned
  }
}

interface Batch {
  readonly keys: string[]
  readonly records: KeyedRecord[]
}

/**
 * Encodes the pending changes and splits them into appends of bounded size, in the order of `appendRankOf`. The records of one rank
 * and job stay together, because all members of a gang change together. Without changes, there is one append of a heartbeat.
 */
function splitBatches (encoders: ReadonlyMap<string, Encoder>, epoch: number): Batch[] {
  if (encoders.size === 0) return [{ keys: [], records: [encodeRecord(Subject.Heartbeat, 'owner', epoch)] }]
  const records = [...encoders.values()].map((encoder) => encoder())
  records.sort((left, right) => appendRankOf(left) - appendRankOf(right) || (left.key < right.key ? -1 : 1))
  const batches: Batch[] = [{ keys: [], records: [] }]
  let bytes = 0
  let job: string | undefined
  for (const record of records) {
    const size = sizeOf([record])
    if (bytes + size > MAX_APPEND_BYTES && bytes > 0 && jobOf(record.key) !== job) {
      batches.push({ keys: [], records: [] })
      bytes = 0
    }
    job = jobOf(record.key)
    batches.at(-1)!.keys.push(record.key)
    batches.at(-1)!.records.push(record)
    bytes += size
  }
  return batches
}

/** Returns the size of the keys and values of records in bytes. */
export function sizeOf (records: readonly KeyedRecord[]): number {
  let bytes = 0
  for (const record of records) bytes += record.key.length + (record.value?.length ?? 0)
  return bytes
}
