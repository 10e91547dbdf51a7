import { err, ok } from 'neverthrow'
import { describe, expect, test } from 'vitest'
import { MessageKind, type Call } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { Phase } from '../src/entry/lifecycle.js'
import type { Problem } from '../src/entry/problem.js'
import { ADMINISTRATOR_SECRET, CIRCLE_AUTHORIZATION, CIRCLE_SECRET, GUILD_AUTHORIZATION, GUILD_SECRET, createHarness, createQueue, hash } from './entry-fakes.js'

const PREVIEW = '/v1/queues/preview/requests'

describe('every reason has its status, and the response says whether the work was executed', () => {
  test.each([
    { reason: Reason.BadRequest, status: 400, retryAfter: null },
    { reason: Reason.BadKey, status: 401, retryAfter: null },
    { reason: Reason.NoSuchQueue, status: 404, retryAfter: null },
    { reason: Reason.NoSuchJob, status: 404, retryAfter: null },
    { reason: Reason.WrongTeam, status: 403, retryAfter: null },
    { reason: Reason.TooLarge, status: 413, retryAfter: null },
    { reason: Reason.Infeasible, status: 422, retryAfter: null },
    { reason: Reason.QueueFull, status: 429, retryAfter: '1' },
    { reason: Reason.DeadlineUnreachable, status: 503, retryAfter: '1' },
    { reason: Reason.DeadlinePassed, status: 504, retryAfter: null },
    { reason: Reason.LimitReached, status: 429, retryAfter: '1' },
    { reason: Reason.RateExceeded, status: 429, retryAfter: '1' },
    { reason: Reason.NoOwner, status: 503, retryAfter: '1' },
    { reason: Reason.NotOwner, status: 503, retryAfter: '1' },
    { reason: Reason.LogUnavailable, status: 503, retryAfter: '5' },
    { reason: Reason.ConfigurationStale, status: 503, retryAfter: '2' },
    { reason: Reason.ConnectionLost, status: 502, retryAfter: '1' },
    { reason: Reason.WorkerFailed, status: 502, retryAfter: '1' },
    { reason: Reason.TaskFailed, status: 502, retryAfter: null },
    { reason: Reason.Cancelled, status: 409, retryAfter: null },
    { reason: Reason.Conflict, status: 409, retryAfter: null },
    { reason: Reason.Leaving, status: 503, retryAfter: '1' },
    { reason: Reason.KeyReused, status: 422, retryAfter: null },
    { reason: Reason.Malformed, status: 502, retryAfter: null },
    { reason: Reason.Overloaded, status: 503, retryAfter: '1' },
    { reason: Reason.Internal, status: 500, retryAfter: null }
  ])('a refusal with the reason $reason is answered with $status', async ({ reason, status, retryAfter }) => {
    for (const execution of Object.values(Execution)) {
      const { request, router } = createHarness()
      router.answer = async () => err({ reason, detail: 'Detail.', execution })
      const answer = await request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {})
      expect(answer.headers.get('content-type')).toBe('application/problem+json')
      expect(answer.headers.get('retry-after')).toBe(execution === Execution.NotRun ? retryAfter : null)
      expect(await answer.json()).toMatchObject({ type: `urn:fireflymount:problem:${reason}`, status, execution, detail: 'Detail.' })
      expect(answer.status).toBe(status)
    }
  })

  test('there are as many reasons as rows in the table above', () => {
    expect(Object.values(Reason)).toHaveLength(26)
  })

  test('Retry-After is rounded up to whole seconds', async () => {
    const { request, router } = createHarness()
    router.answer = async () => err(refuse(Reason.QueueFull, 'Full.', 1201))
    const answer = await request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {})
    expect([answer.headers.get('retry-after'), (await answer.json() as Problem).retryAfterMs]).toEqual(['2', 1201])
  })
})

