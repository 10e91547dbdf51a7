import { ok, type Result } from 'neverthrow'
import { beforeEach, describe, expect, it } from 'vitest'
import { JobEntry } from '../../src/journal/journal-state.js'
import type { Configuration } from '../../src/model/configuration.js'
import { Phase, type Job, type Step } from '../../src/model/job.js'
import type { Worker } from '../../src/model/worker.js'
import { AdvisorClient } from '../../src/owner/advisor-client.js'
import { ReadySteps } from '../../src/owner/ready-step.js'
import { Dispatcher, type Decisions } from '../../src/owner/dispatcher.js'
import { Ledger } from '../../src/owner/ledger.js'
import { Run, RunState } from '../../src/owner/run.js'
import { Session } from '../../src/owner/session.js'
import type { UnplacedStep } from '../../src/place/admission.js'
import { endJob } from '../../src/owner/run-end.js'
import type { AdviceFailure, Tickets } from '../../src/ports/advisor.js'
import { ALL_ZONES, FakeClock, FakeFleet, createJob, createQueue, createStep, createSessionHost, createWorker } from '../fakes.js'

const ADVICE = { callMs: 10, workerMs: 1, validMs: 1500 }
/** Time between two rounds. */
const ROUND_MS = 100
const CAPACITY = { cpuMilli: 4000, memoryMb: 4000, accelerators: 0 }
const SMALL = { cpuMilli: 800, memoryMb: 800, accelerators: 0 }
/** Age at which the jobs of the tests are too late to be of use. */
const TOO_LATE_MS = 600_000
/** Age at which the jobs of the tests are late, but of use. */
const WAITED_MS = 3000
const TASK = { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 }

const CONFIGURATION: Configuration = {
  version: 1,
  queues: [
    createQueue({ name: 'urgent' }), createQueue({ name: 'advised', advice: ADVICE }), createQueue({ name: 'later', priority: 1 })
  ],
  upstreams: [{ name: 'planner', checksRoom: false, spare: false }],
  workspaces: [{ name: 'limited', keys: [], weight: 0, upperLimit: { cpuMilli: 1, memoryMb: 0, accelerators: 0 } }],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}

/** A dispatcher with reachable workers and an advisor that answers when a test calls `grant`. */
class Harness {
  readonly clock = new FakeClock()
  readonly overRateJobs = new Set<string>()
  readonly asked: string[][] = []
  /** Steps for which the advisor was asked. */
  readonly askedSteps: string[] = []
  /** Steps for which no worker was found. */
  readonly withoutWorker: string[] = []
  readonly evacuated = new Set<string>()
  private readonly ledger = new Ledger()
  private readonly readySteps = new ReadySteps(this.ledger)
  private readonly sessions = new Map<string, Session>()
  private readonly advisorClient: AdvisorClient
  private answer: ((tickets: Result<Tickets, AdviceFailure>) => void) | undefined
  private readonly dispatcher: Dispatcher
  private jobs = 0

  constructor () {
    this.advisorClient = new AdvisorClient((_, step, workers) => new Promise((resolve) => {
      this.asked.push([...workers])
      this.askedSteps.push(step)
      this.answer = resolve
    }), () => ['n1'], this.clock, () => {})
    this.dispatcher = new Dispatcher({
      ledger: this.ledger,
      readySteps: this.readySteps,
      advisorClient: this.advisorClient,
      sessions: this.sessions,
      configuration: () => CONFIGURATION,
      clock: this.clock,
      settings: { farFactor: 2, stopMs: 200 },
      notBeforeMs: new Map(),
      overRateJobs: this.overRateJobs,
      slownessOf: () => 1,
      pastUse: undefined,
      onNoWorker: ({ name }) => { this.withoutWorker.push(name) },
      onStepFailed: (_, error) => { throw error }
    })
  }

