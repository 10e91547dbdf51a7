/**
 * The operators' manifest: everything that they declare, as plain values.
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

/** A customer of the cell. */
export interface Workspace {
  readonly name: string
}

/** A back end: a set of workers with one owner, which is one shard. */
export interface Upstream {
  readonly name: string
  /** Availability zones of the workers. Nodes in these zones may own the shard. */
  readonly zones: readonly string[]
  readonly weights: Weights
}

/** What the policy weighs on an upstream. Non-negative; only their ratio matters. */
export interface Weights {
  readonly waiting: number
  readonly share: number
  readonly packing: number
}

/** An amount that a team may have running at once; an absent field is no limit. */
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
  /** Weight for when the cell is full. */
  readonly share: number
  /** Bound on what runs at once, across the whole fleet. */
  readonly upperLimit: UpperLimit
}

/** A key by which callers act for a team. Only its hash is kept. */
export interface Key {
  /** Public name of the key. */
  readonly name: string
  readonly team: string
  /** SHA-256 of the secret, in lower-case hexadecimal. */
  readonly hash: string
}

/** A place to send work to. */
export interface Queue {
  readonly name: string
  readonly upstream: string
  readonly workload: Workload.Request | Workload.Batch | Workload.Gang
  /** Open to callers without a key; their work counts for `team`. */
  readonly open: boolean
  /** Teams that may use it. With `open`, the first is charged for work without a key. */
  readonly teams: readonly string[]
  readonly idempotent: boolean
  readonly urgency: Urgency
  /** Size of one task. */
  readonly size: Resources
  /** Declared run time of one task. */
  readonly runtimeMs: number
  /** Longest time that a request may take; jobs have none. */
  readonly deadlineMs: number
  /** Most that may wait. */
  readonly capacity: number
  /** How often a failing idempotent task is tried in all. */
  readonly attempts: number
  /** The task can be checkpointed before it is stopped. */
  readonly checkpoint: boolean
}

/** Long-running replicas. */
export interface Service {
  readonly name: string
  readonly team: string
  readonly upstream: string
  readonly replicas: number
  readonly size: Resources
  readonly body: unknown
}

/** What an objective counts. */
export enum Measure {
  /** Share of work that starts within `withinMs` of its acceptance. */
  Waiting = 'waiting',
  /** Share of work that succeeds. */
  Success = 'success'
}

/** A service-level objective on a queue. */
export interface Objective {
  readonly name: string
  readonly queue: string
  readonly measure: Measure
  /** Share that must be good, e.g. 0.999. */
  readonly target: number
  /** With Measure.Waiting. */
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
