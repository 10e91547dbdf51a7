/**
 * A node of the cell. A cell is a group of nodes that share one journal; one of them, the owner, schedules the tasks. Each node
 * serves callers and follows the journal and the configuration. It owns the cell after a successful claim.
 */
import { detach } from './detach.js'
import { ExplanationPacer } from './dry-run/pacer.js'
import { supervise } from './supervise.js'
import { setMaxListeners } from 'node:events'
import { ALL_UNSTARTED, MessageKind, type DryRun, type Explain, type Notice, type Request } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { NEVER, sleep, type Clock } from './clock.js'
import { Entry } from './entry/entry.js'
import { JobService } from './entry/job-service.js'
import type { EntrySettings } from './entry/limits.js'
import { Follower } from './journal/follower.js'
import { Subject, UNKNOWN_OFFSET, splitKey, type NodeAddress } from './journal/record.js'
import { JournalState } from './journal/journal-state.js'
import { StoreAccess, type RelayCall } from './membership/access.js'
import { ClaimProof, Claimant } from './membership/claimant.js'
import { LAST_RANK, isClaimDue, rankOf } from './membership/election.js'
import { FleetGateways } from './membership/fleet-gateways.js'
import { GatewayServer } from './membership/gateway-server.js'
import { Handover } from './membership/handover.js'
import { Links } from './membership/links.js'
import { OwnerWatch } from './membership/owner-watch.js'
import { ProcessorWatch } from './membership/processor-watch.js'
import { AddressCollector, Registration } from './membership/registration.js'
import { RelayServer, StoreRelay } from './membership/relay.js'
import type { Configuration } from './model/configuration.js'
import { isPhase, Phase } from './model/job.js'
import { epochAfter } from './owner/fence.js'
import { Owner, type OwnerSettings } from './owner/owner.js'
import { AdviceFailure, isTickets, type Advisor, type Tickets } from './ports/advisor.js'
import type { Fleet } from './ports/fleet.js'
import type { Formats } from './ports/formats.js'
import type { Machines } from './ports/machines.js'
import { Topic, type KeyedRecord, type StoreClient, type StoredRecord } from './ports/store.js'
import { observeEventLoop } from './report/event-loop.js'
import { applySettings, type SettingsChange } from './settings/settings-change.js'
import { describeError, type Log } from './report/log.js'
import type { Metrics } from './report/metrics.js'
import { EvacuationRefresh } from './zones/evacuation-refresh.js'
import { Evacuations } from './zones/evacuations.js'

/** Interval at which a node checks whether to claim the cell. */
const ELECTION_INTERVAL_MS = 40
/**
 * Minimum intervals between reads of the journal: on the owner, on nodes connected to it, and on nodes without a connection to
 * it.
 */
const OWNER_READ_INTERVAL_MS = 300
const FOLLOWER_READ_INTERVAL_MS = 700
const DISCONNECTED_READ_INTERVAL_MS = 100
/** Minimum interval between reads of the configuration. */
const CONFIGURATION_READ_INTERVAL_MS = 50
const JOURNAL_RETRY_DELAY_MS = 100
/** Added to the timeout given to another node, for the transfer of its answer. */
const LINK_TRANSFER_MS = 200
/**
 * Maximum age of the last read of the journal when a claim is sent: the larger of this time and of a number of mean answer times of the
 * store. An older read is due to this node itself, which was blocked or suspended, and says nothing about the owner.
 */
const CONFIRMATION_AGE_MS = 1000
/** The same for the handover by an owner that gets little processor, which handles confirmations late. */
const SLOW_CONFIRMATION_AGE_MS = 3000
const CONFIRMATION_ANSWER_COUNT = 4
/** Time for which a node does not claim the cell after its ownership ended with an unexpected error, so that others can. */
const FAILED_OWNER_DELAY_MS = 5000
/** Timeout for asking the other nodes to take over during a planned stop. */
const SUCCEED_TIMEOUT_MS = 300
/** Timeout of the owner's answer to operators, and the retry time given to them while there is no owner. */
const EXPLANATION_TIMEOUT_MS = 2000
const EXPLANATION_RETRY_AFTER_MS = 500
/** Minimum interval between two collections of records that wait for a job that the journal no longer has. */
const DEFERRED_COLLECTION_INTERVAL_MS = 30_000
const BYTES_PER_MB = 1024 * 1024

/**
 * Reasons for which only an owner refuses a forwarded record. A refusal with any other reason and `Execution.NotRun` means that
 * no owner was reached.
 */
