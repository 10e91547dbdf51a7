/**
 * Durable jobs at the owner: accepted once, queued, cancelled, described.
 */
import type { Clock } from '@fireflymount/platform/clock'
import { JournalFailure, type JournalError } from '@fireflymount/platform/journal'
import { findQueue } from '@fireflymount/manifest/lookup'
import type { Manifest, Queue } from '@fireflymount/manifest/manifest'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Task } from '@fireflymount/policy/task'
import type { Job, Submit } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { fitsResources, type Resources } from '@fireflymount/protocol/resources'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { err, ok, type Result } from 'neverthrow'
import { ChangeKind, Outcome, type Change } from './change.js'
import type { Ledger } from './ledger.js'
import type { Runs } from './runs.js'
import { Stage, describeJob, type JobRecord, type ShardState, type TaskRecord } from './state.js'
import { stopProcess } from '../invariant.js'

/** How long an acceptance or cancellation is tried before the caller is told that the log is away. */
const COMMIT_PATIENCE_MS = 1500
/** When coming back helps while the log is away. */
const LOG_RETRY_MS = 5000
/** When coming back helps after the queue was full. */
const FULL_RETRY_MS = 1000
/** Time between two tries to queue tasks that the scheduler did not take. */
const UNPARK_INTERVAL_MS = 500
/** Most tasks of one job. */
export const JOB_TASKS = 1000
/** Largest body of a job, as JSON: it must fit into one record of the log. */
export const JOB_BODY_CHARACTERS = 800_000

/** What jobs need of their owner. */
export interface JobParts {
  readonly scheduler: Scheduler
  readonly journal: Ledger
  readonly state: ShardState
  readonly runs: Runs
  readonly clock: Clock
  readonly manifest: () => Manifest
  /** Capacities of the shard's workers. */
  readonly capacities: () => readonly Resources[]
  readonly onSuperseded: () => void
  readonly onRoom: () => void
}

/** All durable jobs of a shard. */
export class Jobs {
  /** Submissions whose acceptance is being written, by job. */
  private readonly accepting = new Map<string, Promise<Result<Job, Refusal>>>()
  private readonly waiters = new Map<string, Set<() => void>>()
  /** Tasks that wait for the log, or for a worker that is large enough. */
  private readonly parked = new Set<string>()
  private unparkedAtMs = -Infinity
  /** Waiting tasks, by queue. */
  private readonly waiting = new Map<string, number>()

  constructor (private readonly parts: JobParts) {}

  /** Queues every task that the state shows as waiting. */
  resume (): void {
    for (const job of this.parts.state.jobs.values()) {
      if (job.endedMs === undefined) this.queue(job)
    }
  }

  /** Accepts a job, or repeats the answer to the first submission with its id. */
  async submit (submit: Submit): Promise<Result<Job, Refusal>> {
    const known = this.parts.state.jobs.get(submit.job)
    if (known !== undefined) return repeat(known, submit)
    const accepting = this.accepting.get(submit.job)
    if (accepting !== undefined) {
      await accepting
      return await this.submit(submit)
    }
    const accepted = this.accept(submit)
    this.accepting.set(submit.job, accepted)
    const result = await accepted
    this.accepting.delete(submit.job)
    return result
  }

  /** Describes a job, at once or when it has ended. */
  async status (id: string, waitMs: number): Promise<Result<Job, Refusal>> {
    const job = this.parts.state.jobs.get(id)
    if (job === undefined) return err(this.noSuchJob(id))
    if (job.endedMs === undefined && waitMs > 0) await this.wait(id, waitMs)
    return ok(describeJob(job))
  }

  /** Cancels a job: what waits ends at once, what runs is stopped. */
  async cancel (id: string): Promise<Result<Job, Refusal>> {
    const job = this.parts.state.jobs.get(id)
    if (job === undefined) return err(this.noSuchJob(id))
    if (job.endedMs !== undefined || job.cancelled) return ok(describeJob(job))
    const written = await this.commit({ kind: ChangeKind.Cancelled, job: id, atMs: this.parts.clock.wall() })
    if (written.isErr()) return err(refusalOf(written.error, 'The cancellation'))
    for (const task of job.tasks) {
      if (this.parts.scheduler.cancel(task.id)) this.countWaiting(job.queue, -1)
      this.parked.delete(task.id)
      this.parts.runs.stop(task.id, false)
    }
    this.notify(id)
    return ok(describeJob(job))
  }

