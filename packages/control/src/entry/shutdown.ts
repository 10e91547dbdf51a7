/**
 * Graceful shutdown of the callers' server: it accepts connections until the load balancer has removed the node, then waits for
 * the requests in flight.
 */
import type { Server } from 'node:http'
import { sleep } from '../clock.js'

/**
 * Fraction of the grace period in which new connections are accepted. The load balancer polls once a second and removes the node
 * after two failed polls.
 */
const ACCEPT_FRACTION = 0.5
/** Time reserved at the end of the grace period for the process to exit. */
const EXIT_MARGIN_MS = 700
const POLL_INTERVAL_MS = 50

/**
 * Drains the server: returns when no request is in flight, or shortly before the grace period ends.
 *
 * @param server the callers' server, which already closes each connection after its answer
 * @param graceMs time between the stop signal and the kill signal
 * @param openRequests returns the number of requests in flight, of callers and of other nodes
 */
export async function drainServer (server: Server, graceMs: number, openRequests: () => number): Promise<void> {
  const startedMs = performance.now()
  await sleep(graceMs * ACCEPT_FRACTION)
  server.close()
  server.closeIdleConnections()
  while (openRequests() > 0 && performance.now() - startedMs < graceMs - EXIT_MARGIN_MS) {
    await sleep(POLL_INTERVAL_MS)
    server.closeIdleConnections()
  }
}
