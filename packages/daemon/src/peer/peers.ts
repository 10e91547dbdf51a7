/**
 * The connections to other daemons, and the way to the owner of a shard.
 */
import { createServer, type Server } from 'node:http'
import { sleep, type Clock } from '@fireflymount/platform/clock'
import { Meter, type Traffic as Bytes } from '@fireflymount/platform/traffic'
import { Connection, createTraffic, type Handler, type Terms, type Traffic } from '@fireflymount/protocol/connection'
import { FRAME_LIMIT_BYTES } from '@fireflymount/protocol/frame'
import { Kind, type Request } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, withEarlierTries, type Refusal } from '@fireflymount/protocol/refusal'
import type { Settings } from '@fireflymount/manifest/settings'
import { err, ok, type Result } from 'neverthrow'
import { WebSocket, WebSocketServer } from 'ws'
import type { Metrics } from '../counters.js'
import type { Members } from '../membership/members.js'
import { Router } from './router.js'

/** Open requests on one connection in each direction. */
const OPEN_REQUESTS = 4096
/** A connection without requests for this long is closed. */
const IDLE_MS = 30_000
const SWEEP_MS = 5000
/** Longest wait for a shard's next owner. Takeover takes less, unless the log is away. */
const OWNER_PATIENCE_MS = 3000
const RETRY_MS = 50
const DIAL_TIMEOUT_MS = 500

/** What the peers are built from. `zonesOf` gives the availability zones of a shard. */
export interface PeerParts {
  readonly settings: Settings
  readonly members: Members
  readonly metrics: Metrics
  readonly clock: Clock
  readonly zonesOf: (shard: string) => readonly string[]
  readonly handler: Handler
}

/** All connections of this node to other daemons. */
export class Peers extends Router {
  private readonly connections = new Map<string, Connection>()
  private readonly dials = new Map<string, Promise<Result<Connection, string>>>()
  private readonly incoming = new Set<Connection>()
  private readonly owners = new Map<string, string>()
  private readonly terms: Terms
  private readonly past = createTraffic()
  private readonly meter = new Meter()
  private server: Server | undefined
  private sockets: WebSocketServer | undefined
  private sweeper: NodeJS.Timeout | undefined

  constructor (private readonly parts: PeerParts) {
    super()
    const { settings } = parts
    this.terms = {
      node: settings.node,
      zone: settings.zone,
      heartbeatMs: settings.timing.heartbeatMs,
      silenceMs: settings.timing.silenceMs,
      openRequests: OPEN_REQUESTS
    }
  }

  /** Listens for other daemons. */
  async listen (): Promise<Result<void, string>> {
    const { host, port } = this.parts.settings.peer
    const server = createServer((_, response) => { response.writeHead(426).end() })
    this.server = server
    this.sockets = new WebSocketServer({ server, maxPayload: FRAME_LIMIT_BYTES, perMessageDeflate: false })
    this.sockets.on('connection', (socket, request) => {
      this.meter.add(request.socket)
      this.accept(socket)
    })
    this.sweeper = setInterval(() => { this.sweep() }, SWEEP_MS)
    return await new Promise((resolve) => {
      server.once('error', (error) => { resolve(err(`Cannot listen on ${host}:${port}: ${error.message}`)) })
      server.listen(port, host, () => { resolve(ok(undefined)) })
    })
  }

  override nodes (): readonly string[] {
    return this.parts.members.nodes()
  }

  override async askNode (node: string, request: Request, timeoutMs: number): Promise<Result<unknown, Refusal>> {
    if (node === this.terms.node) return await this.parts.handler(request, node)
    const connection = await this.connect(node)
    if (connection.isErr()) return err(refuse(Reason.ConnectionLost, connection.error, RETRY_MS))
    return await connection.value.ask(request, timeoutMs)
  }

  override async ask (
    shard: string, request: Request, timeoutMs: number, signal?: AbortSignal
  ): Promise<Result<unknown, Refusal>> {
    const startMs = this.parts.clock.now()
    const patienceMs = Math.min(timeoutMs, OWNER_PATIENCE_MS)
    let failed: string | undefined
    let earlier = Execution.NotRun
    let last = refuse(Reason.NoOwner, `The shard ${shard} has no owner that this node can reach.`, 1000)
    for (let round = 0; ; round++) {
      const spentMs = this.parts.clock.now() - startMs
      if (round > 0 && (spentMs >= patienceMs || signal?.aborted)) return err(withEarlierTries(last, earlier))
      const node = this.pick(shard, round, failed)
      if (node === undefined) return err(withEarlierTries(last, earlier))
      const answer = await this.askNode(node, withTimeSpent(request, spentMs), timeoutMs - spentMs)
      if (answer.isOk()) {
        this.owners.set(shard, node)
        return answer
      }
      const refusal = answer.error
      if (refusal.reason === Reason.NotOwner) {
        failed = node
        this.hint(shard, node, refusal.node)
        last = refuse(Reason.NoOwner, `The shard ${shard} has no owner at the moment.`, 1000)
        if (refusal.node === undefined) await sleep(RETRY_MS)
        continue
      }
      if (refusal.reason !== Reason.ConnectionLost) return err(withEarlierTries(refusal, earlier))
      if (refusal.execution !== Execution.NotRun) earlier = Execution.Unknown
      if (refusal.execution !== Execution.NotRun && !isRepeatable(request)) return answer
      this.parts.metrics.count('route.retry')
      failed = node
      this.owners.delete(shard)
      await sleep(RETRY_MS)
    }
  }