  async addWorkers (count: number): Promise<void> {
    const fleet = new FakeFleet()
    fleet.onReportRequest = async () => ok({ born: 10, clockMs: 6000, running: [], ended: [] })
    const zones = { ...ALL_ZONES, isEvacuated: (zone: string) => this.evacuated.has(zone) }
    const host = createSessionHost({ fleet, clock: this.clock, zones })
    for (let index = 1; index <= count; index++) {
      const session = new Session(createWorker({ id: `w${index}`, capacity: CAPACITY }), host)
      await session.requestReportNow()
      this.sessions.set(session.id, session)
    }
  }

  /** Fills a worker with a run, or adds several runs of a size. */
  occupy (id: string, size = CAPACITY, count = 1, step: Partial<Step> = {}): void {
    const entry = new JobEntry(createJob({ id: `f${id}`.padStart(16, '0'), queue: 'later', steps: [createStep({ size, count, ...step })] }))
    const session = this.sessions.get(id)!
    for (let index = 0; index < count; index++) {
      const run = new Run(entry, entry.task(0, 0, index), 1, session, size, '', this.clock.now())
      run.state = RunState.Running
      this.ledger.add(run)
    }
  }

  /** Applies a newer registry entry of a worker. */
  update (id: string, fields: Partial<Worker>): void {
    this.sessions.get(id)!.update(createWorker({ id, capacity: CAPACITY, ...fields }))
  }

  accept (job: Partial<Job>, tasks: number): JobEntry {
    const id = String(++this.jobs).padStart(16, '0')
    const entry = new JobEntry(createJob({
      id, workspace: '', acceptedMs: this.clock.wall(), steps: [createStep({ count: tasks, size: TASK })], ...job
    }))
    this.readySteps.refresh(entry)
    return entry
  }

  cancel (entry: JobEntry): void {
    endJob(entry, Phase.Cancelled, this.clock.wall())
    this.readySteps.refresh(entry)
  }

  unplacedSteps (queue: string, overRate: boolean): readonly UnplacedStep[] {
    return this.dispatcher.unplacedStepsOf(queue, overRate)
  }

  hasCapacityFor (tasks: number): boolean {
    return this.dispatcher.hasCapacityFor(createJob({ steps: [createStep({ count: tasks, size: TASK })] }))
  }

  isContendedFor (queue: string, hasCapacity: boolean, workspace = createJob().workspace): boolean {
    return this.dispatcher.contention.isContendedFor(createJob({ queue, workspace }), () => hasCapacity)
  }

  async grant (workers: readonly string[]): Promise<void> {
    this.answer!(ok(workers.map((worker) => [worker, `ticket of ${worker}`])))
    await new Promise((resolve) => setImmediate(resolve))
  }

  runRounds (count: number): Decisions {
    let decisions: Decisions = { assignments: [], preemptions: [], renewedSteps: 0 }
    for (let round = 0; round < count; round++) {
      this.clock.advance(ROUND_MS)
      decisions = this.dispatcher.round()
    }
    return decisions
  }
}

let harness: Harness
beforeEach(() => { harness = new Harness() })

describe('a burst of urgent jobs that are not allowed to run', () => {
  it.each([
    ['its workspace is at its upper limit', 'limited', false, 0],
    ['it is beyond the rate of its workspace', '', true, 0],
    ['it is too late to be of use', '', false, TOO_LATE_MS]
  ])('reserves no capacity when %s', async (_, workspace, overRate, ageMs) => {
    await harness.addWorkers(4)
    const burst = harness.accept({ queue: 'urgent', workspace, acceptedMs: harness.clock.wall() - ageMs }, 100)
    if (overRate) harness.overRateJobs.add(burst.job.id)
    harness.runRounds(50)
    harness.cancel(burst)
    // These tasks take longer than urgent jobs can wait, so they may not use the reserve.
    harness.accept({ queue: 'later', steps: [createStep({ count: 16, size: TASK, estimateMs: 60_000 })] }, 16)
    expect(harness.runRounds(1).assignments).toHaveLength(16)
  })
})

