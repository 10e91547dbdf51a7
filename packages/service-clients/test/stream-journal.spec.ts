/**
 * Tests the journal on a log with injected faults, with a fake clock.
 */
import fc from 'fast-check'
import type { Result } from 'neverthrow'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { RecordKind, StateMachine, JournalFailure, type JournalError } from '@fireflymount/service-clients/journal'
import { StreamJournal } from '@fireflymount/service-clients/stream-journal'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { run } from './fake-clock.js'
import { CallOutcome, FakeLog, type Call } from './fake-log.js'

interface Change { id: number, counter: number, node: string }

class ListStateMachine extends StateMachine {
  changes: Change[] = []

  apply (change: unknown): void {
    this.changes.push(change as Change)
  }

  snapshot (): readonly unknown[] {
    const parts: unknown[] = []
    for (let from = 0; from < this.changes.length; from += 3) parts.push(this.changes.slice(from, from + 3))
    return parts
  }

  restore (parts: readonly unknown[]): void {
    this.changes = parts.flat() as Change[]
  }
}

const CALL_SETTINGS = { appendTimeoutMs: 40, readTimeoutMs: 40, minRetryDelayMs: 2, maxRetryDelayMs: 20 }

function createStream (
  log: FakeLog, commitMs = 5, callSettings = CALL_SETTINGS
): { journal: StreamJournal, stateMachine: ListStateMachine } {
  const stateMachine = new ListStateMachine()
  const journal = new StreamJournal({
    log,
    stream: 'shard.test',
    clock: new SystemClock(),
    stateMachine,
    commitMs,
    snapshotRecords: 4,
    snapshotMs: 60_000,
    timeoutMs: 200,
    callSettings
  })
  return { journal, stateMachine }
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  vi.useRealTimers()
  vi.restoreAllMocks()
})

/** The changes in effect by the rules in docs/STREAMS.md, computed independently over all records ever appended. */
function expectedChanges (log: FakeLog): Change[] {
  const changes: Change[] = []
  let holder: Epoch = { counter: 0, node: '' }
  let last = 0
  for (const { data } of log.records as Array<{ data: any }>) {
    if (data.entry === RecordKind.Claim && data.epoch.counter > holder.counter) {
      holder = data.epoch
      last = 0
    }
    if (data.entry !== RecordKind.Commit || data.epoch.counter !== holder.counter || data.epoch.node !== holder.node) continue
    if (data.sequence <= last) continue
    last = data.sequence
    changes.push(...data.changes)
  }
  return changes
}

const callArbitrary = fc.record({
  callOutcome: fc.oneof(
    { weight: 6, arbitrary: fc.constant(CallOutcome.Served) }, fc.constantFrom(...Object.values(CallOutcome))
  ),
  delayMs: fc.integer({ min: 0, max: 30 })
})
const actionArbitrary = fc.record({
  writer: fc.constantFrom(0, 1),
  kind: fc.constantFrom('claim', 'commit', 'commit', 'commit', 'commit', 'commit', 'snapshot', 'expire', 'newReader'),
  pauseMs: fc.integer({ min: 0, max: 25 })
})

interface Report { id: number, failure: JournalFailure | undefined }

function createReport (id: number, result: Result<void, JournalError>): Report {
  return { id, failure: result.isOk() ? undefined : result.error.failure }
}