const OWNER_REASONS: ReadonlySet<Reason> = new Set([
  Reason.LogUnavailable, Reason.DeadlineUnreachable, Reason.LimitReached, Reason.RateExceeded, Reason.TooLarge
])

/** A caller's record in a message that asks the owner to append it to the journal. */
type RecordToAppend = Notice['records'][number]

/** Settings of a node. */
export interface NodeSettings extends OwnerSettings {
  readonly node: string
  readonly zone: string
  readonly host: string
  /** Port for connections from other nodes. */
  readonly port: number
  /** Number of processor cores that the process may use; undefined if it is unknown. */
  readonly processorShare?: number | undefined
  /** Seconds of processor time that the process may use in a second, whatever the speed of the cores; undefined if it is unknown. */
  readonly processorTimeShare?: number | undefined
  /** The owner hands the cell over if it gets less than this part of its processor time; undefined if it does not. */
  readonly minProcessorRatio?: number | undefined
  /** Memory in MB that the process may use; undefined if it is unknown. */
  readonly memoryMb?: number | undefined
  /** Bound in MB on what the jobs of the cell may hold in memory; undefined if it follows from the memory of the smallest node. */
  readonly backlogMb?: number | undefined
  /** Number of file descriptors that the process may have open; undefined if it is unknown. */
  readonly maxDescriptors?: number | undefined
  /** Limits on clients that differ from those that follow from the machine. */
  readonly callerLimits?: EntrySettings | undefined
  /** Maximum age of the configuration. With an older one the node refuses requests, since their keys may have been revoked. */
  readonly configurationAgeMaxMs: number
  /** Time after the request to evacuate an availability zone from which no task may start there; undefined for no limit. */
  readonly evacuationLimitMs?: number | undefined
}

/** Settings of a node that can change while it runs. */
const CHANGEABLE_SETTINGS: ReadonlyArray<keyof NodeSettings> = [
  'farFactor', 'stopMs', 'keptMs', 'configurationAgeMaxMs', 'evacuationLimitMs', 'backlogMb'
]

/** Dependencies and settings of a node. */
export interface NodeOptions {
  /** Changed by `Node.applySettings`. */
  readonly settings: NodeSettings
  readonly store: StoreClient
  readonly fleet: Fleet
  readonly advisor: Advisor
  readonly machines: Machines
  readonly formats: Formats
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
}

/** A running node. */
export class Node {
  readonly jobService: JobService
  /** Creates the servers of the node. */
  readonly entry: Entry
  private readonly stopController = new AbortController()
  private readonly incarnation = Math.random().toString(36).slice(2)
  /** Connections to other nodes. */
  private readonly links: Links
  private readonly storeRelay: StoreRelay
  private readonly relayServer: RelayServer
  private readonly storeAccess: StoreAccess
  private readonly gatewayServer: GatewayServer
  private readonly journal: Follower
  private readonly configurationFollower: Follower
  private readonly evacuations: Evacuations
  private readonly evacuationRefresh: EvacuationRefresh
  private journalState = this.createJournalState()
  /** The state that is being rebuilt from the journal; it replaces `journalState` once it is complete. */
  private nextJournalState: JournalState | undefined
  private configuration: Configuration | undefined
  /** Set while this node owns the cell. `journalState.ownerClaim` names the owner, whichever node it is. */
  private owner: Owner | undefined
  private draining = false
  private readonly ownerWatch: OwnerWatch
  private readonly claimant: Claimant
  private readonly registration: Registration
  /** Both are set while this node owns the cell. */
  private addressCollector: AddressCollector | undefined
  private handover: Handover | undefined
  private readonly processorWatch: ProcessorWatch
  private readonly explanationPacer: ExplanationPacer
  /** Steady time at which an ownership of this node last ended with an unexpected error. */
  private ownerFailedMs = -Infinity
  /** Steady time at which the journal was last read to its end. */
  private journalReadMs = -Infinity
  /** Steady time of the last collection of deferred records. */
  private deferredCollectedMs = -Infinity

