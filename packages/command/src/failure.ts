/**
 * Failures of commands as values.
 */
import { ExitCode } from './exit-code.js'

/** A validation error, with its path and how to fix it. */
export interface FailureDetail {
  readonly path: string
  readonly mistake: string
  readonly mend: string
}

/** The reason why a command failed. */
export interface Failure {
  readonly exit: ExitCode
  readonly message: string
  /** Status of the HTTP answer, if there was one. */
  readonly status?: number
  readonly retryAfterMs?: number
  readonly details?: readonly FailureDetail[]
}

/**
 * Creates the failure for incorrect use of the tool.
 *
 * @param message the error and how to fix it
 * @param details validation errors with their paths
 * @returns the failure
 *
 * @example
 * return err(createUsageError('Use --server URL or set FIREFLYMOUNT_SERVER.'))
 */
export function createUsageError (message: string, details?: readonly FailureDetail[]): Failure {
  return { exit: ExitCode.Usage, message, details }
}
