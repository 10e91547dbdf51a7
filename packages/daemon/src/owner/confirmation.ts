/**
 * Decides whether an owner may act, and from when the leases of former owners have certainly expired.
 *
 * An owner may act for `confirmationMs` after it sent the last call that confirmed it. The log confirms it by a read that reaches
 * the end of the stream without a newer claim, or by an append of this process that gets the next offset to read. A standby
 * confirms it by granting a pledge request. A pledge is the promise to support no owner with an older epoch.
 *
 * Once a newer claim is in the log, only pledges can still confirm the old owner. Before the new owner counts the leases of former
 * owners as expired, it therefore waits until each standby of the previous claim is terminated or has granted a pledge to the new
 * epoch. It may act before that. A standby that granted the pledge refuses the old epoch. From then on no standby can confirm a former owner, which may act for at most `confirmationMs` more.
 */
import type { Clock } from '@fireflymount/service-clients/clock'
import type { Journal } from '@fireflymount/service-clients/journal'
import type { Timing } from '@fireflymount/manifest/settings'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { MessageKind, GrantCodec, type Grant } from '@fireflymount/protocol/message'
import type { Members } from '../membership/members.js'
import type { Router } from '../peer/router.js'
import { ChangeKind } from './change.js'

/**
 * Time for which the desired standbys must stay the same before they are written to the log. It does not apply while there
 * are fewer standbys than desired.
 */
const STANDBY_STABLE_MS = 2000
const STANDBY_COMMIT_TIMEOUT_MS = 1000
const PLEDGE_TIMEOUT_MS = 500
/** Minimum interval between two rounds of pledge requests. */
const MIN_PLEDGE_INTERVAL_MS = 300
/** Allowance for clock drift when the expiry of a former owner's leases is computed: 1 + MAX_CLOCK_DRIFT of session.ts. */
const EXPIRY_FACTOR = 1.01
/** Allowance for delays in the same computation, as in session.ts. */
const EXPIRY_MARGIN_MS = 100

/** Constructor arguments of `Confirmation`. */
export interface ConfirmationOptions {
  readonly shard: string
  readonly epoch: Epoch
  /** Standbys of this claim. Nodes of `formerStandbys` that they lack are added as soon as possible, unless terminated. */
  readonly standbys: readonly string[]
  /** Standbys of the previous claim, without this node. */
  readonly formerStandbys: readonly string[]
  /** True if the claim is not known to be in the log; the owner is then a standby of the previous claim. */
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
  private currentStandbys: readonly string[]
  /** Time at which each standby first granted a pledge to this epoch. */
  private readonly grantedAtMs = new Map<string, number>()
  /** Time at which this owner started, after its claim had taken effect. */
  private readonly claimedAtMs: number
  /** Time at which the newest granted pledge request was sent: the standby's promise may be as old as that. */
  private pledgedAtMs = -Infinity
  private pledgesRequestedAtMs = -Infinity
  private desiredStandbys: readonly string[]
  /** Time since which `desiredStandbys` is unchanged. */
  private desiredSinceMs: number

  constructor (private readonly options: ConfirmationOptions) {
    this.provisional = options.provisional
    this.claimedAtMs = options.clock.now()
    this.currentStandbys = options.standbys
    this.desiredStandbys = options.standbys
    this.desiredSinceMs = options.clock.now()
  }

  /**
   * True while the owner may act. A provisional owner always may act. It is a standby of the last claim known from the log and
   * grants no pledge while it owns the shard. A later owner needs that pledge, or the termination of the node, before it may
   * treat the provisional owner's leases as expired. A provisional owner itself never treats former owners' leases as expired.
   */
  mayAct (): boolean {
    if (this.provisional) return true
    const confirmedAtMs = Math.max(this.pledgedAtMs, this.options.journal.confirmedAtMs())
    return this.options.clock.now() - confirmedAtMs < this.options.timing.confirmationMs
  }

  /** Returns the current standbys. */
  standbys (): readonly string[] {
    return this.currentStandbys
  }

  /**
   * Returns the monotonic time after which all leases of former owners have expired; undefined while a former owner may still
   * renew them.
   */
  inheritedExpiryMs (): number | undefined {
    if (this.options.first) return -Infinity
    if (this.provisional) return undefined
    let sinceMs = this.claimedAtMs
    for (const node of this.options.formerStandbys) {
      const grantedAtMs = this.grantedAtMs.get(node)
      if (grantedAtMs !== undefined) sinceMs = Math.max(sinceMs, grantedAtMs)
      else if (!this.options.members.isTerminated(node)) return undefined
    }
    const { confirmationMs, leaseMs } = this.options.timing
    // The former owner may act for `confirmationMs` after its last confirmation, and grant a lease at the end of that time.
    return sinceMs + (confirmationMs + leaseMs) * EXPIRY_FACTOR + EXPIRY_MARGIN_MS
  }

  /**
   * Requests pledges from all standbys, at most once every `MIN_PLEDGE_INTERVAL_MS`. If the log confirmed the claim within
   * half of `confirmationMs`, only former standbys that have not granted a pledge yet are asked.
   */
  async refresh (): Promise<void> {
    const now = this.options.clock.now()
    if (this.provisional || now - this.pledgesRequestedAtMs < MIN_PLEDGE_INTERVAL_MS) return
    const standbys = this.isConfirmedByLog(now)
      ? this.options.formerStandbys.filter((node) => !this.grantedAtMs.has(node))
      : this.currentStandbys
    const targets = [...new Set(standbys)].filter((node) => !this.options.members.isTerminated(node))
    this.pledgesRequestedAtMs = now
    await Promise.all(targets.map((node) => this.requestPledge(node, now)))
  }

  /**
   * Writes a new set of standbys once it has been desired for `STANDBY_STABLE_MS`, or at once if there are too few or a node is missing
   * that may still confirm a former owner.
   */
  async setStandbys (names: readonly string[]): Promise<void> {
    const now = this.options.clock.now()
    if (!isSame(names, this.desiredStandbys)) {
      this.desiredStandbys = names
      this.desiredSinceMs = now
    }
    const next = this.nextStandbys()
    const stable = now - this.desiredSinceMs >= STANDBY_STABLE_MS || this.currentStandbys.length < names.length
    const complete = this.ungranted(this.options.formerStandbys).every((node) => this.currentStandbys.includes(node))
    if (isSame(next, this.currentStandbys) || (complete && !stable)) return
    const written = await this.options.journal.commit(
      { kind: ChangeKind.Standbys, epoch: this.options.epoch, names: [...next] },
      STANDBY_COMMIT_TIMEOUT_MS
    )
    if (written.isOk()) this.currentStandbys = next
  }

  /**
   * Returns the desired standbys, and those current and former ones that have not granted a pledge to this epoch. The latter may still
   * confirm a former owner, so the next owner has to know them.
   */
  private nextStandbys (): readonly string[] {
    const kept = this.ungranted([...this.currentStandbys, ...this.options.formerStandbys])
    return [...new Set([...this.desiredStandbys, ...kept])]
  }

  private ungranted (nodes: readonly string[]): string[] {
    return nodes.filter((node) => !this.grantedAtMs.has(node) && !this.options.members.isTerminated(node))
  }

  private isConfirmedByLog (now: number): boolean {
    return now - this.options.journal.confirmedAtMs() < this.options.timing.confirmationMs / 2
  }

  private async requestPledge (node: string, sentMs: number): Promise<void> {
    const { shard, epoch } = this.options
    const answer = await this.options.router.askNode(node, { kind: MessageKind.Pledge, shard, epoch }, PLEDGE_TIMEOUT_MS)
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
