/**
 * Routes of a worker's API, and the routes that only the stand-in has.
 */
import type { Socket } from 'node:net'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context, Hono } from 'hono'
import { AdoptCodec, BOOT_HEADER, EPOCH_HEADER, RenewCodec, StartCodec, StopCodec, ThrottleCodec, WorkerRequestCodec } from '@fireflymount/service-clients/messages'
import { WorkerFailure, type Adoption, type WorkerError } from '@fireflymount/service-clients/worker'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import type { Codec } from 'purify-ts/Codec'
import { delay } from './delay.js'
import type { StandinWorker } from './standin-worker.js'
import { parseCount, parseJson } from './input.js'
import type { EventHistory } from './event-history.js'
import { breakConnection, hang, socketOf, type Connections, type Env } from './server.js'
import { Call, Delivery, WorkerFaultCodec, type WorkerFaults } from './worker-faults.js'

/** Maximum number of open connections that carried a call to the worker's API. */
const MAX_CONNECTIONS = 64

/** Options of the routes of one worker. */
export interface WorkerRouteOptions {
  readonly worker: StandinWorker
  readonly history: EventHistory
  readonly faults: WorkerFaults
  readonly connections: Connections
}

/** A response before it is sent. */
interface CallResponse {
  readonly status: 200 | 201 | 400 | 409 | 422 | 500 | 503
  readonly body: object
}

/** State of the API of one worker. */
class ApiState {
  /** Open connections that carried a call to the worker's API. */
  readonly admitted = new Set<Socket>()
  /**
   * The latest response to a request that was delivered completely. The fault `crossedAnswers` sends it in response to
   * another request.
   */
  lastRequestResponse: CallResponse = { status: 200, body: { id: 'crossed', value: 'crossed' } }

  constructor (readonly options: WorkerRouteOptions) {}

  /**
   * Admits a connection, unless the limit of connections is reached.
   *
   * @returns false if the limit is reached
   */
  admit (socket: Socket): boolean {
    if (this.admitted.has(socket)) return true
    if (this.admitted.size >= MAX_CONNECTIONS) return false
    this.admitted.add(socket)
    socket.on('close', () => this.admitted.delete(socket))
    return true
  }
}

/**
 * Adds a worker's API to an application.
 *
 * @param app the application
 * @param options state of the worker
 */
export function addWorkerRoutes (app: Hono<Env>, options: WorkerRouteOptions): void {
  const state = new ApiState(options)
  app.post('/adopt', (context) => serve(state, context, Call.Adopt, onAdopt))
  app.put('/tasks/:id', (context) => serve(state, context, Call.Start, onStart))
  app.post('/tasks/:id/stop', (context) => serve(state, context, Call.Stop, onStop))
  app.post('/tasks/:id/throttle', (context) => serve(state, context, Call.Throttle, onThrottle))
  app.post('/renew', (context) => serve(state, context, Call.Renew, onRenew))
  app.post('/requests', (context) => serve(state, context, Call.Request, onRequest))
  app.get('/standin/record', (context) => context.json(options.history.page(parseCount(context.req.query('from')))))
  app.post('/standin/faults', (context) => onFault(context, options))
  app.delete('/standin/faults', (context) => onClear(context, options))
  app.post('/standin/connections/silence', (context) => {
    options.connections.stall()
    return context.json({})
  })
  app.post('/standin/restart', (context) => onRestart(context, options))
}

/** Runs one call and applies the injected faults. */
async function serve (
  state: ApiState,
  context: Context<Env>,
  call: Call,
  run: (context: Context<Env>, worker: StandinWorker, adoption: Adoption, message: unknown) =>
    Promise<CallResponse> | CallResponse
): Promise<Response> {
  const { faults, connections, worker } = state.options
  const socket = socketOf(context)
  const message = parseJson(await context.req.text())
  if (connections.isStalled(socket)) return hang()
  if (faults.dead || !state.admit(socket)) return breakConnection(context)
  await faults.waitUntilThawed()
  await delay(faults.delayMs(call))
  const epoch = parseEpoch(context.req.header(EPOCH_HEADER))
  const response = epoch === undefined
    ? createMalformedResponse('The header Fireflymount-Epoch is missing or invalid.')
    : await run(context, worker, { epoch, boot: context.req.header(BOOT_HEADER) ?? '' }, message)
  await delay(faults.responseDelayMs(call))
  await faults.waitUntilThawed()
  if (connections.isStalled(socket)) return hang()
  // Status 503 means that the worker restarted while the request ran. A real worker would break the connection.
  if (faults.dead || response.status === 503) return breakConnection(context)
  return deliver(state, context, call, response)
}

function deliver (state: ApiState, context: Context<Env>, call: Call, response: CallResponse): Response {
  const delivery = state.options.faults.nextDelivery(call)
  if (delivery === Delivery.Lost) return breakConnection(context)
  if (delivery === Delivery.Half) return sendHalf(context, response)
  if (delivery === Delivery.Crossed) return context.json(state.lastRequestResponse.body, state.lastRequestResponse.status)
  if (call === Call.Request) state.lastRequestResponse = response
  return context.json(response.body, response.status)
}

