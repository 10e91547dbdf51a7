/**
 * Durable jobs: submission, status, cancellation and explanation.
 */
import { err, ok, type Result } from 'neverthrow'
import { JobCodec, JobState, MessageKind, type Job } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { sleep } from '@fireflymount/service-clients/clock'
import { Workload } from '@fireflymount/protocol/workload'
import { admitAndRun } from './admit-and-run.js'
import { createJsonResponse } from './json-response.js'
import { Phase } from './lifecycle.js'
import { createProblemResponse, createBadRequest, createProblem, type Problem } from './problem.js'
import { metricNameOf, createNoSuchQueueResponse } from './requests.js'
import { parseIdempotencyKey, parseSubmission, shardOf } from './submission.js'
import type { Context } from 'hono'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { ApiContext } from './api-context.js'

/** Timeout of a request to the owner, without the time for which the owner holds a poll open. */
const OWNER_REQUEST_TIMEOUT_MS = 5000
/** Longest wait for the completion of a job that a caller can ask for. */
const MAX_WAIT_MS = 60_000
/** Longest wait of one poll of the owner, so that a graceful shutdown of this node is noticed between polls. */
const MAX_POLL_WAIT_MS = 2000
/** Shortest time between two polls, even if the owner responds at once. */
const MIN_POLL_INTERVAL_MS = 20
const MS_PER_SECOND = 1000
const FINAL_STATES: ReadonlySet<JobState> = new Set([JobState.Succeeded, JobState.Failed, JobState.Cancelled, JobState.Unknown])

/**
 * Handles `POST /v1/queues/{queue}/jobs`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns 202 with the job once it is durable, or a problem. The status is 200 if the job had ended before, or ended within the
 *   wait that the caller asked for.
 */
export async function onSubmit (api: ApiContext, context: Context): Promise<Response> {
  const arrivedMs = api.clock.now()
  const queue = api.configurationIndex.queue(context.req.param('queue') ?? '')
  if (queue === undefined) return createNoSuchQueueResponse(api, context)
  const key = parseIdempotencyKey(queue, context.req.header('idempotency-key'))
  const headers: Record<string, string> = key.isOk() ? { 'idempotency-key': key.value } : {}
  const job = key.isOk() ? await submitJob(api, context, queue, key.value) : err(key.error)
  api.metrics.count(`jobs.${queue.name}.${job.isOk() ? 'accepted' : metricNameOf(job.error)}`)
  api.metrics.timing(`latency.${queue.name}`, api.clock.now() - arrivedMs)
  if (job.isErr()) return createProblemResponse(job.error, headers)
  headers.location = `/v1/jobs/${job.value.job}`
  const status = FINAL_STATES.has(job.value.state) ? 200 : 202
  return createJsonResponse(job.value, status, headers)
}

/**
 * Handles `GET /v1/jobs/{id}`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns the job, or a problem
 */
export async function onStatus (api: ApiContext, context: Context): Promise<Response> {
  const waitMs = parseWait(context.req.header('prefer'))
  return await respondAboutJob(api, context, async (job) => ok(await waitForCompletion(api, context, job, waitMs)))
}

/**
 * Handles `DELETE /v1/jobs/{id}`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns the job, which may still be running, or a problem; the cancellation is recorded unless the job had already ended
 */
export async function onCancel (api: ApiContext, context: Context): Promise<Response> {
  return await respondAboutJob(api, context, async ({ job }) => {
    const answer = await api.router.askOwner(shardOf(job)!, { kind: MessageKind.Cancel, job }, OWNER_REQUEST_TIMEOUT_MS)
    return answer.andThen(decodeJob)
  })
}

/**
 * Handles `GET /v1/jobs/{id}/explanation`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns why the job is waiting, or a problem
 */
export async function onExplain (api: ApiContext, context: Context): Promise<Response> {
  return await respondAboutJob(api, context, ({ job }) => {
    return api.router.askOwner(shardOf(job)!, { kind: MessageKind.Explain, job }, OWNER_REQUEST_TIMEOUT_MS)
  })
}

