/**
 * Refusals and failures as values, with what is known about execution.
 */

/** What is known about whether the work ran. */
export enum Execution {
  /** The work ran to its end. */
  Run = 'run',
  /** The work provably never left for a worker. */
  NotRun = 'not-run',
  /** Nobody can establish whether the work ran. It is never run again. */
  Unknown = 'unknown'
}

/** Why work was refused or failed. */
export enum Reason {
  BadRequest = 'bad-request',
  BadKey = 'bad-key',
  NoSuchQueue = 'no-such-queue',
  NoSuchJob = 'no-such-job',
  WrongTeam = 'wrong-team',
  TooLarge = 'too-large',
  Infeasible = 'infeasible',
  QueueFull = 'queue-full',
  DeadlineUnreachable = 'deadline-unreachable',
  DeadlinePassed = 'deadline-passed',
  LimitReached = 'limit-reached',
  NoOwner = 'no-owner',
  NotOwner = 'not-owner',
  LogUnavailable = 'log-unavailable',
  ConfigurationStale = 'configuration-stale',
  ConnectionLost = 'connection-lost',
  WorkerFailed = 'worker-failed',
  TaskFailed = 'task-failed',
  Cancelled = 'cancelled',
  Conflict = 'conflict',
  Leaving = 'leaving',
  KeyReused = 'key-reused',
  Malformed = 'malformed',
  Overloaded = 'overloaded'
}

/** A refusal or failure, as it travels between processes and on to the caller. */
export interface Refusal {
  readonly reason: Reason
  readonly detail: string
  readonly execution: Execution
  /** Milliseconds after which coming back helps; absent if it does not. */
  readonly retryAfterMs?: number
  /** The node to ask instead, with Reason.NotOwner. */
  readonly node?: string
}

/**
 * Builds a refusal of work that provably did not run.
 *
 * @param reason why
 * @param detail one sentence for the caller: the mistake and how to mend it
 * @param retryAfterMs when coming back helps
 * @returns the refusal
 *
 * @example
 * return err(refuse(Reason.QueueFull, 'The queue "lookup" is full.', 500))
 */
export function refuse (reason: Reason, detail: string, retryAfterMs?: number): Refusal {
  if (retryAfterMs === undefined) return { reason, detail, execution: Execution.NotRun }
  return { reason, detail, execution: Execution.NotRun, retryAfterMs }
}

/**
 * Corrects a refusal by what is known of earlier tries: a later refusal does not make it untrue that one may have run.
 *
 * @param refusal the refusal of the last try
 * @param earlier what is known of the tries before
 * @returns the refusal, with `NotRun` only if no try can have run
 *
 * @example
 * return err(withEarlierTries(answer.error, Execution.Unknown))
 */
export function withEarlierTries (refusal: Refusal, earlier: Execution): Refusal {
  if (earlier === Execution.NotRun || refusal.execution === Execution.Run) return refusal
  return { ...refusal, execution: earlier }
}
