/**
 * Works out docs/CAPACITY.md from what was measured.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { NodeRole, Series, type ControlPoint, type ControlResults, type Quantity } from './control.js'
import { formatTable, replaceSection, type Table } from './report.js'
import type { Trade } from './standby.js'

const PAGE = 'docs/CAPACITY.md'
const FOLDER = 'docs/measurements'

const WORKERS = 9_300
const STARTS_PER_S = 620
const JOBS_PER_DAY = 170_000
const RUNNING = 200_000
const CHANGES_PER_DAY = 27_000
const REPLACED_PER_DAY = 3_630
/** Changes in the list for each VM that is replaced: leaving, gone, and the new one. */
const LIST_CHANGES = 3
const S_PER_DAY = 86_400
const APPENDS_PER_S = 300
const BUDGET = { controlBytes: 3_000, cpuShare: 0.042, residentMb: 256 }
/** Bytes of one VM in the list. */
const LIST_BYTES = 227
const STANDBYS = 2
/** Workers that the measured cells had in one shard while load varied. */
const BASE_WORKERS = 24
const SIZES = [24, 48, 100, 300]
const CHOSEN = 100
const NODES = [16, 100, 300, 1_000]
const BYTES_PER_KB = 1_000
const MS_PER_S = 1_000
/** Commits that stand between the submission of a durable job and its start. */
const COMMITS_BEFORE_START = 2

/** Reads points off the measurement, and between them. */
class Measured {
  /** @param points the points of the part "control" */
  constructor (private readonly points: readonly ControlPoint[]) {}

  /**
   * Interpolates between the measured points, and extends the line through the last two beyond them.
   *
   * @param series what varies
   * @param role role of the node
   * @param quantity what it spends
   * @param x where
   * @returns the value
   */
  at (series: Series, role: NodeRole, quantity: Quantity, x: number): number {
    const points = this.points.filter((point) => point.series === series && point.role === role).sort((a, b) => a.x - b.x)
    if (points.length < 2) throw new Error(`There are too few points of "${series}". Run npm run measure -- control first.`)
    let upper = points.findIndex((point) => point.x >= x)
    if (upper < 0) upper = points.length - 1
    if (upper === 0) upper = 1
    const [low, high] = [points[upper - 1]!, points[upper]!]
    const part = (x - low.x) / (high.x - low.x)
    return low[quantity] + part * (high[quantity] - low[quantity])
  }

  /** What load adds to the value without it. */
  added (series: Series, role: NodeRole, quantity: Quantity, x: number): number {
    return this.at(series, role, quantity, x) - this.at(series, role, quantity, 0)
  }
}

/** What one shard spends in all its nodes. */
interface ShardCost {
  readonly owner: number
  readonly standby: number
}

/** Writes the tables of docs/CAPACITY.md anew. */
export function writeCapacity (): void {
  const { points } = readResults<ControlResults>('control')
  const measured = new Measured(points)
  const trades = readResults<readonly Trade[]>('standby')
  const tables = [createSizes(measured), createRoles(measured), createNodes(measured), createPositions(trades)]
  const body = ['`npm run measure -- capacity` writes these tables from docs/measurements.', ...tables.map(formatTable)].join('\n\n')
  writeFileSync(PAGE, replaceSection(readFileSync(PAGE, 'utf8'), 'capacity', body))
}

function readResults<T> (name: string): T {
  return (JSON.parse(readFileSync(`${FOLDER}/${name}.json`, 'utf8')) as { results: T }).results
}

/** Spending of a node that owns nothing and is no standby, without the list's changes. */
function baseOf (measured: Measured, quantity: Quantity): number {
  const changes = CHANGES_PER_DAY / S_PER_DAY
  return measured.at(Series.Changes, NodeRole.Follower, quantity, changes)
}

/** What owning or standing by for one shard adds to a node. */
function shardCost (measured: Measured, quantity: Quantity, workers: number, startsPerS: number): ShardCost {
  const idle = measured.at(Series.Workers, NodeRole.Follower, quantity, BASE_WORKERS)
  const add = (role: NodeRole): number => {
    const size = measured.at(Series.Workers, role, quantity, workers) - idle
    return Math.max(0, size + measured.added(Series.Starts, role, quantity, startsPerS))
  }
  return { owner: add(NodeRole.Owner), standby: add(NodeRole.Standby) }
}

