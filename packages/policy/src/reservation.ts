/**
 * Keeps workers free for one blocked head of a lane at a time, for a bounded time.
 */
import type { FreedWorkers } from './freed.js'
import type { Lane } from './lane.js'
import type { Occupancy } from './occupancy.js'
import type { Task } from './task.js'
import { Condition } from './task.js'
import { NONE } from './table.js'

/** A reservation lasts at least and at most this long. */
export const RESERVATION_MIN_MS = 5_000
export const RESERVATION_MAX_MS = 600_000
/** How much longer than expected a reservation is kept, as a factor. */
const RESERVATION_SLACK = 1.5
/** Time after a lapsed reservation before the same lane may have another. */
export const RESERVATION_PAUSE_MS = 30_000
/** Workers looked at for one reservation, beyond four for each task of a gang. */
const WORKERS_EXAMINED = 128
/** Running tasks looked at for one reservation. */
const TASKS_EXAMINED = 2_048

/** When a worker can take how many more tasks of a gang. */
interface Opening {
  readonly worker: number
  readonly atMs: number
}

/** At most one reservation in a shard, so that two gangs never wait for each other's workers. */
export class Reservation {
  lane: Lane | undefined
  /** When the reserved room is expected to be complete. */
  readyMs = 0
  /** When the reservation lapses. */
  untilMs = 0
  readonly workers: number[] = []
  private cursor = 0

  constructor (private readonly occupancy: Occupancy, private readonly freed: FreedWorkers) {}

  /**
   * Reserves workers for the head of a lane.
   *
   * @param lane the lane
   * @param count how many tasks of the head's size have to start at once
   * @param nowMs the time
   * @returns true if the workers looked at suffice
   */
  place (lane: Lane, count: number, nowMs: number): boolean {
    const task = this.occupancy.table.at(lane.head)
    const openings = this.openings(task, count, nowMs)
    if (openings.length < count) return false
    openings.sort((left, right) => left.atMs - right.atMs)
    const chosen = openings.slice(0, count)
    this.lane = lane
    this.readyMs = chosen[count - 1]!.atMs
    const spanMs = (this.readyMs - nowMs) * RESERVATION_SLACK
    this.untilMs = nowMs + Math.min(RESERVATION_MAX_MS, Math.max(RESERVATION_MIN_MS, spanMs))
    for (const { worker } of chosen) this.keep(worker)
    return true
  }

  /** Gives the reserved workers back. */
  cancel (): void {
    this.lane = undefined
    for (const worker of this.workers.splice(0)) {
      this.occupancy.fleet.reserve(worker, false)
      this.freed.add(worker)
    }
  }

  /**
   * Tells whether a task that ends by a time may use a reserved worker meanwhile.
   *
   * @param worker the worker's index
   * @param endMs the task's expected end
   * @returns true if the worker is reserved, ready, and the task ends before it is needed
   */
  admits (worker: number, endMs: number): boolean {
    return endMs <= this.readyMs && this.holds(worker)
  }

  /**
   * Tells whether a worker is reserved and ready.
   *
   * @param worker the worker's index
   * @returns true if it is
   */
  holds (worker: number): boolean {
    const { fleet } = this.occupancy
    return fleet.reserved[worker] === 1 && fleet.conditions[worker] === Condition.Ready
  }

  /**
   * Finds a reserved worker that a short task can use meanwhile.
   *
   * @param task the task
   * @param endMs its expected end
   * @returns the worker's index, or NONE
   */
  backfill (task: Task, endMs: number): number {
    if (endMs > this.readyMs) return NONE
    for (const worker of this.workers) {
      if (this.admits(worker, endMs) && this.occupancy.fleet.fits(worker, task.size)) return worker
    }
    return NONE
  }

  private keep (worker: number): void {
    const { fleet } = this.occupancy
    if (fleet.reserved[worker] === 1) return
    fleet.reserve(worker, true)
    this.workers.push(worker)
  }

  private openings (task: Task, count: number, nowMs: number): Opening[] {
    const { fleet } = this.occupancy
    const length = fleet.length()
    const most = Math.min(length, WORKERS_EXAMINED + count * 4)
    const openings: Opening[] = []
    let examined = 0
    for (let step = 0; step < most && examined < TASKS_EXAMINED; step++) {
      this.cursor = (this.cursor + 1) % length
      if (fleet.conditions[this.cursor] !== Condition.Ready) continue
      examined += this.addOpenings(this.cursor, task, count, nowMs, openings)
    }
    return openings
  }

  /** Adds the openings of one worker. Returns how many running tasks it has. */
  private addOpenings (worker: number, task: Task, count: number, nowMs: number, openings: Opening[]): number {
    const { fleet, table } = this.occupancy
    const { size } = task
    let cpu = fleet.freeCpu[worker]!
    let memory = fleet.freeMemory[worker]!
    let accelerators = fleet.freeAccelerators[worker]!
    let slots = fleet.freeSlots[worker]!
    let opened = 0
    let atMs = nowMs
    const ends = this.ends(worker)
    for (let step = 0; step <= ends.length; step++) {
      const held = Math.min(part(cpu, size.cpuMilli), part(memory, size.memoryMb), part(accelerators, size.accelerators))
      const fitting = Math.min(slots, held)
      for (; opened < Math.min(fitting, count); opened++) openings.push({ worker, atMs })
      const slot = ends[step]
      if (slot === undefined) break
      const freed = table.at(slot).size
      cpu += freed.cpuMilli
      memory += freed.memoryMb
      accelerators += freed.accelerators
      slots++
      atMs = Math.max(nowMs, table.endMs[slot]!)
      if (atMs > nowMs + RESERVATION_MAX_MS) break
    }
    return ends.length
  }

  /** Running tasks of a worker, by expected end. */
  private ends (worker: number): number[] {
    const { fleet, table } = this.occupancy
    const slots: number[] = []
    for (let slot = fleet.first[worker]!; slot !== NONE; slot = table.next[slot]!) {
      slots.push(slot)
    }
    return slots.sort((left, right) => table.endMs[left]! - table.endMs[right]!)
  }
}

/**
 * How often a size goes into some room.
 *
 * @param room the room
 * @param size the size, 0 for none
 * @returns a whole number, Infinity if the size is 0
 */
export function part (room: number, size: number): number {
  return size === 0 ? Infinity : Math.max(0, Math.floor(room / size))
}
