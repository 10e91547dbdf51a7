/**
 * Changes of the configuration, as they stand in the log.
 */
import type { Section } from './manifest.js'

/** One object put (with a value) or removed (without). */
export interface Change {
  readonly section: Section
  readonly name: string
  /** The whole new object; absent when it is removed. */
  readonly value?: unknown
}

/**
 * One publication. It takes effect if no object that it touches has changed after revision `base`
 * and the resulting manifest is valid; otherwise it is rejected, by every reader alike.
 */
export interface Delta {
  /** Unique id that the publisher chose, by which a lost answer is settled. */
  readonly publish: string
  readonly base: number
  readonly changes: readonly Change[]
}
