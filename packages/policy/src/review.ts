/**
 * What a shard looks after at intervals instead of at each decision.
 */
import { Workload } from '@fireflymount/protocol/workload'
import type { FreedWorkers } from './freed.js'
import type { Health } from './health.js'
import type { Lane } from './lane.js'
import type { Lanes } from './lanes.js'
import type { Occupancy } from './occupancy.js'
import type { Preemptor } from './preemption.js'
import type { Reservation } from './reservation.js'
import type { Preemption } from './task.js'
import type { Team } from './team.js'
import { members } from './gang.js'
import { mayProbe } from './health.js'
import { EXCESS_GRACE_MS } from './preemption.js'
import { RESERVATION_PAUSE_MS } from './reservation.js'

/** Time between two reviews of levels, blocked gangs, preemption and reservation. */
const REVIEW_INTERVAL_MS = 20
/** Time between two searches for heads that a freed worker was offered and did not suit. */
const SEARCH_INTERVAL_MS = 1_000
/** Time that a lane starts nothing before workers are reserved for it; a gang that finds no room need not wait. */
const RESERVATION_WAIT_MS = 10_000

/** Opens lanes that time has made placeable, preempts, and reserves. */
export class Review {
  private readonly excessive = new Set<Team>()
  private dueMs = 0
  private searchMs = 0

  constructor (
    private readonly occupancy: Occupancy,
    private readonly lanes: Lanes,
    private readonly health: Health,
    private readonly preemptor: Preemptor,
    private readonly reservation: Reservation,
    private readonly freed: FreedWorkers
  ) {}

  /**
   * Tells whether a review is due.
   *
   * @param nowMs the time
   * @returns true if it is
   */
  isDue (nowMs: number): boolean {
    return nowMs >= this.dueMs
  }

  /**
   * Notes that a team may have more running than its allotment.
   *
   * @param team the team
   * @param nowMs the time
   */
  watch (team: Team, nowMs: number): void {
    if (!team.exceeds() || this.excessive.has(team)) return
    team.excessMs = nowMs
    this.excessive.add(team)
  }

  /**
   * Refreshes levels, and opens lanes that may have become placeable by time; to be done before decisions.
   *
   * @param nowMs the time
   */
  begin (nowMs: number): void {
    this.dueMs = nowMs + REVIEW_INTERVAL_MS
    this.lanes.refresh(nowMs)
    for (const worker of this.health.parole(nowMs)) this.freed.add(worker)
    this.lanes.openAll(this.lanes.headroom)
    if (this.freed.changed) this.lanes.openRoom(lane => lane.workload === Workload.Gang)
    this.freed.changed = false
    if (this.health.anyDue(nowMs)) this.lanes.openRoom(mayProbe)
    if (nowMs < this.searchMs) return
    this.searchMs = nowMs + SEARCH_INTERVAL_MS
    this.lanes.openRoom(lane => !lane.exact || lane.workload === Workload.Service)
  }

  /**
   * Preempts and reserves for what is still blocked; to be done after decisions.
   *
   * @param nowMs the time
   * @returns what to stop
   */
  end (nowMs: number): Preemption[] {
    const preemptions = this.preemptor.preempt(nowMs)
    for (const team of this.excessive) this.reduce(team, nowMs, preemptions)
    this.reserve(nowMs)
    return preemptions
  }

  private reduce (team: Team, nowMs: number, preemptions: Preemption[]): void {
    if (!team.exceeds()) this.excessive.delete(team)
    else if (nowMs - team.excessMs >= EXCESS_GRACE_MS) {
      team.excessMs = nowMs
      preemptions.push(...this.preemptor.reduce(team))
    }
  }

  /** Ends a lapsed reservation, or makes one for the blocked head whose team is furthest below its share. */
  private reserve (nowMs: number): void {
    const { reservation } = this
    const { lane } = reservation
    if (lane !== undefined) {
      if (nowMs < reservation.untilMs) return
      lane.retryMs = nowMs + RESERVATION_PAUSE_MS
      reservation.cancel()
    }
    const next = this.entitled(nowMs)
    if (next === undefined) return
    const count = next.workload === Workload.Gang ? members(this.occupancy, next.head).length : 1
    if (reservation.place(next, count, nowMs)) this.lanes.open(next)
    else next.retryMs = nowMs + RESERVATION_PAUSE_MS
  }

  private entitled (nowMs: number): Lane | undefined {
    let best: Lane | undefined
    for (const team of this.lanes.active) {
      if (best !== undefined && team.level >= best.team.level) continue
      const lane = team.room.find(candidate => isEntitled(candidate, nowMs))
      if (lane !== undefined) best = lane
    }
    return best ?? this.lanes.headroom.find(lane => nowMs >= lane.retryMs && isStarved(lane, nowMs))
  }
}

/** Tells whether a blocked lane may have workers reserved. */
function isEntitled (lane: Lane, nowMs: number): boolean {
  if (lane.workload === Workload.Request || nowMs < lane.retryMs) return false
  return lane.workload === Workload.Gang || isStarved(lane, nowMs)
}

/** Tells whether a lane has started nothing for long. */
function isStarved (lane: Lane, nowMs: number): boolean {
  return nowMs - Math.max(lane.servedMs, lane.submittedMs) >= RESERVATION_WAIT_MS
}
