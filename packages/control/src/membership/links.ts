/**
 * Connections to other nodes of the cell.
 */
import { detach } from '../detach.js'
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { Connection, type ConnectionSettings, type Handler, type HandlerFailure } from '@fireflymount/protocol/connection'
import { MAX_FRAME_BYTES } from '@fireflymount/protocol/frame'
import type { Request } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { WebSocket, WebSocketServer } from 'ws'
import type { Entry } from '../entry/entry.js'
import { Endpoint } from '../entry/limits.js'
import type { NodeAddress } from '../journal/record.js'

const HEARTBEAT_INTERVAL_MS = 250
/** Time without a frame, ping or pong after which a connection is closed: three heartbeats plus a margin for a slow node. */
const SILENCE_TIMEOUT_MS = 1000
/** Maximum number of requests in flight on one connection, in each direction. */
const MAX_OPEN_REQUESTS = 1024
const CONNECT_TIMEOUT_MS = 500

/** How far the last attempt to connect to a node got. */
enum DialOutcome {
  /** The address refused the connection, presumably because no process listens there. */
  Refused,
  /** The address accepted the connection; the process may have answered or not. */
  Accepted,
  /** The address did not answer. */
  Unanswered
}

/** Addresses and callbacks of the connections. */
export interface LinksOptions {
  readonly node: string
  readonly zone: string
  readonly host: string
  readonly port: number
  /** Creates the server for connections from other nodes. */
  readonly entry: Pick<Entry, 'createServer' | 'listenBacklogOf' | 'admitNode'>
  readonly addressOf: (node: string) => NodeAddress | undefined
  readonly handler: Handler
  readonly onLink: (node: string, up: boolean) => void
  /** Called with an unexpected error in the handling of another node's request. */
  readonly onHandlerError: (failure: HandlerFailure) => void
}

/** All connections of this node to other nodes. */
export class Links {
  private readonly connections = new Map<string, Connection>()
  private readonly dials = new Map<string, Promise<Result<Connection, string>>>()
  private readonly lastDials = new Map<string, DialOutcome>()
  private readonly connectionSettings: ConnectionSettings
  private server: Server | undefined
  private sockets: WebSocketServer | undefined

  constructor (private readonly options: LinksOptions) {
    this.connectionSettings = {
      node: options.node,
      zone: options.zone,
      heartbeatMs: HEARTBEAT_INTERVAL_MS,
      silenceMs: SILENCE_TIMEOUT_MS,
      openRequests: MAX_OPEN_REQUESTS,
      onHandlerError: options.onHandlerError
    }
  }

