/**
 * Serves the API over HTTP and stops without cutting a request.
 */
import { createServer, STATUS_CODES, type Server } from 'node:http'
import { once } from 'node:events'
import { getRequestListener } from '@hono/node-server'
import { sleep } from '@fireflymount/platform/clock'
import { createApi } from './api.js'
import { Misuse, answerProblem, createBadRequest, createMisuse, type Problem } from './problem.js'
import type { AddressInfo } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Listener } from '@fireflymount/manifest/settings'
import type { Parts } from './parts.js'

/** Longest time that a caller may take to send a request. */
const RECEIVE_TIMEOUT_MS = 30_000
const HEADERS_TIMEOUT_MS = 10_000
/** Longer than the idle time after which balancers usually close, so that they close first. */
const KEEP_ALIVE_MS = 75_000
/** Part of the drain time in which new work is still taken, so that the balancer can notice. */
const NOTICE_FRACTION = 0.25
const MOST_NOTICE_MS = 3000
const CHECK_MS = 1000

/** A served API. */
export interface Service {
  /** Where it listens; with port 0 in the settings, the port that the system chose. */
  readonly address: Listener
  /**
   * Stops gracefully. `/readyz` answers 503 and every answer carries `Connection: close` at once; new requests are
   * still taken for a notice time; requests in progress are finished, up to `timing.drainMs` in all.
   *
   * @returns how many connections had to be cut at the end
   */
  close (): Promise<number>
}

/**
 * Serves the API on the address in the settings.
 *
 * @param parts what the API works on
 * @returns the service, once it listens; rejects if the address cannot be bound
 *
 * @example
 * const service = await serveApi(parts)
 * process.once('SIGTERM', () => service.close())
 */
export async function serveApi (parts: Parts): Promise<Service> {
  const { limits, api } = parts.settings
  const server = createServer({
    maxHeaderSize: limits.headerBytes,
    requestTimeout: RECEIVE_TIMEOUT_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connectionsCheckingInterval: CHECK_MS,
    requireHostHeader: false
  }, getRequestListener(createApi(parts).fetch, { errorHandler: onRequestError }))
  server.maxConnections = limits.connections
  server.on('clientError', onClientError)
  server.on('drop', () => parts.metrics.count('entry.connections.refused'))
  server.listen(api.port, api.host)
  await once(server, 'listening')
  const { address, port } = server.address() as AddressInfo
  return { address: { host: address, port }, close: () => closeServer(server, parts) }
}

async function closeServer (server: Server, parts: Parts): Promise<number> {
  const { drainMs } = parts.settings.timing
  const noticeMs = Math.min(drainMs * NOTICE_FRACTION, MOST_NOTICE_MS)
  parts.presence.drain()
  await sleep(noticeMs)
  const closed = once(server, 'close')
  server.close()
  const stop = new AbortController()
  await Promise.race([closed, sleep(drainMs - noticeMs, stop.signal)])
  stop.abort()
  const cut = await countConnections(server)
  server.closeAllConnections()
  await closed
  return cut
}

function countConnections (server: Server): Promise<number> {
  return new Promise((resolve) => server.getConnections((_, count) => resolve(count ?? 0)))
}

/** The target or the Host header of a request cannot be understood. */
function onRequestError (): Response {
  return answerProblem(createBadRequest('The URL or the Host header is not valid.'))
}

function onClientError (error: NodeJS.ErrnoException, socket: Duplex): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const problem = describeClientError(error.code)
  const body = JSON.stringify(problem)
  socket.end([
    `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status]}`,
    'Connection: close',
    'Content-Type: application/problem+json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    '',
    body
  ].join('\r\n'))
}

function describeClientError (code: string | undefined): Problem {
  if (code === 'HPE_HEADER_OVERFLOW') return createMisuse(Misuse.HeadersTooLarge, 'The headers are larger than this node takes. Send less.')
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return createMisuse(Misuse.ReceiveTimeout, 'The request did not arrive in time. Send it without pauses.')
  return createBadRequest('This is no valid HTTP request.')
}