function createSizes (measured: Measured): Table {
  const rows = SIZES.map((workers) => {
    const shards = Math.ceil(WORKERS / workers)
    const peak = shardCost(measured, 'controlBytes', workers, STARTS_PER_S / shards)
    const mean = shardCost(measured, 'controlBytes', workers, JOBS_PER_DAY / S_PER_DAY / shards)
    const room = BUDGET.controlBytes - baseOf(measured, 'controlBytes')
    const nodes = (cost: ShardCost): number => {
      return room > 0 ? Math.ceil(shards * (cost.owner + STANDBYS * cost.standby) / room) : Infinity
    }
    const commitMs = MS_PER_S * shards / APPENDS_PER_S
    const appends = shards * measured.at(Series.Starts, NodeRole.Owner, 'appends', STARTS_PER_S / shards)
    return [
      workers, shards, STARTS_PER_S / shards, peak.owner / BYTES_PER_KB, peak.standby / BYTES_PER_KB,
      nodes(mean), nodes(peak), appends, commitMs, COMMITS_BEFORE_START * commitMs
    ]
  })
  return {
    title: 'By workers of a shard, with a list that sends changes only',
    columns: [
      'workers a shard', 'shards', 'starts/s a shard at peak', 'owner adds kB/s', 'standby adds kB/s',
      'nodes for 3 kB/s, mean day', 'nodes for 3 kB/s, peak', 'appends/s at peak, commits of 20 ms',
      'commit interval for 300 appends/s, ms', 'two commits before a start, ms'
    ],
    rows
  }
}

function createRoles (measured: Measured): Table {
  const shards = Math.ceil(WORKERS / CHOSEN)
  const starts = STARTS_PER_S / shards
  const listBytes = WORKERS * LIST_BYTES * LIST_CHANGES * REPLACED_PER_DAY / S_PER_DAY
  const quantities = ['controlBytes', 'cpuShare', 'residentMb'] as const
  const rows: Array<Array<string | number>> = []
  const addRow = (role: string, read: (quantity: typeof quantities[number]) => number): void => {
    const values = quantities.map(read)
    const verdicts = quantities.map((quantity, index) => values[index]! <= BUDGET[quantity] ? 'met' : 'missed')
    rows.push([role, values[0]! / BYTES_PER_KB, verdicts[0]!, values[1]! * 100, verdicts[1]!, values[2]!, verdicts[2]!])
  }
  const tasksMb = measured.added(Series.Running, NodeRole.Owner, 'residentMb', RUNNING / shards)
  const memory = (quantity: Quantity): number => quantity === 'residentMb' ? tasksMb : 0
  addRow('entry and follower of the configuration', (quantity) => baseOf(measured, quantity))
  addRow('the same, with the whole list at each change', (quantity) =>
    baseOf(measured, quantity) + (quantity === 'controlBytes' ? listBytes : 0))
  addRow('standby of one shard, at peak', (quantity) =>
    baseOf(measured, quantity) + shardCost(measured, quantity, CHOSEN, starts).standby + memory(quantity))
  addRow('owner of one shard, no task starting', (quantity) =>
    baseOf(measured, quantity) + shardCost(measured, quantity, CHOSEN, 0).owner + memory(quantity))
  addRow('owner of one shard, at peak', (quantity) =>
    baseOf(measured, quantity) + shardCost(measured, quantity, CHOSEN, starts).owner + memory(quantity))
  return {
    title: `One node in each role, shards of ${CHOSEN} workers, against 3 kB/s, 4.2 % of a core and 256 MB`,
    columns: ['role', 'kB/s', 'bytes', '% of a core', 'processor', 'resident MB', 'memory'],
    rows
  }
}

function createNodes (measured: Measured): Table {
  const shards = Math.ceil(WORKERS / CHOSEN)
  const share = (quantity: Quantity, nodes: number, starts: number): number => {
    const { owner, standby } = shardCost(measured, quantity, CHOSEN, starts / shards)
    return baseOf(measured, quantity) + shards * (owner + STANDBYS * standby) / nodes
  }
  const meanStarts = JOBS_PER_DAY / S_PER_DAY
  return {
    title: `Mean over all nodes, shards of ${CHOSEN} workers, roles spread evenly`,
    columns: ['nodes', 'shards owned a node', 'kB/s, mean day', 'kB/s, peak', '% of a core, mean day', '% of a core, peak'],
    rows: NODES.map((nodes) => [
      nodes,
      shards / nodes,
      share('controlBytes', nodes, meanStarts) / BYTES_PER_KB,
      share('controlBytes', nodes, STARTS_PER_S) / BYTES_PER_KB,
      share('cpuShare', nodes, meanStarts) * 100,
      share('cpuShare', nodes, STARTS_PER_S) * 100
    ])
  }
}

function createPositions (trades: readonly Trade[]): Table {
  return {
    title: 'Position of a standby, at 20 task starts a second',
    columns: ['position', 'live tasks', 'kB/s', 'recovers in ms'],
    rows: trades.map(({ position, liveTasks, bytesPerS, recoverMs }) => {
      return [position, liveTasks, bytesPerS / BYTES_PER_KB, recoverMs]
    })
  }
}
