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
const APPEND_BYTES = 1024 * 1024
/** Time without an append after which the owner shows a sign of life. Candidates take over after several of these. */
export const BEAT_MS = 350

/** A commit that will not happen, because another node owns the cell. */
export class Superseded {}

interface Waiter {
  readonly resolve: (result: Result<void, Superseded>) => void
}

/** Encodes what a key is to hold at the time of the append. */
export type Encoder = () => KeyedRecord

/** Appends as one owner. */
export class Writer {
  /** The last moment at which the store was known to accept this epoch. */
  confirmedAt: Stamp
  private dirty = new Map<string, Encoder>()
  private waiters: Waiter[] = []
  private wake: (() => void) | undefined
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

  /** Returns false if the epoch is fenced. */
  private async appendPending (signal: AbortSignal): Promise<boolean> {
    const encoders = this.dirty
    const waiters = this.waiters
    this.dirty = new Map()
    this.waiters = []
    const records: KeyedRecord[] = []
    for (const encoder of encoders.values()) records.push(encoder())
    if (records.length === 0) records.push(encodeRecord(Subject.Beat, 'owner', this.epoch))
    for (const batch of splitBatches(records)) {
      if (await this.append(batch, signal)) continue
      for (const waiter of waiters) waiter.resolve(err(new Superseded()))
      return false
    }
    for (const waiter of waiters) waiter.resolve(ok(undefined))
    return true
  }

  /** Repeats one append under its sequence number until the store has it. */
  private async append (records: readonly KeyedRecord[], signal: AbortSignal): Promise<boolean> {
    let retryMs = RETRY_MIN_MS
    while (!signal.aborted) {
      const sentAt = this.clock.stamp()
      const appended = await this.store.append(Topic.Journal, records, { epoch: this.epoch, sequence: this.sequence })
      if (appended.isOk()) {
        this.confirmedAt = sentAt
        this.sequence++
        this.onAppended(sizeOf(records), this.clock.now() - sentAt.steadyMs)
        return true
      }
      if (appended.error !== StoreFailure.Refused && appended.error !== StoreFailure.NoAnswer) return false
      await sleep(retryMs * (0.5 + Math.random()), signal)
      retryMs = Math.min(2 * retryMs, RETRY_MAX_MS)
    }
    return false
  }
}

function splitBatches (records: readonly KeyedRecord[]): KeyedRecord[][] {
  const batches: KeyedRecord[][] = [[]]
  let bytes = 0
  for (const record of records) {
    const size = sizeOf([record])
    if (bytes + size > APPEND_BYTES && bytes > 0) {
      batches.push([])
      bytes = 0
    }
    batches.at(-1)!.push(record)
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
