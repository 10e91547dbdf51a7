/**
 * Runs of durable tasks and service replicas. An attempt is written to the log before it is sent to a worker. A task runs
 * again only once its previous run is proven to have ended, or never to have started.
 */
import { sleep, type Clock } from '@fireflymount/service-clients/clock'
import { JournalFailure, type JournalError } from '@fireflymount/service-clients/journal'
import { TaskState, WorkerFailure, type TaskReport, type WorkerReport } from '@fireflymount/service-clients/worker'
import { Ending, type Placement, type Task } from '@fireflymount/policy/task'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import { Workload } from '@fireflymount/protocol/workload'
import type { Result } from 'neverthrow'
import type { Metrics } from '../metrics.js'
import { ChangeKind, RunOutcome, type AttemptChange, type Change, type Ended } from './change.js'
import { createUnrecordedTask, createEnded, endingOf, outcomeOf } from './completion.js'
import type { JournalWriter } from './journal-writer.js'
import type { Session } from './session.js'
import { Stage, type ShardState, type TaskRecord } from './state.js'
import { stopProcess } from '../stop-process.js'

/** Timeout of the commit that records runs before they are sent. If the commit fails, their tasks are queued again. */
const ATTEMPT_COMMIT_TIMEOUT_MS = 1000
/**
 * Timeout of one commit of a run's end. The commit is retried until it succeeds, the owner stops or is superseded, or the outcome
 * is unknown.
 */
const END_COMMIT_TIMEOUT_MS = 5000
/** Delay before a commit of a run's end that the journal refused at once is retried. */
const OVERLOADED_RETRY_DELAY_MS = 100

/** The phases of a run. */
export enum RunPhase {
  /** The record of its attempt is being written. It has not been sent, and is only sent once its worker is known not to have restarted. */
  Recording = 'recording',
  /** It is being sent. */
  Starting = 'starting',
  Running = 'running',
  /** It may have been sent, and whether it started is unknown. */
  Unresolved = 'doubtful',
  /** Its end is being written. */
  Ending = 'ending'
}

/** One run of a task on a worker. */
export interface Run {
  readonly task: Task
  readonly attempt: number
  readonly worker: string
  /** Id of the worker's incarnation (one per process start), to recognize runs that a restart ended. */
  readonly boot: string
  phase: RunPhase
  /** Time from which the run is known to run; Infinity before. */
  runningSinceMs: number
  /**
   * True if this owner prepared the run, even if its start command is not sent yet. The command can take effect until the
   * worker's clock passes `leaseUntilMs`. Until then, a report without the run does not prove that it never started. A command of
   * a former owner cannot take effect after the adoption, because the worker refuses its epoch.
   */
  readonly startedByThisOwner: boolean
  /** End of the lease that the run was sent with, in the worker's clock. */
  leaseUntilMs: number
  /**
   * True once the run is to be stopped. A run in phase `Recording` is not sent, and one in phase `Starting` is stopped once it is
   * known to run. In the phases `Running` and `Unresolved`, the stop command is sent at once.
   */
  stopping: boolean
}

/** Constructor arguments of `Runs`. */
export interface RunsOptions {
  readonly scheduler: Scheduler
  readonly journal: JournalWriter
  readonly state: ShardState
  readonly clock: Clock
  readonly metrics: Metrics
  readonly session: (worker: string) => Session | undefined
  readonly confirmed: () => boolean
  /** Returns true while the availability zone of a worker is being evacuated. */
  readonly isEvacuated: (worker: string) => boolean
  /** True if the owner took over while the log was unavailable: its state may lack the newest records, and it cannot write. */
  readonly provisional: boolean
  /** True while the owner has not been stopped. */
  readonly active: () => boolean
  readonly bodyOf: (taskId: string) => unknown
  /** Returns a hash of the size and body that a replica is started with; undefined for tasks of jobs. */
  readonly specHashOf: (taskId: string) => string | undefined
  readonly mayRetry: (taskId: string) => boolean
  /** Returns the number of failed runs after which a task is not retried. */
  readonly maxFailuresOf: (taskId: string) => number
  /** Puts a task of a job back into the queue, or records its end if the job is cancelled. */
  readonly requeue: (taskId: string) => void
  /** Called when a task reached an outcome. */
  readonly onFinished: (task: Task, outcome: RunOutcome) => void
  /** Called when a run started. */
  readonly onStarted: (task: Task) => void
  /** Called when the journal has a newer holder. */
  readonly onSuperseded: () => void
  /** Requests a scheduling round, because capacity became free. */
  readonly requestRound: () => void
}

/** All runs of a shard that may be in progress. */
export class Runs {
  private readonly runs = new Map<string, Run>()
  private readonly byWorker = new Map<string, Set<Run>>()
  /** Tasks that run on workers but are missing from a provisional owner's state. */
  private readonly unrecorded = new Set<string>()

