/**
 * The scheduler of one shard: shares, limits, spread, packing, gangs and quarantine together.
 */
import type { Result } from 'neverthrow'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Resources } from '@fireflymount/protocol/resources'
import type { Expiry, Round, Shortage } from './scheduler.js'
import type { Claim, Explanation, Machine, Placement, Preemption, Task } from './task.js'
import type { Group } from './group.js'
import type { Lane } from './lane.js'
import type { Policies } from './lanes.js'
import type { Choice, Weights } from './policy.js'
import type { Team } from './team.js'
import { ok } from 'neverthrow'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { Admission } from './admission.js'
import { BatchPolicy } from './batch.js'
import { because, explainSlot } from './explanation.js'
import { GangPolicy, members, sumSizes } from './gang.js'
import { Headroom } from './headroom.js'
import { Health } from './health.js'
import { Block } from './lane.js'
import { Lanes } from './lanes.js'
import { Occupancy } from './occupancy.js'
import { EXCESS_GRACE_MS, Preemptor } from './preemption.js'
import { RESERVATION_PAUSE_MS, Reservation } from './reservation.js'
import { RequestPolicy, ServicePolicy } from './spread.js'
import { NONE, Phase } from './table.js'
import { Condition, Ending, Obstacle } from './task.js'
import { Scheduler } from './scheduler.js'

/** Time between two reviews of levels, blocked gangs, preemption and reservation. */
const REVIEW_INTERVAL_MS = 20
/** Time between two searches for heads that a freed worker was offered and did not suit. */
const SEARCH_INTERVAL_MS = 1_000
/** Time that the head of a lane other than a gang's finds no room before workers are reserved for it. */
const RESERVATION_WAIT_MS = 10_000
const WORKERS_LOST: Machine = { id: '', zone: '', rack: '', capacity: { cpuMilli: 0, memoryMb: 0, accelerators: 0 }, slots: 0 }

/** What a shard's scheduler is built from. */
export interface ShardOptions {
  /** Only their ratio matters. */
  readonly weights: Weights
}

/** Decides for one shard with the whole policy. */
export class Shard extends Scheduler {
  private readonly occupancy = new Occupancy()
  private readonly health = new Health(this.occupancy.fleet)
  private readonly admission = new Admission(this.occupancy, this.health)
  private readonly reservation = new Reservation(this.occupancy)
  private readonly headroom: Headroom
  private readonly policies: Policies
  private readonly lanes: Lanes
  private readonly preemptor: Preemptor
  private readonly excessive = new Set<Team>()
  /** Workers that freed room since the last decision. */
  private readonly freed = new Set<number>()
  private reviewMs = 0
  private searchMs = 0
  private roomChanged = false
  private nowMs = 0

  constructor ({ weights }: ShardOptions) {
    super()
    const normal = normalize(weights)
    const { occupancy, reservation } = this
    this.headroom = new Headroom(occupancy, normal)
    this.policies = {
      [Workload.Request]: new RequestPolicy(occupancy, normal, reservation),
      [Workload.Service]: new ServicePolicy(occupancy, normal, reservation),
      [Workload.Batch]: new BatchPolicy(occupancy, normal, reservation),
      [Workload.Gang]: new GangPolicy(occupancy, normal, reservation)
    }
    this.lanes = new Lanes(occupancy, this.policies, lane => this.gate(lane), normal)
    this.preemptor = new Preemptor(occupancy, this.lanes)
  }

  setClaims (claims: readonly Claim[]): void {
    const named = new Map(claims.map(claim => [claim.team, claim]))
    let shares = 0
    for (const claim of claims) shares += claim.share
    const teams = new Set([...this.occupancy.teams.keys(), ...named.keys()])
    for (const team of teams) this.setClaim(this.occupancy.team(team), named.get(team))
    this.lanes.totals.shares = Math.max(shares, Number.EPSILON)
  }

  setMachine (machine: Machine): void {
    const worker = this.occupancy.fleet.set(machine)
    this.countTotals()
    this.onRoom(worker)
  }

  setCondition (worker: string, condition: Condition): void {
    const { fleet } = this.occupancy
    const index = fleet.find(worker)
    if (index === NONE) return
    if (condition === Condition.Quarantined) return this.health.quarantine(index, this.nowMs)
    const suspect = condition === Condition.Ready && this.health.suspects(index)
    fleet.setCondition(index, suspect ? Condition.Quarantined : condition)
    this.onRoom(index)
  }

  /**
   * Reads a worker's condition, including quarantine by the shard itself.
   *
   * @param worker the worker
   * @returns its condition, or undefined if it is not known
   */
  condition (worker: string): Condition | undefined {
    const index = this.occupancy.fleet.find(worker)
    return index === NONE ? undefined : this.occupancy.fleet.conditions[index]
  }

