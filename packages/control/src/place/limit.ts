/**
 * Upper limits of workspaces over processors, memory and accelerators.
 */
import type { Resources } from '@fireflymount/protocol/resources'

/**
 * Counts how many more tasks of a size a workspace may start.
 *
 * @param limit upper limit; 0 in a dimension for none
 * @param used what may be running now
 * @param size one task
 * @returns the number, Infinity without a limit
 */
export function headroomOf (limit: Resources, used: Resources, size: Resources): number {
  return Math.min(
    tasksWithin(limit.cpuMilli, used.cpuMilli, size.cpuMilli),
    tasksWithin(limit.memoryMb, used.memoryMb, size.memoryMb),
    tasksWithin(limit.accelerators, used.accelerators, size.accelerators)
  )
}

/**
 * Measures how much of a pool a workspace uses, in its scarcest dimension.
 *
 * @param used what it has running
 * @param total the pool
 * @returns the dominant share, 0 to 1
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