  /** Tells all peers to send no new requests here. */
  leave (): void {
    for (const connection of this.incoming) connection.leave()
  }

  /** Closes all connections and stops listening. */
  close (): void {
    clearInterval(this.sweeper)
    for (const connection of [...this.incoming, ...this.connections.values()]) connection.close()
    this.sockets?.close()
    this.server?.close()
  }

  /** Totals over all connections, closed ones included. */
  traffic (): Traffic {
    const total = { ...this.past }
    for (const connection of new Set([...this.incoming, ...this.connections.values()])) addTraffic(total, connection.traffic)
    return total
  }

  /** Bytes of all connections above TCP: frames with their headers, heartbeats and handshakes. */
  bytes (): Bytes {
    return this.meter.total()
  }

  private pick (shard: string, round: number, failed: string | undefined): string | undefined {
    const known = this.owners.get(shard)
    if (known !== undefined && known !== failed) return known
    const candidates = this.parts.members.candidates(shard, this.parts.zonesOf(shard))
    return candidates[round % candidates.length]
  }

  private hint (shard: string, asked: string, owner: string | undefined): void {
    if (owner !== undefined && owner !== asked) this.owners.set(shard, owner)
    else this.owners.delete(shard)
  }

  private async connect (node: string): Promise<Result<Connection, string>> {
    const open = this.connections.get(node)
    if (open?.usable()) return ok(open)
    const dialing = this.dials.get(node)
    if (dialing !== undefined) return await dialing
    const dial = this.dial(node)
    this.dials.set(node, dial)
    const result = await dial
    this.dials.delete(node)
    return result
  }

  private async dial (node: string): Promise<Result<Connection, string>> {
    const address = this.parts.members.vm(node)?.address
    if (address === undefined) return err(`Node ${node} is not in the list of VMs.`)
    const socket = new WebSocket(`ws://${address}/`, {
      handshakeTimeout: DIAL_TIMEOUT_MS,
      perMessageDeflate: false,
      maxPayload: FRAME_LIMIT_BYTES,
      localAddress: this.parts.settings.peer.host
    })
    socket.once('upgrade', (response) => { this.meter.add(response.socket) })
    const connection = await Connection.open(socket, this.terms, this.parts.handler)
    if (connection.isErr()) return err(`Node ${node} cannot be reached: ${connection.error}`)
    this.keep(node, connection.value)
    return connection
  }

  private accept (socket: WebSocket): void {
    socket.on('error', () => { socket.terminate() })
    Connection.open(socket, this.terms, this.parts.handler).then((connection) => {
      if (connection.isErr()) return
      this.incoming.add(connection.value)
      connection.value.onClose(() => {
        this.incoming.delete(connection.value)
        addTraffic(this.past, connection.value.traffic)
      })
    }, () => { socket.terminate() })
  }

  private keep (node: string, connection: Connection): void {
    this.connections.set(node, connection)
    connection.onClose(() => {
      if (this.connections.get(node) === connection) this.connections.delete(node)
      addTraffic(this.past, connection.traffic)
    })
  }

  private sweep (): void {
    const now = performance.now()
    for (const connection of this.connections.values()) {
      if (connection.open() === 0 && now - connection.usedAtMs > IDLE_MS) connection.close()
    }
  }
}

function isRepeatable (request: Request): boolean {
  switch (request.kind) {
    case Kind.Submit:
    case Kind.Status:
    case Kind.Cancel:
    case Kind.Explain:
    case Kind.Survey:
    case Kind.Drain:
      return true
    default:
      return false
  }
}

function withTimeSpent (request: Request, spentMs: number): Request {
  if (request.kind !== Kind.Call) return request
  return { ...request, budgetMs: request.budgetMs - spentMs }
}

function addTraffic (total: Traffic, part: Traffic): void {
  total.framesSent += part.framesSent
  total.framesReceived += part.framesReceived
  total.bytesSent += part.bytesSent
  total.bytesReceived += part.bytesReceived
  total.requestBytesSent += part.requestBytesSent
  total.requestBytesReceived += part.requestBytesReceived
  total.strayAnswers += part.strayAnswers
  total.malformed += part.malformed
}
