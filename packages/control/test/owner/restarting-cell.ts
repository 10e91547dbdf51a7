/**
 * A cell of one worker, which may restart under its id, and successive owners.
 */
import { err, ok, type Result } from 'neverthrow'
import { vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { encodeJob } from '../../src/journal/record.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Configuration } from '../../src/model/configuration.js'
import { Phase, type Step } from '../../src/model/job.js'
import { RunOutcome, type ActiveRun, type EndedRun, type Report } from '../../src/model/worker.js'
import { epochAfter } from '../../src/owner/fence.js'
import { Owner } from '../../src/owner/owner.js'
import { WorkerFailure, type ReportCommand, type StartCommand } from '../../src/ports/fleet.js'
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

/** A worker that may restart under its id, and that may carry out a report request long after it was sent. */
export class RestartingWorker {
  born = 10
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

  clockMs (): number {
    return Math.floor(performance.now() - this.startedMs)
  }

  restart (): void {
    this.born += 10
    this.startedMs = performance.now()
    this.fence = 0
    this.position = 0
    this.running = []
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

  carryOutStart ({ task, run, fence }: StartCommand): Result<number, WorkerFailure> {
    if (!this.accepts(fence)) return err(WorkerFailure.Fenced)
    this.running.push({ task, run, checkpoint: '', progress: 100, load: 0 })
    return ok(this.clockMs())
  }

  end (task: string): void {
    const run = this.running.find((active) => active.task === task)!
    this.running = this.running.filter((active) => active !== run)
    this.ended.push({ position: ++this.position, task, run: run.run, ending: RunOutcome.Done, checkpoint: '' })
  }

  /** Drops a run without an end. */
  forget (task: string): void {
    this.running = this.running.filter((active) => active.task !== task)
  }

  carryOut ({ fence, acknowledged }: ReportCommand): Result<Report, WorkerFailure> {
    if (!this.accepts(fence)) return err(WorkerFailure.Fenced)
    this.acknowledged.push(...this.ended.filter((end) => end.position <= acknowledged))
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

/** A store, one worker and successive owners. Call it with fake timers. */
export class RestartingCell {
  readonly store = new FakeStore()
  readonly worker = new RestartingWorker()
  readonly started: string[] = []
  /** Names of the decisions that the owners have logged. */
  readonly lines: string[] = []
  readonly clock = new SystemClock()
  owner: Owner
  private readonly fleet = new FakeFleet()
  private epoch = 0

  constructor () {
    this.register()
    this.fleet.start = async (_, command) => {
      this.started.push(`${command.task}#${command.run}`)
      return await this.worker.start(command)
    }
    this.fleet.stop = async () => ok(this.worker.clockMs())
    this.fleet.requestReport = (_, command) => this.worker.report(command)
    this.owner = this.startOwner(new JournalState())
  }

  register (): void {
    const { born } = this.worker
    const entry = createWorker({ id: 'w1', born, clockMs: this.worker.clockMs(), capacity: { cpuMilli: 4000, memoryMb: 9000, accelerators: 0 } })
    this.store.put(Topic.Workers, { key: 'w1', value: Buffer.from(JSON.stringify(entry)) })
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

  async takeOver (): Promise<void> {
    this.owner.close()
    this.refuseAppends(false)
    this.owner = this.startOwner(this.stored())
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
