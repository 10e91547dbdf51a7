/**
 * Scheduling rounds: each round assigns waiting tasks to workers and selects the steps for which the advisor is asked.
 */
import { addResources, fitsResources, NO_RESOURCES, scaleResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Clock } from '../clock.js'
import type { TaskEntry } from '../journal/journal-state.js'
import { criticalPathMsOf, Phase, type Job } from '../model/job.js'
import type { Configuration, Queue } from '../model/configuration.js'
import type { UnplacedStep } from '../place/admission.js'
import { fitGang, fitTask, isEligible, type PlacementSettings, type Candidate } from '../place/fit.js'
import { chooseWorkersToHold, chooseRunsToStop, mayHold, mayPreempt, type PreemptibleRun } from '../place/hold.js'
import { dominantShareOf, headroomOf } from '../place/limit.js'
import { UrgentDemand } from '../place/reserve.js'
import { placementRankOf } from '../place/ranking.js'
import { TicketStatus, type AdvisorClient } from './advisor-client.js'
import type { ReadyStep, ReadySteps } from './ready-step.js'
import { chargeOf, type Ledger } from './ledger.js'
import { Pool, totalCapacityOf } from './pool.js'
import { RunState, type Run } from './run.js'
import type { Session } from './session.js'

/**
 * Lower-priority tasks may use the capacity reserved for urgent tasks if the latest time at which they have to start is still
 * ahead, but by less than this.
 */
const MAX_SLACK_FOR_RESERVE_MS = 1500
/** Stretch factor in the objective of a job whose queue has been removed. */
const REMOVED_QUEUE_STRETCH = 4

/** A task to start on a worker. */
export interface Assignment {
  readonly readyStep: ReadyStep
  readonly task: TaskEntry
  readonly session: Session
  readonly charge: Resources
  readonly ticket: string
}

/** The result of one round. */
export interface Decisions {
  readonly assignments: Assignment[]
  /** Runs to stop so that long-running or urgent tasks can start. */
  readonly preemptions: Run[]
}

/** Settings of the dispatcher. */
export interface DispatcherSettings extends PlacementSettings {
  /** Maximum time that a worker takes to stop a run. */
  readonly stopMs: number
}

/** Dependencies of the dispatcher. */
export interface DispatcherOptions {
  readonly ledger: Ledger
  readonly readySteps: ReadySteps
  readonly advisorClient: AdvisorClient
  readonly sessions: ReadonlyMap<string, Session>
  readonly configuration: () => Configuration
  readonly clock: Clock
  readonly settings: DispatcherSettings
  /** Time on the steady clock before which a task may not start, by task name. */
  readonly notBeforeMs: ReadonlyMap<string, number>
  /** Ids of the jobs beyond the rate of their workspace. */
  readonly overRateJobs: ReadonlySet<string>
  readonly slownessOf: (session: Session) => number
}

interface RankedStep {
  readonly readyStep: ReadyStep
  readonly queue: Queue | undefined
  /** Sort key; the smallest is placed first. */
  readonly rank: number
  /** Time until the step has to start so that its job meets its objective. */
  readonly slackMs: number
  /** The job's objective: the time from `dueMs` of the ready step within which it should complete. */
  readonly objectiveMs: number
}

/** Runs scheduling rounds. Keeps only the demand of urgent tasks and the unplaced steps from one round to the next. */
export class Dispatcher {
  private readonly urgentDemand = new Map<string, UrgentDemand>()
  private readonly unplacedSteps = new Map<string, UnplacedStep[]>()

  constructor (private readonly options: DispatcherOptions) {}

  /** Runs one round over all waiting tasks. */
  round (): Decisions {
    const decisions: Decisions = { assignments: [], preemptions: [] }
    const pools = new Map<string, Pool>()
    const usageInRound = new Map<string, number>()
    const rankedSteps = this.rankReadySteps()
    this.unplacedSteps.clear()
    for (const ranked of rankedSteps) {
      const upstream = this.upstreamOf(ranked)
      let pool = pools.get(upstream)
      if (pool === undefined) pools.set(upstream, pool = this.createPool(upstream, rankedSteps))
      this.place(ranked, pool, usageInRound, decisions)
    }
    return decisions
  }

