/**
 * Synchronous requests at the owner: places each one, sends it to a worker and returns the answer. Nothing about them is
 * written to the log.
 */
import type { Clock } from '@fireflymount/service-clients/clock'
import { WorkerFailure, type TaskReport, type WorkerError, type WorkerReport, TaskState } from '@fireflymount/service-clients/worker'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import { Ending, type Placement, type Task } from '@fireflymount/policy/task'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Call } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, withEarlierAttempts, type Refusal } from '@fireflymount/protocol/refusal'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { err, ok, type Result } from 'neverthrow'
import type { Metrics } from '../metrics.js'
import type { Session } from './session.js'

/** Number of workers that a request is tried on before its failure is returned to the caller. */
const MAX_WORKERS_TRIED = 4
/** Time that callers are told to wait before they retry. After a change of the shard's owner, a retry can succeed by then. */
const RETRY_AFTER_MS = 500

/** Constructor arguments of `Requests`. */
export interface RequestsOptions {
  readonly epoch: Epoch
  readonly scheduler: Scheduler
  readonly clock: Clock
  readonly metrics: Metrics
  readonly session: (worker: string) => Session | undefined
  readonly onStarted: (task: Task) => void
  readonly onFinished: (task: Task, succeeded: boolean) => void
  /** Requests a scheduling round. */
  readonly requestRound: () => void
}

/** The worker that a request was placed on, or why it was not placed. */
type PlacementResult = Result<string, Refusal>

interface WaitingRequest {
  readonly task: Task
  /** Id assigned by the node that received the request from the caller. */
  readonly requestId: string | undefined
  readonly resolve: (result: PlacementResult) => void
  readonly expiry: NodeJS.Timeout
}

/** All synchronous requests in progress. */
export class Requests {
  private readonly waiting = new Map<string, WaitingRequest>()
  /** Ids of waiting tasks, by the `requestId` of their request. */
  private readonly taskByRequestId = new Map<string, string>()
  /** Task ids of requests whose answer was lost and of requests of former owners, by worker: they may still be running. */
  private readonly unresolvedByWorker = new Map<string, Set<string>>()
  private readonly running = new Map<string, Placement>()
  private nextId = 1
  private inProgress = 0

  constructor (private readonly options: RequestsOptions) {}

  /** Returns the number of requests in progress. */
  size (): number {
    return this.inProgress
  }

  /** Returns the requests that wait for a worker. */
  waitingTasks (): Task[] {
    return [...this.waiting.values()].map((waiter) => waiter.task)
  }

  /** True if a worker runs, or may still run, a request. */
  mayRunOn (worker: string): boolean {
    if ((this.unresolvedByWorker.get(worker)?.size ?? 0) > 0) return true
    for (const placement of this.running.values()) {
      if (placement.worker === worker) return true
    }
    return false
  }

  /** Returns the requests that were sent to a worker and not answered yet. */
  runningTasks (): Task[] {
    return [...this.running.values()].map((placement) => placement.task)
  }

  /**
   * Runs a request and waits for its answer.
   *
   * @param request the request
   * @param queue its queue
   * @returns the worker's complete answer, or a refusal that says whether the request ran
   */
  async run (request: Call, queue: Queue): Promise<Result<unknown, Refusal>> {
    this.inProgress++
    const answer = await this.tryWorkers(request, queue)
    this.inProgress--
    return answer
  }

  /**
   * Abandons a request whose caller disconnected. A request that was already sent to a worker continues to run.
   *
   * @param requestId the id assigned by the node that received the request from the caller
   * @returns true if the request was still waiting
   */
  abandon (requestId: string): boolean {
    const taskId = this.taskByRequestId.get(requestId)
    if (taskId === undefined) return false
    this.options.scheduler.cancel(taskId)
    this.refuse(taskId, refuse(Reason.Cancelled, 'The caller disconnected.'))
    return true
  }

  /** Assigns a waiting request to a worker. */
  place (taskId: string, worker: string): void {
    this.resolvePlacement(taskId, ok(worker))
  }

  /** Refuses a waiting request. */
  refuse (taskId: string, refusal: Refusal): void {
    this.resolvePlacement(taskId, err(refusal))
  }

