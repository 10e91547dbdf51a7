/**
 * One connection between two daemons: heartbeats of its own, requests with ids, and answers.
 */
import { err, ok, type Result } from 'neverthrow'
import type { WebSocket } from 'ws'
import { decodeFrame, decodeRequest, encodeFrame } from './frame.js'
import { Kind, PROTOCOL_VERSION, type Answer, type Ask, type Frame, type Hello, type Request } from './message.js'
import { Execution, Reason, refuse, type Refusal } from './refusal.js'

/** Answers the requests of the other end. `from` is the other node's name. */
export type Handler = (request: Request, from: string) => Promise<Result<unknown, Refusal>>

/** Who speaks on a connection, and its bounds. */
export interface Terms {
  readonly node: string
  readonly zone: string
  readonly heartbeatMs: number
  /** Silence after which the connection is closed. */
  readonly silenceMs: number
  /** Most requests that may be open in each direction. */
  readonly openRequests: number
}

/** Totals of a connection. */
export interface Traffic {
  framesSent: number
  framesReceived: number
  bytesSent: number
  bytesReceived: number
  /** Part of `bytesSent` that carries callers' requests and their answers. */
  requestBytesSent: number
  requestBytesReceived: number
  /** Answers that came after their request had timed out, or that belong to none. */
  strayAnswers: number
  malformed: number
}

interface Pending {
  readonly kind: Kind
  readonly resolve: (result: Result<unknown, Refusal>) => void
  readonly timer: NodeJS.Timeout
}

/** Kinds that carry what callers and operators asked for. */
const REQUEST_KINDS: ReadonlySet<unknown> = new Set([
  Kind.Call, Kind.Submit, Kind.Status, Kind.Cancel, Kind.Explain, Kind.Survey, Kind.Drain, Kind.Abandon
])

/** Bytes that may wait in the socket before requests are refused. */
const SEND_BUFFER_BYTES = 8 * 1024 * 1024

/** A connection after both ends have said hello. */
export class Connection {
  readonly traffic = createTraffic()
  /** Time of the last request in either direction, on the monotonic clock in milliseconds. */
  usedAtMs = performance.now()
  private readonly pending = new Map<number, Pending>()
  private readonly closed: Array<() => void> = []
  private nextId = 1
  private serving = 0
  private heardAtMs = performance.now()
  private leaving = false
  private over = false
  private readonly heartbeat: NodeJS.Timeout

  private constructor (
    private readonly socket: WebSocket,
    readonly peer: Hello,
    private readonly terms: Terms,
    private readonly handler: Handler
  ) {
    this.heartbeat = setInterval(() => { this.beat() }, terms.heartbeatMs)
    socket.on('message', (data: Buffer) => { this.receive(data) })
    socket.on('pong', () => { this.heardAtMs = performance.now() })
    socket.on('ping', () => { this.heardAtMs = performance.now() })
    socket.on('close', () => { this.finish() })
    socket.on('error', () => { socket.terminate() })
  }

  /**
   * Exchanges hellos on a fresh socket. A socket that is still connecting is taken too, so that no frame is missed.
   *
   * @param socket a WebSocket, open or connecting
   * @param terms this end's name and bounds
   * @param handler answers the other end's requests
   * @returns the connection, or a sentence that says why there is none
   *
   * @example
   * const connection = await Connection.open(socket, terms, handler)
   */
  static async open (socket: WebSocket, terms: Terms, handler: Handler): Promise<Result<Connection, string>> {
    const hello = encodeFrame({ frame: 'hello', version: PROTOCOL_VERSION, node: terms.node, zone: terms.zone })
    if (socket.readyState === socket.OPEN) socket.send(hello)
    else socket.once('open', () => { socket.send(hello) })
    // The connection is built while the hello is delivered: frames behind it in the same chunk must find its listeners.
    const opened = await receiveHello(socket, terms.silenceMs, (peer) => new Connection(socket, peer, terms, handler))
    if (opened.isErr()) socket.terminate()
    return opened
  }

  /** False once the connection is closed, or the other end takes no new requests. */
  usable (): boolean {
    return !this.over && !this.leaving
  }

  /** Calls the listener when the connection is closed. */
  onClose (listener: () => void): void {
    if (this.over) listener()
    else this.closed.push(listener)
  }

  /** Number of requests in progress in both directions. */
  open (): number {
    return this.pending.size + this.serving
  }

  /**
   * Sends a request and waits for its answer.
   *
   * @param request the request
   * @param timeoutMs longest wait
   * @returns the value; or a refusal, with Execution.Unknown if the request was sent and no answer came
   *
   * @example
   * const answer = await connection.ask({ kind: Kind.Watch, shard }, 500)
   */
  ask (request: Request, timeoutMs: number): Promise<Result<unknown, Refusal>> {
    this.usedAtMs = performance.now()
    if (!this.usable()) return Promise.resolve(err(refuse(Reason.ConnectionLost, 'The connection is closed.', 0)))
    if (this.pending.size >= this.terms.openRequests || this.socket.bufferedAmount > SEND_BUFFER_BYTES) {
      return Promise.resolve(err(refuse(Reason.QueueFull, `Too many requests wait for node ${this.peer.node}.`, 100)))
    }
    return new Promise((resolve) => {
      const id = this.nextId++
      const timer = setTimeout(() => {
        this.pending.delete(id)
        resolve(err(lost(`Node ${this.peer.node} did not answer in time.`)))
      }, timeoutMs)
      this.pending.set(id, { kind: request.kind, resolve, timer })
      this.send({ frame: 'ask', id, request }, request.kind)
    })
  }