  removeMachine (worker: string): void {
    const index = this.occupancy.fleet.find(worker)
    if (index === NONE) return
    this.occupancy.fleet.remove(index)
    this.health.pardon(index)
    this.freed.delete(index)
    this.countTotals()
  }

  setCapacity (kind: string, capacity: number): void {
    this.occupancy.kind(kind).capacity = capacity
  }

  enqueue (task: Task, nowMs: number): Result<void, Refusal> {
    this.nowMs = nowMs
    const { table, deadlines } = this.occupancy
    if (table.find(task.id) !== NONE) return ok(undefined)
    const checked = this.admission.check(task, nowMs)
    if (checked.isErr()) return checked
    const slot = this.occupancy.add(task, Phase.Waiting)
    if (task.startByMs !== undefined) deadlines.add(slot, task.startByMs)
    if (task.workload === Workload.Gang) this.addMember(slot)
    else this.lanes.add(slot)
    return ok(undefined)
  }

  cancel (task: string): boolean {
    const { table } = this.occupancy
    const slot = table.find(task)
    if (slot === NONE || table.phase[slot] !== Phase.Waiting) return false
    this.removeWaiting(slot)
    return true
  }

  adopt (task: Task, worker: string, nowMs: number): void {
    this.nowMs = nowMs
    const { table, fleet } = this.occupancy
    const known = table.find(task.id)
    let index = fleet.find(worker)
    if (index === NONE) index = fleet.set({ ...WORKERS_LOST, id: worker })
    if (known !== NONE && table.phase[known] === Phase.Waiting) this.removeWaiting(known)
    else if (known !== NONE && table.worker[known] === index) return
    else if (known !== NONE) this.release(known, nowMs)
    const slot = this.occupancy.add(task, Phase.Running)
    this.occupancy.charge(slot, index, nowMs)
    this.onCharge(slot, nowMs)
  }

  decide (nowMs: number, most: number): Round {
    this.nowMs = nowMs
    const expired = this.expire(nowMs)
    const placements: Placement[] = []
    const due = nowMs >= this.reviewMs
    if (due) this.review(nowMs)
    while (placements.length < most) {
      const worker = this.freedWorker()
      const lane = this.lanes.next(nowMs, worker)
      if (lane === undefined && worker === NONE) break
      if (lane === undefined) this.freed.delete(worker)
      else if (!this.serve(lane, worker, most, placements)) break
    }
    const preemptions = due ? this.preempt(nowMs) : []
    if (due) this.reserve(nowMs)
    return { placements, preemptions, expired }
  }

  finish (task: string, ending: Ending, nowMs: number, runtimeMs?: number, usage?: Resources): void {
    this.nowMs = nowMs
    const { table } = this.occupancy
    const slot = table.find(task)
    if (slot === NONE || table.phase[slot] === Phase.Waiting) return
    const { runtimeMs: declaredMs, size } = table.at(slot)
    const kind = table.kinds[slot]!
    if (runtimeMs !== undefined && ending === Ending.Succeeded) kind.learnRuntime(declaredMs, runtimeMs)
    if (usage !== undefined) kind.learnSize(size, usage)
    const worker = this.release(slot, nowMs)
    this.health.learn(worker, task, kind, ending, nowMs)
    this.onRoom(worker)
  }

  observe (task: string, usage: Resources): void {
    const { table } = this.occupancy
    const slot = table.find(task)
    if (slot === NONE) return
    table.kinds[slot]!.learnSize(table.at(slot).size, usage)
  }

  explain (task: string, _nowMs: number): Explanation {
    const slot = this.occupancy.table.find(task)
    if (slot !== NONE && this.admission.fails(this.occupancy.table.at(slot))) {
      return because(Obstacle.Failing, 'The task failed on several workers that work for others.', 'Mend the job and send it anew.')
    }
    return explainSlot(this.occupancy, this.admission, slot)
  }

  waiting (): number {
    return this.occupancy.table.waiting
  }

  running (): number {
    return this.occupancy.table.running
  }

  used (name: string): Claim['allotment'] {
    const { tasks, cpuMilli, memoryMb, accelerators } = this.occupancy.team(name)
    return { tasks, cpuMilli, memoryMb, accelerators }
  }

  override shortages (): readonly Shortage[] {
    const shortages: Shortage[] = []
    for (const team of this.occupancy.teams.values()) {
      const lane = team.limited[0]
      if (lane === undefined) continue
      const gang = lane.workload === Workload.Gang ? members(this.occupancy, lane.head) : [lane.head]
      shortages.push({ team: team.name, tasks: gang.length, size: sumSizes(this.occupancy.table, gang) })
    }
    return shortages
  }

