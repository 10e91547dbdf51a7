/**
 * The state of the cell, which every node builds by applying the records of the journal.
 */
import { isFinal, occurrencesOf, taskKeyOf, Phase, type Job, type Step } from '../model/job.js'
import { Backlog, EARLY_CANCELLATION_BYTES, backlogBoundOf, heldBytesOf } from '../place/backlog.js'
import type { StoredRecord } from '../ports/store.js'
import { JobChanges, type Encoder } from './job-changes.js'
import { decodeJob } from './job-record.js'
import { decodePastUse, type PastUseBlock } from './past-use-record.js'
import {
  Stage, Subject, decodeProgress, decodeValue, isCancellation, isEarly, isNodeAddress, isOwnerClaim, splitKey,
  type EarlyCancellation, type JobEnd, type NodeAddress, type OwnerClaim, type Progress
} from './record.js'
import { splitBlockKey } from './task-record.js'

/** State of a task. The owner changes it and writes the changes to the journal. */
export interface TaskEntry {
  readonly key: string
  readonly occurrence: number
  readonly step: number
  stage: Stage
  /** Number of the last assigned run; 0 if none has been assigned. */
  run: number
  /** Worker of the last assigned run. */
  worker: string
  /** Unix time at which that worker started, which identifies its incarnation. */
  born: number
  /** Number of failed runs; for a member of a gang, of all its members. */
  failures: number
  /** Number of the last run that is counted in `failures`; 0 if there is none. */
  failedRun: number
  /** Checkpoint from which the next run resumes; empty if there is none. */
  checkpoint: string
}

const NO_TASKS: ReadonlyMap<string, TaskEntry> = new Map()

/** State of a job and its tasks. */
export class JobEntry {
  phase = Phase.Pending
  /** Unix time at which the job ended; 0 if it has not. */
  endedMs = 0
  /** Unix time at which a caller cancelled the job; 0 if none did. */
  cancelledMs = 0
  /** The phase that is in the journal. Callers are shown this phase, or Cancelled once the cancellation is in the journal. */
  committedPhase = Phase.Pending
  /** What the job is counted with in the backlog. */
  heldBytes = 0
  /** Undefined if no task was used. */
  private taskEntries: Map<string, TaskEntry> | undefined
  private readonly changes = new JobChanges(this)

  /** @param job the job; once the job has ended, only a summary of it may be left */
  constructor (public job: Job) {}

  /** Tasks that were used at least once, by key. Records of tasks that were read from the journal are decoded here on first use. */
  get tasks (): ReadonlyMap<string, TaskEntry> {
    if (this.changes.hasUnread) this.changes.decodeUnread()
    return this.taskEntries ?? NO_TASKS
  }

  /** Returns a task; its entry is created on first use. */
  task (occurrence: number, step: number, index: number): TaskEntry {
    return this.taskByKey(taskKeyOf(occurrence, step, index))
  }

  /** Returns the task with a key; its entry is created on first use. */
  taskByKey (key: string): TaskEntry {
    const known = this.tasks.get(key)
    if (known !== undefined) return known
    const [occurrence, step] = key.split('.')
    const task: TaskEntry = {
      key,
      occurrence: Number(occurrence),
      step: Number(step),
      stage: Stage.Waiting,
      run: 0,
      worker: '',
      born: 0,
      failures: 0,
      failedRun: 0,
      checkpoint: ''
    }
    this.taskEntries ??= new Map()
    this.taskEntries.set(key, task)
    return task
  }

  /** True if the key names a task of the job. */
  hasTask (key: string): boolean {
    const [occurrence, step, index] = key.split('.').map(Number)
    const count = this.job.steps[step ?? -1]?.count ?? 0
    return occurrence !== undefined && occurrence < occurrencesOf(this.job) && index !== undefined && index < count
  }

  /** True if the phase is final or the job has been cancelled, so that no further task may start. */
  isFinishedOrCancelled (): boolean {
    return this.cancelledMs > 0 || isFinal(this.phase)
  }

  /** True if every task of a step is done in the given occurrence. */
  isStepDone (occurrence: number, step: number): boolean {
    const { count } = this.job.steps[step]!
    for (let index = 0; index < count; index++) {
      if (this.tasks.get(taskKeyOf(occurrence, step, index))?.stage !== Stage.Done) return false
    }
    return true
  }

  /** Keys of the tasks' records that could not be decoded, or not in full. */
  get invalidKeys (): Iterable<string> {
    return this.changes.invalidKeys
  }

