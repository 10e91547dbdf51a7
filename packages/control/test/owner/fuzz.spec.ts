/**
 * Random faults of owners, workers and the store. At every start on a worker, this test checks the task against the other workers
 * and the journal. The task must not be running already, must not be done, and must not start before the steps it depends on are
 * done. An end is acknowledged only if a successor can read it, and no task starts after an acknowledged end as done. A gang completes
 * only if all of its members run at once. At the end every job must have ended and no task may still be running. After each record of
 * the journal, a node that reads the newest records must have the same state as one that has followed the journal.
 */
import { err, ok, type Result } from 'neverthrow'
import * as fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { encodeJob, encodeRecord, Stage, Subject } from '../../src/journal/record.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Configuration } from '../../src/model/configuration.js'
import { isFinal } from '../../src/model/job.js'
import { RunOutcome, splitTask, type EndedRun, type Report, type Worker } from '../../src/model/worker.js'
import { epochAfter } from '../../src/owner/fence.js'
import { Owner } from '../../src/owner/owner.js'
import { Fleet, WorkerFailure, type ReportCommand, type RunCommand, type StartCommand } from '../../src/ports/fleet.js'
import { StoreFailure, Topic } from '../../src/ports/store.js'
import { describeState, newestOf, stateOf } from '../journal/steady-cell.js'
import { FakeStore, createJob, createOwnerOptions, createQueue, createStep, createWorker } from '../fakes.js'

const CONFIGURATION: Configuration = {
  version: 1,
  queues: [createQueue()],
  upstreams: [{ name: 'planner', checksRoom: false, spare: false }],
  workspaces: [],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}
/** Fixed so that each run gives the same result; FUZZ_SEED overrides it. */
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_204)
const WORKERS = ['w1', 'w2', 'w3']
const JOBS = ['00000000000000a1', '00000000000000a2']
/** A job whose first step is a gang. */
const GANG_JOB = JOBS[1]!
const GANG_STEP = `${GANG_JOB}.0.0`
const GANG_SIZE = 2
/** How long a worker takes to stop a run. */
const STOP_MS = 600
/** Time after which a member of a gang ends if the others have not started. */
const GANG_TIMEOUT_MS = 1500
/** Longer than the timeout of a command, so that a task still runs when its worker is found to be unreachable. */
const TASK_MS = 2500
/** Time after which a command without an answer fails. */
const COMMAND_TIMEOUT_MS = 900
/** How long a gang works. Its members end before the tasks of the other job, whose ends can fill the reports. */
const GANG_MS = 2000
/**
 * Times after which a worker executes a command whose answer is lost, also if it has restarted meanwhile. They are longer than the timeout of
 * the command.
 */
const LATE_EXECUTIONS_MS = [1500, 2600, 4200]
const LEASE_MS = 3000
/** Small, so that reports omit ended runs. */
const MAX_REPORTED_ENDS = 2
/** Longer than an owner acts without confirmation plus a lease, so that the cell has recovered from every fault by then. */
const RECOVERY_MS = 40_000

/** An end of a run that the worker keeps until it is acknowledged. */
class ModelEnd {
  /** The lease of the worker expired after the end. The platform then does not hold the owner to an acknowledgement. */
  lapsed = false
  acknowledged = false

  constructor (readonly worker: string, readonly reported: EndedRun) {}

  /** True if the task, or for a member of the gang any member, must not be started any more. */
  get isBinding (): boolean {
    return this.reported.ending === RunOutcome.Done && this.acknowledged && !this.lapsed
  }

  toString (): string {
    const { task, run, ending } = this.reported
    return `end of ${task}#${run} on ${this.worker} as ${ending}`
  }
}

/** A run on a worker, with the times on the worker's clock at which it completes and at which its stop takes effect. */
interface ModelRun {
  readonly run: number
  readonly startedMs: number
  untilMs: number
  stoppedMs: number
}

/** Model of a worker by the platform's rules: a fencing token, increasing run numbers and a lease on its own clock. */
class ModelWorker {
  born = 10
  reachable = true
  /** False if commands are executed late, without an answer. */
  answersInTime = true
  /** Time after which it executes commands late. */
  lateMs = LATE_EXECUTIONS_MS[0]!
  /** False if starts are refused. */
  healthy = true
  /** The worker has failed and does not come back. */
  lost = false
  /** The worker has an entry in the registry. */
  registered = true
  readonly running = new Map<string, ModelRun>()
  private ended: ModelEnd[] = []
  private lastPosition = 0
  private fence = 0
  private deadlineMs = 0
  private startedMs = performance.now() - 1000
  /** Highest run number of each task that was stopped or has ended on this worker. */
  private readonly highestEndedRuns = new Map<string, number>()

