/**
 * Gang scheduling: all tasks of a gang start in the same round, or none does.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Assignment } from './policy.js'
import type { Lane } from './lane.js'
import type { ShardState } from './shard-state.js'
import type { Task } from './task.js'
import type { TaskTable } from './table.js'
import { NO_RESOURCES, addResources } from '@fireflymount/protocol/resources'
import { Policy } from './policy.js'
import { NONE } from './table.js'

/** Places gangs by best fit. A gang that has a reservation uses its reserved workers first. */
export class GangPolicy extends Policy {
  readonly agingHorizonMs = 600_000
  readonly waitCreditMs = 5_000

  choose (lane: Lane): Assignment | undefined {
    const { table, fleet } = this.state
    const rows = waitingMembers(this.state, lane.head)
    if (!this.mayFit(lane, rows)) return undefined
    // Each task is charged until the search ends, so that the next one sees the capacity that is left.
    const workers: number[] = []
    for (const row of rows) {
      const worker = this.pick(lane, table.at(row))
      if (worker === NONE) break
      fleet.charge(worker, table.at(row).size, 1)
      workers.push(worker)
    }
    for (const [position, worker] of workers.entries()) fleet.charge(worker, table.at(rows[position]!).size, -1)
    return workers.length === rows.length ? { rows, workers } : undefined
  }

  /** Rejects every offered worker: whether a single one has free capacity doesn't show whether the whole gang fits. */
  acceptsOffer (): boolean {
    return false
  }

  /** Compares the gang with the total free capacity, to skip the search for a gang that can't fit. */
  private mayFit (lane: Lane, rows: readonly number[]): boolean {
    if (this.reservation.lane === lane) return true
    const { fleet, table } = this.state
    if (fleet.readyFreeSlots < rows.length) return false
    const size = sumSizes(table, rows)
    if (fleet.readyFreeCpu < size.cpuMilli || fleet.readyFreeMemory < size.memoryMb) return false
    return fleet.readyFreeAccelerators >= size.accelerators
  }

  private pick (lane: Lane, task: Task): number {
    const reserved = this.findReserved(lane, task)
    return reserved === NONE ? this.findBestFit(task) : reserved
  }
}

/**
 * Returns the waiting tasks of a gang, most CPU first.
 *
 * @param state the state of the shard
 * @param row a waiting task of the gang
 * @returns the rows of the waiting tasks
 */
export function waitingMembers (state: ShardState, row: number): number[] {
  const { table } = state
  const group = table.groups[row]
  if (group === undefined) return [row]
  const rows = [...group.waiting]
  return rows.sort((left, right) => table.at(right).size.cpuMilli - table.at(left).size.cpuMilli)
}

/**
 * Adds up the sizes of tasks.
 *
 * @param table the tasks
 * @param rows their rows
 * @returns the sum
 */
export function sumSizes (table: TaskTable, rows: readonly number[]): Resources {
  let sum = NO_RESOURCES
  for (const row of rows) sum = addResources(sum, table.at(row).size)
  return sum
}
