/**
 * Comparison of resources with a limit or a total, in all dimensions: CPU, memory and accelerators.
 */
import type { Resources } from '@fireflymount/protocol/resources'

/**
 * Returns how many more tasks of a size fit into a limit: the upper limit of a workspace or the capacity of a worker. A
 * dimension in which the limit is 0 is not checked. This also holds for capacities: a worker without accelerators does not limit
 * the number of tasks that need accelerators.
 *
 * @param limit upper limit; 0 in a dimension for no limit
 * @param used resources of all tasks that may be running now
 * @param size resources of one task
 * @returns the number of tasks, Infinity without a limit
 */
export function headroomOf (limit: Resources, used: Resources, size: Resources): number {
  return Math.min(
    tasksWithin(limit.cpuMilli, used.cpuMilli, size.cpuMilli),
    tasksWithin(limit.memoryMb, used.memoryMb, size.memoryMb),
    tasksWithin(limit.accelerators, used.accelerators, size.accelerators)
  )
}

/**
 * Computes the share of a total that an amount takes, in the dimension with the highest share.
 *
 * @param used the amount
 * @param total the total
 * @returns the dominant share; 1 if the amount equals the total in that dimension
 */
export function dominantShareOf (used: Resources, total: Resources): number {
  return Math.max(
    used.cpuMilli / Math.max(1, total.cpuMilli),
    used.memoryMb / Math.max(1, total.memoryMb),
    used.accelerators / Math.max(1, total.accelerators)
  )
}

function tasksWithin (limit: number, used: number, size: number): number {
  if (limit <= 0 || size <= 0) return Infinity
  return Math.max(0, Math.floor((limit - used) / size))
}
