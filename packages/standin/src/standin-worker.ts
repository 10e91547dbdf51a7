/**
 * The state of one stand-in worker: epoch, tasks under leases, requests and reports.
 */
import { randomUUID } from 'node:crypto'
import {
  TaskState,
  WorkerFailure,
  type Adoption,
  type TaskStart,
  type WorkerError,
  type WorkerReport,
  type WorkerRequest
} from '@fireflymount/service-clients/worker'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Resources } from '@fireflymount/protocol/resources'
import { err, ok, type Result } from 'neverthrow'
import { RunningRequest } from './running-request.js'
import { RunningTask, runKey } from './running-task.js'
import { isFailing, parseBehaviour } from './behaviour.js'
import { delay } from './delay.js'
import { Fence } from './fence.js'
import { Event, type EventFields, type EventHistory } from './event-history.js'
import { Reports } from './reports.js'
import { CapacityTracker } from './capacity-tracker.js'
import { Waiters } from './waiters.js'

/** Run time of tasks and requests that start while `failAll` is set. */
const FAILURE_DELAY_MS = 5

/** Options of a worker. */
export interface StandinWorkerOptions {
  readonly id: string
  readonly capacity: Resources
  readonly slots: number
  /** Interval of the check for expired leases. */
  readonly leaseCheckMs: number
  /** Delay after which a change of usage is reported. */
  readonly usageLagMs: number
}

/** One stand-in worker. */
export class StandinWorker {
  /** Whether every task that starts and every request that ends fails. */
  failAll = false
  private bootedAtMs = 0
  private readonly fence: Fence
  private readonly running = new Map<string, RunningTask>()
  private readonly requests = new Set<RunningRequest>()
  private readonly reports = new Reports()
  /**
   * Keys of started runs, each with the lease expiry of its start command. The key is dropped at that time: from then on, a
   * repeated command is refused, because the lease that it carries has expired.
   */
  private readonly startedRuns = new Map<string, number>()
  private readonly capacityTracker: CapacityTracker
  private readonly heldRenewals = new Waiters()

  /**
   * @param options id, capacity and timing
   * @param history receives every event
   */
  constructor (private readonly options: StandinWorkerOptions, private readonly history: EventHistory) {
    this.fence = new Fence(history)
    this.capacityTracker = new CapacityTracker(options.slots, options.capacity)
    this.restart()
    setInterval(() => this.expireLeases(), options.leaseCheckMs)
  }

  /** Simulates a restart of the VM: everything that runs, all reports and the epoch are lost. */
  restart (): void {
    for (const runningTask of this.running.values()) {
      clearTimeout(runningTask.timer)
      this.history.add(Event.Lost, this.describe(runningTask))
    }
    this.running.clear()
    this.requests.clear()
    this.reports.clear()
    this.startedRuns.clear()
    this.capacityTracker.clear()
    this.fence.clear()
    this.history.boot = randomUUID()
    this.bootedAtMs = performance.now()
    this.history.add(Event.Boot, {})
    this.heldRenewals.wake()
  }

  /** Adopts the worker under an epoch; see Worker.adopt. */
  adopt (epoch: Epoch, leaseMs: number): Result<WorkerReport, WorkerError> {
    this.expireLeases()
    const adopted = this.fence.adopt(epoch)
    if (adopted.isErr()) return err(adopted.error)
    this.history.add(Event.Adopt, { epoch })
    this.extendLeases(this.now() + leaseMs)
    this.heldRenewals.wake()
    return ok(this.reportAll())
  }

  /**
   * Starts a task; see Worker.start.
   *
   * @returns true if the task was started, false if this run was already started before
   */
  start (adoption: Adoption, task: TaskStart, untilMs: number): Result<boolean, WorkerError> {
    this.expireLeases()
    const { epoch } = adoption
    const check = this.fence.refuseUnlessAdopted(adoption, task.id)
    if (check.isErr()) return err(check.error)
    const running = this.running.get(task.id)
    if (this.wasStarted(runKey(task.id, task.attempt), running)) return ok(false)
    if (running !== undefined) return this.fence.refuse(epoch, task.id, WorkerFailure.Refused, `Already running as ${running.key}.`)
    if (untilMs <= this.now()) return this.fence.refuse(epoch, task.id, WorkerFailure.Refused, 'The lease has expired.')
    if (!this.capacityTracker.tryAllocate(task.size)) return this.refuseFull(epoch, task.id)
    this.run(epoch, task, untilMs)
    return ok(true)
  }

