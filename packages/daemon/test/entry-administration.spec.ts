import { err, ok } from 'neverthrow'
import { describe, expect, test } from 'vitest'
import { MessageKind } from '@fireflymount/protocol/message'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { ADMINISTRATOR_AUTHORIZATION, GUILD_AUTHORIZATION, createHarness, createManifest, createQueue } from './entry-fakes.js'
import type { Problem } from '../src/entry/problem.js'

const ALL = '/v1/admin/configuration'
const TEAM = `${ALL}/teams/guild`
const operator = { authorization: ADMINISTRATOR_AUTHORIZATION }
const team = { name: 'guild', workspace: 'hakata', share: 2, upperLimit: { tasks: 9 } }

test.each([
  { title: 'no key', headers: {} },
  { title: "a caller's key", headers: { authorization: GUILD_AUTHORIZATION } },
  { title: 'an invalid key', headers: { authorization: `${ADMINISTRATOR_AUTHORIZATION}x` } }
])('administration calls are refused with $title', async ({ headers }) => {
  for (const path of [ALL, TEAM, '/v1/admin/status', '/v1/admin/burn', '/v1/admin/none']) {
    expect((await createHarness().request('GET', path, headers)).status).toBe(401)
  }
})

describe('reading', () => {
  test('the complete manifest is returned with its revision', async () => {
    const { request } = createHarness()
    const answer = await request('GET', ALL, operator)
    expect([answer.status, answer.headers.get('etag'), await answer.json()]).toEqual([200, '"41"', createManifest()])
    expect((await request('GET', ALL, { ...operator, 'if-none-match': '"41"' })).status).toBe(304)
  })

  test.each([
    { path: TEAM, status: 200, etag: '"7"' },
    { path: `${ALL}/teams/none`, status: 404, etag: null },
    { path: `${ALL}/none/guild`, status: 404, etag: null }
  ])('GET $path is answered with $status and the ETag $etag', async ({ path, status, etag }) => {
    const { request, configuration } = createHarness()
    configuration.changes.set('teams/guild', 7)
    const answer = await request('GET', path, operator)
    expect([answer.status, answer.headers.get('etag')]).toEqual([status, etag])
  })
})

describe('changing one object', () => {
  test.each([
    { title: 'a change with its revision', method: 'PUT', headers: { 'if-match': '"41"' }, body: team, status: 200 },
    { title: 'a removal with its revision', method: 'DELETE', path: `${ALL}/keys/shop`, headers: { 'if-match': '"41"' }, status: 200 },
    { title: 'a new object', method: 'PUT', path: `${ALL}/workspaces/other`, headers: { 'if-none-match': '*' }, body: {}, status: 200 },
    { title: 'creation of an object that already exists', method: 'PUT', headers: { 'if-none-match': '*' }, body: team, status: 412 },
    { title: 'a change without a precondition', method: 'PUT', headers: {}, body: team, status: 428 },
    { title: 'a change with a precondition that is not a revision', method: 'PUT', headers: { 'if-match': '*' }, body: team, status: 400 },
    { title: 'a change with a revision before the last change', method: 'PUT', headers: { 'if-match': '"39"' }, body: team, status: 412 },
    { title: 'a change with another name in the body', method: 'PUT', headers: { 'if-match': '"41"' }, body: { ...team, name: 'x' }, status: 422 },
    { title: 'a change to an invalid object', method: 'PUT', headers: { 'if-match': '"41"' }, body: { ...team, share: -1 }, status: 422 },
    { title: 'a removal of an object that others refer to', method: 'DELETE', headers: { 'if-match': '"41"' }, status: 422 },
    { title: 'a removal of an object that does not exist', method: 'DELETE', path: `${ALL}/teams/none`, headers: { 'if-match': '"41"' }, status: 404 },
    { title: 'a change in a section that does not exist', method: 'PUT', path: `${ALL}/none/x`, headers: { 'if-match': '"41"' }, body: {}, status: 400 }
  ])('a request for $title is answered with $status', async ({ method, path, headers, body, status }) => {
    const { request, configuration } = createHarness()
    configuration.changes.set('teams/guild', 40)
    const answer = await request(method, path ?? TEAM, { ...operator, ...headers }, body)
    expect(answer.status).toBe(status)
    expect(configuration.published).toHaveLength(status === 200 ? 1 : 0)
    if (status === 200) expect(answer.headers.get('etag')).toBe('"42"')
  })
})

