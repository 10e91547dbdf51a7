/**
 * Workers: their registry entries, their status reports and the runs on them.
 */
import type { Resources } from '@fireflymount/protocol/resources'

/** What a call to a worker needs to know of it. */
export interface WorkerAddress {
  readonly id: string
  /** Host and port. */
  readonly address: string
  readonly zone: string
  /** Unix time at which the worker started. An incarnation with a later time replaces an earlier one with the same id. */
  readonly born: number
}

/** A worker's registry entry. */
export interface Worker extends WorkerAddress {
  readonly upstream: string
  readonly draining: boolean
  /** Minimum time left until a draining worker stops; undefined if the worker is not draining. */
  readonly remainingMs: number | undefined
  readonly capacity: Resources
  /** Labels for the machine's kind and rack. */
  readonly labels: readonly string[]
  /** The worker's own steady clock at the time when it wrote the entry. */
  readonly clockMs: number
  /** Machine on which this incarnation runs; empty if unknown. */
  readonly machine: string
}

/** How a run ended. */
export enum RunOutcome {
  Done = 'done',
  /** The run failed, because of the task or the worker; it counts as an attempt. */
  Failed = 'failed',
  /** A stop command ended the run. */
  Stopped = 'stopped',
  /** The lease of the worker expired. */
  LeaseExpired = 'lapsed',
  /** Another task of the same gang ended. */
  GangBroken = 'broken',
  /** The other tasks of the gang did not start in time. */
  GangIncomplete = 'alone'
}

/** A run that a worker reports as active. */
export interface ActiveRun {
  /** Job id and task key, joined by a dot. */
  readonly task: string
  readonly run: number
  /** The most recent checkpoint; empty if there is none. */
  readonly checkpoint: string
  /**
   * Percentage of the work that is done, 0 to 100; it does not show the speed to which the run is throttled. A lasting task is at
   * 100 once it has started up.
   */
  readonly progress: number
  /** For a serving task its tail latency in milliseconds; for other tasks the CPU in use, in thousandths of a core. */
  readonly load: number
}

/** A run that ended, whatever its outcome. The worker keeps reporting it until it is acknowledged. */
export interface EndedRun {
  /** Position in the worker's list of ended runs; each incarnation counts from 1. */
  readonly position: number
  readonly task: string
  readonly run: number
  /** Outcome of the run. */
  readonly ending: RunOutcome
  readonly checkpoint: string
}

/** A worker's answer to a report request, which may also renew its lease. */
export interface Report {
  /** Start time of the incarnation that answered, as in its registry entry. */
  readonly born: number
  /** The worker's own steady clock at the time of the answer. */
  readonly clockMs: number
  readonly running: readonly ActiveRun[]
  /** Ended runs that have not been acknowledged, in the order of their positions; at most `Fleet.maxReportedEnds` of them. */
  readonly ended: readonly EndedRun[]
}

/**
 * Splits the task name that is used on workers.
 *
 * @param task job id and task key, joined by a dot
 * @returns the job id and the task key
 */
export function splitTask (task: string): { readonly job: string, readonly key: string } {
  const dot = task.indexOf('.')
  return { job: task.slice(0, dot), key: task.slice(dot + 1) }
}

/** Returns the rack label among a worker's labels, or an empty string if there is none. */
export function rackOf (labels: readonly string[]): string {
  return labels.find((label) => label.startsWith(RACK_PREFIX)) ?? ''
}

/** Prefix of the labels that name a rack. */
const RACK_PREFIX = 'r'
