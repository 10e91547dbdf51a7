/**
 * Commands on the running system: status, drain and report.
 */
import { writeFile } from 'node:fs/promises'
import { err, ok, type Result } from 'neverthrow'
import { describeList, describeObject, type Outcome, type Session } from './action.js'
import { createReport, type BurnCounts } from './burn.js'
import { Repeat } from './client.js'
import { createMisuse, type Failure } from './failure.js'
import { formatPage, formatReport } from './report.js'
import type { SurveyReport } from '@fireflymount/protocol/survey'
import type { Row } from './terminal.js'

/** A part of an answer that the server could not get. */
export interface Missing {
  readonly shard: string
  readonly reason: string
  readonly detail: string
}

/** The answer of `GET /v1/admin/status`, as far as the tool prints it. */
interface Overview {
  readonly node: string
  readonly phase: string
  readonly revision: number
  readonly configurationAgeMs: number
  readonly nodes: readonly string[]
  readonly shards: ReadonlyArray<Partial<SurveyReport>>
  readonly missing: readonly Missing[]
}

/**
 * Shows nodes and shards.
 *
 * @param session the client and the terminal
 * @param upstream one upstream, to see its workers
 * @returns what answered, with remarks on what did not
 */
export async function showStatus (session: Session, upstream?: string): Promise<Result<Outcome, Failure>> {
  const path = upstream === undefined ? '/v1/admin/status' : `/v1/admin/shards/${encodeURIComponent(upstream)}`
  const reply = await session.client.call({ method: 'GET', path, repeat: Repeat.Safe })
  if (reply.isErr()) return err(reply.error)
  const { body } = reply.value
  return ok(upstream === undefined ? describeOverview(body as Overview) : describeShard(body as SurveyReport))
}

/**
 * Closes a worker for new tasks, or opens it again.
 *
 * @param session the client and the terminal
 * @param upstream the worker's upstream
 * @param worker the worker
 * @param drained false to open it
 * @returns the worker's state
 */
export async function drainWorker (
  session: Session, upstream: string, worker: string, drained: boolean
): Promise<Result<Outcome, Failure>> {
  const path = `/v1/admin/workers/${encodeURIComponent(upstream)}/${encodeURIComponent(worker)}/drain`
  const reply = await session.client.call({ method: 'POST', path, repeat: Repeat.Safe, body: { drained } })
  return reply.map(({ body }) => describeObject((body ?? {}) as object))
}

/**
 * Reports on service-level burn.
 *
 * @param session the client and the terminal
 * @param page the file to which an HTML page is written, if there is one
 * @returns the report, with remarks on what is missing
 */
export async function reportBurn (session: Session, page?: string): Promise<Result<Outcome, Failure>> {
  const reply = await session.client.call({ method: 'GET', path: '/v1/admin/burn', repeat: Repeat.Safe })
  if (reply.isErr()) return err(reply.error)
  const report = createReport(reply.value.body as BurnCounts)
  const written = page === undefined ? ok() : await writePage(page, formatPage(report))
  return written.map(() => ({ value: report, text: formatReport(report), remarks: report.missing }))
}

/**
 * Puts what is missing into words.
 *
 * @param missing the parts that did not answer
 * @returns a sentence for each
 */
export function describeMissing (missing: readonly Missing[]): string[] {
  return missing.map(({ shard, reason, detail }) => `Missing: shard ${shard} (${reason}): ${detail}`)
}

function describeOverview (overview: Overview): Outcome {
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
  const head = `${node} is ${phase} at revision ${revision}, heard of ${configurationAgeMs} ms ago. Nodes: ${nodes.join(', ')}.\n`
  const table = describeList(['shard', 'owner', 'epoch', 'confirmed', 'workers', 'waiting', 'running'], rows).text
  return { value: overview, text: head + table, remarks: describeMissing(missing) }
}

function describeShard (report: SurveyReport): Outcome {
  const rows: Row[] = (report.workers ?? []).map((worker) => ({ ...worker }))
  const head = `${report.shard} is owned by ${report.node}; ${report.waiting} waiting, ${report.running} running.\n`
  return { value: report, text: head + describeList(['worker', 'condition', 'zone', 'rack', 'running', 'slots', 'used', 'capacity'], rows).text }
}

async function writePage (page: string, text: string): Promise<Result<void, Failure>> {
  try {
    await writeFile(page, text)
    return ok()
  } catch (error) {
    return err(createMisuse(`The page "${page}" cannot be written (${(error as NodeJS.ErrnoException).code}). Choose another file.`))
  }
}
