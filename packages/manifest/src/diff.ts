/**
 * Differences between two manifests.
 */
import { isDeepStrictEqual } from 'node:util'
import type { Change } from './delta.js'
import { Section, type Manifest } from './manifest.js'

/**
 * Lists the changes that turn one manifest into another.
 *
 * @param before the manifest to start from
 * @param after the manifest to reach
 * @returns new and changed objects, then removals; empty if both manifests are equal
 *
 * @example
 * const delta = { publish: randomUUID(), base: revision, changes: diffManifests(current, desired) }
 */
export function diffManifests (before: Manifest, after: Manifest): Change[] {
  const updates: Change[] = []
  const removals: Change[] = []
  for (const section of Object.values(Section)) {
    const remaining = new Map(before[section].map((each) => [each.name, each]))
    for (const value of after[section]) {
      if (!isDeepStrictEqual(remaining.get(value.name), value)) updates.push({ section, name: value.name, value })
      remaining.delete(value.name)
    }
    for (const name of remaining.keys()) removals.push({ section, name })
  }
  return [...updates, ...removals]
}