  /** True if a task has a run that may exist. */
  hasAssignedTask (): boolean {
    for (const task of this.tasks.values()) {
      if (task.stage === Stage.Assigned) return true
    }
    return false
  }

  /** Notes a change of a task, so that the next commit writes it. */
  markChanged (task: TaskEntry): void {
    this.changes.mark(task)
  }

  /** Notes a change of all tasks, if an error may have prevented that some changes were noted. */
  markAllChanged (): void {
    for (const task of this.tasks.values()) this.changes.mark(task)
  }

  /** Returns encoders of the records that a commit of the job has to write, by key, and forgets the changes. */
  takeChanges (): Map<string, Encoder> {
    return this.changes.take()
  }

  /** Returns the keys of all records of the job that the journal may hold, in the order in which they are to be deleted. */
  storedKeys (): string[] {
    return this.changes.storedKeys()
  }

  /** Applies a record of tasks that was read from the journal. */
  restoreTasks (key: string, value: Buffer | undefined): void {
    this.changes.read(key, value)
    if (value === undefined || this.phase !== Phase.Pending) return
    this.phase = Phase.Active
    this.committedPhase = Phase.Active
  }

  /** Restores the end of the job from the journal. */
  restoreEnd ({ phase, endedMs }: JobEnd): void {
    this.changes.readEnd()
    this.phase = phase
    this.committedPhase = phase
    this.endedMs = endedMs
  }

  /** Restores the state from a progress record of an earlier build. The next commit writes the tasks as this build does. */
  restore (progress: Progress): void {
    this.phase = progress.phase
    this.committedPhase = progress.phase
    this.endedMs = progress.endedMs
    for (const [key, stage, run, worker, born, failures, checkpoint] of progress.tasks) {
      const task = this.taskByKey(key)
      Object.assign(task, { stage, run, worker, born, failures, failedRun: lastFailedRunOf(stage, run, failures), checkpoint })
      this.changes.mark(task)
    }
  }

  /** Drops what is not needed of a job that has ended and has no runs. */
  dropDetails (): void {
    if (this.job.steps.length === 0) return
    this.job = summaryOf(this.job)
    this.changes.dropTasks()
    this.taskEntries = undefined
  }

  /** Returns the phase that callers see. */
  visiblePhase (): Phase {
    if (isFinal(this.committedPhase)) return this.committedPhase
    return this.cancelledMs > 0 ? Phase.Cancelled : this.committedPhase
  }
}

/** Records of earlier builds do not contain the last failed run. A run that is not assigned any more was counted if it failed. */
function lastFailedRunOf (stage: Stage, run: number, failures: number): number {
  if (failures === 0) return 0
  return stage === Stage.Assigned ? run - 1 : run
}

const NO_STEPS: readonly Step[] = []

/** Returns a job without what only its tasks need. */
function summaryOf ({ id, queue, workspace, acceptedMs }: Pick<Job, 'id' | 'queue' | 'workspace' | 'acceptedMs'>): Job {
  return {
    id, queue, upstream: '', workspace, payload: '', steps: NO_STEPS, occurrences: 0, firstDueMs: 0, intervalMs: 0, acceptedMs
  }
}

/** State of the cell according to the journal. */
export class JournalState {
  readonly jobs = new Map<string, JobEntry>()
  readonly nodes = new Map<string, NodeAddress>()
  /** Past use of workspaces as the last owners recorded it, by block. An owner does not read its own records. */
  readonly pastUse = new Map<string, PastUseBlock>()
  /** Cancellations of jobs that are not known, by job id. They take effect if the record of the job is stored later. */
  readonly earlyCancellations = new Map<string, EarlyCancellation>()
  /** The newest valid claim, by this node or another one. */
  ownerClaim: OwnerClaim | undefined
  /** Number of records of any owner that have been read. Only its change is used; a deferred record counts twice. */
  ownerRecordCount = 0
  /** What the jobs hold in memory. */
  readonly backlog: Backlog
  /** Memory of the smallest node in MB; undefined if no node reports its own. */
  private smallestMemoryMb: number | undefined
  /** Cancellations and progress of jobs that are not known yet, by job id. */
  private deferred = new Map<string, StoredRecord[]>()
  /** Those that were deferred before the last `collectDeferred`. */
  private oldDeferred = new Map<string, StoredRecord[]>()