  constructor (private readonly options: NodeOptions) {
    const { clock, settings, log } = options
    setMaxListeners(0, this.stopController.signal)
    this.entry = new Entry({ machine: settings, limits: settings.callerLimits, clock, log, metrics: options.metrics })
    this.links = new Links({
      node: settings.node,
      zone: settings.zone,
      host: settings.host,
      port: settings.port,
      entry: this.entry,
      addressOf: (node) => this.journalState.nodes.get(node),
      handler: (request) => this.handle(request),
      onLink: (node, up) => { this.onLink(node, up) },
      onHandlerError: ({ kind, from, error }) => { log.event('request of a node failed', { kind, from, error: describeError(error) }) }
    })
    this.gatewayServer = new GatewayServer(options.fleet, () => this.draining)
    this.ownerWatch = new OwnerWatch(settings.node, this.links, clock)
    this.explanationPacer = new ExplanationPacer(clock)
    this.processorWatch = new ProcessorWatch({
      processorShare: settings.processorTimeShare,
      minRatio: settings.minProcessorRatio,
      onSlow: (receivedShare) => { log.event('machine slow', { receivedShare, processorShare: settings.processorTimeShare }) }
    })
    this.storeRelay = new StoreRelay(this.links, settings.node, () => [
      this.journalState.ownerClaim?.node ?? '', ...this.journalState.nodes.keys()
    ])
    const relay: RelayCall = (call, timeoutMs) => this.storeRelay.call(call, timeoutMs)
    this.storeAccess = new StoreAccess(options.store, relay, clock, (available, failure) => {
      log.event(available ? 'store available again' : 'store unavailable', { failure })
    })
    this.relayServer = new RelayServer(this.storeAccess)
    const { node, zone, host, port, processorShare, memoryMb } = settings
    const startedMs = clock.wall()
    const address: NodeAddress = { node, incarnation: this.incarnation, startedMs, host, port, zone, processorShare, memoryMb }
    this.registration = new Registration(this.storeAccess, address, this.stopController.signal)
    this.claimant = new Claimant(this.storeAccess, clock, settings.node, this.incarnation, startedMs)
    this.journal = new Follower(this.storeAccess, Topic.Journal, {
      onRecord: (record) => { this.applyRecord(record) },
      onRejected: (record, error) => { this.onRecordFailed(Topic.Journal, record, error) },
      onReset: () => { if (this.owner === undefined) this.nextJournalState = this.createJournalState() },
      onCaughtUp: () => { this.onJournalRead() }
    }, clock, FOLLOWER_READ_INTERVAL_MS)
    this.configurationFollower = new Follower(this.storeAccess, Topic.Configuration, {
      onRecord: (record) => { if (!this.evacuations.apply(record)) this.applyConfiguration(record) },
      onRejected: (record, error) => { this.onRecordFailed(Topic.Configuration, record, error) },
      onReset: () => { this.evacuations.startReload() },
      onCaughtUp: () => { this.evacuations.finishReload() }
    }, clock, CONFIGURATION_READ_INTERVAL_MS)
    this.evacuations = this.createEvacuations()
    this.evacuationRefresh = new EvacuationRefresh(this.evacuations, async () => { await this.configurationFollower.catchUp() })
    this.jobService = this.createJobService()
  }

  /**
   * Starts the node.
   *
   * @returns nothing, or why the node cannot listen for other nodes
   */
  async start (): Promise<Result<void, string>> {
    const listening = await this.links.listen()
    if (listening.isErr()) return listening
    const { signal } = this.stopController
    const { metrics, log, clock } = this.options
    observeEventLoop(metrics, log, clock, (sample) => { this.processorWatch.add(sample) }, signal)
    detach(supervise('configuration', () => this.configurationFollower.run(signal), signal, log))
    detach(supervise('journal', () => this.followJournal(), signal, log))
    detach(this.registration.write())
    detach(supervise('election', () => this.elect(), signal, log))
    log.event('node started', { incarnation: this.incarnation, ...this.options.settings })
    return ok(undefined)
  }

  /** Applies new settings as far as they can change while the node runs. */
  applySettings (settings: NodeSettings): SettingsChange {
    return applySettings(this.options.settings, settings, CHANGEABLE_SETTINGS)
  }

  /** True if the node can serve callers. */
  ready (): boolean {
    if (this.draining || this.configuration === undefined || this.journal.offset === undefined) return false
    return this.options.clock.ageOf(this.configurationFollower.freshAt) < this.options.settings.configurationAgeMaxMs
  }

  /** Number of calls to workers that this node is making for the owner on another node. */
  get openCommands (): number {
    return this.gatewayServer.open
  }