  /** A task's run ended, or never began, and it waits again. */
  requeue (taskId: string): void {
    const job = this.parts.state.jobOf(taskId)
    if (job === undefined || job.endedMs !== undefined) return
    if (job.gang) this.regroup(job)
    else this.queue(job, taskId)
  }

  /** A task is over. */
  onOver (taskId: string): void {
    const job = this.parts.state.jobOf(taskId)
    if (job === undefined) return
    if (job.gang && job.endedMs === undefined && job.tasks.some(isBroken)) {
      this.cancel(job.job).catch(stopProcess)
    }
    if (job.endedMs !== undefined) this.notify(job.job)
  }

  /** A waiting task was placed. */
  onPlaced (task: Task): void {
    this.countWaiting(task.kind, -1)
  }

  /** Queues parked tasks again, if the last time was long enough ago. */
  unpark (): void {
    const now = this.parts.clock.now()
    if (this.parked.size === 0 || now - this.unparkedAtMs < UNPARK_INTERVAL_MS) return
    this.unparkedAtMs = now
    const jobs = new Set<JobRecord>()
    for (const id of this.parked) {
      const job = this.parts.state.jobOf(id)
      if (job !== undefined) jobs.add(job)
    }
    this.parked.clear()
    for (const job of jobs) this.queue(job)
  }

  /** The body that a task is started with. */
  bodyOf (taskId: string): unknown {
    return this.parts.state.jobOf(taskId)?.body
  }

  /** True if a task may run again after a run that had begun. */
  mayRepeat (taskId: string): boolean {
    return this.parts.state.jobOf(taskId)?.idempotent ?? true
  }

  /** Most attempts of a task that may fail. */
  attemptsOf (taskId: string): number {
    const job = this.parts.state.jobOf(taskId)
    if (job === undefined) return Infinity
    return this.queueOf(job)?.attempts ?? 1
  }

  /** Describes a task of a job for the scheduler. */
  createTask (job: JobRecord, id: string): Task {
    const queue = this.queueOf(job)
    return {
      id,
      team: job.team,
      kind: job.queue,
      workload: job.gang ? Workload.Gang : Workload.Batch,
      urgency: queue?.urgency ?? Urgency.Normal,
      size: job.size,
      runtimeMs: job.runtimeMs,
      submittedMs: this.parts.clock.now() - Math.max(0, this.parts.clock.wall() - job.acceptedMs),
      checkpoint: queue?.checkpoint ?? false,
      ...(job.gang ? { group: job.job, groupSize: job.left } : {})
    }
  }

  private async accept (submit: Submit): Promise<Result<Job, Refusal>> {
    const queue = findQueue(this.parts.manifest(), submit.queue)
    if (queue === undefined) return err(refuse(Reason.NoSuchQueue, `There is no queue ${submit.queue}.`, LOG_RETRY_MS))
    const refusal = this.check(submit, queue)
    if (refusal !== undefined) return err(refusal)
    this.countWaiting(queue.name, submit.tasks)
    const written = await this.commit({
      kind: ChangeKind.Accepted,
      job: submit.job,
      queue: submit.queue,
      team: submit.team,
      digest: submit.digest,
      idempotent: queue.idempotent,
      gang: queue.workload === Workload.Gang,
      tasks: submit.tasks,
      runtimeMs: submit.runtimeMs ?? queue.runtimeMs,
      size: submit.size ?? queue.size,
      body: submit.body,
      atMs: this.parts.clock.wall()
    })
    this.countWaiting(queue.name, -submit.tasks)
    if (written.isErr()) return err(refusalOf(written.error, 'The job'))
    const job = this.parts.state.jobs.get(submit.job)!
    this.queue(job)
    return ok(describeJob(job))
  }

  private check (submit: Submit, queue: Queue): Refusal | undefined {
    if (submit.tasks < 1 || submit.tasks > JOB_TASKS) {
      return refuse(Reason.TooLarge, `A job has 1 to ${JOB_TASKS} tasks, not ${submit.tasks}.`)
    }
    if (JSON.stringify(submit.body ?? null).length > JOB_BODY_CHARACTERS) {
      return refuse(Reason.TooLarge, `The body of a job has at most ${JOB_BODY_CHARACTERS} characters. Send a reference instead.`)
    }
    if ((this.waiting.get(queue.name) ?? 0) + submit.tasks > queue.capacity) {
      return refuse(Reason.QueueFull, `The queue ${queue.name} holds ${queue.capacity} waiting tasks and is full.`, FULL_RETRY_MS)
    }
    const size = submit.size ?? queue.size
    const capacities = this.parts.capacities()
    if (capacities.length === 0 || capacities.some((capacity) => fitsResources(size, capacity))) return undefined
    return refuse(Reason.Infeasible, `No worker of ${queue.upstream} is large enough for a task of ${describeSize(size)}.`)
  }

