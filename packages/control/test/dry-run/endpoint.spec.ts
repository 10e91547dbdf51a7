import { MessageKind } from '@fireflymount/protocol/message'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { err, ok } from 'neverthrow'
import type { ServerResponse } from 'node:http'
import { describe, expect, it } from 'vitest'
import { answerDryRun, decodeDryRun, queueOfDryRun } from '../../src/dry-run/endpoint.js'

const SIZE = { cpuMilli: 500, memoryMb: 1024, accelerators: 0 }
const WORK = { team: 'guild', runtimeMs: 5, size: SIZE }

describe('the queue of a request', () => {
  it.each([
    ['POST', '/v1/admin/queues/a%2Fb/dry-run', 'a/b'],
    ['GET', '/v1/admin/queues/a/dry-run', undefined],
    ['POST', '/v1/admin/queues/%ff/dry-run', undefined],
    ['POST', '/v1/admin/queues//dry-run', undefined],
    ['GET', '/metrics', undefined],
    [undefined, undefined, undefined]
  ])('%s %s: %s', (method, url, queue) => {
    expect(queueOfDryRun(method, url)).toBe(queue)
  })
})

describe('the body of a request', () => {
  it.each([
    ['without optional fields', WORK, { tasks: 1, label: '', gang: false }],
    ['with all fields', { ...WORK, tasks: 3, label: 'b', gang: true }, { tasks: 3, label: 'b', gang: true }]
  ])('%s is decoded', (_, body, fields) => {
    expect(decodeDryRun('q', JSON.stringify(body))._unsafeUnwrap()).toEqual({ kind: MessageKind.DryRun, queue: 'q', ...WORK, ...fields })
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
    expect(decodeDryRun('q', body)._unsafeUnwrapErr()).toMatchObject({ reason: Reason.BadRequest, detail: expect.stringContaining(says) })
  })
})

describe('the answer', () => {
  it.each([
    ['of the owner', JSON.stringify(WORK), ok({ accepted: true }), 200, { accepted: true }],
    ['to an unknown queue', JSON.stringify(WORK), err(refuse(Reason.NoSuchQueue, 'None.')), 404, { title: Reason.NoSuchQueue }],
    ['without an owner', JSON.stringify(WORK), err(refuse(Reason.NoOwner, 'None.', 500)), 503, { retryAfterMs: 500 }],
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
    await answerDryRun('q', body, response as unknown as ServerResponse, async () => answer)
    expect([sent.status, JSON.parse(sent.body!)]).toMatchObject([status, fields])
  })
})
