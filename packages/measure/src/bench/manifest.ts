/**
 * The configuration of a measured cell.
 */
import { hashSecret } from '@fireflymount/manifest/hash'
import type { Manifest, Queue } from '@fireflymount/manifest/manifest'
import { Urgency, Workload } from '@fireflymount/protocol/workload'

/** Availability zones of the cell. */
export const ZONES = ['fukuoka', 'kumamoto', 'kagoshima'] as const

/** `Authorization` of every caller. */
export const CALLER = 'Bearer bench.secret-of-bench'

const TEAM = 'guild-shops'
const SIZE = { cpuMilli: 10, memoryMb: 1, accelerators: 0 }
const DEADLINE_MS = 5_000
const CAPACITY = 100_000

/** Name of a shard, from 0. */
export function shardName (index: number): string {
  return index === 0 ? 'bee-planner' : `bee-planner-${index + 1}`
}

/** Queue of requests of a shard. */
export function previewOf (shard: string): string {
  return `preview-${shard}`
}

/** Queue of jobs of a shard. */
export function yardageOf (shard: string): string {
  return `yardage-${shard}`
}

/**
 * Declares shards with a queue for requests and one for jobs each.
 *
 * @param shards number of shards
 * @returns the manifest
 */
export function createManifest (shards: number): Manifest {
  const names = Array.from({ length: shards }, (_, index) => shardName(index))
  return {
    workspaces: [{ name: TEAM }],
    upstreams: names.map((name) => ({ name, zones: ZONES, weights: { waiting: 3, share: 1, packing: 1 } })),
    teams: [{ name: TEAM, workspace: TEAM, share: 1, upperLimit: { tasks: 1_000_000 } }],
    keys: [{ name: 'bench', team: TEAM, hash: hashSecret('secret-of-bench') }],
    queues: names.flatMap((name) => [
      createQueue(previewOf(name), name, Workload.Request),
      createQueue(yardageOf(name), name, Workload.Batch)
    ]),
    services: [],
    objectives: []
  }
}

function createQueue (name: string, upstream: string, workload: Workload.Request | Workload.Batch): Queue {
  return {
    name,
    upstream,
    workload,
    open: false,
    teams: [TEAM],
    idempotent: true,
    urgency: Urgency.Urgent,
    size: SIZE,
    runtimeMs: 100,
    deadlineMs: workload === Workload.Request ? DEADLINE_MS : 0,
    capacity: CAPACITY,
    attempts: 2,
    checkpoint: false
  }
}
