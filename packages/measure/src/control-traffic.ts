/**
 * The part "control": control traffic, CPU and memory of running daemons, both idle and under load.
 */
import { loadavg } from 'node:os'
import { setTimeout as sleep } from 'node:timers/promises'
import { Section } from '@fireflymount/manifest/manifest'
import { callJson } from '@fireflymount/scenario/cell/http'
import { BenchCell, type CellPlan } from './bench/cell.js'
import { CALLER_AUTHORIZATION, createManifest, shardName, jobQueueOf } from './bench/manifest.js'
import { computeUsageRates, type NodeUsage, type UsageRates } from './bench/usage.js'
import type { Report } from './report.js'
import { Part } from './report.js'
import { fitLine, mean, type Line } from './least-squares.js'

const BASE_PLAN: CellPlan = { nodes: 4, shards: 1, workers: 24, slots: 1_000 }
const WORKER_COUNTS = [10, 48, 100]
const NODE_COUNTS = [8, 12]
const SHARD_COUNTS = [2, 4]
const STARTS_PER_S = [5, 20, 60]
const RUNNING_TASKS = [200, 1_000, 3_000]
const CHANGES_PER_S = [0.3, 1, 3]
/** Time over which the usage of the nodes is measured for one point. */
const WINDOW_MS = 6_000
/** Time over which the usage is measured while configuration changes are published. */
const CHANGE_WINDOW_MS = 10_000
/** Time between the start of a cell and the first reading, and between two counts of the running tasks. */
const SETTLE_MS = 2_000
/** Time within which the submitted tasks must be running. */
const RUNNING_TIMEOUT_MS = 10 * SETTLE_MS
/** Time after which every worker has reported the usage of its new tasks; it does so once for each task. */
const USAGE_SETTLE_MS = 6_000
const MS_PER_S = 1000
/** Run time of the jobs whose starts are measured. */
const SHORT_RUN_MS = 200
/** Run time of the jobs that are to keep running while the cell is measured. */
const LONG_RUN_MS = 600_000
const MAX_CONCURRENT_SUBMISSIONS = 100
const SHARD = shardName(0)

/** Role of a node in the cell; each node runs one daemon. */
export enum NodeRole {
  Owner = 'owner',
  Standby = 'standby',
  /** Neither owner nor standby: a node that only accepts requests and follows the configuration. */
  Follower = 'follower'
}

/** The parameter that is varied; the results call it the series. */
export enum VariedParameter {
  Workers = 'workers of the shard',
  Nodes = 'nodes',
  Shards = 'shards owned',
  Starts = 'task starts a second',
  Running = 'tasks running',
  Changes = 'configuration changes a second'
}

/** Mean usage of the nodes of one role, with one parameter at one value. */
export interface ControlPoint extends Omit<UsageRates, 'node'> {
  readonly series: VariedParameter
  readonly x: number
  readonly role: NodeRole
  /** Load average of the host over one minute. */
  readonly load: number
}

/** Quantities for which lines are fitted. */
export type Quantity =
  'controlBytes' | 'peerBytes' | 'logBytes' | 'machinesBytes' | 'workerBytes' | 'cpuShare' | 'residentMb' | 'appends'

/** The line fitted to one quantity. */
export interface ControlLine extends Line {
  readonly series: VariedParameter
  readonly role: NodeRole
  readonly quantity: Quantity
}

/** Results of this part. */
export interface ControlResults {
  readonly points: readonly ControlPoint[]
  /** The fitted lines. */
  readonly slopes: readonly ControlLine[]
}

const QUANTITIES: readonly Quantity[] = [
  'controlBytes', 'peerBytes', 'logBytes', 'machinesBytes', 'workerBytes', 'cpuShare', 'residentMb', 'appends'
]

/** Measures the control cost of running daemons. */
export class ControlTrafficPart extends Part {
  readonly name = 'control'
  readonly title = 'Control cost of a node'

  async measure (): Promise<Report> {
    const points = [...await measureLoads(), ...await measureCellSizes()]
    return createReport({ points, slopes: fitLines(points) })
  }
}

