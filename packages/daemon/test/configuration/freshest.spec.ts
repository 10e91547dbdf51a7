import { expect, test } from 'vitest'
import type { RecordsPage } from '@fireflymount/protocol/message'
import { askFreshest } from '../../src/configuration/freshest.js'

const lagging: RecordsPage = { records: [], next: 3, ageMs: 9 }
const stale: RecordsPage = { records: [], next: 5, ageMs: 9000 }
const fresh: RecordsPage = { records: [], next: 5, ageMs: 20 }
const unknown: RecordsPage = { records: [], next: 5 }

test.each<[string, Array<RecordsPage | undefined>, RecordsPage | undefined]>([
  ['the most recently confirmed of equal responses', [stale, unknown, fresh], fresh],
  ['the response with the highest offset, even if its peer is stale', [lagging, stale], stale],
  ['the only response', [undefined, unknown, undefined], unknown],
  ['nothing if no peer responds', [undefined, undefined], undefined],
  ['nothing if there are no peers', [], undefined]
])('askFreshest returns %s', async (_, pages, expected) => {
  const nodes = pages.map((_, index) => String(index))
  expect(await askFreshest(nodes, async (node) => pages[Number(node)])).toBe(expected)
})

test('every peer is asked eventually, and at most four are asked at once', async () => {
  const nodes = Array.from({ length: 12 }, (_, index) => String(index))
  const asked = new Set<string>()
  for (let round = 0; round < 200; round += 1) {
    const askedInRound: string[] = []
    await askFreshest(nodes, async (node) => { askedInRound.push(node); return undefined })
    expect(new Set(askedInRound).size).toBe(4)
    for (const node of askedInRound) asked.add(node)
  }
  expect(asked.size).toBe(12)
})