  /**
   * Returns the steps of a queue of which some tasks were allowed to start in the last round but found no worker with free
   * capacity. Steps that were held back by an upper limit or the reserve are not among them, nor are steps without a permitted
   * worker. Steps of jobs beyond the rate of their workspace are left out unless the new job is beyond it too. Late steps are
   * included, although they rank after a job submitted now.
   *
   * @param overRate the new job is beyond the rate of its workspace
   */
  unplacedStepsOf (queue: string, overRate: boolean): readonly UnplacedStep[] {
    const unplacedSteps = this.unplacedSteps.get(queue) ?? []
    return overRate ? unplacedSteps : unplacedSteps.filter((unplacedStep) => !unplacedStep.overRate)
  }

  /**
   * Returns true if the tasks of the job's first step fit into the free capacity now. It may return true although they cannot be
   * placed: labels are not checked, nor a dimension in which a worker has no capacity (see `headroomOf`).
   */
  hasCapacityFor (job: Job): boolean {
    const steadyNowMs = this.options.clock.now()
    const first = job.steps.find((step) => step.after.length === 0)!
    const charge = chargeOf(first)
    let fittingTasks = 0
    for (const session of this.options.sessions.values()) {
      if (session.worker.upstream !== job.upstream || !session.acceptsRuns(steadyNowMs)) continue
      fittingTasks += headroomOf(session.worker.capacity, session.used, charge)
      if (fittingTasks >= first.count) return true
    }
    return false
  }

  /** Returns the ready steps in the order in which they are placed. */
  rankReadySteps (): RankedStep[] {
    const wallNowMs = this.options.clock.wall()
    const queues = new Map<string, Queue>()
    for (const queue of this.options.configuration().queues) queues.set(queue.name, queue)
    const ranked: RankedStep[] = []
    for (const readyStep of this.options.readySteps.list()) {
      if (readyStep.entry.job.occurrences > 0 && readyStep.dueMs > wallNowMs) continue
      const queue = queues.get(readyStep.entry.job.queue)
      const stretch = queue?.stretch ?? REMOVED_QUEUE_STRETCH
      const objectiveMs = stretch * criticalPathMsOf(readyStep.entry.job.steps) + (queue?.targetMs ?? 0)
      const slackMs = readyStep.dueMs + objectiveMs - readyStep.chainMs - wallNowMs
      const rank = placementRankOf({
        longRunning: readyStep.step.lasting,
        // A job whose queue has been removed is ranked with the highest priority, but is not urgent in `freeCapacityFor`.
        priority: queue?.priority ?? 0,
        dueMs: readyStep.dueMs,
        objectiveMs,
        chainMs: readyStep.chainMs,
        started: readyStep.entry.job.occurrences === 0 && readyStep.entry.phase === Phase.Active,
        overRate: this.options.overRateJobs.has(readyStep.entry.job.id)
      }, wallNowMs)
      ranked.push({ readyStep, queue, rank, slackMs, objectiveMs })
    }
    return ranked.sort((left, right) => left.rank - right.rank)
  }

  private place (ranked: RankedStep, pool: Pool, usageInRound: Map<string, number>, decisions: Decisions): void {
    const { readyStep } = ranked
    const { step } = readyStep
    const waiting = this.startableTasks(readyStep)
    const charge = chargeOf(step)
    const withinLimit = Math.min(waiting.length, this.headroom(readyStep, usageInRound))
    const allowed = this.mayUseReserve(ranked, pool) ? withinLimit : pool.countOutsideReserve(charge, withinLimit)
    if (allowed === 0 || (step.gang && allowed < step.count)) return
    const candidates: Candidate[] = []
    for (const candidate of pool.candidates.values()) {
      if (isEligible(step, candidate.labels, candidate.capacity)) candidates.push(candidate)
    }
    const permitted = this.findPermitted(ranked, candidates)
    if (permitted.length === 0) return
    const chosen = this.choose(ranked, waiting, charge, allowed, permitted)
    const unplaced = allowed - chosen.length
    if (unplaced > 0) this.recordUnplaced(ranked, unplaced, charge)
    if (unplaced > 0) this.freeCapacityFor(ranked, unplaced, pool, permitted.filter((each) => !chosen.includes(each)), decisions)
    if (chosen.length > 0) this.assignOrRenew(ranked, waiting, chosen, permitted, pool, decisions)
    addUsage(usageInRound, readyStep, chosen.length)
  }

