/**
 * Parses JSON text and reports the positions of syntax errors.
 */
import jsonc, { type ParseError } from 'jsonc-parser'
import { err, ok, type Result } from 'neverthrow'
import type { ManifestError } from './validation-error.js'

/**
 * Parses JSON text.
 *
 * @param text the text
 * @returns the value, or every syntax error with its line and column
 *
 * @example
 * const value = parseJson('{"teams": []}')
 */
export function parseJson (text: string): Result<unknown, ManifestError[]> {
  const errors: ParseError[] = []
  const value: unknown = jsonc.parse(text, errors, { disallowComments: true, allowEmptyContent: false })
  if (errors.length === 0) return ok(value)
  return err(errors.map((error) => describeError(text, error)))
}

function describeError (text: string, error: ParseError): ManifestError {
  const before = text.slice(0, error.offset).split('\n')
  const column = (before.at(-1)?.length ?? 0) + 1
  const name = jsonc.printParseErrorCode(error.error)
  return {
    path: '$',
    mistake: `syntax error at line ${before.length}, column ${column}: ${name}`,
    mend: 'Fix the JSON at this position. Comments and trailing commas are not allowed.'
  }
}
