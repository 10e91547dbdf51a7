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
  /** Stopped by the worker because its lease lapsed. */
  Lapsed = 'lapsed'
}

/** A task as the owner starts it. */
export interface TaskStart {
  readonly id: string
  /** Distinguishes runs of the same task: 1, 2, ... */
  readonly attempt: number
  readonly team: string
  /** The queue or service it belongs to. */
  readonly kind: string
  readonly size: Resources
  readonly body: unknown
}

/** A task as the worker reports it. A report is kept until it is acknowledged. */
export interface TaskReport {
  readonly id: string
  readonly attempt: number
  readonly team: string
  readonly kind: string
  readonly size: Resources
  readonly state: TaskState
  /** The result of an ended task. */
  readonly result?: unknown
  /** Lagging usage of a running task, and the final one of an ended task. */
  readonly usage?: Resources
  readonly runtimeMs: number
}

/** What a worker answers to adoption and renewal. */
export interface WorkerReport {
  /** Changes whenever the worker restarts: nothing that ran before runs now. */
  readonly boot: string
  /** Milliseconds of the worker's own monotonic clock. */
  readonly clockMs: number
  /** Adoption: all tasks known. Renewal: tasks that ended or whose usage changed. */
  readonly tasks: readonly TaskReport[]
}

/** Why a worker did not do what was asked. */
export enum WorkerFailure {
  /** The command's epoch is older than the worker's. Nothing was done. */
  StaleEpoch = 'stale-epoch',
  /** The worker has no room. Nothing was done. */
  Full = 'full',
  /** The worker refused for another reason. Nothing was done. */
  Refused = 'refused',
  /** The connection could not be opened: the command never left. */
  Unreachable = 'unreachable',
  /** No answer, or half of one: the command may have taken effect. */
  Unknown = 'unknown',
  /** The request was run and failed. */
  Failed = 'failed'
}

/** A failure of a worker. */
export interface WorkerError {
  readonly failure: WorkerFailure
  readonly detail: string
  /** With WorkerFailure.StaleEpoch: the epoch that the worker holds. */
  readonly epoch?: Epoch
}

/** A request as the owner sends it. */
export interface WorkerRequest {
  readonly id: string
  readonly team: string
  readonly kind: string
  readonly size: Resources
  readonly body: unknown
}

/** One worker. Every command carries the owner's epoch and is refused if the worker holds a newer one. */
export abstract class Worker {
  /** Takes the worker over under an epoch. Returns every task it knows. Extends all leases to the given time. */
  abstract adopt (epoch: Epoch, leaseMs: number): Promise<Result<WorkerReport, WorkerError>>
  /** Starts a task; repeating the same id and attempt has no further effect. `untilMs` is in the worker's clock. */
  abstract start (epoch: Epoch, task: TaskStart, untilMs: number): Promise<Result<void, WorkerError>>
  /** Stops a task, after a checkpoint if asked. Repeating it has no further effect. */
  abstract stop (epoch: Epoch, task: string, checkpoint: boolean): Promise<Result<void, WorkerError>>
  /** Limits the processors of a running task, in thousandths of a core. */
  abstract throttle (epoch: Epoch, task: string, cpuMilli: number): Promise<Result<void, WorkerError>>
  /**
   * Extends the leases of all tasks to `untilMs` of the worker's clock, acknowledges reports of ended tasks
   * (as "id/attempt"), and returns as soon as a task ended, else after `waitMs`.
   */
  abstract renew (
    epoch: Epoch,
    untilMs: number,
    acknowledged: readonly string[],
    waitMs: number
  ): Promise<Result<WorkerReport, WorkerError>>
  /** Sends a request and returns its whole answer. */
  abstract request (epoch: Epoch, request: WorkerRequest, timeoutMs: number): Promise<Result<unknown, WorkerError>>
  /** Closes the connections. */
  abstract close (): Promise<void>
}
