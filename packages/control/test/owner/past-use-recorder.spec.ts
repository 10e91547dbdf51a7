import { err } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { detach } from '../../src/detach.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { encodePastUse, pastUseBlockOf, pastUseKeyOf } from '../../src/journal/past-use-record.js'
import { UNKNOWN_OFFSET, encodeJob, encodeRecord, Subject } from '../../src/journal/record.js'
import { Writer } from '../../src/journal/writer.js'
import { StoreAccess } from '../../src/membership/access.js'
import { Ledger } from '../../src/owner/ledger.js'
import { PastUseRecorder } from '../../src/owner/past-use-recorder.js'
import { Run, StopReason } from '../../src/owner/run.js'
import { Session } from '../../src/owner/session.js'
import { StoreFailure, Topic } from '../../src/ports/store.js'
import { SilentLog } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'
import { FakeClock, FakeFleet, FakeStore, createJob, createSessionHost, createStep, createWorker } from '../fakes.js'

const HALF_LIFE_MS = 60_000
const CONFIGURATION = {
  version: 1,
  queues: [],
  upstreams: [],
  workspaces: ['heavy', 'light', 'idle'].map((name) => {
    return { name, keys: [], weight: 1, upperLimit: { cpuMilli: 0, memoryMb: 0, accelerators: 0 } }
  }),
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}

/** A store, and owners that follow each other on the same machine. */
class Cell {
  readonly clock = new FakeClock()
  readonly store = new FakeStore()
  readonly ledger = new Ledger()
  private readonly session = new Session(
    createWorker({ capacity: { cpuMilli: 10_000, memoryMb: 10_000, accelerators: 0 } }),
    createSessionHost({ fleet: new FakeFleet(), clock: this.clock }))

  private readonly stop = new AbortController()

  constructor () {
    this.session.reachable = true
  }

  /** Starts an owner with what the journal holds. */
  takeOver (): PastUseRecorder {
    return new PastUseRecorder({
      halfLifeMs: HALF_LIFE_MS,
      recorded: this.read().pastUse.values(),
      ledger: this.ledger,
      sessions: new Map([['w1', this.session]]),
      configuration: () => CONFIGURATION,
      writer: this.createWriter(),
      clock: this.clock,
      log: new SilentLog(),
      metrics: new Metrics()
    })
  }

  read (): JournalState {
    const state = new JournalState()
    for (const record of this.store.records[Topic.Journal]) state.apply(record)
    return state
  }

  /** Assigns a run of a workspace. */
  assign (workspace: string, cpuMilli: number, lasting = false): Run {
    const id = String(this.ledger.size).padStart(16, '0')
    const step = createStep({ size: { cpuMilli, memoryMb: 0, accelerators: 0 }, lasting })
    const state = new JournalState()
    state.apply({ ...encodeJob(createJob({ id, workspace, steps: [step] })), offset: UNKNOWN_OFFSET }, 1)
    const entry = state.jobs.get(id)!
    const run = new Run(entry, entry.task(0, 0, 0), 1, this.session, step.size, '', this.clock.now())
    this.ledger.add(run)
    return run
  }

  async pass (recorder: PastUseRecorder, seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second++) {
      this.clock.advance(1000)
      recorder.tick()
    }
    await vi.advanceTimersByTimeAsync(1000)
  }

  close (): void {
    this.stop.abort()
  }

  private createWriter (): Writer {
    const access = new StoreAccess(this.store, async () => err(StoreFailure.Refused), this.clock, () => {})
    const writer = new Writer(access, this.clock, 1, 1, this.clock.stamp(), () => {})
    detach(writer.run(this.stop.signal))
    return writer
  }
}

let cell: Cell
beforeEach(() => {
  vi.useFakeTimers()
  cell = new Cell()
})
afterEach(() => {
  cell.close()
  vi.useRealTimers()
})

describe('the record of past use', () => {
  it('gives a successor the order of its predecessor', async () => {
    cell.assign('heavy', 8000)
    cell.assign('light', 1000)
    const first = cell.takeOver()
    await cell.pass(first, 30)
    const next = cell.takeOver()
    expect(first.pastUse.yieldOf('heavy')).toBeGreaterThan(0.1)
    for (const workspace of ['heavy', 'light', 'idle']) {
      expect(next.pastUse.yieldOf(workspace)).toBeCloseTo(first.pastUse.yieldOf(workspace), 5)
    }
  })

  it.each([
    ['forward, and keeps the proportions', 40_000],
    ['backward, and decays nothing', -86_400_000]
  ])('survives a clock that jumps %s', async (_, jumpMs) => {
    cell.assign('heavy', 8000)
    cell.assign('light', 1000)
    const first = cell.takeOver()
    await cell.pass(first, 30)
    cell.clock.wallMs += jumpMs
    expect(cell.takeOver().pastUse.shareOf('heavy')).toBeCloseTo(first.pastUse.shareOf('heavy'), 5)
  })

  it.each([
    ['a run that was lost with its worker', undefined, '', 0],
    ['a preempted run of which nothing was saved', StopReason.Preempted, '', 0],
    ['not a run that has saved its work', undefined, 'saved', 4000],
    ['not a run of a cancelled job', StopReason.Cancelled, '', 4000],
    ['not a run of a long-running task', undefined, '', 4000, true]
  ])('credits %s', async (_, stopping, checkpoint, remainingMs, lasting = false) => {
    const recorder = cell.takeOver()
    const run = cell.assign('heavy', 4000, lasting)
    run.stopping = stopping
    run.checkpoint = checkpoint
    await cell.pass(recorder, 10)
    recorder.credit(run)
    expect(Math.abs(recorder.pastUse.useOf('heavy') - remainingMs)).toBeLessThan(500)
  })

  it('credits a run with what is left of its use after the decay', async () => {
    const recorder = cell.takeOver()
    cell.assign('heavy', 1000)
    const run = cell.assign('heavy', 4000)
    await cell.pass(recorder, 600)
    const before = recorder.pastUse.useOf('heavy')
    recorder.credit(run)
    expect(recorder.pastUse.useOf('heavy') / before).toBeCloseTo(0.2, 1)
  })

  it.each([
    ['is not a record', 'text'],
    ['has a row of another type', [1, [['heavy', 'much', 0, 0]]]],
    ['has a negative use', [1, [['heavy', -1, 0, 0]]]]
  ])('is dropped with a reason if it %s', (_, value) => {
    const rejected: string[] = []
    const state = new JournalState((key) => { rejected.push(key) })
    const block = pastUseBlockOf('heavy')
    const uses = new Map([['heavy', [1, 2, 3]]] as const)
    state.apply({ ...encodePastUse(block, { atMs: 1, uses }), offset: 1 })
    expect(state.pastUse.get(String(block))).toEqual({ atMs: 1, uses })
    state.apply({ ...encodeRecord(Subject.PastUse, String(block), value), offset: 2 })
    expect(rejected).toEqual([pastUseKeyOf(block)])
    expect(state.pastUse.size).toBe(0)
  })
})
