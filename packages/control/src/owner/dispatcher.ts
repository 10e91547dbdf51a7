/**
 * One round of decisions: which waiting tasks go to which workers now, and about which steps to ask the advisor.
 */
import { addResources, fitsResources, NO_RESOURCES, scaleResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Clock } from '../clock.js'
import type { TaskEntry } from '../journal/table.js'
import { chainMsOf, Phase, type Job } from '../model/job.js'
import type { Configuration, Queue } from '../model/configuration.js'
import type { Lack } from '../place/admission.js'
import { fitGang, fitTask, isEligible, type FitTerms, type Site } from '../place/fit.js'
import { chooseHeld, chooseStopped, mayHold, mayPreempt, type Occupant } from '../place/hold.js'
import { dominantShareOf, headroomOf } from '../place/limit.js'
import { UrgentUse } from '../place/reserve.js'
import { urgencyOf } from '../place/order.js'
import { Admission, type AdviceDesk } from './advice.js'
import type { Demand, Demands } from './demand.js'
import { chargeOf, type Ledger } from './ledger.js'
import { Pool, totalOf } from './pool.js'
import { RunState, type Run } from './run.js'
import type { Session } from './session.js'

/** Lower priorities may use the room kept for urgent tasks when they must start within this time. */
const PRESSING_MS = 1500
/** Objective of a job whose queue has been removed. */
const DEFAULT_STRETCH = 4

/** A task that is to run on a worker. */
export interface Assignment {
  readonly demand: Demand
  readonly task: TaskEntry
  readonly session: Session
  readonly charge: Resources
  readonly ticket: string
}

/** What one round decides. */
export interface Decisions {
  readonly assignments: Assignment[]
  /** Runs to stop, so that larger or more urgent tasks find room. */
  readonly preemptions: Run[]
}

/** Figures that decisions are made with. */
export interface DispatchTerms extends FitTerms {
  /** Longest time that a stop takes at a worker. */
  readonly stopMs: number
}

/** What decisions are made from. */
export interface DispatchParts {
  readonly ledger: Ledger
  readonly demands: Demands
  readonly advice: AdviceDesk
  readonly sessions: ReadonlyMap<string, Session>
  readonly configuration: () => Configuration
  readonly clock: Clock
  readonly terms: DispatchTerms
  /** Tasks that may not start before this steady time, by name. */
  readonly backoff: ReadonlyMap<string, number>
  /** Jobs beyond the rate of their workspace. */
  readonly excess: ReadonlySet<string>
  readonly slownessOf: (session: Session) => number
}

interface Ranked {
  readonly demand: Demand
  readonly queue: Queue | undefined
  readonly urgency: number
  /** Time that is left until the step has to start for its job to meet its objective. */
  readonly slackMs: number
  readonly objectiveMs: number
}

/** Decides. Keeps between rounds only what urgent tasks use, and what found no room. */
export class Dispatcher {
  private readonly urgentUse = new Map<string, UrgentUse>()
  private readonly lacks = new Map<string, Lack[]>()

  constructor (private readonly parts: DispatchParts) {}

  /** Decides for all waiting tasks. */
  round (): Decisions {
    const decisions: Decisions = { assignments: [], preemptions: [] }
    const pools = new Map<string, Pool>()
    const reserved = new Map<string, number>()
    const order = this.rank()
    this.lacks.clear()
    for (const ranked of order) {
      const upstream = this.upstreamOf(ranked)
      let pool = pools.get(upstream)
      if (pool === undefined) pools.set(upstream, pool = this.createPool(upstream, order))
      this.place(ranked, pool, reserved, decisions)
    }
    return decisions
  }

  /**
   * What found no room in the last round and is placed before a job that comes now.
   *
   * @param beyondRate the job goes beyond the rate of its workspace
   */
  lacksOf (queue: string, beyondRate: boolean): readonly Lack[] {
    const lacks = this.lacks.get(queue) ?? []
    return beyondRate ? lacks : lacks.filter((lack) => !lack.beyondRate)
  }

