import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Clock } from '../../src/clock.js'
import { RoundPacer } from '../../src/owner/round-pacer.js'

/** The time of the fake timers and, in addition, the time that rounds took: no timer fires during a round. */
class BusyClock extends Clock {
  busyMs = 0

  override now (): number {
    return performance.now() + this.busyMs
  }

  override wall (): number {
    return Date.now() + this.busyMs
  }

  override processorMs (): number {
    return 0
  }
}

/** Runs rounds of a given duration. */
class Harness {
  readonly clock = new BusyClock()
  readonly startedMs: number[] = []
  readonly pacer: RoundPacer

  constructor (private readonly roundMs: number, private readonly keepRequesting: boolean) {
    this.pacer = new RoundPacer(this.clock, () => { this.runRound() })
  }

  private runRound (): void {
    this.startedMs.push(this.clock.now())
    this.clock.busyMs += this.roundMs
    if (this.keepRequesting) this.pacer.request()
  }
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('rounds', () => {
  it('run at once when the owner is idle, so that an urgent job does not wait', async () => {
    const harness = new Harness(1, false)
    harness.pacer.request()
    await vi.advanceTimersByTimeAsync(1)
    expect(harness.startedMs).toHaveLength(1)
    await vi.advanceTimersByTimeAsync(1000)
    harness.pacer.request()
    await vi.advanceTimersByTimeAsync(1)
    expect(harness.startedMs).toHaveLength(2)
  })

  it('combine requests that follow a round closely', async () => {
    const harness = new Harness(0, false)
    for (let request = 0; request < 40; request++) {
      harness.pacer.request()
      await vi.advanceTimersByTimeAsync(1)
    }
    // The first request starts a round at once; the others share one round per 4 ms.
    expect(harness.startedMs.length).toBeGreaterThan(1)
    expect(harness.startedMs.length).toBeLessThanOrEqual(1 + 40 / 4)
  })

  // Guards against an owner whose processor is full because rounds over a long backlog follow each other without a pause.
  it.each([
    ['short', 2],
    ['long', 8],
    ['very long', 30]
  ])('take at most a quarter of the processor while rounds are %s and always requested', async (_, roundMs) => {
    const harness = new Harness(roundMs, true)
    harness.pacer.request()
    await vi.advanceTimersByTimeAsync(10_000)
    const elapsedMs = harness.startedMs.at(-1)! - harness.startedMs[0]!
    const share = (harness.startedMs.length - 1) * roundMs / elapsedMs
    expect(share).toBeLessThanOrEqual(0.25)
    expect(share).toBeGreaterThan(0.2)
  })

  it('go on soon after the process was paused during one', async () => {
    const harness = new Harness(20_000, false)
    harness.pacer.request()
    await vi.advanceTimersByTimeAsync(1)
    harness.pacer.request()
    await vi.advanceTimersByTimeAsync(110)
    expect(harness.startedMs).toHaveLength(2)
  })

  it('do not run once the owner is closed', async () => {
    const harness = new Harness(1, false)
    harness.pacer.request()
    harness.pacer.close()
    await vi.advanceTimersByTimeAsync(1000)
    expect(harness.startedMs).toEqual([])
  })
})