describe('keys', () => {
  test.each([
    { title: 'a key of a listed team', queue: 'preview', header: GUILD_AUTHORIZATION, status: 200, team: 'guild' },
    { title: 'a secret without the name of its key', queue: 'preview', header: `bearer ${GUILD_SECRET}`, status: 200, team: 'guild' },
    { title: 'no key', queue: 'preview', status: 401 },
    { title: 'an invalid secret', queue: 'preview', header: 'Bearer shop.wrong', status: 401 },
    { title: 'the secret of another key', queue: 'preview', header: `Bearer shop.${CIRCLE_SECRET}`, status: 401 },
    { title: 'the hash instead of the secret', queue: 'preview', header: `Bearer shop.${hash(GUILD_SECRET)}`, status: 401 },
    { title: 'an administration key', queue: 'preview', header: `Bearer ${ADMINISTRATOR_SECRET}`, status: 401 },
    { title: 'another scheme', queue: 'preview', header: `Basic ${GUILD_SECRET}`, status: 401 },
    { title: 'a key of a team that is not listed', queue: 'preview', header: CIRCLE_AUTHORIZATION, status: 403 },
    { title: 'no key on an open queue', queue: 'lookup', status: 200, team: 'guild' },
    { title: 'an invalid key on an open queue', queue: 'lookup', header: 'Bearer shop.wrong', status: 401 },
    { title: 'a key with a stale configuration', queue: 'preview', header: GUILD_AUTHORIZATION, ageMs: 4001, status: 503 },
    { title: 'a key with a configuration just within the staleness limit', queue: 'preview', header: GUILD_AUTHORIZATION, ageMs: 4000, status: 200, team: 'guild' },
    { title: 'no key on an open queue with a stale configuration', queue: 'lookup', ageMs: 60_000, status: 200, team: 'guild' }
  ])('a request with $title is answered with $status', async ({ queue, header, status, team, ageMs }) => {
    const { request, router, configuration } = createHarness()
    configuration.age = ageMs ?? 0
    const answer = await request('POST', `/v1/queues/${queue}/requests`, header === undefined ? {} : { authorization: header }, {})
    expect(answer.status).toBe(status)
    expect(router.asked.map(({ request }) => (request as Call).team)).toEqual(team === undefined ? [] : [team])
    if (ageMs === 4001) expect(answer.headers.get('retry-after')).toBe('2')
  })

  test('a withdrawn key is refused as of the next revision', async () => {
    const { request, configuration } = createHarness()
    expect((await request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {})).status).toBe(200)
    configuration.manifest = { ...configuration.manifest, keys: [] }
    expect((await request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {})).status).toBe(401)
    expect((await request('POST', PREVIEW, { authorization: `Bearer ${GUILD_SECRET}` }, {})).status).toBe(401)
  })

  test.each([
    { title: 'invalid keys', path: PREVIEW, body: {} },
    { title: 'malformed bodies', path: PREVIEW, body: GUILD_SECRET },
    { title: 'unknown paths', path: '/v1/other', body: {} },
    { title: 'paths of administration calls', path: '/v1/admin/status', body: {} }
  ])('responses and metric names contain no secret after requests with $title', async ({ path, body }) => {
    const { request, metrics } = createHarness()
    for (const header of [GUILD_AUTHORIZATION, `Bearer shop.${GUILD_SECRET}x`, `Bearer ${GUILD_SECRET}.y`]) {
      const answer = await request('POST', path, { authorization: header }, body)
      const seen = JSON.stringify([...answer.headers]) + await answer.text() + metrics.names.join()
      expect(seen).not.toContain(GUILD_SECRET)
      expect(seen).not.toContain(hash(GUILD_SECRET))
    }
  })
})

