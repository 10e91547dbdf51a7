/**
 * Serves the API over HTTP and shuts down without interrupting requests in progress.
 */
import { createServer, type Server } from 'node:http'
import { once } from 'node:events'
import { getRequestListener } from '@hono/node-server'
import { SOCKET_BUFFER_BYTES } from '@fireflymount/entry/feed'
import { sleep } from '@fireflymount/service-clients/clock'
import { MAX_PUBLICATION_BYTES } from './administration.js'
import { createApi } from './api.js'
import { CutoffReport } from './cutoff-report.js'
import { Gate } from './gate.js'
import { GatedServer } from './gated-server.js'
import { limitsOfApi } from './limits.js'
import { readMachine } from './machine.js'
import { createProblemResponse, createBadRequest } from './problem.js'
import type { AddressInfo } from 'node:net'
import type { Listener } from '@fireflymount/manifest/settings'
import type { ApiOptions } from './api-context.js'

/** Longer than the usual idle timeout of load balancers, so that the balancer is the side that closes idle connections. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000
/** Fraction of the drain time in which new work is still accepted, so that the load balancer has time to deregister the node. */
const DEREGISTRATION_FRACTION = 0.25
const MAX_DEREGISTRATION_MS = 3000
const CONNECTION_CHECK_INTERVAL_MS = 1000
const CONFIGURATION_PATH = '/v1/admin/configuration'
/** Interval at which clients that do not read are looked for, and at which is reported what was refused or closed. */
const REPORT_INTERVAL_MS = 1000

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
  const { api } = options.settings
  const limits = limitsOfApi(options.settings.limits, readMachine())
  const cutoffs = new CutoffReport('entry', options.metrics, options.logger)
  const gate = new Gate(limits, (cutoff) => { cutoffs.count(cutoff) })
  const server = createServer({
    highWaterMark: SOCKET_BUFFER_BYTES,
    maxHeaderSize: limits.headerBytes,
    requestTimeout: limits.receiveMs,
    headersTimeout: Math.min(limits.headMs, limits.receiveMs),
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    requireHostHeader: false
  })
  const listener = getRequestListener(createApi(options).fetch, { errorHandler: onRequestError })
  const publicationBytes = Math.max(limits.bodyBytes, MAX_PUBLICATION_BYTES)
  const maxBodyBytes = (path: string): number => path.startsWith(CONFIGURATION_PATH) ? publicationBytes : limits.bodyBytes
  const gatedServer = new GatedServer(gate, maxBodyBytes, listener)
  gatedServer.attach(server)
  const timer = setInterval(() => {
    gate.sweep(performance.now())
    gatedServer.trim()
    options.metrics.gauge('entry.connections', gate.connections)
    options.metrics.gauge('entry.bytes', gate.bytes)
    cutoffs.report()
  }, REPORT_INTERVAL_MS)
  server.once('close', () => { clearInterval(timer) })
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
