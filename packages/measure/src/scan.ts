/**
 * The least that a decision can cost without an index: one best-fit scan of three arrays.
 */
import { Random } from './random.js'

const SCANS = 2_000
const CPU_MILLI = 1_000
const MEMORY_MB = 2_048

/**
 * Times a scan for the tightest worker.
 *
 * @param workers number of workers
 * @param seed seed of the free room
 * @returns microseconds for one scan
 */
export function scanArrays (workers: number, seed: number): number {
  const random = new Random(seed)
  const cpu = Float64Array.from({ length: workers }, () => random.below(16_000))
  const memory = Float64Array.from({ length: workers }, () => random.below(32_768))
  const slots = Int32Array.from({ length: workers }, () => random.below(8))
  let checksum = 0
  const startMs = performance.now()
  for (let scan = 0; scan < SCANS; scan++) checksum += scanOnce(cpu, memory, slots, CPU_MILLI + scan)
  const elapsedMs = performance.now() - startMs
  if (checksum < -SCANS) throw new Error('A scan returned an index below -1.')
  return elapsedMs / SCANS * 1_000
}

function scanOnce (cpu: Float64Array, memory: Float64Array, slots: Int32Array, demand: number): number {
  let best = -1
  let least = Infinity
  for (let worker = 0; worker < cpu.length; worker++) {
    const freeCpu = cpu[worker]! - demand
    const freeMemory = memory[worker]! - MEMORY_MB
    if (freeCpu < 0 || freeMemory < 0 || slots[worker]! <= 0) continue
    const score = freeCpu + freeMemory
    if (score >= least) continue
    best = worker
    least = score
  }
  return best
}
