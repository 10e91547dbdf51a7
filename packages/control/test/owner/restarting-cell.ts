/**
 * A cell of workers, which may restart under their ids, and successive owners.
 */
import { err, ok, type Result } from 'neverthrow'
import { afterEach, beforeEach, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { encodeJob } from '../../src/journal/record.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Configuration } from '../../src/model/configuration.js'
import { Phase, type Step } from '../../src/model/job.js'
import { RunOutcome, type ActiveRun, type EndedRun, type Report } from '../../src/model/worker.js'
import { epochAfter } from '../../src/owner/fence.js'
import { Owner } from '../../src/owner/owner.js'
import { WorkerFailure, type ReportCommand, type RunCommand, type StartCommand } from '../../src/ports/fleet.js'
import { StoreFailure, Topic, type StoreCall } from '../../src/ports/store.js'
import { Log } from '../../src/report/log.js'
import { newestOf, stateOf } from '../journal/steady-cell.js'
import { FakeFleet, FakeStore, createJob, createOwnerOptions, createQueue, createStep, createWorker } from '../fakes.js'

const CONFIGURATION: Configuration = {
  version: 1,
  queues: [createQueue({ attempts: 2 })],
  upstreams: [{ name: 'planner', checksRoom: false, spare: false }],
  workspaces: [],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}
const LONG_POLL_STEP_MS = 5

/** A run that a worker has started. */
export interface StartedRun {
  readonly task: string
  readonly run: number
  readonly worker: string
  readonly startedMs: number
  endedMs: number
  /** Undefined if the worker has restarted while it ran. */
  ending?: RunOutcome
  acknowledged: boolean
}

/** A worker that may restart under its id, and that may carry out a report request long after it was sent. */
export class RestartingWorker {
  born = 10
  /** The runs of all incarnations. */
  readonly startedRuns: StartedRun[] = []
  /** How long a run works; it goes on until a test ends it if undefined. */
  workMs: number | undefined
  running: ActiveRun[] = []
  ended: EndedRun[] = []
  /** Ends of the current incarnation that were acknowledged, as far as it had them. */
  acknowledged: EndedRun[] = []
  /** Report requests that were not answered and have not been carried out. */
  readonly held: ReportCommand[] = []
  /** Whether new report requests are held. */
  holds = false
  /** Whether new report requests are held if they acknowledge ends. */
  holdsAcknowledgements = false
  /** Starts that were not answered and have not been carried out. */
  readonly heldStarts: StartCommand[] = []
  /** Whether new starts are held. */
  holdsStarts = false
  /** Time after which the sender of a held call stops waiting. */
  holdMs = 100
  /** The highest fencing token that the current incarnation has seen. */
  private fence = 0
  private position = 0
  private startedMs = performance.now() - 5000
  /** Highest number of a run that was stopped or has ended, by task. */
  private closedRuns = new Map<string, number>()

  constructor (readonly id = 'w1') {}

  clockMs (): number {
    return Math.floor(performance.now() - this.startedMs)
  }

  restart (): void {
    this.born += 10
    this.startedMs = performance.now()
    this.fence = 0
    this.position = 0
    for (const { task } of this.running) this.recordEnd(task, undefined)
    this.running = []
    this.closedRuns = new Map()
    this.ended = []
    this.acknowledged = []
    this.holds = false
    this.holdsAcknowledgements = false
    this.holdsStarts = false
  }

  async start (command: StartCommand): Promise<Result<number, WorkerFailure>> {
    if (this.holdsStarts) {
      this.heldStarts.push(command)
      await sleep(this.holdMs)
      return err(WorkerFailure.NoAnswer)
    }
    return this.carryOutStart(command)
  }

  async stop (command: RunCommand): Promise<Result<number, WorkerFailure>> {
    return this.carryOutStop(command)
  }

  carryOutStart ({ task, run, fence }: StartCommand): Result<number, WorkerFailure> {
    if (!this.accepts(fence)) return err(WorkerFailure.Fenced)
    const active = this.running.find((other) => other.task === task)
    if (active?.run === run) return ok(this.clockMs())
    if (active !== undefined || run <= (this.closedRuns.get(task) ?? 0)) return err(WorkerFailure.OutdatedRun)
    this.running.push({ task, run, checkpoint: '', progress: 100, load: 0 })
    const started = { task, run, worker: this.id, startedMs: performance.now(), endedMs: Infinity, acknowledged: false }
    this.startedRuns.push(started)
    if (this.workMs !== undefined) setTimeout(() => { if (started.endedMs === Infinity) this.end(task) }, this.workMs)
    return ok(this.clockMs())
  }

  carryOutStop ({ task, run, fence }: RunCommand): Result<number, WorkerFailure> {
    if (!this.accepts(fence)) return err(WorkerFailure.Fenced)
    if (this.running.some((active) => active.task === task && active.run <= run)) this.end(task, RunOutcome.Stopped)
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0))
    return ok(this.clockMs())
  }

  end (task: string, ending = RunOutcome.Done): void {
    const run = this.running.find((active) => active.task === task)!
    this.running = this.running.filter((active) => active !== run)
    this.closedRuns.set(task, Math.max(run.run, this.closedRuns.get(task) ?? 0))
    this.ended.push({ position: ++this.position, task, run: run.run, ending, checkpoint: '' })
    this.recordEnd(task, ending)
  }

  private recordEnd (task: string, ending: RunOutcome | undefined): void {
    const started = this.startedRuns.find((run) => run.task === task && run.endedMs === Infinity)!
    started.endedMs = performance.now()
    if (ending !== undefined) started.ending = ending
  }

  /** Drops a run without an end. */
  forget (task: string): void {
    this.running = this.running.filter((active) => active.task !== task)
  }

  carryOut ({ fence, acknowledged }: ReportCommand): Result<Report, WorkerFailure> {
    if (!this.accepts(fence)) return err(WorkerFailure.Fenced)
    const dropped = this.ended.filter((end) => end.position <= acknowledged)
    this.acknowledged.push(...dropped)
    for (const { task, run } of dropped) {
      for (const started of this.startedRuns) if (started.task === task && started.run === run) started.acknowledged = true
    }
    this.ended = this.ended.filter((end) => end.position > acknowledged)
    return ok({ born: this.born, clockMs: this.clockMs(), running: [...this.running], ended: [...this.ended] })
  }

  private accepts (fence: number): boolean {
    if (fence < this.fence) return false
    this.fence = fence
    return true
  }

  async report (command: ReportCommand): Promise<Result<Report, WorkerFailure>> {
    const { born } = this
    if (this.holds || (this.holdsAcknowledgements && command.acknowledged > 0)) {
      this.held.push(command)
      await sleep(this.holdMs)
      return err(WorkerFailure.NoAnswer)
    }
    for (let waitedMs = 0; waitedMs < command.waitMs && this.ended.length === 0; waitedMs += LONG_POLL_STEP_MS) {
      await sleep(LONG_POLL_STEP_MS)
      if (this.born !== born) return err(WorkerFailure.NoAnswer)
    }
    return this.carryOut(command)
  }
}

