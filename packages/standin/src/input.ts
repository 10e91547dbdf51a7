/**
 * Parsers for the input of the stand-ins' HTTP handlers.
 */

/** Parses JSON; undefined if the text is not valid. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Parses a non-negative integer; zero if the text is not one. */
export function parseCount (text: string | undefined): number {
  const count = Number(text)
  return Number.isSafeInteger(count) && count > 0 ? count : 0
}
