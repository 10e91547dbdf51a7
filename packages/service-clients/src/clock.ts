/**
 * An interface to the clock, so that tests and measurements can supply their own.
 */

/** A source of time. */
export abstract class Clock {
  /** Milliseconds of a monotonic clock, with a fractional part. Not comparable between processes. */
  abstract now (): number
  /** Milliseconds since the Unix epoch. The wall clock may jump, so no safety decision uses it. */
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
 * Waits for the given time.
 *
 * @param ms milliseconds
 * @param signal ends the wait early
 * @returns a promise that resolves after the time or when the signal aborts, whichever is first
 *
 * @example
 * await sleep(RETRY_DELAY_MS, stop.signal)
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