/** Looks up a job, checks that the caller may see it, and responds with the owner's answer to a request about it. */
async function respondAboutJob (
  api: ApiContext, context: Context, ask: (job: Job) => Promise<Result<unknown, Refusal>>
): Promise<Response> {
  const slot = api.admission.admitUnattributed()
  if (slot.isErr()) return createProblemResponse(createProblem(slot.error))
  try {
    const job = await findJob(api, context)
    if (job.isErr()) return createProblemResponse(job.error)
    const answer = await ask(job.value)
    return answer.mapErr(createProblem).match((value) => createJsonResponse(value), createProblemResponse)
  } finally {
    slot.value.release()
  }
}

async function submitJob (api: ApiContext, context: Context, queue: Queue, key: string): Promise<Result<Job, Problem>> {
  if (queue.workload === Workload.Request) {
    return err(createBadRequest(`The queue "${queue.name}" accepts synchronous requests. Use POST /v1/queues/${queue.name}/requests.`))
  }
  return await admitAndRun(api, context, queue, async (team, body) => {
    const submit = parseSubmission(queue, team, key, body)
    if (submit.isErr()) return err(submit.error)
    const answer = await api.router.askOwner(queue.upstream, submit.value, OWNER_REQUEST_TIMEOUT_MS)
    const job = answer.andThen(decodeJob).mapErr(describeSubmission)
    if (job.isErr()) return err(createProblem(job.error))
    return ok(await waitForCompletion(api, context, job.value, parseWait(context.req.header('prefer'))))
  })
}

/** Looks up a job and checks that the caller may see it. */
async function findJob (api: ApiContext, context: Context): Promise<Result<Job, Problem>> {
  const header = context.req.header('authorization')
  const caller = api.access.checkCaller(header)
  if (caller.isErr()) return err(createProblem(caller.error))
  const id = context.req.param('id') ?? ''
  const shard = shardOf(id)
  if (shard === undefined || !api.configurationIndex.hasUpstream(shard)) {
    return err(createProblem(refuse(Reason.NoSuchJob, 'There is no job with this id.')))
  }
  const answer = await api.router.askOwner(shard, { kind: MessageKind.Status, job: id, waitMs: 0 }, OWNER_REQUEST_TIMEOUT_MS)
  const job = answer.andThen(decodeJob)
  if (job.isErr()) return err(createProblem(job.error))
  const access = api.access.checkJob(job.value, header)
  return access.isErr() ? err(createProblem(access.error)) : ok(job.value)
}

/** Polls the job until it has completed, the wait has timed out, the caller has disconnected or this node is draining. */
async function waitForCompletion (api: ApiContext, context: Context, first: Job, waitMs: number): Promise<Job> {
  const endMs = api.clock.now() + waitMs
  let job = first
  while (!FINAL_STATES.has(job.state)) {
    const remainingMs = endMs - api.clock.now()
    if (remainingMs <= 0 || context.req.raw.signal.aborted || api.lifecycle.current() === Phase.Draining) return job
    const pollWaitMs = Math.ceil(Math.min(remainingMs, MAX_POLL_WAIT_MS))
    const status = { kind: MessageKind.Status as const, job: job.job, waitMs: pollWaitMs }
    const answer = await api.router.askOwner(
      shardOf(job.job)!, status, pollWaitMs + OWNER_REQUEST_TIMEOUT_MS, context.req.raw.signal
    )
    const next = answer.andThen(decodeJob)
    if (next.isErr()) return job
    job = next.value
    if (!FINAL_STATES.has(job.state)) await sleep(MIN_POLL_INTERVAL_MS, context.req.raw.signal)
  }
  return job
}

function parseWait (prefer: string | undefined): number {
  const seconds = /(?:^|[,;\s])wait=(\d{1,5})(?=$|[,;\s])/i.exec(prefer ?? '')?.[1]
  return Math.min(Number(seconds ?? 0) * MS_PER_SECOND, MAX_WAIT_MS)
}

function decodeJob (value: unknown): Result<Job, Refusal> {
  return JobCodec.decode(value).caseOf<Result<Job, Refusal>>({
    Left: () => err({ reason: Reason.Malformed, detail: 'The response of the owner is not a valid job.', execution: Execution.Unknown }),
    Right: (job) => ok(job)
  })
}

function describeSubmission (refusal: Refusal): Refusal {
  if (refusal.execution !== Execution.Unknown) return refusal
  return { ...refusal, detail: `${refusal.detail} The job may have been accepted. Submit it again with the same Idempotency-Key to find out.` }
}