test('with two writers and faults of the log, all readers reach the same state, and the result of each change is correct', async () => {
  let applied = 0
  let failed = 0
  const faults = fc.array(callArbitrary, { minLength: 40, maxLength: 120 })
  const actions = fc.array(actionArbitrary, { minLength: 30, maxLength: 80 })
  const property = fc.asyncProperty(faults, actions, fc.nat(), async (calls, steps, seed) => {
    let random = seed
    vi.spyOn(Math, 'random').mockImplementation(() => (random = (random * 16_807 + 7) % 2_147_483_647) / 2_147_483_647)
    const log = new FakeLog()
    const nodes = ['a', 'b']
    const writers = nodes.map(() => createStream(log))
    await run(writers[0]!.journal.claim({ counter: 1, node: 'a' }, []))
    log.calls = [...calls]
    const stop = new AbortController()
    const follows = writers.map(({ journal }) => journal.follow(50, stop.signal))
    const reports: Array<Promise<Report>> = []
    const others: Array<Promise<unknown>> = []
    for (const [id, { writer, kind, pauseMs }] of steps.entries()) {
      const { journal } = writers[writer]!
      const node = nodes[writer]!
      const counter = journal.holder()?.epoch.counter ?? 0
      if (kind === 'claim') others.push(journal.claim({ counter: counter + 1, node }, []))
      if (kind === 'commit') reports.push(journal.commit({ id, counter, node }, 60).then((result) => createReport(id, result)))
      if (kind === 'snapshot') others.push(journal.writeSnapshotIfDue())
      if (kind === 'expire') log.earliest = Math.max(log.earliest, findFirstOffsetAfterSnapshot(log))
      if (kind === 'newReader') others.push(createStream(log).journal.catchUp())
      await vi.advanceTimersByTimeAsync(pauseMs)
    }
    log.calls = []
    const outcomes = await run(Promise.all(reports))
    await run(Promise.all(others))
    await vi.advanceTimersByTimeAsync(200)
    const fresh = createStream(log)
    for (const { journal } of [...writers, fresh]) expect((await run(journal.catchUp())).isOk()).toBe(true)
    stop.abort()
    await run(Promise.all(follows))

    const expected = expectedChanges(log)
    for (const { stateMachine } of [...writers, fresh]) expect(stateMachine.changes).toEqual(expected)
    const ids = expected.map((change) => change.id)
    expect(new Set(ids).size).toBe(ids.length)
    for (const { id, failure } of outcomes) {
      const isApplied = ids.includes(id)
      if (failure !== JournalFailure.Unknown) expect({ id, isApplied }).toEqual({ id, isApplied: failure === undefined })
      if (failure === undefined) applied += 1
      else failed += 1
    }
  })
  await fc.assert(property, { numRuns: 150 })
  expect(applied).toBeGreaterThan(500)
  expect(failed).toBeGreaterThan(500)
}, 60_000)

/** Offset of the first record that the newest complete snapshot does not include; 0 if there is none. */
function findFirstOffsetAfterSnapshot (log: FakeLog): number {
  const counts = new Map<string, number>()
  let firstOffset = 0
  const seen = new Set<string>()
  for (const { data } of log.records as Array<{ data: any }>) {
    if (data.entry !== RecordKind.Snapshot || seen.has(`${data.snapshot}/${data.part}`)) continue
    seen.add(`${data.snapshot}/${data.part}`)
    counts.set(data.snapshot, (counts.get(data.snapshot) ?? 0) + 1)
    if ((counts.get(data.snapshot) ?? 0) >= data.parts) firstOffset = Math.max(firstOffset, data.asOf + 1)
  }
  return firstOffset
}

async function createHolder (
  log: FakeLog, commitMs?: number
): Promise<{ journal: StreamJournal, stateMachine: ListStateMachine }> {
  const created = createStream(log, commitMs)
  expect((await run(created.journal.claim({ counter: 1, node: 'a' }, ['b']))).isOk()).toBe(true)
  return created
}

const change: Change = { id: 1, counter: 1, node: 'a' }

test.each<[string, Call[]]>([
  ['is lost after it took effect', [{ callOutcome: CallOutcome.LostAfter, delayMs: 1 }]],
  ['is lost before it took effect', [{ callOutcome: CallOutcome.LostBefore, delayMs: 1 }]],
  ['takes effect late, after the retry', [{ callOutcome: CallOutcome.Late, delayMs: 1 }]],
  ['never completes', [{ callOutcome: CallOutcome.Hung, delayMs: 1 }]],
  ['is throttled and whose retry is refused', [{ callOutcome: CallOutcome.Throttled, delayMs: 1 }, { callOutcome: CallOutcome.Refused, delayMs: 1 }]]
])('a change whose append %s is applied once', async (_, calls) => {
  const log = new FakeLog()
  const { journal, stateMachine } = await createHolder(log)
  log.calls = calls
  expect((await run(journal.commit(change, 500))).isOk()).toBe(true)
  await vi.advanceTimersByTimeAsync(100)
  await run(journal.catchUp())
  expect(stateMachine.changes).toEqual([change])
})

test.each([
  [CallOutcome.Refused, JournalFailure.Unavailable],
  [CallOutcome.Throttled, JournalFailure.Unavailable]
])('while every append is %s, a change fails as %s at its timeout and never takes effect', async (defaultOutcome, failure) => {
  const log = new FakeLog()
  const { journal, stateMachine } = await createHolder(log)
  log.defaultOutcome = defaultOutcome
  const startMs = performance.now()
  expect((await run(journal.commit(change, 100)))._unsafeUnwrapErr().failure).toBe(failure)
  expect(performance.now() - startMs).toBeLessThan(200)
  expect(journal.available()).toBe(false)
  log.defaultOutcome = undefined
  expect((await run(journal.commit({ ...change, id: 2 }, 100))).isOk()).toBe(true)
  expect(stateMachine.changes.map((each) => each.id)).toEqual([2])
})

