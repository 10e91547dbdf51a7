/**
 * Placement of batch tasks: best-fit bin packing, with backfilling of reserved workers.
 */
import type { Assignment } from './policy.js'
import type { Lane } from './lane.js'
import type { Task } from './task.js'
import { Policy } from './policy.js'
import { NONE } from './table.js'

/** Places tasks of durable jobs one by one, by best fit by CPU and memory. */
export class BatchPolicy extends Policy {
  readonly agingHorizonMs = 600_000
  readonly waitCreditMs = 0

  choose (lane: Lane, nowMs: number): Assignment | undefined {
    const worker = this.pick(lane, this.state.table.at(lane.head), nowMs)
    return worker === NONE ? undefined : { rows: [lane.head], workers: [worker] }
  }

  acceptsOffer (lane: Lane, worker: number, nowMs: number): boolean {
    const task = this.state.table.at(lane.head)
    if (!lane.isUniform && this.avoids(task, worker)) return false
    if (this.state.fleet.acceptsTasks(worker)) return true
    if (this.reservation.lane === lane) return this.reservation.isReservedAndReady(worker)
    return this.reservation.allowsBackfill(worker, nowMs + lane.kind.p90RuntimeMs(task.runtimeMs))
  }

  private pick (lane: Lane, task: Task, nowMs: number): number {
    const reserved = this.findReserved(lane, task)
    if (reserved !== NONE) return reserved
    const worker = this.findBestFit(task)
    if (worker !== NONE) return worker
    return this.reservation.findBackfill(task, nowMs + lane.kind.p90RuntimeMs(task.runtimeMs))
  }
}
