/**
 * Commands on the running system: status, drain, evacuation and report.
 */
import { writeFile } from 'node:fs/promises'
import { err, ok, type Result } from 'neverthrow'
import { createListOutput, createObjectOutput, type ActionContext, type ActionOutput } from './action.js'
import { createBurnReport, type BurnCounts } from './burn.js'
import { RetryPolicy } from './client.js'
import { createUsageError, type Failure } from './failure.js'
import { formatPage, formatReport } from './report.js'
import type { SurveyReport } from '@fireflymount/protocol/survey'
import type { Row } from './terminal.js'

/** A shard that did not answer the server, and whose data is therefore missing. */
export interface MissingShard {
  readonly shard: string
  readonly reason: string
  readonly detail: string
}

/** The fields of the answer to `GET /v1/admin/status` that the tool prints. */
interface Overview {
  readonly node: string
  readonly phase: string
  readonly revision: number
  readonly configurationAgeMs: number
  readonly nodes: readonly string[]
  readonly shards: ReadonlyArray<Partial<SurveyReport>>
  readonly missing: readonly MissingShard[]
}

/**
 * Shows the nodes and shards, or one shard with its workers.
 *
 * @param context the client and the terminal
 * @param upstream the upstream whose shard is shown; absent for all shards
 * @returns the state of the shards, with remarks on shards that did not answer
 */
export async function showStatus (context: ActionContext, upstream?: string): Promise<Result<ActionOutput, Failure>> {
  const path = upstream === undefined ? '/v1/admin/status' : `/v1/admin/shards/${encodeURIComponent(upstream)}`
  const answer = await context.client.call({ method: 'GET', path, retry: RetryPolicy.Safe })
  if (answer.isErr()) return err(answer.error)
  const { body } = answer.value
  return ok(upstream === undefined ? describeOverview(body as Overview) : describeShard(body as SurveyReport))
}

/**
 * Drains a worker, which then gets no new tasks, or makes it schedulable again.
 *
 * @param context the client and the terminal
 * @param upstream the worker's upstream
 * @param worker the worker
 * @param drained false to make it schedulable again
 * @returns the worker's state
 */
export async function drainWorker (
  context: ActionContext, upstream: string, worker: string, drained: boolean
): Promise<Result<ActionOutput, Failure>> {
  const path = `/v1/admin/workers/${encodeURIComponent(upstream)}/${encodeURIComponent(worker)}/drain`
  const answer = await context.client.call({ method: 'POST', path, retry: RetryPolicy.Safe, body: { drained } })
  return answer.map(({ body }) => createObjectOutput((body ?? {}) as object))
}

/**
 * Evacuates an availability zone, whose workers then get no new tasks, or takes it back.
 *
 * @param context the client and the terminal
 * @param zone the availability zone
 * @param evacuated false to take the zone back
 * @returns the shards in which it is in effect, with remarks on shards that did not confirm it
 */
export async function evacuateZone (
  context: ActionContext, zone: string, evacuated: boolean
): Promise<Result<ActionOutput, Failure>> {
  const path = `/v1/admin/zones/${encodeURIComponent(zone)}/evacuation`
  const answer = await context.client.call({ method: 'POST', path, retry: RetryPolicy.Safe, body: { evacuated } })
  return answer.map(({ body }) => {
    const { missing = [], ...state } = (body ?? {}) as { readonly missing?: readonly MissingShard[] }
    return { ...createObjectOutput(state), remarks: describeMissing(missing) }
  })
}

/**
 * Reports the burn rates of service-level objectives.
 *
 * @param context the client and the terminal
 * @param pagePath the path to which an HTML page is written; absent to write none
 * @returns the report, with remarks on missing counts
 */
export async function reportBurn (context: ActionContext, pagePath?: string): Promise<Result<ActionOutput, Failure>> {
  const answer = await context.client.call({ method: 'GET', path: '/v1/admin/burn', retry: RetryPolicy.Safe })
  if (answer.isErr()) return err(answer.error)
  const report = createBurnReport(answer.value.body as BurnCounts)
  const written = pagePath === undefined ? ok() : await writePage(pagePath, formatPage(report))
  return written.map(() => ({ value: report, text: formatReport(report), remarks: report.missing }))
}

/**
 * Describes the shards that did not answer.
 *
 * @param missing the shards
 * @returns a sentence for each
 */
export function describeMissing (missing: readonly MissingShard[]): string[] {
  return missing.map(({ shard, reason, detail }) => `Missing: shard ${shard} (${reason}): ${detail}`)
}

function describeOverview (overview: Overview): ActionOutput {
  const { node, phase, revision, configurationAgeMs, nodes, shards, missing } = overview
  const rows: Row[] = shards.map((shard) => ({
    shard: shard.shard,
    owner: shard.node,
    epoch: shard.epoch?.counter,
    confirmed: shard.confirmed,
    workers: shard.workers?.length,
    waiting: shard.waiting,
    running: shard.running
  }))
  rows.push(...missing.map(({ shard, reason }) => ({ shard, owner: reason })))
  const heading = `${node} is ${phase}; revision ${revision}, known to be the newest as of ${configurationAgeMs} ms ago; nodes: ${nodes.join(', ')}.\n`
  const table = createListOutput(['shard', 'owner', 'epoch', 'confirmed', 'workers', 'waiting', 'running'], rows).text
  return { value: overview, text: heading + table, remarks: describeMissing(missing) }
}

function describeShard (report: SurveyReport): ActionOutput {
  const rows: Row[] = (report.workers ?? []).map((worker) => ({ ...worker }))
  const evacuated = report.evacuatedZones ?? []
  const zones = evacuated.length === 0 ? '' : ` Evacuated zones: ${evacuated.join(', ')}.`
  const heading = `${report.shard} is owned by ${report.node}; ${report.waiting} waiting, ${report.running} running.${zones}\n`
  return {
    value: report,
    text: heading + createListOutput(['worker', 'condition', 'zone', 'rack', 'running', 'slots', 'used', 'capacity'], rows).text
  }
}

async function writePage (page: string, text: string): Promise<Result<void, Failure>> {
  try {
    await writeFile(page, text)
    return ok()
  } catch (error) {
    return err(createUsageError(
      `The page "${page}" cannot be written (${(error as NodeJS.ErrnoException).code}). Choose another path.`
    ))
  }
}
