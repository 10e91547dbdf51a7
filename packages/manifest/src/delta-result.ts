/**
 * The outcome of a delta.
 */
import type { ManifestError } from './validation-error.js'
import type { Section } from './manifest.js'

/** Whether a delta took effect. */
export enum Outcome {
  Accepted = 'accepted',
  /** An object that the delta changes has changed after the base revision of the delta. */
  Conflict = 'conflict',
  /** The delta is malformed, or the resulting manifest would be invalid. */
  Invalid = 'invalid'
}

/** An object that changed after the base revision of a delta. */
export interface Conflict {
  readonly section: Section
  readonly name: string
  /** Revision at which it last changed. */
  readonly changedAt: number
}

/** The outcome of one delta, with the reasons for a rejection. It is the same on every node. */
export interface DeltaResult {
  /** The publish id; empty if the record is not a valid delta. */
  readonly publish: string
  /** Offset of the record. */
  readonly offset: number
  readonly outcome: Outcome
  /** Empty unless the outcome is Outcome.Conflict. */
  readonly conflicts: readonly Conflict[]
  /** Empty unless the outcome is Outcome.Invalid. */
  readonly errors: readonly ManifestError[]
  /** True if an earlier record has the same publish id. The outcome is that of the earlier record, without its details. */
  readonly repeated: boolean
}
