/**
 * The part "policy": tables and charts of waiting times, packing and deviation from the fair shares.
 */
import type { Chart } from './chart.js'
import type { DistancePoint } from './distance.js'
import type { PackingResult } from './packing.js'
import type { Report, Table } from './report.js'
import type { WaitResult } from './waiting.js'
import { measureDistance } from './distance.js'
import { measurePacking } from './packing.js'
import { Part } from './report.js'
import { measureWaiting } from './waiting.js'

/** Shorter waiting times are drawn at this value, because a logarithmic axis cannot show 0. */
const MIN_CHART_MS = 1

/** Reports the quality of scheduling decisions in comparison with the baselines. */
export class PolicyPart extends Part {
  readonly name = 'policy'
  readonly title = 'Waiting, packing and share'

  async measure (seed: number): Promise<Report> {
    const waits = measureWaiting(seed)
    const packs = measurePacking(seed)
    const distances = measureDistance(seed)
    return {
      results: { waits, packs, distances },
      tables: [createWaitTable(waits), createPackingTable(packs), createDistanceTable(distances)],
      charts: [createWaitChart(waits), ...createPackingCharts(packs), createDistanceChart(distances)]
    }
  }
}

function createWaitTable (waits: readonly WaitResult[]): Table {
  const sorted = [...waits].sort((left, right) => caseAndKind(left).localeCompare(caseAndKind(right)))
  return {
    title: 'Waiting time by kind of task',
    columns: ['case', 'kind', 'scheduler', 'p50 ms', 'p99 ms', 'started', 'refused', 'expired', 'failed', 'still waiting', 'preempted'],
    rows: sorted.map(wait => [
      wait.case, wait.kind, wait.scheduler, wait.p50Ms, wait.p99Ms,
      wait.started, wait.refused, wait.expired, wait.lost, wait.left, wait.preempted
    ])
  }
}

function caseAndKind (wait: WaitResult): string {
  return `${wait.case} ${wait.kind}`
}

function createPackingTable (packs: readonly PackingResult[]): Table {
  return {
    title: 'Packing and gang waiting by size of the shard',
    columns: ['scheduler', 'workers', 'packed', 'gang p50 ms', 'gang p99 ms', 'gangs started', 'gangs still waiting', 'batch p99 ms'],
    rows: packs.map(pack => [
      pack.scheduler, pack.workers, pack.packed, pack.gangP50Ms, pack.gangP99Ms, pack.gangs, pack.gangsLeft, pack.batchP99Ms
    ])
  }
}

function createDistanceTable (distances: readonly DistancePoint[]): Table {
  const schedulers = [...new Set(distances.map(({ scheduler }) => scheduler))]
  const rows = schedulers.map(name => {
    const values = distances.filter(({ scheduler }) => scheduler === name).map(({ distance }) => distance)
    return [name, values.reduce((sum, value) => sum + value, 0) / values.length, Math.max(...values)]
  })
  return { title: 'Deviation from the fair shares, teams with different demand', columns: ['scheduler', 'mean', 'largest'], rows }
}

function createWaitChart (waits: readonly WaitResult[]): Chart {
  return {
    name: 'waiting',
    title: 'Waiting time p99 by case and kind of task',
    rows: waits.map(wait => {
      return { scheduler: wait.scheduler, caseAndKind: caseAndKind(wait), p99: Math.max(MIN_CHART_MS, wait.p99Ms) }
    }),
    x: { field: 'p99', title: 'p99 ms', scale: 'log' },
    y: { field: 'caseAndKind', title: '', scale: 'nominal' },
    series: 'scheduler',
    mark: 'point'
  }
}

function createPackingCharts (packs: readonly PackingResult[]): Chart[] {
  const x = { field: 'workers', title: 'workers of the shard', scale: 'log' as const }
  const packed = packs.map(({ scheduler, workers, packed: utilization }) => ({ scheduler, workers, utilization }))
  const gangs = packs.map(({ scheduler, workers, gangP99Ms }) => ({ scheduler, workers, p99: Math.max(MIN_CHART_MS, gangP99Ms) }))
  return [
    {
      name: 'packing',
      title: 'Utilization of the most utilized resource when the first task has to wait',
      rows: packed,
      x,
      y: { field: 'utilization', title: 'utilization', scale: 'linear' },
      series: 'scheduler',
      mark: 'line'
    },
    {
      name: 'gangs',
      title: 'Waiting time p99 of gangs of 16 tasks',
      rows: gangs,
      x,
      y: { field: 'p99', title: 'p99 ms', scale: 'log' },
      series: 'scheduler',
      mark: 'line'
    }
  ]
}

function createDistanceChart (distances: readonly DistancePoint[]): Chart {
  return {
    name: 'distance',
    title: 'Deviation from the fair shares over time',
    rows: distances.map(({ scheduler, atS, distance }) => ({ scheduler, atS, distance })),
    x: { field: 'atS', title: 'seconds', scale: 'linear' },
    y: { field: 'distance', title: 'fraction of all slots', scale: 'linear' },
    series: 'scheduler',
    mark: 'line'
  }
}
