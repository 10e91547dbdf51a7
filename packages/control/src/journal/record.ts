/**
 * The records of the journal: their keys, their contents and their encoding.
 *
 * The newest record of each key gives the whole state. Keys are read in their order, so that the record of a job is read before
 * the records that describe its progress. ID is the id of a job, BLOCK the number of a block of its tasks; see task-record.ts.
 *
 * | Key | Content | Written |
 * | --- | --- | --- |
 * | `b/owner` | epoch of the owner | by the owner when it has nothing else to write |
 * | `c/ID` | Cancellation | when a caller cancels the job, also before the job is known; deleted at the end of the retention |
 * | `j/ID` | Job, see job-record.ts | when the job is accepted; deleted when the job has ended and none of its tasks is assigned any more |
 * | `n/NAME` | NodeAddress | when the node starts |
 * | `o/cell` | OwnerClaim | when a node claims the cell |
 * | `p/ID` | JobEnd | when the job ends; deleted at the end of the retention |
 * | `r/ID.BLOCK` | runs of 4 tasks | when one of them is assigned or its run ends; deleted when all of them are done |
 * | `t/ID.BLOCK` | which of 512 tasks are done | when one of them is done; deleted with the record of the job |
 * | `u/BLOCK` | past use of a block of workspaces, see past-use-record.ts | by the owner at intervals, if past use is recorded |
 *
 * A job without a record `p` is active if one of its tasks has been assigned, and pending otherwise. Entry nodes may append the
 * record of a job once more after it has ended; `p` shows that it has. Earlier builds wrote a `Progress` as the record `p`, at
 * each change of a task, and none of the kinds `r` and `t`; it is still read.
 */
import { Packr } from 'msgpackr'
import { err, ok, type Result } from 'neverthrow'
import { Phase, type Job } from '../model/job.js'
import type { KeyedRecord } from '../ports/store.js'

/** Kind of a record: the first character of its key. */
export enum Subject {
  /** A claim of the cell's ownership. */
  Owner = 'o',
  /** A node's address. */
  Node = 'n',
  /** An accepted job. */
  Job = 'j',
  /** A caller's cancellation of a job. */
  Cancellation = 'c',
  /** The end of a job. */
  Progress = 'p',
  /** The runs of a block of a job's tasks. */
  Runs = 'r',
  /** The tasks of a block that are done. */
  Done = 't',
  /** The past use of a block of workspaces. */
  PastUse = 'u',
  /** A heartbeat of the owner. */
  Heartbeat = 'b'
}

/** The state of a task in the journal. */
export enum Stage {
  Waiting = 0,
  /** A run has been assigned to a worker and may have started. */
  Assigned = 1,
  Done = 2
}

/** Progress of a task that has been assigned at least once, as earlier builds wrote it. */
export type TaskProgress = readonly [
  key: string, stage: Stage, run: number, worker: string, born: number, failures: number, checkpoint: string
]

/** Progress of a job, as earlier builds wrote it. Each record replaces the previous one. */
export interface Progress {
  readonly phase: Phase
  /** Unix time at which the job ended; 0 if it has not. */
  readonly endedMs: number
  readonly tasks: readonly TaskProgress[]
}

/** The end of a job, with what is kept of the job itself until the end of the retention. */
export interface JobEnd {
  readonly queue: string
  readonly workspace: string
  /** Unix time at which the job was accepted. */
  readonly acceptedMs: number
  /** A final phase. */
  readonly phase: Phase
  /** Unix time at which the job ended. */
  readonly endedMs: number
}

/** A claim of ownership. It is valid unless a claim of the same or a higher epoch precedes it in the journal. */
export interface OwnerClaim {
  readonly epoch: number
  readonly node: string
  /** Unique to each start of the node's process. */
  readonly incarnation: string
  /** Unix time at which that process started; undefined in records of earlier builds. */
  readonly startedMs?: number | undefined
}

/** The address on which a node accepts connections from other nodes. */
export interface NodeAddress {
  readonly node: string
  readonly incarnation: string
  /** Unix time at which the node's process started; undefined in records of earlier builds. */
  readonly startedMs?: number | undefined
  readonly host: string
  readonly port: number
  readonly zone: string
  /** Number of processor cores that the node may use; undefined if it is unknown, as in records of earlier versions. */
  readonly processorShare?: number | undefined
  /** Memory in MB that the node may use; undefined if it is unknown, as in records of earlier versions. */
  readonly memoryMb?: number | undefined
  /** True if the node is about to stop. */
  readonly leaving?: boolean | undefined
}

/** A caller's cancellation of a job. */
export interface Cancellation {
  /** Unix time of the cancellation. */
  readonly atMs: number
  /** Queue of the request if the job was not known. The cancellation then holds for a job on this queue that is stored later. */
  readonly queue?: string
  /** Workspace of the request if the job was not known. */
  readonly workspace?: string
}

/** A cancellation of a job that was not known. */
export type EarlyCancellation = Required<Cancellation>

/** Offset of a record that was applied before it was read from the journal. */
export const UNKNOWN_OFFSET = -1

/** Final phases by their number in a record. Numbers must not change. */
const FINAL_PHASES: readonly Phase[] = [Phase.Completed, Phase.Failed, Phase.Cancelled]

/** A JobEnd in its encoded form. */
type JobEndRow = readonly [phase: number, queue: string, workspace: string, acceptedMs: number, tookMs: number]

