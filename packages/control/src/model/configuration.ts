/**
 * What operators configure: queues, upstreams and workspaces.
 */
import type { Resources } from '@fireflymount/protocol/resources'

/** Costs of the service that advises where a queue's steps may run. */
export interface AdviceTerms {
  /** Processing time of one call. */
  readonly callMs: number
  /** Processing time for each worker named in a call. */
  readonly workerMs: number
  /** How long a ticket is valid. */
  readonly validMs: number
}

/** A queue, addressed by host and path. */
export interface Queue {
  readonly name: string
  readonly host: string
  /** Beginning of the paths that lead to the queue. */
  readonly prefix: string
  readonly upstream: string
  /** 0 comes first. */
  readonly priority: number
  /** Failed runs of a task after which its job fails. */
  readonly attempts: number
  /** A job's objective is this many times its longest chain, and `targetMs` more. */
  readonly stretch: number
  readonly targetMs: number
  readonly timeoutMs: number
  /** Accepts calls without a key. */
  readonly open: boolean
  readonly advice: AdviceTerms | undefined
}

/** A pool of workers. */
export interface Upstream {
  readonly name: string
  /** Workers check their own room and refuse what does not fit. */
  readonly checksRoom: boolean
  /** The pool's machines are switched off until they are moved elsewhere. */
  readonly spare: boolean
}

/** A tenant of the cell. */
export interface Workspace {
  readonly name: string
  readonly keys: readonly string[]
  /** Share when the cell is full; also the jobs a second that its share covers. */
  readonly weight: number
  /** What may run at once on all workers; 0 in a dimension for no limit. */
  readonly upperLimit: Resources
}

/** Bounds on callers' requests. */
export interface CallerLimits {
  readonly bodyBytes: number
  readonly headerMs: number
  readonly idleMs: number
}

/** One whole version of the configuration. */
export interface Configuration {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly upstreams: readonly Upstream[]
  readonly workspaces: readonly Workspace[]
  readonly limits: CallerLimits
}

/**
 * Finds the queue that a path names: the longest prefix on the host.
 *
 * @param configuration the version in force
 * @param host host name without a port, any case
 * @param path path of the request
 * @returns the queue, or undefined if no queue has the path
 */
export function findQueueByPath (configuration: Configuration, host: string, path: string): Queue | undefined {
  const name = host.toLowerCase()
  let found: Queue | undefined
  for (const queue of configuration.queues) {
    if (queue.host.toLowerCase() !== name || !path.startsWith(queue.prefix)) continue
    if (found === undefined || queue.prefix.length > found.prefix.length) found = queue
  }
  return found
}

/**
 * Finds the workspace that a key belongs to.
 *
 * @param configuration the version in force
 * @param key the key as the caller sent it
 * @returns the workspace, or undefined if no workspace has the key
 */
export function findWorkspaceByKey (configuration: Configuration, key: string): Workspace | undefined {
  return configuration.workspaces.find((workspace) => workspace.keys.includes(key))
}
