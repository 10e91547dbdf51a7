/**
 * This node's role in one shard: uninvolved, follower or owner. A follower reads the shard's stream and polls the owner. It
 * is a standby of the owner or one of the first candidates for the shard.
 */
import { sleep, type Clock } from '@fireflymount/service-clients/clock'
import { JournalFailure, type Holder, type Journal } from '@fireflymount/service-clients/journal'
import type { Vm } from '@fireflymount/service-clients/vm-list'
import type { Worker } from '@fireflymount/service-clients/worker'
import { findUpstream } from '@fireflymount/manifest/lookup'
import type { Manifest } from '@fireflymount/manifest/manifest'
import type { Settings } from '@fireflymount/manifest/settings'
import { NO_EPOCH, compareEpochs, type Epoch } from '@fireflymount/protocol/epoch'
import { MessageKind, type Pledge, type Ownership, type Request, type Grant } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'
import type { Metrics } from '../metrics.js'
import { READERS_PER_SHARD, type Members } from '../membership/members.js'
import type { Router } from '../peer/router.js'
import { Allotments } from './allotments.js'
import { BurnCounts } from './burn.js'
import { Confirmation, type ConfirmationOptions } from './confirmation.js'
import { createJournalWriter } from './journal-writer.js'
import { Owner } from './owner.js'
import { TAKEOVER_STAGGER_MS, OwnerMonitor } from './owner-monitor.js'
import type { ShardState } from './state.js'
import { stopProcess } from '../stop-process.js'

/** Interval between two iterations of a role's loop. */
const LOOP_INTERVAL_MS = 50
/** Additional delay between two iterations on a node that neither owns nor follows the shard. */
const UNINVOLVED_DELAY_MS = 250
const NO_ZONES: readonly string[] = []
/** Time for which a long poll of the stream is held open. */
const FOLLOW_POLL_TIMEOUT_MS = 1000
const CATCH_UP_RETRY_DELAY_MS = 200
/** Timeout for the next owner's claim during a graceful shutdown. */
const HANDOVER_TIMEOUT_MS = 2000
/** Time that the sender of a request is told to wait if this node does not own the shard. */
const NOT_OWNER_RETRY_AFTER_MS = 500

/** Constructor arguments of `Role`. */
export interface RoleOptions {
  readonly shard: string
  readonly settings: Settings
  readonly journal: Journal
  readonly state: ShardState
  readonly members: Members
  readonly router: Router
  readonly manifest: () => Manifest
  readonly connect: (vm: Vm) => Worker
  readonly clock: Clock
  readonly metrics: Metrics
  readonly logger: Logger
}

/** This node's role in one shard. */
export class Role {
  private readonly allotments: Allotments
  private readonly burn: BurnCounts
  private manifest: Manifest | undefined
  private owner: Owner | undefined
  private confirmation: Confirmation | undefined
  private followAbort: AbortController | undefined
  private caughtUp = false
  private claiming = false
  private leaving = false
  /** The newest claim read, and the one that it replaced. */
  private holder: Holder | undefined
  private replacedHolder: Holder | undefined
  private readonly ownerMonitor: OwnerMonitor

  constructor (private readonly options: RoleOptions) {
    this.allotments = new Allotments(options.shard)
    this.burn = new BurnCounts(options.settings.node, options.clock.wall())
    this.ownerMonitor = new OwnerMonitor({ ...options, candidates: () => this.candidates() })
    options.journal.onHolder((holder) => { this.onHolder(holder) })
  }

  /** Runs the role until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.refreshManifest()
      if (this.owner !== undefined) await this.keepOwnership()
      else if (this.isFollower()) await this.watchOwner(signal)
      else await this.waitUninvolved(signal)
      await sleep(LOOP_INTERVAL_MS, signal)
    }
    this.unfollow()
    this.endOwnership('The node is stopping.')
  }

  /** True while this node owns the shard and may act. */
  owns (): boolean {
    return this.owner !== undefined && this.confirmation !== undefined && this.confirmation.mayAct()
  }

