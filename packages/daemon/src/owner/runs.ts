/**
 * Runs of durable tasks and service replicas: an attempt is written before it is sent, and a task runs again only
 * on proof that the run before has ended or never began.
 */
import type { Clock } from '@fireflymount/platform/clock'
import { JournalFailure, type JournalError } from '@fireflymount/platform/journal'
import { TaskState, WorkerFailure, type TaskReport, type WorkerReport } from '@fireflymount/platform/worker'
import { Ending, type Placement, type Task } from '@fireflymount/policy/task'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Result } from 'neverthrow'
import type { Metrics } from '../counters.js'
import { ChangeKind, Outcome, type Attempt, type Change, type Ended } from './change.js'
import { createUnread, endOf, endingOf, outcomeOf } from './ending.js'
import type { Ledger } from './ledger.js'
import type { Session } from './session.js'
import { Stage, type ShardState, type TaskRecord } from './state.js'
import { stopProcess } from '../invariant.js'

/** How long a commit is tried before its tasks go back to waiting. */
const ATTEMPT_PATIENCE_MS = 1000
/** How long the end of a run is tried at a time; it is repeated until it is written. */
const ENDED_PATIENCE_MS = 5000

/** Where a run stands. */
export enum Phase {
  /** Its attempt is being written, or it is being sent. */
  Starting = 'starting',
  Running = 'running',
  /** It was sent, and nothing is known. */
  Doubtful = 'doubtful',
  /** Its end is being written. */
  Ending = 'ending'
}

/** One run of a task on a worker. */
export interface Run {
  readonly task: Task
  readonly attempt: number
  readonly worker: string
  readonly boot: string
  phase: Phase
  /** Sent under this owner's epoch: a report without it proves nothing before `untilMs` of the worker's clock. */
  readonly own: boolean
  untilMs: number
  stopping: boolean
}

/** What runs need of their owner. */
export interface RunParts {
  readonly scheduler: Scheduler
  readonly journal: Ledger
  readonly state: ShardState
  readonly clock: Clock
  readonly metrics: Metrics
  readonly session: (worker: string) => Session | undefined
  readonly confirmed: () => boolean
  /** The owner took over while the log is away: its state may lack the newest records, and it writes nothing. */
  readonly provisional: boolean
  /** True while the owner has not given the shard up. */
  readonly active: () => boolean
  readonly bodyOf: (task: string) => unknown
  /** Identifies what a replica is started as; undefined for tasks of jobs. */
  readonly specOf: (task: string) => string | undefined
  readonly mayRepeat: (task: string) => boolean
  /** Most attempts that may fail. */
  readonly attemptsOf: (task: string) => number
  /** Puts a task back into the queue, if it is still wanted. */
  readonly requeue: (task: string) => void
  /** A run ended for good. */
  readonly onOver: (task: Task, outcome: Outcome) => void
  /** A run began. */
  readonly onStarted: (task: Task) => void
  /** The journal has a newer holder. */
  readonly onSuperseded: () => void
  /** Asks for new decisions: room became free. */
  readonly onRoom: () => void
}

/** All runs of a shard that may be in progress. */
export class Runs {
  private readonly runs = new Map<string, Run>()
  private readonly byWorker = new Map<string, Set<Run>>()
  /** Tasks found running that a provisional owner's state does not have. */
  private readonly unread = new Set<string>()

  constructor (private readonly parts: RunParts) {}

  /** @returns the run of a task that may be in progress */
  get (task: string): Run | undefined {
    return this.runs.get(task)
  }

  /** Takes over a run that a former owner wrote. Its room and limits are charged at once. */
  inherit (task: Task, record: TaskRecord): void {
    const run: Run = {
      task,
      attempt: record.attempt,
      worker: record.worker!,
      boot: record.boot!,
      phase: Phase.Doubtful,
      own: false,
      untilMs: Infinity,
      stopping: false
    }
    this.parts.scheduler.adopt(task, run.worker, this.parts.clock.now())
    this.add(run)
  }

  /**
   * Starts placed tasks. All attempts are written in one change, so that a gang is written whole.
   *
   * @param placements the decisions, already charged
   */
  async launch (placements: readonly Placement[]): Promise<void> {
    const runs = placements.map((placement) => this.prepare(placement))
    const written = await this.commit({
      kind: ChangeKind.Attempt,
      runs: runs.map((run) => this.describe(run))
    }, ATTEMPT_PATIENCE_MS)
    if (written.isErr()) {
      for (const run of runs) this.giveBack(run)
      return
    }
    for (const run of runs) {
      this.send(run).catch(stopProcess)
    }
  }