  /** Refuses all waiting requests, e.g. because the shard has another owner. */
  refuseAll (refusal: Refusal): void {
    for (const taskId of [...this.waiting.keys()]) {
      this.options.scheduler.cancel(taskId)
      this.refuse(taskId, refusal)
    }
  }

  /** Releases requests that an adopted worker no longer runs, and counts those of former owners that it still runs. */
  onAdopted (session: Session, report: WorkerReport): void {
    const running = new Map<string, TaskReport>()
    for (const task of report.tasks) {
      if (task.attempt === 0 && task.state === TaskState.Running) running.set(task.id, task)
    }
    for (const id of [...this.unresolvedByWorker.get(session.id) ?? []]) {
      if (!running.has(id)) this.release(session.id, id)
    }
    for (const task of running.values()) this.chargeInherited(session.id, task)
  }

  /** Handles a worker's report of a request. */
  onReport (session: Session, report: TaskReport): void {
    if (report.state === TaskState.Running) return
    this.release(session.id, report.id)
    session.acknowledge(report.id, report.attempt)
  }

  /** Releases the requests of a worker whose leases expired or whose VM is terminated. */
  onExpired (worker: string): void {
    for (const id of [...this.unresolvedByWorker.get(worker) ?? []]) this.release(worker, id)
  }

  private async tryWorkers (request: Call, queue: Queue): Promise<Result<unknown, Refusal>> {
    const deadlineMs = this.options.clock.now() + request.budgetMs
    const avoid: string[] = []
    let failures = 0
    let execution = Execution.NotRun
    for (;;) {
      const task = this.createTask(request, queue, deadlineMs, avoid)
      const placed = await this.awaitPlacement(task, request.id)
      if (placed.isErr()) return err(withEarlierAttempts(placed.error, execution))
      this.running.set(task.id, { task, worker: placed.value })
      const answer = await this.send(task, placed.value, request, deadlineMs)
      this.running.delete(task.id)
      if (answer.isOk()) {
        this.options.onFinished(task, true)
        return ok(answer.value)
      }
      const { failure } = answer.error
      if (failure === WorkerFailure.StaleEpoch) {
        return err(withEarlierAttempts(refuse(Reason.NotOwner, 'The shard has a new owner.', RETRY_AFTER_MS), execution))
      }
      if (failure === WorkerFailure.Failed) execution = Execution.Run
      if (failure === WorkerFailure.Unknown && execution === Execution.NotRun) execution = Execution.Unknown
      avoid.push(placed.value)
      failures += mayHaveRun(failure) ? 1 : 0
      if (failures < queue.attempts && avoid.length < MAX_WORKERS_TRIED && this.options.clock.now() < deadlineMs) {
        if (!mayHaveRun(failure) || queue.idempotent) {
          this.options.metrics.count('call.retry')
          continue
        }
      }
      this.options.onFinished(task, false)
      return err(withEarlierAttempts(refusalOf(answer.error, queue), execution))
    }
  }

  private createTask (request: Call, queue: Queue, deadlineMs: number, avoid: readonly string[]): Task {
    return {
      id: `call:${this.options.epoch.counter}:${this.options.epoch.node}:${this.nextId++}`,
      team: request.team,
      kind: queue.name,
      workload: Workload.Request,
      urgency: queue.urgency,
      size: queue.size,
      runtimeMs: queue.runtimeMs,
      submittedMs: this.options.clock.now(),
      startByMs: deadlineMs,
      checkpoint: false,
      avoid: [...avoid]
    }
  }

  private awaitPlacement (task: Task, requestId: string | undefined): Promise<PlacementResult> {
    return new Promise((resolve) => {
      const nowMs = this.options.clock.now()
      const expiry = setTimeout(() => { this.expire(task.id) }, task.startByMs! - nowMs)
      this.waiting.set(task.id, { task, requestId, resolve, expiry })
      if (requestId !== undefined) this.taskByRequestId.set(requestId, task.id)
      const queued = this.options.scheduler.enqueue(task, nowMs)
      if (queued.isErr()) this.refuse(task.id, queued.error)
      else this.options.requestRound()
    })
  }

