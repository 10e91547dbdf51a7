/**
 * Whether an owner may act, and when the leases of owners before it have certainly lapsed.
 *
 * An owner may act while the log shows no newer claim, or while one of its standbys has granted it a pledge. A new
 * owner concludes that earlier owners have stopped only after all standbys of the claim before it have granted its
 * own pledge, or are gone: a standby that did so grants none to an older epoch. Since each pair of these conditions
 * has a standby in common, both cannot hold at once.
 */
import type { Clock } from '@fireflymount/platform/clock'
import type { Journal } from '@fireflymount/platform/journal'
import type { Timing } from '@fireflymount/manifest/settings'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { Kind, GrantCodec, type Grant } from '@fireflymount/protocol/message'
import type { Members } from '../membership/members.js'
import type { Router } from '../peer/router.js'
import { ChangeKind } from './change.js'

/** Time that a change of the candidates must last before it becomes a change of the standbys, unless there are too few. */
const STANDBY_SETTLE_MS = 2000
const STANDBY_PATIENCE_MS = 1000
const PLEDGE_TIMEOUT_MS = 500
/** Shortest time between two rounds of pledges. */
const PLEDGE_INTERVAL_MS = 300
/** Bounds on clock drift and delay when leases of a former owner are concluded to have lapsed. */
const LAPSE_FACTOR = 1.01
const LAPSE_MARGIN_MS = 100

/** What a confirmation is built from. */
export interface ConfirmationParts {
  readonly shard: string
  readonly epoch: Epoch
  /** Standbys under this claim; they include all of `former` that are not gone. */
  readonly standbys: readonly string[]
  /** Standbys of the claim before, without this node. */
  readonly former: readonly string[]
  /** The claim is not in the log yet: the owner is a standby of the claim before. */
  readonly provisional: boolean
  /** True if the shard never had an owner. */
  readonly first: boolean
  readonly timing: Timing
  readonly journal: Pick<Journal, 'confirmedAtMs' | 'commit'>
  readonly members: Pick<Members, 'isGone'>
  readonly router: Pick<Router, 'askNode'>
  readonly clock: Clock
}

/** The right of one epoch's owner to act. */
export class Confirmation {
  readonly provisional: boolean
  private names: readonly string[]
  /** When each standby first granted a pledge of this epoch. */
  private readonly grantedAtMs = new Map<string, number>()
  private readonly fencedAtMs: number
  private pledgedAtMs = -Infinity
  private askedAtMs = -Infinity
  private wanted: readonly string[]
  private wantedSinceMs: number

  constructor (private readonly parts: ConfirmationParts) {
    this.provisional = parts.provisional
    this.fencedAtMs = parts.clock.now()
    this.names = parts.standbys
    this.wanted = parts.standbys
    this.wantedSinceMs = parts.clock.now()
  }

  /** True while the owner may act. A provisional owner may: as a standby it grants no other owner a pledge. */
  holds (): boolean {
    if (this.provisional) return true
    const confirmedAtMs = Math.max(this.pledgedAtMs, this.parts.journal.confirmedAtMs())
    return this.parts.clock.now() - confirmedAtMs < this.parts.timing.confirmationMs
  }

  /** The standbys in force. */
  standbys (): readonly string[] {
    return this.names
  }

  /** Clock time after which the leases of all former owners have lapsed; undefined while one may renew them. */
  lapseMs (): number | undefined {
    if (this.parts.first) return -Infinity
    if (this.provisional) return undefined
    let sinceMs = this.fencedAtMs
    for (const node of this.parts.former) {
      const grantedAtMs = this.grantedAtMs.get(node)
      if (grantedAtMs !== undefined) sinceMs = Math.max(sinceMs, grantedAtMs)
      else if (!this.parts.members.isGone(node)) return undefined
    }
    const { confirmationMs, leaseMs } = this.parts.timing
    return sinceMs + (confirmationMs + leaseMs) * LAPSE_FACTOR + LAPSE_MARGIN_MS
  }

  /** Asks the standbys for pledges if the log has not confirmed the claim lately, or former ones have not granted any. */
  async refresh (): Promise<void> {
    const now = this.parts.clock.now()
    if (this.provisional || now - this.askedAtMs < PLEDGE_INTERVAL_MS) return
    const asked = this.isConfirmedByLog(now) ? this.parts.former.filter((node) => !this.grantedAtMs.has(node)) : this.names
    const left = [...new Set(asked)].filter((node) => !this.parts.members.isGone(node))
    this.askedAtMs = now
    await Promise.all(left.map((node) => this.ask(node, now)))
  }

  /** Writes another set of standbys once it has been wanted for some time. */
  async setStandbys (names: readonly string[]): Promise<void> {
    const now = this.parts.clock.now()
    if (!isSame(names, this.wanted)) {
      this.wanted = names
      this.wantedSinceMs = now
    }
    const next = this.nextStandbys()
    const settled = now - this.wantedSinceMs >= STANDBY_SETTLE_MS || this.names.length < names.length
    if (isSame(next, this.names) || !settled) return
    const written = await this.parts.journal.commit(
      { kind: ChangeKind.Standbys, epoch: this.parts.epoch, names: [...next] },
      STANDBY_PATIENCE_MS
    )
    if (written.isOk()) this.names = next
  }

  /** A standby is dropped only once it cannot act on an older claim any more. */
  private nextStandbys (): readonly string[] {
    const kept = this.names.filter((node) => !this.grantedAtMs.has(node) && !this.parts.members.isGone(node))
    return [...new Set([...this.wanted, ...kept])]
  }

  private isConfirmedByLog (now: number): boolean {
    return now - this.parts.journal.confirmedAtMs() < this.parts.timing.confirmationMs / 2
  }

  private async ask (node: string, sentMs: number): Promise<void> {
    const { shard, epoch } = this.parts
    const answer = await this.parts.router.askNode(node, { kind: Kind.Pledge, shard, epoch }, PLEDGE_TIMEOUT_MS)
    if (answer.isErr()) return
    const grant = GrantCodec.decode(answer.value).extract() as Grant | string
    if (typeof grant === 'string' || !grant.granted) return
    this.pledgedAtMs = Math.max(this.pledgedAtMs, sentMs)
    if (!this.grantedAtMs.has(node)) this.grantedAtMs.set(node, this.parts.clock.now())
  }
}

function isSame (left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((name) => right.includes(name))
}
