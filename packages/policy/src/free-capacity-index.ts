/**
 * Index of workers by free capacity, so that a search doesn't examine every worker.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Fleet } from './fleet.js'
import { NONE } from './table.js'

/**
 * Number of levels into which free CPU and free memory are each divided, in proportion to the largest capacity of any worker.
 * A bit mask of levels fits into 32 bits.
 */
const LEVELS = 32
const BUCKETS_PER_PLANE = LEVELS * LEVELS
/** Levels of free accelerators: none, 1, 2-3, 4-7, 8 and more. */
const ACCELERATOR_LEVELS = 5
/** Bit mask of all levels. */
const ALL_LEVELS = 0xffffffff
/** After more than this many workers of a bucket that don't fit, the first pass goes on to the next bucket. */
const MAX_MISSES = 24

/**
 * Workers that accept tasks, in buckets of similar free capacity. Each pair of availability zone and accelerator level has a
 * plane of buckets: one row for each CPU level, one column for each memory level. Bit masks mark non-empty rows and columns.
 */
export class FreeCapacityIndex {
  /** First worker of each bucket, or NONE. */
  private heads = new Int32Array(0)
  /** Bit mask of the non-empty columns of each row. */
  private columnMasks = new Int32Array(0)
  /** Bit mask of the non-empty rows of each plane. */
  private rowMasks = new Int32Array(0)
  /** Neighbours of each worker in the doubly linked list of its bucket, or NONE. */
  private next = new Int32Array(0)
  private previous = new Int32Array(0)
  /** Bucket of each worker, or NONE. */
  private buckets = new Int32Array(0)
  private largestCpu = 1
  private largestMemory = 1
  private truncated = false
  /** Workers found since the caller last set `candidateCount` to 0; only the first `candidateCount` entries are valid. */
  candidates = new Int32Array(0)
  candidateCount = 0

  constructor (private readonly fleet: Fleet) {}

  /**
   * Clears the index and resizes it, after the number of workers or availability zones or the largest capacity has grown.
   *
   * @param workers number of workers
   * @param zones number of availability zones
   * @param largest the largest CPU and the largest memory of any worker
   */
  rebuild (workers: number, zones: number, largest: Pick<Resources, 'cpuMilli' | 'memoryMb'>): void {
    const planes = zones * ACCELERATOR_LEVELS
    this.heads = new Int32Array(planes * BUCKETS_PER_PLANE).fill(NONE)
    this.columnMasks = new Int32Array(planes * LEVELS)
    this.rowMasks = new Int32Array(planes)
    this.next = new Int32Array(workers).fill(NONE)
    this.previous = new Int32Array(workers).fill(NONE)
    this.buckets = new Int32Array(workers).fill(NONE)
    this.candidates = new Int32Array(workers)
    this.largestCpu = Math.max(1, largest.cpuMilli)
    this.largestMemory = Math.max(1, largest.memoryMb)
  }

  /**
   * Returns whether the index is large enough for a number of workers.
   *
   * @param workers the number
   * @returns true if no rebuild is needed
   */
  covers (workers: number): boolean {
    return workers <= this.buckets.length
  }

  /**
   * Moves a worker to the bucket of its current free capacity, or removes it from the index if it accepts no tasks.
   *
   * @param worker the worker's index
   */
  update (worker: number): void {
    const bucket = this.fleet.acceptsTasks(worker) ? this.bucketOf(worker) : NONE
    if (bucket === this.buckets[worker]) return
    this.unlink(worker)
    if (bucket !== NONE) this.link(worker, bucket)
  }

  /**
   * Appends workers on which a task of a size fits to `candidates`. They are roughly ordered by free capacity: fewest free
   * accelerators first, then by CPU level, then by memory level. Within a bucket there is no order. A first pass limits the
   * workers that don't fit in each bucket; if it finds nothing because of that limit, a second pass has no such limit.
   *
   * @param size the resources needed
   * @param zone the availability zone to search
   * @param limit maximum number of workers to append
   * @param mostFreeFirst true to start with the highest levels of free CPU and memory, false with the lowest
   */
  collect (size: Resources, zone: number, limit: number, mostFreeFirst: boolean): void {
    this.truncated = false
    const before = this.candidateCount
    this.collectZone(size, zone, limit, mostFreeFirst, MAX_MISSES)
    if (this.candidateCount > before || !this.truncated) return
    this.collectZone(size, zone, limit, mostFreeFirst, Infinity)
  }

