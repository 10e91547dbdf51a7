/**
 * All-at-once jobs: every task of a gang starts in the same round, or none does.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Choice, Weights } from './policy.js'
import type { Headroom } from './headroom.js'
import type { Lane } from './lane.js'
import type { Occupancy } from './occupancy.js'
import type { Reservation } from './reservation.js'
import type { Task } from './task.js'
import type { TaskTable } from './table.js'
import { NO_RESOURCES, addResources } from '@fireflymount/protocol/resources'
import { Block } from './lane.js'
import { Policy } from './policy.js'
import { NONE } from './table.js'

const NO_ROOM: Choice = { slots: [], workers: [], block: Block.Room }
const NO_HEADROOM: Choice = { slots: [], workers: [], block: Block.Headroom }

/** Places gangs by best fit, on reserved workers first if the reservation is theirs. */
export class GangPolicy extends Policy {
  readonly patienceMs = 600_000
  readonly precedenceMs = 5_000

  constructor (
    occupancy: Occupancy,
    weights: Weights,
    private readonly headroom: Headroom,
    private readonly reservation: Reservation
  ) {
    super(occupancy, weights)
  }

  choose (lane: Lane, nowMs: number): Choice {
    const leader = this.occupancy.table.at(lane.head)
    const slots = members(this.occupancy, lane.head)
    if (!this.headroom.allows(leader, slots.length, nowMs)) return NO_HEADROOM
    if (!this.mayFit(lane, slots)) return NO_ROOM
    const workers: number[] = []
    for (const slot of slots) {
      const task = this.occupancy.table.at(slot)
      const worker = this.pick(task, lane)
      if (worker === NONE) break
      this.occupancy.fleet.charge(worker, task.size, 1)
      workers.push(worker)
    }
    for (const [position, worker] of workers.entries()) {
      this.occupancy.fleet.charge(worker, this.occupancy.table.at(slots[position]!).size, -1)
    }
    return workers.length === slots.length ? { slots, workers, block: Block.None } : NO_ROOM
  }

  /** Rules out by the sums over all workers what cannot fit. */
  private mayFit (lane: Lane, slots: readonly number[]): boolean {
    if (this.reservation.lane === lane) return true
    const { fleet, table } = this.occupancy
    if (fleet.readySlots < slots.length) return false
    const size = sumSizes(table, slots)
    if (fleet.readyCpu < size.cpuMilli || fleet.readyMemory < size.memoryMb) return false
    return fleet.readyAccelerators >= size.accelerators
  }

  private pick (task: Task, lane: Lane): number {
    const reserved = this.reservation.lane === lane ? this.pickReserved(task) : NONE
    return reserved === NONE ? this.tightest(task) : reserved
  }

  private pickReserved (task: Task): number {
    const { fleet } = this.occupancy
    for (const worker of this.reservation.workers) {
      if (this.reservation.holds(worker) && fleet.fits(worker, task.size) && !this.avoids(task, worker)) return worker
    }
    return NONE
  }
}

/**
 * Waiting tasks of a gang, largest first.
 *
 * @param occupancy the state of the shard
 * @param slot a waiting task of the gang
 * @returns their slots
 */
export function members (occupancy: Occupancy, slot: number): number[] {
  const { table } = occupancy
  const group = occupancy.group(table.at(slot))
  if (group === undefined) return [slot]
  const slots = [...group.waiting]
  return slots.sort((left, right) => table.at(right).size.cpuMilli - table.at(left).size.cpuMilli)
}

/**
 * Adds up the sizes of tasks.
 *
 * @param table the tasks
 * @param slots their slots
 * @returns the sum
 */
export function sumSizes (table: TaskTable, slots: readonly number[]): Resources {
  let sum = NO_RESOURCES
  for (const slot of slots) sum = addResources(sum, table.at(slot).size)
  return sum
}
