/**
 * Discrete-event simulation that feeds seeded task arrivals to one scheduler under a simulated clock. Everything
 * but the scheduler is simulated.
 */
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { WorkerSpec, Placement, Task } from '@fireflymount/policy/task'
import type { Resources } from '@fireflymount/protocol/resources'
import { Ending } from '@fireflymount/policy/task'
import { scaleResources } from '@fireflymount/protocol/resources'
import { EventQueue } from './event-queue.js'
import { TaskStatistics } from './task-statistics.js'

const TICK_INTERVAL_MS = 10
/** Time after which a run on a failing worker fails. */
const FAILING_RUN_MS = 5
const MAX_ATTEMPTS = 6
const MAX_PLACEMENTS_PER_ROUND = 1_000

/** Tasks that arrive together: one task, or all members of a gang. */
export interface Arrival {
  readonly atMs: number
  readonly tasks: readonly Task[]
  /** Actual run time of each task, which may differ from the declared one. */
  readonly runtimeMs: number
  /** Actual resource usage as a multiple of the declared size; 1 if absent. */
  readonly overuse?: number
  /** Time at which the caller cancels the tasks that are still waiting; never if absent. */
  readonly cancelAtMs?: number
}

/** Input of a simulation: workers, arrivals and failures. */
export interface SimulationPlan {
  readonly workers: readonly WorkerSpec[]
  readonly arrivals: readonly Arrival[]
  readonly untilMs: number
  /** Ids of workers on which every run fails. */
  readonly failing?: ReadonlySet<string>
  /** Crash of the shard's owner; none if absent. */
  readonly ownerCrash?: OwnerCrash
}

/** Crash of the owner, and the takeover by the next one. */
export interface OwnerCrash {
  readonly atMs: number
  /** Time between the crash and the takeover, in which no decisions are made. */
  readonly downtimeMs: number
  /** Builds the next owner's scheduler, which knows the workers and teams but no tasks yet. */
  readonly create: () => Scheduler
}

enum Event { Arrival, End, Cancel, Crash, TakeOver }

interface ScheduledEvent {
  readonly event: Event
  readonly arrival?: Arrival
  readonly task?: Task
  readonly run?: Run
}

interface Run {
  readonly task: Task
  readonly arrival: Arrival
  readonly worker: string
  readonly startMs: number
  /** Run time that the task still needed at the start of this run. */
  readonly remainingMs: number
  readonly fails: boolean
}

/** Called once per simulated second to sample the state. */
export type Sampler = (simulation: Simulation, nowMs: number) => void

/** Number of running and waiting tasks of a team. */
export interface TeamDemand {
  running: number
  waiting: number
}

/** Simulates one plan with one scheduler. */
export class Simulation {
  readonly statistics = new TaskStatistics()
  /** Real time spent in the scheduler's cancel(), in milliseconds. */
  cancelSpentMs = 0
  private readonly events = new EventQueue<ScheduledEvent>()
  private readonly waiting = new Map<string, { task: Task, arrival: Arrival, remainingMs: number }>()
  private readonly running = new Map<string, Run>()
  private nowMs = 0
  private ownerDown = false

  constructor (private scheduler: Scheduler, private readonly plan: SimulationPlan, private readonly sample?: Sampler) {
    for (const arrival of plan.arrivals) this.events.add(arrival.atMs, { event: Event.Arrival, arrival })
    if (plan.ownerCrash === undefined) return
    this.events.add(plan.ownerCrash.atMs, { event: Event.Crash })
    this.events.add(plan.ownerCrash.atMs + plan.ownerCrash.downtimeMs, { event: Event.TakeOver })
  }

  /**
   * Runs the whole simulation.
   *
   * @returns statistics of the tasks by kind
   */
  run (): TaskStatistics {
    let sampleMs = 0
    for (let tickMs = 0; tickMs <= this.plan.untilMs; tickMs += TICK_INTERVAL_MS) {
      this.advance(tickMs)
      this.decide()
      if (tickMs < sampleMs) continue
      this.sample?.(this, tickMs)
      sampleMs += 1_000
    }
    for (const { task } of this.waiting.values()) this.statistics.recordStillWaiting(task, this.plan.untilMs)
    return this.statistics
  }

  /**
   * Counts the running and waiting tasks.
   *
   * @returns the counts by team
   */
  countDemands (): Map<string, TeamDemand> {
    const demands = new Map<string, TeamDemand>()
    for (const { task } of this.running.values()) findOrCreateDemand(demands, task.team).running++
    for (const { task } of this.waiting.values()) findOrCreateDemand(demands, task.team).waiting++
    return demands
  }