  /** Stops a run, for a cancellation, a preemption or a service that is no longer declared. */
  stop (task: string, checkpoint: boolean): void {
    const run = this.runs.get(task)
    if (run === undefined || run.phase === Phase.Ending) return
    run.stopping = true
    if (run.phase === Phase.Starting) return
    this.sendStop(run, checkpoint)
  }

  /** Compares what a worker runs with what it should run. */
  onAdopted (session: Session, report: WorkerReport): void {
    const listed = new Set(report.tasks.map((task) => task.id))
    for (const run of [...this.byWorker.get(session.id) ?? []]) {
      if (listed.has(run.task.id) || run.phase === Phase.Ending) continue
      if (run.boot !== report.boot) this.lose(run, 'The worker restarted while the task ran.')
      else if (run.phase === Phase.Running) this.lose(run, 'The worker no longer knows the task.')
      else if (run.phase === Phase.Starting) continue
      else if (!run.own || session.isPast(run.untilMs)) this.giveBack(run)
      else session.doubt(run.untilMs)
    }
  }

  /** Takes a report in. Returns false if the end that it reports is being written already. */
  onReport (session: Session, report: TaskReport): boolean {
    const run = this.runs.get(report.id)
    if (run === undefined || run.attempt !== report.attempt || run.worker !== session.id) return this.onStray(session, report)
    if (report.state === TaskState.Running) {
      this.onRunning(run, report)
      return true
    }
    if (run.phase === Phase.Ending) return false
    this.end(run, report).catch(stopProcess)
    return true
  }

  /** All leases on a worker have lapsed: what ran there has stopped. */
  onLapsed (worker: string): void {
    for (const run of [...this.byWorker.get(worker) ?? []]) {
      if (run.phase === Phase.Ending) continue
      this.lose(run, 'The worker was lost while the task ran.')
    }
  }

  /** Workers with runs. */
  workers (): string[] {
    return [...this.byWorker.keys()]
  }

  /** Runs on a worker. */
  on (worker: string): readonly Run[] {
    return [...this.byWorker.get(worker) ?? []]
  }

  private prepare (placement: Placement): Run {
    const record = this.parts.state.task(placement.task.id)
    const run: Run = {
      task: placement.task,
      attempt: (record?.attempt ?? 0) + 1,
      worker: placement.worker,
      boot: this.parts.session(placement.worker)?.boot ?? '',
      phase: Phase.Starting,
      own: true,
      untilMs: 0,
      stopping: false
    }
    this.add(run)
    return run
  }

  private describe (run: Run): Attempt['runs'][number] {
    const { task, attempt, worker, boot } = run
    const spec = this.parts.specOf(task.id)
    return { task: task.id, attempt, worker, boot, ...(spec === undefined ? {} : { spec }) }
  }

  private async send (run: Run): Promise<void> {
    const session = this.parts.session(run.worker)
    if (session === undefined || !session.adopted || session.boot !== run.boot || run.stopping || !this.parts.confirmed()) {
      this.giveBack(run)
      return
    }
    run.untilMs = session.untilMs()
    const started = await session.start({
      id: run.task.id,
      attempt: run.attempt,
      team: run.task.team,
      kind: run.task.kind,
      size: run.task.size,
      body: this.parts.bodyOf(run.task.id)
    }, run.untilMs)
    // A report can overtake the answer.
    if (run.phase !== Phase.Starting) return
    if (started.isOk()) {
      this.onRunning(run)
      return
    }
    if (started.error.failure === WorkerFailure.Unknown || started.error.failure === WorkerFailure.Failed) {
      run.phase = Phase.Doubtful
      session.doubt(run.untilMs)
      return
    }
    this.parts.metrics.count('run.refused')
    this.giveBack(run)
  }

  private onRunning (run: Run, report?: TaskReport): void {
    if (run.phase === Phase.Ending) return
    const began = run.phase !== Phase.Running
    run.phase = Phase.Running
    if (began && run.own) this.parts.onStarted(run.task)
    if (report?.usage !== undefined) this.parts.scheduler.observe(run.task.id, report.usage)
    if (began && run.stopping) this.sendStop(run, run.task.checkpoint)
  }

  private sendStop (run: Run, checkpoint: boolean): void {
    const session = this.parts.session(run.worker)
    if (session === undefined || !this.parts.confirmed()) return
    session.stop(run.task.id, checkpoint).catch(stopProcess)
  }

