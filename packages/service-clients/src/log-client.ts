/**
 * The client of the platform's log service.
 */
import { err, ok, type Result } from 'neverthrow'
import { Channel, type HttpResponse, type HttpCallError } from './channel.js'
import { Log, LogFailure, type LogError, type LogPage } from './log.js'
import { AppendedCodec, ExpiredCodec, LogPageCodec, NODE_HEADER } from './messages.js'
import type { ByteCounts } from './byte-counts.js'

/** Timeout of an append; for a read, added to the time for which the service holds it open. */
const CALL_TIMEOUT_MS = 2_000

/** A read that the service holds open occupies its connection, so there must be one for each stream that is followed. */
const MAX_READ_CONNECTIONS = 32

const MAX_APPEND_CONNECTIONS = 4

/** Options of the client. */
export interface RemoteLogOptions {
  /** IP address and port of the service. */
  readonly address: string
  /** Name of this node. */
  readonly node: string
  /** Timeout of a call; for a read, added to the time for which the service holds it open. */
  readonly timeoutMs?: number
}

/** The log service over HTTP. */
export class RemoteLog extends Log {
  private readonly appends: Channel
  private readonly reads: Channel
  private readonly timeoutMs: number
  private appendedCount = 0

  /** @param options address, node and timeout */
  constructor (options: RemoteLogOptions) {
    super()
    const headers = { [NODE_HEADER]: options.node }
    this.appends = new Channel(options.address, { connections: MAX_APPEND_CONNECTIONS, headers })
    this.reads = new Channel(options.address, { connections: MAX_READ_CONNECTIONS, headers })
    this.timeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS
  }

  async append (stream: string, data: unknown): Promise<Result<number, LogError>> {
    const response = await this.appends.call({
      method: 'POST',
      path: createPath(stream),
      timeoutMs: this.timeoutMs,
      body: { data }
    })
    const appended = response.mapErr(toLogError).andThen(parseOffset)
    if (appended.isOk()) this.appendedCount += 1
    return appended
  }

  async read (stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Result<LogPage, LogError>> {
    const response = await this.reads.call({
      method: 'GET',
      path: `${createPath(stream)}?from=${from}&waitMs=${waitMs}`,
      timeoutMs: waitMs + this.timeoutMs,
      signal
    })
    return response.mapErr(toLogError).andThen(parsePage)
  }

  /** @returns the number of appends that the service confirmed to this client */
  appendCount (): number {
    return this.appendedCount
  }

  /** @returns the bytes sent and received so far */
  traffic (): ByteCounts {
    const appends = this.appends.traffic()
    const reads = this.reads.traffic()
    return { sent: appends.sent + reads.sent, received: appends.received + reads.received }
  }

  /** Closes the connections. Calls in flight fail. */
  async close (): Promise<void> {
    await Promise.all([this.appends.close(), this.reads.close()])
  }
}

function createPath (stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/records`
}

function toLogError (error: HttpCallError): LogError {
  const { sent, detail } = error
  return { failure: sent ? LogFailure.Unknown : LogFailure.Refused, detail }
}

function parseOffset (response: HttpResponse): Result<number, LogError> {
  const { status, body } = response
  if (status === 429) return fail(LogFailure.Throttled, 'The log throttled the append: too many appends per second.')
  if (status === 503) return fail(LogFailure.Refused, 'The log is unavailable.')
  if (status >= 400 && status < 500) return fail(LogFailure.Refused, `The log refused the record with status ${status}.`)
  const appended = AppendedCodec.decode(body)
  if (status !== 201 || appended.isLeft()) return fail(LogFailure.Unknown, `The log returned no offset, with status ${status}.`)
  return ok(appended.unsafeCoerce().offset)
}

function parsePage (response: HttpResponse): Result<LogPage, LogError> {
  const { status, body } = response
  if (status === 410) return parseExpired(body)
  if (status === 503) return fail(LogFailure.Refused, 'The log is unavailable.')
  const page = LogPageCodec.decode(body)
  if (status !== 200 || page.isLeft()) return fail(LogFailure.Unknown, `The log returned no page, with status ${status}.`)
  return ok(page.unsafeCoerce())
}

function parseExpired (body: unknown): Result<never, LogError> {
  const expired = ExpiredCodec.decode(body)
  if (expired.isLeft()) return fail(LogFailure.Unknown, 'The log reported an expired offset without the oldest retained one.')
  const detail = 'The offset is older than the oldest retained record.'
  return err({ failure: LogFailure.Expired, detail, earliest: expired.unsafeCoerce().earliest })
}

function fail (failure: LogFailure, detail: string): Result<never, LogError> {
  return err({ failure, detail })
}
