/**
 * Commands on the configuration: apply, plan, validate, get.
 */
import { isDeepStrictEqual } from 'node:util'
import { err, ok, type Result } from 'neverthrow'
import { describeList, describeObject, type Outcome, type Session } from './action.js'
import { planDraft, readDraft, readEffective, type Plan } from './manifest.js'
import { publishPlan } from './publish.js'
import { createMisuse, type Failure } from './failure.js'
import type { Section } from '@fireflymount/manifest/manifest'
import type { Row, Terminal } from './terminal.js'

/**
 * Checks a manifest file without a server.
 *
 * @param file the file
 * @param terminal where the standard input is read
 * @returns how many objects it declares, or all mistakes
 */
export async function validate (file: string, terminal: Terminal): Promise<Result<Outcome, Failure>> {
  const draft = await readDraft(file, terminal)
  return draft.map(({ manifest, sections }) => {
    const rows = [...sections].map((section) => ({ section, objects: manifest[section].length }))
    return describeList(['section', 'objects'], rows)
  })
}

/**
 * Shows what `apply` would change.
 *
 * @param session the client and the terminal
 * @param file the manifest file
 * @returns the changes
 */
export async function plan (session: Session, file: string): Promise<Result<Outcome, Failure>> {
  const found = await findPlan(session, file)
  return found.map((planned) => {
    const rows = listChanges(planned)
    const text = rows.length === 0 ? 'Nothing to change.\n' : describeList(['action', 'object', 'fields'], rows).text
    return { value: { base: planned.base, changes: rows }, text: `${text}Based on revision ${planned.base}.\n` }
  })
}

/**
 * Brings a manifest file into effect.
 *
 * @param session the client and the terminal
 * @param file the manifest file
 * @returns the revision at which it is in effect
 */
export async function apply (session: Session, file: string): Promise<Result<Outcome, Failure>> {
  const found = await findPlan(session, file)
  if (found.isErr()) return err(found.error)
  const changes = listChanges(found.value)
  if (changes.length === 0) {
    return ok({ value: { revision: found.value.base, changes }, text: `Nothing to change at revision ${found.value.base}.\n` })
  }
  const published = await publishPlan(session.client, found.value)
  return published.map(({ revision, publish, settled }) => {
    const table = describeList(['action', 'object', 'fields'], changes).text
    const remarks = settled ? ['The answer was lost; reading back showed that the changes are in effect.'] : []
    return { value: { revision, publish, settled, changes }, text: `${table}In effect at revision ${revision}.\n`, remarks }
  })
}

/**
 * Shows a section of the configuration, or one object.
 *
 * @param session the client and the terminal
 * @param section the section
 * @param name the object's name; absent for the whole section
 * @returns the objects
 */
export async function get (session: Session, section: Section, name?: string): Promise<Result<Outcome, Failure>> {
  const effective = await readEffective(session.client)
  if (effective.isErr()) return err(effective.error)
  const objects: readonly Row[] = effective.value.manifest[section].map((each) => ({ ...each }))
  if (name === undefined) return ok(describeList(listColumns(objects), objects))
  const object = objects.find((each) => each.name === name)
  if (object !== undefined) return ok(describeObject(object))
  return err(createMisuse(`There is no "${name}" in ${section}. Run "fireflymount get ${section}" to see all.`))
}

async function findPlan (session: Session, file: string): Promise<Result<Plan, Failure>> {
  const draft = await readDraft(file, session.terminal)
  if (draft.isErr()) return err(draft.error)
  return await planDraft(session.client, draft.value)
}

function listChanges ({ before, changes }: Plan): Row[] {
  return changes.map(({ section, name, value }) => {
    const old = before[section].find((each) => each.name === name)
    const action = value === undefined ? 'remove' : old === undefined ? 'add' : 'change'
    return { action, object: `${section}/${name}`, fields: action === 'change' ? listFields(old!, value as object) : undefined }
  })
}

/** Names the fields that differ. Values are left out: they can be long. */
function listFields (old: object, value: object): string {
  const fields = new Set([...Object.keys(old), ...Object.keys(value)])
  const differing = [...fields].filter((field) => !isDeepStrictEqual(Reflect.get(old, field), Reflect.get(value, field)))
  return differing.join(', ')
}

function listColumns (objects: readonly Row[]): string[] {
  return objects.length === 0 ? ['name'] : Object.keys(objects[0]!)
}
