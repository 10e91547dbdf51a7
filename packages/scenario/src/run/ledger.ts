/**
 * What a scenario sent, and what it was told.
 */
import { Reason } from '@fireflymount/protocol/refusal'
import type { Answer } from '../check/evidence.js'

/** A durable job that was submitted. */
export interface JobEntry {
  readonly name: string
  readonly nonce: string
  readonly queue: string
  readonly team: string
  readonly outcome: string
  /** Its id, if it was accepted. */
  readonly id?: string
  /** Where its state is asked for. */
  readonly bearer?: string
}

/** Jobs, requests and answers by their names in the scenario. */
export class Ledger {
  readonly answers: Answer[] = []
  private readonly jobsByName = new Map<string, JobEntry[]>()
  private readonly answersByName = new Map<string, Answer[]>()
  private readonly noncesByName = new Map<string, Set<string>>()
  private sequence = 0

  /** @param seed makes the nonces of one run differ from those of another */
  constructor (private readonly seed: number) {}

  /** A value that comes back with the answer to one piece of work. */
  nextNonce (): string {
    this.sequence += 1
    return `n${this.seed}-${this.sequence}`
  }

  /** Remembers what is sent before there is an answer. */
  addSent (name: string, nonce: string): void {
    const nonces = this.noncesByName.get(name) ?? new Set()
    this.noncesByName.set(name, nonces.add(nonce))
  }

  /** The nonces sent under a name. */
  nonces (name: string): ReadonlySet<string> {
    return this.noncesByName.get(name) ?? new Set()
  }

  addJob (job: JobEntry): void {
    const jobs = this.jobsByName.get(job.name) ?? []
    this.jobsByName.set(job.name, [...jobs, job])
  }

  addAnswer (answer: Answer): void {
    this.answers.push(answer)
    const answers = this.answersByName.get(answer.name) ?? []
    this.answersByName.set(answer.name, [...answers, answer])
  }

  jobs (name: string): readonly JobEntry[] {
    return this.jobsByName.get(name) ?? []
  }

  answersOf (name: string): readonly Answer[] {
    return this.answersByName.get(name) ?? []
  }
}

const REASONS: ReadonlySet<string> = new Set(Object.values(Reason))

/**
 * Tells whether an outcome is one of those expected. `refused` stands for every reason, `not-run`, `run` and `unknown`
 * for what a refusal says about execution.
 *
 * @param answer the answer
 * @param expected names of outcomes
 * @returns true if one of them fits
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
