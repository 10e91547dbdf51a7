import { expect, test } from 'vitest'
import { Section } from '@fireflymount/manifest/manifest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import type { LogRecord } from '@fireflymount/service-clients/log'
import { Replica } from '../../src/configuration/replica.js'

function createRecord (offset: number): LogRecord {
  const name = `w${offset}`
  return { offset, data: { publish: `p${offset}`, base: offset - 1, changes: [{ section: Section.Workspaces, name, value: { name } }] } }
}

function createReplica (count: number): Replica {
  const replica = new Replica(new SystemClock())
  for (let offset = 0; offset < count; offset += 1) replica.applyRecords([createRecord(offset)])
  return replica
}

test.each([
  ['records of which one comes twice', [0, 0, 1], 1],
  ['records after a gap', [0, 2, 3], 0],
  ['records out of order', [1, 0], 0]
])('of %s, only those at the position are applied', (_, offsets, revision) => {
  const replica = createReplica(0)
  for (const offset of offsets) replica.applyRecords([createRecord(offset)])
  expect(replica.current().revision).toBe(revision)
})

test('a snapshot that is not newer is ignored', () => {
  const replica = createReplica(5)
  const { asOf, parts } = createReplica(3).recordsFrom(-1).snapshot!
  expect(replica.restore(asOf, parts)).toBe(false)
  expect(replica.current().revision).toBe(4)
})

test('after a snapshot, the next record is applied', () => {
  const source = createReplica(3)
  const { asOf, parts } = source.recordsFrom(-1).snapshot!
  const replica = createReplica(0)
  expect(replica.restore(asOf, parts)).toBe(true)
  for (const each of [source, replica]) each.applyRecords([createRecord(3)])
  expect(replica.current()).toEqual(source.current())
})

test('a peer that is far behind gets every record in pages, and only the last page has an age', () => {
  const source = createReplica(1000)
  source.confirm(0)
  const replica = createReplica(0)
  const ages: Array<number | undefined> = []
  while (replica.position < source.position) {
    const page = source.recordsFrom(replica.position)
    replica.applyRecords(page.records)
    expect(replica.position).toBe(page.next)
    ages.push(page.ageMs)
  }
  expect(replica.current()).toEqual(source.current())
  expect(ages.length).toBeGreaterThan(2)
  expect(ages.map((age) => age !== undefined)).toEqual(ages.map((_, index) => index === ages.length - 1))
})

test('the number of records kept for peers is bounded, and older ones are replaced by a snapshot', () => {
  const replica = createReplica(4500)
  expect(replica.recordsFrom(0).snapshot?.asOf).toBe(4499)
  expect(replica.recordsFrom(4000).records[0]?.offset).toBe(4000)
})
