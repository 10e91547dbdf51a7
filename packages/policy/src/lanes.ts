/**
 * All lanes of a shard: which are worth trying, and which comes next.
 */
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { Occupancy } from './occupancy.js'
import type { Policy, Weights } from './policy.js'
import type { Reservation } from './reservation.js'
import type { Task } from './task.js'
import type { Team, Totals } from './team.js'
import { Block, Lane } from './lane.js'
import { NONE } from './table.js'

/** Lanes of one shard from which on a new lane takes sizes that differ by up to a factor of two. */
const EXACT_LANES_MAX = 512
/** Least weight of the share, so that equal waiting times never leave a team behind for good. */
const SHARE_WEIGHT_MIN = 0.05

/** One policy for each kind of workload. */
export type Policies = Readonly<Record<Workload, Policy>>

/** The lanes, by what blocks them, and their order. */
export class Lanes {
  /** Lanes whose head found no room. */
  readonly room: Lane[] = []
  /** Lanes kept back for requests. */
  readonly headroom: Lane[] = []
  readonly totals: Totals = { cpuMilli: 1, memoryMb: 1, accelerators: 1, shares: 1 }
  private readonly lanes = new Map<string, Lane>()
  private readonly active: Team[] = []
  private readonly shareWeight: number
  private readonly waitingWeight: number

  constructor (
    private readonly occupancy: Occupancy,
    private readonly reservation: Reservation,
    private readonly policies: Policies,
    weights: Weights
  ) {
    this.shareWeight = Math.max(SHARE_WEIGHT_MIN, weights.share)
    this.waitingWeight = weights.waiting
  }

  /**
   * Adds a waiting slot to its lane.
   *
   * @param slot the slot
   */
  add (slot: number): void {
    const { table } = this.occupancy
    const task = table.at(slot)
    const lane = this.laneOf(task)
    const head = lane.head
    lane.add(table, slot)
    if (lane.length === 1) this.enter(lane)
    else if (lane.head !== head) this.reopen(lane)
  }

  /**
   * Takes a waiting slot out of its lane.
   *
   * @param slot the slot
   */
  remove (slot: number): void {
    const { table } = this.occupancy
    const lane = table.lanes[slot]
    if (lane === undefined) return
    const wasHead = lane.head === slot
    lane.remove(table, slot)
    if (lane.length === 0) this.drop(lane)
    else if (wasHead) this.reopen(lane)
  }

  /**
   * Takes the head out of a lane because it starts.
   *
   * @param lane the lane
   */
  shift (lane: Lane): void {
    lane.remove(this.occupancy.table, lane.head)
    if (lane.length === 0) this.drop(lane)
    else if (!lane.exact) lane.hints = undefined
  }

  /**
   * Notes what keeps the head of a lane.
   *
   * @param lane the lane
   * @param block the reason
   */
  block (lane: Lane, block: Block): void {
    this.leave(lane)
    lane.block = block
    lane.hints = []
    this.enter(lane)
  }

  /**
   * Makes a lane worth a full search again.
   *
   * @param lane the lane
   */
  reopen (lane: Lane): void {
    lane.hints = undefined
    this.open(lane)
  }

  /**
   * Makes every lane of a list worth a full search again.
   *
   * @param lanes the list; it is emptied
   */
  reopenAll (lanes: Lane[]): void {
    while (lanes.length > 0) this.reopen(lanes[lanes.length - 1]!)
  }

  /**
   * Makes gangs that found no room worth a full search again.
   */
  reopenGangs (): void {
    for (let position = this.room.length - 1; position >= 0; position--) {
      const lane = this.room[position]!
      if (lane.workload === Workload.Gang) this.reopen(lane)
    }
  }

  /**
   * Opens the lanes whose head fits on a worker that got room.
   *
   * @param worker the worker's index
   */
  onRoom (worker: number): void {
    const { fleet, table } = this.occupancy
    if (!fleet.open(worker) && !this.reservation.holds(worker)) return
    for (const team of this.active) {
      for (const lane of team.open) lane.hint(worker)
    }
    for (let position = this.room.length - 1; position >= 0; position--) {
      const lane = this.room[position]!
      if (lane.workload === Workload.Gang || !fleet.fits(worker, table.at(lane.head).size)) continue
      lane.hint(worker)
      this.open(lane)
    }
  }

