/**
 * Synchronous requests: forwards them to the owner of the queue's upstream and returns the result.
 */
import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { MessageKind, type Call } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, withEarlierAttempts, type Refusal } from '@fireflymount/protocol/refusal'
import { Workload } from '@fireflymount/protocol/workload'
import { admitAndRun } from './admit-and-run.js'
import { createJsonResponse } from './json-response.js'
import { createProblemResponse, createBadRequest, createProblem, type Problem } from './problem.js'
import type { Context } from 'hono'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { ApiContext } from './api-context.js'

/** Time that callers are told to wait before they retry while this node has no configuration. */
const STARTING_RETRY_AFTER_MS = 1000
const DEADLINE_HEADER = 'fireflymount-deadline-ms'
/** How long after the deadline the API still waits for the owner's response. */
const RESPONSE_MARGIN_MS = 50
const ABANDON_TIMEOUT_MS = 1000
/** Limit on attempts to reach the owner. Failures of workers are retried by the owner, not here. */
const MAX_ATTEMPTS = 3
/** Transient failures to reach the owner, after which another attempt may succeed at once. */
const TRANSIENT_REASONS: ReadonlySet<Reason> = new Set([Reason.ConnectionLost, Reason.NotOwner, Reason.Leaving])

/**
 * Handles `POST /v1/queues/{queue}/requests`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns the result of the work, or a problem
 */
export async function onRequest (api: ApiContext, context: Context): Promise<Response> {
  const arrivedMs = api.clock.now()
  const queue = api.configurationIndex.queue(context.req.param('queue') ?? '')
  if (queue === undefined) return createNoSuchQueueResponse(api, context)
  const answer = await runRequest(api, context, queue, arrivedMs)
  const outcome = answer.isOk() ? 'succeeded' : metricNameOf(answer.error)
  api.metrics.count(`requests.${queue.name}.${outcome}`)
  api.metrics.timing(`latency.${queue.name}`, api.clock.now() - arrivedMs)
  return answer.match((value) => createJsonResponse(value), createProblemResponse)
}

/**
 * Creates the response for an unknown queue: either it does not exist, or this node has no configuration yet.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns the problem response
 */
export function createNoSuchQueueResponse (api: ApiContext, context: Context): Response {
  if (!Number.isFinite(api.configuration.ageMs())) {
    const detail = 'This node has no configuration yet. Send the request to another node or retry.'
    return createProblemResponse(createProblem(refuse(Reason.ConfigurationStale, detail, STARTING_RETRY_AFTER_MS)))
  }
  const detail = `There is no queue "${context.req.param('queue')}". Operators declare queues in the configuration.`
  return createProblemResponse(createProblem(refuse(Reason.NoSuchQueue, detail)))
}

/**
 * Returns the name of a problem in metrics.
 *
 * @param problem the problem
 * @returns the last part of its type
 */
export function metricNameOf (problem: Problem): string {
  return problem.type.slice(problem.type.lastIndexOf(':') + 1)
}

async function runRequest (
  api: ApiContext, context: Context, queue: Queue, arrivedMs: number
): Promise<Result<unknown, Problem>> {
  if (queue.workload !== Workload.Request) {
    return err(createBadRequest(`The queue "${queue.name}" accepts jobs. Use POST /v1/queues/${queue.name}/jobs.`))
  }
  const deadlineMs = parseDeadline(context.req.header(DEADLINE_HEADER), queue)
  if (deadlineMs.isErr()) return err(deadlineMs.error)
  return await admitAndRun(api, context, queue, async (team, body) => {
    const call: Call = { kind: MessageKind.Call, id: randomUUID(), queue: queue.name, team, budgetMs: 0, body }
    const answer = await askUntilDisconnect(api, queue, call, arrivedMs + deadlineMs.value, context.req.raw.signal)
    return answer.mapErr(createProblem)
  })
}

/** Asks the owner. If the caller disconnects, asks the owner to abandon the request, so that queued work is not started. */
async function askUntilDisconnect (
  api: ApiContext, queue: Queue, call: Call, endMs: number, signal: AbortSignal
): Promise<Result<unknown, Refusal>> {
  async function onDisconnect (): Promise<void> {
    api.metrics.count(`abandoned.${queue.name}`)
    await api.router.askOwner(
      queue.upstream, { kind: MessageKind.Abandon, shard: queue.upstream, call: call.id! }, ABANDON_TIMEOUT_MS
    )
  }
  signal.addEventListener('abort', onDisconnect)
  const answer = await askWithRetries(api, queue, call, endMs, signal)
  signal.removeEventListener('abort', onDisconnect)
  return answer
}

/** Asks the owner. Retries transient failures while that is safe, within the retry budget and before the deadline. */
async function askWithRetries (
  api: ApiContext, queue: Queue, call: Call, endMs: number, signal: AbortSignal
): Promise<Result<unknown, Refusal>> {
  api.retryBudget.addTokens(queue.name)
  let earlierExecution = Execution.NotRun
  for (let attempt = 1; ; attempt++) {
    if (signal.aborted) return err(withEarlierAttempts(refuse(Reason.Cancelled, 'The caller disconnected.'), earlierExecution))
    const budgetMs = Math.floor(endMs - api.clock.now())
    if (budgetMs <= 0) {
      const deadlinePassed = refuse(Reason.DeadlinePassed, 'The deadline passed before the work was sent. Set a later deadline.')
      return err(withEarlierAttempts(deadlinePassed, earlierExecution))
    }
    const answer = await api.router.askOwner(queue.upstream, { ...call, budgetMs }, budgetMs + RESPONSE_MARGIN_MS, signal)
    if (answer.isOk()) return answer
    const refusal = withEarlierAttempts(answer.error, earlierExecution)
    if (!isRetryable(answer.error, queue, attempt)) return err(refusal)
    if (api.clock.now() >= endMs || !api.retryBudget.takeToken(queue.name)) return err(refusal)
    earlierExecution = refusal.execution
    api.metrics.count(`retries.${queue.name}`)
  }
}

function isRetryable (refusal: Refusal, queue: Queue, attempt: number): boolean {
  if (attempt >= MAX_ATTEMPTS || !TRANSIENT_REASONS.has(refusal.reason)) return false
  return refusal.execution === Execution.NotRun || queue.idempotent
}

function parseDeadline (text: string | undefined, queue: Queue): Result<number, Problem> {
  if (text === undefined) return ok(queue.deadlineMs)
  const ms = /^\d{1,12}$/.test(text) ? Number(text) : 0
  if (ms > 0) return ok(Math.min(ms, queue.deadlineMs))
  return err(createBadRequest('The header Fireflymount-Deadline-Ms must be a whole number of milliseconds above zero, such as 250.'))
}
