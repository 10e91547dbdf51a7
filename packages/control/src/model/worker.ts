/**
 * Workers, what they say of themselves, and what runs on them.
 */
import type { Resources } from '@fireflymount/protocol/resources'

/** A worker's entry in the registry. */
export interface Worker {
  readonly id: string
  readonly upstream: string
  /** Host and port. */
  readonly address: string
  readonly zone: string
  readonly draining: boolean
  /** Least time that is left while the worker drains; undefined otherwise. */
  readonly remainingMs: number | undefined
  readonly capacity: Resources
  /** Kind and rack of the machine. */
  readonly labels: readonly string[]
  /** Unix time of the worker's start; tells incarnations under one id apart. */
  readonly born: number
  /** The worker's own steady clock when the entry was written. */
  readonly clockMs: number
  /** Machine that the worker is one life of; empty if it is not told. */
  readonly machine: string
}

/** How a run ended. */
export enum Ending {
  Done = 'done',
  /** By its own fault or the worker's; counts as an attempt. */
  Failed = 'failed',
  /** By an order. */
  Stopped = 'stopped',
  /** Its worker's lease expired. */
  Lapsed = 'lapsed',
  /** Another member of its gang ended. */
  Broken = 'broken',
  /** Its gang was not complete in time. */
  Alone = 'alone'
}

/** A run that a worker reports as running. */
export interface ActiveRun {
  /** Job id and task key, joined by a dot. */
  readonly task: string
  readonly run: number
  /** The newest checkpoint; empty for none. */
  readonly checkpoint: string
  /** Share of its speed at which the task is let work, 0 to 100. */
  readonly percent: number
  /** Tail latency in milliseconds of a serving task; thousandths of cores in use by any other. */
  readonly load: number
}

/** A run that a worker reports as ended, until it is acknowledged. */
export interface EndedRun {
  /** Position in the worker's list of ends, counted from 1 in each incarnation. */
  readonly position: number
  readonly task: string
  readonly run: number
  readonly ending: Ending
  readonly checkpoint: string
}

/** What a worker reports when its lease is renewed. */
export interface Report {
  readonly born: number
  readonly clockMs: number
  readonly running: readonly ActiveRun[]
  readonly ended: readonly EndedRun[]
}

/**
 * Splits the name of a task as workers know it.
 *
 * @param task job id and task key, joined by a dot
 * @returns both parts
 */
export function splitTask (task: string): { readonly job: string, readonly key: string } {
  const dot = task.indexOf('.')
  return { job: task.slice(0, dot), key: task.slice(dot + 1) }
}

/** The rack among a worker's labels, or an empty text. */
export function rackOf (labels: readonly string[]): string {
  return labels.find((label) => label.startsWith(RACK_PREFIX)) ?? ''
}

/** Labels that name racks begin so. */
const RACK_PREFIX = 'r'
