/**
 * The part of each team's upper limit that one shard may use.
 *
 * Base allotments split the limit over the shards where the team has queues or services, so that their sum is the
 * limit. Transfers that are recorded in the shards' streams move amounts between shards; the giver lowers its own
 * allotment first.
 */
import type { Manifest, Team, UpperLimit } from '@fireflymount/manifest/manifest'
import type { TeamQuota } from '@fireflymount/policy/task'
import type { Allotment } from '@fireflymount/protocol/message'
import type { ShardState } from './state.js'

/** Time after which every node is assumed to apply a new revision of the manifest. */
export const REVISION_PROPAGATION_MS = 8000

/** The dimensions of an allotment. */
export const ALLOTMENT_DIMENSIONS = ['tasks', 'cpuMilli', 'memoryMb', 'accelerators'] as const

const NOTHING: Allotment = { tasks: 0, cpuMilli: 0, memoryMb: 0, accelerators: 0 }

interface BaseAllotment {
  /** The shards that share the limit, joined into one string for comparison. */
  readonly shards: string
  amount: Allotment
  /** A larger amount from a new split, and the time from which every other shard applies the new split too. */
  increase?: { readonly amount: Allotment, readonly atMs: number }
}

/** The allotments of one shard. They are kept while the process runs, so that the split before the newest one is known. */
export class Allotments {
  private readonly bases = new Map<string, BaseAllotment>()
  private teams: readonly Team[] = []

  constructor (private readonly shard: string) {}

  /** Applies a new revision of the manifest. */
  setManifest (manifest: Manifest, nowMs: number): void {
    this.teams = manifest.teams
    for (const team of manifest.teams) this.setBase(team, shardsOf(manifest, team.name), nowMs)
    for (const name of this.bases.keys()) {
      if (!manifest.teams.some((team) => team.name === name)) this.bases.delete(name)
    }
  }

  /** Returns each team's share and allotment for the scheduler. */
  quotas (state: ShardState, nowMs: number): TeamQuota[] {
    return this.teams.map((team) => ({ team: team.name, share: team.share, allotment: this.allotment(team.name, state, nowMs) }))
  }

  /** Returns what a team may have running in this shard; Infinity in dimensions without a limit. */
  allotment (team: string, state: ShardState, nowMs: number): Allotment {
    const base = this.base(team, nowMs)
    const net = state.net.get(team) ?? NOTHING
    return mapAllotment((dimension) => Math.max(0, base[dimension] + net[dimension]))
  }

  private base (team: string, nowMs: number): Allotment {
    const base = this.bases.get(team)
    if (base === undefined) return NOTHING
    if (base.increase !== undefined && nowMs >= base.increase.atMs) {
      base.amount = base.increase.amount
      delete base.increase
    }
    return base.amount
  }

  private setBase (team: Team, shards: readonly string[], nowMs: number): void {
    const amount = splitLimit(team.upperLimit, shards, this.shard)
    const before = this.bases.get(team.name)
    const joinedShards = shards.join(',')
    if (before === undefined || before.shards === joinedShards) {
      this.bases.set(team.name, { shards: joinedShards, amount })
      return
    }
    // A new split may assign to this shard an amount that another shard still uses under the previous split.
    const current = this.base(team.name, nowMs)
    const lower = mapAllotment((dimension) => Math.min(current[dimension], amount[dimension]))
    this.bases.set(team.name, {
      shards: joinedShards,
      amount: lower,
      increase: { amount, atMs: nowMs + REVISION_PROPAGATION_MS }
    })
  }
}

/**
 * Splits an upper limit over shards.
 *
 * @param limit the team's upper limit
 * @param shards all shards that share it, in the same order on every node
 * @param shard one of these shards
 * @returns that shard's part; the parts of all shards add up to the limit
 *
 * @example
 * splitLimit({ tasks: 10 }, ['bee-planner', 'cloth-studio', 'rota-desk'], 'bee-planner').tasks // 4
 */
export function splitLimit (limit: UpperLimit, shards: readonly string[], shard: string): Allotment {
  const index = shards.indexOf(shard)
  if (index < 0) return NOTHING
  return mapAllotment((dimension) => {
    const whole = limit[dimension]
    if (whole === undefined) return Infinity
    return Math.floor(whole / shards.length) + (index < whole % shards.length ? 1 : 0)
  })
}

/**
 * Builds an allotment dimension by dimension.
 *
 * @param amountOf gives the amount of one dimension
 * @returns the allotment
 *
 * @example
 * mapAllotment((dimension) => left[dimension] + right[dimension])
 */
export function mapAllotment (amountOf: (dimension: typeof ALLOTMENT_DIMENSIONS[number]) => number): Allotment {
  return {
    tasks: amountOf('tasks'),
    cpuMilli: amountOf('cpuMilli'),
    memoryMb: amountOf('memoryMb'),
    accelerators: amountOf('accelerators')
  }
}

function shardsOf (manifest: Manifest, team: string): string[] {
  const shards = new Set<string>()
  for (const queue of manifest.queues) {
    if (queue.teams.includes(team)) shards.add(queue.upstream)
  }
  for (const service of manifest.services) {
    if (service.team === team) shards.add(service.upstream)
  }
  return [...shards].sort()
}
