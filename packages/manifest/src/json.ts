/**
 * Parses JSON text and tells where a syntax error stands.
 */
import jsonc, { type ParseError } from 'jsonc-parser'
import { err, ok, type Result } from 'neverthrow'
import type { ManifestError } from './mistake.js'

/**
 * Parses JSON text.
 *
 * @param file the text
 * @returns the value, or every syntax error with its line and column
 *
 * @example
 * const value = parseJson('{"teams": []}')
 */
export function parseJson (file: string): Result<unknown, ManifestError[]> {
  const errors: ParseError[] = []
  const value: unknown = jsonc.parse(file, errors, { disallowComments: true, allowEmptyContent: false })
  if (errors.length === 0) return ok(value)
  return err(errors.map((error) => describeError(file, error)))
}

function describeError (file: string, error: ParseError): ManifestError {
  const before = file.slice(0, error.offset).split('\n')
  const column = (before.at(-1)?.length ?? 0) + 1
  const name = jsonc.printParseErrorCode(error.error)
  return {
    path: '$',
    mistake: `syntax error at line ${before.length}, column ${column}: ${name}`,
    mend: 'Mend the JSON there; comments and trailing commas are not allowed.'
  }
}
