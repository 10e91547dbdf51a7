/**
 * HTTP calls to one address, each with a timeout. A failed call reports whether its request may have been sent.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { buildConnector, Pool, type Dispatcher } from 'undici'
import { Meter, type ByteCounts } from './byte-counts.js'

const CONNECT_TIMEOUT_MS = 1_000

/** Bounds the memory that one response body can take. */
const MAX_RESPONSE_BYTES = 32_000_000

/** Options of a channel. */
export interface ChannelOptions {
  /**
   * Maximum number of connections of the current pool. Replaced connections on which calls are still in flight are not
   * counted.
   */
  readonly connections: number
  /** Headers that are sent with every call. */
  readonly headers?: Readonly<Record<string, string>>
}

/** One HTTP call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly timeoutMs: number
  /** Body of the request: a JSON value. */
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
  readonly signal?: AbortSignal
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number
  /** The entity tag; undefined if the response has no such header. */
  readonly etag?: string
  /** The parsed JSON value; undefined if there is no body or if it is not valid JSON. */
  readonly body: unknown
}

/** A call that got no complete response. */
export interface HttpCallError {
  /** Whether the request may have reached the server. */
  readonly sent: boolean
  /** Whether the call timed out, which may mean that the connections are dead. */
  readonly timedOut: boolean
  readonly detail: string
}

/** A pool of connections to one address. */
export class Channel {
  private readonly meter = new Meter()
  private pool: Pool

  /**
   * @param address IP address and port
   * @param options headers and limits
   */
  constructor (private readonly address: string, private readonly options: ChannelOptions) {
    this.pool = this.createPool()
  }

  /**
   * Makes one call. After a timeout, later calls use new connections, because the old ones may be dead without having
   * been closed.
   *
   * @param call the call
   * @returns the complete response, or an error that says whether the request may have been sent
   *
   * @example
   * const response = await channel.call({ method: 'GET', path: '/vms', timeoutMs: 2_000 })
   */
  async call (call: HttpCall): Promise<Result<HttpResponse, HttpCallError>> {
    const { pool } = this
    const response = await dispatch(pool, call, this.options.headers)
    if (response.isErr() && response.error.timedOut && pool === this.pool) this.replaceConnections()
    return response
  }

  /** Opens new connections for later calls. Calls in flight on the old connections complete or time out there. */
  replaceConnections (): void {
    this.pool.close().catch(() => undefined)
    this.pool = this.createPool()
  }

  /** @returns the bytes sent and received so far */
  traffic (): ByteCounts {
    return this.meter.total()
  }

  /** Closes all connections. Calls in flight fail. */
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
        connect(options, (...result) => {
          if (result[0] === null) this.meter.add(result[1])
          callback(...result)
        })
      }
    })
  }
}

function dispatch (
  pool: Pool,
  call: HttpCall,
  headers?: Readonly<Record<string, string>>
): Promise<Result<HttpResponse, HttpCallError>> {
  const body = call.body === undefined ? undefined : JSON.stringify(call.body)
  const json = body === undefined ? undefined : { 'content-type': 'application/json' }
  return new Promise((resolve) => {
    const handler = new ResponseHandler(call, resolve)
    if (handler.settled) return
    pool.dispatch({
      path: call.path,
      method: call.method,
      headers: { ...headers, ...call.headers, ...json },
      body,
      headersTimeout: 0,
      bodyTimeout: 0
    }, handler)
  })
}

/** Collects the response of one call and settles the call once. */
class ResponseHandler implements Dispatcher.DispatchHandler {
  settled = false
  private sent = false
  private status = 0
  private etag: string | undefined
  private readonly chunks: Buffer[] = []
  private bytes = 0
  private readonly timer: NodeJS.Timeout
  private controller: Dispatcher.DispatchController | undefined
  private readonly onCallerAbort = (): void => this.abort('The caller aborted the call.', false)

  /**
   * @param call the call
   * @param resolve receives the response or the error
   */
  constructor (private readonly call: HttpCall, private readonly resolve: (result: Result<HttpResponse, HttpCallError>) => void) {
    const { timeoutMs, signal } = call
    this.timer = setTimeout(() => this.abort(`No response within ${timeoutMs} ms.`, true), timeoutMs)
    signal?.addEventListener('abort', this.onCallerAbort, { once: true })
    if (signal?.aborted) this.onCallerAbort()
  }

  /** Called before the request is written to a connection: from here on it may reach the server. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.settled) {
      controller.abort(new Error('The call was aborted or timed out before it was sent.'))
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
    if (this.bytes > MAX_RESPONSE_BYTES) {
      this.abort(`The response is larger than ${MAX_RESPONSE_BYTES} bytes.`, false)
      return
    }
    this.chunks.push(chunk)
  }

  onResponseEnd (): void {
    const body = parseBody(this.chunks)
    this.settle(ok({ status: this.status, etag: this.etag, body }))
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.settle(err({ sent: this.sent, timedOut: false, detail: error.message }))
  }

  private abort (detail: string, timedOut: boolean): void {
    const { sent } = this
    this.settle(err({ sent, timedOut, detail }))
    this.controller?.abort(new Error(detail))
  }

  private settle (result: Result<HttpResponse, HttpCallError>): void {
    if (this.settled) return
    this.settled = true
    clearTimeout(this.timer)
    this.call.signal?.removeEventListener('abort', this.onCallerAbort)
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
