/**
 * Dry runs: where new work would go now, and why, without accepting it.
 */
import { err, ok, type Result } from 'neverthrow'
import { parseDryRunQuery } from '@fireflymount/protocol/dry-run-query'
import { MessageKind, type DryRun } from '@fireflymount/protocol/message'
import { Workload } from '@fireflymount/protocol/workload'
import { createJsonResponse } from './json-response.js'
import { createBadRequest, createProblem, createProblemResponse, type Problem } from './problem.js'
import { createNoSuchQueueResponse } from './requests.js'
import { parseSubmission } from './submission.js'
import type { Context } from 'hono'
import type { DryRunReport } from '@fireflymount/protocol/dry-run'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { ApiContext } from './api-context.js'

const OWNER_REQUEST_TIMEOUT_MS = 5000

/**
 * Handles `GET /v1/admin/queues/{queue}/dry-run`.
 *
 * @param api the dependencies of the API
 * @param context the request context; the query has the fields of a submission without `body`, and `team`, which defaults to the
 *   first team of the queue; on a queue of requests only `team` and `deadlineMs`
 * @returns the owner's report, or a problem
 */
export async function onDryRun (api: ApiContext, context: Context): Promise<Response> {
  const queue = api.configurationIndex.queue(context.req.param('queue') ?? '')
  if (queue === undefined) return createNoSuchQueueResponse(api, context)
  const work = parseDryRun(queue, parseDryRunQuery(new URL(context.req.url).searchParams))
  if (work.isErr()) return createProblemResponse(work.error)
  const answer = await api.router.askOwner(queue.upstream, work.value, OWNER_REQUEST_TIMEOUT_MS)
  if (answer.isErr()) return createProblemResponse(createProblem(answer.error))
  return createJsonResponse(withRefusal(answer.value as DryRunReport, refusalHere(api, queue, work.value.team)))
}

/** Returns why this node would refuse the work before its owner is asked. */
function refusalHere (api: ApiContext, queue: Queue, team: string): Refusal | undefined {
  const checks = [api.access.checkTeam(queue, team), api.access.checkFreshness(queue), api.admission.check(team, queue.name)]
  for (const check of checks) {
    if (check.isErr()) return check.error
  }
}

function withRefusal (report: DryRunReport, refusal: Refusal | undefined): DryRunReport {
  return refusal === undefined ? report : { ...report, accepted: false, refusal }
}

function parseDryRun (queue: Queue, fields: Readonly<Record<string, unknown>>): Result<DryRun, Problem> {
  const { team = queue.teams[0], deadlineMs, ...job } = fields
  if (typeof team !== 'string') return err(createBadRequest(`The queue "${queue.name}" has no team. Name one with "team".`))
  const work: DryRun = { kind: MessageKind.DryRun, queue: queue.name, team, tasks: 1 }
  if (queue.workload !== Workload.Request) {
    if (deadlineMs !== undefined) return err(createBadRequest('"deadlineMs" applies only to queues of requests. Leave it out.'))
    return parseSubmission(queue, team, '', { ...job, body: null })
      .map(({ tasks, runtimeMs, size }) => ({ ...work, tasks, runtimeMs, size }))
  }
  if (Object.keys(job).length > 0) {
    return err(createBadRequest('Requests have the size and run time of their queue. Use only team and deadlineMs.'))
  }
  if (deadlineMs === undefined) return ok(work)
  if (!Number.isSafeInteger(deadlineMs) || (deadlineMs as number) < 1) {
    return err(createBadRequest('"deadlineMs" must be a whole number of milliseconds above zero.'))
  }
  return ok({ ...work, deadlineMs: Math.min(deadlineMs as number, queue.deadlineMs) })
}