  private createJournalState (): JournalState {
    return new JournalState((key, reason) => { this.options.log.event('journal record rejected', { key, mistake: reason }) }, () => {
      const { backlogMb } = this.options.settings
      return backlogMb === undefined ? undefined : backlogMb * BYTES_PER_MB
    }, () => this.configuration?.workspaces.length ?? 0)
  }

  /** Makes the node not ready for new callers, takes no new commands of the owner on another node, and asks other nodes to take over the ownership. Requests in flight continue. */
  async drain (): Promise<void> {
    this.draining = true
    this.entry.drain()
    const { owner } = this
    this.options.log.event('node draining', { owner: owner !== undefined })
    detach(this.registration.announceStop())
    if (owner === undefined) return
    this.owner = undefined
    owner.close()
    await this.askForSuccessor(owner.epoch)
  }

  /** Asks the connected nodes to claim the cell at once. */
  private async askForSuccessor (epoch: number): Promise<void> {
    await this.links.broadcast({ kind: MessageKind.Succeed, epoch }, SUCCEED_TIMEOUT_MS)
  }

  /** Stops the node and closes its connections. */
  close (): void {
    this.owner?.close()
    this.stopController.abort()
    this.links.close()
    this.entry.close()
  }

  private createJobService (): JobService {
    const { clock, settings, log } = this.options
    return new JobService({
      configuration: () => this.configuration,
      configurationFreshAt: () => this.configurationFollower.freshAt,
      get configurationAgeMaxMs () { return settings.configurationAgeMaxMs },
      journalState: () => this.journalState,
      store: this.storeAccess,
      catchUp: async () => { await this.journal.catchUp() },
      journalFreshAt: () => this.journal.freshAt,
      forwardToOwner: (record, timeoutMs) => this.forwardToOwner(record, timeoutMs),
      applyAppended: (record) => { this.applyAppended(record) },
      askPhase: (job, queue, timeoutMs) => this.askPhase(job, queue, timeoutMs),
      countUnstarted: (queue, timeoutMs) => this.countUnstarted(queue, timeoutMs),
      clock,
      log
    })
  }

  /**
   * Follows the journal once the first attempt to read the configuration has ended. The pages of the journal may fill the node's link
   * for seconds, and the node refuses all requests until it has a configuration.
   */
  private async followJournal (): Promise<void> {
    await this.configurationFollower.catchUp()
    await this.journal.run(this.stopController.signal)
  }

  private applyRecord (record: StoredRecord): void {
    const journalState = this.nextJournalState ?? this.journalState
    journalState.apply(record, this.owner === undefined ? 0 : this.owner.epoch)
    if (this.owner === undefined) return
    const { subject, name } = splitKey(record.key)
    if (subject === Subject.Job || subject === Subject.Cancellation) this.owner.onJob(name)
  }

  private onJournalRead (): void {
    const rebuilt = this.nextJournalState !== undefined
    if (this.nextJournalState !== undefined) {
      this.journalState = this.nextJournalState
      this.nextJournalState = undefined
      this.options.log.event('journal read', {
        offset: this.journal.offset, jobs: this.journalState.jobs.size, owner: this.journalState.ownerClaim?.node
      })
    }
    this.journalReadMs = this.options.clock.now()
    if (this.journalReadMs - this.deferredCollectedMs >= DEFERRED_COLLECTION_INTERVAL_MS) {
      this.deferredCollectedMs = this.journalReadMs
      this.journalState.collectDeferred()
    }
    this.ownerWatch.update(this.journalState, rebuilt)
    if (this.journal.offset !== undefined) this.registration.check(this.journalState, this.journal.offset)
    if (this.journalState.ownerClaim !== undefined) this.claimant.onClaimRead(this.journalState.ownerClaim, this.journal.freshAt)
    if (this.owner !== undefined && this.journalState.ownerClaim?.incarnation !== this.incarnation) {
      this.dropOwnership('newer claim read')
    }
  }

  private onRecordFailed (topic: Topic, { key, offset }: StoredRecord, error: unknown): void {
    this.options.log.event('record failed unexpectedly', { topic, key, offset, error: describeError(error) })
  }

  private applyConfiguration (record: StoredRecord): void {
    if (record.key !== this.options.formats.configurationKey || record.value === undefined) return
    const decoded = this.options.formats.decodeConfiguration(record.value)
    if (decoded.isErr()) {
      this.options.log.event('configuration rejected as invalid', { offset: record.offset, mistake: decoded.error })
      return
    }
    const { version } = decoded.value
    if (this.configuration !== undefined && version <= this.configuration.version) return
    this.options.log.event('configuration in effect', { version, before: this.configuration?.version, offset: record.offset })
    this.configuration = decoded.value
    this.owner?.requestRound()
  }

