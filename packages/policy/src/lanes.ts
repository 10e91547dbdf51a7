/**
 * All lanes of a shard: which of them may start a task, and in which order.
 */
import type { Workload } from '@fireflymount/protocol/workload'
import { Urgency } from '@fireflymount/protocol/workload'
import type { LimitCheck } from './limit-check.js'
import type { ShardState } from './shard-state.js'
import type { Policy, Weights } from './policy.js'
import type { Task } from './task.js'
import type { Team, ShardTotals } from './team.js'
import { Block, Lane } from './lane.js'
import { NONE } from './table.js'

/**
 * Once a shard has this many lanes, a new lane holds sizes that differ by up to a factor of two. This bounds the number of lanes.
 * Lanes of tasks with workers to avoid always hold such similar sizes.
 */
const MAX_UNIFORM_LANES = 512
/** Smallest weight of the share, so that teams with equal waiting times are still ordered by share and none starves. */
const MIN_SHARE_WEIGHT = 0.05

/** Aging horizon of urgent work as a fraction of that of normal work. */
const URGENT_AGING_FACTOR = 0.1

/** The placement policy of each workload. */
export type Policies = Readonly<Record<Workload, Policy>>

/** The place of a new task in the order of waiting work. */
export interface PlaceInOrder {
  /** Ratio of the team's usage to its share; 1 is exactly at the share. */
  readonly shareRatio: number
  /** Number of waiting tasks and gangs of the same team that come first. */
  readonly tasksBefore: number
  /** Names of other teams of which at least one task comes first. */
  readonly teamsBefore: readonly string[]
}

/** Keeps the lanes in lists by what blocks them, and orders those that may start a task. */
export class Lanes {
  /** Lanes blocked by the headroom for requests. */
  readonly headroomBlocked: Lane[] = []
  readonly totals: ShardTotals = { cpuMilli: 1, memoryMb: 1, accelerators: 1, shares: 1 }
  /** Teams with lanes that are unblocked or blocked by missing capacity. */
  readonly activeTeams: Team[] = []
  private readonly lanes = new Map<string, Lane>()
  private readonly shareWeight: number
  private readonly waitingWeight: number
  private offeredCpu = 0
  private offeredMemory = 0
  private offeredAccelerators = 0

  constructor (
    private readonly state: ShardState,
    private readonly policies: Policies,
    private readonly limitCheck: LimitCheck,
    weights: Weights
  ) {
    this.shareWeight = Math.max(MIN_SHARE_WEIGHT, weights.share)
    this.waitingWeight = weights.waiting
  }

  /**
   * Adds a waiting task to its lane.
   *
   * @param row the task's row
   */
  add (row: number): void {
    const { table } = this.state
    const lane = this.laneFor(row)
    const head = lane.head
    lane.add(table, row)
    if (lane.length === 1) this.addToList(lane)
    else if (lane.head !== head) this.unblock(lane)
  }

  /**
   * Removes a waiting task from its lane.
   *
   * @param row the task's row
   */
  remove (row: number): void {
    const { table } = this.state
    const lane = table.lanes[row]
    if (lane === undefined) return
    const wasHead = lane.head === row
    lane.remove(table, row)
    if (lane.length === 0) this.removeEmpty(lane)
    else if (wasHead) this.unblock(lane)
  }

  /**
   * Removes the head of a lane because it starts.
   *
   * @param lane the lane
   */
  removeHead (lane: Lane): void {
    lane.remove(this.state.table, lane.head)
    if (lane.length === 0) this.removeEmpty(lane)
    // The next head of a uniform lane has the same size, so what blocks the lane stays the same.
    else if (!lane.isUniform) this.unblock(lane)
  }

  /**
   * Records what blocks the head of a lane, and moves the lane to the list for it.
   *
   * @param lane the lane
   * @param block what blocks the head
   */
  block (lane: Lane, block: Block): void {
    if (lane.block === block) return
    this.removeFromList(lane)
    lane.block = block
    this.addToList(lane)
  }

  /**
   * Unblocks a lane, so that the next decisions search all workers for its head.
   *
   * @param lane the lane
   */
  unblock (lane: Lane): void {
    this.block(lane, Block.None)
  }

  /**
   * Checks the allotment and the headroom again for every lane of a list. Unblocks the lane, or records what blocks it now.
   *
   * @param lanes the list
   */
  recheck (lanes: readonly Lane[]): void {
    for (let position = lanes.length - 1; position >= 0; position--) {
      const lane = lanes[position]!
      this.block(lane, this.limitCheck.check(lane))
    }
  }

