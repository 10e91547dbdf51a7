/**
 * The durable state of a shard. The owner and its standbys build it by applying the changes of the shard's stream.
 */
import { StateMachine } from '@fireflymount/service-clients/journal'
import { JobState, type Allotment, type Job } from '@fireflymount/protocol/message'
import type { Resources } from '@fireflymount/protocol/resources'
import {
  ChangeKind, RunOutcome, parseChange,
  type Accepted, type Borrowed, type Cancelled, type Change, type Drained, type Ended, type Evacuated, type Lent, type RunRecord,
  type Settled, type Standbys
} from './change.js'

/** Time for which an ended job is kept, so that a repeated idempotency key returns the original job. */
export const JOB_RETENTION_MS = 24 * 3600 * 1000

/**
 * Size at which a part of a snapshot with jobs is completed and the next one is started, in characters of JSON. The last job of a
 * part can take it beyond this size. The first part, which has everything but the jobs, is not split.
 */
const SNAPSHOT_PART_CHARACTERS = 150_000

/** The stages of a task. */
export enum Stage {
  Waiting = 'waiting',
  /** An attempt was written; the task may be running on the recorded worker. */
  Dispatched = 'out',
  /** The task has an outcome; only `RunOutcome.Unknown` may still be replaced by a later report. */
  Finished = 'over'
}

/** A task of a job, or a replica of a service. */
export interface TaskRecord {
  readonly id: string
  stage: Stage
  /** Number of the last attempt, from 1; 0 before the first. */
  attempt: number
  /** Number of attempts that ran and failed. */
  failures: number
  /** Worker of the last attempt. */
  worker?: string
  /** Id of that worker's incarnation at the last attempt. */
  boot?: string
  /** Hash of the size and body that a replica was started with. */
  spec?: string
  /** Absent until the task is finished. A later report may still replace `RunOutcome.Unknown`. */
  outcome?: RunOutcome
  result?: unknown
  detail?: string
}

/** A job with its tasks. */
export interface JobRecord {
  readonly job: string
  readonly queue: string
  readonly team: string
  /** Hash of the submission's content. */
  readonly digest: string
  readonly idempotent: boolean
  readonly gang: boolean
  readonly runtimeMs: number
  readonly size: Resources
  readonly body: unknown
  /** Wall-clock time. */
  readonly acceptedMs: number
  readonly tasks: TaskRecord[]
  cancelled: boolean
  /** Number of tasks that are not finished. */
  left: number
  endedMs?: number
}

/** An unsettled transfer of allotment from this shard: its receiver may not have recorded it yet. */
export interface UnsettledTransfer {
  readonly to: string
  readonly team: string
  readonly sequence: number
  readonly amount: Allotment
}

/** One part of a snapshot. */
interface SnapshotPart {
  readonly jobs?: JobRecord[]
  readonly replicas?: TaskRecord[]
  readonly loans?: UnsettledTransfer[]
  readonly lent?: Array<[string, number]>
  readonly borrowed?: Array<[string, number]>
  readonly net?: Array<[string, Allotment]>
  readonly drained?: string[]
  readonly evacuated?: string[]
  readonly standbys?: Standbys
}

/** The state that a new owner of the shard needs. */
export class ShardState extends StateMachine {
  readonly jobs = new Map<string, JobRecord>()
  /** Replicas of services, by task id. */
  readonly replicas = new Map<string, TaskRecord>()
  /** Unsettled transfers, by receiver and team. */
  readonly loans = new Map<string, UnsettledTransfer>()
  /** Sequence number of the last transfer given, by receiver and team. */
  readonly lent = new Map<string, number>()
  /** Sequence number of the last transfer received, by giver and team. */
  readonly borrowed = new Map<string, number>()
  /** Net gain of a team's allotment from all transfers, by team; negative for a net loss. */
  readonly net = new Map<string, Allotment>()
  /** Workers that an operator closed to new tasks. */
  readonly drained = new Set<string>()
  /** Availability zones that are being evacuated. */
  readonly evacuated = new Set<string>()
  standbys: Standbys | undefined
  /** Number of changes that no codec accepted. */
  malformed = 0
  private readonly jobOfTask = new Map<string, JobRecord>()
  private readonly tasks = new Map<string, TaskRecord>()

