/**
 * Computes the tables of docs/CAPACITY.md from the measurement results.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { NodeRole, VariedParameter, type ControlPoint, type ControlResults, type Quantity } from './control-traffic.js'
import { formatTable, replaceSection, type Table } from './report.js'
import type { StandbyResult } from './standby.js'

const PAGE_PATH = 'docs/CAPACITY.md'
const RESULTS_DIRECTORY = 'docs/measurements'

// The tables are computed for a fleet of this size and load.
/** Workers of all shards together. */
const WORKERS = 9_300
/** Task starts per second at their peak. */
const STARTS_PER_S = 620
/** Jobs on an average day. */
const JOBS_PER_DAY = 170_000
/** Tasks running at the same time, in all shards together. */
const RUNNING_TASKS = 200_000
/** Configuration changes on an average day. */
const CONFIGURATION_CHANGES_PER_DAY = 27_000
/** VMs replaced on an average day. */
const VMS_REPLACED_PER_DAY = 3_630
/** Changes of the VM list for each VM that is replaced: the old one is leaving, the old one is gone, the new one is added. */
const LIST_CHANGES_PER_REPLACEMENT = 3
const S_PER_DAY = 86_400
const MAX_APPENDS_PER_S = 300
/** Limits of one node: control bytes per second, fraction of a core, and resident memory in MiB. */
const NODE_BUDGET = { controlBytes: 3_000, cpuShare: 0.042, residentMb: 256 }
/** Size of one entry of the VM list. */
const LIST_BYTES_PER_VM = 227
const STANDBYS_PER_SHARD = 2
/** Workers per shard in the measured cells whose load was varied. */
const REFERENCE_WORKERS = 24
const SHARD_SIZES = [24, 48, 100, 300]
const CHOSEN_SHARD_SIZE = 100
const NODE_COUNTS = [16, 100, 300, 1_000]
const BYTES_PER_KB = 1_000
const MS_PER_S = 1_000
/** Group commits that a durable job waits for between its submission and its start. */
const COMMITS_BEFORE_START = 2

/** Reads values at and between the measured points. */
class MeasuredPoints {
  /** @param points measured points of the part "control" */
  constructor (private readonly points: readonly ControlPoint[]) {}

  /**
   * Interpolates linearly between the measured points and, outside their range, extrapolates from the two nearest points.
   *
   * @param series the varied parameter
   * @param role role of the node
   * @param quantity the measured quantity
   * @param x value of the varied parameter
   * @returns the value
   */
  interpolate (series: VariedParameter, role: NodeRole, quantity: Quantity, x: number): number {
    const points = this.points.filter((point) => point.series === series && point.role === role).sort((a, b) => a.x - b.x)
    if (points.length < 2) throw new Error(`The results have fewer than two points of "${series}". Run npm run measure -- control first.`)
    let upper = points.findIndex((point) => point.x >= x)
    if (upper < 0) upper = points.length - 1
    if (upper === 0) upper = 1
    const [low, high] = [points[upper - 1]!, points[upper]!]
    const fraction = (x - low.x) / (high.x - low.x)
    return low[quantity] + fraction * (high[quantity] - low[quantity])
  }

  /** Computes the increase of a quantity over its value at zero load. */
  addedByLoad (series: VariedParameter, role: NodeRole, quantity: Quantity, x: number): number {
    return this.interpolate(series, role, quantity, x) - this.interpolate(series, role, quantity, 0)
  }
}

/** Cost of one shard on its owner and on each of its standbys. */
interface ShardCost {
  readonly owner: number
  readonly standby: number
}

/** Rewrites the tables of docs/CAPACITY.md. */
export function writeCapacityTables (): void {
  const { points } = readResults<ControlResults>('control')
  const measured = new MeasuredPoints(points)
  const standbyResults = readResults<readonly StandbyResult[]>('standby')
  const tables = [
    createShardSizeTable(measured), createRoleTable(measured), createNodeCountTable(measured), createStandbyTable(standbyResults)
  ]
  const body = ['`npm run measure -- capacity` writes these tables from docs/measurements.', ...tables.map(formatTable)].join('\n\n')
  writeFileSync(PAGE_PATH, replaceSection(readFileSync(PAGE_PATH, 'utf8'), 'capacity', body))
}

function readResults<T> (name: string): T {
  return (JSON.parse(readFileSync(`${RESULTS_DIRECTORY}/${name}.json`, 'utf8')) as { results: T }).results
}

/**
 * Usage of a node that is neither an owner nor a standby, at the average rate of configuration changes and without the
 * traffic of VM list changes.
 */
function baseCost (measured: MeasuredPoints, quantity: Quantity): number {
  const changes = CONFIGURATION_CHANGES_PER_DAY / S_PER_DAY
  return measured.interpolate(VariedParameter.Changes, NodeRole.Follower, quantity, changes)
}

/** Additional usage of a node for each shard that it owns or is a standby of. */
function shardCost (measured: MeasuredPoints, quantity: Quantity, workers: number, startsPerS: number): ShardCost {
  const idle = measured.interpolate(VariedParameter.Workers, NodeRole.Follower, quantity, REFERENCE_WORKERS)
  const add = (role: NodeRole): number => {
    const addedBySize = measured.interpolate(VariedParameter.Workers, role, quantity, workers) - idle
    return Math.max(0, addedBySize + measured.addedByLoad(VariedParameter.Starts, role, quantity, startsPerS))
  }
  return { owner: add(NodeRole.Owner), standby: add(NodeRole.Standby) }
}