  constructor (readonly id: string, private readonly cell: Cell) {}

  /** Time since the start of this incarnation. */
  clockMs (): number {
    return Math.floor(performance.now() - this.startedMs)
  }

  start (command: StartCommand): Result<number, WorkerFailure> {
    this.expireLease()
    if (command.fence < this.fence) return err(WorkerFailure.Fenced)
    this.fence = command.fence
    if (!this.healthy) return err(WorkerFailure.Unhealthy)
    if (this.clockMs() > command.deadlineMs) return err(WorkerFailure.Late)
    if (command.run <= (this.highestEndedRuns.get(command.task) ?? 0)) return err(WorkerFailure.OutdatedRun)
    if (this.running.get(command.task)?.run === command.run) return ok(this.clockMs())
    this.deadlineMs = Math.max(this.deadlineMs, Math.min(command.deadlineMs, this.clockMs() + LEASE_MS))
    this.cell.onStart(this, command.task, command.run)
    const startedMs = this.clockMs()
    const untilMs = isGangMember(command.task) ? Infinity : startedMs + TASK_MS
    this.running.set(command.task, { run: command.run, startedMs, untilMs, stoppedMs: Infinity })
    return ok(this.clockMs())
  }

  stop (command: RunCommand): Result<number, WorkerFailure> {
    if (command.fence < this.fence) return err(WorkerFailure.Fenced)
    this.fence = command.fence
    this.highestEndedRuns.set(command.task, Math.max(command.run, this.highestEndedRuns.get(command.task) ?? 0))
    const active = this.running.get(command.task)
    if (active?.run === command.run) active.stoppedMs = Math.min(active.stoppedMs, this.clockMs() + STOP_MS)
    return ok(this.clockMs())
  }

  requestReport (command: ReportCommand): Result<Report, WorkerFailure> {
    this.expireLease()
    if (command.fence < this.fence) return err(WorkerFailure.Fenced)
    this.fence = command.fence
    const granted = Math.min(command.deadlineMs ?? 0, this.clockMs() + LEASE_MS)
    this.deadlineMs = Math.max(this.deadlineMs, granted)
    for (const end of this.ended) {
      if (end.reported.position <= command.acknowledged) this.cell.onAcknowledged(end)
    }
    this.ended = this.ended.filter((end) => !end.acknowledged)
    const running = [...this.running].map(([task, { run }]) => ({ task, run, checkpoint: '', progress: 100, load: 0 }))
    const ended = this.ended.slice(0, MAX_REPORTED_ENDS).map(({ reported }) => reported)
    return ok({ born: this.born, clockMs: this.clockMs(), running, ended })
  }

  /** Ends completed tasks, and all tasks once the lease has expired. */
  tick (): void {
    this.expireLease()
    for (const [task, { untilMs, stoppedMs }] of [...this.running]) {
      if (this.clockMs() >= stoppedMs) this.endRun(task, RunOutcome.Stopped)
      else if (this.clockMs() >= untilMs) this.endRun(task, RunOutcome.Done)
    }
  }

  /** Restarts the worker without any state. */
  restart (): void {
    this.born += 10
    this.running.clear()
    this.ended = []
    this.lastPosition = 0
    this.fence = 0
    this.deadlineMs = 0
    this.startedMs = performance.now()
    this.highestEndedRuns.clear()
    this.cell.register(this)
  }

  endRun (task: string, ending: RunOutcome): void {
    const { run } = this.running.get(task)!
    this.running.delete(task)
    this.highestEndedRuns.set(task, Math.max(run, this.highestEndedRuns.get(task) ?? 0))
    const end = new ModelEnd(this.id, { position: ++this.lastPosition, task, run, ending, checkpoint: '' })
    this.ended.push(end)
    if (ending === RunOutcome.Done) this.cell.doneEnds.push(end)
  }

  /** Called on every tick, and before anything that extends the lease, so that no expiry is missed. */
  private expireLease (): void {
    if (this.clockMs() <= this.deadlineMs) return
    for (const end of this.ended) end.lapsed = true
    for (const task of [...this.running.keys()]) this.endRun(task, RunOutcome.LeaseExpired)
  }
}

