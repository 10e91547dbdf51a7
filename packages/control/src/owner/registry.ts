/**
 * The workers that are currently registered.
 */
import type { Clock } from '../clock.js'
import type { Worker } from '../model/worker.js'
import type { Formats } from '../ports/formats.js'
import type { StoredRecord } from '../ports/store.js'

/**
 * A worker that has had no entry for longer than this is treated as gone: nothing new is placed on it. Entries that expired while the
 * store was unavailable are back sooner.
 */
export const MAX_MISSING_MS = 2200

/** Receives changes of the registry. */
export interface RegistryListener {
  readonly onWorker: (worker: Worker) => void
  readonly onUnreadable: (id: string, reason: string) => void
}

/** Builds the set of workers from the records of the workers topic. */
export class Registry {
  readonly workers = new Map<string, Worker>()
  /** Time on the steady clock at which a worker's entry disappeared. */
  private readonly missingSince = new Map<string, number>()
  private readonly unreadable = new Set<string>()
  /** Keys read since the start of a reload; undefined while there is none. */
  private keysSinceReload: Set<string> | undefined
  /** Time on the steady clock at which all entries had been read for the first time; undefined before. */
  private loadedMs: number | undefined

  constructor (
    private readonly formats: Formats,
    private readonly clock: Clock,
    private readonly listener: RegistryListener
  ) {}

  /** Applies a record. */
  apply (record: StoredRecord): void {
    this.keysSinceReload?.add(record.key)
    if (record.value === undefined) return this.remove(record.key)
    const worker = this.formats.decodeWorker(record.key, record.value)
    if (worker.isErr()) return this.reject(record.key, worker.error)
    // The store may carry out a write of an earlier incarnation late. The next write of the present one replaces it there.
    if (worker.value.born < (this.workers.get(record.key)?.born ?? 0)) return
    this.missingSince.delete(record.key)
    this.workers.set(record.key, worker.value)
    this.listener.onWorker(worker.value)
  }

  /** Starts a reload: all entries are about to be read again. */
  startReload (): void {
    this.keysSinceReload = new Set()
  }

  /** Finishes a reload: removes the entries that were not read again. */
  finishReload (): void {
    const { keysSinceReload } = this
    this.keysSinceReload = undefined
    this.loadedMs ??= this.clock.now()
    if (keysSinceReload === undefined) return
    for (const id of this.workers.keys()) {
      if (!keysSinceReload.has(id)) this.remove(id)
    }
  }

  /** How long a worker is known to have had no entry; 0 if it has one, or before all entries have been read. */
  missingMs (id: string): number {
    if (this.workers.has(id)) return 0
    const since = this.missingSince.get(id) ?? this.loadedMs
    return since === undefined ? 0 : this.clock.now() - since
  }

  private remove (id: string): void {
    if (!this.workers.delete(id)) return
    this.missingSince.set(id, this.clock.now())
  }

  /** Removes a worker whose entry cannot be used, since nothing can be placed on it, and reports the entry once. */
  reject (id: string, reason: string): void {
    this.remove(id)
    if (this.unreadable.has(id)) return
    this.unreadable.add(id)
    this.listener.onUnreadable(id, reason)
  }
}
