/**
 * Durable jobs: submission, status, cancellation and explanation.
 */
import { err, ok, type Result } from 'neverthrow'
import { JobCodec, JobState, Kind, type Job } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { sleep } from '@fireflymount/platform/clock'
import { Workload } from '@fireflymount/protocol/workload'
import { runAdmitted } from './admitted.js'
import { answerJson } from './answer.js'
import { Phase } from './presence.js'
import { answerProblem, createBadRequest, createProblem, type Problem } from './problem.js'
import { outcomeOf, refuseQueue } from './requests.js'
import { parseIdempotencyKey, parseSubmission, shardOf } from './submission.js'
import type { Context } from 'hono'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { Entry } from './parts.js'

const OWNER_TIMEOUT_MS = 5000
const MOST_WAIT_MS = 60_000
/** Longest wait in one question to the owner, after which a planned stop is noticed. */
const WAIT_STEP_MS = 2000
/** Least time between two questions, also when the owner answers at once. */
const POLL_MS = 20
const MS_PER_SECOND = 1000
const ENDED: ReadonlySet<JobState> = new Set([JobState.Succeeded, JobState.Failed, JobState.Cancelled, JobState.Unknown])

/**
 * Handles `POST /v1/queues/{queue}/jobs`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns 202 with the job once it is durable, 200 if it has ended within the wait that the caller prefers, or a problem
 */
export async function onSubmit (entry: Entry, context: Context): Promise<Response> {
  const arrivedMs = entry.clock.now()
  const queue = entry.directory.queue(context.req.param('queue') ?? '')
  if (queue === undefined) return refuseQueue(entry, context)
  const key = parseIdempotencyKey(queue, context.req.header('idempotency-key'))
  const headers: Record<string, string> = key.isOk() ? { 'idempotency-key': key.value } : {}
  const job = key.isOk() ? await submitJob(entry, context, queue, key.value) : err(key.error)
  entry.metrics.count(`jobs.${queue.name}.${job.isOk() ? 'accepted' : outcomeOf(job.error)}`)
  entry.metrics.timing(`latency.${queue.name}`, entry.clock.now() - arrivedMs)
  if (job.isErr()) return answerProblem(job.error, headers)
  headers.location = `/v1/jobs/${job.value.job}`
  const status = ENDED.has(job.value.state) ? 200 : 202
  return answerJson(job.value, status, headers)
}

/**
 * Handles `GET /v1/jobs/{id}`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns the job, or a problem
 */
export async function onStatus (entry: Entry, context: Context): Promise<Response> {
  const waitMs = parseWait(context.req.header('prefer'))
  return await answerAboutJob(entry, context, async (job) => ok(await waitForEnd(entry, context, job, waitMs)))
}

/**
 * Handles `DELETE /v1/jobs/{id}`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns the job, cancelled unless it had ended, or a problem
 */
export async function onCancel (entry: Entry, context: Context): Promise<Response> {
  return await answerAboutJob(entry, context, async ({ job }) => {
    const answer = await entry.router.ask(shardOf(job)!, { kind: Kind.Cancel, job }, OWNER_TIMEOUT_MS)
    return answer.andThen(decodeJob)
  })
}

/**
 * Handles `GET /v1/jobs/{id}/explanation`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns why the job waits, or a problem
 */
export async function onExplain (entry: Entry, context: Context): Promise<Response> {
  return await answerAboutJob(entry, context, ({ job }) => {
    return entry.router.ask(shardOf(job)!, { kind: Kind.Explain, job }, OWNER_TIMEOUT_MS)
  })
}

/** Answers a question about a job that the caller may see. */
async function answerAboutJob (
  entry: Entry, context: Context, ask: (job: Job) => Promise<Result<unknown, Refusal>>
): Promise<Response> {
  const place = entry.admission.enterUnknown()
  if (place.isErr()) return answerProblem(createProblem(place.error))
  try {
    const job = await findJob(entry, context)
    if (job.isErr()) return answerProblem(job.error)
    const answer = await ask(job.value)
    return answer.mapErr(createProblem).match((value) => answerJson(value), answerProblem)
  } finally {
    place.value.leave()
  }
}