  /**
   * Unblocks the lanes that missing capacity blocks and that meet a condition.
   *
   * @param condition returns true for lanes to unblock
   */
  unblockCapacityBlocked (condition: (lane: Lane) => boolean): void {
    for (const team of [...this.activeTeams]) {
      for (const lane of team.capacityBlocked.filter(condition)) this.unblock(lane)
    }
  }

  /**
   * Updates the share ratios of all active teams.
   *
   * @param nowMs the current time
   */
  updateShareRatios (nowMs: number): void {
    for (const team of this.activeTeams) {
      team.decayUsage(nowMs)
      team.updateShareRatio(this.totals)
    }
  }

  /**
   * Finds the lane to serve next. Teams are ordered by share ratio minus an aging bonus for the waiting time. Within a team
   * urgent work comes first, then the work that has waited longest, with the wait credit of its workload added. Marks an
   * examined lane as blocked if the team's allotment or the headroom does not allow its head to start.
   *
   * @param nowMs the current time
   * @param worker a worker with free capacity, to consider also lanes blocked by missing capacity; or NONE
   * @returns the lane, or undefined if there is none
   */
  next (nowMs: number, worker: number): Lane | undefined {
    let best: Lane | undefined
    let bestRank = Infinity
    this.setOffered(worker)
    for (let position = this.activeTeams.length - 1; position >= 0; position--) {
      const team = this.activeTeams[position]!
      const unblocked = this.firstUnblocked(team.unblockedLanes)
      const lane = worker === NONE ? unblocked : this.firstThatFits(team.capacityBlocked, unblocked, worker, nowMs)
      if (lane === undefined) continue
      const rank = this.rank(lane, nowMs)
      if (best !== undefined && rank >= bestRank) continue
      best = lane
      bestRank = rank
    }
    return best
  }

  /** Copies the free capacity of the offered worker, because every lane is compared with it. */
  private setOffered (worker: number): void {
    if (worker === NONE) return
    const { fleet } = this.state
    this.offeredCpu = fleet.freeCpu[worker]!
    this.offeredMemory = fleet.freeMemory[worker]!
    this.offeredAccelerators = fleet.freeAccelerators[worker]!
  }

  private firstUnblocked (lanes: readonly Lane[]): Lane | undefined {
    let best: Lane | undefined
    for (let position = lanes.length - 1; position >= 0; position--) {
      const lane = lanes[position]!
      if (best !== undefined && !precedes(lane, best)) continue
      if (this.passesLimits(lane)) best = lane
    }
    return best
  }

  private firstThatFits (lanes: readonly Lane[], known: Lane | undefined, worker: number, nowMs: number): Lane | undefined {
    let best = known
    for (let position = lanes.length - 1; position >= 0; position--) {
      const lane = lanes[position]!
      if (lane.cpuMilli > this.offeredCpu || lane.memoryMb > this.offeredMemory) continue
      if (lane.accelerators > this.offeredAccelerators) continue
      if (best !== undefined && !precedes(lane, best)) continue
      if (lane.policy.acceptsOffer(lane, worker, nowMs) && this.passesLimits(lane)) best = lane
    }
    return best
  }

  /** Returns whether the team's allotment and the headroom allow the head of a lane to start, and blocks the lane if not. */
  private passesLimits (lane: Lane): boolean {
    const block = this.limitCheck.check(lane)
    if (block !== Block.None) this.block(lane, block)
    return block === Block.None
  }

  /**
   * Returns what would be considered before a task that is submitted now. Changes no state.
   *
   * @param task the task, which need not be known
   * @param nowMs the current time
   * @returns its place in the order
   */
  placeOf (task: Task, nowMs: number): PlaceInOrder {
    const team = this.state.peekTeam(task.team)
    const shareRatio = team.shareRatioAt(this.totals, nowMs)
    const effectiveSubmitMs = nowMs - this.policies[task.workload].waitCreditMs
    const rank = this.shareWeight * shareRatio
    const teamsBefore = new Set<Team>()
    let tasksBefore = 0
    for (const lane of this.lanes.values()) {
      if (lane.length === 0) continue
      if (lane.team === team) {
        tasksBefore += this.countBefore(lane, task, effectiveSubmitMs)
        continue
      }
      const laneRank = this.rankAt(lane, lane.team.shareRatioAt(this.totals, nowMs), nowMs)
      if (isListed(lane) && laneRank < rank) teamsBefore.add(lane.team)
    }
    return { shareRatio, tasksBefore, teamsBefore: [...teamsBefore].map(({ name }) => name).sort() }
  }