  override apply (value: unknown): void {
    const change = parseChange(value)
    if (change === undefined) this.malformed++
    else this.applyChange(change)
  }

  override snapshot (): readonly unknown[] {
    // The newest recorded time is used as the current time, so that what is removed does not depend on this node's clock. Jobs are
    // removed only here, on the node that writes the snapshot; standbys keep them until they restore a snapshot, or until a job with
    // the same id is accepted again.
    this.prune(this.newestJobMs())
    const parts: SnapshotPart[] = [{
      replicas: [...this.replicas.values()],
      loans: [...this.loans.values()],
      lent: [...this.lent],
      borrowed: [...this.borrowed],
      net: [...this.net],
      drained: [...this.drained],
      evacuated: [...this.evacuated],
      ...(this.standbys === undefined ? {} : { standbys: this.standbys })
    }]
    let batch: JobRecord[] = []
    let characters = 0
    for (const job of this.jobs.values()) {
      characters += JSON.stringify(job).length
      batch.push(job)
      if (characters < SNAPSHOT_PART_CHARACTERS) continue
      parts.push({ jobs: batch })
      batch = []
      characters = 0
    }
    parts.push({ jobs: batch })
    // The parts are written over some time, while the state keeps changing.
    return structuredClone(parts)
  }

  override restore (parts: readonly unknown[]): void {
    this.clear()
    for (const part of parts as readonly SnapshotPart[]) {
      for (const job of part.jobs ?? []) this.indexJob(structuredClone(job))
      for (const replica of part.replicas ?? []) this.indexReplica({ ...replica })
      for (const loan of part.loans ?? []) this.loans.set(transferKey(loan.to, loan.team), loan)
      for (const [key, sequence] of part.lent ?? []) this.lent.set(key, sequence)
      for (const [key, sequence] of part.borrowed ?? []) this.borrowed.set(key, sequence)
      for (const [team, amount] of part.net ?? []) this.net.set(team, amount)
      for (const worker of part.drained ?? []) this.drained.add(worker)
      for (const zone of part.evacuated ?? []) this.evacuated.add(zone)
      if (part.standbys !== undefined) this.standbys = part.standbys
    }
  }

  /** @returns the task or replica with this id */
  task (id: string): TaskRecord | undefined {
    return this.tasks.get(id)
  }

  /** @returns the job that a task belongs to; undefined for a replica */
  jobOf (task: string): JobRecord | undefined {
    return this.jobOfTask.get(task)
  }

  /** Removes jobs that ended longer ago than the retention time. */
  prune (nowMs: number): void {
    for (const job of this.jobs.values()) {
      if (job.endedMs === undefined || nowMs - job.endedMs < JOB_RETENTION_MS) continue
      this.removeJob(job)
    }
  }

  private applyChange (change: Change): void {
    switch (change.kind) {
      case ChangeKind.Accepted: return this.accept(change)
      case ChangeKind.Attempt: return this.attempt(change.runs)
      case ChangeKind.Ended: return this.end(change)
      case ChangeKind.Cancelled: return this.cancel(change)
      case ChangeKind.Standbys:
        this.standbys = change
        return
      case ChangeKind.Lent: return this.lend(change)
      case ChangeKind.Borrowed: return this.borrow(change)
      case ChangeKind.Settled: return this.settle(change)
      case ChangeKind.Drained: return this.drain(change)
      case ChangeKind.Evacuated: return this.evacuate(change)
    }
  }

