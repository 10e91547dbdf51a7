import { Execution, Reason } from '@fireflymount/protocol/refusal'
import { err } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { Subject, encodeJob, encodeJobEnd, encodeRecord } from '../../src/journal/record.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Configuration } from '../../src/model/configuration.js'
import { Phase } from '../../src/model/job.js'
import { epochAfter } from '../../src/owner/fence.js'
import { Owner } from '../../src/owner/owner.js'
import { StoreFailure, Topic, type StoreCall } from '../../src/ports/store.js'
import { backlogBoundOf } from '../../src/place/backlog.js'
import { stateOf } from '../journal/steady-cell.js'
import { FakeFleet, FakeStore, createJob, createOwnerOptions, createQueue, createStep } from '../fakes.js'

const SMALL_MB = 150
const FLOOD = 400
/** Job with a large payload and many tasks: about 30 kB. */
const LARGE = { payload: 'x'.repeat(4000), steps: [createStep({ count: 90 })] }
const CONFIGURATION: Configuration = {
  version: 1,
  queues: [createQueue()],
  upstreams: [],
  workspaces: ['a', 'b', 'c'].map((name) => {
    return { name, keys: [], weight: 0, upperLimit: { cpuMilli: 0, memoryMb: 0, accelerators: 0 } }
  }),
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}

/** A large node that owns a cell with a small one. No worker is registered, so that jobs wait. */
class Cell {
  readonly clock = new SystemClock()
  readonly store = new FakeStore()
  readonly journalState = new JournalState(() => {}, () => undefined, () => CONFIGURATION.workspaces.length)
  readonly owner: Owner
  /** Ids of the jobs that were accepted. */
  readonly accepted = new Set<string>()
  /** Number of submissions by what was answered. */
  answers: Record<string, number> = {}
  /** When the last caller that was refused is told to return. */
  retryAfterMs: number | undefined
  private lastId = 0

  constructor () {
    for (const [node, memoryMb] of [['large', 602], ['small', SMALL_MB]] as const) {
      const address = { node, incarnation: '1', host: '10.0.0.1', port: 7000, zone: 'z', memoryMb }
      this.store.put(Topic.Journal, encodeRecord(Subject.Node, node, address))
      this.journalState.apply({ ...encodeRecord(Subject.Node, node, address), offset: 0 })
    }
    this.owner = new Owner(createOwnerOptions({
      epoch: epochAfter(0),
      journalState: this.journalState,
      store: new StoreAccess(this.store, async () => err(StoreFailure.Refused), this.clock, () => {}),
      fleet: new FakeFleet(),
      clock: this.clock,
      configuration: () => CONFIGURATION
    }))
    this.owner.run().catch((error: unknown) => { throw error })
  }

  /** Submits jobs of a workspace and counts the answers. */
  async submit (workspace: string, count: number, fields = {}): Promise<void> {
    this.answers = {}
    const submitting: Array<Promise<void>> = []
    for (let index = 0; index < count; index++) {
      const id = String(++this.lastId).padStart(16, '0')
      const job = createJob({ id, workspace, acceptedMs: this.clock.wall(), ...LARGE, ...fields })
      submitting.push(this.owner.admit(encodeJob(job), 500).then((answer) => {
        if (answer.isOk()) this.accepted.add(job.id)
        const name = answer.match(() => 'accepted', ({ reason, execution }) => `${reason} ${execution}`)
        this.answers[name] = (this.answers[name] ?? 0) + 1
        if (answer.isOk()) return
        this.retryAfterMs = answer.error.retryAfterMs
        expect(this.retryAfterMs).toBeGreaterThanOrEqual(1000)
      }))
      if (index % 20 === 0) await vi.advanceTimersByTimeAsync(50)
    }
    await vi.advanceTimersByTimeAsync(1000)
    await Promise.all(submitting)
  }

  /** Cancels all jobs of the journal. */
  async cancelAll (): Promise<void> {
    const atMs = this.clock.wall()
    const records = [...this.journalState.jobs.keys()].map((id) => encodeRecord(Subject.Cancellation, id, { atMs }))
    const appending = this.owner.append(records, 500)
    await vi.advanceTimersByTimeAsync(3000)
    await appending
  }

  fail (failure: StoreFailure | undefined): void {
    this.store.fault = failure === undefined ? undefined : (call: StoreCall) => 'append' in call ? failure : undefined
  }
}

const REFUSED = `${Reason.LimitReached} ${Execution.NotRun}`

let cell: Cell
beforeEach(() => {
  vi.useFakeTimers()
  cell = new Cell()
})
afterEach(() => {
  cell.owner.close()
  vi.useRealTimers()
})

