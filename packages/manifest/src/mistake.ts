/**
 * Mistakes in documents that operators write.
 */

/** One mistake, where it stands and how to mend it. */
export interface ManifestError {
  /** JSON path of the wrong value, e.g. `$.teams[2].share`. */
  readonly path: string
  /** What is wrong. */
  readonly mistake: string
  /** What to do about it. */
  readonly mend: string
}

/** Steps from the root of a document to a value. */
export type Path = ReadonlyArray<string | number>

/** A mistake whose place is relative to the value that was checked. */
export interface Mistake {
  readonly path: Path
  readonly mistake: string
  readonly mend: string
}

const PLAIN_STEP = /^[A-Za-z_$][A-Za-z0-9_$]*$/

/**
 * Writes a path as a JSON path.
 *
 * @param path the steps from the root
 * @returns the JSON path
 *
 * @example
 * formatPath(['teams', 2, 'share']) // '$.teams[2].share'
 */
export function formatPath (path: Path): string {
  let text = '$'
  for (const step of path) {
    if (typeof step === 'string' && PLAIN_STEP.test(step)) text += `.${step}`
    else text += `[${JSON.stringify(step)}]`
  }
  return text
}

/**
 * Moves mistakes below a step.
 *
 * @param step field name or index of the value that was checked
 * @param mistakes mistakes relative to that value
 * @returns the same mistakes, relative to the value around it
 */
export function nestMistakes (step: string | number, mistakes: readonly Mistake[]): Mistake[] {
  return mistakes.map((found) => ({ ...found, path: [step, ...found.path] }))
}

/**
 * Turns mistakes into errors with a JSON path each.
 *
 * @param mistakes mistakes relative to the root of the document
 * @returns the errors, in the same order
 */
export function formatMistakes (mistakes: readonly Mistake[]): ManifestError[] {
  return mistakes.map((found) => ({ path: formatPath(found.path), mistake: found.mistake, mend: found.mend }))
}
