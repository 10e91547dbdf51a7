/**
 * The operators' request for a dry run, `POST /v1/admin/queues/{queue}/dry-run`, as the command line sends it.
 */
import type { ServerResponse } from 'node:http'
import { MessageKind, type DryRun } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import type { Resources } from '@fireflymount/protocol/resources'
import { err, ok, type Result } from 'neverthrow'

const PATH = /^\/v1\/admin\/queues\/([^/]+)\/dry-run$/
const FIELDS = ['team', 'tasks', 'runtimeMs', 'size', 'label', 'gang'] as const
const DIMENSIONS = ['cpuMilli', 'memoryMb', 'accelerators'] as const
const EXAMPLE = 'such as {"team": "guild", "runtimeMs": 1000, "size": {"cpuMilli": 500, "memoryMb": 1024, "accelerators": 0}}'
const STATUS_OF_REASON: Partial<Record<Reason, number>> = {
  [Reason.BadRequest]: 400, [Reason.NoSuchQueue]: 404, [Reason.Internal]: 500
}

/** Answers a dry run. */
export type DryRunHandler = (request: DryRun) => Promise<Result<unknown, Refusal>>

/** Returns the queue of a request for a dry run; undefined for any other request. */
export function queueOfDryRun (method: string | undefined, url: string | undefined): string | undefined {
  const queue = PATH.exec(url ?? '')?.[1]
  if (method !== 'POST' || queue === undefined) return undefined
  try {
    return decodeURIComponent(queue)
  } catch {
    return undefined
  }
}

/**
 * Decodes the body of a request for a dry run.
 *
 * @returns the message for the owner, or which field is invalid and how to mend it
 */
export function decodeDryRun (queue: string, body: string): Result<DryRun, Refusal> {
  const fields = parseObject(body)
  if (fields === undefined) return err(refuse(Reason.BadRequest, `The body must be an object ${EXAMPLE}.`))
  const { team = '', tasks = 1, runtimeMs, size, label = '', gang = false } = fields
  const mistakes = Object.keys(fields).filter((name) => !(FIELDS as readonly string[]).includes(name))
    .map((name) => `"${name}" is unknown: use only ${FIELDS.join(', ')}.`)
  if (typeof team !== 'string') mistakes.push('"team" must be the name of a workspace.')
  if (!isPositive(tasks)) mistakes.push('"tasks" must be a whole number above zero.')
  if (!isPositive(runtimeMs)) mistakes.push('"runtimeMs" must be a whole number of milliseconds above zero.')
  if (!isSize(size)) mistakes.push(`"size" must have whole numbers, zero or more, for ${DIMENSIONS.join(', ')}.`)
  if (typeof label !== 'string') mistakes.push('"label" must be the label of a worker.')
  if (typeof gang !== 'boolean') mistakes.push('"gang" must be true or false.')
  if (mistakes.length > 0) return err(refuse(Reason.BadRequest, mistakes.join(' ')))
  return ok({ kind: MessageKind.DryRun, queue, team, tasks, runtimeMs, size, label, gang } as DryRun)
}

/** Answers a request for a dry run. */
export async function answerDryRun (
  queue: string, body: string, response: ServerResponse, handler: DryRunHandler
): Promise<void> {
  const request = decodeDryRun(queue, body)
  const answer = request.isOk() ? await handler(request.value) : err(request.error)
  if (answer.isOk()) {
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(answer.value))
    return
  }
  const { reason, detail, execution, retryAfterMs } = answer.error
  response.writeHead(STATUS_OF_REASON[reason] ?? 503, { 'content-type': 'application/problem+json' })
  response.end(JSON.stringify({ title: reason, detail, execution, retryAfterMs }))
}

function parseObject (text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}

function isSize (value: unknown): value is Resources {
  if (typeof value !== 'object' || value === null) return false
  return DIMENSIONS.every((dimension) => isAmount((value as Partial<Resources>)[dimension]))
}

function isAmount (value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

function isPositive (value: unknown): boolean {
  return isAmount(value) && value !== 0
}