  /** Tells whether there is room now for all tasks with which a job begins. */
  hasRoom (job: Job): boolean {
    const nowMs = this.parts.clock.now()
    const first = job.steps.find((step) => step.after.length === 0)!
    const charge = chargeOf(first)
    let room = 0
    for (const session of this.parts.sessions.values()) {
      if (session.worker.upstream !== job.upstream || !session.open(nowMs)) continue
      room += headroomOf(session.worker.capacity, session.used, charge)
      if (room >= first.count) return true
    }
    return false
  }

  /** Demands in the order in which they are placed. */
  rank (): Ranked[] {
    const nowMs = this.parts.clock.wall()
    const queues = new Map<string, Queue>()
    for (const queue of this.parts.configuration().queues) queues.set(queue.name, queue)
    const ranked: Ranked[] = []
    for (const demand of this.parts.demands.list()) {
      if (demand.entry.job.occurrences > 0 && demand.dueMs > nowMs) continue
      const queue = queues.get(demand.entry.job.queue)
      const stretch = queue?.stretch ?? DEFAULT_STRETCH
      const objectiveMs = stretch * chainMsOf(demand.entry.job.steps) + (queue?.targetMs ?? 0)
      const slackMs = demand.dueMs + objectiveMs - demand.chainMs - nowMs
      const urgency = urgencyOf({
        lasting: demand.step.lasting,
        priority: queue?.priority ?? 0,
        sinceMs: demand.dueMs,
        objectiveMs,
        chainMs: demand.chainMs,
        begun: demand.entry.job.occurrences === 0 && demand.entry.phase === Phase.Active,
        overShare: this.parts.excess.has(demand.entry.job.id)
      }, nowMs)
      ranked.push({ demand, queue, urgency, slackMs, objectiveMs })
    }
    return ranked.sort((left, right) => left.urgency - right.urgency)
  }

  private place (ranked: Ranked, pool: Pool, reserved: Map<string, number>, decisions: Decisions): void {
    const { demand } = ranked
    const { step } = demand
    const waiting = this.unblocked(demand)
    const charge = chargeOf(step)
    const within = Math.min(waiting.length, this.headroom(demand, reserved))
    const allowed = this.mayUseReserve(ranked, pool) ? within : pool.beyondReserve(charge, within)
    if (allowed === 0 || (step.gang && allowed < step.count)) return
    const sites: Site[] = []
    for (const site of pool.sites.values()) {
      if (isEligible(step, site.labels, site.capacity)) sites.push(site)
    }
    const admitted = this.admit(ranked, sites)
    if (admitted.length === 0) return
    const chosen = this.choose(ranked, waiting, charge, allowed, admitted)
    const missing = allowed - chosen.length
    if (missing > 0) this.noteLack(ranked, missing, charge)
    if (missing > 0) this.makeRoom(ranked, missing, pool, admitted.filter((site) => !chosen.includes(site)), decisions)
    if (chosen.length > 0) this.occupy(ranked, waiting, chosen, admitted, pool, decisions)
    claimRoom(reserved, demand, chosen.length)
  }

  private noteLack ({ demand, queue, slackMs, objectiveMs }: Ranked, missing: number, charge: Resources): void {
    const { job } = demand.entry
    if (queue === undefined) return
    const share = dominantShareOf(charge, totalOf(this.parts.sessions.values(), queue.upstream))
    const lack = {
      slackMs,
      wholeSlackMs: objectiveMs - chainMsOf(job.steps),
      workMs: missing * demand.step.estimateMs * share,
      beyondRate: this.parts.excess.has(job.id)
    }
    const lacks = this.lacks.get(queue.name)
    if (lacks === undefined) this.lacks.set(queue.name, [lack])
    else lacks.push(lack)
  }

