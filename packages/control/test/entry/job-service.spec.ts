import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { NEVER, SystemClock, type Stamp } from '../../src/clock.js'
import { Appender } from '../../src/entry/appender.js'
import { JobService, type AuthorizedRequest, type JobServiceOptions } from '../../src/entry/job-service.js'
import { Subject, encodeJob, encodeRecord } from '../../src/journal/record.js'
import { JournalState } from '../../src/journal/journal-state.js'
import type { Configuration } from '../../src/model/configuration.js'
import { Phase } from '../../src/model/job.js'
import { heldBytesOf } from '../../src/place/backlog.js'
import { Store, StoreFailure, Topic, type KeyedRecord, type NewestPage, type RecordPage } from '../../src/ports/store.js'
import { SilentLog } from '../../src/report/log.js'
import { createJob, createQueue, createStep } from '../fakes.js'

const BUDGET_MS = 3000
const CONFIGURATION: Configuration = {
  version: 1,
  queues: [createQueue()],
  upstreams: [],
  workspaces: [],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}

/** Answers appends as scripted by the test. Reads fail. */
class ScriptedStore extends Store {
  appends = 0
  constructor (private readonly answer: () => Promise<Result<number, StoreFailure>>) {
    super()
  }

  /** Number of records in each append. */
  readonly sizes: number[] = []
  override async append (_: Topic, records: readonly KeyedRecord[]): Promise<Result<number, StoreFailure>> {
    this.appends++
    this.sizes.push(records.length)
    return await this.answer()
  }

  override async read (): Promise<Result<RecordPage, StoreFailure>> {
    return err(StoreFailure.NoAnswer)
  }

  override async newest (): Promise<Result<NewestPage, StoreFailure>> {
    return err(StoreFailure.NoAnswer)
  }
}

type Forwarded = Result<void, Refusal> | undefined
const WRITTEN: Forwarded = ok(undefined)
const LATE: Forwarded = err(refuse(Reason.DeadlineUnreachable, 'late', 4000))
const UNAVAILABLE: Forwarded = err(refuse(Reason.LogUnavailable, 'unavailable', 1000))
const LOST: Forwarded = err({ reason: Reason.ConnectionLost, detail: 'lost', execution: Execution.Unknown })

function createJobService (
  store: Store, forwarded: Forwarded, journalState = new JournalState(), options: Partial<JobServiceOptions> = {}
): JobService {
  const clock = new SystemClock()
  return new JobService({
    configuration: () => CONFIGURATION,
    configurationFreshAt: () => clock.stamp(),
    configurationAgeMaxMs: 3500,
    journalState: () => journalState,
    store,
    catchUp: async () => {},
    journalFreshAt: () => clock.stamp(),
    forwardToOwner: async () => forwarded,
    applyAppended: () => {},
    askPhase: async () => undefined,
    countUnstarted: async () => 0,
    clock,
    log: new SilentLog(),
    ...options
  })
}

function idOf (index: number): string {
  return String(index).padStart(16, '0')
}

