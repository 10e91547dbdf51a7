import { createServer } from 'node:http'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { drainServer } from '../../src/entry/shutdown.js'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('draining the server', () => {
  it.each([
    ['accepts connections for half of the grace period, until the load balancer has removed the node', 0, 3000, 3100],
    ['waits for requests in flight', 4000, 4000, 4200],
    ['returns before the platform kills the process', 99_000, 5000, 5600]
  ])('%s', async (_, openUntilMs, minMs, maxMs) => {
    const startedMs = performance.now()
    let endedMs = 0
    const stopping = drainServer(createServer(), 6000, () => performance.now() - startedMs < openUntilMs ? 1 : 0)
      .then(() => { endedMs = performance.now() - startedMs })
    await vi.advanceTimersByTimeAsync(8000)
    await stopping
    expect(endedMs).toBeGreaterThanOrEqual(minMs)
    expect(endedMs).toBeLessThanOrEqual(maxMs)
  })
})