/** Measures everything that can be varied in one running cell. */
async function measureLoads (): Promise<ControlPoint[]> {
  const cell = await BenchCell.start(BASE_PLAN)
  const points: ControlPoint[] = []
  try {
    await sleep(SETTLE_MS)
    const idlePoints = await measureWindow(cell, VariedParameter.Workers, BASE_PLAN.workers, WINDOW_MS)
    points.push(...idlePoints)
    for (const [series, x] of [
      [VariedParameter.Nodes, BASE_PLAN.nodes],
      [VariedParameter.Starts, 0],
      [VariedParameter.Running, 0],
      [VariedParameter.Changes, 0]
    ] as const) points.push(...idlePoints.map((point) => ({ ...point, series, x })))
    for (const rate of CHANGES_PER_S) {
      points.push(...await measureWindow(cell, VariedParameter.Changes, rate, CHANGE_WINDOW_MS, createPublications(cell, rate)))
    }
    for (const rate of STARTS_PER_S) {
      points.push(...await measureWindow(cell, VariedParameter.Starts, rate, WINDOW_MS, createSubmissions(cell, rate)))
    }
    let running = 0
    for (const tasks of RUNNING_TASKS) {
      await submitJobs(cell, running, tasks)
      running = tasks
      await awaitRunning(cell, tasks)
      points.push(...await measureWindow(cell, VariedParameter.Running, tasks, WINDOW_MS))
    }
    return points
  } finally {
    await cell.close()
  }
}

/** Measures the parameters that need a new cell for each value. */
async function measureCellSizes (): Promise<ControlPoint[]> {
  const points: ControlPoint[] = []
  const plans: Array<[VariedParameter, number, CellPlan]> = [
    ...WORKER_COUNTS.map((workers): [VariedParameter, number, CellPlan] => {
      return [VariedParameter.Workers, workers, { ...BASE_PLAN, workers }]
    }),
    ...NODE_COUNTS.map((nodes): [VariedParameter, number, CellPlan] => {
      return [VariedParameter.Nodes, nodes, { ...BASE_PLAN, nodes }]
    }),
    ...SHARD_COUNTS.map((shards): [VariedParameter, number, CellPlan] => {
      return [VariedParameter.Shards, shards, { ...BASE_PLAN, shards }]
    })
  ]
  for (const [series, x, plan] of plans) {
    const cell = await BenchCell.start(plan)
    try {
      await sleep(SETTLE_MS)
      points.push(...await measureWindow(cell, series, x, WINDOW_MS))
    } finally {
      await cell.close()
    }
  }
  return points
}

/** Work that runs periodically during a measurement window. */
interface PeriodicWork {
  readonly intervalMs: number
  readonly run: (index: number) => Promise<void>
}

async function measureWindow (
  cell: BenchCell, series: VariedParameter, x: number, windowMs: number, work?: PeriodicWork
): Promise<ControlPoint[]> {
  const before = await cell.readUsages()
  if (work === undefined) await sleep(windowMs)
  else await runPeriodically(work, windowMs)
  const after = await cell.readUsages()
  const rates = after.map((usage, index) => computeUsageRates(before[index]!, usage))
  if (series === VariedParameter.Shards) return rates.map((nodeRates, index) => createShardsPoint(nodeRates, after[index]!))
  const owned = new Map(after.map(({ node, owned }) => [node, owned.length]))
  const standbys = new Set(await cell.readStandbys(SHARD))
  const hostLoad = loadavg()[0]!
  const points: ControlPoint[] = []
  for (const role of Object.values(NodeRole)) {
    const group = rates.filter(({ node }) => roleOf(node, owned, standbys) === role)
    if (group.length > 0) points.push({ series, x, role, load: hostLoad, ...averageRates(group) })
  }
  return points
}

/** Creates the point of one node. Its x is the number of shards that the node owns, which may be 0; its role is always Owner. */
function createShardsPoint ({ node: _, ...rates }: UsageRates, { owned }: NodeUsage): ControlPoint {
  return { series: VariedParameter.Shards, x: owned.length, role: NodeRole.Owner, load: loadavg()[0]!, ...rates }
}

function roleOf (node: string, owned: ReadonlyMap<string, number>, standbys: ReadonlySet<string>): NodeRole {
  if ((owned.get(node) ?? 0) > 0) return NodeRole.Owner
  return standbys.has(node) ? NodeRole.Standby : NodeRole.Follower
}