  /**
   * @param onRejected called with the key of a record that cannot be applied, and the reason. The record is passed over
   * @param backlogBytes returns the bound on what the jobs hold, or undefined if it follows from the memory of the smallest node
   * @param countWorkspaces returns the number of workspaces that may submit jobs
   */
  constructor (
    private readonly onRejected: (key: string, reason: string) => void = () => {},
    backlogBytes: () => number | undefined = () => undefined,
    countWorkspaces = () => 1
  ) {
    this.backlog = new Backlog(() => backlogBytes() ?? backlogBoundOf(this.smallestMemoryMb), countWorkspaces)
  }

  /** Number of jobs of which records wait for the record of the job itself. */
  get deferredCount (): number {
    return this.deferred.size + this.oldDeferred.size
  }

  /**
   * Drops the records that were deferred before the last call. The journal has the record of a job before all others about it, so that
   * records that still wait after a later reading belong to a job that has been removed.
   */
  collectDeferred (): void {
    this.oldDeferred = this.deferred
    this.deferred = new Map()
  }

  /** Drops what is not needed of a job that has ended and has no runs. */
  dropDetails (entry: JobEntry): void {
    entry.dropDetails()
    this.count(entry, heldBytesOf(entry.job))
  }

  /** Removes a job. */
  remove (id: string): void {
    const entry = this.jobs.get(id)
    if (entry === undefined) return
    this.jobs.delete(id)
    this.count(entry, 0)
  }

  /** Counts a job in the backlog instead of what it was counted with before. */
  private count (entry: JobEntry, bytes: number): void {
    const { workspace } = entry.job
    if (bytes > entry.heldBytes) this.backlog.add(workspace, bytes - entry.heldBytes)
    else if (bytes < entry.heldBytes) this.backlog.remove(workspace, entry.heldBytes - bytes)
    entry.heldBytes = bytes
  }

  /**
   * Applies a record. Records may be applied more than once and out of order. A final phase does not change any more.
   * While the phase is not final, an older progress record replaces newer progress until the newer record is applied again.
   *
   * @param record a record of the journal
   * @param ownEpoch epoch of this node's ownership, or 0. An owner does not apply progress records, since it wrote them itself
   */
  apply (record: StoredRecord, ownEpoch = 0): void {
    try {
      this.applyDecoded(record, ownEpoch)
    } catch (error) {
      this.onRejected(record.key, String(error))
    }
  }

  private applyDecoded (record: StoredRecord, ownEpoch: number): void {
    const { subject, name } = splitKey(record.key)
    switch (subject) {
      case Subject.Job: return this.applyJob(name, record, ownEpoch)
      case Subject.Cancellation: return this.applyCancellation(name, record)
      case Subject.Progress: return this.applyProgress(name, record, ownEpoch)
      case Subject.Runs:
      case Subject.Done: return this.applyTasks(record, ownEpoch)
      case Subject.Node: return this.applyNode(name, record)
      case Subject.Owner: return this.applyOwner(record)
      case Subject.PastUse: return this.applyPastUse(name, record)
      case Subject.Heartbeat: this.ownerRecordCount++
    }
  }

  private applyJob (id: string, record: StoredRecord, ownEpoch: number): void {
    if (record.value === undefined) {
      if (ownEpoch === 0) this.deleteJobRecord(id)
      return
    }
    if (this.jobs.has(id)) return
    const job = decodeJob(record.key, record.value)
    if (job.isOk()) this.addJob(new JobEntry(job.value))
    else this.onRejected(record.key, job.error)
  }

  private addJob (entry: JobEntry): void {
    const { id } = entry.job
    this.jobs.set(id, entry)
    this.backlog.fulfil(id)
    this.count(entry, heldBytesOf(entry.job))
    for (const waiting of this.takeDeferred(id)) this.apply(waiting)
    const early = this.earlyCancellations.get(id)
    if (early !== undefined) this.cancelEarly(entry, early)
  }

  private cancelEarly (entry: JobEntry, early: EarlyCancellation): void {
    if (entry.job.queue !== early.queue) return
    entry.cancelledMs ||= early.atMs
    this.removeEarlyCancellation(entry.job.id)
  }

  /** Removes the cancellation of a job that is not known. */
  removeEarlyCancellation (id: string): void {
    const early = this.earlyCancellations.get(id)
    if (early === undefined) return
    this.earlyCancellations.delete(id)
    this.backlog.remove(early.workspace, EARLY_CANCELLATION_BYTES)
  }

