/**
 * The operators' requests for explanations, as the command line sends them: `GET /v1/admin/queues/{queue}/dry-run` for a job that is
 * not submitted, and `GET /v1/jobs/{id}/explanation` for one that is. Neither has a body, which the metrics address does not take.
 */
import type { ServerResponse } from 'node:http'
import { parseDryRunQuery } from '@fireflymount/protocol/dry-run-query'
import { MessageKind, type DryRun, type Explain } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import type { Resources } from '@fireflymount/protocol/resources'
import { err, ok, type Result } from 'neverthrow'

const DRY_RUN_PATH = /^\/v1\/admin\/queues\/([^/]+)\/dry-run$/
const JOB_PATH = /^\/v1\/(?:admin\/)?jobs\/([^/]+)\/explanation$/
const FIELDS = ['team', 'tasks', 'runtimeMs', 'size', 'label', 'gang'] as const
const DIMENSIONS = ['cpuMilli', 'memoryMb', 'accelerators'] as const
const BASE_URL = 'http://node'
const STATUS_OF_REASON: Partial<Record<Reason, number>> = {
  [Reason.BadRequest]: 400, [Reason.NoSuchQueue]: 404, [Reason.NoSuchJob]: 404, [Reason.Internal]: 500
}

/** Answers a request for an explanation. */
export type ExplanationHandler = (request: DryRun | Explain) => Promise<Result<unknown, Refusal>>

/**
 * Decodes a request for an explanation.
 *
 * @returns the message for the owner, or what is invalid and how to mend it; undefined for any other request
 */
export function decodeExplanation (
  method: string | undefined, url: string | undefined
): Result<DryRun | Explain, Refusal> | undefined {
  if (method !== 'GET' || url === undefined || !URL.canParse(url, BASE_URL)) return undefined
  const { pathname, searchParams } = new URL(url, BASE_URL)
  const queue = nameIn(DRY_RUN_PATH, pathname)
  if (queue !== undefined) return decodeDryRun(queue, parseDryRunQuery(searchParams))
  const job = nameIn(JOB_PATH, pathname)
  return job === undefined ? undefined : ok({ kind: MessageKind.Explain, job })
}

/** Answers a decoded request. */
export async function answerExplanation (
  request: Result<DryRun | Explain, Refusal>, response: ServerResponse, handler: ExplanationHandler
): Promise<void> {
  const answer = request.isOk() ? await handler(request.value) : err(request.error)
  if (answer.isOk()) {
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(answer.value))
    return
  }
  const { reason, detail, execution, retryAfterMs } = answer.error
  response.writeHead(STATUS_OF_REASON[reason] ?? 503, { 'content-type': 'application/problem+json' })
  response.end(JSON.stringify({ title: reason, detail, execution, retryAfterMs }))
}

function nameIn (path: RegExp, pathname: string): string | undefined {
  try {
    const name = path.exec(pathname)?.[1]
    return name === undefined ? undefined : decodeURIComponent(name)
  } catch {
    return undefined
  }
}

function decodeDryRun (queue: string, fields: Readonly<Record<string, unknown>>): Result<DryRun, Refusal> {
  const { team = '', tasks = 1, runtimeMs, size, label = '', gang = false } = fields
  const mistakes = Object.keys(fields).filter((name) => !(FIELDS as readonly string[]).includes(name))
    .map((name) => `"${name}" is unknown: use only ${FIELDS.join(', ')}.`)
  if (typeof team !== 'string') mistakes.push('"team" must be the name of a workspace.')
  if (!isPositive(tasks)) mistakes.push('"tasks" must be a whole number above zero.')
  if (!isPositive(runtimeMs)) mistakes.push('"runtimeMs" must be a whole number of milliseconds above zero.')
  if (!isSize(size)) mistakes.push(`"size" must be whole numbers, zero or more, for ${DIMENSIONS.join(', ')}, such as 500,1024,0.`)
  if (typeof label !== 'string') mistakes.push('"label" must be the label of a worker.')
  if (typeof gang !== 'boolean') mistakes.push('"gang" must be true or false.')
  if (mistakes.length > 0) return err(refuse(Reason.BadRequest, mistakes.join(' ')))
  return ok({ kind: MessageKind.DryRun, queue, team, tasks, runtimeMs, size, label, gang } as DryRun)
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