  /** Returns the number of requests in progress at the owner on this node, including waiting ones; 0 if it is not the owner. */
  requestsInProgress (): number {
    return this.owner?.requests.size() ?? 0
  }

  /** Answers a message (protocol `Request`) about the shard. */
  async handle (message: Request): Promise<Result<unknown, Refusal>> {
    switch (message.kind) {
      case MessageKind.Watch: return ok(this.ownership())
      case MessageKind.Pledge: return ok(await this.grant(message))
      case MessageKind.Handover: return await this.acceptHandover(message.epoch)
    }
    if (this.owner !== undefined) return await this.owner.handle(message)
    return err(this.notOwner())
  }

  /** Hands over the shard to the first standby that accepts it, during a graceful shutdown. */
  async handOver (): Promise<void> {
    this.leaving = true
    const { owner } = this
    if (owner === undefined) return
    for (const standby of this.standbys()) {
      const request: Request = { kind: MessageKind.Handover, shard: this.options.shard, epoch: owner.options.epoch }
      const taken = await this.options.router.askNode(standby, request, HANDOVER_TIMEOUT_MS)
      if (taken.isErr()) continue
      this.ownerMonitor.noteEpoch((taken.value as Ownership).epoch)
      this.endOwnership(`Node ${standby} took over the shard.`)
      return
    }
  }

  private ownership (): Ownership {
    if (this.owner !== undefined) return { epoch: this.owner.options.epoch, owner: true }
    return {
      epoch: this.ownerMonitor.newestEpoch,
      owner: false,
      // Events other than an answer of the owner also restart the detection; see `restartDetection`.
      heardMs: this.ownerMonitor.sinceDetectionRestartMs(),
      claiming: this.claiming
    }
  }

  /**
   * Grants or refuses a pledge. A restart forgets the pledges granted before it. They went to owners whose claims are in the log, so
   * none is granted before the log was read.
   */
  private async grant (pledge: Pledge): Promise<Grant> {
    if (!await this.hasReadLog()) return { granted: false, epoch: this.ownerMonitor.newestEpoch }
    if (this.owner !== undefined) return { granted: false, epoch: this.owner.options.epoch }
    if (this.claiming) return { granted: false, epoch: this.ownerMonitor.newestEpoch }
    return { granted: this.ownerMonitor.grant(pledge.epoch), epoch: this.ownerMonitor.newestEpoch }
  }

  /** True if the log was read to its end since the start of this process; tries to read it if not. */
  private async hasReadLog (): Promise<boolean> {
    if (Number.isFinite(this.options.journal.confirmedAtMs())) return true
    return (await this.options.journal.catchUp()).isOk()
  }

  /** Claims the shard at the owner's request, so that the takeover needs no timeout. */
  private async acceptHandover (epoch: Epoch): Promise<Result<Ownership, Refusal>> {
    if (this.leaving || this.owner !== undefined || compareEpochs(epoch, this.ownerMonitor.newestEpoch) < 0) {
      return err(this.notOwner())
    }
    await this.claim(false)
    if (this.owner === undefined) return err(this.notOwner())
    return ok(this.ownership())
  }

  private notOwner (): Refusal {
    const holder = this.options.journal.holder()
    const refusal = refuse(Reason.NotOwner, `This node does not own ${this.options.shard}.`, NOT_OWNER_RETRY_AFTER_MS)
    if (!this.caughtUp || holder === undefined || this.ownerMonitor.wasLastPollUndelivered()) return refusal
    const node = this.ownerMonitor.ownerNode(holder)
    return node === this.options.settings.node ? refusal : { ...refusal, node }
  }

  private isFollower (): boolean {
    if (this.leaving) return false
    const { node } = this.options.settings
    const holder = this.options.journal.holder()
    if (holder !== undefined && this.ownerMonitor.standbysOf(holder).includes(node)) return true
    return this.candidates().slice(0, READERS_PER_SHARD).includes(node)
  }

  private candidates (): readonly string[] {
    const zones = findUpstream(this.options.manifest(), this.options.shard)?.zones ?? NO_ZONES
    return this.options.members.candidates(this.options.shard, zones)
  }

