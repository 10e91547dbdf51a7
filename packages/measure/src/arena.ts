/**
 * Drives one scheduler through seeded arrivals with a handed-in clock. Only tasks' ends are made up; every decision is
 * the scheduler's.
 */
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Machine, Placement, Task } from '@fireflymount/policy/task'
import type { Resources } from '@fireflymount/protocol/resources'
import { Ending } from '@fireflymount/policy/task'
import { scaleResources } from '@fireflymount/protocol/resources'
import { Queue } from './queue.js'
import { Tally } from './tally.js'

const TICK_MS = 10
const FAILURE_MS = 5
const ATTEMPTS = 6
const DECISIONS_MAX = 1_000

/** Work that arrives together: one task, or a whole gang. */
export interface Arrival {
  readonly atMs: number
  readonly tasks: readonly Task[]
  /** True run time of each task. */
  readonly runtimeMs: number
  /** True usage as a multiple of the declared size. */
  readonly overuse?: number
  /** The caller gives up at this time if the task still waits. */
  readonly cancelMs?: number
}

/** What happens to whom. */
export interface Course {
  readonly machines: readonly Machine[]
  readonly arrivals: readonly Arrival[]
  readonly untilMs: number
  /** Workers on which everything fails. */
  readonly failing?: ReadonlySet<string>
  /** At this time the owner dies; the next one decides after a gap. */
  readonly death?: Death
}

/** An owner's death. */
export interface Death {
  readonly atMs: number
  readonly gapMs: number
  /** Builds the next owner's scheduler, with workers and teams but without tasks. */
  readonly create: () => Scheduler
}

enum Event { Arrive, End, Cancel, Die, Revive }

interface Entry {
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
  readonly leftMs: number
  readonly fails: boolean
}

/** Called once a second, to sample. */
export type Sampler = (arena: Arena, nowMs: number) => void

/** Tasks of a team. */
export interface Demand {
  running: number
  waiting: number
}

/** One run of one scheduler. */
export class Arena {
  readonly tally = new Tally()
  /** Time spent in cancel(), in milliseconds. */
  cancelSpentMs = 0
  private readonly queue = new Queue<Entry>()
  private readonly waiting = new Map<string, { task: Task, arrival: Arrival, leftMs: number }>()
  private readonly running = new Map<string, Run>()
  private nowMs = 0
  private dead = false

  constructor (private scheduler: Scheduler, private readonly course: Course, private readonly sample?: Sampler) {
    for (const arrival of course.arrivals) this.queue.add(arrival.atMs, { event: Event.Arrive, arrival })
    if (course.death === undefined) return
    this.queue.add(course.death.atMs, { event: Event.Die })
    this.queue.add(course.death.atMs + course.death.gapMs, { event: Event.Revive })
  }

  /**
   * Runs the whole course.
   *
   * @returns what was counted
   */
  run (): Tally {
    let sampleMs = 0
    for (let tickMs = 0; tickMs <= this.course.untilMs; tickMs += TICK_MS) {
      this.advance(tickMs)
      this.decide()
      if (tickMs < sampleMs) continue
      this.sample?.(this, tickMs)
      sampleMs += 1_000
    }
    for (const { task } of this.waiting.values()) this.tally.leave(task, this.course.untilMs)
    return this.tally
  }

  /**
   * Counts tasks by team.
   *
   * @returns what runs and waits
   */
  demands (): Map<string, Demand> {
    const demands = new Map<string, Demand>()
    for (const { task } of this.running.values()) demandOf(demands, task.team).running++
    for (const { task } of this.waiting.values()) demandOf(demands, task.team).waiting++
    return demands
  }

  private advance (untilMs: number): void {
    while (this.queue.firstMs() <= untilMs) {
      this.nowMs = this.queue.firstMs()
      const entry = this.queue.take()
      this.apply(entry)
      if (entry.event === Event.End) this.decide()
    }
    this.nowMs = untilMs
  }

