/**
 * The part "wire": latency and throughput over real daemons, beside direct calls to the workers.
 */
import { loadavg } from 'node:os'
import { setTimeout as sleep } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { callJson } from '@fireflymount/scenario/cell/http'
import { BenchCell } from './bench/cell.js'
import { runLoad, summarize, type LoadResult } from './bench/load.js'
import { CALLER, previewOf, shardName, yardageOf } from './bench/manifest.js'
import type { Report } from './report.js'
import { Part } from './report.js'

const NODES = 4
const WORKERS = 24
const SLOTS = 8
const RATES = [250, 500, 1_000, 2_000]
const JOB_RATES = [25, 100, 200, 400]
const DURATION_MS = 8_000
const JOB_DURATION_MS = 6_000
const WARM_UP_MS = 2_000
const NODE_CONNECTIONS = 64
const WORKER_CONNECTIONS = 4
const JOB_RUN_MS = 20
const SETTLE_MS = 1_000
const US_PER_MS = 1000
const NS_PER_MS = 1e6
const SHARD = shardName(0)
const SIZE = { cpuMilli: 10, memoryMb: 1, accelerators: 0 }

/** Requests at one rate, direct and through the system. */
export interface WireResult {
  readonly rate: number
  readonly direct: LoadResult
  readonly through: LoadResult
  readonly addedP50Ms: number
  readonly addedP99Ms: number
  readonly load: number
}

/** Durable jobs at one rate. */
export interface JobResult {
  readonly rate: number
  readonly acceptance: LoadResult
  readonly start: Pick<LoadResult, 'p50Ms' | 'p99Ms' | 'maxMs'> & { readonly started: number }
  readonly load: number
}

/** Latency over the wire. */
export class Wire extends Part {
  readonly name = 'wire'
  readonly title = 'Latency over the wire'

  /** @param profiles directory for processor profiles of the daemons; none if absent */
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

async function measureRequests (cell: BenchCell): Promise<WireResult[]> {
  const results: WireResult[] = []
  const callers = cell.nodes.map(({ api }) => new Pool(api, { connections: NODE_CONNECTIONS }))
  const workers = cell.workers.map(({ address }) => new Pool(`http://${address}`, { connections: WORKER_CONNECTIONS }))
  const { counter, node } = await cell.epoch(SHARD)
  const epoch = { 'fireflymount-epoch': `${counter}:${node}`, 'content-type': 'application/json' }
  for (const rate of RATES) {
    const plan = { rate, durationMs: DURATION_MS, warmUpMs: WARM_UP_MS }
    const direct = await runLoad({ ...plan, send: (index) => sendDirect(workers[index % workers.length]!, epoch, index) })
    const through = await runLoad({ ...plan, send: (index) => sendThrough(callers[index % callers.length]!, index) })
    results.push({
      rate,
      direct,
      through,
      addedP50Ms: through.p50Ms - direct.p50Ms,
      addedP99Ms: through.p99Ms - direct.p99Ms,
      load: loadavg()[0]!
    })
  }
  await Promise.all([...callers, ...workers].map((pool) => pool.close()))
  return results
}

async function sendDirect (pool: Pool, headers: Record<string, string>, index: number): Promise<boolean> {
  const body = { id: `direct-${index}`, team: 'guild-shops', kind: 'preview', size: SIZE, body: { workMs: 0, echo: index } }
  const answer = await post(pool, '/requests', headers, body) as { id?: string, value?: { echo?: number } } | undefined
  return answer?.id === body.id && answer.value?.echo === index
}

async function sendThrough (pool: Pool, index: number): Promise<boolean> {
  const headers = { authorization: CALLER, 'content-type': 'application/json' }
  const answer = await post(pool, `/v1/queues/${previewOf(SHARD)}/requests`, headers, { workMs: 0, echo: index })
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
  const callers = cell.nodes.map(({ api }) => new Pool(api, { connections: NODE_CONNECTIONS }))
  for (const rate of JOB_RATES) {
    const sentMs = new Map<string, number>()
    const acceptance = await runLoad({
      rate,
      durationMs: JOB_DURATION_MS,
      warmUpMs: WARM_UP_MS,
      send: (index) => submit(callers[index % callers.length]!, `${rate}-${index}`, sentMs)
    })
    await sleep(SETTLE_MS)
    results.push({ rate, acceptance, start: await readStarts(cell, sentMs), load: loadavg()[0]! })
  }
  await Promise.all(callers.map((pool) => pool.close()))
  return results
}

async function submit (pool: Pool, key: string, sentMs: Map<string, number>): Promise<boolean> {
  const headers = { authorization: CALLER, 'content-type': 'application/json', 'idempotency-key': key }
  sentMs.set(key, monotonicMs())
  const answer = await post(pool, `/v1/queues/${yardageOf(SHARD)}/jobs`, headers, { body: { runMs: JOB_RUN_MS, echo: key } })
  return typeof (answer as { job?: string } | undefined)?.job === 'string'
}

/** Reads from the workers' own records when each job started. */
async function readStarts (cell: BenchCell, sentMs: ReadonlyMap<string, number>): Promise<JobResult['start']> {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  for (const { address } of cell.workers) {
    for (const { event, echo, monotonicMs: startedMs } of await readRecord(address)) {
      const sent = typeof echo === 'string' ? sentMs.get(echo) : undefined
      if (event === 'start' && sent !== undefined) histogram.recordValue(Math.max(1, Math.round((startedMs - sent) * US_PER_MS)))
    }
  }
  return { started: histogram.totalCount, ...summarize(histogram) }
}

interface Entry {
  readonly event: string
  readonly echo?: unknown
  readonly monotonicMs: number
}

async function readRecord (address: string): Promise<Entry[]> {
  const entries: Entry[] = []
  for (;;) {
    const reply = await callJson(`http://${address}/standin/record?from=${entries.length}`)
    if (reply.isErr()) throw new Error(`The record of ${address} cannot be read: ${reply.error}`)
    const page = (reply.value.body as { entries: Entry[] }).entries
    if (page.length === 0) return entries
    entries.push(...page)
  }
}

/** Milliseconds of the machine's monotonic clock, as in the workers' records. */
function monotonicMs (): number {
  return Number(process.hrtime.bigint()) / NS_PER_MS
}

function createReport (requests: readonly WireResult[], jobs: readonly JobResult[]): Report {
  return {
    results: { requests, jobs },
    tables: [{
      title: `Requests: ${NODES} daemons, ${WORKERS} workers, open loop from another process`,
      columns: [
        'requests/s', 'direct p50 ms', 'direct p99 ms', 'through p50 ms', 'through p99 ms', 'added p50 ms', 'added p99 ms',
        'answered/s', 'failed', 'load average'
      ],
      rows: requests.map(({ rate, direct, through, addedP50Ms, addedP99Ms, load }) => [
        rate, direct.p50Ms, direct.p99Ms, through.p50Ms, through.p99Ms, addedP50Ms, addedP99Ms,
        through.throughput, direct.failed + through.failed, load
      ])
    }, {
      title: 'Durable jobs: from the time due to the acceptance, and from sending to the start on a worker',
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