function createShardSizeTable (measured: MeasuredPoints): Table {
  const rows = SHARD_SIZES.map((workers) => {
    const shards = Math.ceil(WORKERS / workers)
    const peak = shardCost(measured, 'controlBytes', workers, STARTS_PER_S / shards)
    const mean = shardCost(measured, 'controlBytes', workers, JOBS_PER_DAY / S_PER_DAY / shards)
    const availableBytes = NODE_BUDGET.controlBytes - baseCost(measured, 'controlBytes')
    const nodes = (cost: ShardCost): number => {
      return availableBytes > 0 ? Math.ceil(shards * (cost.owner + STANDBYS_PER_SHARD * cost.standby) / availableBytes) : Infinity
    }
    const commitIntervalMs = MS_PER_S * shards / MAX_APPENDS_PER_S
    const appends = shards * measured.interpolate(VariedParameter.Starts, NodeRole.Owner, 'appends', STARTS_PER_S / shards)
    return [
      workers, shards, STARTS_PER_S / shards, peak.owner / BYTES_PER_KB, peak.standby / BYTES_PER_KB,
      nodes(mean), nodes(peak), appends, commitIntervalMs, COMMITS_BEFORE_START * commitIntervalMs
    ]
  })
  return {
    title: 'By workers per shard, without the traffic of VM list changes',
    columns: [
      'workers a shard', 'shards', 'starts/s a shard at peak', 'owner adds kB/s', 'standby adds kB/s',
      'nodes at up to 3 kB/s each, average day', 'nodes at up to 3 kB/s each, peak', 'appends/s at peak, one commit per 20 ms',
      'commit interval for 300 appends/s, ms', 'two commits before a start, ms'
    ],
    rows
  }
}

function createRoleTable (measured: MeasuredPoints): Table {
  const shards = Math.ceil(WORKERS / CHOSEN_SHARD_SIZE)
  const starts = STARTS_PER_S / shards
  const listBytes = WORKERS * LIST_BYTES_PER_VM * LIST_CHANGES_PER_REPLACEMENT * VMS_REPLACED_PER_DAY / S_PER_DAY
  const quantities = ['controlBytes', 'cpuShare', 'residentMb'] as const
  const rows: Array<Array<string | number>> = []
  const addRow = (role: string, read: (quantity: typeof quantities[number]) => number): void => {
    const values = quantities.map(read)
    const checks = quantities.map((quantity, index) => values[index]! <= NODE_BUDGET[quantity] ? 'met' : 'missed')
    rows.push([role, values[0]! / BYTES_PER_KB, checks[0]!, values[1]! * 100, checks[1]!, values[2]!, checks[2]!])
  }
  const tasksMb = measured.addedByLoad(VariedParameter.Running, NodeRole.Owner, 'residentMb', RUNNING_TASKS / shards)
  const memory = (quantity: Quantity): number => quantity === 'residentMb' ? tasksMb : 0
  addRow('neither owner nor standby', (quantity) => baseCost(measured, quantity))
  addRow('neither, if each VM list change transfers the whole list', (quantity) =>
    baseCost(measured, quantity) + (quantity === 'controlBytes' ? listBytes : 0))
  addRow('standby of one shard, at peak', (quantity) =>
    baseCost(measured, quantity) + shardCost(measured, quantity, CHOSEN_SHARD_SIZE, starts).standby + memory(quantity))
  addRow('owner of one shard, no task starting', (quantity) =>
    baseCost(measured, quantity) + shardCost(measured, quantity, CHOSEN_SHARD_SIZE, 0).owner + memory(quantity))
  addRow('owner of one shard, at peak', (quantity) =>
    baseCost(measured, quantity) + shardCost(measured, quantity, CHOSEN_SHARD_SIZE, starts).owner + memory(quantity))
  return {
    title: `One node in each role, shards of ${CHOSEN_SHARD_SIZE} workers, against 3 kB/s, 4.2 % of a core and 256 MiB`,
    columns: ['role', 'kB/s', 'kB/s within limit', '% of a core', 'CPU within limit', 'resident MiB', 'memory within limit'],
    rows
  }
}

function createNodeCountTable (measured: MeasuredPoints): Table {
  const shards = Math.ceil(WORKERS / CHOSEN_SHARD_SIZE)
  const meanUsage = (quantity: Quantity, nodes: number, starts: number): number => {
    const { owner, standby } = shardCost(measured, quantity, CHOSEN_SHARD_SIZE, starts / shards)
    return baseCost(measured, quantity) + shards * (owner + STANDBYS_PER_SHARD * standby) / nodes
  }
  const meanStarts = JOBS_PER_DAY / S_PER_DAY
  return {
    title: `Mean over all nodes, shards of ${CHOSEN_SHARD_SIZE} workers, roles spread evenly`,
    columns: ['nodes', 'shards owned a node', 'kB/s, average day', 'kB/s, peak', '% of a core, average day', '% of a core, peak'],
    rows: NODE_COUNTS.map((nodes) => [
      nodes,
      shards / nodes,
      meanUsage('controlBytes', nodes, meanStarts) / BYTES_PER_KB,
      meanUsage('controlBytes', nodes, STARTS_PER_S) / BYTES_PER_KB,
      meanUsage('cpuShare', nodes, meanStarts) * 100,
      meanUsage('cpuShare', nodes, STARTS_PER_S) * 100
    ])
  }
}

function createStandbyTable (results: readonly StandbyResult[]): Table {
  return {
    title: 'Standbys by how closely they follow the log, at 20 task starts a second',
    columns: ['mode', 'live tasks', 'kB/s', 'recovery ms'],
    rows: results.map(({ position, liveTasks, bytesPerS, recoverMs }) => {
      return [position, liveTasks, bytesPerS / BYTES_PER_KB, recoverMs]
    })
  }
}
