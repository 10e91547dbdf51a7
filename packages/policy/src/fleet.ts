/**
 * The workers of a shard, stored as a struct of arrays indexed by worker.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { WorkerSpec } from './task.js'
import { Condition } from './task.js'
import { FreeCapacityIndex } from './free-capacity-index.js'
import { NONE, copyInto } from './table.js'

const INITIAL_WORKERS = 64
const EMPTY: WorkerSpec = { id: '', zone: '', rack: '', capacity: { cpuMilli: 0, memoryMb: 0, accelerators: 0 }, slots: 0 }

/** Workers with the same capacity and number of slots. */
export interface WorkerType {
  readonly capacity: Resources
  readonly slots: number
  count: number
}

/** Workers with their capacity, condition and running tasks, and an index by free capacity. */
export class Fleet {
  readonly specs: Array<WorkerSpec | undefined> = []
  readonly conditions: Condition[] = []
  /** Row of the first running task of each worker; the task table links the others. */
  firstRunning = new Int32Array(INITIAL_WORKERS).fill(NONE)
  /** Free capacity by declared sizes: CPU in thousandths of a core, memory in MB, accelerators, slots. */
  freeCpu = new Float64Array(INITIAL_WORKERS)
  freeMemory = new Float64Array(INITIAL_WORKERS)
  freeAccelerators = new Float64Array(INITIAL_WORKERS)
  freeSlots = new Int32Array(INITIAL_WORKERS)
  /** Inverse of capacity, so that scoring a candidate needs no division. */
  inverseCpu = new Float64Array(INITIAL_WORKERS)
  inverseMemory = new Float64Array(INITIAL_WORKERS)
  /** CPU that running tasks are expected to use beyond their declared sizes, in thousandths of a core. */
  expectedExcessCpu = new Float64Array(INITIAL_WORKERS)
  zone = new Int32Array(INITIAL_WORKERS)
  rack = new Int32Array(INITIAL_WORKERS)
  /** 1 while a reservation keeps other tasks off the worker, except for backfilling. */
  reserved = new Uint8Array(INITIAL_WORKERS)
  readonly capacityIndex = new FreeCapacityIndex(this)
  readonly workerTypes = new Map<string, WorkerType>()
  /** Number of ready workers, and sums of their free capacity. */
  readyWorkers = 0
  readyFreeSlots = 0
  readyFreeCpu = 0
  readyFreeMemory = 0
  readyFreeAccelerators = 0
  /** Sums of capacity over all workers. */
  totalCpu = 0
  totalMemory = 0
  totalAccelerators = 0
  totalSlots = 0
  zoneCount = 0
  private readonly indicesById = new Map<string, number>()
  private readonly zoneIndices = new Map<string, number>()
  private readonly rackIndices = new Map<string, number>()
  private readonly unusedIndices: number[] = []
  /** The largest CPU and the largest memory of any worker so far. */
  private readonly largest = { cpuMilli: 0, memoryMb: 0 }

  /**
   * Finds a worker.
   *
   * @param id the worker's id
   * @returns its index, or NONE
   */
  find (id: string): number {
    return this.indicesById.get(id) ?? NONE
  }

  /**
   * Returns the number of worker indices, including those of removed workers; every worker index is below it.
   *
   * @returns the number
   */
  length (): number {
    return this.specs.length
  }

  /**
   * Adds a worker in the condition Closed, or replaces the description of a known one and keeps its running tasks.
   *
   * @param spec the worker
   * @returns its index
   */
  set (spec: WorkerSpec): number {
    const known = this.find(spec.id)
    const worker = known === NONE ? this.add(spec.id) : known
    const before = this.specs[worker] ?? EMPTY
    this.addToReadySums(worker, -1)
    this.countCapacity(before, -1)
    this.specs[worker] = spec
    this.countCapacity(spec, 1)
    this.freeCpu[worker]! += spec.capacity.cpuMilli - before.capacity.cpuMilli
    this.freeMemory[worker]! += spec.capacity.memoryMb - before.capacity.memoryMb
    this.freeAccelerators[worker]! += spec.capacity.accelerators - before.capacity.accelerators
    this.freeSlots[worker]! += spec.slots - before.slots
    this.inverseCpu[worker] = 1 / Math.max(1, spec.capacity.cpuMilli)
    this.inverseMemory[worker] = 1 / Math.max(1, spec.capacity.memoryMb)
    this.zone[worker] = internIndex(this.zoneIndices, spec.zone)
    this.rack[worker] = internIndex(this.rackIndices, `${spec.zone}/${spec.rack}`)
    this.addToReadySums(worker, 1)
    this.rebuildIndexIfNeeded(spec, known === NONE)
    this.capacityIndex.update(worker)
    return worker
  }

  /**
   * Removes a worker that runs no tasks.
   *
   * @param worker its index
   */
  remove (worker: number): void {
    const spec = this.specs[worker]
    if (spec === undefined) return
    if (this.firstRunning[worker] !== NONE) throw new Error(`Worker "${spec.id}" runs tasks; remove it after they have ended.`)
    this.setCondition(worker, Condition.Closed)
    this.countCapacity(spec, -1)
    this.specs[worker] = undefined
    this.indicesById.delete(spec.id)
    this.unusedIndices.push(worker)
  }

  /**
   * Sets the condition of a worker.
   *
   * @param worker its index
   * @param condition the new condition
   */
  setCondition (worker: number, condition: Condition): void {
    this.addToReadySums(worker, -1)
    this.conditions[worker] = condition
    this.addToReadySums(worker, 1)
    this.capacityIndex.update(worker)
  }

