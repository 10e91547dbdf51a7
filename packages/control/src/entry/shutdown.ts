/**
 * The end of a planned stop: serves callers on while the balancer learns of it, then until the last answer is out.
 */
import type { Server } from 'node:http'
import { sleep } from '../clock.js'

/** Part of the grace during which new connections are still served: the balancer asks once a second and wants two misses. */
const SERVE_PART = 0.5
/** Time kept at the end of the grace for the process to exit. */
const EXIT_RESERVE_MS = 700
const POLL_MS = 50

/**
 * Serves until the grace is nearly over, or earlier once nobody is connected any more.
 *
 * @param server server of callers, whose answers already close their connections
 * @param graceMs time between the signal to stop and the kill
 * @param served tells how many requests are being served
 */
export async function serveOut (server: Server, graceMs: number, served: () => number): Promise<void> {
  const startedMs = performance.now()
  await sleep(graceMs * SERVE_PART)
  server.close()
  server.closeIdleConnections()
  while (served() > 0 && performance.now() - startedMs < graceMs - EXIT_RESERVE_MS) {
    await sleep(POLL_MS)
    server.closeIdleConnections()
  }
}
