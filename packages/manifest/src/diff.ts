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
 * @param after the manifest wanted
 * @returns puts of new and changed objects, then removals; empty if both are the same
 *
 * @example
 * const delta = { publish: randomUUID(), base: revision, changes: diffManifests(current, wanted) }
 */
export function diffManifests (before: Manifest, after: Manifest): Change[] {
  const puts: Change[] = []
  const removals: Change[] = []
  for (const section of Object.values(Section)) {
    const old = new Map(before[section].map((each) => [each.name, each]))
    for (const value of after[section]) {
      if (!isDeepStrictEqual(old.get(value.name), value)) puts.push({ section, name: value.name, value })
      old.delete(value.name)
    }
    for (const name of old.keys()) removals.push({ section, name })
  }
  return [...puts, ...removals]
}