describe('the unplaced steps of a queue', () => {
  it.each([
    ['include steps that wait for capacity and have less than half of their slack left', 20, false, 500, false, 1],
    ['include no steps with less than half of their slack left when most of the slack is left', 20, false, 100, false, 0],
    ['do not include steps that fit', 7, false, 500, false, 0],
    ['do not include steps beyond the rate of their workspace for a job within it', 20, true, 500, false, 0],
    ['include steps beyond the rate of their workspace for another job beyond it', 20, true, 500, true, 1]
  ])('%s', async (_, tasks, overRateJob, waitedMs, overRate, expected) => {
    await harness.addWorkers(2)
    const first = harness.accept({ queue: 'urgent', steps: [createStep({ count: overRateJob ? tasks : 1, size: TASK, estimateMs: 500 })] }, 1)
    if (overRateJob) harness.overRateJobs.add(first.job.id)
    else harness.accept({ queue: 'urgent', steps: [createStep({ count: tasks, size: TASK, estimateMs: 500 })] }, tasks)
    harness.clock.advance(waitedMs)
    harness.runRounds(1)
    expect(harness.unplacedSteps('urgent', overRate).filter((unplacedStep) => unplacedStep.slackMs < unplacedStep.totalSlackMs / 2)).toHaveLength(expected)
  })
})

describe('a step that is too late to be of use', () => {
  // Guards against a step that is never placed although there is room, while steps that cannot start keep the advisor busy.
  it('is asked about before steps for which there is no room', async () => {
    await harness.addWorkers(1)
    harness.occupy('w1', { cpuMilli: 3000, memoryMb: 3000, accelerators: 0 })
    const large = createStep({ size: { cpuMilli: 2000, memoryMb: 2000, accelerators: 0 } })
    for (let job = 0; job < 12; job++) harness.accept({ queue: 'advised', steps: [large] }, 1)
    const late = harness.accept({
      queue: 'advised', acceptedMs: harness.clock.wall() - TOO_LATE_MS, steps: [createStep({ size: SMALL })]
    }, 1)
    harness.runRounds(1)
    expect(harness.askedSteps).not.toContain(`${late.job.id}.0.0`)
    await harness.grant(['w1'])
    expect(harness.askedSteps).toContain(`${late.job.id}.0.0`)
  })
})

describe('the contention of a round', () => {
  it.each([
    ['counts a job of the same queue', 'urgent', 'urgent', 20, false, false, true],
    ['counts a job of a queue with a higher priority', 'urgent', 'later', 20, false, false, true],
    ['does not count a job of a queue with a lower priority', 'later', 'urgent', 20, false, false, false],
    ['does not count a job that fits', 'urgent', 'urgent', 8, false, false, false],
    ['does not count a job beyond its rate', 'urgent', 'urgent', 20, true, false, false],
    ['does not count a job that lacks capacity while the new one has some', 'urgent', 'urgent', 20, false, true, false],
    ['counts a job that has waited long for advice', 'advised', 'urgent', 1, false, true, true]
  ])('%s', async (_, waiting, submitted, tasks, overRate, hasCapacity, contended) => {
    await harness.addWorkers(2)
    const entry = harness.accept({ queue: waiting, acceptedMs: harness.clock.wall() - (waiting === 'advised' ? WAITED_MS : 0) }, tasks)
    if (overRate) harness.overRateJobs.add(entry.job.id)
    harness.runRounds(1)
    expect(harness.isContendedFor(submitted, hasCapacity)).toBe(contended)
  })

  // Guards against a workspace that is alone in a full cell and is refused because its own jobs wait.
  it.each([
    { waiting: 'of the same workspace', workspaces: ['a'], advised: false, contended: false },
    { waiting: 'of another workspace', workspaces: ['b'], advised: false, contended: true },
    { waiting: 'without a workspace', workspaces: [''], advised: false, contended: true },
    { waiting: 'of both', workspaces: ['a', 'b'], advised: false, contended: true },
    { waiting: 'for advice, of the same workspace', workspaces: ['a'], advised: true, contended: false },
    { waiting: 'for advice, of another workspace', workspaces: ['b'], advised: true, contended: true }
  ])('counts jobs $waiting: $contended', async ({ workspaces, advised, contended }) => {
    await harness.addWorkers(2)
    const job = { queue: advised ? 'advised' : 'urgent', acceptedMs: harness.clock.wall() - (advised ? WAITED_MS : 0) }
    for (const workspace of workspaces) harness.accept({ ...job, workspace }, 20)
    harness.runRounds(1)
    expect(harness.isContendedFor('urgent', false, 'a')).toBe(contended)
  })

  // Guards against refusals that go on while rounds are paused, for jobs that waited before.
  it.each([
    { sinceMs: 1000, contended: true },
    { sinceMs: 2001, contended: false }
  ])('counts $sinceMs ms after the round: $contended', async ({ sinceMs, contended }) => {
    await harness.addWorkers(2)
    harness.accept({ queue: 'urgent' }, 20)
    harness.runRounds(1)
    harness.clock.advance(sinceMs)
    expect(harness.isContendedFor('urgent', false)).toBe(contended)
  })

  it('does not count a job that no worker may run', async () => {
    await harness.addWorkers(2)
    harness.accept({ queue: 'urgent', acceptedMs: harness.clock.wall() - WAITED_MS, steps: [createStep({ label: 'nowhere', size: TASK })] }, 1)
    harness.runRounds(1)
    expect(harness.isContendedFor('urgent', true)).toBe(false)
  })
})