  /** Tells the other end to send no new requests here. Requests in progress go on. */
  leave (): void {
    if (!this.over) this.send({ frame: 'leave', drained: false })
  }

  /** Closes the connection; its open requests end with Execution.Unknown. */
  close (): void {
    this.socket.terminate()
    this.finish()
  }

  private beat (): void {
    if (performance.now() - this.heardAtMs > this.terms.silenceMs) {
      this.close()
      return
    }
    if (this.socket.readyState === this.socket.OPEN) this.socket.ping()
  }

  private send (frame: Frame, kind?: unknown): void {
    const bytes = encodeFrame(frame)
    if (REQUEST_KINDS.has(kind)) this.traffic.requestBytesSent += bytes.length
    this.traffic.framesSent++
    this.traffic.bytesSent += bytes.length
    this.socket.send(bytes, () => {})
  }

  private receive (data: Buffer): void {
    this.heardAtMs = performance.now()
    this.traffic.framesReceived++
    this.traffic.bytesReceived += data.length
    const frame = decodeFrame(data)
    if (frame.isErr()) {
      this.traffic.malformed++
      this.close()
      return
    }
    if (REQUEST_KINDS.has(this.kindOf(frame.value))) this.traffic.requestBytesReceived += data.length
    switch (frame.value.frame) {
      case 'ask':
        this.serve(frame.value)
        return
      case 'answer':
        this.settle(frame.value)
        return
      case 'leave':
        this.leaving = true
    }
  }

  /** The kind of request that a received frame belongs to. */
  private kindOf (frame: Frame): unknown {
    if (frame.frame === 'ask') return (frame.request as { kind?: unknown } | null)?.kind
    return frame.frame === 'answer' ? this.pending.get(frame.id)?.kind : undefined
  }

  private settle (answer: Answer): void {
    const pending = this.pending.get(answer.id)
    if (pending === undefined) {
      this.traffic.strayAnswers++
      return
    }
    this.pending.delete(answer.id)
    clearTimeout(pending.timer)
    pending.resolve(answer.refusal ? err(answer.refusal) : ok(answer.value))
  }

  private async serve (ask: Ask): Promise<void> {
    const result = await this.run(ask)
    if (this.over) return
    const { kind } = ask.request as { kind?: unknown }
    if (result.isOk()) this.send({ frame: 'answer', id: ask.id, value: result.value }, kind)
    else this.send({ frame: 'answer', id: ask.id, refusal: result.error }, kind)
  }

  private async run (ask: Ask): Promise<Result<unknown, Refusal>> {
    this.usedAtMs = performance.now()
    const request = decodeRequest(ask.request)
    if (request.isErr()) {
      this.traffic.malformed++
      return err(refuse(Reason.Malformed, request.error))
    }
    if (this.serving >= this.terms.openRequests) return err(refuse(Reason.QueueFull, 'This node has too many open requests.', 100))
    this.serving++
    const result = await this.handler(request.value, this.peer.node)
    this.serving--
    return result
  }

  private finish (): void {
    if (this.over) return
    this.over = true
    clearInterval(this.heartbeat)
    for (const pending of this.pending.values()) {
      clearTimeout(pending.timer)
      pending.resolve(err(lost(`The connection to node ${this.peer.node} was lost.`)))
    }
    this.pending.clear()
    for (const listener of this.closed) listener()
  }
}

/**
 * Builds totals of nothing.
 *
 * @returns the totals
 *
 * @example
 * const total = createTraffic()
 */
export function createTraffic (): Traffic {
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

function lost (detail: string): Refusal {
  return { reason: Reason.ConnectionLost, detail, execution: Execution.Unknown, retryAfterMs: 0 }
}

function receiveHello<T> (socket: WebSocket, timeoutMs: number, accept: (hello: Hello) => T): Promise<Result<T, string>> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => { end(err('The other end did not say hello in time.')) }, timeoutMs)
    socket.once('message', onMessage)
    socket.once('close', onClose)
    socket.once('error', onError)
    function onMessage (data: Buffer): void {
      const frame = decodeFrame(data)
      if (frame.isErr()) return end(err(frame.error))
      if (frame.value.frame !== 'hello') return end(err('The first frame is no hello.'))
      if (frame.value.version !== PROTOCOL_VERSION) return end(err(`The other end speaks version ${frame.value.version}.`))
      end(ok(accept(frame.value)))
    }
    function onClose (): void {
      end(err('The other end closed the connection before its hello.'))
    }
    function onError (error: Error): void {
      end(err(error.message))
    }
    function end (result: Result<T, string>): void {
      clearTimeout(timer)
      socket.off('message', onMessage)
      socket.off('close', onClose)
      resolve(result)
    }
  })
}
