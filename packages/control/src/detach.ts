/**
 * Tasks that nobody waits for.
 */

/**
 * Lets a task run on its own. Expected failures are values, so a rejection is a broken invariant and stops the process.
 *
 * @param task the running task
 * @throws what the task throws, as an unhandled rejection
 */
export function detach (task: Promise<unknown>): void {
  task.catch((error: unknown) => { throw error })
}
