/**
 * Scheduling rounds: each round assigns waiting tasks to workers and selects the steps for which the advisor is asked.
 */
import { addResources, fitsResources, NO_RESOURCES, scaleResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Clock } from '../clock.js'
import type { TaskEntry } from '../journal/journal-state.js'
import type { Job } from '../model/job.js'
import type { Configuration, Queue } from '../model/configuration.js'
import { splitTask } from '../model/worker.js'
import type { UnplacedStep } from '../place/admission.js'
import { chooseWorkersToAsk } from '../place/advice.js'
import { fitGang, fitTask, type PlacementSettings } from '../place/fit.js'
import { dominantShareOf, headroomOf } from '../place/limit.js'
import type { PastUse } from '../place/past-use.js'
import { UrgentDemand } from '../place/reserve.js'
import { TicketStatus, type AdvisorClient } from './advisor-client.js'
import { Candidates, type PoolCandidate } from './candidates.js'
import { CapacityReclaimer } from './capacity-reclaimer.js'
import { Contention } from './contention.js'
import { JobSettings } from './job-settings.js'
import type { ReadyStep, ReadySteps } from './ready-step.js'
import { chargeOf, type Ledger } from './ledger.js'
import { PermittedWorkersFinder, type PermittedWorkers } from './permitted-workers.js'
import { Pool, totalCapacityOf } from './pool.js'
import type { Run } from './run.js'
import type { Session } from './session.js'
import { rankReadySteps, type RankedStep } from './step-ranking.js'
import { TicketRenewal } from './ticket-renewal.js'
import { WorkspaceUsage } from './workspace-usage.js'

/**
 * Lower-priority tasks may use the capacity reserved for urgent tasks if the latest time at which they have to start is still
 * ahead, but by less than this.
 */
const MAX_SLACK_FOR_RESERVE_MS = 1500

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
  /** Number of steps that cannot start yet and for which new tickets were requested. */
  readonly renewedSteps: number
}

/** Settings of the dispatcher. */
export interface DispatcherSettings extends PlacementSettings {
  /** Maximum time that a worker takes to stop a run. */
  readonly stopMs: number
}

/** Capacity of an upstream that is reserved for urgent tasks. */
export interface Reservation {
  /** Tasks of queues with this priority are urgent; Infinity without queues. */
  readonly urgentPriority: number
  /** Tasks with at most this estimated duration may use the reserve. */
  readonly urgentTotalSlackMs: number
  readonly reserve: Resources
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
  /** Undefined if past use does not count. */
  readonly pastUse: PastUse | undefined
  /** Called for a step with tasks that may start, but for which no worker that accepts runs is permitted. */
  readonly onNoWorker: (readyStep: ReadyStep, advised: boolean) => void
  /** Called with an unexpected error in the placement of a step, which is passed over in this round. */
  readonly onStepFailed: (step: string, error: unknown) => void
}

/** The state of one round. */
interface Round {
  readonly rankedSteps: readonly RankedStep[]
  /** Includes the tasks for which workers were chosen in this round. */
  readonly usage: WorkspaceUsage
  readonly pools: Map<string, Pool>
  readonly assignments: Assignment[]
  readonly reclaimer: CapacityReclaimer
  readonly renewal: TicketRenewal
  /** Ids of jobs with a task that may not start before some time. */
  readonly delayedJobs: ReadonlySet<string>
}

/**
 * Runs scheduling rounds. From one round to the next, it keeps the demand of urgent tasks, the unplaced steps, and which workers
 * may run which steps.
 */
export class Dispatcher {
  private readonly urgentDemand = new Map<string, UrgentDemand>()
  private readonly unplacedSteps = new Map<string, UnplacedStep[]>()
  /** As of the last round. */
  readonly contention: Contention
  private readonly candidates: Candidates
  private readonly permittedWorkers: PermittedWorkersFinder
  private readonly jobSettings: JobSettings

  constructor (private readonly options: DispatcherOptions) {
    this.candidates = new Candidates(options.sessions, options.slownessOf)
    this.permittedWorkers = new PermittedWorkersFinder(options.advisorClient)
    this.jobSettings = new JobSettings(options.configuration)
    this.contention = new Contention(this.jobSettings, options.clock)
  }

