/**
 * Renews the tickets of steps that wait for capacity shortly before they can start. The load that it answers is a full upstream whose
 * steps wait for longer than their tickets are valid: without it, each worker that becomes free stays idle for the time of a call.
 */
import { fitsResources, scaleResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Clock } from '../clock.js'
import type { Queue } from '../model/configuration.js'
import type { AdvisorClient } from './advisor-client.js'
import type { PoolCandidate } from './candidates.js'
import type { Pool } from './pool.js'
import type { RankedStep } from './step-ranking.js'

/** A call takes at most this much longer for the workers that it names than for none. More named workers are more choice. */
const MAX_NAMED_SHARE = 0.25

/** Tickets are renewed ahead only if they are valid for this many calls. */
const MIN_VALID_CALLS = 2

/** The renewals of one round. Steps are passed to it in the order in which they are placed. */
export class TicketRenewal {
  /** Number of steps for which tickets were requested. */
  renewedSteps = 0
  /** By queue: the capacity that becomes free during one of its calls, less what the steps passed so far take of it. */
  private readonly upcoming = new Map<Queue, Resources>()

  constructor (private readonly advisorClient: AdvisorClient, private readonly clock: Clock) {}

  /**
   * Requests tickets for a step if its tasks that were not placed are expected to start about when its tickets expire.
   *
   * @param unplaced number of these tasks
   * @param permitted workers that may run the step
   */
  renew (ranked: RankedStep, unplaced: number, permitted: readonly PoolCandidate[], pool: Pool): void {
    const { readyStep, queue, rank, tooLate } = ranked
    if (queue?.advice === undefined || permitted.length === 0 || tooLate) return
    const { advice } = queue
    // Tickets that are valid for hardly longer than a call would be renewed without end.
    if (advice.validMs < MIN_VALID_CALLS * advice.callMs) return
    const { name, charge } = readyStep
    const callMs = (1 + MAX_NAMED_SHARE) * advice.callMs
    const upcoming = this.upcoming.get(queue) ?? pool.releases().within(callMs)
    this.upcoming.set(queue, subtractResources(upcoming, scaleResources(charge, unplaced)))
    if (!fitsResources(charge, upcoming)) return
    if (this.advisorClient.isPending(name) || this.advisorClient.freshUntilMs(name) > this.clock.now() + callMs) return
    const timesMs = new Map(permitted.map((candidate) => [candidate, candidate.timeToFitMs(charge)]))
    const soonest = [...permitted].sort((left, right) => timesMs.get(left)! - timesMs.get(right)!)
    const cheap = advice.workerMs > 0 ? Math.floor(MAX_NAMED_SHARE * advice.callMs / advice.workerMs) : soonest.length
    const count = Math.max(unplaced, cheap)
    this.renewedSteps++
    this.advisorClient.request(name, soonest.slice(0, count).map(({ session }) => session), advice, rank, false)
  }
}
