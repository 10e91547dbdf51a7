/**
 * Latest start times of waiting tasks, earliest first.
 */
import type { TaskTable } from './table.js'
import { NONE, Phase } from './table.js'

/** Heaps of at most this many entries are not compacted. */
const MIN_COMPACTION_LENGTH = 1024

/**
 * A binary heap of latest start times. Entries of tasks that no longer wait stay in the heap until they reach the top or the heap
 * is compacted. Therefore removing a task takes constant time.
 */
export class StartByHeap {
  private times: number[] = []
  private rows: number[] = []
  private generations: number[] = []

  constructor (private readonly table: TaskTable) {}

  /**
   * Adds a waiting task.
   *
   * @param row the task's row
   * @param startByMs its latest start time
   */
  add (row: number, startByMs: number): void {
    if (this.times.length > MIN_COMPACTION_LENGTH && this.times.length > this.table.waiting * 2) this.compact()
    this.push(startByMs, row, this.table.generation[row]!)
  }

  /**
   * Removes the next waiting task whose latest start time has passed.
   *
   * @param nowMs the current time
   * @returns the task's row, or NONE if there is none
   */
  popExpired (nowMs: number): number {
    while (this.times.length > 0 && this.times[0]! < nowMs) {
      const row = this.rows[0]!
      const stillWaits = this.isWaiting(0)
      this.pop()
      if (stillWaits) return row
    }
    return NONE
  }

  /** Returns whether the task of an entry still waits. A row that was freed since has another generation. */
  private isWaiting (index: number): boolean {
    const row = this.rows[index]!
    return this.table.generation[row] === this.generations[index] && this.table.phase[row] === Phase.Waiting
  }

  private compact (): void {
    const { times, rows, generations } = this
    const kept: number[] = []
    for (const index of times.keys()) if (this.isWaiting(index)) kept.push(index)
    this.times = []
    this.rows = []
    this.generations = []
    for (const index of kept) this.push(times[index]!, rows[index]!, generations[index]!)
  }

  private push (time: number, row: number, generation: number): void {
    let child = this.times.length
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (this.times[parent]! <= time) break
      this.move(parent, child)
      child = parent
    }
    this.write(child, time, row, generation)
  }

  private pop (): void {
    const time = this.times.pop()!
    const row = this.rows.pop()!
    const generation = this.generations.pop()!
    const length = this.times.length
    if (length === 0) return
    let parent = 0
    for (let child = 1; child < length; child = parent * 2 + 1) {
      if (child + 1 < length && this.times[child + 1]! < this.times[child]!) child++
      if (this.times[child]! >= time) break
      this.move(child, parent)
      parent = child
    }
    this.write(parent, time, row, generation)
  }

  private move (from: number, to: number): void {
    this.write(to, this.times[from]!, this.rows[from]!, this.generations[from]!)
  }

  private write (index: number, time: number, row: number, generation: number): void {
    this.times[index] = time
    this.rows[index] = row
    this.generations[index] = generation
  }
}
