/**
 * Validates the submission of durable jobs.
 */
import { createHash, randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { MessageKind, type Submit } from '@fireflymount/protocol/message'
import { Workload } from '@fireflymount/protocol/workload'
import { createBadRequest, type Problem } from './problem.js'
import type { ManifestError } from '@fireflymount/manifest/validation-error'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { Resources } from '@fireflymount/protocol/resources'

const JOB_ID_DIGITS = 32
/**
 * Maximum number of tasks in a submission that this node sends to the owner. The owner's limit, MAX_JOB_TASKS, is lower and
 * decides whether the job is accepted.
 */
const MAX_TASKS = 10_000
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,200}$/
const FIELDS: ReadonlySet<string> = new Set(['tasks', 'runtimeMs', 'size', 'body'])
const SIZE_DIMENSIONS = ['cpuMilli', 'memoryMb', 'accelerators'] as const

/**
 * Determines the idempotency key of a submission.
 *
 * @param queue the queue
 * @param header the value of the Idempotency-Key header, if there is one
 * @returns the caller's key, or a generated one if the work of the queue is idempotent
 *
 * @example
 * const key = parseIdempotencyKey(queue, context.req.header('idempotency-key'))
 */
export function parseIdempotencyKey (queue: Queue, header: string | undefined): Result<string, Problem> {
  if (header === undefined && queue.idempotent) return ok(randomUUID())
  if (header === undefined) {
    return err(createBadRequest(`Work on the queue "${queue.name}" must not run twice. Send the header Idempotency-Key, with the same key on every retry.`))
  }
  if (IDEMPOTENCY_KEY.test(header)) return ok(header)
  return err(createBadRequest('The header Idempotency-Key must have 1 to 200 visible ASCII characters.'))
}

/**
 * Validates the body of a submission and derives the id and the digest of the job.
 *
 * @param queue the queue
 * @param team the team that submits
 * @param key the idempotency key
 * @param value the body of the HTTP request
 * @returns the message for the owner, or all validation errors
 *
 * @example
 * const submit = parseSubmission(queue, team, key, { body: { quilt: 7 } })
 */
export function parseSubmission (queue: Queue, team: string, key: string, value: unknown): Result<Submit, Problem> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return err(createBadRequest('The body must be an object such as {"body": {}}.'))
  }
  const fields = value as Record<string, unknown>
  const errors = findUnknown(fields)
  errors.push(...checkTasks(queue, fields.tasks), ...checkRuntime(fields.runtimeMs), ...checkSize(fields.size))
  if (!Object.hasOwn(fields, 'body')) {
    errors.push(createError('body', 'is missing', 'Add it; the worker receives it. It may be null.'))
  }
  if (errors.length > 0) return err(createBadRequest(`The job has ${errors.length} error(s).`, errors))
  return ok({
    kind: MessageKind.Submit,
    job: createJobId(queue, team, key),
    queue: queue.name,
    team,
    digest: hashText(canonicalize(value)),
    tasks: (fields.tasks as number | undefined) ?? 1,
    runtimeMs: fields.runtimeMs as number | undefined,
    size: fields.size as Resources | undefined,
    body: fields.body
  })
}

/**
 * Returns the shard of a job.
 *
 * @param job the job's id
 * @returns the upstream's name, or undefined if this is not a job id
 *
 * @example
 * shardOf('cloth-studio.0f3a…') // 'cloth-studio'
 */
export function shardOf (job: string): string | undefined {
  const dot = job.lastIndexOf('.')
  return dot < 1 || dot === job.length - 1 ? undefined : job.slice(0, dot)
}

function createJobId (queue: Queue, team: string, key: string): string {
  return `${queue.upstream}.${hashText(JSON.stringify([team, queue.name, key])).slice(0, JOB_ID_DIGITS)}`
}

function findUnknown (fields: Record<string, unknown>): ManifestError[] {
  const unknown = Object.keys(fields).filter((name) => !FIELDS.has(name))
  return unknown.map((name) => createError(name, 'is unknown', `Use only ${[...FIELDS].join(', ')}.`))
}

function checkTasks (queue: Queue, tasks: unknown): ManifestError[] {
  if (tasks === undefined) return []
  if (!isInteger(tasks) || tasks < 1 || tasks > MAX_TASKS) {
    return [createError('tasks', 'is not a number of tasks', `Use a whole number from 1 to ${MAX_TASKS}.`)]
  }
  if (tasks === 1 || queue.workload === Workload.Gang) return []
  return [createError('tasks', 'is above 1 on a batch queue', 'Use a queue whose workload is "gang", or submit one job per task.')]
}

function checkRuntime (runtimeMs: unknown): ManifestError[] {
  if (runtimeMs === undefined || (isInteger(runtimeMs) && runtimeMs > 0)) return []
  return [createError('runtimeMs', 'is not a run time', 'Use a whole number of milliseconds above zero.')]
}

function checkSize (size: unknown): ManifestError[] {
  if (size === undefined) return []
  const remedy = `Use whole numbers, zero or more, for ${SIZE_DIMENSIONS.join(', ')}.`
  if (typeof size !== 'object' || size === null) return [createError('size', 'is not an object', remedy)]
  const amounts = size as Record<string, unknown>
  const invalid = SIZE_DIMENSIONS.filter((dimension) => !isInteger(amounts[dimension]) || (amounts[dimension] as number) < 0)
  const unknown = Object.keys(amounts).filter((name) => !(SIZE_DIMENSIONS as readonly string[]).includes(name))
  return [
    ...invalid.map((name) => createError(`size.${name}`, 'is missing or not an amount', remedy)),
    ...unknown.map((name) => createError(`size.${name}`, 'is unknown', remedy))
  ]
}

function createError (field: string, error: string, remedy: string): ManifestError {
  return { path: `$.${field}`, mistake: error, mend: remedy }
}

function isInteger (value: unknown): value is number {
  return Number.isSafeInteger(value)
}

function hashText (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/** Serializes JSON with sorted member names, so that the digest does not depend on their order. */
function canonicalize (value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalize).join(',')}]`
  if (typeof value !== 'object' || value === null) return JSON.stringify(value)
  const entries = Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1)
  return `{${entries.map(([name, field]) => `${JSON.stringify(name)}:${canonicalize(field)}`).join(',')}}`
}