/** Returns true if a task is a member of the gang. */
function isGangMember (task: string): boolean {
  return task.startsWith(`${GANG_STEP}.`)
}

/** Returns what the end of a task as done completes: the task, or the whole gang. */
function completedBy (task: string): string {
  return isGangMember(task) ? GANG_STEP : task
}

/** Delivers commands, loses them, or executes them only after their timeout. */
class ModelFleet extends Fleet {
  override readonly maxReportedEnds = MAX_REPORTED_ENDS

  constructor (private readonly workers: ReadonlyMap<string, ModelWorker>) {
    super()
  }

  override async start (worker: Worker, command: StartCommand): Promise<Result<number, WorkerFailure>> {
    return await this.deliver(worker, (model) => model.start(command), COMMAND_TIMEOUT_MS)
  }

  override async stop (worker: Worker, command: RunCommand): Promise<Result<number, WorkerFailure>> {
    return await this.deliver(worker, (model) => model.stop(command), COMMAND_TIMEOUT_MS)
  }

  override async throttle (): Promise<Result<number, WorkerFailure>> {
    return ok(0)
  }

  override async requestReport (worker: Worker, command: ReportCommand): Promise<Result<Report, WorkerFailure>> {
    if (command.waitMs > 0) await new Promise((resolve) => setTimeout(resolve, 60))
    return await this.deliver(worker, (model) => model.requestReport(command), COMMAND_TIMEOUT_MS)
  }

  override closeConnections (): void {}

  private async deliver<T> (
    worker: Worker, execute: (model: ModelWorker) => Result<T, WorkerFailure>, timeoutMs: number
  ): Promise<Result<T, WorkerFailure>> {
    const model = this.workers.get(worker.id)!
    await new Promise((resolve) => setTimeout(resolve, 3))
    if (model.reachable && model.answersInTime) return execute(model)
    if (model.reachable) {
      setTimeout(() => { if (model.reachable) execute(model) }, model.lateMs)
    }
    await new Promise((resolve) => setTimeout(resolve, timeoutMs))
    return err(WorkerFailure.NoAnswer)
  }
}

/** Workers, a store and successive owners. An earlier owner is not notified that it was superseded. */
class Cell {
  readonly violations: string[] = []
  /** Ends as done, acknowledged or not. */
  readonly doneEnds: ModelEnd[] = []
  /** Starts of tasks of which an earlier run had ended as done. They are wrong if that end is acknowledged, also if later. */
  private readonly repeatedStarts: Array<{ readonly start: string, readonly end: ModelEnd }> = []
  readonly store = new FakeStore()
  readonly workers = new Map<string, ModelWorker>()
  private readonly fleet = new ModelFleet(this.workers)
  private readonly clock = new SystemClock()
  private readonly owners: Owner[] = []
  private epoch = 0

  /** @param gangEndGapMs how much later than the first member of the gang the second one ends */
  constructor (private readonly gangEndGapMs: number) {
    for (const id of WORKERS) {
      const worker = new ModelWorker(id, this)
      this.workers.set(id, worker)
      this.register(worker)
    }
  }

  register (worker: ModelWorker): void {
    const capacity = { cpuMilli: 5000, memoryMb: 9000, accelerators: 0 }
    const entry = createWorker({ id: worker.id, born: worker.born, clockMs: worker.clockMs(), capacity })
    this.store.put(Topic.Workers, { key: worker.id, value: Buffer.from(JSON.stringify(entry)) })
    worker.registered = true
  }

  removeEntry (worker: ModelWorker): void {
    this.store.put(Topic.Workers, { key: worker.id, value: undefined })
    worker.registered = false
  }

  /** Lets a worker fail for good, unless another one has, so that two remain. */
  lose (worker: ModelWorker): void {
    if ([...this.workers.values()].some(({ lost }) => lost)) return
    worker.lost = true
    worker.reachable = false
    this.removeEntry(worker)
  }

  /** Ends all faults of a worker. */
  recover (worker: ModelWorker): void {
    Object.assign(worker, { reachable: true, answersInTime: true, healthy: true })
    if (!worker.registered) this.register(worker)
  }

