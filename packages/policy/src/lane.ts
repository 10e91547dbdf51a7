/**
 * Lanes: FIFO queues of waiting tasks that scheduling treats alike.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { TaskKind } from './task-kind.js'
import type { Policy } from './policy.js'
import type { TaskTable } from './table.js'
import type { Team } from './team.js'
import { NO_RESOURCES } from '@fireflymount/protocol/resources'
import { NONE } from './table.js'

/** What blocks the head of a lane. Only an unblocked head is worth a search among all workers. */
export enum Block {
  None = 0,
  /** There is not enough free capacity; workers whose capacity is freed are offered to the lane. */
  Capacity = 1,
  /** The team has used up its allotment; rechecked when a task of the team ends or the allotment changes. */
  Allotment = 2,
  /** The start would use the headroom for requests; rechecked at intervals. */
  Headroom = 3
}

/**
 * Waiting tasks of one team, kind, workload and urgency, as a doubly linked list in the task table. Their sizes are equal, or
 * only similar if `isUniform` is false. A gang has one entry.
 */
export class Lane {
  head = NONE
  tail = NONE
  length = 0
  block = Block.None
  /** Size of the head, and the time when it was submitted. */
  size: Resources = NO_RESOURCES
  submittedMs = 0
  /** The same size as plain numbers, because every decision reads them. */
  cpuMilli = 0
  memoryMb = 0
  accelerators = 0
  /** Time when the head was submitted, minus the wait credit of its workload. */
  effectiveSubmitMs = 0
  /**
   * Index in the list of lanes with the same block; NONE if the lane is in no list. Each team has one list for each block, except
   * Block.Headroom, which has one list for all teams. Set by Lanes.
   */
  listIndex = NONE
  /** Time when a task of the lane last started. */
  lastStartMs = 0
  /** Earliest time of the next preemption or reservation attempt for this lane. */
  retryAtMs = 0

  constructor (
    readonly key: string,
    readonly team: Team,
    readonly kind: TaskKind,
    readonly policy: Policy,
    readonly workload: Workload,
    readonly urgency: Urgency,
    /** True if all tasks have the same size and avoid no worker. */
    readonly isUniform: boolean
  ) {}

  /**
   * Adds a waiting task: at the end, or at the front if it was submitted before the current head.
   *
   * @param table the tasks
   * @param row the row
   */
  add (table: TaskTable, row: number): void {
    table.lanes[row] = this
    this.length++
    if (this.head === NONE) {
      this.tail = row
      this.setHead(table, row)
      return
    }
    if (table.at(row).submittedMs < this.submittedMs) {
      table.next[row] = this.head
      table.previous[this.head] = row
      this.setHead(table, row)
      return
    }
    table.previous[row] = this.tail
    table.next[this.tail] = row
    this.tail = row
  }

  /**
   * Removes a task from any position.
   *
   * @param table the tasks
   * @param row the row
   */
  remove (table: TaskTable, row: number): void {
    const next = table.next[row]!
    const previous = table.previous[row]!
    if (previous === NONE) this.setHead(table, next)
    else table.next[previous] = next
    if (next === NONE) this.tail = previous
    else table.previous[next] = previous
    table.next[row] = NONE
    table.previous[row] = NONE
    table.lanes[row] = undefined
    this.length--
  }

  private setHead (table: TaskTable, row: number): void {
    this.head = row
    if (row === NONE) return
    const { size, submittedMs } = table.at(row)
    this.size = size
    this.submittedMs = submittedMs
    this.cpuMilli = size.cpuMilli
    this.memoryMb = size.memoryMb
    this.accelerators = size.accelerators
    this.effectiveSubmitMs = submittedMs - this.policy.waitCreditMs
  }
}
