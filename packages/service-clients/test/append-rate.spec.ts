/**
 * Tests the append rates of several writers that share the rate limit of the log.
 */
import { err, ok, type Result } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { StateMachine } from '@fireflymount/service-clients/journal'
import { Log, LogFailure, type LogError, type LogPage } from '@fireflymount/service-clients/log'
import { StreamJournal } from '@fireflymount/service-clients/stream-journal'

const LIMIT_PER_S = 60
const WRITERS = 6
const RUN_MS = 8000

/** A log with one limit of appends per second for all streams together. */
class RateLimitedLog extends Log {
  readonly streams = new Map<string, unknown[]>()
  accepted = 0
  throttled = 0
  private tokens = LIMIT_PER_S / 10
  private refilledMs = performance.now()

  append (stream: string, data: unknown): Promise<Result<number, LogError>> {
    const now = performance.now()
    this.tokens = Math.min(LIMIT_PER_S / 10, this.tokens + (now - this.refilledMs) * LIMIT_PER_S / 1000)
    this.refilledMs = now
    if (this.tokens < 1) {
      this.throttled++
      return Promise.resolve(err({ failure: LogFailure.Throttled, detail: 'too many appends per second' }))
    }
    this.tokens--
    this.accepted++
    const records = this.streams.get(stream) ?? []
    this.streams.set(stream, records)
    records.push(data)
    return Promise.resolve(ok(records.length - 1))
  }

  async read (stream: string, from: number, waitMs: number): Promise<Result<LogPage, LogError>> {
    const records = this.streams.get(stream) ?? []
    if (records.length <= from) await new Promise((resolve) => setTimeout(resolve, waitMs))
    const page = records.slice(from).map((data, index) => ({ offset: from + index, data }))
    return ok({ records: page, next: from + page.length, earliest: 0 })
  }
}

class EmptyStateMachine extends StateMachine {
  apply (): void {}
  snapshot (): readonly unknown[] { return [] }
  restore (): void {}
}

test('writers that share the rate limit of the log have fewer than a quarter of their appends throttled, and none starves', async () => {
  const log = new RateLimitedLog()
  const clock = new SystemClock()
  const endMs = clock.now() + RUN_MS
  const commits = await Promise.all(Array.from({ length: WRITERS }, async (_, index) => {
    const options = { commitMs: 20, snapshotRecords: 1e9, snapshotMs: 1e9, timeoutMs: 5000 }
    const stream = new StreamJournal({ log, stream: `s${index}`, clock, stateMachine: new EmptyStateMachine(), ...options })
    expect((await stream.claim({ counter: 1, node: 'n' }, [])).isOk()).toBe(true)
    let count = 0
    while (clock.now() < endMs) {
      if ((await stream.commit({ count }, 5000)).isOk()) count++
    }
    stream.close()
    return count
  }))
  expect(log.throttled / (log.accepted + log.throttled)).toBeLessThan(0.25)
  expect(Math.min(...commits)).toBeGreaterThan(0.25 * Math.max(...commits))
})