  constructor (private readonly options: RunsOptions) {}

  /** @returns the run of a task that may be in progress */
  get (taskId: string): Run | undefined {
    return this.runs.get(taskId)
  }

  /**
   * Takes over a run that a former owner recorded, and counts it against the worker's capacity and the team's allotment at once.
   * Stops it once it is known to run, if `stopping` is set: the former owner's stop command may not have reached the worker.
   */
  inherit (task: Task, record: TaskRecord, stopping = false): void {
    const run: Run = {
      task,
      attempt: record.attempt,
      worker: record.worker!,
      boot: record.boot!,
      phase: RunPhase.Unresolved,
      runningSinceMs: Infinity,
      startedByThisOwner: false,
      leaseUntilMs: Infinity,
      stopping
    }
    this.options.scheduler.adopt(task, run.worker, this.options.clock.now())
    this.add(run)
  }

  /**
   * Starts placed tasks. All their runs are written in one change, so that a gang is recorded completely or not at all.
   *
   * @param placements the placements, already counted in the scheduler
   */
  async launch (placements: readonly Placement[]): Promise<void> {
    const runs = placements.map((placement) => this.prepare(placement))
    const written = await this.commit({
      kind: ChangeKind.Attempt,
      runs: runs.map((run) => this.describe(run))
    }, ATTEMPT_COMMIT_TIMEOUT_MS)
    if (written.isErr()) {
      for (const run of runs) this.returnToQueue(run)
      return
    }
    for (const run of runs) {
      this.send(run).catch(stopProcess)
    }
  }

  /**
   * Stops a run because of a cancellation, a preemption, a gang that restarts, a changed or removed service, or a worker that
   * is leaving or drained.
   */
  stop (taskId: string, checkpoint: boolean): void {
    const run = this.runs.get(taskId)
    if (run === undefined || run.phase === RunPhase.Ending) return
    run.stopping = true
    if (run.phase === RunPhase.Recording || run.phase === RunPhase.Starting) return
    this.sendStop(run, checkpoint)
  }

  /** Records the end of a run that never started, if its task must not run again because its job is cancelled. */
  endUnstarted (task: Task): void {
    const record = this.options.state.task(task.id)
    if (record?.stage !== Stage.Dispatched) return
    const change: Ended = {
      kind: ChangeKind.Ended,
      task: task.id,
      attempt: record.attempt,
      outcome: RunOutcome.Retry,
      atMs: this.options.clock.wall()
    }
    this.write(change).then((written) => {
      if (written) this.options.onFinished(task, RunOutcome.Cancelled)
    }, stopProcess)
  }

  /** Reconciles the runs recorded for an adopted worker with those that it reports. */
  onAdopted (session: Session, report: WorkerReport): void {
    const listed = new Set<string>()
    const running = new Set<string>()
    for (const task of report.tasks) {
      listed.add(runKey(task.id, task.attempt))
      if (task.state === TaskState.Running) running.add(task.id)
    }
    for (const run of [...this.byWorker.get(session.id) ?? []]) {
      if (listed.has(runKey(run.task.id, run.attempt))) continue
      if (run.phase === RunPhase.Ending || run.phase === RunPhase.Recording) continue
      // Another run of the task is stopped upon its report. Until it has ended, the task must not be placed again.
      if (running.has(run.task.id)) session.readoptAfter(session.leaseUntilMs())
      else if (run.boot !== report.boot) this.markLost(run, 'The worker restarted while the task ran.')
      else if (run.phase === RunPhase.Running) this.checkListed(run, session)
      else if (run.phase === RunPhase.Starting) continue
      else if (!run.startedByThisOwner || session.isPast(run.leaseUntilMs)) this.returnToQueue(run)
      else session.readoptAfter(run.leaseUntilMs)
    }
  }

  /**
   * Handles a worker's report of a run. Returns false if the next renewal would only return the same report again. This is so
   * while the end of a current run is being written, and if a provisional owner gets the end of a run that its state lacks. The
   * session pauses before the next renewal if this is so for every report. An end that matches no current run returns true, even
   * while it is being written.
   */
  onReport (session: Session, report: TaskReport): boolean {
    const run = this.runs.get(report.id)
    if (run === undefined || run.attempt !== report.attempt || run.worker !== session.id) {
      return this.onUnexpectedReport(session, report)
    }
    if (report.state === TaskState.Running) {
      this.onRunning(run, report)
      return true
    }
    if (run.phase === RunPhase.Ending) return false
    this.complete(run, report).catch(stopProcess)
    return true
  }

