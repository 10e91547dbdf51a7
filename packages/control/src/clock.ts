/**
 * Clocks. The steady clock stops while the machine is suspended, so ages are measured on both the steady and the wall clock.
 */

/** A source of time. */
export abstract class Clock {
  /** Milliseconds on a monotonic clock that stops while the machine is suspended. */
  abstract now (): number
  /** Unix time in milliseconds. It jumps when the system time is set. */
  abstract wall (): number
  /** Processor time in milliseconds that this process has used since it started. */
  abstract processorMs (): number

  /** Returns the current time on both clocks. */
  stamp (): Stamp {
    return { steadyMs: this.now(), wallMs: this.wall() }
  }

  /**
   * Returns the time elapsed since a stamp: the larger value of both clocks, so that a suspension counts.
   *
   * @param stamp the moment to measure from
   * @returns milliseconds; too low if the machine was suspended and the wall clock set back since the stamp, too high if the wall
   *   clock was set forward
   */
  ageOf (stamp: Stamp): number {
    return Math.max(this.now() - stamp.steadyMs, this.wall() - stamp.wallMs)
  }
}

/** A moment, as read from the steady clock and the wall clock. */
export interface Stamp {
  readonly steadyMs: number
  readonly wallMs: number
}

/** A stamp that is older than any other: its age is infinite. */
export const NEVER: Stamp = { steadyMs: -Infinity, wallMs: -Infinity }

/** Reads the clocks of the operating system. */
export class SystemClock extends Clock {
  now (): number {
    return performance.now()
  }

  wall (): number {
    return Date.now()
  }

  processorMs (): number {
    const { user, system } = process.cpuUsage()
    return (user + system) / 1000
  }
}

/**
 * Resolves after a delay.
 *
 * @param ms the delay in milliseconds
 * @param signal resolves the promise early when it aborts
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