  private advance (untilMs: number): void {
    while (this.events.firstMs() <= untilMs) {
      this.nowMs = this.events.firstMs()
      const scheduledEvent = this.events.takeFirst()
      this.apply(scheduledEvent)
      if (scheduledEvent.event === Event.End) this.decide()
    }
    this.nowMs = untilMs
  }

  private apply ({ event, arrival, task, run }: ScheduledEvent): void {
    switch (event) {
      case Event.Arrival: return this.arrive(arrival!)
      case Event.End: return this.end(run!)
      case Event.Cancel: return this.cancel(task!)
      case Event.Crash: this.ownerDown = true; return
      case Event.TakeOver: return this.takeOver()
    }
  }

  private arrive (arrival: Arrival): void {
    for (const task of arrival.tasks) {
      this.enqueue(task, arrival, arrival.runtimeMs)
      if (arrival.cancelAtMs !== undefined) this.events.add(arrival.cancelAtMs, { event: Event.Cancel, task })
    }
  }

  private enqueue (task: Task, arrival: Arrival, remainingMs: number): void {
    if (!this.ownerDown && this.scheduler.enqueue(task, this.nowMs).isErr()) return this.statistics.recordRefusal(task)
    this.waiting.set(task.id, { task, arrival, remainingMs })
  }

  private cancel (task: Task): void {
    if (!this.waiting.delete(task.id)) return
    const startMs = performance.now()
    this.scheduler.cancel(task.id)
    this.cancelSpentMs += performance.now() - startMs
    this.statistics.recordCancellation(task)
  }

  private decide (): void {
    if (this.ownerDown) return
    const { placements, preemptions, expired } = this.scheduler.decide(this.nowMs, MAX_PLACEMENTS_PER_ROUND)
    for (const { task } of expired) {
      this.waiting.delete(task.id)
      this.statistics.recordExpiry(task)
    }
    for (const placement of placements) this.start(placement)
    for (const { task } of preemptions) this.preempt(task)
  }

  private start ({ task, worker }: Placement): void {
    const { arrival, remainingMs } = this.waiting.get(task.id)!
    this.waiting.delete(task.id)
    const fails = this.plan.failing?.has(worker) ?? false
    const run = { task, arrival, worker, startMs: this.nowMs, remainingMs, fails }
    this.running.set(task.id, run)
    if (!fails) this.statistics.recordStart(task, this.nowMs)
    this.events.add(this.nowMs + (fails ? FAILING_RUN_MS : remainingMs), { event: Event.End, run })
  }

  private end (run: Run): void {
    const { task, arrival, worker, fails } = run
    if (this.running.get(task.id) !== run) return
    this.running.delete(task.id)
    const ending = fails ? Ending.Failed : Ending.Succeeded
    if (!this.ownerDown) this.scheduler.finish(task.id, ending, this.nowMs, this.nowMs - run.startMs, computeUsage(task, arrival))
    if (!fails) return
    const avoid = [...task.avoid ?? [], worker]
    if (avoid.length >= MAX_ATTEMPTS) this.statistics.recordFailure(task)
    else this.enqueue({ ...task, avoid }, arrival, run.remainingMs)
  }

  /** Requeues a preempted task: with a checkpoint it resumes where it stopped, without one it starts over. */
  private preempt (id: string): void {
    const run = this.running.get(id)
    if (run === undefined) return
    this.running.delete(id)
    this.scheduler.finish(id, Ending.Released, this.nowMs)
    const doneMs = run.task.checkpoint ? this.nowMs - run.startMs : 0
    this.statistics.recordPreemption(run.task)
    this.enqueue({ ...run.task, submittedMs: this.nowMs }, run.arrival, run.remainingMs - doneMs)
  }

  /** The next owner adopts the running tasks and enqueues the waiting ones again. */
  private takeOver (): void {
    this.ownerDown = false
    this.scheduler = this.plan.ownerCrash!.create()
    for (const { task, worker } of this.running.values()) this.scheduler.adopt(task, worker, this.nowMs)
    for (const { task } of [...this.waiting.values()]) {
      if (this.scheduler.enqueue(task, this.nowMs).isOk()) continue
      this.waiting.delete(task.id)
      this.statistics.recordRefusal(task)
    }
  }
}

function computeUsage (task: Task, { overuse }: Arrival): Resources {
  return overuse === undefined ? task.size : scaleResources(task.size, overuse)
}

function findOrCreateDemand (demands: Map<string, TeamDemand>, team: string): TeamDemand {
  const known = demands.get(team) ?? { running: 0, waiting: 0 }
  demands.set(team, known)
  return known
}
