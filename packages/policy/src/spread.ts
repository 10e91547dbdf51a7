/**
 * Placement of requests and services: spreads replicas over availability zones, racks and workers.
 */
import type { Assignment } from './policy.js'
import type { Group } from './group.js'
import type { Lane } from './lane.js'
import type { Task } from './task.js'
import { CANDIDATES_PER_ZONE, Policy } from './policy.js'
import { NONE } from './table.js'

/**
 * Score penalties for each replica of the service that already runs on the same worker, in the same availability zone and in the
 * same rack. They are far larger than usual fit scores, so that spreading comes before fit.
 */
const WORKER_PENALTY = 10_000
const ZONE_PENALTY = 1_000
const RACK_PENALTY = 100
/** Waiting time after which a replica accepts an offered worker that runs another replica of its service. */
const COLOCATION_DELAY_MS = 5_000

/**
 * Places synchronous requests by worst fit, where most capacity is free, or by best fit if packing outweighs waiting. As the base
 * of ServicePolicy it also spreads replicas, the tasks that have a group.
 */
export class RequestPolicy extends Policy {
  readonly agingHorizonMs: number = 500
  readonly waitCreditMs: number = 60_000

  choose (lane: Lane): Assignment | undefined {
    const worker = this.pick(lane, this.state.table.at(lane.head))
    return worker === NONE ? undefined : { rows: [lane.head], workers: [worker] }
  }

  acceptsOffer (lane: Lane, worker: number, nowMs: number): boolean {
    const task = this.state.table.at(lane.head)
    if (!lane.isUniform && this.avoids(task, worker)) return false
    if (!this.state.fleet.acceptsTasks(worker) &&
      (this.reservation.lane !== lane || !this.reservation.isReservedAndReady(worker))) return false
    if (task.group === undefined || nowMs - task.submittedMs > COLOCATION_DELAY_MS) return true
    return !this.state.table.groups[lane.head]!.workers.has(worker)
  }

  private pick (lane: Lane, task: Task): number {
    const reserved = this.findReserved(lane, task)
    if (reserved !== NONE) return reserved
    const group = this.state.table.groups[lane.head]
    const worker = this.search(task, group, CANDIDATES_PER_ZONE + (task.avoid?.length ?? 0))
    if (worker === NONE || group === undefined || !group.workers.has(worker)) return worker
    return this.search(task, group, Infinity)
  }

  private search (task: Task, group: Group | undefined, limit: number): number {
    const { fleet } = this.state
    const { capacityIndex } = fleet
    const worstFit = this.weights.waiting >= this.weights.packing
    capacityIndex.candidateCount = 0
    for (let zone = 0; zone < fleet.zoneCount; zone++) capacityIndex.collect(task.size, zone, limit, worstFit)
    let best = NONE
    let bestScore = Infinity
    for (let position = 0; position < capacityIndex.candidateCount; position++) {
      const worker = capacityIndex.candidates[position]!
      const score = this.score(worker, task, group, worstFit)
      if (score >= bestScore || this.avoids(task, worker)) continue
      best = worker
      bestScore = score
    }
    return best
  }

  private score (worker: number, task: Task, group: Group | undefined, worstFit: boolean): number {
    const score = worstFit ? this.worstFitScore(worker, task.size) : this.bestFitScore(worker, task.size)
    if (group === undefined) return score
    const { fleet } = this.state
    const onWorker = group.workers.get(worker) ?? 0
    const inRack = group.racks.get(fleet.rack[worker]!) ?? 0
    const inZone = group.zones.get(fleet.zone[worker]!) ?? 0
    return score + onWorker * WORKER_PENALTY + inZone * ZONE_PENALTY + inRack * RACK_PENALTY
  }
}

/** Places replicas of services: like requests, but with a longer aging horizon because they are long-running. */
export class ServicePolicy extends RequestPolicy {
  override readonly agingHorizonMs = 1_000
}
