/**
 * The state of one stand-in worker: epoch, tasks under leases, requests and reports.
 */
import { randomUUID } from 'node:crypto'
import {
  TaskState,
  WorkerFailure,
  type TaskStart,
  type WorkerError,
  type WorkerReport,
  type WorkerRequest
} from '@fireflymount/platform/worker'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Resources } from '@fireflymount/protocol/resources'
import { err, ok, type Result } from 'neverthrow'
import { ActiveRequest } from './active-request.js'
import { Assignment, runKey } from './assignment.js'
import { isFailing, parseBehaviour } from './behaviour.js'
import { delay } from './delay.js'
import { Fence } from './fence.js'
import { Event, type EventFields, type Record } from './record.js'
import { Reports } from './reports.js'
import { Room } from './room.js'
import { Waiters } from './waiters.js'

/** Time after which everything fails on a worker that fails all. */
const FAIL_MS = 5

/** What a worker has and does. */
export interface HostOptions {
  readonly id: string
  readonly capacity: Resources
  readonly slots: number
  /** Interval of the check for lapsed leases. */
  readonly leaseCheckMs: number
  /** Time after which a change of usage is reported. */
  readonly usageLagMs: number
}

/** One worker. */
export class Host {
  /** Fails everything that starts. */
  failAll = false
  private bootedAt = 0
  private readonly fence: Fence
  private readonly running = new Map<string, Assignment>()
  private readonly requests = new Set<ActiveRequest>()
  private readonly reports = new Reports()
  /** The runs started so far, until their first lease is over. */
  private readonly started = new Map<string, number>()
  private readonly room: Room
  private readonly renewals = new Waiters()

  /**
   * @param options what the worker has and does
   * @param record receives everything that happens
   */
  constructor (private readonly options: HostOptions, private readonly record: Record) {
    this.fence = new Fence(record)
    this.room = new Room(options.slots, options.capacity)
    this.restart()
    setInterval(() => this.lapse(), options.leaseCheckMs)
  }

  /** Loses everything that runs, all reports and the epoch, as a VM does that restarts. */
  restart (): void {
    for (const assignment of this.running.values()) {
      clearTimeout(assignment.timer)
      this.record.add(Event.Lost, this.describe(assignment))
    }
    this.running.clear()
    this.requests.clear()
    this.reports.clear()
    this.started.clear()
    this.room.clear()
    this.fence.clear()
    this.record.boot = randomUUID()
    this.bootedAt = performance.now()
    this.record.add(Event.Boot, {})
    this.renewals.wake()
  }

  /** Takes the worker over; see Worker.adopt. */
  adopt (epoch: Epoch, leaseMs: number): Result<WorkerReport, WorkerError> {
    this.lapse()
    const adopted = this.fence.adopt(epoch)
    if (adopted.isErr()) return err(adopted.error)
    this.record.add(Event.Adopt, { epoch })
    this.extend(this.now() + leaseMs)
    this.renewals.wake()
    return ok(this.reportAll())
  }

  /**
   * Starts a task; see Worker.start.
   *
   * @returns true if it was started now, false if it had been started before
   */
  start (epoch: Epoch, task: TaskStart, untilMs: number): Result<boolean, WorkerError> {
    this.lapse()
    const owned = this.fence.checkOwner(epoch, task.id)
    if (owned.isErr()) return err(owned.error)
    const running = this.running.get(task.id)
    if (this.isKnown(runKey(task.id, task.attempt), running)) return ok(false)
    if (running !== undefined) return this.fence.refuse(epoch, task.id, WorkerFailure.Refused, `The task runs already as ${running.key}.`)
    if (untilMs <= this.now()) return this.fence.refuse(epoch, task.id, WorkerFailure.Refused, 'The lease is over.')
    if (!this.room.take(task.size)) return this.refuseFull(epoch, task.id)
    this.run(epoch, task, untilMs)
    return ok(true)
  }

  /** Stops a task; see Worker.stop. */
  stop (epoch: Epoch, id: string, checkpoint: boolean): Result<void, WorkerError> {
    this.lapse()
    const owned = this.fence.checkOwner(epoch, id)
    if (owned.isErr()) return owned
    const assignment = this.running.get(id)
    if (assignment === undefined) return ok(undefined)
    if (!checkpoint) {
      this.end(assignment, Event.Stop, TaskState.Stopped)
      return ok(undefined)
    }
    if (assignment.stopping) return ok(undefined)
    assignment.stopping = true
    clearTimeout(assignment.timer)
    assignment.timer = setTimeout(() => this.endWithCheckpoint(assignment), assignment.behaviour.checkpointMs ?? 0)
    return ok(undefined)
  }

  /** Limits a task's processors; see Worker.throttle. */
  throttle (epoch: Epoch, id: string, cpuMilli: number): Result<void, WorkerError> {
    this.lapse()
    const owned = this.fence.checkOwner(epoch, id)
    if (owned.isErr()) return owned
    this.running.get(id)?.throttle(cpuMilli, this.now() + this.options.usageLagMs)
    return ok(undefined)
  }

  /** Extends leases and returns news; see Worker.renew. */
  async renew (
    epoch: Epoch,
    untilMs: number,
    acknowledged: readonly string[],
    waitMs: number
  ): Promise<Result<WorkerReport, WorkerError>> {
    this.lapse()
    const current = this.fence.checkAge(epoch, 'renew')
    if (current.isErr()) return err(current.error)
    this.reports.acknowledge(acknowledged)
    if (this.fence.isOwner(epoch)) this.extend(untilMs)
    if (waitMs > 0 && !this.reports.hasFresh()) await this.renewals.wait(waitMs)
    return this.fence.checkAge(epoch, 'renew').map(() => this.reportNews())
  }

