import { err, ok } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { encodeJob, encodeRecord, Subject } from '../../src/journal/record.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Step } from '../../src/model/job.js'
import { RunOutcome, type ActiveRun, type EndedRun } from '../../src/model/worker.js'
import { epochAfter } from '../../src/owner/fence.js'
import { Owner } from '../../src/owner/owner.js'
import { AdviceFailure } from '../../src/ports/advisor.js'
import { StoreFailure, Topic } from '../../src/ports/store.js'
import { Log } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'
import { ALL_ZONES, FakeFleet, FakeStore, createJob, createQueue, createStep, createWorker, NoMachines, PlainFormats } from '../fakes.js'

const ID = '00000000000000aa'
const TASK_MS = 300

/** Keeps the lines about decisions. */
class RecordingLog extends Log {
  readonly lines: Array<{ name: string, fields: Record<string, unknown> }> = []

  override decision (name: string, fields: Record<string, unknown>): void {
    this.lines.push({ name, fields })
  }

  override event (): void {}

  /** Returns the fields of the lines with a name. */
  named (name: string): Array<Record<string, unknown>> {
    return this.lines.filter((line) => line.name === name).map(({ fields }) => fields)
  }
}

/** An owner and two workers whose runs end after `TASK_MS`; the first run of a failing task fails. */
class Harness {
  readonly clock = new SystemClock()
  readonly log = new RecordingLog()
  readonly failing = new Set<string>()
  readonly store = new FakeStore()
  private readonly running = new Map<string, ActiveRun[]>([['w1', []], ['w2', []]])
  private readonly ended = new Map<string, EndedRun[]>([['w1', []], ['w2', []]])
  private readonly born = new Map<string, number>([['w1', 10], ['w2', 10]])
  readonly owner: Owner

  constructor () {
    const { store } = this
    const fleet = new FakeFleet()
    for (const id of this.running.keys()) {
      const entry = createWorker({ id, capacity: { cpuMilli: 4000, memoryMb: 9000, accelerators: 0 } })
      store.put(Topic.Workers, { key: id, value: Buffer.from(JSON.stringify(entry)) })
    }
    fleet.start = async (worker, { task, run }) => {
      this.running.get(worker.id)!.push({ task, run, checkpoint: '', progress: 100, load: 0 })
      const failed = run === 1 && this.failing.has(task)
      setTimeout(() => { this.end(worker.id, task, failed ? RunOutcome.Failed : RunOutcome.Done) }, TASK_MS)
      return ok(this.workerClock())
    }
    fleet.stop = async (worker, { task }) => {
      this.end(worker.id, task, RunOutcome.Stopped)
      return ok(this.workerClock())
    }
    fleet.requestReport = async (worker, { acknowledged, waitMs }) => {
      await new Promise((resolve) => setTimeout(resolve, Math.min(waitMs, 20)))
      const ended = this.ended.get(worker.id)!.filter((end) => end.position > acknowledged)
      const born = this.born.get(worker.id)!
      return ok({ born, clockMs: this.workerClock(), running: [...this.running.get(worker.id)!], ended })
    }
    this.owner = new Owner({
      epoch: epochAfter(0),
      sequence: 1,
      claimedAt: this.clock.stamp(),
      journalReadAt: () => this.clock.stamp(),
      journalState: new JournalState(),
      store: new StoreAccess(store, async () => err(StoreFailure.Refused), this.clock, () => {}),
      fleet,
      machines: new NoMachines(),
      formats: new PlainFormats(),
      clock: this.clock,
      configuration: () => ({
        version: 1, queues: [createQueue()], upstreams: [], workspaces: [], limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
      }),
      zones: ALL_ZONES,
      askAdvisor: async () => err(AdviceFailure.NoAnswer),
      nodes: () => [],
      settings: { leaseMs: 6000, farFactor: 2, keptMs: 120_000, stopMs: 200 },
      log: this.log,
      metrics: new Metrics()
    })
    this.owner.run().catch((error: unknown) => { throw error })
  }

  async accept (steps: Step[]): Promise<void> {
    const accepting = this.owner.append([encodeJob(createJob({ id: ID, workspace: '', steps, acceptedMs: this.clock.wall() }))], 500)
    await vi.advanceTimersByTimeAsync(100)
    await accepting
  }

  restart (worker: string): void {
    this.born.set(worker, 20)
    this.running.set(worker, [])
    this.ended.set(worker, [])
  }

  private end (worker: string, task: string, ending: RunOutcome): void {
    const running = this.running.get(worker)!
    const index = running.findIndex((run) => run.task === task)
    if (index < 0) return
    const [{ run }] = running.splice(index, 1) as [ActiveRun]
    const ended = this.ended.get(worker)!
    ended.push({ position: ended.length + 1, task, run, ending, checkpoint: '' })
  }