  /** Returns how the capacity of an upstream was reserved for urgent tasks in the last round. */
  reservationOf (upstream: string): Reservation {
    const { sessions } = this.options
    const urgentDemand = this.urgentDemand.get(upstream)
    return {
      urgentPriority: this.urgentPriorityOf(upstream),
      urgentTotalSlackMs: urgentDemand?.totalSlackMs ?? 0,
      reserve: urgentDemand?.reserve(totalCapacityOf(sessions.values(), upstream)) ?? NO_RESOURCES
    }
  }

  private urgentPriorityOf (upstream: string): number {
    let urgentPriority = Infinity
    for (const queue of this.jobSettings.queues()) {
      if (queue.upstream === upstream) urgentPriority = Math.min(urgentPriority, queue.priority)
    }
    return urgentPriority
  }

  /** Runs one round over all waiting tasks. */
  round (): Decisions {
    const round = this.startRound()
    this.unplacedSteps.clear()
    this.contention.clear()
    for (const ranked of round.rankedSteps) {
      try {
        this.place(ranked, this.poolOf(ranked, round), round)
      } catch (error) {
        this.options.onStepFailed(ranked.readyStep.name, error)
      }
    }
    const { assignments, reclaimer: { preemptions }, renewal: { renewedSteps } } = round
    return { assignments, preemptions, renewedSteps }
  }

  private startRound (): Round {
    const { readySteps, clock, overRateJobs, ledger, settings, notBeforeMs, pastUse, advisorClient } = this.options
    const { jobSettings } = this
    return {
      rankedSteps: rankReadySteps({ readySteps, jobSettings, clock, overRateJobs, pastUse }),
      usage: new WorkspaceUsage(ledger, jobSettings),
      pools: new Map(),
      assignments: [],
      reclaimer: new CapacityReclaimer(jobSettings, settings.stopMs),
      renewal: new TicketRenewal(advisorClient, clock),
      delayedJobs: new Set([...notBeforeMs.keys()].map((task) => splitTask(task).job))
    }
  }

