/**
 * Validates and publishes configuration changes of operators.
 */
import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { parseManifest, parseObject } from '@fireflymount/manifest/codec'
import { parseDelta } from '@fireflymount/manifest/delta-codec'
import { formatErrors, type ManifestError, type ValidationError } from '@fireflymount/manifest/validation-error'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { sleep } from '@fireflymount/service-clients/clock'
import { HttpProblem, createBadRequest, createHttpProblem, createProblem, type ChangedObject, type Problem } from './problem.js'
import type { Change, Delta } from '@fireflymount/manifest/delta'
import { Section, type Manifest } from '@fireflymount/manifest/manifest'
import type { Revision } from '../configuration/configuration.js'
import type { ApiContext } from './api-context.js'

/**
 * A record of the log is limited to 1 MB (bytes). 100 000 of them are reserved for the fields that the log adds. This constant
 * counts characters of JSON, not bytes, so a delta with many non-ASCII characters can exceed the limit.
 */
const MAX_DELTA_CHARACTERS = 900_000
/** Longest wait for this node to catch up with the base revision of the operator. */
const BASE_REVISION_TIMEOUT_MS = 2000
const BASE_REVISION_POLL_INTERVAL_MS = 20
const SECTIONS: ReadonlySet<string> = new Set(Object.values(Section))

/**
 * Checks the body of a PATCH of the configuration.
 *
 * @param value the body
 * @returns the delta, with a generated publish id if it had none, or all validation errors
 *
 * @example
 * readDelta({ base: 41, changes: [{ section: 'teams', name: 'guild' }] })
 */
export function readDelta (value: unknown): Result<Delta, Problem> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return err(createBadRequest('The body must be an object with base, changes and, optionally, publish.'))
  }
  const delta = parseDelta({ publish: randomUUID(), ...value })
  return delta.mapErr((errors) => createBadRequest(`The delta has ${errors.length} error(s).`, errors))
}

/**
 * Publishes a delta after the checks that this node can make.
 *
 * @param api the dependencies of the API
 * @param delta the changes with their base revision
 * @returns the revision that includes them, or a problem with all validation errors or all objects changed since the base
 *
 * @example
 * const revision = await publishDelta(api, { publish, base, changes })
 */
export async function publishDelta (api: ApiContext, delta: Delta): Promise<Result<Revision, Problem>> {
  const ready = await waitForBase(api, delta.base)
  if (ready.isErr()) return err(createProblem(ready.error))
  if (JSON.stringify(delta).length > MAX_DELTA_CHARACTERS) {
    return err(createProblem(refuse(Reason.TooLarge, `One publication may have at most ${MAX_DELTA_CHARACTERS} characters. Split the changes.`)))
  }
  const changed = findChanged(api, delta)
  if (changed.length > 0) return err(createConflict(delta, changed))
  const errors = checkChanges(api, delta)
  if (errors.length > 0) return err(createInvalid(errors))
  const outcome = await api.configuration.publish(delta)
  return outcome.mapErr((refusal) => explainOutcome(api, delta, refusal))
}

/**
 * Finds an object of a manifest.
 *
 * @param manifest the manifest
 * @param section the section's name, which may be unknown
 * @param name the object's name
 * @returns the object, or undefined
 */
export function findObject (manifest: Manifest, section: string, name: string): unknown {
  if (!SECTIONS.has(section)) return undefined
  return manifest[section as Section].find((each) => each.name === name)
}

/** Waits until this node knows the base revision: the operator may have read it from a node that was ahead of this one. */
async function waitForBase (api: ApiContext, base: number): Promise<Result<void, Refusal>> {
  const endMs = api.clock.now() + BASE_REVISION_TIMEOUT_MS
  while (api.configuration.current().revision < base) {
    if (api.clock.now() >= endMs) {
      return err(refuse(Reason.LogUnavailable, `This node does not know revision ${base} yet. Check the revision or retry.`))
    }
    await sleep(BASE_REVISION_POLL_INTERVAL_MS)
  }
  return ok()
}

function findChanged (api: ApiContext, delta: Delta): ChangedObject[] {
  const { manifest } = api.configuration.current()
  const changed: ChangedObject[] = []
  for (const { section, name } of delta.changes) {
    const revision = api.configuration.changedAt(section, name)
    if (revision === undefined || revision <= delta.base) continue
    changed.push({ path: `${section}/${name}`, revision, value: findObject(manifest, section, name) })
  }
  return changed
}

function checkChanges (api: ApiContext, delta: Delta): ManifestError[] {
  const errors: ManifestError[] = []
  for (const [index, { section, name, value }] of delta.changes.entries()) {
    if (value === undefined) continue
    const path = ['changes', index, 'value']
    const object = parseObject(section, value)
    const objectErrors = object.isErr() ? object.error : checkName(name, object.value)
    errors.push(...formatErrors(objectErrors.map((error) => ({ ...error, path: [...path, ...error.path] }))))
  }
  if (errors.length > 0) return errors
  const result = parseManifest(applyChanges(api.configuration.current().manifest, delta.changes))
  return result.isErr() ? result.error : []
}

function checkName (name: string, object: object): ValidationError[] {
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

function explainOutcome (api: ApiContext, delta: Delta, refusal: Refusal): Problem {
  if (refusal.reason === Reason.Conflict) {
    const changed = findChanged(api, delta)
    return createConflict(delta, changed.length > 0 ? changed : listRemoved(api, delta))
  }
  if (refusal.reason !== Reason.BadRequest && refusal.reason !== Reason.Malformed) return createProblem(refusal)
  return createInvalid(checkChanges(api, delta), refusal.detail)
}

function listRemoved (api: ApiContext, delta: Delta): ChangedObject[] {
  const removed = delta.changes.filter(({ section, name }) => api.configuration.changedAt(section, name) === undefined)
  return removed.map(({ section, name }) => ({ path: `${section}/${name}` }))
}

function createConflict (delta: Delta, changed: readonly ChangedObject[]): Problem {
  const names = changed.map((object) => object.path).join(', ')
  const detail = `Another publication changed these objects after revision ${delta.base}: ${names}. Read the configuration again and repeat your change.`
  return { ...createProblem(refuse(Reason.Conflict, detail)), changed }
}

function createInvalid (errors: readonly ManifestError[], detail = `The configuration would have ${errors.length} error(s).`): Problem {
  return createHttpProblem(HttpProblem.Invalid, `${detail} Nothing was changed.`, { errors })
}