  /** Handles the expiry of all leases on a worker, or the termination of its VM: its runs have stopped. */
  onExpired (worker: string): void {
    for (const run of [...this.byWorker.get(worker) ?? []]) {
      if (run.phase === RunPhase.Ending || run.phase === RunPhase.Recording) continue
      this.markLost(run, 'The worker was terminated, or unreachable until the lease expired, while the task may have been running.')
    }
  }

  /** Returns the workers that have runs. */
  workers (): string[] {
    return [...this.byWorker.keys()]
  }

  /** Returns the runs on a worker. */
  runsOn (worker: string): readonly Run[] {
    return [...this.byWorker.get(worker) ?? []]
  }

  private prepare (placement: Placement): Run {
    const record = this.options.state.task(placement.task.id)
    const run: Run = {
      task: placement.task,
      attempt: (record?.attempt ?? 0) + 1,
      worker: placement.worker,
      boot: this.options.session(placement.worker)?.boot ?? '',
      phase: RunPhase.Recording,
      runningSinceMs: Infinity,
      startedByThisOwner: true,
      leaseUntilMs: 0,
      stopping: false
    }
    this.add(run)
    return run
  }

  private describe (run: Run): AttemptChange['runs'][number] {
    const { task, attempt, worker, boot } = run
    const spec = this.options.specHashOf(task.id)
    return { task: task.id, attempt, worker, boot, ...(spec === undefined ? {} : { spec }) }
  }

  private async send (run: Run): Promise<void> {
    const session = this.options.session(run.worker)
    const mayStart = !run.stopping && this.options.confirmed() && !this.options.isEvacuated(run.worker)
    if (session === undefined || !session.adopted || session.boot !== run.boot || !mayStart) {
      this.returnToQueue(run)
      return
    }
    run.phase = RunPhase.Starting
    run.leaseUntilMs = session.leaseUntilMs()
    const started = await session.start({
      id: run.task.id,
      attempt: run.attempt,
      team: run.task.team,
      kind: run.task.kind,
      size: run.task.size,
      body: this.options.bodyOf(run.task.id)
    }, run.leaseUntilMs)
    // A report of the run can arrive before the answer to `start`.
    if (run.phase !== RunPhase.Starting) return
    if (started.isOk()) {
      this.onRunning(run)
      return
    }
    // A failed start command does not prove that the task did not start.
    if (started.error.failure === WorkerFailure.Unknown || started.error.failure === WorkerFailure.Failed) {
      run.phase = RunPhase.Unresolved
      session.readoptAfter(run.leaseUntilMs)
      return
    }
    this.options.metrics.count('run.refused')
    this.returnToQueue(run)
  }

  private onRunning (run: Run, report?: TaskReport): void {
    if (run.phase === RunPhase.Ending) return
    const justStarted = run.phase !== RunPhase.Running
    run.phase = RunPhase.Running
    if (justStarted) run.runningSinceMs = this.options.clock.now()
    if (justStarted && run.startedByThisOwner) this.options.onStarted(run.task)
    if (report?.usage !== undefined) this.options.scheduler.recordUsage(run.task.id, report.usage)
    // A run that is still reported as running may not have received its stop command. Repeating it has no further effect.
    if (run.stopping && (justStarted || report !== undefined)) this.sendStop(run, run.task.checkpoint)
  }

  private sendStop (run: Run, checkpoint: boolean): void {
    const session = this.options.session(run.worker)
    if (session === undefined || !this.options.confirmed()) return
    session.stop(run.task.id, run.attempt, checkpoint).catch(stopProcess)
  }

  /** Handles a report that matches no current run: stops the run if it is running, else acknowledges its end. */
  private onUnexpectedReport (session: Session, report: TaskReport): boolean {
    if (this.options.provisional) return this.onUnrecorded(session, report)
    if (report.state === TaskState.Running) {
      this.options.metrics.count('run.stray')
      session.stop(report.id, report.attempt, false).catch(stopProcess)
      return true
    }
    const record = this.options.state.task(report.id)
    const resolvesUnknown =
      record?.stage === Stage.Finished && record.outcome === RunOutcome.Unknown && record.attempt === report.attempt
    if (!resolvesUnknown) {
      session.acknowledge(report.id, report.attempt)
      return true
    }
    const change = createEnded(report, outcomeOf(report, false))
    this.write(change).then((written) => {
      if (written) session.acknowledge(report.id, report.attempt)
    }, stopProcess)
    return true
  }

  /**
   * Handles, for a provisional owner, a report that matches no current run. The state may lack the newest records, so
   * nothing is stopped or acknowledged.
   */
  private onUnrecorded (session: Session, report: TaskReport): boolean {
    const now = this.options.clock.now()
    if (report.state !== TaskState.Running) {
      if (this.unrecorded.delete(report.id)) this.options.scheduler.finish(report.id, Ending.Released, now)
      return false
    }
    if (this.unrecorded.has(report.id) || this.runs.has(report.id)) return true
    this.unrecorded.add(report.id)
    this.options.scheduler.adopt(createUnrecordedTask(report, now), session.id, now)
    return true
  }

