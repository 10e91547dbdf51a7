/**
 * Administration endpoints that query the owners of the shards.
 */
import { MessageKind, type Evacuate } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { ObjectiveCountsCodec, type ObjectiveCounts } from '@fireflymount/protocol/survey'
import { createJsonResponse } from './json-response.js'
import { readJson } from './body.js'
import { createProblemResponse, createBadRequest, createProblem } from './problem.js'
import { shardOf } from './submission.js'
import type { Context } from 'hono'
import type { ApiContext } from './api-context.js'

const SURVEY_TIMEOUT_MS = 2000
/** Timeout of a request to the owner, other than a survey. */
const OWNER_REQUEST_TIMEOUT_MS = 5000
/** Limit on owners that are queried in parallel. */
const MAX_CONCURRENT_SURVEYS = 16

/** A shard whose report could not be obtained. */
interface MissingShard {
  readonly shard: string
  readonly reason: Reason
  readonly detail: string
}

/** The reports of the owners, and the shards without a report. */
interface SurveyResults {
  readonly reports: Readonly<Record<string, unknown>>[]
  readonly missing: MissingShard[]
}

/**
 * Handles `GET /v1/admin/status`.
 *
 * @param api the dependencies of the API
 * @returns the nodes, the reports of the shards, and the shards without a report
 */
export async function onClusterStatus (api: ApiContext): Promise<Response> {
  const { reports, missing } = await surveyAll(api)
  const shards = reports.map(({ burn: _, ...shard }) => shard)
  return createJsonResponse({
    node: api.settings.node,
    phase: api.lifecycle.current(),
    revision: api.configuration.current().revision,
    configurationAgeMs: Math.round(api.configuration.ageMs()),
    requestsInProgress: api.admission.inProgress(),
    nodes: api.router.nodes(),
    shards,
    missing
  })
}

/**
 * Handles `GET /v1/admin/shards/{upstream}`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns the owner's report, or a problem
 */
export async function onShard (api: ApiContext, context: Context): Promise<Response> {
  const shard = context.req.param('upstream') ?? ''
  if (!api.configurationIndex.hasUpstream(shard)) return createNoSuchUpstreamResponse(shard)
  const answer = await api.router.askOwner(shard, { kind: MessageKind.Survey, shard }, SURVEY_TIMEOUT_MS)
  return answer.match((report) => createJsonResponse(report), createRefusalResponse)
}

/**
 * Handles `GET /v1/admin/jobs/{id}/explanation`.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @returns why the job is waiting, or a problem
 */
export async function onAdminExplain (api: ApiContext, context: Context): Promise<Response> {
  const job = context.req.param('id') ?? ''
  const shard = shardOf(job)
  if (shard === undefined || !api.configurationIndex.hasUpstream(shard)) {
    return createRefusalResponse(refuse(Reason.NoSuchJob, 'There is no job with this id.'))
  }
  const answer = await api.router.askOwner(shard, { kind: MessageKind.Explain, job }, OWNER_REQUEST_TIMEOUT_MS)
  return answer.match((explanation) => createJsonResponse(explanation), createRefusalResponse)
}

/**
 * Handles `POST /v1/admin/workers/{upstream}/{worker}/drain`.
 *
 * @param api the dependencies of the API
 * @param context the request context; the body `{"drained": false}` undoes the drain
 * @returns the worker's new state, or a problem
 */
export async function onDrain (api: ApiContext, context: Context): Promise<Response> {
  const shard = context.req.param('upstream') ?? ''
  if (!api.configurationIndex.hasUpstream(shard)) return createNoSuchUpstreamResponse(shard)
  const body = await readJson(context.req.raw, api.settings.limits.bodyBytes)
  if (body.isErr()) return createProblemResponse(body.error)
  const drained = (body.value as { drained?: unknown } | null)?.drained ?? true
  if (typeof drained !== 'boolean') return createProblemResponse(createBadRequest('"drained" must be true or false.'))
  const worker = context.req.param('worker') ?? ''
  const answer = await api.router.askOwner(shard, { kind: MessageKind.Drain, shard, worker, drained }, OWNER_REQUEST_TIMEOUT_MS)
  return answer.match((state) => createJsonResponse(state ?? { shard, worker, drained }), createRefusalResponse)
}

/**
 * Handles `POST /v1/admin/zones/{zone}/evacuation`. Each shard decides for itself, so that some may have carried it out although others
 * have not; the call can be repeated.
 *
 * @param api the dependencies of the API
 * @param context the request context; the body `{"evacuated": false}` takes the zone back
 * @returns the shards in which it is in effect, and those that did not confirm it; a problem if the zone is not known
 */
