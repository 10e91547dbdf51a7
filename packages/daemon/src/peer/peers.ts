/**
 * Connections to other nodes, and the routing of requests to the owners of shards.
 */
import { createServer, type Server } from 'node:http'
import type { Socket } from 'node:net'
import { sleep, type Clock } from '@fireflymount/service-clients/clock'
import { Meter, type ByteCounts } from '@fireflymount/service-clients/byte-counts'
import {
  Connection, createFrameCounts, type ConnectionSettings, type FrameCounts, type Handler, type HandlerFailure
} from '@fireflymount/protocol/connection'
import { MAX_FRAME_BYTES } from '@fireflymount/protocol/frame'
import { MessageKind, type Request } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, withEarlierAttempts, type Refusal } from '@fireflymount/protocol/refusal'
import type { Settings } from '@fireflymount/manifest/settings'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'
import { WebSocket, WebSocketServer } from 'ws'
import type { Metrics } from '../metrics.js'
import type { Members } from '../membership/members.js'
import { Router } from './router.js'
import { Visitors } from './visitors.js'

/** Maximum number of requests in flight per connection and direction. */
const MAX_OPEN_REQUESTS = 4096
/** An outgoing connection without requests in flight is closed if its last request was sent or received this long ago. */
const IDLE_TIMEOUT_MS = 30_000
const IDLE_CHECK_INTERVAL_MS = 5000
/** Longest wait for a shard to get its next owner. A takeover is faster, unless the log is unavailable. */
const NEXT_OWNER_TIMEOUT_MS = 3000
/** Delay before a request is sent again to the owner of a shard. */
const RETRY_DELAY_MS = 50
/** Time that callers are told to wait before they retry after a connection to another node could not be opened. */
const CONNECTION_RETRY_AFTER_MS = 50
const NO_OWNER_RETRY_AFTER_MS = 1000
const CONNECT_TIMEOUT_MS = 500
/** Limits of the requests with which other nodes open connections. */
const HTTP_OPTIONS = { maxHeaderSize: 4096, headersTimeout: 5000, requestTimeout: 5000, connectionsCheckingInterval: 1000 }

/** Constructor arguments of `Peers`. `zonesOf` returns the availability zones of a shard. */
export interface PeersOptions {
  readonly settings: Settings
  readonly members: Members
  readonly metrics: Metrics
  readonly logger: Pick<Logger, 'warn'>
  readonly clock: Clock
  readonly zonesOf: (shard: string) => readonly string[]
  readonly handler: Handler
  /** Called with an unexpected error in the handling of another node's request. */
  readonly onHandlerError: (failure: HandlerFailure) => void
}

