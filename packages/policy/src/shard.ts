/**
 * The scheduler of one shard: shares, limits, spread, packing, gangs and quarantine together.
 */
import type { Result } from 'neverthrow'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Resources } from '@fireflymount/protocol/resources'
import type { Round, Shortage } from './scheduler.js'
import type { Claim, Explanation, Machine, Placement, Task } from './task.js'
import type { Lane } from './lane.js'
import type { Policies } from './lanes.js'
import type { Choice, Weights } from './policy.js'
import type { Team } from './team.js'
import { ok } from 'neverthrow'
import { Workload } from '@fireflymount/protocol/workload'
import { Admission } from './admission.js'
import { BatchPolicy } from './batch.js'
import { because, explainSlot } from './explanation.js'
import { GangPolicy, members, sumSizes } from './gang.js'
import { FreedWorkers } from './freed.js'
import { Gate } from './gate.js'
import { Headroom } from './headroom.js'
import { Health, mayProbe } from './health.js'
import { Block } from './lane.js'
import { Lanes } from './lanes.js'
import { Occupancy } from './occupancy.js'
import { normalizeWeights } from './policy.js'
import { Preemptor } from './preemption.js'
import { Reservation } from './reservation.js'
import { Review } from './review.js'
import { RequestPolicy, ServicePolicy } from './spread.js'
import { NONE, Phase } from './table.js'
import { Condition, Ending, Obstacle } from './task.js'
import { Scheduler } from './scheduler.js'
import { Waitlist } from './waitlist.js'

/** Stands in for a worker on which a task is found before the worker itself is known. */
const UNKNOWN_MACHINE: Machine = { id: '', zone: '', rack: '', capacity: { cpuMilli: 0, memoryMb: 0, accelerators: 0 }, slots: 0 }

/** What a shard's scheduler is built from. */
export interface ShardOptions {
  /** Only their ratio matters. */
  readonly weights: Weights
}

/** Decides for one shard with the whole policy. */
export class Shard extends Scheduler {
  private readonly occupancy = new Occupancy()
  private readonly freed = new FreedWorkers(this.occupancy.fleet)
  private readonly health = new Health(this.occupancy.fleet)
  private readonly admission = new Admission(this.occupancy, this.health)
  private readonly reservation = new Reservation(this.occupancy, this.freed)
  private readonly headroom: Headroom
  private readonly policies: Policies
  private readonly lanes: Lanes
  private readonly waitlist: Waitlist
  private readonly review: Review

  constructor ({ weights }: ShardOptions) {
    super()
    const normal = normalizeWeights(weights)
    const { occupancy, reservation, freed, health, admission } = this
    this.headroom = new Headroom(occupancy, normal)
    this.policies = {
      [Workload.Request]: new RequestPolicy(occupancy, normal, reservation),
      [Workload.Service]: new ServicePolicy(occupancy, normal, reservation),
      [Workload.Batch]: new BatchPolicy(occupancy, normal, reservation),
      [Workload.Gang]: new GangPolicy(occupancy, normal, reservation)
    }
    this.lanes = new Lanes(occupancy, this.policies, new Gate(occupancy, this.headroom, reservation), normal)
    this.waitlist = new Waitlist(occupancy, this.lanes, reservation, admission)
    this.review = new Review(occupancy, this.lanes, health, new Preemptor(occupancy, this.lanes), reservation, freed)
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
    this.freed.add(worker)
  }

  setCondition (worker: string, condition: Condition): void {
    const { fleet } = this.occupancy
    const index = fleet.find(worker)
    if (index === NONE) return
    if (condition === Condition.Quarantined) return this.health.quarantine(index, this.occupancy.nowMs)
    const suspect = condition === Condition.Ready && this.health.suspects(index)
    fleet.setCondition(index, suspect ? Condition.Quarantined : condition)
    this.freed.add(index)
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
    this.freed.remove(index)
    this.countTotals()
  }

  setCapacity (kind: string, capacity: number): void {
    this.occupancy.kind(kind).capacity = capacity
  }

  enqueue (task: Task, nowMs: number): Result<void, Refusal> {
    this.occupancy.nowMs = nowMs
    if (this.occupancy.table.find(task.id) !== NONE) return ok(undefined)
    const checked = this.admission.check(task, nowMs)
    if (checked.isErr()) return checked
    this.waitlist.add(task)
    return ok(undefined)
  }

