/**
 * All-at-once jobs: every task of a gang starts in the same round, or none does.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Choice } from './policy.js'
import type { Lane } from './lane.js'
import type { Occupancy } from './occupancy.js'
import type { Task } from './task.js'
import type { TaskTable } from './table.js'
import { NO_RESOURCES, addResources } from '@fireflymount/protocol/resources'
import { Policy } from './policy.js'
import { NONE } from './table.js'

/** Places gangs by best fit, on reserved workers first if the reservation is theirs. */
export class GangPolicy extends Policy {
  readonly patienceMs = 600_000
  readonly precedenceMs = 5_000

  choose (lane: Lane): Choice | undefined {
    const { table, fleet } = this.occupancy
    const slots = members(this.occupancy, lane.head)
    if (!this.mayFit(lane, slots)) return undefined
    const workers: number[] = []
    for (const slot of slots) {
      const worker = this.pick(lane, table.at(slot))
      if (worker === NONE) break
      fleet.charge(worker, table.at(slot).size, 1)
      workers.push(worker)
    }
    for (const [position, worker] of workers.entries()) fleet.charge(worker, table.at(slots[position]!).size, -1)
    return workers.length === slots.length ? { slots, workers } : undefined
  }

  /** A single worker says nothing about room for a whole gang. */
  accepts (): boolean {
    return false
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

  private pick (lane: Lane, task: Task): number {
    const reserved = this.reserved(lane, task)
    return reserved === NONE ? this.tightest(task) : reserved
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
  const group = table.groups[slot]
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
