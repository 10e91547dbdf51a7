/**
 * The scheduler of one shard: combines shares, limits, headroom, spreading, bin packing, gang scheduling, reservation,
 * preemption and quarantine.
 */
import type { Result } from 'neverthrow'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Resources } from '@fireflymount/protocol/resources'
import type { SchedulingRound, BlockedDemand } from './scheduler.js'
import type { TeamQuota, Explanation, WorkerSpec, Placement, Task } from './task.js'
import type { Lane } from './lane.js'
import type { Policies } from './lanes.js'
import type { Assignment, Weights } from './policy.js'
import type { Team } from './team.js'
import { ok } from 'neverthrow'
import { Workload } from '@fireflymount/protocol/workload'
import { Admission } from './admission.js'
import { BatchPolicy } from './batch.js'
import { DryRunPlanner, type ClosedVerdict, type DryRun } from './dry-run.js'
import { createExplanation, explainTask } from './explanation.js'
import { GangPolicy, waitingMembers, sumSizes } from './gang.js'
import { FreedWorkers } from './freed.js'
import { LimitCheck } from './limit-check.js'
import { Headroom } from './headroom.js'
import { Health, mayProbe } from './health.js'
import { Block } from './lane.js'
import { Lanes } from './lanes.js'
import { ShardState } from './shard-state.js'
import { normalizeWeights } from './policy.js'
import { PreemptionPlanner } from './preemption.js'
import { Reservation } from './reservation.js'
import { Review } from './review.js'
import { RequestPolicy, ServicePolicy } from './spread.js'
import { NONE, Phase } from './table.js'
import { Condition, Ending, Obstacle } from './task.js'
import { Scheduler } from './scheduler.js'
import { Waitlist } from './waitlist.js'

/** Placeholder for a worker that is not known yet, but on which a running task was found. */
const UNKNOWN_WORKER: WorkerSpec = { id: '', zone: '', rack: '', capacity: { cpuMilli: 0, memoryMb: 0, accelerators: 0 }, slots: 0 }

/** Options of a shard's scheduler. */
export interface ShardOptions {
  /** Weights of the scheduling goals; only their ratio matters. */
  readonly weights: Weights
}

/** Scheduler of one shard that applies all policies. */
export class Shard extends Scheduler {
  private readonly state = new ShardState()
  private readonly freed = new FreedWorkers(this.state.fleet)
  private readonly health = new Health(this.state.fleet)
  private readonly admission = new Admission(this.state, this.health)
  private readonly reservation = new Reservation(this.state, this.freed)
  private readonly headroom: Headroom
  private readonly policies: Policies
  private readonly lanes: Lanes
  private readonly waitlist: Waitlist
  private readonly review: Review
  private readonly dryRunPlanner: DryRunPlanner

  constructor ({ weights }: ShardOptions) {
    super()
    const normalized = normalizeWeights(weights)
    const { state, reservation, freed, health, admission } = this
    this.headroom = new Headroom(state, normalized)
    this.policies = {
      [Workload.Request]: new RequestPolicy(state, normalized, reservation),
      [Workload.Service]: new ServicePolicy(state, normalized, reservation),
      [Workload.Batch]: new BatchPolicy(state, normalized, reservation),
      [Workload.Gang]: new GangPolicy(state, normalized, reservation)
    }
    const limitCheck = new LimitCheck(state, this.headroom, reservation)
    this.lanes = new Lanes(state, this.policies, limitCheck, normalized)
    this.dryRunPlanner = new DryRunPlanner(state, admission, limitCheck, this.lanes, reservation)
    this.waitlist = new Waitlist(state, this.lanes, reservation, admission)
    this.review = new Review(state, this.lanes, health, new PreemptionPlanner(state, this.lanes), reservation, freed)
  }

  setQuotas (quotas: readonly TeamQuota[]): void {
    const quotasByTeam = new Map(quotas.map(quota => [quota.team, quota]))
    let shares = 0
    for (const quota of quotas) shares += quota.share
    const teams = new Set([...this.state.teams.keys(), ...quotasByTeam.keys()])
    for (const team of teams) this.setQuota(this.state.team(team), quotasByTeam.get(team))
    this.lanes.totals.shares = Math.max(shares, Number.EPSILON)
  }

  setWorker (spec: WorkerSpec): void {
    const worker = this.state.fleet.set(spec)
    this.updateTotals()
    this.freed.add(worker)
  }

