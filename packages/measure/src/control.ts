/**
 * The part "control": what real daemons spend on control, idle and by load.
 */
import { loadavg } from 'node:os'
import { setTimeout as sleep } from 'node:timers/promises'
import { Section } from '@fireflymount/manifest/manifest'
import { callJson } from '@fireflymount/scenario/cell/http'
import { BenchCell, type CellPlan } from './bench/cell.js'
import { CALLER, createManifest, shardName, yardageOf } from './bench/manifest.js'
import { spendingOf, type NodeUsage, type Spending } from './bench/usage.js'
import type { Report } from './report.js'
import { Part } from './report.js'
import { fitSlope, mean, type Slope } from './slope.js'

const PLAN: CellPlan = { nodes: 4, shards: 1, workers: 24, slots: 1_000 }
const WORKERS = [10, 48, 100]
const NODES = [8, 12]
const SHARDS = [2, 4]
const STARTS_PER_S = [5, 20, 60]
const RUNNING = [200, 1_000, 3_000]
const CHANGES_PER_S = [0.3, 1, 3]
const WINDOW_MS = 6_000
const CHANGE_WINDOW_MS = 10_000
const SETTLE_MS = 2_000
/** Time after which every worker has reported the usage of new tasks, which it does once. */
const USAGE_SETTLE_MS = 6_000
const MS_PER_S = 1000
const SHORT_RUN_MS = 200
const LONG_RUN_MS = 600_000
const SUBMITTED_AT_ONCE = 100
const SHARD = shardName(0)

/** What a node does in the cell. */
export enum NodeRole {
  Owner = 'owner',
  Standby = 'standby',
  /** Neither: an entry that follows the configuration. */
  Follower = 'follower'
}

/** What varies. */
export enum Series {
  Workers = 'workers of the shard',
  Nodes = 'nodes',
  Shards = 'shards owned',
  Starts = 'task starts a second',
  Running = 'tasks running',
  Changes = 'configuration changes a second'
}

/** The spending of the nodes of one role at one point. */
export interface ControlPoint extends Omit<Spending, 'node'> {
  readonly series: Series
  readonly x: number
  readonly role: NodeRole
  readonly load: number
}

/** What is fitted. */
export type Quantity =
  'controlBytes' | 'peerBytes' | 'logBytes' | 'machinesBytes' | 'workerBytes' | 'cpuShare' | 'residentMb' | 'appends'

/** The line of one quantity. */
export interface ControlSlope extends Slope {
  readonly series: Series
  readonly role: NodeRole
  readonly quantity: Quantity
}

/** What this part writes. */
export interface ControlResults {
  readonly points: readonly ControlPoint[]
  readonly slopes: readonly ControlSlope[]
}

const QUANTITIES: readonly Quantity[] = [
  'controlBytes', 'peerBytes', 'logBytes', 'machinesBytes', 'workerBytes', 'cpuShare', 'residentMb', 'appends'
]

/** Control cost of real daemons. */
export class Control extends Part {
  readonly name = 'control'
  readonly title = 'Control cost of a node'

  async measure (): Promise<Report> {
    const points = [...await measureBase(), ...await measureSizes()]
    const slopes = fitSlopes(points)
    return createReport({ points, slopes })
  }
}

/** Everything that can be varied in one running cell. */
async function measureBase (): Promise<ControlPoint[]> {
  const cell = await BenchCell.start(PLAN)
  const points: ControlPoint[] = []
  try {
    await sleep(SETTLE_MS)
    const idle = await watch(cell, Series.Workers, PLAN.workers, WINDOW_MS)
    points.push(...idle)
    for (const [series, x] of [
      [Series.Nodes, PLAN.nodes], [Series.Starts, 0], [Series.Running, 0], [Series.Changes, 0]
    ] as const) points.push(...idle.map((point) => ({ ...point, series, x })))
    for (const rate of CHANGES_PER_S) {
      points.push(...await watch(cell, Series.Changes, rate, CHANGE_WINDOW_MS, changeOf(cell, rate)))
    }
    for (const rate of STARTS_PER_S) {
      points.push(...await watch(cell, Series.Starts, rate, WINDOW_MS, startOf(cell, rate)))
    }
    let running = 0
    for (const tasks of RUNNING) {
      await submitMany(cell, running, tasks)
      running = tasks
      await awaitRunning(cell, tasks)
      points.push(...await watch(cell, Series.Running, tasks, WINDOW_MS))
    }
    return points
  } finally {
    await cell.close()
  }
}

