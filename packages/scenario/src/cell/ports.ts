/**
 * Free ports for daemons, outside the range from which the system assigns ports to outgoing connections.
 */
import { createServer } from 'node:net'

const FIRST_PORT = 12_000
const PORT_COUNT = 18_000
/** Distance between the first ports of runners whose process ids differ by one. */
const PORTS_PER_PROCESS = 97

/** Starts at a position that depends on the process id, so that runners side by side rarely try the same ports. */
let lastPort = FIRST_PORT + (process.pid * PORTS_PER_PROCESS) % PORT_COUNT

/**
 * Finds a port that nothing listens on.
 *
 * @returns the port; this process returns it again only after it has tried all other ports of the range
 *
 * @example
 * const port = await findPort()
 */
export async function findPort (): Promise<number> {
  for (;;) {
    lastPort = lastPort + 1 < FIRST_PORT + PORT_COUNT ? lastPort + 1 : FIRST_PORT
    const port = lastPort
    if (await isFree(port)) return port
  }
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
