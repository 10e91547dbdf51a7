/**
 * The workers of a shard, in arrays indexed by worker.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Machine } from './task.js'
import type { Demand } from './room.js'
import { Condition } from './task.js'
import { RoomIndex } from './room.js'
import { NONE, extend } from './table.js'

const INITIAL_WORKERS = 64
const EMPTY: Machine = { id: '', zone: '', rack: '', capacity: { cpuMilli: 0, memoryMb: 0, accelerators: 0 }, slots: 0 }

/** Workers alike in what they have. */
export interface Shape {
  readonly capacity: Resources
  readonly slots: number
  count: number
}

/** Struct of arrays of workers, with their room indexed. */
export class Fleet {
  readonly machines: Array<Machine | undefined> = []
  readonly conditions: Condition[] = []
  /** Slot of the first running task of a worker, linked through the table. */
  first = new Int32Array(INITIAL_WORKERS).fill(NONE)
  freeCpu = new Float64Array(INITIAL_WORKERS)
  freeMemory = new Float64Array(INITIAL_WORKERS)
  freeAccelerators = new Float64Array(INITIAL_WORKERS)
  freeSlots = new Int32Array(INITIAL_WORKERS)
  /** Inverse of capacity, so that scores need no division. */
  perCpu = new Float64Array(INITIAL_WORKERS)
  perMemory = new Float64Array(INITIAL_WORKERS)
  /** Processors that running tasks are expected to use beyond their declared size. */
  overuse = new Float64Array(INITIAL_WORKERS)
  zone = new Int32Array(INITIAL_WORKERS)
  rack = new Int32Array(INITIAL_WORKERS)
  /** 1 while a reservation keeps the worker from other tasks. */
  reserved = new Uint8Array(INITIAL_WORKERS)
  readonly index = new RoomIndex(this)
  readonly shapes = new Map<string, Shape>()
  /** Sums over the ready workers. */
  ready = 0
  readySlots = 0
  readyCpu = 0
  readyMemory = 0
  readyAccelerators = 0
  /** Sums of capacity over all workers. */
  totalCpu = 0
  totalMemory = 0
  totalAccelerators = 0
  totalSlots = 0
  zones = 0
  private readonly indices = new Map<string, number>()
  private readonly zoneNames = new Map<string, number>()
  private readonly rackNames = new Map<string, number>()
  private readonly removed: number[] = []
  private readonly largest: Demand = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

  /**
   * Finds a worker.
   *
   * @param id its name
   * @returns its index, or NONE
   */
  find (id: string): number {
    return this.indices.get(id) ?? NONE
  }

  /**
   * Number of worker indices in use or freed; every index is below it.
   *
   * @returns the number
   */
  length (): number {
    return this.machines.length
  }

  /**
   * Adds a worker, closed, or replaces its description and keeps what runs on it.
   *
   * @param machine the worker
   * @returns its index
   */
  set (machine: Machine): number {
    const known = this.find(machine.id)
    const worker = known === NONE ? this.add(machine.id) : known
    const before = this.machines[worker] ?? EMPTY
    this.countReady(worker, -1)
    this.countShape(before, -1)
    this.machines[worker] = machine
    this.countShape(machine, 1)
    this.freeCpu[worker]! += machine.capacity.cpuMilli - before.capacity.cpuMilli
    this.freeMemory[worker]! += machine.capacity.memoryMb - before.capacity.memoryMb
    this.freeAccelerators[worker]! += machine.capacity.accelerators - before.capacity.accelerators
    this.freeSlots[worker]! += machine.slots - before.slots
    this.perCpu[worker] = 1 / Math.max(1, machine.capacity.cpuMilli)
    this.perMemory[worker] = 1 / Math.max(1, machine.capacity.memoryMb)
    this.zone[worker] = number(this.zoneNames, machine.zone)
    this.rack[worker] = number(this.rackNames, `${machine.zone}/${machine.rack}`)
    this.countReady(worker, 1)
    this.reindex(machine, known === NONE)
    this.index.update(worker)
    return worker
  }

  /**
   * Removes a worker on which nothing runs.
   *
   * @param worker its index
   */
  remove (worker: number): void {
    const machine = this.machines[worker]
    if (machine === undefined) return
    if (this.first[worker] !== NONE) throw new Error(`Worker "${machine.id}" still runs tasks; finish them before it is removed.`)
    this.setCondition(worker, Condition.Closed)
    this.countShape(machine, -1)
    this.machines[worker] = undefined
    this.indices.delete(machine.id)
    this.removed.push(worker)
  }

  /**
   * Opens or closes a worker.
   *
   * @param worker its index
   * @param condition the new condition
   */
  setCondition (worker: number, condition: Condition): void {
    this.countReady(worker, -1)
    this.conditions[worker] = condition
    this.countReady(worker, 1)
    this.index.update(worker)
  }

