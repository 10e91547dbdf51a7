/**
 * Base class of the placement policies, one for each workload.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Lane } from './lane.js'
import type { ShardState } from './shard-state.js'
import type { Reservation } from './reservation.js'
import type { Task } from './task.js'
import { NONE } from './table.js'

/** Number of candidate workers that are scored in each availability zone. */
export const CANDIDATES_PER_ZONE = 16

/** Weight of the imbalance between remaining CPU and memory, relative to the remaining amount. */
const IMBALANCE_WEIGHT = 8

/** Weights of an upstream's scheduling goals: waiting time, fair share and bin packing. Non-negative; only the ratio matters. */
export interface Weights {
  readonly waiting: number
  readonly share: number
  readonly packing: number
}

/** Workers for the task at the head of a lane, or for all tasks of its gang: `workers[i]` for the task in `rows[i]`. */
export interface Assignment {
  readonly rows: readonly number[]
  readonly workers: readonly number[]
}

/** Places the head of a lane. */
export abstract class Policy {
  /**
   * Waiting time after which a task has the full aging bonus when teams are ordered; the bonus prevents starvation.
   * If the weights of waiting and share are equal, the full bonus equals a share ratio of 1.
   */
  abstract readonly agingHorizonMs: number
  /** Added to the waiting time of every task of the workload when the lanes of one team are ordered. */
  abstract readonly waitCreditMs: number

  constructor (
    protected readonly state: ShardState,
    protected readonly weights: Weights,
    protected readonly reservation: Reservation
  ) {}

  /**
   * Chooses workers for the head of a lane, without charging the tasks to them.
   *
   * @param lane the lane, not empty
   * @param nowMs the current time
   * @returns the workers, or undefined if there is not enough free capacity
   */
  abstract choose (lane: Lane, nowMs: number): Assignment | undefined

  /**
   * Returns whether the head of a lane may start on a worker that is offered to it and has enough free capacity. A gang never
   * may, because one worker doesn't show whether all its tasks fit.
   *
   * @param lane the lane, not empty
   * @param worker the worker's index
   * @param nowMs the current time
   * @returns true if it may
   */
  abstract acceptsOffer (lane: Lane, worker: number, nowMs: number): boolean

  /**
   * Scores how tightly a task fits on a worker. The score is the sum of the capacity that would remain, the weighted imbalance
   * between CPU and memory, and the expected overload by tasks that use more than they declare.
   *
   * @param worker the worker's index
   * @param size the size of the task
   * @returns the score; less is better
   */
  protected bestFitScore (worker: number, size: Resources): number {
    const { cpu, memory } = this.remainingFractions(worker, size)
    return cpu + memory + IMBALANCE_WEIGHT * Math.abs(cpu - memory) + this.expectedOverload(worker, cpu)
  }

  /**
   * Scores how much capacity would remain on a worker; the opposite of best fit.
   *
   * @param worker the worker's index
   * @param size the size of the task
   * @returns the score; less is better
   */
  protected worstFitScore (worker: number, size: Resources): number {
    const { cpu, memory } = this.remainingFractions(worker, size)
    return this.expectedOverload(worker, cpu) - cpu - memory
  }

  /**
   * Finds the candidate worker on which a task fits most tightly, by CPU and memory.
   *
   * @param task the task
   * @returns the worker's index, or NONE
   */
  protected findBestFit (task: Task): number {
    const { fleet } = this.state
    const { capacityIndex } = fleet
    const limit = CANDIDATES_PER_ZONE + (task.avoid?.length ?? 0)
    capacityIndex.candidateCount = 0
    for (let zone = 0; zone < fleet.zoneCount; zone++) capacityIndex.collect(task.size, zone, limit, false)
    let best = NONE
    let bestScore = Infinity
    for (let position = 0; position < capacityIndex.candidateCount; position++) {
      const worker = capacityIndex.candidates[position]!
      const score = this.bestFitScore(worker, task.size)
      if (score >= bestScore || this.avoids(task, worker)) continue
      best = worker
      bestScore = score
    }
    return best
  }

  /**
   * Finds a worker with enough free capacity among those reserved for a lane.
   *
   * @param lane the lane
   * @param task the lane's head or another task of its gang
   * @returns the worker's index, or NONE
   */
  protected findReserved (lane: Lane, task: Task): number {
    if (this.reservation.lane !== lane) return NONE
    for (const worker of this.reservation.workers) {
      if (!this.reservation.isReservedAndReady(worker) || !this.state.fleet.fits(worker, task.size)) continue
      if (!this.avoids(task, worker)) return worker
    }
    return NONE
  }

  /**
   * Returns whether a task should avoid a worker because it failed there before. If it failed on as many workers as are ready, it
   * avoids none.
   *
   * @param task the task
   * @param worker the worker's index
   * @returns true if the task should run elsewhere
   */
  protected avoids (task: Task, worker: number): boolean {
    const { avoid } = task
    if (avoid === undefined || avoid.length === 0) return false
    const { fleet } = this.state
    if (avoid.length >= fleet.readyWorkers) return false
    return avoid.includes(fleet.specs[worker]!.id)
  }

  /** Returns the fractions of a worker's capacity that would remain free with a task of a size placed on it. */
  private remainingFractions (worker: number, size: Resources): { cpu: number, memory: number } {
    const { fleet } = this.state
    return {
      cpu: (fleet.freeCpu[worker]! - size.cpuMilli) * fleet.inverseCpu[worker]!,
      memory: (fleet.freeMemory[worker]! - size.memoryMb) * fleet.inverseMemory[worker]!
    }
  }

  /**
   * Returns how far the expected usage beyond declared sizes exceeds the CPU that would remain, as a fraction of the
   * worker's CPU.
   */
  private expectedOverload (worker: number, remainingCpu: number): number {
    const { fleet } = this.state
    return Math.max(0, fleet.expectedExcessCpu[worker]! * fleet.inverseCpu[worker]! - remainingCpu)
  }
}

/**
 * Scales weights to a sum of 1.
 *
 * @param weights the weights; if all are 0 they count as equal
 * @returns the scaled weights
 */
export function normalizeWeights ({ waiting, share, packing }: Weights): Weights {
  const sum = waiting + share + packing
  if (sum <= 0) return { waiting: 1 / 3, share: 1 / 3, packing: 1 / 3 }
  return { waiting: waiting / sum, share: share / sum, packing: packing / sum }
}
