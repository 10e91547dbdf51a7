/**
 * This node's part in one shard: bystander, standby or owner.
 */
import { sleep, type Clock } from '@fireflymount/platform/clock'
import { JournalFailure, type Holder, type Journal } from '@fireflymount/platform/journal'
import type { Vm } from '@fireflymount/platform/machines'
import type { Worker } from '@fireflymount/platform/worker'
import { findUpstream } from '@fireflymount/manifest/lookup'
import type { Manifest } from '@fireflymount/manifest/manifest'
import type { Settings } from '@fireflymount/manifest/settings'
import { NO_EPOCH, compareEpochs, type Epoch } from '@fireflymount/protocol/epoch'
import { Kind, type Pledge, type Ownership, type Request, type Grant } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'
import type { Metrics } from '../counters.js'
import { FOLLOWERS, type Members } from '../membership/members.js'
import type { Router } from '../peer/router.js'
import { Allotments } from './allotments.js'
import { BurnCounts } from './burn.js'
import { Confirmation, type ConfirmationParts } from './confirmation.js'
import { createLedger } from './ledger.js'
import { Owner } from './owner.js'
import { STAGGER_MS, Standby } from './standby.js'
import type { ShardState } from './state.js'
import { stopProcess } from '../invariant.js'

/** Time between two looks at the shard, of its owner and standbys and of other nodes. */
const TICK_MS = 50
const BYSTANDER_TICK_MS = 250
const NO_ZONES: readonly string[] = []
/** How long reads of the stream are held open. */
const FOLLOW_WAIT_MS = 1000
const CATCH_UP_RETRY_MS = 200
/** Wait for the successor's claim during a planned stop. */
const HANDOVER_TIMEOUT_MS = 2000

/** What a role is built from. */
export interface RoleParts {
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

/** One shard as this node takes part in it. */
export class Role {
  private readonly allotments: Allotments
  private readonly burn: BurnCounts
  private manifest: Manifest | undefined
  private owner: Owner | undefined
  private confirmation: Confirmation | undefined
  private following: AbortController | undefined
  private caughtUp = false
  private claiming = false
  private leaving = false
  private readonly standby: Standby

  constructor (private readonly parts: RoleParts) {
    this.allotments = new Allotments(parts.shard)
    this.burn = new BurnCounts(parts.settings.node, parts.clock.wall())
    this.standby = new Standby({ ...parts, candidates: () => this.candidates() })
    parts.journal.onHolder((holder) => { this.onHolder(holder) })
  }

  /** Runs until the signal. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.refreshManifest()
      if (this.owner !== undefined) await this.keepOwnership()
      else if (this.isFollower()) await this.watch(signal)
      else await this.standBy(signal)
      await sleep(TICK_MS, signal)
    }
    this.unfollow()
    this.retire('The node stops.')
  }

  /** True while this node owns the shard and may act. */
  owns (): boolean {
    return this.owner !== undefined && this.confirmation !== undefined && this.confirmation.holds()
  }

  /** Requests at workers that this node still waits for. */
  callsInProgress (): number {
    return this.owner?.calls.size() ?? 0
  }

  /** Answers a request about the shard. */
  async handle (request: Request): Promise<Result<unknown, Refusal>> {
    switch (request.kind) {
      case Kind.Watch: return ok(this.ownership())
      case Kind.Pledge: return ok(this.grant(request))
      case Kind.Handover: return await this.takeHandover(request.epoch)
    }
    if (this.owner !== undefined) return await this.owner.handle(request)
    return err(this.notOwner())
  }

  /** Hands the shard to the first standby that answers, before a planned stop. */
  async release (): Promise<void> {
    this.leaving = true
    const { owner } = this
    if (owner === undefined) return
    for (const standby of this.standbys()) {
      const request: Request = { kind: Kind.Handover, shard: this.parts.shard, epoch: owner.parts.epoch }
      const taken = await this.parts.router.askNode(standby, request, HANDOVER_TIMEOUT_MS)
      if (taken.isErr()) continue
      this.standby.learn((taken.value as Ownership).epoch)
      this.retire(`Node ${standby} took the shard over.`)
      return
    }
  }

