import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { PeerClock, decodeReading, encodeReading, hasPassed, readClocks } from '@fireflymount/protocol/peer-clock'

const VALID_MS = 1000

beforeEach(() => { vi.useFakeTimers({ toFake: ['performance', 'Date'] }) })
afterEach(() => { vi.useRealTimers() })

describe('a deadline on the clocks of a peer', () => {
  it.each([
    { says: 'has not passed before its time', elapsedMs: 999, wallStepMs: 0, passed: false },
    { says: 'has passed after its time', elapsedMs: 1001, wallStepMs: 0, passed: true },
    { says: 'has passed after a suspension, which only the wall clock shows', elapsedMs: 0, wallStepMs: 1001, passed: true },
    { says: 'has passed although the wall clock was set back', elapsedMs: 1001, wallStepMs: -5000, passed: true }
  ])('$says', ({ elapsedMs, wallStepMs, passed }) => {
    const deadline = { steadyMs: performance.now() + VALID_MS, wallMs: Date.now() + VALID_MS }
    vi.advanceTimersByTime(elapsedMs)
    vi.setSystemTime(Date.now() + wallStepMs)
    expect(hasPassed(deadline)).toBe(passed)
  })

  it.each([
    { says: 'counts from the newest reading', readings: [{ steadyMs: 10, wallMs: 100 }, { steadyMs: 50, wallMs: 500 }], expected: { steadyMs: 1070, wallMs: 1520 } },
    { says: 'is unknown without a reading', readings: [], expected: undefined }
  ])('$says', ({ readings, expected }) => {
    const clock = new PeerClock()
    for (const reading of readings) clock.update(reading)
    vi.advanceTimersByTime(20)
    expect(clock.after(VALID_MS)).toEqual(expected)
  })
})

describe('a reading in the payload of a ping', () => {
  it('is unchanged after encoding and decoding', () => {
    const reading = readClocks()
    expect(decodeReading(encodeReading(reading))).toEqual(reading)
  })

  it.each([
    ['empty', Buffer.alloc(0)],
    ['of another length', Buffer.alloc(8)],
    ['not a number', Buffer.alloc(16, 0xff)]
  ])('is ignored if it is %s', (_, bytes) => {
    expect(decodeReading(bytes)).toBeUndefined()
  })
})
