/**
 * Callers that wait for news.
 */

/** A set of waits that end together. */
export class Waiters {
  private readonly finishes = new Set<() => void>()

  /**
   * Waits for news.
   *
   * @param waitMs longest wait
   * @returns a promise that resolves at the next wake or when the time is over
   */
  wait (waitMs: number): Promise<void> {
    const { finishes } = this
    return new Promise((resolve) => {
      const timer = setTimeout(finish, waitMs)
      finishes.add(finish)
      function finish (): void {
        clearTimeout(timer)
        finishes.delete(finish)
        resolve()
      }
    })
  }

  /** Ends all waits. */
  wake (): void {
    for (const finish of [...this.finishes]) finish()
  }
}
