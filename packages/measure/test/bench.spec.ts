import { expect, test } from 'vitest'
import { runLoad } from '../src/bench/load.js'
import { computeUsageRates, type NodeUsage } from '../src/bench/usage.js'
import { fitLine } from '../src/least-squares.js'

test.each([
  { case: 'points on the line', points: [[0, 1], [2, 5], [4, 9]], line: { intercept: 1, slope: 2, residual: 0 } },
  { case: 'points on both sides of the line', points: [[0, 1], [0, 3], [2, 1], [2, 3]], line: { intercept: 2, slope: 0, residual: 1 } }
])('fits a line by least squares to $case', ({ points, line }) => {
  const fitted = fitLine(points.map(([x, y]) => ({ x: x!, y: y! })))
  expect(fitted.intercept).toBeCloseTo(line.intercept)
  expect(fitted.slope).toBeCloseTo(line.slope)
  expect(fitted.residual).toBeCloseTo(line.residual)
})

test.each([
  { case: 'a stall adds latency to the requests that were due during it', stallAt: 20, failAt: -1, failed: 0, slowestAbove: 150 },
  { case: 'an incorrect answer is counted as failed', stallAt: -1, failAt: 5, failed: 1, slowestAbove: 0 }
])('$case', async ({ stallAt, failAt, failed, slowestAbove }) => {
  const send = async (index: number): Promise<boolean> => {
    if (index === stallAt) {
      const stallEndMs = performance.now() + 200
      while (performance.now() < stallEndMs);
    }
    return index !== failAt
  }
  const result = await runLoad({ rate: 100, durationMs: 500, warmUpMs: 0, send })
  expect([result.sent, result.failed]).toEqual([50, failed])
  expect(result.maxMs).toBeGreaterThan(slowestAbove)
  // About 20 of the 50 requests are due during the stall; they wait 100 ms on average.
  if (stallAt >= 0) expect(result.p99Ms).toBeGreaterThan(150)
})

test('usage rates are the differences of the totals divided by the elapsed time', () => {
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
  const rates = computeUsageRates(usage(1_000, 100), usage(3_000, 300))
  expect(rates).toEqual({
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
