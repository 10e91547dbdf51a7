import { describe, expect, it } from 'vitest'
import { Log } from '../../src/report/log.js'
import { RefusalCounter } from '../../src/report/refusal-counter.js'
import { FakeClock } from '../fakes.js'

class LineLog extends Log {
  readonly lines: unknown[] = []
  override decision (): void {}
  override event (name: string, fields: Record<string, unknown>): void {
    this.lines.push([name, fields.reason, fields.refusals])
  }
}

describe('the count of refusals', () => {
  it.each([
    { times: [0], lines: [['refused', 'a', 1]] },
    { times: [0, 10, 999], lines: [['refused', 'a', 1]] },
    { times: [0, 10, 20, 1000, 1500], lines: [['refused', 'a', 1], ['refused', 'a', 3]] }
  ])('is logged at most once a second: $times', ({ times, lines }) => {
    const clock = new FakeClock()
    const log = new LineLog()
    const refusals = new RefusalCounter(log, clock, 'refused')
    const startMs = clock.now()
    for (const timeMs of times) {
      clock.advance(startMs + timeMs - clock.now())
      refusals.count('a', {})
    }
    expect(log.lines).toEqual(lines)
  })

  it('is separate for each reason', () => {
    const log = new LineLog()
    const refusals = new RefusalCounter(log, new FakeClock(), 'refused')
    for (const reason of ['a', 'b', 'a']) refusals.count(reason, {})
    expect(log.lines).toEqual([['refused', 'a', 1], ['refused', 'b', 1]])
  })
})
