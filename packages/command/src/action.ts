/**
 * Runs the actions of commands and prints their output.
 */
import { err, ok, type Result } from 'neverthrow'
import { createClient, type GlobalOptions } from './options.js'
import { Format, formatJson, formatTable, type Row, type Terminal } from './terminal.js'
import type { Client } from './client.js'
import type { Failure } from './failure.js'

/** The client and the terminal that an action uses. */
export interface ActionContext {
  readonly client: Client
  readonly terminal: Terminal
  readonly format: Format
}

/** The output of a command. */
export interface ActionOutput {
  /** Printed with --output json. */
  readonly value: unknown
  /** Printed with --output table. */
  readonly text: string
  /** Printed to the standard error, e.g. which shards did not answer. */
  readonly remarks?: readonly string[]
  /** If set, the command fails with it after the output is printed. */
  readonly failure?: Failure
}

/**
 * Runs an action that calls a server, and prints its output.
 *
 * @param options the global options of the tool
 * @param terminal where the output is printed
 * @param action the action
 * @returns the failure, if there is one
 */
export async function runAction (
  options: GlobalOptions, terminal: Terminal, action: (context: ActionContext) => Promise<Result<ActionOutput, Failure>>
): Promise<Result<void, Failure>> {
  const client = await createClient(options, terminal)
  if (client.isErr()) return err(client.error)
  const output = await action({ client: client.value, terminal, format: options.output })
  await client.value.close()
  return output.andThen((value) => printOutput(value, options.output, terminal))
}

/**
 * Prints the output of a command.
 *
 * @param output the output
 * @param format the output format
 * @param terminal where to print
 * @returns the failure in the output, if there is one
 */
export function printOutput (output: ActionOutput, format: Format, terminal: Terminal): Result<void, Failure> {
  terminal.write(format === Format.Json ? formatJson(output.value) : output.text)
  for (const remark of output.remarks ?? []) terminal.warn(remark + '\n')
  return output.failure === undefined ? ok() : err(output.failure)
}

/**
 * Creates the output for an object, whose text has one line for each field.
 *
 * @param object the object
 * @returns the output
 */
export function createObjectOutput (object: object): ActionOutput {
  const rows: Row[] = Object.entries(object).map(([field, value]) => ({ field, value }))
  return { value: object, text: formatTable(['field', 'value'], rows) }
}

/**
 * Creates the output for a list of objects, whose text is a table.
 *
 * @param columns the fields to print
 * @param rows the objects
 * @returns the output
 */
export function createListOutput (columns: readonly string[], rows: readonly Row[]): ActionOutput {
  return { value: rows, text: formatTable(columns, rows) }
}
