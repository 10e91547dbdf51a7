/**
 * Worker health: quarantines workers after consecutive failures of kinds whose smoothed success rate is at least one half.
 * Failures of other kinds don't count.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Fleet } from './fleet.js'
import type { TaskKind } from './task-kind.js'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { Task } from './task.js'
import { NO_RESOURCES } from '@fireflymount/protocol/resources'
import { NONE } from './table.js'
import { Condition, Ending } from './task.js'

/** Consecutive failures, of kinds with a success rate of at least MIN_HEALTHY_SUCCESS_RATE, that quarantine a worker. */
export const QUARANTINE_FAILURES = 3
/** Consecutive successes on a quarantined worker, of probes or of tasks that were running already, that end its quarantine. */
export const PROBE_SUCCESSES = 2
/**
 * Initial probe interval: the time from the start of the quarantine to the first probe, and from one probe to the next. Each
 * failure that counts during the quarantine doubles it.
 */
export const PROBE_INTERVAL_MS = 10_000
const MAX_PROBE_INTERVAL_MS = 300_000
/** Time that a due probe waits for a suitable task; then the quarantine ends; the next failure starts a new one. */
export const PROBE_TIMEOUT_MS = 60_000
/** Failures of a kind with a lower success rate do not count against the worker. */
const MIN_HEALTHY_SUCCESS_RATE = 0.5

/** Failures and probes of one worker. */
interface WorkerRecord {
  /** Consecutive failures. */
  failures: number
  /** Consecutive successes since the last failure or the start of the quarantine. */
  successes: number
  /** Probe interval, doubled by each failure that counts during the quarantine and by a quarantine that ends by timeout. */
  intervalMs: number
  nextProbeMs: number
  /** Task in flight that probes the worker. */
  probeTask: string | undefined
}

/** Tracks failures by worker, and the quarantined workers. */
export class Health {
  private readonly records: Array<WorkerRecord | undefined> = []
  private readonly quarantined = new Set<number>()

  constructor (private readonly fleet: Fleet) {}

  /**
   * Records how a task ended on a worker.
   *
   * @param worker the worker's index
   * @param task the task's id
   * @param kind the task's kind
   * @param ending how it ended
   * @param nowMs the current time
   */
  recordEnding (worker: number, task: string, kind: TaskKind, ending: Ending, nowMs: number): void {
    const record = this.record(worker)
    if (record.probeTask === task) record.probeTask = undefined
    if (ending === Ending.Released) return
    // Endings on a worker with QUARANTINE_FAILURES failures or more are not learned, because the worker is probably at fault.
    if (record.failures < QUARANTINE_FAILURES) kind.learnEnding(ending)
    if (ending === Ending.Succeeded) this.onSuccess(worker, record)
    else if (kind.successRate >= MIN_HEALTHY_SUCCESS_RATE) this.onFailure(worker, record, nowMs)
  }

  /**
   * Quarantines a worker.
   *
   * @param worker the worker's index
   * @param nowMs the current time
   */
  quarantine (worker: number, nowMs: number): void {
    const record = this.record(worker)
    record.successes = 0
    record.failures = QUARANTINE_FAILURES
    record.nextProbeMs = nowMs + record.intervalMs
    this.quarantined.add(worker)
    this.fleet.setCondition(worker, Condition.Quarantined)
  }

  /**
   * Deletes the record of a worker, which also ends its quarantine. Leaves the worker's condition as it is.
   *
   * @param worker the worker's index
   */
  reset (worker: number): void {
    this.records[worker] = undefined
    this.quarantined.delete(worker)
  }

  /**
   * Returns whether a worker is quarantined, also while it is closed.
   *
   * @param worker the worker's index
   * @returns true from the start of its quarantine to the end, during which it receives no tasks but probes
   */
  isQuarantined (worker: number): boolean {
    return this.quarantined.has(worker)
  }

  /**
   * Finds a quarantined worker that is due for a probe and on which a task fits.
   *
   * @param size the task's size
   * @param nowMs the current time
   * @returns the worker's index, or NONE
   */
  dueForProbe (size: Resources, nowMs: number): number {
    for (const worker of this.quarantined) {
      const record = this.record(worker)
      if (record.nextProbeMs > nowMs || record.probeTask !== undefined) continue
      if (this.fleet.conditions[worker] === Condition.Quarantined && this.fleet.fits(worker, size)) return worker
    }
    return NONE
  }

  /**
   * Returns whether any quarantined worker is due for a probe.
   *
   * @param nowMs the current time
   * @returns true if one is
   */
  hasDueProbe (nowMs: number): boolean {
    return this.quarantined.size > 0 && this.dueForProbe(NO_RESOURCES, nowMs) !== NONE
  }

  /**
   * Ends the quarantine of workers for which no suitable task arrived within the probe timeout. A single failure starts it again.
   *
   * @param nowMs the current time
   * @returns the workers' indices
   */
  releaseOverdue (nowMs: number): number[] {
    const released: number[] = []
    for (const worker of this.quarantined) {
      const record = this.record(worker)
      if (record.probeTask !== undefined || nowMs - record.nextProbeMs < PROBE_TIMEOUT_MS) continue
      this.quarantined.delete(worker)
      record.failures = QUARANTINE_FAILURES - 1
      record.intervalMs = Math.min(record.intervalMs * 2, MAX_PROBE_INTERVAL_MS)
      released.push(worker)
      if (this.fleet.conditions[worker] === Condition.Quarantined) this.fleet.setCondition(worker, Condition.Ready)
    }
    return released
  }

  /**
   * Records that a probe was placed, so that no second one starts while it runs or before the probe interval has passed.
   *
   * @param worker the worker's index
   * @param task the id of the task that probes it
   * @param nowMs the current time
   */
  startProbe (worker: number, task: string, nowMs: number): void {
    const record = this.record(worker)
    record.probeTask = task
    record.nextProbeMs = nowMs + record.intervalMs
  }

  private onSuccess (worker: number, record: WorkerRecord): void {
    record.failures = 0
    record.successes++
    if (!this.quarantined.has(worker)) record.intervalMs = PROBE_INTERVAL_MS
    if (!this.quarantined.has(worker) || record.successes < PROBE_SUCCESSES) return
    this.reset(worker)
    if (this.fleet.conditions[worker] === Condition.Quarantined) this.fleet.setCondition(worker, Condition.Ready)
  }

  private onFailure (worker: number, record: WorkerRecord, nowMs: number): void {
    record.failures++
    record.successes = 0
    if (this.quarantined.has(worker)) {
      record.intervalMs = Math.min(record.intervalMs * 2, MAX_PROBE_INTERVAL_MS)
      record.nextProbeMs = nowMs + record.intervalMs
      return
    }
    if (record.failures < QUARANTINE_FAILURES) return
    if (this.fleet.conditions[worker] === Condition.Ready) this.quarantine(worker, nowMs)
  }

  private record (worker: number): WorkerRecord {
    const known = this.records[worker]
    if (known !== undefined) return known
    const record = { failures: 0, successes: 0, intervalMs: PROBE_INTERVAL_MS, nextProbeMs: 0, probeTask: undefined }
    this.records[worker] = record
    return record
  }
}

/**
 * Returns whether tasks may run as probes on a quarantined worker. Urgent work, services and gangs are not risked on a
 * worker that fails.
 *
 * @param work a task or a lane
 * @returns true for normal requests and batch work
 */
export function mayProbe ({ urgency, workload }: Pick<Task, 'urgency' | 'workload'>): boolean {
  return urgency === Urgency.Normal && (workload === Workload.Request || workload === Workload.Batch)
}
