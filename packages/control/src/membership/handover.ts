/**
 * Finds out when an owner hands the cell over to a node with much more processor than it has, or than it gets now.
 */
import type { Clock } from '../clock.js'
import { isMuchSmaller, type Candidate } from './election.js'

/**
 * Time for which a larger node must have been connected to the owner, within its ownership. It has read the journal by then, and
 * handovers are at least this far apart.
 */
export const HANDOVER_DELAY_MS = 10_000
/**
 * Minimum age of the ownership of a slow owner. It doubles with each recent change of the owner, so that a cell whose machines are all
 * slow keeps its owners for longer.
 */
export const MIN_OWNERSHIP_MS = 3000

/** The nodes to which one owner may hand the cell over. */
export class Handover {
  private readonly connectedSinceMs = new Map<string, number>()

  private readonly ownedSinceMs: number

  /** Starts with the ownership. */
  constructor (private readonly clock: Clock) {
    this.ownedSinceMs = clock.now()
  }

  /**
   * Returns a connected node that is much larger than this one and has been connected for long enough; undefined if there is none.
   *
   * @param own this node
   * @param candidates all known nodes
   * @param connected names of the nodes that are connected now
   */
  findSuccessor (own: Candidate, candidates: Iterable<Candidate>, connected: readonly string[]): string | undefined {
    const nowMs = this.clock.now()
    const names = new Set(connected)
    for (const node of this.connectedSinceMs.keys()) {
      if (!names.has(node)) this.connectedSinceMs.delete(node)
    }
    for (const node of names) {
      if (!this.connectedSinceMs.has(node)) this.connectedSinceMs.set(node, nowMs)
    }
    for (const candidate of candidates) {
      if (candidate.leaving === true || own.processorShare === undefined || !isMuchSmaller(own, candidate)) continue
      const sinceMs = this.connectedSinceMs.get(candidate.node)
      if (sinceMs !== undefined && nowMs - sinceMs >= HANDOVER_DELAY_MS) return candidate.node
    }
  }

  /**
   * Returns a connected node that has much more processor than this one gets now; undefined if there is none.
   *
   * @param receivedShare number of cores that this node gets; undefined unless it is slow
   * @param recentChanges how often the owner has changed lately
   */
  findFaster (
    receivedShare: number | undefined, recentChanges: number, candidates: Iterable<Candidate>, connected: readonly string[]
  ): string | undefined {
    const minOwnershipMs = MIN_OWNERSHIP_MS * 2 ** recentChanges
    if (receivedShare === undefined || this.clock.now() - this.ownedSinceMs < minOwnershipMs) return undefined
    for (const candidate of candidates) {
      if (candidate.leaving === true || !connected.includes(candidate.node)) continue
      if (isMuchSmaller({ node: '', processorShare: receivedShare }, candidate)) return candidate.node
    }
  }
}
