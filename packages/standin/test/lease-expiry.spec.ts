import { Event, EventHistory } from '@fireflymount/standin/event-history'
import { StandinWorker } from '@fireflymount/standin/standin-worker'
import { describe, expect, it } from 'vitest'

const CAPACITY = { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 }
const EPOCH = { counter: 1, node: 'n1' }
const LEASE_MS = 60
const LEASE_CHECK_MS = 20

function block (ms: number): void {
  const untilMs = performance.now() + ms
  while (performance.now() < untilMs);
}

describe('the record of a task whose lease expires', () => {
  // Guards against a checker that sees a task in two places because the process that simulates the first worker was blocked for longer
  // than the owner's margin.
  it.each([
    ['while the process of the worker runs', 0],
    ['while the process of the worker is blocked', 300]
  ])('ends it at the expiry %s', async (_, blockedMs) => {
    const history = new EventHistory('w1')
    const worker = new StandinWorker({ id: 'w1', capacity: CAPACITY, slots: 4, leaseCheckMs: LEASE_CHECK_MS, usageLagMs: 0 }, history)
    const adopted = worker.adopt(EPOCH, LEASE_MS)._unsafeUnwrap()
    const task = { id: 't1', attempt: 1, team: 'a', kind: 'q', size: CAPACITY, body: {} }
    worker.start({ epoch: EPOCH, boot: adopted.boot }, task, adopted.clockMs + LEASE_MS)._unsafeUnwrap()
    block(blockedMs)
    await expect.poll(() => history.page(0).entries.map(({ event }) => event)).toContain(Event.Expire)
    const { entries } = history.page(0)
    const startedMs = entries.find(({ event }) => event === Event.Start)!.monotonicMs
    const expiredMs = entries.find(({ event }) => event === Event.Expire)!.monotonicMs
    expect(expiredMs - startedMs).toBeLessThan(LEASE_MS + LEASE_CHECK_MS)
  })
})
