/**
 * One connection between two daemons, which carries heartbeats, requests with ids, and their answers.
 */
import { err, ok, type Result } from 'neverthrow'
import type { WebSocket } from 'ws'
import { decodeFrame, decodeRequest, encodeFrame } from './frame.js'
import { MessageKind, PROTOCOL_VERSION, type Answer, type Ask, type Frame, type Hello, type Request } from './message.js'
import { PeerClock, decodeReading, encodeReading, hasPassed, readClocks } from './peer-clock.js'
import { Execution, Reason, refuse, type Refusal } from './refusal.js'

/** Handles the requests of the peer. `from` is the peer node's name. */
export type Handler = (request: Request, from: string) => Promise<Result<unknown, Refusal>>

/** Identity of the local node, and the timing and limits of a connection. */
export interface ConnectionSettings {
  readonly node: string
  readonly zone: string
  readonly heartbeatMs: number
  /** Time without a received frame, ping or pong after which the connection is closed. */
  readonly silenceMs: number
  /** Maximum number of requests in flight in each direction. */
  readonly openRequests: number
  /** Called with an unexpected error of the handler, which fails only its own request. */
  readonly onHandlerError?: (failure: HandlerFailure) => void
}

/** An unexpected error in the handling of a peer's request. */
export interface HandlerFailure {
  readonly kind: MessageKind
  /** Name of the peer. */
  readonly from: string
  readonly error: unknown
}

/** Traffic counters of a connection. */
export interface FrameCounts {
  framesSent: number
  framesReceived: number
  bytesSent: number
  bytesReceived: number
  /** The part of `bytesSent` that is due to requests of callers and operators, and to the answers to such requests. */
  requestBytesSent: number
  /** The same part of `bytesReceived`. */
  requestBytesReceived: number
  /** Answers that arrived after their request had timed out, or whose id matches no request. */
  strayAnswers: number
  /** Frames and requests that could not be decoded. */
  malformed: number
}

interface PendingRequest {
  readonly kind: MessageKind
  readonly resolve: (result: Result<unknown, Refusal>) => void
  readonly timer: NodeJS.Timeout
}

/**
 * Kinds of request that count as traffic of callers and operators. Notice and Lookup, which packages/control sends on behalf of
 * callers, are not included.
 */
const CALLER_KINDS: ReadonlySet<unknown> = new Set([
  MessageKind.Call, MessageKind.Submit, MessageKind.Status, MessageKind.Cancel,
  MessageKind.Explain, MessageKind.DryRun, MessageKind.Survey, MessageKind.Drain, MessageKind.Evacuate, MessageKind.Abandon
])

/** Bytes that may be buffered in the socket before new requests are refused. */
const MAX_SEND_BUFFER_BYTES = 8 * 1024 * 1024

/** Number of heartbeat intervals that count as silence for one heartbeat, however late it is. */
const MAX_HEARTBEAT_DELAY_FACTOR = 2

/** Retry delay if a request is refused because too many are in flight. */
const RETRY_AFTER_MS = 100

/** A connection on which both ends have exchanged hello frames. */
export class Connection {
  readonly frameCounts = createFrameCounts()
  /** Time of the last request in either direction, on the monotonic clock in milliseconds. */
  lastUsedAtMs = performance.now()
  private readonly pendingRequests = new Map<number, PendingRequest>()
  private readonly closeListeners: Array<() => void> = []
  private nextId = 1
  /** Number of requests of the peer that the handler is working on. */
  private incomingRequests = 0
  private readonly peerClock = new PeerClock()
  /** How long nothing was received, as far as this process was running. */
  private silentForMs = 0
  private heartbeatCheckedAtMs = performance.now()
  /** True once the peer has announced that it takes no new requests. */
  private peerIsLeaving = false
  private isClosed = false
  private readonly heartbeatTimer: NodeJS.Timeout

  private constructor (
    private readonly socket: WebSocket,
    readonly peer: Hello,
    private readonly settings: ConnectionSettings,
    private readonly handler: Handler
  ) {
    if (peer.clock !== undefined) this.peerClock.update(peer.clock)
    this.heartbeatTimer = setInterval(() => { this.checkHeartbeat() }, settings.heartbeatMs)
    socket.on('message', (data: Buffer) => { this.handleFrame(data) })
    socket.on('pong', () => { this.silentForMs = 0 })
    socket.on('ping', (data: Buffer) => { this.handlePing(data) })
    socket.on('close', () => { this.handleClose() })
    socket.on('error', () => { socket.terminate() })
  }