  private follow (): void {
    if (this.followAbort !== undefined) return
    this.followAbort = new AbortController()
    this.options.journal.follow(FOLLOW_POLL_TIMEOUT_MS, this.followAbort.signal).catch(stopProcess)
  }

  private async waitUninvolved (signal: AbortSignal): Promise<void> {
    this.unfollow()
    await sleep(UNINVOLVED_DELAY_MS, signal)
  }

  private unfollow (): void {
    this.followAbort?.abort()
    this.followAbort = undefined
    this.caughtUp = false
  }

  private refreshManifest (): void {
    const manifest = this.options.manifest()
    if (manifest === this.manifest) return
    this.manifest = manifest
    this.allotments.setManifest(manifest, this.options.clock.now())
  }

  /** Polls the owner once, and claims the shard if it has no owner or a takeover is due. */
  private async watchOwner (signal: AbortSignal): Promise<void> {
    if (!this.caughtUp) {
      const read = await this.options.journal.catchUp()
      if (read.isErr()) return await sleep(CATCH_UP_RETRY_DELAY_MS, signal)
      this.caughtUp = true
      this.ownerMonitor.restartDetection()
      this.follow()
    }
    const holder = this.options.journal.holder()
    if (holder === undefined) return await this.claimFirst()
    // This node owned the shard before it restarted or its ownership ended.
    if (holder.epoch.node === this.options.settings.node) return await this.claim(false)
    await this.ownerMonitor.pollOwner(holder)
    if (!this.leaving && this.ownerMonitor.isTakeoverDue(holder)) await this.takeOver(holder)
  }

  /**
   * Claims a shard that has had no owner yet. The later a candidate is in the order, the longer it waits, so that the first
   * available one claims the shard.
   */
  private async claimFirst (): Promise<void> {
    // The claim names the standbys: with a stale list of members, the shard could be left without any.
    await this.options.members.poll()
    const rank = this.candidates().indexOf(this.options.settings.node)
    if (
      this.ownerMonitor.sinceDetectionRestartMs() < rank * TAKEOVER_STAGGER_MS ||
      this.options.journal.holder() !== undefined
    ) return
    await this.claim(false)
  }

  private async takeOver (holder: Holder): Promise<void> {
    if (await this.ownerMonitor.isTakeoverRefutedByOthers(holder)) {
      this.options.metrics.count('takeover.held')
      await sleep(this.options.settings.timing.heartbeatMs)
      return
    }
    await this.claim(this.ownerMonitor.mayTakeOverProvisionally(holder))
  }

  /**
   * Claims the shard under a new epoch, unless a claim of this node is in progress.
   *
   * @param provisionally true to take over the workers without the log if it is unavailable
   */
  private async claim (provisionally: boolean): Promise<void> {
    // Pledges are refused until the claim in progress has ended.
    if (this.claiming) return
    const { journal, settings } = this.options
    const before = journal.holder()
    this.claiming = true
    const epoch = {
      counter: Math.max(this.ownerMonitor.newestEpoch.counter, before?.epoch.counter ?? 0) + 1, node: settings.node
    }
    const formerStandbys = this.formerStandbysOf(before)
    const standbys = this.desiredStandbys(formerStandbys)
    if (provisionally && !journal.available()) {
      this.claiming = false
      this.startOwner(epoch, { standbys, formerStandbys, provisional: true, first: false })
      return
    }
    const claimed = await journal.claim(epoch, standbys)
    this.claiming = false
    if (claimed.isOk()) {
      // The claim reads the log to its end first, so it can replace a holder that was not known before. And the claim in effect can be
      // an earlier one of this node under the same epoch, which reached the log late.
      const replacedStandbys = this.formerStandbysOf(this.replacedHolder)
      this.startOwner(epoch, {
        standbys: claimed.value.standbys,
        formerStandbys: [...new Set([...formerStandbys, ...replacedStandbys])],
        provisional: false,
        first: before === undefined && this.replacedHolder === undefined
      })
      return
    }
    if (claimed.error.failure === JournalFailure.Superseded) {
      this.ownerMonitor.noteEpoch(journal.holder()?.epoch ?? NO_EPOCH)
      this.ownerMonitor.restartDetection()
      this.endOwnership('Another node claimed the shard in the log.')
      return
    }
    if (!provisionally || before === undefined || this.owner !== undefined) return
    this.startOwner(epoch, { standbys, formerStandbys, provisional: true, first: false })
  }