  /** Runs a request; see Worker.request. */
  async request (epoch: Epoch, request: WorkerRequest): Promise<Result<unknown, WorkerError>> {
    this.lapse()
    const owned = this.fence.checkOwner(epoch, request.id)
    if (owned.isErr()) return owned
    if (!this.room.take(request.size)) return this.refuseFull(epoch, request.id)
    const { id: task, team, kind, size } = request
    const behaviour = parseBehaviour(request.body)
    const fields = { epoch, task, team, kind, size, echo: behaviour.echo }
    const { boot } = this.record
    const active = new ActiveRequest(request, this.now())
    this.requests.add(active)
    this.record.add(Event.RequestStart, fields)
    await delay(this.failAll ? FAIL_MS : behaviour.workMs ?? 0)
    if (boot !== this.record.boot) {
      this.record.add(Event.Lost, fields, boot)
      return err({ failure: WorkerFailure.Unknown, detail: 'The worker restarted.' })
    }
    const isFailed = this.failAll || isFailing(behaviour, task)
    const state = isFailed ? TaskState.Failed : TaskState.Succeeded
    this.endRequest(active, size, state)
    this.record.add(Event.RequestEnd, { ...fields, outcome: state })
    if (isFailed) return err({ failure: WorkerFailure.Failed, detail: 'The request failed.' })
    return ok({ echo: behaviour.echo, worker: this.options.id })
  }

  private run (epoch: Epoch, task: TaskStart, untilMs: number): void {
    const now = this.now()
    const assignment = new Assignment(task, epoch, now, untilMs, now + this.options.usageLagMs)
    this.running.set(task.id, assignment)
    this.started.set(assignment.key, untilMs)
    this.record.add(Event.Start, this.describe(assignment))
    const isFailed = this.failAll || isFailing(assignment.behaviour, assignment.key)
    const runMs = this.failAll ? FAIL_MS : assignment.behaviour.runMs
    if (runMs === undefined) return
    const state = isFailed ? TaskState.Failed : TaskState.Succeeded
    const leftMs = Math.max(0, runMs - assignment.ranMs(now))
    assignment.timer = setTimeout(() => this.end(assignment, Event.End, state), leftMs)
  }

  private end (assignment: Assignment, event: Event, state: TaskState, result?: unknown): void {
    clearTimeout(assignment.timer)
    this.running.delete(assignment.task.id)
    this.room.free(assignment.task.size)
    this.record.add(event, { ...this.describe(assignment), outcome: state })
    const { behaviour } = assignment
    const own = behaviour.result ?? { echo: behaviour.echo, worker: this.options.id }
    this.reports.keep(assignment.report(state, this.now(), true, state === TaskState.Succeeded ? own : result))
    this.renewals.wake()
  }

  private endRequest (active: ActiveRequest, size: Resources, state: TaskState): void {
    this.room.free(size)
    this.requests.delete(active)
    if (!active.told) return
    this.reports.keep(active.report(state, this.now()))
    this.renewals.wake()
  }

  private endWithCheckpoint (assignment: Assignment): void {
    const checkpoint = { ranMs: assignment.ranMs(this.now()) }
    this.end(assignment, Event.Stop, TaskState.Stopped, { checkpoint })
  }

  /** Stops the tasks whose leases are over. */
  private lapse (): void {
    const now = this.now()
    for (const assignment of this.running.values()) {
      if (assignment.untilMs <= now) this.end(assignment, Event.Lapse, TaskState.Lapsed)
    }
    for (const [key, untilMs] of this.started) {
      if (untilMs <= now) this.started.delete(key)
    }
  }

  private extend (untilMs: number): void {
    for (const assignment of this.running.values()) assignment.untilMs = Math.max(assignment.untilMs, untilMs)
  }

  /** Reports everything that runs, and all that ended and is not acknowledged. */
  private reportAll (): WorkerReport {
    const now = this.now()
    const tasks = this.reports.tell()
    for (const assignment of this.running.values()) tasks.push(assignment.reportRunning(TaskState.Running, now))
    for (const request of this.requests) {
      request.told = true
      tasks.push(request.report(TaskState.Running, now))
    }
    return { boot: this.record.boot, clockMs: now, tasks }
  }

  /** Reports changed usage, and all that ended and is not acknowledged. */
  private reportNews (): WorkerReport {
    const now = this.now()
    const tasks = this.reports.tell()
    for (const assignment of this.running.values()) {
      if (assignment.hasNews(now)) tasks.push(assignment.reportRunning(TaskState.Running, now))
    }
    return { boot: this.record.boot, clockMs: now, tasks }
  }

  /** Whether a run was started before: repeating its start has no further effect. */
  private isKnown (key: string, running: Assignment | undefined): boolean {
    return running?.key === key || this.started.has(key) || this.reports.has(key)
  }

  private refuseFull (epoch: Epoch, task: string): Result<never, WorkerError> {
    return this.fence.refuse(epoch, task, WorkerFailure.Full, 'No free slot or not enough resources.')
  }

  private describe (assignment: Assignment): EventFields {
    const { id: task, attempt, team, kind, size } = assignment.task
    return { epoch: assignment.epoch, task, attempt, team, kind, size, echo: assignment.behaviour.echo }
  }

  private now (): number {
    return performance.now() - this.bootedAt
  }
}
