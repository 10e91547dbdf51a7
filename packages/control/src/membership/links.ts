/**
 * Connections to other nodes of the cell.
 */
import { detach } from '../detach.js'
import { createServer, type Server } from 'node:http'
import { Connection, type Handler, type Terms } from '@fireflymount/protocol/connection'
import { FRAME_LIMIT_BYTES } from '@fireflymount/protocol/frame'
import type { Request } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { WebSocket, WebSocketServer } from 'ws'
import type { NodeAddress } from '../journal/record.js'

/** Time between two heartbeats on a connection. */
const HEARTBEAT_MS = 250
/** Silence after which a connection is closed: three heartbeats and what a slow node needs. */
const SILENCE_MS = 1000
/** Most requests that may be open on one connection in each direction. */
const OPEN_REQUESTS = 1024
/** Longest time for a connection to be established. */
const DIAL_TIMEOUT_MS = 500

/** What the links are built from. */
export interface LinkParts {
  readonly node: string
  readonly zone: string
  readonly host: string
  readonly port: number
  readonly addressOf: (node: string) => NodeAddress | undefined
  readonly handler: Handler
  readonly onLink: (node: string, up: boolean) => void
}

/** All connections of this node to others. */
export class Links {
  private readonly connections = new Map<string, Connection>()
  private readonly dials = new Map<string, Promise<Result<Connection, string>>>()
  private readonly refusing = new Set<string>()
  private readonly terms: Terms
  private server: Server | undefined
  private sockets: WebSocketServer | undefined

  constructor (private readonly parts: LinkParts) {
    this.terms = {
      node: parts.node, zone: parts.zone, heartbeatMs: HEARTBEAT_MS, silenceMs: SILENCE_MS, openRequests: OPEN_REQUESTS
    }
  }

  /** Listens for other nodes. */
  async listen (): Promise<Result<void, string>> {
    const { host, port } = this.parts
    const server = createServer((_, response) => { response.writeHead(426).end() })
    this.server = server
    this.sockets = new WebSocketServer({ server, maxPayload: FRAME_LIMIT_BYTES, perMessageDeflate: false })
    this.sockets.on('connection', (socket) => { detach(this.accept(socket)) })
    return await new Promise((resolve) => {
      server.once('error', (error) => { resolve(err(`Cannot listen on ${host}:${port}: ${error.message}`)) })
      server.listen(port, host, () => { resolve(ok(undefined)) })
    })
  }

  /** Names of the nodes to which there is a connection. */
  connected (): string[] {
    const names: string[] = []
    for (const [node, connection] of this.connections) {
      if (connection.usable()) names.push(node)
    }
    return names
  }

  /** True if there is a connection to the node. */
  has (node: string): boolean {
    return this.connections.get(node)?.usable() ?? false
  }

  /** True if the node's address refused the last connection, so that no process listens there. */
  refuses (node: string): boolean {
    return this.refusing.has(node)
  }

  /** Connects to a node, if there is no connection. */
  async connect (node: string): Promise<Result<Connection, string>> {
    const known = this.connections.get(node)
    if (known?.usable()) return ok(known)
    const dialing = this.dials.get(node)
    if (dialing !== undefined) return await dialing
    const dial = this.dial(node)
    this.dials.set(node, dial)
    const connection = await dial
    this.dials.delete(node)
    return connection
  }

  /** Sends a request to a node and waits for the answer. */
  async ask (node: string, request: Request, timeoutMs: number): Promise<Result<unknown, Refusal>> {
    const connection = await this.connect(node)
    if (connection.isErr()) return err(refuse(Reason.ConnectionLost, connection.error, 0))
    return await connection.value.ask(request, timeoutMs)
  }

  /** Sends a request to every connected node. Nodes that do not take it are left out. */
  broadcast (request: Request, timeoutMs: number): Promise<Array<Result<unknown, Refusal>>> {
    const asks: Array<Promise<Result<unknown, Refusal>>> = []
    for (const connection of this.connections.values()) {
      if (connection.usable()) asks.push(connection.ask(request, timeoutMs))
    }
    return Promise.all(asks)
  }

  /** Closes everything. */
  close (): void {
    for (const connection of this.connections.values()) connection.close()
    this.sockets?.close()
    this.server?.close()
  }

  private async dial (node: string): Promise<Result<Connection, string>> {
    const address = this.parts.addressOf(node)
    if (address === undefined) return err(`The address of node ${node} is not known.`)
    const url = `ws://${address.host}:${address.port}`
    const socket = new WebSocket(url, {
      handshakeTimeout: DIAL_TIMEOUT_MS, perMessageDeflate: false, maxPayload: FRAME_LIMIT_BYTES
    })
    let refused = false
    socket.on('error', (error: NodeJS.ErrnoException) => { refused = error.code === 'ECONNREFUSED' })
    const opened = await Connection.open(socket, this.terms, this.parts.handler)
    if (refused) this.refusing.add(node)
    else this.refusing.delete(node)
    if (opened.isOk()) this.keep(opened.value)
    return opened
  }

  private async accept (socket: WebSocket): Promise<void> {
    const opened = await Connection.open(socket, this.terms, this.parts.handler)
    if (opened.isOk()) this.keep(opened.value)
  }

  private keep (connection: Connection): void {
    const { node } = connection.peer
    const known = this.connections.get(node)
    this.connections.set(node, connection)
    this.refusing.delete(node)
    if (known?.usable() !== true) this.parts.onLink(node, true)
    connection.onClose(() => {
      if (this.connections.get(node) !== connection) return
      this.connections.delete(node)
      this.parts.onLink(node, false)
    })
  }
}