  cancel (task: string): boolean {
    const { table } = this.occupancy
    const slot = table.find(task)
    if (slot === NONE || table.phase[slot] !== Phase.Waiting) return false
    this.waitlist.remove(slot)
    return true
  }

  adopt (task: Task, worker: string, nowMs: number): void {
    this.occupancy.nowMs = nowMs
    const { table, fleet } = this.occupancy
    const known = table.find(task.id)
    let index = fleet.find(worker)
    if (index === NONE) index = fleet.set({ ...UNKNOWN_MACHINE, id: worker })
    if (known !== NONE && table.phase[known] === Phase.Waiting) this.waitlist.remove(known)
    else if (known !== NONE && table.worker[known] === index) return
    else if (known !== NONE) this.release(known, nowMs)
    const slot = this.occupancy.add(task, Phase.Running)
    this.occupancy.charge(slot, index, nowMs)
    this.onCharge(slot, nowMs)
  }

  decide (nowMs: number, most: number): Round {
    this.occupancy.nowMs = nowMs
    const expired = this.waitlist.expire(nowMs)
    const placements: Placement[] = []
    const isDue = this.review.isDue(nowMs)
    if (isDue) this.review.begin(nowMs)
    while (placements.length < most) {
      const worker = this.freed.next()
      const lane = this.lanes.next(nowMs, worker)
      if (lane === undefined && worker === NONE) break
      if (lane === undefined) this.freed.remove(worker)
      else if (!this.serve(lane, worker, most, placements)) break
    }
    return { placements, preemptions: isDue ? this.review.end(nowMs) : [], expired }
  }

  finish (task: string, ending: Ending, nowMs: number, runtimeMs?: number, usage?: Resources): void {
    this.occupancy.nowMs = nowMs
    const { table } = this.occupancy
    const slot = table.find(task)
    if (slot === NONE || table.phase[slot] === Phase.Waiting) return
    const { runtimeMs: declaredMs, size } = table.at(slot)
    const kind = table.kinds[slot]!
    if (runtimeMs !== undefined && ending === Ending.Succeeded) kind.learnRuntime(declaredMs, runtimeMs)
    if (usage !== undefined) kind.learnSize(size, usage)
    const worker = this.release(slot, nowMs)
    this.health.learn(worker, task, kind, ending, nowMs)
    this.freed.add(worker)
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
    this.review.watch(team, this.occupancy.nowMs)
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
    lane.servedMs = this.occupancy.nowMs
    for (const [position, slot] of choice.slots.entries()) placements.push(this.start(slot, choice.workers[position]!))
    if (this.reservation.lane === lane) this.reservation.cancel()
    return true
  }

  private choose (lane: Lane, worker: number): Choice | undefined {
    const probed = this.probe(this.occupancy.table.at(lane.head))
    if (probed !== NONE) return { slots: [lane.head], workers: [probed] }
    if (lane.block === Block.Room) return { slots: [lane.head], workers: [worker] }
    return this.policies[lane.workload].choose(lane, this.occupancy.nowMs)
  }

  /** A quarantined worker that a task may probe, or NONE. */
  private probe (task: Task): number {
    if (!mayProbe(task) || task.avoid !== undefined) return NONE
    const worker = this.health.due(task.size, this.occupancy.nowMs)
    if (worker !== NONE) this.health.probe(worker, task.id, this.occupancy.nowMs)
    return worker
  }

  private start (slot: number, worker: number): Placement {
    const { table, fleet } = this.occupancy
    const group = table.groups[slot]
    if (group !== undefined) group.leader = NONE
    this.occupancy.start(slot, worker, this.occupancy.nowMs)
    this.onCharge(slot, this.occupancy.nowMs)
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

  private countTotals (): void {
    const { fleet } = this.occupancy
    const { totals } = this.lanes
    totals.cpuMilli = Math.max(1, fleet.totalCpu)
    totals.memoryMb = Math.max(1, fleet.totalMemory)
    totals.accelerators = Math.max(1, fleet.totalAccelerators)
  }
}
