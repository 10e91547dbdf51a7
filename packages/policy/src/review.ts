/**
 * Periodic review of a shard: checks that run at intervals instead of for each decision.
 */
import { Workload } from '@fireflymount/protocol/workload'
import type { FreedWorkers } from './freed.js'
import type { Health } from './health.js'
import type { Lane } from './lane.js'
import type { Lanes } from './lanes.js'
import type { ShardState } from './shard-state.js'
import type { PreemptionPlanner } from './preemption.js'
import type { Reservation } from './reservation.js'
import type { Preemption } from './task.js'
import type { Team } from './team.js'
import { waitingMembers } from './gang.js'
import { mayProbe } from './health.js'
import { EXCESS_GRACE_MS } from './preemption.js'
import { RESERVATION_RETRY_DELAY_MS } from './reservation.js'

/** Interval between reviews of share ratios, blocked gangs, preemption and reservation. */
const REVIEW_INTERVAL_MS = 20
/**
 * Interval at which some lanes blocked by missing capacity are unblocked for a new search: lanes with several sizes, and
 * services. For these it is not enough to offer freed workers to their head. A worker that no lane accepts is not offered again
 * until it is freed again, but the head of a service's lane may later accept a worker that it rejects now (see
 * COLOCATION_DELAY_MS).
 */
const SEARCH_INTERVAL_MS = 1_000
/** Workers may be reserved for a lane that has started no task for this long. Gangs blocked by missing capacity need not wait. */
const STARVATION_TIMEOUT_MS = 10_000

/** Unblocks lanes whose block may have ended, preempts tasks, and reserves workers. */
export class Review {
  private readonly teamsInExcess = new Set<Team>()
  private nextReviewMs = 0
  private nextSearchMs = 0

  constructor (
    private readonly state: ShardState,
    private readonly lanes: Lanes,
    private readonly health: Health,
    private readonly preemptionPlanner: PreemptionPlanner,
    private readonly reservation: Reservation,
    private readonly freed: FreedWorkers
  ) {}

  /**
   * Returns whether a review is due.
   *
   * @param nowMs the current time
   * @returns true if the interval has passed
   */
  isDue (nowMs: number): boolean {
    return nowMs >= this.nextReviewMs
  }

  /**
   * Starts the grace period of a team that exceeds its allotment. Does nothing for other teams, or if the period has started
   * already.
   *
   * @param team the team
   * @param nowMs the current time
   */
  watchExcess (team: Team, nowMs: number): void {
    if (!team.exceedsAllotment() || this.teamsInExcess.has(team)) return
    team.excessSinceMs = nowMs
    this.teamsInExcess.add(team)
  }

  /**
   * Updates share ratios and unblocks lanes whose block may have ended. If a review is due, call it before the decisions of the
   * round.
   *
   * @param nowMs the current time
   */
  beforeDecisions (nowMs: number): void {
    this.nextReviewMs = nowMs + REVIEW_INTERVAL_MS
    this.lanes.updateShareRatios(nowMs)
    for (const worker of this.health.releaseOverdue(nowMs)) this.freed.add(worker)
    this.lanes.recheck(this.lanes.headroomBlocked)
    if (this.freed.changed) this.lanes.unblockCapacityBlocked(lane => lane.workload === Workload.Gang)
    this.freed.changed = false
    if (this.health.hasDueProbe(nowMs)) this.lanes.unblockCapacityBlocked(mayProbe)
    if (nowMs < this.nextSearchMs) return
    this.nextSearchMs = nowMs + SEARCH_INTERVAL_MS
    this.lanes.unblockCapacityBlocked(lane => !lane.isUniform || lane.workload === Workload.Service)
  }

  /**
   * Preempts tasks and reserves workers for lanes that are still blocked. If a review was due, call it after the decisions of the
   * round.
   *
   * @param nowMs the current time
   * @returns the tasks to stop
   */
  afterDecisions (nowMs: number): Preemption[] {
    const preemptions = this.preemptionPlanner.preempt(nowMs)
    for (const team of this.teamsInExcess) this.stopExcessAfterGrace(team, nowMs, preemptions)
    this.updateReservation(nowMs)
    return preemptions
  }

  private stopExcessAfterGrace (team: Team, nowMs: number, preemptions: Preemption[]): void {
    if (!team.exceedsAllotment()) this.teamsInExcess.delete(team)
    else if (nowMs - team.excessSinceMs >= EXCESS_GRACE_MS) {
      team.excessSinceMs = nowMs
      preemptions.push(...this.preemptionPlanner.stopExcess(team))
    }
  }

  /**
   * Cancels an expired reservation, and tries to make a new one if there is none. The new reservation is for a lane
   * blocked by missing capacity, of the team with the lowest share ratio. If there is no such lane, it is for a starved lane that
   * the headroom blocks.
   */
  private updateReservation (nowMs: number): void {
    const { reservation } = this
    const { lane } = reservation
    if (lane !== undefined) {
      if (nowMs < reservation.expiresMs) return
      lane.retryAtMs = nowMs + RESERVATION_RETRY_DELAY_MS
      reservation.cancel()
    }
    const next = this.nextToReserve(nowMs)
    if (next === undefined) return
    const count = next.workload === Workload.Gang ? waitingMembers(this.state, next.head).length : 1
    if (reservation.reserve(next, count, nowMs)) this.lanes.unblock(next)
    else next.retryAtMs = nowMs + RESERVATION_RETRY_DELAY_MS
  }

  private nextToReserve (nowMs: number): Lane | undefined {
    let best: Lane | undefined
    for (const team of this.lanes.activeTeams) {
      if (best !== undefined && team.shareRatio >= best.team.shareRatio) continue
      const lane = team.capacityBlocked.find(candidate => mayReserve(candidate, nowMs))
      if (lane !== undefined) best = lane
    }
    return best ?? this.lanes.headroomBlocked.find(lane => nowMs >= lane.retryAtMs && isStarved(lane, nowMs))
  }
}

/** Returns whether workers may be reserved for a blocked lane. Requests get none; gangs need not wait until they starve. */
function mayReserve (lane: Lane, nowMs: number): boolean {
  if (lane.workload === Workload.Request || nowMs < lane.retryAtMs) return false
  return lane.workload === Workload.Gang || isStarved(lane, nowMs)
}

/** Returns whether a lane has started no task for the starvation timeout. */
function isStarved (lane: Lane, nowMs: number): boolean {
  return nowMs - Math.max(lane.lastStartMs, lane.submittedMs) >= STARVATION_TIMEOUT_MS
}