  /** Counts the tasks and gangs of a lane that come before a new task of the same team. */
  private countBefore (lane: Lane, task: Task, effectiveSubmitMs: number): number {
    if (lane.urgency !== task.urgency) return lane.urgency === Urgency.Urgent ? lane.length : 0
    const { table } = this.state
    let count = 0
    for (let row = lane.head; row !== NONE; row = table.next[row]!) {
      if (table.at(row).submittedMs - lane.policy.waitCreditMs >= effectiveSubmitMs) break
      count++
    }
    return count
  }

  private rank (lane: Lane, nowMs: number): number {
    return this.rankAt(lane, lane.team.shareRatio, nowMs)
  }

  private rankAt (lane: Lane, shareRatio: number, nowMs: number): number {
    const { agingHorizonMs } = lane.policy
    const horizonMs = lane.urgency === Urgency.Urgent ? agingHorizonMs * URGENT_AGING_FACTOR : agingHorizonMs
    const aging = Math.min(1, Math.max(0, (nowMs - lane.submittedMs) / horizonMs))
    return this.shareWeight * shareRatio - this.waitingWeight * aging
  }

  private laneFor (row: number): Lane {
    const { table } = this.state
    const task = table.at(row)
    const isUniform = this.lanes.size < MAX_UNIFORM_LANES && task.avoid === undefined
    const key = laneKey(task, isUniform)
    const known = this.lanes.get(key)
    if (known !== undefined) return known
    const policy = this.policies[task.workload]
    const lane = new Lane(key, table.teams[row]!, table.kinds[row]!, policy, task.workload, task.urgency, isUniform)
    this.lanes.set(key, lane)
    return lane
  }

  private removeEmpty (lane: Lane): void {
    this.removeFromList(lane)
    lane.block = Block.None
    if (this.lanes.size >= MAX_UNIFORM_LANES) this.lanes.delete(lane.key)
  }

  private listOf (lane: Lane): Lane[] {
    if (lane.block === Block.None) return lane.team.unblockedLanes
    if (lane.block === Block.Capacity) return lane.team.capacityBlocked
    return lane.block === Block.Allotment ? lane.team.allotmentBlocked : this.headroomBlocked
  }

  private addToList (lane: Lane): void {
    const { team } = lane
    const list = this.listOf(lane)
    lane.listIndex = list.length
    list.push(lane)
    if (team.activeIndex !== NONE || !isActive(team)) return
    team.activeIndex = this.activeTeams.length
    this.activeTeams.push(team)
    team.updateShareRatio(this.totals)
  }

  private removeFromList (lane: Lane): void {
    const { team } = lane
    const list = this.listOf(lane)
    const last = list.pop()!
    if (last !== lane) {
      list[lane.listIndex] = last
      last.listIndex = lane.listIndex
    }
    lane.listIndex = NONE
    if (team.activeIndex === NONE || isActive(team)) return
    const other = this.activeTeams.pop()!
    if (other !== team) {
      this.activeTeams[team.activeIndex] = other
      other.activeIndex = team.activeIndex
    }
    team.activeIndex = NONE
  }
}

function precedes (left: Lane, right: Lane): boolean {
  if (left.urgency !== right.urgency) return left.urgency === Urgency.Urgent
  return left.effectiveSubmitMs < right.effectiveSubmitMs
}

/** Returns whether the head of a lane may start once a worker has enough free capacity. */
function isListed (lane: Lane): boolean {
  return lane.block === Block.None || lane.block === Block.Capacity
}

function isActive (team: Team): boolean {
  return team.unblockedLanes.length + team.capacityBlocked.length > 0
}

/**
 * Returns the key of the lane of a task. Lanes of similar sizes have negated levels in their keys, so that a level is never taken
 * for a size. Level 0 needs no sign: it holds only the size 0. "!" marks lanes of tasks that have a list of workers to avoid.
 */
function laneKey (task: Task, isUniform: boolean): string {
  const { size } = task
  const cpu = isUniform ? size.cpuMilli : -Math.ceil(Math.log2(size.cpuMilli + 1))
  const memory = isUniform ? size.memoryMb : -Math.ceil(Math.log2(size.memoryMb + 1))
  const avoidMark = task.avoid === undefined ? '' : '!'
  return `${task.team} ${task.kind} ${task.workload} ${task.urgency} ${cpu} ${memory} ${size.accelerators}${avoidMark}`
}
