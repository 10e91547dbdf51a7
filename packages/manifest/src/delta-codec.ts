/**
 * Validates deltas that are read from the log or received from a publisher.
 */
import { err, ok, type Result } from 'neverthrow'
import { anything, choice, integer, list, object, optional, readErrors, text, type FieldCodec } from './field-codec.js'
import { NameCodec } from './codec.js'
import type { Change, Delta } from './delta.js'
import { Section } from './manifest.js'
import { formatErrors, type ManifestError } from './validation-error.js'

/** Maximum number of changes in one delta. */
export const MAX_CHANGES = 10_000

const ChangeCodec: FieldCodec<Change> = object({
  section: choice(Object.values(Section)),
  name: NameCodec,
  value: optional(anything)
})

/** The codec of a delta. */
export const DeltaCodec: FieldCodec<Delta> = object({
  publish: text('a publish id of 1 to 64 letters, digits, dots and hyphens', /^[A-Za-z0-9.-]{1,64}$/),
  base: integer({ min: -1, max: Number.MAX_SAFE_INTEGER }),
  changes: list(ChangeCodec, { min: 1, max: MAX_CHANGES })
})

/**
 * Validates the structure of a delta. Its objects are validated when the delta is applied.
 *
 * @param value the parsed JSON
 * @returns the delta, or all errors
 */
export function parseDelta (value: unknown): Result<Delta, ManifestError[]> {
  const decoded = DeltaCodec.decode(value)
  if (decoded.isLeft()) return err(formatErrors(readErrors(decoded.extract() as string)))
  return ok(decoded.extract() as Delta)
}
