/**
 * Replicas of services: keeps the declared number running, replaces outdated ones and moves them off leaving or drained workers.
 */
import { createHash } from 'node:crypto'
import type { Clock } from '@fireflymount/service-clients/clock'
import { findService, listServices } from '@fireflymount/manifest/lookup'
import type { Manifest, Service } from '@fireflymount/manifest/manifest'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Task } from '@fireflymount/policy/task'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { JournalWriter } from './journal-writer.js'
import type { Runs } from './runs.js'
import type { ShardState } from './state.js'

/** Constructor arguments of `Replicas`. */
export interface ReplicasOptions {
  readonly shard: string
  readonly scheduler: Scheduler
  readonly journal: JournalWriter
  readonly state: ShardState
  readonly runs: Runs
  readonly clock: Clock
  readonly manifest: () => Manifest
  /** True if replicas should move off a worker, because its VM is leaving or it is drained. */
  readonly isLeavingOrDrained: (worker: string) => boolean
  /** Requests a scheduling round. */
  readonly requestRound: () => void
}

/** The replicas of a shard's services. */
export class Replicas {
  private readonly queued = new Set<string>()

  constructor (private readonly options: ReplicasOptions) {}

  /** Starts missing replicas, stops surplus ones, and in each call stops at most one replica of each service to replace it. */
  reconcile (): void {
    const desired = new Map<string, Service>()
    for (const service of listServices(this.options.manifest(), this.options.shard)) {
      for (let index = 0; index < service.replicas; index++) desired.set(replicaId(service.name, index), service)
      this.replaceOne(service)
    }
    for (const [id, service] of desired) this.start(id, service)
    for (const id of this.options.state.replicas.keys()) {
      if (!desired.has(id)) this.stopSurplus(id)
    }
  }

  /** True if a task is a replica. */
  isReplica (task: string): boolean {
    return task.startsWith(PREFIX)
  }

  /** Handles the placement of a queued replica. */
  onPlaced (task: string): void {
    this.queued.delete(task)
  }

  /** Returns the current declaration of a replica's service. */
  serviceOf (task: string): Service | undefined {
    return findService(this.options.manifest(), task.slice(PREFIX.length, task.lastIndexOf('/')))
  }

  /** Returns a hash of the size and body that a replica is started with; undefined for tasks that are not replicas. */
  specHashOf (task: string): string | undefined {
    if (!this.isReplica(task)) return undefined
    const service = this.serviceOf(task)
    return service === undefined ? undefined : computeSpecHash(service)
  }

  /** Describes a replica for the scheduler. */
  createTask (id: string, service: Service): Task {
    return {
      id,
      team: service.team,
      kind: service.name,
      workload: Workload.Service,
      urgency: Urgency.Urgent,
      size: service.size,
      runtimeMs: Infinity,
      submittedMs: this.options.clock.now(),
      checkpoint: false,
      group: service.name,
      groupSize: service.replicas
    }
  }

  private start (id: string, service: Service): void {
    if (this.queued.has(id) || this.options.runs.get(id) !== undefined || !this.options.journal.available()) return
    const queued = this.options.scheduler.enqueue(this.createTask(id, service), this.options.clock.now())
    if (queued.isErr()) return
    this.queued.add(id)
    this.options.requestRound()
  }

  private stopSurplus (id: string): void {
    if (this.queued.delete(id)) this.options.scheduler.cancel(id)
    this.options.runs.stop(id, false)
  }

  /** True if the declared size or body has changed since the replica was started. */
  private isOutdated (task: string): boolean {
    const spec = this.options.state.replicas.get(task)?.spec
    return spec !== undefined && spec !== this.specHashOf(task)
  }

  /**
   * Stops the first replica that must move or is outdated, unless one with a lower index is missing or stopping. Whether
   * replicas with higher indexes are missing or stopping is not checked.
   */
  private replaceOne (service: Service): void {
    for (let index = 0; index < service.replicas; index++) {
      const run = this.options.runs.get(replicaId(service.name, index))
      if (run === undefined) return
      if (run.stopping) return
      if (!this.options.isLeavingOrDrained(run.worker) && !this.isOutdated(run.task.id)) continue
      this.options.runs.stop(run.task.id, true)
      return
    }
  }
}

const PREFIX = 'service:'
/** Number of hexadecimal digits of the hash of a size and body. */
const SPEC_HASH_DIGITS = 16

const specHashes = new WeakMap<Service, string>()

function computeSpecHash (service: Service): string {
  let specHash = specHashes.get(service)
  if (specHash === undefined) {
    specHash = createHash('sha256').update(JSON.stringify([service.size, service.body])).digest('hex').slice(0, SPEC_HASH_DIGITS)
    specHashes.set(service, specHash)
  }
  return specHash
}

function replicaId (service: string, index: number): string {
  return `${PREFIX}${service}/${index}`
}