  private ownership (): Ownership {
    if (this.owner !== undefined) return { epoch: this.owner.parts.epoch, owner: true }
    return { epoch: this.standby.newest, owner: false, heardMs: this.standby.heardMs(), claiming: this.claiming }
  }

  private grant (pledge: Pledge): Grant {
    if (this.owner !== undefined) return { granted: false, epoch: this.owner.parts.epoch }
    if (this.claiming) return { granted: false, epoch: this.standby.newest }
    return { granted: this.standby.grant(pledge.epoch), epoch: this.standby.newest }
  }

  /** The owner asks for it, so that no silence has to be waited for. */
  private async takeHandover (epoch: Epoch): Promise<Result<Ownership, Refusal>> {
    if (this.leaving || this.owner !== undefined || compareEpochs(epoch, this.standby.newest) < 0) return err(this.notOwner())
    await this.claim(false)
    if (this.owner === undefined) return err(this.notOwner())
    return ok(this.ownership())
  }

  private notOwner (): Refusal {
    const holder = this.parts.journal.holder()
    const refusal = refuse(Reason.NotOwner, `This node does not own ${this.parts.shard}.`, 500)
    if (!this.caughtUp || holder === undefined || this.standby.isRefused()) return refusal
    const node = this.standby.ownerNode(holder)
    return node === this.parts.settings.node ? refusal : { ...refusal, node }
  }

  private isFollower (): boolean {
    if (this.leaving) return false
    const { node } = this.parts.settings
    const holder = this.parts.journal.holder()
    if (holder !== undefined && this.standby.standbysOf(holder).includes(node)) return true
    return this.candidates().slice(0, FOLLOWERS).includes(node)
  }

  private candidates (): readonly string[] {
    const zones = findUpstream(this.parts.manifest(), this.parts.shard)?.zones ?? NO_ZONES
    return this.parts.members.candidates(this.parts.shard, zones)
  }

  private follow (): void {
    if (this.following !== undefined) return
    this.following = new AbortController()
    this.parts.journal.follow(FOLLOW_WAIT_MS, this.following.signal).catch(stopProcess)
  }

  private async standBy (signal: AbortSignal): Promise<void> {
    this.unfollow()
    await sleep(BYSTANDER_TICK_MS, signal)
  }

  private unfollow (): void {
    this.following?.abort()
    this.following = undefined
    this.caughtUp = false
  }

  private refreshManifest (): void {
    const manifest = this.parts.manifest()
    if (manifest === this.manifest) return
    this.manifest = manifest
    this.allotments.setManifest(manifest, this.parts.clock.now())
  }

  /** One look of a standby at the owner. */
  private async watch (signal: AbortSignal): Promise<void> {
    if (!this.caughtUp) {
      const read = await this.parts.journal.catchUp()
      if (read.isErr()) return await sleep(CATCH_UP_RETRY_MS, signal)
      this.caughtUp = true
      this.standby.hear()
      this.follow()
    }
    const holder = this.parts.journal.holder()
    if (holder === undefined) return await this.claimVacant()
    if (holder.epoch.node === this.parts.settings.node) return await this.claim(false)
    await this.standby.look(holder)
    if (!this.leaving && this.standby.isDue(holder)) await this.takeOver(holder)
  }

  /** The shard never had an owner: the first candidate claims it, the others wait a little. */
  private async claimVacant (): Promise<void> {
    // The claim names the standbys: those of an old list would leave the shard without any.
    await this.parts.members.poll()
    const rank = this.candidates().indexOf(this.parts.settings.node)
    if (this.standby.heardMs() < rank * STAGGER_MS || this.parts.journal.holder() !== undefined) return
    await this.claim(false)
  }

  private async takeOver (holder: Holder): Promise<void> {
    if (await this.standby.isHeardByOthers(holder)) {
      this.parts.metrics.count('takeover.held')
      await sleep(this.parts.settings.timing.heartbeatMs)
      return
    }
    await this.claim(this.standby.mayTakeOverAtWorkers(holder))
  }