function averageRates (group: readonly UsageRates[]): Omit<UsageRates, 'node'> {
  const average = (read: (rates: UsageRates) => number): number => mean(group.map(read))
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

async function runPeriodically ({ intervalMs, run }: PeriodicWork, windowMs: number): Promise<void> {
  const startMs = performance.now()
  const runs: Array<Promise<void>> = []
  for (let index = 0; ; index++) {
    const dueMs = startMs + index * intervalMs
    if (dueMs >= startMs + windowMs) break
    await sleep(Math.max(0, dueMs - performance.now()))
    runs.push(run(index))
  }
  await sleep(Math.max(0, startMs + windowMs - performance.now()))
  await Promise.all(runs)
}

function createSubmissions (cell: BenchCell, rate: number): PeriodicWork {
  return { intervalMs: MS_PER_S / rate, run: (index) => submitJob(cell, index, `start-${rate}-${index}`, SHORT_RUN_MS) }
}

/** Publications are serialized, because each is based on the revision of the previous one. */
function createPublications (cell: BenchCell, rate: number): PeriodicWork {
  const [team] = createManifest(1).teams
  let last = Promise.resolve()
  const run = (index: number): Promise<void> => {
    const value = { ...team!, share: 2 + index % 2 }
    last = last.then(() => cell.publish([{ section: Section.Teams, name: team!.name, value }]))
    return last
  }
  return { intervalMs: MS_PER_S / rate, run }
}

/** Submits the jobs of a range of indexes in batches. */
async function submitJobs (cell: BenchCell, from: number, to: number): Promise<void> {
  for (let first = from; first < to; first += MAX_CONCURRENT_SUBMISSIONS) {
    const count = Math.min(MAX_CONCURRENT_SUBMISSIONS, to - first)
    await Promise.all(Array.from({ length: count }, (_, index) => submitJob(cell, first + index, `run-${first + index}`, LONG_RUN_MS)))
  }
}

async function submitJob (cell: BenchCell, index: number, key: string, runMs: number): Promise<void> {
  const { api } = cell.nodes[index % cell.nodes.length]!
  const response = await callJson(`${api}/v1/queues/${jobQueueOf(SHARD)}/jobs`, {
    method: 'POST', headers: { authorization: CALLER_AUTHORIZATION, 'idempotency-key': key }, body: { body: { runMs } }
  })
  if (response.isErr()) throw new Error(`Job ${key} got no response: ${response.error}`)
  if (response.value.status >= 300) throw new Error(`Job ${key} was refused: ${JSON.stringify(response.value.body)}`)
}

async function awaitRunning (cell: BenchCell, tasks: number): Promise<void> {
  for (let waitedMs = 0; await cell.countRunning(SHARD) < tasks; waitedMs += SETTLE_MS) {
    if (waitedMs > RUNNING_TIMEOUT_MS) throw new Error(`Only ${await cell.countRunning(SHARD)} of ${tasks} tasks are running.`)
    await sleep(SETTLE_MS)
  }
  await sleep(USAGE_SETTLE_MS)
}

/**
 * Fits a line to the points of each series, role and quantity.
 *
 * @param points the measured points
 * @returns the fitted lines
 */
export function fitLines (points: readonly ControlPoint[]): ControlLine[] {
  const lines: ControlLine[] = []
  for (const series of Object.values(VariedParameter)) {
    for (const role of Object.values(NodeRole)) {
      const group = points.filter((point) => point.series === series && point.role === role)
      if (new Set(group.map(({ x }) => x)).size < 2) continue
      for (const quantity of QUANTITIES) {
        lines.push({ series, role, quantity, ...fitLine(group.map((point) => ({ x: point.x, y: point[quantity] }))) })
      }
    }
  }
  return lines
}

function createReport (results: ControlResults): Report {
  const { points, slopes: lines } = results
  return {
    results,
    tables: [{
      title: 'Measured points per node and second, with the default timing settings',
      columns: [
        'varied', 'at', 'role', 'control B/s', 'peers', 'log', 'list of VMs', 'workers', 'requests B/s', 'share of a core',
        'resident MiB', 'appends/s', 'load average'
      ],
      rows: points.map((point) => [
        point.series, point.x, point.role, point.controlBytes, point.peerBytes, point.logBytes, point.machinesBytes,
        point.workerBytes, point.requestBytes, point.cpuShare, point.residentMb, point.appends, point.load
      ])
    }, {
      title: 'Lines fitted by least squares: value at zero, slope and residual',
      columns: ['varied', 'role', 'quantity', 'at zero', 'slope', 'residual'],
      rows: lines.map((line) => [line.series, line.role, line.quantity, line.intercept, line.slope, line.residual])
    }],
    charts: [{
      name: 'control',
      title: 'Control bytes a second by workers of the shard',
      rows: points.filter(({ series }) => series === VariedParameter.Workers).map(({ role, x, controlBytes }) => {
        return { role, x, controlBytes }
      }),
      x: { field: 'x', title: 'workers of the shard', scale: 'linear' },
      y: { field: 'controlBytes', title: 'bytes a second', scale: 'linear' },
      series: 'role',
      mark: 'line'
    }]
  }
}
