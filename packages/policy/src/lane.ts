/**
 * First-in-first-out lists of waiting tasks that look alike to the decisions.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { Kind } from './kind.js'
import type { Policy } from './policy.js'
import type { TaskTable } from './table.js'
import type { Team } from './team.js'
import { NO_RESOURCES } from '@fireflymount/protocol/resources'
import { NONE } from './table.js'

/** Whether a lane's head is worth a search among all workers. */
export enum Block {
  None = 0,
  /** No room for the head; workers that free some are offered to the lane. */
  Room = 1,
  /** The team is at its allotment; opens when the team releases something or gets more. */
  Limit = 2,
  /** Kept back so that requests find room; opens when enough is free. */
  Headroom = 3
}

/** Waiting tasks of one team, kind, urgency and size, linked through the table. */
export class Lane {
  head = NONE
  tail = NONE
  length = 0
  block = Block.None
  /** Size of the head, and when it was submitted. */
  size: Resources = NO_RESOURCES
  submittedMs = 0
  /** The same size as plain numbers, because every decision compares them. */
  cpuMilli = 0
  memoryMb = 0
  accelerators = 0
  /** When the head was submitted, less the head start of its workload. */
  sinceMs = 0
  /** Position in the list of lanes with the same block, kept by the owner of that list. */
  position = NONE
  /** When a task of the lane last started. */
  servedMs = 0
  /** Earliest time of the next preemption or reservation for this lane. */
  retryMs = 0

  constructor (
    readonly key: string,
    readonly team: Team,
    readonly kind: Kind,
    readonly policy: Policy,
    readonly workload: Workload,
    readonly urgency: Urgency,
    /** All tasks have the same size and avoid no worker. */
    readonly exact: boolean
  ) {}

  /**
   * Adds a waiting slot: at the end, or at the front if it was submitted before the present head.
   *
   * @param table the tasks
   * @param slot the slot
   */
  add (table: TaskTable, slot: number): void {
    table.lanes[slot] = this
    this.length++
    if (this.head === NONE) {
      this.tail = slot
      this.setHead(table, slot)
      return
    }
    if (table.at(slot).submittedMs < this.submittedMs) {
      table.next[slot] = this.head
      table.previous[this.head] = slot
      this.setHead(table, slot)
      return
    }
    table.previous[slot] = this.tail
    table.next[this.tail] = slot
    this.tail = slot
  }

  /**
   * Takes a slot out, wherever it stands.
   *
   * @param table the tasks
   * @param slot the slot
   */
  remove (table: TaskTable, slot: number): void {
    const next = table.next[slot]!
    const previous = table.previous[slot]!
    if (previous === NONE) this.setHead(table, next)
    else table.next[previous] = next
    if (next === NONE) this.tail = previous
    else table.previous[next] = previous
    table.next[slot] = NONE
    table.previous[slot] = NONE
    table.lanes[slot] = undefined
    this.length--
  }

  private setHead (table: TaskTable, slot: number): void {
    this.head = slot
    if (slot === NONE) return
    const { size, submittedMs } = table.at(slot)
    this.size = size
    this.submittedMs = submittedMs
    this.cpuMilli = size.cpuMilli
    this.memoryMb = size.memoryMb
    this.accelerators = size.accelerators
    this.sinceMs = submittedMs - this.policy.precedenceMs
  }
}
