/**
 * HTTP servers of the stand-ins, with faults of the connection itself.
 */
import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { createAdaptorServer, type HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context, Hono } from 'hono'

/** How long an idle connection is kept. */
const KEEP_ALIVE_MS = 60_000

/** Path prefix of the endpoints that only a stand-in has. Faults never apply to them. */
export const ADMIN_PREFIX = '/standin/'

/** The environment of the stand-ins' handlers. */
export interface Env {
  Bindings: HttpBindings
}

/** The open connections of one server. */
export class Connections {
  private readonly open = new Set<Socket>()
  private readonly silent = new WeakSet<Socket>()

  /** Follows a new connection. */
  add (socket: Socket): void {
    this.open.add(socket)
    socket.on('close', () => this.open.delete(socket))
  }

  /** Makes the open connections carry nothing from now on; new ones work. */
  silence (): void {
    for (const socket of this.open) this.silent.add(socket)
  }

  /** Breaks the open connections. */
  sever (): void {
    for (const socket of this.open) socket.destroy()
  }

  isSilent (socket: Socket): boolean {
    return this.silent.has(socket)
  }
}

/**
 * Starts a server.
 *
 * @param app the handlers
 * @param host address to listen on
 * @param port port to listen on; 0 for any
 * @param connections follows the server's connections
 * @returns the address and port that it listens on
 */
export function listen (app: Hono<Env>, host: string, port: number, connections: Connections): Promise<string> {
  const server = createAdaptorServer({ fetch: app.fetch }) as Server
  server.keepAliveTimeout = KEEP_ALIVE_MS
  server.on('connection', (socket: Socket) => connections.add(socket))
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      const { address, port } = server.address() as AddressInfo
      resolve(`${address}:${port}`)
    })
  })
}

/** The connection of a call. */
export function socketOf (context: Context<Env>): Socket {
  return context.env.incoming.socket
}

/** Breaks the connection of a call without an answer. */
export function breakConnection (context: Context<Env>): Response {
  socketOf(context).destroy()
  return RESPONSE_ALREADY_SENT
}

/** Never answers; the connection stays open. */
export function hang (): Promise<Response> {
  return new Promise(() => {})
}

/** Ends the process when its standard input ends, so that it does not outlive a parent that was killed. */
export function endWithInput (): void {
  process.stdin.on('end', () => process.exit(0))
  process.stdin.resume()
}
