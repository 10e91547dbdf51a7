/**
 * Whether an owner may act: the log shows no newer claim, or all its standbys promise not to claim.
 */
import type { Clock } from '@fireflymount/platform/clock'
import type { Journal } from '@fireflymount/platform/journal'
import type { Timing } from '@fireflymount/manifest/settings'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { Kind, VowCodec, type Vow } from '@fireflymount/protocol/message'
import type { Members } from '../membership/members.js'
import type { Router } from '../peer/router.js'
import { ChangeKind } from './change.js'

/** Time that a change of the candidates must last before it becomes a change of the standbys. */
const STANDBY_SETTLE_MS = 2000
const STANDBY_PATIENCE_MS = 1000
const PROMISE_TIMEOUT_MS = 500
/** Shortest time between two rounds of promises. */
const PROMISE_INTERVAL_MS = 300

/** What a confirmation is built from. */
export interface ConfirmationParts {
  readonly shard: string
  readonly epoch: Epoch
  readonly standbys: readonly string[]
  /** The claim is not in the log yet. */
  readonly provisional: boolean
  /** Clock time at which the claim was known to be in the log; -Infinity if there was no owner before. */
  readonly fencedAtMs: number | undefined
  readonly timing: Timing
  readonly journal: Journal
  readonly members: Members
  readonly router: Router
  readonly clock: Clock
}

/** The right of one epoch's owner to act. */
export class Confirmation {
  provisional: boolean
  private fencedAtMs: number | undefined
  private names: readonly string[]
  private promisedAtMs = -Infinity
  private askedAtMs = -Infinity
  private wanted: readonly string[]
  private wantedSinceMs: number
  private changing: readonly string[] = []

  constructor (private readonly parts: ConfirmationParts) {
    this.provisional = parts.provisional
    this.fencedAtMs = parts.fencedAtMs
    this.names = parts.standbys
    this.wanted = parts.standbys
    this.wantedSinceMs = parts.clock.now()
  }

  /** True while the owner may act. */
  holds (): boolean {
    return this.parts.clock.now() - this.confirmedAtMs() < this.parts.timing.confirmationMs
  }

  /** The standbys in force. */
  standbys (): readonly string[] {
    return this.names
  }

  /** The claim is in the log. */
  settle (atMs: number): void {
    this.provisional = false
    this.fencedAtMs = atMs
  }

  /** Clock time after which leases of former owners have lapsed; undefined while a former owner may renew them. */
  lapseMs (factor: number, marginMs: number): number | undefined {
    if (this.fencedAtMs === undefined) return undefined
    const { confirmationMs, leaseMs } = this.parts.timing
    return this.fencedAtMs + (confirmationMs + leaseMs) * factor + marginMs
  }

  /** Asks the standbys for promises if the log has not confirmed the claim lately. */
  async refresh (): Promise<void> {
    const now = this.parts.clock.now()
    if (!this.provisional && now - this.parts.journal.confirmedAtMs() < this.parts.timing.confirmationMs / 2) return
    if (now - this.askedAtMs < PROMISE_INTERVAL_MS) return
    this.askedAtMs = now
    const needed = [...new Set([...this.names, ...this.changing])].filter((node) => !this.parts.members.isGone(node))
    const granted = await Promise.all(needed.map((node) => this.ask(node)))
    if (granted.every(Boolean)) this.promisedAtMs = now
  }

  /** Writes another set of standbys once it has been wanted for some time. */
  async setStandbys (names: readonly string[]): Promise<void> {
    const now = this.parts.clock.now()
    if (!isSame(names, this.wanted)) {
      this.wanted = names
      this.wantedSinceMs = now
    }
    if (isSame(names, this.names) || now - this.wantedSinceMs < STANDBY_SETTLE_MS) return
    this.changing = names
    const written = await this.parts.journal.commit(
      { kind: ChangeKind.Standbys, epoch: this.parts.epoch, names: [...names] },
      STANDBY_PATIENCE_MS
    )
    if (written.isErr()) return
    this.names = names
    this.changing = []
  }

  private confirmedAtMs (): number {
    if (this.provisional) return this.promisedAtMs
    return Math.max(this.promisedAtMs, this.parts.journal.confirmedAtMs())
  }

  private async ask (node: string): Promise<boolean> {
    const { shard, epoch, timing } = this.parts
    const answer = await this.parts.router.askNode(
      node,
      { kind: Kind.Promise, shard, epoch, forMs: timing.confirmationMs },
      PROMISE_TIMEOUT_MS
    )
    if (answer.isErr()) return false
    const vow = VowCodec.decode(answer.value).extract() as Vow | string
    return typeof vow !== 'string' && vow.granted
  }
}

function isSame (left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((name) => right.includes(name))
}
