import { beforeEach, describe, expect, it } from 'vitest'
import type { Worker } from '../../src/model/worker.js'
import { Registry } from '../../src/owner/registry.js'
import { FakeClock, PlainFormats, createWorker } from '../fakes.js'

const ENTRY = createWorker({ born: 20 })
const LATER = createWorker({ born: 30, address: '10.0.0.3:80' })
/** The entry of an earlier incarnation, which was of another kind. */
const EARLIER = createWorker({ born: 10, address: '10.0.0.2:80', capacity: { cpuMilli: 64_000, memoryMb: 64_000, accelerators: 2 } })

let registry: Registry
let seen: Worker[]
let offset: number
beforeEach(() => {
  seen = []
  offset = 0
  registry = new Registry(new PlainFormats(), new FakeClock(), {
    onWorker: (worker) => { seen.push(worker) },
    onUnreadable: () => {}
  })
})

function apply (worker: Worker | undefined): void {
  registry.apply({ key: ENTRY.id, value: worker && Buffer.from(JSON.stringify(worker)), offset: offset++ })
}

describe('the registry of the workers', () => {
  // Guards against a worker that is called at the address, and filled to the capacity, of an earlier incarnation: the store carried out
  // the last write of that one late.
  it.each<[string, ReadonlyArray<Worker | undefined>, readonly Worker[]]>([
    ['a later incarnation', [ENTRY, LATER], [ENTRY, LATER]],
    ['the same incarnation', [ENTRY, ENTRY], [ENTRY, ENTRY]],
    ['an earlier incarnation', [ENTRY, EARLIER], [ENTRY]],
    ['an earlier incarnation after the removal of the worker', [ENTRY, undefined, EARLIER], [ENTRY, EARLIER]]
  ])('applies the entry of %s only if it may be the present one', (_, entries, expected) => {
    for (const entry of entries) apply(entry)
    expect(seen).toEqual(expected)
    expect(registry.workers.get(ENTRY.id)).toEqual(expected.at(-1))
  })

  it('keeps a worker whose only entry at a reload is that of an earlier incarnation', () => {
    apply(ENTRY)
    registry.startReload()
    apply(EARLIER)
    registry.finishReload()
    expect(registry.workers.get(ENTRY.id)).toEqual(ENTRY)
  })
})
