/**
 * Commands on jobs and requests: submit, job, cancel and explain.
 */
import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { JobState, type Job } from '@fireflymount/protocol/message'
import type { DryRunReport } from '@fireflymount/protocol/dry-run'
import { formatDryRunQuery } from '@fireflymount/protocol/dry-run-query'
import type { Resources } from '@fireflymount/protocol/resources'
import { createObjectOutput, type ActionContext, type ActionOutput } from './action.js'
import { RetryPolicy } from './client.js'
import { formatDryRun } from './dry-run.js'
import { ExitCode } from './exit-code.js'
import { createUsageError, type Failure } from './failure.js'
import { readText } from './options.js'
import { formatJson } from './terminal.js'

/** Options of the command `submit`. */
export interface SubmitOptions {
  readonly body?: string
  readonly bodyFile?: string
  readonly request?: boolean
  /** Milliseconds. */
  readonly deadline?: number
  readonly idempotencyKey?: string
  readonly tasks?: number
  /** Milliseconds. */
  readonly runtime?: number
  /** Seconds. */
  readonly wait?: number
}

/** Final states of a job that make the command fail. */
const UNSUCCESSFUL_STATES: ReadonlySet<JobState> = new Set([JobState.Failed, JobState.Cancelled, JobState.Unknown])

/**
 * Submits a durable job or a synchronous request.
 *
 * @param context the client and the terminal
 * @param queue the queue
 * @param options the options of the command
 * @returns the job, or the answer of the request
 */
export async function submit (
  context: ActionContext, queue: string, options: SubmitOptions
): Promise<Result<ActionOutput, Failure>> {
  const body = await readBody(context, options)
  if (body.isErr()) return err(body.error)
  if (options.request) return await sendRequest(context, queue, options, body.value)
  return await sendJob(context, queue, options, body.value)
}

/**
 * Shows a job.
 *
 * @param context the client and the terminal
 * @param id the job's id
 * @param wait seconds to wait for the job to complete; absent to return at once
 * @returns the job
 */
export async function showJob (context: ActionContext, id: string, wait?: number): Promise<Result<ActionOutput, Failure>> {
  const answer = await context.client.call({
    method: 'GET', path: pathOf(id), retry: RetryPolicy.Safe, headers: createWaitHeaders(wait)
  })
  return answer.map(({ body }) => describeJob(body as Job))
}

/**
 * Cancels a job.
 *
 * @param context the client and the terminal
 * @param id the job's id
 * @returns the job after the cancellation
 */
export async function cancel (context: ActionContext, id: string): Promise<Result<ActionOutput, Failure>> {
  const answer = await context.client.call({ method: 'DELETE', path: pathOf(id), retry: RetryPolicy.Safe })
  return answer.map(({ body }) => createObjectOutput(body as Job))
}

/**
 * Explains why a job is waiting and under which conditions it would start.
 *
 * @param context the client and the terminal
 * @param id the job's id
 * @returns the explanation
 */
export async function explain (context: ActionContext, id: string): Promise<Result<ActionOutput, Failure>> {
  const answer = await context.client.call({ method: 'GET', path: `${pathOf(id)}/explanation`, retry: RetryPolicy.Safe })
  return answer.map(({ body }) => describeExplanation((body ?? {}) as Partial<DryRunReport>))
}

/** Describes an explanation, which is a report if the nodes are those of the users' platform and the job waits. */
function describeExplanation (explanation: Partial<DryRunReport>): ActionOutput {
  if (explanation.workers === undefined) return createObjectOutput(explanation)
  return { value: explanation, text: formatDryRun(explanation as DryRunReport) }
}

/** Options of the command `explain` that describe work which is not submitted. */
export interface DryRunOptions {
  readonly queue?: string
  readonly team?: string
  readonly tasks?: number
  /** Milliseconds. */
  readonly runtime?: number
  readonly size?: Resources
  /** Milliseconds. */
  readonly deadline?: number
  readonly label?: string
  readonly gang?: boolean
}

/**
 * Explains where work would go if it were submitted now, without submitting it.
 *
 * @param context the client and the terminal
 * @param options the work
 * @returns the report
 */
export async function explainNew (context: ActionContext, options: DryRunOptions): Promise<Result<ActionOutput, Failure>> {
  const { queue, team, tasks, runtime: runtimeMs, size, deadline: deadlineMs, label, gang } = options
  if (queue === undefined) return err(createUsageError('Give the id of a job, or --queue for work that is not submitted.'))
  const query = formatDryRunQuery({ team, tasks, runtimeMs, size, deadlineMs, label, gang })
  const answer = await context.client.call({
    method: 'GET',
    path: `/v1/admin/queues/${encodeURIComponent(queue)}/dry-run?${query}`,
    retry: RetryPolicy.Safe
  })
  return answer.map(({ body }) => ({ value: body, text: formatDryRun(body as DryRunReport) }))
}

async function sendRequest (
  context: ActionContext, queue: string, options: SubmitOptions, body: unknown
): Promise<Result<ActionOutput, Failure>> {
  const headers: Record<string, string> = {}
  if (options.deadline !== undefined) headers['fireflymount-deadline-ms'] = String(options.deadline)
  const path = `/v1/queues/${encodeURIComponent(queue)}/requests`
  const answer = await context.client.call({ method: 'POST', path, retry: RetryPolicy.Never, headers, body })
  return answer.map(({ body: result }) => ({ value: result, text: formatJson(result) }))
}

async function sendJob (
  context: ActionContext, queue: string, options: SubmitOptions, body: unknown
): Promise<Result<ActionOutput, Failure>> {
  const key = options.idempotencyKey ?? randomUUID()
  const answer = await context.client.call({
    method: 'POST',
    path: `/v1/queues/${encodeURIComponent(queue)}/jobs`,
    retry: RetryPolicy.Safe,
    headers: { 'idempotency-key': key, ...createWaitHeaders(options.wait) },
    body: { tasks: options.tasks, runtimeMs: options.runtime, body }
  })
  if (answer.isOk()) return ok(describeJob(answer.value.body as Job))
  if (answer.error.exit !== ExitCode.Unknown) return err(answer.error)
  return err({ ...answer.error, message: `${answer.error.message} Retry with --idempotency-key ${key} to find out.` })
}

function describeJob (job: Job): ActionOutput {
  const output = createObjectOutput(job)
  if (!UNSUCCESSFUL_STATES.has(job.state)) return output
  const exit = job.state === JobState.Unknown ? ExitCode.Unknown : ExitCode.Failed
  return { ...output, failure: { exit, message: `The job is ${job.state}. ${job.detail ?? ''}`.trimEnd() } }
}

async function readBody (context: ActionContext, { body, bodyFile }: SubmitOptions): Promise<Result<unknown, Failure>> {
  if (body !== undefined && bodyFile !== undefined) return err(createUsageError('Give either --body or --body-file.'))
  const text = bodyFile === undefined ? ok(body ?? 'null') : await readText(bodyFile, context.terminal)
  return text.andThen(parseBody)
}

function parseBody (text: string): Result<unknown, Failure> {
  try {
    return ok(JSON.parse(text))
  } catch (error) {
    return err(createUsageError(`The body is not valid JSON: ${(error as Error).message}.`))
  }
}

function pathOf (id: string): string {
  return `/v1/jobs/${encodeURIComponent(id)}`
}

function createWaitHeaders (seconds: number | undefined): Record<string, string> {
  return seconds === undefined ? {} : { prefer: `wait=${seconds}` }
}
