import { MessageKind } from '@fireflymount/protocol/message'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { err, ok } from 'neverthrow'
import type { ServerResponse } from 'node:http'
import { describe, expect, it } from 'vitest'
import { answerExplanation, decodeExplanation } from '../../src/dry-run/endpoint.js'

const SIZE = { cpuMilli: 500, memoryMb: 1024, accelerators: 0 }
const WORK = { team: 'guild', runtimeMs: 5, size: SIZE }

const BODY = JSON.stringify(WORK)
const URL = '/v1/admin/queues/q/dry-run'

describe('a request', () => {
  it.each([
    ['POST', '/v1/admin/queues/a%2Fb/dry-run', { kind: MessageKind.DryRun, queue: 'a/b' }],
    ['GET', '/v1/jobs/00aa/explanation', { kind: MessageKind.Explain, job: '00aa' }],
    ['GET', '/v1/admin/jobs/00aa/explanation', { kind: MessageKind.Explain, job: '00aa' }]
  ])('%s %s is decoded', (method, url, request) => {
    expect(decodeExplanation(method, url, BODY)?._unsafeUnwrap()).toMatchObject(request)
  })

  it.each([
    ['GET', URL], ['POST', '/v1/admin/queues/%ff/dry-run'], ['POST', '/v1/admin/queues//dry-run'], ['GET', '/metrics'], [undefined, undefined]
  ])('%s %s is none for an explanation', (method, url) => {
    expect(decodeExplanation(method, url, BODY)).toBeUndefined()
  })
})

describe('the body of a request', () => {
  it.each([
    ['without optional fields', WORK, { tasks: 1, label: '', gang: false }],
    ['with all fields', { ...WORK, tasks: 3, label: 'b', gang: true }, { tasks: 3, label: 'b', gang: true }]
  ])('%s is decoded', (_, body, fields) => {
    expect(decodeExplanation('POST', URL, JSON.stringify(body))?._unsafeUnwrap()).toEqual({ kind: MessageKind.DryRun, queue: 'q', ...WORK, ...fields })
  })

  it.each([
    ['{', 'must be an object'],
    ['[]', 'must be an object'],
    [JSON.stringify({ ...WORK, colour: 1 }), '"colour" is unknown'],
    [JSON.stringify({ ...WORK, team: 1 }), '"team"'],
    [JSON.stringify({ ...WORK, tasks: 0 }), '"tasks"'],
    [JSON.stringify({ ...WORK, runtimeMs: undefined }), '"runtimeMs"'],
    [JSON.stringify({ ...WORK, size: { cpuMilli: 1, memoryMb: -1, accelerators: 0 } }), '"size"'],
    [JSON.stringify({ ...WORK, label: 1 }), '"label"'],
    [JSON.stringify({ ...WORK, gang: 'yes' }), '"gang"']
  ])('%s is refused: %s', (body, says) => {
    expect(decodeExplanation('POST', URL, body)?._unsafeUnwrapErr()).toMatchObject({ reason: Reason.BadRequest, detail: expect.stringContaining(says) })
  })
})

describe('the answer', () => {
  it.each([
    ['of the owner', BODY, ok({ accepted: true }), 200, { accepted: true }],
    ['to an unknown queue', BODY, err(refuse(Reason.NoSuchQueue, 'None.')), 404, { title: Reason.NoSuchQueue }],
    ['without an owner', BODY, err(refuse(Reason.NoOwner, 'None.', 500)), 503, { retryAfterMs: 500 }],
    ['to an invalid body', '{', ok({}), 400, { title: Reason.BadRequest }]
  ])('%s', async (_, body, answer, status, fields) => {
    const sent: { status?: number, body?: string } = {}
    const response = {
      writeHead: (code: number) => {
        sent.status = code
        return response
      },
      end: (text: string) => { sent.body = text }
    }
    await answerExplanation(decodeExplanation('POST', URL, body)!, response as unknown as ServerResponse, async () => answer)
    expect([sent.status, JSON.parse(sent.body!)]).toMatchObject([status, fields])
  })
})