/** Everything that needs a cell of its own. */
async function measureSizes (): Promise<ControlPoint[]> {
  const points: ControlPoint[] = []
  const plans: Array<[Series, number, CellPlan]> = [
    ...WORKERS.map((workers): [Series, number, CellPlan] => [Series.Workers, workers, { ...PLAN, workers }]),
    ...NODES.map((nodes): [Series, number, CellPlan] => [Series.Nodes, nodes, { ...PLAN, nodes }]),
    ...SHARDS.map((shards): [Series, number, CellPlan] => [Series.Shards, shards, { ...PLAN, shards }])
  ]
  for (const [series, x, plan] of plans) {
    const cell = await BenchCell.start(plan)
    try {
      await sleep(SETTLE_MS)
      points.push(...await watch(cell, series, x, WINDOW_MS))
    } finally {
      await cell.close()
    }
  }
  return points
}

/** Work that is repeated while the nodes are watched. */
interface Repeated {
  readonly everyMs: number
  readonly run: (index: number) => Promise<void>
}

async function watch (cell: BenchCell, series: Series, x: number, windowMs: number, work?: Repeated): Promise<ControlPoint[]> {
  const before = await cell.usages()
  if (work === undefined) await sleep(windowMs)
  else await repeat(work, windowMs)
  const after = await cell.usages()
  const spendings = after.map((usage, index) => spendingOf(before[index]!, usage))
  if (series === Series.Shards) return spendings.map((spending, index) => pointOf(spending, after[index]!))
  const owned = new Map(after.map(({ node, owned }) => [node, owned.length]))
  const standbys = new Set(await cell.standbys(SHARD))
  const load = loadavg()[0]!
  const points: ControlPoint[] = []
  for (const role of Object.values(NodeRole)) {
    const group = spendings.filter(({ node }) => roleOf(node, owned, standbys) === role)
    if (group.length > 0) points.push({ series, x, role, load, ...averageOf(group) })
  }
  return points
}

/** A node by the number of shards that it owns. */
function pointOf ({ node: _, ...spending }: Spending, { owned }: NodeUsage): ControlPoint {
  return { series: Series.Shards, x: owned.length, role: NodeRole.Owner, load: loadavg()[0]!, ...spending }
}

function roleOf (node: string, owned: ReadonlyMap<string, number>, standbys: ReadonlySet<string>): NodeRole {
  if ((owned.get(node) ?? 0) > 0) return NodeRole.Owner
  return standbys.has(node) ? NodeRole.Standby : NodeRole.Follower
}

function averageOf (group: readonly Spending[]): Omit<Spending, 'node'> {
  const average = (read: (spending: Spending) => number): number => mean(group.map(read))
  return {
    controlBytes: average(({ controlBytes }) => controlBytes),
    peerBytes: average(({ peerBytes }) => peerBytes),
    logBytes: average(({ logBytes }) => logBytes),
    machinesBytes: average(({ machinesBytes }) => machinesBytes),
    workerBytes: average(({ workerBytes }) => workerBytes),
    requestBytes: average(({ requestBytes }) => requestBytes),
    cpuShare: average(({ cpuShare }) => cpuShare),
    residentMb: average(({ residentMb }) => residentMb),
    appends: average(({ appends }) => appends)
  }
}

async function repeat ({ everyMs, run }: Repeated, windowMs: number): Promise<void> {
  const startMs = performance.now()
  const runs: Array<Promise<void>> = []
  for (let index = 0; ; index++) {
    const dueMs = startMs + index * everyMs
    if (dueMs >= startMs + windowMs) break
    await sleep(Math.max(0, dueMs - performance.now()))
    runs.push(run(index))
  }
  await sleep(Math.max(0, startMs + windowMs - performance.now()))
  await Promise.all(runs)
}

function startOf (cell: BenchCell, rate: number): Repeated {
  return { everyMs: MS_PER_S / rate, run: (index) => submit(cell, index, `start-${rate}-${index}`, SHORT_RUN_MS) }
}

