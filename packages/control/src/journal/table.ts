/**
 * The state that the journal describes: every node folds the same records into it.
 */
import { isFinal, occurrencesOf, taskKeyOf, Phase, type Job } from '../model/job.js'
import type { StoredRecord } from '../ports/store.js'
import {
  Stage, Subject, decodeValue, splitKey, type Cancellation, type NodeAddress, type OwnerClaim, type Progress, type TaskProgress
} from './record.js'

/** A task of a job. Mutable at the owner, which writes what changes to the journal. */
export interface TaskEntry {
  readonly key: string
  readonly occurrence: number
  readonly step: number
  stage: Stage
  /** Number of the last run that was assigned; 0 for none. */
  run: number
  /** Worker and incarnation of that run. */
  worker: string
  born: number
  failures: number
  checkpoint: string
}

/** A job and what has become of it. */
export class JobEntry {
  phase = Phase.Pending
  endedMs = 0
  cancelledMs = 0
  /** The phase that is in the journal, and may be shown. */
  shown = Phase.Pending
  readonly tasks = new Map<string, TaskEntry>()

  constructor (readonly job: Job) {}

  /** The task, created on first use. */
  task (occurrence: number, step: number, index: number): TaskEntry {
    return this.taskByKey(taskKeyOf(occurrence, step, index))
  }

  /** The task with a key, created on first use. */
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

  /** True if no task of the job may start any more. */
  over (): boolean {
    return this.cancelledMs > 0 || isFinal(this.phase)
  }

  /** True if every task of a step of an occurrence is done. */
  stepDone (occurrence: number, step: number): boolean {
    const { count } = this.job.steps[step]!
    for (let index = 0; index < count; index++) {
      if (this.tasks.get(taskKeyOf(occurrence, step, index))?.stage !== Stage.Done) return false
    }
    return true
  }

  /** What the journal is to hold. */
  progress (): Progress {
    const tasks: TaskProgress[] = []
    for (const task of this.tasks.values()) {
      if (task.run === 0) continue
      tasks.push([task.key, task.stage, task.run, task.worker, task.born, task.failures, task.checkpoint])
    }
    return { phase: this.phase, endedMs: this.endedMs, tasks }
  }

  /** Takes over what the journal holds. */
  restore (progress: Progress): void {
    this.phase = progress.phase
    this.shown = progress.phase
    this.endedMs = progress.endedMs
    for (const [key, stage, run, worker, born, failures, checkpoint] of progress.tasks) {
      Object.assign(this.taskByKey(key), { stage, run, worker, born, failures, checkpoint })
    }
  }

  /** The phase that callers are shown. */
  visiblePhase (): Phase {
    if (isFinal(this.shown)) return this.shown
    return this.cancelledMs > 0 ? Phase.Cancelled : this.shown
  }
}

/** All that the journal describes. */
export class Table {
  readonly jobs = new Map<string, JobEntry>()
  readonly nodes = new Map<string, NodeAddress>()
  /** The newest claim that holds. */
  owner: OwnerClaim | undefined
  /** Records that the owner has written, as far as they were read. */
  ownerRecords = 0
  /** Records that could not be read. */
  unreadable = 0
  /** Cancellations and progress of jobs whose acceptance has not been read yet. */
  private readonly early = new Map<string, StoredRecord[]>()

  /**
   * Applies a record. Applying one again, or an older one again, changes nothing that is final.
   *
   * @param record a record of the journal
   * @param own epoch of this node's ownership; its own progress records are not applied. 0 if it is not the owner
   */
  apply (record: StoredRecord, own = 0): void {
    const { subject, name } = splitKey(record.key)
    switch (subject) {
      case Subject.Job: return this.applyJob(name, record)
      case Subject.Cancellation: return this.applyCancellation(name, record)
      case Subject.Progress: return this.applyProgress(name, record, own)
      case Subject.Node: return this.applyNode(name, record)
      case Subject.Owner: return this.applyOwner(record)
      case Subject.Beat: this.ownerRecords++
    }
  }

  private applyJob (id: string, record: StoredRecord): void {
    if (record.value === undefined) {
      this.jobs.delete(id)
      return
    }
    if (this.jobs.has(id)) return
    const job = this.decode<Job>(record.value)
    if (job === undefined) return
    this.jobs.set(id, new JobEntry(job))
    const early = this.early.get(id)
    if (early === undefined) return
    this.early.delete(id)
    for (const waiting of early) this.apply(waiting)
  }

  private applyCancellation (id: string, record: StoredRecord): void {
    if (record.value === undefined) return
    const entry = this.jobs.get(id)
    if (entry === undefined) return this.keep(id, record)
    const cancellation = this.decode<Cancellation>(record.value)
    if (cancellation !== undefined) entry.cancelledMs ||= cancellation.atMs
  }

  private applyProgress (id: string, record: StoredRecord, own: number): void {
    this.ownerRecords++
    if (record.value === undefined || own > 0) return
    const entry = this.jobs.get(id)
    if (entry === undefined) return this.keep(id, record)
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
    if (claim === undefined || (this.owner !== undefined && claim.epoch <= this.owner.epoch)) return
    this.owner = claim
    this.ownerRecords++
  }

  private keep (id: string, record: StoredRecord): void {
    const early = this.early.get(id) ?? []
    early.push(record)
    this.early.set(id, early)
  }

  private decode<T> (value: Buffer): T | undefined {
    const decoded = decodeValue<T>(value)
    if (decoded.isOk()) return decoded.value
    this.unreadable++
  }
}