test('a change that may have taken effect stays pending during an outage of minutes, and is then committed', async () => {
  const log = new FakeLog()
  const { journal, stateMachine } = await createHolder(log)
  log.defaultOutcome = CallOutcome.LostBefore
  let reported = false
  const commit = journal.commit(change, 100).finally(() => { reported = true })
  await vi.advanceTimersByTimeAsync(180_000)
  expect(reported).toBe(false)
  log.defaultOutcome = undefined
  expect((await run(commit)).isOk()).toBe(true)
  expect(stateMachine.changes).toEqual([change])
})

test('closing distinguishes changes that were never sent from those that may have taken effect', async () => {
  const log = new FakeLog()
  const { journal } = await createHolder(log)
  log.defaultOutcome = CallOutcome.Hung
  const sent = journal.commit(change, 1000)
  await vi.advanceTimersByTimeAsync(20)
  const queued = journal.commit({ ...change, id: 2 }, 1000)
  journal.close()
  expect((await run(queued))._unsafeUnwrapErr().failure).toBe(JournalFailure.Unavailable)
  expect((await run(sent))._unsafeUnwrapErr().failure).toBe(JournalFailure.Unknown)
})

test('of two claims with the same counter, the first in the log takes effect, and the other fails as superseded', async () => {
  const log = new FakeLog()
  const left = createStream(log)
  const right = createStream(log)
  await run(Promise.all([left.journal.catchUp(), right.journal.catchUp()]))
  const claims = await run(Promise.all([
    left.journal.claim({ counter: 1, node: 'a' }, []), right.journal.claim({ counter: 1, node: 'b' }, [])
  ]))
  expect(claims.map((claim) => claim.isOk())).toEqual([true, false])
  expect(claims[1]?._unsafeUnwrapErr().failure).toBe(JournalFailure.Superseded)
  expect(right.journal.holder()?.epoch.node).toBe('a')
})

test.each<[string, Partial<Record<'append' | 'read', CallOutcome>>, JournalFailure]>([
  ['reads hang', { read: CallOutcome.Hung }, JournalFailure.Unavailable],
  ['appends are refused', { append: CallOutcome.Refused }, JournalFailure.Unavailable],
  ['appends hang', { append: CallOutcome.Hung, read: CallOutcome.Served }, JournalFailure.Unknown]
])('while %s, a claim fails shortly after its timeout, with the correct failure', async (_, outcomes, failure) => {
  const log = new FakeLog()
  log.outcomeByKind = outcomes
  const { journal } = createStream(log, 5, { ...CALL_SETTINGS, appendTimeoutMs: 5000, readTimeoutMs: 5000 })
  const startMs = performance.now()
  expect((await run(journal.claim({ counter: 1, node: 'a' }, [])))._unsafeUnwrapErr().failure).toBe(failure)
  expect(performance.now() - startMs).toBeLessThan(250)
  log.outcomeByKind = {}
  await vi.advanceTimersByTimeAsync(6000)
  expect(log.records.length > 0).toBe(failure === JournalFailure.Unknown)
  expect((await run(journal.claim({ counter: 1, node: 'a' }, []))).isOk()).toBe(true)
})

test('a holder that has not read a newer claim detects it when it appends', async () => {
  const log = new FakeLog()
  const { journal, stateMachine } = await createHolder(log)
  const rival = createStream(log)
  expect((await run(rival.journal.claim({ counter: 2, node: 'b' }, []))).isOk()).toBe(true)
  expect((await run(journal.commit(change, 500)))._unsafeUnwrapErr().failure).toBe(JournalFailure.Superseded)
  expect(stateMachine.changes).toEqual([])
  expect((await run(journal.commit(change, 500)))._unsafeUnwrapErr().failure).toBe(JournalFailure.Superseded)
})

test('changes are batched into few appends', async () => {
  const log = new FakeLog()
  const { journal, stateMachine } = await createHolder(log, 20)
  const before = journal.counters().appends
  const commits: Array<Promise<unknown>> = []
  for (let id = 0; id < 1000; id += 1) {
    commits.push(journal.commit({ ...change, id }, 500))
    if (id % 10 === 0) await vi.advanceTimersByTimeAsync(1)
  }
  await run(Promise.all(commits))
  expect(stateMachine.changes).toHaveLength(1000)
  expect(journal.counters().appends - before).toBeLessThanOrEqual(8)
})

test('changes beyond the limit of the pending queue fail as overloaded', async () => {
  const log = new FakeLog()
  const { journal } = await createHolder(log)
  log.defaultOutcome = CallOutcome.Refused
  const commits = Array.from({ length: 20_100 }, (_, id) => journal.commit({ ...change, id }, 50))
  const results = await run(Promise.all(commits))
  const failures = results.map((result) => result._unsafeUnwrapErr().failure)
  expect(failures.filter((failure) => failure === JournalFailure.Overloaded).length).toBeGreaterThanOrEqual(100)
})

