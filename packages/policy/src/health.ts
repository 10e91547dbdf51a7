/**
 * Tells workers that fail what succeeds elsewhere from tasks that fail everywhere.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Fleet } from './fleet.js'
import type { Kind } from './kind.js'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { Task } from './task.js'
import { NO_RESOURCES } from '@fireflymount/protocol/resources'
import { NONE } from './table.js'
import { Condition, Ending } from './task.js'

/** Failures in a row, of kinds that succeed elsewhere, after which a worker is quarantined. */
export const QUARANTINE_FAILURES = 3
/** Probes in a row that must succeed before a worker is trusted again. */
export const PROBE_SUCCESSES = 2
/** Time from quarantine to the first probe; doubles with each failed probe. */
export const PROBE_INTERVAL_MS = 10_000
const PROBE_INTERVAL_MAX_MS = 300_000
/** Time that a due probe waits for suitable work before the worker is trusted again, until its next failure. */
export const PROBE_OVERDUE_MS = 60_000
/** A kind with a lower share of successes blames no worker. */
const HEALTHY_SUCCESS = 0.5

/** Failures and probes of one worker. */
interface Standing {
  failures: number
  successes: number
  intervalMs: number
  probeMs: number
  /** Task that probes the worker at the moment. */
  probe: string | undefined
}

/** Outcomes by worker, and who is quarantined. */
export class Health {
  private readonly records: Array<Standing | undefined> = []
  private readonly quarantined = new Set<number>()

  constructor (private readonly fleet: Fleet) {}

  /**
   * Learns how a task ended on a worker.
   *
   * @param worker the worker's index
   * @param task the task's id
   * @param kind the task's kind
   * @param ending how it ended
   * @param nowMs the time
   */
  learn (worker: number, task: string, kind: Kind, ending: Ending, nowMs: number): void {
    const record = this.record(worker)
    if (record.probe === task) record.probe = undefined
    if (ending === Ending.Released) return
    if (record.failures < QUARANTINE_FAILURES) kind.learnEnding(ending)
    if (ending === Ending.Succeeded) this.onSuccess(worker, record)
    else if (kind.success >= HEALTHY_SUCCESS) this.onFailure(worker, record, nowMs)
  }

  /**
   * Quarantines a worker.
   *
   * @param worker the worker's index
   * @param nowMs the time
   */
  quarantine (worker: number, nowMs: number): void {
    const record = this.record(worker)
    record.successes = 0
    record.failures = QUARANTINE_FAILURES
    record.probeMs = nowMs + record.intervalMs
    this.quarantined.add(worker)
    this.fleet.setCondition(worker, Condition.Quarantined)
  }

  /**
   * Ends a worker's quarantine, or forgets the worker.
   *
   * @param worker the worker's index
   */
  pardon (worker: number): void {
    this.records[worker] = undefined
    this.quarantined.delete(worker)
  }

  /**
   * Tells whether a worker is quarantined, also while it is closed.
   *
   * @param worker the worker's index
   * @returns true if it needs a probe before it takes other tasks
   */
  suspects (worker: number): boolean {
    return this.quarantined.has(worker)
  }

  /**
   * Finds a quarantined worker that is due for a probe that a task fits on.
   *
   * @param size the task's size
   * @param nowMs the time
   * @returns the worker's index, or NONE
   */
  due (size: Resources, nowMs: number): number {
    for (const worker of this.quarantined) {
      const record = this.record(worker)
      if (record.probeMs > nowMs || record.probe !== undefined) continue
      if (this.fleet.conditions[worker] === Condition.Quarantined && this.fleet.fits(worker, size)) return worker
    }
    return NONE
  }

  /**
   * Tells whether any quarantined worker is due for a probe.
   *
   * @param nowMs the time
   * @returns true if one is
   */
  anyDue (nowMs: number): boolean {
    return this.quarantined.size > 0 && this.due(NO_RESOURCES, nowMs) !== NONE
  }

  /**
   * Releases quarantined workers for which no work that may probe them came. One failure quarantines them again.
   *
   * @param nowMs the time
   * @returns the workers' indices
   */
  parole (nowMs: number): number[] {
    const released: number[] = []
    for (const worker of this.quarantined) {
      const record = this.record(worker)
      if (record.probe !== undefined || nowMs - record.probeMs < PROBE_OVERDUE_MS) continue
      this.quarantined.delete(worker)
      record.failures = QUARANTINE_FAILURES - 1
      record.intervalMs = Math.min(record.intervalMs * 2, PROBE_INTERVAL_MAX_MS)
      released.push(worker)
      if (this.fleet.conditions[worker] === Condition.Quarantined) this.fleet.setCondition(worker, Condition.Ready)
    }
    return released
  }

  /**
   * Notes that a probe was placed, so that no second one follows before its interval.
   *
   * @param worker the worker's index
   * @param task the task that probes it
   * @param nowMs the time
   */
  probe (worker: number, task: string, nowMs: number): void {
    const record = this.record(worker)
    record.probe = task
    record.probeMs = nowMs + record.intervalMs
  }

  private onSuccess (worker: number, record: Standing): void {
    record.failures = 0
    record.successes++
    if (!this.quarantined.has(worker)) record.intervalMs = PROBE_INTERVAL_MS
    if (!this.quarantined.has(worker) || record.successes < PROBE_SUCCESSES) return
    this.pardon(worker)
    if (this.fleet.conditions[worker] === Condition.Quarantined) this.fleet.setCondition(worker, Condition.Ready)
  }

  private onFailure (worker: number, record: Standing, nowMs: number): void {
    record.failures++
    record.successes = 0
    if (this.quarantined.has(worker)) {
      record.intervalMs = Math.min(record.intervalMs * 2, PROBE_INTERVAL_MAX_MS)
      record.probeMs = nowMs + record.intervalMs
      return
    }
    if (record.failures < QUARANTINE_FAILURES) return
    if (this.fleet.conditions[worker] === Condition.Ready) this.quarantine(worker, nowMs)
  }

  private record (worker: number): Standing {
    const known = this.records[worker]
    if (known !== undefined) return known
    const record = { failures: 0, successes: 0, intervalMs: PROBE_INTERVAL_MS, probeMs: 0, probe: undefined }
    this.records[worker] = record
    return record
  }
}

/**
 * Tells whether tasks may be risked on a worker that fails.
 *
 * @param work a task or a lane
 * @returns true for normal requests and batch work
 */
export function mayProbe ({ urgency, workload }: Pick<Task, 'urgency' | 'workload'>): boolean {
  return urgency === Urgency.Normal && (workload === Workload.Request || workload === Workload.Batch)
}