/** All connections of this node to and from other nodes. */
export class Peers extends Router {
  private readonly outgoing = new Map<string, Connection>()
  private readonly pendingDials = new Map<string, Promise<Result<Connection, string>>>()
  private readonly incoming = new Set<Connection>()
  private readonly ownerCache = new Map<string, string>()
  private readonly connectionSettings: ConnectionSettings
  private readonly closedFrameCounts = createFrameCounts()
  private readonly meter = new Meter()
  private readonly visitors: Visitors
  private server: Server | undefined
  private sockets: WebSocketServer | undefined
  private idleCheckTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: PeersOptions) {
    super()
    const { settings } = options
    this.connectionSettings = {
      node: settings.node,
      zone: settings.zone,
      heartbeatMs: settings.timing.heartbeatMs,
      silenceMs: settings.timing.silenceMs,
      openRequests: MAX_OPEN_REQUESTS,
      onHandlerError: options.onHandlerError
    }
    this.visitors = new Visitors(options.metrics, options.logger)
  }

  /** Listens for other nodes. */
  async listen (): Promise<Result<void, string>> {
    const { host, port } = this.options.settings.peer
    const server = createServer(HTTP_OPTIONS, (_, response) => { response.writeHead(426, { connection: 'close' }).end() })
    this.server = server
    this.visitors.attach(server)
    this.sockets = new WebSocketServer({ server, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    // Repeats the errors of the server, which are handled there.
    this.sockets.on('error', () => {})
    this.sockets.on('connection', (socket, request) => {
      this.meter.add(request.socket)
      this.accept(socket, request.socket)
    })
    this.idleCheckTimer = setInterval(() => { this.closeIdleConnections() }, IDLE_CHECK_INTERVAL_MS)
    return await new Promise((resolve) => {
      server.once('error', (error) => { resolve(err(`Cannot listen on ${host}:${port}: ${error.message}`)) })
      server.listen(port, host, () => { resolve(ok(undefined)) })
    })
  }

  override nodes (): readonly string[] {
    return this.options.members.nodes()
  }

  override async askNode (node: string, request: Request, timeoutMs: number): Promise<Result<unknown, Refusal>> {
    if (node === this.connectionSettings.node) return await this.options.handler(request, node)
    const connection = await this.connect(node)
    if (connection.isErr()) return err(refuse(Reason.ConnectionLost, connection.error, CONNECTION_RETRY_AFTER_MS))
    return await connection.value.ask(request, timeoutMs, isReversible(request) ? timeoutMs : undefined)
  }

  override async askOwner (
    shard: string, request: Request, timeoutMs: number, signal?: AbortSignal
  ): Promise<Result<unknown, Refusal>> {
    const startMs = this.options.clock.now()
    const maxWaitMs = Math.min(timeoutMs, NEXT_OWNER_TIMEOUT_MS)
    let failedNode: string | undefined
    let earlierExecution = Execution.NotRun
    let lastRefusal = refuse(Reason.NoOwner, `The shard ${shard} has no owner that this node can reach.`, NO_OWNER_RETRY_AFTER_MS)
    for (let attempt = 0; ; attempt++) {
      const spentMs = this.options.clock.now() - startMs
      if (attempt > 0 && (spentMs >= maxWaitMs || signal?.aborted)) return err(withEarlierAttempts(lastRefusal, earlierExecution))
      const node = this.pickNode(shard, attempt, failedNode)
      if (node === undefined) return err(withEarlierAttempts(lastRefusal, earlierExecution))
      const answer = await this.askNode(node, withRemainingTime(request, spentMs), timeoutMs - spentMs)
      if (answer.isOk()) {
        this.ownerCache.set(shard, node)
        return answer
      }
      const refusal = answer.error
      if (refusal.reason === Reason.NotOwner) {
        failedNode = node
        this.updateOwnerCache(shard, node, refusal.node)
        lastRefusal = refuse(Reason.NoOwner, `The shard ${shard} has no owner at present.`, NO_OWNER_RETRY_AFTER_MS)
        if (refusal.node === undefined) await sleep(RETRY_DELAY_MS)
        continue
      }
      if (refusal.reason !== Reason.ConnectionLost) return err(withEarlierAttempts(refusal, earlierExecution))
      if (refusal.execution !== Execution.NotRun) earlierExecution = Execution.Unknown
      if (refusal.execution !== Execution.NotRun && !isIdempotent(request)) return answer
      this.options.metrics.count('route.retry')
      failedNode = node
      this.ownerCache.delete(shard)
      await sleep(RETRY_DELAY_MS)
    }
  }

  /** Asks all peers to send no new requests to this node. */
  leave (): void {
    for (const connection of this.incoming) connection.leave()
  }

  /** Closes all connections and stops listening. */
  close (): void {
    clearInterval(this.idleCheckTimer)
    for (const connection of [...this.incoming, ...this.outgoing.values()]) connection.close()
    this.sockets?.close()
    this.server?.close()
    this.visitors.close()
  }

  /** Totals of all connections, including closed ones. */
  traffic (): FrameCounts {
    const total = { ...this.closedFrameCounts }
    for (const connection of new Set([...this.incoming, ...this.outgoing.values()])) addFrameCounts(total, connection.frameCounts)
    return total
  }

  /** Bytes of all connections above the TCP layer: frames with their headers, heartbeats and handshakes. */
  bytes (): ByteCounts {
    return this.meter.total()
  }

  private pickNode (shard: string, attempt: number, failedNode: string | undefined): string | undefined {
    const known = this.ownerCache.get(shard)
    if (known !== undefined && known !== failedNode) return known
    const candidates = this.options.members.candidates(shard, this.options.zonesOf(shard))
    return candidates[attempt % candidates.length]
  }

  private updateOwnerCache (shard: string, asked: string, owner: string | undefined): void {
    if (owner !== undefined && owner !== asked) this.ownerCache.set(shard, owner)
    else this.ownerCache.delete(shard)
  }

  private async connect (node: string): Promise<Result<Connection, string>> {
    const open = this.outgoing.get(node)
    if (open?.isUsable()) return ok(open)
    const dialing = this.pendingDials.get(node)
    if (dialing !== undefined) return await dialing
    const dial = this.dial(node)
    this.pendingDials.set(node, dial)
    const result = await dial
    this.pendingDials.delete(node)
    return result
  }

  private async dial (node: string): Promise<Result<Connection, string>> {
    const address = this.options.members.vm(node)?.address
    if (address === undefined) return err(`Node ${node} is not in the list of VMs.`)
    const socket = new WebSocket(`ws://${address}/`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
      localAddress: this.options.settings.peer.host
    })
    socket.once('upgrade', (response) => { this.meter.add(response.socket) })
    const connection = await Connection.open(socket, this.connectionSettings, this.options.handler)
    if (connection.isErr()) return err(`Node ${node} cannot be reached: ${connection.error}`)
    this.addOutgoing(node, connection.value)
    return connection
  }

  private accept (socket: WebSocket, stream: Socket): void {
    socket.on('error', () => { socket.terminate() })
    this.visitors.watch(stream)
    Connection.open(socket, this.connectionSettings, this.options.handler).then((connection) => {
      if (connection.isErr()) return
      this.visitors.admit(stream)
      this.incoming.add(connection.value)
      connection.value.onClose(() => {
        this.incoming.delete(connection.value)
        addFrameCounts(this.closedFrameCounts, connection.value.frameCounts)
      })
    }, () => { socket.terminate() })
  }

  private addOutgoing (node: string, connection: Connection): void {
    this.outgoing.set(node, connection)
    connection.onClose(() => {
      if (this.outgoing.get(node) === connection) this.outgoing.delete(node)
      addFrameCounts(this.closedFrameCounts, connection.frameCounts)
    })
  }

  private closeIdleConnections (): void {
    const now = performance.now()
    for (const connection of this.outgoing.values()) {
      if (connection.countInFlight() === 0 && now - connection.lastUsedAtMs > IDLE_TIMEOUT_MS) connection.close()
    }
  }
}

