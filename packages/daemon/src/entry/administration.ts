/**
 * Administration endpoints that read and change the configuration.
 */
import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { createJsonResponse } from './json-response.js'
import { readJson } from './body.js'
import { HttpProblem, createProblemResponse, createBadRequest, createHttpProblem, type Problem } from './problem.js'
import { findObject, readDelta, publishDelta } from './publication.js'
import type { Context } from 'hono'
import type { Change } from '@fireflymount/manifest/delta'
import type { Section } from '@fireflymount/manifest/manifest'
import type { ApiContext } from './api-context.js'

export const MAX_PUBLICATION_BYTES = 1_000_000
const AGE_HEADER = 'fireflymount-configuration-age-ms'

/**
 * Handles `GET /v1/admin/configuration`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns the complete manifest, with its revision as entity tag
 */
export function onConfiguration (api: ApiContext, context: Context): Response {
  const { revision, manifest } = api.configuration.current()
  const headers = { etag: formatEntityTag(revision), [AGE_HEADER]: String(Math.round(api.configuration.ageMs())) }
  if (context.req.header('if-none-match') === headers.etag) return new Response(null, { status: 304, headers })
  return createJsonResponse(manifest, 200, headers)
}

/**
 * Handles `GET /v1/admin/configuration/{section}/{name}`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns the object, with the revision of its last change as entity tag, or a problem
 */
export function onObject (api: ApiContext, context: Context): Response {
  const { section, name } = readObjectPath(context)
  const { manifest, revision } = api.configuration.current()
  const object = findObject(manifest, section, name)
  if (object === undefined) return createNoSuchObjectResponse(section, name)
  return createJsonResponse(object, 200, { etag: formatEntityTag(api.configuration.changedAt(section, name) ?? revision) })
}

/**
 * Handles `PUT /v1/admin/configuration/{section}/{name}`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns the new revision, or a problem
 */
export async function onPut (api: ApiContext, context: Context): Promise<Response> {
  const body = await readJson(context.req.raw, MAX_PUBLICATION_BYTES)
  if (body.isErr()) return createProblemResponse(body.error)
  if (typeof body.value !== 'object' || body.value === null || Array.isArray(body.value)) {
    return createProblemResponse(createBadRequest('The body must be the complete object.'))
  }
  const { section, name } = readObjectPath(context)
  return await changeObject(api, context, { section: section as Section, name, value: { name, ...body.value } })
}

/**
 * Handles `DELETE /v1/admin/configuration/{section}/{name}`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns the new revision, or a problem
 */
export async function onRemove (api: ApiContext, context: Context): Promise<Response> {
  const { section, name } = readObjectPath(context)
  const object = findObject(api.configuration.current().manifest, section, name)
  if (object === undefined) return createNoSuchObjectResponse(section, name)
  return await changeObject(api, context, { section: section as Section, name })
}

/**
 * Handles `PATCH /v1/admin/configuration`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns the new revision, or a problem
 */
export async function onPatch (api: ApiContext, context: Context): Promise<Response> {
  const body = await readJson(context.req.raw, MAX_PUBLICATION_BYTES)
  if (body.isErr()) return createProblemResponse(body.error)
  const delta = readDelta(body.value)
  if (delta.isErr()) return createProblemResponse(delta.error)
  const outcome = await publishDelta(api, delta.value)
  api.metrics.count(`publications.${outcome.isOk() ? 'accepted' : 'refused'}`)
  return outcome.match(({ revision }) => createRevisionResponse(revision, delta.value.publish), createProblemResponse)
}

async function changeObject (api: ApiContext, context: Context, change: Change): Promise<Response> {
  const base = findBase(api, context, change)
  if (base.isErr()) return createProblemResponse(base.error)
  const delta = readDelta({ base: base.value, changes: [change], publish: context.req.header('idempotency-key') ?? randomUUID() })
  if (delta.isErr()) return createProblemResponse(delta.error)
  const outcome = await publishDelta(api, delta.value)
  api.metrics.count(`publications.${outcome.isOk() ? 'accepted' : 'refused'}`)
  return outcome.match(({ revision }) => createRevisionResponse(revision, delta.value.publish), createChangeProblemResponse)
}

/** Determines the base revision of the change from the If-Match or If-None-Match header. */
function findBase (api: ApiContext, context: Context, { section, name }: Change): Result<number, Problem> {
  const { revision, manifest } = api.configuration.current()
  if (context.req.header('if-none-match') === '*') {
    if (findObject(manifest, section, name) === undefined) return ok(revision)
    return err(createHttpProblem(HttpProblem.PreconditionFailed, `The object ${section}/${name} already exists. Send If-Match with its revision to replace it.`))
  }
  const match = context.req.header('if-match')
  if (match === undefined) {
    return err(createHttpProblem(HttpProblem.PreconditionMissing, 'Send If-Match with the revision from the ETag, or "If-None-Match: *" for a new object.'))
  }
  const base = /^"(-1|\d{1,15})"$/.exec(match)?.[1]
  if (base !== undefined) return ok(Number(base))
  return err(createBadRequest('If-Match must be one revision in quotes, as in the ETag, such as "41".'))
}

function createChangeProblemResponse (problem: Problem): Response {
  if (problem.changed === undefined) return createProblemResponse(problem)
  return createProblemResponse(createHttpProblem(HttpProblem.PreconditionFailed, problem.detail, { changed: problem.changed }))
}

function createRevisionResponse (revision: number, publish: string): Response {
  return createJsonResponse({ revision, publish }, 200, { etag: formatEntityTag(revision) })
}

function createNoSuchObjectResponse (section: string, name: string): Response {
  return createProblemResponse(createHttpProblem(HttpProblem.UnknownResource, `There is no object ${section}/${name} in the configuration.`))
}

function readObjectPath (context: Context): { section: string, name: string } {
  return { section: context.req.param('section') ?? '', name: context.req.param('name') ?? '' }
}

function formatEntityTag (revision: number): string {
  return `"${revision}"`
}
