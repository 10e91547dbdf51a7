/**
 * Detects that a shard's owner failed and decides when this node takes over the shard.
 */
import { sleep, type Clock } from '@fireflymount/service-clients/clock'
import type { Holder } from '@fireflymount/service-clients/journal'
import type { Settings } from '@fireflymount/manifest/settings'
import { NO_EPOCH, compareEpochs, type Epoch } from '@fireflymount/protocol/epoch'
import { MessageKind, OwnershipCodec, type Ownership } from '@fireflymount/protocol/message'
import { Execution } from '@fireflymount/protocol/refusal'
import { READERS_PER_SHARD, type Members } from '../membership/members.js'
import type { Router } from '../peer/router.js'
import type { ShardState } from './state.js'

/** Delay of a takeover or a first claim for each standby or candidate that ranks before this node. */
export const TAKEOVER_STAGGER_MS = 400
/** Additional takeover delay of a node that is not a standby, unless the owner's VM is terminated. */
const NON_STANDBY_DELAY_MS = 5000
/** Takeover delay, in addition to that of the rank, if the process of the last owner answers that it does not own the shard. */
const NOT_OWNER_ANSWER_DELAY_MS = 100
/**
 * Number of consecutive polls after which the owner's process counts as dead, if each was certainly not handled by it, for
 * instance because the connection was refused.
 */
const UNDELIVERED_POLLS_UNTIL_DEAD = 2
/** Time for which provisional takeovers are suspended after a provisional owner on this node found a newer epoch. */
const PROVISIONAL_TAKEOVER_PAUSE_MS = 10_000

/** Constructor arguments of `OwnerMonitor`. */
export interface OwnerMonitorOptions {
  readonly shard: string
  readonly settings: Settings
  readonly state: ShardState
  readonly members: Members
  readonly router: Router
  readonly clock: Clock
  /** Returns the nodes that may own the shard, first candidate first. */
  readonly candidates: () => readonly string[]
}

/** Monitors the owner of a shard that another node owns. */
export class OwnerMonitor {
  /** The newest epoch that this node knows of. */
  newestEpoch: Epoch = NO_EPOCH
  /** The newest epoch that this node granted a pledge to. */
  private newestGranted: Epoch = NO_EPOCH
  private detectionRestartedAtMs = -Infinity
  /** Time since which the process of the last owner has answered that it does not own the shard. */
  private deniesOwnershipSinceMs: number | undefined
  private undeliveredPolls = 0
  private pausedUntilMs = -Infinity

  constructor (private readonly options: OwnerMonitorOptions) {}

  /** Records an epoch, if it is newer than all epochs known so far. */
  noteEpoch (epoch: Epoch): void {
    if (compareEpochs(epoch, this.newestEpoch) > 0) this.newestEpoch = epoch
  }

  /**
   * Restarts failure detection. Called when the owner answers, and when this node starts to poll it, ends its own ownership,
   * loses a claim or grants a pledge.
   */
  restartDetection (): void {
    this.detectionRestartedAtMs = this.options.clock.now()
    this.deniesOwnershipSinceMs = undefined
    this.undeliveredPolls = 0
  }

  /** Returns the milliseconds since failure detection was last restarted, e.g. since the owner's last answer. */
  sinceDetectionRestartMs (): number {
    // Sent to other nodes: the difference is Infinity at first, which is not a JSON number.
    return Math.min(this.options.clock.now() - this.detectionRestartedAtMs, Number.MAX_SAFE_INTEGER)
  }

  /** True if the owner's node certainly did not handle the last poll, for instance because it refused the connection. */
  wasLastPollUndelivered (): boolean {
    return this.undeliveredPolls > 0
  }

  /** Grants a pledge to an owner's epoch, unless a newer epoch is known. */
  grant (epoch: Epoch): boolean {
    if (compareEpochs(epoch, this.newestEpoch) < 0) return false
    this.newestEpoch = epoch
    this.newestGranted = epoch
    this.restartDetection()
    return true
  }

  /** Prevents provisional takeovers for some time, after a provisional owner on this node found a newer epoch. */
  pauseProvisionalTakeovers (): void {
    this.pausedUntilMs = this.options.clock.now() + PROVISIONAL_TAKEOVER_PAUSE_MS
  }

