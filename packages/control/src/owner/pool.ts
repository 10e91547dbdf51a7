/**
 * The free capacity of one upstream during one scheduling round.
 */
import { fitsResources, scaleResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import { maxHoldsOf, spareBeside } from '../place/hold.js'
import { Releases, type Release } from '../place/releases.js'
import type { CandidateSet, PoolCandidate } from './candidates.js'
import type { Session } from './session.js'

/** The state of one upstream in a round. */
export class Pool {
  readonly candidates: readonly PoolCandidate[]
  /** Changes, from one round to the next, when a candidate comes or goes, or when its labels or capacity change. */
  readonly version: number
  /** Free capacity of all candidates together. */
  totalFree: Resources
  /** Number of workers that may still be held in this round. */
  remainingHolds: number
  /** Number of candidates that urgent tasks have not yet considered for preemption in this round. */
  remainingForPreemption: number
  /** The smallest capacity of any candidate, in each dimension. */
  readonly leastCapacity: Resources
  private longestMs: number | undefined
  private expectedReleases: Releases | undefined
  /** The largest free capacity of any candidate at the start of the round, in each dimension. */
  private readonly mostFree: Resources

  constructor (
    readonly upstream: string,
    set: CandidateSet,
    /** Highest priority of the upstream's queues. Tasks of queues with this priority are urgent, also beyond the rate. */
    readonly urgentPriority: number,
    /** Mean total slack of urgent jobs. Tasks with at most this estimated duration may use the reserve. */
    readonly urgentTotalSlackMs: number,
    /** Capacity that is reserved for urgent tasks. */
    readonly reserve: Resources,
    /** Total capacity of the upstream's reachable workers. */
    readonly totalCapacity: Resources
  ) {
    this.candidates = set.candidates
    this.version = set.version
    this.remainingHolds = maxHoldsOf(this.candidates.length)
    this.remainingForPreemption = this.candidates.length
    this.leastCapacity = set.leastCapacity
    // Plain numbers: this runs for each candidate in each round.
    let [cpuMilli, memoryMb, accelerators, mostCpuMilli, mostMemoryMb, mostAccelerators] = [0, 0, 0, 0, 0, 0]
    for (const { free } of this.candidates) {
      cpuMilli += free.cpuMilli
      memoryMb += free.memoryMb
      accelerators += free.accelerators
      if (free.cpuMilli > mostCpuMilli) mostCpuMilli = free.cpuMilli
      if (free.memoryMb > mostMemoryMb) mostMemoryMb = free.memoryMb
      if (free.accelerators > mostAccelerators) mostAccelerators = free.accelerators
    }
    this.totalFree = { cpuMilli, memoryMb, accelerators }
    this.mostFree = { cpuMilli: mostCpuMilli, memoryMb: mostMemoryMb, accelerators: mostAccelerators }
  }

  /** The longest time until one of the candidates is empty if nothing more is placed on it. */
  longestToEmptyMs (): number {
    this.longestMs ??= this.candidates.reduce((longestMs, candidate) => Math.max(longestMs, candidate.timeToEmptyMs()), 0)
    return this.longestMs
  }

  /** What the candidates are expected to release. Runs that take longer than estimated are left out. */
  releases (): Releases {
    if (this.expectedReleases !== undefined) return this.expectedReleases
    const ends: Release[] = []
    for (const candidate of this.candidates) candidate.addReleases(ends)
    return (this.expectedReleases = new Releases(ends))
  }

  /** Returns false if the task certainly fits on no candidate. */
  mayFit (charge: Resources): boolean {
    return fitsResources(charge, this.mostFree)
  }

  /**
   * Holds a worker: withholds from all other tasks, for the rest of the round, the free capacity that they would take from a task.
   *
   * @param charge capacity that the task needs
   */
  hold (candidate: PoolCandidate, charge: Resources): void {
    this.remainingHolds--
    this.allocate(candidate, subtractResources(candidate.free, spareBeside(charge, candidate.free, candidate.endingRuns())))
  }

  /** Takes capacity of a worker for a task for the rest of the round. */
  allocate (candidate: PoolCandidate, charge: Resources): void {
    candidate.free = subtractResources(candidate.free, charge)
    this.totalFree = subtractResources(this.totalFree, charge)
  }

  /** Records that urgent tasks have considered a worker for preemption. */
  considerForPreemption (candidate: PoolCandidate): void {
    candidate.consideredForPreemption = true
    this.remainingForPreemption--
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

/** Total capacity of an upstream's reachable workers outside of zones that are being evacuated. */
export function totalCapacityOf (sessions: Iterable<Session>, upstream: string): Resources {
  let [cpuMilli, memoryMb, accelerators] = [0, 0, 0]
  for (const session of sessions) {
    const { worker, reachable } = session
    if (worker.upstream !== upstream || !reachable || session.isEvacuated()) continue
    cpuMilli += worker.capacity.cpuMilli
    memoryMb += worker.capacity.memoryMb
    accelerators += worker.capacity.accelerators
  }
  return { cpuMilli, memoryMb, accelerators }
}
