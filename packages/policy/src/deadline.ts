/**
 * Latest starts of waiting tasks, earliest first.
 */
import type { TaskTable } from './table.js'
import { NONE, Phase } from './table.js'

const COMPACT_MIN = 1024

/** A binary heap of latest starts. Entries of tasks that left are dropped when they surface, or by compaction. */
export class DeadlineHeap {
  private times: number[] = []
  private slots: number[] = []
  private generations: number[] = []

  constructor (private readonly table: TaskTable) {}

  /**
   * Adds a waiting task.
   *
   * @param slot its slot
   * @param startByMs its latest start
   */
  add (slot: number, startByMs: number): void {
    if (this.times.length > COMPACT_MIN && this.times.length > this.table.waiting * 2) this.compact()
    this.push(startByMs, slot, this.table.generation[slot]!)
  }

  /**
   * Takes out the next waiting task whose latest start has passed.
   *
   * @param nowMs the time
   * @returns its slot, or NONE
   */
  expired (nowMs: number): number {
    while (this.times.length > 0 && this.times[0]! < nowMs) {
      const slot = this.slots[0]!
      const waits = this.waits(0)
      this.pop()
      if (waits) return slot
    }
    return NONE
  }

  private waits (index: number): boolean {
    const slot = this.slots[index]!
    return this.table.generation[slot] === this.generations[index] && this.table.phase[slot] === Phase.Waiting
  }

  private compact (): void {
    const { times, slots, generations } = this
    const kept: number[] = []
    for (const index of times.keys()) if (this.waits(index)) kept.push(index)
    this.times = []
    this.slots = []
    this.generations = []
    for (const index of kept) this.push(times[index]!, slots[index]!, generations[index]!)
  }

  private push (time: number, slot: number, generation: number): void {
    let child = this.times.length
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (this.times[parent]! <= time) break
      this.move(parent, child)
      child = parent
    }
    this.write(child, time, slot, generation)
  }

  private pop (): void {
    const time = this.times.pop()!
    const slot = this.slots.pop()!
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
    this.write(parent, time, slot, generation)
  }

  private move (from: number, to: number): void {
    this.write(to, this.times[from]!, this.slots[from]!, this.generations[from]!)
  }

  private write (index: number, time: number, slot: number, generation: number): void {
    this.times[index] = time
    this.slots[index] = slot
    this.generations[index] = generation
  }
}
