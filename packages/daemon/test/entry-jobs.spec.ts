import { err, ok } from 'neverthrow'
import { describe, expect, test } from 'vitest'
import { JobState, MessageKind, type Submit } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse } from '@fireflymount/protocol/refusal'
import { ADMINISTRATOR_AUTHORIZATION, CIRCLE_AUTHORIZATION, GUILD_AUTHORIZATION, createHarness, createJob, type ApiHarness } from './entry-fakes.js'

const YARDAGE = '/v1/queues/yardage/jobs'
const RENDER = '/v1/queues/render/jobs'
const JOB = '/v1/jobs/bee-planner.0123'

function acceptAll (harness: ApiHarness): void {
  harness.router.answer = async (request) => ok(createJob({ job: (request as Submit).job }))
}

async function submit (
  harness: ApiHarness, path: string, key?: string, body?: unknown, authorization = GUILD_AUTHORIZATION
): Promise<Response> {
  return await harness.request('POST', path, { authorization, 'idempotency-key': key }, body)
}

function submitted (harness: ApiHarness): Submit[] {
  return harness.router.asked.map(({ request }) => request as Submit).filter(({ kind }) => kind === MessageKind.Submit)
}

describe('submission', () => {
  test('an accepted job is answered with 202, its location and its idempotency key', async () => {
    const harness = createHarness()
    acceptAll(harness)
    const answer = await submit(harness, YARDAGE, undefined, { runtimeMs: 500, body: { quilt: 7 } })
    const [message] = submitted(harness)
    expect(answer.status).toBe(202)
    expect(message).toMatchObject({ queue: 'yardage', team: 'guild', tasks: 1, runtimeMs: 500, body: { quilt: 7 } })
    expect(message!.job).toMatch(/^bee-planner\.[0-9a-f]{32}$/)
    expect(answer.headers.get('location')).toBe(`/v1/jobs/${message!.job}`)
    expect(answer.headers.get('idempotency-key')).toMatch(/^[0-9a-f-]{36}$/)
  })

  test.each([
    { title: 'the same key and body identify the same job', first: ['k', { body: { a: 1, b: 2 } }], second: ['k', { body: { b: 2, a: 1 } }], job: true, digest: true },
    { title: 'the same key with another body has another digest', first: ['k', { body: 1 }], second: ['k', { body: 2 }], job: true, digest: false },
    { title: 'the same key with another run time has another digest', first: ['k', { body: 1 }], second: ['k', { body: 1, runtimeMs: 5 }], job: true, digest: false },
    { title: 'another key identifies another job', first: ['k', { body: 1 }], second: ['l', { body: 1 }], job: false, digest: true }
  ])('$title', async ({ first, second, job, digest }) => {
    const harness = createHarness()
    acceptAll(harness)
    await submit(harness, RENDER, first[0] as string, first[1])
    await submit(harness, RENDER, second[0] as string, second[1])
    const [one, two] = submitted(harness)
    expect([one!.job === two!.job, one!.digest === two!.digest]).toEqual([job, digest])
  })

  test('the same key of another team identifies another job', async () => {
    const harness = createHarness()
    acceptAll(harness)
    const { manifest } = harness.configuration
    harness.configuration.manifest = { ...manifest, queues: manifest.queues.map((queue) => ({ ...queue, teams: ['guild', 'circle'] })) }
    await submit(harness, RENDER, 'k', { body: 1 }, GUILD_AUTHORIZATION)
    await submit(harness, RENDER, 'k', { body: 1 }, CIRCLE_AUTHORIZATION)
    const [one, two] = submitted(harness)
    expect(one!.job).not.toBe(two!.job)
  })

  test.each([
    { title: 'no key for work that must not run twice', path: RENDER, body: { body: 1 }, status: 400 },
    { title: 'a key that contains a space', path: RENDER, key: 'a b', body: { body: 1 }, status: 400 },
    { title: 'the name of a queue of requests', path: '/v1/queues/preview/jobs', body: { body: 1 }, status: 400 },
    { title: 'a body that is not an object', path: YARDAGE, body: [], status: 400 },
    { title: 'several tasks on a batch queue', path: YARDAGE, body: { body: 1, tasks: 2 }, status: 400, paths: ['$.tasks'] },
    {
      title: 'several validation errors',
      path: '/v1/queues/drift/jobs',
      body: { tasks: 0, runtimeMs: -1, size: { cpuMilli: 1, memoryMb: '2', racks: 1 }, extra: 1 },
      status: 400,
      paths: ['$.body', '$.extra', '$.runtimeMs', '$.size.accelerators', '$.size.memoryMb', '$.size.racks', '$.tasks']
    }
  ])('a submission with $title is refused with $status, and the paths of its validation errors are listed if there are any', async ({ path, key, body, status, paths }) => {
    const harness = createHarness()
    const answer = await submit(harness, path, key, body)
    const problem = await answer.json() as { execution: Execution, errors?: Array<{ path: string }> }
    expect([answer.status, problem.execution, harness.router.asked.length]).toEqual([status, 'not-run', 0])
    expect(problem.errors?.map((error) => error.path).sort()).toEqual(paths)
  })

  test.each([
    { refusal: refuse(Reason.KeyReused, 'Reused.'), status: 422, execution: 'not-run' },
    { refusal: refuse(Reason.LogUnavailable, 'Unavailable.'), status: 503, execution: 'not-run' },
    { refusal: { reason: Reason.ConnectionLost, detail: 'Lost.', execution: Execution.Unknown }, status: 502, execution: 'unknown', hint: 'same Idempotency-Key' }
  ])('the response to $refusal.reason contains the key, so that the caller can retry', async ({ refusal, status, execution, hint }) => {
    const harness = createHarness()
    harness.router.answer = async () => err(refusal)
    const answer = await submit(harness, YARDAGE, undefined, { body: 1 })
    const problem = await answer.json() as { execution: Execution, detail: string }
    expect([answer.status, problem.execution]).toEqual([status, execution])
    expect(problem.detail).toContain(hint ?? refusal.detail)
    expect(answer.headers.get('idempotency-key')).toMatch(/.{36}/)
  })

  test.each([
    { title: 'a submission waits for the completion of the job if the caller prefers it', prefer: 'respond-async, wait=5', polls: 2, status: 200 },
    { title: 'a submission does not wait for the completion of the job if the caller does not ask for it', prefer: 'respond-async', polls: 0, status: 202 },
    { title: 'a submission does not wait for the completion of the job on a draining node', prefer: 'wait=5', drain: true, polls: 0, status: 202 }
  ])('$title', async ({ prefer, polls, status, drain }) => {
    const harness = createHarness()
    let asked = 0
    harness.router.answer = async ({ kind }) => {
      if (kind === MessageKind.Status) asked++
      return ok(createJob({ state: asked >= 2 ? JobState.Succeeded : JobState.Running }))
    }
    if (drain) harness.options.lifecycle.drain()
    const answer = await harness.request('POST', YARDAGE, { authorization: GUILD_AUTHORIZATION, prefer }, { body: 1 })
    expect([answer.status, asked]).toEqual([status, polls])
  })
})

