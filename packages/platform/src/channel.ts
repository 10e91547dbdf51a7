/**
 * HTTP calls to one address, with a deadline each, that tell whether the call left this process.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { buildConnector, Pool, type Dispatcher } from 'undici'
import { Meter, type Traffic } from './traffic.js'

/** Time in which a connection must be opened. */
const CONNECT_TIMEOUT_MS = 1_000

/** Most bytes of an answer's body. */
const ANSWER_LIMIT_BYTES = 32_000_000

/** Settings of a channel. */
export interface ChannelOptions {
  /** Most connections at once. */
  readonly connections: number
  /** Sent with every call. */
  readonly headers?: Readonly<Record<string, string>>
}

/** One call. */
export interface Exchange {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly timeoutMs: number
  /** A JSON value. */
  readonly message?: unknown
  readonly headers?: Readonly<Record<string, string>>
  readonly signal?: AbortSignal
}

/** A whole answer. */
export interface Answer {
  readonly status: number
  /** The entity tag; undefined if the answer has none. */
  readonly etag?: string
  /** The JSON value; undefined if the body is none. */
  readonly body: unknown
}

/** A call without a whole answer. */
export interface Interruption {
  /** Whether the call may have reached the other end. */
  readonly sent: boolean
  /** Whether the deadline passed: the connections may have gone silent. */
  readonly timedOut: boolean
  readonly detail: string
}

/** Connections to one address. */
export class Channel {
  private readonly meter = new Meter()
  private pool: Pool

  /**
   * @param address IP address and port
   * @param options settings
   */
  constructor (private readonly address: string, private readonly options: ChannelOptions) {
    this.pool = this.createPool()
  }

  /**
   * Makes one call. After a call that timed out, later calls use new connections: the old ones may have gone silent.
   *
   * @param exchange the call
   * @returns the whole answer, or how far the call got
   *
   * @example
   * const answer = await channel.call({ method: 'GET', path: '/vms', timeoutMs: 2_000 })
   */
  async call (exchange: Exchange): Promise<Result<Answer, Interruption>> {
    const { pool } = this
    const answer = await dispatch(pool, exchange, this.options.headers)
    if (answer.isErr() && answer.error.timedOut && pool === this.pool) this.refresh()
    return answer
  }

  /** Uses new connections from now on. Calls in progress on the old ones end by themselves or at their deadlines. */
  refresh (): void {
    this.pool.close().catch(() => undefined)
    this.pool = this.createPool()
  }

  /** @returns the bytes sent and received so far */
  traffic (): Traffic {
    return this.meter.total()
  }

  /** Breaks all connections. Calls in progress are interrupted. */
  async close (): Promise<void> {
    await this.pool.destroy()
  }

  private createPool (): Pool {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
    return new Pool(`http://${this.address}`, {
      connections: this.options.connections,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) => {
        connect(options, (...outcome) => {
          if (outcome[0] === null) this.meter.add(outcome[1])
          callback(...outcome)
        })
      }
    })
  }
}

function dispatch (
  pool: Pool,
  exchange: Exchange,
  headers?: Readonly<Record<string, string>>
): Promise<Result<Answer, Interruption>> {
  const body = exchange.message === undefined ? undefined : JSON.stringify(exchange.message)
  const json = body === undefined ? undefined : { 'content-type': 'application/json' }
  return new Promise((resolve) => {
    const reception = new Reception(exchange, resolve)
    if (reception.ended) return
    pool.dispatch({
      path: exchange.path,
      method: exchange.method,
      headers: { ...headers, ...exchange.headers, ...json },
      body,
      headersTimeout: 0,
      bodyTimeout: 0
    }, reception)
  })
}

/** Receives the answer of one call. */
class Reception implements Dispatcher.DispatchHandler {
  ended = false
  private sent = false
  private status = 0
  private etag: string | undefined
  private readonly chunks: Buffer[] = []
  private bytes = 0
  private readonly timer: NodeJS.Timeout
  private controller: Dispatcher.DispatchController | undefined
  private readonly onAbort = (): void => this.interrupt('The caller ended the call.', false)

  /**
   * @param exchange the call
   * @param resolve takes what becomes of it
   */
  constructor (private readonly exchange: Exchange, private readonly resolve: (result: Result<Answer, Interruption>) => void) {
    const { timeoutMs, signal } = exchange
    this.timer = setTimeout(() => this.interrupt(`No answer within ${timeoutMs} ms.`, true), timeoutMs)
    signal?.addEventListener('abort', this.onAbort, { once: true })
    if (signal?.aborted) this.onAbort()
  }

  /** The call is about to be written to a connection. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.ended) {
      controller.abort(new Error('The call ended before it was sent.'))
      return
    }
    this.controller = controller
    this.sent = true
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this.status = status
    this.etag = headers.etag
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.bytes += chunk.length
    if (this.bytes > ANSWER_LIMIT_BYTES) {
      this.interrupt(`The answer is larger than ${ANSWER_LIMIT_BYTES} bytes.`, false)
      return
    }
    this.chunks.push(chunk)
  }

  onResponseEnd (): void {
    const body = parseBody(this.chunks)
    this.end(ok({ status: this.status, etag: this.etag, body }))
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.end(err({ sent: this.sent, timedOut: false, detail: error.message }))
  }

  private interrupt (detail: string, timedOut: boolean): void {
    const { sent } = this
    this.end(err({ sent, timedOut, detail }))
    this.controller?.abort(new Error(detail))
  }

  private end (result: Result<Answer, Interruption>): void {
    if (this.ended) return
    this.ended = true
    clearTimeout(this.timer)
    this.exchange.signal?.removeEventListener('abort', this.onAbort)
    this.resolve(result)
  }
}

function parseBody (chunks: readonly Buffer[]): unknown {
  const [first] = chunks
  if (first === undefined) return undefined
  const bytes = chunks.length === 1 ? first : Buffer.concat(chunks)
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch {
    return undefined
  }
}
