/**
 * The client of a worker.
 */
import type { Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import { Channel, type Answer, type Interruption } from './channel.js'
import { EPOCH_HEADER, RequestAnswerCodec, WorkerRefusalCodec, WorkerReportCodec } from './messages.js'
import type { Traffic } from './traffic.js'
import { Worker, WorkerFailure, type TaskStart, type WorkerError, type WorkerReport, type WorkerRequest } from './worker.js'

/** Most connections that a worker takes, from all nodes together. */
export const WORKER_CONNECTIONS = 64

/** Connections for commands other than renewal and requests. */
const CONTROL_CONNECTIONS = 2

/** Connections for renewal, which is held open. */
const RENEW_CONNECTIONS = 1

/** Connections for requests. */
const REQUEST_CONNECTIONS = 8

/** Time for the answer to a command, beyond what a renewal is held open. */
const TIMEOUT_MS = 1_000

/** The failures that say what became of the call, and the status that goes with each. */
const REFUSAL_STATUS: Readonly<Partial<Record<WorkerFailure, number>>> = {
  [WorkerFailure.StaleEpoch]: 409,
  [WorkerFailure.Full]: 409,
  [WorkerFailure.Refused]: 422,
  [WorkerFailure.Failed]: 500
}

/** Settings of the client. */
export interface RemoteWorkerOptions {
  /** IP address and port of the worker. */
  readonly address: string
  /** Most requests in progress at once; further ones wait for a connection until their deadlines. */
  readonly requestConnections?: number
  /** Time for the answer to a command, beyond what a renewal is held open. */
  readonly timeoutMs?: number
}

/** A worker over HTTP. Renewal, other commands and requests have connections of their own. */
export class RemoteWorker extends Worker {
  private readonly renewals: Channel
  private readonly commands: Channel
  private readonly requests: Channel
  private readonly timeoutMs: number

  /** @param options settings */
  constructor (options: RemoteWorkerOptions) {
    super()
    const { address, requestConnections = REQUEST_CONNECTIONS } = options
    const room = WORKER_CONNECTIONS - RENEW_CONNECTIONS - CONTROL_CONNECTIONS
    if (requestConnections > room) throw new RangeError(`A worker takes at most ${room} connections for requests.`)
    this.renewals = new Channel(address, { connections: RENEW_CONNECTIONS })
    this.commands = new Channel(address, { connections: CONTROL_CONNECTIONS })
    this.requests = new Channel(address, { connections: requestConnections })
    this.timeoutMs = options.timeoutMs ?? TIMEOUT_MS
  }

  async adopt (epoch: Epoch, leaseMs: number): Promise<Result<WorkerReport, WorkerError>> {
    const answer = await this.command(epoch, 'POST', '/adopt', { leaseMs })
    return answer.andThen(parseReport)
  }

  async start (epoch: Epoch, task: TaskStart, untilMs: number): Promise<Result<void, WorkerError>> {
    const { id, ...rest } = task
    const answer = await this.command(epoch, 'PUT', createPath(id), { ...rest, untilMs })
    return answer.map(() => undefined)
  }

  async stop (epoch: Epoch, task: string, checkpoint: boolean): Promise<Result<void, WorkerError>> {
    const answer = await this.command(epoch, 'POST', `${createPath(task)}/stop`, { checkpoint })
    return answer.map(() => undefined)
  }

  async throttle (epoch: Epoch, task: string, cpuMilli: number): Promise<Result<void, WorkerError>> {
    const answer = await this.command(epoch, 'POST', `${createPath(task)}/throttle`, { cpuMilli })
    return answer.map(() => undefined)
  }

  async renew (
    epoch: Epoch,
    untilMs: number,
    acknowledged: readonly string[],
    waitMs: number
  ): Promise<Result<WorkerReport, WorkerError>> {
    const answer = await this.renewals.call({
      method: 'POST',
      path: '/renew',
      headers: createHeaders(epoch),
      message: { untilMs, acknowledged, waitMs },
      timeoutMs: waitMs + this.timeoutMs
    })
    if (answer.isErr()) this.refreshSilent(answer.error)
    return answer.mapErr(classify).andThen(checkStatus).andThen(parseReport)
  }

  async request (epoch: Epoch, request: WorkerRequest, timeoutMs: number): Promise<Result<unknown, WorkerError>> {
    const answer = await this.requests.call({
      method: 'POST',
      path: '/requests',
      headers: createHeaders(epoch),
      message: request,
      timeoutMs
    })
    return answer.mapErr(classify).andThen(checkStatus).andThen((body) => parseValue(body, request.id))
  }

  /** @returns the bytes of control: adoption, renewal, start, stop and throttle */
  traffic (): Traffic {
    const renewals = this.renewals.traffic()
    const commands = this.commands.traffic()
    return { sent: renewals.sent + commands.sent, received: renewals.received + commands.received }
  }

  /** @returns the bytes of requests and their answers */
  requestTraffic (): Traffic {
    return this.requests.traffic()
  }

  async close (): Promise<void> {
    await Promise.all([this.renewals.close(), this.commands.close(), this.requests.close()])
  }

  private async command (
    epoch: Epoch,
    method: 'POST' | 'PUT',
    path: string,
    message: object
  ): Promise<Result<unknown, WorkerError>> {
    const headers = createHeaders(epoch)
    const answer = await this.commands.call({ method, path, headers, message, timeoutMs: this.timeoutMs })
    if (answer.isErr()) this.refreshSilent(answer.error)
    return answer.mapErr(classify).andThen(checkStatus)
  }

  /** Silence on one connection makes the others suspect: the next request must not be lost on one of them. */
  private refreshSilent (interruption: Interruption): void {
    if (!interruption.timedOut) return
    this.renewals.refresh()
    this.commands.refresh()
    this.requests.refresh()
  }
}

function createPath (task: string): string {
  return `/tasks/${encodeURIComponent(task)}`
}

function createHeaders (epoch: Epoch): Record<string, string> {
  return { [EPOCH_HEADER]: `${epoch.counter}:${epoch.node}` }
}

function classify (interruption: Interruption): WorkerError {
  const { sent, detail } = interruption
  return { failure: sent ? WorkerFailure.Unknown : WorkerFailure.Unreachable, detail }
}

/** Returns the body of a success; an answer that is neither success nor a known refusal says nothing of the effect. */
function checkStatus (answer: Answer): Result<unknown, WorkerError> {
  const { status, body } = answer
  if (status === 200 || status === 201) return ok(body)
  const unexplained = `The worker answered with status ${status}.`
  const refusal = WorkerRefusalCodec.decode(body)
  if (refusal.isLeft()) return err({ failure: WorkerFailure.Unknown, detail: unexplained })
  const { failure, detail = unexplained, epoch } = refusal.unsafeCoerce()
  if (REFUSAL_STATUS[failure] !== status) return err({ failure: WorkerFailure.Unknown, detail: unexplained })
  return err({ failure, detail, epoch })
}

function parseReport (body: unknown): Result<WorkerReport, WorkerError> {
  const report = WorkerReportCodec.decode(body)
  if (report.isLeft()) return err({ failure: WorkerFailure.Unknown, detail: `The report is malformed: ${String(report.extract())}` })
  return ok(report.unsafeCoerce())
}

/** Checks that the answer is the one to this request: a late answer to another request must not reach the caller. */
function parseValue (body: unknown, id: string): Result<unknown, WorkerError> {
  const answer = RequestAnswerCodec.decode(body)
  if (answer.isLeft()) return err({ failure: WorkerFailure.Unknown, detail: 'The answer is malformed.' })
  const { id: answered, value } = answer.unsafeCoerce()
  if (answered !== id) return err({ failure: WorkerFailure.Unknown, detail: 'The answer belongs to another request.' })
  return ok(value)
}