describe('a job is visible to its team, to administrators and, on an open queue, to anonymous callers', () => {
  const cases = [
    { title: 'its team', header: GUILD_AUTHORIZATION, status: 200 },
    { title: 'an administrator', header: ADMINISTRATOR_AUTHORIZATION, status: 200 },
    { title: 'another team', header: CIRCLE_AUTHORIZATION, status: 403 },
    { title: 'an invalid key', header: 'Bearer shop.no', status: 401 },
    { title: 'an anonymous caller', header: undefined, status: 401 },
    { title: 'an anonymous caller, for a job of an open queue', header: undefined, queue: 'lookup', status: 200 }
  ]
  const calls = [
    { method: 'GET', path: JOB, kind: MessageKind.Status },
    { method: 'DELETE', path: JOB, kind: MessageKind.Cancel },
    { method: 'GET', path: `${JOB}/explanation`, kind: MessageKind.Explain }
  ]
  test.each(calls.flatMap((call) => cases.map((row) => ({ ...call, ...row }))))('$method $path by $title is answered with $status', async ({ method, path, kind, header, status, queue }) => {
    const harness = createHarness()
    harness.router.answer = async () => ok(createJob({ queue: queue ?? 'yardage' }))
    const answer = await harness.request(method, path, header === undefined ? {} : { authorization: header })
    expect(answer.status).toBe(status)
    const reached = harness.router.asked.some(({ request }) => request.kind === kind)
    if (kind !== MessageKind.Status) expect(reached).toBe(status === 200)
  })

  test.each([
    { id: 'nothing', asked: 0 }, { id: 'no-upstream.0123', asked: 0 }, { id: 'bee-planner.', asked: 0 }
  ])('a job with the id "$id" is answered with 404, and no owner is asked', async ({ id, asked }) => {
    const harness = createHarness()
    expect((await harness.request('GET', `/v1/jobs/${id}`, { authorization: GUILD_AUTHORIZATION })).status).toBe(404)
    expect(harness.router.asked).toHaveLength(asked)
  })

  test('a response of the owner that is not a job is not forwarded', async () => {
    const harness = createHarness()
    harness.router.answer = async () => ok({ job: 7 })
    expect((await harness.request('GET', JOB, { authorization: GUILD_AUTHORIZATION })).status).toBe(502)
  })
})
