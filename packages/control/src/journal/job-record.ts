/**
 * The compact form of a job's record, in which fields are told apart by their place. Records with named fields, as entry nodes of earlier
 * builds send them to the owner, are read too.
 */
import { err, ok, type Result } from 'neverthrow'
import type { QueueSettings, WorkspaceSettings } from '../model/configuration.js'
import { findJobError, findSettingsError, type Job, type Step } from '../model/job.js'
import type { KeyedRecord } from '../ports/store.js'
import { Subject, decodeValue, encodeValue, keyOf, splitKey } from './record.js'

/** Flags of a step, each with its bit in `StepRow`. */
enum StepFlag {
  Checkpoints = 1,
  Gang = 2,
  SameRack = 4,
  Speculative = 8,
  Lasting = 16,
  BestEffort = 32
}

type StepRow = readonly [
  count: number, cpuMilli: number, memoryMb: number, accelerators: number, estimateMs: number, after: readonly number[],
  flags: number, label: string, rack: string, perWorker: number, image: string, latencyTargetMs: number, disruptionBudget: number
]

/** The last three fields are missing for a queue without advice. */
type QueueRow = readonly [
  priority: number, attempts: number, stretch: number, targetMs: number, callMs?: number, workerMs?: number, validMs?: number
]

type WorkspaceRow = readonly [weight: number, cpuMilli: number, memoryMb: number, accelerators: number]

/**
 * A job without its id. The fields of the schedule are 0, or missing, for a job without one. The settings are missing in records of
 * earlier builds, which ignore them.
 */
type JobRow = readonly [
  queue: string, upstream: string, workspace: string, payload: string, acceptedMs: number, steps: readonly StepRow[],
  occurrences?: number, firstDueMs?: number, intervalMs?: number, queueSettings?: QueueRow, workspaceSettings?: WorkspaceRow
]

/** Encodes the record of an accepted job in its compact form. */
export function encodeCompactJob (job: Job): KeyedRecord {
  return { key: keyOf(Subject.Job, job.id), value: encodeValue(rowOf(job)) }
}

/** Returns the record of a job in its compact form; any other record, and one that cannot be decoded, as it is. */
export function compactJob (record: KeyedRecord): KeyedRecord {
  if (splitKey(record.key).subject !== Subject.Job || record.value === undefined || isArray(record.value)) return record
  const decoded = decodeValue<Job | JobRow>(record.value)
  if (decoded.isErr() || isRow(decoded.value)) return record
  return { key: record.key, value: encodeValue(rowOf(decoded.value)) }
}

/**
 * Decodes the record of a job, in either form. The job is validated, since a job that cannot be handled would stop every owner.
 *
 * @param key key of the record
 * @param value bytes of the value
 * @returns the job, or a sentence that explains why it cannot be decoded
 */
export function decodeJob (key: string, value: Buffer): Result<Job, string> {
  return decodeValue<Job | JobRow>(value).andThen((decoded) => {
    try {
      const job = isRow(decoded) ? jobOfRow(splitKey(key).name, decoded) : decoded
      const mistake = findFieldError(job, splitKey(key).name) ?? findJobError(job) ?? findSettingsError(job)
      return mistake === undefined ? ok(job) : err(mistake)
    } catch (error) {
      return err(`The value is not a job: ${String(error)}`)
    }
  })
}

/** Returns what is wrong with the fields that callers do not set, or undefined. */
function findFieldError ({ id, queue, upstream, workspace, payload, acceptedMs }: Job, name: string): string | undefined {
  if (id !== name) return 'The job has another id than its record.'
  const areTexts = [queue, upstream, workspace, payload].every((text) => typeof text === 'string')
  if (!areTexts || !Number.isFinite(acceptedMs)) return 'A field of the job is missing or has another type.'
}

/** True for the encoding of an array, without decoding it. */
function isArray (value: Buffer): boolean {
  const [format = 0] = value
  return (format & 0xf0) === 0x90 || format === 0xdc || format === 0xdd
}

function isRow (decoded: Job | JobRow): decoded is JobRow {
  return Array.isArray(decoded)
}