  private createEvacuations (): Evacuations {
    const { formats, clock, settings, log, metrics } = this.options
    return new Evacuations({
      formats,
      clock,
      readAt: () => this.configurationFollower.freshAt,
      limitMs: () => settings.evacuationLimitMs,
      listener: {
        onRequested: (zone, offset, mistake) => {
          // The request was not in the topic at the last read. Before the first read, its age is unknown.
          const ageMs = clock.ageOf(this.configurationFollower.freshAt)
          metrics.evacuatedZone.set({ zone }, 1)
          log.event('evacuation in effect', { zone, offset, lagMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, mistake })
          this.owner?.onZoneEvacuated(zone)
        },
        onTakenBack: (zone) => {
          metrics.evacuatedZone.set({ zone }, 0)
          log.event('evacuation taken back', { zone })
          this.owner?.onZoneReturned(zone)
        },
        onInvalid: (key) => { log.event('evacuation rejected as invalid', { key, mistake: 'The key names no zone.' }) }
      }
    })
  }

  private onLink (node: string, up: boolean): void {
    const isOwner = node === this.journalState.ownerClaim?.node
    this.options.log.event(up ? 'node connected' : 'node disconnected', { peer: node, owner: isOwner })
    if (!isOwner) return
    if (!up) {
      this.ownerWatch.onDisconnected()
      this.journal.readNow()
    }
  }

  /** Maintains the connection to the owner, and claims the cell when the owner is unavailable. */
  private async elect (): Promise<void> {
    const { signal } = this.stopController
    while (!signal.aborted) {
      await sleep(ELECTION_INTERVAL_MS, signal)
      this.reportJournal()
      this.journalState.backlog.measure(this.options.clock.now())
      const { ownerClaim } = this.journalState
      const connected = ownerClaim !== undefined && this.links.has(ownerClaim.node)
      if (ownerClaim !== undefined && !connected && ownerClaim.node !== this.options.settings.node) {
        detach(this.links.connect(ownerClaim.node))
      }
      this.journal.intervalMs = this.owner !== undefined
        ? OWNER_READ_INTERVAL_MS
        : connected ? FOLLOWER_READ_INTERVAL_MS : DISCONNECTED_READ_INTERVAL_MS
      if (this.owner !== undefined) {
        this.evacuationRefresh.check(this.options.clock.now())
        this.collectAddresses(this.owner)
        this.handOver(this.owner)
        continue
      }
      if (ownerClaim !== undefined && this.claimant.holds(ownerClaim)) {
        this.options.log.event('own claim read after its append had failed', { epoch: ownerClaim.epoch })
        await this.takeOwnership(ownerClaim.epoch)
        continue
      }
      if (this.draining) continue
      if (this.shouldClaim(this.options.clock.now())) await this.confirmAndClaim()
    }
  }

  /** Removes the addresses of nodes that are gone, so that they count neither as candidates nor as relays. */
  private collectAddresses (owner: Owner): void {
    const connected = [this.options.settings.node, ...this.links.connected()]
    const tombstones = this.addressCollector!.collect(this.journalState.nodes.keys(), connected)
    if (tombstones.size === 0) return
    this.options.log.event('addresses of absent nodes removed', { addresses: [...tombstones.keys()].join(' ') })
    detach(owner.writer.commit(tombstones))
  }

  /**
   * Hands the cell over to a much larger node, or to any that is faster while this one is slow, if there is one and the store has lately
   * accepted an append. This node is a candidate like the others afterwards.
   */
  private handOver ({ epoch, writer }: Owner): void {
    const { clock, settings } = this.options
    const candidates = [...this.journalState.nodes.values()]
    const connected = this.links.connected()
    const larger = this.handover!.findSuccessor(settings, candidates, connected)
    const receivedShare = this.processorWatch.receivedShareAt(clock.now())
    const recentChanges = this.ownerWatch.countRecentChanges()
    const successor = larger ?? this.handover!.findFaster(receivedShare, recentChanges, candidates, connected)
    const maxAgeMs = receivedShare === undefined ? CONFIRMATION_AGE_MS : SLOW_CONFIRMATION_AGE_MS
    if (successor === undefined || clock.ageOf(writer.confirmedAt) > maxAgeMs) return
    this.options.log.event('cell handed over', { epoch, successor, slow: larger === undefined })
    this.dropOwnership('handed over')
    this.ownerWatch.onLeaving(epoch)
    detach(this.askForSuccessor(epoch))
  }