class RecordingLog extends Log {
  constructor (private readonly lines: string[]) {
    super()
  }

  override decision (name: string): void {
    this.lines.push(name)
  }

  override event (): void {}
}

/** A store, workers and successive owners. Call it with fake timers. */
export class RestartingCell {
  readonly store = new FakeStore()
  readonly workers: readonly RestartingWorker[]
  /** The first worker. */
  readonly worker: RestartingWorker
  readonly started: string[] = []
  /** Names of the decisions that the owners have logged. */
  readonly lines: string[] = []
  readonly clock = new SystemClock()
  owner: Owner
  private readonly fleet = new FakeFleet()
  private epoch = 0

  constructor (workerIds: readonly string[] = ['w1']) {
    this.workers = workerIds.map((id) => new RestartingWorker(id))
    this.worker = this.workers[0]!
    for (const worker of this.workers) this.register(worker)
    this.fleet.start = async ({ id }, command) => {
      this.started.push(`${command.task}#${command.run}`)
      return await this.workerOf(id).start(command)
    }
    this.fleet.stop = async ({ id }, command) => await this.workerOf(id).stop(command)
    this.fleet.requestReport = ({ id }, command) => this.workerOf(id).report(command)
    this.owner = this.startOwner(new JournalState())
  }

  workerOf (id: string): RestartingWorker {
    return this.workers.find((worker) => worker.id === id)!
  }

  /** Writes the registry entry of a worker. */
  register (worker = this.worker): void {
    const { id, born } = worker
    const capacity = { cpuMilli: 4000, memoryMb: 9000, accelerators: 0 }
    const entry = createWorker({ id, born, clockMs: worker.clockMs(), capacity, machine: `machine of ${id}` })
    this.store.put(Topic.Workers, { key: id, value: Buffer.from(JSON.stringify(entry)) })
  }

  async accept (id: string, fields: Partial<Step> = {}): Promise<void> {
    const steps = [createStep({ estimateMs: 60_000, ...fields })]
    const accepting = this.owner.append([encodeJob(createJob({ id, workspace: '', steps, acceptedMs: this.clock.wall() }))], 500)
    await advance(300)
    await accepting
  }

  startsOf (task: string): string[] {
    return this.started.filter((name) => name.startsWith(`${task}#`))
  }

  refuseAppends (refuses: boolean): void {
    this.store.fault = refuses ? (call: StoreCall) => 'append' in call ? StoreFailure.Refused : undefined : undefined
  }

  /** Phase of a job in the journal. */
  phaseOf (job: string): Phase | undefined {
    return this.stored().jobs.get(job)?.visiblePhase()
  }

  /** Returns what a successor would read now. */
  stored (): JournalState {
    return stateOf(newestOf(this.store.records[Topic.Journal]))
  }

  /** Replaces the owner by a successor that has read the journal. */
  async succeed (): Promise<void> {
    this.owner.close()
    this.refuseAppends(false)
    this.owner = this.startOwner(this.stored())
    await advance(10)
  }

  async takeOver (): Promise<void> {
    await this.succeed()
    await advance(25_000)
  }

  private startOwner (journalState: JournalState): Owner {
    this.epoch = epochAfter(this.epoch)
    const owner = new Owner(createOwnerOptions({
      epoch: this.epoch,
      journalState,
      store: new StoreAccess(this.store, async (call) => await this.store.call(call), this.clock, () => {}),
      fleet: this.fleet,
      clock: this.clock,
      log: new RecordingLog(this.lines),
      configuration: () => CONFIGURATION
    }))
    owner.run().catch((error: unknown) => { throw error })
    return owner
  }
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

export async function advance (ms: number): Promise<void> {
  await vi.advanceTimersByTimeAsync(ms)
}

/**
 * Runs each test of a file with fake timers and a cell of its own.
 *
 * @param create creates the cell, whose last owner is closed after the test
 */
export function playWithFakeTimers (create: () => { readonly owner: Pick<Owner, 'close'> }): void {
  let cell: ReturnType<typeof create>
  beforeEach(async () => {
    vi.useFakeTimers()
    // Retry delays have random jitter.
    vi.spyOn(Math, 'random').mockReturnValue(0.5)
    cell = create()
    await advance(300)
  })
  afterEach(async () => {
    cell.owner.close()
    await advance(5000)
    vi.useRealTimers()
    vi.restoreAllMocks()
  })
}
