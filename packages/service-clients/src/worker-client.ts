/**
 * The client of a worker.
 */
import type { Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import { Channel, type HttpResponse, type HttpCallError } from './channel.js'
import { BOOT_HEADER, EPOCH_HEADER, RequestResponseCodec, WorkerErrorCodec, WorkerReportCodec } from './messages.js'
import type { ByteCounts } from './byte-counts.js'
import { Worker, WorkerFailure, type Adoption, type TaskStart, type WorkerError, type WorkerReport, type WorkerRequest } from './worker.js'

/** Maximum number of connections that a worker accepts, from all nodes together. One client must stay within it. */
export const MAX_WORKER_CONNECTIONS = 64

/** Connections for commands other than renewals. */
const COMMAND_CONNECTIONS = 2

/** Connections for renewals. The worker holds a renewal open, so it must not block other commands. */
const RENEW_CONNECTIONS = 1

const REQUEST_CONNECTIONS = 8

/** Timeout of a command; for a renewal, added to the time for which the worker holds it open. */
const COMMAND_TIMEOUT_MS = 1_000

/**
 * The failures that a worker may report, with the status of each. Each of these failures tells whether the command or request
 * took effect; any other response that is not a success leaves it unknown.
 */
const FAILURE_STATUS: Readonly<Partial<Record<WorkerFailure, number>>> = {
  [WorkerFailure.StaleEpoch]: 409,
  [WorkerFailure.Full]: 409,
  [WorkerFailure.Refused]: 422,
  [WorkerFailure.Failed]: 500
}

/** Options of the client. */
export interface RemoteWorkerOptions {
  /** IP address and port of the worker. */
  readonly address: string
  /** Maximum number of requests in flight. Further requests wait for a connection until their deadlines. */
  readonly requestConnections?: number
  /** Timeout of a command; for a renewal, added to the time for which the worker holds it open. */
  readonly timeoutMs?: number
}

/** A worker over HTTP. Renewals, other commands and requests use separate connections. */
export class RemoteWorker extends Worker {
  private readonly renewals: Channel
  private readonly commands: Channel
  private readonly requests: Channel
  private readonly timeoutMs: number

  /** @param options address, limits and timeout */
  constructor (options: RemoteWorkerOptions) {
    super()
    const { address, requestConnections = REQUEST_CONNECTIONS } = options
    const maxRequests = MAX_WORKER_CONNECTIONS - RENEW_CONNECTIONS - COMMAND_CONNECTIONS
    if (requestConnections > maxRequests) throw new RangeError(`A worker allows at most ${maxRequests} request connections.`)
    this.renewals = new Channel(address, { connections: RENEW_CONNECTIONS })
    this.commands = new Channel(address, { connections: COMMAND_CONNECTIONS })
    this.requests = new Channel(address, { connections: requestConnections })
    this.timeoutMs = options.timeoutMs ?? COMMAND_TIMEOUT_MS
  }

  async adopt (epoch: Epoch, leaseMs: number): Promise<Result<WorkerReport, WorkerError>> {
    const response = await this.command(createHeaders(epoch), 'POST', '/adopt', { leaseMs })
    return response.andThen(parseReport)
  }

  async start (adoption: Adoption, task: TaskStart, untilMs: number): Promise<Result<void, WorkerError>> {
    const { id, ...rest } = task
    const response = await this.command(createAdoptionHeaders(adoption), 'PUT', createPath(id), { ...rest, untilMs })
    return response.map(() => undefined)
  }

  async stop (adoption: Adoption, task: string, attempt: number, checkpoint: boolean): Promise<Result<void, WorkerError>> {
    const response = await this.command(createAdoptionHeaders(adoption), 'POST', `${createPath(task)}/stop`, { attempt, checkpoint })
    return response.map(() => undefined)
  }

  async throttle (adoption: Adoption, task: string, cpuMilli: number): Promise<Result<void, WorkerError>> {
    const response = await this.command(createAdoptionHeaders(adoption), 'POST', `${createPath(task)}/throttle`, { cpuMilli })
    return response.map(() => undefined)
  }

  async renew (
    adoption: Adoption,
    untilMs: number,
    acknowledged: readonly string[],
    waitMs: number
  ): Promise<Result<WorkerReport, WorkerError>> {
    const response = await this.renewals.call({
      method: 'POST',
      path: '/renew',
      headers: createAdoptionHeaders(adoption),
      body: { untilMs, acknowledged, waitMs },
      timeoutMs: waitMs + this.timeoutMs
    })
    if (response.isErr()) this.replaceConnectionsOnTimeout(response.error)
    return response.mapErr(toWorkerError).andThen(checkStatus).andThen(parseReport)
  }

  async request (adoption: Adoption, request: WorkerRequest, timeoutMs: number): Promise<Result<unknown, WorkerError>> {
    const response = await this.requests.call({
      method: 'POST',
      path: '/requests',
      headers: createAdoptionHeaders(adoption),
      body: request,
      timeoutMs
    })
    return response.mapErr(toWorkerError).andThen(checkStatus).andThen((body) => parseValue(body, request.id))
  }

  /** @returns the bytes of commands and their responses: adoption, renewal, start, stop and throttle */
  traffic (): ByteCounts {
    const renewals = this.renewals.traffic()
    const commands = this.commands.traffic()
    return { sent: renewals.sent + commands.sent, received: renewals.received + commands.received }
  }

  /** @returns the bytes of requests and their responses */
  requestTraffic (): ByteCounts {
    return this.requests.traffic()
  }

  async close (): Promise<void> {
    await Promise.all([this.renewals.close(), this.commands.close(), this.requests.close()])
  }

  private async command (
    headers: Record<string, string>,
    method: 'POST' | 'PUT',
    path: string,
    body: object
  ): Promise<Result<unknown, WorkerError>> {
    const response = await this.commands.call({ method, path, headers, body, timeoutMs: this.timeoutMs })
    if (response.isErr()) this.replaceConnectionsOnTimeout(response.error)
    return response.mapErr(toWorkerError).andThen(checkStatus)
  }

  /** After a timeout on one connection, the others may be dead too. Replaces them all, so that the next request is not lost. */
  private replaceConnectionsOnTimeout (error: HttpCallError): void {
    if (!error.timedOut) return
    this.renewals.replaceConnections()
    this.commands.replaceConnections()
    this.requests.replaceConnections()
  }
}

function createPath (task: string): string {
  return `/tasks/${encodeURIComponent(task)}`
}

function createHeaders (epoch: Epoch): Record<string, string> {
  return { [EPOCH_HEADER]: `${epoch.counter}:${epoch.node}` }
}

function createAdoptionHeaders ({ epoch, boot }: Adoption): Record<string, string> {
  return { ...createHeaders(epoch), [BOOT_HEADER]: boot }
}

function toWorkerError (error: HttpCallError): WorkerError {
  const { sent, detail } = error
  return { failure: sent ? WorkerFailure.Unknown : WorkerFailure.Unreachable, detail }
}

/** Returns the body of a success. After a response that is neither a success nor a known failure, the effect is unknown. */
function checkStatus (response: HttpResponse): Result<unknown, WorkerError> {
  const { status, body } = response
  if (status === 200 || status === 201) return ok(body)
  const unexpectedStatus = `The worker returned status ${status}.`
  const error = WorkerErrorCodec.decode(body)
  if (error.isLeft()) return err({ failure: WorkerFailure.Unknown, detail: unexpectedStatus })
  const { failure, detail = unexpectedStatus, epoch } = error.unsafeCoerce()
  if (FAILURE_STATUS[failure] !== status) return err({ failure: WorkerFailure.Unknown, detail: unexpectedStatus })
  return err({ failure, detail, epoch })
}

function parseReport (body: unknown): Result<WorkerReport, WorkerError> {
  const report = WorkerReportCodec.decode(body)
  if (report.isLeft()) return err({ failure: WorkerFailure.Unknown, detail: `The report is malformed: ${String(report.extract())}` })
  return ok(report.unsafeCoerce())
}

/** Checks that the response belongs to this request: a late response to another request must not reach the caller. */
function parseValue (body: unknown, id: string): Result<unknown, WorkerError> {
  const response = RequestResponseCodec.decode(body)
  if (response.isLeft()) return err({ failure: WorkerFailure.Unknown, detail: 'The response is malformed.' })
  const { id: responseId, value } = response.unsafeCoerce()
  if (responseId !== id) return err({ failure: WorkerFailure.Unknown, detail: 'The response belongs to another request.' })
  return ok(value)
}
