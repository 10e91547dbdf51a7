/**
 * The input and output of the tool, and the formats of its output.
 */
import type { Failure } from './failure.js'

/** Output formats. */
export enum Format {
  Table = 'table',
  Json = 'json'
}

/** The standard streams and the environment variables of the tool; tests replace them. */
export abstract class Terminal {
  /** Writes a result to the standard output. */
  abstract write (text: string): void
  /** Writes a remark or an error to the standard error. */
  abstract warn (text: string): void
  /** @returns the value of an environment variable */
  abstract getVariable (name: string): string | undefined
  /** @returns the complete standard input */
  abstract readInput (): Promise<string>
}

/** A row of a table. Undefined and null cells are printed empty. */
export type Row = Readonly<Record<string, unknown>>

/**
 * Formats rows as aligned columns.
 *
 * @param columns the names of the columns, which are the fields of the rows
 * @param rows the rows
 * @returns lines that end with a line feed
 *
 * @example
 * formatTable(['team', 'share'], [{ team: 'guild', share: 2 }])
 */
export function formatTable (columns: readonly string[], rows: readonly Row[]): string {
  const cells = rows.map((row) => columns.map((column) => formatCell(row[column])))
  const lines = [columns.map((column) => column.toUpperCase()), ...cells]
  const widths = columns.map((_, index) => Math.max(...lines.map((line) => line[index]!.length)))
  const text = lines.map((line) => line.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd())
  return text.join('\n') + '\n'
}

/**
 * Formats a value as indented JSON.
 *
 * @param value the value
 * @returns lines that end with a line feed
 */
export function formatJson (value: unknown): string {
  return JSON.stringify(value, null, 2) + '\n'
}

/**
 * Formats a failure with all its details.
 *
 * @param failure the failure
 * @returns lines that end with a line feed
 */
export function formatFailure (failure: Failure): string {
  const lines = [`fireflymount: ${failure.message}`]
  for (const { path, mistake, mend } of failure.details ?? []) lines.push(`  ${path}: ${mistake}. ${mend}`.trimEnd())
  if (failure.retryAfterMs !== undefined) lines.push(`  Retry in ${failure.retryAfterMs} ms.`)
  return lines.join('\n') + '\n'
}

function formatCell (value: unknown): string {
  if (value === undefined || value === null) return ''
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}
