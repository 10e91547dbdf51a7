/**
 * The part "wire": latency and throughput of requests and jobs through running daemons, compared with direct calls to the
 * workers.
 */
import { loadavg } from 'node:os'
import { setTimeout as sleep } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { callJson } from '@fireflymount/scenario/cell/http'
import { BOOT_HEADER, EPOCH_HEADER } from '@fireflymount/service-clients/messages'
import { BenchCell } from './bench/cell.js'
import { MAX_LATENCY_US, runLoad, summarize, type LoadResult } from './bench/load.js'
import { CALLER_AUTHORIZATION, requestQueueOf, shardName, jobQueueOf } from './bench/manifest.js'
import type { Report } from './report.js'
import { Part } from './report.js'

const NODES = 4
const WORKERS = 24
const SLOTS = 8
const REQUEST_RATES_PER_S = [250, 500, 1_000, 2_000]
const JOB_RATES_PER_S = [25, 100, 200, 400]
const REQUEST_DURATION_MS = 8_000
const JOB_DURATION_MS = 6_000
const WARM_UP_MS = 2_000
const CONNECTIONS_PER_NODE = 64
const CONNECTIONS_PER_WORKER = 4
const JOB_RUN_MS = 20
const SETTLE_MS = 1_000
const US_PER_MS = 1000
const NS_PER_MS = 1e6
const SHARD = shardName(0)
const TASK_SIZE = { cpuMilli: 10, memoryMb: 1, accelerators: 0 }

/** Results of requests at one rate, sent directly to the workers and through the daemons. */
export interface RequestResult {
  readonly rate: number
  readonly direct: LoadResult
  /** Through the daemons. */
  readonly through: LoadResult
  readonly addedP50Ms: number
  readonly addedP99Ms: number
  /** Load average of the host over one minute. */
  readonly load: number
}

/** Results of durable jobs at one rate. */
export interface JobResult {
  readonly rate: number
  readonly acceptance: LoadResult
  readonly start: Pick<LoadResult, 'p50Ms' | 'p99Ms' | 'maxMs'> & { readonly started: number }
  /** Load average of the host over one minute. */
  readonly load: number
}

/** Measures the latency of requests and jobs through running daemons. */
export class WirePart extends Part {
  readonly name = 'wire'
  readonly title = 'Latency of requests and jobs through running daemons'

  /** @param profiles directory to which the daemons write CPU profiles; no profiles if absent */
  constructor (private readonly profiles?: string) {
    super()
  }

  async measure (): Promise<Report> {
    const cell = await BenchCell.start({ nodes: NODES, shards: 1, workers: WORKERS, slots: SLOTS, profiles: this.profiles })
    try {
      const requests = await measureRequests(cell)
      const jobs = await measureJobs(cell)
      return createReport(requests, jobs)
    } finally {
      await cell.close()
    }
  }
}

async function measureRequests (cell: BenchCell): Promise<RequestResult[]> {
  const results: RequestResult[] = []
  const nodePools = cell.nodes.map(({ api }) => new Pool(api, { connections: CONNECTIONS_PER_NODE }))
  const targets = await Promise.all(cell.workers.map(({ address }) => createDirectTarget(cell, address)))
  for (const rate of REQUEST_RATES_PER_S) {
    const plan = { rate, durationMs: REQUEST_DURATION_MS, warmUpMs: WARM_UP_MS }
    const direct = await runLoad({
      ...plan, send: (index) => sendDirect(targets[index % targets.length]!, index)
    })
    const through = await runLoad({ ...plan, send: (index) => sendThroughNode(nodePools[index % nodePools.length]!, index) })
    results.push({
      rate,
      direct,
      through,
      addedP50Ms: through.p50Ms - direct.p50Ms,
      addedP99Ms: through.p99Ms - direct.p99Ms,
      load: loadavg()[0]!
    })
  }
  await Promise.all([...nodePools, ...targets.map(({ pool }) => pool)].map((pool) => pool.close()))
  return results
}

/** A worker, with the headers of the requests that its owner sends it. */
interface DirectTarget {
  readonly pool: Pool
  readonly headers: Record<string, string>
}

async function createDirectTarget (cell: BenchCell, address: string): Promise<DirectTarget> {
  const { counter, node } = await cell.readEpoch(SHARD)
  const boot = (await readWorkerEvents(address)).at(-1)?.boot ?? ''
  return {
    pool: new Pool(`http://${address}`, { connections: CONNECTIONS_PER_WORKER }),
    headers: { [EPOCH_HEADER]: `${counter}:${node}`, [BOOT_HEADER]: boot, 'content-type': 'application/json' }
  }
}

async function sendDirect ({ pool, headers }: DirectTarget, index: number): Promise<boolean> {
  const body = { id: `direct-${index}`, team: 'guild-shops', kind: 'preview', size: TASK_SIZE, body: { workMs: 0, echo: index } }
  const answer = await post(pool, '/requests', headers, body) as { id?: string, value?: { echo?: number } } | undefined
  return answer?.id === body.id && answer.value?.echo === index
}

async function sendThroughNode (pool: Pool, index: number): Promise<boolean> {
  const headers = { authorization: CALLER_AUTHORIZATION, 'content-type': 'application/json' }
  const answer = await post(pool, `/v1/queues/${requestQueueOf(SHARD)}/requests`, headers, { workMs: 0, echo: index })
  return (answer as { echo?: number } | undefined)?.echo === index
}