  private startOwner (epoch: Epoch, claim: Pick<ConfirmationOptions, 'standbys' | 'formerStandbys' | 'provisional' | 'first'>): void {
    const { options } = this
    this.endOwnership('This node starts a newer epoch.')
    this.ownerMonitor.noteEpoch(epoch)
    const { timing } = options.settings
    const confirmation = new Confirmation({ ...options, ...claim, epoch, timing })
    const owner: Owner = new Owner({
      ...options,
      journal: createJournalWriter(options.journal, claim.provisional),
      provisional: claim.provisional,
      node: options.settings.node,
      epoch,
      allotments: this.allotments,
      burn: this.burn,
      timing,
      confirmed: () => this.owner === owner && confirmation.mayAct(),
      inheritedExpiryMs: () => confirmation.inheritedExpiryMs(),
      onStale: (newer) => { this.onStale(owner, newer) }
    })
    this.confirmation = confirmation
    this.owner = owner
    this.options.metrics.count('shard.claimed')
    this.options.logger.info({ shard: options.shard, epoch, provisional: claim.provisional }, 'shard ownership started')
    owner.start()
  }

  private async keepOwnership (): Promise<void> {
    const { owner, confirmation } = this
    if (owner === undefined || confirmation === undefined) return
    // A provisional owner claims in the log as soon as that is available. A successful claim replaces it by an owner with a new
    // epoch, after the journal was read to its end.
    if (confirmation.provisional) return await this.claim(false)
    await confirmation.refresh()
    if (this.owner !== owner) return
    await confirmation.setStandbys(this.desiredStandbys([]))
    const snapshotWritten = await this.options.journal.writeSnapshotIfDue()
    if (snapshotWritten.isOk() && snapshotWritten.value) this.options.metrics.count('shard.snapshot')
  }

  private onHolder (holder: Holder): void {
    this.replacedHolder = this.holder
    this.holder = holder
    this.ownerMonitor.noteEpoch(holder.epoch)
    const { owner } = this
    if (owner === undefined || compareEpochs(holder.epoch, owner.options.epoch) <= 0) return
    this.endOwnership(`Node ${holder.epoch.node} claimed the shard in the log.`)
  }

  private onStale (owner: Owner, newer: Epoch | undefined): void {
    if (this.owner !== owner) return
    if (newer !== undefined) this.ownerMonitor.noteEpoch(newer)
    if (this.confirmation?.provisional === true) this.ownerMonitor.pauseProvisionalTakeovers()
    this.endOwnership('A worker or the log has a newer epoch.')
  }

  private endOwnership (detail: string): void {
    const { owner } = this
    if (owner === undefined) return
    this.owner = undefined
    this.confirmation = undefined
    this.ownerMonitor.restartDetection()
    owner.stop()
    this.options.metrics.count('shard.retired')
    this.options.logger.info({ shard: this.options.shard, epoch: owner.options.epoch, detail }, 'shard ownership ended')
  }

  /** Returns the nodes, without this one, that may still confirm the owner under a claim. */
  private formerStandbysOf (holder: Holder | undefined): string[] {
    if (holder === undefined) return []
    return this.ownerMonitor.standbysOf(holder).filter((standby) => standby !== this.options.settings.node)
  }

  /**
   * Returns the next candidates, and the given standbys of the previous claim that are not terminated: they may still confirm a
   * former owner.
   */
  private desiredStandbys (formerStandbys: readonly string[]): string[] {
    const others = this.candidates().filter((node) => node !== this.options.settings.node)
    const remaining = formerStandbys.filter((node) => !this.options.members.isTerminated(node))
    return [...new Set([...others.slice(0, READERS_PER_SHARD - 1), ...remaining])]
  }

  private standbys (): readonly string[] {
    return this.confirmation?.standbys() ?? []
  }
}
