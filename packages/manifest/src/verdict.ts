/**
 * What a delta came to when it was folded.
 */
import type { ManifestError } from './mistake.js'
import type { Section } from './manifest.js'

/** Whether a delta took effect. */
export enum Outcome {
  Accepted = 'accepted',
  /** An object that it touches has changed after its base revision. */
  Conflict = 'conflict',
  /** The resulting manifest would not be valid. */
  Invalid = 'invalid'
}

/** An object that changed after the base revision of a delta. */
export interface Conflict {
  readonly section: Section
  readonly name: string
  /** Revision at which it last changed. */
  readonly changedAt: number
}

/** The outcome of one publication; the same on every node. */
export interface Verdict {
  /** Publish id; empty if the record is no delta. */
  readonly publish: string
  /** Offset of the record that decided it. */
  readonly offset: number
  readonly outcome: Outcome
  /** With Outcome.Conflict. */
  readonly conflicts: readonly Conflict[]
  /** With Outcome.Invalid. */
  readonly errors: readonly ManifestError[]
  /** The publish id was decided before; this is that outcome, without its details. */
  readonly repeated: boolean
}