describe('invalid input gets a problem response and is never forwarded', () => {
  const key = { authorization: GUILD_AUTHORIZATION }
  test.each([
    { title: 'malformed JSON', method: 'POST', path: PREVIEW, headers: key, body: '{"a":', status: 400 },
    { title: 'a value nested too deeply', method: 'POST', path: PREVIEW, headers: key, body: '['.repeat(900) + ']'.repeat(900), status: 400 },
    { title: 'an empty body', method: 'POST', path: PREVIEW, headers: { ...key, 'content-type': 'application/json' }, status: 400 },
    { title: 'another content type', method: 'POST', path: PREVIEW, headers: { ...key, 'content-type': 'text/plain' }, body: '{}', status: 415 },
    { title: 'no content type', method: 'POST', path: PREVIEW, headers: key, status: 415 },
    { title: 'a body above the limit', method: 'POST', path: PREVIEW, headers: key, body: JSON.stringify('x'.repeat(2000)), status: 413 },
    { title: 'a declared length above the limit', method: 'POST', path: PREVIEW, headers: { ...key, 'content-length': '2001' }, body: '{}', status: 413 },
    { title: 'a deadline that is not a number', method: 'POST', path: PREVIEW, headers: { ...key, 'fireflymount-deadline-ms': 'soon' }, body: '{}', status: 400 },
    { title: 'a deadline of zero', method: 'POST', path: PREVIEW, headers: { ...key, 'fireflymount-deadline-ms': '0' }, body: '{}', status: 400 },
    { title: 'the name of an unknown queue', method: 'POST', path: '/v1/queues/none/requests', headers: key, body: '{}', status: 404 },
    { title: 'the name of a queue of jobs', method: 'POST', path: '/v1/queues/yardage/requests', headers: key, body: '{}', status: 400 },
    { title: 'an unknown path', method: 'GET', path: '/v2', headers: key, status: 404 },
    { title: 'a method that is not allowed', method: 'PUT', path: PREVIEW, headers: key, body: '{}', status: 405 }
  ])('a request with $title is answered with $status', async ({ method, path, headers, body, status }) => {
    const { request, router } = createHarness()
    const answer = await request(method, path, headers, body)
    expect(answer.status).toBe(status)
    expect(await answer.json()).toMatchObject({ status, execution: 'not-run' })
    expect(router.asked).toEqual([])
    if (status === 405) expect(answer.headers.get('allow')).toBe('POST')
  })
})

describe('requests', () => {
  test.each([
    { title: 'the complete result is returned', value: { a: [1, { b: null }] }, body: { a: [1, { b: null }] } },
    { title: 'an undefined result is returned as null', value: undefined, body: null }
  ])('$title', async ({ value, body }) => {
    const { request, router, metrics } = createHarness()
    router.answer = async () => ok(value)
    const answer = await request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, [1])
    expect([answer.status, await answer.json()]).toEqual([200, body])
    expect(router.asked[0]).toMatchObject({ shard: 'bee-planner', request: { kind: MessageKind.Call, queue: 'preview', budgetMs: 800, body: [1] } })
    expect(metrics.names).toEqual(['requests.preview.succeeded', 'latency.preview'])
  })

  test.each([
    { title: 'a shorter deadline is used', header: '250', budgetMs: 250 },
    { title: 'a longer deadline is limited to that of the queue', header: '9000', budgetMs: 800 }
  ])('$title', async ({ header, budgetMs }) => {
    const { request, router } = createHarness()
    await request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION, 'fireflymount-deadline-ms': header }, {})
    expect(router.asked[0]!.request).toMatchObject({ budgetMs })
  })

  const lost: Refusal = { reason: Reason.ConnectionLost, detail: 'Lost.', execution: Execution.Unknown }
  test.each([
    { title: 'an idempotent request is retried with the remaining time', queue: 'preview', refusal: lost, budgets: [800, 700, 600] },
    { title: 'a request that may have run is not retried', queue: 'booking', refusal: lost, budgets: [800] },
    { title: 'a request that did not run is retried', queue: 'booking', refusal: refuse(Reason.Leaving, 'Gone.'), budgets: [800, 700, 600] },
    { title: 'a failure of a worker is not retried, because the owner retries it', queue: 'preview', refusal: { ...lost, reason: Reason.WorkerFailed }, budgets: [800] },
    { title: 'a refusal because of a full queue is returned at once', queue: 'preview', refusal: refuse(Reason.QueueFull, 'Full.'), budgets: [800] },
    { title: 'nothing is retried after the deadline', queue: 'preview', refusal: lost, tookMs: 800, budgets: [800] }
  ])('$title', async ({ queue, refusal, budgets, tookMs }) => {
    const { request, router, clock } = createHarness()
    router.answer = async () => {
      clock.ms += tookMs ?? 100
      return err(refusal)
    }
    const answer = await request('POST', `/v1/queues/${queue}/requests`, { authorization: GUILD_AUTHORIZATION }, {})
    expect(router.asked.map(({ request }) => (request as Call).budgetMs)).toEqual(budgets)
    expect((await answer.json() as Problem).execution).toBe(refusal.execution)
  })

  test.each([
    { title: 'an unknown queue is answered with 404', ageMs: 0, status: 404 },
    { title: 'an unknown queue on a node without a configuration is answered with 503', ageMs: Infinity, status: 503 }
  ])('$title', async ({ ageMs, status }) => {
    const { request, configuration } = createHarness()
    configuration.age = ageMs
    for (const path of ['/v1/queues/unheard/requests', '/v1/queues/unheard/jobs']) {
      expect((await request('POST', path, { authorization: GUILD_AUTHORIZATION }, {})).status).toBe(status)
    }
  })

  test('a refusal of a retry does not claim that the request did not run', async () => {
    const { request, router } = createHarness()
    const answers = [lost, refuse(Reason.QueueFull, 'Full.', 100)]
    router.answer = async () => err(answers.shift()!)
    const answer = await request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {})
    expect(await answer.json()).toMatchObject({ status: 429, execution: Execution.Unknown })
  })

  test('retries stay within the burst plus a tenth of the requests', async () => {
    const { request, router } = createHarness()
    router.answer = async () => err(lost)
    for (let count = 0; count < 200; count++) await request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {})
    expect(router.asked.length - 200).toBeGreaterThanOrEqual(68)
    expect(router.asked.length - 200).toBeLessThanOrEqual(70)
  })
})

