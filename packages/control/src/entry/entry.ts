/**
 * The HTTP servers of a node, each behind a gate that holds its clients to the limits.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '../clock.js'
import { describeError, type Log } from '../report/log.js'
import type { Metrics } from '../report/metrics.js'
import { Blocks, Body } from '@fireflymount/entry/body'
import { Cutoff } from './cutoff.js'
import { Feed, SOCKET_BUFFER_BYTES } from '@fireflymount/entry/feed'
import { Introduction, MAX_INTRODUCTION_BYTES } from '@fireflymount/entry/introduction'
import { Gate } from './gate.js'
import { Endpoint, limitsOf, type EntrySettings, type MachineResources } from './limits.js'
import { Line, Passage } from './line.js'
import { Turns } from '@fireflymount/entry/turns'

/** Interval at which clients that do not read are looked for, and at which is reported what was refused or closed. */
const TICK_MS = 1000
/** Maximum interval at which slow heads and bodies are looked for. */
const MAX_SLOWNESS_CHECK_MS = 5000

const STATUS_LINES: Partial<Record<Cutoff, string>> = {
  [Cutoff.Connections]: '503 Service Unavailable',
  [Cutoff.HeadTooLarge]: '431 Request Header Fields Too Large',
  [Cutoff.SlowHead]: '408 Request Timeout',
  [Cutoff.SlowBody]: '408 Request Timeout',
  [Cutoff.Malformed]: '400 Bad Request'
}

/** Handles a request whose body has arrived. A promise resolves once the request was handled. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, body: Buffer) => unknown

/** Dependencies and settings of the servers. */
export interface EntryOptions {
  readonly machine: MachineResources
  /** Limits that are set by the operator. */
  readonly limits?: EntrySettings | undefined
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
}

/** Creates the servers of a node and reports on their gates. */
export class Entry {
  private readonly gates = new Map<Endpoint, Gate>()
  private readonly gatedServers = new Map<Endpoint, GatedServer>()
  /** What was refused or closed since the last tick. */
  private readonly cutoffs = new Map<Endpoint, Map<Cutoff, number>>()
  private readonly blocks = new Blocks()
  private readonly timer: NodeJS.Timeout

  constructor (private readonly options: EntryOptions) {
    this.timer = setInterval(() => { this.tick() }, TICK_MS)
    this.timer.unref()
  }

  /**
   * Creates a server, which does not listen yet.
   *
   * @param endpoint the server, of which there is one
   * @param handler handles its requests
   */
  createServer (endpoint: Endpoint, handler: RequestHandler): Server {
    const limits = limitsOf(endpoint, this.options.machine, this.options.limits)
    const gate = new Gate(limits, (cutoff) => { this.count(endpoint, cutoff) })
    this.gates.set(endpoint, gate)
    const isFed = endpoint !== Endpoint.Nodes
    // A keepAliveTimeout of 0 keeps idle connections open without a timeout.
    const server = createServer({
      ...(isFed ? { highWaterMark: SOCKET_BUFFER_BYTES } : {}),
      maxHeaderSize: limits.headBytes,
      headersTimeout: limits.headMs,
      requestTimeout: limits.headMs + limits.bodyMs,
      connectionsCheckingInterval: Math.min(MAX_SLOWNESS_CHECK_MS, limits.headMs, limits.bodyMs),
      keepAliveTimeout: 0
    })
    const gated = new GatedServer(gate, this.blocks, handler, this.options.log)
    this.gatedServers.set(endpoint, gated)
    gated.attach(server)
    if (isFed) gated.feed(server)
    else gated.acceptUpgrades(server)
    return server
  }

  /** Notes that a client of the nodes' server has introduced itself as a node. Its connection is not closed to make room for others. */
  admitNode (stream: Duplex): void {
    this.gatedServers.get(Endpoint.Nodes)?.admit(stream)
  }

  /** Number of requests to a server whose answer has not been sent to the end. */
  openRequests (endpoint: Endpoint): number {
    return this.gates.get(endpoint)?.requests ?? 0
  }

  /** Closes no more callers' connections with requests to make room, because the node stops gracefully. */
  drain (): void {
    this.gates.get(Endpoint.Callers)?.drain()
  }

  /** Ends the reports. */
  close (): void {
    clearInterval(this.timer)
  }

  private count (endpoint: Endpoint, cutoff: Cutoff): void {
    this.options.metrics.cutoffs.inc({ endpoint, reason: cutoff })
    let counts = this.cutoffs.get(endpoint)
    if (counts === undefined) this.cutoffs.set(endpoint, counts = new Map())
    counts.set(cutoff, (counts.get(cutoff) ?? 0) + 1)
  }

