/**
 * The part of the administration API that asks the owners of the shards.
 */
import { Kind } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { BurnCodec, type Burn } from '@fireflymount/protocol/survey'
import { answerJson } from './answer.js'
import { readJson } from './body.js'
import { answerProblem, createBadRequest, createProblem } from './problem.js'
import { shardOf } from './submission.js'
import type { Context } from 'hono'
import type { Entry } from './parts.js'

const SURVEY_TIMEOUT_MS = 2000
const OWNER_TIMEOUT_MS = 5000
/** Owners asked at the same time. */
const SURVEYS_AT_ONCE = 16

/** A part of an answer that could not be had. */
interface Missing {
  readonly shard: string
  readonly reason: Reason
  readonly detail: string
}

/** What the owners answered. */
interface Surveys {
  readonly reports: Readonly<Record<string, unknown>>[]
  readonly missing: Missing[]
}

/**
 * Handles `GET /v1/admin/status`.
 *
 * @param entry the parts of the API
 * @returns nodes and shards as far as they answered, and what is missing
 */
export async function onOverview (entry: Entry): Promise<Response> {
  const { reports, missing } = await surveyAll(entry)
  const shards = reports.map(({ burn: _, ...shard }) => shard)
  return answerJson({
    node: entry.settings.node,
    phase: entry.presence.current(),
    revision: entry.configuration.current().revision,
    configurationAgeMs: Math.round(entry.configuration.ageMs()),
    requestsInProgress: entry.admission.inProgress(),
    nodes: entry.router.nodes(),
    shards,
    missing
  })
}

/**
 * Handles `GET /v1/admin/shards/{upstream}`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns the owner's report, or a problem
 */
export async function onShard (entry: Entry, context: Context): Promise<Response> {
  const shard = context.req.param('upstream') ?? ''
  if (!entry.directory.hasUpstream(shard)) return refuseUpstream(shard)
  const answer = await entry.router.ask(shard, { kind: Kind.Survey, shard }, SURVEY_TIMEOUT_MS)
  return answer.match((report) => answerJson(report), answerRefusal)
}

/**
 * Handles `GET /v1/admin/jobs/{id}/explanation`.
 *
 * @param entry the parts of the API
 * @param context the call
 * @returns why the job waits, or a problem
 */
export async function onAdminExplain (entry: Entry, context: Context): Promise<Response> {
  const job = context.req.param('id') ?? ''
  const shard = shardOf(job)
  if (shard === undefined || !entry.directory.hasUpstream(shard)) {
    return answerRefusal(refuse(Reason.NoSuchJob, 'There is no job with this id.'))
  }
  const answer = await entry.router.ask(shard, { kind: Kind.Explain, job }, OWNER_TIMEOUT_MS)
  return answer.match((explanation) => answerJson(explanation), answerRefusal)
}

/**
 * Handles `POST /v1/admin/workers/{upstream}/{worker}/drain`.
 *
 * @param entry the parts of the API
 * @param context the call; a body `{"drained": false}` opens the worker again
 * @returns the worker's new state, or a problem
 */
export async function onDrain (entry: Entry, context: Context): Promise<Response> {
  const shard = context.req.param('upstream') ?? ''
  if (!entry.directory.hasUpstream(shard)) return refuseUpstream(shard)
  const body = await readJson(context.req.raw, entry.settings.limits.bodyBytes)
  if (body.isErr()) return answerProblem(body.error)
  const drained = (body.value as { drained?: unknown } | null)?.drained ?? true
  if (typeof drained !== 'boolean') return answerProblem(createBadRequest('"drained" must be true or false.'))
  const worker = context.req.param('worker') ?? ''
  const answer = await entry.router.ask(shard, { kind: Kind.Drain, shard, worker, drained }, OWNER_TIMEOUT_MS)
  return answer.match((state) => answerJson(state ?? { shard, worker, drained }), answerRefusal)
}

/**
 * Handles `GET /v1/admin/burn`.
 *
 * @param entry the parts of the API
 * @returns the objectives, what each owner counted for them and since when, and what is missing
 */
export async function onBurn (entry: Entry): Promise<Response> {
  const { reports, missing } = await surveyAll(entry)
  const counts: Burn[] = []
  const shards = reports.map(({ shard, node, countingSinceMs }) => ({ shard, node, countingSinceMs }))
  for (const report of reports) {
    const shard = String(report.shard)
    for (const value of Array.isArray(report.burn) ? report.burn : []) {
      BurnCodec.decode(value).ifRight((burn) => counts.push(burn))
    }
    if (!Array.isArray(report.burn)) missing.push({ shard, reason: Reason.Malformed, detail: 'The owner sent no counts.' })
  }
  const { manifest } = entry.configuration.current()
  const { objectives } = manifest
  return answerJson({ atMs: entry.clock.wall(), objectives, shards, counts, missing })
}

async function surveyAll (entry: Entry): Promise<Surveys> {
  const surveys: Surveys = { reports: [], missing: [] }
  const shards = entry.configuration.current().manifest.upstreams.map((upstream) => upstream.name)
  for (let start = 0; start < shards.length; start += SURVEYS_AT_ONCE) {
    const some = shards.slice(start, start + SURVEYS_AT_ONCE)
    await Promise.all(some.map((shard) => survey(entry, shard, surveys)))
  }
  surveys.reports.sort((left, right) => shards.indexOf(String(left.shard)) - shards.indexOf(String(right.shard)))
  return surveys
}

async function survey (entry: Entry, shard: string, surveys: Surveys): Promise<void> {
  const answer = await entry.router.ask(shard, { kind: Kind.Survey, shard }, SURVEY_TIMEOUT_MS)
  if (answer.isErr()) {
    surveys.missing.push({ shard, reason: answer.error.reason, detail: answer.error.detail })
    return
  }
  if (typeof answer.value === 'object' && answer.value !== null) {
    surveys.reports.push({ ...answer.value, shard })
    return
  }
  surveys.missing.push({ shard, reason: Reason.Malformed, detail: 'The owner sent no valid report.' })
}

function refuseUpstream (shard: string): Response {
  const detail = `There is no upstream "${shard}" in the configuration.`
  return answerProblem({ ...createProblem(refuse(Reason.NoSuchQueue, detail)), title: 'No such upstream', execution: Execution.NotRun })
}

function answerRefusal (refusal: Refusal): Response {
  return answerProblem(createProblem(refusal))
}
