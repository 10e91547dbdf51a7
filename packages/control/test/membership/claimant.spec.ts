import { err } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { StoreAccess } from '../../src/membership/access.js'
import { ClaimProof, Claimant } from '../../src/membership/claimant.js'
import { StoreFailure, Topic, type StoreCall } from '../../src/ports/store.js'
import { FakeClock, FakeStore } from '../fakes.js'

/** How long a process is suspended: longer than an owner may act without confirmation. */
const SUSPENSION_MS = 15_000

/** A store that executes claims at once and, while `silent`, never answers them. */
class SilentStore extends FakeStore {
  silent = false
  /** Called before a call is answered. */
  answering = (): void => {}

  override async call (call: StoreCall): ReturnType<FakeStore['call']> {
    const answer = await super.call(call)
    this.answering()
    return this.silent ? await new Promise(() => {}) : answer
  }
}

let store: SilentStore
let access: StoreAccess
let clock: FakeClock
let claimant: Claimant
beforeEach(() => {
  vi.useFakeTimers()
  store = new SilentStore()
  clock = new FakeClock()
  access = new StoreAccess(store, async () => err(StoreFailure.NoAnswer), new SystemClock(), () => {})
  claimant = new Claimant(access, clock, 'a', 'process', 0)
})
afterEach(() => { vi.useRealTimers() })

async function appendAsOwner (epoch: number): Promise<boolean> {
  store.silent = false
  store.fault = undefined
  return (await access.append(Topic.Journal, [], { epoch, sequence: claimant.take()!.sequence })).isOk()
}

describe('the claims of a process', () => {
  it('are held once the store has answered', async () => {
    expect(await claimant.claim(3)).toBe(ClaimProof.Answered)
    expect(await appendAsOwner(3)).toBe(true)
  })

  // Guards against inc-bc7c: a node waited 4 s for the answer to a claim that it had read in the journal.
  it('are held once they were read, although the store does not answer', async () => {
    store.silent = true
    const claiming = claimant.claim(3)
    await vi.advanceTimersByTimeAsync(100)
    claimant.onClaimRead({ epoch: 3, node: 'a', incarnation: 'process' }, clock.stamp())
    expect(await claiming).toBe(ClaimProof.Read)
    expect(await appendAsOwner(3)).toBe(true)
  })

  // Guards against an owner that is suspended while it waits for the answer to its claim, and then acts for as long as if the store
  // had just confirmed the claim.
  it.each([
    ['answered', (suspend: () => void) => { store.answering = suspend }],
    ['read', (suspend: () => void) => {
      const readAt = clock.stamp()
      store.silent = true
      suspend()
      claimant.onClaimRead({ epoch: 3, node: 'a', incarnation: 'process' }, readAt)
    }]
  ])('are as old as the request that showed them when they were %s', async (_, show) => {
    const sentMs = clock.now()
    const claiming = claimant.claim(3)
    show(() => { clock.advance(SUSPENSION_MS) })
    await claiming
    expect(clock.now() - sentMs).toBeGreaterThanOrEqual(SUSPENSION_MS)
    expect(claimant.take()!.heldAt.steadyMs - sentMs).toBeLessThan(100)
  })

  it('are not taken unless they are known to be held', async () => {
    store.fault = () => StoreFailure.Refused
    await claimant.claim(3)
    expect(claimant.take()).toBeUndefined()
  })

  it.each([
    ['another process', { epoch: 3, node: 'a', incarnation: 'other' }],
    ['another epoch', { epoch: 2, node: 'a', incarnation: 'process' }]
  ])('are not held because a claim of %s was read', async (_, claim) => {
    store.silent = true
    const claiming = claimant.claim(3)
    claimant.onClaimRead(claim, clock.stamp())
    await vi.advanceTimersByTimeAsync(100)
    expect(claimant.holds(claim)).toBe(false)
    expect(await Promise.race([claiming, 'waiting'])).toBe('waiting')
  })

  it('are written once when all answers are lost and the claim is repeated', async () => {
    store.loseAnswers = true
    store.fault = () => StoreFailure.NoAnswer
    expect(await claimant.claim(3)).toBe(StoreFailure.NoAnswer)
    expect(claimant.holds({ epoch: 3, node: 'a', incarnation: 'process' })).toBe(true)
    store.fault = undefined
    await vi.advanceTimersByTimeAsync(1000)
    expect(await claimant.claim(3)).toBe(ClaimProof.Answered)
    expect(store.records[Topic.Journal]).toHaveLength(1)
    expect(await appendAsOwner(3)).toBe(true)
  })

  it('fail when another process has claimed the epoch', async () => {
    store.claim(3, 7)
    expect(await claimant.claim(3)).toBe(StoreFailure.OutOfSequence)
  })

  it('are held by no process once their ownership was taken', async () => {
    await claimant.claim(3)
    claimant.take()
    expect(claimant.holds({ epoch: 3, node: 'a', incarnation: 'process' })).toBe(false)
  })
})