  private reportJournal (): void {
    if (this.journalReadMs === -Infinity) return
    const { backlog } = this.journalState
    this.options.metrics.backlogBytes.set(backlog.totalBytes)
    this.options.metrics.backlogBoundBytes.set(backlog.boundBytes)
    this.options.metrics.journalAgeSeconds.set((this.options.clock.now() - this.journalReadMs) / 1000)
  }

  /** Reads the journal once more and claims the cell unless it has new records of the owner. */
  private async confirmAndClaim (): Promise<void> {
    const read = await this.journal.catchUp()
    if (read.isErr() || this.draining || !this.shouldClaim(this.journal.freshAt.steadyMs)) return
    const ageMs = this.options.clock.ageOf(this.journal.freshAt)
    const maxAgeMs = Math.max(CONFIRMATION_AGE_MS, CONFIRMATION_ANSWER_COUNT * this.storeAccess.meanAnswerMs)
    if (ageMs < maxAgeMs) return await this.claim()
    this.options.log.event('cell claim postponed', { detail: 'The journal was read too long ago.', ageMs: Math.round(ageMs) })
  }

  private shouldClaim (nowMs: number): boolean {
    if (this.journal.offset === undefined || this.configuration === undefined || !this.registration.isWritten()) return false
    // Before the first read has ended, it is not known which zones are being evacuated, so that nothing could be started.
    if (this.configurationFollower.freshAt === NEVER) return false
    const { nodes, ownerClaim } = this.journalState
    if (ownerClaim !== undefined && this.claimant.holds(ownerClaim)) return false
    if (this.options.clock.now() - this.ownerFailedMs < FAILED_OWNER_DELAY_MS) return false
    const view = this.ownerWatch.view(this.storeAccess.meanAnswerMs)
    // The rank depends on all nodes of the cell, and a claim that is not due for the first candidate is due for none.
    if (!isClaimDue(view, 0, nowMs)) return false
    const rank = rankOf(this.options.settings.node, nodes.values(), ownerClaim?.node ?? '', this.ownerWatch.hasOwnerReturned())
    return isClaimDue(view, this.processorWatch.isSlow(this.options.clock.now()) ? LAST_RANK : rank, nowMs)
  }

  private async claim (): Promise<void> {
    const epoch = epochAfter(this.journalState.ownerClaim?.epoch ?? 0)
    const before = this.journalState.ownerClaim?.node
    const { heardMs, refused, accepting, left, vacant, recentTakeovers } = this.ownerWatch.view(this.storeAccess.meanAnswerMs)
    const silentMs = Math.round(this.options.clock.now() - heardMs)
    const outcome = await this.claimant.claim(epoch)
    this.options.metrics.claims.inc({ outcome })
    this.options.log.event('cell claim attempted', {
      epoch, outcome, before, silentMs, refused, accepting, left, vacant, recentTakeovers
    })
    if (outcome === ClaimProof.Answered || outcome === ClaimProof.Read) await this.takeOwnership(epoch)
    else await this.journal.catchUp()
  }

  /** Becomes the owner under a claim that is held. */
  private async takeOwnership (epoch: number): Promise<void> {
    const held = this.claimant.take()
    if (held === undefined) return
    this.connectGateways()
    while ((this.journalState.ownerClaim?.epoch ?? 0) < epoch || this.nextJournalState !== undefined) {
      const read = await this.journal.catchUp()
      if (this.stopController.signal.aborted) return
      if (read.isErr()) await sleep(JOURNAL_RETRY_DELAY_MS, this.stopController.signal)
    }
    const { ownerClaim } = this.journalState
    if (ownerClaim?.epoch !== epoch || ownerClaim.incarnation !== this.incarnation) return
    if (this.draining) return await this.askForSuccessor(epoch)
    const { settings, machines, formats, clock, log, metrics } = this.options
    const owner = new Owner({
      epoch,
      sequence: held.sequence,
      claimedAt: held.heldAt,
      journalReadAt: () => this.journal.freshAt,
      journalState: this.journalState,
      store: this.storeAccess,
      fleet: this.createFleet(),
      machines,
      formats,
      clock,
      configuration: () => this.configuration!,
      zones: this.evacuations,
      askAdvisor: (node, step, workers, timeoutMs) => this.askAdvice(node, step, workers, timeoutMs),
      nodes: () => [settings.node, ...this.links.connected()],
      settings,
      log,
      metrics
    })
    this.owner = owner
    this.addressCollector = new AddressCollector(clock)
    this.handover = new Handover(clock)
    log.event('ownership taken', { epoch, jobs: this.journalState.jobs.size, runs: owner.ledger.size })
    owner.run().then(() => { if (this.owner === owner) this.dropOwnership('superseded') }, (error: unknown) => {
      log.event('owner failed', { epoch, error: describeError(error) })
      this.ownerFailedMs = clock.now()
      if (this.owner === owner) this.dropOwnership('failed')
      detach(this.askForSuccessor(epoch))
    })
  }

