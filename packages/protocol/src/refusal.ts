/**
 * Refusals and failures as values. Each states whether the work may have been executed.
 */

/**
 * Whether the work was executed, as far as this can be determined. packages/control also uses it for a record that is appended to
 * the store. There `Run` means that the record was written, `NotRun` that it was not, and `Unknown` that this cannot be
 * determined.
 */
export enum Execution {
  /** The work ran and ended, successfully or not. */
  Run = 'run',
  /** The work was provably never sent to a worker, so that a retry is safe. */
  NotRun = 'not-run',
  /** Whether the work ran cannot be determined. packages/daemon runs it again only if it is idempotent. */
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
  /** The queue holds its maximum of waiting work, or the connection between two nodes its maximum of requests in flight. */
  QueueFull = 'queue-full',
  DeadlineUnreachable = 'deadline-unreachable',
  DeadlinePassed = 'deadline-passed',
  /**
   * The team already has as many requests in progress as its share of the node's maximum, a shard has no allotment to lend, or the
   * accepted jobs of a workspace use as much memory as they may.
   */
  LimitReached = 'limit-reached',
  /** The workspace submits far beyond its rate while jobs within their rate wait. */
  RateExceeded = 'rate-exceeded',
  NoOwner = 'no-owner',
  /** The node that received the request does not, or no longer, own the shard; another node owns it. */
  NotOwner = 'not-owner',
  LogUnavailable = 'log-unavailable',
  ConfigurationStale = 'configuration-stale',
  ConnectionLost = 'connection-lost',
  WorkerFailed = 'worker-failed',
  TaskFailed = 'task-failed',
  Cancelled = 'cancelled',
  /** An object of the configuration has changed since the revision that the publication is based on. */
  Conflict = 'conflict',
  /** The node is stopping. Gateways of packages/control refuse commands with it. */
  Leaving = 'leaving',
  /** The idempotency key was used before for different work. */
  KeyReused = 'key-reused',
  Malformed = 'malformed',
  /**
   * The node or a queue has too many requests in progress, too many changes wait for the log, or the advisor returned no tickets.
   */
  Overloaded = 'overloaded',
  /** An unexpected error ended the handling of the request. The node's log has the error. */
  Internal = 'internal'
}

/** A refusal or failure, as it is sent between processes and returned to the caller. */
export interface Refusal {
  readonly reason: Reason
  readonly detail: string
  readonly execution: Execution
  /** Delay in milliseconds after which a retry can succeed; absent if a retry is of no use. */
  readonly retryAfterMs?: number
  /** With Reason.NotOwner: the node to send the request to instead. */
  readonly node?: string
}

/**
 * Creates a refusal of work that was never sent to a worker.
 *
 * @param reason the reason
 * @param detail one sentence for the caller: the error and how to fix it
 * @param retryAfterMs delay after which a retry can succeed; absent if a retry is of no use
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
 * Adjusts the refusal of a retry to the attempts before it. If an earlier attempt may have run, a later refusal does not prove
 * that the work was not executed.
 *
 * @param refusal the refusal of the last attempt
 * @param earlier whether the earlier attempts were executed
 * @returns the refusal, with `NotRun` only if no attempt can have run
 *
 * @example
 * return err(withEarlierAttempts(answer.error, Execution.Unknown))
 */
export function withEarlierAttempts (refusal: Refusal, earlier: Execution): Refusal {
  if (earlier === Execution.NotRun || refusal.execution === Execution.Run) return refusal
  return { ...refusal, execution: earlier }
}
