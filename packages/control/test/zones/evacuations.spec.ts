import { beforeEach, describe, expect, it } from 'vitest'
import { NEVER, type Stamp } from '../../src/clock.js'
import type { StoredRecord } from '../../src/ports/store.js'
import { Evacuations } from '../../src/zones/evacuations.js'
import { FakeClock, PlainFormats } from '../fakes.js'

const VALUE = Buffer.from('{}')
const REMOVED = undefined
const EMPTY = Buffer.alloc(0)

let clock: FakeClock
let readAt: Stamp
let limitMs: number | undefined
let lines: string[]
let evacuations: Evacuations
beforeEach(() => {
  clock = new FakeClock()
  readAt = clock.stamp()
  limitMs = 5000
  lines = []
  evacuations = new Evacuations({
    formats: new PlainFormats(),
    clock,
    readAt: () => readAt,
    limitMs: () => limitMs,
    listener: {
      onRequested: (zone, _, mistake) => { lines.push(`+${zone}${mistake === undefined ? '' : ' invalid'}`) },
      onTakenBack: (zone) => { lines.push(`-${zone}`) },
      onInvalid: (key) => { lines.push(`invalid ${key}`) }
    }
  })
})

function apply (records: ReadonlyArray<readonly [string, Buffer | undefined]>): void {
  for (const [index, [key, value]] of records.entries()) {
    const record: StoredRecord = { key, value, offset: index }
    evacuations.apply(record)
  }
}

describe('the evacuated zones', () => {
  it.each([
    ['a request', [['evacuate/a', VALUE]], ['a'], ['+a']],
    ['the same request twice', [['evacuate/a', VALUE], ['evacuate/a', VALUE]], ['a'], ['+a']],
    ['a request that is taken back', [['evacuate/a', VALUE], ['evacuate/a', REMOVED]], [], ['+a', '-a']],
    ['a request that was taken back before it was read', [['evacuate/a', REMOVED]], [], []],
    ['a request that is made again', [['evacuate/a', VALUE], ['evacuate/a', REMOVED], ['evacuate/a', VALUE]], ['a'], ['+a', '-a', '+a']],
    ['a request whose value is malformed', [['evacuate/a', EMPTY], ['evacuate/b', VALUE]], ['a', 'b'], ['+a invalid', '+b']],
    ['a request that names no zone, twice', [['evacuate/', VALUE], ['evacuate/', VALUE], ['evacuate/b', VALUE]], ['b'], ['invalid evacuate/', '+b']],
    ['another record', [['config', VALUE]], [], []]
  ] as const)('are right after %s', (_, records, zones, expected) => {
    apply(records)
    expect([[...evacuations.evacuated()], lines]).toEqual([zones, expected])
  })

  it.each([
    ['are kept if their request is read again', [['evacuate/a', VALUE]], ['a'], ['+a']],
    ['are taken back if their request is gone', [['config', VALUE]], [], ['+a', '-a']],
    ['are taken back if their request is read and then removed', [['evacuate/a', VALUE], ['evacuate/a', REMOVED]], [], ['+a', '-a']]
  ] as const)('%s after the history was compacted', (_, records, zones, expected) => {
    apply([['evacuate/a', VALUE]])
    evacuations.startReload()
    expect(evacuations.isEvacuated('a')).toBe(true)
    apply(records)
    evacuations.finishReload()
    expect([[...evacuations.evacuated()], lines]).toEqual([zones, expected])
  })

  it.each([
    ['for any time without a limit', undefined, 60_000, Infinity],
    ['for the limit less a margin after a read', 5000, 0, 4500],
    ['for the rest of the limit while the next read takes long', 5000, 3000, 1500],
    ['no more once too little is left of the limit', 5000, 4300, 0],
    ['for a limit that is too short to be kept', 100, 300, 600]
  ])('let starts be valid %s', (_, limit, ageMs, expected) => {
    limitMs = limit
    clock.advance(ageMs)
    expect(evacuations.maxStartValidityMs()).toBe(expected)
  })

  it.each([5000, undefined])('let nothing start before they have been read, with a limit of %s ms', (limit) => {
    limitMs = limit
    readAt = NEVER
    expect(evacuations.maxStartValidityMs()).toBe(0)
  })
})