  private recordUnplaced ({ readyStep, queue, slackMs, objectiveMs }: RankedStep, unplaced: number, charge: Resources): void {
    const { job } = readyStep.entry
    if (queue === undefined) return
    const share = dominantShareOf(charge, totalCapacityOf(this.options.sessions.values(), queue.upstream))
    const unplacedStep = {
      slackMs,
      totalSlackMs: objectiveMs - criticalPathMsOf(job.steps),
      workMs: unplaced * readyStep.step.estimateMs * share,
      overRate: this.options.overRateJobs.has(job.id)
    }
    const unplacedSteps = this.unplacedSteps.get(queue.name)
    if (unplacedSteps === undefined) this.unplacedSteps.set(queue.name, [unplacedStep])
    else unplacedSteps.push(unplacedStep)
  }

  /** Assigns tasks to the chosen workers, and requests new tickets for workers whose tickets have expired. */
  private assignOrRenew (
    ranked: RankedStep,
    waiting: readonly TaskEntry[],
    chosen: readonly Candidate[],
    permitted: readonly Candidate[],
    pool: Pool,
    decisions: Decisions
  ): void {
    const { readyStep, queue } = ranked
    const charge = chargeOf(readyStep.step)
    const expired = chosen.filter((candidate) => this.ticketStatus(ranked, candidate) === TicketStatus.Expired)
    if (expired.length > 0) this.renewTickets(ranked, expired, permitted)
    const canAssign = expired.length === 0 || !readyStep.step.gang
    let nextTask = 0
    for (const candidate of chosen) {
      // Capacity is also taken for tasks that wait for a new ticket, so no lower-ranked task gets it in this round.
      pool.allocate(candidate, charge)
      if (!canAssign || expired.includes(candidate)) continue
      const session = this.options.sessions.get(candidate.id)!
      const ticket = queue?.advice === undefined ? '' : this.options.advisorClient.ticketOf(readyStep.name, candidate.id)
      decisions.assignments.push({ readyStep, task: waiting[nextTask++]!, session, charge, ticket })
    }
  }

  /**
   * Chooses workers for all tasks of a gang, or for as many tasks of another step as fit. A gang uses only workers with valid
   * tickets if all of its tasks fit there. For another step, workers are preferred in this order:
   *
   * 1. workers with a valid ticket, except the last worker of each waiting task that has a failed run. These workers are avoided
   *    for all tasks of the step;
   * 2. all workers with a valid ticket;
   * 3. all permitted workers.
   */
  private choose (
    ranked: RankedStep, waiting: readonly TaskEntry[], charge: Resources, count: number, permitted: readonly Candidate[]
  ): Candidate[] {
    const { readyStep } = ranked
    const { step } = readyStep
    const { settings } = this.options
    const valid = permitted.filter((candidate) => this.ticketStatus(ranked, candidate) === TicketStatus.Valid)
    if (step.gang) return fitGang(step, charge, count, valid, settings) ?? fitGang(step, charge, count, permitted, settings) ?? []
    const failedOn = new Set(waiting.filter((task) => task.failures > 0).map((task) => task.worker))
    const withoutFailure = valid.filter((candidate) => !failedOn.has(candidate.id))
    const runsByWorker = new Map<string, number>()
    if (step.perWorker > 0) this.countRunsByWorker(readyStep, runsByWorker)
    const before = new Map<Candidate, Resources>()
    const chosen: Candidate[] = []
    for (let index = 0; index < count; index++) {
      let candidate: Candidate | undefined
      for (const group of [withoutFailure, valid, permitted]) candidate ??= fitTask(step, charge, group, runsByWorker, settings)
      if (candidate === undefined) break
      if (!before.has(candidate)) before.set(candidate, candidate.free)
      candidate.free = subtractResources(candidate.free, charge)
      runsByWorker.set(candidate.id, (runsByWorker.get(candidate.id) ?? 0) + 1)
      chosen.push(candidate)
    }
    for (const [candidate, free] of before) candidate.free = free
    return chosen
  }

