/**
 * All lanes of a shard: which are worth trying, and which comes next.
 */
import type { Workload } from '@fireflymount/protocol/workload'
import { Urgency } from '@fireflymount/protocol/workload'
import type { Gate } from './gate.js'
import type { Occupancy } from './occupancy.js'
import type { Policy, Weights } from './policy.js'
import type { Task } from './task.js'
import type { Team, Totals } from './team.js'
import { Block, Lane } from './lane.js'
import { NONE } from './table.js'

/** Lanes of one shard from which on a new lane takes sizes that differ by up to a factor of two. */
const EXACT_LANES_MAX = 512
/** Least weight of the share, so that equal waiting times never leave a team behind for good. */
const SHARE_WEIGHT_MIN = 0.05

/** Patience of urgent work as a part of that of normal work. */
const URGENT_PATIENCE = 0.1

/** One policy for each kind of workload. */
export type Policies = Readonly<Record<Workload, Policy>>

/** The lanes, by what blocks them, and their order. */
export class Lanes {
  /** Lanes kept back for requests. */
  readonly headroom: Lane[] = []
  readonly totals: Totals = { cpuMilli: 1, memoryMb: 1, accelerators: 1, shares: 1 }
  /** Teams with lanes that are open or found no room. */
  readonly active: Team[] = []
  private readonly lanes = new Map<string, Lane>()
  private readonly shareWeight: number
  private readonly waitingWeight: number
  private offeredCpu = 0
  private offeredMemory = 0
  private offeredAccelerators = 0

  constructor (
    private readonly occupancy: Occupancy,
    private readonly policies: Policies,
    private readonly gate: Gate,
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
    const lane = this.laneOf(slot)
    const head = lane.head
    lane.add(table, slot)
    if (lane.length === 1) this.enter(lane)
    else if (lane.head !== head) this.open(lane)
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
    else if (wasHead) this.open(lane)
  }

  /**
   * Takes the head out of a lane because it starts.
   *
   * @param lane the lane
   */
  shift (lane: Lane): void {
    lane.remove(this.occupancy.table, lane.head)
    if (lane.length === 0) this.drop(lane)
    else if (!lane.exact) this.open(lane)
  }

  /**
   * Notes what keeps the head of a lane.
   *
   * @param lane the lane
   * @param block the reason
   */
  block (lane: Lane, block: Block): void {
    if (lane.block === block) return
    this.leave(lane)
    lane.block = block
    this.enter(lane)
  }

  /**
   * Makes a lane worth a search among all workers.
   *
   * @param lane the lane
   */
  open (lane: Lane): void {
    this.block(lane, Block.None)
  }

  /**
   * Opens every lane of a list that the gate lets through, and notes what keeps the others now.
   *
   * @param lanes the list
   */
  openAll (lanes: readonly Lane[]): void {
    for (let position = lanes.length - 1; position >= 0; position--) {
      const lane = lanes[position]!
      this.block(lane, this.gate.check(lane))
    }
  }

  /**
   * Opens the lanes without room that meet a condition.
   *
   * @param condition which lanes
   */
  openRoom (condition: (lane: Lane) => boolean): void {
    for (const team of [...this.active]) {
      for (const lane of team.room.filter(condition)) this.open(lane)
    }
  }

  /**
   * Works the levels of all teams with waiting work out.
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
   * urgent work first, then by time waited. Lanes that the gate stops are blocked on the way.
   *
   * @param nowMs the time
   * @param worker a worker with room, to consider also lanes that found none so far; or NONE
   * @returns the lane, or undefined if there is none
   */
  next (nowMs: number, worker: number): Lane | undefined {
    let best: Lane | undefined
    let least = Infinity
    this.offer(worker)
    for (let position = this.active.length - 1; position >= 0; position--) {
      const team = this.active[position]!
      const open = this.firstOpen(team.open)
      const lane = worker === NONE ? open : this.firstFitting(team.room, open, worker, nowMs)
      if (lane === undefined) continue
      const rank = this.rank(lane, nowMs)
      if (best !== undefined && rank >= least) continue
      best = lane
      least = rank
    }
    return best
  }

