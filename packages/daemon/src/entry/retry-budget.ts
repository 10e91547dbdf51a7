/**
 * Retry budgets: limit the fraction of retries among the requests of a queue.
 */

/** Tokens that each first attempt adds. A retry takes one. */
const TOKENS_PER_REQUEST = 0.1
/** Maximum burst of retries. It is meant to cover the requests of one queue in flight on a connection that became silent. */
const MAX_TOKENS = 50

/** One token bucket per queue. */
export class RetryBudget {
  private readonly tokens = new Map<string, number>()

  /**
   * Adds a fraction of a token for a first attempt.
   *
   * @param queue the queue's name
   */
  addTokens (queue: string): void {
    this.tokens.set(queue, Math.min(MAX_TOKENS, this.remaining(queue) + TOKENS_PER_REQUEST))
  }

  /**
   * Takes a token for a retry.
   *
   * @param queue the queue's name
   * @returns false if the budget is used up
   */
  takeToken (queue: string): boolean {
    const remaining = this.remaining(queue)
    if (remaining < 1) return false
    this.tokens.set(queue, remaining - 1)
    return true
  }

  private remaining (queue: string): number {
    return this.tokens.get(queue) ?? MAX_TOKENS
  }
}
