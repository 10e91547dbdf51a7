/**
 * Numbers on the command line.
 */
import { InvalidArgumentError } from 'commander'

/** Parses a number of at least zero. */
export function parseNumber (text: string): number {
  const value = Number(text)
  if (text === '' || !Number.isFinite(value) || value < 0) throw new InvalidArgumentError('Give a number of at least 0.')
  return value
}
