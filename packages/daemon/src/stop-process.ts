/**
 * Handles failures that can only be caused by a bug in the program.
 */

/**
 * Rethrows an error so that it becomes an unhandled rejection and stops the process. Use it as the rejection handler of a
 * background task that returns all expected failures as values.
 *
 * @param error the error that was thrown
 * @throws always
 *
 * @example
 * session.run().catch(stopProcess)
 */
export function stopProcess (error: unknown): never {
  throw error
}
