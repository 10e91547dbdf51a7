/**
 * Bounds on waiting for the log service.
 */
import { err, type Result } from 'neverthrow'
import { sleep } from './clock.js'
import { LogFailure, type LogError } from './log.js'

/** How long calls of the log may take, and how soon they are repeated. */
export interface Patience {
  readonly appendMs: number
  /** On top of the time that a read is held open. */
  readonly readMs: number
  readonly firstRetryMs: number
  readonly lastRetryMs: number
}

/** The patience used outside of tests. */
export const DEFAULT_PATIENCE: Patience = { appendMs: 2000, readMs: 2000, firstRetryMs: 20, lastRetryMs: 1000 }

/** Exponential waits with jitter between tries. */
export class Backoff {
  private waitMs: number

  constructor (private readonly patience: Patience) {
    this.waitMs = patience.firstRetryMs
  }

  /**
   * Waits before the next try.
   *
   * @param signal ends the wait early
   */
  async wait (signal?: AbortSignal): Promise<void> {
    const jittered = this.waitMs * (0.5 + Math.random() / 2)
    this.waitMs = Math.min(this.waitMs * 2, this.patience.lastRetryMs)
    await sleep(jittered, signal)
  }

  /** Starts over with the shortest wait. */
  reset (): void {
    this.waitMs = this.patience.firstRetryMs
  }
}

/**
 * Bounds the time of a call of the log, also if the call ignores its signal.
 *
 * @param call starts the call; its signal is aborted when the time is over
 * @param ms the bound
 * @param signal ends the call early
 * @returns what the call returned, or LogFailure.Unknown
 *
 * @example
 * const page = await limitTime((signal) => log.read(stream, from, waitMs, signal), waitMs + READ_MS)
 */
export async function limitTime<T> (
  call: (signal: AbortSignal) => Promise<Result<T, LogError>>, ms: number, signal?: AbortSignal
): Promise<Result<T, LogError>> {
  const abort = new AbortController()
  const timer = sleep(ms, abort.signal).then(() => err({ failure: LogFailure.Unknown, detail: 'The log did not answer in time.' }))
  const onAbort = (): void => abort.abort()
  signal?.addEventListener('abort', onAbort, { once: true })
  if (signal?.aborted) abort.abort()
  const result = await Promise.race([call(abort.signal), timer])
  signal?.removeEventListener('abort', onAbort)
  abort.abort()
  return result
}
