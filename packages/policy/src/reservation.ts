/**
 * Reservation of workers for the blocked head of one lane at a time, for a bounded time.
 */
import type { FreedWorkers } from './freed.js'
import type { Lane } from './lane.js'
import type { ShardState } from './shard-state.js'
import type { Task } from './task.js'
import { Condition } from './task.js'
import { NONE } from './table.js'

/** Bounds of the duration of a reservation. */
export const MIN_RESERVATION_MS = 5_000
export const MAX_RESERVATION_MS = 600_000
/** Duration of a reservation as a multiple of the expected wait for its workers. */
const RESERVATION_SLACK_FACTOR = 1.5
/** Delay before a lane whose reservation expired or could not be made may try again. */
export const RESERVATION_RETRY_DELAY_MS = 30_000
/** Base of the maximum number of workers examined for one reservation; four more for each task that must start. */
const MAX_WORKERS_EXAMINED = 128
/** Maximum number of running tasks examined for one reservation. The tasks of the last worker may exceed it. */
const MAX_TASKS_EXAMINED = 2_048

/** A time at which a worker is expected to have free capacity for one more task. */
interface Opening {
  readonly worker: number
  readonly atMs: number
}

/** The reservation of a shard. There is at most one, so that no two gangs each wait for workers that the other one has reserved. */
export class Reservation {
  lane: Lane | undefined
  /** Time at which the reserved workers are expected to have enough free capacity. */
  readyMs = 0
  /** Time at which the reservation expires. */
  expiresMs = 0
  readonly workers: number[] = []
  private cursor = 0

  constructor (private readonly state: ShardState, private readonly freed: FreedWorkers) {}

  /**
   * Reserves workers for the head of a lane.
   *
   * @param lane the lane
   * @param count number of tasks of the head's size that must start together
   * @param nowMs the current time
   * @returns true if the examined workers are sufficient and are now reserved
   */
  reserve (lane: Lane, count: number, nowMs: number): boolean {
    const task = this.state.table.at(lane.head)
    const openings = this.openings(task, count, nowMs)
    if (openings.length < count) return false
    openings.sort((left, right) => left.atMs - right.atMs)
    const chosen = openings.slice(0, count)
    this.lane = lane
    this.readyMs = chosen[count - 1]!.atMs
    const durationMs = (this.readyMs - nowMs) * RESERVATION_SLACK_FACTOR
    this.expiresMs = nowMs + Math.min(MAX_RESERVATION_MS, Math.max(MIN_RESERVATION_MS, durationMs))
    for (const { worker } of chosen) this.reserveWorker(worker)
    return true
  }

  /** Cancels the reservation and makes its workers available to all lanes. */
  cancel (): void {
    this.lane = undefined
    for (const worker of this.workers.splice(0)) {
      this.state.fleet.setReserved(worker, false)
      this.freed.add(worker)
    }
  }

  /**
   * Returns whether a short task may run on a reserved worker until the reservation needs it.
   *
   * @param worker the worker's index
   * @param endMs the time by which the task ends with an estimated probability of 0.9 (see TaskTable.p90EndMs)
   * @returns true if the worker is reserved and ready, and the task ends before the worker is needed
   */
  allowsBackfill (worker: number, endMs: number): boolean {
    return endMs <= this.readyMs && this.isReservedAndReady(worker)
  }

  /**
   * Returns whether a worker is reserved and ready.
   *
   * @param worker the worker's index
   * @returns true if it is both
   */
  isReservedAndReady (worker: number): boolean {
    const { fleet } = this.state
    return fleet.reserved[worker] === 1 && fleet.conditions[worker] === Condition.Ready
  }

  /**
   * Finds a reserved worker on which a short task can run until the reservation needs it.
   *
   * @param task the task
   * @param endMs the time by which the task ends with an estimated probability of 0.9 (see TaskTable.p90EndMs)
   * @returns the worker's index, or NONE
   */
  findBackfill (task: Task, endMs: number): number {
    if (endMs > this.readyMs) return NONE
    for (const worker of this.workers) {
      if (this.allowsBackfill(worker, endMs) && this.state.fleet.fits(worker, task.size)) return worker
    }
    return NONE
  }

  private reserveWorker (worker: number): void {
    const { fleet } = this.state
    if (fleet.reserved[worker] === 1) return
    fleet.setReserved(worker, true)
    this.workers.push(worker)
  }

  private openings (task: Task, count: number, nowMs: number): Opening[] {
    const { fleet } = this.state
    const length = fleet.length()
    const maxWorkers = Math.min(length, MAX_WORKERS_EXAMINED + count * 4)
    const openings: Opening[] = []
    let examined = 0
    for (let step = 0; step < maxWorkers && examined < MAX_TASKS_EXAMINED; step++) {
      this.cursor = (this.cursor + 1) % length
      if (fleet.conditions[this.cursor] !== Condition.Ready) continue
      examined += this.addOpenings(this.cursor, task, count, nowMs, openings)
    }
    return openings
  }

  /** Adds the openings of one worker, now and as its running tasks end. Returns the number of its running tasks. */
  private addOpenings (worker: number, task: Task, count: number, nowMs: number, openings: Opening[]): number {
    const { fleet, table } = this.state
    const { size } = task
    let cpu = fleet.freeCpu[worker]!
    let memory = fleet.freeMemory[worker]!
    let accelerators = fleet.freeAccelerators[worker]!
    let slots = fleet.freeSlots[worker]!
    let opened = 0
    let atMs = nowMs
    const rows = this.runningByUpperEnd(worker)
    for (let step = 0; step <= rows.length; step++) {
      const byResources = Math.min(
        tasksThatFitResource(cpu, size.cpuMilli),
        tasksThatFitResource(memory, size.memoryMb),
        tasksThatFitResource(accelerators, size.accelerators)
      )
      const fitting = Math.min(slots, byResources)
      for (; opened < Math.min(fitting, count); opened++) openings.push({ worker, atMs })
      const row = rows[step]
      if (row === undefined) break
      const freed = table.at(row).size
      cpu += freed.cpuMilli
      memory += freed.memoryMb
      accelerators += freed.accelerators
      slots++
      atMs = Math.max(nowMs, table.p90EndMs[row]!)
      if (atMs > nowMs + MAX_RESERVATION_MS) break
    }
    return rows.length
  }

  /** Returns the running tasks of a worker, ordered by TaskTable.p90EndMs. */
  private runningByUpperEnd (worker: number): number[] {
    const { fleet, table } = this.state
    const rows: number[] = []
    for (let row = fleet.firstRunning[worker]!; row !== NONE; row = table.next[row]!) {
      rows.push(row)
    }
    return rows.sort((left, right) => table.p90EndMs[left]! - table.p90EndMs[right]!)
  }
}

/**
 * Returns how many tasks of a size fit into an amount of free capacity, for one resource.
 *
 * @param free the free capacity
 * @param size the size of one task, 0 if it needs none
 * @returns a whole number, Infinity if the size is 0
 */
export function tasksThatFitResource (free: number, size: number): number {
  return size === 0 ? Infinity : Math.max(0, Math.floor(free / size))
}
