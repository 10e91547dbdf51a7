import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { MessageKind } from '@fireflymount/protocol/message'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { ADMINISTRATOR_AUTHORIZATION, GUILD_AUTHORIZATION, createHarness, type ApiHarness } from './entry-fakes.js'

const REPORT = { queue: 'yardage', owner: 'node-2', accepted: true }
const SIZE = { cpuMilli: 1, memoryMb: 2, accelerators: 0 }

async function dryRun (
  harness: ApiHarness, queue: string, body: unknown, authorization = ADMINISTRATOR_AUTHORIZATION
): Promise<Response> {
  harness.router.answer = async () => ok(REPORT)
  return await harness.request('POST', `/v1/admin/queues/${queue}/dry-run`, { authorization }, body)
}

test.each([
  { queue: 'yardage', body: {}, asked: { team: 'guild', tasks: 1 } },
  { queue: 'drift', body: { team: 'guild', tasks: 8, runtimeMs: 5, size: SIZE }, asked: { team: 'guild', tasks: 8, runtimeMs: 5, size: SIZE } },
  { queue: 'preview', body: { deadlineMs: 5000 }, asked: { team: 'guild', tasks: 1, deadlineMs: 800 } }
])('a dry run on $queue with $body asks only the owner, and with no message that has an effect', async ({ queue, body, asked }) => {
  const harness = createHarness()
  const answer = await dryRun(harness, queue, body)
  expect([answer.status, await answer.json()]).toEqual([200, REPORT])
  expect(harness.router.asked.map(({ request }) => request)).toEqual([{ kind: MessageKind.DryRun, queue, ...asked }])
})

test.each([
  { why: 'a team that may not use the queue', body: { team: 'circle' }, reason: Reason.WrongTeam, play: () => {} },
  { why: 'a configuration too old to check keys', body: {}, reason: Reason.ConfigurationStale, play: (harness: ApiHarness) => { harness.configuration.age = 5000 } }
])('the report says that this node would refuse $why', async ({ body, reason, play }) => {
  const harness = createHarness()
  play(harness)
  const answer = await dryRun(harness, 'yardage', body)
  expect(await answer.json()).toMatchObject({ ...REPORT, accepted: false, refusal: { reason } })
})

test.each([
  { why: 'a key of a team', queue: 'yardage', body: {}, authorization: GUILD_AUTHORIZATION, status: 401 },
  { why: 'an unknown queue', queue: 'none', body: {}, status: 404 },
  { why: 'a body that is not an object', queue: 'yardage', body: [], status: 400 },
  { why: 'an unknown field', queue: 'yardage', body: { colour: 1 }, status: 400 },
  { why: 'several tasks on a batch queue', queue: 'yardage', body: { tasks: 2 }, status: 400 },
  { why: 'a size on a queue of requests', queue: 'preview', body: { size: SIZE }, status: 400 },
  { why: 'a deadline of 0', queue: 'preview', body: { deadlineMs: 0 }, status: 400 },
  { why: 'a deadline on a queue of jobs', queue: 'yardage', body: { deadlineMs: 5 }, status: 400 },
  { why: 'a team that is not a name', queue: 'yardage', body: { team: 7 }, status: 400 }
])('a dry run with $why is answered with $status', async ({ queue, body, authorization, status }) => {
  const harness = createHarness()
  expect((await dryRun(harness, queue, body, authorization)).status).toBe(status)
  expect(harness.router.asked).toEqual([])
})

test('an owner that does not answer is reported as a problem', async () => {
  const harness = createHarness()
  harness.router.answer = async () => err(refuse(Reason.NoOwner, 'None.', 500))
  const answer = await harness.request('POST', '/v1/admin/queues/yardage/dry-run', { authorization: ADMINISTRATOR_AUTHORIZATION }, {})
  expect(answer.status).toBe(503)
})