  private async send (task: Task, worker: string, request: Call, deadlineMs: number): Promise<Result<unknown, WorkerError>> {
    const session = this.options.session(worker)
    const startMs = this.options.clock.now()
    if (session === undefined || !session.adopted) {
      this.finish(task, Ending.Released, startMs)
      return err({ failure: WorkerFailure.Unreachable, detail: `Worker ${worker} is not adopted.` })
    }
    this.options.onStarted(task)
    const workerRequest = { id: task.id, team: task.team, kind: task.kind, size: task.size, body: request.body }
    const answer = await session.request(workerRequest, Math.max(1, deadlineMs - startMs))
    if (answer.isErr() && answer.error.failure === WorkerFailure.Unknown) {
      this.markUnresolved(session, task.id)
      return answer
    }
    this.finish(task, answer.isOk() ? Ending.Succeeded : endingOf(answer.error.failure), startMs)
    return answer
  }

  private finish (task: Task, ending: Ending, startMs: number): void {
    const nowMs = this.options.clock.now()
    this.options.scheduler.finish(task.id, ending, nowMs, nowMs - startMs)
    this.options.requestRound()
  }

  /** Refuses a request whose deadline passed while it waited. */
  private expire (taskId: string): void {
    this.options.scheduler.cancel(taskId)
    this.refuse(taskId, refuse(Reason.DeadlinePassed, 'No worker had free capacity before the deadline.', RETRY_AFTER_MS))
  }

  private resolvePlacement (taskId: string, result: PlacementResult): void {
    const waiter = this.waiting.get(taskId)
    if (waiter === undefined) return
    this.waiting.delete(taskId)
    if (waiter.requestId !== undefined) this.taskByRequestId.delete(waiter.requestId)
    clearTimeout(waiter.expiry)
    waiter.resolve(result)
  }

  /** Keeps the charge for a request that may still be running until an adoption shows that the worker no longer runs it. */
  private markUnresolved (session: Session, id: string): void {
    this.addUnresolved(session.id, id)
    // -Infinity, because no lease has to end first. The worker is adopted again after the renewal in progress, unless a later
    // readoption was already requested.
    session.readoptAfter(-Infinity)
  }

  /** Charges a request that a former owner sent to the worker. */
  private chargeInherited (worker: string, report: TaskReport): void {
    if (this.unresolvedByWorker.get(worker)?.has(report.id) || report.id.startsWith(this.prefix())) return
    this.addUnresolved(worker, report.id)
    this.options.scheduler.adopt({
      id: report.id,
      team: report.team,
      kind: report.kind,
      workload: Workload.Request,
      urgency: Urgency.Normal,
      size: report.size,
      runtimeMs: report.runtimeMs,
      submittedMs: this.options.clock.now(),
      checkpoint: false
    }, worker, this.options.clock.now())
  }

  private prefix (): string {
    return `call:${this.options.epoch.counter}:${this.options.epoch.node}:`
  }

  private addUnresolved (worker: string, id: string): void {
    const ids = this.unresolvedByWorker.get(worker)
    if (ids === undefined) this.unresolvedByWorker.set(worker, new Set([id]))
    else ids.add(id)
  }

  private release (worker: string, id: string): void {
    if (!this.unresolvedByWorker.get(worker)?.delete(id)) return
    this.options.scheduler.finish(id, Ending.Released, this.options.clock.now())
    this.options.requestRound()
  }
}

/** True if the request ran or may have run. */
function mayHaveRun (failure: WorkerFailure): boolean {
  return failure === WorkerFailure.Failed || failure === WorkerFailure.Unknown
}

function endingOf (failure: WorkerFailure): Ending {
  return failure === WorkerFailure.Failed ? Ending.Failed : Ending.Released
}

function refusalOf (error: WorkerError, queue: Queue): Refusal {
  switch (error.failure) {
    case WorkerFailure.Failed:
      return { reason: Reason.TaskFailed, detail: `The request failed on its worker: ${error.detail}`, execution: Execution.Run }
    case WorkerFailure.Unknown: {
      const detail = 'The worker did not answer; the request may have run.'
      if (!queue.idempotent) return { reason: Reason.WorkerFailed, detail, execution: Execution.Unknown }
      return { reason: Reason.WorkerFailed, detail, execution: Execution.Unknown, retryAfterMs: RETRY_AFTER_MS }
    }
    default:
      return refuse(Reason.WorkerFailed, `No worker accepted the request: ${error.detail}`, RETRY_AFTER_MS)
  }
}
