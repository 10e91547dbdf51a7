import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Log } from '../src/report/log.js'
import { RESTART_DELAY_MS, supervise } from '../src/supervise.js'

class EventLog extends Log {
  readonly events: string[] = []
  override decision (): void {}
  override event (name: string, fields: Record<string, unknown>): void { this.events.push(`${name}: ${String(fields.task)}`) }
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('a supervised loop', () => {
  // Guards against a process that ends, or goes on without one of its loops, because of one unexpected error.
  it.each([
    ['is started again after each unexpected error', 2, false, 3],
    ['is not started again once it has returned', 0, false, 1],
    ['is not started again after the signal', 5, true, 1]
  ])('%s', async (_, errors, aborts, expected) => {
    const log = new EventLog()
    const controller = new AbortController()
    let runs = 0
    const supervised = supervise('reader', async () => {
      if (runs++ >= errors) return
      if (aborts) controller.abort()
      throw new Error('unexpected')
    }, controller.signal, log)
    await vi.advanceTimersByTimeAsync(10 * RESTART_DELAY_MS)
    await supervised
    expect([runs, log.events.length]).toEqual([expected, Math.min(errors, expected)])
  })
})