const MAX_PORT = 65_535

const packr = new Packr({ useRecords: false })

/**
 * Builds the key of a record.
 *
 * @param subject kind of the record
 * @param name id or name of the object that the record is about
 * @returns the key
 */
export function keyOf (subject: Subject, name: string): string {
  return `${subject}/${name}`
}

/** Splits a key into the kind of the record and its id or name. */
export function splitKey (key: string): { readonly subject: string, readonly name: string } {
  return { subject: key.slice(0, 1), name: key.slice(2) }
}

/** Returns the id of the job that a record is about. For a record that is not about a job, it is a part of the key. */
export function jobOf (key: string): string {
  const { name } = splitKey(key)
  const dot = name.indexOf('.')
  return dot < 0 ? name : name.slice(0, dot)
}

/**
 * Encodes a record.
 *
 * @param subject kind of the record
 * @param name id or name of the object that the record is about
 * @param value content of the record
 * @returns the record
 */
export function encodeRecord (subject: Subject, name: string, value: unknown): KeyedRecord {
  return { key: keyOf(subject, name), value: encodeValue(value) }
}

/** Encodes the value of a record. */
export function encodeValue (value: unknown): Buffer {
  return packr.pack(value)
}

/**
 * Decodes the value of a record. The type of the content is not validated.
 *
 * @param value bytes of the value
 * @returns the content, or a sentence that explains why it cannot be decoded
 */
export function decodeValue<T> (value: Buffer): Result<T, string> {
  try {
    return ok(packr.unpack(value) as T)
  } catch (error) {
    return err(`The value cannot be decoded: ${String(error)}`)
  }
}

/** Encodes the record of an accepted job with named fields, as entry nodes of earlier builds send it to the owner. */
export function encodeJob (job: Job): KeyedRecord {
  return encodeRecord(Subject.Job, job.id, job)
}

/** Encodes the record of a job's end. */
export function encodeJobEnd (id: string, { queue, workspace, acceptedMs, phase, endedMs }: JobEnd): KeyedRecord {
  const row: JobEndRow = [FINAL_PHASES.indexOf(phase), queue, workspace, acceptedMs, endedMs - acceptedMs]
  return encodeRecord(Subject.Progress, id, row)
}

/**
 * Decodes the record `p` of a job.
 *
 * @param value bytes of the value
 * @returns the end of the job, or its progress if an earlier build wrote the record, or a sentence that explains why the value
 *   cannot be decoded
 */
export function decodeProgress (value: Buffer): Result<JobEnd | Progress, string> {
  return decodeValue<JobEndRow | Progress>(value).andThen((decoded): Result<JobEnd | Progress, string> => {
    if (!isJobEndRow(decoded)) return ok(decoded)
    const [phase, queue, workspace, acceptedMs, tookMs] = decoded
    const end = { phase: FINAL_PHASES[phase]!, queue, workspace, acceptedMs, endedMs: acceptedMs + tookMs }
    const isValid = end.phase !== undefined && typeof queue === 'string' && typeof workspace === 'string' && isTime(end.endedMs)
    return isValid ? ok(end) : err('The value is not the end of a job.')
  })
}

/** Checks the decoded value of a node's address. */
export function isNodeAddress (value: unknown): value is NodeAddress {
  const address = (value ?? {}) as Partial<NodeAddress>
  const { node, incarnation, startedMs = 0, host, port, zone, processorShare = 0, memoryMb = 0 } = address
  const areTexts = [node, incarnation, host, zone].every((text) => typeof text === 'string')
  const isPort = Number.isInteger(port) && port! > 0 && port! <= MAX_PORT
  return areTexts && isPort && [startedMs, processorShare, memoryMb].every(Number.isFinite)
}

/** Checks the decoded value of a claim. */
export function isOwnerClaim (value: unknown): value is OwnerClaim {
  const { epoch, node, incarnation, startedMs = 0 } = (value ?? {}) as Partial<OwnerClaim>
  const areTexts = typeof node === 'string' && typeof incarnation === 'string'
  return Number.isSafeInteger(epoch) && areTexts && Number.isFinite(startedMs)
}

/** Checks the decoded value of a cancellation. */
export function isCancellation (value: unknown): value is Cancellation {
  const { atMs, queue, workspace } = (value ?? {}) as Partial<Cancellation>
  return isTime(atMs) && typeof queue === typeof workspace && (queue === undefined || typeof queue === 'string')
}

export function isEarly (cancellation: Cancellation): cancellation is EarlyCancellation {
  return cancellation.queue !== undefined
}

function isTime (value: unknown): boolean {
  return Number.isFinite(value) && (value as number) >= 0
}

/**
 * Returns the place of a record in an append. If an append has to be split, its parts are written in this order, so that the state
 * is consistent after each part: the end of a job before the tasks that ended it, done tasks before their runs are dropped, and
 * the end of the retention last.
 *
 * @returns 0 for the records that come first
 */
export function appendRankOf ({ key, value }: KeyedRecord): number {
  const { subject } = splitKey(key)
  if (subject === Subject.Progress) return value === undefined ? 3 : 0
  return subject === Subject.Done && value !== undefined ? 1 : 2
}

function isJobEndRow (decoded: JobEndRow | Progress): decoded is JobEndRow {
  return Array.isArray(decoded)
}