  private accept (change: Accepted): void {
    const known = this.jobs.get(change.job)
    if (known !== undefined && !isForgotten(known, change)) return
    if (known !== undefined) this.removeJob(known)
    const tasks: TaskRecord[] = []
    for (let index = 0; index < change.tasks; index++) {
      tasks.push({ id: `${change.job}/${index}`, stage: Stage.Waiting, attempt: 0, failures: 0 })
    }
    this.indexJob({
      job: change.job,
      queue: change.queue,
      team: change.team,
      digest: change.digest,
      idempotent: change.idempotent,
      gang: change.gang,
      runtimeMs: change.runtimeMs,
      size: change.size,
      body: change.body,
      acceptedMs: change.atMs,
      tasks,
      cancelled: false,
      left: tasks.length
    })
  }

  private attempt (runs: readonly RunRecord[]): void {
    for (const run of runs) {
      const task = this.tasks.get(run.task) ?? this.indexReplica({ id: run.task, stage: Stage.Waiting, attempt: 0, failures: 0 })
      // The job was cancelled while the attempt waited for its write.
      if (task.stage === Stage.Finished) continue
      if (run.attempt <= task.attempt) continue
      task.stage = Stage.Dispatched
      task.attempt = run.attempt
      task.worker = run.worker
      task.boot = run.boot
      if (run.spec !== undefined) task.spec = run.spec
    }
  }

  private end (change: Ended): void {
    const task = this.tasks.get(change.task)
    if (task === undefined || task.attempt !== change.attempt) return
    if (task.stage === Stage.Finished && task.outcome !== RunOutcome.Unknown) return
    const job = this.jobOfTask.get(change.task)
    if (change.outcome === RunOutcome.Retry) {
      if (task.stage === Stage.Dispatched) task.stage = Stage.Waiting
      // A detail in a change with RunOutcome.Retry means that the run failed.
      if (change.detail !== undefined) task.failures++
      if (job?.cancelled) this.finishTask(job, task, RunOutcome.Cancelled, change)
      return
    }
    if (job === undefined) {
      // A replica's record is kept if the recorded outcome is RunOutcome.Retry, and removed otherwise.
      this.replicas.delete(task.id)
      this.tasks.delete(task.id)
      return
    }
    this.finishTask(job, task, change.outcome, change)
  }

  private finishTask (job: JobRecord, task: TaskRecord, outcome: RunOutcome, change: Ended | Cancelled): void {
    if (task.stage !== Stage.Finished) job.left--
    task.stage = Stage.Finished
    task.outcome = outcome
    if (change.kind === ChangeKind.Ended && outcome === change.outcome) {
      task.result = change.result
      if (change.detail !== undefined) task.detail = change.detail
    }
    if (job.left === 0) job.endedMs ??= change.atMs
  }

  private cancel (change: Cancelled): void {
    const job = this.jobs.get(change.job)
    if (job === undefined || job.endedMs !== undefined) return
    job.cancelled = true
    for (const task of job.tasks) {
      if (task.stage === Stage.Waiting) this.finishTask(job, task, RunOutcome.Cancelled, change)
    }
  }

  private lend (change: Lent): void {
    const key = transferKey(change.to, change.team)
    if (change.sequence <= (this.lent.get(key) ?? 0)) return
    this.lent.set(key, change.sequence)
    this.loans.set(key, { to: change.to, team: change.team, sequence: change.sequence, amount: change.amount })
    this.addToNet(change.team, change.amount, -1)
  }

  private borrow (change: Borrowed): void {
    const key = transferKey(change.from, change.team)
    if (change.sequence <= (this.borrowed.get(key) ?? 0)) return
    this.borrowed.set(key, change.sequence)
    this.addToNet(change.team, change.amount, 1)
  }

  private settle (change: Settled): void {
    const key = transferKey(change.to, change.team)
    if (this.loans.get(key)?.sequence === change.sequence) this.loans.delete(key)
  }

  private drain (change: Drained): void {
    if (change.drained) this.drained.add(change.worker)
    else this.drained.delete(change.worker)
  }