  private collectZone (size: Resources, zone: number, limit: number, mostFreeFirst: boolean, maxMisses: number): void {
    const maxCount = this.candidateCount + limit
    for (let level = acceleratorLevel(size.accelerators); level < ACCELERATOR_LEVELS; level++) {
      this.collectPlane(size, zone * ACCELERATOR_LEVELS + level, maxCount, mostFreeFirst, maxMisses)
      if (this.candidateCount >= maxCount) return
    }
  }

  private collectPlane (size: Resources, plane: number, maxCount: number, mostFreeFirst: boolean, maxMisses: number): void {
    const minCpuLevel = this.cpuLevel(size.cpuMilli)
    const columns = ALL_LEVELS << this.memoryLevel(size.memoryMb)
    let rowBits = this.rowMasks[plane]! & (ALL_LEVELS << minCpuLevel)
    while (rowBits !== 0) {
      const row = mostFreeFirst ? highestBit(rowBits) : lowestBit(rowBits)
      rowBits &= ~(1 << row)
      let columnBits = this.columnMasks[plane * LEVELS + row]! & columns
      while (columnBits !== 0) {
        const column = mostFreeFirst ? highestBit(columnBits) : lowestBit(columnBits)
        columnBits &= ~(1 << column)
        this.collectBucket(size, plane * BUCKETS_PER_PLANE + row * LEVELS + column, maxCount, maxMisses)
        if (this.candidateCount >= maxCount) return
      }
    }
  }

  private collectBucket (size: Resources, bucket: number, maxCount: number, maxMisses: number): void {
    const { fleet, next, candidates } = this
    let missed = 0
    for (let worker = this.heads[bucket]!; worker !== NONE; worker = next[worker]!) {
      if (fleet.fits(worker, size)) {
        candidates[this.candidateCount++] = worker
        if (this.candidateCount >= maxCount) return
      } else if (++missed > maxMisses) {
        this.truncated = true
        return
      }
    }
  }

  private bucketOf (worker: number): number {
    const { fleet } = this
    const plane = fleet.zone[worker]! * ACCELERATOR_LEVELS + acceleratorLevel(fleet.freeAccelerators[worker]!)
    return plane * BUCKETS_PER_PLANE +
      this.cpuLevel(fleet.freeCpu[worker]!) * LEVELS + this.memoryLevel(fleet.freeMemory[worker]!)
  }

  private cpuLevel (cpuMilli: number): number {
    return levelOf(cpuMilli / this.largestCpu)
  }

  private memoryLevel (memoryMb: number): number {
    return levelOf(memoryMb / this.largestMemory)
  }

  private link (worker: number, bucket: number): void {
    const head = this.heads[bucket]!
    this.next[worker] = head
    this.previous[worker] = NONE
    if (head !== NONE) this.previous[head] = worker
    this.heads[bucket] = worker
    this.buckets[worker] = bucket
    const maskIndex = Math.floor(bucket / LEVELS)
    const plane = Math.floor(bucket / BUCKETS_PER_PLANE)
    this.columnMasks[maskIndex]! |= 1 << (bucket % LEVELS)
    this.rowMasks[plane]! |= 1 << (maskIndex % LEVELS)
  }

  private unlink (worker: number): void {
    const bucket = this.buckets[worker]!
    if (bucket === NONE) return
    const next = this.next[worker]!
    const previous = this.previous[worker]!
    if (previous === NONE) this.heads[bucket] = next
    else this.next[previous] = next
    if (next !== NONE) this.previous[next] = previous
    this.buckets[worker] = NONE
    if (this.heads[bucket] !== NONE) return
    const maskIndex = Math.floor(bucket / LEVELS)
    const plane = Math.floor(bucket / BUCKETS_PER_PLANE)
    this.columnMasks[maskIndex]! &= ~(1 << (bucket % LEVELS))
    if (this.columnMasks[maskIndex] === 0) this.rowMasks[plane]! &= ~(1 << (maskIndex % LEVELS))
  }
}

function levelOf (fraction: number): number {
  if (fraction <= 0) return 0
  return Math.min(LEVELS - 1, Math.floor(fraction * (LEVELS - 1)))
}

function acceleratorLevel (accelerators: number): number {
  if (accelerators < 1) return 0
  return Math.min(ACCELERATOR_LEVELS - 1, 32 - Math.clz32(accelerators))
}

function lowestBit (bits: number): number {
  return 31 - Math.clz32(bits & -bits)
}

function highestBit (bits: number): number {
  return 31 - Math.clz32(bits)
}
