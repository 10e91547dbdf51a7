import { Execution, Reason } from '@fireflymount/protocol/refusal'
import { err, ok } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { encodeJob, encodeRecord, Stage, Subject } from '../../src/journal/record.js'
import { Table } from '../../src/journal/table.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Configuration } from '../../src/model/configuration.js'
import { Phase, type Job } from '../../src/model/job.js'
import { Ending, type ActiveRun, type EndedRun, type Worker } from '../../src/model/worker.js'
import { Owner } from '../../src/owner/owner.js'
import { AdviceFailure } from '../../src/ports/advisor.js'
import { StoreFailure, Topic, type KeyedRecord } from '../../src/ports/store.js'
import { SilentLog } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'
import { FakeFleet, FakeStore, createJob, createQueue, createStep, createWorker, NoMachines, PlainFormats } from '../fakes.js'

const CONFIGURATION: Configuration = {
  version: 1,
  queues: [createQueue({ attempts: 2, open: false })],
  upstreams: [{ name: 'planner', checksRoom: false, spare: false }],
  workspaces: [{ name: 'guild', keys: [], weight: 100, upperLimit: { cpuMilli: 3000, memoryMb: 0, accelerators: 0 } }],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}
const ID = '00000000000000aa'

/** One worker that runs what it is told until a test ends it. */
class Scene {
  readonly clock = new SystemClock()
  readonly store = new FakeStore()
  readonly fleet = new FakeFleet()
  readonly table = new Table()
  readonly running: ActiveRun[] = []
  readonly ended: EndedRun[] = []
  private owner: Owner | undefined

  constructor () {
    this.fleet.onStart = (order) => {
      this.running.push({ task: order.task, run: order.run, checkpoint: '', percent: 100, load: 0 })
      return ok(this.workerClock())
    }
    this.fleet.onStop = (order) => {
      this.end(order.task, Ending.Stopped)
      return ok(this.workerClock())
    }
    this.fleet.onRenew = async (order) => {
      const fresh = this.ended.filter((end) => end.position > order.acknowledged)
      if (fresh.length === 0) await new Promise((resolve) => setTimeout(resolve, Math.min(order.waitMs, 20)))
      return ok({
        born: 10,
        clockMs: this.workerClock(),
        running: [...this.running],
        ended: this.ended.filter((end) => end.position > order.acknowledged)
      })
    }
    this.register({})
  }

  /** Writes the worker's entry. */
  register (fields: Partial<Worker>): void {
    this.store.put(Topic.Workers, { key: 'w1', value: Buffer.from(JSON.stringify(createWorker(fields))) })
  }

  /** Begins an ownership on what the table holds. */
  own (epoch: number): Owner {
    const owner = new Owner({
      epoch,
      sequence: 1,
      claimedAt: this.clock.stamp(),
      table: this.table,
      store: new StoreAccess(this.store, async () => err(StoreFailure.Refused), this.clock, () => {}),
      fleet: this.fleet,
      machines: new NoMachines(),
      formats: new PlainFormats(),
      clock: this.clock,
      configuration: () => CONFIGURATION,
      ask: async () => err(AdviceFailure.NoAnswer),
      nodes: () => [],
      terms: { leaseMs: 6000, farFactor: 2, keptMs: 120_000, stopMs: 200 },
      log: new SilentLog(),
      metrics: new Metrics()
    })
    this.owner = owner
    owner.run().catch((error: unknown) => { throw error })
    return owner
  }

  async accept (job: Partial<Job>): Promise<Execution> {
    const accepting = this.owner!.append([encodeJob(createJob({ id: ID, acceptedMs: this.clock.wall(), ...job }))], 500)
    await vi.advanceTimersByTimeAsync(300)
    return await accepting
  }

  /** CompletionHandler a task at the worker. */
  end (task: string, ending: Ending): void {
    const index = this.running.findIndex((run) => run.task === task)
    if (index < 0) return
    const [run] = this.running.splice(index, 1)
    this.ended.push({ position: this.ended.length + 1, task, run: run!.run, ending, checkpoint: '' })
  }

  tasks (): string[] {
    return this.running.map((run) => `${run.task.slice(ID.length + 1)}#${run.run}`)
  }

  phase (): Phase | undefined {
    return this.table.jobs.get(ID)?.visiblePhase()
  }

  close (): void {
    this.owner?.close()
  }

  private workerClock (): number {
    return 5000 + Math.floor(performance.now())
  }
}

let scene: Scene
beforeEach(() => {
  vi.useFakeTimers()
  scene = new Scene()
})
afterEach(async () => {
  scene.close()
  await vi.advanceTimersByTimeAsync(5000)
  vi.useRealTimers()
})

async function pass (ms: number): Promise<void> {
  await vi.advanceTimersByTimeAsync(ms)
}

