/**
 * What a node knows about the owner: from the journal, from its connections and from announcements of planned stops.
 */
import type { Clock } from '../clock.js'
import type { JournalState } from '../journal/journal-state.js'
import type { NodeAddress, OwnerClaim } from '../journal/record.js'
import type { OwnerView } from './election.js'
import type { Links } from './links.js'

/** A takeover counts as recent for this time. */
const RECENT_CHANGE_MS = 30_000

/** Watches the owner of the cell for one node. All times are on the node's steady clock. */
export class OwnerWatch {
  /** The newest claim that was read. */
  private claim: OwnerClaim | undefined
  /** When that claim was read; -Infinity for the first one, whose age is unknown. */
  private claimReadMs = -Infinity
  /** When the journal last showed a new record of the owner. After a rebuild of the state, all its records count as new. */
  private heardMs = -Infinity
  private seenRecords = 0
  /** See `OwnerView.unlinkedMs`. */
  private delayStartMs: number
  /** Highest epoch of an owner that announced a planned stop; 0 for none. */
  private leavingEpoch = 0
  /** True if the address of the owner's node is that of another process than the claimant's. */
  private isOtherProcess = false
  /** True if that process has replaced the claimant's. */
  private returned = false
  /** When takeovers were read whose former owner may have been alive. */
  private takeoversMs: number[] = []
  /** When claims were read that replaced another one. */
  private changesMs: number[] = []

  constructor (
    private readonly node: string,
    private readonly links: Pick<Links, 'has' | 'refusesConnections' | 'acceptsConnections' | 'forgetDial'>,
    private readonly clock: Clock
  ) {
    this.delayStartMs = clock.now()
  }

  /**
   * Updates the knowledge after the journal was read to its end.
   *
   * @param rebuilt true if the state was built from scratch since the last call
   */
  update (journalState: JournalState, rebuilt: boolean): void {
    const nowMs = this.clock.now()
    if (rebuilt) this.seenRecords = 0
    if (journalState.ownerRecordCount !== this.seenRecords) this.heardMs = nowMs
    this.seenRecords = journalState.ownerRecordCount
    const claim = journalState.ownerClaim
    if (claim !== undefined && claim.epoch !== this.claim?.epoch) this.applyClaim(claim, nowMs)
    const address = journalState.nodes.get(claim?.node ?? '')
    if (claim === undefined || address === undefined) return
    this.isOtherProcess = address.incarnation !== claim.incarnation
    const returned = this.isOtherProcess && !hasStartedBefore(address, claim)
    if (!this.isOtherProcess && address.leaving === true && this.leavingEpoch !== claim.epoch) this.onLeaving(claim.epoch)
    if (returned && !this.returned) this.delayStartMs = nowMs
    this.returned = returned
  }

  private applyClaim (claim: OwnerClaim, nowMs: number): void {
    const before = this.claim
    this.claim = claim
    this.delayStartMs = nowMs
    // A refusal from before the claim says nothing about the process that claimed.
    const hadEnded = before !== undefined && this.hasEnded(before)
    this.isOtherProcess = false
    this.returned = false
    this.links.forgetDial(claim.node)
    if (before === undefined) return
    this.claimReadMs = nowMs
    this.changesMs.push(nowMs)
    if (!hadEnded) this.takeoversMs.push(nowMs)
  }

  /** True if the process that made a claim has announced its stop or is known to have ended. */
  private hasEnded (claim: OwnerClaim): boolean {
    return this.leavingEpoch === claim.epoch || this.returned || this.links.refusesConnections(claim.node)
  }

  /** True if the owner's node is up again without owning the cell, so that it is a candidate like the others. */
  hasOwnerReturned (): boolean {
    return this.returned
  }

  /** Returns how often the owner has changed lately. */
  countRecentChanges (): number {
    const nowMs = this.clock.now()
    this.changesMs = this.changesMs.filter((changeMs) => nowMs - changeMs < RECENT_CHANGE_MS)
    return this.changesMs.length
  }

  /** Notes that the connection to the owner was lost. */
  onDisconnected (): void {
    this.delayStartMs = this.clock.now()
  }

  /** Notes that the owner with this epoch announced a planned stop. */
  onLeaving (epoch: number): void {
    // Announcements of several owners arrive in any order.
    if (epoch <= this.leavingEpoch) return
    this.leavingEpoch = epoch
    this.delayStartMs = this.clock.now()
  }

  /**
   * Returns what is known about the owner now.
   *
   * @param answerMs mean answer time of the store
   */
  view (answerMs: number): OwnerView {
    const { claim, links } = this
    const nowMs = this.clock.now()
    this.takeoversMs = this.takeoversMs.filter((takeoverMs) => nowMs - takeoverMs < RECENT_CHANGE_MS)
    return {
      linked: claim !== undefined && links.has(claim.node) && !this.isOtherProcess,
      unlinkedMs: this.delayStartMs,
      heardMs: this.heardMs,
      claimReadMs: this.claimReadMs,
      recentTakeovers: this.takeoversMs.length,
      refused: claim !== undefined && links.refusesConnections(claim.node),
      accepting: claim !== undefined && links.acceptsConnections(claim.node),
      left: claim !== undefined && this.leavingEpoch === claim.epoch,
      vacant: claim !== undefined && (claim.node === this.node || this.returned),
      unclaimed: claim === undefined,
      answerMs
    }
  }
}

/**
 * True if an address is that of a process which had ended before the claimant's started: the store may carry out an append of it late.
 * A process for which this is not known counts as a later one.
 */
function hasStartedBefore (address: NodeAddress, claim: OwnerClaim): boolean {
  return address.startedMs !== undefined && claim.startedMs !== undefined && address.startedMs < claim.startedMs
}
