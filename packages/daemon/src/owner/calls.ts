/**
 * Synchronous requests at the owner: placed, sent to a worker, answered. They do not touch the log.
 */
import type { Clock } from '@fireflymount/platform/clock'
import { WorkerFailure, type TaskReport, type WorkerError, type WorkerReport, TaskState } from '@fireflymount/platform/worker'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import { Ending, type Placement, type Task } from '@fireflymount/policy/task'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Call } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, withEarlierTries, type Refusal } from '@fireflymount/protocol/refusal'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { err, ok, type Result } from 'neverthrow'
import type { Metrics } from '../counters.js'
import type { Session } from './session.js'

/** Workers that may refuse a request before the caller is told. */
const PLACEMENTS = 4
/** When coming back helps after a shard changed hands. */
const OWNER_RETRY_MS = 500

/** What calls need of their owner. */
export interface CallParts {
  readonly epoch: Epoch
  readonly scheduler: Scheduler
  readonly clock: Clock
  readonly metrics: Metrics
  readonly session: (worker: string) => Session | undefined
  readonly onStarted: (task: Task) => void
  readonly onOver: (task: Task, succeeded: boolean) => void
  /** Asks for new decisions. */
  readonly onRoom: () => void
}

type Seat = Result<string, Refusal>

interface Waiter {
  readonly task: Task
  readonly call: string | undefined
  readonly resolve: (seat: Seat) => void
  readonly expiry: NodeJS.Timeout
}

/** All synchronous requests in progress. */
export class Calls {
  private readonly waiting = new Map<string, Waiter>()
  /** Waiting tasks by the id that the entry gave their request. */
  private readonly byCall = new Map<string, string>()
  /** Requests whose answer was lost, and those of former owners, by worker: they may still run. */
  private readonly doubtful = new Map<string, Set<string>>()
  private readonly running = new Map<string, Placement>()
  private next = 1
  private open = 0

  constructor (private readonly parts: CallParts) {}

  /** Number of requests in progress. */
  size (): number {
    return this.open
  }

  /** Requests that wait for a worker. */
  waitingTasks (): Task[] {
    return [...this.waiting.values()].map((waiter) => waiter.task)
  }

  /** True if requests are, or may be, at a worker. */
  isOn (worker: string): boolean {
    if ((this.doubtful.get(worker)?.size ?? 0) > 0) return true
    for (const placement of this.running.values()) {
      if (placement.worker === worker) return true
    }
    return false
  }

  /** Requests that are at a worker. */
  runningTasks (): Task[] {
    return [...this.running.values()].map((placement) => placement.task)
  }

  /**
   * Runs one request to its answer.
   *
   * @param call the request
   * @param queue its queue
   * @returns the worker's whole answer, or a refusal that tells whether the request ran
   */
  async run (call: Call, queue: Queue): Promise<Result<unknown, Refusal>> {
    this.open++
    const answer = await this.tryWorkers(call, queue)
    this.open--
    return answer
  }

  /**
   * Gives a request up whose caller has gone. What is at a worker is left to end.
   *
   * @param call the id that the entry gave the request
   * @returns true if the request waited
   */
  abandon (call: string): boolean {
    const task = this.byCall.get(call)
    if (task === undefined) return false
    this.parts.scheduler.cancel(task)
    this.refuse(task, refuse(Reason.Cancelled, 'The caller has gone.'))
    return true
  }

  /** Gives a request its worker. */
  place (task: string, worker: string): void {
    this.settle(task, ok(worker))
  }

  /** Gives a waiting request up. */
  refuse (task: string, refusal: Refusal): void {
    this.settle(task, err(refusal))
  }

  /** Gives all waiting requests up, e.g. because the shard has another owner. */
  refuseAll (refusal: Refusal): void {
    for (const task of [...this.waiting.keys()]) {
      this.parts.scheduler.cancel(task)
      this.refuse(task, refusal)
    }
  }

  /** Releases requests that a worker no longer runs, and charges those of former owners. */
  onAdopted (session: Session, report: WorkerReport): void {
    const listed = new Map<string, TaskReport>()
    for (const task of report.tasks) {
      if (task.attempt === 0 && task.state === TaskState.Running) listed.set(task.id, task)
    }
    for (const id of [...this.doubtful.get(session.id) ?? []]) {
      if (!listed.has(id)) this.release(session.id, id)
    }
    for (const task of listed.values()) this.adopt(session.id, task)
  }

  /** Takes a report of a request in. */
  onReport (session: Session, report: TaskReport): void {
    if (report.state === TaskState.Running) return
    this.release(session.id, report.id)
    session.acknowledge(report.id, report.attempt)
  }

  /** The worker's leases lapsed, or its VM is gone. */
  onLapsed (worker: string): void {
    for (const id of [...this.doubtful.get(worker) ?? []]) this.release(worker, id)
  }