/** Publications follow one another, so that each is based on the one before. */
function changeOf (cell: BenchCell, rate: number): Repeated {
  const [team] = createManifest(1).teams
  let last = Promise.resolve()
  const run = (index: number): Promise<void> => {
    const value = { ...team!, share: 2 + index % 2 }
    last = last.then(() => cell.publish([{ section: Section.Teams, name: team!.name, value }]))
    return last
  }
  return { everyMs: MS_PER_S / rate, run }
}

/** Submits the jobs of a range, some at a time. */
async function submitMany (cell: BenchCell, from: number, to: number): Promise<void> {
  for (let first = from; first < to; first += SUBMITTED_AT_ONCE) {
    const count = Math.min(SUBMITTED_AT_ONCE, to - first)
    await Promise.all(Array.from({ length: count }, (_, index) => submit(cell, first + index, `run-${first + index}`, LONG_RUN_MS)))
  }
}

async function submit (cell: BenchCell, index: number, key: string, runMs: number): Promise<void> {
  const { api } = cell.nodes[index % cell.nodes.length]!
  const reply = await callJson(`${api}/v1/queues/${yardageOf(SHARD)}/jobs`, {
    method: 'POST', headers: { authorization: CALLER, 'idempotency-key': key }, body: { body: { runMs } }
  })
  if (reply.isErr()) throw new Error(`The job ${key} got no answer: ${reply.error}`)
  if (reply.value.status >= 300) throw new Error(`The job ${key} was refused: ${JSON.stringify(reply.value.body)}`)
}

async function awaitRunning (cell: BenchCell, tasks: number): Promise<void> {
  for (let waitedMs = 0; await cell.running(SHARD) < tasks; waitedMs += SETTLE_MS) {
    if (waitedMs > 10 * SETTLE_MS) throw new Error(`Only ${await cell.running(SHARD)} of ${tasks} tasks run.`)
    await sleep(SETTLE_MS)
  }
  await sleep(USAGE_SETTLE_MS)
}

/**
 * Fits a line for each series, role and quantity.
 *
 * @param points the measured points
 * @returns the lines
 */
export function fitSlopes (points: readonly ControlPoint[]): ControlSlope[] {
  const slopes: ControlSlope[] = []
  for (const series of Object.values(Series)) {
    for (const role of Object.values(NodeRole)) {
      const group = points.filter((point) => point.series === series && point.role === role)
      if (new Set(group.map(({ x }) => x)).size < 2) continue
      for (const quantity of QUANTITIES) {
        slopes.push({ series, role, quantity, ...fitSlope(group.map((point) => ({ x: point.x, y: point[quantity] }))) })
      }
    }
  }
  return slopes
}

function createReport (results: ControlResults): Report {
  const { points, slopes } = results
  return {
    results,
    tables: [{
      title: 'Measured points, a node and second, with the default times',
      columns: [
        'varied', 'at', 'role', 'control B/s', 'peers', 'log', 'list of VMs', 'workers', 'requests B/s', 'share of a core',
        'resident MB', 'appends/s', 'load average'
      ],
      rows: points.map((point) => [
        point.series, point.x, point.role, point.controlBytes, point.peerBytes, point.logBytes, point.machinesBytes,
        point.workerBytes, point.requestBytes, point.cpuShare, point.residentMb, point.appends, point.load
      ])
    }, {
      title: 'Slopes by least squares: value at zero, slope and residual',
      columns: ['varied', 'role', 'quantity', 'at zero', 'slope', 'residual'],
      rows: slopes.map((line) => [line.series, line.role, line.quantity, line.intercept, line.slope, line.residual])
    }],
    charts: [{
      name: 'control',
      title: 'Bytes of control a second by workers of the shard',
      rows: points.filter(({ series }) => series === Series.Workers).map(({ role, x, controlBytes }) => {
        return { role, x, controlBytes }
      }),
      x: { field: 'x', title: 'workers of the shard', scale: 'linear' },
      y: { field: 'controlBytes', title: 'bytes a second', scale: 'linear' },
      series: 'role',
      mark: 'line'
    }]
  }
}