  private setClaim (team: Team, claim: Claim | undefined): void {
    team.setClaim(claim)
    team.excessMs = team.exceeds() ? this.nowMs : 0
    if (team.exceeds()) this.excessive.add(team)
    team.refresh(this.lanes.totals)
    this.lanes.openAll(team.limited)
  }

  /** Serves the head of a lane. Returns false if a gang has to wait for the next round. */
  private serve (lane: Lane, worker: number, most: number, placements: Placement[]): boolean {
    const choice = this.choose(lane, worker)
    if (choice === undefined) {
      this.lanes.block(lane, Block.Room)
      return true
    }
    if (placements.length > 0 && placements.length + choice.slots.length > most) return false
    this.lanes.shift(lane)
    lane.servedMs = this.nowMs
    for (const [position, slot] of choice.slots.entries()) placements.push(this.start(slot, choice.workers[position]!))
    if (this.reservation.lane === lane) this.unreserve()
    return true
  }

  private choose (lane: Lane, worker: number): Choice | undefined {
    const probed = this.probe(this.occupancy.table.at(lane.head))
    if (probed !== NONE) return { slots: [lane.head], workers: [probed] }
    if (lane.block === Block.Room) return { slots: [lane.head], workers: [worker] }
    return this.policies[lane.workload].choose(lane, this.nowMs)
  }

  /** A worker that freed room since lanes were blocked for want of it, or NONE. */
  private freedWorker (): number {
    const { fleet } = this.occupancy
    for (const worker of this.freed) {
      if (fleet.freeSlots[worker]! > 0 && fleet.conditions[worker] === Condition.Ready) return worker
      this.freed.delete(worker)
    }
    return NONE
  }

  /** What keeps the head of a lane although there is room. */
  private gate (lane: Lane): Block {
    if (lane.workload === Workload.Gang) return this.gangGate(lane)
    if (!lane.team.admits(lane.size, 1)) return Block.Limit
    if (lane.workload === Workload.Batch && !this.headroom.allows(lane.size, 1, this.nowMs)) return Block.Headroom
    return Block.None
  }

  private gangGate (lane: Lane): Block {
    const slots = members(this.occupancy, lane.head)
    const size = sumSizes(this.occupancy.table, slots)
    if (!lane.team.admits(size, slots.length)) return Block.Limit
    return this.headroom.allows(size, slots.length, this.nowMs) ? Block.None : Block.Headroom
  }

  /** A quarantined worker that a task may probe, or NONE. */
  private probe (task: Task): number {
    if (!mayProbe(task) || task.avoid !== undefined) return NONE
    const worker = this.health.due(task.size, this.nowMs)
    if (worker !== NONE) this.health.probe(worker, task.id, this.nowMs)
    return worker
  }

  private start (slot: number, worker: number): Placement {
    const { table, fleet } = this.occupancy
    const group = table.groups[slot]
    if (group !== undefined) group.leader = NONE
    this.occupancy.start(slot, worker, this.nowMs)
    this.onCharge(slot, this.nowMs)
    return { task: table.at(slot), worker: fleet.machines[worker]!.id }
  }

  private onCharge (slot: number, nowMs: number): void {
    const { table } = this.occupancy
    const task = table.at(slot)
    table.teams[slot]!.refresh(this.lanes.totals)
    if (task.workload === Workload.Request) this.headroom.count(task, 1, nowMs)
  }

  private release (slot: number, nowMs: number): number {
    const { table } = this.occupancy
    const task = table.at(slot)
    const team = table.teams[slot]!
    const worker = table.worker[slot]!
    this.occupancy.release(slot, nowMs)
    if (task.workload === Workload.Request) this.headroom.count(task, -1, nowMs)
    team.refresh(this.lanes.totals)
    this.lanes.openAll(team.limited)
    return worker
  }

  private removeWaiting (slot: number): void {
    const group = this.occupancy.table.groups[slot]
    const isMember = group !== undefined && this.occupancy.table.at(slot).workload === Workload.Gang
    if (isMember) this.unlinkGang(group)
    else this.removeFromLane(slot)
    this.occupancy.remove(slot)
    if (isMember && group.complete()) this.linkGang(group)
  }

  private removeFromLane (slot: number): void {
    const lane = this.occupancy.table.lanes[slot]
    const reserved = lane !== undefined && this.reservation.lane === lane && lane.head === slot
    this.lanes.remove(slot)
    if (reserved) this.unreserve()
  }

  private addMember (slot: number): void {
    const group = this.occupancy.table.groups[slot]
    if (group === undefined) this.lanes.add(slot)
    else if (group.leader === NONE && group.complete()) this.linkGang(group)
  }

