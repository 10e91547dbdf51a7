/**
 * Durable jobs at the owner: accepts each job once, queues its tasks, cancels it and reports its status.
 */
import type { Clock } from '@fireflymount/service-clients/clock'
import { JournalFailure, type JournalError } from '@fireflymount/service-clients/journal'
import { findQueue } from '@fireflymount/manifest/lookup'
import type { Manifest, Queue } from '@fireflymount/manifest/manifest'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Task } from '@fireflymount/policy/task'
import type { Job, Submit } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { fitsResources, type Resources } from '@fireflymount/protocol/resources'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { err, ok, type Result } from 'neverthrow'
import { ChangeKind, RunOutcome, type Change } from './change.js'
import type { JournalWriter } from './journal-writer.js'
import type { Runs } from './runs.js'
import { Stage, describeJob, type JobRecord, type ShardState, type TaskRecord } from './state.js'
import { stopProcess } from '../stop-process.js'

/** Time after which an uncommitted acceptance or cancellation is refused, because the log counts as unavailable. */
const COMMIT_TIMEOUT_MS = 1500
/** Time that callers are told to wait while the log is unavailable or a queue is unknown. */
const UNAVAILABLE_RETRY_AFTER_MS = 5000
/** Time that callers are told to wait while a queue or the log's write buffer is full. */
const FULL_RETRY_AFTER_MS = 1000
/** Minimum interval between two attempts to queue deferred tasks. */
const DEFERRED_RETRY_INTERVAL_MS = 500
/** Maximum number of tasks of one job. It is lower than the limit that the API checks, so this one decides. */
export const MAX_JOB_TASKS = 1000
/**
 * Maximum length of a job's body in characters of JSON: it must fit into one record of the log, whose limit counts bytes. Text
 * with many characters of several bytes can fit this limit and still exceed that of the log.
 */
export const MAX_JOB_BODY_CHARACTERS = 800_000

/** Constructor arguments of `Jobs`. */
export interface JobsOptions {
  readonly scheduler: Scheduler
  readonly journal: JournalWriter
  readonly state: ShardState
  readonly runs: Runs
  readonly clock: Clock
  readonly manifest: () => Manifest
  /** Returns the capacities of the shard's workers. */
  readonly capacities: () => readonly Resources[]
  /** Called when the journal has a newer holder. */
  readonly onSuperseded: () => void
  /** Requests a scheduling round. */
  readonly requestRound: () => void
}

/** All durable jobs of a shard. */
export class Jobs {
  /** Submissions whose acceptance is being committed, by job. */
  private readonly accepting = new Map<string, Promise<Result<Job, Refusal>>>()
  private readonly waiters = new Map<string, Set<() => void>>()
  /**
   * Waiting tasks that are not queued, because the log was unavailable or the scheduler refused them, for instance because no
   * worker is large enough. They are retried periodically.
   */
  private readonly deferred = new Set<string>()
  private deferredRetriedAtMs = -Infinity
  /**
   * Number of tasks that wait in the scheduler's queue or whose acceptance is being committed, by queue; deferred tasks are not
   * counted.
   */
  private readonly waitingByQueue = new Map<string, number>()

  constructor (private readonly options: JobsOptions) {}

  /** Queues every waiting task in the shard's state. */
  queueWaiting (): void {
    for (const job of this.options.state.jobs.values()) {
      if (job.endedMs === undefined) this.queueTasks(job)
    }
  }

