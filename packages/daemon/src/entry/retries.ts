/**
 * Bounds the share of retries among a queue's requests.
 */

/** Tokens that each first attempt earns; a retry costs one. */
const TOKENS_PER_REQUEST = 0.1
/** Retries at once: what is in flight on a connection that went silent must fit. */
const MOST_TOKENS = 50

/** A token bucket for each queue. */
export class RetryBudget {
  private readonly tokens = new Map<string, number>()

  /**
   * Records a first attempt.
   *
   * @param queue the queue's name
   */
  earn (queue: string): void {
    this.tokens.set(queue, Math.min(MOST_TOKENS, this.left(queue) + TOKENS_PER_REQUEST))
  }

  /**
   * Takes a token for a retry.
   *
   * @param queue the queue's name
   * @returns false if the budget is spent
   */
  spend (queue: string): boolean {
    const left = this.left(queue)
    if (left < 1) return false
    this.tokens.set(queue, left - 1)
    return true
  }

  private left (queue: string): number {
    return this.tokens.get(queue) ?? MOST_TOKENS
  }
}
