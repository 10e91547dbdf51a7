import fc from 'fast-check'
import { expect, test } from 'vitest'
import { EMPTY_MANIFEST, type Manifest } from '@fireflymount/manifest/manifest'
import { Allotments, REVISION_PROPAGATION_MS, splitLimit } from '../../src/owner/allotments.js'
import { ShardState } from '../../src/owner/state.js'

test('the parts of a limit add up to the limit for any limit and any set of shards', () => {
  const names = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 40 })
  fc.assert(fc.property(fc.nat(10_000), names, (tasks, unsorted) => {
    const shards = unsorted.sort()
    const parts = shards.map((shard) => splitLimit({ tasks }, shards, shard).tasks)
    return parts.reduce((sum, part) => sum + part, 0) === tasks
  }))
})

function manifest (limit: number, shards: readonly string[]): Manifest {
  return {
    ...EMPTY_MANIFEST,
    teams: [{ name: 'guild', workspace: 'w', share: 1, upperLimit: { tasks: limit } }],
    services: shards.map((upstream) => ({ name: upstream, team: 'guild', upstream, replicas: 1, size: { cpuMilli: 1, memoryMb: 1, accelerators: 0 }, body: null }))
  }
}

test.each([
  { title: 'a lowered limit applies at once', before: manifest(10, ['a', 'b']), after: manifest(4, ['a', 'b']), atOnce: 2, later: 2 },
  { title: 'a raised limit applies at once', before: manifest(4, ['a', 'b']), after: manifest(10, ['a', 'b']), atOnce: 5, later: 5 },
  { title: 'a larger part of a new split applies once every node uses the split', before: manifest(10, ['a', 'b']), after: manifest(10, ['a']), atOnce: 5, later: 10 },
  { title: 'a smaller part of a new split applies at once', before: manifest(10, ['a']), after: manifest(10, ['a', 'b']), atOnce: 5, later: 5 },
  { title: 'a shard outside the split has no allotment', before: manifest(10, ['a']), after: manifest(10, ['b']), atOnce: 0, later: 0 }
])('$title', ({ before, after, atOnce, later }) => {
  const allotments = new Allotments('a')
  const state = new ShardState()
  allotments.setManifest(before, 0)
  allotments.setManifest(after, 1000)
  expect(allotments.allotment('guild', state, 1001).tasks).toBe(atOnce)
  expect(allotments.allotment('guild', state, 1000 + REVISION_PROPAGATION_MS).tasks).toBe(later)
})