describe('the owner of the cell', () => {
  it('runs the steps of a job in their order, each task once, and shows it as completed', async () => {
    scene.own(1)
    await pass(200)
    expect(await scene.accept({ steps: [createStep({ count: 2 }), createStep({ after: [0] })] })).toBe(Execution.Run)
    await pass(100)
    expect(scene.tasks()).toEqual(['0.0.0#1', '0.0.1#1'])
    scene.end(`${ID}.0.0.0`, Ending.Done)
    await pass(200)
    expect(scene.tasks()).toEqual(['0.0.1#1'])
    scene.end(`${ID}.0.0.1`, Ending.Done)
    await pass(200)
    expect(scene.tasks()).toEqual(['0.1.0#1'])
    scene.end(`${ID}.0.1.0`, Ending.Done)
    await pass(200)
    expect([scene.phase(), scene.fleet.started.length]).toEqual([Phase.Completed, 3])
  })

  it.each([
    ['fails a job after as many failed runs as its queue allows', Ending.Failed, 2, Phase.Failed],
    ['does not count runs that were stopped', Ending.Stopped, 4, Phase.Active]
  ])('%s', async (_, ending, runs, phase) => {
    scene.own(1)
    await pass(200)
    await scene.accept({})
    for (let run = 0; run < runs; run++) {
      await pass(500)
      scene.end(`${ID}.0.0.0`, ending)
    }
    await pass(1000)
    expect(scene.phase()).toBe(phase)
  })

  it.each([
    ['at once when it failed', Ending.Failed, ['0.0.0#2']],
    ['after a while when it was stopped', Ending.Stopped, []]
  ])('starts a task again %s', async (_, ending, tasks) => {
    scene.own(1)
    await pass(200)
    await scene.accept({})
    scene.end(`${ID}.0.0.0`, ending)
    await pass(80)
    expect(scene.tasks()).toEqual(tasks)
  })

  it('restarts a lasting task however it ends', async () => {
    scene.own(1)
    await pass(200)
    await scene.accept({ steps: [createStep({ lasting: true })] })
    for (const ending of [Ending.Failed, Ending.Failed, Ending.Failed, Ending.Done]) {
      await pass(500)
      scene.end(`${ID}.0.0.0`, ending)
    }
    await pass(500)
    expect([scene.tasks(), scene.phase()]).toEqual([['0.0.0#5'], Phase.Active])
  })

  it('stops all tasks of a cancelled job and starts no more', async () => {
    const owner = scene.own(1)
    await pass(200)
    await scene.accept({ steps: [createStep({ count: 3 })] })
    await pass(200)
    const cancelling = owner.append([encodeRecord(Subject.Cancellation, ID, { atMs: 1 })], 500)
    await pass(1000)
    expect(await cancelling).toBe(Execution.Run)
    expect([scene.tasks(), scene.phase(), scene.fleet.started.length]).toEqual([[], Phase.Cancelled, 3])
  })

  it('starts a gang whole, with one number, and again whole after a member failed', async () => {
    scene.own(1)
    await pass(200)
    await scene.accept({ steps: [createStep({ count: 3, gang: true })] })
    await pass(200)
    expect(scene.tasks()).toEqual(['0.0.0#1', '0.0.1#1', '0.0.2#1'])
    scene.end(`${ID}.0.0.1`, Ending.Failed)
    await pass(1000)
    expect(scene.tasks()).toEqual(['0.0.0#2', '0.0.1#2', '0.0.2#2'])
    scene.end(`${ID}.0.0.0`, Ending.Done)
    await pass(200)
    expect(scene.phase()).toBe(Phase.Completed)
  })

  it('places no gang that its workspace may not run whole', async () => {
    scene.own(1)
    await pass(200)
    await scene.accept({ steps: [createStep({ count: 4, gang: true })] })
    await pass(1000)
    expect(scene.fleet.started).toEqual([])
  })

  it.each([
    ['a label that no worker has', { label: 'z' }, 0],
    ['a bound of one task on a worker', { count: 3, perWorker: 1 }, 1],
    ['more than any worker has', { size: { cpuMilli: 99_000, memoryMb: 0, accelerators: 0 } }, 0]
  ])('keeps to %s', async (_, fields, tasks) => {
    scene.own(1)
    await pass(200)
    await scene.accept({ steps: [createStep(fields)] })
    await pass(500)
    expect(scene.tasks()).toHaveLength(tasks)
  })

  it.each([
    ['a lasting task', { lasting: true }, []],
    ['a task that ends by itself', {}, ['0.0.0#1']]
  ])('starts nothing on a draining worker, and treats %s there as it should', async (_, fields, tasks) => {
    scene.own(1)
    await pass(200)
    await scene.accept({ steps: [createStep(fields)] })
    await pass(200)
    scene.register({ draining: true, remainingMs: 4000 })
    await pass(1500)
    expect([scene.tasks(), scene.fleet.started.length]).toEqual([tasks, 1])
  })

  it('stops a checkpointed task on a draining worker only when its time is nearly over', async () => {
    scene.own(1)
    await pass(200)
    await scene.accept({ steps: [createStep({ checkpoints: true, estimateMs: 60_000 })] })
    await pass(200)
    scene.register({ draining: true, remainingMs: 4000 })
    await pass(2500)
    expect(scene.tasks()).toEqual(['0.0.0#1'])
    await pass(2000)
    expect(scene.tasks()).toEqual([])
  })

  it('starts an occurrence of a schedule when it is due, not before', async () => {
    scene.own(1)
    await pass(200)
    await scene.accept({ occurrences: 2, firstDueMs: scene.clock.wall() + 2000, intervalMs: 3000 })
    await pass(1000)
    expect(scene.tasks()).toEqual([])
    await pass(1500)
    expect(scene.tasks()).toEqual(['0.0.0#1'])
    await pass(3000)
    expect(scene.tasks()).toEqual(['0.0.0#1', '1.0.0#1'])
  })

  it('keeps a workspace within its upper limit', async () => {
    scene.own(1)
    await pass(200)
    await scene.accept({ steps: [createStep({ count: 5 })] })
    await pass(500)
    expect(scene.tasks()).toHaveLength(3)
  })

  it('refuses a job that would start too late, but none that it knows', async () => {
    const owner = scene.own(1)
    await pass(200)
    const steps = [createStep({ count: 16 })]
    const take = async (id: string): Promise<string> => {
      const taking = owner.take(encodeJob(createJob({ id, workspace: '', acceptedMs: scene.clock.wall(), steps })), 500)
      await pass(100)
      return (await taking).match(() => 'taken', ({ reason, execution }) => `${reason} ${execution}`)
    }
    const [running, waiting, late] = ['1'.repeat(16), '2'.repeat(16), '3'.repeat(16)]
    expect([await take(running), await take(waiting)]).toEqual(['taken', 'taken'])
    await pass(900)
    expect([await take(late), await take(waiting)]).toEqual([`${Reason.DeadlineUnreachable} ${Execution.NotRun}`, 'taken'])
  })

  it('refuses no job that an append without an answer may have written', async () => {
    const owner = scene.own(1)
    await pass(200)
    const create = (id: string): KeyedRecord => encodeJob(createJob({
      id, workspace: '', acceptedMs: scene.clock.wall(), steps: [createStep({ count: 16 })]
    }))
    const taking = [owner.take(create('1'.repeat(16)), 500), owner.take(create('2'.repeat(16)), 500)]
    await pass(1000)
    await Promise.all(taking)
    scene.store.fault = (call) => 'append' in call ? StoreFailure.NoAnswer : undefined
    scene.store.loseAnswers = true
    const lost = create('3'.repeat(16))
    const first = owner.append([lost], 100)
    await pass(1000)
    const again = owner.take(lost, 100)
    await pass(1000)
    expect([await first, (await again)._unsafeUnwrapErr().execution]).toEqual([Execution.Unknown, Execution.Unknown])
  })

  it('sends no start that the journal does not hold', async () => {
    scene.own(1)
    await pass(200)
    await scene.accept({ steps: [createStep({ count: 2 }), createStep({ after: [0] })] })
    await pass(100)
    const before = scene.fleet.started.length
    scene.store.fault = (call) => 'append' in call ? StoreFailure.NoAnswer : undefined
    scene.end(`${ID}.0.0.0`, Ending.Done)
    scene.end(`${ID}.0.0.1`, Ending.Done)
    await pass(2000)
    expect(scene.fleet.started.length).toBe(before)
    scene.store.fault = undefined
    await pass(3000)
    expect(scene.fleet.started.length).toBe(before + 1)
  })

  it.each([
    ['adopts a run that the worker still has', [{ task: `${ID}.0.0.0`, run: 1, checkpoint: '', percent: 100, load: 0 }], ['0.0.0#1'], 0],
    ['runs again what never began', [], ['0.0.0#2'], 1],
    ['stops a run that the journal does not know', [{ task: `${ID}.0.0.0`, run: 7, checkpoint: '', percent: 100, load: 0 }], ['0.0.0#2'], 1]
  ])('after a takeover %s', async (_, running, tasks, starts) => {
    scene.table.apply({ ...encodeJob(createJob({ id: ID, acceptedMs: scene.clock.wall() })), offset: 0 })
    scene.table.apply({
      ...encodeRecord(Subject.Progress, ID, {
        phase: Phase.Active, endedMs: 0, tasks: [['0.0.0', Stage.Assigned, 1, 'w1', 10, 0, '']]
      }),
      offset: 1
    })
    scene.running.push(...running)
    scene.own(2)
    await pass(1500)
    expect([scene.tasks(), scene.fleet.started.length]).toEqual([tasks, starts])
  })

  it('drops the records of jobs that ended long ago', async () => {
    scene.own(1)
    await pass(200)
    await scene.accept({})
    await pass(200)
    scene.end(`${ID}.0.0.0`, Ending.Done)
    await pass(1000)
    expect(scene.phase()).toBe(Phase.Completed)
    await pass(190_000)
    expect(scene.table.jobs.size).toBe(0)
    const last = scene.store.records[Topic.Journal].findLast((record) => record.key === `j/${ID}`)
    expect(last?.value).toBeUndefined()
  })
})