describe('a flood of jobs that wait', () => {
  it.each([
    { kind: 'jobs that run once', fields: {} },
    { kind: 'jobs with a schedule', fields: { occurrences: 5, firstDueMs: Date.now() + 3_600_000, intervalMs: 1000, steps: [createStep({ count: 18 })] } },
    { kind: 'long-running jobs', fields: { steps: [createStep({ count: 90, lasting: true })] } },
    { kind: 'jobs without a key', fields: { workspace: '' } }
  ])('is accepted as far as the smallest node can hold it, with room left for another workspace: $kind', async ({ fields }) => {
    await cell.submit('a', FLOOD, fields)
    expect(Object.keys(cell.answers).sort()).toEqual(['accepted', REFUSED].sort())
    await cell.submit('b', 5)
    expect(cell.answers).toEqual({ accepted: 5 })
    const successor = stateOf(cell.store.records[Topic.Journal])
    expect(successor.backlog.totalBytes).toBe(cell.journalState.backlog.totalBytes)
    expect(successor.backlog.totalBytes).toBeLessThanOrEqual(backlogBoundOf(SMALL_MB))
    expect(new Set(successor.jobs.keys())).toEqual(cell.accepted)
  })

  it('is taken again after its jobs were cancelled', async () => {
    await cell.submit('a', FLOOD)
    const first = cell.answers.accepted!
    await cell.cancelAll()
    expect([...cell.journalState.jobs.values()].every((entry) => entry.visiblePhase() === Phase.Cancelled)).toBe(true)
    await cell.submit('a', 10)
    expect([first > 10, cell.answers]).toEqual([true, { accepted: 10 }])
  })

  it.each([
    { tasks: 20_000, answer: 'accepted' },
    { tasks: 30_000, answer: `${Reason.TooLarge} ${Execution.NotRun}` }
  ])('does not count the record of a job of $tasks tasks by its tasks while it waits: $answer', async ({ tasks, answer }) => {
    const job = createJob({ id: 'e'.repeat(16), workspace: 'a', steps: [createStep({ count: tasks })], acceptedMs: cell.clock.wall() })
    const admitting = cell.owner.admit(encodeJob(job), 500)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await admitting).match(() => 'accepted', ({ reason, execution }) => `${reason} ${execution}`)).toBe(answer)
  })

  // Guards against callers that are told to return soon by the reservations of jobs that were accepted.
  it('is told to return late while none of its jobs ends', async () => {
    await cell.submit('a', FLOOD)
    await vi.advanceTimersByTimeAsync(3000)
    await cell.submit('a', 1)
    expect([cell.answers, cell.retryAfterMs]).toEqual([{ [REFUSED]: 1 }, 20_000])
  })

  it('does not refuse a job that is known', async () => {
    await cell.submit('a', FLOOD)
    const [known] = cell.accepted
    const again = await cell.owner.admit(encodeJob(createJob({ id: known!, workspace: 'a', ...LARGE })), 500)
    expect(again.isOk()).toBe(true)
  })

  it('is refused when jobs that have ended hold too much, with room left for another workspace', async () => {
    const { backlog } = cell.journalState
    for (let index = 0; backlog.totalBytes < backlog.boundBytes; index++) {
      const id = index.toString(16).padStart(16, 'd')
      const end = { queue: 'preview', workspace: 'a', acceptedMs: cell.clock.wall(), phase: Phase.Completed, endedMs: cell.clock.wall() }
      cell.journalState.apply({ ...encodeJobEnd(id, end), offset: index })
    }
    await cell.submit('a', 3)
    expect(cell.answers).toEqual({ [REFUSED]: 3 })
    await cell.submit('b', 3)
    expect(cell.answers).toEqual({ accepted: 3 })
  })
})

describe('a flood of jobs while the store cannot be written', () => {
  it.each([
    { store: 'refuses', failure: StoreFailure.Refused, outcome: `${Reason.LogUnavailable} ${Execution.NotRun}` },
    { store: 'does not answer', failure: StoreFailure.NoAnswer, outcome: `${Reason.LogUnavailable} ${Execution.Unknown}` }
  ])('waits only as far as there is room, and all is taken later: the store $store', async ({ failure, outcome }) => {
    cell.fail(failure)
    await cell.submit('a', FLOOD)
    expect(cell.answers[REFUSED]).toBeGreaterThan(0)
    expect(Object.keys(cell.answers)).toContain(outcome)
    expect(cell.accepted.size).toBe(0)
    expect(cell.journalState.backlog.totalBytes).toBeLessThanOrEqual(backlogBoundOf(SMALL_MB))
    cell.fail(undefined)
    await vi.advanceTimersByTimeAsync(1000)
    for (const record of cell.store.records[Topic.Journal]) cell.journalState.apply(record, cell.owner.epoch)
    await vi.advanceTimersByTimeAsync(1000)
    await cell.submit('b', 10)
    expect(cell.answers).toEqual({ accepted: 10 })
    const held = cell.journalState.backlog.totalBytes
    expect(held).toBe(stateOf(cell.store.records[Topic.Journal]).backlog.totalBytes)
  })

  it('does not refuse as not run what an append without an answer may have stored', async () => {
    cell.fail(StoreFailure.NoAnswer)
    const record = encodeJob(createJob({ id: 'f'.repeat(16), workspace: 'a', ...LARGE }))
    const admit = async (): Promise<string> => {
      const admitting = cell.owner.admit(record, 100)
      await vi.advanceTimersByTimeAsync(1000)
      return (await admitting).match(() => 'accepted', ({ execution }) => execution)
    }
    const first = await admit()
    await cell.submit('a', FLOOD)
    expect([first, cell.answers[REFUSED]! > 0, await admit()]).toEqual([Execution.Unknown, true, Execution.Unknown])
  })
})