  /**
   * Claims the shard under a new epoch.
   *
   * @param provisionally take it over at the workers if the log is away
   */
  private async claim (provisionally: boolean): Promise<void> {
    const { journal, settings } = this.parts
    const before = journal.holder()
    this.claiming = true
    const epoch = { counter: Math.max(this.standby.newest.counter, before?.epoch.counter ?? 0) + 1, node: settings.node }
    const former = before === undefined ? [] : this.standby.standbysOf(before).filter((standby) => standby !== settings.node)
    const standbys = this.wantedStandbys(former)
    if (provisionally && !journal.available()) {
      this.claiming = false
      this.become(epoch, { standbys, former, provisional: true, first: false })
      return
    }
    const claimed = await journal.claim(epoch, standbys)
    this.claiming = false
    if (claimed.isOk()) {
      this.become(epoch, { standbys, former, provisional: false, first: before === undefined })
      return
    }
    if (claimed.error.failure === JournalFailure.Superseded) {
      this.standby.learn(journal.holder()?.epoch ?? NO_EPOCH)
      this.standby.hear()
      this.retire('Another node claimed the shard in the log.')
      return
    }
    if (!provisionally || before === undefined || this.owner !== undefined) return
    this.become(epoch, { standbys, former, provisional: true, first: false })
  }

  private become (epoch: Epoch, terms: Pick<ConfirmationParts, 'standbys' | 'former' | 'provisional' | 'first'>): void {
    const { parts } = this
    this.retire('A newer epoch begins.')
    this.standby.learn(epoch)
    const { timing } = parts.settings
    const confirmation = new Confirmation({ ...parts, ...terms, epoch, timing })
    const owner: Owner = new Owner({
      ...parts,
      journal: createLedger(parts.journal, terms.provisional),
      provisional: terms.provisional,
      node: parts.settings.node,
      epoch,
      allotments: this.allotments,
      burn: this.burn,
      timing,
      confirmed: () => this.owner === owner && confirmation.holds(),
      inheritedLapseMs: () => confirmation.lapseMs(),
      onStale: (newer) => { this.onStale(owner, newer) }
    })
    this.confirmation = confirmation
    this.owner = owner
    this.parts.metrics.count('shard.claimed')
    this.parts.logger.info({ shard: parts.shard, epoch, provisional: terms.provisional }, 'shard owned')
    owner.start()
  }

  private async keepOwnership (): Promise<void> {
    const { owner, confirmation } = this
    if (owner === undefined || confirmation === undefined) return
    // A claim begins a new period of ownership, whose state is read from the log.
    if (confirmation.provisional) return await this.claim(false)
    await confirmation.refresh()
    if (this.owner !== owner) return
    await confirmation.setStandbys(this.wantedStandbys([]))
    const compacted = await this.parts.journal.compact()
    if (compacted.isOk() && compacted.value) this.parts.metrics.count('shard.snapshot')
  }

  private onHolder (holder: Holder): void {
    this.standby.learn(holder.epoch)
    const { owner } = this
    if (owner === undefined || compareEpochs(holder.epoch, owner.parts.epoch) <= 0) return
    this.retire(`Node ${holder.epoch.node} claimed the shard.`)
  }

  private onStale (owner: Owner, newer: Epoch | undefined): void {
    if (this.owner !== owner) return
    if (newer !== undefined) this.standby.learn(newer)
    if (this.confirmation?.provisional === true) this.standby.pauseTakeovers()
    this.retire('A worker or the log knows a newer epoch.')
  }

  private retire (detail: string): void {
    const { owner } = this
    if (owner === undefined) return
    this.owner = undefined
    this.confirmation = undefined
    this.standby.hear()
    owner.stop()
    this.parts.metrics.count('shard.retired')
    this.parts.logger.info({ shard: this.parts.shard, epoch: owner.parts.epoch, detail }, 'shard given up')
  }

  /** The next candidates, and those standbys of the claim before that may still act on it. */
  private wantedStandbys (former: readonly string[]): string[] {
    const others = this.candidates().filter((node) => node !== this.parts.settings.node)
    const left = former.filter((node) => !this.parts.members.isGone(node))
    return [...new Set([...others.slice(0, FOLLOWERS - 1), ...left])]
  }

  private standbys (): readonly string[] {
    return this.confirmation?.standbys() ?? []
  }
}
