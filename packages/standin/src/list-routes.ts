/**
 * The list of VMs over HTTP, and the switches that only the stand-in has.
 */
import { createHash } from 'node:crypto'
import type { Context, Hono } from 'hono'
import { NODE_HEADER, VmCodec, VmsCodec } from '@fireflymount/platform/messages'
import type { Vm } from '@fireflymount/platform/machines'
import { Codec, number } from 'purify-ts/Codec'
import type { Counters } from './counters.js'
import { delay } from './delay.js'
import { Fate, type Faults } from './faults.js'
import { parseJson } from './input.js'
import type { Inventory } from './inventory.js'
import { onClear, onFault } from './log-routes.js'
import { hang, type Env } from './server.js'

const TAG_CHARACTERS = 16

const LagCodec = Codec.interface({ lagMs: number })

/** The parts of the list service. */
export interface ListParts {
  readonly inventory: Inventory
  readonly faults: Faults
  readonly counters: Counters
}

/**
 * Adds the list of VMs to an application.
 *
 * @param app the application
 * @param parts the parts of the service
 */
export function addListRoutes (app: Hono<Env>, parts: ListParts): void {
  app.get('/vms', (context) => onList(context, parts))
  app.get('/standin/vms', (context) => context.json({ vms: parts.inventory.actual() }))
  app.post('/standin/vms', (context) => onPut(context, parts.inventory))
  app.patch('/standin/vms/:id', (context) => onPatch(context, parts.inventory))
  app.delete('/standin/vms/:id', (context) => onRemove(context, parts.inventory))
  app.post('/standin/list/lag', (context) => onLag(context, parts.inventory))
  app.post('/standin/list/faults', (context) => onFault(context, parts.faults))
  app.delete('/standin/list/faults', (context) => onClear(context, parts.faults))
}

async function onList (context: Context<Env>, parts: ListParts): Promise<Response> {
  const node = context.req.header(NODE_HEADER) ?? ''
  await delay(parts.faults.delayMs(node, ''))
  const fate = parts.faults.decide(node, '', false)
  if (fate === Fate.Hung) return hang()
  if (fate === Fate.Refused) return context.json({ failure: 'unavailable' }, 503)
  const body = JSON.stringify({ vms: parts.inventory.visible() })
  const etag = tagOf(body)
  if (context.req.header('if-none-match') === etag) {
    parts.counters.add(node, '', { lists: 1 })
    return context.body(null, 304, { etag })
  }
  parts.counters.add(node, '', { lists: 1, bytesOut: Buffer.byteLength(body) })
  return context.body(body, 200, { 'content-type': 'application/json', etag })
}

function tagOf (body: string): string {
  return `"${createHash('sha256').update(body).digest('base64url').slice(0, TAG_CHARACTERS)}"`
}

async function onPut (context: Context<Env>, inventory: Inventory): Promise<Response> {
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
