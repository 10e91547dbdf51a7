/**
 * The part "policy": tables and pictures of waiting times, packing and distance to share.
 */
import type { Chart } from './chart.js'
import type { Distance } from './distance.js'
import type { Pack } from './packing.js'
import type { Report, Table } from './report.js'
import type { Wait } from './waiting.js'
import { measureDistance } from './distance.js'
import { measurePacking } from './packing.js'
import { Part } from './report.js'
import { measureWaiting } from './waiting.js'

const SHORTEST_MS = 1

/** Quality of decisions beside the baselines. */
export class Quality extends Part {
  readonly name = 'policy'
  readonly title = 'Waiting, packing and share'

  async measure (seed: number): Promise<Report> {
    const waits = measureWaiting(seed)
    const packs = measurePacking(seed)
    const distances = measureDistance(seed)
    return {
      results: { waits, packs, distances },
      tables: [createWaitTable(waits), createPackTable(packs), createDistanceTable(distances)],
      charts: [createWaitChart(waits), ...createPackCharts(packs), createDistanceChart(distances)]
    }
  }
}

function createWaitTable (waits: readonly Wait[]): Table {
  const sorted = [...waits].sort((left, right) => orderOf(left).localeCompare(orderOf(right)))
  return {
    title: 'Waiting time by class',
    columns: ['case', 'class', 'scheduler', 'p50 ms', 'p99 ms', 'started', 'refused', 'expired', 'lost', 'still waiting', 'preempted'],
    rows: sorted.map(wait => [
      wait.case, wait.kind, wait.scheduler, wait.p50Ms, wait.p99Ms,
      wait.started, wait.refused, wait.expired, wait.lost, wait.left, wait.preempted
    ])
  }
}

function orderOf (wait: Wait): string {
  return `${wait.case} ${wait.kind}`
}

function createPackTable (packs: readonly Pack[]): Table {
  return {
    title: 'Packing and gang waiting by size of the shard',
    columns: ['scheduler', 'workers', 'packed', 'gang p50 ms', 'gang p99 ms', 'gangs started', 'gangs still waiting', 'batch p99 ms'],
    rows: packs.map(pack => [
      pack.scheduler, pack.workers, pack.packed, pack.gangP50Ms, pack.gangP99Ms, pack.gangs, pack.gangsLeft, pack.batchP99Ms
    ])
  }
}

function createDistanceTable (distances: readonly Distance[]): Table {
  const schedulers = [...new Set(distances.map(({ scheduler }) => scheduler))]
  const rows = schedulers.map(name => {
    const values = distances.filter(({ scheduler }) => scheduler === name).map(({ distance }) => distance)
    return [name, values.reduce((sum, value) => sum + value, 0) / values.length, Math.max(...values)]
  })
  return { title: 'Distance to share of teams of unlike demand', columns: ['scheduler', 'mean', 'largest'], rows }
}

function createWaitChart (waits: readonly Wait[]): Chart {
  return {
    name: 'waiting',
    title: 'Waiting time p99 by case and class',
    rows: waits.map(wait => ({ scheduler: wait.scheduler, class: orderOf(wait), p99: Math.max(SHORTEST_MS, wait.p99Ms) })),
    x: { field: 'p99', title: 'p99 ms', scale: 'log' },
    y: { field: 'class', title: '', scale: 'nominal' },
    series: 'scheduler',
    mark: 'point'
  }
}

function createPackCharts (packs: readonly Pack[]): Chart[] {
  const x = { field: 'workers', title: 'workers of the shard', scale: 'log' as const }
  const packed = packs.map(({ scheduler, workers, packed: part }) => ({ scheduler, workers, part }))
  const gangs = packs.map(({ scheduler, workers, gangP99Ms }) => ({ scheduler, workers, p99: Math.max(SHORTEST_MS, gangP99Ms) }))
  return [
    {
      name: 'packing',
      title: 'Scarcest resource in use when the first task has to wait',
      rows: packed,
      x,
      y: { field: 'part', title: 'part', scale: 'linear' },
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

function createDistanceChart (distances: readonly Distance[]): Chart {
  return {
    name: 'distance',
    title: 'Part of the shard that runs for the wrong team',
    rows: distances.map(({ scheduler, atS, distance }) => ({ scheduler, atS, distance })),
    x: { field: 'atS', title: 'seconds', scale: 'linear' },
    y: { field: 'distance', title: 'part', scale: 'linear' },
    series: 'scheduler',
    mark: 'line'
  }
}