  /** Connects to the nodes that are to call the workers, without waiting until they notice the new owner. */
  private connectGateways (): void {
    for (const node of this.journalState.nodes.keys()) {
      if (node !== this.options.settings.node) detach(this.links.connect(node))
    }
  }

  private createFleet (): FleetGateways {
    const { settings, fleet, clock, log, metrics } = this.options
    return new FleetGateways({
      node: settings.node,
      countOthers: () => this.journalState.nodes.size - 1,
      links: this.links,
      addressOf: (node) => this.journalState.nodes.get(node),
      direct: fleet,
      clock,
      log,
      metrics
    })
  }

  /** Stops the owner, discards its state and reads the journal from scratch. */
  private dropOwnership (reason: string): void {
    this.options.log.event('ownership lost', { epoch: this.owner?.epoch, reason })
    this.owner?.close()
    this.owner = undefined
    this.nextJournalState = this.createJournalState()
    this.journal.restart()
  }

  /** Sends a caller's record to the owner, which appends it; undefined if the owner was not reached. */
  private async forwardToOwner (record: KeyedRecord, timeoutMs: number): Promise<Result<void, Refusal> | undefined> {
    if (this.owner !== undefined) return await this.owner.admit(record, timeoutMs)
    const { ownerClaim } = this.journalState
    if (ownerClaim === undefined || !this.links.has(ownerClaim.node)) return undefined
    const request: Notice = { kind: MessageKind.Notice, records: [record as RecordToAppend], timeoutMs }
    const answer = await this.links.ask(ownerClaim.node, request, timeoutMs + LINK_TRANSFER_MS)
    if (answer.isErr()) {
      const { reason, execution } = answer.error
      return execution === Execution.NotRun && !OWNER_REASONS.has(reason) ? undefined : err(answer.error)
    }
    this.journalState.apply({ ...record, offset: UNKNOWN_OFFSET })
    return ok(undefined)
  }

  /**
   * Applies to this node's state a record that it has appended to the journal, without waiting for the next read. An owner on
   * another node reads the record from the journal.
   */
  private applyAppended (record: KeyedRecord): void {
    if (this.owner === undefined) this.journalState.apply({ ...record, offset: UNKNOWN_OFFSET })
    else this.applyRecord({ ...record, offset: UNKNOWN_OFFSET })
  }

  private async askPhase (job: string, queue: string, timeoutMs: number): Promise<Phase | null | undefined> {
    if (this.owner !== undefined) return this.phaseOf(job, queue)
    const { ownerClaim } = this.journalState
    if (ownerClaim === undefined || !this.links.has(ownerClaim.node)) return undefined
    const answer = await this.links.ask(ownerClaim.node, { kind: MessageKind.Lookup, job, queue }, timeoutMs)
    return answer.isOk() && (answer.value === null || isPhase(answer.value)) ? answer.value : undefined
  }

  /** Asks the owner for the number of a queue's jobs that are active in the journal and have not started; 0 if it does not answer. */
  private async countUnstarted (queue: string, timeoutMs: number): Promise<number> {
    if (this.owner !== undefined) return this.owner.unstartedJobs.countOf(queue)
    const { ownerClaim } = this.journalState
    if (ownerClaim === undefined || !this.links.has(ownerClaim.node)) return 0
    const answer = await this.links.ask(ownerClaim.node, { kind: MessageKind.Lookup, job: ALL_UNSTARTED, queue }, timeoutMs)
    return answer.isOk() && Number.isSafeInteger(answer.value) ? answer.value as number : 0
  }

  /** Returns the phase of a job; null if this node knows no such job on the queue. */
  private phaseOf (job: string, queue: string | undefined): Phase | null {
    const entry = this.journalState.jobs.get(job)
    if (entry === undefined || (queue !== undefined && entry.job.queue !== queue)) return null
    return this.owner?.unstartedJobs.has(entry) === true ? Phase.Pending : entry.visiblePhase()
  }