  /** Accepts a job; a repeated submission with the same id gets the existing job. */
  async submit (submit: Submit): Promise<Result<Job, Refusal>> {
    const known = this.options.state.jobs.get(submit.job)
    if (known !== undefined) return answerRepeat(known, submit)
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

  /** Describes a job. If it has not ended, first waits until it ends or its cancellation is recorded, at most for `waitMs`. */
  async status (id: string, waitMs: number): Promise<Result<Job, Refusal>> {
    const job = this.options.state.jobs.get(id)
    if (job === undefined) return err(this.noSuchJob(id))
    if (job.endedMs === undefined && waitMs > 0) await this.wait(id, waitMs)
    return ok(describeJob(job))
  }

  /** Cancels a job: removes its waiting tasks from the queue and stops its running tasks. */
  async cancel (id: string): Promise<Result<Job, Refusal>> {
    const job = this.options.state.jobs.get(id)
    if (job === undefined) return err(this.noSuchJob(id))
    if (job.endedMs !== undefined || job.cancelled) return ok(describeJob(job))
    const written = await this.commit({ kind: ChangeKind.Cancelled, job: id, atMs: this.options.clock.wall() })
    if (written.isErr()) return err(refusalOf(written.error, 'The cancellation'))
    for (const task of job.tasks) {
      if (this.options.scheduler.cancel(task.id)) this.countWaiting(job.queue, -1)
      this.deferred.delete(task.id)
      this.options.runs.stop(task.id, false)
    }
    this.endUnstarted(job)
    this.notify(id)
    return ok(describeJob(job))
  }

  /**
   * Queues a task again after its run ended or never started; restarts its whole gang if it belongs to one. A task of a cancelled
   * job does not run again.
   */
  requeue (taskId: string): void {
    const job = this.options.state.jobOf(taskId)
    if (job === undefined || job.endedMs !== undefined) return
    if (job.cancelled) this.endUnstarted(job)
    else if (job.gang) this.restartGang(job)
    else this.queueTasks(job, taskId)
  }

  /** Handles a task that reached an outcome. */
  onFinished (taskId: string): void {
    const job = this.options.state.jobOf(taskId)
    if (job === undefined) return
    if (job.gang && job.endedMs === undefined && job.tasks.some(failsGang)) {
      this.cancel(job.job).catch(stopProcess)
    }
    if (job.endedMs !== undefined) this.notify(job.job)
  }

  /** Handles the placement of a waiting task. */
  onPlaced (task: Task): void {
    this.countWaiting(task.kind, -1)
  }

  /** Queues deferred tasks again, if the last attempt was long enough ago. */
  retryDeferred (): void {
    const now = this.options.clock.now()
    if (this.deferred.size === 0 || now - this.deferredRetriedAtMs < DEFERRED_RETRY_INTERVAL_MS) return
    this.deferredRetriedAtMs = now
    const jobs = new Set<JobRecord>()
    for (const id of this.deferred) {
      const job = this.options.state.jobOf(id)
      if (job !== undefined) jobs.add(job)
    }
    this.deferred.clear()
    for (const job of jobs) this.queueTasks(job)
  }

  /** Returns the body that a task is started with. */
  bodyOf (taskId: string): unknown {
    return this.options.state.jobOf(taskId)?.body
  }

  /** True if a task may run again after a run that had started. */
  mayRetry (taskId: string): boolean {
    return this.options.state.jobOf(taskId)?.idempotent ?? true
  }

  /** Returns the number of failed runs after which a task is not retried; runs that were lost or stopped do not count. */
  maxFailuresOf (taskId: string): number {
    const job = this.options.state.jobOf(taskId)
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
      // The time of acceptance on this node's monotonic clock.
      submittedMs: this.options.clock.now() - Math.max(0, this.options.clock.wall() - job.acceptedMs),
      checkpoint: queue?.checkpoint ?? false,
      ...(job.gang ? { group: job.job, groupSize: job.left } : {})
    }
  }

