/**
 * A node of the cell: serves callers, follows journal and configuration, and owns the cell when its turn has come.
 */
import { detach } from './detach.js'
import { setMaxListeners } from 'node:events'
import { Kind, type Notice, type Request } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { sleep, type Clock } from './clock.js'
import { Desk } from './entry/desk.js'
import { Follower } from './journal/follower.js'
import { Subject, encodeRecord, splitKey, type NodeAddress } from './journal/record.js'
import { Table } from './journal/table.js'
import { StoreAccess, type Relay } from './membership/access.js'
import { isClaimDue, rankOf } from './membership/election.js'
import { Links } from './membership/links.js'
import { Relays, serveRelay } from './membership/relay.js'
import type { Configuration } from './model/configuration.js'
import { Phase } from './model/job.js'
import { Owner, type OwnerTerms } from './owner/owner.js'
import { AdviceFailure, type Advisor, type Tickets } from './ports/advisor.js'
import type { Fleet } from './ports/fleet.js'
import type { Formats } from './ports/formats.js'
import type { Machines } from './ports/machines.js'
import { StoreFailure, Topic, type KeyedRecord, type StorePort, type StoredRecord } from './ports/store.js'
import type { Log } from './report/log.js'
import type { Metrics } from './report/metrics.js'

/** Time between two looks at the ownership. */
const ELECTION_TICK_MS = 40
/** Time between two reads of the journal: by the owner, by others, and by others while the owner is not heard. */
const OWNER_READ_MS = 300
const FOLLOWER_READ_MS = 700
const ALERT_READ_MS = 100
/** Least time between two reads of the configuration. */
const CONFIGURATION_READ_MS = 50
const REGISTER_RETRY_MS = 100
/** Added to the time that another node is given, for the way of its answer. */
const LINK_RESERVE_MS = 200
/** Tries of one claim under one sequence number. */
const CLAIM_TRIES = 4
/** Random first sequence numbers tell two claims of one epoch apart. */
const SEQUENCE_MAX = 2 ** 30
/** Longest time that a planned stop tells others to take over. */
const SUCCEED_TIMEOUT_MS = 300

/** Refusals that only an owner gives. Others say that no owner was reached. */
const OWNERS_REASONS: ReadonlySet<Reason> = new Set([Reason.LogUnavailable, Reason.DeadlineUnreachable])

type NoticedRecord = Notice['records'][number]

/** Settings of a node. */
export interface NodeTerms extends OwnerTerms {
  readonly node: string
  readonly zone: string
  readonly host: string
  /** Port for other nodes. */
  readonly port: number
  /** Age of the configuration beyond which keys are not trusted. */
  readonly configurationAgeMaxMs: number
}

/** What a node is built from. */
export interface NodeParts {
  readonly terms: NodeTerms
  readonly store: StorePort
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
  readonly desk: Desk
  private readonly stop = new AbortController()
  private readonly incarnation = Math.random().toString(36).slice(2)
  private readonly links: Links
  private readonly relays: Relays
  private readonly access: StoreAccess
  private readonly journal: Follower
  private readonly settings: Follower
  private table = new Table()
  /** The table that is being read anew, until it is complete. */
  private nextTable: Table | undefined
  private configuration: Configuration | undefined
  private owner: Owner | undefined
  private draining = false
  private ownerLeft = 0
  private unlinkedMs: number
  private heardMs = -Infinity
  private readMs = -Infinity
  private ownerRecords = 0

  constructor (private readonly parts: NodeParts) {
    const { clock, terms, log } = parts
    setMaxListeners(0, this.stop.signal)
    this.unlinkedMs = clock.now()
    this.links = new Links({
      node: terms.node,
      zone: terms.zone,
      host: terms.host,
      port: terms.port,
      addressOf: (node) => this.table.nodes.get(node),
      handler: (request) => this.handle(request),
      onLink: (node, up) => { this.onLink(node, up) }
    })
    this.relays = new Relays(this.links, terms.node, () => [this.table.owner?.node ?? '', ...this.table.nodes.keys()])
    const relay: Relay = (call, timeoutMs) => this.relays.call(call, timeoutMs)
    this.access = new StoreAccess(parts.store, relay, clock, (reachable, failure) => {
      log.event(reachable ? 'store regained' : 'store lost', { failure })
    })
    this.journal = new Follower(this.access, Topic.Journal, {
      onRecord: (record) => { this.applyRecord(record) },
      onReset: () => { if (this.owner === undefined) this.nextTable = new Table() },
      onCaughtUp: () => { this.onJournalRead() }
    }, clock, FOLLOWER_READ_MS)
    this.settings = new Follower(this.access, Topic.Configuration, {
      onRecord: (record) => { this.applyConfiguration(record) }
    }, clock, CONFIGURATION_READ_MS)
    this.desk = this.createDesk()
  }

