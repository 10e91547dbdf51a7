/**
 * Commands on work: submit, job, cancel, explain.
 */
import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { JobState, type Job } from '@fireflymount/protocol/message'
import { describeObject, type Outcome, type Session } from './action.js'
import { Repeat } from './client.js'
import { Exit } from './exit.js'
import { createMisuse, type Failure } from './failure.js'
import { readText } from './options.js'
import { formatJson } from './terminal.js'

/** Options of `submit`. */
export interface Submission {
  readonly body?: string
  readonly bodyFile?: string
  readonly request?: boolean
  readonly deadline?: number
  readonly idempotencyKey?: string
  readonly tasks?: number
  readonly runtime?: number
  readonly wait?: number
}

const BAD_ENDS: ReadonlySet<JobState> = new Set([JobState.Failed, JobState.Cancelled, JobState.Unknown])

/**
 * Submits a durable job or a synchronous request.
 *
 * @param session the client and the terminal
 * @param queue the queue
 * @param options the work
 * @returns the job, or the answer of the request
 */
export async function submit (session: Session, queue: string, options: Submission): Promise<Result<Outcome, Failure>> {
  const body = await readBody(session, options)
  if (body.isErr()) return err(body.error)
  if (options.request) return await sendRequest(session, queue, options, body.value)
  return await sendJob(session, queue, options, body.value)
}

/**
 * Shows a job.
 *
 * @param session the client and the terminal
 * @param id the job
 * @param wait seconds to wait for its end
 * @returns the job
 */
export async function showJob (session: Session, id: string, wait?: number): Promise<Result<Outcome, Failure>> {
  const reply = await session.client.call({ method: 'GET', path: pathOf(id), repeat: Repeat.Safe, headers: preferWait(wait) })
  return reply.map(({ body }) => describeJob(body as Job))
}

/**
 * Cancels a job.
 *
 * @param session the client and the terminal
 * @param id the job
 * @returns the job as it is then
 */
export async function cancel (session: Session, id: string): Promise<Result<Outcome, Failure>> {
  const reply = await session.client.call({ method: 'DELETE', path: pathOf(id), repeat: Repeat.Safe })
  return reply.map(({ body }) => describeObject(body as Job))
}

/**
 * Tells why a job waits and what would let it run.
 *
 * @param session the client and the terminal
 * @param id the job
 * @returns the explanation
 */
export async function explain (session: Session, id: string): Promise<Result<Outcome, Failure>> {
  const reply = await session.client.call({ method: 'GET', path: `${pathOf(id)}/explanation`, repeat: Repeat.Safe })
  return reply.map(({ body }) => describeObject((body ?? {}) as object))
}

async function sendRequest (
  session: Session, queue: string, options: Submission, body: unknown
): Promise<Result<Outcome, Failure>> {
  const headers: Record<string, string> = {}
  if (options.deadline !== undefined) headers['fireflymount-deadline-ms'] = String(options.deadline)
  const path = `/v1/queues/${encodeURIComponent(queue)}/requests`
  const reply = await session.client.call({ method: 'POST', path, repeat: Repeat.Never, headers, body })
  return reply.map((answer) => ({ value: answer.body, text: formatJson(answer.body) }))
}

async function sendJob (session: Session, queue: string, options: Submission, body: unknown): Promise<Result<Outcome, Failure>> {
  const key = options.idempotencyKey ?? randomUUID()
  const reply = await session.client.call({
    method: 'POST',
    path: `/v1/queues/${encodeURIComponent(queue)}/jobs`,
    repeat: Repeat.Safe,
    headers: { 'idempotency-key': key, ...preferWait(options.wait) },
    body: { tasks: options.tasks, runtimeMs: options.runtime, body }
  })
  if (reply.isOk()) return ok(describeJob(reply.value.body as Job))
  if (reply.error.exit !== Exit.Unknown) return err(reply.error)
  return err({ ...reply.error, message: `${reply.error.message} Repeat with --idempotency-key ${key} to settle that.` })
}

function describeJob (job: Job): Outcome {
  const outcome = describeObject(job)
  if (!BAD_ENDS.has(job.state)) return outcome
  const exit = job.state === JobState.Unknown ? Exit.Unknown : Exit.Failed
  return { ...outcome, failure: { exit, message: `The job is ${job.state}. ${job.detail ?? ''}`.trimEnd() } }
}

async function readBody (session: Session, { body, bodyFile }: Submission): Promise<Result<unknown, Failure>> {
  if (body !== undefined && bodyFile !== undefined) return err(createMisuse('Give either --body or --body-file.'))
  const text = bodyFile === undefined ? ok(body ?? 'null') : await readText(bodyFile, session.terminal)
  return text.andThen(parseBody)
}

function parseBody (text: string): Result<unknown, Failure> {
  try {
    return ok(JSON.parse(text))
  } catch (error) {
    return err(createMisuse(`The body is not valid JSON: ${(error as Error).message}.`))
  }
}

function pathOf (id: string): string {
  return `/v1/jobs/${encodeURIComponent(id)}`
}

function preferWait (seconds: number | undefined): Record<string, string> {
  return seconds === undefined ? {} : { prefer: `wait=${seconds}` }
}