  private evacuate ({ zone, evacuated }: Evacuated): void {
    if (evacuated) this.evacuated.add(zone)
    else this.evacuated.delete(zone)
  }

  private addToNet (team: string, amount: Allotment, sign: number): void {
    const net = this.net.get(team) ?? { tasks: 0, cpuMilli: 0, memoryMb: 0, accelerators: 0 }
    this.net.set(team, {
      tasks: net.tasks + sign * amount.tasks,
      cpuMilli: net.cpuMilli + sign * amount.cpuMilli,
      memoryMb: net.memoryMb + sign * amount.memoryMb,
      accelerators: net.accelerators + sign * amount.accelerators
    })
  }

  private indexJob (job: JobRecord): void {
    this.jobs.set(job.job, job)
    for (const task of job.tasks) {
      this.tasks.set(task.id, task)
      this.jobOfTask.set(task.id, job)
    }
  }

  private removeJob (job: JobRecord): void {
    this.jobs.delete(job.job)
    for (const task of job.tasks) {
      this.tasks.delete(task.id)
      this.jobOfTask.delete(task.id)
    }
  }

  private indexReplica (task: TaskRecord): TaskRecord {
    this.replicas.set(task.id, task)
    this.tasks.set(task.id, task)
    return task
  }

  private clear (): void {
    this.jobs.clear()
    this.replicas.clear()
    this.loans.clear()
    this.lent.clear()
    this.borrowed.clear()
    this.net.clear()
    this.drained.clear()
    this.evacuated.clear()
    this.tasks.clear()
    this.jobOfTask.clear()
    this.standbys = undefined
  }

  private newestJobMs (): number {
    let newest = 0
    for (const job of this.jobs.values()) newest = Math.max(newest, job.endedMs ?? job.acceptedMs)
    return newest
  }
}

/**
 * True if the owner that accepts a job had removed a former one with the same id. It depends only on the log, so that all nodes
 * agree. Half of the retention time allows for clocks that differ.
 */
function isForgotten (job: JobRecord, change: Accepted): boolean {
  return job.endedMs !== undefined && change.atMs - job.endedMs >= JOB_RETENTION_MS / 2
}

/**
 * Returns the map key for the transfers of one team between this and another shard.
 *
 * @param shard the other shard
 * @param team the team
 * @returns the key
 *
 * @example
 * state.loans.get(transferKey('cloth-studio', 'guild'))
 */
export function transferKey (shard: string, team: string): string {
  return `${shard}/${team}`
}

/**
 * Describes a job to its caller.
 *
 * @param record the job
 * @returns the job with its state and attempts; once it has ended, also the result of its only task or a list of all results
 *
 * @example
 * return ok(describeJob(state.jobs.get(id)))
 */
export function describeJob (record: JobRecord): Job {
  let attempts = 0
  for (const task of record.tasks) attempts += task.attempt
  const job = {
    job: record.job,
    queue: record.queue,
    team: record.team,
    state: stateOf(record),
    tasks: record.tasks.length,
    attempts,
    acceptedMs: record.acceptedMs
  }
  if (record.endedMs === undefined) return job
  const result = record.tasks.length === 1 ? record.tasks[0]!.result : record.tasks.map((task) => task.result ?? null)
  const detail = record.tasks.find((task) => task.detail !== undefined)?.detail
  return { ...job, endedMs: record.endedMs, result, ...(detail === undefined ? {} : { detail }) }
}

function stateOf (record: JobRecord): JobState {
  if (record.endedMs === undefined) {
    return record.tasks.some((task) => task.stage === Stage.Dispatched) ? JobState.Running : JobState.Waiting
  }
  const outcomes = new Set(record.tasks.map((task) => task.outcome))
  if (outcomes.has(RunOutcome.Unknown)) return JobState.Unknown
  if (outcomes.has(RunOutcome.Failed)) return JobState.Failed
  if (outcomes.has(RunOutcome.Cancelled)) return JobState.Cancelled
  return JobState.Succeeded
}
