import { once } from 'node:events'
import type { Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { Entry } from '../../src/entry/entry.js'
import { Endpoint, type EntryLimits } from '../../src/entry/limits.js'
import { Log } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'

const LIMITS = { connections: 2, requestsPerConnection: 2, bodyBytes: 1000, headBytes: 2000, headMs: 100, bodyMs: 100 }
const GET = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'

/** Keeps the lines about events. */
class EventLog extends Log {
  readonly lines: Array<Record<string, unknown>> = []
  override decision (): void {}
  override event (name: string, fields: Record<string, unknown>): void { this.lines.push({ name, ...fields }) }
}

const opened: Array<Server | Socket> = []
afterEach(() => {
  for (const end of opened.splice(0)) 'listening' in end ? end.close() : end.destroy()
})

/**
 * Starts a server whose answers repeat the body.
 *
 * @param together number of requests that have arrived when the first one is answered
 */
async function start (
  limits: Partial<EntryLimits> = LIMITS, endpoint = Endpoint.Callers, together = 1
): Promise<{ port: number, server: Server, log: EventLog, metrics: Metrics }> {
  const log = new EventLog()
  const metrics = new Metrics()
  const entry = new Entry({ machine: {}, limits, clock: new SystemClock(), log, metrics })
  let handled = 0
  const server = entry.createServer(endpoint, async (_, response, body) => {
    handled++
    await expect.poll(() => handled).toBeGreaterThanOrEqual(together)
    response.end(`<${body.toString()}>`)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  opened.push(server)
  return { port: (server.address() as AddressInfo).port, server, log, metrics }
}

/** Sends a text and returns what is answered until the connection is closed or the answer contains the mark. */
async function exchange (port: number, text: string, mark?: string): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  opened.push(socket)
  socket.write(text)
  let received = ''
  return await new Promise((resolve) => {
    socket.on('error', () => {})
    socket.on('data', (part) => {
      received += part.toString()
      if (mark !== undefined && received.includes(mark)) resolve(received)
    })
    socket.once('close', () => { resolve(received) })
  })
}

describe('a server behind the gate', () => {
  it.each([
    ['a text that is not HTTP', 'hello\r\n\r\n', 400, 'malformed'],
    ['a head over the limit', `GET /${'a'.repeat(3000)} HTTP/1.1\r\n`, 431, 'head-too-large'],
    ['a head that does not end', 'GET / HTTP/1.1\r\nhost:', 408, 'slow-head'],
    ['a body that does not end', 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab', 408, 'slow-body'],
    ['a body over the limit', `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n${'a'.repeat(2000)}`, 413, 'body-too-large'],
    [
      'a body without a length over the limit',
      `POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5dc\r\n${'a'.repeat(1500)}\r\n`, 413, 'body-too-large'
    ]
  ])('refuses %s, counts it and logs one line without a stack', async (_, text, status, reason) => {
    const { port, log, metrics } = await start()
    expect(await exchange(port, text, '\r\n\r\n')).toContain(`HTTP/1.1 ${status}`)
    expect(await metrics.text()).toContain(`entry_cutoffs_total{endpoint="callers",reason="${reason}"} 1`)
    await expect.poll(() => log.lines, { timeout: 3000 }).toEqual([
      { name: 'clients refused or closed', endpoint: 'callers', reason, count: 1 }
    ])
  })

  it('answers requests sent ahead in their order, all of them', async () => {
    const { port } = await start()
    const bodies = Array.from({ length: 50 }, (_, index) => `body ${index}`)
    const text = bodies.map((body) => `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`).join('')
    const answers = await exchange(port, text, '<body 49>')
    expect(answers.match(/<[^>]*>/g)).toEqual(bodies.map((body) => `<${body}>`))
  })

  it('refuses a request for which there is no memory as not run, with a time to return', async () => {
    const { port } = await start({ ...LIMITS, bytes: 100 })
    expect(await exchange(port, GET, '\r\n\r\n')).toMatch(/503 [^]*retry-after: 1/i)
  })

  it.each([
    ['without a length', 'transfer-encoding: chunked', `7530\r\n${'a'.repeat(30_000)}\r\n`],
    ['with a length', 'content-length: 200000', 'a'.repeat(30_000)]
  ])('does not read the rest of a refused body %s', async (_, header, part) => {
    const { port } = await start({ ...LIMITS, bytes: 20_000, bodyBytes: 200_000, bodyMs: 60_000, lingerMs: 50, retryAfterS: 3 })
    const answer = await exchange(port, `POST / HTTP/1.1\r\nhost: a\r\n${header}\r\n\r\n${part}`)
    expect(answer).toMatch(/503 [^]*retry-after: 3\r\nconnection: close/i)
  })

  it.each([Endpoint.Readiness, Endpoint.Metrics])('answers as many clients at once at the address for %s as may connect', async (endpoint) => {
    const { port } = await start({}, endpoint, 32)
    const answers = await Promise.all(Array.from({ length: 32 }, async () => await exchange(port, GET, '<>')))
    expect(answers.filter((answer) => answer.includes('200')).length).toBe(32)
  })

  it.each([Endpoint.Callers, Endpoint.Nodes])('goes on and counts it if a connection to the server of %s cannot be accepted', async (endpoint) => {
    const { port, server, metrics } = await start(LIMITS, endpoint)
    for (let index = 0; index < 2; index++) server.emit('error', Object.assign(new Error('accept ENOBUFS'), { code: 'ENOBUFS' }))
    expect(await exchange(port, GET, '<>')).toContain('200')
    expect(await metrics.text()).toContain(`entry_cutoffs_total{endpoint="${endpoint}",reason="accept-failed"} 2`)
  })

  it('closes an idle connection for a new one', async () => {
    const { port } = await start()
    const idle = exchange(port, GET)
    for (let index = 0; index < 2; index++) expect(await exchange(port, GET, '<>')).toContain('200')
    expect(await idle).toContain('200')
  })
})