describe('publishing a delta', () => {
  const put = { section: 'teams', name: 'guild', value: team }

  test('the delta is published unchanged', async () => {
    const { request, configuration } = createHarness()
    const answer = await request('PATCH', ALL, operator, { base: 41, publish: 'p-1', changes: [put] })
    expect([answer.status, await answer.json()]).toEqual([200, { revision: 42, publish: 'p-1' }])
    expect(configuration.published).toEqual([{ base: 41, publish: 'p-1', changes: [put] }])
  })

  test.each([
    { title: 'no fields', body: {}, status: 400, paths: ['$.base', '$.changes'] },
    { title: 'invalid changes', body: { base: 1, changes: [{ section: 'x' }, null] }, status: 400, paths: ['$.changes[0].name', '$.changes[0].section', '$.changes[1]'] },
    {
      title: 'invalid objects',
      body: { base: 41, changes: [{ ...put, value: { ...team, share: 0, x: 1 } }, { section: 'queues', name: 'q', value: createQueue({ name: 'q', capacity: 0 }) }] },
      status: 422,
      paths: ['$.changes[0].value.share', '$.changes[0].value.x', '$.changes[1].value.capacity']
    },
    { title: 'a value with another name', body: { base: 41, changes: [{ ...put, value: { ...team, name: 'x' } }] }, status: 422, paths: ['$.changes[0].value.name'] },
    { title: 'broken references', body: { base: 41, changes: [{ section: 'workspaces', name: 'hakata' }] }, status: 422, paths: ['$.teams[0].workspace', '$.teams[1].workspace'] },
    { title: 'a base revision that this node does not know', body: { base: 99, changes: [put] }, status: 503 }
  ])('a delta with $title is answered with $status, with the path of each error if there is any', async ({ body, status, paths }) => {
    const { request, configuration, clock } = createHarness()
    clock.now = () => {
      clock.ms += 1000
      return clock.ms
    }
    const answer = await request('PATCH', ALL, operator, body)
    const problem = await answer.json() as Problem
    expect([answer.status, configuration.published.length]).toEqual([status, 0])
    expect(problem.errors?.map(({ path }) => path).sort()).toEqual(paths)
  })

  test('a publication waits until this node knows the base revision', async () => {
    const { request, configuration } = createHarness()
    setTimeout(() => { configuration.revision = 45 }, 30)
    expect((await request('PATCH', ALL, operator, { base: 45, changes: [put] })).status).toBe(200)
  })

  test.each([
    { title: 'detected before publication', revision: 43, outcome: undefined, published: 0 },
    { title: 'decided by the order of the log', revision: 41, outcome: 44, published: 1 }
  ])('the response to a conflict $title lists the changed objects', async ({ revision, outcome, published }) => {
    const { request, configuration } = createHarness()
    configuration.changes.set('teams/guild', revision)
    const publish = configuration.publish.bind(configuration)
    configuration.publish = async (delta) => {
      await publish(delta)
      configuration.changes.set('teams/guild', outcome!)
      return err(refuse(Reason.Conflict, 'Changed.'))
    }
    const answer = await request('PATCH', ALL, operator, { base: 41, changes: [put] })
    const { changed } = await answer.json() as Problem
    expect([answer.status, configuration.published.length]).toEqual([409, published])
    expect(changed).toEqual([{ path: 'teams/guild', revision: outcome ?? revision, value: createManifest().teams[0] }])
  })

  test.each([
    { reason: Reason.LogUnavailable, status: 503 },
    { reason: Reason.Malformed, status: 422 }
  ])('a publication that is refused with the reason $reason is answered with $status', async ({ reason, status }) => {
    const { request, configuration } = createHarness()
    configuration.outcome = err(refuse(reason, 'No.'))
    expect((await request('PATCH', ALL, operator, { base: 41, changes: [put] })).status).toBe(status)
  })
})

