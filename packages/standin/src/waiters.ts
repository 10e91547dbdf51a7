/**
 * Lets several callers wait for the next call of `wake`.
 */

/** The callers that wait for the next call of `wake`. */
export class Waiters {
  private readonly waits = new Set<() => void>()

  /**
   * Waits for the next call of `wake`.
   *
   * @param waitMs timeout of the wait
   * @returns a promise that resolves at the next call of `wake` or at the timeout
   */
  wait (waitMs: number): Promise<void> {
    const { waits } = this
    return new Promise((resolve) => {
      const timer = setTimeout(finish, waitMs)
      waits.add(finish)
      function finish (): void {
        clearTimeout(timer)
        waits.delete(finish)
        resolve()
      }
    })
  }

  /** Completes all waits. */
  wake (): void {
    for (const finish of [...this.waits]) finish()
  }
}
