import { expect, test } from 'vitest'
import { runLoad } from '../src/bench/load.js'
import { spendingOf, type NodeUsage } from '../src/bench/usage.js'
import { fitSlope } from '../src/slope.js'

test.each([
  { says: 'points on a line', points: [[0, 1], [2, 5], [4, 9]], line: { intercept: 1, slope: 2, residual: 0 } },
  { says: 'points beside a line', points: [[0, 1], [0, 3], [2, 1], [2, 3]], line: { intercept: 2, slope: 0, residual: 1 } }
])('the fit of $says', ({ points, line }) => {
  const fitted = fitSlope(points.map(([x, y]) => ({ x: x!, y: y! })))
  expect(fitted.intercept).toBeCloseTo(line.intercept)
  expect(fitted.slope).toBeCloseTo(line.slope)
  expect(fitted.residual).toBeCloseTo(line.residual)
})

test.each([
  { says: 'a stall counts for all requests that were due in it', stallAt: 20, failAt: -1, failed: 0, slowest: 150 },
  { says: 'a wrong answer is counted as failed', stallAt: -1, failAt: 5, failed: 1, slowest: 0 }
])('$says', async ({ stallAt, failAt, failed, slowest }) => {
  const send = async (index: number): Promise<boolean> => {
    if (index === stallAt) {
      const endMs = performance.now() + 200
      while (performance.now() < endMs);
    }
    return index !== failAt
  }
  const result = await runLoad({ rate: 100, durationMs: 500, warmUpMs: 0, send })
  expect([result.sent, result.failed]).toEqual([50, failed])
  expect(result.maxMs).toBeGreaterThan(slowest)
  // Of 50 requests, some 20 were due during the stall and waited 100 ms in the mean.
  if (stallAt >= 0) expect(result.p99Ms).toBeGreaterThan(150)
})

test('spending is the difference of totals over the time between', () => {
  const usage = (uptimeMs: number, bytes: number): NodeUsage => {
    const traffic = { sent: bytes, received: bytes }
    return {
      node: 'entry-1',
      uptimeMs,
      cpu: { userMs: bytes, systemMs: 0 },
      memory: { residentBytes: 3 << 20, heapBytes: 0 },
      control: { peers: traffic, log: traffic, machines: traffic, workers: traffic },
      requests: { peers: traffic, workers: traffic },
      frames: { sent: 0, received: 0 },
      appends: bytes,
      owned: [],
      counters: {}
    }
  }
  const spending = spendingOf(usage(1_000, 100), usage(3_000, 300))
  expect(spending).toEqual({
    node: 'entry-1',
    controlBytes: 800,
    peerBytes: 200,
    logBytes: 200,
    machinesBytes: 200,
    workerBytes: 200,
    requestBytes: 400,
    cpuShare: 0.1,
    residentMb: 3,
    appends: 100
  })
})
