import { readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ok } from 'neverthrow'
import { describe, expect, test } from 'vitest'
import { Measure, type Objective } from '@fireflymount/manifest/manifest'
import { createBurnReport, BurnVerdict, type BurnCounts } from '../src/burn.js'
import { formatPage, formatReport } from '../src/report.js'
import { Cell } from './cell.js'
import type { ObjectiveCounts, EventCounts } from '@fireflymount/protocol/survey'

const MINUTE_MS = 60_000
const AT_MS = 1_800_000_000_000
const OBJECTIVE: Objective = { name: 'fast', queue: 'preview', measure: Measure.Waiting, target: 0.99, withinMs: 100 }

function createBurn (
  counts: readonly [EventCounts, EventCounts, EventCounts], change: Partial<ObjectiveCounts> = {}
): ObjectiveCounts {
  const windows = [5, 60, 360].map((minutes, index) => ({ windowMs: minutes * MINUTE_MS, ...counts[index]! }))
  const steps = [{ startMs: AT_MS - 10 * MINUTE_MS, good: 9, total: 10 }]
  return { objective: 'fast', queue: 'preview', team: 'guild', node: 'node-1', sinceMs: 0, windows, stepMs: 5 * MINUTE_MS, steps, ...change }
}

function createCounts (counts: ObjectiveCounts[], change: Partial<BurnCounts> = {}): BurnCounts {
  return { atMs: AT_MS, objectives: [OBJECTIVE], shards: [{ shard: 'bee-planner', node: 'node-1', countingSinceMs: 0 }], counts, missing: [], ...change }
}

function bad (percent: number): EventCounts {
  return { good: 1000 - 10 * percent, total: 1000 }
}

describe('burn', () => {
  test.each([
    { says: 'no bad events', counts: [bad(0), bad(0), bad(0)], rates: [0, 0, 0], verdict: BurnVerdict.Ok },
    { says: 'an error budget spent exactly', counts: [bad(1), bad(1), bad(1)], rates: [1, 1, 1], verdict: BurnVerdict.Ok },
    { says: 'a spike of five minutes', counts: [bad(50), bad(5), bad(1)], rates: [50, 5, 1], verdict: BurnVerdict.Ok },
    { says: 'a burn that is over', counts: [bad(0), bad(20), bad(5)], rates: [0, 20, 5], verdict: BurnVerdict.Ok },
    { says: 'a fast burn', counts: [bad(20), bad(15), bad(5)], rates: [20, 15, 5], verdict: BurnVerdict.Fast },
    { says: 'a slow burn', counts: [bad(7), bad(7), bad(6)], rates: [7, 7, 6], verdict: BurnVerdict.Slow },
    { says: 'no events', counts: [{ good: 0, total: 0 }, { good: 0, total: 0 }, { good: 0, total: 0 }], rates: [undefined, undefined, undefined], verdict: BurnVerdict.NoEvents }
  ])('$says: $verdict', ({ counts, rates, verdict }) => {
    const [line] = createBurnReport(createCounts([createBurn(counts as [EventCounts, EventCounts, EventCounts])])).lines
    expect(line!.verdict).toBe(verdict)
    for (const [index, rate] of rates.entries()) {
      if (rate === undefined) expect(line!.rates[index]!.rate).toBeUndefined()
      else expect(line!.rates[index]!.rate).toBeCloseTo(rate)
    }
  })

  test('counts of several nodes are summed, teams are listed separately, and an objective without counts is listed', () => {
    const other: Objective = { ...OBJECTIVE, name: 'quiet', queue: 'lookup' }
    const counts = [
      createBurn([bad(0), bad(0), bad(0)]),
      createBurn([bad(2), bad(2), bad(2)], { node: 'node-2' }),
      createBurn([bad(4), bad(4), bad(4)], { team: 'circle' })
    ]
    const { lines } = createBurnReport(createCounts(counts, { objectives: [OBJECTIVE, other] }))
    expect(lines.map(({ objective, team, rates, steps }) => [objective, team, rates[0]!.events.total, steps.length])).toEqual([
      ['fast', 'circle', 1000, 1], ['fast', 'guild', 2000, 1], ['quiet', '', 0, 0]
    ])
    expect(lines[1]!.rates[0]!.rate).toBeCloseTo(1)
  })

  test.each([
    { says: 'a node that counts over all windows', sinceMs: AT_MS - 361 * MINUTE_MS, partial: [false, false, false], missing: 0 },
    { says: 'a node that took over 30 minutes ago', sinceMs: AT_MS - 30 * MINUTE_MS, partial: [false, true, true], missing: 1 },
    { says: 'a node that took over just now', sinceMs: AT_MS - 1, partial: [true, true, true], missing: 1 }
  ])('$says: windows that were not counted completely are marked', ({ sinceMs, partial, missing }) => {
    const shards = [{ shard: 'bee-planner', node: 'node-1', countingSinceMs: sinceMs }]
    const report = createBurnReport(createCounts([createBurn([bad(0), bad(0), bad(0)], { sinceMs })], { shards }))
    expect(report.lines[0]!.rates.map((rate) => rate.partial)).toEqual(partial)
    expect(report.missing).toHaveLength(missing)
    expect(formatReport(report).split('*')).toHaveLength(1 + partial.filter(Boolean).length)
    expect(formatPage(report)).toContain(missing === 0 ? 'Nothing is missing' : 'Counts of an earlier owner, if there was one, are missing')
  })

  test('the page loads no external resources and escapes names', () => {
    const name = '<script>alert("x")</script>'
    const missing = [{ shard: name, reason: 'no-owner', detail: '<b>' }]
    const burn = createBurn([bad(1), bad(1), bad(1)], { objective: name, team: name })
    const page = formatPage(createBurnReport(createCounts([burn], { objectives: [{ ...OBJECTIVE, name }], missing })))
    expect(page).not.toMatch(/<script|<b>|(?:src|href)=|@import|url\(/)
    expect(page).toMatch(/<svg role="img"[^]*<polyline points="[\d., ]+"/)
  })
})

test('the command prints the table and writes the page', async () => {
  const cell = new Cell()
  await cell.start()
  const page = join(tmpdir(), `fireflymount-${process.pid}.html`)
  const upstreams = [{ name: 'bee-planner', zones: ['fukuoka'], weights: { waiting: 1, share: 1, packing: 1 } }]
  await cell.run(['apply', '-'], JSON.stringify({ upstreams }))
  cell.router.answer = () => ok({ burn: [] })
  const printed = await cell.run(['report', 'burn', '--html', page])
  expect([printed.exit, printed.out]).toEqual([0, 'OBJECTIVE  QUEUE  TEAM  TARGET  5 MIN  1 H  6 H  VERDICT\n'])
  expect(await readFile(page, 'utf8')).toMatch(/^<!doctype html>/)
  await rm(page)
  await cell.stop()
})
