/**
 * Time as a seam, so that tests and measurements can hand in a clock.
 */

/** A source of time. */
export abstract class Clock {
  /** Milliseconds of a monotonic clock, with fractions. Not comparable between processes. */
  abstract now (): number
  /** Milliseconds since the Unix epoch. Never used for a safety decision. */
  abstract wall (): number
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
  now (): number {
    return performance.now()
  }

  wall (): number {
    return Date.now()
  }
}

/**
 * Waits for a time to pass.
 *
 * @param ms milliseconds
 * @param signal ends the wait early
 * @returns a promise that resolves after the time or at the abort, whichever is first
 *
 * @example
 * await sleep(RETRY_MS, stop.signal)
 */
export function sleep (ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve()
      return
    }
    const timer = setTimeout(finish, ms)
    signal?.addEventListener('abort', finish, { once: true })
    function finish (): void {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
  })
}