  private addEarlyCancellation (id: string, early: EarlyCancellation): void {
    if (this.earlyCancellations.has(id)) return
    this.earlyCancellations.set(id, early)
    this.backlog.add(early.workspace, EARLY_CANCELLATION_BYTES)
  }

  /** The record of a job that has ended is deleted before the record of its end, which remains for callers. */
  private deleteJobRecord (id: string): void {
    const entry = this.jobs.get(id)
    if (entry === undefined) this.takeDeferred(id)
    else if (isFinal(entry.phase)) this.dropDetails(entry)
    else this.remove(id)
  }

  private applyCancellation (id: string, record: StoredRecord): void {
    if (record.value === undefined) return this.removeEarlyCancellation(id)
    const entry = this.jobs.get(id)
    const cancellation = this.decode(record.key, record.value, isCancellation)
    if (cancellation === undefined) return
    if (isEarly(cancellation)) {
      this.addEarlyCancellation(id, cancellation)
      if (entry !== undefined) this.cancelEarly(entry, cancellation)
    } else if (entry === undefined) {
      this.defer(id, record)
    } else {
      entry.cancelledMs ||= cancellation.atMs
    }
  }

  private applyProgress (id: string, record: StoredRecord, ownEpoch: number): void {
    this.ownerRecordCount++
    if (ownEpoch > 0) return
    if (record.value === undefined) {
      this.remove(id)
      this.takeDeferred(id)
      return
    }
    const entry = this.jobs.get(id)
    if (entry !== undefined && isFinal(entry.phase)) return
    const decoded = decodeProgress(record.value)
    if (decoded.isErr()) this.onRejected(record.key, decoded.error)
    else if ('queue' in decoded.value) this.applyEnd(id, decoded.value)
    else if (entry === undefined) this.defer(id, record)
    else entry.restore(decoded.value)
  }

  private applyEnd (id: string, end: JobEnd): void {
    const known = this.jobs.get(id)
    const entry = known ?? new JobEntry(summaryOf({ id, ...end }))
    entry.restoreEnd(end)
    if (known === undefined) this.addJob(entry)
  }

  private applyTasks (record: StoredRecord, ownEpoch: number): void {
    this.ownerRecordCount++
    if (ownEpoch > 0) return
    const { job } = splitBlockKey(record.key)
    const entry = this.jobs.get(job)
    if (entry !== undefined) entry.restoreTasks(record.key, record.value)
    else if (record.value !== undefined || this.isDeferred(job)) this.defer(job, record)
  }

  private applyNode (name: string, record: StoredRecord): void {
    const address = record.value && this.decode(record.key, record.value, isNodeAddress)
    if (address !== undefined) this.nodes.set(name, address)
    else if (record.value === undefined) this.nodes.delete(name)
    const memories = [...this.nodes.values()].flatMap(({ memoryMb }) => memoryMb ?? [])
    this.smallestMemoryMb = memories.length === 0 ? undefined : Math.min(...memories)
  }

  private applyOwner (record: StoredRecord): void {
    if (record.value === undefined) return
    const claim = this.decode(record.key, record.value, isOwnerClaim)
    if (claim === undefined || (this.ownerClaim !== undefined && claim.epoch <= this.ownerClaim.epoch)) return
    this.ownerClaim = claim
    this.ownerRecordCount++
  }

  private applyPastUse (block: string, record: StoredRecord): void {
    this.pastUse.delete(block)
    if (record.value === undefined) return
    const decoded = decodePastUse(record.value)
    if (decoded.isOk()) this.pastUse.set(block, decoded.value)
    else this.onRejected(record.key, decoded.error)
  }

  private isDeferred (id: string): boolean {
    return this.deferred.has(id) || this.oldDeferred.has(id)
  }

  private defer (id: string, record: StoredRecord): void {
    const deferred = this.takeDeferred(id)
    deferred.push(record)
    this.deferred.set(id, deferred)
  }

  private takeDeferred (id: string): StoredRecord[] {
    const deferred = this.deferred.get(id) ?? this.oldDeferred.get(id) ?? []
    this.deferred.delete(id)
    this.oldDeferred.delete(id)
    return deferred
  }

  private decode<T> (key: string, value: Buffer, isValid: (content: unknown) => content is T): T | undefined {
    const decoded = decodeValue<unknown>(value)
    if (decoded.isErr()) this.onRejected(key, decoded.error)
    else if (isValid(decoded.value)) return decoded.value
    else this.onRejected(key, 'A field of the value is missing or has another type.')
  }
}