  /**
   * Keeps a worker for a reservation, or gives it back.
   *
   * @param worker its index
   * @param reserved true to keep it
   */
  reserve (worker: number, reserved: boolean): void {
    this.reserved[worker] = reserved ? 1 : 0
    this.index.update(worker)
  }

  /**
   * Tells whether a worker takes tasks without regard to their size.
   *
   * @param worker its index
   * @returns true if it belongs into the index of room
   */
  open (worker: number): boolean {
    return this.conditions[worker] === Condition.Ready && this.reserved[worker] === 0 && this.freeSlots[worker]! > 0
  }

  /**
   * Tells whether a demand fits into a worker's room.
   *
   * @param worker its index
   * @param demand what has to fit
   * @returns true if it fits
   */
  fits (worker: number, demand: Resources): boolean {
    if (demand.cpuMilli > this.freeCpu[worker]! || demand.memoryMb > this.freeMemory[worker]!) return false
    return demand.accelerators <= this.freeAccelerators[worker]! && this.freeSlots[worker]! > 0
  }

  /**
   * Charges a task to a worker's room, or gives the room back.
   *
   * @param worker its index
   * @param size the task's declared size
   * @param sign 1 to charge, -1 to give back
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
      this.readyCpu -= cpu
      this.readyMemory -= memory
      this.readyAccelerators -= accelerators
      this.readySlots -= sign
    }
    this.index.update(worker)
  }

  private add (id: string): number {
    const worker = this.removed.pop() ?? this.machines.length
    if (worker === this.freeCpu.length) this.grow()
    this.machines[worker] = undefined
    this.conditions[worker] = Condition.Closed
    this.freeCpu[worker] = 0
    this.freeMemory[worker] = 0
    this.freeAccelerators[worker] = 0
    this.freeSlots[worker] = 0
    this.overuse[worker] = 0
    this.reserved[worker] = 0
    this.first[worker] = NONE
    this.indices.set(id, worker)
    return worker
  }

  private countReady (worker: number, sign: number): void {
    if (this.conditions[worker] !== Condition.Ready) return
    this.ready += sign
    this.readySlots += this.freeSlots[worker]! * sign
    this.readyCpu += this.freeCpu[worker]! * sign
    this.readyMemory += this.freeMemory[worker]! * sign
    this.readyAccelerators += this.freeAccelerators[worker]! * sign
  }

  private countShape (machine: Machine, sign: number): void {
    const { capacity, slots } = machine
    if (machine === EMPTY) return
    this.totalCpu += capacity.cpuMilli * sign
    this.totalMemory += capacity.memoryMb * sign
    this.totalAccelerators += capacity.accelerators * sign
    this.totalSlots += slots * sign
    const key = `${capacity.cpuMilli} ${capacity.memoryMb} ${capacity.accelerators} ${slots}`
    const shape = this.shapes.get(key) ?? { capacity, slots, count: 0 }
    shape.count += sign
    if (shape.count === 0) this.shapes.delete(key)
    else this.shapes.set(key, shape)
  }

  private reindex (machine: Machine, added: boolean): void {
    const { largest } = this
    const grown = machine.capacity.cpuMilli > largest.cpuMilli || machine.capacity.memoryMb > largest.memoryMb
    if (!added && !grown && this.zoneNames.size === this.zones) return
    largest.cpuMilli = Math.max(largest.cpuMilli, machine.capacity.cpuMilli)
    largest.memoryMb = Math.max(largest.memoryMb, machine.capacity.memoryMb)
    const enlarged = this.zoneNames.size > this.zones
    this.zones = this.zoneNames.size
    if (!grown && !enlarged && this.index.holds(this.machines.length)) return
    this.index.rebuild(this.freeCpu.length, this.zones, largest)
    for (const worker of this.machines.keys()) this.index.update(worker)
  }

  private grow (): void {
    const length = this.freeCpu.length * 2
    this.first = extend(this.first, new Int32Array(length))
    this.freeCpu = extend(this.freeCpu, new Float64Array(length))
    this.freeMemory = extend(this.freeMemory, new Float64Array(length))
    this.freeAccelerators = extend(this.freeAccelerators, new Float64Array(length))
    this.freeSlots = extend(this.freeSlots, new Int32Array(length))
    this.perCpu = extend(this.perCpu, new Float64Array(length))
    this.perMemory = extend(this.perMemory, new Float64Array(length))
    this.overuse = extend(this.overuse, new Float64Array(length))
    this.zone = extend(this.zone, new Int32Array(length))
    this.rack = extend(this.rack, new Int32Array(length))
    this.reserved = extend(this.reserved, new Uint8Array(length))
  }
}

function number (names: Map<string, number>, name: string): number {
  const known = names.get(name)
  if (known !== undefined) return known
  names.set(name, names.size)
  return names.size - 1
}
