/**
 * Amounts of what a worker offers and a task needs.
 */

/** Processors in thousandths of a core, memory in MB, and whole accelerators. */
export interface Resources {
  readonly cpuMilli: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** An amount of nothing. */
export const NO_RESOURCES: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

/**
 * Adds two amounts.
 *
 * @param left the first amount
 * @param right the second amount
 * @returns the sum, by dimension
 *
 * @example
 * addResources(worker.used, task.size)
 */
export function addResources (left: Resources, right: Resources): Resources {
  return {
    cpuMilli: left.cpuMilli + right.cpuMilli,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators
  }
}

/**
 * Subtracts the second amount from the first.
 *
 * @param left the amount to subtract from
 * @param right the amount to subtract
 * @returns the difference, by dimension; it can be negative
 *
 * @example
 * subtractResources(worker.capacity, worker.used)
 */
export function subtractResources (left: Resources, right: Resources): Resources {
  return {
    cpuMilli: left.cpuMilli - right.cpuMilli,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators
  }
}

/**
 * Multiplies an amount by a factor.
 *
 * @param amount the amount
 * @param factor how many times
 * @returns the product, by dimension
 *
 * @example
 * scaleResources(gang.size, gang.count)
 */
export function scaleResources (amount: Resources, factor: number): Resources {
  return {
    cpuMilli: amount.cpuMilli * factor,
    memoryMb: amount.memoryMb * factor,
    accelerators: amount.accelerators * factor
  }
}

/**
 * Tells whether an amount fits into the room that is left.
 *
 * @param size the amount needed
 * @param room the amount free
 * @returns true if every dimension fits
 *
 * @example
 * fitsResources(task.size, subtractResources(worker.capacity, worker.used))
 */
export function fitsResources (size: Resources, room: Resources): boolean {
  return size.cpuMilli <= room.cpuMilli && size.memoryMb <= room.memoryMb && size.accelerators <= room.accelerators
}
