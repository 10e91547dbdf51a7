/**
 * The API of a worker over HTTP, and the switches that only the stand-in has.
 */
import type { Socket } from 'node:net'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context, Hono } from 'hono'
import { AdoptCodec, EPOCH_HEADER, RenewCodec, StartCodec, StopCodec, ThrottleCodec, WorkerRequestCodec } from '@fireflymount/platform/messages'
import { WorkerFailure, type WorkerError } from '@fireflymount/platform/worker'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import type { Codec } from 'purify-ts/Codec'
import { delay } from './delay.js'
import type { Host } from './host.js'
import { parseCount, parseJson } from './input.js'
import type { Record } from './record.js'
import { breakConnection, hang, socketOf, type Connections, type Env } from './server.js'
import { Command, Delivery, WorkerFaultCodec, type WorkerFaults } from './worker-faults.js'

/** Most connections that carry commands at once. */
const CONNECTION_LIMIT = 64

/** The parts of one worker. */
export interface WorkerParts {
  readonly host: Host
  readonly record: Record
  readonly faults: WorkerFaults
  readonly connections: Connections
}

/** An answer before it is sent. */
interface Answer {
  readonly status: 200 | 201 | 400 | 409 | 422 | 500 | 503
  readonly body: object
}

/** The present commands of one worker. */
class Gate {
  /** Connections that carried a command. */
  readonly admitted = new Set<Socket>()
  /** The latest answer to a request, for answers that are crossed. */
  crossed: Answer = { status: 200, body: { id: 'crossed', value: 'crossed' } }

  constructor (readonly parts: WorkerParts) {}

  /** @returns false if the connection is one too many */
  admit (socket: Socket): boolean {
    if (this.admitted.has(socket)) return true
    if (this.admitted.size >= CONNECTION_LIMIT) return false
    this.admitted.add(socket)
    socket.on('close', () => this.admitted.delete(socket))
    return true
  }
}

/**
 * Adds a worker's API to an application.
 *
 * @param app the application
 * @param parts the parts of the worker
 */
export function addWorkerRoutes (app: Hono<Env>, parts: WorkerParts): void {
  const gate = new Gate(parts)
  app.post('/adopt', (context) => serve(gate, context, Command.Adopt, onAdopt))
  app.put('/tasks/:id', (context) => serve(gate, context, Command.Start, onStart))
  app.post('/tasks/:id/stop', (context) => serve(gate, context, Command.Stop, onStop))
  app.post('/tasks/:id/throttle', (context) => serve(gate, context, Command.Throttle, onThrottle))
  app.post('/renew', (context) => serve(gate, context, Command.Renew, onRenew))
  app.post('/requests', (context) => serve(gate, context, Command.Request, onRequest))
  app.get('/standin/record', (context) => context.json(parts.record.page(parseCount(context.req.query('from')))))
  app.post('/standin/faults', (context) => onFault(context, parts))
  app.delete('/standin/faults', (context) => onClear(context, parts))
  app.post('/standin/connections/silence', (context) => {
    parts.connections.silence()
    return context.json({})
  })
  app.post('/standin/restart', (context) => onRestart(context, parts))
}

/** Runs one command, with the faults that are switched on. */
async function serve (
  gate: Gate,
  context: Context<Env>,
  command: Command,
  run: (context: Context<Env>, host: Host, epoch: Epoch, message: unknown) => Promise<Answer> | Answer
): Promise<Response> {
  const { faults, connections, host } = gate.parts
  const socket = socketOf(context)
  const message = parseJson(await context.req.text())
  if (connections.isSilent(socket)) return hang()
  if (faults.dead || !gate.admit(socket)) return breakConnection(context)
  await faults.frozen()
  await delay(faults.delayMs(command))
  const epoch = parseEpoch(context.req.header(EPOCH_HEADER))
  const answer = epoch === undefined ? malformed('Give the header Fireflymount-Epoch.') : await run(context, host, epoch, message)
  await delay(faults.answerDelayMs(command))
  await faults.frozen()
  if (connections.isSilent(socket)) return hang()
  if (faults.dead || answer.status === 503) return breakConnection(context)
  return deliver(gate, context, command, answer)
}

