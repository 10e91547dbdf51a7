/**
 * Validation errors of documents that operators write.
 */

/** One validation error of a manifest, a settings file or another document, with its formatted path and how to fix it. */
export interface ManifestError {
  /** JSON path of the invalid value, e.g. `$.teams[2].share`. */
  readonly path: string
  /** Why the value is invalid. */
  readonly mistake: string
  /** How to fix it. */
  readonly mend: string
}

/** Field names and list indexes that lead from the root of a document to a value. */
export type Path = ReadonlyArray<string | number>

/** A validation error whose path is relative to the value that was validated. */
export interface ValidationError {
  readonly path: Path
  readonly mistake: string
  readonly mend: string
}

/** Keys that are written with a dot; all others are written in brackets. */
const IDENTIFIER_KEY = /^[A-Za-z_$][A-Za-z0-9_$]*$/

/**
 * Formats a path as a JSON path.
 *
 * @param path field names and list indexes from the root
 * @returns the JSON path
 *
 * @example
 * formatPath(['teams', 2, 'share']) // '$.teams[2].share'
 */
export function formatPath (path: Path): string {
  let text = '$'
  for (const key of path) {
    if (typeof key === 'string' && IDENTIFIER_KEY.test(key)) text += `.${key}`
    else text += `[${JSON.stringify(key)}]`
  }
  return text
}

/**
 * Makes the paths of errors relative to the enclosing value.
 *
 * @param key field name or list index of the value that was validated
 * @param errors errors with paths relative to that value
 * @returns the same errors with paths relative to the enclosing value
 */
export function nestErrors (key: string | number, errors: readonly ValidationError[]): ValidationError[] {
  return errors.map((error) => ({ ...error, path: [key, ...error.path] }))
}

/**
 * Formats the paths of errors as JSON paths.
 *
 * @param errors errors with paths relative to the root of the document
 * @returns the errors with JSON paths, in the same order
 */
export function formatErrors (errors: readonly ValidationError[]): ManifestError[] {
  return errors.map((error) => ({ path: formatPath(error.path), mistake: error.mistake, mend: error.mend }))
}