  /** A report of a run that the state does not have: stopped if it runs, else acknowledged. */
  private onStray (session: Session, report: TaskReport): boolean {
    if (this.parts.provisional) return this.onUnread(session, report)
    if (report.state === TaskState.Running) {
      this.parts.metrics.count('run.stray')
      session.stop(report.id, false).catch(stopProcess)
      return true
    }
    const record = this.parts.state.task(report.id)
    const answers = record?.stage === Stage.Over && record.outcome === Outcome.Unknown && record.attempt === report.attempt
    if (!answers) {
      session.acknowledge(report.id, report.attempt)
      return true
    }
    const change = endOf(report, outcomeOf(report, false))
    this.write(change).then(() => { session.acknowledge(report.id, report.attempt) }, stopProcess)
    return true
  }

  /** While the log is away, the state may lack what the owner before wrote last: nothing is stopped or acknowledged. */
  private onUnread (session: Session, report: TaskReport): boolean {
    const now = this.parts.clock.now()
    if (report.state !== TaskState.Running) {
      if (this.unread.delete(report.id)) this.parts.scheduler.finish(report.id, Ending.Released, now)
      return false
    }
    if (this.unread.has(report.id) || this.runs.has(report.id)) return true
    this.unread.add(report.id)
    this.parts.scheduler.adopt(createUnread(report, now), session.id, now)
    return true
  }

  private async end (run: Run, report: TaskReport): Promise<void> {
    run.phase = Phase.Ending
    const record = this.parts.state.task(run.task.id)
    const failures = (record?.failures ?? 0) + (report.state === TaskState.Failed ? 1 : 0)
    const again = this.parts.mayRepeat(run.task.id) && failures < this.parts.attemptsOf(run.task.id)
    const outcome = outcomeOf(report, again)
    this.parts.scheduler.finish(run.task.id, endingOf(report), this.parts.clock.now(), report.runtimeMs, report.usage)
    this.parts.onRoom()
    const written = await this.write(endOf(report, outcome))
    if (!written) return
    this.remove(run)
    this.parts.session(run.worker)?.acknowledge(report.id, report.attempt)
    this.close(run, outcome)
  }

  /** The run stopped before its end, and its result is lost. */
  private lose (run: Run, detail: string): void {
    run.phase = Phase.Ending
    this.parts.scheduler.finish(run.task.id, Ending.Released, this.parts.clock.now())
    this.parts.onRoom()
    const outcome = this.parts.mayRepeat(run.task.id) ? Outcome.Again : Outcome.Unknown
    const change: Ended = {
      kind: ChangeKind.Ended,
      task: run.task.id,
      attempt: run.attempt,
      outcome,
      atMs: this.parts.clock.wall(),
      ...(outcome === Outcome.Again ? {} : { detail })
    }
    this.parts.metrics.count('run.lost')
    this.write(change).then((written) => {
      if (!written) return
      this.remove(run)
      this.close(run, outcome)
    }, stopProcess)
  }

  /** The run never began: the task waits again, without a record, since an adoption proves the same to any owner. */
  private giveBack (run: Run): void {
    if (this.runs.get(run.task.id) !== run) return
    this.remove(run)
    this.parts.scheduler.finish(run.task.id, Ending.Released, this.parts.clock.now())
    this.parts.requeue(run.task.id)
    this.parts.onRoom()
  }

  private close (run: Run, outcome: Outcome): void {
    const record = this.parts.state.task(run.task.id)
    if (outcome === Outcome.Again && record?.stage === Stage.Waiting) {
      this.parts.requeue(run.task.id)
      this.parts.onRoom()
      return
    }
    this.parts.onOver(run.task, record?.outcome ?? outcome)
  }

  /** Writes a change until it is in effect. Returns false if the journal has another holder. */
  private async write (change: Change): Promise<boolean> {
    for (;;) {
      const written = await this.commit(change, ENDED_PATIENCE_MS)
      if (written.isOk()) return true
      if (!this.parts.active()) return false
      if (written.error.failure === JournalFailure.Superseded || written.error.failure === JournalFailure.Unknown) return false
    }
  }

  private async commit (change: Change, patienceMs: number): Promise<Result<void, JournalError>> {
    const written = await this.parts.journal.commit(change, patienceMs)
    if (written.isErr() && written.error.failure === JournalFailure.Superseded) this.parts.onSuperseded()
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
