import { Execution, Reason } from '@fireflymount/protocol/refusal'
import { err, ok } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock, type Stamp } from '../../src/clock.js'
import { encodeJob, encodeJobEnd, encodeRecord, Stage, Subject } from '../../src/journal/record.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Configuration } from '../../src/model/configuration.js'
import { Phase, type Job } from '../../src/model/job.js'
import { RunOutcome, type ActiveRun, type EndedRun, type Worker } from '../../src/model/worker.js'
import { epochAfter } from '../../src/owner/fence.js'
import { MAX_COMMAND_DELAY_MS } from '../../src/owner/lease.js'
import { Owner } from '../../src/owner/owner.js'
import { MAX_UNCONFIRMED_START_MS } from '../../src/owner/ownership.js'
import { AdviceFailure } from '../../src/ports/advisor.js'
import { MachineState, type Machines } from '../../src/ports/machines.js'
import { StoreFailure, Topic, type KeyedRecord } from '../../src/ports/store.js'
import { SilentLog } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'
import { newestOf, stateOf } from '../journal/steady-cell.js'
import { ALL_ZONES, FakeFleet, FakeStore, createJob, createMachine, createQueue, createStep, createWorker, ListedMachines, NoMachines, PlainFormats } from '../fakes.js'

const CONFIGURATION: Configuration = {
  version: 1,
  queues: [createQueue({ attempts: 2, open: false })],
  upstreams: [{ name: 'planner', checksRoom: false, spare: false }],
  workspaces: [{ name: 'guild', keys: [], weight: 100, upperLimit: { cpuMilli: 3000, memoryMb: 0, accelerators: 0 } }],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}
const ID = '00000000000000aa'

/** An owner and one simulated worker whose runs end only when a test ends them or the owner stops them. */
class Harness {
  readonly clock = new SystemClock()
  readonly store = new FakeStore()
  readonly fleet = new FakeFleet()
  readonly journalState = new JournalState()
  readonly running: ActiveRun[] = []
  readonly ended: EndedRun[] = []
  configuration = CONFIGURATION
  /** When the journal was last read to its end; undefined for now. */
  journalReadAt: Stamp | undefined
  machines: Machines = new NoMachines()
  private owner: Owner | undefined

  constructor () {
    this.fleet.onStart = (command) => {
      this.running.push({ task: command.task, run: command.run, checkpoint: '', progress: 100, load: 0 })
      return ok(this.workerClock())
    }
    this.fleet.onStop = (command) => {
      this.endRun(command.task, RunOutcome.Stopped)
      return ok(this.workerClock())
    }
    this.fleet.onReportRequest = async (request) => {
      const fresh = this.ended.filter((end) => end.position > request.acknowledged)
      const { maxReportedEnds } = this.fleet
      if (fresh.length === 0) await new Promise((resolve) => setTimeout(resolve, Math.min(request.waitMs, 20)))
      return ok({
        born: 10,
        clockMs: this.workerClock(),
        running: [...this.running],
        ended: this.ended.filter((end) => end.position > request.acknowledged).slice(0, maxReportedEnds)
      })
    }
    this.register({})
  }

  /** Writes the worker's registry entry. */
  register (fields: Partial<Worker>): void {
    this.store.put(Topic.Workers, { key: 'w1', value: Buffer.from(JSON.stringify(createWorker(fields))) })
  }