  /**
   * Works the levels of all teams with open lanes out.
   *
   * @param nowMs the time
   */
  refresh (nowMs: number): void {
    for (const team of this.active) {
      team.advance(nowMs)
      team.refresh(this.totals)
    }
  }

  /**
   * Finds the lane that comes next: the team furthest below its share, corrected by waiting time; within the team
   * urgent work first, then by time waited.
   *
   * @param nowMs the time
   * @returns the lane, or undefined if none is worth trying
   */
  next (nowMs: number): Lane | undefined {
    let best: Lane | undefined
    let least = Infinity
    for (const team of this.active) {
      const lane = this.first(team)
      const rank = this.rank(team, lane, nowMs)
      if (best !== undefined && rank >= least) continue
      best = lane
      least = rank
    }
    return best
  }

  /**
   * Finds a waiting task's place among the lanes.
   *
   * @param task the task
   * @returns the lane's key
   */
  private laneOf (task: Task): Lane {
    const exact = this.lanes.size < EXACT_LANES_MAX && task.avoid === undefined
    const key = laneKey(task, exact)
    const known = this.lanes.get(key)
    if (known !== undefined) return known
    const { occupancy } = this
    const lane = new Lane(key, occupancy.team(task.team), occupancy.kind(task.kind), task.workload, task.urgency, exact)
    this.lanes.set(key, lane)
    return lane
  }

  private first (team: Team): Lane {
    let best = team.open[0]!
    for (const lane of team.open) if (this.precedes(lane, best)) best = lane
    return best
  }

  private precedes (left: Lane, right: Lane): boolean {
    if (left.urgency !== right.urgency) return left.urgency === Urgency.Urgent
    return this.sinceMs(left) < this.sinceMs(right)
  }

  private sinceMs (lane: Lane): number {
    return this.occupancy.table.at(lane.head).submittedMs - this.policies[lane.workload].precedenceMs
  }

  private rank (team: Team, lane: Lane, nowMs: number): number {
    const waitedMs = nowMs - this.occupancy.table.at(lane.head).submittedMs
    const impatience = Math.min(1, Math.max(0, waitedMs / this.policies[lane.workload].patienceMs))
    return this.shareWeight * team.level - this.waitingWeight * impatience
  }

  private open (lane: Lane): void {
    if (lane.block === Block.None) return
    this.leave(lane)
    lane.block = Block.None
    this.enter(lane)
  }

  private drop (lane: Lane): void {
    this.leave(lane)
    lane.block = Block.None
    lane.hints = undefined
    if (this.reservation.lane === lane || this.lanes.size < EXACT_LANES_MAX) return
    this.lanes.delete(lane.key)
  }

  private list (lane: Lane): Lane[] {
    if (lane.block === Block.Room) return this.room
    if (lane.block === Block.Headroom) return this.headroom
    return lane.block === Block.Limit ? lane.team.limited : lane.team.open
  }

  private enter (lane: Lane): void {
    const list = this.list(lane)
    lane.position = list.length
    list.push(lane)
    if (list !== lane.team.open || list.length > 1) return
    this.active.push(lane.team)
    lane.team.refresh(this.totals)
  }

  private leave (lane: Lane): void {
    const list = this.list(lane)
    const last = list.pop()!
    if (last !== lane) {
      list[lane.position] = last
      last.position = lane.position
    }
    lane.position = NONE
    if (list !== lane.team.open || list.length > 0) return
    this.active.splice(this.active.indexOf(lane.team), 1)
  }
}

function laneKey (task: Task, exact: boolean): string {
  const { size } = task
  const cpu = exact ? size.cpuMilli : -Math.ceil(Math.log2(size.cpuMilli + 1))
  const memory = exact ? size.memoryMb : -Math.ceil(Math.log2(size.memoryMb + 1))
  const retried = task.avoid === undefined ? '' : '!'
  return `${task.team} ${task.kind} ${task.workload} ${task.urgency} ${cpu} ${memory} ${size.accelerators}${retried}`
}
