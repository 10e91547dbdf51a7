import { connect, type Socket } from 'node:net'
import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { SystemClock, sleep } from '@fireflymount/service-clients/clock'
import { MessageKind, type Call } from '@fireflymount/protocol/message'
import { Execution, Reason } from '@fireflymount/protocol/refusal'
import { serveApi, type ApiService } from '../src/entry/server.js'
import { ADMINISTRATOR_AUTHORIZATION, GUILD_AUTHORIZATION, createHarness, type ApiHarness } from './entry-fakes.js'

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

const POST_HEAD = `POST /v1/queues/preview/requests HTTP/1.1\r\nHost: x\r\nAuthorization: ${GUILD_AUTHORIZATION}\r\nContent-Type: application/json\r\n`

test.each([
  { title: 'a head', bytes: 'GET /healthz HTTP/1.1\r\nHo', reason: 'slow-head' },
  { title: 'a body', bytes: `${POST_HEAD}Content-Length: 9\r\n\r\n{}`, reason: 'slow-body' }
])('$title that does not end is answered by 408, closed and counted', async ({ bytes, reason }) => {
  const harness = createHarness()
  const { settings } = harness.options
  const limits = { ...settings.limits, headMs: 100, receiveMs: 200 }
  const service = await serveApi({ ...harness.options, settings: { ...settings, limits }, clock: new SystemClock() })
  const socket = connect(service.address.port, '127.0.0.1', () => { socket.write(bytes) })
  expect(await readAll(socket)).toMatch(/^HTTP\/1.1 408 [^]*problem\+json[^]*"execution":"not-run"/)
  expect(harness.metrics.names).toContain(`entry.cutoff.${reason}`)
  expect(harness.router.asked).toEqual([])
  await service.close()
})

test('requests sent ahead are answered in order, with no more in progress than a connection may have', async () => {
  const harness = createHarness()
  const { settings } = harness.options
  const limits = { ...settings.limits, requests: 100 }
  const service = await serveApi({ ...harness.options, settings: { ...settings, limits }, clock: new SystemClock() })
  let inProgress = 0
  let most = 0
  harness.router.answer = async (request) => {
    most = Math.max(most, ++inProgress)
    await sleep(5)
    inProgress--
    return ok((request as Call).body)
  }
  const bodies = Array.from({ length: 100 }, (_, index) => `{"quilt":"${index}"}`)
  const ahead = bodies.map((body) => `${POST_HEAD}Content-Length: ${body.length}\r\n\r\n${body}`).join('')
  const last = 'GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
  const socket = connect(service.address.port, '127.0.0.1', () => { socket.write(ahead + last) })
  const answer = await readAll(socket)
  expect(answer.match(/\{"quilt":"\d+"\}/g)).toEqual(bodies)
  // A part of 2 kB that was taken before the limit was reached has some requests more.
  expect(most).toBeLessThanOrEqual(8 + 2048 / POST_HEAD.length)
  await service.close()
})

test('a publication in chunks may be larger than the bodies of callers', async () => {
  const { harness, service, base } = await serve()
  const headers = { authorization: ADMINISTRATOR_AUTHORIZATION, 'content-type': 'application/json' }
  const delta = JSON.stringify({ base: 41, changes: [{ section: 'keys', name: 'sashiko' }], publish: 'p' })
  const body = new Blob([delta, ' '.repeat(20_000)]).stream()
  const answer = await fetch(`${base}/v1/admin/configuration`, { method: 'PATCH', headers, body, duplex: 'half' } as RequestInit)
  expect([answer.status, harness.configuration.published.length]).toEqual([200, 1])
  await service.close()
})

test('a connection without room is refused at once, as not run and with a time to return, until another one is free', async () => {
  const harness = createHarness()
  const { settings } = harness.options
  const limits = { ...settings.limits, connections: 1 }
  const service = await serveApi({ ...harness.options, settings: { ...settings, limits }, clock: new SystemClock() })
  const base = `http://127.0.0.1:${service.address.port}`
  harness.router.answer = async () => {
    await sleep(300)
    return ok('complete')
  }
  const first = preview(base)
  await sleep(100)
  const refused = await exchange(service.address.port, 'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
  expect(refused).toMatch(/^HTTP\/1.1 503 [^]*retry-after: 1\r\n[^]*"execution":"not-run"/)
  expect(harness.metrics.names).toContain('entry.connections.refused')
  expect(await (await first).json()).toBe('complete')
  expect((await fetch(`${base}/healthz`)).status).toBe(200)
  await service.close()
})

function readAll (socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let answer = ''
    socket.on('data', (data) => { answer += data })
    socket.on('error', () => {})
    socket.on('close', () => resolve(answer))
  })
}

function exchange (port: number, bytes: string): Promise<string> {
  const socket = connect(port, '127.0.0.1', () => socket.end(bytes))
  return readAll(socket)
}
