/**
 * Serves the API over HTTP and shuts down without interrupting requests in progress.
 */
import { createServer, STATUS_CODES, type Server } from 'node:http'
import { once } from 'node:events'
import { getRequestListener } from '@hono/node-server'
import { sleep } from '@fireflymount/service-clients/clock'
import { createApi } from './api.js'
import { HttpProblem, createProblemResponse, createBadRequest, createHttpProblem, type Problem } from './problem.js'
import type { AddressInfo } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Listener } from '@fireflymount/manifest/settings'
import type { ApiOptions } from './api-context.js'

/** Longest time that a caller may take to send a request. */
const RECEIVE_TIMEOUT_MS = 30_000
const HEADERS_TIMEOUT_MS = 10_000
/** Longer than the usual idle timeout of load balancers, so that the balancer is the side that closes idle connections. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000
/** Fraction of the drain time in which new work is still accepted, so that the load balancer has time to deregister the node. */
const DEREGISTRATION_FRACTION = 0.25
const MAX_DEREGISTRATION_MS = 3000
const CONNECTION_CHECK_INTERVAL_MS = 1000

/** A served API. */
export interface ApiService {
  /** The address that it listens on. With port 0 in the settings, the port is that chosen by the system. */
  readonly address: Listener
  /**
   * Shuts down gracefully. `/readyz` returns 503 and every response carries `Connection: close` at once. New requests are
   * still accepted for a deregistration time. Requests in progress are finished, up to `timing.drainMs` in total.
   *
   * @returns the number of connections that were still open after that time and were closed forcibly
   */
  close (): Promise<number>
}

/**
 * Serves the API on the address in the settings.
 *
 * @param options the components that the API uses
 * @returns the service, once it listens; rejects if the address cannot be bound
 *
 * @example
 * const service = await serveApi(options)
 * process.once('SIGTERM', () => service.close())
 */
export async function serveApi (options: ApiOptions): Promise<ApiService> {
  const { limits, api } = options.settings
  const server = createServer({
    maxHeaderSize: limits.headerBytes,
    requestTimeout: RECEIVE_TIMEOUT_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    requireHostHeader: false
  }, getRequestListener(createApi(options).fetch, { errorHandler: onRequestError }))
  server.maxConnections = limits.connections
  server.on('clientError', onClientError)
  server.on('drop', () => options.metrics.count('entry.connections.refused'))
  server.listen(api.port, api.host)
  await once(server, 'listening')
  const { address, port } = server.address() as AddressInfo
  return { address: { host: address, port }, close: () => closeServer(server, options) }
}

async function closeServer (server: Server, options: ApiOptions): Promise<number> {
  const { drainMs } = options.settings.timing
  const deregistrationMs = Math.min(drainMs * DEREGISTRATION_FRACTION, MAX_DEREGISTRATION_MS)
  options.lifecycle.drain()
  await sleep(deregistrationMs)
  const closed = once(server, 'close')
  server.close()
  const stop = new AbortController()
  await Promise.race([closed, sleep(drainMs - deregistrationMs, stop.signal)])
  stop.abort()
  const openConnections = await countConnections(server)
  server.closeAllConnections()
  await closed
  return openConnections
}

function countConnections (server: Server): Promise<number> {
  return new Promise((resolve) => server.getConnections((_, count) => resolve(count ?? 0)))
}

/** Called if the target or the Host header of a request cannot be parsed. */
function onRequestError (): Response {
  return createProblemResponse(createBadRequest('The URL or the Host header is not valid.'))
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
  if (code === 'HPE_HEADER_OVERFLOW') return createHttpProblem(HttpProblem.HeadersTooLarge, 'The headers are larger than this node accepts. Send smaller headers.')
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return createHttpProblem(HttpProblem.ReceiveTimeout, 'The request was not received in time. Send it without pauses.')
  return createBadRequest('This is not a valid HTTP request.')
}
