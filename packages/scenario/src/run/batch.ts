/**
 * Runs scenarios in parallel, with a bounded number at a time.
 */
import { readdirSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runScenario, type ScenarioResult } from './runner.js'

/** Directory of the scenarios. */
export const SCENARIOS = fileURLToPath(new URL('../../scenarios', import.meta.url))

/** A scenario file to run, and the seed to use instead of its own. */
export interface ScenarioRun {
  readonly file: string
  readonly seed?: number
}

/**
 * Lists the scenario files.
 *
 * @returns their paths, sorted by name
 */
export function listScenarios (): string[] {
  return readdirSync(SCENARIOS).filter((file) => file.endsWith('.scenario')).sort().map((file) => join(SCENARIOS, file))
}

/**
 * Runs scenarios in parallel.
 *
 * @param runs the scenarios to run
 * @param concurrency number of scenarios that run at the same time
 * @param onResult called after each run
 * @returns the results, in the order of the runs
 *
 * @example
 * const results = await runBatch(listScenarios().map((file) => ({ file })), 4)
 */
export async function runBatch (
  runs: readonly ScenarioRun[], concurrency: number, onResult?: (result: ScenarioResult) => void
): Promise<ScenarioResult[]> {
  const results: ScenarioResult[] = []
  let next = 0
  async function runNext (): Promise<void> {
    for (let index = next++; index < runs.length; index = next++) {
      const { file, seed } = runs[index]!
      const result = await runScenario(file, seed)
      results[index] = result
      onResult?.(result)
    }
  }
  await Promise.all(Array.from({ length: concurrency }, runNext))
  return results
}
