/**
 * All tasks of a shard, waiting and running, in arrays indexed by slot.
 */
import type { Group } from './group.js'
import type { Kind } from './kind.js'
import type { Lane } from './lane.js'
import type { Task } from './task.js'
import type { Team } from './team.js'

/** Marks the end of a list, and the absence of a slot or worker. */
export const NONE = -1

const INITIAL_SLOTS = 1024

/** Where a slot's task stands. */
export enum Phase {
  Free = 0,
  Waiting = 1,
  Running = 2,
  /** Running, with a preemption already asked for. */
  Stopping = 3
}

/** Struct of arrays of tasks, with a free list. */
export class TaskTable {
  readonly tasks: Array<Task | undefined> = []
  readonly lanes: Array<Lane | undefined> = []
  readonly teams: Team[] = []
  readonly kinds: Kind[] = []
  readonly groups: Array<Group | undefined> = []
  phase = new Uint8Array(INITIAL_SLOTS)
  next = new Int32Array(INITIAL_SLOTS).fill(NONE)
  previous = new Int32Array(INITIAL_SLOTS).fill(NONE)
  worker = new Int32Array(INITIAL_SLOTS).fill(NONE)
  startMs = new Float64Array(INITIAL_SLOTS)
  /** Expected end, from the corrected run time. */
  endMs = new Float64Array(INITIAL_SLOTS)
  /** Processors and memory charged to the team's level while it runs. */
  expectedCpu = new Float64Array(INITIAL_SLOTS)
  expectedMemory = new Float64Array(INITIAL_SLOTS)
  /** Counts the uses of a slot, so that stale references are recognised. */
  generation = new Int32Array(INITIAL_SLOTS)
  waiting = 0
  running = 0
  private readonly slots = new Map<string, number>()
  private readonly free: number[] = []

  /**
   * Finds a task's slot.
   *
   * @param id the task
   * @returns its slot, or NONE
   */
  find (id: string): number {
    return this.slots.get(id) ?? NONE
  }

  /**
   * Stores a task in a free slot.
   *
   * @param task the task, whose id is not in the table
   * @param phase where it stands
   * @param team accounts of its team
   * @param kind what is learned about its kind
   * @returns its slot
   */
  add (task: Task, phase: Phase, team: Team, kind: Kind): number {
    const slot = this.free.pop() ?? this.tasks.length
    if (slot === this.phase.length) this.grow()
    this.tasks[slot] = task
    this.lanes[slot] = undefined
    this.teams[slot] = team
    this.kinds[slot] = kind
    this.groups[slot] = undefined
    this.phase[slot] = phase
    this.worker[slot] = NONE
    this.next[slot] = NONE
    this.previous[slot] = NONE
    this.slots.set(task.id, slot)
    if (phase === Phase.Waiting) this.waiting++
    else this.running++
    return slot
  }

  /**
   * Moves a waiting task to the running ones.
   *
   * @param slot the task's slot
   */
  run (slot: number): void {
    this.phase[slot] = Phase.Running
    this.waiting--
    this.running++
  }

  /**
   * Notes what a running task is expected to use.
   *
   * @param slot the task's slot
   * @param cpuMilli processors
   * @param memoryMb memory
   */
  setExpected (slot: number, cpuMilli: number, memoryMb: number): void {
    this.expectedCpu[slot] = cpuMilli
    this.expectedMemory[slot] = memoryMb
  }

  /**
   * Frees a slot.
   *
   * @param slot the slot, unlinked from every list
   */
  remove (slot: number): void {
    if (this.phase[slot] === Phase.Waiting) this.waiting--
    else this.running--
    this.slots.delete(this.at(slot).id)
    this.tasks[slot] = undefined
    this.lanes[slot] = undefined
    this.groups[slot] = undefined
    this.phase[slot] = Phase.Free
    this.generation[slot]!++
    this.free.push(slot)
  }

  /**
   * Reads the task of a slot in use.
   *
   * @param slot the slot
   * @returns its task
   */
  at (slot: number): Task {
    const task = this.tasks[slot]
    if (task === undefined) throw new Error(`Slot ${slot} holds no task; look the task up with find() first.`)
    return task
  }

  private grow (): void {
    const length = this.phase.length * 2
    this.phase = extend(this.phase, new Uint8Array(length))
    this.next = extend(this.next, new Int32Array(length))
    this.previous = extend(this.previous, new Int32Array(length))
    this.worker = extend(this.worker, new Int32Array(length))
    this.startMs = extend(this.startMs, new Float64Array(length))
    this.endMs = extend(this.endMs, new Float64Array(length))
    this.expectedCpu = extend(this.expectedCpu, new Float64Array(length))
    this.expectedMemory = extend(this.expectedMemory, new Float64Array(length))
    this.generation = extend(this.generation, new Int32Array(length))
  }
}

/**
 * Copies a typed array into a longer one.
 *
 * @param from the array to copy
 * @param to the longer array
 * @returns the longer array
 */
export function extend<T extends { set (from: T): void }> (from: T, to: T): T {
  to.set(from)
  return to
}
