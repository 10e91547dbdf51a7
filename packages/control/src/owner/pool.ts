/**
 * The free capacity of one upstream during one scheduling round.
 */
import { addResources, fitsResources, NO_RESOURCES, scaleResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Candidate } from '../place/fit.js'
import { maxHoldsOf } from '../place/hold.js'
import type { Session } from './session.js'

/** The state of one upstream in a round. */
export class Pool {
  /** Free capacity of all candidates together. */
  totalFree = NO_RESOURCES
  /** Number of workers that may still be held in this round. */
  remainingHolds: number
  /** Workers that were already considered for preemption by urgent tasks in this round, with or without success. */
  readonly consideredForPreemption = new Set<string>()
  constructor (
    readonly candidates: ReadonlyMap<string, Candidate>,
    /** Highest priority of the upstream's queues. Tasks of queues with this priority are urgent, also beyond the rate. */
    readonly urgentPriority: number,
    /** Mean total slack of urgent jobs. Tasks with at most this estimated duration may use the reserve. */
    readonly urgentTotalSlackMs: number,
    /** Capacity that is reserved for urgent tasks. */
    readonly reserve: Resources
  ) {
    this.remainingHolds = maxHoldsOf(candidates.size)
    for (const candidate of candidates.values()) this.totalFree = addResources(this.totalFree, candidate.free)
  }

  /** Holds a worker: withholds its free capacity from all other tasks for the rest of the round. */
  hold (candidate: Candidate): void {
    this.remainingHolds--
    this.allocate(candidate, candidate.free)
  }

  /** Takes capacity of a worker for a task for the rest of the round. */
  allocate (candidate: Candidate, charge: Resources): void {
    candidate.free = subtractResources(candidate.free, charge)
    this.totalFree = subtractResources(this.totalFree, charge)
  }

  /**
   * Returns how many tasks of a size, up to the limit, fit without using the reserve. They are compared with the free capacity of
   * all candidates together; whether they fit on single workers is not checked.
   */
  countOutsideReserve (charge: Resources, limit: number): number {
    const unreserved = subtractResources(this.totalFree, this.reserve)
    let count = 0
    while (count < limit && fitsResources(scaleResources(charge, count + 1), unreserved)) count++
    return count
  }
}

/** Total capacity of an upstream's reachable workers. */
export function totalCapacityOf (sessions: Iterable<Session>, upstream: string): Resources {
  let total = NO_RESOURCES
  for (const session of sessions) {
    if (session.worker.upstream === upstream && session.reachable) total = addResources(total, session.worker.capacity)
  }
  return total
}
