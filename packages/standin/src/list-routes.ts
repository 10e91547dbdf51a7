/**
 * Routes of the list of VMs, and the routes that only the stand-in has.
 */
import { createHash } from 'node:crypto'
import type { Context, Hono } from 'hono'
import { NODE_HEADER, VmCodec, VmsCodec } from '@fireflymount/service-clients/messages'
import type { Vm } from '@fireflymount/service-clients/vm-list'
import { Codec, number } from 'purify-ts/Codec'
import type { Counters } from './counters.js'
import { delay } from './delay.js'
import { CallOutcome, type Faults } from './faults.js'
import { parseJson } from './input.js'
import type { Inventory } from './inventory.js'
import { onClear, onFault } from './log-routes.js'
import { hang, type Env } from './server.js'

const ETAG_CHARACTERS = 16

const LagCodec = Codec.interface({ lagMs: number })

/** Options of the routes of the list service. */
export interface ListRouteOptions {
  readonly inventory: Inventory
  readonly faults: Faults
  readonly counters: Counters
}

/**
 * Adds the list of VMs to an application.
 *
 * @param app the application
 * @param options state of the service
 */
export function addListRoutes (app: Hono<Env>, options: ListRouteOptions): void {
  app.get('/vms', (context) => onList(context, options))
  app.get('/standin/vms', (context) => context.json({ vms: options.inventory.actual() }))
  app.post('/standin/vms', (context) => onAdd(context, options.inventory))
  app.patch('/standin/vms/:id', (context) => onPatch(context, options.inventory))
  app.delete('/standin/vms/:id', (context) => onRemove(context, options.inventory))
  app.post('/standin/list/lag', (context) => onLag(context, options.inventory))
  app.post('/standin/list/faults', (context) => onFault(context, options.faults))
  app.delete('/standin/list/faults', (context) => onClear(context, options.faults))
}

async function onList (context: Context<Env>, options: ListRouteOptions): Promise<Response> {
  const node = context.req.header(NODE_HEADER) ?? ''
  await delay(options.faults.delayMs(node, ''))
  const outcome = options.faults.decide(node, '', false)
  if (outcome === CallOutcome.Hung) return hang()
  if (outcome === CallOutcome.Refused) return context.json({ failure: 'unavailable' }, 503)
  const body = JSON.stringify({ vms: options.inventory.visible() })
  const etag = createEtag(body)
  if (context.req.header('if-none-match') === etag) {
    options.counters.add(node, '', { lists: 1 })
    return context.body(null, 304, { etag })
  }
  options.counters.add(node, '', { lists: 1, bytesOut: Buffer.byteLength(body) })
  return context.body(body, 200, { 'content-type': 'application/json', etag })
}

function createEtag (body: string): string {
  return `"${createHash('sha256').update(body).digest('base64url').slice(0, ETAG_CHARACTERS)}"`
}

async function onAdd (context: Context<Env>, inventory: Inventory): Promise<Response> {
  const message = VmsCodec.decode(parseJson(await context.req.text())).extract()
  if (typeof message === 'string') return context.json({ failure: message }, 400)
  for (const vm of message.vms) inventory.put(vm)
  return context.json({})
}

async function onPatch (context: Context<Env>, inventory: Inventory): Promise<Response> {
  const id = context.req.param('id') ?? ''
  const fields = parseJson(await context.req.text()) as Partial<Vm>
  const merged = VmCodec.decode({ ...inventory.actual().find((vm) => vm.id === id), ...fields, id }).extract()
  if (typeof merged === 'string') return context.json({ failure: merged }, 400)
  inventory.patch(id, fields)
  return context.json({})
}

function onRemove (context: Context<Env>, inventory: Inventory): Response {
  inventory.remove(context.req.param('id') ?? '')
  return context.json({})
}

async function onLag (context: Context<Env>, inventory: Inventory): Promise<Response> {
  const lag = LagCodec.decode(parseJson(await context.req.text())).extract()
  if (typeof lag === 'string') return context.json({ failure: lag }, 400)
  inventory.lagMs = lag.lagMs
  return context.json({})
}