function isIdempotent (request: Request): boolean {
  switch (request.kind) {
    case MessageKind.Submit:
    case MessageKind.Status:
    case MessageKind.Cancel:
    case MessageKind.Explain:
    case MessageKind.DryRun:
    case MessageKind.Survey:
    case MessageKind.Drain:
    case MessageKind.Evacuate:
      return true
    default:
      return false
  }
}

/**
 * True if a later request can undo this one, and nothing tells the owner which of the two is older. A peer refuses such a request once
 * its sender has given it up.
 */
function isReversible (request: Request): boolean {
  return request.kind === MessageKind.Drain || request.kind === MessageKind.Evacuate
}

function withRemainingTime (request: Request, spentMs: number): Request {
  if (request.kind !== MessageKind.Call) return request
  return { ...request, budgetMs: request.budgetMs - spentMs }
}

function addFrameCounts (total: FrameCounts, part: FrameCounts): void {
  total.framesSent += part.framesSent
  total.framesReceived += part.framesReceived
  total.bytesSent += part.bytesSent
  total.bytesReceived += part.bytesReceived
  total.requestBytesSent += part.requestBytesSent
  total.requestBytesReceived += part.requestBytesReceived
  total.strayAnswers += part.strayAnswers
  total.malformed += part.malformed
}