  /**
   * Asks the owner where a job would go if it were submitted now, or why a job waits.
   *
   * @returns a DryRunReport or a JobSummary, or why there is none
   */
  async explain (request: DryRun | Explain): Promise<Result<unknown, Refusal>> {
    if (this.owner !== undefined) return await this.serveExplanation(this.owner, request)
    const { ownerClaim } = this.journalState
    if (ownerClaim === undefined) return err(refuse(Reason.NoOwner, 'This node knows no owner of the cell.', EXPLANATION_RETRY_AFTER_MS))
    if (this.links.has(ownerClaim.node)) return await this.links.ask(ownerClaim.node, request, EXPLANATION_TIMEOUT_MS)
    const address = this.journalState.nodes.get(ownerClaim.node)
    const place = address === undefined ? 'at an unknown address' : `at ${address.host}`
    return err(refuse(
      Reason.NotOwner,
      `The owner of the cell is ${ownerClaim.node} ${place}, to which this node has no connection. Ask it instead.`,
      EXPLANATION_RETRY_AFTER_MS
    ))
  }

  private async serveExplanation (owner: Owner, request: DryRun | Explain): Promise<Result<unknown, Refusal>> {
    return await this.explanationPacer.run(() => this.computeExplanation(owner, request))
  }

  private computeExplanation (owner: Owner, request: DryRun | Explain): Result<unknown, Refusal> {
    const { node } = this.options.settings
    if (!owner.mayAct()) {
      const detail = 'The store has not confirmed lately that this node owns the cell.'
      return err(refuse(Reason.NotOwner, detail, EXPLANATION_RETRY_AFTER_MS))
    }
    return request.kind === MessageKind.DryRun ? owner.dryRun(request, node) : owner.explain(request.job, node)
  }

  private async askAdvice (
    node: string, step: string, workers: readonly string[], timeoutMs: number
  ): Promise<Result<Tickets, AdviceFailure>> {
    if (node === this.options.settings.node) return await this.options.advisor.advise(step, workers, timeoutMs)
    const answer = await this.links.ask(node, { kind: MessageKind.Advise, step, workers: [...workers], timeoutMs }, timeoutMs)
    return answer.isOk() && isTickets(answer.value) ? ok(answer.value) : err(AdviceFailure.NoAnswer)
  }

  private async handle (request: Request): Promise<Result<unknown, Refusal>> {
    switch (request.kind) {
      case MessageKind.Notice:
        if (this.owner === undefined) return err(refuse(Reason.NotOwner, 'This node does not own the cell.'))
        return await this.serveAppend(this.owner, request)
      case MessageKind.Lookup:
        if (this.owner === undefined) return err(refuse(Reason.NotOwner, 'This node does not own the cell.'))
        if (request.job === ALL_UNSTARTED) return ok(this.owner.unstartedJobs.countOf(request.queue ?? ''))
        return ok(this.phaseOf(request.job, request.queue))
      case MessageKind.DryRun:
      case MessageKind.Explain:
        if (this.owner === undefined) return err(refuse(Reason.NotOwner, 'This node does not own the cell.'))
        return await this.serveExplanation(this.owner, request)
      case MessageKind.Advise: {
        const advice = await this.options.advisor.advise(request.step, request.workers, request.timeoutMs)
        return advice.mapErr((failure) => refuse(Reason.Overloaded, `The advisor returned no tickets: ${failure}.`, 0))
      }
      case MessageKind.Relay: return await this.relayServer.serve(request)
      case MessageKind.Command: return await this.gatewayServer.command(request)
      case MessageKind.Disconnect: return this.gatewayServer.disconnect(request)
      case MessageKind.Succeed:
        this.ownerWatch.onLeaving(request.epoch)
        return ok(true)
      default: return err(refuse(Reason.Malformed, `A node of the cell does not handle requests of kind ${request.kind}.`))
    }
  }

  /** Serves a request of another node to append callers' records. The request is a `Notice` message. */
  private async serveAppend (owner: Owner, request: Notice): Promise<Result<true, Refusal>> {
    for (const record of request.records) {
      const admitted = await owner.admit(record as KeyedRecord, request.timeoutMs)
      if (admitted.isErr()) return err(admitted.error)
    }
    return ok(true)
  }
}
