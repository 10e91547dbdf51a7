import { err } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { Follower } from '../../src/journal/follower.js'
import { StoreAccess } from '../../src/membership/access.js'
import { StoreFailure, Topic } from '../../src/ports/store.js'
import { FakeClock, FakeStore } from '../fakes.js'

/** Key of a record that the listener cannot handle. */
const ODD_KEY = 'odd'

function createFixture (): { store: FakeStore, follower: Follower, seen: string[], rejected: string[] } {
  const clock = new FakeClock()
  const store = new FakeStore()
  const access = new StoreAccess(store, async () => err(StoreFailure.Refused), clock, () => {})
  const seen: string[] = []
  const rejected: string[] = []
  const follower = new Follower(access, Topic.Journal, {
    onRecord: (record) => {
      if (record.key === ODD_KEY) throw new Error('unexpected')
      seen.push(`${record.key}${record.offset}`)
    },
    onRejected: (record) => { rejected.push(record.key) },
    onReset: () => { seen.push('reset') }
  }, clock, 100)
  return { store, follower, seen, rejected }
}

function put (store: FakeStore, key: string): void {
  store.put(Topic.Journal, { key, value: Buffer.from('x') })
}

describe('a follower', () => {
  it.each([
    ['starts with the newest record of each key', ['a', 'b', 'a'], [], 0, ['reset', 'a2', 'b1']],
    ['delivers later records once, in order', ['a'], ['b', 'c'], 0, ['reset', 'a0', 'b1', 'c2']],
    ['starts from scratch when records that it has not read have expired',
      ['a'], ['b', 'c'], 2, ['reset', 'a0', 'reset', 'a0', 'b1', 'c2']]
  ])('%s', async (_, before, after, first, expected) => {
    const { store, follower, seen } = createFixture()
    for (const key of before) put(store, key)
    await follower.catchUp()
    for (const key of after) put(store, key)
    store.first = first
    await follower.catchUp()
    expect(seen).toEqual(expected)
  })

  // Guards against sound records that are never read because one that cannot be handled precedes them: on a page of the newest records,
  // or among the later ones.
  it.each([
    ['the first page', ['a', ODD_KEY, 'b'], [], ['reset', 'a0', 'b2']],
    ['the later records', ['a'], [ODD_KEY, 'b'], ['reset', 'a0', 'b2']]
  ])('passes over a record that cannot be handled on %s', async (_, before, after, expected) => {
    const { store, follower, seen, rejected } = createFixture()
    for (const key of before) put(store, key)
    await follower.catchUp()
    for (const key of after) put(store, key)
    expect((await follower.catchUp()).isOk()).toBe(true)
    expect([seen, rejected]).toEqual([expected, [ODD_KEY]])
  })

  it('delivers each record once when two reads overlap', async () => {
    const { store, follower, seen } = createFixture()
    await follower.catchUp()
    put(store, 'a')
    await Promise.all([follower.catchUp(), follower.catchUp()])
    expect(seen).toEqual(['reset', 'a0'])
  })

  it('is not fresh while the store does not answer', async () => {
    const { store, follower } = createFixture()
    store.fault = () => StoreFailure.NoAnswer
    expect((await follower.catchUp()).isErr()).toBe(true)
    expect(follower.freshAt.steadyMs).toBe(-Infinity)
  })
})
