/**
 * Applies new settings to those in use.
 */

import { isDeepStrictEqual } from 'node:util'

/** Names of the settings that differ between two versions. */
export interface SettingsChange {
  /** Settings that are in use from now on. */
  readonly applied: readonly string[]
  /** Settings that are used only after a restart of the process. */
  readonly restartRequired: readonly string[]
}

/**
 * Copies those settings that can change while the process runs. The others stay as they are.
 *
 * @param current the settings in use, which are changed
 * @param next the new settings
 * @param changeable names of the settings that can change
 */
export function applySettings<T extends object> (current: T, next: T, changeable: ReadonlyArray<keyof T>): SettingsChange {
  const applied: string[] = []
  const restartRequired: string[] = []
  for (const name of new Set([...Object.keys(current), ...Object.keys(next)]) as Set<string & keyof T>) {
    if (isDeepStrictEqual(current[name], next[name])) continue
    if (!changeable.includes(name)) {
      restartRequired.push(name)
      continue
    }
    current[name] = next[name]
    applied.push(name)
  }
  return { applied, restartRequired }
}
