/**
 * Runs scenarios side by side, a bounded number at a time.
 */
import { readdirSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runScenario, type Verdict } from './runner.js'

/** Directory of the scenarios. */
export const SCENARIOS = fileURLToPath(new URL('../../scenarios', import.meta.url))

/** One run to do. */
export interface Job {
  readonly file: string
  readonly seed?: number
}

/**
 * Lists the scenario files.
 *
 * @returns their paths, by name
 */
export function listScenarios (): string[] {
  return readdirSync(SCENARIOS).filter((file) => file.endsWith('.scenario')).sort().map((file) => join(SCENARIOS, file))
}

/**
 * Runs scenarios side by side.
 *
 * @param jobs the runs
 * @param atOnce how many at a time
 * @param onVerdict called after each
 * @returns the verdicts, in the order of the runs
 *
 * @example
 * const verdicts = await runBatch(listScenarios().map((file) => ({ file })), 4)
 */
export async function runBatch (
  jobs: readonly Job[], atOnce: number, onVerdict?: (verdict: Verdict) => void
): Promise<Verdict[]> {
  const verdicts: Verdict[] = []
  let next = 0
  async function runNext (): Promise<void> {
    for (let index = next++; index < jobs.length; index = next++) {
      const { file, seed } = jobs[index]!
      const verdict = await runScenario(file, seed)
      verdicts[index] = verdict
      onVerdict?.(verdict)
    }
  }
  await Promise.all(Array.from({ length: atOnce }, runNext))
  return verdicts
}