  /** Starts the node. */
  async start (): Promise<Result<void, string>> {
    const listening = await this.links.listen()
    if (listening.isErr()) return listening
    const { signal } = this.stop
    detach(this.settings.run(signal))
    detach(this.journal.run(signal))
    detach(this.register())
    detach(this.elect())
    this.parts.log.event('node started', { incarnation: this.incarnation, ...this.parts.terms })
    return ok(undefined)
  }

  /** True if callers can be served. */
  ready (): boolean {
    if (this.draining || this.configuration === undefined || this.journal.offset === undefined) return false
    return this.parts.clock.ageOf(this.settings.freshAt) < this.parts.terms.configurationAgeMaxMs
  }

  /** Takes no new callers and hands the ownership on. Open calls go on. */
  async drain (): Promise<void> {
    this.draining = true
    const { owner } = this
    this.parts.log.event('node draining', { owner: owner !== undefined })
    if (owner === undefined) return
    const { epoch } = this.table.owner!
    this.owner = undefined
    owner.close()
    await this.links.broadcast({ kind: Kind.Succeed, epoch }, SUCCEED_TIMEOUT_MS)
  }

  /** Stops everything. */
  close (): void {
    this.owner?.close()
    this.stop.abort()
    this.links.close()
  }

  private createDesk (): Desk {
    const { clock, terms, log, metrics } = this.parts
    return new Desk({
      configuration: () => this.configuration,
      configurationFreshAt: () => this.settings.freshAt,
      configurationAgeMaxMs: terms.configurationAgeMaxMs,
      table: () => this.table,
      store: this.access,
      catchUp: async () => { await this.journal.catchUp() },
      journalFreshAt: () => this.journal.freshAt,
      handOver: (record, timeoutMs) => this.handOver(record, timeoutMs),
      notify: (record) => { this.notify(record) },
      askPhase: (job, timeoutMs) => this.askPhase(job, timeoutMs),
      clock,
      log,
      metrics
    })
  }

  /** Writes this node's address to the journal. */
  private async register (): Promise<void> {
    const { node, host, port, zone } = this.parts.terms
    const address: NodeAddress = { node, incarnation: this.incarnation, host, port, zone }
    const record = encodeRecord(Subject.Node, node, address)
    while (!this.stop.signal.aborted) {
      const appended = await this.access.append(Topic.Journal, [record])
      if (appended.isOk()) return
      await sleep(REGISTER_RETRY_MS, this.stop.signal)
    }
  }

  private applyRecord (record: StoredRecord): void {
    const table = this.nextTable ?? this.table
    table.apply(record, this.owner === undefined ? 0 : this.owner.epoch)
    if (this.owner === undefined) return
    const { subject, name } = splitKey(record.key)
    if (subject === Subject.Job || subject === Subject.Cancellation) this.owner.onJob(name)
  }

  private onJournalRead (): void {
    if (this.nextTable !== undefined) {
      this.table = this.nextTable
      this.nextTable = undefined
      this.ownerRecords = 0
      this.parts.log.event('journal read', { offset: this.journal.offset, jobs: this.table.jobs.size, owner: this.table.owner?.node })
    }
    const nowMs = this.parts.clock.now()
    this.readMs = nowMs
    if (this.table.ownerRecords !== this.ownerRecords) this.heardMs = nowMs
    this.ownerRecords = this.table.ownerRecords
    if (this.owner !== undefined && this.table.owner?.incarnation !== this.incarnation) this.yieldOwnership('a later claim was read')
  }

  private applyConfiguration (record: StoredRecord): void {
    if (record.key !== this.parts.formats.configurationKey || record.value === undefined) return
    const decoded = this.parts.formats.decodeConfiguration(record.value)
    if (decoded.isErr()) {
      this.parts.log.event('configuration unreadable', { offset: record.offset, mistake: decoded.error })
      return
    }
    const { version } = decoded.value
    if (this.configuration !== undefined && version <= this.configuration.version) return
    this.parts.log.event('configuration in force', { version, before: this.configuration?.version, offset: record.offset })
    this.configuration = decoded.value
    this.owner?.requestRound()
  }

