import { err, ok, type Result } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { encodeJob } from '../../src/journal/record.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Configuration } from '../../src/model/configuration.js'
import { Phase } from '../../src/model/job.js'
import { RunOutcome, type ActiveRun, type EndedRun, type Report } from '../../src/model/worker.js'
import { Owner } from '../../src/owner/owner.js'
import { WorkerFailure, type ReportCommand, type StartCommand } from '../../src/ports/fleet.js'
import { StoreFailure, Topic, type StoreCall } from '../../src/ports/store.js'
import { newestOf, stateOf } from '../journal/steady-cell.js'
import { FakeFleet, FakeStore, createJob, createOwnerOptions, createQueue, createStep, createWorker } from '../fakes.js'

const EARLIER_JOBS = ['00000000000000a1', '00000000000000a2', '00000000000000a3']
const ID = '00000000000000bb'
const TASK = `${ID}.0.0.0`
const CONFIGURATION: Configuration = {
  version: 1,
  queues: [createQueue({ attempts: 2 })],
  upstreams: [{ name: 'planner', checksRoom: false, spare: false }],
  workspaces: [],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}
/** Longest time after which a worker still carries out a call that was not answered. */
const MAX_CALL_DELAY_MS = 12_000
const LONG_POLL_STEP_MS = 5

/** A worker that may restart under its id, and that may carry out a report request long after it was sent. */
class RestartingWorker {
  born = 10
  running: ActiveRun[] = []
  ended: EndedRun[] = []
  /** Ends of the current incarnation that were acknowledged, as far as it had them. */
  acknowledged: EndedRun[] = []
  /** Report requests that were not answered and have not been carried out. */
  readonly held: ReportCommand[] = []
  /** Whether new report requests are held. */
  holds = false
  /** Starts that were not answered and have not been carried out. */
  readonly heldStarts: StartCommand[] = []
  /** Whether new starts are held. */
  holdsStarts = false
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
    this.holdsStarts = false
  }

  async start (command: StartCommand): Promise<Result<number, WorkerFailure>> {
    if (this.holdsStarts) {
      this.heldStarts.push(command)
      await sleep(100)
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
    if (this.holds) {
      this.held.push(command)
      await sleep(100)
      return err(WorkerFailure.NoAnswer)
    }
    for (let waitedMs = 0; waitedMs < command.waitMs && this.ended.length === 0; waitedMs += LONG_POLL_STEP_MS) {
      await sleep(LONG_POLL_STEP_MS)
      if (this.born !== born) return err(WorkerFailure.NoAnswer)
    }
    return this.carryOut(command)
  }
}

/** A store, one worker and successive owners. */
class Cell {
  readonly store = new FakeStore()
  readonly worker = new RestartingWorker()
  readonly started: string[] = []
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

