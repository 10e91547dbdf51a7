import type { Resources } from '@fireflymount/protocol/resources'
import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { MAX_YIELD, PastUse, type Weights } from '../../src/place/past-use.js'
import { placementRankOf, type RankingInput } from '../../src/place/ranking.js'

const HALF_LIFE_MS = 3_600_000
const TOTAL: Resources = { cpuMilli: 100_000, memoryMb: 100_000, accelerators: 10 }
const NOW_MS = 1_700_000_000_000
/** Difference of two times from which their sort keys differ. */
const KEY_RESOLUTION_MS = 4

function cpu (cpuMilli: number): Resources {
  return { cpuMilli, memoryMb: 0, accelerators: 0 }
}

function weightsOf (weights: Readonly<Record<string, number>>): Weights {
  return { weightOf: (workspace) => weights[workspace], all: Object.values(weights) }
}

/** Past use of workspaces that held processors for a half-life each. */
function usedBy (held: Readonly<Record<string, number>>, weights: Readonly<Record<string, number>>): PastUse {
  const pastUse = new PastUse(HALF_LIFE_MS)
  for (const [workspace, cpuMilli] of Object.entries(held)) pastUse.charge(workspace, cpu(cpuMilli), TOTAL, HALF_LIFE_MS)
  pastUse.update(weightsOf(weights))
  return pastUse
}

const amounts = fc.array(fc.integer({ min: 1, max: 50_000 }), { minLength: 2, maxLength: 12 })

describe('the yield of a workspace', () => {
  it.each([
    ['nothing for all if all used the same', { a: 20_000, b: 20_000 }, { a: 1, b: 1 }, { a: 0, b: 0 }],
    ['nothing for all if each used its weight', { a: 10_000, b: 30_000 }, { a: 1, b: 3 }, { a: 0, b: 0 }],
    ['a third of the largest at twice the fair use', { a: 20_000, b: 20_000 }, { a: 1, b: 3 }, { a: MAX_YIELD / 3, b: 0 }],
    ['the largest from 8 times the fair use on', { a: 80_000, b: 0 }, { a: 1, b: 15 }, { a: MAX_YIELD, b: 0 }],
    ['as with the mean weight for a workspace without a weight', { a: 20_000, b: 20_000 }, { a: 0, b: 3 }, { a: 0, b: 0 }],
    ['little after a short history', { a: 720, b: 0 }, { a: 1, b: 15 }, { a: MAX_YIELD * 0.0499, b: 0 }]
  ])('is %s', (_, held, weights, expected) => {
    const yields = usedBy(held, weights)
    for (const [workspace, part] of Object.entries(expected)) expect(yields.yieldOf(workspace)).toBeCloseTo(part, 3)
  })

  it.each([
    ['one workspace waits', ['heavy']],
    ['the workspaces that wait have used the same', ['heavy', 'heavy too']]
  ])('does not change the order while %s', (_, waiting) => {
    const pastUse = usedBy({ heavy: 40_000, 'heavy too': 40_000 }, { heavy: 1, 'heavy too': 1, light: 1, idle: 1 })
    expect(pastUse.yieldOf('heavy')).toBeGreaterThan(0)
    expect(pastUse.yieldsAmong(new Set(waiting)).size).toBe(0)
  })

  it('grows with the use, stays within its bound, and the shares add up to the whole', () => {
    fc.assert(fc.property(amounts, (held) => {
      const names = held.map((_, index) => `w${index}`)
      const equal = Object.fromEntries(names.map((name) => [name, 1]))
      const pastUse = usedBy(Object.fromEntries(held.map((amount, index) => [names[index]!, amount])), equal)
      const order = names.map((_, index) => index).sort((left, right) => held[left]! - held[right]!)
      const yields = order.map((index) => pastUse.yieldOf(names[index]!))
      expect(yields.every((part, index) => part >= (yields[index - 1] ?? 0) && part <= MAX_YIELD)).toBe(true)
      expect(names.reduce((sum, name) => sum + pastUse.shareOf(name), 0)).toBeCloseTo(1, 9)
    }))
  })

  it('is not lowered by splitting a job, by cancelling it, or by declaring more than it uses', () => {
    fc.assert(fc.property(amounts, fc.integer({ min: 0, max: 20_000 }), (parts, more) => {
      const whole = new PastUse(HALF_LIFE_MS)
      whole.charge('a', cpu(parts.reduce((sum, part) => sum + part, 0)), TOTAL, 1000)
      const split = new PastUse(HALF_LIFE_MS)
      for (const part of parts) split.charge('a', cpu(part), TOTAL, 1000)
      const declaredMore = new PastUse(HALF_LIFE_MS)
      for (const part of parts) declaredMore.charge('a', cpu(part + more), TOTAL, 1000)
      expect(split.useOf('a')).toBeCloseTo(whole.useOf('a'), 6)
      expect(declaredMore.useOf('a')).toBeGreaterThanOrEqual(split.useOf('a') - 1e-6)
    }))
  })

  it('follows from the dimension that the workspace has used most, and is forgotten with the half-life', () => {
    const pastUse = new PastUse(HALF_LIFE_MS)
    pastUse.charge('a', { cpuMilli: 10_000, memoryMb: 5000, accelerators: 5 }, TOTAL, 1000)
    expect(pastUse.useOf('a')).toBeCloseTo(500)
    pastUse.decay(HALF_LIFE_MS)
    expect(pastUse.useOf('a')).toBeCloseTo(250)
    pastUse.charge('a', { cpuMilli: 0, memoryMb: 0, accelerators: 5 }, TOTAL, -1e9)
    expect(pastUse.useOf('a')).toBeCloseTo(50)
  })
})

describe('the order of waiting steps with past use', () => {
  const input = fc.record<RankingInput>({
    longRunning: fc.constant(false),
    priority: fc.constant(1),
    dueMs: fc.integer({ min: NOW_MS - 5000, max: NOW_MS }),
    objectiveMs: fc.integer({ min: 1000, max: 8000 }),
    chainMs: fc.constant(1000),
    started: fc.constant(false),
    overRate: fc.constant(false),
    yieldMs: fc.constant(0)
  })
  const isLate = ({ dueMs, objectiveMs, chainMs }: RankingInput): boolean => dueMs + objectiveMs - chainMs - 150 < NOW_MS

  it('never puts a step that misses its objective before one that can keep it', () => {
    fc.assert(fc.property(input, input, fc.integer({ min: 0, max: 10_000 }), (late, inTime, yieldMs) => {
      fc.pre(isLate(late) && !isLate(inTime))
      expect(placementRankOf({ ...inTime, yieldMs }, NOW_MS)).toBeLessThan(placementRankOf(late, NOW_MS))
    }))
  })

  it('puts a step before all that come later than its yield, so that no workspace waits for ever', () => {
    fc.assert(fc.property(input, fc.integer({ min: 1, max: 10_000 }), (waiting, yieldMs) => {
      fc.pre(!isLate(waiting))
      const later = { ...waiting, dueMs: waiting.dueMs + yieldMs + KEY_RESOLUTION_MS }
      expect(placementRankOf({ ...waiting, yieldMs }, NOW_MS)).toBeLessThan(placementRankOf(later, NOW_MS))
    }))
  })
})