  /**
   * Exchanges hello frames on a new socket. The socket may still be connecting. No frame is lost, because the listeners are added
   * before it opens.
   *
   * @param socket a WebSocket, open or connecting
   * @param settings name, timing and limits of the local end
   * @param handler handles the requests of the peer
   * @returns the connection, or a message that says why it could not be opened
   *
   * @example
   * const connection = await Connection.open(socket, settings, handler)
   */
  static async open (socket: WebSocket, settings: ConnectionSettings, handler: Handler): Promise<Result<Connection, string>> {
    if (socket.readyState === socket.OPEN) sendHello(socket, settings)
    else socket.once('open', () => { sendHello(socket, settings) })
    // The connection is created inside the listener for the hello frame. Frames that follow in the same chunk are emitted right
    // after it, so the listeners of the connection must exist by then.
    const opened = await receiveHello(socket, settings.silenceMs, (peer) => new Connection(socket, peer, settings, handler))
    if (opened.isErr()) socket.terminate()
    return opened
  }

  /** Returns false once the connection is closed or the peer takes no new requests. */
  isUsable (): boolean {
    return !this.isClosed && !this.peerIsLeaving
  }

  /** Calls the listener when the connection is closed, or at once if it already is. */
  onClose (listener: () => void): void {
    if (this.isClosed) listener()
    else this.closeListeners.push(listener)
  }

  /** Returns the number of requests in flight in both directions. */
  countInFlight (): number {
    return this.pendingRequests.size + this.incomingRequests
  }

  /**
   * Sends a request and waits for its answer.
   *
   * @param request the request
   * @param timeoutMs how long to wait for the answer
   * @param validMs how long the request is valid: a peer that comes to it later refuses it with Execution.NotRun. Without it the
   *   peer handles the request whenever it comes to it
   * @returns the value; or a refusal, with Execution.Unknown if the request was sent and no answer arrived
   *
   * @example
   * const answer = await connection.ask({ kind: MessageKind.Watch, shard }, 500)
   */
  ask (request: Request, timeoutMs: number, validMs?: number): Promise<Result<unknown, Refusal>> {
    this.lastUsedAtMs = performance.now()
    if (!this.isUsable()) {
      return Promise.resolve(err(refuse(Reason.ConnectionLost, 'The connection is closed or the peer takes no new requests.', 0)))
    }
    const notAfter = validMs === undefined ? undefined : this.peerClock.after(validMs)
    if (validMs !== undefined && notAfter === undefined) {
      return Promise.resolve(err(refuse(Reason.ConnectionLost, `The clocks of node ${this.peer.node} are unknown.`, 0)))
    }
    if (this.pendingRequests.size >= this.settings.openRequests || this.socket.bufferedAmount > MAX_SEND_BUFFER_BYTES) {
      return Promise.resolve(err(
        refuse(Reason.QueueFull, `Too many requests to node ${this.peer.node} are in flight.`, RETRY_AFTER_MS)
      ))
    }
    return new Promise((resolve) => {
      const id = this.nextId++
      const timer = setTimeout(() => {
        this.pendingRequests.delete(id)
        resolve(err(connectionLost(`Node ${this.peer.node} did not answer in time.`)))
      }, timeoutMs)
      this.pendingRequests.set(id, { kind: request.kind, resolve, timer })
      this.send(notAfter === undefined ? { frame: 'ask', id, request } : { frame: 'ask', id, request, notAfter }, request.kind)
    })
  }

  /** Tells the peer to send no new requests. Requests in flight continue. */
  leave (): void {
    if (!this.isClosed) this.send({ frame: 'leave', drained: false })
  }

  /** Closes the connection. Requests in flight fail with Execution.Unknown. */
  close (): void {
    this.socket.terminate()
    this.handleClose()
  }

  /**
   * Pings the peer; closes the connection if nothing was received for `silenceMs`. Time by which this check itself is late does not
   * count: this process was blocked then, and what the peer has sent meanwhile is only received after the check.
   */
  private checkHeartbeat (): void {
    const nowMs = performance.now()
    this.silentForMs += Math.min(nowMs - this.heartbeatCheckedAtMs, MAX_HEARTBEAT_DELAY_FACTOR * this.settings.heartbeatMs)
    this.heartbeatCheckedAtMs = nowMs
    if (this.silentForMs > this.settings.silenceMs) {
      this.close()
      return
    }
    if (this.socket.readyState === this.socket.OPEN) this.socket.ping(encodeReading(readClocks()))
  }

  private handlePing (data: Buffer): void {
    this.silentForMs = 0
    const reading = decodeReading(data)
    if (reading !== undefined) this.peerClock.update(reading)
  }

  private send (frame: Frame, kind?: unknown): void {
    const bytes = encodeFrame(frame)
    if (CALLER_KINDS.has(kind)) this.frameCounts.requestBytesSent += bytes.length
    this.frameCounts.framesSent++
    this.frameCounts.bytesSent += bytes.length
    this.socket.send(bytes, () => {})
  }

  private handleFrame (data: Buffer): void {
    this.silentForMs = 0
    this.frameCounts.framesReceived++
    this.frameCounts.bytesReceived += data.length
    const frame = decodeFrame(data)
    if (frame.isErr()) {
      this.frameCounts.malformed++
      this.close()
      return
    }
    if (CALLER_KINDS.has(this.findKind(frame.value))) this.frameCounts.requestBytesReceived += data.length
    switch (frame.value.frame) {
      case 'ask':
        this.handleRequest(frame.value)
        return
      case 'answer':
        this.handleAnswer(frame.value)
        return
      case 'leave':
        this.peerIsLeaving = true
    }
  }

