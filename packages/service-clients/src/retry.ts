/**
 * Timeouts and retry delays for calls to the log service.
 */
import { err, type Result } from 'neverthrow'
import { sleep } from './clock.js'
import { LogFailure, type LogError } from './log.js'

/** Timeouts of log calls and delays between retries. */
export interface LogCallSettings {
  /** Timeout of an append. */
  readonly appendTimeoutMs: number
  /** Added to the time for which the service holds a read open; the sum is the timeout of the read. */
  readonly readTimeoutMs: number
  /** Delay before the first retry. */
  readonly minRetryDelayMs: number
  /** Maximum delay before a retry. */
  readonly maxRetryDelayMs: number
}

/** The values used outside of tests. */
export const DEFAULT_LOG_CALL_SETTINGS: LogCallSettings = {
  appendTimeoutMs: 2000,
  readTimeoutMs: 2000,
  minRetryDelayMs: 20,
  maxRetryDelayMs: 1000
}

/** Exponential backoff with jitter. */
export class Backoff {
  private delayMs: number

  constructor (private readonly settings: LogCallSettings) {
    this.delayMs = settings.minRetryDelayMs
  }

  /**
   * Waits before the next retry.
   *
   * @param signal aborts the wait
   */
  async wait (signal?: AbortSignal): Promise<void> {
    const jitteredMs = this.delayMs * (0.5 + Math.random() / 2)
    this.delayMs = Math.min(this.delayMs * 2, this.settings.maxRetryDelayMs)
    await sleep(jitteredMs, signal)
  }

  /** Resets the delay to that before the first retry. */
  reset (): void {
    this.delayMs = this.settings.minRetryDelayMs
  }
}

/**
 * Bounds the time of a call to the log: returns at the timeout even if the call ignores its signal.
 *
 * @param call starts the call; its signal is aborted at the timeout
 * @param timeoutMs the timeout
 * @param signal aborts the call
 * @returns the result of the call; LogFailure.Unknown if it was aborted or timed out
 *
 * @example
 * const page = await withTimeout((signal) => log.read(stream, from, waitMs, signal), waitMs + READ_TIMEOUT_MS)
 */
export async function withTimeout<T> (
  call: (signal: AbortSignal) => Promise<Result<T, LogError>>, timeoutMs: number, signal?: AbortSignal
): Promise<Result<T, LogError>> {
  const controller = new AbortController()
  const timeout = sleep(timeoutMs, controller.signal)
    .then(() => err({ failure: LogFailure.Unknown, detail: 'The call to the log timed out or was aborted.' }))
  const onCallerAbort = (): void => controller.abort()
  signal?.addEventListener('abort', onCallerAbort, { once: true })
  if (signal?.aborted) controller.abort()
  const result = await Promise.race([call(controller.signal), timeout])
  signal?.removeEventListener('abort', onCallerAbort)
  controller.abort()
  return result
}
