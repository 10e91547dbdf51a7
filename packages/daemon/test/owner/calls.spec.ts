import { ok, type Result } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/platform/clock'
import { Kind } from '@fireflymount/protocol/message'
import { Calls, type CallParts } from '../../src/owner/calls.js'
import { createQueue, FakeMetrics } from '../entry-fakes.js'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Session } from '../../src/owner/session.js'

/** A shard that places nothing by itself, with one worker that answers when told. */
class Bench {
  readonly cancelled: string[] = []
  readonly queued: string[] = []
  readonly calls: Calls
  answer: () => void = () => {}

  constructor () {
    const scheduler = {
      enqueue: ({ id }: { id: string }) => {
        this.queued.push(id)
        return ok()
      },
      cancel: (id: string) => this.cancelled.push(id) > 0,
      finish: () => {}
    }
    const request = (): Promise<Result<unknown, never>> => new Promise((resolve) => { this.answer = () => resolve(ok('whole')) })
    const session = { id: 'w-1', adopted: true, request }
    const parts: CallParts = {
      epoch: { counter: 1, node: 'node-1' },
      scheduler: scheduler as unknown as Scheduler,
      clock: new SystemClock(),
      metrics: new FakeMetrics(),
      session: () => session as unknown as Session,
      onStarted: () => {},
      onOver: () => {},
      onRoom: () => {}
    }
    this.calls = new Calls(parts)
  }

  run (id: string): Promise<Result<unknown, Refusal>> {
    return this.calls.run({ kind: Kind.Call, id, queue: 'preview', team: 'guild', budgetMs: 5000, body: 1 }, createQueue({}))
  }
}

test('a request that waits is given up, is not run, and leaves the others alone', async () => {
  const bench = new Bench()
  const gone = bench.run('gone')
  const kept = bench.run('kept')
  expect(bench.calls.abandon('gone')).toBe(true)
  expect((await gone)._unsafeUnwrapErr()).toMatchObject({ reason: 'cancelled', execution: 'not-run' })
  expect(bench.cancelled).toEqual([bench.queued[0]])
  expect(bench.calls.abandon('gone')).toBe(false)
  bench.calls.place(bench.queued[1]!, 'w-1')
  await Promise.resolve()
  bench.answer()
  expect((await kept)._unsafeUnwrap()).toBe('whole')
})

test.each([
  { says: 'a request at a worker is left to end', call: 'sent' },
  { says: 'an unknown request is no matter', call: 'other' }
])('$says', async ({ call }) => {
  const bench = new Bench()
  const sent = bench.run('sent')
  bench.calls.place(bench.queued[0]!, 'w-1')
  await Promise.resolve()
  expect([bench.calls.abandon(call), bench.cancelled]).toEqual([false, []])
  bench.answer()
  expect((await sent)._unsafeUnwrap()).toBe('whole')
})