function deliver (gate: Gate, context: Context<Env>, command: Command, answer: Answer): Response {
  const delivery = gate.parts.faults.deliver(command)
  if (delivery === Delivery.Lost) return breakConnection(context)
  if (delivery === Delivery.Half) return sendHalf(context, answer)
  if (delivery === Delivery.Crossed) return context.json(gate.crossed.body, gate.crossed.status)
  if (command === Command.Request) gate.crossed = answer
  return context.json(answer.body, answer.status)
}

function sendHalf (context: Context<Env>, answer: Answer): Response {
  const { outgoing } = context.env
  const body = Buffer.from(JSON.stringify(answer.body))
  outgoing.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': body.length })
  outgoing.write(body.subarray(0, body.length / 2), () => outgoing.destroy())
  return RESPONSE_ALREADY_SENT
}

function onAdopt (_context: Context<Env>, host: Host, epoch: Epoch, message: unknown): Answer {
  const adopt = check(AdoptCodec, message)
  if (adopt.isErr()) return malformed(adopt.error)
  return createAnswer(host.adopt(epoch, adopt.value.leaseMs))
}

function onStart (context: Context<Env>, host: Host, epoch: Epoch, message: unknown): Answer {
  const start = check(StartCodec, message)
  if (start.isErr()) return malformed(start.error)
  const { untilMs, ...task } = start.value
  const started = host.start(epoch, { ...task, id: taskOf(context), body: task.body }, untilMs)
  if (started.isErr()) return createAnswer(started)
  return { status: started.value ? 201 : 200, body: {} }
}

function onStop (context: Context<Env>, host: Host, epoch: Epoch, message: unknown): Answer {
  const stop = check(StopCodec, message)
  if (stop.isErr()) return malformed(stop.error)
  return createAnswer(host.stop(epoch, taskOf(context), stop.value.checkpoint))
}

function onThrottle (context: Context<Env>, host: Host, epoch: Epoch, message: unknown): Answer {
  const throttle = check(ThrottleCodec, message)
  if (throttle.isErr()) return malformed(throttle.error)
  return createAnswer(host.throttle(epoch, taskOf(context), throttle.value.cpuMilli))
}

async function onRenew (_context: Context<Env>, host: Host, epoch: Epoch, message: unknown): Promise<Answer> {
  const renew = check(RenewCodec, message)
  if (renew.isErr()) return malformed(renew.error)
  const { untilMs, acknowledged, waitMs } = renew.value
  return createAnswer(await host.renew(epoch, untilMs, acknowledged, waitMs))
}

async function onRequest (_context: Context<Env>, host: Host, epoch: Epoch, message: unknown): Promise<Answer> {
  const request = check(WorkerRequestCodec, message)
  if (request.isErr()) return malformed(request.error)
  const { id } = request.value
  const answer = await host.request(epoch, { ...request.value, body: request.value.body })
  if (answer.isErr()) return createAnswer(answer)
  return { status: 200, body: { id, value: answer.value } }
}

async function onFault (context: Context<Env>, parts: WorkerParts): Promise<Response> {
  const fault = check(WorkerFaultCodec, parseJson(await context.req.text()))
  if (fault.isErr()) return context.json({ failure: fault.error }, 400)
  parts.host.failAll = fault.value.failAll ?? parts.host.failAll
  parts.faults.set(fault.value)
  if (fault.value.dead !== true) return context.json({})
  parts.host.restart()
  return context.json({})
}

function onClear (context: Context<Env>, parts: WorkerParts): Response {
  parts.host.failAll = false
  parts.faults.clear()
  return context.json({})
}

function onRestart (context: Context<Env>, parts: WorkerParts): Response {
  parts.host.restart()
  return context.json({})
}

/** Maps an outcome to its status and body. */
function createAnswer (outcome: Result<unknown, WorkerError>): Answer {
  if (outcome.isOk()) return { status: 200, body: (outcome.value ?? {}) as object }
  const { failure } = outcome.error
  if (failure === WorkerFailure.StaleEpoch || failure === WorkerFailure.Full) return { status: 409, body: outcome.error }
  if (failure === WorkerFailure.Failed) return { status: 500, body: outcome.error }
  if (failure === WorkerFailure.Refused) return { status: 422, body: outcome.error }
  return { status: 503, body: outcome.error }
}

function malformed (detail: string): Answer {
  return { status: 422, body: { failure: WorkerFailure.Refused, detail } }
}

function check<T> (codec: Codec<T>, message: unknown): Result<T, string> {
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
