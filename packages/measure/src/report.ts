/**
 * Writes what was measured: JSON, pictures and the tables of docs/MEASUREMENTS.md.
 */
import { execFileSync } from 'node:child_process'
import { mkdirSync, existsSync, readFileSync, writeFileSync } from 'node:fs'
import { cpus } from 'node:os'
import type { Chart } from './chart.js'
import { renderChart } from './chart.js'

const PAGE = 'docs/MEASUREMENTS.md'
const FOLDER = 'docs/measurements'
const PAGE_START = '# Measurements\n\nEach section is written by `npm run measure`; `npm run measure -- <section>` writes one of them anew.\n'

/** A table of the page. */
export interface Table {
  readonly title: string
  readonly columns: readonly string[]
  readonly rows: ReadonlyArray<ReadonlyArray<string | number>>
}

/** What one part measured. */
export interface Report {
  readonly results: unknown
  readonly tables: readonly Table[]
  readonly charts: readonly Chart[]
}

/** A part of the measurements, which is a subcommand and a section of the page. */
export abstract class Part {
  abstract readonly name: string
  abstract readonly title: string

  /**
   * Measures.
   *
   * @param seed seed of everything random
   * @returns the report
   */
  abstract measure (seed: number): Promise<Report>
}

/**
 * Measures a part and writes its report.
 *
 * @param part the part
 * @param seed seed of everything random
 */
export async function runPart (part: Part, seed: number): Promise<void> {
  const version = execFileSync('git', ['describe', '--always', '--dirty'], { encoding: 'utf8' }).trim()
  const startMs = performance.now()
  const report = await part.measure(seed)
  const elapsedS = Math.round((performance.now() - startMs) / 1_000)
  const command = `npm run measure -- ${part.name} --seed ${seed}`
  const [cpu] = cpus()
  const source = { command, seed, version, node: process.version, cpu: cpu?.model ?? 'unknown', elapsedS }
  mkdirSync(FOLDER, { recursive: true })
  writeFileSync(`${FOLDER}/${part.name}.json`, `${JSON.stringify({ ...source, results: report.results }, undefined, 1)}\n`)
  for (const chart of report.charts) writeFileSync(`${FOLDER}/${chart.name}.svg`, await renderChart(chart))
  const where = `\`${command}\`, version ${version}, Node ${process.version}, ${source.cpu}, ${elapsedS} s.`
  const body = [`## ${part.title}`, where, ...report.tables.map(formatTable), ...report.charts.map(formatChart)].join('\n\n')
  const page = existsSync(PAGE) ? readFileSync(PAGE, 'utf8') : PAGE_START
  writeFileSync(PAGE, replaceSection(page, part.name, body))
}

/**
 * Replaces a section of a page, or adds it at the end.
 *
 * @param page the page
 * @param name the section's name
 * @param body its new text
 * @returns the new page
 */
export function replaceSection (page: string, name: string, body: string): string {
  const start = `<!-- section ${name} -->`
  const end = `<!-- end of section ${name} -->`
  const section = `${start}\n${body}\n${end}`
  const from = page.indexOf(start)
  if (from < 0) return `${page.trimEnd()}\n\n${section}\n`
  const to = page.indexOf(end)
  if (to < from) throw new Error(`The section "${name}" has no end; add the line "${end}" after it.`)
  return page.slice(0, from) + section + page.slice(to + end.length)
}

/**
 * Rounds a figure for a table.
 *
 * @param value the figure
 * @returns three digits or more
 */
export function round (value: number): string {
  if (!Number.isFinite(value)) return '-'
  if (Math.abs(value) >= 100) return Math.round(value).toLocaleString('en')
  return String(Number(value.toPrecision(3)))
}

/**
 * Formats a table of a page.
 *
 * @param table the table
 * @returns Markdown
 */
export function formatTable ({ title, columns, rows }: Table): string {
  const lines = rows.map(row => `| ${row.map(cell => typeof cell === 'number' ? round(cell) : cell).join(' | ')} |`)
  return [`### ${title}\n`, `| ${columns.join(' | ')} |`, `| ${columns.map(() => '---').join(' | ')} |`, ...lines].join('\n')
}

function formatChart ({ name, title }: Chart): string {
  return `![${title}](measurements/${name}.svg)`
}
