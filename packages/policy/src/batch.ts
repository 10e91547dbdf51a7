/**
 * Batch work: packed tight, and backfilled around reservations.
 */
import type { Choice, Weights } from './policy.js'
import type { Headroom } from './headroom.js'
import type { Lane } from './lane.js'
import type { Occupancy } from './occupancy.js'
import type { Reservation } from './reservation.js'
import type { Task } from './task.js'
import { Block } from './lane.js'
import { Policy } from './policy.js'
import { NONE } from './table.js'

const NO_ROOM: Choice = { slots: [], workers: [], block: Block.Room }
const NO_HEADROOM: Choice = { slots: [], workers: [], block: Block.Headroom }

/** Places durable jobs of one task by multi-dimensional best fit. */
export class BatchPolicy extends Policy {
  readonly patienceMs = 600_000
  readonly precedenceMs = 0

  constructor (
    occupancy: Occupancy,
    weights: Weights,
    private readonly headroom: Headroom,
    private readonly reservation: Reservation
  ) {
    super(occupancy, weights)
  }

  choose (lane: Lane, nowMs: number): Choice {
    const task = this.occupancy.table.at(lane.head)
    if (!this.headroom.allows(task, 1, nowMs)) return NO_HEADROOM
    const worker = this.pick(task, lane, nowMs)
    return worker === NONE ? NO_ROOM : { slots: [lane.head], workers: [worker], block: Block.None }
  }

  private pick (task: Task, lane: Lane, nowMs: number): number {
    if (lane.hints !== undefined) return this.pickHint(task, lane, lane.hints, nowMs)
    const worker = this.tightest(task)
    if (worker !== NONE) return worker
    if (this.reservation.lane === lane) return this.pickHint(task, lane, this.reservation.workers, nowMs)
    return this.reservation.backfill(task, nowMs + lane.kind.upperMs(task.runtimeMs))
  }

  private pickHint (task: Task, lane: Lane, hints: readonly number[], nowMs: number): number {
    const { fleet } = this.occupancy
    const own = this.reservation.lane === lane
    const endMs = nowMs + lane.kind.upperMs(task.runtimeMs)
    for (const worker of hints) {
      if (!fleet.fits(worker, task.size) || this.avoids(task, worker)) continue
      if (fleet.open(worker) || (own && this.reservation.holds(worker))) return worker
      if (this.reservation.admits(worker, endMs)) return worker
    }
    return NONE
  }
}
