import { expect, test } from 'vitest'
import { rankNodes } from '../src/membership/rendezvous.js'

const NODES = Array.from({ length: 24 }, (_, index) => `node-${index}`)
const SHARDS = Array.from({ length: 400 }, (_, index) => `shard-${index}`)

test('the order does not depend on the order of the list', () => {
  for (const shard of SHARDS) expect(rankNodes(shard, [...NODES].reverse())).toEqual(rankNodes(shard, NODES))
})

test('the loss of a node moves only the shards that it owned', () => {
  const left = NODES.slice(1)
  for (const shard of SHARDS) {
    const before = rankNodes(shard, NODES)
    if (before[0] === NODES[0]) continue
    expect(rankNodes(shard, left)[0]).toBe(before[0])
  }
})

test('no node owns more than three times its part of the shards', () => {
  const owned = new Map<string, number>()
  for (const shard of SHARDS) {
    const owner = rankNodes(shard, NODES)[0]!
    owned.set(owner, (owned.get(owner) ?? 0) + 1)
  }
  expect(Math.max(...owned.values())).toBeLessThan(3 * SHARDS.length / NODES.length)
})
