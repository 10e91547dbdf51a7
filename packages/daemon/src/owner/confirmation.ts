/**
 * Decides whether an owner may act, and from when the leases of former owners have certainly expired.
 *
 * An owner may act while the log shows no newer claim, or while one of its standbys has granted it a pledge: the
 * promise to support no owner with an older epoch. A new owner concludes that former owners have stopped only after
 * every standby of the previous claim has granted a pledge to the new epoch or is terminated, because a standby that
 * granted it refuses pledges to older epochs. The two conditions always have a standby in common, so an old and a new
 * owner cannot both meet theirs at the same time.
 */
import type { Clock } from '@fireflymount/platform/clock'
import type { Journal } from '@fireflymount/platform/journal'
import type { Timing } from '@fireflymount/manifest/settings'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { Kind, GrantCodec, type Grant } from '@fireflymount/protocol/message'
import type { Members } from '../membership/members.js'
import type { Router } from '../peer/router.js'
import { ChangeKind } from './change.js'

/** Time for which the candidates must stay the same before the standbys follow them, unless there are too few standbys. */
const STANDBY_STABLE_MS = 2000
const STANDBY_COMMIT_TIMEOUT_MS = 1000
const PLEDGE_TIMEOUT_MS = 500
/** Minimum interval between two rounds of pledge requests. */
const MIN_PLEDGE_INTERVAL_MS = 300
/** Allowances for clock drift and delay when the expiry of a former owner's leases is computed. */
const EXPIRY_FACTOR = 1.01
const EXPIRY_MARGIN_MS = 100

/** Constructor arguments of `Confirmation`. */
export interface ConfirmationOptions {
  readonly shard: string
  readonly epoch: Epoch
  /** Standbys of this claim; they include every node of `former` that is not terminated. */
  readonly standbys: readonly string[]
  /** Standbys of the previous claim, without this node. */
  readonly former: readonly string[]
  /** True if the claim is not in the log yet: the owner is a standby of the previous claim. */
  readonly provisional: boolean
  /** True if the shard has had no owner before. */
  readonly first: boolean
  readonly timing: Timing
  readonly journal: Pick<Journal, 'confirmedAtMs' | 'commit'>
  readonly members: Pick<Members, 'isTerminated'>
  readonly router: Pick<Router, 'askNode'>
  readonly clock: Clock
}

/** Establishes whether the owner of one epoch may act. */
export class Confirmation {
  readonly provisional: boolean
  private current: readonly string[]
  /** Time at which each standby first granted a pledge to this epoch. */
  private readonly grantedAtMs = new Map<string, number>()
  private readonly fencedAtMs: number
  private pledgedAtMs = -Infinity
  private pledgesRequestedAtMs = -Infinity
  private desired: readonly string[]
  private desiredSinceMs: number

  constructor (private readonly options: ConfirmationOptions) {
    this.provisional = options.provisional
    this.fencedAtMs = options.clock.now()
    this.current = options.standbys
    this.desired = options.standbys
    this.desiredSinceMs = options.clock.now()
  }

  /** True while the owner may act. A provisional owner always may: as a standby it grants no pledge to another owner. */
  mayAct (): boolean {
    if (this.provisional) return true
    const confirmedAtMs = Math.max(this.pledgedAtMs, this.options.journal.confirmedAtMs())
    return this.options.clock.now() - confirmedAtMs < this.options.timing.confirmationMs
  }

  /** Returns the current standbys. */
  standbys (): readonly string[] {
    return this.current
  }

  /** Returns the clock time after which all leases of former owners have expired; undefined while one may renew them. */
  inheritedExpiryMs (): number | undefined {
    if (this.options.first) return -Infinity
    if (this.provisional) return undefined
    let sinceMs = this.fencedAtMs
    for (const node of this.options.former) {
      const grantedAtMs = this.grantedAtMs.get(node)
      if (grantedAtMs !== undefined) sinceMs = Math.max(sinceMs, grantedAtMs)
      else if (!this.options.members.isTerminated(node)) return undefined
    }
    const { confirmationMs, leaseMs } = this.options.timing
    return sinceMs + (confirmationMs + leaseMs) * EXPIRY_FACTOR + EXPIRY_MARGIN_MS
  }

  /** Requests pledges from all standbys, or, if the log confirmed the claim lately, from former standbys that granted none. */
  async refresh (): Promise<void> {
    const now = this.options.clock.now()
    if (this.provisional || now - this.pledgesRequestedAtMs < MIN_PLEDGE_INTERVAL_MS) return
    const standbys = this.isConfirmedByLog(now) ? this.options.former.filter((node) => !this.grantedAtMs.has(node)) : this.current
    const targets = [...new Set(standbys)].filter((node) => !this.options.members.isTerminated(node))
    this.pledgesRequestedAtMs = now
    await Promise.all(targets.map((node) => this.requestPledge(node, now)))
  }

  /** Writes a new set of standbys once it has been desired for some time. */
  async setStandbys (names: readonly string[]): Promise<void> {
    const now = this.options.clock.now()
    if (!isSame(names, this.desired)) {
      this.desired = names
      this.desiredSinceMs = now
    }
    const next = this.nextStandbys()
    const stable = now - this.desiredSinceMs >= STANDBY_STABLE_MS || this.current.length < names.length
    if (isSame(next, this.current) || !stable) return
    const written = await this.options.journal.commit(
      { kind: ChangeKind.Standbys, epoch: this.options.epoch, names: [...next] },
      STANDBY_COMMIT_TIMEOUT_MS
    )
    if (written.isOk()) this.current = next
  }

  /** Returns the desired standbys, and those that may still act on an older claim: these must not be dropped. */
  private nextStandbys (): readonly string[] {
    const kept = this.current.filter((node) => !this.grantedAtMs.has(node) && !this.options.members.isTerminated(node))
    return [...new Set([...this.desired, ...kept])]
  }

  private isConfirmedByLog (now: number): boolean {
    return now - this.options.journal.confirmedAtMs() < this.options.timing.confirmationMs / 2
  }

  private async requestPledge (node: string, sentMs: number): Promise<void> {
    const { shard, epoch } = this.options
    const answer = await this.options.router.askNode(node, { kind: Kind.Pledge, shard, epoch }, PLEDGE_TIMEOUT_MS)
    if (answer.isErr()) return
    const grant = GrantCodec.decode(answer.value).extract() as Grant | string
    if (typeof grant === 'string' || !grant.granted) return
    this.pledgedAtMs = Math.max(this.pledgedAtMs, sentMs)
    if (!this.grantedAtMs.has(node)) this.grantedAtMs.set(node, this.options.clock.now())
  }
}

function isSame (left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((name) => right.includes(name))
}
