import { formatDryRunQuery } from '@fireflymount/protocol/dry-run-query'
import { MessageKind } from '@fireflymount/protocol/message'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { err, ok } from 'neverthrow'
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, expect, it } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { Entry } from '../../src/entry/entry.js'
import { Endpoint } from '../../src/entry/limits.js'
import { SilentLog } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'
import { answerExplanation, decodeExplanation } from '../../src/dry-run/endpoint.js'

const SIZE = { cpuMilli: 500, memoryMb: 1024, accelerators: 0 }
const WORK = { team: 'guild', runtimeMs: 5, size: SIZE }

const PATH = '/v1/admin/queues/q/dry-run'
const URL = `${PATH}?${formatDryRunQuery(WORK)}`

describe('a request', () => {
  it.each([
    ['GET', '/v1/admin/queues/a%2Fb/dry-run?runtimeMs=5&size=1,2,0', { kind: MessageKind.DryRun, queue: 'a/b' }],
    ['GET', '/v1/jobs/00aa/explanation', { kind: MessageKind.Explain, job: '00aa' }],
    ['GET', '/v1/admin/jobs/00aa/explanation', { kind: MessageKind.Explain, job: '00aa' }]
  ])('%s %s is decoded', (method, url, request) => {
    expect(decodeExplanation(method, url)?._unsafeUnwrap()).toMatchObject(request)
  })

  it.each([
    ['POST', URL], ['GET', '/v1/admin/queues/%ff/dry-run'], ['GET', '/v1/admin/queues//dry-run'], ['GET', '/metrics'],
    ['GET', 'http://'], [undefined, undefined]
  ])('%s %s is none for an explanation', (method, url) => {
    expect(decodeExplanation(method, url)).toBeUndefined()
  })
})

describe('the query of a dry run', () => {
  it.each([
    ['without optional fields', WORK, { tasks: 1, label: '', gang: false }],
    ['with all fields', { ...WORK, tasks: 3, label: 'b&c', gang: true }, { tasks: 3, label: 'b&c', gang: true }]
  ])('%s is decoded', (_, work, fields) => {
    const request = decodeExplanation('GET', `${PATH}?${formatDryRunQuery(work)}`)
    expect(request?._unsafeUnwrap()).toEqual({ kind: MessageKind.DryRun, queue: 'q', ...WORK, ...fields })
  })

  it.each([
    ['&colour=1', '"colour" is unknown'],
    ['&tasks=0', '"tasks"'],
    ['&tasks=x', '"tasks"'],
    ['&runtimeMs=', '"runtimeMs"'],
    ['&size=1,2', '"size"'],
    ['&size=1,2,3,4', '"size"'],
    ['&size=1,-2,0', '"size"'],
    ['&gang=yes', '"gang"']
  ])('%s is refused: %s', (more, says) => {
    const refusal = decodeExplanation('GET', URL + more)?._unsafeUnwrapErr()
    expect(refusal).toMatchObject({ reason: Reason.BadRequest, detail: expect.stringContaining(says) })
  })
})

describe('the answer', () => {
  it.each([
    ['of the owner', URL, ok({ accepted: true }), 200, { accepted: true }],
    ['to an unknown queue', URL, err(refuse(Reason.NoSuchQueue, 'None.')), 404, { title: Reason.NoSuchQueue }],
    ['without an owner', URL, err(refuse(Reason.NoOwner, 'None.', 500)), 503, { retryAfterMs: 500 }],
    ['to an incomplete query', PATH, ok({}), 400, { title: Reason.BadRequest }]
  ])('%s', async (_, url, answer, status, fields) => {
    const sent: { status?: number, body?: string } = {}
    const response = {
      writeHead: (code: number) => {
        sent.status = code
        return response
      },
      end: (text: string) => { sent.body = text }
    }
    await answerExplanation(decodeExplanation('GET', url)!, response as unknown as ServerResponse, async () => answer)
    expect([sent.status, JSON.parse(sent.body!)]).toMatchObject([status, fields])
  })
})

// Guards against a request that the limits of the metrics address refuse, such as one with a body.
it('the metrics address takes a dry run', async () => {
  const entry = new Entry({ machine: {}, clock: new SystemClock(), log: new SilentLog(), metrics: new Metrics() })
  const server = entry.createServer(Endpoint.Metrics, ({ method, url }, response) =>
    answerExplanation(decodeExplanation(method, url)!, response, async (request) => ok(request)))
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const answer = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}${URL}`, { headers: { connection: 'close' } })
  expect([answer.status, await answer.json()]).toMatchObject([200, { queue: 'q', ...WORK }])
  server.close()
  entry.close()
})
