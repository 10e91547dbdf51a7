/**
 * Splits a snapshot of the configuration into JSON values of limited size, and joins them again.
 */
import type { CatalogItem } from './catalog.js'
import type { Section } from './manifest.js'
import type { Outcome } from './delta-result.js'

/** Target size of a part: the sum of the lengths of its items as JSON. A single item that is larger gets a part of its own. */
const TARGET_PART_CHARACTERS = 100_000

/** The complete state of a configuration, as a snapshot contains it. */
export interface ConfigurationSnapshot {
  readonly revision: number
  /** Removals at or before this revision may be missing from `removed`. */
  readonly horizon: number
  readonly objects: ReadonlyArray<readonly [Section, CatalogItem]>
  /** Revisions at which objects were removed, by object id, oldest first. */
  readonly removed: ReadonlyArray<readonly [string, number]>
  /** Outcomes of deltas by publish id, oldest first. */
  readonly decided: ReadonlyArray<readonly [string, Outcome]>
}

/**
 * Splits a state into parts.
 *
 * @param state the state
 * @returns JSON values: first one with the revision and the horizon, then one for each slice of a list
 */
export function splitSnapshot (state: ConfigurationSnapshot): readonly unknown[] {
  return [
    { revision: state.revision, horizon: state.horizon },
    ...splitList(state.objects).map((objects) => ({ objects })),
    ...splitList(state.removed).map((removed) => ({ removed })),
    ...splitList(state.decided).map((decided) => ({ decided }))
  ]
}

/**
 * Joins the parts of a state.
 *
 * @param parts what `splitSnapshot` returned
 * @returns the state
 */
export function joinSnapshot (parts: readonly unknown[]): ConfigurationSnapshot {
  const objects: Array<readonly [Section, CatalogItem]> = []
  const removed: Array<readonly [string, number]> = []
  const decided: Array<readonly [string, Outcome]> = []
  let revision = -1
  let horizon = -1
  for (const part of parts as ReadonlyArray<Partial<ConfigurationSnapshot>>) {
    revision = part.revision ?? revision
    horizon = part.horizon ?? horizon
    objects.push(...part.objects ?? [])
    removed.push(...part.removed ?? [])
    decided.push(...part.decided ?? [])
  }
  return { revision, horizon, objects, removed, decided }
}

function splitList<T> (items: readonly T[]): T[][] {
  const chunks: T[][] = []
  let size = TARGET_PART_CHARACTERS
  for (const item of items) {
    const length = JSON.stringify(item).length
    if (size + length > TARGET_PART_CHARACTERS) {
      chunks.push([])
      size = 0
    }
    chunks.at(-1)?.push(item)
    size += length
  }
  return chunks
}
