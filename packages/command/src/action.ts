/**
 * Runs the action of a command.
 */
import { err, ok, type Result } from 'neverthrow'
import { createClient, type Options } from './options.js'
import { Format, formatJson, formatTable, type Row, type Terminal } from './terminal.js'
import type { Client } from './client.js'
import type { Failure } from './failure.js'

/** What actions work with. */
export interface Session {
  readonly client: Client
  readonly terminal: Terminal
  readonly format: Format
}

/** What a command prints. */
export interface Outcome {
  /** Printed with --output json. */
  readonly value: unknown
  /** Printed with --output table. */
  readonly text: string
  /** Printed to the standard error, e.g. what is missing. */
  readonly remarks?: readonly string[]
  /** Fails after printing. */
  readonly failure?: Failure
}

/**
 * Runs an action that talks to a server, and prints its outcome.
 *
 * @param options the options of the tool
 * @param terminal where the outcome is printed
 * @param action the action
 * @returns the failure, if there is one
 */
export async function runAction (
  options: Options, terminal: Terminal, action: (session: Session) => Promise<Result<Outcome, Failure>>
): Promise<Result<void, Failure>> {
  const client = await createClient(options, terminal)
  if (client.isErr()) return err(client.error)
  const outcome = await action({ client: client.value, terminal, format: options.output })
  await client.value.close()
  return outcome.andThen((printed) => printOutcome(printed, options.output, terminal))
}

/**
 * Prints an outcome.
 *
 * @param outcome what to print
 * @param format in which form
 * @param terminal where
 * @returns the failure in the outcome, if there is one
 */
export function printOutcome (outcome: Outcome, format: Format, terminal: Terminal): Result<void, Failure> {
  terminal.write(format === Format.Json ? formatJson(outcome.value) : outcome.text)
  for (const remark of outcome.remarks ?? []) terminal.warn(remark + '\n')
  return outcome.failure === undefined ? ok() : err(outcome.failure)
}

/**
 * Describes one object as an outcome: a line for each field.
 *
 * @param object the object
 * @returns the outcome
 */
export function describeObject (object: object): Outcome {
  const rows: Row[] = Object.entries(object).map(([field, value]) => ({ field, value }))
  return { value: object, text: formatTable(['field', 'value'], rows) }
}

/**
 * Describes a list as an outcome.
 *
 * @param columns the fields to print
 * @param rows the objects
 * @returns the outcome
 */
export function describeList (columns: readonly string[], rows: readonly Row[]): Outcome {
  return { value: rows, text: formatTable(columns, rows) }
}