function sendHalf (context: Context<Env>, response: CallResponse): Response {
  const { outgoing } = context.env
  const body = Buffer.from(JSON.stringify(response.body))
  outgoing.writeHead(response.status, { 'content-type': 'application/json', 'content-length': body.length })
  outgoing.write(body.subarray(0, body.length / 2), () => outgoing.destroy())
  return RESPONSE_ALREADY_SENT
}

function onAdopt (_context: Context<Env>, worker: StandinWorker, adoption: Adoption, message: unknown): CallResponse {
  const adopt = decode(AdoptCodec, message)
  if (adopt.isErr()) return createMalformedResponse(adopt.error)
  return createResponse(worker.adopt(adoption.epoch, adopt.value.leaseMs))
}

function onStart (context: Context<Env>, worker: StandinWorker, adoption: Adoption, message: unknown): CallResponse {
  const start = decode(StartCodec, message)
  if (start.isErr()) return createMalformedResponse(start.error)
  const { untilMs, ...task } = start.value
  const started = worker.start(adoption, { ...task, id: taskOf(context), body: task.body }, untilMs)
  if (started.isErr()) return createResponse(started)
  return { status: started.value ? 201 : 200, body: {} }
}

function onStop (context: Context<Env>, worker: StandinWorker, adoption: Adoption, message: unknown): CallResponse {
  const stop = decode(StopCodec, message)
  if (stop.isErr()) return createMalformedResponse(stop.error)
  return createResponse(worker.stop(adoption, taskOf(context), stop.value.attempt, stop.value.checkpoint))
}

function onThrottle (context: Context<Env>, worker: StandinWorker, adoption: Adoption, message: unknown): CallResponse {
  const throttle = decode(ThrottleCodec, message)
  if (throttle.isErr()) return createMalformedResponse(throttle.error)
  return createResponse(worker.throttle(adoption, taskOf(context), throttle.value.cpuMilli))
}

async function onRenew (
  _context: Context<Env>, worker: StandinWorker, adoption: Adoption, message: unknown
): Promise<CallResponse> {
  const renew = decode(RenewCodec, message)
  if (renew.isErr()) return createMalformedResponse(renew.error)
  const { untilMs, acknowledged, waitMs } = renew.value
  return createResponse(await worker.renew(adoption, untilMs, acknowledged, waitMs))
}

async function onRequest (
  _context: Context<Env>, worker: StandinWorker, adoption: Adoption, message: unknown
): Promise<CallResponse> {
  const request = decode(WorkerRequestCodec, message)
  if (request.isErr()) return createMalformedResponse(request.error)
  const { id } = request.value
  const response = await worker.request(adoption, { ...request.value, body: request.value.body })
  if (response.isErr()) return createResponse(response)
  return { status: 200, body: { id, value: response.value } }
}

async function onFault (context: Context<Env>, options: WorkerRouteOptions): Promise<Response> {
  const fault = decode(WorkerFaultCodec, parseJson(await context.req.text()))
  if (fault.isErr()) return context.json({ failure: fault.error }, 400)
  options.worker.failAll = fault.value.failAll ?? options.worker.failAll
  options.faults.set(fault.value)
  if (fault.value.dead !== true) return context.json({})
  options.worker.restart()
  return context.json({})
}

function onClear (context: Context<Env>, options: WorkerRouteOptions): Response {
  options.worker.failAll = false
  options.faults.clear()
  return context.json({})
}

function onRestart (context: Context<Env>, options: WorkerRouteOptions): Response {
  options.worker.restart()
  return context.json({})
}

/** Maps the outcome of a call to the status and body of the response. Status 503 is not sent: it breaks the connection. */
function createResponse (outcome: Result<unknown, WorkerError>): CallResponse {
  if (outcome.isOk()) return { status: 200, body: (outcome.value ?? {}) as object }
  const { failure } = outcome.error
  if (failure === WorkerFailure.StaleEpoch || failure === WorkerFailure.Full) return { status: 409, body: outcome.error }
  if (failure === WorkerFailure.Failed) return { status: 500, body: outcome.error }
  if (failure === WorkerFailure.Refused) return { status: 422, body: outcome.error }
  return { status: 503, body: outcome.error }
}

function createMalformedResponse (detail: string): CallResponse {
  return { status: 422, body: { failure: WorkerFailure.Refused, detail } }
}

function decode<T> (codec: Codec<T>, message: unknown): Result<T, string> {
  const decoded = codec.decode(message)
  if (decoded.isLeft()) return err(String(decoded.extract()))
  return ok(decoded.extract() as T)
}

function taskOf (context: Context<Env>): string {
  return context.req.param('id') ?? ''
}

function parseEpoch (header: string | undefined): Epoch | undefined {
  if (header === undefined) return undefined
  const colon = header.indexOf(':')
  const counter = Number(header.slice(0, colon))
  if (colon < 1 || !Number.isSafeInteger(counter)) return undefined
  return { counter, node: header.slice(colon + 1) }
}