  /**
   * Frees capacity for tasks that could not be placed. Holds workers for long-running tasks, and for large urgent tasks within the
   * rate of their workspace. If `mayPreempt` allows it, also preempts runs that lose little work. This is done on the held workers.
   * If none was held, urgent tasks within the rate preempt on any of the candidates.
   *
   * @param candidates permitted workers that were not chosen for this step in the round
   */
  private freeCapacityFor (
    ranked: RankedStep, unplaced: number, pool: Pool, candidates: readonly Candidate[], decisions: Decisions
  ): void {
    const { readyStep, queue, slackMs } = ranked
    const charge = chargeOf(readyStep.step)
    const urgentWithinRate = queue !== undefined && queue.priority <= pool.urgentPriority &&
      !this.options.overRateJobs.has(readyStep.entry.job.id)
    const task = { longRunning: readyStep.step.lasting, urgentWithinRate, charge, slackMs }
    const mayStopRuns = mayPreempt(task, this.options.settings.stopMs)
    const holdable = candidates.filter((candidate) =>
      mayHold(task, candidate.capacity, this.options.sessions.get(candidate.id)!.timeToEmptyMs()))
    const held = pool.remainingHolds > 0
      ? chooseWorkersToHold(readyStep.step, charge, unplaced, holdable).slice(0, pool.remainingHolds)
      : []
    for (const candidate of held) {
      if (mayStopRuns) this.preempt(ranked, candidate, charge, decisions)
      pool.hold(candidate)
    }
    if (held.length > 0 || !urgentWithinRate || !mayStopRuns) return
    let remaining = unplaced
    for (const candidate of candidates) {
      if (remaining <= 0 || pool.consideredForPreemption.has(candidate.id)) continue
      if (this.preempt(ranked, candidate, charge, decisions)) remaining--
      pool.consideredForPreemption.add(candidate.id)
    }
  }

  /**
   * Stops runs on a worker to free capacity for a task, unless a run there is already being stopped. Returns true if a run
   * there is being stopped, even if that does not free enough for the task.
   */
  private preempt (ranked: RankedStep, candidate: Candidate, charge: Resources, decisions: Decisions): boolean {
    const session = this.options.sessions.get(candidate.id)!
    for (const run of session.runs.values()) {
      if (run.stopping !== undefined) return true
    }
    const stopped = chooseRunsToStop(charge, candidate.free, this.preemptibleRunsOf(session, ranked.queue))
    decisions.preemptions.push(...stopped)
    return stopped.length > 0
  }

  /**
   * Returns the started runs that may be preempted: those of lower-priority queues (of all queues if the step's queue has been
   * removed) that save checkpoints or are best-effort; never members of gangs or long-running runs.
   */
  private preemptibleRunsOf (session: Session, queue: Queue | undefined): Array<PreemptibleRun<Run>> {
    const preemptible: Array<PreemptibleRun<Run>> = []
    const priorities = new Map(this.options.configuration().queues.map((each) => [each.name, each.priority]))
    for (const run of session.runs.values()) {
      const priority = priorities.get(run.entry.job.queue) ?? 0
      const hasLowerPriority = queue === undefined || priority > queue.priority
      if (!hasLowerPriority || run.step.lasting || run.step.gang || run.state !== RunState.Running) continue
      if (run.step.checkpoints || run.step.bestEffort) {
        preemptible.push({ run, charge: run.charge, stopCost: run.charge.cpuMilli })
      }
    }
    return preemptible
  }

