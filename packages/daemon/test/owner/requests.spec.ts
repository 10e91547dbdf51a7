import { ok, type Result } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { MessageKind } from '@fireflymount/protocol/message'
import { Requests, type RequestsOptions } from '../../src/owner/requests.js'
import { createQueue, FakeMetrics } from '../entry-fakes.js'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Session } from '../../src/owner/session.js'

/** A shard whose fake scheduler places nothing, with one worker that answers when the test calls `answer`. */
class Harness {
  readonly cancelled: string[] = []
  readonly queued: string[] = []
  readonly requests: Requests
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
    const request = (): Promise<Result<unknown, never>> => new Promise((resolve) => { this.answer = () => resolve(ok('complete')) })
    const session = { id: 'w-1', adopted: true, request }
    const options: RequestsOptions = {
      epoch: { counter: 1, node: 'node-1' },
      scheduler: scheduler as unknown as Scheduler,
      clock: new SystemClock(),
      metrics: new FakeMetrics(),
      session: () => session as unknown as Session,
      onStarted: () => {},
      onFinished: () => {},
      requestRound: () => {}
    }
    this.requests = new Requests(options)
  }

  run (id: string): Promise<Result<unknown, Refusal>> {
    return this.requests.run({ kind: MessageKind.Call, id, queue: 'preview', team: 'guild', budgetMs: 5000, body: 1 }, createQueue({}))
  }
}

test('an abandoned waiting request is refused as not run, and other requests are unaffected', async () => {
  const harness = new Harness()
  const gone = harness.run('gone')
  const kept = harness.run('kept')
  expect(harness.requests.abandon('gone')).toBe(true)
  expect((await gone)._unsafeUnwrapErr()).toMatchObject({ reason: 'cancelled', execution: 'not-run' })
  expect(harness.cancelled).toEqual([harness.queued[0]])
  expect(harness.requests.abandon('gone')).toBe(false)
  harness.requests.place(harness.queued[1]!, 'w-1')
  await Promise.resolve()
  harness.answer()
  expect((await kept)._unsafeUnwrap()).toBe('complete')
})

test.each([
  { title: 'abandoning a request that is already at a worker has no effect', call: 'sent' },
  { title: 'abandoning an unknown request has no effect', call: 'other' }
])('$title', async ({ call }) => {
  const harness = new Harness()
  const sent = harness.run('sent')
  harness.requests.place(harness.queued[0]!, 'w-1')
  await Promise.resolve()
  expect([harness.requests.abandon(call), harness.cancelled]).toEqual([false, []])
  harness.answer()
  expect((await sent)._unsafeUnwrap()).toBe('complete')
})
