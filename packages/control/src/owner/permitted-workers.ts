/**
 * Determines which candidates may run a step, by its label, its size and the advisor's answers. What was determined for a step is
 * kept until the candidates, the advice or the step change.
 */
import type { Step } from '../model/job.js'
import { isEligible } from '../place/fit.js'
import type { AdvisorClient } from './advisor-client.js'
import type { PoolCandidate } from './candidates.js'
import type { Pool } from './pool.js'
import type { ReadyStep } from './ready-step.js'

/** The candidates that may run a step, in the order of the pool. */
export interface PermittedWorkers {
  readonly permitted: readonly PoolCandidate[]
  /** Candidates that the advisor has not been asked about. */
  readonly unknown: readonly PoolCandidate[]
}

interface Eligible {
  readonly pool: string
  readonly version: number
  readonly candidates: readonly PoolCandidate[]
}

interface Known extends PermittedWorkers {
  readonly eligible: Eligible
  readonly revision: number
}

/** Stands for the revision of the advice for a step that needs none. */
const NO_ADVICE = -1

/** Finds the permitted workers of steps. */
export class PermittedWorkersFinder {
  private readonly eligibleByStep = new WeakMap<Step, Eligible>()
  /** By the identity of the step. */
  private readonly known = new WeakMap<object, Known>()

  constructor (private readonly advisorClient: AdvisorClient) {}

  /**
   * Finds the candidates that may run a step.
   *
   * @param advised the step's queue needs advice
   */
  find (readyStep: ReadyStep, pool: Pool, advised: boolean): PermittedWorkers {
    const eligible = this.eligibleOf(readyStep.step, pool)
    const revision = advised ? this.advisorClient.revisionOf(readyStep.name) : NO_ADVICE
    const known = this.known.get(readyStep.identity)
    if (known !== undefined && known.eligible === eligible && known.revision === revision) return known
    const found = advised ? this.findAdvised(readyStep.name, eligible) : { permitted: eligible.candidates, unknown: [] }
    const result = { ...found, eligible, revision }
    this.known.set(readyStep.identity, result)
    return result
  }

  private findAdvised (step: string, { candidates }: Eligible): PermittedWorkers {
    const permitted: PoolCandidate[] = []
    const unknown: PoolCandidate[] = []
    for (const candidate of candidates) {
      if (this.advisorClient.hasTicket(step, candidate.id)) permitted.push(candidate)
      else if (!this.advisorClient.wasAsked(step, candidate.id)) unknown.push(candidate)
    }
    return { permitted, unknown }
  }

  private eligibleOf (step: Step, pool: Pool): Eligible {
    const known = this.eligibleByStep.get(step)
    if (known !== undefined && known.pool === pool.upstream && known.version === pool.version) return known
    const candidates = pool.candidates.filter((candidate) => isEligible(step, candidate.labels, candidate.capacity))
    const eligible = { pool: pool.upstream, version: pool.version, candidates }
    this.eligibleByStep.set(step, eligible)
    return eligible
  }
}