  /** Assigns tasks to the chosen workers, or asks for new tickets where they have run out. */
  private occupy (
    ranked: Ranked,
    waiting: readonly TaskEntry[],
    chosen: readonly Site[],
    admitted: readonly Site[],
    pool: Pool,
    decisions: Decisions
  ): void {
    const { demand, queue } = ranked
    const charge = chargeOf(demand.step)
    const renew = chosen.filter((site) => this.admission(ranked, site) === Admission.Expired)
    if (renew.length > 0) this.renewTickets(ranked, renew, admitted)
    const complete = renew.length === 0 || !demand.step.gang
    let next = 0
    for (const site of chosen) {
      // Room for tasks that wait for a ticket is kept for them in this round.
      pool.take(site, charge)
      if (!complete || renew.includes(site)) continue
      const session = this.parts.sessions.get(site.id)!
      const ticket = queue?.advice === undefined ? '' : this.parts.advice.ticketOf(demand.name, site.id)
      decisions.assignments.push({ demand, task: waiting[next++]!, session, charge, ticket })
    }
  }

  /**
   * Chooses workers for all tasks of a gang, or for as many tasks as find room: those with a valid ticket first, and among them
   * those on which none of the tasks has failed.
   */
  private choose (
    ranked: Ranked, waiting: readonly TaskEntry[], charge: Resources, count: number, admitted: readonly Site[]
  ): Site[] {
    const { demand } = ranked
    const { step } = demand
    const { terms } = this.parts
    const valid = admitted.filter((site) => this.admission(ranked, site) === Admission.Valid)
    if (step.gang) return fitGang(step, charge, count, valid, terms) ?? fitGang(step, charge, count, admitted, terms) ?? []
    const failedOn = new Set(waiting.filter((task) => task.failures > 0).map((task) => task.worker))
    const sound = valid.filter((site) => !failedOn.has(site.id))
    const taken = new Map<string, number>()
    if (step.perWorker > 0) this.countTaken(demand, taken)
    const before = new Map<Site, Resources>()
    const chosen: Site[] = []
    for (let index = 0; index < count; index++) {
      let site: Site | undefined
      for (const sites of [sound, valid, admitted]) site ??= fitTask(step, charge, sites, taken, terms)
      if (site === undefined) break
      if (!before.has(site)) before.set(site, site.free)
      site.free = subtractResources(site.free, charge)
      taken.set(site.id, (taken.get(site.id) ?? 0) + 1)
      chosen.push(site)
    }
    for (const [site, free] of before) site.free = free
    return chosen
  }

  /** Makes room for tasks that found none: holds workers for large ones, and stops what loses nothing by it. */
  private makeRoom (ranked: Ranked, missing: number, pool: Pool, sites: readonly Site[], decisions: Decisions): void {
    const { demand, queue, slackMs } = ranked
    const charge = chargeOf(demand.step)
    const urgent = queue !== undefined && queue.priority <= pool.urgentPriority && !this.parts.excess.has(demand.entry.job.id)
    const task = { lasting: demand.step.lasting, urgent, charge, slackMs }
    const preempts = mayPreempt(task, this.parts.terms.stopMs)
    const able = sites.filter((site) => mayHold(task, site.capacity, this.parts.sessions.get(site.id)!.drainMs()))
    const held = pool.holdsLeft > 0 ? chooseHeld(demand.step, charge, missing, able).slice(0, pool.holdsLeft) : []
    for (const site of held) {
      if (preempts) this.preempt(ranked, site, charge, decisions)
      pool.hold(site)
    }
    if (held.length > 0 || !urgent || !preempts) return
    let rest = missing
    for (const site of sites) {
      if (rest <= 0 || pool.emptied.has(site.id)) continue
      if (this.preempt(ranked, site, charge, decisions)) rest--
      pool.emptied.add(site.id)
    }
  }

