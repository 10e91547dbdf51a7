import { describe, expect, it } from 'vitest'
import { FakeClock } from './fakes.js'

describe('the age of a moment', () => {
  it.each([
    ['time that passes', 700, 700, 700],
    ['a suspension, in which the steady clock stands still', 100, 3600, 3600],
    ['a time of day that is set back', 700, -5000, 700]
  ])('counts %s', (_, steadyMs, wallMs, ageMs) => {
    const clock = new FakeClock()
    const stamp = clock.stamp()
    clock.steadyMs += steadyMs
    clock.wallMs += wallMs
    expect(clock.ageOf(stamp)).toBe(ageMs)
  })
})
