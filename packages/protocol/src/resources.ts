/**
 * Amounts of resources that a worker has or a task needs.
 */

/**
 * CPU in thousandths of a core, memory in MB, and whole accelerators. Memory is never converted to bytes. Whether a MB is 10^6 or
 * 2^20 bytes is not fixed, but it must be the same for workers and tasks.
 */
export interface Resources {
  readonly cpuMilli: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** Zero in every dimension. */
export const NO_RESOURCES: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

/**
 * Adds two amounts.
 *
 * @param left the first amount
 * @param right the second amount
 * @returns the sum in each dimension
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
 * @returns the difference in each dimension; it can be negative
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
 * @param factor the factor
 * @returns the product in each dimension
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
 * Checks whether an amount fits into the free capacity.
 *
 * @param size the amount needed
 * @param free the free capacity
 * @returns true if it fits in every dimension
 *
 * @example
 * fitsResources(task.size, subtractResources(worker.capacity, worker.used))
 */
export function fitsResources (size: Resources, free: Resources): boolean {
  return size.cpuMilli <= free.cpuMilli && size.memoryMb <= free.memoryMb && size.accelerators <= free.accelerators
}
