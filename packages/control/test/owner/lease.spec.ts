import { describe, expect, it } from 'vitest'
import { Lease } from '../../src/owner/lease.js'
import { FakeClock } from '../fakes.js'

const LEASE_MS = 6000

describe('the lease of a worker that has restarted', () => {
  // Guards against runs that are declared lost while a command to the earlier incarnation, which another node sent a second after
  // it had received it, keeps them alive.
  it.each([
    { says: 'has not expired while a command from before can still extend it', elapsedMs: 1000 + 12_000 + LEASE_MS, expired: false },
    { says: 'has expired afterwards, also on the slowest clock', elapsedMs: (1000 + 12_000 + LEASE_MS + 200) / 0.98, expired: true }
  ])('$says', ({ elapsedMs, expired }) => {
    const clock = new FakeClock()
    const lease = new Lease(clock, 900_000)
    lease.reset(5, LEASE_MS)
    clock.advance(elapsedMs)
    expect(lease.hasExpired()).toBe(expired)
  })
})
