/**
 * Callers of the entry API: durable jobs and synchronous requests.
 */
import type { Job } from '@fireflymount/protocol/message'
import { Loss, callJson, type Reply } from '../cell/http.js'
import type { Answer } from '../check/evidence.js'
import type { Result } from 'neverthrow'

const NANOSECONDS_PER_MS = 1e6
const PROBLEM_PREFIX = /^.*:/

/** Milliseconds of the machine's monotonic clock, as in the workers' records. */
export function machineNow (): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS
}

/** One piece of work as a caller sends it. */
export interface Sending {
  readonly name: string
  readonly nonce: string
  readonly queue: string
  /** Base URL of the node. */
  readonly api: string
  /** `Authorization` without the scheme; absent: no key. */
  readonly bearer?: string
  readonly key?: string
  readonly idempotencyKey?: string
  readonly tasks?: number
  readonly runMs?: number
  readonly cpuMilli?: number
  readonly fails: boolean
  readonly synchronous: boolean
}

/** What came back. */
export interface Receipt {
  readonly answer: Answer
  /** Id of the accepted job. */
  readonly job?: string
}

/**
 * Sends one job or request and reads its answer.
 *
 * @param sending the work
 * @returns the answer, also if there was none
 *
 * @example
 * const { answer } = await sendWork(sending)
 */
export async function sendWork (sending: Sending): Promise<Receipt> {
  const sentMs = machineNow()
  const path = sending.synchronous ? 'requests' : 'jobs'
  const reply = await callJson(`${sending.api}/v1/queues/${sending.queue}/${path}`, {
    method: 'POST',
    headers: createHeaders(sending),
    body: sending.synchronous ? createBody(sending) : createJob(sending)
  })
  const told = reply.isOk() && reply.value.status < 300 ? readSuccess(sending, reply.value) : readFailure(reply)
  const { name, nonce, queue, key } = sending
  const answer: Answer = { name, nonce, queue, key, sentMs, answeredMs: machineNow(), hasResult: false, whole: true, ...told }
  if (reply.isErr() || answer.outcome !== 'accepted') return { answer }
  return { answer, job: (reply.value.body as Job).job }
}

/**
 * Asks for a job.
 *
 * @param api base URL of a node
 * @param job the job's id
 * @param bearer the key
 * @returns the job, or undefined if there is no answer
 */
export async function fetchJob (api: string, job: string, bearer: string | undefined): Promise<Job | undefined> {
  const reply = await callJson(`${api}/v1/jobs/${job}`, { headers: createBearer(bearer) })
  return reply.isOk() && reply.value.status === 200 ? reply.value.body as Job : undefined
}

/**
 * Cancels a job.
 *
 * @param api base URL of a node
 * @param job the job's id
 * @param bearer the key
 * @returns the HTTP status; zero if there is no answer
 */
export async function cancelJob (api: string, job: string, bearer: string | undefined): Promise<number> {
  const reply = await callJson(`${api}/v1/jobs/${job}`, { method: 'DELETE', headers: createBearer(bearer) })
  return reply.isOk() ? reply.value.status : 0
}

function readSuccess (sending: Sending, reply: Reply): Pick<Answer, 'outcome' | 'hasResult' | 'echoed'> {
  if (!sending.synchronous) return { outcome: 'accepted', hasResult: false }
  const echoed = (reply.body as { echo?: string } | null)?.echo
  return { outcome: 'answered', hasResult: true, echoed }
}

function readFailure (reply: Result<Reply, Loss>): Pick<Answer, 'outcome' | 'execution' | 'whole'> {
  if (reply.isErr()) return { outcome: reply.error, whole: reply.error !== Loss.Half }
  const problem = reply.value.body as { type?: string, execution?: string } | undefined
  return { outcome: problem?.type?.replace(PROBLEM_PREFIX, '') ?? `status-${reply.value.status}`, execution: problem?.execution, whole: true }
}

function createHeaders (sending: Sending): Record<string, string> {
  const headers = createBearer(sending.bearer)
  if (sending.synchronous) return headers
  return { ...headers, 'idempotency-key': sending.idempotencyKey ?? sending.nonce }
}

function createBearer (bearer: string | undefined): Record<string, string> {
  return bearer === undefined ? {} : { authorization: `Bearer ${bearer}` }
}

function createJob (sending: Sending): object {
  const { tasks, cpuMilli } = sending
  const size = cpuMilli === undefined ? undefined : { cpuMilli, memoryMb: 100, accelerators: 0 }
  return { tasks, size, body: createBody(sending) }
}

function createBody ({ nonce, runMs, fails, synchronous }: Sending): object {
  const time = synchronous ? { workMs: runMs ?? 0 } : { runMs: runMs ?? 0 }
  return { ...time, echo: nonce, fail: fails || undefined }
}
