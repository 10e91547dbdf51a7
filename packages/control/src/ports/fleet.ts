/**
 * Port to the platform's workers: the commands that the owner sends to them.
 */
import type { Result } from 'neverthrow'
import type { Report, WorkerAddress } from '../model/worker.js'

/** Timeout of a command to a worker, beside the long-poll time of a report. A healthy worker answers within milliseconds. */
export const COMMAND_TIMEOUT_MS = 900

/** Longest time from when the owner sends a command to when the call to the worker starts, which may be on another node. */
export const COMMAND_VALIDITY_MS = 1000

/** Why a command to a worker failed. */
export enum WorkerFailure {
  /** No answer was received: the worker may execute the command, possibly seconds later. */
  NoAnswer = 'no-answer',
  /** The worker has seen a higher fencing token. */
  Fenced = 'fenced',
  /** A run of the task with the same or a higher number has already been stopped or has ended on the worker. */
  OutdatedRun = 'superseded',
  /** The worker's clock is past the command's deadline. */
  Late = 'late',
  /** The worker lacks free capacity. */
  NoCapacity = 'no-room',
  /** The ticket is missing or no longer valid. */
  NoTicket = 'no-ticket',
  /** The worker is unhealthy or overloaded and did not execute the command. */
  Unhealthy = 'unhealthy',
  /** Another worker is running at the address. */
  OtherWorker = 'other-incarnation',
  /** The worker rejected the command as invalid. */
  Invalid = 'invalid'
}

/** Command to start one run of a task. */
export interface StartCommand {
  readonly task: string
  readonly run: number
  readonly payload: string
  /**
   * Time on the worker's clock after which the worker refuses the command. An accepted start extends the worker's lease to this
   * time if the lease ends earlier.
   */
  readonly deadlineMs: number
  /** Fencing token: the epoch of the owner. */
  readonly fence: number
  /** Checkpoint to resume from; empty to start from scratch. */
  readonly checkpoint: string
  /** Ticket of the advisor; empty if the queue needs none. */
  readonly ticket: string
}

/** The run that a command applies to. */
export interface RunCommand {
  readonly task: string
  readonly run: number
  /** Fencing token: the epoch of the owner. */
  readonly fence: number
}

/** Command to report the runs on a worker. With a deadline, it also renews the lease that covers all of them. */
export interface ReportCommand {
  /** Fencing token: the epoch of the owner. */
  readonly fence: number
  /** Ended runs up to this position are in the journal; the worker may drop them from its report. */
  readonly acknowledged: number
  /** New expiry of the lease on the worker's clock; undefined to leave it unchanged. */
  readonly deadlineMs: number | undefined
  /** Long-poll time: how long the worker may delay its answer until a run ends. */
  readonly waitMs: number
}

/** Sends commands to workers. Each successful answer carries the worker's clock in milliseconds. */
export abstract class Fleet {
  /** Maximum number of ended runs in a report. A report with as many may omit others, which later reports contain. */
  abstract readonly maxReportedEnds: number
  abstract start (worker: WorkerAddress, command: StartCommand): Promise<Result<number, WorkerFailure>>
  abstract stop (worker: WorkerAddress, command: RunCommand): Promise<Result<number, WorkerFailure>>
  /** Throttles a run to a percentage of full speed, 0 to 100. */
  abstract throttle (worker: WorkerAddress, command: RunCommand, percent: number): Promise<Result<number, WorkerFailure>>
  /** Requests a report, and renews the lease if the command has a deadline. */
  abstract requestReport (worker: WorkerAddress, command: ReportCommand): Promise<Result<Report, WorkerFailure>>
  /** Closes the connections to a worker. */
  abstract closeConnections (worker: WorkerAddress): void
}