  private tick (): void {
    const { clock, log, metrics } = this.options
    this.blocks.trim()
    for (const [endpoint, gate] of this.gates) {
      gate.sweep(clock.now())
      metrics.entryConnections.set({ endpoint }, gate.connections)
      metrics.entryBytes.set({ endpoint }, gate.bytes)
    }
    for (const [endpoint, counts] of this.cutoffs) {
      for (const [reason, count] of counts) log.event('clients refused or closed', { endpoint, reason, count })
    }
    this.cutoffs.clear()
  }
}

/** The gate's view of a connection. */
class StreamLine extends Line {
  /** True if the rest of a refused request's body is discarded. */
  discarding = false
  /** True after an error of the client, such as malformed HTTP. */
  failed = false
  /** True if the connection can be held while a request is in progress. */
  readonly holdable: boolean = false
  /** What the client of an upgraded connection sends until it is admitted. */
  introduction: Introduction | undefined

  constructor (readonly socket: Socket) {
    super()
  }

  /** Drops what the client sends from now on. */
  ignore (): void {}

  override hold (): void {}

  override resume (): void {}

  override close (): void {
    this.socket.destroy()
  }

  override unread (): number {
    return this.socket.writableLength
  }

  override sent (): number {
    return this.socket.bytesWritten - this.socket.writableLength
  }
}

/** A connection that can be held. */
class FeedLine extends StreamLine {
  override readonly holdable = true
  readonly feed: Feed

  constructor (socket: Socket, gate: Gate, turns: Turns) {
    super(socket)
    const { lingerMs, receiveBufferBytes: kernelBytes } = gate.limits
    this.feed = new Feed(socket, { turns, lingerMs, kernelBytes, onWaiting: (bytes) => { gate.keep(this, bytes) } })
  }

  override ignore (): void {
    this.feed.ignore()
  }

  override hold (): void {
    this.feed.stop()
  }

  override resume (): void {
    this.feed.goOn()
  }

  override close (): void {
    this.feed.destroy()
  }

  override unread (): number {
    return this.feed.unsentBytes
  }

  override sent (): number {
    return this.feed.sentBytes
  }
}

/** Passes the events of an HTTP server through a gate. */
class GatedServer {
  private readonly lines = new Map<Duplex, StreamLine>()

  constructor (
    private readonly gate: Gate,
    private readonly blocks: Blocks,
    private readonly handler: RequestHandler,
    private readonly log: Log
  ) {}

