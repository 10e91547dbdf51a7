/**
 * Synchronous requests: from the caller to the owner of the queue's upstream and back.
 */
import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { Kind, type Call } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, withEarlierTries, type Refusal } from '@fireflymount/protocol/refusal'
import { Workload } from '@fireflymount/protocol/workload'
import { runAdmitted } from './admitted.js'
import { answerJson } from './answer.js'
import { answerProblem, createBadRequest, createProblem, type Problem } from './problem.js'
import type { Context } from 'hono'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { Entry } from './parts.js'

/** When coming back helps while a node has no configuration. */
const STARTING_RETRY_MS = 1000
const DEADLINE_HEADER = 'fireflymount-deadline-ms'
/** Time for the owner's own answer at the deadline to arrive before the entry gives up. */
const ANSWER_MARGIN_MS = 50
const ABANDON_TIMEOUT_MS = 1000
/** Attempts at reaching the owner. Failures of workers are the owner's to repeat. */
const MOST_ATTEMPTS = 3
/** Failures of the way to the owner, after which another attempt can succeed at once. */
const PASSING: ReadonlySet<Reason> = new Set([Reason.ConnectionLost, Reason.NotOwner, Reason.Leaving])

/**
 * Handles `POST /v1/queues/{queue}/requests`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns the whole answer of the work, or a problem
 */
export async function onRequest (entry: Entry, context: Context): Promise<Response> {
  const arrivedMs = entry.clock.now()
  const queue = entry.directory.queue(context.req.param('queue') ?? '')
  if (queue === undefined) return refuseQueue(entry, context)
  const answer = await runRequest(entry, context, queue, arrivedMs)
  const outcome = answer.isOk() ? 'succeeded' : outcomeOf(answer.error)
  entry.metrics.count(`requests.${queue.name}.${outcome}`)
  entry.metrics.timing(`latency.${queue.name}`, entry.clock.now() - arrivedMs)
  return answer.match((value) => answerJson(value), answerProblem)
}

/**
 * Answers a call to a queue that this node does not know: because there is none, or because it has no configuration yet.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns the problem
 */
export function refuseQueue (entry: Entry, context: Context): Response {
  if (!Number.isFinite(entry.configuration.ageMs())) {
    const detail = 'This node has no configuration yet. Send the work to another node, or again.'
    return answerProblem(createProblem(refuse(Reason.ConfigurationStale, detail, STARTING_RETRY_MS)))
  }
  const detail = `There is no queue "${context.req.param('queue')}". Operators declare queues in the manifest.`
  return answerProblem(createProblem(refuse(Reason.NoSuchQueue, detail)))
}

/**
 * Names a problem in counters.
 *
 * @param problem the problem
 * @returns the last part of its type
 */
export function outcomeOf (problem: Problem): string {
  return problem.type.slice(problem.type.lastIndexOf(':') + 1)
}

async function runRequest (entry: Entry, context: Context, queue: Queue, arrivedMs: number): Promise<Result<unknown, Problem>> {
  if (queue.workload !== Workload.Request) {
    return err(createBadRequest(`The queue "${queue.name}" takes jobs. Use POST /v1/queues/${queue.name}/jobs.`))
  }
  const deadlineMs = parseDeadline(context.req.header(DEADLINE_HEADER), queue)
  if (deadlineMs.isErr()) return err(deadlineMs.error)
  return await runAdmitted(entry, context, queue, async (team, body) => {
    const call: Call = { kind: Kind.Call, id: randomUUID(), queue: queue.name, team, budgetMs: 0, body }
    const answer = await askUnlessGone(entry, queue, call, arrivedMs + deadlineMs.value, context.req.raw.signal)
    return answer.mapErr(createProblem)
  })
}

/** Asks the owner, and tells it when the caller has gone, so that work that still waits is not started. */
async function askUnlessGone (
  entry: Entry, queue: Queue, call: Call, endMs: number, signal: AbortSignal
): Promise<Result<unknown, Refusal>> {
  async function onGone (): Promise<void> {
    entry.metrics.count(`abandoned.${queue.name}`)
    await entry.router.ask(queue.upstream, { kind: Kind.Abandon, shard: queue.upstream, call: call.id! }, ABANDON_TIMEOUT_MS)
  }
  signal.addEventListener('abort', onGone)
  const answer = await askUntil(entry, queue, call, endMs, signal)
  signal.removeEventListener('abort', onGone)
  return answer
}

/** Asks the owner, again after a passing failure, as long as that is safe, the budget allows it and time is left. */
async function askUntil (
  entry: Entry, queue: Queue, call: Call, endMs: number, signal: AbortSignal
): Promise<Result<unknown, Refusal>> {
  entry.retries.earn(queue.name)
  let earlier = Execution.NotRun
  for (let attempt = 1; ; attempt++) {
    if (signal.aborted) return err(withEarlierTries(refuse(Reason.Cancelled, 'The caller has gone.'), earlier))
    const budgetMs = Math.floor(endMs - entry.clock.now())
    if (budgetMs <= 0) {
      const passed = refuse(Reason.DeadlinePassed, 'The deadline passed before the work was sent. Allow more time.')
      return err(withEarlierTries(passed, earlier))
    }
    const answer = await entry.router.ask(queue.upstream, { ...call, budgetMs }, budgetMs + ANSWER_MARGIN_MS, signal)
    if (answer.isOk()) return answer
    const refusal = withEarlierTries(answer.error, earlier)
    if (!mayRepeat(answer.error, queue, attempt)) return err(refusal)
    if (entry.clock.now() >= endMs || !entry.retries.spend(queue.name)) return err(refusal)
    earlier = refusal.execution
    entry.metrics.count(`retries.${queue.name}`)
  }
}

function mayRepeat (refusal: Refusal, queue: Queue, attempt: number): boolean {
  if (attempt >= MOST_ATTEMPTS || !PASSING.has(refusal.reason)) return false
  return refusal.execution === Execution.NotRun || queue.idempotent
}

function parseDeadline (text: string | undefined, queue: Queue): Result<number, Problem> {
  if (text === undefined) return ok(queue.deadlineMs)
  const ms = /^\d{1,12}$/.test(text) ? Number(text) : 0
  if (ms > 0) return ok(Math.min(ms, queue.deadlineMs))
  return err(createBadRequest('The header Fireflymount-Deadline-Ms must be a whole number of milliseconds above zero, such as 250.'))
}
