import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { MessageKind } from '@fireflymount/protocol/message'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { ADMINISTRATOR_AUTHORIZATION, GUILD_AUTHORIZATION, createHarness, type ApiHarness } from './entry-fakes.js'

const REPORT = { queue: 'yardage', owner: 'node-2', accepted: true }
const SIZE = { cpuMilli: 1, memoryMb: 2, accelerators: 0 }

async function dryRun (
  harness: ApiHarness, queue: string, query: string, authorization = ADMINISTRATOR_AUTHORIZATION
): Promise<Response> {
  harness.router.answer = async () => ok(REPORT)
  return await harness.request('GET', `/v1/admin/queues/${queue}/dry-run?${query}`, { authorization })
}

test.each([
  { queue: 'yardage', query: '', asked: { team: 'guild', tasks: 1 } },
  { queue: 'drift', query: 'team=guild&tasks=8&runtimeMs=5&size=1,2,0', asked: { team: 'guild', tasks: 8, runtimeMs: 5, size: SIZE } },
  { queue: 'preview', query: 'deadlineMs=5000', asked: { team: 'guild', tasks: 1, deadlineMs: 800 } }
])('a dry run on $queue with "$query" asks only the owner, and with no message that has an effect', async ({ queue, query, asked }) => {
  const harness = createHarness()
  const answer = await dryRun(harness, queue, query)
  expect([answer.status, await answer.json()]).toEqual([200, REPORT])
  expect(harness.router.asked.map(({ request }) => request)).toEqual([{ kind: MessageKind.DryRun, queue, ...asked }])
})

test.each([
  { why: 'a team that may not use the queue', query: 'team=circle', reason: Reason.WrongTeam, play: () => {} },
  { why: 'a configuration too old to check keys', query: '', reason: Reason.ConfigurationStale, play: (harness: ApiHarness) => { harness.configuration.age = 5000 } }
])('the report says that this node would refuse $why', async ({ query, reason, play }) => {
  const harness = createHarness()
  play(harness)
  const answer = await dryRun(harness, 'yardage', query)
  expect(await answer.json()).toMatchObject({ ...REPORT, accepted: false, refusal: { reason } })
})

test.each([
  { why: 'a key of a team', queue: 'yardage', query: '', authorization: GUILD_AUTHORIZATION, status: 401 },
  { why: 'an unknown queue', queue: 'none', query: '', status: 404 },
  { why: 'an unknown field', queue: 'yardage', query: 'colour=1', status: 400 },
  { why: 'several tasks on a batch queue', queue: 'yardage', query: 'tasks=2', status: 400 },
  { why: 'a size on a queue of requests', queue: 'preview', query: 'size=1,2,0', status: 400 },
  { why: 'a deadline of 0', queue: 'preview', query: 'deadlineMs=0', status: 400 },
  { why: 'a deadline on a queue of jobs', queue: 'yardage', query: 'deadlineMs=5', status: 400 },
  { why: 'a size of two numbers', queue: 'yardage', query: 'size=1,2', status: 400 },
  { why: 'a run time that is not a number', queue: 'yardage', query: 'runtimeMs=x', status: 400 }
])('a dry run with $why is answered with $status', async ({ queue, query, authorization, status }) => {
  const harness = createHarness()
  expect((await dryRun(harness, queue, query, authorization)).status).toBe(status)
  expect(harness.router.asked).toEqual([])
})

test('an owner that does not answer is reported as a problem', async () => {
  const harness = createHarness()
  harness.router.answer = async () => err(refuse(Reason.NoOwner, 'None.', 500))
  const answer = await harness.request('GET', '/v1/admin/queues/yardage/dry-run', { authorization: ADMINISTRATOR_AUTHORIZATION })
  expect(answer.status).toBe(503)
})
