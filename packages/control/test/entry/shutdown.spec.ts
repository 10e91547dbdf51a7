import { createServer } from 'node:http'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { serveOut } from '../../src/entry/shutdown.js'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('a planned stop', () => {
  it.each([
    ['serves on for half of the grace, until the balancer has learned of it', 0, 3000, 3100],
    ['waits for open requests', 4000, 4000, 4200],
    ['ends before the platform kills the process', 99_000, 5000, 5600]
  ])('%s', async (_, servedUntilMs, leastMs, mostMs) => {
    const startedMs = performance.now()
    let endedMs = 0
    const stopping = serveOut(createServer(), 6000, () => performance.now() - startedMs < servedUntilMs ? 1 : 0)
      .then(() => { endedMs = performance.now() - startedMs })
    await vi.advanceTimersByTimeAsync(8000)
    await stopping
    expect(endedMs).toBeGreaterThanOrEqual(leastMs)
    expect(endedMs).toBeLessThanOrEqual(mostMs)
  })
})
