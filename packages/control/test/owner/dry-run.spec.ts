import { OrderFactor, WorkerVerdict, type DryRunReport } from '@fireflymount/protocol/dry-run'
import { MessageKind, type DryRun } from '@fireflymount/protocol/message'
import { Reason } from '@fireflymount/protocol/refusal'
import fc from 'fast-check'
import { ok } from 'neverthrow'
import { beforeEach, describe, expect, it, vi } from 'vitest'
import { JobEntry } from '../../src/journal/journal-state.js'
import type { Configuration } from '../../src/model/configuration.js'
import { MAX_JOB_TASKS, type Job } from '../../src/model/job.js'
import { AdvisorClient } from '../../src/owner/advisor-client.js'
import { Dispatcher } from '../../src/owner/dispatcher.js'
import { dryRunJob, explainJob, type DryRunOptions } from '../../src/owner/dry-run.js'
import { Ledger } from '../../src/owner/ledger.js'
import { ReadySteps } from '../../src/owner/ready-step.js'
import { Run, RunState } from '../../src/owner/run.js'
import { Session } from '../../src/owner/session.js'
import { PastUse } from '../../src/place/past-use.js'
import { ALL_ZONES, FakeClock, FakeFleet, createJob, createQueue, createSessionHost, createStep, createWorker } from '../fakes.js'

const CAPACITY = { cpuMilli: 4000, memoryMb: 4000, accelerators: 0 }
const TASK = { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 }
const NO_LIMIT = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }
const ADVICE = { callMs: 10, workerMs: 1, validMs: 1500 }
const CONFIGURATION: Configuration = {
  version: 1,
  queues: [
    createQueue({ name: 'urgent' }),
    createQueue({ name: 'advised', advice: ADVICE }),
    createQueue({ name: 'later', priority: 1, open: false })
  ],
  upstreams: [{ name: 'planner', checksRoom: false, spare: false }],
  workspaces: [
    { name: 'limited', keys: [], weight: 0, upperLimit: { ...NO_LIMIT, cpuMilli: 500 } },
    ...['guild', 'heavy'].map((name) => ({ name, keys: [], weight: 5, upperLimit: NO_LIMIT }))
  ],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}
const WORK: DryRun = { kind: MessageKind.DryRun, queue: 'urgent', team: 'guild', tasks: 1, runtimeMs: 1000, size: TASK }

/** The parts of an owner with two workers, on which assigned tasks run until the end of the test. */
class Cell {
  readonly clock = new FakeClock()
  readonly overRateJobs = new Set<string>()
  readonly evacuated = new Set<string>()
  startValidityMs = Infinity
  /** Worker that the advisor does not permit. */
  denied = ''
  readonly sessions = new Map<string, Session>()
  readonly ledger = new Ledger()
  /** Calls of the advisor and assignments, in order. */
  readonly decisions: string[] = []
  readonly pastUse = new PastUse(60_000)
  readonly notBeforeMs = new Map<string, number>()
  private readonly advisorClient: AdvisorClient
  private readonly readySteps = new ReadySteps(this.ledger)
  private readonly dispatcher: Dispatcher
  private readonly entries = new Map<string, JobEntry>()
  private jobs = 0

  constructor () {
    this.advisorClient = new AdvisorClient(async (_, step, workers) => {
      this.decisions.push(`ask ${step} ${workers.join(' ')}`)
      return ok(workers.filter((worker) => worker !== this.denied).map((worker) => [worker, 'ticket']))
    }, () => ['n1'], this.clock, () => {})
    this.dispatcher = new Dispatcher({
      ...this.parts(),
      settings: { farFactor: 2, stopMs: 200 },
      slownessOf: () => 1,
      onNoWorker: () => {},
      onStepFailed: (_, error) => { throw error }
    })
  }

  async start (): Promise<void> {
    const fleet = new FakeFleet()
    fleet.onReportRequest = async () => ok({ born: 10, clockMs: 6000, running: [], ended: [] })
    const zones = { ...ALL_ZONES, isEvacuated: (zone: string) => this.evacuated.has(zone) }
    for (const id of ['w1', 'w2']) {
      const host = createSessionHost({ fleet, clock: this.clock, zones })
      const session = new Session(createWorker({ id, capacity: CAPACITY }), host)
      await session.requestReportNow()
      this.sessions.set(id, session)
    }
  }

