import { expect, it } from 'vitest'
import { ProcessorWatch } from '../../src/membership/processor-watch.js'

const SHARE = 0.6
const LATE = { spanMs: 400, processorMs: 40 }
/** Time between two samples that are not late. */
const IDLE = { spanMs: 100, processorMs: 10 }

it.each([
  ['is slow after late samples with little processor', [LATE, LATE], SHARE, 0.5, true],
  ['is not slow after one late sample', [IDLE, LATE, IDLE], SHARE, 0.5, false],
  ['is not slow after a short pause', [{ spanMs: 250, processorMs: 20 }, { spanMs: 250, processorMs: 20 }], SHARE, 0.5, false],
  ['is busy, not slow, with all of its processor', [{ spanMs: 400, processorMs: 230 }, { spanMs: 400, processorMs: 230 }], SHARE, 0.5, false],
  ['is busy, not slow, with a whole core', [{ spanMs: 400, processorMs: 390 }, { spanMs: 400, processorMs: 390 }], 4, 0.5, false],
  ['was suspended, not slow', [{ spanMs: 3000, processorMs: 20 }, { spanMs: 3000, processorMs: 20 }], SHARE, 0.5, false],
  [
    'was suspended once while it was busy, not slow',
    [{ spanMs: 1100, processorMs: 60 }, { spanMs: 400, processorMs: 240 }, { spanMs: 300, processorMs: 180 }], SHARE, 0.5, false
  ],
  ['is not slow if its late samples are far apart', [LATE, ...Array(25).fill(IDLE), LATE], SHARE, 0.5, false],
  ['is not slow if its processor is unknown', [LATE, LATE], undefined, 0.5, false],
  ['is not slow if it is not asked for', [LATE, LATE], SHARE, undefined, false],
  ['is not slow with a limit of 0', [LATE, LATE], SHARE, 0, false]
])('a node %s', (_, spans, processorShare, minRatio, slow) => {
  const received: number[] = []
  const watch = new ProcessorWatch({ processorShare, minRatio, onSlow: (share) => received.push(share) })
  let atMs = 0
  for (const { spanMs, processorMs } of spans) watch.add({ atMs: atMs += spanMs, spanMs, delayMs: spanMs - 100, processorMs })
  expect(watch.isSlow(atMs)).toBe(slow)
  expect(received).toEqual(slow ? [0.1] : [])
  expect(watch.receivedShareAt(atMs)).toBe(slow ? 0.1 : undefined)
  expect(watch.isSlow(atMs + 10_000)).toBe(false)
})

// Guards against an owner that hands the cell over because its machine was slow seconds ago.
it.each([
  [1900, true, 0.1],
  [2100, true, undefined],
  [5100, false, undefined]
])('%i ms after it was slow, a node gets its processor again before it claims like the others', (afterMs, slow, receivedShare) => {
  const watch = new ProcessorWatch({ processorShare: SHARE, minRatio: 0.5, onSlow: () => {} })
  for (const atMs of [400, 800]) watch.add({ atMs, delayMs: 300, ...LATE })
  expect([watch.isSlow(800 + afterMs), watch.receivedShareAt(800 + afterMs)]).toEqual([slow, receivedShare])
})