function submit (jobService: JobService, index: number, onResult: (result: Result<void, Refusal>) => void): void {
  const authorized: AuthorizedRequest = jobService.authorize('h', '/', '')._unsafeUnwrap()
  const submission = { id: idOf(index), payload: 'text', steps: [createStep()], occurrences: 0, firstDueMs: 0, intervalMs: 0 }
  jobService.submit(authorized, submission, BUDGET_MS).then(onResult).catch(() => {})
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

const neverAnswer = (): Promise<Result<number, StoreFailure>> => new Promise(() => {})

describe('a submitted job', () => {
  it.each([
    ['is accepted once the owner has written it', WRITTEN, neverAnswer, undefined, 0, 0],
    ['is refused at once and certainly not stored when the job would miss its objective', LATE, neverAnswer, Execution.NotRun, 50, 0],
    ['is refused at once and certainly not stored when the store is unavailable to the owner',
      UNAVAILABLE, neverAnswer, Execution.NotRun, 50, 0],
    ['is written by this node when no owner can be reached', undefined, async () => ok(1), undefined, 50, 1],
    ['is written by this node when the owner\'s answer was lost', LOST, async () => ok(1), undefined, 50, 1],
    ['is refused within 1200 ms when the store refuses all appends',
      undefined, async () => err(StoreFailure.Refused), Execution.NotRun, 1200, undefined],
    ['gets an answer before the caller\'s deadline when the store does not answer',
      undefined, neverAnswer, Execution.Unknown, BUDGET_MS - 100, 1],
    ['has an unknown outcome when the owner\'s answer was lost and the store refuses the append',
      LOST, async () => err(StoreFailure.Refused), Execution.Unknown, BUDGET_MS - 100, undefined]
  ])('%s', async (_, forwarded: Forwarded, answer: () => Promise<Result<number, StoreFailure>>, execution, withinMs, appends) => {
    const store = new ScriptedStore(answer)
    const jobService = createJobService(store, forwarded)
    let outcome: Result<void, Refusal> | undefined
    submit(jobService, 1, (result) => { outcome = result })
    await vi.advanceTimersByTimeAsync(withinMs)
    expect(outcome === undefined ? 'open' : outcome.isOk() ? undefined : outcome.error.execution).toBe(execution)
    if (appends !== undefined) expect(store.appends).toBe(appends)
  })

  it('shares one append with all pending jobs while the store is slow', async () => {
    const store = new ScriptedStore(async () => {
      await new Promise((resolve) => setTimeout(resolve, 500))
      return ok(1)
    })
    const jobService = createJobService(store, undefined)
    const outcomes: boolean[] = []
    for (let index = 0; index < 20; index++) submit(jobService, index, (result) => { outcomes.push(result.isOk()) })
    await vi.advanceTimersByTimeAsync(1100)
    expect([store.sizes, outcomes.length, outcomes.every(Boolean)]).toEqual([[1, 19], 20, true])
  })

  it('is accepted if it is read from the journal although the answer to its append was lost', async () => {
    const store = new ScriptedStore(neverAnswer)
    const journalState = new JournalState()
    const jobService = createJobService(store, LOST, journalState)
    let accepted = false
    submit(jobService, 1, (result) => { accepted = result.isOk() })
    await vi.advanceTimersByTimeAsync(500)
    journalState.apply({ ...encodeJob(createJob({ id: idOf(1) })), offset: 1 })
    await vi.advanceTimersByTimeAsync(BUDGET_MS)
    expect(accepted).toBe(true)
  })
})

describe('a job for which this node has no room by its copy of the journal', () => {
  it.each([
    { owner: 'could not be reached', forwarded: undefined, outcome: `${Reason.LimitReached} ${Execution.NotRun}`, appends: 0 },
    { owner: 'has written it', forwarded: WRITTEN, outcome: 'accepted', appends: 0 },
    { owner: 'may have written it', forwarded: LOST, outcome: 'accepted', appends: 1 }
  ])('is $outcome if the owner $owner', async ({ forwarded, outcome, appends }) => {
    const store = new ScriptedStore(async () => ok(1))
    const journalState = new JournalState()
    journalState.backlog.add('', journalState.backlog.boundBytes)
    const jobService = createJobService(store, forwarded, journalState)
    let answer = ''
    submit(jobService, 1, (result) => { answer = result.match(() => 'accepted', ({ reason, execution }) => `${reason} ${execution}`) })
    await vi.advanceTimersByTimeAsync(50)
    expect([answer, store.appends]).toEqual([outcome, appends])
  })

  it('is not refused as not run while an earlier append of this node may have stored it', async () => {
    const journalState = new JournalState()
    const jobService = createJobService(new ScriptedStore(neverAnswer), undefined, journalState)
    const outcomes: Execution[] = []
    submit(jobService, 1, (result) => { outcomes.push(result._unsafeUnwrapErr().execution) })
    await vi.advanceTimersByTimeAsync(BUDGET_MS)
    journalState.backlog.add('', journalState.backlog.boundBytes)
    submit(jobService, 1, (result) => { outcomes.push(result._unsafeUnwrapErr().execution) })
    await vi.advanceTimersByTimeAsync(BUDGET_MS)
    expect(outcomes).toEqual([Execution.Unknown, Execution.Unknown])
  })

  // Guards against a caller that is told that its job never runs while its earlier attempt on the same node may still store it.
  it('is not refused as not run while another submission of it is in progress', async () => {
    const journalState = new JournalState()
    const jobService = createJobService(new ScriptedStore(neverAnswer), undefined, journalState)
    const outcomes: Execution[] = []
    submit(jobService, 1, (result) => { outcomes.push(result._unsafeUnwrapErr().execution) })
    await vi.advanceTimersByTimeAsync(50)
    journalState.backlog.add('', journalState.backlog.boundBytes)
    submit(jobService, 1, (result) => { outcomes.push(result._unsafeUnwrapErr().execution) })
    await vi.advanceTimersByTimeAsync(50)
    expect(outcomes).toEqual([Execution.Unknown])
  })

  // Guards against large jobs that are refused in calm because the cell has many nodes.
  it('is accepted if it is larger than this node\'s part of a calm backlog', async () => {
    const journalState = new JournalState()
    const address = { incarnation: '1', host: '10.0.0.1', port: 7000, zone: 'z', memoryMb: 210 }
    for (let index = 0; index < 43; index++) {
      journalState.apply({ ...encodeRecord(Subject.Node, `n${index}`, { ...address, node: `n${index}` }), offset: index })
    }
    const jobService = createJobService(new ScriptedStore(async () => ok(1)), undefined, journalState)
    const submission = { id: idOf(1), payload: 'text', steps: [createStep({ count: 5000 })], occurrences: 0, firstDueMs: 0, intervalMs: 0 }
    const submitting = jobService.submit(jobService.authorize('h', '/', '')._unsafeUnwrap(), submission, BUDGET_MS)
    await vi.advanceTimersByTimeAsync(BUDGET_MS)
    expect((await submitting).isOk()).toBe(true)
  })

  it('is refused while the jobs that wait for the store take the room', async () => {
    const journalState = new JournalState()
    const { backlog } = journalState
    const jobService = createJobService(new ScriptedStore(neverAnswer), undefined, journalState)
    // Leaves room for one job.
    const bytes = heldBytesOf(createJob({ payload: 'text', steps: [createStep()] }))
    while (backlog.findShortage('', 2 * bytes) === undefined) backlog.add('', bytes)
    const executions: Execution[] = []
    submit(jobService, 1, (result) => { executions.push(result._unsafeUnwrapErr().execution) })
    submit(jobService, 2, (result) => { executions.push(result._unsafeUnwrapErr().execution) })
    await vi.advanceTimersByTimeAsync(50)
    expect(executions).toEqual([Execution.NotRun])
    await vi.advanceTimersByTimeAsync(BUDGET_MS)
    expect([executions.length, backlog.findShortage('', bytes)]).toEqual([2, undefined])
  })

  it('is accepted again once jobs have ended', async () => {
    const journalState = new JournalState()
    const { backlog } = journalState
    backlog.add('', backlog.boundBytes)
    const jobService = createJobService(new ScriptedStore(async () => ok(1)), undefined, journalState)
    const outcomes: boolean[] = []
    submit(jobService, 1, (result) => { outcomes.push(result.isOk()) })
    await vi.advanceTimersByTimeAsync(50)
    backlog.remove('', backlog.boundBytes)
    submit(jobService, 1, (result) => { outcomes.push(result.isOk()) })
    await vi.advanceTimersByTimeAsync(50)
    expect(outcomes).toEqual([false, true])
  })
})

describe('records that this node appends by itself', () => {
  it.each([
    { before: Execution.NotRun },
    { before: Execution.Unknown }
  ])('are given up as $before beyond the maximum that may wait, and taken again afterwards', async ({ before }) => {
    let answers: Array<(result: Result<number, StoreFailure>) => void> = []
    const store = new ScriptedStore(() => new Promise((resolve) => { answers.push(resolve) }))
    const appender = new Appender(store, new SystemClock())
    const append = (index: number): Promise<Execution> => {
      return appender.append({ key: idOf(index), value: Buffer.alloc(1e6) }, 60_000, before)
    }
    const appending = Array.from({ length: 4 }, (_, index) => append(index))
    expect(await append(5)).toBe(before)
    while (answers.length > 0) {
      for (const answer of answers.splice(0)) answer(ok(1))
      await vi.advanceTimersByTimeAsync(1)
    }
    expect(await Promise.all(appending)).toEqual(appending.map(() => Execution.Run))
    const again = append(6)
    answers[0]!(ok(1))
    answers = []
    expect(await again).toBe(Execution.Run)
  })
})

describe('a job that this node does not know', () => {
  // Guards against LOST of the incident: nodes that had not read the journal after a restart denied accepted jobs.
  it.each([
    { call: 'lookup', journal: 'was never read', freshAt: () => NEVER, reason: Reason.LogUnavailable },
    { call: 'cancel', journal: 'was never read', freshAt: () => NEVER, reason: Reason.LogUnavailable },
    { call: 'lookup', journal: 'was read before the request', freshAt: staleStamp, reason: Reason.LogUnavailable },
    { call: 'cancel', journal: 'was read before the request', freshAt: staleStamp, reason: Reason.LogUnavailable },
    { call: 'lookup', journal: 'is current', freshAt: () => new SystemClock().stamp(), reason: Reason.NoSuchJob },
    { call: 'cancel', journal: 'is current', freshAt: () => new SystemClock().stamp(), reason: Reason.NoSuchJob }
  ])('has the reason $reason on a $call if the journal $journal', async ({ call, freshAt, reason }) => {
    const store = new ScriptedStore(async () => ok(1))
    const jobService = createJobService(store, undefined, new JournalState(), { journalFreshAt: freshAt })
    const authorized = jobService.authorize('h', '/', '')._unsafeUnwrap()
    const answer = call === 'lookup'
      ? await jobService.lookup(authorized, idOf(1))
      : await jobService.cancel(authorized, idOf(1), BUDGET_MS)
    expect(answer._unsafeUnwrapErr()).toMatchObject({ reason, execution: Execution.NotRun })
  })
})

describe('a lookup', () => {
  // Owners of earlier builds answer for jobs of any queue.
  it.each([
    { phase: Phase.Active }, { phase: null }, { phase: undefined }
  ])('is refused for a known job of another queue if the owner answers $phase', async ({ phase }) => {
    const journalState = new JournalState()
    journalState.apply({ ...encodeJob(createJob({ id: idOf(1), queue: 'another' })), offset: 1 })
    const jobService = createJobService(new ScriptedStore(neverAnswer), undefined, journalState, { askPhase: async () => phase })
    const answer = await jobService.lookup(jobService.authorize('h', '/', '')._unsafeUnwrap(), idOf(1))
    expect(answer._unsafeUnwrapErr()).toMatchObject({ reason: Reason.NoSuchJob, execution: Execution.NotRun })
  })
})

describe('the cancellation of a job that this node knows', () => {
  // Guards against UNASKED: a cancellation is acknowledged although neither it nor the end of the job is in the journal, and a successor
  // goes on with the job.
  it.each([
    { job: 'is at work', phase: Phase.Active, committedPhase: Phase.Active, appends: 1 },
    { job: 'has ended, but its end is not in the journal yet', phase: Phase.Failed, committedPhase: Phase.Active, appends: 1 },
    { job: 'has ended, and its end is in the journal', phase: Phase.Failed, committedPhase: Phase.Failed, appends: 0 }
  ])('takes $appends appends if the job $job', async ({ phase, committedPhase, appends }) => {
    const store = new ScriptedStore(async () => ok(1))
    const journalState = new JournalState()
    journalState.apply({ ...encodeJob(createJob({ id: idOf(1) })), offset: 1 })
    Object.assign(journalState.jobs.get(idOf(1))!, { phase, committedPhase })
    const jobService = createJobService(store, undefined, journalState)
    const answer = await jobService.cancel(jobService.authorize('h', '/', '')._unsafeUnwrap(), idOf(1), BUDGET_MS)
    expect([answer.isOk(), store.appends]).toEqual([true, appends])
  })
})

describe('the cancellation of a job that this node does not know', () => {
  const EARLY = { ...encodeRecord(Subject.Cancellation, idOf(1), { atMs: 5, queue: 'preview', workspace: '' }), offset: 1 }

  // Guards against UNASKED: a cancellation is acknowledged while an append may still store the job, which then runs to its end.
  it.each([
    { says: 'is stored before the job is said not to exist', answer: async () => ok(1), reason: Reason.NoSuchJob, appends: 1 },
    { says: 'is refused if the store refuses it', answer: async () => err(StoreFailure.Refused), reason: Reason.LogUnavailable },
    { says: 'is refused if the store does not answer', answer: neverAnswer, reason: Reason.LogUnavailable, appends: 1 }
  ])('$says', async ({ answer, reason, appends }) => {
    const store = new ScriptedStore(answer)
    const jobService = createJobService(store, undefined)
    const cancelling = jobService.cancel(jobService.authorize('h', '/', '')._unsafeUnwrap(), idOf(1), BUDGET_MS)
    await vi.advanceTimersByTimeAsync(BUDGET_MS)
    expect((await cancelling)._unsafeUnwrapErr().reason).toBe(reason)
    if (appends !== undefined) expect(store.appends).toBe(appends)
  })

  it.each([
    { says: 'is not stored twice', queue: 'preview', appends: 0 },
    { says: 'is stored although one for another queue is', queue: 'another', appends: 1 }
  ])('$says', async ({ queue, appends }) => {
    const store = new ScriptedStore(async () => ok(1))
    const journalState = new JournalState()
    journalState.apply({ ...encodeRecord(Subject.Cancellation, idOf(1), { atMs: 5, queue, workspace: '' }), offset: 1 })
    const jobService = createJobService(store, undefined, journalState)
    const answer = await jobService.cancel(jobService.authorize('h', '/', '')._unsafeUnwrap(), idOf(1), BUDGET_MS)
    expect([answer._unsafeUnwrapErr().reason, store.appends]).toEqual([Reason.NoSuchJob, appends])
  })

  it('is acknowledged if the job is read while it is being stored', async () => {
    const journalState = new JournalState()
    const jobService = createJobService(new ScriptedStore(async () => ok(1)), undefined, journalState, {
      applyAppended: (record) => {
        journalState.apply({ ...record, offset: 1 })
        journalState.apply({ ...encodeJob(createJob({ id: idOf(1) })), offset: 2 })
      }
    })
    const answer = await jobService.cancel(jobService.authorize('h', '/', '')._unsafeUnwrap(), idOf(1), BUDGET_MS)
    expect([answer.isOk(), journalState.jobs.get(idOf(1))?.visiblePhase()]).toEqual([true, Phase.Cancelled])
  })

  // Guards against a client that fills the memory of the nodes with cancellations of jobs that it never submits.
  it('is refused if the backlog has no room for it', async () => {
    const journalState = new JournalState(() => {}, () => 1)
    const store = new ScriptedStore(async () => ok(1))
    const jobService = createJobService(store, undefined, journalState)
    journalState.apply(EARLY)
    const answer = await jobService.cancel(jobService.authorize('h', '/', '')._unsafeUnwrap(), idOf(2), BUDGET_MS)
    expect([answer._unsafeUnwrapErr().reason === Reason.NoSuchJob, store.appends]).toEqual([false, 0])
  })
})

describe('a request that needs the journal', () => {
  it.each([
    { call: 'lookup', freshAt: staleStamp, withinMs: 450 },
    { call: 'count', freshAt: () => NEVER, withinMs: 450 }
  ])('is refused within $withinMs ms while the journal is being read: $call', async ({ call, freshAt, withinMs }) => {
    const jobService = createJobService(new ScriptedStore(neverAnswer), undefined, new JournalState(), {
      journalFreshAt: freshAt, catchUp: () => new Promise(() => {})
    })
    const authorized = jobService.authorize('h', '/', '')._unsafeUnwrap()
    let reason: Reason | undefined
    const answering = call === 'lookup' ? jobService.lookup(authorized, idOf(1)) : jobService.countPending(authorized)
    answering.then((answer) => { reason = answer._unsafeUnwrapErr().reason }).catch(() => {})
    await vi.advanceTimersByTimeAsync(withinMs)
    expect(reason).toBe(Reason.LogUnavailable)
  })

  // Guards against a page of the journal in memory for each of many requests.
  it.each(['lookup', 'count'])('shares its read with others: %s', async (call) => {
    let reads = 0
    const catchUp = async (): Promise<void> => {
      reads++
      await new Promise(() => {})
    }
    const jobService = createJobService(new ScriptedStore(neverAnswer), undefined, new JournalState(), {
      journalFreshAt: () => NEVER, catchUp
    })
    const authorized = jobService.authorize('h', '/', '')._unsafeUnwrap()
    const answering = Array.from({ length: 300 }, async (_, index) => {
      return call === 'lookup' ? await jobService.lookup(authorized, idOf(index)) : await jobService.countPending(authorized)
    })
    await vi.advanceTimersByTimeAsync(450)
    await Promise.all(answering)
    expect(reads).toBeLessThanOrEqual(8)
    expect(reads).toBeGreaterThan(0)
  })

  it.each([
    { age: 'as old as visible counts may be', ageMs: 2900, waiting: 1 },
    { age: 'older', ageMs: 3100, waiting: Reason.LogUnavailable }
  ])('counts the pending jobs of a queue only with a journal that is recent enough: $age', async ({ ageMs, waiting }) => {
    const journalState = new JournalState()
    journalState.apply({ ...encodeJob(createJob({ id: idOf(1) })), offset: 1 })
    const jobService = createJobService(new ScriptedStore(neverAnswer), undefined, journalState, {
      journalFreshAt: () => staleStamp(ageMs)
    })
    const counted = await jobService.countPending(jobService.authorize('h', '/', '')._unsafeUnwrap())
    expect(counted.isOk() ? counted.value : counted.error.reason).toBe(waiting)
  })

  it('adds the jobs that the owner has assigned and that have not started', async () => {
    const journalState = new JournalState()
    journalState.apply({ ...encodeJob(createJob({ id: idOf(1) })), offset: 1 })
    const jobService = createJobService(new ScriptedStore(neverAnswer), undefined, journalState, {
      countUnstarted: async (queue) => queue === 'preview' ? 2 : 0
    })
    const counted = await jobService.countPending(jobService.authorize('h', '/', '')._unsafeUnwrap())
    expect(counted._unsafeUnwrap()).toBe(3)
  })
})

function staleStamp (ageMs = 1000): Stamp {
  const { steadyMs, wallMs } = new SystemClock().stamp()
  return { steadyMs: steadyMs - ageMs, wallMs: wallMs - ageMs }
}
