/**
 * The API of a worker: requests, and tasks under leases with epochs.
 */
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Resources } from '@fireflymount/protocol/resources'
import type { Result } from 'neverthrow'

/** State of a task on a worker. */
export enum TaskState {
  Running = 'running',
  Succeeded = 'succeeded',
  Failed = 'failed',
  /** Stopped by the owner. */
  Stopped = 'stopped',
  /** Stopped by the worker because its lease expired. */
  LeaseExpired = 'lapsed'
}

/** A task in a start command. */
export interface TaskStart {
  readonly id: string
  /** Number of the run of this task: 1, 2, ... Reports give a request as attempt 0. */
  readonly attempt: number
  readonly team: string
  /** The queue or service that the task belongs to. */
  readonly kind: string
  readonly size: Resources
  readonly body: unknown
}

/** A worker's report on a task. The worker keeps the report of an ended task until it is acknowledged. */
export interface TaskReport {
  readonly id: string
  readonly attempt: number
  readonly team: string
  readonly kind: string
  readonly size: Resources
  readonly state: TaskState
  /** The result of an ended task. */
  readonly result?: unknown
  /** Resource usage: that of a running task lags, that of an ended task is final. */
  readonly usage?: Resources
  /** Run time of this attempt only: earlier attempts, from whose checkpoint it resumed, are not included. */
  readonly runtimeMs: number
}

/** The response to adoption and renewal. */
export interface WorkerReport {
  /** Id of the worker's incarnation. After a restart it differs, and nothing that ran before the restart still runs. */
  readonly boot: string
  /** Milliseconds of the worker's monotonic clock. */
  readonly clockMs: number
  /**
   * After adoption: all tasks that the worker knows, and the requests that run, as attempt 0. After renewal: ended tasks whose
   * reports are not acknowledged yet, and running tasks whose usage changed. A renewal also reports the end of a request that
   * an adoption reported as running.
   */
  readonly tasks: readonly TaskReport[]
}

/**
 * The adoption of one incarnation of a worker under an epoch. A command or request that reaches the worker after a restart, for
 * instance because it was delayed on its way, names the former incarnation and has no effect on the present one.
 */
export interface Adoption {
  readonly epoch: Epoch
  /** Id of the incarnation, as its report upon adoption gives it. */
  readonly boot: string
}

/** Why a command or request failed. */
export enum WorkerFailure {
  /** The epoch of the command or request is older than the worker's. It had no effect. */
  StaleEpoch = 'stale-epoch',
  /** The worker has no free slot or not enough free resources. The command or request had no effect. */
  Full = 'full',
  /** The worker refused the command or request for another reason. It had no effect. */
  Refused = 'refused',
  /** The command or request was never sent, because no connection could be opened or became free in time. */
  Unreachable = 'unreachable',
  /** No complete response, or an invalid one: the command or request may have taken effect. */
  Unknown = 'unknown',
  /** The request ran and failed. */
  Failed = 'failed'
}

/** A failure of a worker. */
export interface WorkerError {
  readonly failure: WorkerFailure
  readonly detail: string
  /** With WorkerFailure.StaleEpoch: the worker's epoch. */
  readonly epoch?: Epoch
}

/** A request that the owner sends to a worker. */
export interface WorkerRequest {
  readonly id: string
  readonly team: string
  readonly kind: string
  readonly size: Resources
  readonly body: unknown
}

/**
 * One worker. A command is any call to this API except `request`. Every command and every request carries the owner's epoch, and all
 * but `adopt` the incarnation that the owner has adopted. A worker refuses those whose epoch is older than its own. Under a newer
 * epoch, and for another incarnation, it accepts only `adopt`: it responds to `renew`, which changes nothing, and refuses all others.
 */
export abstract class Worker {
  /**
   * Adopts the worker under an epoch: from then on it refuses older epochs. Extends all leases to at least `leaseMs` from
   * now, and returns every task that the worker knows.
   */
  abstract adopt (epoch: Epoch, leaseMs: number): Promise<Result<WorkerReport, WorkerError>>
  /** Starts a task under a lease until `untilMs` of the worker's clock. A repeated id and attempt has no further effect. */
  abstract start (adoption: Adoption, task: TaskStart, untilMs: number): Promise<Result<void, WorkerError>>
  /**
   * Stops one attempt of a task, after a checkpoint if `checkpoint` is set. Has no effect if that attempt does not run. Repeating the
   * command has no further effect.
   */
  abstract stop (adoption: Adoption, task: string, attempt: number, checkpoint: boolean): Promise<Result<void, WorkerError>>
  /** Limits the CPU of a running task, in thousandths of a core. */
  abstract throttle (adoption: Adoption, task: string, cpuMilli: number): Promise<Result<void, WorkerError>>
  /**
   * Acknowledges reports of ended tasks (as "id/attempt"), and extends the leases of all tasks to `untilMs` of the worker's clock.
   * Returns as soon as a task ends, or after `waitMs`. Without the adoption, changes nothing and returns a report without tasks at
   * once, which shows the present incarnation.
   */
  abstract renew (
    adoption: Adoption,
    untilMs: number,
    acknowledged: readonly string[],
    waitMs: number
  ): Promise<Result<WorkerReport, WorkerError>>
  /** Sends a request and returns its complete response. */
  abstract request (adoption: Adoption, request: WorkerRequest, timeoutMs: number): Promise<Result<unknown, WorkerError>>
  /** Closes the connections. */
  abstract close (): Promise<void>
}
