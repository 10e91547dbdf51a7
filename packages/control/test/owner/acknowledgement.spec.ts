import { err, ok } from 'neverthrow'
import { describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { encodeJob, encodeRecord, Stage, Subject } from '../../src/journal/record.js'
import { JobEntry, JournalState } from '../../src/journal/journal-state.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Configuration } from '../../src/model/configuration.js'
import { isFinal, Phase, type Step } from '../../src/model/job.js'
import { RunOutcome, splitTask, type ActiveRun, type EndedRun } from '../../src/model/worker.js'
import { epochAfter } from '../../src/owner/fence.js'
import { Owner } from '../../src/owner/owner.js'
import { WorkerFailure } from '../../src/ports/fleet.js'
import { StoreFailure, Topic, type StoreCall } from '../../src/ports/store.js'
import { newestOf, stateOf } from '../journal/steady-cell.js'
import { FakeFleet, FakeStore, createJob, createOwnerOptions, createQueue, createStep, createWorker } from '../fakes.js'
import { advance, playWithFakeTimers } from './restarting-cell.js'

const ID = '00000000000000aa'
const OTHER_ID = '00000000000000bb'
const CONFIGURATION: Configuration = {
  version: 1,
  queues: [createQueue({ attempts: 2 })],
  upstreams: [{ name: 'planner', checksRoom: false, spare: false }],
  workspaces: [],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}
/** Fills a worker. */
const LARGE = { cpuMilli: 4000, memoryMb: 1000, accelerators: 0 }
const SMALL = { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 }
/** Longer than a successor waits for a worker that it cannot reach. */
const TAKEOVER_MS = 25_000

/** A worker whose runs end when a test ends them or the owner stops them. */
class TestWorker {
  reachable = true
  running: ActiveRun[] = []
  /** Ends that are not acknowledged. */
  ended: EndedRun[] = []
  /** Start time of the current incarnation. */
  born = 10
  private position = 0

  /** Starts again under the same id, with nothing of before. */
  restart (): void {
    Object.assign(this, { running: [], ended: [], born: this.born + 10, position: 0 })
  }

  end (task: string, ending: RunOutcome): void {
    const run = this.running.find((active) => active.task === task)
    if (run === undefined) return
    this.running = this.running.filter((active) => active !== run)
    this.ended.push({ position: ++this.position, task, run: run.run, ending, checkpoint: '' })
  }
}

/** A store, three workers and successive owners. */
class Cell {
  readonly store = new FakeStore()
  readonly workers = new Map(['w1', 'w2', 'w3'].map((id) => [id, new TestWorker()]))
  /** Ends that were acknowledged. */
  readonly acknowledged: EndedRun[] = []
  /** Names of the tasks whose ends were acknowledged while the journal did not show them. */
  readonly unread: string[] = []
  /** Names and run numbers of the runs that were started, in order. */
  readonly started: string[] = []
  readonly clock = new SystemClock()
  owner: Owner
  private readonly fleet = new FakeFleet()
  private epoch = 0

  constructor () {
    for (const id of this.workers.keys()) this.register(id)
    this.fleet.start = async ({ id }, { task, run }) => {
      const worker = this.workers.get(id)!
      if (!worker.reachable) return err(WorkerFailure.NoAnswer)
      this.onStart(worker, task)
      worker.running.push({ task, run, checkpoint: '', progress: 100, load: 0 })
      this.started.push(`${task}#${run}`)
      return ok(workerClock())
    }
    this.fleet.stop = async ({ id }, { task }) => {
      const worker = this.workers.get(id)!
      if (!worker.reachable) return err(WorkerFailure.NoAnswer)
      if (this.stops) worker.end(task, RunOutcome.Stopped)
      return ok(workerClock())
    }
    this.fleet.requestReport = async ({ id }, { acknowledged, waitMs }) => {
      await sleep(Math.min(waitMs, 20))
      const worker = this.workers.get(id)!
      if (!worker.reachable) return err(WorkerFailure.NoAnswer)
      for (const end of worker.ended) {
        if (end.position <= acknowledged) this.recordAcknowledgement(end)
      }
      worker.ended = worker.ended.filter((end) => end.position > acknowledged)
      return ok({ born: worker.born, clockMs: workerClock(), running: [...worker.running], ended: [...worker.ended] })
    }
    this.owner = this.startOwner(new JournalState())
  }

  /** Whether workers carry out stops. */
  stops = true
  /** Called before a worker carries out a start. */
  onStart: (worker: TestWorker, task: string) => void = () => {}

  register (id: string): void {
    const entry = createWorker({ id, address: `10.0.0.${id.slice(1)}:80`, capacity: { ...LARGE, memoryMb: 9000 } })
    this.store.put(Topic.Workers, { key: id, value: Buffer.from(JSON.stringify(entry)) })
  }

  /** Makes the store refuse all appends, or answer them again. */
  refuseAppends (refuses: boolean): void {
    this.store.fault = refuses ? (call: StoreCall) => 'append' in call ? StoreFailure.Refused : undefined : undefined
  }

  async accept (id: string, step: Partial<Step>): Promise<void> {
    const steps = [createStep(step)]
    const accepting = this.owner.append([encodeJob(createJob({ id, workspace: '', steps, acceptedMs: this.clock.wall() }))], 500)
    await advance(300)
    await accepting
  }

  /** Ends the run of a task on whichever worker it is. */
  end (task: string, ending = RunOutcome.Done): void {
    for (const worker of this.workers.values()) worker.end(task, ending)
  }

  /** Lets the worker of a task fail with all that it holds. */
  loseWorkerOf (task: string): void {
    for (const worker of this.workers.values()) {
      if ([...worker.running, ...worker.ended].some((run) => run.task === task)) worker.reachable = false
    }
  }

  /** Ends the owner without a further write, and lets a successor take over what the journal holds. */
  async takeOver (): Promise<JournalState> {
    this.owner.close()
    this.refuseAppends(false)
    const journalState = this.readJournal()
    this.owner = this.startOwner(journalState)
    await advance(TAKEOVER_MS)
    return journalState
  }

  /**
   * Returns the tasks that were started again although the end of one of their runs as done was acknowledged. In a gang, one such end
   * stands for all members.
   */
  startedAgain (gang = false): string[] {
    const nameOf = (task: string): string => gang ? task.slice(0, task.lastIndexOf('.')) : task
    const done = new Set(this.acknowledged.filter(({ ending }) => ending === RunOutcome.Done).map(({ task }) => nameOf(task)))
    return this.started.filter((name) => !name.endsWith('#1') && done.has(nameOf(name.split('#')[0]!)))
  }

  /** Returns what a successor would read now. */
  readJournal (): JournalState {
    return stateOf(newestOf(this.store.records[Topic.Journal]))
  }

  private recordAcknowledgement (end: EndedRun): void {
    this.acknowledged.push(end)
    const { job, key } = splitTask(end.task)
    const entry = this.readJournal().jobs.get(job)
    const task = entry?.tasks.get(key)
    if (entry === undefined || isFinal(entry.phase)) return
    const isAssigned = task?.stage === Stage.Assigned && task.run === end.run
    const isRead = end.ending === RunOutcome.Done ? task?.stage === Stage.Done : !isAssigned
    if (!isRead) this.unread.push(end.task)
  }

  private startOwner (journalState: JournalState): Owner {
    this.epoch = epochAfter(this.epoch)
    const owner = new Owner(createOwnerOptions({
      epoch: this.epoch,
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

function workerClock (): number {
  return 5000 + Math.floor(performance.now())
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Makes the first calls of a method with matching arguments throw. */
function failFor<Name extends string, T> (
  target: Record<Name, (argument: T) => unknown>, name: Name, matches: (argument: T) => boolean, failures: number
): { mockRestore: () => void } {
  const method = target[name].bind(target)
  let count = 0
  return vi.spyOn(target, name as never).mockImplementation(((argument: T) => {
    if (matches(argument) && count++ < failures) throw new Error('unexpected')
    return method(argument)
  }) as never)
}

let cell: Cell
playWithFakeTimers(() => (cell = new Cell()))

describe('ended runs whose changes are not in the journal', () => {
  // Guards against a task that runs again after a takeover, although the end of its run was acknowledged: that end changed nothing,
  // while the store still refused the change by an earlier one.
  it.each<{ says: string, step: Partial<Step>, play: () => Promise<void> }>([
    {
      says: 'of another member, on another worker',
      step: { count: 2, gang: true, size: LARGE },
      play: async () => {
        cell.stops = false
        cell.end(`${ID}.0.0.0`)
        await advance(200)
        cell.end(`${ID}.0.0.1`)
        await advance(1500)
        cell.loseWorkerOf(`${ID}.0.0.0`)
      }
    },
    {
      says: 'of another member, in a later report',
      step: { count: 2, gang: true, size: SMALL },
      play: async () => {
        cell.stops = false
        cell.end(`${ID}.0.0.0`)
        await advance(200)
        cell.end(`${ID}.0.0.1`)
        await advance(1500)
      }
    },
    {
      says: 'on a worker that is found again',
      step: { size: SMALL, estimateMs: 60_000 },
      play: async () => {
        cell.refuseAppends(false)
        for (const id of cell.workers.keys()) cell.store.put(Topic.Workers, { key: id, value: undefined })
        await advance(11_000)
        cell.refuseAppends(true)
        await advance(200)
        cell.end(`${ID}.0.0.0`)
        await advance(100)
        for (const worker of cell.workers.values()) worker.reachable = false
        await advance(2500)
        for (const [id, worker] of cell.workers) {
          worker.reachable = true
          cell.register(id)
        }
        await advance(3000)
      }
    }
  ])('are not acknowledged: the end $says', async ({ step, play }) => {
    await cell.accept(ID, step)
    cell.refuseAppends(true)
    await play()
    const acknowledged = [...cell.acknowledged]
    await cell.takeOver()
    expect({ acknowledged, unread: cell.unread, startedAgain: cell.startedAgain(step.gang) })
      .toEqual({ acknowledged: [], unread: [], startedAgain: [] })
  })

  it('are acknowledged once the journal has the change, also those that changed nothing', async () => {
    await cell.accept(ID, { count: 2, gang: true, size: LARGE })
    cell.refuseAppends(true)
    cell.end(`${ID}.0.0.0`)
    await advance(200)
    cell.end(`${ID}.0.0.1`)
    await advance(1500)
    cell.refuseAppends(false)
    await advance(3000)
    expect(cell.acknowledged.map(({ task }) => task).sort()).toEqual([`${ID}.0.0.0`, `${ID}.0.0.1`])
    const successor = await cell.takeOver()
    expect([successor.jobs.get(ID)?.visiblePhase(), cell.started.length]).toEqual([Phase.Completed, 2])
  })

  // Guards against a task that runs again after a takeover, because its end was acknowledged with the end of another job's task after
  // its handling had failed.
  it.each<{ says: string, fail: () => { mockRestore: () => void } }>([
    { says: 'once, before it is applied', fail: () => failFor(cell.owner.ledger, 'find', (name) => name.startsWith(ID), 1) },
    // Guards against a second attempt that finds the task done in memory, and therefore takes its end for one that changes nothing.
    {
      says: 'once, while it is applied',
      fail: () => vi.spyOn(JobEntry.prototype, 'markChanged').mockImplementationOnce(() => { throw new Error('unexpected') })
    },
    { says: 'once, after it is applied', fail: () => failFor(cell.owner.readySteps, 'refresh', ({ job }) => job.id === ID, 1) },
    { says: 'each time', fail: () => failFor(cell.owner.readySteps, 'refresh', ({ job }) => job.id === ID, Infinity) }
  ])('are not acknowledged after an end whose handling fails $says', async ({ fail }) => {
    await cell.accept(ID, { size: SMALL })
    await cell.accept(OTHER_ID, { size: SMALL })
    const failing = fail()
    cell.end(`${ID}.0.0.0`)
    await advance(200)
    cell.end(`${OTHER_ID}.0.0.0`)
    await advance(5000)
    const acknowledged = cell.acknowledged.length
    failing.mockRestore()
    const successor = await cell.takeOver()
    const phases = [ID, OTHER_ID].map((id) => successor.jobs.get(id)?.visiblePhase())
    expect(phases).toEqual([Phase.Completed, Phase.Completed])
    expect({ acknowledged, unread: cell.unread, startedAgain: cell.startedAgain() }).toEqual({
      acknowledged: 2, unread: [], startedAgain: []
    })
  })

  // Guards against a task that runs twice: its worker restarts under its id between two reports and carries out the start, and the
  // next report request acknowledges as many ends as the previous incarnation had listed, so that the worker drops the end unread.
  it('are not acknowledged in place of those of an earlier incarnation of the worker', async () => {
    await cell.accept(OTHER_ID, { size: SMALL })
    const [used] = [...cell.workers.values()].filter(({ running }) => running.length > 0)
    for (const worker of cell.workers.values()) worker.reachable = worker === used
    cell.end(`${OTHER_ID}.0.0.0`)
    await advance(3000)
    expect(cell.acknowledged).toHaveLength(1)
    let starts = 0
    cell.onStart = (worker, task) => {
      if (starts++ > 0) return
      worker.restart()
      setTimeout(() => { worker.end(task, RunOutcome.Done) }, 5)
    }
    await cell.accept(ID, { size: SMALL })
    await advance(5000)
    expect({ startedAgain: cell.startedAgain(), unread: cell.unread }).toEqual({ startedAgain: [], unread: [] })
    expect(cell.readJournal().jobs.get(ID)?.visiblePhase()).toBe(Phase.Completed)
  })

  // Guards against an attempt that a successor does not count, although the end of its run was acknowledged.
  it('are not acknowledged: a failed run of a cancelled job, and of one that is not known', async () => {
    await cell.accept(ID, { size: SMALL })
    cell.stops = false
    const cancelling = cell.owner.append([encodeRecord(Subject.Cancellation, ID, { atMs: cell.clock.wall() })], 500)
    await advance(300)
    await cancelling
    cell.refuseAppends(true)
    cell.end(`${ID}.0.0.0`, RunOutcome.Failed)
    cell.workers.get('w1')!.running.push({ task: `${OTHER_ID}.0.0.0`, run: 1, checkpoint: '', progress: 100, load: 0 })
    await advance(100)
    cell.end(`${OTHER_ID}.0.0.0`, RunOutcome.Done)
    await advance(1500)
    expect(cell.acknowledged).toEqual([])
    cell.refuseAppends(false)
    await advance(3000)
    expect(cell.acknowledged).toHaveLength(2)
  })
})