  setCondition (worker: string, condition: Condition): void {
    const { fleet } = this.state
    const index = fleet.find(worker)
    if (index === NONE) return
    if (condition === Condition.Quarantined) return this.health.quarantine(index, this.state.nowMs)
    const staysQuarantined = condition === Condition.Ready && this.health.isQuarantined(index)
    fleet.setCondition(index, staysQuarantined ? Condition.Quarantined : condition)
    this.freed.add(index)
  }

  /**
   * Returns a worker's condition, which includes a quarantine that the scheduler itself has started.
   *
   * @param worker the worker's id
   * @returns its condition, or undefined if the worker is unknown
   */
  condition (worker: string): Condition | undefined {
    const index = this.state.fleet.find(worker)
    return index === NONE ? undefined : this.state.fleet.conditions[index]
  }

  removeWorker (worker: string): void {
    const index = this.state.fleet.find(worker)
    if (index === NONE) return
    this.state.fleet.remove(index)
    this.health.reset(index)
    this.freed.remove(index)
    this.updateTotals()
  }

  setQueueCapacity (kind: string, capacity: number): void {
    this.state.kind(kind).queueCapacity = capacity
  }

  enqueue (task: Task, nowMs: number): Result<void, Refusal> {
    this.state.nowMs = nowMs
    if (this.state.table.find(task.id) !== NONE) return ok(undefined)
    const checked = this.admission.check(task, nowMs)
    if (checked.isErr()) return checked
    this.waitlist.add(task)
    return ok(undefined)
  }

  cancel (task: string): boolean {
    const { table } = this.state
    const row = table.find(task)
    if (row === NONE || table.phase[row] !== Phase.Waiting) return false
    this.waitlist.remove(row)
    return true
  }

  adopt (task: Task, worker: string, nowMs: number): void {
    this.state.nowMs = nowMs
    const { table, fleet } = this.state
    const known = table.find(task.id)
    let index = fleet.find(worker)
    if (index === NONE) index = fleet.set({ ...UNKNOWN_WORKER, id: worker })
    // A known task that waits here is dequeued. If it runs on this worker already, there is nothing to do. If it runs on another
    // worker, its charge there is released.
    if (known !== NONE && table.phase[known] === Phase.Waiting) this.waitlist.remove(known)
    else if (known !== NONE && table.worker[known] === index) return
    else if (known !== NONE) this.release(known, nowMs)
    const row = this.state.add(task, Phase.Running)
    this.state.charge(row, index, nowMs)
    this.onCharge(row, nowMs)
  }

  decide (nowMs: number, maxPlacements: number): SchedulingRound {
    this.state.nowMs = nowMs
    const expired = this.waitlist.expire(nowMs)
    const placements: Placement[] = []
    const isDue = this.review.isDue(nowMs)
    if (isDue) this.review.beforeDecisions(nowMs)
    while (placements.length < maxPlacements) {
      const worker = this.freed.next()
      const lane = this.lanes.next(nowMs, worker)
      if (lane === undefined && worker === NONE) break
      if (lane === undefined) this.freed.remove(worker)
      else if (!this.startHead(lane, worker, maxPlacements, placements)) break
    }
    return { placements, preemptions: isDue ? this.review.afterDecisions(nowMs) : [], expired }
  }

  finish (task: string, ending: Ending, nowMs: number, runtimeMs?: number, usage?: Resources): void {
    this.state.nowMs = nowMs
    const { table } = this.state
    const row = table.find(task)
    if (row === NONE || table.phase[row] === Phase.Waiting) return
    const { runtimeMs: declaredMs, size } = table.at(row)
    const kind = table.kinds[row]!
    if (runtimeMs !== undefined && ending === Ending.Succeeded) kind.learnRuntime(declaredMs, runtimeMs)
    if (usage !== undefined) kind.learnUsage(size, usage)
    const worker = this.release(row, nowMs)
    this.health.recordEnding(worker, task, kind, ending, nowMs)
    this.freed.add(worker)
  }

  recordUsage (task: string, usage: Resources): void {
    const { table } = this.state
    const row = table.find(task)
    if (row === NONE) return
    table.kinds[row]!.learnUsage(table.at(row).size, usage)
  }

  explain (task: string, _nowMs: number): Explanation {
    const row = this.state.table.find(task)
    if (row !== NONE && this.admission.hasFailedOnHealthyWorkers(this.state.table.at(row))) {
      return createExplanation(
        Obstacle.Failing,
        'The task failed on several healthy workers.',
        'Fix the task and submit its job again.'
      )
    }
    return explainTask(this.state, this.admission, row)
  }