async function submitJob (entry: Entry, context: Context, queue: Queue, key: string): Promise<Result<Job, Problem>> {
  if (queue.workload === Workload.Request) {
    return err(createBadRequest(`The queue "${queue.name}" takes synchronous requests. Use POST /v1/queues/${queue.name}/requests.`))
  }
  return await runAdmitted(entry, context, queue, async (team, body) => {
    const submit = parseSubmission(queue, team, key, body)
    if (submit.isErr()) return err(submit.error)
    const answer = await entry.router.ask(queue.upstream, submit.value, OWNER_TIMEOUT_MS)
    const job = answer.andThen(decodeJob).mapErr(describeSubmission)
    if (job.isErr()) return err(createProblem(job.error))
    return ok(await waitForEnd(entry, context, job.value, parseWait(context.req.header('prefer'))))
  })
}

/** Finds a job that the caller may see. */
async function findJob (entry: Entry, context: Context): Promise<Result<Job, Problem>> {
  const header = context.req.header('authorization')
  const caller = entry.access.checkCaller(header)
  if (caller.isErr()) return err(createProblem(caller.error))
  const id = context.req.param('id') ?? ''
  const shard = shardOf(id)
  if (shard === undefined || !entry.directory.hasUpstream(shard)) {
    return err(createProblem(refuse(Reason.NoSuchJob, 'There is no job with this id.')))
  }
  const answer = await entry.router.ask(shard, { kind: Kind.Status, job: id, waitMs: 0 }, OWNER_TIMEOUT_MS)
  const job = answer.andThen(decodeJob)
  if (job.isErr()) return err(createProblem(job.error))
  const access = entry.access.checkJob(job.value, header)
  return access.isErr() ? err(createProblem(access.error)) : ok(job.value)
}

/** Asks for the job until it has ended, the wait is over, the caller has gone or this node stops. */
async function waitForEnd (entry: Entry, context: Context, first: Job, waitMs: number): Promise<Job> {
  const endMs = entry.clock.now() + waitMs
  let job = first
  while (!ENDED.has(job.state)) {
    const leftMs = endMs - entry.clock.now()
    if (leftMs <= 0 || context.req.raw.signal.aborted || entry.presence.current() === Phase.Draining) return job
    const stepMs = Math.ceil(Math.min(leftMs, WAIT_STEP_MS))
    const status = { kind: Kind.Status as const, job: job.job, waitMs: stepMs }
    const answer = await entry.router.ask(shardOf(job.job)!, status, stepMs + OWNER_TIMEOUT_MS, context.req.raw.signal)
    const next = answer.andThen(decodeJob)
    if (next.isErr()) return job
    job = next.value
    if (!ENDED.has(job.state)) await sleep(POLL_MS, context.req.raw.signal)
  }
  return job
}

function parseWait (prefer: string | undefined): number {
  const seconds = /(?:^|[,;\s])wait=(\d{1,5})(?=$|[,;\s])/i.exec(prefer ?? '')?.[1]
  return Math.min(Number(seconds ?? 0) * MS_PER_SECOND, MOST_WAIT_MS)
}

function decodeJob (value: unknown): Result<Job, Refusal> {
  return JobCodec.decode(value).caseOf<Result<Job, Refusal>>({
    Left: () => err({ reason: Reason.Malformed, detail: 'The owner sent no valid job.', execution: Execution.Unknown }),
    Right: (job) => ok(job)
  })
}

function describeSubmission (refusal: Refusal): Refusal {
  if (refusal.execution !== Execution.Unknown) return refusal
  return { ...refusal, detail: `${refusal.detail} The job may have been accepted. Repeat it with the same Idempotency-Key to settle that.` }
}