  private apply ({ event, arrival, task, run }: Entry): void {
    switch (event) {
      case Event.Arrive: return this.arrive(arrival!)
      case Event.End: return this.end(run!)
      case Event.Cancel: return this.cancel(task!)
      case Event.Die: this.dead = true; return
      case Event.Revive: return this.revive()
    }
  }

  private arrive (arrival: Arrival): void {
    for (const task of arrival.tasks) {
      this.enqueue(task, arrival, arrival.runtimeMs)
      if (arrival.cancelMs !== undefined) this.queue.add(arrival.cancelMs, { event: Event.Cancel, task })
    }
  }

  private enqueue (task: Task, arrival: Arrival, leftMs: number): void {
    if (!this.dead && this.scheduler.enqueue(task, this.nowMs).isErr()) return this.tally.refuse(task)
    this.waiting.set(task.id, { task, arrival, leftMs })
  }

  private cancel (task: Task): void {
    if (!this.waiting.delete(task.id)) return
    const startMs = performance.now()
    this.scheduler.cancel(task.id)
    this.cancelSpentMs += performance.now() - startMs
    this.tally.cancel(task)
  }

  private decide (): void {
    if (this.dead) return
    const { placements, preemptions, expired } = this.scheduler.decide(this.nowMs, DECISIONS_MAX)
    for (const { task } of expired) {
      this.waiting.delete(task.id)
      this.tally.expire(task)
    }
    for (const placement of placements) this.start(placement)
    for (const { task } of preemptions) this.preempt(task)
  }

  private start ({ task, worker }: Placement): void {
    const { arrival, leftMs } = this.waiting.get(task.id)!
    this.waiting.delete(task.id)
    const fails = this.course.failing?.has(worker) ?? false
    const run = { task, arrival, worker, startMs: this.nowMs, leftMs, fails }
    this.running.set(task.id, run)
    if (!fails) this.tally.start(task, this.nowMs)
    this.queue.add(this.nowMs + (fails ? FAILURE_MS : leftMs), { event: Event.End, run })
  }

  private end (run: Run): void {
    const { task, arrival, worker, fails } = run
    if (this.running.get(task.id) !== run) return
    this.running.delete(task.id)
    const ending = fails ? Ending.Failed : Ending.Succeeded
    if (!this.dead) this.scheduler.finish(task.id, ending, this.nowMs, this.nowMs - run.startMs, usageOf(task, arrival))
    if (!fails) return
    const avoid = [...task.avoid ?? [], worker]
    if (avoid.length >= ATTEMPTS) this.tally.lose(task)
    else this.enqueue({ ...task, avoid }, arrival, run.leftMs)
  }

  /** A checkpoint keeps what was done; without one the run starts over. */
  private preempt (id: string): void {
    const run = this.running.get(id)
    if (run === undefined) return
    this.running.delete(id)
    this.scheduler.finish(id, Ending.Released, this.nowMs)
    const doneMs = run.task.checkpoint ? this.nowMs - run.startMs : 0
    this.tally.preempt(run.task)
    this.enqueue({ ...run.task, submittedMs: this.nowMs }, run.arrival, run.leftMs - doneMs)
  }

  /** The next owner adopts what runs, and takes what waits in again. */
  private revive (): void {
    this.dead = false
    this.scheduler = this.course.death!.create()
    for (const { task, worker } of this.running.values()) this.scheduler.adopt(task, worker, this.nowMs)
    for (const { task } of [...this.waiting.values()]) {
      if (this.scheduler.enqueue(task, this.nowMs).isOk()) continue
      this.waiting.delete(task.id)
      this.tally.refuse(task)
    }
  }
}

function usageOf (task: Task, { overuse }: Arrival): Resources {
  return overuse === undefined ? task.size : scaleResources(task.size, overuse)
}

function demandOf (demands: Map<string, Demand>, team: string): Demand {
  const known = demands.get(team) ?? { running: 0, waiting: 0 }
  demands.set(team, known)
  return known
}
