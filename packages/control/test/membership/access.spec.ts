import { err, ok, type Result } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { StoreAccess } from '../../src/membership/access.js'
import { StoreFailure, StoreClient, Topic, type StoreAnswer, type StoreCall } from '../../src/ports/store.js'

type Answer = Result<StoreAnswer, StoreFailure>

const FENCE = { epoch: 1, sequence: 1 }

/** Answers after delays that the test sets. */
class TimedPort extends StoreClient {
  afterMs = 5
  /** Delays of the next calls; further calls take `afterMs`. Infinity loses the answer. */
  delays: number[] = []
  answer: Answer = ok(1)
  calls = 0
  /** Long-poll time of each call. */
  readonly waits: number[] = []
  override async call (call: StoreCall, timeoutMs: number): Promise<Answer> {
    this.calls++
    this.waits.push('read' in call ? call.read.waitMs : 0)
    const delayMs = this.delays.shift() ?? this.afterMs
    await new Promise((resolve) => setTimeout(resolve, Math.min(delayMs, timeoutMs)))
    return delayMs <= timeoutMs ? this.answer : err(StoreFailure.NoAnswer)
  }
}

interface Fixture {
  readonly port: TimedPort
  readonly access: StoreAccess
  readonly relayed: () => number
  readonly relay: { answer: Answer }
  readonly availability: string[]
}

function createFixture (): Fixture {
  const port = new TimedPort()
  const relay: { answer: Answer } = { answer: ok(2) }
  const availability: string[] = []
  let relays = 0
  const access = new StoreAccess(port, async () => {
    relays++
    return relay.answer
  }, new SystemClock(), (available, failure) => { availability.push(available ? 'available' : `unavailable: ${failure}`) })
  return { port, access, relayed: () => relays, relay, availability }
}

/** Appends as the owner. */
async function append (access: StoreAccess): Promise<Result<number, StoreFailure>> {
  const appending = access.append(Topic.Journal, [], FENCE)
  await vi.advanceTimersByTimeAsync(12_000)
  return await appending
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('access to the store', () => {
  it.each([
    ['directly while the store answers', 5, ok(1), 1, 0],
    ['through another node when the store refuses this one', 5, err(StoreFailure.Refused), 2, 1],
    ['through another node when the store does not answer', 9000, err(StoreFailure.NoAnswer), 2, 1],
    ['directly when the store rejects the call itself', 5, err(StoreFailure.Fenced), StoreFailure.Fenced, 0]
  ])('goes %s', async (_, afterMs, answer: Answer, expected, relays) => {
    const { port, access, relayed } = createFixture()
    Object.assign(port, { afterMs, answer })
    const appended = await append(access)
    expect([appended.isOk() ? appended.value : appended.error, relayed()]).toEqual([expected, relays])
  })

  it('does not double the calls to a store that is slow for all nodes', async () => {
    const { port, access, relayed } = createFixture()
    port.afterMs = 400
    for (let call = 0; call < 12; call++) await append(access)
    const relayedBefore = relayed()
    for (let call = 0; call < 12; call++) await append(access)
    expect([relayedBefore < 4, relayed() - relayedBefore]).toEqual([true, 0])
  })

  it.each([
    ['within 1500 ms when the first connection no longer delivers answers', [Infinity, 5], ok(1), [1500, 1]],
    ['within 8000 ms when the store needs longer than the resend delay', [3500, 3500, 3500, 3500, 3500], ok(1), [8000, 1]],
    ['within 3600 ms when the store recovers after seconds without an answer',
      [Infinity, Infinity, Infinity, 5], ok(1), [3600, 1]]
  ])('gets the answer %s', async (_, delays, answer: Answer, [withinMs, value]) => {
    const { port, access, relay } = createFixture()
    relay.answer = err(StoreFailure.Refused)
    // The answer timeout doubles with each lost call, as in an outage.
    port.afterMs = Infinity
    for (let call = 0; call < 3; call++) await append(access)
    port.delays = [...delays]
    Object.assign(port, { answer, afterMs: Infinity })
    let appended: Result<number, StoreFailure> | undefined
    access.append(Topic.Journal, [], FENCE).then((result) => { appended = result }).catch(() => {})
    await vi.advanceTimersByTimeAsync(withinMs!)
    expect(appended?.unwrapOr(0)).toBe(value)
  })

  it('reports an unknown outcome when a later attempt is refused', async () => {
    const { port, access, relay } = createFixture()
    relay.answer = err(StoreFailure.Refused)
    port.delays = [Infinity, 5]
    port.answer = err(StoreFailure.Refused)
    expect((await append(access))._unsafeUnwrapErr()).toBe(StoreFailure.NoAnswer)
  })

  it('does not count the store as unavailable after a lost call if it has answered another call since', async () => {
    const { port, access, availability } = createFixture()
    port.delays = [Infinity, 5]
    const lost = access.append(Topic.Journal, [])
    await vi.advanceTimersByTimeAsync(10)
    const answered = access.append(Topic.Journal, [])
    port.afterMs = Infinity
    await vi.advanceTimersByTimeAsync(12_000)
    await Promise.all([lost, answered])
    expect(availability).toEqual([])
  })

  it('does not probe an unavailable store with callers\' records', async () => {
    const { port, access, relay } = createFixture()
    relay.answer = err(StoreFailure.Refused)
    port.afterMs = Infinity
    await append(access)
    const { calls } = port
    const appending = access.append(Topic.Journal, [])
    await vi.advanceTimersByTimeAsync(10)
    expect([(await appending)._unsafeUnwrapErr(), port.calls - calls]).toEqual([StoreFailure.Refused, 0])
  })

  it('probes an unavailable store without long polls', async () => {
    const { port, access, relay } = createFixture()
    relay.answer = err(StoreFailure.Refused)
    port.afterMs = Infinity
    await append(access)
    const reading = access.read(Topic.Journal, 0, 1000)
    await vi.advanceTimersByTimeAsync(20_000)
    await reading
    expect(port.waits.at(-1)).toBe(0)
  })

  it('probes the store directly while calls are relayed, and returns to direct calls', async () => {
    const { port, access, relayed, availability } = createFixture()
    port.answer = err(StoreFailure.Refused)
    await append(access)
    port.answer = ok(1)
    await append(access)
    const before = relayed()
    expect((await append(access))._unsafeUnwrap()).toBe(1)
    expect([relayed() - before, availability]).toEqual([0, ['unavailable: refused', 'available']])
  })

  it.each([
    [StoreFailure.Refused, StoreFailure.Refused, StoreFailure.Refused],
    [StoreFailure.NoAnswer, StoreFailure.Refused, StoreFailure.NoAnswer],
    [StoreFailure.Refused, StoreFailure.NoAnswer, StoreFailure.NoAnswer]
  ])('reports, after %s here and %s on another node, the outcome %s', async (direct, relayed, expected) => {
    const { port, access, relay } = createFixture()
    port.answer = err(direct)
    relay.answer = err(relayed)
    expect((await append(access))._unsafeUnwrapErr()).toBe(expected)
  })
})
