/**
 * The configuration that operators write: queues, upstreams and workspaces.
 */
import type { Resources } from '@fireflymount/protocol/resources'

/**
 * Durations of calls to the advisor service and of the validity of its tickets. The advisor decides on which workers a queue's
 * steps may run.
 */
export interface AdviceSettings {
  /** Fixed processing time of one call. */
  readonly callMs: number
  /** Additional processing time for each worker named in a call. */
  readonly workerMs: number
  /** Time for which a ticket is valid. */
  readonly validMs: number
}

/** Settings of a queue that apply to its jobs as long as they run. */
export interface QueueSettings {
  /** Lower numbers are scheduled first; 0 is the highest priority. */
  readonly priority: number
  /** Number of failed runs of one task after which its job fails. */
  readonly attempts: number
  /**
   * The objective of a job is to complete within the estimated duration of its critical path times this factor, plus `targetMs`.
   * It is counted from the time at which the job was accepted or, for a job with a schedule, at which its occurrence is due.
   */
  readonly stretch: number
  /** Part of the objective that does not depend on the job's steps. */
  readonly targetMs: number
  /** Undefined if the queue's tasks need no ticket. */
  readonly advice: AdviceSettings | undefined
}

/** A queue. Callers address it by host and path. */
export interface Queue extends QueueSettings {
  readonly name: string
  readonly host: string
  /** Path prefix of the queue's requests. */
  readonly prefix: string
  readonly upstream: string
  /** The timeout of the platform's route. Not used by this scheduler. */
  readonly timeoutMs: number
  /** True if the queue accepts requests without a known key. */
  readonly open: boolean
}

/** A group of workers that run the tasks of the same queues. */
export interface Upstream {
  readonly name: string
  /** True if the workers check their own free capacity and refuse runs that do not fit. Not used by this scheduler. */
  readonly checksRoom: boolean
  /** True if the upstream's machines are powered off until they are moved to another upstream. Not used by this scheduler. */
  readonly spare: boolean
}

/** Settings of a workspace that apply to its jobs as long as they run. */
export interface WorkspaceSettings {
  /**
   * Rate of the workspace in jobs per second; 0 for no limit. Jobs beyond the rate are accepted, but placed after all jobs within
   * their rate that can still be of use. Long-running steps are placed first whatever the rate; see `Band` in place/ranking.ts.
   */
  readonly weight: number
  /** Maximum resources of the tasks that run at the same time on all workers; 0 in a dimension means no limit. */
  readonly upperLimit: Resources
}

/** A tenant of the cell. */
export interface Workspace extends WorkspaceSettings {
  readonly name: string
  readonly keys: readonly string[]
}

/** Limits on callers' requests. They are decoded but not enforced: the callers' server has fixed limits of its own. */
export interface CallerLimits {
  /** Maximum size of a request body. */
  readonly bodyBytes: number
  /** Timeout for receiving the headers of a request. */
  readonly headerMs: number
  /** Time after which an idle connection is closed. */
  readonly idleMs: number
}

/** One complete version of the configuration. */
export interface Configuration {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly upstreams: readonly Upstream[]
  readonly workspaces: readonly Workspace[]
  readonly limits: CallerLimits
}

/**
 * Finds the queue for a path: the one with the longest matching prefix on the host.
 *
 * @param configuration the configuration in effect
 * @param host host name without a port, in upper or lower case
 * @param path path of the request
 * @returns the queue, or undefined if no queue matches the path
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
 * @param configuration the configuration in effect
 * @param key the key as the caller sent it
 * @returns the workspace, or undefined if no workspace has the key
 */
export function findWorkspaceByKey (configuration: Configuration, key: string): Workspace | undefined {
  return configuration.workspaces.find((workspace) => workspace.keys.includes(key))
}
