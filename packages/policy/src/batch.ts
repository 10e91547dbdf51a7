/**
 * Batch work: packed tight, and backfilled around reservations.
 */
import type { Choice } from './policy.js'
import type { Lane } from './lane.js'
import type { Task } from './task.js'
import { Policy } from './policy.js'
import { NONE } from './table.js'

/** Places durable jobs of one task by multi-dimensional best fit. */
export class BatchPolicy extends Policy {
  readonly patienceMs = 600_000
  readonly precedenceMs = 0

  choose (lane: Lane, nowMs: number): Choice | undefined {
    const worker = this.pick(lane, this.occupancy.table.at(lane.head), nowMs)
    return worker === NONE ? undefined : { slots: [lane.head], workers: [worker] }
  }

  accepts (lane: Lane, worker: number, nowMs: number): boolean {
    const task = this.occupancy.table.at(lane.head)
    if (!lane.exact && this.avoids(task, worker)) return false
    if (this.occupancy.fleet.open(worker)) return true
    if (this.reservation.lane === lane) return this.reservation.holds(worker)
    return this.reservation.admits(worker, nowMs + lane.kind.upperMs(task.runtimeMs))
  }

  private pick (lane: Lane, task: Task, nowMs: number): number {
    const reserved = this.reserved(lane, task)
    if (reserved !== NONE) return reserved
    const worker = this.tightest(task)
    if (worker !== NONE) return worker
    return this.reservation.backfill(task, nowMs + lane.kind.upperMs(task.runtimeMs))
  }
}
