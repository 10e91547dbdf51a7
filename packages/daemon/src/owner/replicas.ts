/**
 * Replicas of services: keeps as many running as declared, and moves them off workers that leave.
 */
import { createHash } from 'node:crypto'
import type { Clock } from '@fireflymount/platform/clock'
import { findService, listServices } from '@fireflymount/manifest/lookup'
import type { Manifest, Service } from '@fireflymount/manifest/manifest'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Task } from '@fireflymount/policy/task'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { Ledger } from './ledger.js'
import type { Runs } from './runs.js'
import type { ShardState } from './state.js'

/** What replicas need of their owner. */
export interface ReplicaParts {
  readonly shard: string
  readonly scheduler: Scheduler
  readonly journal: Ledger
  readonly state: ShardState
  readonly runs: Runs
  readonly clock: Clock
  readonly manifest: () => Manifest
  /** True if what runs on a worker should move: the worker leaves or is drained. */
  readonly isLeaving: (worker: string) => boolean
  readonly onRoom: () => void
}

/** The replicas of a shard's services. */
export class Replicas {
  private readonly queued = new Set<string>()

  constructor (private readonly parts: ReplicaParts) {}

  /** Starts what is missing, stops what is too much, and replaces one replica of a service at a time. */
  reconcile (): void {
    const wanted = new Map<string, Service>()
    for (const service of listServices(this.parts.manifest(), this.parts.shard)) {
      for (let index = 0; index < service.replicas; index++) wanted.set(replicaId(service.name, index), service)
      this.move(service)
    }
    for (const [id, service] of wanted) this.start(id, service)
    for (const id of this.parts.state.replicas.keys()) {
      if (!wanted.has(id)) this.drop(id)
    }
  }

  /** True if a task is a replica. */
  owns (task: string): boolean {
    return task.startsWith(PREFIX)
  }

  /** The replica was placed, or leaves the queue. */
  onPlaced (task: string): void {
    this.queued.delete(task)
  }

  /** The service of a replica, as declared now. */
  serviceOf (task: string): Service | undefined {
    return findService(this.parts.manifest(), task.slice(PREFIX.length, task.lastIndexOf('/')))
  }

  /** Identifies what a replica is started as; undefined for tasks that are no replicas. */
  specOf (task: string): string | undefined {
    if (!this.owns(task)) return undefined
    const service = this.serviceOf(task)
    return service === undefined ? undefined : specOf(service)
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
      submittedMs: this.parts.clock.now(),
      checkpoint: false,
      group: service.name,
      groupSize: service.replicas
    }
  }

  private start (id: string, service: Service): void {
    if (this.queued.has(id) || this.parts.runs.get(id) !== undefined || !this.parts.journal.available()) return
    const queued = this.parts.scheduler.enqueue(this.createTask(id, service), this.parts.clock.now())
    if (queued.isErr()) return
    this.queued.add(id)
    this.parts.onRoom()
  }

  private drop (id: string): void {
    if (this.queued.delete(id)) this.parts.scheduler.cancel(id)
    this.parts.runs.stop(id, false)
  }

  /** True if the service was declared differently when the replica was started. */
  private isOutdated (task: string): boolean {
    const spec = this.parts.state.replicas.get(task)?.spec
    return spec !== undefined && spec !== this.specOf(task)
  }

  private move (service: Service): void {
    for (let index = 0; index < service.replicas; index++) {
      const run = this.parts.runs.get(replicaId(service.name, index))
      if (run === undefined) return
      if (run.stopping) return
      if (!this.parts.isLeaving(run.worker) && !this.isOutdated(run.task.id)) continue
      this.parts.runs.stop(run.task.id, true)
      return
    }
  }
}

const PREFIX = 'service:'
const SPEC_LENGTH = 16

const specs = new WeakMap<Service, string>()

function specOf (service: Service): string {
  let spec = specs.get(service)
  if (spec === undefined) {
    spec = createHash('sha256').update(JSON.stringify([service.size, service.body])).digest('hex').slice(0, SPEC_LENGTH)
    specs.set(service, spec)
  }
  return spec
}

function replicaId (service: string, index: number): string {
  return `${PREFIX}${service}/${index}`
}
