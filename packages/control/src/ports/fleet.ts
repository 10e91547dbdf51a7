/**
 * Orders to workers, as a seam to the platform.
 */
import type { Result } from 'neverthrow'
import type { Report, Worker } from '../model/worker.js'

/** Why a worker did not carry out an order. */
export enum WorkerFailure {
  /** No answer came: the order may be carried out, also seconds later. */
  NoAnswer = 'no-answer',
  /** The worker has seen a higher fencing token. */
  Fenced = 'fenced',
  /** A run as high or higher has been stopped or has ended there. */
  Superseded = 'superseded',
  /** The order's deadline has passed on the worker's clock. */
  Late = 'late',
  /** The worker has no room. */
  NoRoom = 'no-room',
  /** The ticket is missing or no longer valid. */
  NoTicket = 'no-ticket',
  /** The worker is not healthy and did nothing. */
  Unhealthy = 'unhealthy',
  /** Another incarnation answers at that address. */
  OtherIncarnation = 'other-incarnation',
  /** The worker rejects the order as wrong. */
  Invalid = 'invalid'
}

/** Starts one run of a task. */
export interface StartOrder {
  readonly task: string
  readonly run: number
  readonly payload: string
  /** Time on the worker's clock after which the order is not carried out. */
  readonly deadlineMs: number
  readonly fence: number
  /** Empty for none. */
  readonly checkpoint: string
  /** Empty for none. */
  readonly ticket: string
}

/** Names one run in an order. */
export interface RunOrder {
  readonly task: string
  readonly run: number
  readonly fence: number
}

/** Renews the lease of all that runs on a worker. */
export interface RenewOrder {
  readonly fence: number
  /** Position through which ends are journaled and may be forgotten. */
  readonly acknowledged: number
  /** New end of the lease, on the worker's clock; undefined to leave it as it is. */
  readonly deadlineMs: number | undefined
  /** How long the answer may wait for an end. */
  readonly waitMs: number
}

/** Sends orders to workers. Each answer carries the worker's clock in milliseconds. */
export abstract class Fleet {
  abstract start (worker: Worker, order: StartOrder): Promise<Result<number, WorkerFailure>>
  abstract stop (worker: Worker, order: RunOrder): Promise<Result<number, WorkerFailure>>
  /** Lets a run work at a share of its speed, 0 to 100 percent. */
  abstract pace (worker: Worker, order: RunOrder, percent: number): Promise<Result<number, WorkerFailure>>
  abstract renew (worker: Worker, order: RenewOrder): Promise<Result<Report, WorkerFailure>>
  /** Closes the connections to a worker. */
  abstract forget (worker: Worker): void
}