function rowOf (job: Job): JobRow {
  const { queue, upstream, workspace, payload, acceptedMs, steps, occurrences, firstDueMs, intervalMs } = job
  const { queueSettings, workspaceSettings } = job
  const rows = steps.map(rowOfStep)
  if (queueSettings === undefined && occurrences === 0) return [queue, upstream, workspace, payload, acceptedMs, rows]
  const scheduled = [queue, upstream, workspace, payload, acceptedMs, rows, occurrences, firstDueMs, intervalMs] as const
  if (queueSettings === undefined) return scheduled
  if (workspaceSettings === undefined) return [...scheduled, rowOfQueue(queueSettings)]
  return [...scheduled, rowOfQueue(queueSettings), rowOfWorkspace(workspaceSettings)]
}

function rowOfQueue ({ priority, attempts, stretch, targetMs, advice }: QueueSettings): QueueRow {
  if (advice === undefined) return [priority, attempts, stretch, targetMs]
  return [priority, attempts, stretch, targetMs, advice.callMs, advice.workerMs, advice.validMs]
}

function queueOf ([priority, attempts, stretch, targetMs, callMs, workerMs = 0, validMs = 0]: QueueRow): QueueSettings {
  return { priority, attempts, stretch, targetMs, advice: callMs === undefined ? undefined : { callMs, workerMs, validMs } }
}

function rowOfWorkspace ({ weight, upperLimit }: WorkspaceSettings): WorkspaceRow {
  return [weight, upperLimit.cpuMilli, upperLimit.memoryMb, upperLimit.accelerators]
}

function workspaceOf ([weight, cpuMilli, memoryMb, accelerators]: WorkspaceRow): WorkspaceSettings {
  return { weight, upperLimit: { cpuMilli, memoryMb, accelerators } }
}

function jobOfRow (id: string, row: JobRow): Job {
  const [
    queue, upstream, workspace, payload, acceptedMs, steps, occurrences = 0, firstDueMs = 0, intervalMs = 0, queueSettings,
    workspaceSettings
  ] = row
  return {
    id,
    queue,
    upstream,
    workspace,
    payload,
    steps: steps.map(stepOf),
    occurrences,
    firstDueMs,
    intervalMs,
    acceptedMs,
    queueSettings: queueSettings && queueOf(queueSettings),
    workspaceSettings: workspaceSettings && workspaceOf(workspaceSettings)
  }
}

function rowOfStep (step: Step): StepRow {
  let flags = 0
  if (step.checkpoints) flags |= StepFlag.Checkpoints
  if (step.gang) flags |= StepFlag.Gang
  if (step.sameRack) flags |= StepFlag.SameRack
  if (step.speculative) flags |= StepFlag.Speculative
  if (step.lasting) flags |= StepFlag.Lasting
  if (step.bestEffort) flags |= StepFlag.BestEffort
  const { cpuMilli, memoryMb, accelerators } = step.size
  return [
    step.count, cpuMilli, memoryMb, accelerators, step.estimateMs, step.after, flags, step.label, step.rack, step.perWorker,
    step.image, step.latencyTargetMs, step.disruptionBudget
  ]
}

function stepOf (row: StepRow): Step {
  const [
    count, cpuMilli, memoryMb, accelerators, estimateMs, after, flags, label, rack, perWorker, image, latencyTargetMs,
    disruptionBudget
  ] = row
  return {
    count,
    size: { cpuMilli, memoryMb, accelerators },
    estimateMs,
    after,
    checkpoints: (flags & StepFlag.Checkpoints) !== 0,
    gang: (flags & StepFlag.Gang) !== 0,
    sameRack: (flags & StepFlag.SameRack) !== 0,
    label,
    rack,
    perWorker,
    speculative: (flags & StepFlag.Speculative) !== 0,
    lasting: (flags & StepFlag.Lasting) !== 0,
    image,
    latencyTargetMs,
    bestEffort: (flags & StepFlag.BestEffort) !== 0,
    disruptionBudget
  }
}
