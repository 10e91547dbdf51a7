import { describe, expect, it } from 'vitest'
import { FakeClock } from './fakes.js'

describe('the age of a stamp', () => {
  it.each([
    ['time on both clocks', 700, 700, 700],
    ['a suspension, during which the steady clock stops', 100, 3600, 3600],
    ['steady time only when the wall clock is set back', 700, -5000, 700]
  ])('counts %s', (_, steadyMs, wallMs, ageMs) => {
    const clock = new FakeClock()
    const stamp = clock.stamp()
    clock.steadyMs += steadyMs
    clock.wallMs += wallMs
    expect(clock.ageOf(stamp)).toBe(ageMs)
  })
})
