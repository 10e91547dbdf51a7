/**
 * The cell of the demonstration: the deployments in Kyushu and Mauritius, with fewer workers than in production but of
 * the same sizes.
 */
import { err, ok, type Result } from 'neverthrow'
import { DEFAULT_TIMING } from '@fireflymount/manifest/settings-codec'
import { Cell, type WorkerSpec } from '../cell/cell.js'

const NODES = [
  ['entry-fukuoka', 'fukuoka'], ['entry-kumamoto', 'kumamoto'], ['entry-kagoshima', 'kagoshima'],
  ['entry-port-louis', 'port-louis'], ['entry-pamplemousses', 'pamplemousses'], ['entry-goodlands', 'goodlands']
] as const

const KYUSHU_ZONES = ['fukuoka', 'kumamoto', 'kagoshima'] as const
const MAURITIUS_ZONES = ['port-louis', 'pamplemousses', 'goodlands'] as const

/** The workers of one upstream. */
interface Fleet extends Omit<WorkerSpec, 'zone' | 'rack'> {
  readonly count: number
  readonly zones: readonly string[]
  readonly perRack: number
}

const FLEETS: readonly Fleet[] = [
  { upstream: 'bee-planner', count: 6, zones: KYUSHU_ZONES, perRack: 5, slots: 8, resources: { cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0 } },
  { upstream: 'cloth-studio', count: 4, zones: KYUSHU_ZONES, perRack: 3, slots: 8, resources: { cpuMilli: 64_000, memoryMb: 262_144, accelerators: 8 } },
  { upstream: 'rota-desk', count: 4, zones: MAURITIUS_ZONES, perRack: 5, slots: 8, resources: { cpuMilli: 16_000, memoryMb: 65_536, accelerators: 0 } },
  { upstream: 'regulator', count: 4, zones: MAURITIUS_ZONES, perRack: 3, slots: 8, resources: { cpuMilli: 128_000, memoryMb: 524_288, accelerators: 8 } }
]

/**
 * Starts the stand-ins and six daemons.
 *
 * @param directory directory for settings files and logs
 * @returns the running cell, or why it could not be started
 */
export async function startCell (directory: string): Promise<Result<Cell, string>> {
  const cell = new Cell(directory)
  cell.timing = DEFAULT_TIMING
  const started = await startAll(cell)
  if (started.isOk()) return ok(cell)
  await cell.close()
  return err(started.error)
}

async function startAll (cell: Cell): Promise<Result<void, string>> {
  const platform = await cell.startPlatform([])
  if (platform.isErr()) return platform
  for (const fleet of FLEETS) {
    for (let index = 0; index < fleet.count; index++) {
      const zone = fleet.zones[index % fleet.zones.length]!
      const rack = `${fleet.upstream}-${Math.floor(index / fleet.perRack) + 1}`
      const worker = await cell.startWorker({ ...fleet, zone, rack })
      if (worker.isErr()) return worker
    }
  }
  const nodes = await Promise.all(NODES.map(([name, zone]) => cell.startNode(name, zone)))
  return nodes.find((node) => node.isErr()) ?? ok()
}
