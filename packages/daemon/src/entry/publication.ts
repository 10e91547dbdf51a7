/**
 * Publication of configuration changes on behalf of operators.
 */
import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { parseManifest, parseObject } from '@fireflymount/manifest/codec'
import { parseDelta } from '@fireflymount/manifest/delta-codec'
import { formatMistakes, type ManifestError, type Mistake } from '@fireflymount/manifest/mistake'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { sleep } from '@fireflymount/platform/clock'
import { Misuse, createBadRequest, createMisuse, createProblem, type ChangedObject, type Problem } from './problem.js'
import type { Change, Delta } from '@fireflymount/manifest/delta'
import { Section, type Manifest } from '@fireflymount/manifest/manifest'
import type { Revision } from '../configuration/configuration.js'
import type { Entry } from './parts.js'

/** One record of the log takes 1 MB; the rest is for the envelope. */
const MOST_DELTA_BYTES = 900_000
/** Longest time that this node may lag behind the operator's base revision. */
const LAG_MS = 2000
const LAG_POLL_MS = 20
const SECTIONS: ReadonlySet<string> = new Set(Object.values(Section))

/**
 * Checks the body of a PATCH of the configuration.
 *
 * @param value the body
 * @returns the delta, with a publish id of its own if it had none, or all mistakes at once
 *
 * @example
 * readDelta({ base: 41, changes: [{ section: 'teams', name: 'guild' }] })
 */
export function readDelta (value: unknown): Result<Delta, Problem> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return err(createBadRequest('The body must be an object with base, changes and, if you like, publish.'))
  }
  const delta = parseDelta({ publish: randomUUID(), ...value })
  return delta.mapErr((errors) => createBadRequest(`The delta has ${errors.length} mistake(s).`, errors))
}

/**
 * Publishes a delta after checking what can be checked here.
 *
 * @param entry the parts of the API
 * @param delta the changes with their base revision
 * @returns the revision that includes them, or all mistakes, or what has changed since the base
 *
 * @example
 * const revision = await publishDelta(entry, { publish, base, changes })
 */
export async function publishDelta (entry: Entry, delta: Delta): Promise<Result<Revision, Problem>> {
  const ready = await waitForBase(entry, delta.base)
  if (ready.isErr()) return err(createProblem(ready.error))
  if (JSON.stringify(delta).length > MOST_DELTA_BYTES) {
    return err(createProblem(refuse(Reason.TooLarge, `One publication may have ${MOST_DELTA_BYTES} bytes. Split the changes.`)))
  }
  const changed = findChanged(entry, delta)
  if (changed.length > 0) return err(createConflict(delta, changed))
  const errors = checkChanges(entry, delta)
  if (errors.length > 0) return err(createInvalid(errors))
  const outcome = await entry.configuration.publish(delta)
  return outcome.mapErr((refusal) => explainOutcome(entry, delta, refusal))
}

/**
 * Finds an object of a manifest.
 *
 * @param manifest the manifest
 * @param section the section's name, as it stands in a path
 * @param name the object's name
 * @returns the object, or undefined
 */
export function findObject (manifest: Manifest, section: string, name: string): unknown {
  if (!SECTIONS.has(section)) return undefined
  return manifest[section as Section].find((each) => each.name === name)
}

/** The operator may have read the base from a node that was ahead of this one. */
async function waitForBase (entry: Entry, base: number): Promise<Result<void, Refusal>> {
  const endMs = entry.clock.now() + LAG_MS
  while (entry.configuration.current().revision < base) {
    if (entry.clock.now() >= endMs) {
      return err(refuse(Reason.LogUnavailable, `This node does not know revision ${base} yet. Check the revision, or try again.`))
    }
    await sleep(LAG_POLL_MS)
  }
  return ok()
}

function findChanged (entry: Entry, delta: Delta): ChangedObject[] {
  const { manifest } = entry.configuration.current()
  const changed: ChangedObject[] = []
  for (const { section, name } of delta.changes) {
    const revision = entry.configuration.changedAt(section, name)
    if (revision === undefined || revision <= delta.base) continue
    changed.push({ path: `${section}/${name}`, revision, value: findObject(manifest, section, name) })
  }
  return changed
}

function checkChanges (entry: Entry, delta: Delta): ManifestError[] {
  const errors: ManifestError[] = []
  for (const [index, { section, name, value }] of delta.changes.entries()) {
    if (value === undefined) continue
    const path = ['changes', index, 'value']
    const object = parseObject(section, value)
    const mistakes = object.isErr() ? object.error : checkName(name, object.value)
    errors.push(...formatMistakes(mistakes.map((mistake) => ({ ...mistake, path: [...path, ...mistake.path] }))))
  }
  if (errors.length > 0) return errors
  const result = parseManifest(applyChanges(entry.configuration.current().manifest, delta.changes))
  return result.isErr() ? result.error : []
}

function checkName (name: string, object: object): Mistake[] {
  if ((object as { name?: unknown }).name === name) return []
  return [{ path: ['name'], mistake: `differs from "${name}", the name of the change`, mend: 'Give both the same name.' }]
}

function applyChanges (manifest: Manifest, changes: readonly Change[]): Manifest {
  const sections = new Map<Section, Map<string, unknown>>()
  for (const section of Object.values(Section)) sections.set(section, new Map(manifest[section].map((each) => [each.name, each])))
  for (const { section, name, value } of changes) {
    if (value === undefined) sections.get(section)!.delete(name)
    else sections.get(section)!.set(name, value)
  }
  return Object.fromEntries([...sections].map(([section, objects]) => [section, [...objects.values()]])) as unknown as Manifest
}

function explainOutcome (entry: Entry, delta: Delta, refusal: Refusal): Problem {
  if (refusal.reason === Reason.Conflict) {
    const changed = findChanged(entry, delta)
    return createConflict(delta, changed.length > 0 ? changed : listRemoved(entry, delta))
  }
  if (refusal.reason !== Reason.BadRequest && refusal.reason !== Reason.Malformed) return createProblem(refusal)
  return createInvalid(checkChanges(entry, delta), refusal.detail)
}

function listRemoved (entry: Entry, delta: Delta): ChangedObject[] {
  const gone = delta.changes.filter(({ section, name }) => entry.configuration.changedAt(section, name) === undefined)
  return gone.map(({ section, name }) => ({ path: `${section}/${name}` }))
}

function createConflict (delta: Delta, changed: readonly ChangedObject[]): Problem {
  const names = changed.map((object) => object.path).join(', ')
  const detail = `Changed by someone else after revision ${delta.base}: ${names}. Read the configuration again and repeat your change on it.`
  return { ...createProblem(refuse(Reason.Conflict, detail)), changed }
}

function createInvalid (errors: readonly ManifestError[], detail = `The configuration would have ${errors.length} mistake(s).`): Problem {
  return createMisuse(Misuse.Invalid, `${detail} Nothing was changed.`, { errors })
}
