import { describe, expect, it, vi, beforeEach, afterEach } from 'vitest'
import { decodeValue, encodeRecord, Subject } from '../../src/journal/record.js'
import type { Encoder } from '../../src/journal/job-changes.js'
import { Writer } from '../../src/journal/writer.js'
import { StoreAccess } from '../../src/membership/access.js'
import { StoreFailure, Topic } from '../../src/ports/store.js'
import { SystemClock, type Clock } from '../../src/clock.js'
import { FakeStore } from '../fakes.js'
import { err } from 'neverthrow'

function createFixture (): { store: FakeStore, access: StoreAccess, clock: Clock, stop: AbortController } {
  const clock = new SystemClock()
  const store = new FakeStore()
  const access = new StoreAccess(store, async () => err(StoreFailure.Refused), clock, () => {})
  return { store, access, clock, stop: new AbortController() }
}

function change (name: string, value: () => unknown): ReadonlyMap<string, Encoder> {
  return new Map([[`p/${name}`, () => encodeRecord(Subject.Progress, name, value())]])
}

function valuesOf (store: FakeStore): unknown[] {
  return store.records[Topic.Journal].map((record) => decodeValue(record.value!)._unsafeUnwrap())
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('the writer of the owner', () => {
  it('combines commits made together into few appends', async () => {
    const { store, access, clock, stop } = createFixture()
    const writer = new Writer(access, clock, 1, 5, clock.stamp(), () => {})
    const running = writer.run(stop.signal)
    const commits = [
      writer.commit(change('a', () => 1)), writer.commit(change('b', () => 2)), writer.commit(change('c', () => 3))
    ]
    await vi.advanceTimersByTimeAsync(50)
    expect((await Promise.all(commits)).every((commit) => commit.isOk())).toBe(true)
    expect(valuesOf(store)).toEqual([1, 2, 3])
    expect(store.calls).toBeLessThan(3)
    stop.abort()
    await running
  })

  it('combines commits that arrive shortly after an append into few appends', async () => {
    const { store, access, clock, stop } = createFixture()
    const writer = new Writer(access, clock, 1, 5, clock.stamp(), () => {})
    const running = writer.run(stop.signal)
    const commits = []
    for (let index = 0; index < 30; index++) {
      commits.push(writer.commit(change(`${index}`, () => index)))
      await vi.advanceTimersByTimeAsync(2)
    }
    await vi.advanceTimersByTimeAsync(50)
    expect((await Promise.all(commits)).every((commit) => commit.isOk())).toBe(true)
    expect(store.calls).toBeLessThanOrEqual(5)
    stop.abort()
    await running
  })

  it.each([
    ['the store refused it', false],
    ['the answer was lost after the append', true]
  ])('retries an append and writes it once when %s', async (_, loseAnswers) => {
    const { store, access, clock, stop } = createFixture()
    let faults = 3
    store.loseAnswers = loseAnswers
    store.fault = () => faults-- > 0 ? (loseAnswers ? StoreFailure.NoAnswer : StoreFailure.Refused) : undefined
    const writer = new Writer(access, clock, 1, 5, clock.stamp(), () => {})
    const running = writer.run(stop.signal)
    const commit = writer.commit(change('a', () => 'content'))
    await vi.advanceTimersByTimeAsync(3000)
    expect((await commit).isOk()).toBe(true)
    expect(valuesOf(store).filter((value) => value === 'content')).toHaveLength(1)
    stop.abort()
    await running
  })

  it.each([
    ['withdraws a record that the store refuses, and never writes it', StoreFailure.Refused, true, 0],
    ['does not withdraw a record that may have reached the store', StoreFailure.NoAnswer, false, 1]
  ])('%s', async (_, failure, withdrawn, written) => {
    const { store, access, clock, stop } = createFixture()
    store.fault = () => failure
    const writer = new Writer(access, clock, 1, 5, clock.stamp(), () => {})
    const running = writer.run(stop.signal)
    const commit = writer.commit(change('a', () => 'content'))
    await vi.advanceTimersByTimeAsync(1000)
    expect(writer.withdraw(['p/a'])).toBe(withdrawn)
    store.fault = undefined
    await vi.advanceTimersByTimeAsync(3000)
    await commit
    expect(valuesOf(store).filter((value) => value === 'content')).toHaveLength(written)
    stop.abort()
    await running
  })

  it('does not withdraw a record while an earlier append may still write it', async () => {
    const { store, access, clock, stop } = createFixture()
    store.fault = () => StoreFailure.NoAnswer
    const writer = new Writer(access, clock, 1, 5, clock.stamp(), () => {})
    const running = writer.run(stop.signal)
    const first = writer.commit(change('a', () => 'content'))
    await vi.advanceTimersByTimeAsync(1000)
    const again = writer.commit(change('a', () => 'content'))
    expect([writer.isUncommitted('p/a'), writer.withdraw(['p/a'])]).toEqual([true, false])
    store.fault = undefined
    await vi.advanceTimersByTimeAsync(3000)
    await Promise.all([first, again])
    expect([valuesOf(store).includes('content'), writer.isUncommitted('p/a')]).toEqual([true, false])
    stop.abort()
    await running
  })

  // Guards against a caller that takes a change for written because it has committed none itself.
  it.each([
    { says: 'nothing is pending', failure: undefined, outcome: 'written at once' },
    { says: 'the store refuses a change', failure: StoreFailure.Refused, outcome: 'written later' },
    { says: 'the answer to an append is lost', failure: StoreFailure.NoAnswer, outcome: 'written later' },
    { says: 'a higher epoch has written', failure: StoreFailure.Fenced, outcome: 'abandoned' }
  ])('waits for the changes of others if $says, without an append of its own', async ({ failure, outcome }) => {
    const { store, access, clock, stop } = createFixture()
    const writer = new Writer(access, clock, 1, 5, clock.stamp(), () => {})
    const running = writer.run(stop.signal)
    store.fault = () => failure
    const commit = failure === undefined ? undefined : writer.commit(change('a', () => 'content'))
    const outcomes: string[] = []
    const flush = async (): Promise<void> => {
      const flushed = await writer.flush()
      outcomes.push(flushed.isErr() ? 'abandoned' : store.fault === undefined ? 'written later' : 'written at once')
    }
    const flushes = [flush()]
    await vi.advanceTimersByTimeAsync(100)
    flushes.push(flush())
    await vi.advanceTimersByTimeAsync(100)
    store.fault = undefined
    await vi.advanceTimersByTimeAsync(3000)
    await Promise.all([commit, ...flushes])
    expect(outcomes).toEqual([outcome, outcome])
    const { length } = store.records[Topic.Journal]
    const calls = store.calls
    await Promise.all([writer.flush(), writer.flush()])
    expect([store.records[Topic.Journal].length, store.calls]).toEqual([length, calls])
    stop.abort()
    await running
  })

  // Guards against a successor that finds all tasks of a job done, or their runs deleted, but not the record that says so, and
  // against one that finds only some members of a gang changed.
  it('splits a large append in an order that keeps the state consistent, and never between the tasks of a job', async () => {
    const { store, access, clock, stop } = createFixture()
    const writer = new Writer(access, clock, 1, 5, clock.stamp(), () => {})
    const running = writer.run(stop.signal)
    const large = Buffer.alloc(600_000, 1)
    const records = [
      { key: 'p/b', value: undefined }, { key: 'r/a.1', value: undefined }, { key: 'j/b', value: undefined },
      { key: 'r/c.0', value: large }, { key: 't/d.0', value: large }, { key: 't/a.1', value: large }, { key: 'p/a', value: large },
      { key: 't/d.1', value: large }
    ]
    const appends: string[][] = []
    store.fault = (call) => {
      if ('append' in call) appends.push(call.append.records.map((record) => record.key))
      return undefined
    }
    const commit = writer.commit(new Map(records.map((record) => [record.key, () => record])))
    await vi.advanceTimersByTimeAsync(100)
    expect((await commit).isOk()).toBe(true)
    expect(appends.slice(0, 3)).toEqual([['p/a', 't/a.1'], ['t/d.0', 't/d.1'], ['j/b', 'r/a.1', 'r/c.0', 'p/b']])
    stop.abort()
    await running
  })

  it('stops and fails all commits when a higher epoch has written', async () => {
    const { store, access, clock, stop } = createFixture()
    await store.call({ topic: Topic.Journal, append: { records: [], fence: { epoch: 2, sequence: 9 } } })
    const writer = new Writer(access, clock, 1, 5, clock.stamp(), () => {})
    const running = writer.run(stop.signal)
    const commit = writer.commit(change('a', () => 1))
    // Guards against a wait without end in the continuation of a commit that was abandoned.
    const flush = commit.then(async () => await writer.flush())
    await vi.advanceTimersByTimeAsync(50)
    await running
    expect((await commit).isErr()).toBe(true)
    expect((await flush).isErr()).toBe(true)
    expect((await writer.commit(change('b', () => 2))).isErr()).toBe(true)
    expect(store.records[Topic.Journal]).toEqual([])
  })

  it('writes heartbeats when nothing changes', async () => {
    const { store, access, clock, stop } = createFixture()
    const writer = new Writer(access, clock, 1, 5, clock.stamp(), () => {})
    const running = writer.run(stop.signal)
    await vi.advanceTimersByTimeAsync(1100)
    expect(store.records[Topic.Journal].map((record) => record.key)).toEqual(['b/owner', 'b/owner', 'b/owner'])
    stop.abort()
    await running
  })
})