  dryRun (task: Task, nowMs: number, closedVerdict: ClosedVerdict): DryRun {
    return this.dryRunPlanner.run(task, nowMs, closedVerdict)
  }

  waiting (): number {
    return this.state.table.waiting
  }

  running (): number {
    return this.state.table.running
  }

  usedBy (name: string): TeamQuota['allotment'] {
    const { tasks, cpuMilli, memoryMb, accelerators } = this.state.team(name)
    return { tasks, cpuMilli, memoryMb, accelerators }
  }

  override allotmentShortages (): readonly BlockedDemand[] {
    const shortages: BlockedDemand[] = []
    for (const team of this.state.teams.values()) {
      const lane = team.allotmentBlocked[0]
      if (lane === undefined) continue
      const gang = lane.workload === Workload.Gang ? waitingMembers(this.state, lane.head) : [lane.head]
      shortages.push({ team: team.name, tasks: gang.length, size: sumSizes(this.state.table, gang) })
    }
    return shortages
  }

  private setQuota (team: Team, quota: TeamQuota | undefined): void {
    team.setQuota(quota)
    this.review.watchExcess(team, this.state.nowMs)
    team.updateShareRatio(this.lanes.totals)
    this.lanes.recheck(team.allotmentBlocked)
  }

  /** Starts or blocks the head of a lane. Returns false if the head is a gang that must wait for the next round. */
  private startHead (lane: Lane, worker: number, maxPlacements: number, placements: Placement[]): boolean {
    const assignment = this.chooseAssignment(lane, worker)
    if (assignment === undefined) {
      this.lanes.block(lane, Block.Capacity)
      return true
    }
    if (placements.length > 0 && placements.length + assignment.rows.length > maxPlacements) return false
    this.lanes.removeHead(lane)
    lane.lastStartMs = this.state.nowMs
    for (const [position, row] of assignment.rows.entries()) placements.push(this.start(row, assignment.workers[position]!))
    if (this.reservation.lane === lane) this.reservation.cancel()
    return true
  }

  private chooseAssignment (lane: Lane, worker: number): Assignment | undefined {
    const probedWorker = this.assignProbe(this.state.table.at(lane.head))
    if (probedWorker !== NONE) return { rows: [lane.head], workers: [probedWorker] }
    // Lanes.next() found this blocked lane for the offered worker, on which its head fits.
    if (lane.block === Block.Capacity) return { rows: [lane.head], workers: [worker] }
    return this.policies[lane.workload].choose(lane, this.state.nowMs)
  }

  /** Assigns a task as the probe of a quarantined worker. Returns NONE if no worker is due or the task may not probe. */
  private assignProbe (task: Task): number {
    if (!mayProbe(task) || task.avoid !== undefined) return NONE
    const worker = this.health.dueForProbe(task.size, this.state.nowMs)
    if (worker !== NONE) this.health.startProbe(worker, task.id, this.state.nowMs)
    return worker
  }

  private start (row: number, worker: number): Placement {
    const { table, fleet } = this.state
    const group = table.groups[row]
    if (group !== undefined) group.representative = NONE
    this.state.start(row, worker, this.state.nowMs)
    this.onCharge(row, this.state.nowMs)
    return { task: table.at(row), worker: fleet.specs[worker]!.id }
  }

  private onCharge (row: number, nowMs: number): void {
    const { table } = this.state
    const task = table.at(row)
    table.teams[row]!.updateShareRatio(this.lanes.totals)
    if (task.workload === Workload.Request) this.headroom.countRequest(task, 1, nowMs)
  }

  private release (row: number, nowMs: number): number {
    const { table } = this.state
    const task = table.at(row)
    const team = table.teams[row]!
    const worker = table.worker[row]!
    this.state.release(row, nowMs)
    if (task.workload === Workload.Request) this.headroom.countRequest(task, -1, nowMs)
    team.updateShareRatio(this.lanes.totals)
    this.lanes.recheck(team.allotmentBlocked)
    return worker
  }

  private updateTotals (): void {
    const { fleet } = this.state
    const { totals } = this.lanes
    totals.cpuMilli = Math.max(1, fleet.totalCpu)
    totals.memoryMb = Math.max(1, fleet.totalMemory)
    totals.accelerators = Math.max(1, fleet.totalAccelerators)
  }
}
