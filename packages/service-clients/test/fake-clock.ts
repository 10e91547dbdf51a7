/**
 * Helper for tests with a fake clock.
 */
import { vi } from 'vitest'

/** Advances the fake clock until a promise settles. */
export async function run<T> (promise: Promise<T>): Promise<T> {
  const state = { done: false }
  const settled = promise.finally(() => { state.done = true })
  for (let step = 0; step < 20_000 && !state.done; step += 1) await vi.advanceTimersByTimeAsync(1)
  if (!state.done) throw new Error('The promise did not settle within 20 s of the fake clock.')
  return await settled
}
