/**
 * Background promises that no caller awaits.
 */

/**
 * Lets a promise settle in the background. Expected failures are returned as values, so a rejection is a broken invariant and
 * stops the process.
 *
 * @param promise the promise that nobody awaits
 * @throws the promise's rejection, as an unhandled rejection
 */
export function detach (promise: Promise<unknown>): void {
  promise.catch((error: unknown) => { throw error })
}