  /** Returns the workers that may run the step, and asks the advisor about those that it has not been asked about. */
  private findPermitted (ranked: RankedStep, candidates: readonly Candidate[]): Candidate[] {
    const { readyStep, queue, rank } = ranked
    if (queue?.advice === undefined) return [...candidates]
    const permitted: Candidate[] = []
    const unknown: Candidate[] = []
    for (const candidate of candidates) {
      const status = this.ticketStatus(ranked, candidate)
      if (status === TicketStatus.Unknown) unknown.push(candidate)
      else if (status !== TicketStatus.Forbidden) permitted.push(candidate)
    }
    if (unknown.length > 0) {
      const charge = chargeOf(readyStep.step)
      const hasFreeCapacity = unknown.some((candidate) => fitsResources(charge, candidate.free))
      this.options.advisorClient.request(readyStep.name, this.incarnationsOf(unknown), queue.advice, rank, hasFreeCapacity)
    }
    return permitted
  }

  private ticketStatus (ranked: RankedStep, candidate: Candidate): TicketStatus {
    if (ranked.queue?.advice === undefined) return TicketStatus.Valid
    return this.options.advisorClient.ticketStatus(ranked.readyStep.name, this.options.sessions.get(candidate.id)!)
  }

  /** Requests new tickets for workers with expired tickets, and for some other permitted workers in the same call. */
  private renewTickets (ranked: RankedStep, expired: readonly Candidate[], permitted: readonly Candidate[]): void {
    const { readyStep, queue, rank } = ranked
    if (queue?.advice === undefined) return
    const workers = new Set(expired)
    for (const candidate of permitted) {
      // At most as many other workers as `expired` has, plus two. There is a limit because each worker makes the call take longer.
      if (workers.size >= 2 * expired.length + 2) break
      workers.add(candidate)
    }
    this.options.advisorClient.request(readyStep.name, this.incarnationsOf([...workers]), queue.advice, rank, true)
  }

  private incarnationsOf (candidates: readonly Candidate[]): Array<{ id: string, born: number }> {
    return candidates.map((candidate) => ({ id: candidate.id, born: this.options.sessions.get(candidate.id)!.born }))
  }

  private startableTasks (readyStep: ReadyStep): TaskEntry[] {
    const { notBeforeMs, clock } = this.options
    if (notBeforeMs.size === 0) return [...readyStep.waiting]
    const steadyNowMs = clock.now()
    return readyStep.waiting.filter((task) => (notBeforeMs.get(`${readyStep.entry.job.id}.${task.key}`) ?? 0) <= steadyNowMs)
  }

  /**
   * Returns how many tasks of a step fit into what is left of the upper limit of their workspace.
   *
   * @param usageInRound resources, by workspace and dimension, of waiting tasks that the caller has already counted in this round:
   *   in `place` those for which it chose workers, in `createPool` those in the urgent demand. They count against the limit like
   *   the resources of runs
   */
  private headroom (readyStep: ReadyStep, usageInRound: ReadonlyMap<string, number>): number {
    const { workspace } = readyStep.entry.job
    const limit = this.options.configuration().workspaces.find((each) => each.name === workspace)?.upperLimit
    if (limit === undefined) return Infinity
    const used = this.options.ledger.usedBy(workspace)
    return headroomOf(limit, {
      cpuMilli: used.cpuMilli + (usageInRound.get(`${workspace} cpuMilli`) ?? 0),
      memoryMb: used.memoryMb + (usageInRound.get(`${workspace} memoryMb`) ?? 0),
      accelerators: used.accelerators + (usageInRound.get(`${workspace} accelerators`) ?? 0)
    }, readyStep.step.size)
  }

  private countRunsByWorker (readyStep: ReadyStep, runsByWorker: Map<string, number>): void {
    for (const run of this.options.ledger.runsOf(readyStep.entry)) {
      if (run.task.step !== readyStep.index || run.task.occurrence !== readyStep.occurrence) continue
      runsByWorker.set(run.session.id, (runsByWorker.get(run.session.id) ?? 0) + 1)
    }
  }

