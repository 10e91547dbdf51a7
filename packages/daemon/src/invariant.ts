/**
 * What happens when something fails that cannot fail unless the program is wrong.
 */

/**
 * Stops the process, as the rejection of a task that handles all expected failures as values.
 *
 * @param error what was thrown
 * @throws always
 *
 * @example
 * session.run().catch(stopProcess)
 */
export function stopProcess (error: unknown): never {
  throw error
}
