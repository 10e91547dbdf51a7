/**
 * The records of the journal: what each key holds, and its bytes.
 */
import { Packr } from 'msgpackr'
import { err, ok, type Result } from 'neverthrow'
import type { Job, Phase } from '../model/job.js'
import type { KeyedRecord } from '../ports/store.js'

/** What a record is about; the first character of its key. */
export enum Subject {
  /** Who owns the cell. */
  Owner = 'o',
  /** A node's address. */
  Node = 'n',
  /** An accepted job. */
  Job = 'j',
  /** A caller's cancellation of a job. */
  Cancellation = 'c',
  /** What has become of a job. */
  Progress = 'p',
  /** Sign of life of the owner. */
  Beat = 'b'
}

/** Where a task stands, as the journal knows it. */
export enum Stage {
  Waiting = 0,
  /** A run has been assigned to a worker, and may have begun. */
  Assigned = 1,
  Done = 2
}

/** What the journal holds of a task that has been assigned once or more. */
export type TaskProgress = readonly [
  key: string, stage: Stage, run: number, worker: string, born: number, failures: number, checkpoint: string
]

/** What has become of a job. Replaces the record before. */
export interface Progress {
  readonly phase: Phase
  /** Unix time of the end; 0 if the job has not ended. */
  readonly endedMs: number
  readonly tasks: readonly TaskProgress[]
}

/** A claim of ownership. It holds if no claim of the same or a higher epoch stands before it. */
export interface OwnerClaim {
  readonly epoch: number
  readonly node: string
  /** Unique to each start of the node's process. */
  readonly incarnation: string
}

/** Where a node is reached by other nodes. */
export interface NodeAddress {
  readonly node: string
  readonly incarnation: string
  readonly host: string
  readonly port: number
  readonly zone: string
}

/** A cancellation. */
export interface Cancellation {
  readonly atMs: number
}

const packr = new Packr({ useRecords: false })

/**
 * Builds the key of a record.
 *
 * @param subject what it is about
 * @param name id or name within the subject
 * @returns the key
 */
export function keyOf (subject: Subject, name: string): string {
  return `${subject}/${name}`
}

/** Splits a key. */
export function splitKey (key: string): { readonly subject: string, readonly name: string } {
  return { subject: key.slice(0, 1), name: key.slice(2) }
}

/**
 * Encodes a record.
 *
 * @param subject what it is about
 * @param name id or name within the subject
 * @param value its content
 * @returns the record
 */
export function encodeRecord (subject: Subject, name: string, value: unknown): KeyedRecord {
  return { key: keyOf(subject, name), value: packr.pack(value) }
}

/**
 * Decodes the value of a record. All writers of the journal are nodes of the cell, so shapes are not checked again.
 *
 * @param value bytes of the value
 * @returns the content, or a sentence that says why it cannot be read
 */
export function decodeValue<T> (value: Buffer): Result<T, string> {
  try {
    return ok(packr.unpack(value) as T)
  } catch (error) {
    return err(`The value cannot be read: ${String(error)}`)
  }
}

/** A job's record. */
export function encodeJob (job: Job): KeyedRecord {
  return encodeRecord(Subject.Job, job.id, job)
}
