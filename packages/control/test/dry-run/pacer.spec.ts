import { ok } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { ExplanationPacer } from '../../src/dry-run/pacer.js'
import { FakeClock } from '../fakes.js'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

// The load: someone who reaches the metrics address asks for explanations without end.
describe('the pacer of explanations', () => {
  it.each([
    [1, 0, 1],
    [3, 99, 1],
    [3, 100, 2],
    [3, 250, 3],
    [20, 10_000, 16]
  ])('with %i asked for at once has given, %i ms after the first, %i', async (asked, afterMs, given) => {
    const clock = new FakeClock()
    const pacer = new ExplanationPacer(clock)
    let count = 0
    const answers = Array.from({ length: asked }, () => pacer.run(() => {
      clock.advance(10)
      count++
      return ok(true)
    }))
    await vi.advanceTimersByTimeAsync(afterMs)
    expect(count).toBe(given)
    await vi.advanceTimersByTimeAsync(10_000)
    const refused = (await Promise.all(answers)).filter((answer) => answer.isErr())
    expect(refused).toHaveLength(Math.max(0, asked - 16))
  })

  it('goes on after an explanation that throws', async () => {
    const pacer = new ExplanationPacer(new FakeClock())
    await expect(pacer.run(() => { throw new Error('broken') })).rejects.toThrow('broken')
    expect((await pacer.run(() => ok(1))).isOk()).toBe(true)
  })
})
