/**
 * One round of decisions: which waiting tasks go to which workers now, and about which steps to ask the advisor.
 */
import { subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Clock } from '../clock.js'
import type { TaskEntry } from '../journal/table.js'
import { chainMsOf } from '../model/job.js'
import type { Configuration, Queue } from '../model/configuration.js'
import { fitGang, fitTask, isEligible, type FitTerms, type Site } from '../place/fit.js'
import { headroomOf } from '../place/limit.js'
import { urgencyOf } from '../place/order.js'
import { Admission, type AdviceDesk } from './advice.js'
import type { Demand, Demands } from './demand.js'
import { chargeOf, type Ledger } from './ledger.js'
import type { Session } from './session.js'

/** How long before its time a scheduled occurrence may start. */
const EARLY_MS = 0
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

/** What decisions are made from. */
export interface DispatchParts {
  readonly ledger: Ledger
  readonly demands: Demands
  readonly advice: AdviceDesk
  readonly sessions: ReadonlyMap<string, Session>
  readonly configuration: () => Configuration
  readonly clock: Clock
  readonly terms: FitTerms
  /** Tasks that may not start before this steady time, by name. */
  readonly backoff: ReadonlyMap<string, number>
  readonly slownessOf: (session: Session) => number
}

interface Ranked {
  readonly demand: Demand
  readonly queue: Queue | undefined
  readonly urgency: number
}

/** Decides. Keeps nothing between rounds. */
export class Dispatcher {
  constructor (private readonly parts: DispatchParts) {}

  /** Decides for all waiting tasks. */
  round (): Assignment[] {
    const assignments: Assignment[] = []
    const pools = new Map<string, Map<string, Site>>()
    const reserved = new Map<string, number>()
    for (const ranked of this.rank()) {
      const upstream = this.upstreamOf(ranked)
      let pool = pools.get(upstream)
      if (pool === undefined) pools.set(upstream, pool = this.sitesOf(upstream))
      this.place(ranked, pool, reserved, assignments)
    }
    return assignments
  }

  /** Demands in the order in which they are placed. */
  rank (): Ranked[] {
    const nowMs = this.parts.clock.wall()
    const queues = new Map<string, Queue>()
    for (const queue of this.parts.configuration().queues) queues.set(queue.name, queue)
    const ranked: Ranked[] = []
    for (const demand of this.parts.demands.list()) {
      if (demand.entry.job.occurrences > 0 && demand.dueMs - EARLY_MS > nowMs) continue
      const queue = queues.get(demand.entry.job.queue)
      const stretch = queue?.stretch ?? DEFAULT_STRETCH
      const urgency = urgencyOf({
        lasting: demand.step.lasting,
        priority: queue?.priority ?? 0,
        sinceMs: demand.dueMs,
        objectiveMs: stretch * chainMsOf(demand.entry.job.steps) + (queue?.targetMs ?? 0),
        chainMs: demand.chainMs,
        overShare: false
      }, nowMs)
      ranked.push({ demand, queue, urgency })
    }
    return ranked.sort((left, right) => left.urgency - right.urgency)
  }

  private place (ranked: Ranked, pool: Map<string, Site>, reserved: Map<string, number>, assignments: Assignment[]): void {
    const { demand } = ranked
    const { step } = demand
    const waiting = this.unblocked(demand)
    const allowed = Math.min(waiting.length, this.headroom(demand, reserved))
    if (allowed === 0 || (step.gang && allowed < step.count)) return
    const sites: Site[] = []
    for (const site of pool.values()) {
      if (isEligible(step, site.labels, site.capacity)) sites.push(site)
    }
    const admitted = this.admit(ranked, sites)
    if (admitted.length === 0) return
    const charge = chargeOf(step)
    const chosen = step.gang
      ? fitGang(step, charge, step.count, admitted, this.parts.terms)
      : this.fitTasks(demand, charge, allowed, admitted)
    if (chosen === undefined || chosen.length === 0) return
    const renew = chosen.filter((site) => this.admission(ranked, site) === Admission.Expired)
    if (renew.length > 0) this.renewTickets(ranked, renew, admitted)
    const complete = renew.length === 0 || !step.gang
    let next = 0
    for (const site of chosen) {
      // Room for tasks that wait for a ticket is kept for them in this round.
      site.free = subtractResources(site.free, charge)
      if (!complete || renew.includes(site)) continue
      const session = this.parts.sessions.get(site.id)!
      const ticket = ranked.queue?.advice === undefined ? '' : this.parts.advice.ticketOf(demand.name, site.id)
      assignments.push({ demand, task: waiting[next++]!, session, charge, ticket })
    }
    const { workspace } = demand.entry.job
    for (const [dimension, amount] of Object.entries(step.size)) {
      const key = `${workspace} ${dimension}`
      reserved.set(key, (reserved.get(key) ?? 0) + chosen.length * amount)
    }
  }

  private fitTasks (demand: Demand, charge: Resources, count: number, sites: readonly Site[]): Site[] {
    const { step } = demand
    const taken = new Map<string, number>()
    if (step.perWorker > 0) this.countTaken(demand, taken)
    const before = new Map<Site, Resources>()
    const chosen: Site[] = []
    for (let index = 0; index < count; index++) {
      const site = fitTask(step, charge, sites, taken, this.parts.terms)
      if (site === undefined) break
      if (!before.has(site)) before.set(site, site.free)
      site.free = subtractResources(site.free, charge)
      taken.set(site.id, (taken.get(site.id) ?? 0) + 1)
      chosen.push(site)
    }
    for (const [site, free] of before) site.free = free
    return chosen
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
    if (unknown.length > 0 && !this.parts.advice.pending(demand.name)) {
      this.parts.advice.request(demand.name, this.candidates(unknown), queue.advice, urgency)
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
    if (queue?.advice === undefined || this.parts.advice.pending(demand.name)) return
    const workers = new Set(chosen)
    for (const site of admitted) {
      if (workers.size >= 2 * chosen.length + 2) break
      workers.add(site)
    }
    this.parts.advice.request(demand.name, this.candidates([...workers]), queue.advice, urgency)
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
