import { err } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { Subject, encodeRecord, type NodeAddress } from '../../src/journal/record.js'
import { StoreAccess } from '../../src/membership/access.js'
import { AddressCollector, MAX_ABSENCE_MS, Registration } from '../../src/membership/registration.js'
import { StoreFailure, Topic } from '../../src/ports/store.js'
import { FakeClock, FakeStore } from '../fakes.js'

const ADDRESS: NodeAddress = { node: 'a', incarnation: '2', host: 'h', port: 1, zone: 'z', processorShare: 1.35 }

let store: FakeStore
let access: StoreAccess
let registration: Registration
let stop: AbortController
beforeEach(() => {
  vi.useFakeTimers()
  store = new FakeStore()
  stop = new AbortController()
  access = new StoreAccess(store, async () => err(StoreFailure.Refused), new SystemClock(), () => {})
  registration = new Registration(access, ADDRESS, stop.signal)
})
afterEach(() => {
  stop.abort()
  vi.useRealTimers()
})

function readJournal (): JournalState {
  const journalState = new JournalState()
  for (const record of store.records[Topic.Journal]) journalState.apply(record)
  return journalState
}

function countRecords (): number {
  return store.records[Topic.Journal].length
}

describe('the registration of a node', () => {
  it('is written once the store accepts it', async () => {
    let faults = 3
    store.fault = () => faults-- > 0 ? StoreFailure.Refused : undefined
    const writing = registration.write()
    await vi.advanceTimersByTimeAsync(1000)
    expect(registration.isWritten()).toBe(false)
    // Only other calls find out that the store is available again.
    faults = 0
    await access.read(Topic.Journal, 0, 0)
    await vi.advanceTimersByTimeAsync(200)
    await writing
    expect(registration.isWritten()).toBe(true)
    expect(readJournal().nodes.get('a')).toMatchObject(ADDRESS)
  })

  it('tells that the node is about to stop', async () => {
    await registration.write()
    await registration.announceStop()
    expect(readJournal().nodes.get('a')).toMatchObject({ ...ADDRESS, leaving: true })
  })

  it.each([
    ['is the newest one', undefined, 1],
    ['was replaced by one of an earlier process', encodeRecord(Subject.Node, 'a', { ...ADDRESS, incarnation: '1' }), 3],
    ['was removed', { key: 'n/a', value: undefined }, 3]
  ])('is written again when needed: the record %s', async (_, later, count) => {
    await registration.write()
    if (later !== undefined) store.put(Topic.Journal, later)
    registration.check(readJournal(), countRecords())
    await vi.advanceTimersByTimeAsync(10)
    expect(countRecords()).toBe(count)
  })

  // Guards against an owner that stops without a successor: the store carried out its first registration again after the announcement of
  // its stop, and a node that read the journal later did not learn of that.
  it.each([
    ['of its own process from before the announcement', { ...ADDRESS, leaving: false }, true],
    ['of its own process that announces the stop', { ...ADDRESS, leaving: true }, false],
    ['of another process', { ...ADDRESS, incarnation: '3' }, false]
  ])('of a node that is about to stop is written again or not after a record %s', async (_, later, again) => {
    await registration.write()
    await registration.announceStop()
    store.put(Topic.Journal, encodeRecord(Subject.Node, 'a', later))
    const count = countRecords()
    registration.check(readJournal(), count)
    await vi.advanceTimersByTimeAsync(10)
    expect(countRecords() - count).toBe(Number(again))
    if (again) expect(readJournal().nodes.get('a')).toMatchObject({ ...ADDRESS, leaving: true })
  })

  it.each([
    ['its record has not been read yet', async () => {}],
    ['the node is about to stop', async () => { await registration.announceStop() }]
  ])('is not written again while %s', async (_, prepare) => {
    await registration.write()
    await prepare()
    const count = countRecords()
    registration.check(new JournalState(), 0)
    await vi.advanceTimersByTimeAsync(10)
    expect(countRecords()).toBe(count)
  })
})

describe('the collector of addresses', () => {
  it('removes the addresses of nodes that were not connected for the time, and of no others', () => {
    const clock = new FakeClock()
    const collector = new AddressCollector(clock)
    const collect = (connected: string[]): string[] => [...collector.collect(['a', 'b', 'c'], connected).keys()]
    expect(collect(['a', 'b'])).toEqual([])
    clock.advance(MAX_ABSENCE_MS - 1)
    expect(collect(['a'])).toEqual([])
    clock.advance(1)
    expect(collect(['a'])).toEqual(['n/b', 'n/c'])
    clock.advance(MAX_ABSENCE_MS - 1)
    expect(collect(['a', 'b'])).toEqual([])
  })

  it('writes tombstones', () => {
    const clock = new FakeClock()
    const collector = new AddressCollector(clock)
    collector.collect(['b'], [])
    clock.advance(MAX_ABSENCE_MS)
    const [encoder] = collector.collect(['b'], []).values()
    expect(encoder!()).toEqual({ key: 'n/b', value: undefined })
  })
})