describe('the check for free capacity', () => {
  it.each([
    ['finds capacity for a job that fits now', 8, true],
    ['finds no capacity for a job that does not fit', 9, false]
  ])('%s', async (_, tasks, fits) => {
    await harness.addWorkers(2)
    expect(harness.hasCapacityFor(tasks)).toBe(fits)
  })
})

describe('a step that has tickets for some of its workers', () => {
  it('starts tasks on workers with valid tickets, and requests new tickets for workers with free capacity', async () => {
    await harness.addWorkers(2)
    harness.accept({ queue: 'advised' }, 8)
    harness.runRounds(1)
    await harness.grant(['w1', 'w2'])
    harness.clock.advance(ADVICE.validMs)
    harness.runRounds(1)
    await harness.grant(['w1'])
    const { assignments } = harness.runRounds(1)
    expect(assignments.map((assignment) => assignment.session.id)).toEqual(['w1', 'w1', 'w1', 'w1'])
    expect(harness.asked.at(-1)).toContain('w2')
    expect(harness.asked).toHaveLength(3)
  })
})

describe('a step that waits for longer than its tickets are valid', () => {
  // Guards against workers that become free and stay idle until the advisor has answered again.
  it.each([
    ['asks for new ones when a run is about to end', 1900, 1, 2],
    ['does not ask while no run is about to end', 4000, 1, 1],
    ['does not ask while its tickets are valid until the run has ended', 800, 1, 1],
    ['does not ask for tasks that other steps come before', 1900, 2, 3]
  ])('%s', async (_, estimateMs, steps, calls) => {
    await harness.addWorkers(1)
    harness.occupy('w1', CAPACITY, 1, { estimateMs })
    for (let step = 0; step < steps; step++) {
      harness.accept({ queue: 'advised' }, 4)
      harness.runRounds(1)
      await harness.grant(['w1'])
    }
    harness.runRounds(19 - steps)
    expect(harness.asked).toHaveLength(calls)
  })
})

