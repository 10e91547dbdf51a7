/**
 * The workers that are registered now.
 */
import type { Clock } from '../clock.js'
import type { Worker } from '../model/worker.js'
import type { Formats } from '../ports/formats.js'
import type { StoredRecord } from '../ports/store.js'

/** Receives changes of the registry. */
export interface RegistryListener {
  readonly onWorker: (worker: Worker) => void
  readonly onUnreadable: (id: string, mistake: string) => void
}

/** Folds the topic of workers. */
export class Registry {
  readonly workers = new Map<string, Worker>()
  /** Steady time at which an entry disappeared, by worker. */
  private readonly missing = new Map<string, number>()
  private readonly unreadable = new Set<string>()
  private seen: Set<string> | undefined

  constructor (
    private readonly formats: Formats,
    private readonly clock: Clock,
    private readonly listener: RegistryListener
  ) {}

  /** Applies a record. */
  apply (record: StoredRecord): void {
    this.seen?.add(record.key)
    if (record.value === undefined) return this.drop(record.key)
    const worker = this.formats.decodeWorker(record.key, record.value)
    if (worker.isErr()) return this.reject(record.key, worker.error)
    this.missing.delete(record.key)
    this.workers.set(record.key, worker.value)
    this.listener.onWorker(worker.value)
  }

  /** All entries are about to be read anew. */
  reset (): void {
    this.seen = new Set()
  }

  /** All entries have been read: drops those that did not appear. */
  settle (): void {
    const { seen } = this
    this.seen = undefined
    if (seen === undefined) return
    for (const id of this.workers.keys()) {
      if (!seen.has(id)) this.drop(id)
    }
  }

  /** How long a worker has had no entry; 0 if it has one, Infinity if it never had. */
  missingMs (id: string): number {
    if (this.workers.has(id)) return 0
    const since = this.missing.get(id)
    return since === undefined ? Infinity : this.clock.now() - since
  }

  private drop (id: string): void {
    if (!this.workers.delete(id)) return
    this.missing.set(id, this.clock.now())
  }

  /** An entry that cannot be read names no worker to use; it is reported once. */
  private reject (id: string, mistake: string): void {
    this.drop(id)
    if (this.unreadable.has(id)) return
    this.unreadable.add(id)
    this.listener.onUnreadable(id, mistake)
  }
}
