/**
 * The choice of the nodes that call the workers: pure functions, so that every owner chooses nearly the same nodes and the
 * connections of the workers stay where they are.
 */
import type { WorkerAddress } from '../model/worker.js'

/** A node that can call workers. */
export interface Gateway {
  readonly node: string
  readonly zone: string
  /** Processor of the node, in cores. */
  readonly weight: number
}

/** A node has at most its share of the workers multiplied by this factor, as long as another node has fewer. */
const MAX_SHARE_FACTOR = 1.25
/** Gateways in the worker's zone come first if their zone has at least this part of the mean processor of a zone. */
const MIN_ZONE_SHARE = 0.5

/**
 * The order of the gateways for each worker, kept from one assignment to the next. Nodes that fail by turns change the gateways several
 * times a second, and a new owner assigns them again with each node that connects to it, when its processor is needed for other things.
 * The order of some gateways does not depend on the others, except by the zones that are strong enough.
 */
export class GatewayRanking {
  /** Logarithms of the hashes, by worker and node. They do not change. */
  private readonly logs = new Map<string, Map<string, number>>()
  /** Gateways in the order, and others that were there before. */
  private readonly known = new Map<string, Gateway>()
  private readonly orders = new Map<string, readonly string[]>()
  private present: ReadonlySet<string> = new Set()
  private zones: ReadonlySet<string> = new Set()

  /** Sets the gateways to rank. */
  update (gateways: readonly Gateway[]): void {
    const zones = preferredZones(gateways)
    let changed = zones.size !== this.zones.size || [...zones].some((zone) => !this.zones.has(zone))
    for (const gateway of gateways) {
      const before = this.known.get(gateway.node)
      if (before?.zone === gateway.zone && before.weight === gateway.weight) continue
      this.known.set(gateway.node, gateway)
      changed = true
    }
    if (changed) this.orders.clear()
    this.zones = zones
    this.present = new Set(gateways.map(({ node }) => node))
  }

  /** Returns the names of the gateways for a worker, the best one first. */
  rank (worker: WorkerAddress): string[] {
    let order = this.orders.get(worker.id)
    if (order === undefined) this.orders.set(worker.id, order = this.order(worker))
    return order.filter((node) => this.present.has(node))
  }

  /** Drops what is known of a worker. */
  forget (worker: string): void {
    this.logs.delete(worker)
    this.orders.delete(worker)
  }

  private order (worker: WorkerAddress): string[] {
    let logs = this.logs.get(worker.id)
    if (logs === undefined) this.logs.set(worker.id, logs = new Map())
    const scored: Array<{ node: string, score: number }> = []
    for (const { node, zone, weight } of this.known.values()) {
      let log = logs.get(node)
      if (log === undefined) logs.set(node, log = Math.log(fractionOf(worker.id, node)))
      // The weights hold within a zone and for the rest: a score is at most 0, and the worker's zone scores above 0.
      const score = log / weight
      scored.push({ node, score: zone === worker.zone && this.zones.has(zone) ? -1 / score : score })
    }
    return scored.sort((left, right) => right.score - left.score).map(({ node }) => node)
  }
}

/**
 * Ranks the gateways for each worker, the best one first: by rendezvous hashing weighted by their processors, those in the
 * worker's zone first. The first gateways are then chosen so that no gateway has far more workers than its share.
 *
 * @param workers the workers
 * @param gateways the gateways, in any order
 * @param ranking the ranking of earlier assignments
 * @returns names of the gateways by id of the worker
 */
export function assignGateways (
  workers: Iterable<WorkerAddress>, gateways: readonly Gateway[], ranking = new GatewayRanking()
): Map<string, readonly string[]> {
  // The order decides which workers get the full gateways. It must not depend on the owner.
  const sorted = [...workers].sort((left, right) => left.id < right.id ? -1 : 1)
  const total = gateways.reduce((sum, gateway) => sum + gateway.weight, 0)
  const capacities = new Map<string, number>()
  for (const { node, weight } of gateways) {
    capacities.set(node, Math.ceil(MAX_SHARE_FACTOR * sorted.length * weight / total))
  }
  ranking.update(gateways)
  const assignments = new Map<string, readonly string[]>()
  for (const worker of sorted) {
    const ranked = ranking.rank(worker)
    const chosen = ranked.find((node) => capacities.get(node)! > 0) ?? ranked[0]
    if (chosen === undefined) continue
    capacities.set(chosen, capacities.get(chosen)! - 1)
    assignments.set(worker.id, [chosen, ...ranked.filter((node) => node !== chosen)])
  }
  return assignments
}

/** Zones whose gateways are strong enough to call the zone's workers. */
function preferredZones (gateways: readonly Gateway[]): Set<string> {
  const weights = new Map<string, number>()
  let total = 0
  for (const { zone, weight } of gateways) {
    weights.set(zone, (weights.get(zone) ?? 0) + weight)
    total += weight
  }
  const zones = new Set<string>()
  for (const [zone, weight] of weights) {
    if (weight >= MIN_ZONE_SHARE * total / weights.size) zones.add(zone)
  }
  return zones
}

/** Hashes a worker and a node to a number between 0 and 1, both excluded: FNV-1a with the final mixing of MurmurHash3. */
function fractionOf (worker: string, node: string): number {
  let hash = 0x811c9dc5
  const text = `${worker} ${node}`
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b)
  hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35)
  hash ^= hash >>> 16
  return ((hash >>> 0) + 0.5) / 2 ** 32
}