  submit (count: number, fields: Partial<Job> = {}): string {
    const id = String(++this.jobs).padStart(16, '0')
    const steps = [createStep({ count, size: TASK })]
    const entry = new JobEntry(createJob({ id, queue: 'urgent', acceptedMs: this.clock.wall(), steps, ...fields }))
    this.entries.set(id, entry)
    this.readySteps.refresh(entry)
    return id
  }

  async round (): Promise<void> {
    for (const { readyStep, task, session, charge } of this.dispatcher.round().assignments) {
      this.decisions.push(`assign ${readyStep.name} ${task.key} ${session.id}`)
      const run = new Run(readyStep.entry, task, 1, session, charge, '', this.clock.now())
      run.state = RunState.Running
      this.ledger.add(run)
      this.readySteps.refresh(readyStep.entry)
    }
    this.clock.advance(100)
    await new Promise((resolve) => setImmediate(resolve))
  }

  dryRun (work: Partial<DryRun> = {}): DryRunReport {
    return dryRunJob(this.options(), { ...WORK, ...work })._unsafeUnwrap()
  }

  explain (id: string): ReturnType<typeof explainJob> {
    return explainJob(this.options(), this.entries.get(id)!)
  }

  private options (): DryRunOptions {
    const zones = { ...ALL_ZONES, maxStartValidityMs: () => this.startValidityMs }
    return { ...this.parts(), node: 'n1', dispatcher: this.dispatcher, zones }
  }

  private parts () {
    const { clock, ledger, readySteps, sessions, overRateJobs, pastUse, advisorClient, notBeforeMs } = this
    const configuration = (): Configuration => CONFIGURATION
    return { clock, ledger, readySteps, sessions, overRateJobs, pastUse, advisorClient, notBeforeMs, configuration }
  }
}

let cell: Cell
beforeEach(async () => {
  cell = new Cell()
  await cell.start()
})

describe('the report on a new job', () => {
  // Guards against an owner that stops for each request about a job of the largest size.
  it.each([true, false])('costs the same for a job of the largest size, gang: %s', (gang) => {
    const task = vi.spyOn(JobEntry.prototype, 'task')
    expect(cell.dryRun({ tasks: MAX_JOB_TASKS, gang }).obstacle).toBe(gang ? 'gang' : 'none')
    expect(task.mock.calls.length).toBeLessThan(10)
    task.mockRestore()
  })

  it.each([
    ['on idle workers', async () => {}, {}, 'none', WorkerVerdict.Available, 0],
    ['on full workers', async () => {
      cell.submit(8)
      await cell.round()
    }, {}, 'room', WorkerVerdict.Busy, 900],
    ['in an evacuated zone', async () => { cell.evacuated.add('fukuoka') }, {}, 'workers', WorkerVerdict.Evacuated, undefined],
    ['while starts are paused', async () => { cell.startValidityMs = 0 }, {}, 'paused', WorkerVerdict.Available, undefined],
    ['that needs a label', async () => {}, { label: 'b' }, 'shape', WorkerVerdict.Label, undefined],
    ['of a workspace at its limit', async () => {}, { team: 'limited' }, 'limit', WorkerVerdict.Available, undefined],
    ['on a queue with advice', async () => {}, { queue: 'advised' }, 'advice', WorkerVerdict.AdviceUnknown, undefined],
    ['of a gang that is too large', async () => {}, { tasks: 9, gang: true }, 'gang', WorkerVerdict.Available, undefined]
  ])('%s', async (_, play, work, obstacle, verdict, startsInMs) => {
    await play()
    const report = cell.dryRun(work)
    expect([report.obstacle, report.workers[0]!.verdict, report.startsInMs]).toEqual([obstacle, verdict, startsInMs])
  })

  it.each([
    ['with an unknown key', async () => {}, { team: 'nobody', queue: 'later' }, Reason.BadKey],
    ['behind jobs that become late', async () => {
      cell.submit(8)
      await cell.round()
      cell.submit(1)
      await cell.round()
      cell.clock.advance(1200)
      await cell.round()
    }, {}, Reason.DeadlineUnreachable],
    ['without a queue of such jobs', async () => {}, {}, undefined]
  ])('names the refusal of one %s', async (_, play, work, reason) => {
    await play()
    const report = cell.dryRun(work)
    expect([report.accepted, report.refusal?.reason]).toEqual([reason === undefined, reason])
  })

  it.each([
    ['of equal priority', {}, 2, {}],
    ['of lower priority, but within its rate', { queue: 'later' }, 2, { [OrderFactor.Priority]: 1 }],
    ['of a shorter objective', { runtimeMs: 1 }, 0, {}],
    ['of a workspace beyond its rate', { team: 'heavy' }, 3, { [OrderFactor.Rate]: 'beyond' }],
    ['of a workspace that has used the cell', { team: 'limited' }, 2, { [OrderFactor.PastUse]: expect.any(Number) }]
  ])('gives its place behind three waiting ones, %s', async (_, work, before, factors) => {
    cell.submit(8)
    await cell.round()
    for (const workspace of ['guild', 'guild']) cell.submit(1, { workspace })
    cell.overRateJobs.add(cell.submit(1, { workspace: 'heavy' }))
    cell.pastUse.charge('limited', CAPACITY, CAPACITY, 60_000)
    cell.pastUse.update({ weightOf: () => 1, all: [1, 1, 1] })
    await cell.round()
    const { order } = cell.dryRun(work)
    expect(order.before).toBe(before)
    expect(Object.fromEntries(order.reasons.map(({ factor, value }) => [factor, value]))).toMatchObject(factors)
  })

  it('is refused for an unknown queue', () => {
    expect(() => cell.dryRun({ queue: 'none' })).toThrow()
  })
})