test('a reader whose offset expired restarts from the newest complete snapshot', async () => {
  const log = new FakeLog()
  const late = createStream(log)
  const { journal, stateMachine } = await createHolder(log)
  for (let id = 0; id < 8; id += 1) await run(journal.commit({ ...change, id }, 500))
  expect((await run(journal.writeSnapshotIfDue()))._unsafeUnwrap()).toBe(true)
  expect((await run(journal.writeSnapshotIfDue()))._unsafeUnwrap()).toBe(false)
  await run(journal.commit({ ...change, id: 8 }, 500))
  log.earliest = findFirstOffsetAfterSnapshot(log)
  expect(log.earliest).toBeGreaterThan(0)
  expect((await run(late.journal.catchUp())).isOk()).toBe(true)
  expect(late.stateMachine.changes).toEqual(stateMachine.changes)
  expect(late.journal.holder()).toEqual(journal.holder())
  expect(late.journal.counters()).toMatchObject({ restarts: 1, gaps: 0 })
})

test('a complete snapshot is unusable once a record that it does not include has expired', async () => {
  const log = new FakeLog()
  const { journal, stateMachine } = await createHolder(log)
  await run(journal.commit(change, 500))
  log.calls = [{ callOutcome: CallOutcome.Served, delayMs: 10 }, { callOutcome: CallOutcome.Served, delayMs: 1 }]
  await run(Promise.all([journal.writeSnapshotIfDue(), journal.commit({ ...change, id: 2 }, 500)]))
  expect((log.records as Array<{ data: any }>).map(({ data }) => data.entry)).toEqual(['claim', 'commit', 'commit', 'snapshot'])
  log.earliest = 3
  const late = createStream(log)
  await run(late.journal.catchUp())
  expect(late.journal.counters()).toMatchObject({ restarts: 1, gaps: 1 })
  await run(journal.commit({ ...change, id: 3 }, 500))
  for (let id = 4; id < 8; id += 1) await run(journal.commit({ ...change, id }, 500))
  expect((await run(journal.writeSnapshotIfDue()))._unsafeUnwrap()).toBe(true)
  await run(late.journal.catchUp())
  expect(late.stateMachine.changes).toEqual(stateMachine.changes)
})

test('a reader that finds no complete snapshot counts a gap and restores the next one', async () => {
  const log = new FakeLog()
  const { journal, stateMachine } = await createHolder(log)
  for (let id = 0; id < 8; id += 1) await run(journal.commit({ ...change, id }, 500))
  log.earliest = 5
  const late = createStream(log)
  await run(late.journal.catchUp())
  expect(late.journal.counters()).toMatchObject({ restarts: 1, gaps: 1 })
  expect(late.journal.holder()).toBeUndefined()
  await run(journal.writeSnapshotIfDue())
  await run(late.journal.catchUp())
  expect(late.stateMachine.changes).toEqual(stateMachine.changes)
  expect(late.journal.holder()).toEqual(journal.holder())
})

test('confirmedAtMs falls behind while reads fail, and stays recent while a busy stream is followed', async () => {
  const log = new FakeLog()
  const { journal } = await createHolder(log)
  const reader = createStream(log)
  const stop = new AbortController()
  const follow = reader.journal.follow(1000, stop.signal)
  for (let id = 0; id < 100; id += 1) {
    await run(journal.commit({ ...change, id }, 500))
    await vi.advanceTimersByTimeAsync(20)
  }
  expect(performance.now() - reader.journal.confirmedAtMs()).toBeLessThan(700)
  log.defaultOutcome = CallOutcome.Hung
  await vi.advanceTimersByTimeAsync(5000)
  expect(performance.now() - reader.journal.confirmedAtMs()).toBeGreaterThan(4000)
  stop.abort()
  await run(follow)
})

test('a holder that writes continuously does not read back its own records, and reads a newer claim once it stops writing', async () => {
  const log = new FakeLog()
  const { journal, stateMachine } = createStream(log)
  const stop = new AbortController()
  await run(journal.claim({ counter: 1, node: 'a' }, []))
  const following = journal.follow(1000, stop.signal)
  const readsBefore = log.received.filter(({ kind }) => kind === 'read').length
  for (let id = 0; id < 50; id += 1) {
    await run(journal.commit({ id, counter: 1, node: 'a' }, 1000))
    await vi.advanceTimersByTimeAsync(20)
  }
  expect(stateMachine.changes).toHaveLength(50)
  expect(log.received.filter(({ kind }) => kind === 'read').length - readsBefore).toBeLessThan(3)
  log.store({ entry: RecordKind.Claim, epoch: { counter: 2, node: 'b' }, standbys: [] })
  await vi.advanceTimersByTimeAsync(300)
  expect(journal.holder()?.epoch.node).toBe('b')
  stop.abort()
  await run(following)
})
