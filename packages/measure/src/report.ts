/**
 * Writes the results of measurements: JSON files, SVG charts and the tables of docs/MEASUREMENTS.md.
 */
import { execFileSync } from 'node:child_process'
import { mkdirSync, existsSync, readFileSync, writeFileSync } from 'node:fs'
import { cpus } from 'node:os'
import type { Chart } from './chart.js'
import { renderChart } from './chart.js'

const PAGE_PATH = 'docs/MEASUREMENTS.md'
const RESULTS_DIRECTORY = 'docs/measurements'
const EMPTY_PAGE = '# Measurements\n\n`npm run measure` writes all sections; `npm run measure -- <part>` rewrites one of them.\n'

/** A table of the page. */
export interface Table {
  readonly title: string
  readonly columns: readonly string[]
  readonly rows: ReadonlyArray<ReadonlyArray<string | number>>
}

/** The results of a part, and how to present them. */
export interface Report {
  readonly results: unknown
  readonly tables: readonly Table[]
  readonly charts: readonly Chart[]
}

/** A part of the measurements: a subcommand of the program and a section of the page. */
export abstract class Part {
  abstract readonly name: string
  abstract readonly title: string

  /**
   * Runs the measurement.
   *
   * @param seed seed of the random number generators
   * @returns the report
   */
  abstract measure (seed: number): Promise<Report>
}

/**
 * Measures a part and writes its report.
 *
 * @param part the part
 * @param seed seed of the random number generators
 */
export async function runPart (part: Part, seed: number): Promise<void> {
  const version = execFileSync('git', ['describe', '--always', '--dirty'], { encoding: 'utf8' }).trim()
  const startMs = performance.now()
  const report = await part.measure(seed)
  const elapsedS = Math.round((performance.now() - startMs) / 1_000)
  const command = `npm run measure -- ${part.name} --seed ${seed}`
  const [cpu] = cpus()
  const source = { command, seed, version, node: process.version, cpu: cpu?.model ?? 'unknown', elapsedS }
  mkdirSync(RESULTS_DIRECTORY, { recursive: true })
  writeFileSync(
    `${RESULTS_DIRECTORY}/${part.name}.json`, `${JSON.stringify({ ...source, results: report.results }, undefined, 1)}\n`
  )
  for (const chart of report.charts) writeFileSync(`${RESULTS_DIRECTORY}/${chart.name}.svg`, await renderChart(chart))
  const provenance = `\`${command}\`, version ${version}, Node ${process.version}, ${source.cpu}, ${elapsedS} s.`
  const body = [`## ${part.title}`, provenance, ...report.tables.map(formatTable), ...report.charts.map(formatChart)].join('\n\n')
  const page = existsSync(PAGE_PATH) ? readFileSync(PAGE_PATH, 'utf8') : EMPTY_PAGE
  writeFileSync(PAGE_PATH, replaceSection(page, part.name, body))
}

/**
 * Replaces a section of a page, or appends it if the page has no such section.
 *
 * @param page text of the page
 * @param name name of the section
 * @param body new text of the section
 * @returns the new text of the page
 */
export function replaceSection (page: string, name: string, body: string): string {
  const start = `<!-- section ${name} -->`
  const end = `<!-- end of section ${name} -->`
  const section = `${start}\n${body}\n${end}`
  const from = page.indexOf(start)
  if (from < 0) return `${page.trimEnd()}\n\n${section}\n`
  const to = page.indexOf(end)
  if (to < from) throw new Error(`The section "${name}" has no end marker; add the line "${end}" after it.`)
  return page.slice(0, from) + section + page.slice(to + end.length)
}

/**
 * Formats a number for a table, rounded to three significant digits, or to an integer from 100 on.
 *
 * @param value the number
 * @returns the formatted number, or '-' if it is not finite
 */
export function formatNumber (value: number): string {
  if (!Number.isFinite(value)) return '-'
  if (Math.abs(value) >= 100) return Math.round(value).toLocaleString('en')
  return String(Number(value.toPrecision(3)))
}

/**
 * Formats a table of a page.
 *
 * @param table the table
 * @returns its Markdown text
 */
export function formatTable ({ title, columns, rows }: Table): string {
  const lines = rows.map(row => `| ${row.map(cell => typeof cell === 'number' ? formatNumber(cell) : cell).join(' | ')} |`)
  return [`### ${title}\n`, `| ${columns.join(' | ')} |`, `| ${columns.map(() => '---').join(' | ')} |`, ...lines].join('\n')
}

function formatChart ({ name, title }: Chart): string {
  return `![${title}](measurements/${name}.svg)`
}
