import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { assignGateways, GatewayRanking, type Gateway } from '../../src/membership/gateway-choice.js'
import { createWorker } from '../fakes.js'

const WORKERS = Array.from({ length: 240 }, (_, index) => createWorker({ id: `worker-${index}`, zone: `z${index % 3}` }))

function createGateways (count: number, fields: (index: number) => Partial<Gateway> = () => ({})): Gateway[] {
  return Array.from({ length: count }, (_, index) => ({ node: `node-${index}`, zone: 'other', weight: 1, ...fields(index) }))
}

/** Number of workers by gateway. */
function countsOf (gateways: readonly Gateway[]): Map<string, number> {
  const counts = new Map(gateways.map((gateway) => [gateway.node, 0]))
  for (const [first] of assignGateways(WORKERS, gateways).values()) counts.set(first!, counts.get(first!)! + 1)
  return counts
}

describe('the gateways of the workers', () => {
  it.each([
    { says: 'alike', weightOf: () => 1 },
    { says: 'with large and small processors', weightOf: (index: number) => index < 4 ? 1.35 : 0.324 }
  ])('have at most 1.25 times their share of the workers: $says', ({ weightOf }) => {
    const gateways = createGateways(20, (index) => ({ weight: weightOf(index) }))
    const total = gateways.reduce((sum, gateway) => sum + gateway.weight, 0)
    const counts = countsOf(gateways)
    for (const { node, weight } of gateways) {
      expect(counts.get(node)).toBeLessThanOrEqual(Math.ceil(1.25 * WORKERS.length * weight / total))
    }
  })

  it('have workers in proportion to their processors', () => {
    const gateways = createGateways(20, (index) => ({ weight: index < 4 ? 1.35 : 0.324 }))
    const counts = countsOf(gateways)
    const large = gateways.slice(0, 4).reduce((sum, { node }) => sum + counts.get(node)!, 0)
    const expected = WORKERS.length * 4 * 1.35 / (4 * 1.35 + 16 * 0.324)
    expect(Math.abs(large - expected)).toBeLessThan(0.15 * WORKERS.length)
  })

  it('are the same whichever order the owner knows nodes and workers in', () => {
    const gateways = createGateways(10)
    const reversed = assignGateways([...WORKERS].reverse(), [...gateways].reverse())
    for (const [worker, ranked] of assignGateways(WORKERS, gateways)) expect(reversed.get(worker)).toEqual(ranked)
  })

  it.each([
    { says: 'a node comes', before: 20, after: 21 },
    { says: 'a node goes', before: 20, after: 19 }
  ])('stay the same for nearly all workers of the other nodes when $says', ({ before, after }) => {
    const old = assignGateways(WORKERS, createGateways(before))
    const remaining = new Set(createGateways(Math.min(before, after)).map((gateway) => gateway.node))
    let moved = 0
    for (const [worker, [first]] of assignGateways(WORKERS, createGateways(after))) {
      const previous = old.get(worker)![0]!
      if (first !== previous && remaining.has(previous) && remaining.has(first!)) moved++
    }
    expect(moved).toBeLessThanOrEqual(0.03 * WORKERS.length)
  })

  it.each([
    { says: 'are in its zone if that has enough of them', zoneOf: (index: number) => `z${index % 3}`, weightOf: () => 1, least: 0.95, most: 1 },
    { says: 'are elsewhere too if its zone has hardly any processor', zoneOf: (index: number) => index === 0 ? 'z0' : 'y', weightOf: () => 0.3, least: 0, most: 0.1 },
    { says: 'are anywhere if none is in its zone', zoneOf: () => 'y', weightOf: () => 1, least: 0, most: 0 }
  ])('of one zone\'s workers $says', ({ zoneOf, weightOf, least, most }) => {
    const gateways = createGateways(12, (index) => ({ zone: zoneOf(index), weight: weightOf() }))
    const zones = new Map(gateways.map((gateway) => [gateway.node, gateway.zone]))
    const assignments = assignGateways(WORKERS, gateways)
    const workers = WORKERS.filter((worker) => worker.zone === 'z0')
    const near = workers.filter((worker) => zones.get(assignments.get(worker.id)![0]!) === 'z0').length
    expect(near / workers.length).toBeGreaterThanOrEqual(least)
    expect(near / workers.length).toBeLessThanOrEqual(most)
  })

  it('are none if there is no node', () => {
    expect(assignGateways(WORKERS, []).size).toBe(0)
  })

  it('do not depend on the gateways before', () => {
    const gateway = fc.record({
      node: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), zone: fc.constantFrom('z0', 'z1', 'y'), weight: fc.constantFrom(0.3, 1, 4)
    })
    const gateways = fc.uniqueArray(gateway, { selector: ({ node }) => node })
    fc.assert(fc.property(fc.array(gateways, { minLength: 1, maxLength: 6 }), (changes) => {
      const ranking = new GatewayRanking()
      const workers = WORKERS.slice(0, 20)
      for (const change of changes) expect(assignGateways(workers, change, ranking)).toEqual(assignGateways(workers, change))
    }))
  })
})