  private async accept (submit: Submit): Promise<Result<Job, Refusal>> {
    const queue = findQueue(this.options.manifest(), submit.queue)
    if (queue === undefined) return err(refuse(Reason.NoSuchQueue, `There is no queue ${submit.queue}.`, UNAVAILABLE_RETRY_AFTER_MS))
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
      atMs: this.options.clock.wall()
    })
    this.countWaiting(queue.name, -submit.tasks)
    if (written.isErr()) return err(refusalOf(written.error, 'The job'))
    const job = this.options.state.jobs.get(submit.job)!
    this.queueTasks(job)
    return ok(describeJob(job))
  }

  /**
   * Checks whether a job would be accepted now, as far as this is known before it is written to the log.
   *
   * @param submit the submission
   * @param queue its queue
   * @returns why it would be refused, or undefined
   */
  check (submit: Pick<Submit, 'tasks' | 'size' | 'body'>, queue: Queue): Refusal | undefined {
    if (submit.tasks < 1 || submit.tasks > MAX_JOB_TASKS) {
      return refuse(Reason.TooLarge, `A job has 1 to ${MAX_JOB_TASKS} tasks, not ${submit.tasks}.`)
    }
    if (JSON.stringify(submit.body ?? null).length > MAX_JOB_BODY_CHARACTERS) {
      return refuse(
        Reason.TooLarge,
        `The body of a job has at most ${MAX_JOB_BODY_CHARACTERS} characters. Send a reference to the data instead.`
      )
    }
    if ((this.waitingByQueue.get(queue.name) ?? 0) + submit.tasks > queue.capacity) {
      return refuse(
        Reason.QueueFull,
        `The queue ${queue.name} is full: it holds at most ${queue.capacity} waiting tasks.`,
        FULL_RETRY_AFTER_MS
      )
    }
    const size = submit.size ?? queue.size
    const capacities = this.options.capacities()
    if (capacities.length === 0 || capacities.some((capacity) => fitsResources(size, capacity))) return undefined
    return refuse(Reason.Infeasible, `No worker of ${queue.upstream} is large enough for a task of ${describeSize(size)}.`)
  }

  /** Ends the tasks of a cancelled job that have no run: their recorded runs never started. */
  private endUnstarted (job: JobRecord): void {
    for (const record of job.tasks) {
      if (record.stage !== Stage.Dispatched || this.options.runs.get(record.id) !== undefined) continue
      this.options.runs.endUnstarted(this.createTask(job, record.id))
    }
  }

  private queueTasks (job: JobRecord, only?: string): void {
    if (job.cancelled) return
    for (const record of job.tasks) {
      if (record.stage === Stage.Finished || (only !== undefined && record.id !== only)) continue
      if (this.options.runs.get(record.id) !== undefined) continue
      this.enqueueTask(job, record.id)
    }
    this.options.requestRound()
  }

  private enqueueTask (job: JobRecord, id: string): void {
    if (!this.options.journal.available()) {
      this.deferred.add(id)
      return
    }
    const queued = this.options.scheduler.enqueue(this.createTask(job, id), this.options.clock.now())
    if (queued.isErr()) this.deferred.add(id)
    else this.countWaiting(job.queue, 1)
  }

  /** Stops the remaining runs of a gang, and queues the gang again once none of its tasks runs. */
  private restartGang (job: JobRecord): void {
    let inProgress = false
    for (const record of job.tasks) {
      if (this.options.runs.get(record.id) === undefined) continue
      inProgress = true
      this.options.runs.stop(record.id, false)
    }
    if (inProgress) return
    for (const record of job.tasks) {
      if (record.stage === Stage.Finished) continue
      if (this.options.scheduler.cancel(record.id)) this.countWaiting(job.queue, -1)
    }
    this.queueTasks(job)
  }

  /** Returns the refusal for an unknown job. An owner that cannot read the log may lack the newest jobs. */
  private noSuchJob (id: string): Refusal {
    if (this.options.journal.available()) return refuse(Reason.NoSuchJob, `There is no job ${id}.`)
    return refuse(
      Reason.LogUnavailable,
      `Whether there is a job ${id} cannot be determined: the log is unavailable.`,
      UNAVAILABLE_RETRY_AFTER_MS
    )
  }

  private queueOf (job: JobRecord): Queue | undefined {
    return findQueue(this.options.manifest(), job.queue)
  }

  private countWaiting (queue: string, by: number): void {
    this.waitingByQueue.set(queue, (this.waitingByQueue.get(queue) ?? 0) + by)
  }

  private async commit (change: Change): Promise<Result<void, JournalError>> {
    const written = await this.options.journal.commit(change, COMMIT_TIMEOUT_MS)
    if (written.isErr() && written.error.failure === JournalFailure.Superseded) this.options.onSuperseded()
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

/** True if a task is finished without success, which cancels its whole gang. */
function failsGang (record: TaskRecord): boolean {
  return record.stage === Stage.Finished && record.outcome !== RunOutcome.Succeeded
}

function answerRepeat (job: JobRecord, submit: Submit): Result<Job, Refusal> {
  if (job.digest === submit.digest) return ok(describeJob(job))
  return err(refuse(Reason.KeyReused, 'This Idempotency-Key was used for another request. Use a new key.'))
}

/**
 * Describes the failure of a write to a caller.
 *
 * @param error the failure
 * @param what what was to be written, e.g. "The job"
 * @returns a refusal that says whether it may have taken effect
 *
 * @example
 * if (written.isErr()) return err(refusalOf(written.error, 'The job'))
 */
export function refusalOf (error: JournalError, what: string): Refusal {
  switch (error.failure) {
    case JournalFailure.Superseded:
      return refuse(Reason.NotOwner, 'The shard has a new owner.', 0)
    case JournalFailure.Unknown:
      return {
        reason: Reason.LogUnavailable,
        detail: `${what} may have been accepted. Repeat the request, with the same Idempotency-Key if it has one.`,
        execution: Execution.Unknown,
        retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS
      }
    case JournalFailure.Overloaded:
      return refuse(
        Reason.Overloaded,
        `${what} was not accepted: the log's write buffer is full or the change is too large.`,
        FULL_RETRY_AFTER_MS
      )
    default:
      return refuse(Reason.LogUnavailable, `${what} was not accepted: the log is unavailable.`, UNAVAILABLE_RETRY_AFTER_MS)
  }
}

function describeSize (size: Resources): string {
  return `${size.cpuMilli} mCPU, ${size.memoryMb} MB and ${size.accelerators} accelerators`
}
