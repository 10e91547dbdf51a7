/**
 * The service that knows which workers may run a step.
 */
import type { Result } from 'neverthrow'

/** Tickets by worker. Workers without one may not run the step. */
export type Tickets = ReadonlyArray<readonly [worker: string, ticket: string]>

/** Why no advice came. */
export enum AdviceFailure {
  /** Too many calls of this machine wait. */
  Busy = 'busy',
  NoAnswer = 'no-answer',
  Invalid = 'invalid'
}

/** Asks for advice on behalf of this machine. */
export abstract class Advisor {
  /**
   * Asks which workers may run a step.
   *
   * @param step job id, occurrence and step, joined by dots
   * @param workers ids, 100 at most
   * @param timeoutMs longest wait
   */
  abstract advise (step: string, workers: readonly string[], timeoutMs: number): Promise<Result<Tickets, AdviceFailure>>
}
