/**
 * How work of one kind of workload is placed.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Lane } from './lane.js'
import type { Occupancy } from './occupancy.js'
import type { Reservation } from './reservation.js'
import type { Task } from './task.js'
import { NONE } from './table.js'

/** Candidates that are looked at in each availability zone. */
export const CANDIDATES = 16

/** How much lopsided room counts against the amount of room left. */
const IMBALANCE_WEIGHT = 8

/** What the policy weighs on an upstream. Non-negative; only their ratio matters. */
export interface Weights {
  readonly waiting: number
  readonly share: number
  readonly packing: number
}

/** Where the tasks at the head of a lane go. */
export interface Choice {
  readonly slots: readonly number[]
  readonly workers: readonly number[]
}

/** Places the head of a lane. One subclass for each kind of workload. */
export abstract class Policy {
  /** Waiting time that counts as a whole share in the order of teams, in milliseconds. */
  abstract readonly patienceMs: number
  /** Head start in the order of a team's own lanes, as time waited, in milliseconds. */
  abstract readonly precedenceMs: number

  constructor (
    protected readonly occupancy: Occupancy,
    protected readonly weights: Weights,
    protected readonly reservation: Reservation
  ) {}

  /**
   * Chooses workers for the head of a lane; charges nothing.
   *
   * @param lane the lane, not empty
   * @param nowMs the time
   * @returns the choice, or undefined if there is no room
   */
  abstract choose (lane: Lane, nowMs: number): Choice | undefined

  /**
   * Tells whether the head of a lane may go to a worker that has room for it.
   *
   * @param lane the lane, not empty
   * @param worker the worker's index
   * @param nowMs the time
   * @returns true if it may
   */
  abstract accepts (lane: Lane, worker: number, nowMs: number): boolean

  /**
   * Scores how tight a demand fits a worker: what would be left, how lopsided, and what is expected beyond declared sizes.
   *
   * @param worker the worker's index
   * @param size the demand
   * @returns the score; less is better
   */
  protected tightness (worker: number, size: Resources): number {
    const { cpu, memory } = this.left(worker, size)
    return cpu + memory + IMBALANCE_WEIGHT * Math.abs(cpu - memory) + this.excess(worker, cpu)
  }

  /**
   * Scores how much room a demand leaves on a worker.
   *
   * @param worker the worker's index
   * @param size the demand
   * @returns the score; less is better
   */
  protected looseness (worker: number, size: Resources): number {
    const { cpu, memory } = this.left(worker, size)
    return this.excess(worker, cpu) - cpu - memory
  }

  /**
   * Finds the ready worker that a task fits best, by all dimensions.
   *
   * @param task the task
   * @returns the worker's index, or NONE
   */
  protected tightest (task: Task): number {
    const { fleet } = this.occupancy
    const { index } = fleet
    const limit = CANDIDATES + (task.avoid?.length ?? 0)
    index.count = 0
    for (let zone = 0; zone < fleet.zones; zone++) index.collect(task.size, zone, limit, false)
    let best = NONE
    let least = Infinity
    for (let position = 0; position < index.count; position++) {
      const worker = index.found[position]!
      const score = this.tightness(worker, task.size)
      if (score >= least || this.avoids(task, worker)) continue
      best = worker
      least = score
    }
    return best
  }

  /**
   * Finds a worker among those reserved for a lane.
   *
   * @param lane the lane
   * @param task the lane's head or another task of its gang
   * @returns the worker's index, or NONE
   */
  protected reserved (lane: Lane, task: Task): number {
    if (this.reservation.lane !== lane) return NONE
    for (const worker of this.reservation.workers) {
      if (!this.reservation.holds(worker) || !this.occupancy.fleet.fits(worker, task.size)) continue
      if (!this.avoids(task, worker)) return worker
    }
    return NONE
  }

  /**
   * Tells whether a task should not go to a worker where it failed before.
   *
   * @param task the task
   * @param worker the worker's index
   * @returns true if the worker is to be avoided
   */
  protected avoids (task: Task, worker: number): boolean {
    const { avoid } = task
    if (avoid === undefined || avoid.length === 0) return false
    const { fleet } = this.occupancy
    if (avoid.length >= fleet.ready) return false
    return avoid.includes(fleet.machines[worker]!.id)
  }

  private left (worker: number, size: Resources): { cpu: number, memory: number } {
    const { fleet } = this.occupancy
    return {
      cpu: (fleet.freeCpu[worker]! - size.cpuMilli) * fleet.perCpu[worker]!,
      memory: (fleet.freeMemory[worker]! - size.memoryMb) * fleet.perMemory[worker]!
    }
  }

  private excess (worker: number, leftCpu: number): number {
    const { fleet } = this.occupancy
    return Math.max(0, fleet.overuse[worker]! * fleet.perCpu[worker]! - leftCpu)
  }
}

/**
 * Scales weights to a sum of 1.
 *
 * @param weights the weights; all 0 counts as all equal
 * @returns the scaled weights
 */
export function normalizeWeights ({ waiting, share, packing }: Weights): Weights {
  const sum = waiting + share + packing
  if (sum <= 0) return { waiting: 1 / 3, share: 1 / 3, packing: 1 / 3 }
  return { waiting: waiting / sum, share: share / sum, packing: packing / sum }
}
