/**
 * Input of the stand-ins' HTTP handlers.
 */

/** Parses JSON; undefined if it is none. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Parses a whole number of at least zero; zero if it is none. */
export function parseCount (text: string | undefined): number {
  const count = Number(text)
  return Number.isSafeInteger(count) && count > 0 ? count : 0
}
