import { describe, expect, test } from 'vitest'
import { Measure, type Objective } from '@fireflymount/manifest/manifest'
import { Reason } from '@fireflymount/protocol/refusal'
import { BurnCounts, MAX_TIME_STEPS, TIME_STEP_MS } from '../../src/owner/burn.js'

const WAITING: Objective = { name: 'fast', queue: 'preview', measure: Measure.Waiting, target: 0.99, withinMs: 100 }
const SUCCESS: Objective = { name: 'right', queue: 'preview', measure: Measure.Success, target: 0.99 }

function createCounts (): BurnCounts {
  const counts = new BurnCounts('node-1', 0)
  counts.setObjectives([WAITING, SUCCESS])
  return counts
}

describe('each event counts for the objectives that measure it', () => {
  test.each([
    { title: 'a start in time', count: (counts: BurnCounts) => counts.onStarted('preview', 'guild', 100, 0), expectedCounts: { fast: [1, 1] } },
    { title: 'a late start', count: (counts: BurnCounts) => counts.onStarted('preview', 'guild', 101, 0), expectedCounts: { fast: [0, 1] } },
    { title: 'a success', count: (counts: BurnCounts) => counts.onFinished('preview', 'guild', true, 0), expectedCounts: { right: [1, 1] } },
    { title: 'a failure', count: (counts: BurnCounts) => counts.onFinished('preview', 'guild', false, 0), expectedCounts: { right: [0, 1] } },
    { title: 'a full queue', count: (counts: BurnCounts) => counts.onRefused('preview', 'guild', Reason.QueueFull, 0), expectedCounts: { fast: [0, 1], right: [0, 1] } },
    { title: 'an error of the caller', count: (counts: BurnCounts) => counts.onRefused('preview', 'guild', Reason.Infeasible, 0), expectedCounts: {} },
    { title: 'a cancellation', count: (counts: BurnCounts) => counts.onRefused('preview', 'guild', Reason.Cancelled, 0), expectedCounts: {} },
    { title: 'an event of another queue', count: (counts: BurnCounts) => counts.onFinished('lookup', 'guild', false, 0), expectedCounts: {} }
  ])('$title counts for exactly the expected objectives', ({ count, expectedCounts }) => {
    const counts = createCounts()
    count(counts)
    const seen = counts.report(0).map(({ objective, windows }) => [objective, [windows[0]!.good, windows[0]!.total]])
    expect(Object.fromEntries(seen)).toEqual(expectedCounts)
  })
})

test('each window sums the steps of its duration, and 360 steps are kept', () => {
  const counts = createCounts()
  for (let step = 0; step < MAX_TIME_STEPS + 60; step++) counts.onFinished('preview', 'guild', step % 2 === 0, step * TIME_STEP_MS)
  const [burn] = counts.report((MAX_TIME_STEPS + 60) * TIME_STEP_MS)
  expect(burn!.steps).toHaveLength(MAX_TIME_STEPS)
  expect(burn!.windows.map(({ total }) => total)).toEqual([5, 60, 360])
})