  attach (server: Server): void {
    server.on('request', (request, response) => { this.onRequest(request, response) })
    server.on('checkExpectation', (request, response) => { this.onRequest(request, response) })
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => { this.onClientError(error, socket) })
    server.once('listening', () => { server.on('error', () => { this.gate.count(Cutoff.AcceptFailed) }) })
  }

  /** Passes connections through feeds, which hold those with as many requests in progress as they may have. */
  feed (server: Server): void {
    const turns = new Turns()
    const [serve] = server.listeners('connection')
    server.removeAllListeners('connection')
    server.on('connection', (socket) => {
      turns.accept()
      const line = new FeedLine(socket, this.gate, turns)
      if (this.enter(line, line.feed)) serve!.call(server, line.feed)
    })
  }

  /** Passes connections on as they are. Clients that have upgraded theirs may send an introduction until they are admitted. */
  acceptUpgrades (server: Server): void {
    server.on('connection', (socket) => { this.enter(new StreamLine(socket), socket) })
    server.on('upgrade', (_, socket: Duplex) => {
      const line = this.lines.get(socket)
      if (line === undefined) return
      line.introduction = new Introduction(socket, (bytes) => { this.onIntroduction(line, bytes) })
    })
  }

  /** Counts an upgraded connection as in use for as long as it is open. */
  admit (stream: Duplex): void {
    const line = this.lines.get(stream)
    if (line === undefined) return
    line.introduction?.end()
    this.gate.keep(line, 0)
    this.gate.occupy(line)
  }

  private onIntroduction (line: StreamLine, bytes: number): void {
    if (bytes <= MAX_INTRODUCTION_BYTES) {
      this.gate.keep(line, bytes)
      return
    }
    this.gate.count(Cutoff.BodyTooLarge)
    this.close(line)
  }

  private enter (line: StreamLine, stream: Duplex): boolean {
    if (!this.gate.enter(line)) {
      endWith(line.socket, Cutoff.Connections, `Retry-After: ${this.gate.limits.retryAfterS}\r\n`)
      return false
    }
    this.lines.set(stream, line)
    stream.once('close', () => {
      this.lines.delete(stream)
      this.gate.leave(line)
    })
    return true
  }

  private onRequest (request: IncomingMessage, response: ServerResponse): void {
    const line = this.lines.get(request.socket)
    // Requests that arrived in one part with the one for which the connection was closed.
    if (line === undefined || line.closed) return
    const { gate } = this
    if (line.requests > 0 && !line.holdable) {
      gate.count(Cutoff.SentAhead)
      this.close(line)
      return
    }
    const body = new Body(this.blocks)
    let content: Buffer
    const declared = request.headers['content-length']
    const length = declared === undefined ? undefined : Number(declared)
    const passage = new Passage(line, length, () => { this.handle(passage, request, response, content) })
    const complete = (): void => {
      content = body.finish()
      if (!gate.fits(passage)) {
        gate.count(Cutoff.BodyTooLarge)
        refuse(413)
      } else if (!gate.complete(passage)) {
        refuse(503)
      }
    }
    let refused = false
    const refuse = (status: number): void => {
      refused = true
      body.release()
      this.refuse(passage, request, response, status)
    }
    if (!gate.begin(passage)) {
      refuse(503)
      return
    }
    if (length !== undefined && length > gate.limits.bodyBytes) {
      gate.count(Cutoff.BodyTooLarge)
      refuse(413)
      return
    }
    if ((length ?? 0) === 0 && request.headers['transfer-encoding'] === undefined) {
      complete()
      return
    }
    request.on('data', (part: Buffer) => {
      if (refused) return
      if (passage.bodyBytes + part.length > gate.limits.bodyBytes) {
        gate.count(Cutoff.BodyTooLarge)
        refuse(413)
      } else if (gate.receive(passage, part.length)) {
        body.append(part)
        passage.shape.add(part)
      } else {
        refuse(503)
      }
    })
    request.once('end', () => { if (!refused) complete() })
    request.once('close', () => { if (!request.complete) body.release() })
  }

  private handle (passage: Passage, request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const { gate } = this
    response.once('close', () => { gate.answer(passage) })
    let handled: unknown
    try {
      handled = this.handler(request, response, body)
    } catch (error) {
      handled = Promise.reject(error)
    }
    if (!(handled instanceof Promise)) {
      gate.settle(passage)
      return
    }
    handled.then(() => { gate.settle(passage) }, (error: unknown) => {
      gate.settle(passage)
      this.log.event('request failed unexpectedly', { method: request.method, path: request.url, error: describeError(error) })
      request.socket.destroy()
    })
  }

  /** Answers a request that has not been handled. The rest of its body is discarded if it is short; else the connection is closed. */
  private refuse (passage: Passage, request: IncomingMessage, response: ServerResponse, status: number): void {
    const line = passage.line as StreamLine
    if (line.closed) return
    // Answers go out in the order of the requests, so this one would wait in memory.
    if (line.requests > 1) {
      this.close(line)
      return
    }
    response.once('close', () => { this.gate.abandon(passage) })
    if (status === 503) response.setHeader('retry-after', this.gate.limits.retryAfterS)
    response.statusCode = status
    line.discarding = !request.complete
    request.once('end', () => { line.discarding = false })
    const restBytes = (passage.declaredBytes ?? Infinity) - passage.bodyBytes
    const closing = line.discarding && restBytes > this.gate.limits.discardBytes
    if (closing) response.setHeader('connection', 'close')
    response.end()
    if (!closing) return
    line.ignore()
    this.gate.linger(line)
  }

  private close (line: StreamLine): void {
    this.gate.leave(line)
    line.close()
  }

  private onClientError (error: NodeJS.ErrnoException, socket: Duplex): void {
    const line = this.lines.get(socket)
    // What follows a malformed part is malformed too.
    if (line?.failed === true) return
    // A client whose body is discarded has been counted and answered.
    const cutoff = line === undefined || line.discarding ? undefined : cutoffOf(error, line)
    if (line === undefined || cutoff === undefined) {
      socket.destroy()
      return
    }
    this.gate.count(cutoff)
    line.failed = true
    line.hold()
    const unanswered = line.requests === 0 || (line.requests === 1 && line.receiving !== undefined)
    if (unanswered) endWith(socket, cutoff)
    else socket.destroy()
  }
}

/** Returns why a client is cut off after an error on its connection; undefined if the connection was lost. */
function cutoffOf (error: NodeJS.ErrnoException, line: Line): Cutoff | undefined {
  const { code = '' } = error
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return line.receiving === undefined ? Cutoff.SlowHead : Cutoff.SlowBody
  if (code === 'HPE_HEADER_OVERFLOW') return Cutoff.HeadTooLarge
  return code.startsWith('HPE_') ? Cutoff.Malformed : undefined
}

/** Ends a connection with an answer that has no body. */
function endWith (socket: Duplex, cutoff: Cutoff, headers = ''): void {
  if (!socket.writable) {
    socket.destroy()
    return
  }
  const statusLine = STATUS_LINES[cutoff] ?? '400 Bad Request'
  socket.end(`HTTP/1.1 ${statusLine}\r\n${headers}Connection: close\r\nContent-Length: 0\r\n\r\n`, () => { socket.destroy() })
}
