/**
 * Routes of the log service, and the routes that only the stand-in has.
 */
import type { Context, Hono } from 'hono'
import { NODE_HEADER } from '@fireflymount/service-clients/messages'
import { Codec, number, optional, unknown } from 'purify-ts/Codec'
import type { TokenBucket } from './token-bucket.js'
import type { Counters } from './counters.js'
import { delay } from './delay.js'
import { CallOutcome, FaultCodec, type Faults } from './faults.js'
import { parseCount, parseJson } from './input.js'
import { breakConnection, hang, type Env } from './server.js'
import type { Streams } from './streams.js'

const MAX_RECORD_BYTES = 1_000_000

/** A read is held open for at most this time. */
const MAX_READ_WAIT_MS = 60_000

const AppendCodec = Codec.interface({ data: unknown })

const LimitsCodec = Codec.interface({ retention: optional(number), appendsPerSecond: optional(number) })

const ExpiryCodec = Codec.interface({ before: number })

/** Options of the routes of the log service. */
export interface LogRouteOptions {
  readonly streams: Streams
  readonly appendLimit: TokenBucket
  readonly faults: Faults
  readonly counters: Counters
}

/**
 * Adds the log service to an application.
 *
 * @param app the application
 * @param options state of the service
 */
export function addLogRoutes (app: Hono<Env>, options: LogRouteOptions): void {
  app.post('/streams/:stream/records', (context) => onAppend(context, options))
  app.get('/streams/:stream/records', (context) => onRead(context, options))
  app.post('/standin/log/faults', (context) => onFault(context, options.faults))
  app.delete('/standin/log/faults', (context) => onClear(context, options.faults))
  app.post('/standin/log/limits', (context) => onLimits(context, options))
  app.post('/standin/log/streams/:stream/expiry', (context) => onExpiry(context, options.streams))
  app.get('/standin/log/streams', (context) => context.json({ streams: options.streams.names() }))
  app.get('/standin/log/streams/:stream', (context) => onDump(context, options.streams))
}

async function onAppend (context: Context<Env>, options: LogRouteOptions): Promise<Response> {
  const node = context.req.header(NODE_HEADER) ?? ''
  const stream = context.req.param('stream') ?? ''
  const body = await context.req.text()
  const bytes = Buffer.byteLength(body)
  await delay(options.faults.delayMs(node, stream))
  const outcome = options.faults.decide(node, stream, true)
  if (outcome === CallOutcome.Hung) return hang()
  if (outcome === CallOutcome.Refused) return context.json({ failure: 'unavailable' }, 503)
  if (bytes > MAX_RECORD_BYTES) return context.json({ failure: 'too-large' }, 413)
  const message = AppendCodec.decode(parseJson(body)).extract()
  if (typeof message === 'string') return context.json({ failure: message }, 400)
  if (!options.appendLimit.take()) {
    options.counters.add(node, stream, { throttled: 1 })
    return context.json({ failure: 'throttled' }, 429)
  }
  const offset = options.streams.append(stream, message.data, bytes)
  options.counters.add(node, stream, { appends: 1, bytesIn: bytes })
  if (outcome === CallOutcome.Lost) return breakConnection(context)
  return context.json({ offset }, 201)
}

async function onRead (context: Context<Env>, options: LogRouteOptions): Promise<Response> {
  const node = context.req.header(NODE_HEADER) ?? ''
  const stream = context.req.param('stream') ?? ''
  const from = parseCount(context.req.query('from'))
  const waitMs = Math.min(parseCount(context.req.query('waitMs')), MAX_READ_WAIT_MS)
  await delay(options.faults.delayMs(node, stream))
  let outcome = options.faults.decide(node, stream, false)
  if (outcome === CallOutcome.Served) {
    await options.streams.wait(stream, from, waitMs)
    outcome = options.faults.decide(node, stream, false)
  }
  if (outcome === CallOutcome.Hung) return hang()
  if (outcome === CallOutcome.Refused) return context.json({ failure: 'unavailable' }, 503)
  const page = options.streams.read(stream, from)
  if (page.isErr()) return context.json(page.error, 410)
  const body = JSON.stringify(page.value)
  options.counters.add(node, stream, { reads: 1, bytesOut: Buffer.byteLength(body) })
  return context.body(body, 200, { 'content-type': 'application/json' })
}

/** Changes the injected faults of a service. */
export async function onFault (context: Context<Env>, faults: Faults): Promise<Response> {
  const fault = FaultCodec.decode(parseJson(await context.req.text())).extract()
  if (typeof fault === 'string') return context.json({ failure: fault }, 400)
  faults.set(fault)
  return context.json({})
}

/** Removes all injected faults of a service. */
export function onClear (context: Context<Env>, faults: Faults): Response {
  faults.clear()
  return context.json({})
}

async function onLimits (context: Context<Env>, options: LogRouteOptions): Promise<Response> {
  const limits = LimitsCodec.decode(parseJson(await context.req.text())).extract()
  if (typeof limits === 'string') return context.json({ failure: limits }, 400)
  if (limits.retention !== undefined) options.streams.setRetention(limits.retention)
  if (limits.appendsPerSecond !== undefined) options.appendLimit.setRate(limits.appendsPerSecond)
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