  /** Checks a start as the worker sees it. */
  onStart (worker: ModelWorker, task: string, run: number): void {
    for (const end of this.doneEnds) {
      if (completedBy(end.reported.task) !== completedBy(task)) continue
      this.repeatedStarts.push({ start: `${task}#${run} starts on ${worker.id}`, end })
    }
    for (const other of this.workers.values()) {
      if (other !== worker && other.running.has(task)) this.violations.push(`${task} starts on ${worker.id} and runs on ${other.id}`)
    }
    const journalState = this.readJournal()
    const [job, occurrence, step, index] = task.split('.')
    const entry = journalState.jobs.get(job!)
    if (entry === undefined) {
      this.violations.push(`${task} was never accepted`)
      return
    }
    if (entry.tasks.get(`${occurrence}.${step}.${index}`)?.stage === Stage.Done) {
      this.violations.push(`${task} starts though it is done`)
    }
    for (const earlier of entry.job.steps[Number(step)]!.after) {
      if (!entry.isStepDone(Number(occurrence), earlier)) this.violations.push(`${task} starts before step ${earlier} is done`)
    }
  }

  /** Checks an acknowledgement: the end is not reported again, so a successor must be able to read what it changes. */
  onAcknowledged (end: ModelEnd): void {
    end.acknowledged = true
    const { task, run } = end.reported
    const { job, key } = splitTask(task)
    const entry = this.readJournal().jobs.get(job)
    const state = entry?.tasks.get(key)
    const isAssigned = state?.stage === Stage.Assigned && state.run === run
    const isJobOver = entry === undefined || isFinal(entry.phase)
    const isUnreadable = end.isBinding ? state?.stage !== Stage.Done && !isJobOver : isAssigned
    if (!isUnreadable) return
    const shown = state === undefined ? 'no run' : `run ${state.run} as ${Stage[state.stage]}`
    this.violations.push(`the ${end.toString()} is acknowledged, and the journal shows ${shown}`)
  }

  /** Adds the starts that an acknowledged end as done excludes. */
  checkRepeatedStarts (): void {
    for (const { start, end } of this.repeatedStarts) {
      if (end.isBinding) this.violations.push(`${start} after the ${end.toString()}, which is acknowledged`)
    }
  }

  /** Builds the state of the cell from the current journal. */
  readJournal (): JournalState {
    const journalState = new JournalState()
    for (const record of this.store.records[Topic.Journal]) journalState.apply(record)
    return journalState
  }

  /** Compares, after each record of the journal, a node that reads the newest records with one that has followed the journal. */
  compareReaders (): void {
    const records = this.store.records[Topic.Journal]
    for (const [index, { key }] of records.entries()) {
      const followed = records.slice(0, index + 1)
      if (key.startsWith(Subject.Heartbeat)) continue
      if (describeState(stateOf(newestOf(followed))) === describeState(stateOf(followed))) continue
      this.violations.push(`the state read from scratch differs after record ${index}`)
      return
    }
  }

  /**
   * Lets the members of the gang work from the time when all of them run. If one ends before its work is done, the others are broken;
   * if one does not start in time, the others end alone.
   */
  tickGang (): void {
    const members = [...this.workers.values()].flatMap((model) => (
      [...model.running].filter(([task]) => isGangMember(task)).map(([task, active]) => ({ model, task, active }))
    ))
    for (const { model, task, active } of members) {
      const waitedMs = model.clockMs() - active.startedMs
      const others = members.filter((other) => other.active.run === active.run)
      if (this.doneEnds.some(({ reported }) => isGangMember(reported.task) && reported.run === active.run)) continue
      const gapMs = task === `${GANG_STEP}.0` ? 0 : this.gangEndGapMs
      if (others.length === GANG_SIZE && active.untilMs === Infinity) active.untilMs = model.clockMs() + GANG_MS + gapMs
      else if (others.length < GANG_SIZE && active.untilMs < Infinity) model.endRun(task, RunOutcome.GangBroken)
      else if (others.length < GANG_SIZE && waitedMs > GANG_TIMEOUT_MS) model.endRun(task, RunOutcome.GangIncomplete)
    }
  }