export async function onEvacuation (api: ApiContext, context: Context): Promise<Response> {
  const body = await readJson(context.req.raw, api.settings.limits.bodyBytes)
  if (body.isErr()) return createProblemResponse(body.error)
  const evacuated = (body.value as { evacuated?: unknown } | null)?.evacuated ?? true
  if (typeof evacuated !== 'boolean') return createProblemResponse(createBadRequest('"evacuated" must be true or false.'))
  const zone = context.req.param('zone') ?? ''
  const { reports } = await surveyAll(api)
  const known = new Set(reports.flatMap(zonesOf))
  if (!known.has(zone)) {
    const zones = [...known].sort().join(', ')
    const detail = zones === '' ? 'No zone is known: no owner has reported its workers.' : `The zones are ${zones}.`
    return createProblemResponse(createBadRequest(`There is no availability zone "${zone}". ${detail}`))
  }
  const shards: string[] = []
  const missing: MissingShard[] = []
  await Promise.all(api.configuration.current().manifest.upstreams.map(async ({ name: shard }) => {
    const evacuation: Evacuate = { kind: MessageKind.Evacuate, shard, zone, evacuated }
    const answer = await api.router.askOwner(shard, evacuation, OWNER_REQUEST_TIMEOUT_MS)
    if (answer.isOk()) shards.push(shard)
    else missing.push({ shard, reason: answer.error.reason, detail: answer.error.detail })
  }))
  return createJsonResponse({ zone, evacuated, shards: shards.sort(), missing })
}

/** The zones that a shard's report names. */
function zonesOf ({ workers, evacuatedZones }: Readonly<Record<string, unknown>>): string[] {
  const ofWorkers = Array.isArray(workers) ? workers.map((worker: { zone?: unknown }) => worker.zone) : []
  const zones: unknown[] = [...ofWorkers, ...Array.isArray(evacuatedZones) ? evacuatedZones : []]
  return zones.filter((zone) => typeof zone === 'string')
}

/**
 * Handles `GET /v1/admin/burn`.
 *
 * @param api the dependencies of the API
 * @returns the objectives, the counts of each owner with their start times, and the shards without counts
 */
export async function onBurn (api: ApiContext): Promise<Response> {
  const { reports, missing } = await surveyAll(api)
  const counts: ObjectiveCounts[] = []
  const shards = reports.map(({ shard, node, countingSinceMs }) => ({ shard, node, countingSinceMs }))
  for (const report of reports) {
    const shard = String(report.shard)
    for (const value of Array.isArray(report.burn) ? report.burn : []) {
      ObjectiveCountsCodec.decode(value).ifRight((decoded) => counts.push(decoded))
    }
    if (!Array.isArray(report.burn)) missing.push({ shard, reason: Reason.Malformed, detail: 'The response of the owner has no counts.' })
  }
  const { manifest } = api.configuration.current()
  const { objectives } = manifest
  return createJsonResponse({ atMs: api.clock.wall(), objectives, shards, counts, missing })
}

async function surveyAll (api: ApiContext): Promise<SurveyResults> {
  const surveys: SurveyResults = { reports: [], missing: [] }
  const shards = api.configuration.current().manifest.upstreams.map((upstream) => upstream.name)
  for (let start = 0; start < shards.length; start += MAX_CONCURRENT_SURVEYS) {
    const batch = shards.slice(start, start + MAX_CONCURRENT_SURVEYS)
    await Promise.all(batch.map((shard) => survey(api, shard, surveys)))
  }
  surveys.reports.sort((left, right) => shards.indexOf(String(left.shard)) - shards.indexOf(String(right.shard)))
  return surveys
}

async function survey (api: ApiContext, shard: string, surveys: SurveyResults): Promise<void> {
  const answer = await api.router.askOwner(shard, { kind: MessageKind.Survey, shard }, SURVEY_TIMEOUT_MS)
  if (answer.isErr()) {
    surveys.missing.push({ shard, reason: answer.error.reason, detail: answer.error.detail })
    return
  }
  if (typeof answer.value === 'object' && answer.value !== null) {
    surveys.reports.push({ ...answer.value, shard })
    return
  }
  surveys.missing.push({ shard, reason: Reason.Malformed, detail: 'The response of the owner is not a valid report.' })
}

/** No reason code exists for an unknown upstream: the response has the code of an unknown queue with a title of its own. */
function createNoSuchUpstreamResponse (shard: string): Response {
  const detail = `There is no upstream "${shard}" in the configuration.`
  return createProblemResponse({ ...createProblem(refuse(Reason.NoSuchQueue, detail)), title: 'No such upstream', execution: Execution.NotRun })
}

function createRefusalResponse (refusal: Refusal): Response {
  return createProblemResponse(createProblem(refusal))
}