  /** Starts an owner, the first or a later one, with the contents of the journal state, or of another one. */
  startOwner (ordinal: number, journalState = this.journalState): Owner {
    const owner = new Owner({
      epoch: ordinal * epochAfter(0),
      sequence: 1,
      claimedAt: this.clock.stamp(),
      journalReadAt: () => this.journalReadAt ?? this.clock.stamp(),
      journalState,
      store: new StoreAccess(this.store, async () => err(StoreFailure.Refused), this.clock, () => {}),
      fleet: this.fleet,
      machines: this.machines,
      formats: new PlainFormats(),
      clock: this.clock,
      configuration: () => this.configuration,
      zones: ALL_ZONES,
      askAdvisor: async () => err(AdviceFailure.NoAnswer),
      nodes: () => [],
      settings: { leaseMs: 6000, farFactor: 2, keptMs: 120_000, stopMs: 200 },
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

  /** Ends the run of a task on the worker. */
  endRun (task: string, ending: RunOutcome): void {
    const index = this.running.findIndex((run) => run.task === task)
    if (index < 0) return
    const [run] = this.running.splice(index, 1)
    this.ended.push({ position: this.ended.length + 1, task, run: run!.run, ending, checkpoint: '' })
  }

  tasks (): string[] {
    return this.running.map((run) => `${run.task.slice(ID.length + 1)}#${run.run}`)
  }

  phase (): Phase | undefined {
    return this.journalState.jobs.get(ID)?.visiblePhase()
  }

  close (): void {
    this.owner?.close()
  }

  private workerClock (): number {
    return 5000 + Math.floor(performance.now())
  }
}

let harness: Harness
beforeEach(() => {
  vi.useFakeTimers()
  harness = new Harness()
})
afterEach(async () => {
  harness.close()
  await vi.advanceTimersByTimeAsync(5000)
  vi.useRealTimers()
})

async function advance (ms: number): Promise<void> {
  await vi.advanceTimersByTimeAsync(ms)
}

describe('the owner of the cell', () => {
  // Guards against the incident of the saturated owner: candidates claimed before the first heartbeat after a claim.
  it('writes to the journal at once, and at least every 350 ms from then on', async () => {
    harness.startOwner(1)
    await advance(20)
    expect(harness.store.records[Topic.Journal]).toHaveLength(1)
    await advance(4 * 380)
    expect(harness.store.records[Topic.Journal].length).toBeGreaterThanOrEqual(5)
  })

  it('runs the steps of a job in dependency order, each task once, and reports the job as completed', async () => {
    harness.startOwner(1)
    await advance(200)
    expect(await harness.accept({ steps: [createStep({ count: 2 }), createStep({ after: [0] })] })).toBe(Execution.Run)
    await advance(100)
    expect(harness.tasks()).toEqual(['0.0.0#1', '0.0.1#1'])
    harness.endRun(`${ID}.0.0.0`, RunOutcome.Done)
    await advance(200)
    expect(harness.tasks()).toEqual(['0.0.1#1'])
    harness.endRun(`${ID}.0.0.1`, RunOutcome.Done)
    await advance(200)
    expect(harness.tasks()).toEqual(['0.1.0#1'])
    harness.endRun(`${ID}.0.1.0`, RunOutcome.Done)
    await advance(200)
    expect([harness.phase(), harness.fleet.started.length]).toEqual([Phase.Completed, 3])
  })

  it.each([
    ['fails a job after as many failed runs as its queue allows', RunOutcome.Failed, 2, Phase.Failed],
    ['does not count runs that were stopped', RunOutcome.Stopped, 4, Phase.Active]
  ])('%s', async (_, ending, runs, phase) => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({})
    for (let run = 0; run < runs; run++) {
      await advance(500)
      harness.endRun(`${ID}.0.0.0`, ending)
    }
    await advance(1000)
    expect(harness.phase()).toBe(phase)
  })

  it.each([
    ['immediately after a failed run', RunOutcome.Failed, ['0.0.0#2']],
    ['only after a delay when its run was stopped', RunOutcome.Stopped, []]
  ])('places a task again %s', async (_, ending, tasks) => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({})
    harness.endRun(`${ID}.0.0.0`, ending)
    await advance(80)
    expect(harness.tasks()).toEqual(tasks)
  })

  it('places a long-running task again however its runs end', async () => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({ steps: [createStep({ lasting: true })] })
    for (const ending of [RunOutcome.Failed, RunOutcome.Failed, RunOutcome.Failed, RunOutcome.Done]) {
      await advance(500)
      harness.endRun(`${ID}.0.0.0`, ending)
    }
    await advance(500)
    expect([harness.tasks(), harness.phase()]).toEqual([['0.0.0#5'], Phase.Active])
  })

  it('stops all tasks of a cancelled job and starts no more', async () => {
    const owner = harness.startOwner(1)
    await advance(200)
    await harness.accept({ steps: [createStep({ count: 3 })] })
    await advance(200)
    const cancelling = owner.append([encodeRecord(Subject.Cancellation, ID, { atMs: 1 })], 500)
    await advance(1000)
    expect(await cancelling).toBe(Execution.Run)
    expect([harness.tasks(), harness.phase(), harness.fleet.started.length]).toEqual([[], Phase.Cancelled, 3])
  })

  it('starts all members of a gang with one run number, and places all of them again after one has failed', async () => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({ steps: [createStep({ count: 3, gang: true })] })
    await advance(200)
    expect(harness.tasks()).toEqual(['0.0.0#1', '0.0.1#1', '0.0.2#1'])
    harness.endRun(`${ID}.0.0.1`, RunOutcome.Failed)
    await advance(1000)
    expect(harness.tasks()).toEqual(['0.0.0#2', '0.0.1#2', '0.0.2#2'])
    harness.endRun(`${ID}.0.0.0`, RunOutcome.Done)
    await advance(200)
    expect(harness.phase()).toBe(Phase.Completed)
  })