  private async tryWorkers (call: Call, queue: Queue): Promise<Result<unknown, Refusal>> {
    const endMs = this.parts.clock.now() + call.budgetMs
    const avoid: string[] = []
    let failures = 0
    let execution = Execution.NotRun
    for (;;) {
      const task = this.createTask(call, queue, endMs, avoid)
      const seat = await this.seat(task, call.id)
      if (seat.isErr()) return err(withEarlierTries(seat.error, execution))
      this.running.set(task.id, { task, worker: seat.value })
      const answer = await this.send(task, seat.value, call, endMs)
      this.running.delete(task.id)
      if (answer.isOk()) {
        this.parts.onOver(task, true)
        return ok(answer.value)
      }
      const { failure } = answer.error
      if (failure === WorkerFailure.StaleEpoch) {
        return err(withEarlierTries(refuse(Reason.NotOwner, 'The shard has a new owner.', OWNER_RETRY_MS), execution))
      }
      if (failure === WorkerFailure.Failed) execution = Execution.Run
      if (failure === WorkerFailure.Unknown && execution === Execution.NotRun) execution = Execution.Unknown
      avoid.push(seat.value)
      failures += ran(failure) ? 1 : 0
      if (failures < queue.attempts && avoid.length < PLACEMENTS && this.parts.clock.now() < endMs) {
        if (!ran(failure) || queue.idempotent) {
          this.parts.metrics.count('call.retry')
          continue
        }
      }
      this.parts.onOver(task, false)
      return err(withEarlierTries(refusalOf(answer.error, queue), execution))
    }
  }

  private createTask (call: Call, queue: Queue, endMs: number, avoid: readonly string[]): Task {
    return {
      id: `call:${this.parts.epoch.counter}:${this.parts.epoch.node}:${this.next++}`,
      team: call.team,
      kind: queue.name,
      workload: Workload.Request,
      urgency: queue.urgency,
      size: queue.size,
      runtimeMs: queue.runtimeMs,
      submittedMs: this.parts.clock.now(),
      startByMs: endMs,
      checkpoint: false,
      avoid: [...avoid]
    }
  }

  private seat (task: Task, call: string | undefined): Promise<Seat> {
    return new Promise((resolve) => {
      const nowMs = this.parts.clock.now()
      const expiry = setTimeout(() => { this.expire(task.id) }, task.startByMs! - nowMs)
      this.waiting.set(task.id, { task, call, resolve, expiry })
      if (call !== undefined) this.byCall.set(call, task.id)
      const queued = this.parts.scheduler.enqueue(task, nowMs)
      if (queued.isErr()) this.refuse(task.id, queued.error)
      else this.parts.onRoom()
    })
  }

  private async send (task: Task, worker: string, call: Call, endMs: number): Promise<Result<unknown, WorkerError>> {
    const session = this.parts.session(worker)
    const startMs = this.parts.clock.now()
    if (session === undefined || !session.adopted) {
      this.finish(task, Ending.Released, startMs)
      return err({ failure: WorkerFailure.Unreachable, detail: `Worker ${worker} is not adopted.` })
    }
    this.parts.onStarted(task)
    const request = { id: task.id, team: task.team, kind: task.kind, size: task.size, body: call.body }
    const answer = await session.request(request, Math.max(1, endMs - startMs))
    if (answer.isErr() && answer.error.failure === WorkerFailure.Unknown) {
      this.doubt(session, task.id)
      return answer
    }
    this.finish(task, answer.isOk() ? Ending.Succeeded : endingOf(answer.error.failure), startMs)
    return answer
  }

  private finish (task: Task, ending: Ending, startMs: number): void {
    const nowMs = this.parts.clock.now()
    this.parts.scheduler.finish(task.id, ending, nowMs, nowMs - startMs)
    this.parts.onRoom()
  }

  /** The deadline passes while the request still waits. */
  private expire (task: string): void {
    this.parts.scheduler.cancel(task)
    this.refuse(task, refuse(Reason.DeadlinePassed, 'No worker had room before the deadline.', OWNER_RETRY_MS))
  }

  private settle (task: string, seat: Seat): void {
    const waiter = this.waiting.get(task)
    if (waiter === undefined) return
    this.waiting.delete(task)
    if (waiter.call !== undefined) this.byCall.delete(waiter.call)
    clearTimeout(waiter.expiry)
    waiter.resolve(seat)
  }

  /** The request may still run: its room and limit stay charged until the worker says that it does not. */
  private doubt (session: Session, id: string): void {
    this.keep(session.id, id)
    session.doubt(-Infinity)
  }

  private adopt (worker: string, report: TaskReport): void {
    if (this.doubtful.get(worker)?.has(report.id) || report.id.startsWith(this.prefix())) return
    this.keep(worker, report.id)
    this.parts.scheduler.adopt({
      id: report.id,
      team: report.team,
      kind: report.kind,
      workload: Workload.Request,
      urgency: Urgency.Normal,
      size: report.size,
      runtimeMs: report.runtimeMs,
      submittedMs: this.parts.clock.now(),
      checkpoint: false
    }, worker, this.parts.clock.now())
  }

  private prefix (): string {
    return `call:${this.parts.epoch.counter}:${this.parts.epoch.node}:`
  }

  private keep (worker: string, id: string): void {
    const ids = this.doubtful.get(worker)
    if (ids === undefined) this.doubtful.set(worker, new Set([id]))
    else ids.add(id)
  }

  private release (worker: string, id: string): void {
    if (!this.doubtful.get(worker)?.delete(id)) return
    this.parts.scheduler.finish(id, Ending.Released, this.parts.clock.now())
    this.parts.onRoom()
  }
}

/** True if the request ran or may have run. */
function ran (failure: WorkerFailure): boolean {
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
      return { reason: Reason.WorkerFailed, detail, execution: Execution.Unknown, retryAfterMs: OWNER_RETRY_MS }
    }
    default:
      return refuse(Reason.WorkerFailed, `No worker took the request: ${error.detail}`, OWNER_RETRY_MS)
  }
}