  /**
   * Accepts connections from other nodes.
   *
   * @returns nothing, or why the port cannot be opened
   */
  async listen (): Promise<Result<void, string>> {
    const { host, port } = this.options
    const sockets = new WebSocketServer({ noServer: true, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    this.sockets = sockets
    const server = this.options.entry.createServer(
      Endpoint.Nodes,
      (_, response) => { response.writeHead(426, { connection: 'close' }).end() },
      (request, stream, head) => {
        sockets.handleUpgrade(request, stream, head, (socket) => { detach(this.accept(socket, stream)) })
      }
    )
    this.server = server
    return await new Promise((resolve) => {
      server.once('error', (error) => { resolve(err(`Cannot listen on ${host}:${port}: ${error.message}`)) })
      server.listen({ port, host, backlog: this.options.entry.listenBacklogOf(Endpoint.Nodes) }, () => { resolve(ok(undefined)) })
    })
  }

  /** Returns the names of the connected nodes. */
  connected (): string[] {
    const names: string[] = []
    for (const [node, connection] of this.connections) {
      if (connection.isUsable()) names.push(node)
    }
    return names
  }

  /** True if a connection to the node is open. */
  has (node: string): boolean {
    return this.connections.get(node)?.isUsable() ?? false
  }

  /** True if the node's address refused the last connection attempt, presumably because no process listens there. */
  refusesConnections (node: string): boolean {
    return this.lastDials.get(node) === DialOutcome.Refused
  }

  /** True if the node's address accepted the last connection attempt, although its process may not have answered on it. */
  acceptsConnections (node: string): boolean {
    return this.lastDials.get(node) === DialOutcome.Accepted
  }

  /** Forgets the outcome of the last connection attempt, because another process may run at the address now. */
  forgetDial (node: string): void {
    this.lastDials.delete(node)
  }

  /** Returns the open connection to a node, or establishes one. */
  async connect (node: string): Promise<Result<Connection, string>> {
    const current = this.connections.get(node)
    if (current?.isUsable()) return ok(current)
    const dialing = this.dials.get(node)
    if (dialing !== undefined) return await dialing
    const dial = this.dial(node)
    this.dials.set(node, dial)
    const connection = await dial
    this.dials.delete(node)
    return connection
  }

  /**
   * Sends a request to a node, connecting first if needed, and returns its answer.
   *
   * @param validMs how long the request is valid, see `Connection.ask`
   */
  async ask (node: string, request: Request, timeoutMs: number, validMs?: number): Promise<Result<unknown, Refusal>> {
    const connection = await this.connect(node)
    if (connection.isErr()) return err(refuse(Reason.ConnectionLost, connection.error, 0))
    return await connection.value.ask(request, timeoutMs, validMs)
  }

  /** Sends a request to every connected node and returns all answers. */
  broadcast (request: Request, timeoutMs: number): Promise<Array<Result<unknown, Refusal>>> {
    const asks: Array<Promise<Result<unknown, Refusal>>> = []
    for (const connection of this.connections.values()) {
      if (connection.isUsable()) asks.push(connection.ask(request, timeoutMs))
    }
    return Promise.all(asks)
  }

  /** Closes all connections and the server. */
  close (): void {
    for (const connection of this.connections.values()) connection.close()
    this.sockets?.close()
    this.server?.close()
  }

  private async dial (node: string): Promise<Result<Connection, string>> {
    const address = this.options.addressOf(node)
    if (address === undefined) return err(`The address of node ${node} is unknown.`)
    let outcome = DialOutcome.Unanswered
    const created = createSocket(`ws://${address.host}:${address.port}`, () => {
      outcome = DialOutcome.Accepted
      this.lastDials.set(node, outcome)
    })
    if (created.isErr()) return err(`The address of node ${node} is invalid: ${created.error}`)
    const socket = created.value
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') outcome = DialOutcome.Refused
    })
    const opened = await Connection.open(socket, this.connectionSettings, this.options.handler)
    this.lastDials.set(node, outcome)
    if (opened.isOk()) this.register(opened.value)
    return opened
  }

  private async accept (socket: WebSocket, stream: Socket): Promise<void> {
    const opened = await Connection.open(socket, this.connectionSettings, this.options.handler)
    if (opened.isErr()) return
    this.options.entry.admitNode(stream)
    this.register(opened.value)
  }

  private register (connection: Connection): void {
    const { node } = connection.peer
    const current = this.connections.get(node)
    this.connections.set(node, connection)
    // Once the connection is lost, only an attempt made since then tells anything about the address.
    this.forgetDial(node)
    if (current?.isUsable() !== true) this.options.onLink(node, true)
    connection.onClose(() => {
      if (this.connections.get(node) !== connection) return
      this.connections.delete(node)
      this.options.onLink(node, false)
    })
  }
}

/**
 * Starts to connect to an address.
 *
 * @param onAccepted called when the address has accepted the connection
 * @returns the socket, or why the address is none
 */
function createSocket (url: string, onAccepted: () => void): Result<WebSocket, string> {
  try {
    return ok(new WebSocket(url, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
      finishRequest: (request) => {
        request.once('socket', (stream) => stream.once('connect', onAccepted))
        request.end()
      }
    }))
  } catch (error) {
    return err(String(error))
  }
}
