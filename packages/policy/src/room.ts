/**
 * Index of workers by free room, so that a search need not look at every worker.
 */
import type { Fleet } from './fleet.js'
import { NONE } from './table.js'

/** Free processors and memory are each cut into this many levels. */
const LEVELS = 32
const CELLS = LEVELS * LEVELS
/** Free accelerators: none, 1, 2-3, 4-7, 8 and more. */
const ACCELERATOR_LEVELS = 5
const ALL_COLUMNS = 0xffffffff
/** Workers that do not fit and are passed over in one cell before the search looks at roomier cells first. */
const MISSES_MAX = 24

/** The least room that a search asks for. */
export interface Demand {
  cpuMilli: number
  memoryMb: number
  accelerators: number
}

/** Workers that take tasks, in cells of like room, for each availability zone. */
export class RoomIndex {
  private heads = new Int32Array(0)
  private columns = new Int32Array(0)
  private rows = new Int32Array(0)
  private next = new Int32Array(0)
  private previous = new Int32Array(0)
  private cells = new Int32Array(0)
  private largestCpu = 1
  private largestMemory = 1
  private skipped = false
  /** Workers that the last search found. */
  found = new Int32Array(0)
  count = 0

  constructor (private readonly fleet: Fleet) {}

  /**
   * Builds the index anew, after the number of workers or zones or the largest worker has changed.
   *
   * @param workers number of workers
   * @param zones number of availability zones
   * @param largest the most that one worker has, by dimension
   */
  rebuild (workers: number, zones: number, largest: Demand): void {
    const planes = zones * ACCELERATOR_LEVELS
    this.heads = new Int32Array(planes * CELLS).fill(NONE)
    this.columns = new Int32Array(planes * LEVELS)
    this.rows = new Int32Array(planes)
    this.next = new Int32Array(workers).fill(NONE)
    this.previous = new Int32Array(workers).fill(NONE)
    this.cells = new Int32Array(workers).fill(NONE)
    this.found = new Int32Array(workers)
    this.largestCpu = Math.max(1, largest.cpuMilli)
    this.largestMemory = Math.max(1, largest.memoryMb)
  }

  /**
   * Tells whether the index has place for a number of workers.
   *
   * @param workers the number
   * @returns true if it need not be built anew
   */
  holds (workers: number): boolean {
    return workers <= this.cells.length
  }

  /**
   * Puts a worker into the cell of its present room, or takes it out if it takes no tasks.
   *
   * @param worker the worker's index
   */
  update (worker: number): void {
    const cell = this.fleet.open(worker) ? this.cellOf(worker) : NONE
    if (cell === this.cells[worker]) return
    this.unlink(worker)
    if (cell !== NONE) this.link(worker, cell)
  }

  /**
   * Collects workers that a demand fits on into `found`, least room first or most room first.
   *
   * @param demand what has to fit
   * @param zone availability zone to search
   * @param limit most workers to collect, added to what is there
   * @param roomiest true to start with the most room
   */
  collect (demand: Demand, zone: number, limit: number, roomiest: boolean): void {
    this.skipped = false
    const before = this.count
    this.collectZone(demand, zone, limit, roomiest, MISSES_MAX)
    if (this.count > before || !this.skipped) return
    this.collectZone(demand, zone, limit, roomiest, Infinity)
  }

  private collectZone (demand: Demand, zone: number, limit: number, roomiest: boolean, misses: number): void {
    const most = this.count + limit
    for (let level = acceleratorLevel(demand.accelerators); level < ACCELERATOR_LEVELS; level++) {
      this.collectPlane(demand, zone * ACCELERATOR_LEVELS + level, most, roomiest, misses)
      if (this.count >= most) return
    }
  }

  private collectPlane (demand: Demand, plane: number, most: number, roomiest: boolean, misses: number): void {
    const least = this.cpuLevel(demand.cpuMilli)
    const columns = ALL_COLUMNS << this.memoryLevel(demand.memoryMb)
    let rows = this.rows[plane]! & (ALL_COLUMNS << least)
    while (rows !== 0) {
      const row = roomiest ? highest(rows) : lowest(rows)
      rows &= ~(1 << row)
      let cells = this.columns[plane * LEVELS + row]! & columns
      while (cells !== 0) {
        const column = roomiest ? highest(cells) : lowest(cells)
        cells &= ~(1 << column)
        this.collectCell(demand, plane * CELLS + row * LEVELS + column, most, misses)
        if (this.count >= most) return
      }
    }
  }

  private collectCell (demand: Demand, cell: number, most: number, misses: number): void {
    const { fleet, next, found } = this
    let missed = 0
    for (let worker = this.heads[cell]!; worker !== NONE; worker = next[worker]!) {
      if (fleet.fits(worker, demand)) {
        found[this.count++] = worker
        if (this.count >= most) return
      } else if (++missed > misses) {
        this.skipped = true
        return
      }
    }
  }

  private cellOf (worker: number): number {
    const { fleet } = this
    const plane = fleet.zone[worker]! * ACCELERATOR_LEVELS + acceleratorLevel(fleet.freeAccelerators[worker]!)
    return plane * CELLS + this.cpuLevel(fleet.freeCpu[worker]!) * LEVELS + this.memoryLevel(fleet.freeMemory[worker]!)
  }

  private cpuLevel (cpuMilli: number): number {
    return levelOf(cpuMilli / this.largestCpu)
  }

  private memoryLevel (memoryMb: number): number {
    return levelOf(memoryMb / this.largestMemory)
  }

  private link (worker: number, cell: number): void {
    const head = this.heads[cell]!
    this.next[worker] = head
    this.previous[worker] = NONE
    if (head !== NONE) this.previous[head] = worker
    this.heads[cell] = worker
    this.cells[worker] = cell
    const line = Math.floor(cell / LEVELS)
    const plane = Math.floor(cell / CELLS)
    this.columns[line]! |= 1 << (cell % LEVELS)
    this.rows[plane]! |= 1 << (line % LEVELS)
  }

  private unlink (worker: number): void {
    const cell = this.cells[worker]!
    if (cell === NONE) return
    const next = this.next[worker]!
    const previous = this.previous[worker]!
    if (previous === NONE) this.heads[cell] = next
    else this.next[previous] = next
    if (next !== NONE) this.previous[next] = previous
    this.cells[worker] = NONE
    if (this.heads[cell] !== NONE) return
    const line = Math.floor(cell / LEVELS)
    const plane = Math.floor(cell / CELLS)
    this.columns[line]! &= ~(1 << (cell % LEVELS))
    if (this.columns[line] === 0) this.rows[plane]! &= ~(1 << (line % LEVELS))
  }
}

function levelOf (part: number): number {
  if (part <= 0) return 0
  return Math.min(LEVELS - 1, Math.floor(part * (LEVELS - 1)))
}

function acceleratorLevel (accelerators: number): number {
  if (accelerators < 1) return 0
  return Math.min(ACCELERATOR_LEVELS - 1, 32 - Math.clz32(accelerators))
}

function lowest (bits: number): number {
  return 31 - Math.clz32(bits & -bits)
}

function highest (bits: number): number {
  return 31 - Math.clz32(bits)
}