describe('a step whose queue has been removed', () => {
  // Guards against starts without a ticket, which workers refuse, once the route that needs advice is gone.
  it('asks the advisor as its queue did', async () => {
    await harness.addWorkers(1)
    harness.accept({ queue: 'removed', queueSettings: createQueue({ advice: ADVICE }) }, 1)
    expect(harness.runRounds(1).assignments).toEqual([])
    await harness.grant(['w1'])
    expect(harness.runRounds(1).assignments.map(({ ticket }) => ticket)).toEqual(['ticket of w1'])
  })

  it.each([
    ['the priority', { priority: 2 }],
    ['the objective', { priority: 1, targetMs: 60_000 }]
  ])('is placed after a step of another queue by %s that its queue had', async (_, settings) => {
    await harness.addWorkers(1)
    harness.accept({ queue: 'removed', queueSettings: createQueue(settings) }, 4)
    const other = harness.accept({ queue: 'later' }, 4)
    const { assignments } = harness.runRounds(1)
    expect(assignments.map(({ readyStep }) => readyStep.entry)).toEqual([other, other, other, other])
  })
})

describe('a step on an upstream with more workers than one call of the advisor names', () => {
  const names = (from: number, through: number): string[] => Array.from({ length: through - from + 1 }, (_, index) => `w${from + index}`)

  // Guards against steps that all ask about the same first workers, which are full, while others have free capacity.
  it.each([
    ['about workers with free capacity only', 120, 2, [...names(121, 150)]],
    ['about workers with free capacity first, and about full ones if there are not enough', 140, 2, [...names(141, 150), ...names(1, 90)]],
    ['about more workers for more tasks', 0, 40, names(1, 60)],
    ['about a bounded number of workers', 0, 2, names(1, 30)]
  ])('asks %s', async (_, full, tasks, expected) => {
    await harness.addWorkers(150)
    for (const id of names(1, full)) harness.occupy(id)
    harness.accept({ queue: 'advised' }, tasks)
    harness.runRounds(1)
    expect(harness.asked).toEqual([expected])
  })

  it('asks no second time if the permitted workers take all of its tasks', async () => {
    await harness.addWorkers(150)
    harness.accept({ queue: 'advised' }, 8)
    harness.runRounds(1)
    await harness.grant(['w1', 'w2'])
    expect(harness.runRounds(1).assignments).toHaveLength(8)
    expect(harness.asked).toHaveLength(1)
  })

  it('asks about further workers if the permitted ones do not take all of its tasks', async () => {
    await harness.addWorkers(150)
    harness.accept({ queue: 'advised' }, 8)
    harness.runRounds(1)
    await harness.grant(['w1'])
    expect(harness.runRounds(1).assignments).toHaveLength(4)
    expect(harness.asked.at(-1)).toEqual(names(31, 60))
  })
})

describe('a worker that is held for a large task', () => {
  const LARGE = { cpuMilli: 3000, memoryMb: 3000, accelerators: 0 }

  // Guards against small tasks that never start because their only worker is held for the tasks of a step of which one runs there at a
  // time, although they would not delay any of them.
  it.each([
    ['takes a small task beside the run for which the large one waits', LARGE, 1, 0, 1],
    ['takes no small task whose capacity the large one needs', TASK, 3, 0, 0],
    ['takes a small task if both are too late to be of use', TASK, 3, TOO_LATE_MS, 1]
  ])('%s', async (_, size, runs, ageMs, small) => {
    await harness.addWorkers(1)
    harness.occupy('w1', size, runs)
    const acceptedMs = harness.clock.wall() - ageMs
    harness.accept({ queue: 'urgent', acceptedMs, steps: [createStep({ size: LARGE })] }, 1)
    const later = harness.accept({ queue: 'later', acceptedMs }, 1)
    const { assignments } = harness.runRounds(1)
    expect(assignments.filter(({ readyStep }) => readyStep.entry === later)).toHaveLength(small)
  })
})

describe('a task that has failed', () => {
  it.each([
    ['is placed on another worker', 1, ['w2']],
    ['is placed on the same worker only if no other has free capacity', 8, ['w1', 'w1', 'w1', 'w1', 'w2', 'w2', 'w2', 'w2']]
  ])('%s', async (_, tasks, expected) => {
    await harness.addWorkers(2)
    const entry = harness.accept({ queue: 'urgent' }, tasks)
    for (let index = 0; index < tasks; index++) Object.assign(entry.task(0, 0, index), { failures: 1, worker: 'w1' })
    const { assignments } = harness.runRounds(1)
    expect(assignments.map((assignment) => assignment.session.id).sort()).toEqual(expected)
  })
})