  /** Polls the owner once. If it answers that it owns the shard, waits until the next poll is due. */
  async pollOwner (holder: Holder): Promise<void> {
    const { shard, settings, router, clock } = this.options
    const { timing } = settings
    const sentMs = clock.now()
    const answer = await router.askNode(this.ownerNode(holder), { kind: MessageKind.Watch, shard }, timing.takeoverMs)
    if (answer.isErr()) {
      this.undeliveredPolls = answer.error.execution === Execution.NotRun ? this.undeliveredPolls + 1 : 0
      return
    }
    this.undeliveredPolls = 0
    const answered = OwnershipCodec.decode(answer.value).extract() as Ownership | string
    if (typeof answered === 'string') return
    this.noteEpoch(answered.epoch)
    if (!answered.owner) {
      if (answered.claiming !== true) this.deniesOwnershipSinceMs ??= clock.now()
      return
    }
    this.restartDetection()
    await sleep(Math.max(0, timing.heartbeatMs - (clock.now() - sentMs)))
  }

  /** Returns the last known owner of the shard: the holder, or a node that took over while the log was unavailable. */
  ownerNode (holder: Holder): string {
    const provisional = compareEpochs(this.newestEpoch, holder.epoch) > 0 && this.newestEpoch.node !== this.options.settings.node
    return provisional ? this.newestEpoch.node : holder.epoch.node
  }

  /**
   * True if this node should take over, because the owner
   * - has not answered for too long,
   * - answers that it does not own the shard, or
   * - provably did not handle the last polls.
   *
   * In each case the takeover is delayed by this node's rank.
   */
  isTakeoverDue (holder: Holder): boolean {
    const takeoverDelayMs = this.takeoverDelayMs(holder)
    const now = this.options.clock.now()
    if (
      this.deniesOwnershipSinceMs !== undefined &&
      now - this.deniesOwnershipSinceMs > NOT_OWNER_ANSWER_DELAY_MS + takeoverDelayMs
    ) return true
    const timeoutMs = this.undeliveredPolls >= UNDELIVERED_POLLS_UNTIL_DEAD ? 0 : this.options.settings.timing.takeoverMs
    return now - this.detectionRestartedAtMs > timeoutMs + takeoverDelayMs
  }

  /** True if this node may take over provisionally, without the log: a standby that has granted no pledge to a newer owner. */
  mayTakeOverProvisionally (holder: Holder): boolean {
    if (this.options.clock.now() < this.pausedUntilMs) return false
    if (compareEpochs(this.newestGranted, holder.epoch) > 0) return false
    return this.standbysOf(holder).includes(this.options.settings.node)
  }

  /** Asks the other standbys whether the owner is unreachable from this node only, or whether one of them is taking over. */
  async isTakeoverRefutedByOthers (holder: Holder): Promise<boolean> {
    const { shard, settings, router } = this.options
    const { heartbeatMs } = settings.timing
    const others = this.standbysOf(holder).filter((standby) => standby !== settings.node)
    const polls = others.map((standby) => router.askNode(standby, { kind: MessageKind.Watch, shard }, heartbeatMs))
    for (const answer of await Promise.all(polls)) {
      const answered = answer.isOk() ? OwnershipCodec.decode(answer.value).extract() as Ownership | string : ''
      if (typeof answered === 'string') continue
      this.noteEpoch(answered.epoch)
      if (answered.owner || answered.claiming === true) return true
      if (answered.heardMs !== undefined && answered.heardMs < heartbeatMs) return true
    }
    return false
  }

  /** Returns the current standbys under a claim: those of the claim, or of the last change under it. */
  standbysOf (holder: Holder): readonly string[] {
    const changed = this.options.state.standbys
    if (changed !== undefined && compareEpochs(changed.epoch, holder.epoch) === 0) return changed.names
    return holder.standbys
  }

  /** Returns the takeover delay by this node's rank among the standbys; other nodes come last. */
  private takeoverDelayMs (holder: Holder): number {
    const { node } = this.options.settings
    const rank = this.standbysOf(holder).indexOf(node)
    if (rank >= 0) return rank * TAKEOVER_STAGGER_MS
    const takeoverDelayMs = (READERS_PER_SHARD + Math.max(0, this.options.candidates().indexOf(node))) * TAKEOVER_STAGGER_MS
    return this.options.members.isTerminated(holder.epoch.node) ? takeoverDelayMs : takeoverDelayMs + NON_STANDBY_DELAY_MS
  }
}
