/**
 * The records of a job's tasks. The tasks of a job are numbered through: occurrence by occurrence, step by step. A record covers a
 * block of consecutive numbers.
 */
import { occurrencesOf, taskKeyOf, type Job } from '../model/job.js'
import type { KeyedRecord } from '../ports/store.js'
import type { TaskEntry } from './journal-state.js'
import { Stage, Subject, decodeValue, encodeValue, keyOf, splitKey } from './record.js'

/**
 * Number of tasks in a record of runs. With more, a change of one task writes more rows of other tasks; with fewer, tasks that are
 * assigned together need more keys.
 */
export const RUNS_BLOCK_TASKS = 4
/** Number of tasks in a record of done tasks, one bit each. */
export const DONE_BLOCK_TASKS = 512
const BITS_PER_BYTE = 8

/** A task that has been assigned. */
type RunRow = readonly [
  stage: Stage, run: number, worker: string, born: number, checkpoint?: string, failures?: number, failedRun?: number
]

/** A row of a record of runs. A task without a run has 0, a done task only its stage. */
type Row = RunRow | 0 | Stage.Done

/** Numbers the tasks of a job. */
export class TaskNumbering {
  /** Number of the first task of each step in occurrence 0. */
  private readonly firstOfStep: number[] = []
  private readonly tasksPerOccurrence: number
  private readonly taskCount: number

  constructor (job: Job) {
    let count = 0
    for (const step of job.steps) {
      this.firstOfStep.push(count)
      count += step.count
    }
    this.tasksPerOccurrence = count
    this.taskCount = count * occurrencesOf(job)
  }

  /** Returns the number of a task. */
  numberOf (occurrence: number, step: number, index: number): number {
    return occurrence * this.tasksPerOccurrence + this.firstOfStep[step]! + index
  }

  /** Returns the key of a task, or undefined if the job has no task with this number. */
  keyOf (number: number): string | undefined {
    if (number >= this.taskCount) return undefined
    const occurrence = Math.floor(number / this.tasksPerOccurrence)
    const rest = number % this.tasksPerOccurrence
    const step = this.firstOfStep.findLastIndex((first) => first <= rest)
    return taskKeyOf(occurrence, step, rest - this.firstOfStep[step]!)
  }
}

/** Returns the block with a task in the records of runs. */
export function runsBlockOf (number: number): number {
  return Math.floor(number / RUNS_BLOCK_TASKS)
}

/** Returns the block with a task in the records of done tasks. */
export function doneBlockOf (number: number): number {
  return Math.floor(number / DONE_BLOCK_TASKS)
}

/** Builds the key of a block's record. */
export function blockKeyOf (subject: Subject.Runs | Subject.Done, job: string, block: number): string {
  return keyOf(subject, `${job}.${block}`)
}

/** Splits the key of a block's record into the id of its job and the number of the block. */
export function splitBlockKey (key: string): { readonly subject: string, readonly job: string, readonly block: number } {
  const { subject, name } = splitKey(key)
  const dot = name.lastIndexOf('.')
  return { subject, job: name.slice(0, dot), block: Number(name.slice(dot + 1)) }
}

/**
 * Encodes the runs of a block.
 *
 * @param tasks the tasks of the block in their order; undefined for one that was never assigned
 */
export function encodeRuns (job: string, block: number, tasks: ReadonlyArray<TaskEntry | undefined>): KeyedRecord {
  return { key: blockKeyOf(Subject.Runs, job, block), value: encodeValue(tasks.map(rowOf)) }
}

/** The state of a task in a record of runs: undefined for a task that was never assigned. */
export type DecodedRun = Pick<TaskEntry, 'stage'> &
  Partial<Pick<TaskEntry, 'run' | 'worker' | 'born' | 'failures' | 'failedRun' | 'checkpoint'>>

/**
 * Decodes a record of runs.
 *
 * @param value bytes of the value
 * @param onInvalid called if the value, or a row of it, cannot be decoded
 * @returns the states of the tasks of the block in their order, without those that cannot be decoded
 */
export function decodeRuns (value: Buffer, onInvalid: () => void): ReadonlyArray<DecodedRun | undefined> {
  const rows = decodeValue<unknown>(value).unwrapOr(undefined)
  if (!Array.isArray(rows)) {
    onInvalid()
    return []
  }
  return rows.map((row: unknown) => {
    if (row === Stage.Done) return { stage: Stage.Done }
    if (row === 0) return undefined
    if (!isRunRow(row)) {
      onInvalid()
      return undefined
    }
    const [stage, run, worker, born, checkpoint = '', failures = 0, failedRun = 0] = row
    return { stage, run, worker, born, failures, failedRun, checkpoint }
  })
}

function isRunRow (row: unknown): row is RunRow {
  if (!Array.isArray(row)) return false
  const [stage, run, worker, born, checkpoint = '', failures = 0, failedRun = 0] = row as unknown[]
  if (stage !== Stage.Waiting && stage !== Stage.Assigned) return false
  return [run, failures, failedRun].every(Number.isSafeInteger) && Number.isFinite(born) && typeof worker === 'string' && typeof checkpoint === 'string'
}

/** The done tasks of a block. */
export class DoneTasks {
  private readonly bytes = Buffer.alloc(DONE_BLOCK_TASKS / BITS_PER_BYTE)
  private usedBytes = 0

  /** @param number number of the task in its job */
  add (number: number): void {
    const index = number % DONE_BLOCK_TASKS
    const byte = Math.floor(index / BITS_PER_BYTE)
    this.bytes[byte]! |= 1 << index % BITS_PER_BYTE
    this.usedBytes = Math.max(this.usedBytes, byte + 1)
  }

  encode (job: string, block: number): KeyedRecord {
    return { key: blockKeyOf(Subject.Done, job, block), value: Buffer.from(this.bytes.subarray(0, this.usedBytes)) }
  }
}

/** Returns the numbers of the done tasks in the record of a block. */
export function decodeDone (block: number, value: Buffer): number[] {
  const numbers: number[] = []
  for (const [index, byte] of value.entries()) {
    for (let bit = 0; bit < BITS_PER_BYTE; bit++) {
      if ((byte >> bit & 1) === 1) numbers.push(block * DONE_BLOCK_TASKS + index * BITS_PER_BYTE + bit)
    }
  }
  return numbers
}

function rowOf (task: TaskEntry | undefined): Row {
  if (task === undefined || (task.run === 0 && task.stage === Stage.Waiting)) return 0
  if (task.stage === Stage.Done) return Stage.Done
  const { stage, run, worker, born, failures, failedRun, checkpoint } = task
  if (failures > 0) return [stage, run, worker, born, checkpoint, failures, failedRun]
  return checkpoint === '' ? [stage, run, worker, born] : [stage, run, worker, born, checkpoint]
}
