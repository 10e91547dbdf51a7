/**
 * Calls the daemons' HTTP API as callers do: submits durable jobs and sends synchronous requests.
 */
import type { Job } from '@fireflymount/protocol/message'
import { CallFailure, callJson, type HttpResponse } from '../cell/http.js'
import type { Answer } from '../check/evidence.js'
import type { Result } from 'neverthrow'

const NANOSECONDS_PER_MS = 1e6
/** Prefix of a problem type, e.g. `urn:fireflymount:problem:`. */
const PROBLEM_PREFIX = /^.*:/

/** Milliseconds of the machine's monotonic clock, as in the workers' event histories. */
export function readMonotonicMs (): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS
}

/** A job or request to send. */
export interface WorkToSend {
  /** Name of the work in the scenario. */
  readonly name: string
  /** Value that is put into the body; the same for all tasks of a job. */
  readonly nonce: string
  readonly queue: string
  /** Base URL of the node's API. */
  readonly api: string
  /** Value of the `Authorization` header without the scheme; absent if no key is sent. */
  readonly bearer?: string
  /** Name of the key that is sent. */
  readonly key?: string
  readonly idempotencyKey?: string
  readonly tasks?: number
  readonly runMs?: number
  readonly cpuMilli?: number
  /** Whether the work is to fail on the worker. */
  readonly fails: boolean
  readonly synchronous: boolean
}

/** The answer to a job or request. */
export interface SendResult {
  readonly answer: Answer
  /** Id of the job, if one was accepted. */
  readonly job?: string
}

/**
 * Sends one job or request and reads its answer.
 *
 * @param work the job or request
 * @returns the answer; if none arrived, its outcome says why
 *
 * @example
 * const { answer } = await sendWork(work)
 */
export async function sendWork (work: WorkToSend): Promise<SendResult> {
  const sentMs = readMonotonicMs()
  const path = work.synchronous ? 'requests' : 'jobs'
  const response = await callJson(`${work.api}/v1/queues/${work.queue}/${path}`, {
    method: 'POST',
    headers: createHeaders(work),
    body: work.synchronous ? createBody(work) : createJob(work)
  })
  const fields = response.isOk() && response.value.status < 300 ? readSuccess(work, response.value) : readFailure(response)
  const { name, nonce, queue, key } = work
  const answer: Answer = {
    name, nonce, queue, key, sentMs, answeredMs: readMonotonicMs(), hasResult: false, isComplete: true, ...fields
  }
  if (response.isErr() || answer.outcome !== 'accepted') return { answer }
  return { answer, job: (response.value.body as Job).job }
}

/**
 * Fetches a job.
 *
 * @param api base URL of a node
 * @param job the job's id
 * @param bearer the key's name and secret, as the header carries them; undefined if no key is sent
 * @returns the job; undefined if the node does not respond or refuses
 */
export async function fetchJob (api: string, job: string, bearer: string | undefined): Promise<Job | undefined> {
  const response = await callJson(`${api}/v1/jobs/${job}`, { headers: createBearer(bearer) })
  return response.isOk() && response.value.status === 200 ? response.value.body as Job : undefined
}

/**
 * Cancels a job.
 *
 * @param api base URL of a node
 * @param job the job's id
 * @param bearer the key's name and secret, as the header carries them; undefined if no key is sent
 * @returns the HTTP status; zero if there is no complete response
 */
export async function cancelJob (api: string, job: string, bearer: string | undefined): Promise<number> {
  const response = await callJson(`${api}/v1/jobs/${job}`, { method: 'DELETE', headers: createBearer(bearer) })
  return response.isOk() ? response.value.status : 0
}

function readSuccess (work: WorkToSend, response: HttpResponse): Pick<Answer, 'outcome' | 'hasResult' | 'echoed'> {
  if (!work.synchronous) return { outcome: 'accepted', hasResult: false }
  const echoed = (response.body as { echo?: string } | null)?.echo
  return { outcome: 'answered', hasResult: true, echoed }
}

function readFailure (response: Result<HttpResponse, CallFailure>): Pick<Answer, 'outcome' | 'execution' | 'isComplete'> {
  if (response.isErr()) return { outcome: response.error, isComplete: response.error !== CallFailure.Truncated }
  const problem = response.value.body as { type?: string, execution?: string } | undefined
  return {
    outcome: problem?.type?.replace(PROBLEM_PREFIX, '') ?? `status-${response.value.status}`,
    execution: problem?.execution,
    isComplete: true
  }
}

function createHeaders (work: WorkToSend): Record<string, string> {
  const headers = createBearer(work.bearer)
  if (work.synchronous) return headers
  return { ...headers, 'idempotency-key': work.idempotencyKey ?? work.nonce }
}

function createBearer (bearer: string | undefined): Record<string, string> {
  return bearer === undefined ? {} : { authorization: `Bearer ${bearer}` }
}

function createJob (work: WorkToSend): object {
  const { tasks, cpuMilli } = work
  const size = cpuMilli === undefined ? undefined : { cpuMilli, memoryMb: 100, accelerators: 0 }
  return { tasks, size, body: createBody(work) }
}

function createBody ({ nonce, runMs, fails, synchronous }: WorkToSend): object {
  const time = synchronous ? { workMs: runMs ?? 0 } : { runMs: runMs ?? 0 }
  return { ...time, echo: nonce, fail: fails || undefined }
}
