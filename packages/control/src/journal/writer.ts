/**
 * The owner's writes to the journal: one fenced append at a time, each with all that has changed meanwhile.
 */
import { err, ok, type Result } from 'neverthrow'
import { sleep, type Clock, type Stamp } from '../clock.js'
import { StoreFailure, Topic, type KeyedRecord, type Store } from '../ports/store.js'
import { Subject, encodeRecord, keyOf } from './record.js'

/** First and longest pause after an append that failed; doubles between them. */
const RETRY_MIN_MS = 20
const RETRY_MAX_MS = 250
/** Most bytes of one append, below the smallest bound on a call that the platform gives. */
export const APPEND_BYTES = 1024 * 1024
/** Least time between the beginnings of two appends: what comes meanwhile shares one, which every append is priced for. */
const APPEND_INTERVAL_MS = 20
/** Time without an append after which the owner shows a sign of life. Candidates take over after several of these. */
export const BEAT_MS = 350

/** A commit that will not happen, because another node owns the cell. */
export class Superseded {}

interface Waiter {
  readonly resolve: (result: Result<void, Superseded>) => void
}

/** What became of one append. */
enum Outcome {
  Written,
  /** Provably not written. */
  Refused,
  Superseded
}

/** Encodes what a key is to hold at the time of the append. */
export type Encoder = () => KeyedRecord

/** Appends as one owner. */
export class Writer {
  /** The last moment at which the store was known to accept this epoch. */
  confirmedAt: Stamp
  private dirty = new Map<string, Encoder>()
  /** What the open append, or one that may still be carried out, has. */
  private sending: ReadonlyMap<string, Encoder> = new Map()
  private waiters: Waiter[] = []
  private wake: (() => void) | undefined
  private retryMs = RETRY_MIN_MS
  /** Steady time at which the last append began. */
  private begunMs = -Infinity
  private over = false

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
   * Commits what keys hold. Several commits of one key become one record with the newest content.
   *
   * @param changes encoders by key
   * @returns nothing once it is in the store, or Superseded
   */
  commit (changes: ReadonlyMap<string, Encoder>): Promise<Result<void, Superseded>> {
    if (this.over) return Promise.resolve(err(new Superseded()))
    for (const [key, encoder] of changes) this.dirty.set(key, encoder)
    return new Promise((resolve) => {
      this.waiters.push({ resolve })
      this.wake?.()
    })
  }

  /** Appends until the epoch is fenced or the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.dirty.size === 0 && this.waiters.length === 0) await this.idle(signal)
      await sleep(Math.max(0, this.begunMs + APPEND_INTERVAL_MS - this.clock.now()), signal)
      if (signal.aborted) break
      if (!await this.appendPending(signal)) break
    }
    this.over = true
    for (const waiter of this.waiters) waiter.resolve(err(new Superseded()))
    this.waiters = []
  }

  private async idle (signal: AbortSignal): Promise<void> {
    const woken = new AbortController()
    this.wake = () => { woken.abort() }
    await sleep(BEAT_MS, AbortSignal.any([signal, woken.signal]))
    this.wake = undefined
  }

  /**
   * Takes keys out of what is to be written.
   *
   * @returns true if none of them has been sent, so that none is written; false leaves all as they are
   */
  withdraw (keys: readonly string[]): boolean {
    if (!keys.every((key) => this.dirty.has(key) && !this.sending.has(key))) return false
    for (const key of keys) this.dirty.delete(key)
    return true
  }

  /** True if a key is to be written, or may be by an append that is open. */
  holds (key: string): boolean {
    return this.dirty.has(key) || this.sending.has(key)
  }

  /** Returns false if the epoch is fenced. */
  private async appendPending (signal: AbortSignal): Promise<boolean> {
    this.begunMs = this.clock.now()
    const encoders = this.dirty
    const waiters = this.waiters
    this.sending = encoders
    this.dirty = new Map()
    this.waiters = []
    for (const batch of splitBatches(encoders, this.epoch)) {
      const outcome = await this.append(batch.records, signal)
      if (outcome === Outcome.Written) {
        for (const key of batch.keys) encoders.delete(key)
        continue
      }
      if (outcome === Outcome.Refused) {
        this.putBack(encoders, waiters)
        this.sending = new Map()
        await this.pause(signal)
        return true
      }
      for (const waiter of waiters) waiter.resolve(err(new Superseded()))
      return false
    }
    this.sending = new Map()
    for (const waiter of waiters) waiter.resolve(ok(undefined))
    return true
  }

  /** Returns what the store provably did not take to what is to be written; newer content of a key stays. */
  private putBack (encoders: ReadonlyMap<string, Encoder>, waiters: readonly Waiter[]): void {
    for (const [key, encoder] of encoders) {
      if (!this.dirty.has(key)) this.dirty.set(key, encoder)
    }
    this.waiters.unshift(...waiters)
  }

  private async pause (signal: AbortSignal): Promise<void> {
    await sleep(this.retryMs * (0.5 + Math.random()), signal)
    this.retryMs = Math.min(2 * this.retryMs, RETRY_MAX_MS)
  }

  /** Appends under one sequence number; repeats the same bytes once they may have reached the store. */
  private async append (records: readonly KeyedRecord[], signal: AbortSignal): Promise<Outcome> {
    let uncertain = false
    while (!signal.aborted) {
      const sentAt = this.clock.stamp()
      const appended = await this.store.append(Topic.Journal, records, { epoch: this.epoch, sequence: this.sequence })
      if (appended.isOk()) {
        this.confirmedAt = sentAt
        this.sequence++
        this.retryMs = RETRY_MIN_MS
        this.onAppended(sizeOf(records), this.clock.now() - sentAt.steadyMs)
        return Outcome.Written
      }
      if (appended.error !== StoreFailure.Refused && appended.error !== StoreFailure.NoAnswer) return Outcome.Superseded
      uncertain ||= appended.error === StoreFailure.NoAnswer
      if (!uncertain) return Outcome.Refused
      await this.pause(signal)
    }
    return Outcome.Superseded
  }
}

interface Batch {
  readonly keys: string[]
  readonly records: KeyedRecord[]
}

/** Encodes what is to be written, in appends of a bounded size; a sign of life if there is nothing. */
function splitBatches (encoders: ReadonlyMap<string, Encoder>, epoch: number): Batch[] {
  if (encoders.size === 0) return [{ keys: [], records: [encodeRecord(Subject.Beat, 'owner', epoch)] }]
  const batches: Batch[] = [{ keys: [], records: [] }]
  let bytes = 0
  for (const [key, encoder] of encoders) {
    const record = encoder()
    const size = sizeOf([record])
    if (bytes + size > APPEND_BYTES && bytes > 0) {
      batches.push({ keys: [], records: [] })
      bytes = 0
    }
    batches.at(-1)!.keys.push(key)
    batches.at(-1)!.records.push(record)
    bytes += size
  }
  return batches
}

function sizeOf (records: readonly KeyedRecord[]): number {
  let bytes = 0
  for (const record of records) bytes += record.key.length + (record.value?.length ?? 0)
  return bytes
}

/** Key of a job's progress. */
export function progressKeyOf (job: string): string {
  return keyOf(Subject.Progress, job)
}
