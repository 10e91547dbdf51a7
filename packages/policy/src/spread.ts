/**
 * Requests and services: spread over availability zones, racks and workers.
 */
import type { Choice } from './policy.js'
import type { Group } from './group.js'
import type { Lane } from './lane.js'
import type { Task } from './task.js'
import { CANDIDATES, Policy } from './policy.js'
import { NONE } from './table.js'

/** Cost of a second replica on a worker, in an availability zone, in a rack. */
const WORKER_COST = 10_000
const ZONE_COST = 1_000
const RACK_COST = 100
/** Time after which a replica goes to a worker that has one of the same service already. */
const DOUBLING_WAIT_MS = 5_000

/** Places synchronous requests: where most is free, or tight if packing outweighs waiting. */
export class RequestPolicy extends Policy {
  readonly patienceMs: number = 500
  readonly precedenceMs: number = 60_000

  choose (lane: Lane): Choice | undefined {
    const worker = this.pick(lane, this.occupancy.table.at(lane.head))
    return worker === NONE ? undefined : { slots: [lane.head], workers: [worker] }
  }

  accepts (lane: Lane, worker: number, nowMs: number): boolean {
    const task = this.occupancy.table.at(lane.head)
    if (!lane.exact && this.avoids(task, worker)) return false
    if (!this.occupancy.fleet.open(worker) && (this.reservation.lane !== lane || !this.reservation.holds(worker))) return false
    if (task.group === undefined || nowMs - task.submittedMs > DOUBLING_WAIT_MS) return true
    return !this.occupancy.table.groups[lane.head]!.workers.has(worker)
  }

  private pick (lane: Lane, task: Task): number {
    const reserved = this.reserved(lane, task)
    if (reserved !== NONE) return reserved
    const group = this.occupancy.table.groups[lane.head]
    const worker = this.search(task, group, CANDIDATES + (task.avoid?.length ?? 0))
    if (worker === NONE || group === undefined || !group.workers.has(worker)) return worker
    return this.search(task, group, Infinity)
  }

  private search (task: Task, group: Group | undefined, limit: number): number {
    const { fleet } = this.occupancy
    const { index } = fleet
    const roomiest = this.weights.waiting >= this.weights.packing
    index.count = 0
    for (let zone = 0; zone < fleet.zones; zone++) index.collect(task.size, zone, limit, roomiest)
    let best = NONE
    let least = Infinity
    for (let position = 0; position < index.count; position++) {
      const worker = index.found[position]!
      const score = this.score(worker, task, group, roomiest)
      if (score >= least || this.avoids(task, worker)) continue
      best = worker
      least = score
    }
    return best
  }

  private score (worker: number, task: Task, group: Group | undefined, roomiest: boolean): number {
    const score = roomiest ? this.looseness(worker, task.size) : this.tightness(worker, task.size)
    if (group === undefined) return score
    const { fleet } = this.occupancy
    const replicas = group.workers.get(worker) ?? 0
    const neighbours = group.racks.get(fleet.rack[worker]!) ?? 0
    const zoned = group.zones.get(fleet.zone[worker]!) ?? 0
    return score + replicas * WORKER_COST + zoned * ZONE_COST + neighbours * RACK_COST
  }
}

/** Places replicas of services: as requests, but with the patience of work that stays. */
export class ServicePolicy extends RequestPolicy {
  override readonly patienceMs = 1_000
}