  it('does not place a gang that exceeds the upper limit of its workspace', async () => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({ steps: [createStep({ count: 4, gang: true })] })
    await advance(1000)
    expect(harness.fleet.started).toEqual([])
  })

  it.each([
    ['a label that no worker has', { label: 'z' }, 0],
    ['a limit of one task per worker', { count: 3, perWorker: 1 }, 1],
    ['a size that exceeds every worker and the upper limit of the workspace', { size: { cpuMilli: 99_000, memoryMb: 0, accelerators: 0 } }, 0]
  ])('respects %s', async (_, fields, tasks) => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({ steps: [createStep(fields)] })
    await advance(500)
    expect(harness.tasks()).toHaveLength(tasks)
  })

  it.each([
    ['stops a long-running task', { lasting: true }, []],
    ['lets a task without checkpoints run on', {}, ['0.0.0#1']]
  ])('starts nothing on a draining worker and %s there', async (_, fields, tasks) => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({ steps: [createStep(fields)] })
    await advance(200)
    harness.register({ draining: true, remainingMs: 4000 })
    await advance(1500)
    expect([harness.tasks(), harness.fleet.started.length]).toEqual([tasks, 1])
  })

  it('stops a task with checkpoints on a draining worker only shortly before the worker has to stop', async () => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({ steps: [createStep({ checkpoints: true, estimateMs: 60_000 })] })
    await advance(200)
    harness.register({ draining: true, remainingMs: 4000 })
    await advance(2500)
    expect(harness.tasks()).toEqual(['0.0.0#1'])
    await advance(2000)
    expect(harness.tasks()).toEqual([])
  })

  it('starts an occurrence of a scheduled job when it is due and not earlier', async () => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({ occurrences: 2, firstDueMs: harness.clock.wall() + 2000, intervalMs: 3000 })
    await advance(1000)
    expect(harness.tasks()).toEqual([])
    await advance(1500)
    expect(harness.tasks()).toEqual(['0.0.0#1'])
    await advance(3000)
    expect(harness.tasks()).toEqual(['0.0.0#1', '1.0.0#1'])
  })

  it('keeps a workspace within its upper limit', async () => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({ steps: [createStep({ count: 5 })] })
    await advance(500)
    expect(harness.tasks()).toHaveLength(3)
  })

  it('refuses a job that would miss its objective, but not one that is already known', async () => {
    const owner = harness.startOwner(1)
    await advance(200)
    const steps = [createStep({ count: 16 })]
    const admit = async (id: string): Promise<string> => {
      const admitting = owner.admit(encodeJob(createJob({ id, workspace: '', acceptedMs: harness.clock.wall(), steps })), 500)
      await advance(100)
      return (await admitting).match(() => 'admitted', ({ reason, execution }) => `${reason} ${execution}`)
    }
    const [running, waiting, late] = ['1'.repeat(16), '2'.repeat(16), '3'.repeat(16)]
    expect([await admit(running), await admit(waiting)]).toEqual(['admitted', 'admitted'])
    await advance(900)
    expect([await admit(late), await admit(waiting)]).toEqual([`${Reason.DeadlineUnreachable} ${Execution.NotRun}`, 'admitted'])
  })

  it.each([
    ['refuses them while a job within its rate waits for capacity', [16, 16], ['admitted', 'admitted', `${Reason.RateExceeded} ${Execution.NotRun}`]],
    ['admits them while only a job of the same workspace waits', [16], ['admitted', 'admitted', 'admitted']],
    ['admits them while no job waits', [1], ['admitted', 'admitted', 'admitted']]
  ])('with jobs of a workspace far beyond its rate: %s', async (_, taskCounts, expected) => {
    const owner = harness.startOwner(1)
    await advance(200)
    for (const [index, count] of taskCounts.entries()) {
      await harness.accept({ id: `${index}`.padStart(16, 'e'), workspace: '', steps: [createStep({ count })] })
    }
    await advance(100)
    const outcomes: string[] = []
    for (const index of expected.keys()) {
      const job = createJob({
        id: `${index}`.padStart(16, 'f'),
        workspace: 'flood',
        workspaceSettings: { weight: 1, upperLimit: { cpuMilli: 0, memoryMb: 0, accelerators: 0 } },
        acceptedMs: harness.clock.wall()
      })
      const admitting = owner.admit(encodeJob(job), 500)
      await advance(50)
      outcomes.push((await admitting).match(() => 'admitted', ({ reason, execution }) => `${reason} ${execution}`))
    }
    expect(outcomes).toEqual(expected)
  })

  // Guards against jobs that rank as late, or as early, for as long as the clock of the node that accepted them has jumped.
  it.each([
    ['corrects the time of a job from a clock that is behind', -5000, 0],
    ['corrects the time of a job from a clock that is ahead', 5000, 0],
    ['keeps the time of a job that took a while to arrive', -800, -800]
  ])('%s', async (_, differenceMs, expectedMs) => {
    const owner = harness.startOwner(1)
    await advance(200)
    const acceptedMs = harness.clock.wall() + differenceMs
    const admitting = owner.admit(encodeJob(createJob({ id: ID, acceptedMs })), 500)
    const nowMs = harness.clock.wall()
    await advance(300)
    expect((await admitting).isOk()).toBe(true)
    const { job } = stateOf(harness.store.records[Topic.Journal]).jobs.get(ID)!
    expect(job.acceptedMs - nowMs).toBe(expectedMs)
  })

  it('does not refuse a job that an unanswered append may have written', async () => {
    const owner = harness.startOwner(1)
    await advance(200)
    const create = (id: string): KeyedRecord => encodeJob(createJob({
      id, workspace: '', acceptedMs: harness.clock.wall(), steps: [createStep({ count: 16 })]
    }))
    const admitting = [owner.admit(create('1'.repeat(16)), 500), owner.admit(create('2'.repeat(16)), 500)]
    await advance(1000)
    await Promise.all(admitting)
    harness.store.fault = (call) => 'append' in call ? StoreFailure.NoAnswer : undefined
    harness.store.loseAnswers = true
    const lost = create('3'.repeat(16))
    const first = owner.append([lost], 100)
    await advance(1000)
    const again = owner.admit(lost, 100)
    await advance(1000)
    expect([await first, (await again)._unsafeUnwrapErr().execution]).toEqual([Execution.Unknown, Execution.Unknown])
  })

  // Guards against a caller that is told that a job never runs, although an earlier attempt to hand it in has stored it: the store
  // answered that append after its caller's time, and the owner has not read the record yet.
  it.each([
    { says: 'is written', answers: true },
    { says: 'may still be written', answers: false }
  ])('does not refuse a job whose append $says after the time of its caller', async ({ answers }) => {
    const owner = harness.startOwner(1)
    await advance(200)
    const create = (id: string): KeyedRecord => encodeJob(createJob({
      id, workspace: '', acceptedMs: harness.clock.wall(), steps: [createStep({ count: 16 })]
    }))
    const admitting = [owner.admit(create('1'.repeat(16)), 500), owner.admit(create('2'.repeat(16)), 500)]
    await advance(1000)
    await Promise.all(admitting)
    harness.store.fault = (call) => 'append' in call ? StoreFailure.NoAnswer : undefined
    harness.journalReadAt = harness.clock.stamp()
    const late = create('3'.repeat(16))
    const first = owner.append([late], 100)
    await advance(1000)
    expect(await first).toBe(Execution.Unknown)
    if (answers) harness.store.fault = undefined
    await advance(1000)
    if (answers) expect(harness.store.records[Topic.Journal].map(({ key }) => key)).toContain(late.key)
    harness.store.fault = (call) => 'append' in call ? StoreFailure.Refused : undefined
    const again = owner.admit(late, 100)
    await advance(1000)
    expect((await again).match(() => Execution.Run, ({ execution }) => execution)).not.toBe(Execution.NotRun)
  })

  // Guards against a successor, or a caller, that relies on what only a closed owner knows.
  it.each([
    { says: 'refuses', failure: StoreFailure.Refused },
    { says: 'does not answer', failure: StoreFailure.NoAnswer }
  ])('acknowledges, accepts and shows nothing that is not in the journal once it is closed while the store $says', async ({ failure }) => {
    const owner = harness.startOwner(1)
    await advance(200)
    await harness.accept({})
    harness.store.fault = (call) => 'append' in call ? failure : undefined
    harness.endRun(`${ID}.0.0.0`, RunOutcome.Done)
    await advance(300)
    const accepting = owner.append([encodeJob(createJob({ id: '2'.repeat(16), acceptedMs: harness.clock.wall() }))], 5000)
    await advance(100)
    owner.close()
    harness.store.fault = undefined
    const afterwards = owner.append([encodeJob(createJob({ id: '3'.repeat(16), acceptedMs: harness.clock.wall() }))], 500)
    await advance(10_000)
    const executions = [await accepting, await afterwards]
    expect(executions).not.toContain(Execution.Run)
    const acknowledging = harness.fleet.reportCommands.filter(({ acknowledged }) => acknowledged > 0)
    expect([acknowledging, harness.phase()]).toEqual([[], Phase.Active])
    const stored = stateOf(newestOf(harness.store.records[Topic.Journal]))
    expect(stored.jobs.get(ID)?.visiblePhase()).toBe(Phase.Active)
    for (const [index, id] of ['2', '3'].entries()) {
      if (executions[index] === Execution.NotRun) expect(stored.jobs.has(id.repeat(16))).toBe(false)
    }
  })

  it('has each assignment in the journal when the start arrives at the worker', async () => {
    const found: unknown[] = []
    harness.fleet.onStart = ({ task, run }) => {
      const entry = stateOf(harness.store.records[Topic.Journal]).jobs.get(ID)
      const { stage, run: written, worker, born } = entry!.taskByKey(task.slice(ID.length + 1))
      found.push({ stage, isWritten: written === run, worker, born })
      return ok(1)
    }
    harness.startOwner(1)
    await advance(200)
    await harness.accept({ steps: [createStep({ count: 2 }), createStep({ gang: true })] })
    await advance(200)
    expect(found).toEqual(new Array(3).fill({ stage: Stage.Assigned, isWritten: true, worker: 'w1', born: 10 }))
  })

  it('sends no start for an assignment that is not in the journal', async () => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({ steps: [createStep({ count: 2 }), createStep({ after: [0] })] })
    await advance(100)
    const before = harness.fleet.started.length
    harness.store.fault = (call) => 'append' in call ? StoreFailure.NoAnswer : undefined
    harness.endRun(`${ID}.0.0.0`, RunOutcome.Done)
    harness.endRun(`${ID}.0.0.1`, RunOutcome.Done)
    await advance(2000)
    expect(harness.fleet.started.length).toBe(before)
    harness.store.fault = undefined
    await advance(3000)
    expect(harness.fleet.started.length).toBe(before + 1)
  })

  it.each([
    ['adopts a run that the worker still executes', [{ task: `${ID}.0.0.0`, run: 1, checkpoint: '', progress: 100, load: 0 }], ['0.0.0#1'], 0, ['0.0.0#1']],
    ['places a task again whose run never started, once the start cannot be carried out late', [], [], 1, ['0.0.0#2']],
    ['stops a run that is not in the journal', [{ task: `${ID}.0.0.0`, run: 7, checkpoint: '', progress: 100, load: 0 }], [], 1, ['0.0.0#2']]
  ])('after a takeover %s', async (_, running, tasks, starts, tasksLater) => {
    harness.journalState.apply({ ...encodeJob(createJob({ id: ID, acceptedMs: harness.clock.wall() })), offset: 0 })
    harness.journalState.apply({
      ...encodeRecord(Subject.Progress, ID, {
        phase: Phase.Active, endedMs: 0, tasks: [['0.0.0', Stage.Assigned, 1, 'w1', 10, 0, '']]
      }),
      offset: 1
    })
    harness.running.push(...running)
    harness.startOwner(2)
    await advance(1500)
    expect(harness.tasks()).toEqual(tasks)
    await advance(MAX_UNCONFIRMED_START_MS + MAX_COMMAND_DELAY_MS)
    expect([harness.tasks(), harness.fleet.started.length]).toEqual([tasksLater, starts])
  })

  // Guards against a successor that knows another acceptance time of a job than the owner which wrote its runs: it takes the worker
  // for a later incarnation, drops its reports, lets its tasks run on under its lease and starts them again elsewhere.
  it.each<[string, (accept: (afterMs: number) => KeyedRecord) => Promise<JournalState>]>([
    ['the owner wrote both acceptances in one append', async (accept) => {
      const owner = harness.startOwner(1)
      await advance(200)
      const admitting = [owner.admit(accept(0), 500), owner.admit(accept(1500), 500)]
      await advance(500)
      await Promise.all(admitting)
      return stateOf(newestOf(harness.store.records[Topic.Journal]))
    }],
    ['a node without an owner appended the second acceptance, and the successor has read the journal from scratch', async (accept) => {
      const owner = harness.startOwner(1)
      await advance(200)
      const admitting = owner.admit(accept(0), 500)
      await advance(500)
      await admitting
      harness.store.put(Topic.Journal, accept(1500))
      return stateOf(newestOf(harness.store.records[Topic.Journal]))
    }],
    ['the successor took the second acceptance from its caller before it had read the first', async (accept) => {
      const owner = harness.startOwner(1)
      await advance(200)
      const admitting = owner.admit(accept(0), 500)
      await advance(500)
      await admitting
      return stateOf([{ ...accept(1500), offset: -1 }, ...harness.store.records[Topic.Journal]])
    }]
  ])('after a takeover keeps a run of a job that was submitted twice: %s', async (_, prepare) => {
    const acceptedMs = harness.clock.wall()
    const steps = [createStep({ estimateMs: 60_000 })]
    const state = await prepare((afterMs) => encodeJob(createJob({ id: ID, acceptedMs: acceptedMs + afterMs, steps })))
    expect(harness.tasks()).toEqual(['0.0.0#1'])
    harness.close()
    harness.startOwner(2, state)
    await advance(25_000)
    // Waiting would mean that the owner took the run for lost and places the task again, although the worker still runs it.
    expect([harness.tasks(), state.jobs.get(ID)?.tasks.get('0.0.0')?.stage]).toEqual([['0.0.0#1'], Stage.Assigned])
    harness.endRun(`${ID}.0.0.0`, RunOutcome.Done)
    await advance(1000)
    expect(state.jobs.get(ID)?.visiblePhase()).toBe(Phase.Completed)
  })

  // Guards against tasks that wait for the longest lease of an earlier owner although their worker left the registry before the takeover.
  it('after a takeover soon starts the tasks of a worker that the platform does not list any more', async () => {
    harness.startOwner(1)
    await advance(300)
    await harness.accept({ steps: [createStep({ lasting: true })] })
    harness.close()
    harness.running.length = 0
    harness.store.put(Topic.Workers, { key: 'w1', value: undefined })
    harness.store.put(Topic.Workers, { key: 'w2', value: Buffer.from(JSON.stringify(createWorker({ id: 'w2', machine: 'm2' }))) })
    harness.machines = new ListedMachines([createMachine({ name: 'm2', state: MachineState.Up, worker: 'w2' })])
    harness.startOwner(2, stateOf(newestOf(harness.store.records[Topic.Journal])))
    await advance(4000)
    expect(harness.tasks()).toEqual(['0.0.0#2'])
  })

  // Guards against tasks that run twice after a takeover because the first report of their worker omits most of their ends.
  it('after one or more takeovers starts no task again whose end the worker reports only later', async () => {
    harness.fleet.maxReportedEnds = 2
    const count = 9
    harness.startOwner(1)
    await advance(300)
    await harness.accept({ workspace: '', steps: [createStep({ count })] })
    harness.close()
    await advance(100)
    for (const task of [...harness.running]) harness.endRun(task.task, RunOutcome.Done)
    const read = (): JournalState => stateOf(newestOf(harness.store.records[Topic.Journal]))
    harness.startOwner(2, read())
    await advance(70)
    harness.close()
    const last = read()
    harness.startOwner(3, last)
    await advance(3000)
    expect([harness.fleet.started.length, last.jobs.get(ID)?.visiblePhase()]).toEqual([count, Phase.Completed])
  })

  // Guards against a job that fails early, or starts too often, because its queue's attempts are unknown while its route is removed.
  it.each([
    { attempts: 4, takeover: false },
    { attempts: 4, takeover: true },
    { attempts: 2, takeover: false },
    { attempts: 1, takeover: true }
  ])('allows the $attempts attempts of a queue that was removed while the job ran: %o', async ({ attempts, takeover }) => {
    const { queueSettings } = createJob({ queueSettings: createQueue({ attempts }) })
    harness.startOwner(1)
    await advance(300)
    await harness.accept({ queueSettings })
    harness.configuration = { ...CONFIGURATION, version: 2, queues: [] }
    const phases: Array<Phase | undefined> = []
    for (let attempt = 1; attempt <= attempts; attempt++) {
      expect(harness.tasks()).toEqual([`0.0.0#${attempt}`])
      if (takeover) {
        harness.close()
        harness.startOwner(attempt + 1, stateOf(newestOf(harness.store.records[Topic.Journal])))
        await advance(500)
      }
      harness.endRun(`${ID}.0.0.0`, RunOutcome.Failed)
      await advance(1000)
      phases.push(stateOf(newestOf(harness.store.records[Topic.Journal])).jobs.get(ID)?.visiblePhase())
    }
    const [before = Phase.Active, last] = [phases.at(-2), phases.at(-1)]
    expect([before, last, harness.fleet.started.length]).toEqual([Phase.Active, Phase.Failed, attempts])
  })

  // Guards against a workspace whose jobs run without its upper limit once the configuration no longer names it.
  it('keeps the jobs of a removed workspace within the upper limit that it had', async () => {
    harness.startOwner(1)
    await advance(300)
    harness.configuration = { ...CONFIGURATION, version: 2, workspaces: [] }
    await harness.accept({ workspaceSettings: CONFIGURATION.workspaces[0], steps: [createStep({ count: 5 })] })
    expect(harness.tasks()).toHaveLength(3)
  })

  // Guards against a job that runs again, or a crash, when only the end of the job is left in the journal.
  it('after a takeover stops the runs of an ended job and ignores the ends that workers report for it', async () => {
    const end = encodeJobEnd(ID, { ...createJob({ id: ID }), phase: Phase.Completed, endedMs: harness.clock.wall() })
    harness.journalState.apply({ ...end, offset: 0 })
    harness.running.push({ task: `${ID}.0.0.0`, run: 1, checkpoint: '', progress: 100, load: 0 })
    harness.ended.push({ position: 1, task: `${ID}.0.0.1`, run: 1, ending: RunOutcome.Done, checkpoint: '' })
    harness.startOwner(2)
    await advance(1500)
    expect([harness.tasks(), harness.fleet.started, harness.phase()]).toEqual([[], [], Phase.Completed])
    expect(harness.fleet.reportCommands.at(-1)!.acknowledged).toBeGreaterThanOrEqual(1)
  })

  it('after a takeover ends a job whose progress an earlier build wrote, and leaves only its end in the journal', async () => {
    const accepted = encodeJob(createJob({ id: ID, acceptedMs: harness.clock.wall(), steps: [createStep({ count: 2 })] }))
    const progress = encodeRecord(Subject.Progress, ID, {
      phase: Phase.Active,
      endedMs: 0,
      tasks: [['0.0.0', Stage.Done, 1, 'w1', 10, 0, ''], ['0.0.1', Stage.Assigned, 1, 'w1', 10, 0, '']]
    })
    for (const record of [accepted, progress]) {
      harness.store.put(Topic.Journal, record)
      harness.journalState.apply({ ...record, offset: 0 })
    }
    harness.running.push({ task: `${ID}.0.0.1`, run: 1, checkpoint: '', progress: 100, load: 0 })
    harness.startOwner(2)
    await advance(500)
    harness.endRun(`${ID}.0.0.1`, RunOutcome.Done)
    await advance(500)
    const newest = newestOf(harness.store.records[Topic.Journal]).filter((record) => record.key.includes(ID))
    expect(newest.map((record) => record.key)).toEqual([`p/${ID}`])
    expect([harness.phase(), stateOf(newest).jobs.get(ID)?.visiblePhase()]).toEqual([Phase.Completed, Phase.Completed])
  })

  it('does not append the record of an ended job again, and deletes one that another node has appended', async () => {
    const owner = harness.startOwner(1)
    await advance(200)
    await harness.accept({})
    harness.endRun(`${ID}.0.0.0`, RunOutcome.Done)
    await advance(2000)
    const records = harness.store.records[Topic.Journal]
    const accepted = encodeJob(createJob({ id: ID, acceptedMs: harness.clock.wall() }))
    const admitting = owner.admit(accepted, 500)
    await advance(500)
    expect([(await admitting).isOk(), newestOf(records).map((record) => record.key)]).toEqual([true, ['b/owner', `p/${ID}`]])
    harness.store.put(Topic.Journal, accepted)
    harness.journalState.apply({ ...accepted, offset: 0 }, 1)
    await advance(190_000)
    expect([harness.fleet.started.length, newestOf(records).map((record) => record.key)]).toEqual([1, ['b/owner']])
  })

  it('deletes the job record of a job that ended long ago', async () => {
    harness.startOwner(1)
    await advance(200)
    await harness.accept({})
    await advance(200)
    harness.endRun(`${ID}.0.0.0`, RunOutcome.Done)
    await advance(1000)
    expect(harness.phase()).toBe(Phase.Completed)
    await advance(190_000)
    expect(harness.journalState.jobs.size).toBe(0)
    const last = harness.store.records[Topic.Journal].findLast((record) => record.key === `j/${ID}`)
    expect(last?.value).toBeUndefined()
  })
})
