import { err, ok, type Result } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { Follower } from '../../src/journal/follower.js'
import { StoreAccess } from '../../src/membership/access.js'
import { StoreClient, StoreFailure, Topic, type StoreAnswer, type StoreCall } from '../../src/ports/store.js'

const PAGES = 5
const PAGE_BYTES = 1_000_000
const LINK_BYTES_PER_MS = 875
const CHUNK_BYTES = 50_000

/** A store behind a narrow link, on which all answers are transferred one after the other. The timeout counts from the last data. */
class NarrowPort extends StoreClient {
  private idleAtMs = 0
  transferredBytes = 0

  override async call (call: StoreCall, timeoutMs: number, onData?: () => void): Promise<Result<StoreAnswer, StoreFailure>> {
    if (!('newest' in call)) {
      await this.transfer(100, timeoutMs, onData)
      return ok({ records: [], end: PAGES })
    }
    const page = Number(call.newest.after ?? -1) + 1
    for (let sent = 0; sent < PAGE_BYTES; sent += CHUNK_BYTES) {
      if (!await this.transfer(CHUNK_BYTES, timeoutMs, onData)) return err(StoreFailure.NoAnswer)
    }
    const records = [{ key: `k${page}`, value: Buffer.from('x'), offset: page }]
    return ok({ records, end: PAGES, next: page < PAGES - 1 ? String(page) : undefined })
  }

  /** Transfers a chunk after those that are queued. Returns false if it takes longer than the timeout. */
  private async transfer (bytes: number, timeoutMs: number, onData?: () => void): Promise<boolean> {
    const nowMs = performance.now()
    this.idleAtMs = Math.max(this.idleAtMs, nowMs) + bytes / LINK_BYTES_PER_MS
    this.transferredBytes += bytes
    const takesMs = this.idleAtMs - nowMs
    await new Promise((resolve) => setTimeout(resolve, Math.min(takesMs, timeoutMs)))
    if (takesMs > timeoutMs) return false
    onData?.()
    return true
  }
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('a node behind a narrow link', () => {
  // Guards against the incident of the saturated owner: after a loss of all nodes, those with narrow links timed out on each page
  // of the journal, sent the calls again and relayed them, and never read the journal.
  it('reads the journal once, in about the time that the link needs', async () => {
    const clock = new SystemClock()
    const port = new NarrowPort()
    const relay = async (call: StoreCall, timeoutMs: number): ReturnType<StoreClient['call']> => await port.call(call, timeoutMs)
    const keys = new Set<string>()
    const follower = new Follower(new StoreAccess(port, relay, clock, () => {}), Topic.Journal, {
      onRecord: (record) => { keys.add(record.key) },
      onRejected: (_, error) => { throw error }
    }, clock, 100)
    const stopping = new AbortController()
    const running = follower.run(stopping.signal)
    await vi.advanceTimersByTimeAsync(1.5 * PAGES * PAGE_BYTES / LINK_BYTES_PER_MS)
    expect({ pages: keys.size, read: follower.offset !== undefined }).toEqual({ pages: PAGES, read: true })
    expect(port.transferredBytes).toBeLessThan(1.2 * PAGES * PAGE_BYTES)
    stopping.abort()
    await vi.advanceTimersByTimeAsync(20_000)
    await running
  })
})