  /** Returns the kind of the request that a received frame belongs to. */
  private findKind (frame: Frame): unknown {
    if (frame.frame === 'ask') return (frame.request as { kind?: unknown } | null)?.kind
    return frame.frame === 'answer' ? this.pendingRequests.get(frame.id)?.kind : undefined
  }

  private handleAnswer (answer: Answer): void {
    const pending = this.pendingRequests.get(answer.id)
    if (pending === undefined) {
      this.frameCounts.strayAnswers++
      return
    }
    this.pendingRequests.delete(answer.id)
    clearTimeout(pending.timer)
    pending.resolve(answer.refusal ? err(answer.refusal) : ok(answer.value))
  }

  private async handleRequest (ask: Ask): Promise<void> {
    const result = await this.runHandler(ask)
    if (this.isClosed) return
    const kind = this.findKind(ask)
    if (result.isOk()) this.send({ frame: 'answer', id: ask.id, value: result.value }, kind)
    else this.send({ frame: 'answer', id: ask.id, refusal: result.error }, kind)
  }

  private async runHandler (ask: Ask): Promise<Result<unknown, Refusal>> {
    this.lastUsedAtMs = performance.now()
    if (ask.notAfter !== undefined && hasPassed(ask.notAfter)) {
      return err(refuse(Reason.DeadlinePassed, 'The request has waited too long at this node.', 0))
    }
    const request = decodeRequest(ask.request)
    if (request.isErr()) {
      this.frameCounts.malformed++
      return err(refuse(Reason.Malformed, request.error))
    }
    if (this.incomingRequests >= this.settings.openRequests) {
      return err(refuse(Reason.QueueFull, 'This node has too many requests in flight.', RETRY_AFTER_MS))
    }
    this.incomingRequests++
    try {
      return await this.handler(request.value, this.peer.node)
    } catch (error) {
      this.settings.onHandlerError?.({ kind: request.value.kind, from: this.peer.node, error })
      return err({
        reason: Reason.Internal,
        detail: `An unexpected error ended a request of kind ${request.value.kind}. The log of the node has the error.`,
        execution: Execution.Unknown,
        retryAfterMs: 0
      })
    } finally {
      this.incomingRequests--
    }
  }

  private handleClose (): void {
    if (this.isClosed) return
    this.isClosed = true
    clearInterval(this.heartbeatTimer)
    for (const pending of this.pendingRequests.values()) {
      clearTimeout(pending.timer)
      pending.resolve(err(connectionLost(`The connection to node ${this.peer.node} was lost.`)))
    }
    this.pendingRequests.clear()
    for (const listener of this.closeListeners) listener()
  }
}

/**
 * Creates traffic counters that are all zero.
 *
 * @returns the counters
 *
 * @example
 * const counts = createFrameCounts()
 */
export function createFrameCounts (): FrameCounts {
  return {
    framesSent: 0,
    framesReceived: 0,
    bytesSent: 0,
    bytesReceived: 0,
    requestBytesSent: 0,
    requestBytesReceived: 0,
    strayAnswers: 0,
    malformed: 0
  }
}

/** A refusal of a request that was sent and not answered: it may have been executed. */
function connectionLost (detail: string): Refusal {
  return { reason: Reason.ConnectionLost, detail, execution: Execution.Unknown, retryAfterMs: 0 }
}

function sendHello (socket: WebSocket, { node, zone }: ConnectionSettings): void {
  socket.send(encodeFrame({ frame: 'hello', version: PROTOCOL_VERSION, node, zone, clock: readClocks() }))
}

function receiveHello<T> (socket: WebSocket, timeoutMs: number, accept: (hello: Hello) => T): Promise<Result<T, string>> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => { finish(err('The peer did not send a hello frame in time.')) }, timeoutMs)
    socket.once('message', onMessage)
    socket.once('close', onClose)
    socket.once('error', onError)
    function onMessage (data: Buffer): void {
      const frame = decodeFrame(data)
      if (frame.isErr()) return finish(err(frame.error))
      if (frame.value.frame !== 'hello') return finish(err('The first frame is not a hello frame.'))
      if (frame.value.version !== PROTOCOL_VERSION) {
        return finish(err(`The peer uses protocol version ${frame.value.version}; this node uses ${PROTOCOL_VERSION}.`))
      }
      finish(ok(accept(frame.value)))
    }
    function onClose (): void {
      finish(err('The peer closed the connection before it sent a hello frame.'))
    }
    function onError (error: Error): void {
      finish(err(error.message))
    }
    function finish (result: Result<T, string>): void {
      clearTimeout(timer)
      // The error listener stays: terminating a socket that is still connecting emits an error, which must not be thrown.
      socket.off('message', onMessage)
      socket.off('close', onClose)
      resolve(result)
    }
  })
}
