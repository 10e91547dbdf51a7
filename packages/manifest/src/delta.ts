/**
 * Changes of the configuration, as they are stored in the log.
 */
import type { Section } from './manifest.js'

/** Adds or replaces one object, or removes it if there is no value. */
export interface Change {
  readonly section: Section
  readonly name: string
  /** The complete new object; absent if the object is removed. */
  readonly value?: unknown
}

/**
 * Changes that are published together. A delta is rejected if its base does not exist, if an object that it changes has changed
 * after revision `base`, or if the resulting manifest is invalid; otherwise it takes effect. A delta with the publish id of an
 * earlier one gets the outcome of that one. All readers of the log reach the same decision.
 */
export interface Delta {
  /** Unique id chosen by the publisher. With it, the publisher can find the outcome if the answer was lost. */
  readonly publish: string
  readonly base: number
  readonly changes: readonly Change[]
}
