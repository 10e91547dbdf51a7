import { ok, type Result } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/platform/clock'
import { Kind } from '@fireflymount/protocol/message'
import { Calls, type CallsOptions } from '../../src/owner/calls.js'
import { createQueue, FakeMetrics } from '../entry-fakes.js'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Session } from '../../src/owner/session.js'

/** A shard whose fake scheduler places nothing, with one worker that answers when the test calls `answer`. */
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
    const options: CallsOptions = {
      epoch: { counter: 1, node: 'node-1' },
      scheduler: scheduler as unknown as Scheduler,
      clock: new SystemClock(),
      metrics: new FakeMetrics(),
      session: () => session as unknown as Session,
      onStarted: () => {},
      onFinished: () => {},
      requestRound: () => {}
    }
    this.calls = new Calls(options)
  }

  run (id: string): Promise<Result<unknown, Refusal>> {
    return this.calls.run({ kind: Kind.Call, id, queue: 'preview', team: 'guild', budgetMs: 5000, body: 1 }, createQueue({}))
  }
}

test('an abandoned waiting request is refused as not run, and other requests are unaffected', async () => {
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
  { says: 'abandoning a request that is already at a worker has no effect', call: 'sent' },
  { says: 'abandoning an unknown request has no effect', call: 'other' }
])('$says', async ({ call }) => {
  const bench = new Bench()
  const sent = bench.run('sent')
  bench.calls.place(bench.queued[0]!, 'w-1')
  await Promise.resolve()
  expect([bench.calls.abandon(call), bench.cancelled]).toEqual([false, []])
  bench.answer()
  expect((await sent)._unsafeUnwrap()).toBe('whole')
})