describe('the report on a submitted job', () => {
  const full = async (): Promise<void> => {
    cell.submit(8)
    await cell.round()
  }

  it.each([
    ['on full workers, behind another', async () => {
      await full()
      cell.submit(1)
      return cell.submit(1)
    }, 'room', [WorkerVerdict.Busy], 1],
    ['of whose workers the advisor denies one', async () => {
      cell.denied = 'w2'
      const id = cell.submit(9, { queue: 'advised' })
      for (let count = 0; count < 3; count++) await cell.round()
      return id
    }, 'room', [WorkerVerdict.Busy, WorkerVerdict.NotPermitted], 0],
    ['after a failure', async () => {
      const id = cell.submit(1)
      cell.notBeforeMs.set(`${id}.0.0.0`, cell.clock.now() + 500)
      return id
    }, 'delayed', [WorkerVerdict.Available], 0]
  ])('%s', async (_, play, obstacle, verdicts, before) => {
    const id = await play()
    const report = cell.explain(id) as DryRunReport
    expect(report).toMatchObject({ job: id, accepted: true, obstacle, order: { before } })
    expect(report.workers.map(({ verdict }) => verdict).sort()).toEqual(verdicts)
  })

  it.each([
    ['whose tasks all run', async () => {
      const id = cell.submit(1)
      await cell.round()
      return id
    }, '1 run(s)'],
    ['whose next occurrence is not due', async () => {
      return cell.submit(1, { occurrences: 2, firstDueMs: cell.clock.wall() + 700, intervalMs: 1000 })
    }, 'due in 700 ms']
  ])('is short for one %s', async (_, play, says) => {
    const id = await play()
    expect(cell.explain(id)).toEqual({ job: id, obstacle: 'none', detail: expect.stringContaining(says), remedy: '' })
  })
})

describe('a dry run', () => {
  const submission = fc.record({ count: fc.integer({ min: 1, max: 5 }), queue: fc.constantFrom('urgent', 'advised', 'later') })
  const work = fc.record({
    queue: fc.constantFrom('urgent', 'advised', 'later'),
    team: fc.constantFrom('guild', 'heavy', 'limited', 'nobody'),
    tasks: fc.integer({ min: 1, max: 9 }),
    gang: fc.boolean()
  })

  it('changes no decision, and asks no advisor', async () => {
    await fc.assert(fc.asyncProperty(fc.array(fc.tuple(submission, work), { minLength: 1, maxLength: 6 }), async (steps) => {
      const [plain, asked] = [new Cell(), new Cell()]
      await Promise.all([plain.start(), asked.start()])
      for (const [{ count, queue }, each] of steps) {
        for (const either of [plain, asked]) either.submit(count, { queue })
        const before = [...asked.decisions]
        asked.dryRun(each)
        asked.explain('1'.padStart(16, '0'))
        expect(asked.decisions).toEqual(before)
        for (const either of [plain, asked]) await either.round()
        asked.dryRun(each)
      }
      for (const either of [plain, asked]) await either.round()
      expect(asked.decisions).toEqual(plain.decisions)
      expect([...asked.ledger.usages()]).toEqual([...plain.ledger.usages()])
    }), { numRuns: 100 })
  })
})
