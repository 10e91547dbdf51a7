/**
 * Time, with a guard against suspension: the steady clock stands still while the machine is suspended.
 */

/** A source of time. */
export abstract class Clock {
  /** Milliseconds of a steady clock that stands still while the machine is suspended. */
  abstract now (): number
  /** Unix time in milliseconds; can jump. */
  abstract wall (): number

  /** A moment on both clocks. */
  stamp (): Stamp {
    return { steadyMs: this.now(), wallMs: this.wall() }
  }

  /**
   * Tells how much time may have passed since a moment: the longer of both clocks, so that a suspension counts.
   *
   * @param stamp the moment
   * @returns milliseconds, never too few unless the time of day was set back while suspended
   */
  ageOf (stamp: Stamp): number {
    return Math.max(this.now() - stamp.steadyMs, this.wall() - stamp.wallMs)
  }
}

/** A moment on the steady clock and in the time of day. */
export interface Stamp {
  readonly steadyMs: number
  readonly wallMs: number
}

/** A moment before which nothing happened. */
export const NEVER: Stamp = { steadyMs: -Infinity, wallMs: -Infinity }

/** The clocks of the operating system. */
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
