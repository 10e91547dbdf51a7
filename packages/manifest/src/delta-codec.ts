/**
 * Checks deltas as they stand in the log or arrive from a publisher.
 */
import { err, ok, type Result } from 'neverthrow'
import { anything, choice, integer, list, maybe, object, readMistakes, text, type Checked } from './check.js'
import { NameCodec } from './codec.js'
import type { Change, Delta } from './delta.js'
import { Section } from './manifest.js'
import { formatMistakes, type ManifestError } from './mistake.js'

/** Most changes in one delta. */
export const MAX_CHANGES = 10_000

const ChangeCodec: Checked<Change> = object({
  section: choice(Object.values(Section)),
  name: NameCodec,
  value: maybe(anything)
})

/** The codec of a delta. */
export const DeltaCodec: Checked<Delta> = object({
  publish: text('a publish id of 1 to 64 letters, digits, dots and hyphens', /^[A-Za-z0-9.-]{1,64}$/),
  base: integer({ least: -1, most: Number.MAX_SAFE_INTEGER }),
  changes: list(ChangeCodec, { least: 1, most: MAX_CHANGES })
})

/**
 * Checks the shape of a delta; its objects are checked when it is folded.
 *
 * @param value the parsed JSON
 * @returns the delta, or all mistakes
 */
export function parseDelta (value: unknown): Result<Delta, ManifestError[]> {
  const decoded = DeltaCodec.decode(value)
  if (decoded.isLeft()) return err(formatMistakes(readMistakes(decoded.extract() as string)))
  return ok(decoded.extract() as Delta)
}
