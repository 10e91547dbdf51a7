/**
 * HTTP servers of the stand-ins, and faults at the level of connections.
 */
import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { createAdaptorServer, type HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context, Hono } from 'hono'

/** An idle connection is closed after this time. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000

/** Path prefix of the endpoints that only a stand-in has. Injected faults do not apply to them. */
export const STANDIN_PREFIX = '/standin/'

/** Types of the bindings of the stand-ins' Hono handlers. */
export interface Env {
  Bindings: HttpBindings
}

/** The open connections of one server. */
export class Connections {
  private readonly open = new Set<Socket>()
  private readonly stalled = new WeakSet<Socket>()

  /** Adds a new connection, and removes it once it is closed. */
  add (socket: Socket): void {
    this.open.add(socket)
    socket.on('close', () => this.open.delete(socket))
  }

  /**
   * Stops all responses on the connections that are open now, without closing them. A call that arrives on them later has no
   * effect and no response. New connections work.
   */
  stall (): void {
    for (const socket of this.open) this.stalled.add(socket)
  }

  /** Destroys all open connections. */
  breakAll (): void {
    for (const socket of this.open) socket.destroy()
  }

  isStalled (socket: Socket): boolean {
    return this.stalled.has(socket)
  }
}

/**
 * Starts a server.
 *
 * @param app the handlers
 * @param host address to listen on
 * @param port port to listen on; 0 for any free port
 * @param connections tracks the server's connections
 * @returns the address and port that it listens on
 */
export function listen (app: Hono<Env>, host: string, port: number, connections: Connections): Promise<string> {
  const server = createAdaptorServer({ fetch: app.fetch }) as Server
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS
  server.on('connection', (socket: Socket) => connections.add(socket))
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      const { address, port } = server.address() as AddressInfo
      resolve(`${address}:${port}`)
    })
  })
}

/** Returns the connection of a call. */
export function socketOf (context: Context<Env>): Socket {
  return context.env.incoming.socket
}

/** Destroys the connection of a call without a response. */
export function breakConnection (context: Context<Env>): Response {
  socketOf(context).destroy()
  return RESPONSE_ALREADY_SENT
}

/** Never responds, and leaves the connection open. */
export function hang (): Promise<Response> {
  return new Promise(() => {})
}

/** Exits the process when its standard input is closed, so that it does not outlive a parent that was killed. */
export function exitWhenInputCloses (): void {
  process.stdin.on('end', () => process.exit(0))
  process.stdin.resume()
}
