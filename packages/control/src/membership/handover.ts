/**
 * Finds out when an owner hands the cell over to a node with much more processor.
 */
import type { Clock } from '../clock.js'
import { isMuchSmaller, type Candidate } from './election.js'

/**
 * Time for which a larger node must have been connected to the owner, within its ownership. It has read the journal by then, and
 * handovers are at least this far apart.
 */
export const HANDOVER_DELAY_MS = 10_000

/** The nodes to which one owner may hand the cell over. */
export class Handover {
  private readonly connectedSinceMs = new Map<string, number>()

  constructor (private readonly clock: Clock) {}

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
}
