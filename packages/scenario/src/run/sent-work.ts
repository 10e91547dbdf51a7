/**
 * The work that a scenario sent and the answers that it got.
 */
import { Reason } from '@fireflymount/protocol/refusal'
import type { Answer } from '../check/evidence.js'

/** A submitted durable job. */
export interface SubmittedJob {
  readonly name: string
  readonly nonce: string
  readonly queue: string
  readonly team: string
  readonly outcome: string
  /** Id of the job, if it was accepted. */
  readonly id?: string
  /** Credentials with which its state is fetched. */
  readonly bearer?: string
}

/** Nonces, jobs and answers, grouped by the names that the scenario gives to the work. */
export class SentWork {
  readonly answers: Answer[] = []
  private readonly jobsByName = new Map<string, SubmittedJob[]>()
  private readonly answersByName = new Map<string, Answer[]>()
  private readonly noncesByName = new Map<string, Set<string>>()
  private sequence = 0

  /** @param seed makes the nonces differ between runs with different seeds */
  constructor (private readonly seed: number) {}

  /** Creates a value that is sent with one job or request and comes back with its answer. */
  nextNonce (): string {
    this.sequence += 1
    return `n${this.seed}-${this.sequence}`
  }

  /** Records the nonce of a job or request before it is sent. */
  addNonce (name: string, nonce: string): void {
    const nonces = this.noncesByName.get(name) ?? new Set()
    this.noncesByName.set(name, nonces.add(nonce))
  }

  /** The nonces sent under a name. */
  nonces (name: string): ReadonlySet<string> {
    return this.noncesByName.get(name) ?? new Set()
  }

  addJob (job: SubmittedJob): void {
    const jobs = this.jobsByName.get(job.name) ?? []
    this.jobsByName.set(job.name, [...jobs, job])
  }

  addAnswer (answer: Answer): void {
    this.answers.push(answer)
    const answers = this.answersByName.get(answer.name) ?? []
    this.answersByName.set(answer.name, [...answers, answer])
  }

  jobs (name: string): readonly SubmittedJob[] {
    return this.jobsByName.get(name) ?? []
  }

  answersOf (name: string): readonly Answer[] {
    return this.answersByName.get(name) ?? []
  }
}

const REASONS: ReadonlySet<string> = new Set(Object.values(Reason))

/**
 * Tells whether an outcome is one of those expected. `refused` matches every reason for a refusal or failure; `not-run`,
 * `run` and `unknown` match what a refusal says about execution.
 *
 * @param answer the answer
 * @param expected names of outcomes
 * @returns true if one of them matches
 *
 * @example
 * matchesOutcome(answer, ['answered', 'not-run'])
 */
export function matchesOutcome (answer: Pick<Answer, 'outcome' | 'execution'>, expected: readonly string[]): boolean {
  for (const name of expected) {
    if (name === answer.outcome || name === answer.execution) return true
    if (name === 'refused' && REASONS.has(answer.outcome)) return true
  }
  return false
}