  startOwner (): void {
    this.epoch = epochAfter(this.epoch)
    this.store.put(Topic.Journal, encodeRecord(Subject.Owner, 'cell', { epoch: this.epoch, node: 'n', incarnation: `${this.epoch}` }))
    // The claim fences earlier owners even while the store loses answers.
    this.store.claim(this.epoch, 0)
    const owner = new Owner(createOwnerOptions({
      epoch: this.epoch,
      journalState: this.readJournal(),
      store: new StoreAccess(this.store, async (call) => await this.store.call(call), this.clock, () => {}),
      fleet: this.fleet,
      clock: this.clock,
      configuration: () => CONFIGURATION,
      settings: { leaseMs: LEASE_MS, farFactor: 2, keptMs: 1e9, stopMs: 200 }
    }))
    this.owners.push(owner)
    owner.run().catch((error: unknown) => { throw error })
  }

  async append (record: ReturnType<typeof encodeJob>): Promise<void> {
    await this.owners.at(-1)!.append([record], 500)
  }

  /** Closes all owners without a further write, and starts a successor once the store answers. */
  replaceOwner (): void {
    this.close()
    this.store.fault = undefined
    this.startOwner()
  }

  close (): void {
    for (const owner of this.owners) owner.close()
  }
}

const worker = fc.constantFrom(...WORKERS)
const anyEvent = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('take over' as const, 'replace owner' as const) }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'disconnect' as const, 'reconnect' as const, 'restart' as const, 'refuse starts' as const,
        'remove entry' as const, 'lose' as const),
      worker
    })
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'store refuses' as const, 'store refuses appends' as const, 'store loses answers' as const, 'store answers' as const)
    })
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('delay commands' as const), worker, lateMs: fc.constantFrom(...LATE_EXECUTIONS_MS) })
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), job: fc.constantFrom(...JOBS) }) }
)
type CellEvent = typeof anyEvent extends fc.Arbitrary<infer T> ? T : never
/** Events, each with the time since the one before. */
type Schedule = ReadonlyArray<readonly [number, CellEvent]>

const anyDelayMs = fc.oneof(
  { weight: 14, arbitrary: fc.integer({ min: 0, max: 1500 }) },
  // Long enough for a worker without an entry to be forgotten.
  { weight: 1, arbitrary: fc.integer({ min: 7000, max: 11_000 }) }
)

/** What a schedule starts from. */
interface Setting {
  /** Workers that refuse starts when the jobs are accepted. */
  readonly refusing?: readonly string[]
  /** How much later than the first member of the gang the second one ends. */
  readonly gangEndGapMs?: number
}

const anySetting = fc.record({ refusing: fc.subarray(WORKERS), gangEndGapMs: fc.constantFrom(0, 100, 700) })

function applyEvent (cell: Cell, event: CellEvent): void {
  if ('worker' in event) return applyToWorker(cell, cell.workers.get(event.worker)!, event)
  switch (event.kind) {
    case 'take over': return cell.startOwner()
    case 'replace owner': return cell.replaceOwner()
    case 'store refuses':
      cell.store.fault = () => StoreFailure.Refused
      cell.store.loseAnswers = false
      return
    case 'store refuses appends':
      cell.store.fault = (call) => 'append' in call ? StoreFailure.Refused : undefined
      cell.store.loseAnswers = false
      return
    case 'store loses answers':
      cell.store.fault = (call) => 'append' in call ? StoreFailure.NoAnswer : undefined
      cell.store.loseAnswers = true
      return
    case 'store answers':
      cell.store.fault = undefined
      return
    case 'cancel':
      cell.append(encodeRecord(Subject.Cancellation, event.job, { atMs: 1 })).catch((error: unknown) => { throw error })
  }
}

function applyToWorker (cell: Cell, model: ModelWorker, event: Extract<CellEvent, { worker: string }>): void {
  if (model.lost) return
  switch (event.kind) {
    case 'disconnect':
      model.reachable = false
      return
    case 'delay commands':
      model.answersInTime = false
      model.lateMs = event.lateMs
      return
    case 'refuse starts':
      model.healthy = false
      return
    case 'reconnect': return cell.recover(model)
    case 'restart': return model.restart()
    case 'remove entry': return cell.removeEntry(model)
    case 'lose': cell.lose(model)
  }
}

async function advance (cell: Cell, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 50) {
    await vi.advanceTimersByTimeAsync(50)
    for (const model of cell.workers.values()) model.tick()
    cell.tickGang()
  }
}

