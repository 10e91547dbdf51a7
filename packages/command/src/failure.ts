/**
 * Why a command did not succeed, as a value.
 */
import { Exit } from './exit.js'

/** A mistake with its place and its mend. */
export interface Detail {
  readonly path: string
  readonly mistake: string
  readonly mend: string
}

/** A command that did not succeed. */
export interface Failure {
  readonly exit: Exit
  readonly message: string
  /** Status of the HTTP answer, if there was one. */
  readonly status?: number
  readonly retryAfterMs?: number
  readonly details?: readonly Detail[]
}

/**
 * Describes a wrong use of the tool.
 *
 * @param message the mistake and how to mend it
 * @param details the mistakes by path
 * @returns the failure
 *
 * @example
 * return err(createMisuse('Give --server or set FIREFLYMOUNT_SERVER.'))
 */
export function createMisuse (message: string, details?: readonly Detail[]): Failure {
  return { exit: Exit.Usage, message, details }
}
