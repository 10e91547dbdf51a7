/**
 * What a standby knows of a shard's owner, and when it takes the shard over.
 */
import { sleep, type Clock } from '@fireflymount/platform/clock'
import type { Holder } from '@fireflymount/platform/journal'
import type { Settings } from '@fireflymount/manifest/settings'
import { NO_EPOCH, compareEpochs, type Epoch } from '@fireflymount/protocol/epoch'
import { Kind, OwnershipCodec, type Ownership } from '@fireflymount/protocol/message'
import { Execution } from '@fireflymount/protocol/refusal'
import { FOLLOWERS, type Members } from '../membership/members.js'
import type { Router } from '../peer/router.js'
import type { ShardState } from './state.js'

/** Extra patience of a standby for each standby before it. */
export const STAGGER_MS = 400
/** Extra patience of a node that is no standby, while the owner's VM is not gone. */
const OUTSIDER_MS = 5000
/** Extra patience while the owner's process answers but owns nothing. */
const VACANCY_MS = 100
/** Refused connections in a row after which the owner's process counts as dead. */
const REFUSALS = 2
/** Time without takeovers at the workers after an owner that has the log took them back. */
const PAUSE_MS = 10_000

/** What a standby works with. */
export interface StandbyParts {
  readonly shard: string
  readonly settings: Settings
  readonly state: ShardState
  readonly members: Members
  readonly router: Router
  readonly clock: Clock
  /** Nodes that may own the shard, the first candidate first. */
  readonly candidates: () => readonly string[]
}

/** A node's view of the owner of a shard that it does not own. */
export class Standby {
  /** The newest epoch that this node heard of. */
  newest: Epoch = NO_EPOCH
  /** The newest epoch that this node granted a pledge. */
  private granted: Epoch = NO_EPOCH
  private heardAtMs = -Infinity
  private vacantAtMs: number | undefined
  private refusals = 0
  private pausedUntilMs = -Infinity

  constructor (private readonly parts: StandbyParts) {}

  /** Takes an epoch in that was heard of. */
  learn (epoch: Epoch): void {
    if (compareEpochs(epoch, this.newest) > 0) this.newest = epoch
  }

  /** The owner gave a sign of life, or this node begins to watch it. */
  hear (): void {
    this.heardAtMs = this.parts.clock.now()
    this.vacantAtMs = undefined
    this.refusals = 0
  }

  /** Milliseconds since the last sign of life. */
  heardMs (): number {
    return Math.min(this.parts.clock.now() - this.heardAtMs, Number.MAX_SAFE_INTEGER)
  }

  /** True if the owner's node refuses connections. */
  isRefused (): boolean {
    return this.refusals > 0
  }

  /** Grants an owner's pledge, unless a newer epoch is known. */
  grant (epoch: Epoch): boolean {
    if (compareEpochs(epoch, this.newest) < 0) return false
    this.newest = epoch
    this.granted = epoch
    this.hear()
    return true
  }

  /** Leaves the workers to an owner that has the log for some time. */
  pauseTakeovers (): void {
    this.pausedUntilMs = this.parts.clock.now() + PAUSE_MS
  }

  /** Asks the owner once whether it is there, and waits until the next look is due if it is. */
  async look (holder: Holder): Promise<void> {
    const { shard, settings, router, clock } = this.parts
    const { timing } = settings
    const sentMs = clock.now()
    const answer = await router.askNode(this.ownerNode(holder), { kind: Kind.Watch, shard }, timing.takeoverMs)
    if (answer.isErr()) {
      this.refusals = answer.error.execution === Execution.NotRun ? this.refusals + 1 : 0
      return
    }
    this.refusals = 0
    const answered = OwnershipCodec.decode(answer.value).extract() as Ownership | string
    if (typeof answered === 'string') return
    this.learn(answered.epoch)
    if (!answered.owner) {
      if (answered.claiming !== true) this.vacantAtMs ??= clock.now()
      return
    }
    this.hear()
    await sleep(Math.max(0, timing.heartbeatMs - (clock.now() - sentMs)))
  }

  /** The node that last was known to own the shard: the holder, or one that took over while the log was away. */
  ownerNode (holder: Holder): string {
    const provisional = compareEpochs(this.newest, holder.epoch) > 0 && this.newest.node !== this.parts.settings.node
    return provisional ? this.newest.node : holder.epoch.node
  }

  /** True if the owner has been silent for so long that this node should take over. */
  isDue (holder: Holder): boolean {
    const turnMs = this.turnMs(holder)
    const now = this.parts.clock.now()
    if (this.vacantAtMs !== undefined && now - this.vacantAtMs > VACANCY_MS + turnMs) return true
    const patienceMs = this.refusals >= REFUSALS ? 0 : this.parts.settings.timing.takeoverMs
    return now - this.heardAtMs > patienceMs + turnMs
  }

  /** True if this node may take the workers over without the log: a standby that has granted no newer owner a pledge. */
  mayTakeOverAtWorkers (holder: Holder): boolean {
    if (this.parts.clock.now() < this.pausedUntilMs) return false
    if (compareEpochs(this.granted, holder.epoch) > 0) return false
    return this.standbysOf(holder).includes(this.parts.settings.node)
  }

  /** Asks the other standbys whether the owner is only unreachable from here, or one of them is taking over. */
  async isHeardByOthers (holder: Holder): Promise<boolean> {
    const { shard, settings, router } = this.parts
    const { heartbeatMs } = settings.timing
    const others = this.standbysOf(holder).filter((standby) => standby !== settings.node)
    const asks = others.map((standby) => router.askNode(standby, { kind: Kind.Watch, shard }, heartbeatMs))
    for (const answer of await Promise.all(asks)) {
      const answered = answer.isOk() ? OwnershipCodec.decode(answer.value).extract() as Ownership | string : ''
      if (typeof answered === 'string') continue
      this.learn(answered.epoch)
      if (answered.owner || answered.claiming === true) return true
      if (answered.heardMs !== undefined && answered.heardMs < heartbeatMs) return true
    }
    return false
  }

  /** The standbys in force under a claim: those of the claim, or of the last change under it. */
  standbysOf (holder: Holder): readonly string[] {
    const changed = this.parts.state.standbys
    if (changed !== undefined && compareEpochs(changed.epoch, holder.epoch) === 0) return changed.names
    return holder.standbys
  }

  /** Patience on account of this node's place among the successors; nodes that are no standbys come last. */
  private turnMs (holder: Holder): number {
    const { node } = this.parts.settings
    const rank = this.standbysOf(holder).indexOf(node)
    if (rank >= 0) return rank * STAGGER_MS
    const turnMs = (FOLLOWERS + Math.max(0, this.parts.candidates().indexOf(node))) * STAGGER_MS
    return this.parts.members.isGone(holder.epoch.node) ? turnMs : turnMs + OUTSIDER_MS
  }
}