  /** Lets one waiting member stand for the whole gang in its lane. */
  private linkGang (group: Group): void {
    const [leader] = group.waiting
    group.leader = leader!
    this.lanes.add(leader!)
  }

  private unlinkGang (group: Group): void {
    if (group.leader !== NONE) this.removeFromLane(group.leader)
    group.leader = NONE
  }

  private expire (nowMs: number): Expiry[] {
    const { table, deadlines } = this.occupancy
    const expired: Expiry[] = []
    for (let slot = deadlines.expired(nowMs); slot !== NONE; slot = deadlines.expired(nowMs)) {
      const task = table.at(slot)
      const waitMs = this.admission.waitMs(task, this.occupancy.kind(task.kind))
      this.removeWaiting(slot)
      expired.push({ task, refusal: refuse(Reason.DeadlinePassed, 'The work found no place before its latest start.', Math.ceil(waitMs)) })
    }
    return expired
  }

  /** Refreshes what changes with time, and opens lanes that may have become placeable by it. */
  private review (nowMs: number): void {
    this.reviewMs = nowMs + REVIEW_INTERVAL_MS
    this.lanes.refresh(nowMs)
    this.lanes.openAll(this.lanes.headroom)
    if (this.roomChanged) this.lanes.openRoom(lane => lane.workload === Workload.Gang)
    this.roomChanged = false
    if (this.health.anyDue(nowMs)) this.lanes.openRoom(lane => mayProbe(lane))
    if (nowMs < this.searchMs) return
    this.searchMs = nowMs + SEARCH_INTERVAL_MS
    this.lanes.openRoom(lane => !lane.exact || lane.workload === Workload.Service)
  }

  private preempt (nowMs: number): Preemption[] {
    const preemptions = this.preemptor.preempt(nowMs)
    for (const team of this.excessive) {
      if (!team.exceeds()) this.excessive.delete(team)
      else if (nowMs - team.excessMs >= EXCESS_GRACE_MS) {
        team.excessMs = nowMs
        preemptions.push(...this.preemptor.reduce(team))
      }
    }
    return preemptions
  }

  /** Ends a lapsed reservation, or makes one for the blocked head whose team is furthest below its share. */
  private reserve (nowMs: number): void {
    const { reservation } = this
    const { lane } = reservation
    if (lane !== undefined) {
      if (nowMs < reservation.untilMs) return
      lane.retryMs = nowMs + RESERVATION_PAUSE_MS
      this.unreserve()
    }
    const next = this.entitled(nowMs)
    if (next === undefined) return
    const count = next.workload === Workload.Gang ? members(this.occupancy, next.head).length : 1
    if (reservation.place(next, count, nowMs)) this.lanes.open(next)
    else next.retryMs = nowMs + RESERVATION_PAUSE_MS
  }

  private entitled (nowMs: number): Lane | undefined {
    let best: Lane | undefined
    for (const team of this.lanes.active) {
      if (best !== undefined && team.level >= best.team.level) continue
      const lane = team.room.find(candidate => isEntitled(candidate, nowMs))
      if (lane !== undefined) best = lane
    }
    return best
  }

  private unreserve (): void {
    for (const worker of this.reservation.cancel()) this.onRoom(worker)
  }

  private onRoom (worker: number): void {
    this.roomChanged = true
    this.freed.add(worker)
  }

  private countTotals (): void {
    const { fleet } = this.occupancy
    const { totals } = this.lanes
    totals.cpuMilli = Math.max(1, fleet.totalCpu)
    totals.memoryMb = Math.max(1, fleet.totalMemory)
    totals.accelerators = Math.max(1, fleet.totalAccelerators)
  }
}

/** Tells whether tasks may be risked on a worker that fails. */
function mayProbe ({ urgency, workload }: Pick<Task, 'urgency' | 'workload'>): boolean {
  return urgency === Urgency.Normal && (workload === Workload.Request || workload === Workload.Batch)
}

/** Tells whether a blocked lane may have workers reserved. */
function isEntitled (lane: Lane, nowMs: number): boolean {
  if (lane.workload === Workload.Request || nowMs < lane.retryMs) return false
  return lane.workload === Workload.Gang || nowMs - Math.max(lane.servedMs, lane.submittedMs) >= RESERVATION_WAIT_MS
}

function normalize ({ waiting, share, packing }: Weights): Weights {
  const sum = waiting + share + packing
  if (sum <= 0) return { waiting: 1 / 3, share: 1 / 3, packing: 1 / 3 }
  return { waiting: waiting / sum, share: share / sum, packing: packing / sum }
}