  private async complete (run: Run, report: TaskReport): Promise<void> {
    run.phase = RunPhase.Ending
    const record = this.options.state.task(run.task.id)
    const failures = (record?.failures ?? 0) + (report.state === TaskState.Failed ? 1 : 0)
    const mayRetry = this.options.mayRetry(run.task.id) && failures < this.options.maxFailuresOf(run.task.id)
    // The record of a replica is kept, so that its next run has another number, also if it ended as succeeded.
    const outcome = run.task.workload === Workload.Service ? RunOutcome.Retry : outcomeOf(report, mayRetry)
    this.options.scheduler.finish(run.task.id, endingOf(report), this.options.clock.now(), report.runtimeMs, report.usage)
    this.options.requestRound()
    const written = await this.write(createEnded(report, outcome))
    if (!written) return
    this.remove(run)
    this.options.session(run.worker)?.acknowledge(report.id, report.attempt)
    this.finishTask(run, outcome)
  }

  /** Handles a running run that the report upon an adoption does not list. It can have started after the worker made the report. */
  private checkListed (run: Run, session: Session): void {
    if (run.runningSinceMs < session.adoptionSentMs) this.markLost(run, 'The worker no longer lists the task.')
  }

  /** Records that a run stopped before it completed and that its result is lost. */
  private markLost (run: Run, detail: string): void {
    run.phase = RunPhase.Ending
    this.options.scheduler.finish(run.task.id, Ending.Released, this.options.clock.now())
    this.options.requestRound()
    const outcome = this.options.mayRetry(run.task.id) ? RunOutcome.Retry : RunOutcome.Unknown
    const change: Ended = {
      kind: ChangeKind.Ended,
      task: run.task.id,
      attempt: run.attempt,
      outcome,
      atMs: this.options.clock.wall(),
      ...(outcome === RunOutcome.Retry ? {} : { detail })
    }
    this.options.metrics.count('run.lost')
    this.write(change).then((written) => {
      if (!written) return
      this.remove(run)
      this.finishTask(run, outcome)
    }, stopProcess)
  }

  /**
   * Queues the task of a run that never started. No record is written, unless its job is cancelled: later owners learn from the
   * worker's report, when they adopt the worker, that the run did not start.
   */
  private returnToQueue (run: Run): void {
    if (this.runs.get(run.task.id) !== run) return
    this.remove(run)
    this.options.scheduler.finish(run.task.id, Ending.Released, this.options.clock.now())
    this.options.requeue(run.task.id)
    this.options.requestRound()
  }

  private finishTask (run: Run, outcome: RunOutcome): void {
    const record = this.options.state.task(run.task.id)
    if (outcome === RunOutcome.Retry && record?.stage === Stage.Waiting) {
      this.options.requeue(run.task.id)
      this.options.requestRound()
      return
    }
    this.options.onFinished(run.task, record?.outcome ?? outcome)
  }

  /** Commits a change, with retries. Returns false if the owner is stopped or superseded or the outcome is unknown. */
  private async write (change: Change): Promise<boolean> {
    for (;;) {
      const written = await this.commit(change, END_COMMIT_TIMEOUT_MS)
      if (written.isOk()) return true
      // The other failures that are retried come after the timeout.
      if (written.error.failure === JournalFailure.Overloaded) await sleep(OVERLOADED_RETRY_DELAY_MS)
      if (!this.options.active()) return false
      if (written.error.failure === JournalFailure.Superseded || written.error.failure === JournalFailure.Unknown) return false
    }
  }

  private async commit (change: Change, timeoutMs: number): Promise<Result<void, JournalError>> {
    const written = await this.options.journal.commit(change, timeoutMs)
    if (written.isErr() && written.error.failure === JournalFailure.Superseded) this.options.onSuperseded()
    return written
  }

  private add (run: Run): void {
    this.runs.set(run.task.id, run)
    const runs = this.byWorker.get(run.worker)
    if (runs === undefined) this.byWorker.set(run.worker, new Set([run]))
    else runs.add(run)
  }

  private remove (run: Run): void {
    this.runs.delete(run.task.id)
    const runs = this.byWorker.get(run.worker)
    runs?.delete(run)
    if (runs?.size === 0) this.byWorker.delete(run.worker)
  }
}

/** Returns a key of one run, which differs from those of other runs of its task. */
function runKey (task: string, attempt: number): string {
  return `${task}/${attempt}`
}
