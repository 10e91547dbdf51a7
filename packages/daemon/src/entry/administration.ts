/**
 * The part of the administration API that reads and changes the configuration.
 */
import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { answerJson } from './answer.js'
import { readJson } from './body.js'
import { Misuse, answerProblem, createBadRequest, createMisuse, type Problem } from './problem.js'
import { findObject, readDelta, publishDelta } from './publication.js'
import type { Context } from 'hono'
import type { Change } from '@fireflymount/manifest/delta'
import type { Section } from '@fireflymount/manifest/manifest'
import type { Entry } from './parts.js'

const MOST_BODY_BYTES = 1_000_000
const AGE_HEADER = 'fireflymount-configuration-age-ms'

/**
 * Handles `GET /v1/admin/configuration`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns the whole manifest, with its revision as entity tag
 */
export function onConfiguration (entry: Entry, context: Context): Response {
  const { revision, manifest } = entry.configuration.current()
  const headers = { etag: formatTag(revision), [AGE_HEADER]: String(Math.round(entry.configuration.ageMs())) }
  if (context.req.header('if-none-match') === headers.etag) return new Response(null, { status: 304, headers })
  return answerJson(manifest, 200, headers)
}

/**
 * Handles `GET /v1/admin/configuration/{section}/{name}`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns the object, with the revision of its last change as entity tag, or a problem
 */
export function onObject (entry: Entry, context: Context): Response {
  const { section, name } = readPlace(context)
  const { manifest, revision } = entry.configuration.current()
  const object = findObject(manifest, section, name)
  if (object === undefined) return refuseObject(section, name)
  return answerJson(object, 200, { etag: formatTag(entry.configuration.changedAt(section, name) ?? revision) })
}

/**
 * Handles `PUT /v1/admin/configuration/{section}/{name}`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns the new revision, or a problem
 */
export async function onPut (entry: Entry, context: Context): Promise<Response> {
  const body = await readJson(context.req.raw, MOST_BODY_BYTES)
  if (body.isErr()) return answerProblem(body.error)
  if (typeof body.value !== 'object' || body.value === null || Array.isArray(body.value)) {
    return answerProblem(createBadRequest('The body must be the whole object.'))
  }
  const { section, name } = readPlace(context)
  return await changeObject(entry, context, { section: section as Section, name, value: { name, ...body.value } })
}

/**
 * Handles `DELETE /v1/admin/configuration/{section}/{name}`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns the new revision, or a problem
 */
export async function onRemove (entry: Entry, context: Context): Promise<Response> {
  const { section, name } = readPlace(context)
  const object = findObject(entry.configuration.current().manifest, section, name)
  if (object === undefined) return refuseObject(section, name)
  return await changeObject(entry, context, { section: section as Section, name })
}

/**
 * Handles `PATCH /v1/admin/configuration`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns the new revision, or a problem
 */
export async function onPatch (entry: Entry, context: Context): Promise<Response> {
  const body = await readJson(context.req.raw, MOST_BODY_BYTES)
  if (body.isErr()) return answerProblem(body.error)
  const delta = readDelta(body.value)
  if (delta.isErr()) return answerProblem(delta.error)
  const outcome = await publishDelta(entry, delta.value)
  entry.metrics.count(`publications.${outcome.isOk() ? 'accepted' : 'refused'}`)
  return outcome.match(({ revision }) => answerRevision(revision, delta.value.publish), answerProblem)
}

async function changeObject (entry: Entry, context: Context, change: Change): Promise<Response> {
  const base = findBase(entry, context, change)
  if (base.isErr()) return answerProblem(base.error)
  const delta = readDelta({ base: base.value, changes: [change], publish: context.req.header('idempotency-key') ?? randomUUID() })
  if (delta.isErr()) return answerProblem(delta.error)
  const outcome = await publishDelta(entry, delta.value)
  entry.metrics.count(`publications.${outcome.isOk() ? 'accepted' : 'refused'}`)
  return outcome.match(({ revision }) => answerRevision(revision, delta.value.publish), answerPrecondition)
}

/** Finds the revision that the change is based on, from the preconditions of HTTP. */
function findBase (entry: Entry, context: Context, { section, name }: Change): Result<number, Problem> {
  const { revision, manifest } = entry.configuration.current()
  if (context.req.header('if-none-match') === '*') {
    if (findObject(manifest, section, name) === undefined) return ok(revision)
    return err(createMisuse(Misuse.PreconditionFailed, `There is an object ${section}/${name} already. Send If-Match with its revision to replace it.`))
  }
  const match = context.req.header('if-match')
  if (match === undefined) {
    return err(createMisuse(Misuse.PreconditionMissing, 'Send If-Match with the revision from the ETag, or "If-None-Match: *" for a new object.'))
  }
  const base = /^"(-1|\d{1,15})"$/.exec(match)?.[1]
  if (base !== undefined) return ok(Number(base))
  return err(createBadRequest('If-Match must be one revision in quotes, as in the ETag, such as "41".'))
}

function answerPrecondition (problem: Problem): Response {
  if (problem.changed === undefined) return answerProblem(problem)
  return answerProblem(createMisuse(Misuse.PreconditionFailed, problem.detail, { changed: problem.changed }))
}

function answerRevision (revision: number, publish: string): Response {
  return answerJson({ revision, publish }, 200, { etag: formatTag(revision) })
}

function refuseObject (section: string, name: string): Response {
  return answerProblem(createMisuse(Misuse.UnknownRoute, `There is no object ${section}/${name} in the configuration.`))
}

function readPlace (context: Context): { section: string, name: string } {
  return { section: context.req.param('section') ?? '', name: context.req.param('name') ?? '' }
}

function formatTag (revision: number): string {
  return `"${revision}"`
}
