/**
 * The part of each team's upper limit that one shard may use.
 *
 * Base allotments split the limit over the shards where the team has queues or services, so that their sum is the
 * limit. Transfers in the shards' streams move parts of it; a giver lowers its own first.
 */
import type { Manifest, Team, UpperLimit } from '@fireflymount/manifest/manifest'
import type { Claim } from '@fireflymount/policy/task'
import type { Allotment } from '@fireflymount/protocol/message'
import type { ShardState } from './state.js'

/** Time within which a revision is in force on every node. */
export const SETTLE_MS = 8000

/** The dimensions of an allotment. */
export const DIMENSIONS = ['tasks', 'cpuMilli', 'memoryMb', 'accelerators'] as const

const NOTHING: Allotment = { tasks: 0, cpuMilli: 0, memoryMb: 0, accelerators: 0 }

interface Base {
  readonly shards: string
  amount: Allotment
  /** A larger part of a new split, and when every other shard certainly uses the new split too. */
  raise?: { readonly amount: Allotment, readonly atMs: number }
}

/** Allotments of one shard. Lives as long as the node, so that it has seen each split before the newest. */
export class Allotments {
  private readonly bases = new Map<string, Base>()
  private teams: readonly Team[] = []

  constructor (private readonly shard: string) {}

  /** Takes a new revision in. */
  setManifest (manifest: Manifest, nowMs: number): void {
    this.teams = manifest.teams
    for (const team of manifest.teams) this.setBase(team, shardsOf(manifest, team.name), nowMs)
    for (const name of this.bases.keys()) {
      if (!manifest.teams.some((team) => team.name === name)) this.bases.delete(name)
    }
  }

  /** Shares and allotments for the scheduler. */
  claims (state: ShardState, nowMs: number): Claim[] {
    return this.teams.map((team) => ({ team: team.name, share: team.share, allotment: this.allotment(team.name, state, nowMs) }))
  }

  /** What a team may have running in this shard; Infinity where it has no limit. */
  allotment (team: string, state: ShardState, nowMs: number): Allotment {
    const base = this.base(team, nowMs)
    const net = state.net.get(team) ?? NOTHING
    return mapAllotment((dimension) => Math.max(0, base[dimension] + net[dimension]))
  }

  private base (team: string, nowMs: number): Allotment {
    const base = this.bases.get(team)
    if (base === undefined) return NOTHING
    if (base.raise !== undefined && nowMs >= base.raise.atMs) {
      base.amount = base.raise.amount
      delete base.raise
    }
    return base.amount
  }

  private setBase (team: Team, shards: readonly string[], nowMs: number): void {
    const amount = splitLimit(team.upperLimit, shards, this.shard)
    const before = this.bases.get(team.name)
    const key = shards.join(',')
    if (before === undefined || before.shards === key) {
      this.bases.set(team.name, { shards: key, amount })
      return
    }
    // A new split may give this shard what another one still uses under the split before.
    const current = this.base(team.name, nowMs)
    const lower = mapAllotment((dimension) => Math.min(current[dimension], amount[dimension]))
    this.bases.set(team.name, { shards: key, amount: lower, raise: { amount, atMs: nowMs + SETTLE_MS } })
  }
}

/**
 * Splits an upper limit over shards.
 *
 * @param limit the team's upper limit
 * @param shards all shards that share it, in the same order everywhere
 * @param shard one of them
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
export function mapAllotment (amountOf: (dimension: typeof DIMENSIONS[number]) => number): Allotment {
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
