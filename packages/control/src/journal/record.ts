/**
 * The records of the journal: their keys, their contents and their encoding.
 */
import { Packr } from 'msgpackr'
import { err, ok, type Result } from 'neverthrow'
import type { Job, Phase } from '../model/job.js'
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
  /** The progress of a job. */
  Progress = 'p',
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

/** Progress of a task that has been assigned at least once. */
export type TaskProgress = readonly [
  key: string, stage: Stage, run: number, worker: string, born: number, failures: number, checkpoint: string
]

/** Progress of a job. Each record replaces the previous one. */
export interface Progress {
  readonly phase: Phase
  /** Unix time at which the job ended; 0 if it has not. */
  readonly endedMs: number
  readonly tasks: readonly TaskProgress[]
}

/** A claim of ownership. It is valid unless a claim of the same or a higher epoch precedes it in the journal. */
export interface OwnerClaim {
  readonly epoch: number
  readonly node: string
  /** Unique to each start of the node's process. */
  readonly incarnation: string
}

/** The address on which a node accepts connections from other nodes. */
export interface NodeAddress {
  readonly node: string
  readonly incarnation: string
  readonly host: string
  readonly port: number
  readonly zone: string
  /** Number of processor cores that the node may use; undefined if it is unknown, as in records of earlier versions. */
  readonly processorShare?: number | undefined
  /** True if the node is about to stop. */
  readonly leaving?: boolean | undefined
}

/** A caller's cancellation of a job. */
export interface Cancellation {
  /** Unix time of the cancellation. */
  readonly atMs: number
}

/** Offset of a record that was applied before it was read from the journal. */
export const UNKNOWN_OFFSET = -1

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

/**
 * Encodes a record.
 *
 * @param subject kind of the record
 * @param name id or name of the object that the record is about
 * @param value content of the record
 * @returns the record
 */
export function encodeRecord (subject: Subject, name: string, value: unknown): KeyedRecord {
  return { key: keyOf(subject, name), value: packr.pack(value) }
}

/**
 * Decodes the value of a record. Only nodes of the cell write to the journal, so the type of the content is not validated.
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

/** Encodes the record of an accepted job. */
export function encodeJob (job: Job): KeyedRecord {
  return encodeRecord(Subject.Job, job.id, job)
}
