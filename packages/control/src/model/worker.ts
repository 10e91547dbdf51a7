/**
 * Workers: their registry entries, their status reports and the runs on them.
 */
import type { Resources } from '@fireflymount/protocol/resources'

/** A worker's registry entry. */
export interface Worker {
  readonly id: string
  readonly upstream: string
  /** Host and port. */
  readonly address: string
  readonly zone: string
  readonly draining: boolean
  /** Minimum time left until a draining worker stops; undefined if the worker is not draining. */
  readonly remainingMs: number | undefined
  readonly capacity: Resources
  /** Labels for the machine's kind and rack. */
  readonly labels: readonly string[]
  /** Unix time at which the worker started; distinguishes incarnations with the same id. */
  readonly born: number
  /** The worker's own steady clock at the time when it wrote the entry. */
  readonly clockMs: number
  /** Machine on which this incarnation runs; empty if unknown. */
  readonly machine: string
}

/** The outcome of a run. */
export enum Ending {
  Done = 'done',
  /** The task or the worker failed; the run counts as an attempt. */
  Failed = 'failed',
  /** A stop command ended the run. */
  Stopped = 'stopped',
  /** The worker's lease expired. */
  Lapsed = 'lapsed',
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
  /** Percentage of full speed to which the run is throttled, 0 to 100. */
  readonly percent: number
  /** For a serving task its tail latency in milliseconds; for other tasks the CPU in use, in thousandths of a core. */
  readonly load: number
}

/** A completed run. The worker keeps reporting it until it is acknowledged. */
export interface EndedRun {
  /** Position in the worker's list of completed runs; each incarnation counts from 1. */
  readonly position: number
  readonly task: string
  readonly run: number
  readonly ending: Ending
  readonly checkpoint: string
}

/** A worker's answer to a lease renewal. */
export interface Report {
  readonly born: number
  readonly clockMs: number
  readonly running: readonly ActiveRun[]
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
