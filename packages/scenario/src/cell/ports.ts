/**
 * Free ports for daemons, outside the range that the system uses for outgoing connections.
 */
import { createServer } from 'node:net'

const FIRST_PORT = 12_000
const PORT_COUNT = 18_000

let next = FIRST_PORT + (process.pid * 97) % PORT_COUNT

/**
 * Finds a port that nothing listens on.
 *
 * @returns the port; it is not handed out again by this process soon
 *
 * @example
 * const port = await findPort()
 */
export async function findPort (): Promise<number> {
  for (;;) {
    next = next + 1 < FIRST_PORT + PORT_COUNT ? next + 1 : FIRST_PORT
    const port = next
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