describe('a step that found no worker in one round', () => {
  it.each<[string, Partial<Step>, Partial<Worker>, Partial<Worker>, string[]]>([
    ['is placed in the next one if the capacity of a worker has grown', {}, { capacity: SMALL }, { capacity: CAPACITY }, ['w1']],
    ['is not placed in the next one if the capacity has not grown', {}, { capacity: SMALL }, { capacity: SMALL }, []],
    ['is placed in the next one if a worker has got the label', { label: 'b' }, {}, { labels: ['b', 'r1'] }, ['w1']],
    ['is placed in the next one if a worker no longer drains', {}, { draining: true }, { draining: false }, ['w1']]
  ])('%s', async (_, fields, before, after, expected) => {
    await harness.addWorkers(1)
    harness.update('w1', before)
    harness.accept({ queue: 'urgent', steps: [createStep({ size: TASK, ...fields })] }, 1)
    expect(harness.runRounds(2).assignments).toEqual([])
    harness.update('w1', after)
    expect(harness.runRounds(1).assignments.map(({ session }) => session.id)).toEqual(expected)
  })

  it('is placed on a worker that has joined', async () => {
    harness.accept({ queue: 'urgent' }, 1)
    expect(harness.runRounds(2).assignments).toEqual([])
    await harness.addWorkers(1)
    expect(harness.runRounds(1).assignments).toHaveLength(1)
  })

  it('is placed on a worker that a later call of the advisor permits', async () => {
    await harness.addWorkers(1)
    harness.accept({ queue: 'advised' }, 1)
    harness.runRounds(1)
    await harness.grant([])
    expect(harness.runRounds(1).assignments).toEqual([])
    await harness.addWorkers(2)
    harness.runRounds(1)
    await harness.grant(['w2'])
    expect(harness.runRounds(1).assignments.map(({ session }) => session.id)).toEqual(['w2'])
  })
})

describe('workers in a zone that is being evacuated', () => {
  beforeEach(async () => {
    await harness.addWorkers(2)
    harness.update('w1', { zone: 'east', labels: ['b', 'r1'] })
    harness.evacuated.add('east')
  })

  it.each<[string, Partial<Job>, number, string[], number]>([
    ['get no task', {}, 8, ['w2', 'w2', 'w2', 'w2'], 0],
    ['get no task although its data is there', { steps: [createStep({ size: TASK, rack: 'r1' })] }, 1, ['w2'], 0],
    ['get no task that only they may run', { steps: [createStep({ size: TASK, label: 'b' })] }, 1, [], 1],
    ['get no member of a gang', { steps: [createStep({ size: TASK, count: 8, gang: true })] }, 8, [], 0],
    ['get no long-running task', { steps: [createStep({ size: TASK, count: 5, lasting: true })] }, 5, ['w2', 'w2', 'w2', 'w2'], 0]
  ])('%s', (_, job, tasks, expected, withoutWorker) => {
    harness.accept({ queue: 'urgent', ...job }, tasks)
    const { assignments, preemptions } = harness.runRounds(1)
    expect(assignments.map(({ session }) => session.id)).toEqual(expected)
    expect([preemptions, harness.withoutWorker.length]).toEqual([[], withoutWorker])
  })

  it('are not asked about, and their capacity does not count', () => {
    harness.accept({ queue: 'advised' }, 1)
    harness.runRounds(1)
    expect([harness.asked, harness.hasCapacityFor(5)]).toEqual([[['w2']], false])
  })

  it('are used again once it is taken back', () => {
    harness.accept({ queue: 'urgent', steps: [createStep({ size: TASK, label: 'b' })] }, 1)
    harness.runRounds(1)
    harness.evacuated.clear()
    expect(harness.runRounds(1).assignments.map(({ session }) => session.id)).toEqual(['w1'])
  })
})
