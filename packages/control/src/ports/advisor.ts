/**
 * Port to the advisor, the service that decides which workers may run a step.
 */
import type { Result } from 'neverthrow'

/** Tickets by worker. A worker without a ticket may not run the step. */
export type Tickets = ReadonlyArray<readonly [worker: string, ticket: string]>

/** Checks whether a value, which another process sent, is tickets by worker. */
export function isTickets (value: unknown): value is Tickets {
  return Array.isArray(value) && value.every((row) => (
    Array.isArray(row) && row.length === 2 && row.every((field) => typeof field === 'string')
  ))
}

/** Why the advisor returned no tickets. */
export enum AdviceFailure {
  /** The advisor refused the call because too many calls from this machine are pending, or the advisor is unavailable. */
  Busy = 'busy',
  NoAnswer = 'no-answer',
  /** The advisor rejected the call as invalid, its answer cannot be decoded, or no advisor is configured. */
  Invalid = 'invalid'
}

/** Client of the advisor. */
export abstract class Advisor {
  /**
   * Asks which workers may run a step.
   *
   * @param step job id, occurrence and step, joined by dots
   * @param workers worker ids, at most 100
   * @param timeoutMs timeout of the call
   * @returns tickets by worker, or the reason for the failure
   */
  abstract advise (step: string, workers: readonly string[], timeoutMs: number): Promise<Result<Tickets, AdviceFailure>>
}