  /**
   * Returns true if the tasks of a step may use the capacity reserved for urgent tasks. These are long-running tasks, urgent
   * tasks, tasks of removed queues, tasks whose estimate is at most the mean total slack of urgent jobs, and tasks that have to
   * start soon to meet their objective, unless that time is already past. Urgent tasks may do so also beyond the rate of their
   * workspace.
   */
  private mayUseReserve ({ readyStep, queue, slackMs }: RankedStep, pool: Pool): boolean {
    if (readyStep.step.lasting || queue === undefined || queue.priority <= pool.urgentPriority) return true
    if (readyStep.step.estimateMs <= pool.urgentTotalSlackMs) return true
    return slackMs > 0 && slackMs < MAX_SLACK_FOR_RESERVE_MS
  }

  /**
   * Creates the pool of an upstream. Records the resources that its urgent tasks use or wait for, from which the reserve is
   * computed. Long-running tasks do not count, nor do waiting tasks beyond the rate or the upper limit of their workspace.
   */
  private createPool (upstream: string, rankedSteps: readonly RankedStep[]): Pool {
    const priorities = new Map<string, number>()
    for (const queue of this.options.configuration().queues) {
      if (queue.upstream === upstream) priorities.set(queue.name, queue.priority)
    }
    const urgentPriority = Math.min(...priorities.values())
    let demand = NO_RESOURCES
    for (const run of this.options.ledger.all()) {
      if (priorities.get(run.entry.job.queue) === urgentPriority && !run.step.lasting) demand = addResources(demand, run.charge)
    }
    const slacks: number[] = []
    const usageInRound = new Map<string, number>()
    for (const { readyStep, objectiveMs } of rankedSteps) {
      if (priorities.get(readyStep.entry.job.queue) !== urgentPriority || readyStep.step.lasting) continue
      // No capacity is reserved for tasks that are blocked by the limit or the rate of their workspace.
      if (this.options.overRateJobs.has(readyStep.entry.job.id)) continue
      const count = Math.min(readyStep.waiting.length, this.headroom(readyStep, usageInRound))
      if (count === 0) continue
      addUsage(usageInRound, readyStep, count)
      demand = addResources(demand, scaleResources(chargeOf(readyStep.step), count))
      slacks.push(objectiveMs - criticalPathMsOf(readyStep.entry.job.steps))
    }
    let urgentDemand = this.urgentDemand.get(upstream)
    if (urgentDemand === undefined) this.urgentDemand.set(upstream, urgentDemand = new UrgentDemand())
    urgentDemand.record(demand, slacks.length === 0 ? undefined : sum(slacks) / slacks.length, this.options.clock.now())
    const reserve = urgentDemand.reserve(totalCapacityOf(this.options.sessions.values(), upstream))
    return new Pool(this.candidatesOf(upstream), urgentPriority, urgentDemand.totalSlackMs, reserve)
  }

  private upstreamOf ({ readyStep, queue }: RankedStep): string {
    return queue?.upstream ?? readyStep.entry.job.upstream
  }

  private candidatesOf (upstream: string): Map<string, Candidate> {
    const steadyNowMs = this.options.clock.now()
    const candidates = new Map<string, Candidate>()
    for (const session of this.options.sessions.values()) {
      if (session.worker.upstream !== upstream || !session.acceptsRuns(steadyNowMs)) continue
      let hasServingTasks = false
      let bestEffortCount = 0
      for (const run of session.runs.values()) {
        if (run.step.latencyTargetMs > 0) hasServingTasks = true
        if (run.step.bestEffort) bestEffortCount++
      }
      candidates.set(session.id, {
        id: session.id,
        rack: session.rack,
        labels: session.worker.labels,
        capacity: session.worker.capacity,
        free: session.freeCapacity(),
        slowness: this.options.slownessOf(session),
        hasServingTasks,
        bestEffortCount
      })
    }
    return candidates
  }
}

/**
 * Adds tasks of a step to the usage of their workspace, which counts against its upper limit. The key is the workspace and the
 * resource, joined by a space.
 */
function addUsage (usage: Map<string, number>, { entry, step }: ReadyStep, count: number): void {
  for (const [dimension, amount] of Object.entries(step.size)) {
    const key = `${entry.job.workspace} ${dimension}`
    usage.set(key, (usage.get(key) ?? 0) + count * amount)
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
