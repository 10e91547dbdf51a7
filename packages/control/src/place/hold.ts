/**
 * Workers that are kept empty for tasks that are too large for what is free. Answers the pattern of large tasks that starve
 * while small ones take every gap: the workers where the least is missing are held, and emptied of what loses nothing by a stop.
 */
import { fitsResources, addResources, type Resources } from '@fireflymount/protocol/resources'
import type { Step } from '../model/job.js'
import { dominantShareOf } from './limit.js'
import type { Site } from './fit.js'

/** A task of at least this part of a worker is large. */
const LARGE_PART = 0.25
/** Added to the time that a worker takes to become empty: tasks run longer than estimated. */
const HOLD_RESERVE_MS = 1000
/** Urgent tasks with more slack than this many stops wait for room to become free by itself. */
const PREEMPT_SLACK_FACTOR = 3
/** Largest part of a pool that is held at once. */
const HELD_PART = 0.25

/** A run that may be stopped to make room. */
export interface Occupant<R> {
  readonly run: R
  readonly charge: Resources
  /** Work that a stop would throw away, in core-milliseconds. */
  readonly wasteMs: number
}

/** A task that found no room. */
export interface Unplaced {
  /** Runs until its job is cancelled. */
  readonly lasting: boolean
  /** No queue of the upstream comes before the task's. */
  readonly urgent: boolean
  readonly charge: Resources
  /** Time that is left until the task has to start. */
  readonly slackMs: number
}

/**
 * Tells whether a worker may be held for a task: for lasting ones at once, for large urgent ones as late as possible.
 *
 * @param capacity all of the worker's room
 * @param drainMs time after which the worker is empty if nothing more is placed on it
 */
export function mayHold (task: Unplaced, capacity: Resources, drainMs: number): boolean {
  if (task.lasting) return true
  if (!task.urgent || task.slackMs > drainMs + HOLD_RESERVE_MS) return false
  return dominantShareOf(task.charge, capacity) >= LARGE_PART
}

/** How many workers of a pool may be held at once. */
export function holdsOf (sites: number): number {
  return Math.max(1, Math.floor(HELD_PART * sites))
}

/**
 * Tells whether tasks of later queues are stopped for a task: only while the stop ends before the task has to start, or for
 * tasks that must not wait at all.
 *
 * @param stopMs longest time that a stop takes
 */
export function mayPreempt (task: Unplaced, stopMs: number): boolean {
  if (task.lasting) return true
  return task.urgent && task.slackMs < PREEMPT_SLACK_FACTOR * stopMs + HOLD_RESERVE_MS
}

/**
 * Chooses workers to hold: those with the largest part of the needed room free.
 *
 * @param count tasks that found no room
 * @param sites workers that may run the step and are not held
 */
export function chooseHeld (step: Step, charge: Resources, count: number, sites: readonly Site[]): Site[] {
  const able = sites.filter((site) => fitsResources(charge, site.capacity))
  able.sort((left, right) => missingOf(charge, left) - missingOf(charge, right) || (left.id < right.id ? -1 : 1))
  return able.slice(0, step.perWorker === 1 ? count : Math.ceil(count / 2))
}

/**
 * Chooses what to stop on a held worker, the least waste first.
 *
 * @returns the runs, or none if stopping all of them would not make room
 */
export function chooseStopped<R> (charge: Resources, free: Resources, occupants: ReadonlyArray<Occupant<R>>): R[] {
  const stopped: R[] = []
  let room = free
  for (const occupant of [...occupants].sort((left, right) => left.wasteMs - right.wasteMs)) {
    if (fitsResources(charge, room)) break
    room = addResources(room, occupant.charge)
    stopped.push(occupant.run)
  }
  return fitsResources(charge, room) ? stopped : []
}

/** Part of the needed room that a worker lacks, in its scarcest dimension. */
function missingOf (charge: Resources, site: Site): number {
  return Math.max(
    (charge.cpuMilli - site.free.cpuMilli) / Math.max(1, charge.cpuMilli),
    (charge.memoryMb - site.free.memoryMb) / Math.max(1, charge.memoryMb),
    (charge.accelerators - site.free.accelerators) / Math.max(1, charge.accelerators)
  )
}