  /** Stops runs on a worker to make room for a task, unless some are leaving it already. Returns true if it will have room. */
  private preempt (ranked: Ranked, site: Site, charge: Resources, decisions: Decisions): boolean {
    const session = this.parts.sessions.get(site.id)!
    for (const run of session.runs.values()) {
      if (run.stopping !== undefined) return true
    }
    const stopped = chooseStopped(charge, site.free, this.occupantsOf(session, ranked.queue))
    decisions.preemptions.push(...stopped)
    return stopped.length > 0
  }

  /** Runs of later queues that resume from a checkpoint, or that only use what is idle. */
  private occupantsOf (session: Session, queue: Queue | undefined): Array<Occupant<Run>> {
    const occupants: Array<Occupant<Run>> = []
    const priorities = new Map(this.parts.configuration().queues.map((candidate) => [candidate.name, candidate.priority]))
    for (const run of session.runs.values()) {
      const priority = priorities.get(run.entry.job.queue) ?? 0
      const later = queue === undefined || priority > queue.priority
      if (!later || run.step.lasting || run.step.gang || run.state !== RunState.Running) continue
      if (run.step.checkpoints || run.step.bestEffort) occupants.push({ run, charge: run.charge, wasteMs: run.charge.cpuMilli })
    }
    return occupants
  }

  /** Workers that may run the step; asks the advisor about those that nobody has asked about. */
  private admit (ranked: Ranked, sites: readonly Site[]): Site[] {
    const { demand, queue, urgency } = ranked
    if (queue?.advice === undefined) return [...sites]
    const admitted: Site[] = []
    const unknown: Site[] = []
    for (const site of sites) {
      const admission = this.admission(ranked, site)
      if (admission === Admission.Unknown) unknown.push(site)
      else if (admission !== Admission.Forbidden) admitted.push(site)
    }
    if (unknown.length > 0) {
      const charge = chargeOf(demand.step)
      const ready = unknown.some((site) => fitsResources(charge, site.free))
      this.parts.advice.request(demand.name, this.candidates(unknown), queue.advice, urgency, ready)
    }
    return admitted
  }

  private admission (ranked: Ranked, site: Site): Admission {
    if (ranked.queue?.advice === undefined) return Admission.Valid
    return this.parts.advice.admission(ranked.demand.name, this.parts.sessions.get(site.id)!)
  }

  /** Asks for new tickets of the workers that are about to be used, and of others with room beside them. */
  private renewTickets (ranked: Ranked, chosen: readonly Site[], admitted: readonly Site[]): void {
    const { demand, queue, urgency } = ranked
    if (queue?.advice === undefined) return
    const workers = new Set(chosen)
    for (const site of admitted) {
      if (workers.size >= 2 * chosen.length + 2) break
      workers.add(site)
    }
    this.parts.advice.request(demand.name, this.candidates([...workers]), queue.advice, urgency, true)
  }

  private candidates (sites: readonly Site[]): Array<{ id: string, born: number }> {
    return sites.map((site) => ({ id: site.id, born: this.parts.sessions.get(site.id)!.born }))
  }

  private unblocked (demand: Demand): TaskEntry[] {
    const { backoff, clock } = this.parts
    if (backoff.size === 0) return [...demand.waiting]
    const nowMs = clock.now()
    return demand.waiting.filter((task) => (backoff.get(`${demand.entry.job.id}.${task.key}`) ?? 0) <= nowMs)
  }

  private headroom (demand: Demand, reserved: ReadonlyMap<string, number>): number {
    const { workspace } = demand.entry.job
    const limit = this.parts.configuration().workspaces.find((candidate) => candidate.name === workspace)?.upperLimit
    if (limit === undefined) return Infinity
    const used = this.parts.ledger.usedBy(workspace)
    return headroomOf(limit, {
      cpuMilli: used.cpuMilli + (reserved.get(`${workspace} cpuMilli`) ?? 0),
      memoryMb: used.memoryMb + (reserved.get(`${workspace} memoryMb`) ?? 0),
      accelerators: used.accelerators + (reserved.get(`${workspace} accelerators`) ?? 0)
    }, demand.step.size)
  }

