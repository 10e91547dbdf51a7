/**
 * The room of one upstream, in one round of decisions.
 */
import { addResources, fitsResources, NO_RESOURCES, scaleResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Site } from '../place/fit.js'
import { holdsOf } from '../place/hold.js'
import type { Session } from './session.js'

/** What one round knows of an upstream. */
export class Pool {
  free = NO_RESOURCES
  /** Workers that may still be held for large tasks in this round. */
  holdsLeft: number
  /** Workers on which runs are stopped for urgent tasks in this round. */
  readonly emptied = new Set<string>()
  constructor (
    readonly sites: ReadonlyMap<string, Site>,
    readonly urgentPriority: number,
    /** How long urgent tasks can wait: shorter tasks of others need not keep out of the reserve. */
    readonly urgentSlackMs: number,
    readonly reserve: Resources
  ) {
    this.holdsLeft = holdsOf(sites.size)
    for (const site of sites.values()) this.free = addResources(this.free, site.free)
  }

  /** Keeps a worker's room from the rest of the round. */
  hold (site: Site): void {
    this.holdsLeft--
    this.take(site, site.free)
  }

  take (site: Site, charge: Resources): void {
    site.free = subtractResources(site.free, charge)
    this.free = subtractResources(this.free, charge)
  }

  /** Counts the tasks of a size that leave the reserve free. */
  beyondReserve (charge: Resources, most: number): number {
    const room = subtractResources(this.free, this.reserve)
    let count = 0
    while (count < most && fitsResources(scaleResources(charge, count + 1), room)) count++
    return count
  }
}

/** All room of an upstream's workers. */
export function totalOf (sessions: Iterable<Session>, upstream: string): Resources {
  let total = NO_RESOURCES
  for (const session of sessions) {
    if (session.worker.upstream === upstream && session.reachable) total = addResources(total, session.worker.capacity)
  }
  return total
}