  private onLink (node: string, up: boolean): void {
    const isOwner = node === this.table.owner?.node
    this.parts.log.event(up ? 'node linked' : 'node unlinked', { peer: node, owner: isOwner })
    if (!isOwner) return
    if (!up) {
      this.unlinkedMs = this.parts.clock.now()
      this.journal.hurry()
    }
  }

  /** Keeps the connection to the owner, and claims the cell when it is vacant. */
  private async elect (): Promise<void> {
    const { signal } = this.stop
    let watched: string | undefined
    while (!signal.aborted) {
      await sleep(ELECTION_TICK_MS, signal)
      const { owner } = this.table
      if (owner?.incarnation !== watched) {
        watched = owner?.incarnation
        this.unlinkedMs = this.parts.clock.now()
      }
      const linked = owner !== undefined && this.links.has(owner.node)
      if (owner !== undefined && !linked && owner.node !== this.parts.terms.node) detach(this.links.connect(owner.node))
      this.journal.intervalMs = this.owner !== undefined ? OWNER_READ_MS : linked ? FOLLOWER_READ_MS : ALERT_READ_MS
      if (this.owner !== undefined || this.draining) continue
      if (this.isDue(linked, this.parts.clock.now())) await this.confirmAndClaim(linked)
    }
  }

  /** Claims the cell unless a last look at the journal shows a sign of the owner. */
  private async confirmAndClaim (linked: boolean): Promise<void> {
    const read = await this.journal.catchUp()
    if (read.isOk() && this.isDue(linked, this.readMs)) await this.claim()
  }

  private isDue (linked: boolean, nowMs: number): boolean {
    const { owner } = this.table
    if (this.journal.offset === undefined || this.configuration === undefined) return false
    const { node } = this.parts.terms
    const rank = rankOf(node, this.table.nodes.keys(), owner?.node ?? '')
    return isClaimDue({
      linked,
      unlinkedMs: this.unlinkedMs,
      heardMs: this.heardMs,
      refused: owner !== undefined && this.links.refuses(owner.node),
      left: owner !== undefined && this.ownerLeft === owner.epoch,
      vacant: owner === undefined || owner.node === node,
      answerMs: this.access.answerMs
    }, rank, nowMs)
  }

  private async claim (): Promise<void> {
    const epoch = (this.table.owner?.epoch ?? 0) + 1
    const sequence = Math.floor(Math.random() * SEQUENCE_MAX)
    const record = encodeRecord(Subject.Owner, 'cell', { epoch, node: this.parts.terms.node, incarnation: this.incarnation })
    const outcome = await this.appendClaim(record, epoch, sequence)
    this.parts.metrics.claims.inc({ outcome })
    this.parts.log.event('claim', { epoch, outcome, before: this.table.owner?.node })
    if (outcome === 'held') await this.takeOwnership(epoch, sequence + 1)
    else await this.journal.catchUp()
  }

  private async appendClaim (record: KeyedRecord, epoch: number, sequence: number): Promise<string> {
    let failure = StoreFailure.NoAnswer
    for (let attempt = 0; attempt < CLAIM_TRIES; attempt++) {
      const appended = await this.access.append(Topic.Journal, [record], { epoch, sequence })
      if (appended.isOk()) return 'held'
      failure = appended.error
      if (failure !== StoreFailure.NoAnswer) break
    }
    return failure
  }

  private async takeOwnership (epoch: number, sequence: number): Promise<void> {
    const claimedAt = this.parts.clock.stamp()
    while (this.table.owner === undefined || this.table.owner.epoch < epoch) {
      const read = await this.journal.catchUp()
      if (this.stop.signal.aborted) return
      if (read.isErr()) await sleep(REGISTER_RETRY_MS, this.stop.signal)
    }
    if (this.table.owner.epoch !== epoch || this.table.owner.incarnation !== this.incarnation) return
    const { terms, fleet, machines, formats, clock, log, metrics } = this.parts
    const owner = new Owner({
      epoch,
      sequence,
      claimedAt,
      table: this.table,
      store: this.access,
      fleet,
      machines,
      formats,
      clock,
      configuration: () => this.configuration!,
      ask: (node, step, workers, timeoutMs) => this.askAdvice(node, step, workers, timeoutMs),
      nodes: () => [terms.node, ...this.links.connected()],
      terms,
      log,
      metrics
    })
    this.owner = owner
    log.event('ownership taken', { epoch, jobs: this.table.jobs.size, runs: owner.ledger.size })
    owner.run().then(() => { if (this.owner === owner) this.yieldOwnership('superseded') }, (error: unknown) => { throw error })
  }