async function post (pool: Pool, path: string, headers: Record<string, string>, body: unknown): Promise<unknown> {
  try {
    const answer = await pool.request({ method: 'POST', path, headers, body: JSON.stringify(body) })
    const value = await answer.body.json()
    return answer.statusCode < 300 ? value : undefined
  } catch {
    return undefined
  }
}

async function measureJobs (cell: BenchCell): Promise<JobResult[]> {
  const results: JobResult[] = []
  const nodePools = cell.nodes.map(({ api }) => new Pool(api, { connections: CONNECTIONS_PER_NODE }))
  for (const rate of JOB_RATES_PER_S) {
    const sentMs = new Map<string, number>()
    const acceptance = await runLoad({
      rate,
      durationMs: JOB_DURATION_MS,
      warmUpMs: WARM_UP_MS,
      send: (index) => submitJob(nodePools[index % nodePools.length]!, `${rate}-${index}`, sentMs)
    })
    await sleep(SETTLE_MS)
    results.push({ rate, acceptance, start: await readStartLatencies(cell, sentMs), load: loadavg()[0]! })
  }
  await Promise.all(nodePools.map((pool) => pool.close()))
  return results
}

async function submitJob (pool: Pool, key: string, sentMs: Map<string, number>): Promise<boolean> {
  const headers = { authorization: CALLER_AUTHORIZATION, 'content-type': 'application/json', 'idempotency-key': key }
  sentMs.set(key, readMonotonicMs())
  const answer = await post(pool, `/v1/queues/${jobQueueOf(SHARD)}/jobs`, headers, { body: { runMs: JOB_RUN_MS, echo: key } })
  return typeof (answer as { job?: string } | undefined)?.job === 'string'
}

/**
 * Reads the start of each job from the workers' event histories, and computes the time since it was sent. Jobs of the warm-up
 * are included.
 */
async function readStartLatencies (cell: BenchCell, sentMs: ReadonlyMap<string, number>): Promise<JobResult['start']> {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 })
  for (const { address } of cell.workers) {
    for (const { event, echo, monotonicMs: startedMs } of await readWorkerEvents(address)) {
      const sent = typeof echo === 'string' ? sentMs.get(echo) : undefined
      if (event === 'start' && sent !== undefined) histogram.recordValue(Math.max(1, Math.round((startedMs - sent) * US_PER_MS)))
    }
  }
  return { started: histogram.totalCount, ...summarize(histogram) }
}

interface WorkerEvent {
  readonly event: string
  readonly boot: string
  readonly echo?: unknown
  readonly monotonicMs: number
}

async function readWorkerEvents (address: string): Promise<WorkerEvent[]> {
  const entries: WorkerEvent[] = []
  for (;;) {
    const response = await callJson(`http://${address}/standin/record?from=${entries.length}`)
    if (response.isErr()) throw new Error(`The event history of worker ${address} cannot be read: ${response.error}`)
    const page = (response.value.body as { entries: WorkerEvent[] }).entries
    if (page.length === 0) return entries
    entries.push(...page)
  }
}

/** Reads the monotonic clock of the host in milliseconds; the workers' event histories use the same clock. */
function readMonotonicMs (): number {
  return Number(process.hrtime.bigint()) / NS_PER_MS
}

function createReport (requests: readonly RequestResult[], jobs: readonly JobResult[]): Report {
  return {
    results: { requests, jobs },
    tables: [{
      title: `Requests: ${NODES} daemons, ${WORKERS} workers, open-loop load from a separate process`,
      columns: [
        'requests/s', 'direct p50 ms', 'direct p99 ms', 'through p50 ms', 'through p99 ms', 'added p50 ms', 'added p99 ms',
        'answered/s through', 'failed, direct and through', 'load average'
      ],
      rows: requests.map(({ rate, direct, through, addedP50Ms, addedP99Ms, load }) => [
        rate, direct.p50Ms, direct.p99Ms, through.p50Ms, through.p99Ms, addedP50Ms, addedP99Ms,
        through.throughput, direct.failed + through.failed, load
      ])
    }, {
      title: 'Durable jobs: latency from the due time to the acceptance, and from sending to the start on a worker',
      columns: [
        'jobs/s', 'accepted p50 ms', 'accepted p99 ms', 'started p50 ms', 'started p99 ms', 'accepted/s', 'started', 'failed',
        'load average'
      ],
      rows: jobs.map(({ rate, acceptance, start, load }) => [
        rate, acceptance.p50Ms, acceptance.p99Ms, start.p50Ms, start.p99Ms,
        acceptance.throughput, start.started, acceptance.failed, load
      ])
    }],
    charts: [{
      name: 'wire',
      title: 'Latency of requests by rate',
      rows: requests.flatMap(({ rate, direct, through }) => [
        { series: 'direct p50', rate, ms: direct.p50Ms },
        { series: 'direct p99', rate, ms: direct.p99Ms },
        { series: 'through p50', rate, ms: through.p50Ms },
        { series: 'through p99', rate, ms: through.p99Ms }
      ]),
      x: { field: 'rate', title: 'requests a second', scale: 'linear' },
      y: { field: 'ms', title: 'milliseconds', scale: 'log' },
      series: 'series',
      mark: 'line'
    }]
  }
}
