/**
 * The state of a ledger as JSON values of bounded size.
 */
import type { Item } from './catalog.js'
import type { Section } from './manifest.js'
import type { Outcome } from './verdict.js'

/** Largest part, in characters of JSON. */
const PART_CHARACTERS = 100_000

/** Everything that a ledger holds. */
export interface State {
  readonly revision: number
  readonly horizon: number
  readonly objects: ReadonlyArray<readonly [Section, Item]>
  /** Revisions of removed objects by identifier, oldest first. */
  readonly removed: ReadonlyArray<readonly [string, number]>
  /** Outcomes by publish id, oldest first. */
  readonly decided: ReadonlyArray<readonly [string, Outcome]>
}

/**
 * Splits a state into parts.
 *
 * @param state the state
 * @returns JSON values; each holds a slice of the lists, the first also the revision
 */
export function createParts (state: State): readonly unknown[] {
  return [
    { revision: state.revision, horizon: state.horizon },
    ...chunk(state.objects).map((objects) => ({ objects })),
    ...chunk(state.removed).map((removed) => ({ removed })),
    ...chunk(state.decided).map((decided) => ({ decided }))
  ]
}

/**
 * Joins the parts of a state.
 *
 * @param parts what `createParts` returned
 * @returns the state
 */
export function readParts (parts: readonly unknown[]): State {
  const objects: Array<readonly [Section, Item]> = []
  const removed: Array<readonly [string, number]> = []
  const decided: Array<readonly [string, Outcome]> = []
  let revision = -1
  let horizon = -1
  for (const part of parts as ReadonlyArray<Partial<State>>) {
    revision = part.revision ?? revision
    horizon = part.horizon ?? horizon
    objects.push(...part.objects ?? [])
    removed.push(...part.removed ?? [])
    decided.push(...part.decided ?? [])
  }
  return { revision, horizon, objects, removed, decided }
}

function chunk<T> (items: readonly T[]): T[][] {
  const chunks: T[][] = []
  let size = PART_CHARACTERS
  for (const item of items) {
    const length = JSON.stringify(item).length
    if (size + length > PART_CHARACTERS) {
      chunks.push([])
      size = 0
    }
    chunks.at(-1)?.push(item)
    size += length
  }
  return chunks
}
