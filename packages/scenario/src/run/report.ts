/**
 * Formats the results of scenarios as a table and as JSON.
 */
import type { ScenarioResult } from './runner.js'

const MS_PER_SECOND = 1_000

/**
 * Formats results as a table.
 *
 * @param results the results
 * @returns one line per run, and one more for each failure
 *
 * @example
 * console.log(formatTable(results))
 */
export function formatTable (results: readonly ScenarioResult[]): string {
  const width = Math.max(8, ...results.map((result) => result.name.length))
  const lines = [`${'scenario'.padEnd(width)}  ${'seed'.padStart(6)}  ${'result'.padEnd(6)}  ${'time'.padStart(7)}  title`]
  for (const result of results) {
    const time = `${(result.durationMs / MS_PER_SECOND).toFixed(1)} s`
    const status = result.passed ? 'passed' : 'FAILED'
    lines.push(`${result.name.padEnd(width)}  ${String(result.seed).padStart(6)}  ${status.padEnd(6)}  ${time.padStart(7)}  ${result.title}`)
    if (!result.passed) lines.push(`${''.padEnd(width)}  ${result.detail} (logs: ${result.logs})`)
  }
  return lines.join('\n')
}

/**
 * Formats a summary of results for a build pipeline.
 *
 * @param results the results
 * @returns a JSON object on one line
 */
export function formatSummary (results: readonly ScenarioResult[]): string {
  const failed = results.filter((result) => !result.passed)
  return JSON.stringify({
    runs: results.length,
    passed: results.length - failed.length,
    failed: failed.map(({ name, seed, detail }) => ({ name, seed, detail })),
    scenarios: results.map(({ name, seed, passed, durationMs, proves }) => ({ name, seed, passed, durationMs, proves }))
  })
}