  private countTaken (demand: Demand, taken: Map<string, number>): void {
    for (const run of this.parts.ledger.runsOf(demand.entry)) {
      if (run.task.step !== demand.index || run.task.occurrence !== demand.occurrence) continue
      taken.set(run.session.id, (taken.get(run.session.id) ?? 0) + 1)
    }
  }

  /** True for urgent and lasting tasks, and for those that would otherwise miss their objective. */
  private mayUseReserve ({ demand, queue, slackMs }: Ranked, pool: Pool): boolean {
    if (demand.step.lasting || queue === undefined || queue.priority <= pool.urgentPriority) return true
    if (demand.step.estimateMs <= pool.urgentSlackMs) return true
    return slackMs > 0 && slackMs < PRESSING_MS
  }

  private createPool (upstream: string, order: readonly Ranked[]): Pool {
    const priorities = new Map<string, number>()
    for (const queue of this.parts.configuration().queues) {
      if (queue.upstream === upstream) priorities.set(queue.name, queue.priority)
    }
    const urgentPriority = Math.min(...priorities.values())
    let used = NO_RESOURCES
    for (const run of this.parts.ledger.all()) {
      if (priorities.get(run.entry.job.queue) === urgentPriority && !run.step.lasting) used = addResources(used, run.charge)
    }
    const slacks: number[] = []
    const reserved = new Map<string, number>()
    for (const { demand, objectiveMs } of order) {
      if (priorities.get(demand.entry.job.queue) !== urgentPriority || demand.step.lasting) continue
      // No room is kept for what its workspace's limit or rate holds back.
      if (this.parts.excess.has(demand.entry.job.id)) continue
      const count = Math.min(demand.waiting.length, this.headroom(demand, reserved))
      if (count === 0) continue
      claimRoom(reserved, demand, count)
      used = addResources(used, scaleResources(chargeOf(demand.step), count))
      slacks.push(objectiveMs - chainMsOf(demand.entry.job.steps))
    }
    let use = this.urgentUse.get(upstream)
    if (use === undefined) this.urgentUse.set(upstream, use = new UrgentUse())
    use.note(used, slacks.length === 0 ? undefined : sum(slacks) / slacks.length, this.parts.clock.now())
    const reserve = use.reserve(totalOf(this.parts.sessions.values(), upstream))
    return new Pool(this.sitesOf(upstream), urgentPriority, use.slackMs, reserve)
  }

  private upstreamOf ({ demand, queue }: Ranked): string {
    return queue?.upstream ?? demand.entry.job.upstream
  }

  private sitesOf (upstream: string): Map<string, Site> {
    const nowMs = this.parts.clock.now()
    const sites = new Map<string, Site>()
    for (const session of this.parts.sessions.values()) {
      if (session.worker.upstream !== upstream || !session.open(nowMs)) continue
      let serving = false
      let fillers = 0
      for (const run of session.runs.values()) {
        if (run.step.latencyTargetMs > 0) serving = true
        if (run.step.bestEffort) fillers++
      }
      sites.set(session.id, {
        id: session.id,
        rack: session.rack,
        labels: session.worker.labels,
        capacity: session.worker.capacity,
        free: session.free(),
        slowness: this.parts.slownessOf(session),
        serving,
        fillers
      })
    }
    return sites
  }
}

/** Counts tasks that are to start against the room of their workspace. */
function claimRoom (reserved: Map<string, number>, { entry, step }: Demand, count: number): void {
  for (const [dimension, amount] of Object.entries(step.size)) {
    const key = `${entry.job.workspace} ${dimension}`
    reserved.set(key, (reserved.get(key) ?? 0) + count * amount)
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
