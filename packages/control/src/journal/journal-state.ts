/**
 * The state of the cell, which every node builds by applying the records of the journal.
 */
import { isFinal, occurrencesOf, taskKeyOf, Phase, type Job } from '../model/job.js'
import type { StoredRecord } from '../ports/store.js'
import {
  Stage, Subject, decodeValue, splitKey, type Cancellation, type NodeAddress, type OwnerClaim, type Progress, type TaskProgress
} from './record.js'

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
  /** Checkpoint from which the next run resumes; empty if there is none. */
  checkpoint: string
}

/** State of a job and its tasks. */
export class JobEntry {
  phase = Phase.Pending
  /** Unix time at which the job ended; 0 if it has not. */
  endedMs = 0
  /** Unix time at which a caller cancelled the job; 0 if none did. */
  cancelledMs = 0
  /** The phase that is in the journal. Callers are shown this phase, or Cancelled once the cancellation is in the journal. */
  committedPhase = Phase.Pending
  readonly tasks = new Map<string, TaskEntry>()

  constructor (readonly job: Job) {}

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
      checkpoint: ''
    }
    this.tasks.set(key, task)
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

  /** Returns the job's progress as it is written to the journal. */
  progress (): Progress {
    const tasks: TaskProgress[] = []
    for (const task of this.tasks.values()) {
      if (task.run === 0) continue
      tasks.push([task.key, task.stage, task.run, task.worker, task.born, task.failures, task.checkpoint])
    }
    return { phase: this.phase, endedMs: this.endedMs, tasks }
  }

  /** Restores the state from a progress record of the journal. */
  restore (progress: Progress): void {
    this.phase = progress.phase
    this.committedPhase = progress.phase
    this.endedMs = progress.endedMs
    for (const [key, stage, run, worker, born, failures, checkpoint] of progress.tasks) {
      Object.assign(this.taskByKey(key), { stage, run, worker, born, failures, checkpoint })
    }
  }

  /** Returns the phase that callers see. */
  visiblePhase (): Phase {
    if (isFinal(this.committedPhase)) return this.committedPhase
    return this.cancelledMs > 0 ? Phase.Cancelled : this.committedPhase
  }
}

/** State of the cell according to the journal. */
export class JournalState {
  readonly jobs = new Map<string, JobEntry>()
  readonly nodes = new Map<string, NodeAddress>()
  /** The newest valid claim, by this node or another one. */
  ownerClaim: OwnerClaim | undefined
  /** Number of records of any owner that have been read. Only its change is used; a deferred record counts twice. */
  ownerRecordCount = 0
  /** Number of records that could not be decoded. */
  undecodableCount = 0
  /** Cancellations and progress of jobs whose job record has not been read yet, by job id. */
  private readonly deferred = new Map<string, StoredRecord[]>()

  /**
   * Applies a record. Records may be applied more than once and out of order. A final phase does not change any more.
   * While the phase is not final, an older progress record replaces newer progress until the newer record is applied again.
   *
   * @param record a record of the journal
   * @param ownEpoch epoch of this node's ownership, or 0. An owner does not apply progress records, since it wrote them itself
   */
  apply (record: StoredRecord, ownEpoch = 0): void {
    const { subject, name } = splitKey(record.key)
    switch (subject) {
      case Subject.Job: return this.applyJob(name, record)
      case Subject.Cancellation: return this.applyCancellation(name, record)
      case Subject.Progress: return this.applyProgress(name, record, ownEpoch)
      case Subject.Node: return this.applyNode(name, record)
      case Subject.Owner: return this.applyOwner(record)
      case Subject.Heartbeat: this.ownerRecordCount++
    }
  }

  private applyJob (id: string, record: StoredRecord): void {
    if (record.value === undefined) {
      this.jobs.delete(id)
      this.deferred.delete(id)
      return
    }
    if (this.jobs.has(id)) return
    const job = this.decode<Job>(record.value)
    if (job === undefined) return
    this.jobs.set(id, new JobEntry(job))
    const deferred = this.deferred.get(id)
    if (deferred === undefined) return
    this.deferred.delete(id)
    for (const waiting of deferred) this.apply(waiting)
  }

  private applyCancellation (id: string, record: StoredRecord): void {
    if (record.value === undefined) return
    const entry = this.jobs.get(id)
    if (entry === undefined) return this.defer(id, record)
    const cancellation = this.decode<Cancellation>(record.value)
    if (cancellation !== undefined) entry.cancelledMs ||= cancellation.atMs
  }

  private applyProgress (id: string, record: StoredRecord, ownEpoch: number): void {
    this.ownerRecordCount++
    if (record.value === undefined || ownEpoch > 0) return
    const entry = this.jobs.get(id)
    if (entry === undefined) return this.defer(id, record)
    if (isFinal(entry.phase)) return
    const progress = this.decode<Progress>(record.value)
    if (progress !== undefined) entry.restore(progress)
  }

  private applyNode (name: string, record: StoredRecord): void {
    if (record.value === undefined) {
      this.nodes.delete(name)
      return
    }
    const address = this.decode<NodeAddress>(record.value)
    if (address !== undefined) this.nodes.set(name, address)
  }

  private applyOwner (record: StoredRecord): void {
    if (record.value === undefined) return
    const claim = this.decode<OwnerClaim>(record.value)
    if (claim === undefined || (this.ownerClaim !== undefined && claim.epoch <= this.ownerClaim.epoch)) return
    this.ownerClaim = claim
    this.ownerRecordCount++
  }

  private defer (id: string, record: StoredRecord): void {
    const deferred = this.deferred.get(id) ?? []
    deferred.push(record)
    this.deferred.set(id, deferred)
  }

  private decode<T> (value: Buffer): T | undefined {
    const decoded = decodeValue<T>(value)
    if (decoded.isOk()) return decoded.value
    this.undecodableCount++
  }
}
