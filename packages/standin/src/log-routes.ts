/**
 * The log service over HTTP, and the switches that only the stand-in has.
 */
import type { Context, Hono } from 'hono'
import { NODE_HEADER } from '@fireflymount/platform/messages'
import { Codec, number, optional, unknown } from 'purify-ts/Codec'
import type { Budget } from './budget.js'
import type { Counters } from './counters.js'
import { delay } from './delay.js'
import { Fate, FaultCodec, type Faults } from './faults.js'
import { parseCount, parseJson } from './input.js'
import { breakConnection, hang, type Connections, type Env } from './server.js'
import type { Streams } from './streams.js'

/** Most bytes of a record. */
const RECORD_BYTES = 1_000_000

/** Longest time that a read is held open. */
const WAIT_LIMIT_MS = 60_000

const AppendCodec = Codec.interface({ data: unknown })

const LimitsCodec = Codec.interface({ retention: optional(number), appendsPerSecond: optional(number) })

const ExpiryCodec = Codec.interface({ before: number })

/** The parts of the log service. */
export interface LogParts {
  readonly streams: Streams
  readonly budget: Budget
  readonly faults: Faults
  readonly counters: Counters
  readonly connections: Connections
}

/**
 * Adds the log service to an application.
 *
 * @param app the application
 * @param parts the parts of the service
 */
export function addLogRoutes (app: Hono<Env>, parts: LogParts): void {
  app.post('/streams/:stream/records', (context) => onAppend(context, parts))
  app.get('/streams/:stream/records', (context) => onRead(context, parts))
  app.post('/standin/log/faults', (context) => onFault(context, parts.faults))
  app.delete('/standin/log/faults', (context) => onClear(context, parts.faults))
  app.post('/standin/log/limits', (context) => onLimits(context, parts))
  app.post('/standin/log/streams/:stream/expiry', (context) => onExpiry(context, parts.streams))
  app.get('/standin/log/streams', (context) => context.json({ streams: parts.streams.names() }))
  app.get('/standin/log/streams/:stream', (context) => onDump(context, parts.streams))
}

async function onAppend (context: Context<Env>, parts: LogParts): Promise<Response> {
  const node = context.req.header(NODE_HEADER) ?? ''
  const stream = context.req.param('stream') ?? ''
  const body = await context.req.text()
  const bytes = Buffer.byteLength(body)
  await delay(parts.faults.delayMs(node, stream))
  const fate = parts.faults.decide(node, stream, true)
  if (fate === Fate.Hung) return hang()
  if (fate === Fate.Refused) return context.json({ failure: 'unavailable' }, 503)
  if (bytes > RECORD_BYTES) return context.json({ failure: 'too-large' }, 413)
  const message = AppendCodec.decode(parseJson(body)).extract()
  if (typeof message === 'string') return context.json({ failure: message }, 400)
  if (!parts.budget.take()) {
    parts.counters.add(node, stream, { throttled: 1 })
    return context.json({ failure: 'throttled' }, 429)
  }
  const offset = parts.streams.append(stream, message.data, bytes)
  parts.counters.add(node, stream, { appends: 1, bytesIn: bytes })
  if (fate === Fate.Lost) return breakConnection(context)
  return context.json({ offset }, 201)
}

async function onRead (context: Context<Env>, parts: LogParts): Promise<Response> {
  const node = context.req.header(NODE_HEADER) ?? ''
  const stream = context.req.param('stream') ?? ''
  const from = parseCount(context.req.query('from'))
  const waitMs = Math.min(parseCount(context.req.query('waitMs')), WAIT_LIMIT_MS)
  await delay(parts.faults.delayMs(node, stream))
  let fate = parts.faults.decide(node, stream, false)
  if (fate === Fate.Served) {
    await parts.streams.wait(stream, from, waitMs)
    fate = parts.faults.decide(node, stream, false)
  }
  if (fate === Fate.Hung) return hang()
  if (fate === Fate.Refused) return context.json({ failure: 'unavailable' }, 503)
  const page = parts.streams.read(stream, from)
  if (page.isErr()) return context.json(page.error, 410)
  const body = JSON.stringify(page.value)
  parts.counters.add(node, stream, { reads: 1, bytesOut: Buffer.byteLength(body) })
  return context.body(body, 200, { 'content-type': 'application/json' })
}

/** Changes the switches of a service. */
export async function onFault (context: Context<Env>, faults: Faults): Promise<Response> {
  const fault = FaultCodec.decode(parseJson(await context.req.text())).extract()
  if (typeof fault === 'string') return context.json({ failure: fault }, 400)
  faults.set(fault)
  return context.json({})
}

/** Switches the faults of a service off. */
export function onClear (context: Context<Env>, faults: Faults): Response {
  faults.clear()
  return context.json({})
}

async function onLimits (context: Context<Env>, parts: LogParts): Promise<Response> {
  const limits = LimitsCodec.decode(parseJson(await context.req.text())).extract()
  if (typeof limits === 'string') return context.json({ failure: limits }, 400)
  if (limits.retention !== undefined) parts.streams.retain(limits.retention)
  if (limits.appendsPerSecond !== undefined) parts.budget.change(limits.appendsPerSecond)
  return context.json({})
}

async function onExpiry (context: Context<Env>, streams: Streams): Promise<Response> {
  const expiry = ExpiryCodec.decode(parseJson(await context.req.text())).extract()
  if (typeof expiry === 'string') return context.json({ failure: expiry }, 400)
  streams.expire(context.req.param('stream') ?? '', expiry.before)
  return context.json({})
}

function onDump (context: Context<Env>, streams: Streams): Response {
  return context.json(streams.dump(context.req.param('stream') ?? '', parseCount(context.req.query('from'))))
}
