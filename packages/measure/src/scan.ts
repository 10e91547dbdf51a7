/**
 * Lower bound for the cost of a best-fit decision without an index: one scan over three arrays.
 */
import { Random } from './random.js'

const SCANS = 2_000
const BASE_CPU_MILLI = 1_000
const MEMORY_MB = 2_048

/**
 * Times a scan for the worker with the least free capacity that fits a task.
 *
 * @param workers number of workers
 * @param seed seed of the workers' random free capacity
 * @returns mean time of one scan in microseconds
 */
export function scanArrays (workers: number, seed: number): number {
  const random = new Random(seed)
  const cpu = Float64Array.from({ length: workers }, () => random.integerBelow(16_000))
  const memory = Float64Array.from({ length: workers }, () => random.integerBelow(32_768))
  const slots = Int32Array.from({ length: workers }, () => random.integerBelow(8))
  let checksum = 0
  const startMs = performance.now()
  for (let scan = 0; scan < SCANS; scan++) checksum += findBestFit(cpu, memory, slots, BASE_CPU_MILLI + scan)
  const elapsedMs = performance.now() - startMs
  // This never throws. The comparison uses the results, so that the compiler cannot remove the scans.
  if (checksum < -SCANS) throw new Error('A scan returned an index below -1.')
  return elapsedMs / SCANS * 1_000
}

function findBestFit (cpu: Float64Array, memory: Float64Array, slots: Int32Array, cpuMilli: number): number {
  let best = -1
  let bestScore = Infinity
  for (let worker = 0; worker < cpu.length; worker++) {
    const freeCpu = cpu[worker]! - cpuMilli
    const freeMemory = memory[worker]! - MEMORY_MB
    if (freeCpu < 0 || freeMemory < 0 || slots[worker]! <= 0) continue
    const score = freeCpu + freeMemory
    if (score >= bestScore) continue
    best = worker
    bestScore = score
  }
  return best
}