  async accept (id: string): Promise<void> {
    const steps = [createStep({ estimateMs: 60_000 })]
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
    const owner = new Owner(createOwnerOptions({
      epoch: ++this.epoch,
      journalState,
      store: new StoreAccess(this.store, async (call) => await this.store.call(call), this.clock, () => {}),
      fleet: this.fleet,
      clock: this.clock,
      configuration: () => CONFIGURATION
    }))
    owner.run().catch((error: unknown) => { throw error })
    return owner
  }
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

async function advance (ms: number): Promise<void> {
  await vi.advanceTimersByTimeAsync(ms)
}

let cell: Cell
beforeEach(async () => {
  vi.useFakeTimers()
  // Retry delays have random jitter.
  vi.spyOn(Math, 'random').mockReturnValue(0.5)
  cell = new Cell()
  await advance(300)
})
afterEach(async () => {
  cell.owner.close()
  await advance(5000)
  vi.useRealTimers()
  vi.restoreAllMocks()
})

/** Lets three ends be acknowledged, and holds all requests that the worker receives afterwards. */
async function acknowledgeAndHold (): Promise<void> {
  const { worker } = cell
  for (const id of EARLIER_JOBS) await cell.accept(id)
  for (const id of EARLIER_JOBS) worker.end(`${id}.0.0.0`)
  await advance(200)
  expect(worker.acknowledged).toHaveLength(3)
  worker.holds = true
}

/** Waits until a report request is held that acknowledges the three ends. */
async function waitForHeldReport (): Promise<void> {
  const { worker } = cell
  worker.holds = true
  for (let waitedMs = 0; waitedMs < 3000 && worker.held.length === 0; waitedMs += 5) await advance(5)
  expect(worker.held.length).toBeGreaterThan(0)
}

/** Restarts the worker and waits until it runs a new task, or can have no call to its former incarnation left to carry out. */
async function restartAndPlace (): Promise<void> {
  const { worker } = cell
  worker.restart()
  cell.register()
  await cell.accept(ID)
  for (let waitedMs = 0; waitedMs < MAX_CALL_DELAY_MS && worker.running.length === 0; waitedMs += 100) await advance(100)
}

/** Carries out the requests to the former incarnation that are still held. */
function carryOutHeld (): void {
  for (const command of cell.worker.held.splice(0)) cell.worker.carryOut(command)
}

describe('a report request that a worker carries out after it has restarted under its id', () => {
  // Guards against a task that runs again, or whose job never completes, because an end was acknowledged by the position that an end
  // of the former incarnation had.
  it.each<{ says: string, hold: () => Promise<void> }>([
    {
      says: 'repeats an acknowledgement',
      hold: async () => {
        await acknowledgeAndHold()
        await waitForHeldReport()
      }
    },
    {
      says: 'is the first one to acknowledge',
      hold: async () => {
        const { worker } = cell
        for (const id of EARLIER_JOBS) await cell.accept(id)
        for (const id of EARLIER_JOBS) worker.end(`${id}.0.0.0`)
        // The ends are read and written, and not acknowledged yet.
        const isWritten = (): boolean => cell.stored().jobs.get(EARLIER_JOBS[2]!)?.visiblePhase() === Phase.Completed
        for (let waitedMs = 0; waitedMs < 100 && !isWritten(); waitedMs++) await advance(1)
        expect(worker.acknowledged).toEqual([])
        await waitForHeldReport()
        expect(worker.held[0]!.acknowledged).toBe(3)
      }
    }
  ])('acknowledges no end that the owner has not read: it $says', async ({ hold }) => {
    const { worker } = cell
    await hold()
    await restartAndPlace()
    if (worker.running.length === 0) carryOutHeld()
    await advance(2000)
    worker.end(TASK)
    carryOutHeld()
    await advance(60_000)
    expect({ phase: cell.stored().jobs.get(ID)?.visiblePhase(), started: cell.startsOf(TASK) }).toEqual({
      phase: Phase.Completed, started: [`${TASK}#1`]
    })
  })

  it('acknowledges no end that only the owner knows', async () => {
    const { worker } = cell
    await acknowledgeAndHold()
    await waitForHeldReport()
    await restartAndPlace()
    if (worker.running.length === 0) carryOutHeld()
    await advance(2000)
    cell.refuseAppends(true)
    worker.end(TASK)
    await advance(1000)
    carryOutHeld()
    const acknowledged = worker.acknowledged.map(({ task }) => task)
    await cell.takeOver()
    expect({ acknowledged, started: cell.startsOf(TASK) }).toEqual({ acknowledged: [], started: [`${TASK}#1`] })
  })

  it('acknowledges no end of a run that it starts late, before the owner knows of the restart', async () => {
    const { worker } = cell
    await acknowledgeAndHold()
    worker.holds = false
    worker.holdsStarts = true
    await cell.accept(ID)
    worker.holds = true
    await advance(50)
    worker.restart()
    for (const command of worker.heldStarts) worker.carryOutStart(command)
    worker.end(TASK)
    worker.holds = false
    await advance(60_000)
    expect({ phase: cell.stored().jobs.get(ID)?.visiblePhase(), started: cell.startsOf(TASK) }).toEqual({
      phase: Phase.Completed, started: [`${TASK}#1`]
    })
  })
})