  /** Notes the room of a worker that is offered to lanes. */
  private offer (worker: number): void {
    if (worker === NONE) return
    const { fleet } = this.occupancy
    this.offeredCpu = fleet.freeCpu[worker]!
    this.offeredMemory = fleet.freeMemory[worker]!
    this.offeredAccelerators = fleet.freeAccelerators[worker]!
  }

  private firstOpen (lanes: readonly Lane[]): Lane | undefined {
    let best: Lane | undefined
    for (let position = lanes.length - 1; position >= 0; position--) {
      const lane = lanes[position]!
      if (best !== undefined && !precedes(lane, best)) continue
      if (this.passes(lane)) best = lane
    }
    return best
  }

  private firstFitting (lanes: readonly Lane[], known: Lane | undefined, worker: number, nowMs: number): Lane | undefined {
    let best = known
    for (let position = lanes.length - 1; position >= 0; position--) {
      const lane = lanes[position]!
      if (lane.cpuMilli > this.offeredCpu || lane.memoryMb > this.offeredMemory) continue
      if (lane.accelerators > this.offeredAccelerators) continue
      if (best !== undefined && !precedes(lane, best)) continue
      if (lane.policy.accepts(lane, worker, nowMs) && this.passes(lane)) best = lane
    }
    return best
  }

  /** Tells whether the gate lets a lane through, and blocks the lane if not. */
  private passes (lane: Lane): boolean {
    const block = this.gate.check(lane)
    if (block !== Block.None) this.block(lane, block)
    return block === Block.None
  }

  private rank (lane: Lane, nowMs: number): number {
    const { patienceMs } = lane.policy
    const limitMs = lane.urgency === Urgency.Urgent ? patienceMs * URGENT_PATIENCE : patienceMs
    const impatience = Math.min(1, Math.max(0, (nowMs - lane.submittedMs) / limitMs))
    return this.shareWeight * lane.team.level - this.waitingWeight * impatience
  }

  private laneOf (slot: number): Lane {
    const { table } = this.occupancy
    const task = table.at(slot)
    const exact = this.lanes.size < EXACT_LANES_MAX && task.avoid === undefined
    const key = laneKey(task, exact)
    const known = this.lanes.get(key)
    if (known !== undefined) return known
    const policy = this.policies[task.workload]
    const lane = new Lane(key, table.teams[slot]!, table.kinds[slot]!, policy, task.workload, task.urgency, exact)
    this.lanes.set(key, lane)
    return lane
  }

  private drop (lane: Lane): void {
    this.leave(lane)
    lane.block = Block.None
    if (this.lanes.size >= EXACT_LANES_MAX) this.lanes.delete(lane.key)
  }

  private list (lane: Lane): Lane[] {
    if (lane.block === Block.None) return lane.team.open
    if (lane.block === Block.Room) return lane.team.room
    return lane.block === Block.Limit ? lane.team.limited : this.headroom
  }

  private enter (lane: Lane): void {
    const { team } = lane
    const list = this.list(lane)
    lane.position = list.length
    list.push(lane)
    if (team.position !== NONE || !isActive(team)) return
    team.position = this.active.length
    this.active.push(team)
    team.refresh(this.totals)
  }

  private leave (lane: Lane): void {
    const { team } = lane
    const list = this.list(lane)
    const last = list.pop()!
    if (last !== lane) {
      list[lane.position] = last
      last.position = lane.position
    }
    lane.position = NONE
    if (team.position === NONE || isActive(team)) return
    const other = this.active.pop()!
    if (other !== team) {
      this.active[team.position] = other
      other.position = team.position
    }
    team.position = NONE
  }
}

function precedes (left: Lane, right: Lane): boolean {
  if (left.urgency !== right.urgency) return left.urgency === Urgency.Urgent
  return left.sinceMs < right.sinceMs
}

function isActive (team: Team): boolean {
  return team.open.length + team.room.length > 0
}

function laneKey (task: Task, exact: boolean): string {
  const { size } = task
  const cpu = exact ? size.cpuMilli : -Math.ceil(Math.log2(size.cpuMilli + 1))
  const memory = exact ? size.memoryMb : -Math.ceil(Math.log2(size.memoryMb + 1))
  const retried = task.avoid === undefined ? '' : '!'
  return `${task.team} ${task.kind} ${task.workload} ${task.urgency} ${cpu} ${memory} ${size.accelerators}${retried}`
}