  /**
   * Reserves a worker, or ends its reservation.
   *
   * @param worker its index
   * @param reserved true to reserve it
   */
  setReserved (worker: number, reserved: boolean): void {
    this.reserved[worker] = reserved ? 1 : 0
    this.capacityIndex.update(worker)
  }

  /**
   * Returns whether a worker is ready, not reserved and has a free slot, regardless of the size of a task.
   *
   * @param worker its index
   * @returns true if the worker belongs in the index by free capacity
   */
  acceptsTasks (worker: number): boolean {
    return this.conditions[worker] === Condition.Ready && this.reserved[worker] === 0 && this.freeSlots[worker]! > 0
  }

  /**
   * Returns whether a task of a size fits into a worker's free capacity.
   *
   * @param worker its index
   * @param size the resources that the task needs
   * @returns true if it fits
   */
  fits (worker: number, size: Resources): boolean {
    if (size.cpuMilli > this.freeCpu[worker]! || size.memoryMb > this.freeMemory[worker]!) return false
    return size.accelerators <= this.freeAccelerators[worker]! && this.freeSlots[worker]! > 0
  }

  /**
   * Subtracts a task from a worker's free capacity, or adds it back.
   *
   * @param worker its index
   * @param size the task's declared size
   * @param sign 1 to charge the task, -1 to release it
   */
  charge (worker: number, size: Resources, sign: number): void {
    const cpu = size.cpuMilli * sign
    const memory = size.memoryMb * sign
    const accelerators = size.accelerators * sign
    this.freeCpu[worker]! -= cpu
    this.freeMemory[worker]! -= memory
    this.freeAccelerators[worker]! -= accelerators
    this.freeSlots[worker]! -= sign
    if (this.conditions[worker] === Condition.Ready) {
      this.readyFreeCpu -= cpu
      this.readyFreeMemory -= memory
      this.readyFreeAccelerators -= accelerators
      this.readyFreeSlots -= sign
    }
    this.capacityIndex.update(worker)
  }

  private add (id: string): number {
    const worker = this.unusedIndices.pop() ?? this.specs.length
    if (worker === this.freeCpu.length) this.grow()
    this.specs[worker] = undefined
    this.conditions[worker] = Condition.Closed
    this.freeCpu[worker] = 0
    this.freeMemory[worker] = 0
    this.freeAccelerators[worker] = 0
    this.freeSlots[worker] = 0
    this.expectedExcessCpu[worker] = 0
    this.reserved[worker] = 0
    this.firstRunning[worker] = NONE
    this.indicesById.set(id, worker)
    return worker
  }

  private addToReadySums (worker: number, sign: number): void {
    if (this.conditions[worker] !== Condition.Ready) return
    this.readyWorkers += sign
    this.readyFreeSlots += this.freeSlots[worker]! * sign
    this.readyFreeCpu += this.freeCpu[worker]! * sign
    this.readyFreeMemory += this.freeMemory[worker]! * sign
    this.readyFreeAccelerators += this.freeAccelerators[worker]! * sign
  }

  private countCapacity (spec: WorkerSpec, sign: number): void {
    const { capacity, slots } = spec
    if (spec === EMPTY) return
    this.totalCpu += capacity.cpuMilli * sign
    this.totalMemory += capacity.memoryMb * sign
    this.totalAccelerators += capacity.accelerators * sign
    this.totalSlots += slots * sign
    const key = `${capacity.cpuMilli} ${capacity.memoryMb} ${capacity.accelerators} ${slots}`
    const workerType = this.workerTypes.get(key) ?? { capacity, slots, count: 0 }
    workerType.count += sign
    if (workerType.count === 0) this.workerTypes.delete(key)
    else this.workerTypes.set(key, workerType)
  }

  private rebuildIndexIfNeeded (spec: WorkerSpec, added: boolean): void {
    const { largest } = this
    const hasLargerWorker = spec.capacity.cpuMilli > largest.cpuMilli || spec.capacity.memoryMb > largest.memoryMb
    if (!added && !hasLargerWorker && this.zoneIndices.size === this.zoneCount) return
    largest.cpuMilli = Math.max(largest.cpuMilli, spec.capacity.cpuMilli)
    largest.memoryMb = Math.max(largest.memoryMb, spec.capacity.memoryMb)
    const hasNewZone = this.zoneIndices.size > this.zoneCount
    this.zoneCount = this.zoneIndices.size
    if (!hasLargerWorker && !hasNewZone && this.capacityIndex.covers(this.specs.length)) return
    this.capacityIndex.rebuild(this.freeCpu.length, this.zoneCount, largest)
    for (const worker of this.specs.keys()) this.capacityIndex.update(worker)
  }

  private grow (): void {
    const length = this.freeCpu.length * 2
    this.firstRunning = copyInto(this.firstRunning, new Int32Array(length))
    this.freeCpu = copyInto(this.freeCpu, new Float64Array(length))
    this.freeMemory = copyInto(this.freeMemory, new Float64Array(length))
    this.freeAccelerators = copyInto(this.freeAccelerators, new Float64Array(length))
    this.freeSlots = copyInto(this.freeSlots, new Int32Array(length))
    this.inverseCpu = copyInto(this.inverseCpu, new Float64Array(length))
    this.inverseMemory = copyInto(this.inverseMemory, new Float64Array(length))
    this.expectedExcessCpu = copyInto(this.expectedExcessCpu, new Float64Array(length))
    this.zone = copyInto(this.zone, new Int32Array(length))
    this.rack = copyInto(this.rack, new Int32Array(length))
    this.reserved = copyInto(this.reserved, new Uint8Array(length))
  }
}

/** Returns the index of a name, and assigns the next one to a new name. */
function internIndex (names: Map<string, number>, name: string): number {
  const known = names.get(name)
  if (known !== undefined) return known
  names.set(name, names.size)
  return names.size - 1
}