  private queue (job: JobRecord, only?: string): void {
    for (const record of job.tasks) {
      if (record.stage === Stage.Over || (only !== undefined && record.id !== only)) continue
      if (this.parts.runs.get(record.id) !== undefined) continue
      this.enqueue(job, record.id)
    }
    this.parts.onRoom()
  }

  private enqueue (job: JobRecord, id: string): void {
    if (!this.parts.journal.available()) {
      this.parked.add(id)
      return
    }
    const queued = this.parts.scheduler.enqueue(this.createTask(job, id), this.parts.clock.now())
    if (queued.isErr()) this.parked.add(id)
    else this.countWaiting(job.queue, 1)
  }

  /** Runs a gang again only when none of it runs: stops the rest first. */
  private regroup (job: JobRecord): void {
    let inProgress = false
    for (const record of job.tasks) {
      if (this.parts.runs.get(record.id) === undefined) continue
      inProgress = true
      this.parts.runs.stop(record.id, false)
    }
    if (inProgress) return
    for (const record of job.tasks) {
      if (record.stage === Stage.Over) continue
      if (this.parts.scheduler.cancel(record.id)) this.countWaiting(job.queue, -1)
    }
    this.queue(job)
  }

  /** An owner that cannot read the log may lack the newest jobs. */
  private noSuchJob (id: string): Refusal {
    if (this.parts.journal.available()) return refuse(Reason.NoSuchJob, `There is no job ${id}.`)
    return refuse(Reason.LogUnavailable, `It cannot be told whether there is a job ${id}: the log is away.`, LOG_RETRY_MS)
  }

  private queueOf (job: JobRecord): Queue | undefined {
    return findQueue(this.parts.manifest(), job.queue)
  }

  private countWaiting (queue: string, by: number): void {
    this.waiting.set(queue, (this.waiting.get(queue) ?? 0) + by)
  }

  private async commit (change: Change): Promise<Result<void, JournalError>> {
    const written = await this.parts.journal.commit(change, COMMIT_PATIENCE_MS)
    if (written.isErr() && written.error.failure === JournalFailure.Superseded) this.parts.onSuperseded()
    return written
  }

  private wait (id: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiters = this.waiters.get(id) ?? new Set()
      this.waiters.set(id, waiters)
      const timer = setTimeout(finish, waitMs)
      waiters.add(finish)
      function finish (): void {
        clearTimeout(timer)
        waiters.delete(finish)
        resolve()
      }
    })
  }

  private notify (id: string): void {
    const waiters = this.waiters.get(id)
    if (waiters === undefined) return
    this.waiters.delete(id)
    for (const waiter of waiters) waiter()
  }
}

/** A task that is over without success ends its whole gang. */
function isBroken (record: TaskRecord): boolean {
  return record.stage === Stage.Over && record.outcome !== Outcome.Succeeded
}

function repeat (job: JobRecord, submit: Submit): Result<Job, Refusal> {
  if (job.digest === submit.digest) return ok(describeJob(job))
  return err(refuse(Reason.KeyReused, 'This Idempotency-Key was used for another request. Use a new key.'))
}

function refusalOf (error: JournalError, what: string): Refusal {
  switch (error.failure) {
    case JournalFailure.Superseded:
      return refuse(Reason.NotOwner, 'The shard has a new owner.', 0)
    case JournalFailure.Unknown:
      return {
        reason: Reason.LogUnavailable,
        detail: `${what} may have been accepted. Repeat it with the same Idempotency-Key.`,
        execution: Execution.Unknown,
        retryAfterMs: LOG_RETRY_MS
      }
    case JournalFailure.Overloaded:
      return refuse(Reason.Overloaded, `${what} was not accepted: too much waits to be written.`, FULL_RETRY_MS)
    default:
      return refuse(Reason.LogUnavailable, `${what} was not accepted: the log is away.`, LOG_RETRY_MS)
  }
}

function describeSize (size: Resources): string {
  return `${size.cpuMilli} mCPU, ${size.memoryMb} MB and ${size.accelerators} accelerators`
}
