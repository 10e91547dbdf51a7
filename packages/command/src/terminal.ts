/**
 * What the tool reads and writes, and how it prints.
 */
import type { Failure } from './failure.js'

/** Forms of output. */
export enum Format {
  Table = 'table',
  Json = 'json'
}

/** The surroundings of the tool. */
export abstract class Terminal {
  /** Writes a result. */
  abstract write (text: string): void
  /** Writes a remark or an error. */
  abstract warn (text: string): void
  /** @returns an environment variable */
  abstract variable (name: string): string | undefined
  /** @returns all of the standard input */
  abstract read (): Promise<string>
}

/** A row of a table; undefined cells are empty. */
export type Row = Readonly<Record<string, unknown>>

/**
 * Formats rows as aligned columns.
 *
 * @param columns the columns' names, which are the fields of the rows
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
 * Formats a value as JSON for people and programs.
 *
 * @param value the value
 * @returns lines that end with a line feed
 */
export function formatJson (value: unknown): string {
  return JSON.stringify(value, null, 2) + '\n'
}

/**
 * Formats a failure with every mistake in it.
 *
 * @param failure the failure
 * @returns lines that end with a line feed
 */
export function formatFailure (failure: Failure): string {
  const lines = [`fireflymount: ${failure.message}`]
  for (const { path, mistake, mend } of failure.details ?? []) lines.push(`  ${path}: ${mistake}. ${mend}`.trimEnd())
  if (failure.retryAfterMs !== undefined) lines.push(`  Try again in ${failure.retryAfterMs} ms.`)
  return lines.join('\n') + '\n'
}

function formatCell (value: unknown): string {
  if (value === undefined || value === null) return ''
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}
