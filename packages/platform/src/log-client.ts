/**
 * The client of the platform's log service.
 */
import { err, ok, type Result } from 'neverthrow'
import { Channel, type Answer, type Interruption } from './channel.js'
import { Log, LogFailure, type LogError, type LogPage } from './log.js'
import { AppendedCodec, ExpiredCodec, LogPageCodec, NODE_HEADER } from './messages.js'
import type { Traffic } from './traffic.js'

/** Time for an answer, beyond what a read is held open. */
const TIMEOUT_MS = 2_000

/** Most connections for reads, most of which are held open. */
const READ_CONNECTIONS = 32

/** Most connections for appends. */
const APPEND_CONNECTIONS = 4

/** Settings of the client. */
export interface RemoteLogOptions {
  /** IP address and port of the service. */
  readonly address: string
  /** Name of this node. */
  readonly node: string
  /** Time for an answer, beyond what a read is held open. */
  readonly timeoutMs?: number
}

/** The log service over HTTP. */
export class RemoteLog extends Log {
  private readonly appends: Channel
  private readonly reads: Channel
  private readonly timeoutMs: number
  private appended = 0

  /** @param options settings */
  constructor (options: RemoteLogOptions) {
    super()
    const headers = { [NODE_HEADER]: options.node }
    this.appends = new Channel(options.address, { connections: APPEND_CONNECTIONS, headers })
    this.reads = new Channel(options.address, { connections: READ_CONNECTIONS, headers })
    this.timeoutMs = options.timeoutMs ?? TIMEOUT_MS
  }

  async append (stream: string, data: unknown): Promise<Result<number, LogError>> {
    const answer = await this.appends.call({
      method: 'POST',
      path: createPath(stream),
      timeoutMs: this.timeoutMs,
      message: { data }
    })
    const appended = answer.mapErr(classify).andThen(parseAppended)
    if (appended.isOk()) this.appended += 1
    return appended
  }

  async read (stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Result<LogPage, LogError>> {
    const answer = await this.reads.call({
      method: 'GET',
      path: `${createPath(stream)}?from=${from}&waitMs=${waitMs}`,
      timeoutMs: waitMs + this.timeoutMs,
      signal
    })
    return answer.mapErr(classify).andThen(parsePage)
  }

  /** @returns how many records the log has taken from this client */
  appendCount (): number {
    return this.appended
  }

  /** @returns the bytes sent and received so far */
  traffic (): Traffic {
    const appends = this.appends.traffic()
    const reads = this.reads.traffic()
    return { sent: appends.sent + reads.sent, received: appends.received + reads.received }
  }

  /** Closes the connections. Calls in progress fail. */
  async close (): Promise<void> {
    await Promise.all([this.appends.close(), this.reads.close()])
  }
}

function createPath (stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/records`
}

function classify (interruption: Interruption): LogError {
  const { sent, detail } = interruption
  return { failure: sent ? LogFailure.Unknown : LogFailure.Refused, detail }
}

function parseAppended (answer: Answer): Result<number, LogError> {
  const { status, body } = answer
  if (status === 429) return fail(LogFailure.Throttled, 'Over the appends a second that the log takes.')
  if (status === 503) return fail(LogFailure.Refused, 'The log is unavailable.')
  if (status >= 400 && status < 500) return fail(LogFailure.Refused, `The log refused the record with status ${status}.`)
  const appended = AppendedCodec.decode(body)
  if (status !== 201 || appended.isLeft()) return fail(LogFailure.Unknown, `The log gave no offset, with status ${status}.`)
  return ok(appended.unsafeCoerce().offset)
}

function parsePage (answer: Answer): Result<LogPage, LogError> {
  const { status, body } = answer
  if (status === 410) return parseExpired(body)
  if (status === 503) return fail(LogFailure.Refused, 'The log is unavailable.')
  const page = LogPageCodec.decode(body)
  if (status !== 200 || page.isLeft()) return fail(LogFailure.Unknown, `The log gave no page, with status ${status}.`)
  return ok(page.unsafeCoerce())
}

function parseExpired (body: unknown): Result<never, LogError> {
  const expired = ExpiredCodec.decode(body)
  if (expired.isLeft()) return fail(LogFailure.Unknown, 'The log did not say which offset it retains.')
  const detail = 'The offset is older than the retention.'
  return err({ failure: LogFailure.Expired, detail, earliest: expired.unsafeCoerce().earliest })
}

function fail (failure: LogFailure, detail: string): Result<never, LogError> {
  return err({ failure, detail })
}
