/**
 * The records of one job's progress: those that the journal may hold, and the changes that have not been handed to the writer.
 */
import { isFinal } from '../model/job.js'
import type { KeyedRecord } from '../ports/store.js'
import type { JobEntry, TaskEntry } from './journal-state.js'
import { Stage, Subject, encodeJobEnd, keyOf } from './record.js'
import {
  DoneTasks, RUNS_BLOCK_TASKS, TaskNumbering, blockKeyOf, decodeDone, decodeRuns, doneBlockOf, encodeRuns, runsBlockOf,
  splitBlockKey
} from './task-record.js'

/** Encodes the record of a key. It is called at the time of the append. */
export type Encoder = () => KeyedRecord

/** A task that is done. Its runs do not matter any more. */
const DONE_TASK = { stage: Stage.Done, run: 0, worker: '', born: 0, failures: 0, failedRun: 0, checkpoint: '' }

/** What is known of the records of a job's tasks. */
class TaskRecords {
  /**
   * Records that are, or may be, in the journal, by key. The value is empty unless the record was read from the journal and has not been
   * decoded yet, since only an owner needs its content. Values are kept as strings, because a small buffer would keep the whole page
   * alive that it was read with.
   */
  readonly stored = new Map<string, string>()
  /** True if records were read whose content is not in the job's tasks yet. */
  hasUnread = false
  /** Keys of the records that could not be decoded, or not in full. */
  readonly invalidKeys = new Set<string>()
  /** Changes that have not been handed to the writer; undefined for a record that is to be deleted. */
  readonly changed = new Map<string, Encoder | undefined>()
  readonly doneTasks = new Map<number, DoneTasks>()
  numbering: TaskNumbering | undefined
}

/** Records and changes of one job. */
export class JobChanges {
  /** Undefined without records or changes, since most jobs in memory have ended and have none. */
  private taskRecords: TaskRecords | undefined
  /** True if the record of the job's end has been handed to the writer or was read from the journal. */
  private endWritten = false
  /** True if the deletion of the job's record and of the tasks' records has been handed to the writer. */
  private detailsDeleted = false

  constructor (private readonly entry: JobEntry) {}

  /** True if records were read whose content is not in the job's tasks yet. */
  get hasUnread (): boolean {
    return this.taskRecords?.hasUnread === true
  }

  /** Keys of the records that could not be decoded, or not in full. */
  get invalidKeys (): Iterable<string> {
    return this.taskRecords?.invalidKeys ?? []
  }

  /** Notes a record of tasks that was read from the journal. */
  read (key: string, value: Buffer | undefined): void {
    if (value === undefined) {
      this.taskRecords?.stored.delete(key)
      if (this.entry.job.steps.length === 0 && this.taskRecords?.stored.size === 0) this.taskRecords = undefined
      return
    }
    const { records } = this
    records.stored.set(key, value.toString('latin1'))
    records.hasUnread = true
  }

  /** Notes that the record of the job's end was read from the journal. */
  readEnd (): void {
    this.endWritten = true
  }

  /** Applies the records that were read to the job's tasks. */
  decodeUnread (): void {
    const { records } = this
    records.hasUnread = false
    for (const [key, text] of records.stored) {
      if (text === '') continue
      records.stored.set(key, '')
      const { subject, block } = splitBlockKey(key)
      const value = Buffer.from(text, 'latin1')
      if (subject === Subject.Runs) this.applyRuns(block, value, () => { records.invalidKeys.add(key) })
      else for (const number of decodeDone(block, value)) this.applyDone(number)
    }
  }

  /** Notes a change of a task, so that the next commit writes it. */
  mark (task: TaskEntry): void {
    const number = this.numberOf(task)
    if (task.stage !== Stage.Done) {
      this.markRuns(runsBlockOf(number))
      return
    }
    const block = doneBlockOf(number)
    const done = this.addDone(number)
    this.records.changed.set(blockKeyOf(Subject.Done, this.entry.job.id, block), () => done.encode(this.entry.job.id, block))
    const runs = runsBlockOf(number)
    if (this.tasksOf(runs).every((other) => other?.stage === Stage.Done)) this.deleteRuns(runs)
  }

