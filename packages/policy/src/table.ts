/**
 * All waiting and running tasks of a shard, stored as a struct of arrays indexed by row.
 */
import type { Group } from './group.js'
import type { TaskKind } from './task-kind.js'
import type { Lane } from './lane.js'
import type { Task } from './task.js'
import type { Team } from './team.js'

/** Value of a row or worker index that refers to nothing; also ends linked lists. */
export const NONE = -1

const INITIAL_ROWS = 1024

/** Phase of the task in a row. */
export enum Phase {
  Free = 0,
  Waiting = 1,
  Running = 2,
  /** Running, with a preemption already requested. */
  Stopping = 3
}

/** A table of tasks. Rows of removed tasks are reused; `next` and `previous` link the rows of a lane or of a worker. */
export class TaskTable {
  readonly tasks: Array<Task | undefined> = []
  readonly lanes: Array<Lane | undefined> = []
  readonly teams: Team[] = []
  readonly kinds: TaskKind[] = []
  readonly groups: Array<Group | undefined> = []
  phase = new Uint8Array(INITIAL_ROWS)
  next = new Int32Array(INITIAL_ROWS).fill(NONE)
  previous = new Int32Array(INITIAL_ROWS).fill(NONE)
  worker = new Int32Array(INITIAL_ROWS).fill(NONE)
  startMs = new Float64Array(INITIAL_ROWS)
  /**
   * Time by which a running task ends with an estimated probability of 0.9: its start plus TaskKind.p90RuntimeMs. Based on the
   * declared run time while none is learned (Infinity for a service).
   */
  p90EndMs = new Float64Array(INITIAL_ROWS)
  /** Expected usage of a running task, in thousandths of a core and MB, which is charged to the team's share ratio. */
  expectedCpu = new Float64Array(INITIAL_ROWS)
  expectedMemory = new Float64Array(INITIAL_ROWS)
  /** Number of times that a row has been freed, to detect stale references. */
  generation = new Int32Array(INITIAL_ROWS)
  waiting = 0
  running = 0
  private readonly rowsById = new Map<string, number>()
  private readonly unusedRows: number[] = []

  /**
   * Finds a task's row.
   *
   * @param id the task's id
   * @returns its row, or NONE
   */
  find (id: string): number {
    return this.rowsById.get(id) ?? NONE
  }

  /**
   * Stores a task in a free row.
   *
   * @param task the task, whose id is not in the table
   * @param phase its phase
   * @param team its team
   * @param kind its kind
   * @returns its row
   */
  add (task: Task, phase: Phase, team: Team, kind: TaskKind): number {
    const row = this.unusedRows.pop() ?? this.tasks.length
    if (row === this.phase.length) this.grow()
    this.tasks[row] = task
    this.lanes[row] = undefined
    this.teams[row] = team
    this.kinds[row] = kind
    this.groups[row] = undefined
    this.phase[row] = phase
    this.worker[row] = NONE
    this.next[row] = NONE
    this.previous[row] = NONE
    this.rowsById.set(task.id, row)
    if (phase === Phase.Waiting) this.waiting++
    else this.running++
    return row
  }

  /**
   * Changes the phase of a waiting task to running.
   *
   * @param row the task's row
   */
  markRunning (row: number): void {
    this.phase[row] = Phase.Running
    this.waiting--
    this.running++
  }

  /**
   * Sets the expected usage of a running task.
   *
   * @param row the task's row
   * @param cpuMilli expected CPU
   * @param memoryMb expected memory
   */
  setExpected (row: number, cpuMilli: number, memoryMb: number): void {
    this.expectedCpu[row] = cpuMilli
    this.expectedMemory[row] = memoryMb
  }

  /**
   * Frees a row.
   *
   * @param row the row, already removed from every linked list
   */
  remove (row: number): void {
    if (this.phase[row] === Phase.Waiting) this.waiting--
    else this.running--
    this.rowsById.delete(this.at(row).id)
    this.tasks[row] = undefined
    this.lanes[row] = undefined
    this.groups[row] = undefined
    this.phase[row] = Phase.Free
    this.generation[row]!++
    this.unusedRows.push(row)
  }

  /**
   * Returns the task of a row in use.
   *
   * @param row the row
   * @returns its task
   */
  at (row: number): Task {
    const task = this.tasks[row]
    if (task === undefined) throw new Error(`Row ${row} of the task table is free; get a valid row from find().`)
    return task
  }

  private grow (): void {
    const length = this.phase.length * 2
    this.phase = copyInto(this.phase, new Uint8Array(length))
    this.next = copyInto(this.next, new Int32Array(length))
    this.previous = copyInto(this.previous, new Int32Array(length))
    this.worker = copyInto(this.worker, new Int32Array(length))
    this.startMs = copyInto(this.startMs, new Float64Array(length))
    this.p90EndMs = copyInto(this.p90EndMs, new Float64Array(length))
    this.expectedCpu = copyInto(this.expectedCpu, new Float64Array(length))
    this.expectedMemory = copyInto(this.expectedMemory, new Float64Array(length))
    this.generation = copyInto(this.generation, new Int32Array(length))
  }
}

/**
 * Copies a typed array into a longer one.
 *
 * @param from the array to copy
 * @param to the longer array
 * @returns the longer array
 */
export function copyInto<T extends { set (from: T): void }> (from: T, to: T): T {
  to.set(from)
  return to
}