async function runSchedule (events: Schedule, { refusing = [], gangEndGapMs = 0 }: Setting = {}): Promise<string[]> {
  const cell = new Cell(gangEndGapMs)
  cell.startOwner()
  await advance(cell, 200)
  for (const id of refusing) cell.workers.get(id)!.healthy = false
  const last = createStep({ count: 2, after: [0] })
  const gang = createStep({ count: GANG_SIZE, gang: true, size: { cpuMilli: 2000, memoryMb: 1000, accelerators: 0 } })
  for (const id of JOBS) {
    const steps = [id === GANG_JOB ? gang : createStep({ count: 3 }), last]
    const submitting = cell.append(encodeJob(createJob({ id, workspace: '', steps, acceptedMs: Date.now() })))
    await advance(cell, 100)
    await submitting
  }
  for (const [afterMs, event] of events) {
    await advance(cell, afterMs)
    applyEvent(cell, event)
  }
  cell.store.fault = undefined
  for (const model of cell.workers.values()) {
    if (!model.lost) cell.recover(model)
  }
  await advance(cell, RECOVERY_MS)
  const journalState = cell.readJournal()
  for (const id of JOBS) {
    if (!isFinal(journalState.jobs.get(id)!.visiblePhase())) {
      cell.violations.push(`${id} is ${journalState.jobs.get(id)!.visiblePhase()}`)
    }
  }
  for (const model of cell.workers.values()) {
    for (const task of model.running.keys()) cell.violations.push(`${task} is still running on ${model.id}`)
  }
  cell.close()
  await advance(cell, 2000)
  cell.checkRepeatedStarts()
  cell.compareReaders()
  return cell.violations
}

beforeEach(() => {
  vi.useFakeTimers()
  // Retry delays have random jitter; a schedule must give the same result each time.
  vi.spyOn(Math, 'random').mockReturnValue(0.5)
})
afterEach(() => {
  vi.useRealTimers()
  vi.restoreAllMocks()
})

describe('owners, workers and a store under faults', () => {
  it.each<[string, Schedule, Setting?]>([
    // Guards against a gang that a successor places again while a member of its former run is still being stopped.
    ['the owner changes while a member of a gang that could not start as a whole is being stopped',
      [[50, { kind: 'take over' }], [400, { kind: 'take over' }]], { refusing: ['w2', 'w3'] }],
    ['a disconnected worker restarts while assignments wait for the store', [
      [0, { kind: 'store refuses' }],
      [0, { kind: 'restart', worker: 'w2' }],
      [1, { kind: 'disconnect', worker: 'w2' }],
      [0, { kind: 'restart', worker: 'w2' }],
      [51, { kind: 'store refuses' }]
    ]],
    // Both guard against a gang that runs again, although the end of its second member was acknowledged: that end changed nothing, while
    // the store still refused the change by the first one.
    ['a worker is lost and the owner ends before the end of a gang is in the journal', [
      [1600, { kind: 'store refuses appends' }],
      [700, { kind: 'lose', worker: 'w1' }],
      [100, { kind: 'replace owner' }]
    ], { gangEndGapMs: 100 }],
    ['a worker restarts and the owner ends before the end of a gang is in the journal', [
      [1600, { kind: 'store refuses appends' }],
      [700, { kind: 'restart', worker: 'w1' }],
      [100, { kind: 'replace owner' }]
    ], { gangEndGapMs: 100 }],
    // Guards against a task that runs again, although its end was acknowledged: a new session with its worker did not know that the
    // change by that end was still pending.
    ['a forgotten worker is found again while its ended runs wait for the store', [
      [0, { kind: 'cancel', job: GANG_JOB }],
      [2800, { kind: 'remove entry', worker: 'w2' }],
      [1800, { kind: 'store refuses appends' }],
      [7600, { kind: 'disconnect', worker: 'w2' }],
      [1700, { kind: 'reconnect', worker: 'w2' }],
      [800, { kind: 'lose', worker: 'w2' }],
      [0, { kind: 'replace owner' }]
    ]]
  ])('keep their guarantees when %s', async (_, schedule, setting) => {
    expect(await runSchedule(schedule, setting)).toEqual([])
  })

  it('run no task twice at once, none after it is done or before its dependencies, and end all jobs', async () => {
    const events = fc.array(fc.tuple(anyDelayMs, anyEvent), { maxLength: 12 })
    await fc.assert(fc.asyncProperty(events, anySetting, async (schedule, setting) => {
      expect(await runSchedule(schedule, setting)).toEqual([])
    }), { numRuns: 40, seed: SEED, endOnFailure: false })
  }, 120_000)
})