describe('the evacuation of a zone', () => {
  const missing = [{ shard: 'cloth-studio', reason: Reason.NoOwner, detail: 'None.' }]
  const shards = ['bee-planner']
  const refusal = { detail: expect.stringContaining('The zones are closed, fukuoka.') }

  test.each([
    { says: 'is asked of all shards', zone: 'fukuoka', body: {}, status: 200, expected: { evacuated: true, shards, missing } },
    { says: 'is taken back', zone: 'closed', body: { evacuated: false }, status: 200, expected: { evacuated: false, shards, missing } },
    { says: 'of an unknown zone is refused', zone: 'kobe', body: {}, status: 400, expected: refusal }
  ])('$says', async ({ zone, body, status, expected }) => {
    const { request, router } = createHarness()
    router.answer = async (_, shard) => {
      if (shard !== 'bee-planner') return err(refuse(Reason.NoOwner, 'None.'))
      return ok({ shard, workers: [{ zone: 'fukuoka' }, {}], evacuatedZones: ['closed'] })
    }
    const answer = await request('POST', `/v1/admin/zones/${zone}/evacuation`, operator, body)
    expect(answer.status).toBe(status)
    expect(await answer.json()).toMatchObject(expected)
    expect(router.asked.some(({ request }) => request.kind === MessageKind.Evacuate)).toBe(status === 200)
  })
})

describe('the state of the shards', () => {
  const burn = { objective: 'fast-preview', queue: 'preview', team: 'guild', node: 'node-1', sinceMs: 1, windows: [], stepMs: 1000, steps: [] }

  test('shards whose owners do not report are listed as missing', async () => {
    const { request, router } = createHarness()
    router.answer = async (_, shard) => shard === 'bee-planner' ? ok({ shard, node: 'node-2', countingSinceMs: 9, waiting: 3, burn: [burn, { bad: 1 }] }) : err(refuse(Reason.NoOwner, 'None.'))
    const status = await (await request('GET', '/v1/admin/status', operator)).json()
    const missing = [{ shard: 'cloth-studio', reason: 'no-owner', detail: 'None.' }]
    expect(status).toMatchObject({ node: 'node-1', revision: 41, nodes: ['node-1', 'node-2'], shards: [{ shard: 'bee-planner', waiting: 3 }], missing })
    const shards = [{ shard: 'bee-planner', node: 'node-2', countingSinceMs: 9 }]
    expect(await (await request('GET', '/v1/admin/burn', operator)).json()).toMatchObject({ shards, counts: [burn], missing })
  })

  test.each([
    { method: 'GET', path: '/v1/admin/shards/bee-planner', kind: MessageKind.Survey, status: 200 },
    { method: 'GET', path: '/v1/admin/shards/none', status: 404 },
    { method: 'GET', path: '/v1/admin/jobs/bee-planner.01/explanation', kind: MessageKind.Explain, status: 200 },
    { method: 'GET', path: '/v1/admin/jobs/none.01/explanation', status: 404 },
    { method: 'POST', path: '/v1/admin/workers/bee-planner/w-1/drain', body: {}, kind: MessageKind.Drain, status: 200 },
    { method: 'POST', path: '/v1/admin/workers/bee-planner/w-1/drain', body: { drained: 'no' }, status: 400 },
    { method: 'POST', path: '/v1/admin/workers/none/w-1/drain', body: {}, status: 404 },
    { method: 'POST', path: '/v1/admin/zones/fukuoka/evacuation', body: { evacuated: 1 }, status: 400 }
  ])('$method $path is answered with $status', async ({ method, path, body, kind, status }) => {
    const { request, router } = createHarness()
    expect((await request(method, path, operator, body)).status).toBe(status)
    expect(router.asked.map(({ request }) => request.kind)).toEqual(kind === undefined ? [] : [kind])
  })
})