  /** Stops a task; see Worker.stop. */
  stop (adoption: Adoption, id: string, attempt: number, checkpoint: boolean): Result<void, WorkerError> {
    this.expireLeases()
    const check = this.fence.refuseUnlessAdopted(adoption, id)
    if (check.isErr()) return check
    const runningTask = this.running.get(id)
    if (runningTask === undefined || runningTask.task.attempt !== attempt) return ok(undefined)
    if (!checkpoint) {
      this.finish(runningTask, Event.Stop, TaskState.Stopped)
      return ok(undefined)
    }
    if (runningTask.stopping) return ok(undefined)
    runningTask.stopping = true
    clearTimeout(runningTask.timer)
    runningTask.timer = setTimeout(() => this.finishWithCheckpoint(runningTask), runningTask.behaviour.checkpointMs ?? 0)
    return ok(undefined)
  }

  /** Limits the CPU of a task; see Worker.throttle. */
  throttle (adoption: Adoption, id: string, cpuMilli: number): Result<void, WorkerError> {
    this.expireLeases()
    const check = this.fence.refuseUnlessAdopted(adoption, id)
    if (check.isErr()) return check
    this.running.get(id)?.throttle(cpuMilli, this.now() + this.options.usageLagMs)
    return ok(undefined)
  }

  /** Extends the leases and reports changes; see Worker.renew. */
  async renew (
    adoption: Adoption,
    untilMs: number,
    acknowledged: readonly string[],
    waitMs: number
  ): Promise<Result<WorkerReport, WorkerError>> {
    this.expireLeases()
    const check = this.fence.refuseIfOlder(adoption.epoch, 'renew')
    if (check.isErr()) return err(check.error)
    if (!this.fence.isAdopted(adoption)) return ok(this.reportIncarnation())
    this.reports.acknowledge(acknowledged)
    this.extendLeases(untilMs)
    if (waitMs > 0 && !this.reports.hasUnreported()) await this.heldRenewals.wait(waitMs)
    return this.fence.refuseIfOlder(adoption.epoch, 'renew')
      .map(() => this.fence.isAdopted(adoption) ? this.reportChanges() : this.reportIncarnation())
  }

  /** Runs a request; see Worker.request. */
  async request (adoption: Adoption, request: WorkerRequest): Promise<Result<unknown, WorkerError>> {
    this.expireLeases()
    const { epoch } = adoption
    const check = this.fence.refuseUnlessAdopted(adoption, request.id)
    if (check.isErr()) return check
    if (!this.capacityTracker.tryAllocate(request.size)) return this.refuseFull(epoch, request.id)
    const { id: task, team, kind, size } = request
    const behaviour = parseBehaviour(request.body)
    const fields = { epoch, task, team, kind, size, echo: behaviour.echo }
    const { boot } = this.history
    const runningRequest = new RunningRequest(request, this.now())
    this.requests.add(runningRequest)
    this.history.add(Event.RequestStart, fields)
    await delay(this.failAll ? FAILURE_DELAY_MS : behaviour.workMs ?? 0)
    if (boot !== this.history.boot) {
      this.history.add(Event.Lost, fields, boot)
      return err({ failure: WorkerFailure.Unknown, detail: 'The worker restarted.' })
    }
    const isFailed = this.failAll || isFailing(behaviour, task)
    const state = isFailed ? TaskState.Failed : TaskState.Succeeded
    this.finishRequest(runningRequest, size, state)
    this.history.add(Event.RequestEnd, { ...fields, outcome: state })
    if (isFailed) return err({ failure: WorkerFailure.Failed, detail: 'The request failed.' })
    return ok({ echo: behaviour.echo, worker: this.options.id })
  }

