/**
 * Commands on the configuration: apply, plan, validate, get.
 */
import { isDeepStrictEqual } from 'node:util'
import { err, ok, type Result } from 'neverthrow'
import { createListOutput, createObjectOutput, type ActionContext, type ActionOutput } from './action.js'
import { createPlan, readEffectiveConfiguration, readManifestFile, type Plan } from './manifest.js'
import { publishPlan } from './publish.js'
import { createUsageError, type Failure } from './failure.js'
import type { Section } from '@fireflymount/manifest/manifest'
import type { Row, Terminal } from './terminal.js'

/** Printed if the outcome of `apply` stays unknown. */
const PLAN_ADVICE = 'Run "fireflymount plan" with the same file to see which changes are not in effect.'

/**
 * Validates a manifest file without a server.
 *
 * @param file the path of the file
 * @param terminal from which the standard input is read
 * @returns the number of objects that it declares, or all validation errors
 */
export async function validate (file: string, terminal: Terminal): Promise<Result<ActionOutput, Failure>> {
  const parsed = await readManifestFile(file, terminal)
  return parsed.map(({ manifest, sections }) => {
    const rows = [...sections].map((section) => ({ section, objects: manifest[section].length }))
    return createListOutput(['section', 'objects'], rows)
  })
}

/**
 * Shows what `apply` would change.
 *
 * @param context the client and the terminal
 * @param file the path of the manifest file
 * @returns the changes
 */
export async function plan (context: ActionContext, file: string): Promise<Result<ActionOutput, Failure>> {
  const planned = await findPlan(context, file)
  return planned.map((changePlan) => {
    const rows = listChanges(changePlan)
    const text = rows.length === 0 ? 'Nothing to change.\n' : createListOutput(['action', 'object', 'fields'], rows).text
    return { value: { base: changePlan.base, changes: rows }, text: `${text}Based on revision ${changePlan.base}.\n` }
  })
}

/**
 * Changes the configuration to that of a manifest file.
 *
 * @param context the client and the terminal
 * @param file the path of the manifest file
 * @returns the revision at which it is in effect
 */
export async function apply (context: ActionContext, file: string): Promise<Result<ActionOutput, Failure>> {
  const planned = await findPlan(context, file)
  if (planned.isErr()) return err(planned.error)
  const changes = listChanges(planned.value)
  if (changes.length === 0) {
    return ok({
      value: { revision: planned.value.base, changes }, text: `Nothing to change at revision ${planned.value.base}.\n`
    })
  }
  const published = await publishPlan(context.client, planned.value, PLAN_ADVICE)
  return published.map(({ revision, publish, settled }) => {
    const table = createListOutput(['action', 'object', 'fields'], changes).text
    const remarks = settled ? ['The answer was lost. The configuration was read again, and the changes are in effect.'] : []
    return { value: { revision, publish, settled, changes }, text: `${table}In effect at revision ${revision}.\n`, remarks }
  })
}

/**
 * Shows a section of the configuration, or one object.
 *
 * @param context the client and the terminal
 * @param section the section
 * @param name the object's name; absent for the whole section
 * @returns the objects
 */
export async function get (context: ActionContext, section: Section, name?: string): Promise<Result<ActionOutput, Failure>> {
  const effective = await readEffectiveConfiguration(context.client)
  if (effective.isErr()) return err(effective.error)
  const objects: readonly Row[] = effective.value.manifest[section].map((each) => ({ ...each }))
  if (name === undefined) return ok(createListOutput(listColumns(objects), objects))
  const object = objects.find((each) => each.name === name)
  if (object !== undefined) return ok(createObjectOutput(object))
  return err(createUsageError(`There is no "${name}" in ${section}. Run "fireflymount get ${section}" to list all.`))
}

async function findPlan (context: ActionContext, file: string): Promise<Result<Plan, Failure>> {
  const parsed = await readManifestFile(file, context.terminal)
  if (parsed.isErr()) return err(parsed.error)
  return await createPlan(context.client, parsed.value)
}

function listChanges ({ before, changes }: Plan): Row[] {
  return changes.map(({ section, name, value }) => {
    const old = before[section].find((each) => each.name === name)
    const action = value === undefined ? 'remove' : old === undefined ? 'add' : 'change'
    return { action, object: `${section}/${name}`, fields: action === 'change' ? listFields(old!, value as object) : undefined }
  })
}

/** Lists the names of the fields that differ. Their values are omitted, because they can be long. */
function listFields (old: object, value: object): string {
  const fields = new Set([...Object.keys(old), ...Object.keys(value)])
  const differing = [...fields].filter((field) => !isDeepStrictEqual(Reflect.get(old, field), Reflect.get(value, field)))
  return differing.join(', ')
}

function listColumns (objects: readonly Row[]): string[] {
  return objects.length === 0 ? ['name'] : Object.keys(objects[0]!)
}
