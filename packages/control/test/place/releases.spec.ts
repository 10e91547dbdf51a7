import type { Resources } from '@fireflymount/protocol/resources'
import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { Releases } from '../../src/place/releases.js'

const cpu = (cpuMilli: number): Resources => ({ cpuMilli, memoryMb: 0, accelerators: 0 })

describe('the expected releases', () => {
  it('within a time are those of the runs that end by then', () => {
    const end = fc.record({ endMs: fc.constantFrom(-Infinity, 0, 10, 20, 30), size: fc.integer({ min: 1, max: 9 }) })
    fc.assert(fc.property(fc.array(end), fc.constantFrom(-1, 0, 15, 30), (ends, timeMs) => {
      const expected = ends.filter(({ endMs }) => endMs <= timeMs).reduce((sum, { size }) => sum + size, 0)
      expect(new Releases(ends.map(({ endMs, size }) => ({ endMs, charge: cpu(size) }))).within(timeMs)).toEqual(cpu(expected))
    }))
  })
})