  /**
   * Returns the records to write and forgets the changes. Once a job has ended and none of its tasks is assigned, all records but
   * that of its end are deleted: a successor has no run of the job to restore, and callers need nothing else.
   *
   * @returns encoders by key
   */
  take (): Map<string, Encoder> {
    const { entry, taskRecords } = this
    const changes = new Map<string, Encoder>()
    if (this.detailsDeleted) return changes
    const { id } = entry.job
    if (isFinal(entry.phase) && !this.endWritten) {
      this.endWritten = true
      const { phase, endedMs } = entry
      changes.set(keyOf(Subject.Progress, id), () => encodeJobEnd(id, { ...entry.job, phase, endedMs }))
    }
    if (isFinal(entry.phase) && !entry.hasAssignedTask()) {
      this.detailsDeleted = true
      const keys = [keyOf(Subject.Job, id), ...this.storedTaskKeys()]
      for (const key of keys) changes.set(key, () => ({ key, value: undefined }))
      taskRecords?.stored.clear()
      return changes
    }
    if (taskRecords === undefined) return changes
    for (const [key, encoder] of taskRecords.changed) {
      if (encoder === undefined) taskRecords.stored.delete(key)
      else taskRecords.stored.set(key, '')
      changes.set(key, encoder ?? (() => ({ key, value: undefined })))
    }
    taskRecords.changed.clear()
    return changes
  }

  /** Drops the state of the tasks, once the job has ended and has no runs. Keys of records that the journal may hold are kept. */
  dropTasks (): void {
    const storedKeys = this.storedTaskKeys()
    this.taskRecords = undefined
    for (const key of storedKeys) this.records.stored.set(key, '')
  }

  /** Returns the keys of all records of the job that the journal may hold. The record of its end comes last. */
  storedKeys (): string[] {
    const { id } = this.entry.job
    const keys = [keyOf(Subject.Job, id), ...this.storedTaskKeys()]
    if (this.entry.cancelledMs > 0) keys.push(keyOf(Subject.Cancellation, id))
    return [...keys, keyOf(Subject.Progress, id)]
  }

  private get records (): TaskRecords {
    this.taskRecords ??= new TaskRecords()
    return this.taskRecords
  }

  private storedTaskKeys (): string[] {
    return [...this.taskRecords?.stored.keys() ?? []]
  }

  private markRuns (block: number): void {
    const { id } = this.entry.job
    this.records.changed.set(blockKeyOf(Subject.Runs, id, block), () => encodeRuns(id, block, this.tasksOf(block)))
  }

  /** Deletes the record of a block of runs, if it may be in the journal. */
  private deleteRuns (block: number): void {
    const key = blockKeyOf(Subject.Runs, this.entry.job.id, block)
    const { stored, changed } = this.records
    if (stored.has(key)) changed.set(key, undefined)
    else changed.delete(key)
  }

  private applyRuns (block: number, value: Buffer, onInvalid: () => void): void {
    for (const [index, run] of decodeRuns(value, onInvalid).entries()) {
      const number = block * RUNS_BLOCK_TASKS + index
      const key = this.keyOf(number)
      if (run === undefined || key === undefined) continue
      if (run.stage === Stage.Done) this.applyDone(number)
      else if (this.entry.tasks.get(key)?.stage !== Stage.Done) Object.assign(this.entry.taskByKey(key), run)
    }
  }

  private applyDone (number: number): void {
    const key = this.keyOf(number)
    if (key === undefined) return
    Object.assign(this.entry.taskByKey(key), DONE_TASK)
    this.addDone(number)
  }

  private addDone (number: number): DoneTasks {
    const block = doneBlockOf(number)
    const { doneTasks } = this.records
    let done = doneTasks.get(block)
    if (done === undefined) doneTasks.set(block, done = new DoneTasks())
    done.add(number)
    return done
  }

  /** Returns the tasks of a block of runs in their order; undefined for one without an entry. */
  private tasksOf (block: number): Array<TaskEntry | undefined> {
    const tasks: Array<TaskEntry | undefined> = []
    for (let number = block * RUNS_BLOCK_TASKS; number < (block + 1) * RUNS_BLOCK_TASKS; number++) {
      const key = this.keyOf(number)
      if (key === undefined) break
      tasks.push(this.entry.tasks.get(key))
    }
    return tasks
  }

  private numberOf ({ key, occurrence, step }: TaskEntry): number {
    return this.numbering().numberOf(occurrence, step, Number(key.slice(key.lastIndexOf('.') + 1)))
  }

  private keyOf (number: number): string | undefined {
    return this.numbering().keyOf(number)
  }

  private numbering (): TaskNumbering {
    const { records } = this
    records.numbering ??= new TaskNumbering(this.entry.job)
    return records.numbering
  }
}