describe('limits on requests in progress', () => {
  test('a node enforces its limit and, from half of it on, the limits of teams; ended requests free their slots', async () => {
    const { request, router, configuration } = createHarness()
    const { manifest } = configuration
    configuration.manifest = { ...manifest, queues: [...manifest.queues, createQueue({ name: 'swap', teams: ['guild', 'circle'] })] }
    const open: Array<() => void> = []
    router.answer = () => new Promise((resolve) => open.push(() => resolve(ok(1))))
    const running: Array<Promise<Response>> = []
    const send = (queue: string, header: string): number => running.push(request('POST', `/v1/queues/${queue}/requests`, { authorization: header }, {}))
    for (let count = 0; count < 9; count++) send('preview', GUILD_AUTHORIZATION)
    send('swap', CIRCLE_AUTHORIZATION)
    send('swap', GUILD_AUTHORIZATION)
    expect(await statusOf(request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {}))).toBe(429)
    for (let count = 0; count < 9; count++) send('swap', CIRCLE_AUTHORIZATION)
    await new Promise(setImmediate)
    expect(await statusOf(request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {}))).toBe(503)
    expect(await statusOf(request('GET', '/v1/jobs/bee-planner.01', { authorization: GUILD_AUTHORIZATION }))).toBe(503)
    for (const finish of open) finish()
    expect(new Set((await Promise.all(running)).map((answer) => answer.status))).toEqual(new Set([200]))
    router.answer = async () => ok(1)
    expect(await statusOf(request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {}))).toBe(200)
  })

  test('one queue cannot use the whole limit of the node', async () => {
    const { request, router } = createHarness()
    const open: Array<() => void> = []
    router.answer = () => new Promise((resolve) => open.push(() => resolve(ok(1))))
    const running = Array.from({ length: 15 }, () => request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {}))
    expect(await statusOf(request('POST', PREVIEW, { authorization: GUILD_AUTHORIZATION }, {}))).toBe(503)
    const other = request('POST', '/v1/queues/lookup/requests', {}, {})
    await new Promise(setImmediate)
    for (const finish of open) finish()
    expect(await statusOf(other)).toBe(200)
    await Promise.all(running)
  })

  async function statusOf (answer: Promise<Response>): Promise<number> {
    return (await answer).status
  }
})

describe('health', () => {
  test.each([
    { phase: Phase.Starting, ageMs: 0, ready: 503, connection: null },
    { phase: Phase.Serving, ageMs: 0, ready: 200, connection: null },
    { phase: Phase.Serving, ageMs: 600_000, ready: 200, connection: null },
    { phase: Phase.Serving, ageMs: Infinity, ready: 503, connection: null },
    { phase: Phase.Draining, ageMs: 0, ready: 503, connection: 'close' }
  ])('/readyz of a node that is $phase, with a configuration of age $ageMs, returns $ready', async ({ phase, ageMs, ready, connection }) => {
    const { request, options, configuration } = createHarness()
    configuration.age = ageMs
    options.lifecycle.current = () => phase
    expect((await request('GET', '/readyz')).status).toBe(ready)
    const health = await request('GET', '/healthz')
    expect([health.status, health.headers.get('connection')]).toEqual([200, connection])
  })
})
