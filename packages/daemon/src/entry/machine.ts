/**
 * What the machine lets this process use.
 */
import { readFileSync } from 'node:fs'
import { totalmem } from 'node:os'
import { getHeapStatistics } from 'node:v8'

/** Resources of the process. */
export interface MachineResources {
  /** Memory in bytes that the process can fill: that of the machine or container, or the heap's limit if it is lower. */
  readonly memoryBytes: number
  /** Maximum number of open descriptors; undefined if the system does not tell. */
  readonly descriptors: number | undefined
}

/** Returns the resources of this process. */
export function readMachine (): MachineResources {
  const container = process.constrainedMemory() || Infinity
  return { memoryBytes: Math.min(getHeapStatistics().heap_size_limit, container, totalmem()), descriptors: readDescriptorLimit() }
}

function readDescriptorLimit (): number | undefined {
  try {
    const soft = /^Max open files +(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1]
    return soft === undefined ? undefined : Number(soft)
  } catch {
    return undefined
  }
}