  private run (epoch: Epoch, task: TaskStart, untilMs: number): void {
    const now = this.now()
    const runningTask = new RunningTask(task, epoch, now, untilMs, now + this.options.usageLagMs)
    this.running.set(task.id, runningTask)
    this.startedRuns.set(runningTask.key, untilMs)
    this.history.add(Event.Start, this.describe(runningTask))
    const isFailed = this.failAll || isFailing(runningTask.behaviour, runningTask.key)
    const runMs = this.failAll ? FAILURE_DELAY_MS : runningTask.behaviour.runMs
    if (runMs === undefined) return
    const state = isFailed ? TaskState.Failed : TaskState.Succeeded
    const remainingMs = Math.max(0, runMs - runningTask.ranMs(now))
    runningTask.timer = setTimeout(() => this.finish(runningTask, Event.End, state), remainingMs)
  }

  private finish (runningTask: RunningTask, event: Event, state: TaskState, result?: unknown, agoMs = 0): void {
    clearTimeout(runningTask.timer)
    this.running.delete(runningTask.task.id)
    this.capacityTracker.release(runningTask.task.size)
    this.history.add(event, { ...this.describe(runningTask), outcome: state }, this.history.boot, agoMs)
    const { behaviour } = runningTask
    const successResult = behaviour.result ?? { echo: behaviour.echo, worker: this.options.id }
    this.reports.add(runningTask.report(state, this.now(), true, state === TaskState.Succeeded ? successResult : result))
    this.heldRenewals.wake()
  }

  private finishRequest (runningRequest: RunningRequest, size: Resources, state: TaskState): void {
    this.capacityTracker.release(size)
    this.requests.delete(runningRequest)
    if (!runningRequest.reported) return
    this.reports.add(runningRequest.report(state, this.now()))
    this.heldRenewals.wake()
  }

  private finishWithCheckpoint (runningTask: RunningTask): void {
    const checkpoint = { ranMs: runningTask.ranMs(this.now()) }
    this.finish(runningTask, Event.Stop, TaskState.Stopped, { checkpoint })
  }

  /** Stops the tasks whose leases have expired, at the time of their expiry: the check may be late if this process was blocked. */
  private expireLeases (): void {
    const now = this.now()
    for (const runningTask of this.running.values()) {
      const lateMs = now - runningTask.untilMs
      if (lateMs >= 0) this.finish(runningTask, Event.Expire, TaskState.LeaseExpired, undefined, lateMs)
    }
    for (const [key, untilMs] of this.startedRuns) {
      if (untilMs <= now) this.startedRuns.delete(key)
    }
  }

  private extendLeases (untilMs: number): void {
    for (const runningTask of this.running.values()) runningTask.untilMs = Math.max(runningTask.untilMs, untilMs)
  }

  /** Reports everything that runs, and every ended task or request whose report is not acknowledged. */
  private reportAll (): WorkerReport {
    const now = this.now()
    const tasks = this.reports.collect()
    for (const runningTask of this.running.values()) tasks.push(runningTask.reportRunning(TaskState.Running, now))
    for (const request of this.requests) {
      request.reported = true
      tasks.push(request.report(TaskState.Running, now))
    }
    return { boot: this.history.boot, clockMs: now, tasks }
  }

  /** Reports only which incarnation this is, so that an owner that has not adopted it does. */
  private reportIncarnation (): WorkerReport {
    return { boot: this.history.boot, clockMs: this.now(), tasks: [] }
  }

  /** Reports changed usage, and every ended task or request whose report is not acknowledged. */
  private reportChanges (): WorkerReport {
    const now = this.now()
    const tasks = this.reports.collect()
    for (const runningTask of this.running.values()) {
      if (runningTask.hasUnreportedUsage(now)) tasks.push(runningTask.reportRunning(TaskState.Running, now))
    }
    return { boot: this.history.boot, clockMs: now, tasks }
  }

  /** Whether a run was started before. Repeating its start then has no further effect. */
  private wasStarted (key: string, running: RunningTask | undefined): boolean {
    return running?.key === key || this.startedRuns.has(key) || this.reports.has(key)
  }

  private refuseFull (epoch: Epoch, task: string): Result<never, WorkerError> {
    return this.fence.refuse(epoch, task, WorkerFailure.Full, 'There is no free slot, or there are not enough free resources.')
  }

  private describe (runningTask: RunningTask): EventFields {
    const { id: task, attempt, team, kind, size } = runningTask.task
    return { epoch: runningTask.epoch, task, attempt, team, kind, size, echo: runningTask.behaviour.echo }
  }

  private now (): number {
    return performance.now() - this.bootedAtMs
  }
}
