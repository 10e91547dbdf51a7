/**
 * The manifest: the configuration that operators declare.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Urgency, Workload } from '@fireflymount/protocol/workload'

/** The whole configuration at one revision. Names are unique within each list. */
export interface Manifest {
  readonly workspaces: readonly Workspace[]
  readonly upstreams: readonly Upstream[]
  readonly teams: readonly Team[]
  readonly keys: readonly Key[]
  readonly queues: readonly Queue[]
  readonly services: readonly Service[]
  readonly objectives: readonly Objective[]
}

/** A customer of the cell. A cell is all nodes that share one log and one configuration. */
export interface Workspace {
  readonly name: string
}

/** A back end: a set of workers that has one owner and forms one shard. */
export interface Upstream {
  readonly name: string
  /** Availability zones of the workers. Nodes in these zones may own the shard. */
  readonly zones: readonly string[]
  readonly weights: Weights
}

/** Weights of the scheduling goals for an upstream. Non-negative; only their ratios matter. */
export interface Weights {
  readonly waiting: number
  readonly share: number
  readonly packing: number
}

/** The amount that a team may have running at once. A field that is absent means no limit. */
export interface UpperLimit {
  readonly tasks?: number
  readonly cpuMilli?: number
  readonly memoryMb?: number
  readonly accelerators?: number
}

/** A team of a workspace. */
export interface Team {
  readonly name: string
  readonly workspace: string
  /** Weight of the team in the ordering of waiting work in each shard; only the ratio to the shares of other teams matters. */
  readonly share: number
  /** Limit on what runs at once, over all shards of the cell. */
  readonly upperLimit: UpperLimit
}

/** A key that lets callers act for a team. Only the hash of its secret is stored. */
export interface Key {
  /** Public name of the key. */
  readonly name: string
  readonly team: string
  /** SHA-256 of the secret, in lower-case hexadecimal. */
  readonly hash: string
}

/** A queue, to which callers submit work. */
export interface Queue {
  readonly name: string
  readonly upstream: string
  readonly workload: Workload.Request | Workload.Batch | Workload.Gang
  /** Whether callers without a key may use the queue. */
  readonly open: boolean
  /** Teams that may use the queue. If `open` is set, work that is submitted without a key counts for the first of them. */
  readonly teams: readonly string[]
  /** Whether a task may run twice. */
  readonly idempotent: boolean
  readonly urgency: Urgency
  /** Resources that one task needs. */
  readonly size: Resources
  /** Declared run time of one task. */
  readonly runtimeMs: number
  /** Default and maximum of the time until a request is answered; a caller may set a shorter one. Jobs have no deadline. */
  readonly deadlineMs: number
  /** Maximum number of waiting tasks. */
  readonly capacity: number
  /** Maximum number of attempts at a task, including the first. Must be 1 unless `idempotent` is set. */
  readonly attempts: number
  /** Whether tasks can write a checkpoint before they are stopped. */
  readonly checkpoint: boolean
}

/** A long-running service with a fixed number of replicas. */
export interface Service {
  readonly name: string
  readonly team: string
  readonly upstream: string
  readonly replicas: number
  readonly size: Resources
  /** Passed to each replica unchanged. */
  readonly body: unknown
}

/** What an objective measures. */
export enum Measure {
  /** The fraction of work that starts within `withinMs` after it was accepted. */
  Waiting = 'waiting',
  /** The fraction of work that succeeds. */
  Success = 'success'
}

/** A service-level objective on a queue. */
export interface Objective {
  readonly name: string
  readonly queue: string
  readonly measure: Measure
  /** The fraction of events that must be good, e.g. 0.999. */
  readonly target: number
  /** Only with Measure.Waiting: maximum time from acceptance to start. */
  readonly withinMs?: number
}

/** The lists of a manifest. */
export enum Section {
  Workspaces = 'workspaces',
  Upstreams = 'upstreams',
  Teams = 'teams',
  Keys = 'keys',
  Queues = 'queues',
  Services = 'services',
  Objectives = 'objectives'
}

/** A manifest that declares nothing. */
export const EMPTY_MANIFEST: Manifest = {
  workspaces: [], upstreams: [], teams: [], keys: [], queues: [], services: [], objectives: []
}