  private poolOf ({ readyStep, queue }: RankedStep, round: Round): Pool {
    const upstream = queue?.upstream ?? readyStep.entry.job.upstream
    let pool = round.pools.get(upstream)
    if (pool === undefined) round.pools.set(upstream, pool = this.createPool(upstream, round))
    return pool
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

  private place (ranked: RankedStep, pool: Pool, round: Round): void {
    const { readyStep } = ranked
    const { step, charge } = readyStep
    const waiting = this.startableTasks(readyStep, round)
    const withinLimit = Math.min(waiting.length, round.usage.headroom(readyStep))
    const allowed = mayUseReserve(ranked, pool) ? withinLimit : pool.countOutsideReserve(charge, withinLimit)
    if (allowed === 0 || (step.gang && allowed < step.count)) return
    const advised = ranked.queue?.advice !== undefined
    const workers = this.permittedWorkers.find(readyStep, pool, advised)
    const { permitted, unknown } = workers
    if (permitted.length === 0 && unknown.length === 0) {
      this.options.onNoWorker(readyStep, advised)
      return
    }
    const chosen = permitted.length > 0 && pool.mayFit(charge) ? this.choose(ranked, waiting, allowed, permitted) : []
    const unplaced = allowed - chosen.length
    if (unplaced > 0) {
      this.contention.record(ranked, permitted.length > 0)
      this.askAboutUnknown(ranked, unplaced, workers, pool)
    }
    if (permitted.length === 0) return
    if (unplaced > 0) {
      this.recordUnplaced(ranked, unplaced, pool)
      round.renewal.renew(ranked, unplaced, permitted, pool)
      round.reclaimer.freeCapacityFor(ranked, unplaced, pool, permitted, chosen)
    }
    if (chosen.length > 0) this.assignOrRenew(ranked, waiting, chosen, permitted, pool, round)
    round.usage.add(readyStep, chosen.length)
  }

  private recordUnplaced ({ readyStep, queue, overRate, slackMs, objectiveMs }: RankedStep, unplaced: number, pool: Pool): void {
    if (queue === undefined) return
    const { step, charge, criticalPathMs } = readyStep
    const unplacedStep = {
      slackMs,
      totalSlackMs: objectiveMs - criticalPathMs,
      workMs: unplaced * step.estimateMs * dominantShareOf(charge, pool.totalCapacity),
      overRate
    }
    const unplacedSteps = this.unplacedSteps.get(queue.name)
    if (unplacedSteps === undefined) this.unplacedSteps.set(queue.name, [unplacedStep])
    else unplacedSteps.push(unplacedStep)
  }

  /** Assigns tasks to the chosen workers, and requests new tickets for workers whose tickets have expired. */
  private assignOrRenew (
    ranked: RankedStep,
    waiting: readonly TaskEntry[],
    chosen: readonly PoolCandidate[],
    permitted: readonly PoolCandidate[],
    pool: Pool,
    round: Round
  ): void {
    const { readyStep, queue } = ranked
    const { charge, step } = readyStep
    const expired = chosen.filter((candidate) => this.ticketStatus(ranked, candidate) === TicketStatus.Expired)
    if (expired.length > 0) this.renewTickets(ranked, expired, permitted)
    const canAssign = expired.length === 0 || !step.gang
    let nextTask = 0
    for (const candidate of chosen) {
      // Capacity is also taken for tasks that wait for a new ticket, so no lower-ranked task gets it in this round.
      pool.allocate(candidate, charge)
      if (!canAssign || expired.includes(candidate)) continue
      const { session } = candidate
      const ticket = queue?.advice === undefined ? '' : this.options.advisorClient.ticketOf(readyStep.name, candidate.id)
      round.assignments.push({ readyStep, task: waiting[nextTask++]!, session, charge, ticket })
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
    ranked: RankedStep, waiting: readonly TaskEntry[], count: number, permitted: readonly PoolCandidate[]
  ): PoolCandidate[] {
    const { step, charge } = ranked.readyStep
    const { settings } = this.options
    const fitting = permitted.filter((candidate) => fitsResources(charge, candidate.free))
    if (fitting.length === 0) return []
    const isValid = (candidate: PoolCandidate): boolean => this.ticketStatus(ranked, candidate) === TicketStatus.Valid
    if (step.gang) {
      return fitGang(step, charge, count, permitted.filter(isValid), settings) ??
        fitGang(step, charge, count, permitted, settings) ?? []
    }
    const valid = fitting.filter(isValid)
    const failedOn = new Set<string>()
    for (const task of waiting) {
      if (task.failures > 0) failedOn.add(task.worker)
    }
    const groups = [valid.filter((candidate) => !failedOn.has(candidate.id)), valid, fitting]
    return this.chooseFromGroups(ranked.readyStep, count, groups)
  }

  /** Chooses a worker for each task: one of the first group in which the task fits. */
  private chooseFromGroups (
    readyStep: ReadyStep, count: number, groups: ReadonlyArray<readonly PoolCandidate[]>
  ): PoolCandidate[] {
    const { step, charge } = readyStep
    const runsByWorker = new Map<string, number>()
    if (step.perWorker > 0) this.countRunsByWorker(readyStep, runsByWorker)
    const before = new Map<PoolCandidate, Resources>()
    const chosen: PoolCandidate[] = []
    let group = 0
    while (chosen.length < count && group < groups.length) {
      const candidate = fitTask(step, charge, groups[group]!, runsByWorker, this.options.settings)
      if (candidate === undefined) {
        // Where one task of the step does not fit, the next one does not fit either.
        group++
        continue
      }
      if (!before.has(candidate)) before.set(candidate, candidate.free)
      candidate.free = subtractResources(candidate.free, charge)
      runsByWorker.set(candidate.id, (runsByWorker.get(candidate.id) ?? 0) + 1)
      chosen.push(candidate)
    }
    for (const [candidate, free] of before) candidate.free = free
    return chosen
  }

  /** Asks the advisor about workers that it has not been asked about, for tasks that no permitted worker can take. */
  private askAboutUnknown (ranked: RankedStep, unplaced: number, { unknown }: PermittedWorkers, pool: Pool): void {
    const { advisorClient } = this.options
    const { readyStep, queue, rank } = ranked
    if (unknown.length === 0 || queue?.advice === undefined) return
    const { charge } = readyStep
    const hasFreeCapacity = pool.mayFit(charge) && unknown.some((candidate) => fitsResources(charge, candidate.free))
    if (advisorClient.reprioritize(readyStep.name, rank, hasFreeCapacity)) return
    const sessions = chooseWorkersToAsk(charge, unplaced, unknown).map(({ session }) => session)
    advisorClient.request(readyStep.name, sessions, queue.advice, rank, hasFreeCapacity)
  }

  private ticketStatus ({ readyStep, queue }: RankedStep, { session }: PoolCandidate): TicketStatus {
    if (queue?.advice === undefined) return TicketStatus.Valid
    return this.options.advisorClient.ticketStatus(readyStep.name, session)
  }

  /** Requests new tickets for workers with expired tickets, and for some other permitted workers in the same call. */
  private renewTickets (ranked: RankedStep, expired: readonly PoolCandidate[], permitted: readonly PoolCandidate[]): void {
    const { readyStep, queue, rank } = ranked
    if (queue?.advice === undefined) return
    const workers = new Set(expired)
    for (const candidate of permitted) {
      // At most as many other workers as `expired` has, plus two. There is a limit because each worker makes the call take longer.
      if (workers.size >= 2 * expired.length + 2) break
      workers.add(candidate)
    }
    const sessions = [...workers].map(({ session }) => session)
    this.options.advisorClient.request(readyStep.name, sessions, queue.advice, rank, true)
  }

  private startableTasks (readyStep: ReadyStep, { delayedJobs }: Round): readonly TaskEntry[] {
    if (!delayedJobs.has(readyStep.entry.job.id)) return readyStep.waiting
    const { notBeforeMs, clock } = this.options
    const steadyNowMs = clock.now()
    return readyStep.waiting.filter((task) => (notBeforeMs.get(`${readyStep.entry.job.id}.${task.key}`) ?? 0) <= steadyNowMs)
  }

  private countRunsByWorker (readyStep: ReadyStep, runsByWorker: Map<string, number>): void {
    for (const run of this.options.ledger.runsOf(readyStep.entry)) {
      if (run.task.step !== readyStep.index || run.task.occurrence !== readyStep.occurrence) continue
      runsByWorker.set(run.session.id, (runsByWorker.get(run.session.id) ?? 0) + 1)
    }
  }

  /**
   * Creates the pool of an upstream. Records the resources that its urgent tasks use or wait for, from which the reserve is
   * computed. Long-running tasks do not count, nor do waiting tasks beyond the rate or the upper limit of their workspace.
   */
  private createPool (upstream: string, round: Round): Pool {
    const { ledger, sessions, clock } = this.options
    const urgentPriority = this.urgentPriorityOf(upstream)
    const isUrgent = (queue: Queue): boolean => queue.upstream === upstream && queue.priority === urgentPriority
    let demand = NO_RESOURCES
    for (const queue of this.jobSettings.queues()) {
      if (isUrgent(queue)) demand = addResources(demand, ledger.chargedFor(queue.name))
    }
    let totalSlackMs = 0
    let waitingSteps = 0
    const usage = new WorkspaceUsage(ledger, this.jobSettings)
    for (const { readyStep, queue, objectiveMs, overRate, tooLate } of round.rankedSteps) {
      if (queue === undefined || readyStep.step.lasting || !isUrgent(queue)) continue
      // No capacity is reserved for tasks that are too late to be of use, or blocked by the limit or the rate of their workspace.
      if (overRate || tooLate) continue
      const count = Math.min(readyStep.waiting.length, usage.headroom(readyStep))
      if (count === 0) continue
      usage.add(readyStep, count)
      demand = addResources(demand, scaleResources(readyStep.charge, count))
      totalSlackMs += objectiveMs - readyStep.criticalPathMs
      waitingSteps++
    }
    let urgentDemand = this.urgentDemand.get(upstream)
    if (urgentDemand === undefined) this.urgentDemand.set(upstream, urgentDemand = new UrgentDemand())
    const nowMs = clock.now()
    urgentDemand.record(demand, waitingSteps === 0 ? undefined : totalSlackMs / waitingSteps, nowMs)
    const total = totalCapacityOf(sessions.values(), upstream)
    const candidates = this.candidates.collect(upstream, nowMs)
    return new Pool(upstream, candidates, urgentPriority, urgentDemand.totalSlackMs, urgentDemand.reserve(total), total)
  }
}

/**
 * Returns true if the tasks of a step may use the capacity reserved for urgent tasks. These are long-running tasks, urgent
 * tasks, tasks of unknown queues, tasks whose estimate is at most the mean total slack of urgent jobs, and tasks that have to
 * start soon to meet their objective, unless that time is already past. Urgent tasks may do so also beyond the rate of their
 * workspace.
 */
export function mayUseReserve ({ readyStep, queue, slackMs }: RankedStep, reservation: Reservation): boolean {
  if (readyStep.step.lasting || queue === undefined || queue.priority <= reservation.urgentPriority) return true
  if (readyStep.step.estimateMs <= reservation.urgentTotalSlackMs) return true
  return slackMs > 0 && slackMs < MAX_SLACK_FOR_RESERVE_MS
}
