/**
 * The workers on which new runs may be placed, by upstream. They are kept from one scheduling round to the next, so that what
 * depends only on the set of workers and their kinds is computed again only when those change.
 */
import { addResources, fitsResources, NO_RESOURCES, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Candidate } from '../place/fit.js'
import type { Release } from '../place/releases.js'
import type { Session } from './session.js'

/** A worker in scheduling rounds. */
export class PoolCandidate implements Candidate {
  readonly id: string
  rack = ''
  labels: readonly string[] = []
  capacity: Resources = NO_RESOURCES
  free: Resources = NO_RESOURCES
  slowness = 1
  /** The worker was already considered for preemption by urgent tasks in this round, with or without success. */
  consideredForPreemption = false
  private nowMs = 0
  /** As of this round, which starts and stops no runs before its end; undefined until they are asked for. */
  private ends: readonly Release[] | undefined
  /** Estimated time on the steady clock at which all runs on the worker have ended, and the usage for which it was estimated. */
  private emptyAtMs = 0
  private usedWhenEstimated: Resources | undefined
  /** The free capacity at the start of the round, and what it was computed from. */
  private freeAtStart: Resources = NO_RESOURCES
  private usedAtStart: Resources | undefined
  private capacityAtStart: Resources | undefined

  constructor (readonly session: Session) {
    this.id = session.id
  }

  get hasServingTasks (): boolean {
    for (const run of this.session.runs.values()) {
      if (run.step.latencyTargetMs > 0) return true
    }
    return false
  }

  get bestEffortCount (): number {
    let count = 0
    for (const run of this.session.runs.values()) {
      if (run.step.bestEffort) count++
    }
    return count
  }

  /** Estimated time until all runs on the worker have ended; see `Session.timeToEmptyMs`. */
  timeToEmptyMs (): number {
    if (this.usedWhenEstimated !== this.session.used) {
      this.usedWhenEstimated = this.session.used
      this.emptyAtMs = this.nowMs + this.session.timeToEmptyMs()
    }
    return Math.max(0, this.emptyAtMs - this.nowMs)
  }

  /** Charges of the runs that are expected to end, the earliest first. */
  endingRuns (): Resources[] {
    return this.expectedEnds().map(({ charge }) => charge)
  }

  /** Adds the runs that are being stopped, or are expected to end and are not overdue. */
  addReleases (releases: Release[]): void {
    for (const end of this.expectedEnds()) {
      if (end.endMs === -Infinity || end.endMs >= 0) releases.push(end)
    }
  }

  /** Time until a task fits if nothing else is placed on the worker; Infinity if it never does. */
  timeToFitMs (charge: Resources): number {
    let { free } = this
    if (fitsResources(charge, free)) return 0
    for (const ending of this.expectedEnds()) {
      free = addResources(free, ending.charge)
      if (fitsResources(charge, free)) return Math.max(0, ending.endMs)
    }
    return Infinity
  }

  private expectedEnds (): readonly Release[] {
    return (this.ends ??= this.computeExpectedEnds())
  }

  private computeExpectedEnds (): Release[] {
    const ends: Release[] = []
    for (const { step, stopping, assignedMs, charge } of this.session.runs.values()) {
      if (stopping !== undefined) ends.push({ charge, endMs: -Infinity })
      else if (!step.lasting) ends.push({ charge, endMs: assignedMs + step.estimateMs - this.nowMs })
    }
    return ends.sort((left, right) => left.endMs - right.endMs)
  }

  /**
   * Prepares for a round.
   *
   * @returns true if the labels or the capacity of the worker have changed
   */
  startRound (slowness: number, nowMs: number): boolean {
    const { worker } = this.session
    if (this.usedAtStart !== this.session.used || this.capacityAtStart !== worker.capacity) {
      this.freeAtStart = this.session.freeCapacity()
      this.usedAtStart = this.session.used
      this.capacityAtStart = worker.capacity
    }
    this.free = this.freeAtStart
    this.slowness = slowness
    this.consideredForPreemption = false
    this.nowMs = nowMs
    this.ends = undefined
    if (worker.labels === this.labels && worker.capacity === this.capacity) return false
    const changed = !isSameKind(this, worker)
    this.labels = worker.labels
    this.capacity = worker.capacity
    if (changed) this.rack = this.session.rack
    return changed
  }
}

/** The candidates of one upstream, in the order of their sessions. */
export class CandidateSet {
  candidates: PoolCandidate[] = []
  /** Changes when a candidate comes or goes, or when its labels or capacity change. */
  version = 0
  /** The smallest capacity of any candidate, in each dimension. */
  leastCapacity = NO_RESOURCES

  /** Replaces the candidates of the round before. */
  startRound (candidates: PoolCandidate[], changed: boolean): void {
    const before = this.candidates
    this.candidates = candidates
    const sameLength = before.length === candidates.length
    if (!changed && sameLength && candidates.every((candidate, index) => candidate === before[index])) return
    this.version++
    this.leastCapacity = {
      cpuMilli: Math.min(...candidates.map(({ capacity }) => capacity.cpuMilli)),
      memoryMb: Math.min(...candidates.map(({ capacity }) => capacity.memoryMb)),
      accelerators: Math.min(...candidates.map(({ capacity }) => capacity.accelerators))
    }
  }
}

/** Keeps the candidates of all upstreams. */
export class Candidates {
  private readonly sets = new Map<string, CandidateSet>()
  private readonly bySession = new WeakMap<Session, PoolCandidate>()

  constructor (
    private readonly sessions: ReadonlyMap<string, Session>,
    private readonly slownessOf: (session: Session) => number
  ) {}

  /** Collects the candidates of an upstream for a round. */
  collect (upstream: string, nowMs: number): CandidateSet {
    let set = this.sets.get(upstream)
    if (set === undefined) this.sets.set(upstream, set = new CandidateSet())
    const candidates: PoolCandidate[] = []
    let changed = false
    for (const session of this.sessions.values()) {
      if (session.worker.upstream !== upstream || !session.acceptsRuns(nowMs)) continue
      const candidate = this.candidateOf(session)
      if (candidate.startRound(this.slownessOf(session), nowMs)) changed = true
      candidates.push(candidate)
    }
    set.startRound(candidates, changed)
    return set
  }

  private candidateOf (session: Session): PoolCandidate {
    let candidate = this.bySession.get(session)
    if (candidate === undefined) this.bySession.set(session, candidate = new PoolCandidate(session))
    return candidate
  }
}

function isSameKind (
  left: { readonly labels: readonly string[], readonly capacity: Resources },
  right: { readonly labels: readonly string[], readonly capacity: Resources }
): boolean {
  const lacking = subtractResources(left.capacity, right.capacity)
  if (lacking.cpuMilli !== 0 || lacking.memoryMb !== 0 || lacking.accelerators !== 0) return false
  return left.labels.length === right.labels.length && left.labels.every((label, index) => label === right.labels[index])
}