  /** Forgets all that the owner held and reads the journal anew. */
  private yieldOwnership (reason: string): void {
    this.parts.log.event('ownership lost', { epoch: this.owner?.epoch, reason })
    this.owner?.close()
    this.owner = undefined
    this.nextTable = new Table()
    this.journal.offset = undefined
    this.journal.hurry()
  }

  /** Has the owner take a record of a caller; undefined if no owner can be asked. */
  private async handOver (record: KeyedRecord, timeoutMs: number): Promise<Result<void, Refusal> | undefined> {
    if (this.owner !== undefined) return await this.owner.take(record, timeoutMs)
    const { owner } = this.table
    if (owner === undefined || !this.links.has(owner.node)) return undefined
    const request: Notice = { kind: Kind.Notice, records: [record as NoticedRecord], timeoutMs }
    const answer = await this.links.ask(owner.node, request, timeoutMs + LINK_RESERVE_MS)
    if (answer.isErr()) {
      const { reason, execution } = answer.error
      return execution === Execution.NotRun && !OWNERS_REASONS.has(reason) ? undefined : err(answer.error)
    }
    this.table.apply({ ...record, offset: -1 })
    return ok(undefined)
  }

  /** The owner reads the journal as well; the notice only spares it the wait. */
  private notify (record: KeyedRecord): void {
    if (this.owner === undefined) this.table.apply({ ...record, offset: -1 })
    else this.applyRecord({ ...record, offset: -1 })
  }

  private async askPhase (job: string, timeoutMs: number): Promise<Phase | null | undefined> {
    if (this.owner !== undefined) return this.table.jobs.get(job)?.visiblePhase() ?? null
    const { owner } = this.table
    if (owner === undefined || !this.links.has(owner.node)) return undefined
    const answer = await this.links.ask(owner.node, { kind: Kind.Lookup, job }, timeoutMs)
    return answer.isOk() ? answer.value as Phase | null : undefined
  }

  private async askAdvice (
    node: string, step: string, workers: readonly string[], timeoutMs: number
  ): Promise<Result<Tickets, AdviceFailure>> {
    if (node === this.parts.terms.node) return await this.parts.advisor.advise(step, workers, timeoutMs)
    const answer = await this.links.ask(node, { kind: Kind.Advise, step, workers: [...workers], timeoutMs }, timeoutMs)
    return answer.isOk() ? ok(answer.value as Tickets) : err(AdviceFailure.NoAnswer)
  }

  private async handle (request: Request): Promise<Result<unknown, Refusal>> {
    switch (request.kind) {
      case Kind.Notice:
        if (this.owner === undefined) return err(refuse(Reason.NotOwner, 'This node does not own the cell.'))
        return await this.serveNotice(this.owner, request)
      case Kind.Lookup:
        if (this.owner === undefined) return err(refuse(Reason.NotOwner, 'This node does not own the cell.'))
        return ok(this.table.jobs.get(request.job)?.visiblePhase() ?? null)
      case Kind.Advise: {
        const advice = await this.parts.advisor.advise(request.step, request.workers, request.timeoutMs)
        return advice.mapErr((failure) => refuse(Reason.Overloaded, `The advisor did not answer: ${failure}.`, 0))
      }
      case Kind.Relay: return await serveRelay(this.access, request)
      case Kind.Succeed:
        this.ownerLeft = request.epoch
        this.unlinkedMs = this.parts.clock.now()
        return ok(true)
      default: return err(refuse(Reason.Malformed, `A node of the cell does not answer requests of kind ${request.kind}.`))
    }
  }

  private async serveNotice (owner: Owner, request: Notice): Promise<Result<true, Refusal>> {
    for (const record of request.records) {
      const taken = await owner.take(record as KeyedRecord, request.timeoutMs)
      if (taken.isErr()) return err(taken.error)
    }
    return ok(true)
  }
}
