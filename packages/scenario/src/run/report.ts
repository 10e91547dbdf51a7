/**
 * Formats the results of scenarios as a table and as JSON.
 */
import type { Verdict } from './runner.js'

const MS_PER_SECOND = 1_000

/**
 * Formats verdicts as a table.
 *
 * @param verdicts the verdicts
 * @returns one line per run, and one more for each failure
 *
 * @example
 * console.log(formatTable(verdicts))
 */
export function formatTable (verdicts: readonly Verdict[]): string {
  const width = Math.max(8, ...verdicts.map((verdict) => verdict.name.length))
  const lines = [`${'scenario'.padEnd(width)}  ${'seed'.padStart(6)}  ${'result'.padEnd(6)}  ${'time'.padStart(7)}  title`]
  for (const verdict of verdicts) {
    const time = `${(verdict.durationMs / MS_PER_SECOND).toFixed(1)} s`
    const result = verdict.passed ? 'passed' : 'FAILED'
    lines.push(`${verdict.name.padEnd(width)}  ${String(verdict.seed).padStart(6)}  ${result.padEnd(6)}  ${time.padStart(7)}  ${verdict.title}`)
    if (!verdict.passed) lines.push(`${''.padEnd(width)}  ${verdict.detail} (logs: ${verdict.logs})`)
  }
  return lines.join('\n')
}

/**
 * Formats a summary of verdicts for a build pipeline.
 *
 * @param verdicts the verdicts
 * @returns a JSON object on one line
 */
export function formatSummary (verdicts: readonly Verdict[]): string {
  const failed = verdicts.filter((verdict) => !verdict.passed)
  return JSON.stringify({
    runs: verdicts.length,
    passed: verdicts.length - failed.length,
    failed: failed.map(({ name, seed, detail }) => ({ name, seed, detail })),
    scenarios: verdicts.map(({ name, seed, passed, durationMs, proves }) => ({ name, seed, passed, durationMs, proves }))
  })
}
