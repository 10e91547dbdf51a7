import { connect } from 'node:net'
import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock, sleep } from '@fireflymount/service-clients/clock'
import { MessageKind, type Call } from '@fireflymount/protocol/message'
import { Execution, Reason } from '@fireflymount/protocol/refusal'
import { serveApi, type ApiService } from '../src/entry/server.js'
import { GUILD_AUTHORIZATION, createHarness, type ApiHarness } from './entry-fakes.js'

async function serve (): Promise<{ harness: ApiHarness, service: ApiService, base: string }> {
  const harness = createHarness()
  const service = await serveApi({ ...harness.options, clock: new SystemClock() })
  return { harness, service, base: `http://127.0.0.1:${service.address.port}` }
}

function preview (base: string, signal?: AbortSignal): Promise<Response> {
  const headers = { authorization: GUILD_AUTHORIZATION, 'content-type': 'application/json' }
  return fetch(`${base}/v1/queues/preview/requests`, { method: 'POST', headers, body: '{}', signal })
}

test('a graceful shutdown finishes requests in progress, accepts work during the deregistration time, and then closes', async () => {
  const { harness, service, base } = await serve()
  harness.router.answer = async () => {
    await sleep(600)
    return ok('complete')
  }
  const early = preview(base)
  await sleep(50)
  const closing = service.close()
  const late = preview(base)
  expect((await fetch(`${base}/readyz`)).status).toBe(503)
  for (const answer of [await early, await late]) {
    expect([answer.status, await answer.json(), answer.headers.get('connection')]).toEqual([200, 'complete', 'close'])
  }
  expect(await closing).toBe(0)
  await expect(fetch(`${base}/healthz`)).rejects.toThrow()
})

test('a request whose caller disconnected is abandoned at the owner and not retried', async () => {
  const { harness, service, base } = await serve()
  const caller = new AbortController()
  harness.router.answer = async ({ kind }) => {
    if (kind === MessageKind.Abandon) return ok(true)
    caller.abort()
    await sleep(100)
    return err({ reason: Reason.ConnectionLost, detail: 'Lost.', execution: Execution.NotRun })
  }
  await expect(preview(base, caller.signal)).rejects.toThrow()
  await sleep(200)
  const [call, abandon, ...more] = harness.router.asked.map(({ request }) => request)
  expect(abandon).toEqual({ kind: MessageKind.Abandon, shard: 'bee-planner', call: (call as Call).id })
  expect(more).toEqual([])
  await service.close()
})

test('a graceful shutdown closes open connections after the drain time and reports their number', async () => {
  const { harness, service, base } = await serve()
  harness.router.answer = () => new Promise(() => {})
  const answer = expect(preview(base)).rejects.toThrow()
  await sleep(50)
  const startMs = performance.now()
  expect(await service.close()).toBe(1)
  expect(performance.now() - startMs).toBeGreaterThan(harness.options.settings.timing.drainMs - 50)
  await answer
})

test.each([
  { title: 'headers above the limit', bytes: `GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: ${'x'.repeat(5000)}\r\n\r\n`, status: 431 },
  { title: 'bytes that are not HTTP', bytes: 'hello\r\n\r\n', status: 400 },
  { title: 'no host', bytes: 'GET /healthz HTTP/1.1\r\n\r\n', status: 400 },
  { title: 'a target that is not a URL', bytes: 'GET http://:x/ HTTP/1.1\r\nHost: x\r\n\r\n', status: 400 },
  {
    title: 'chunks above the limit',
    bytes: `POST /v1/queues/preview/requests HTTP/1.1\r\nHost: x\r\nAuthorization: ${GUILD_AUTHORIZATION}\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n${' '.repeat(3000)}\r\n0\r\n\r\n`,
    status: 413
  },
  { title: 'a body shorter than declared', bytes: `POST /v1/queues/preview/requests HTTP/1.1\r\nHost: x\r\nAuthorization: ${GUILD_AUTHORIZATION}\r\nContent-Type: application/json\r\nContent-Length: 9\r\n\r\n{}`, status: undefined }
])('a request with $title is not forwarded, and the server stays healthy', async ({ bytes, status }) => {
  const { harness, service, base } = await serve()
  const answer = await exchange(service.address.port, bytes)
  if (status !== undefined) expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status} [^]*application/problem\\+json[^]*"status":${status}`))
  expect(harness.router.asked).toEqual([])
  expect((await fetch(`${base}/healthz`)).status).toBe(200)
  await service.close()
})

function exchange (port: number, bytes: string): Promise<string> {
  return new Promise((resolve) => {
    let answer = ''
    const socket = connect(port, '127.0.0.1', () => socket.end(bytes))
    socket.on('data', (data) => { answer += data })
    socket.on('error', () => {})
    socket.on('close', () => resolve(answer))
  })
}
