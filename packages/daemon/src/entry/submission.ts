/**
 * Checks what a caller submits as a durable job.
 */
import { createHash, randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { Kind, type Submit } from '@fireflymount/protocol/message'
import { Workload } from '@fireflymount/protocol/workload'
import { createBadRequest, type Problem } from './problem.js'
import type { ManifestError } from '@fireflymount/manifest/mistake'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { Resources } from '@fireflymount/protocol/resources'

const JOB_DIGITS = 32
const MOST_TASKS = 10_000
const KEY = /^[\x21-\x7e]{1,200}$/
const FIELDS: ReadonlySet<string> = new Set(['tasks', 'runtimeMs', 'size', 'body'])
const DIMENSIONS = ['cpuMilli', 'memoryMb', 'accelerators'] as const

/**
 * Finds the idempotency key of a submission.
 *
 * @param queue the queue
 * @param header the value of the Idempotency-Key header, if there is one
 * @returns the caller's key, or a new one where the queue's work is idempotent
 *
 * @example
 * const key = parseIdempotencyKey(queue, context.req.header('idempotency-key'))
 */
export function parseIdempotencyKey (queue: Queue, header: string | undefined): Result<string, Problem> {
  if (header === undefined && queue.idempotent) return ok(randomUUID())
  if (header === undefined) {
    return err(createBadRequest(`Work on the queue "${queue.name}" must not run twice. Send the header Idempotency-Key, and the same key when you repeat.`))
  }
  if (KEY.test(header)) return ok(header)
  return err(createBadRequest('The header Idempotency-Key must have 1 to 200 visible ASCII characters.'))
}

/**
 * Checks a submission's body and derives the job's id and digest.
 *
 * @param queue the queue
 * @param team the team that submits
 * @param key the idempotency key
 * @param value the body of the HTTP request
 * @returns the message for the owner, or all mistakes at once
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
    errors.push(createError('body', 'is missing', 'Add it; it is what the worker receives and may be null.'))
  }
  if (errors.length > 0) return err(createBadRequest(`The job has ${errors.length} mistake(s).`, errors))
  return ok({
    kind: Kind.Submit,
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
 * Finds the shard of a job.
 *
 * @param job the job's id
 * @returns the upstream's name, or undefined if the id is not one of a job
 *
 * @example
 * shardOf('cloth-studio.0f3a…') // 'cloth-studio'
 */
export function shardOf (job: string): string | undefined {
  const dot = job.lastIndexOf('.')
  return dot < 1 || dot === job.length - 1 ? undefined : job.slice(0, dot)
}

function createJobId (queue: Queue, team: string, key: string): string {
  return `${queue.upstream}.${hashText(JSON.stringify([team, queue.name, key])).slice(0, JOB_DIGITS)}`
}

function findUnknown (fields: Record<string, unknown>): ManifestError[] {
  const unknown = Object.keys(fields).filter((name) => !FIELDS.has(name))
  return unknown.map((name) => createError(name, 'is not known', `Use only ${[...FIELDS].join(', ')}.`))
}

function checkTasks (queue: Queue, tasks: unknown): ManifestError[] {
  if (tasks === undefined) return []
  if (!isWhole(tasks) || tasks < 1 || tasks > MOST_TASKS) {
    return [createError('tasks', 'is no number of tasks', `Give a whole number from 1 to ${MOST_TASKS}.`)]
  }
  if (tasks === 1 || queue.workload === Workload.Gang) return []
  return [createError('tasks', 'is above 1 on a batch queue', 'Use a queue whose workload is "gang", or submit one job a task.')]
}

function checkRuntime (runtimeMs: unknown): ManifestError[] {
  if (runtimeMs === undefined || (isWhole(runtimeMs) && runtimeMs > 0)) return []
  return [createError('runtimeMs', 'is no run time', 'Give a whole number of milliseconds above zero.')]
}

function checkSize (size: unknown): ManifestError[] {
  if (size === undefined) return []
  const mend = `Give whole numbers, zero or more, for ${DIMENSIONS.join(', ')}.`
  if (typeof size !== 'object' || size === null) return [createError('size', 'is no object', mend)]
  const amounts = size as Record<string, unknown>
  const wrong = DIMENSIONS.filter((dimension) => !isWhole(amounts[dimension]) || (amounts[dimension] as number) < 0)
  const unknown = Object.keys(amounts).filter((name) => !(DIMENSIONS as readonly string[]).includes(name))
  return [
    ...wrong.map((name) => createError(`size.${name}`, 'is missing or no amount', mend)),
    ...unknown.map((name) => createError(`size.${name}`, 'is not known', mend))
  ]
}

function createError (field: string, mistake: string, mend: string): ManifestError {
  return { path: `$.${field}`, mistake, mend }
}

function isWhole (value: unknown): value is number {
  return Number.isSafeInteger(value)
}

function hashText (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/** Writes JSON with sorted names, so that the order of fields does not change the digest. */
function canonicalize (value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalize).join(',')}]`
  if (typeof value !== 'object' || value === null) return JSON.stringify(value)
  const entries = Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1)
  return `{${entries.map(([name, field]) => `${JSON.stringify(name)}:${canonicalize(field)}`).join(',')}}`
}