  private workerClock (): number {
    return 5000 + Math.floor(performance.now())
  }
}

let harness: Harness
beforeEach(async () => {
  vi.useFakeTimers()
  harness = new Harness()
  await vi.advanceTimersByTimeAsync(200)
})
afterEach(async () => {
  harness.owner.close()
  await vi.advanceTimersByTimeAsync(5000)
  vi.useRealTimers()
})

describe('the lines about decisions', () => {
  it('name the workers of all tasks of a step in one line, and count the runs when the step and the job end', async () => {
    await harness.accept([createStep({ count: 6 }), createStep({ count: 2, after: [0] })])
    await vi.advanceTimersByTimeAsync(2000)
    const starts = harness.log.named('start runs')
    expect(starts.map(({ step, run }) => [step, run])).toEqual([[`${ID}.0.0`, 1], [`${ID}.0.1`, 1]])
    const workers = starts[0]!.workers as Record<string, number[]>
    expect(Object.keys(workers).sort()).toEqual(['w1', 'w2'])
    expect(Object.values(workers).flat().sort()).toEqual([0, 1, 2, 3, 4, 5])
    expect(harness.log.named('run ended')).toEqual([])
    expect(harness.log.named('step ended')).toMatchObject([
      { step: `${ID}.0.0`, tasks: 6, starts: 6, ends: { done: 6 } }, { step: `${ID}.0.1`, tasks: 2, starts: 2, ends: { done: 2 } }
    ])
    expect(harness.log.named('job ended')).toMatchObject([{ job: ID, phase: 'completed', starts: 8, ends: { done: 8 } }])
  })

  it('name a run that fails, and its worker', async () => {
    harness.failing.add(`${ID}.0.0.2`)
    await harness.accept([createStep({ count: 3 })])
    await vi.advanceTimersByTimeAsync(2000)
    expect(harness.log.named('run ended')).toMatchObject([{ task: `${ID}.0.0.2`, run: 1, ending: 'failed' }])
    expect(harness.log.named('start runs').map(({ run }) => run)).toEqual([1, 2])
    expect(harness.log.named('job ended')).toMatchObject([{ starts: 4, ends: { done: 3, failed: 1 } }])
  })

  it('name every end of a run of a long-running task', async () => {
    await harness.accept([createStep({ lasting: true })])
    await vi.advanceTimersByTimeAsync(TASK_MS + 200)
    expect(harness.log.named('run ended')).toMatchObject([{ task: `${ID}.0.0.0`, run: 1, ending: 'done' }])
    expect(harness.log.named('step ended')).toEqual([])
  })

  it('write one line for the end of a step of a gang, of which each member ends', async () => {
    await harness.accept([createStep({ count: 3, gang: true }), createStep({ after: [0] })])
    await vi.advanceTimersByTimeAsync(2000)
    expect(harness.log.named('step ended').map(({ step }) => step)).toEqual([`${ID}.0.0`, `${ID}.0.1`])
  })

  it('name the ends that change nothing, and the time until ended runs are in the journal', async () => {
    await harness.accept([createStep({ count: 3, gang: true }), createStep({ after: [0] })])
    harness.store.fault = (call) => 'append' in call ? StoreFailure.Refused : undefined
    await vi.advanceTimersByTimeAsync(2000)
    harness.store.fault = undefined
    await vi.advanceTimersByTimeAsync(2000)
    expect(harness.log.named('run end changes nothing').map(({ ending, phase }) => [ending, phase]))
      .toEqual(Array(2).fill(['done', 'active']))
    const written = harness.log.named('run ends written')
    expect(written.length).toBeGreaterThan(0)
    for (const { tookMs } of written) expect(tookMs).toBeGreaterThan(1000)
  })

  // Guards against a task that is started again without a line that names it.
  it('name the runs that are lost with their worker', async () => {
    await harness.accept([createStep({ count: 4 })])
    harness.restart('w1')
    await vi.advanceTimersByTimeAsync(1000)
    expect(harness.log.named('run lost')).toEqual([0, 1, 2, 3].map((index) => (
      { task: `${ID}.0.0.${index}`, run: 1, worker: 'w1', reason: 'The worker restarted.' }
    )))
    expect(harness.log.named('start runs').filter(({ run }) => run === 2)).toHaveLength(1)
  })

  it('count the runs of a cancelled job', async () => {
    await harness.accept([createStep({ count: 3 })])
    const cancelling = harness.owner.append([encodeRecord(Subject.Cancellation, ID, { atMs: 1 })], 500)
    await vi.advanceTimersByTimeAsync(1000)
    await cancelling
    expect(harness.log.named('job cancelled')).toMatchObject([{ job: ID, runs: 3, starts: 3 }])
    const ended = harness.log.named('run ended')
    expect(ended.map(({ ending, stop }) => [ending, stop])).toEqual(Array(3).fill(['stopped', 'cancelled']))
  })
})
