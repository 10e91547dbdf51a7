/**
 * Parses numbers on the command line.
 */
import { InvalidArgumentError } from 'commander'

/** Parses a non-negative number. */
export function parseNumber (text: string): number {
  const value = Number(text)
  if (text === '' || !Number.isFinite(value) || value < 0) throw new InvalidArgumentError('It must be a number of at least 0.')
  return value
}
