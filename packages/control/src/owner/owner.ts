/**
 * The owner of the cell: keeps sessions with all workers, decides what starts where, and journals before it acts.
 *
 * Every assignment is in the journal before its start is sent, and every end before it is acknowledged to its worker.
 * A successor therefore knows each run that may exist, and each worker repeats what the journal does not hold.
 */
import { setMaxListeners } from 'node:events'
import type { Execution, Refusal } from '@fireflymount/protocol/refusal'
import type { Result } from 'neverthrow'
import { detach } from '../detach.js'
import { sleep, type Clock, type Stamp } from '../clock.js'
import { Follower } from '../journal/follower.js'
import { Stage, splitKey } from '../journal/record.js'
import type { JobEntry, Table, TaskEntry } from '../journal/table.js'
import { Writer } from '../journal/writer.js'
import type { Configuration } from '../model/configuration.js'
import { isFinal, Phase } from '../model/job.js'
import type { Worker } from '../model/worker.js'
import { WorkerFailure, type Fleet } from '../ports/fleet.js'
import type { Machines } from '../ports/machines.js'
import type { Formats } from '../ports/formats.js'
import { Topic, type KeyedRecord, type Store } from '../ports/store.js'
import type { Log } from '../report/log.js'
import type { Metrics } from '../report/metrics.js'
import { SpeedBook } from '../place/speed.js'
import { Admission, AdviceDesk, type Ask } from './advice.js'
import { AUTHORITY_MS } from './authority.js'
import { Caretaker } from './caretaker.js'
import { Census } from './census.js'
import { Commits } from './commits.js'
import { Demands } from './demand.js'
import { Dispatcher, type Assignment } from './dispatcher.js'
import { Ends } from './ends.js'
import { Intake } from './intake.js'
import { Ledger, chargeOf } from './ledger.js'
import { Registry } from './registry.js'
import { Run, RunState, StopReason } from './run.js'
import { Session, type SessionHost } from './session.js'
import { finish, membersOf } from './settlement.js'
import { Sweeper } from './sweeper.js'

/** Decisions that come due within this time are made in one round. */
const ROUND_GATHER_MS = 4
const TICK_MS = 100
const REGISTRY_INTERVAL_MS = 400

/** Figures that the owner works with. */
export interface OwnerTerms {
  readonly leaseMs: number
  readonly farFactor: number
  /** How long a job that has ended is kept for its callers. */
  readonly keptMs: number
  /** Longest time that a stop takes at a worker. */
  readonly stopMs: number
}

/** What the owner is built from. */
export interface OwnerParts {
  readonly epoch: number
  readonly sequence: number
  readonly claimedAt: Stamp
  readonly table: Table
  readonly store: Store
  readonly fleet: Fleet
  readonly machines: Machines
  readonly formats: Formats
  readonly clock: Clock
  readonly configuration: () => Configuration
  readonly ask: Ask
  readonly nodes: () => readonly string[]
  readonly terms: OwnerTerms
  readonly log: Log
  readonly metrics: Metrics
}

/** A node's ownership of the cell, from its claim until it is superseded or stopped. */
export class Owner {
  readonly writer: Writer
  readonly ledger = new Ledger()
  readonly sessions = new Map<string, Session>()
  readonly demands: Demands
  readonly epoch: number
  private readonly registry: Registry
  private readonly advice: AdviceDesk
  private readonly dispatcher: Dispatcher
  private readonly excess = new Set<string>()
  private readonly speeds = new SpeedBook()
  private readonly commits: Commits
  private readonly ends: Ends
  private readonly intake: Intake
  private readonly caretaker: Caretaker
  private readonly sweeper: Sweeper
  private readonly census: Census
  private readonly backoff = new Map<string, number>()
  private readonly stop = new AbortController()
  private readonly host: SessionHost
  private roundDue = false
  private registryRead = false
  private followedRegistry: Follower

  constructor (private readonly parts: OwnerParts) {
    const { clock, store, table, epoch, metrics, log } = parts
    this.epoch = epoch
    setMaxListeners(0, this.stop.signal)
    this.writer = new Writer(store, clock, epoch, parts.sequence, parts.claimedAt, (bytes, tookMs) => {
      metrics.appends.inc()
      metrics.appendBytes.inc(bytes)
      metrics.appendSeconds.observe(tookMs / 1000)
    })
    this.demands = new Demands(this.ledger)
    this.registry = new Registry(parts.formats, clock, {
      onWorker: (worker) => { this.onWorker(worker) },
      onUnreadable: (worker, mistake) => { log.event('worker entry unreadable', { worker, mistake }) }
    })
    this.followedRegistry = new Follower(store, Topic.Workers, {
      onRecord: (record) => { this.registry.apply(record) },
      onReset: () => { this.registry.reset() },
      onCaughtUp: () => { this.onRegistryRead() }
    }, clock, REGISTRY_INTERVAL_MS)
    this.advice = new AdviceDesk(parts.ask, parts.nodes, clock, (step, granted, asked, tookMs, node) => {
      log.decision('advice', { step, granted, asked, tookMs: Math.round(tookMs), through: node })
      this.requestRound()
    })
    this.commits = new Commits(this.writer)
    this.ends = new Ends({
      table,
      ledger: this.ledger,
      demands: this.demands,
      advice: this.advice,
      speeds: this.speeds,
      backoff: this.backoff,
      commits: this.commits,
      configuration: parts.configuration,
      clock,
      log,
      metrics,
      stopJob: (entry, reason) => { this.stopJob(entry, reason) },
      requestRound: () => { this.requestRound() }
    })
    this.dispatcher = new Dispatcher({
      ledger: this.ledger,
      demands: this.demands,
      advice: this.advice,
      sessions: this.sessions,
      configuration: parts.configuration,
      clock,
      terms: parts.terms,
      backoff: this.backoff,
      excess: this.excess,
      slownessOf: (session) => this.speeds.slownessOf(session.id)
    })
    this.intake = new Intake({
      table,
      writer: this.writer,
      commits: this.commits,
      dispatcher: this.dispatcher,
      configuration: parts.configuration,
      onWritten: (record) => { this.onWritten(record) },
      log
    }, this.excess)
    this.sweeper = new Sweeper({
      table,
      sessions: this.sessions,
      backoff: this.backoff,
      writer: this.writer,
      clock,
      claimedAt: parts.claimedAt,
      terms: parts.terms,
      missingMs: (worker) => this.registryRead ? this.registry.missingMs(worker) : 0,
      forgetJob: (job) => { this.forgetJob(job) }
    })
    this.census = new Census(parts.machines, clock)
    this.caretaker = new Caretaker({
      ledger: this.ledger,
      sessions: this.sessions,
      speeds: this.speeds,
      configuration: parts.configuration,
      clock,
      stopMs: parts.terms.stopMs,
      log
    })
    this.host = this.createHost()
    const entries = [...table.jobs.values()].sort((left, right) => left.job.acceptedMs - right.job.acceptedMs)
    for (const entry of entries) {
      this.intake.count(entry)
      this.adoptJob(entry)
    }
  }

  /** Owns the cell until superseded or stopped. */
  async run (): Promise<void> {
    const { signal } = this.stop
    detach(this.followedRegistry.run(signal))
    detach(this.tickUntilStopped())
    await this.writer.run(signal)
    this.close()
  }

  /** Ends the ownership; what runs goes on under its leases. */
  close (): void {
    this.stop.abort()
    for (const session of this.sessions.values()) session.close()
  }

  /** True while the store confirmed the ownership recently enough. */
  mayAct (): boolean {
    return !this.stop.signal.aborted && this.parts.clock.ageOf(this.writer.confirmedAt) < AUTHORITY_MS
  }

  /**
   * Takes a record of a caller: refuses a job that would end too late, and appends all others.
   *
   * @param timeoutMs time after which the record is withdrawn, if that is still possible
   */
  async take (record: KeyedRecord, timeoutMs: number): Promise<Result<void, Refusal>> {
    return await this.intake.take(record, timeoutMs)
  }

  /** Appends records of callers, and acts on them. Tells what has become of them. */
  async append (records: readonly KeyedRecord[], timeoutMs: number): Promise<Execution> {
    return await this.intake.append(records, timeoutMs)
  }

  private onWritten (record: KeyedRecord): void {
    this.parts.table.apply({ ...record, offset: -1 }, this.epoch)
    this.onJob(splitKey(record.key).name)
  }

  /** A job was accepted, or cancelled: the table has it. */
  onJob (id: string): void {
    const entry = this.parts.table.jobs.get(id)
    if (entry === undefined || isFinal(entry.phase)) return
    this.intake.count(entry)
    if (entry.cancelledMs > 0) this.cancel(entry)
    this.demands.refresh(entry)
    this.requestRound()
  }

  private cancel (entry: JobEntry): void {
    finish(entry, Phase.Cancelled, this.parts.clock.wall())
    this.stopJob(entry, StopReason.Cancelled)
    this.parts.log.decision('job cancelled', { job: entry.job.id })
    detach(this.commits.jobs([entry]))
  }

  private stopJob (entry: JobEntry, reason: StopReason): void {
    for (const run of [...this.ledger.runsOf(entry)]) detach(run.session.stopRun(run, reason))
    this.demands.refresh(entry)
  }

  /** Takes over what the journal says of a job. */
  private adoptJob (entry: JobEntry): void {
    for (const task of entry.tasks.values()) {
      if (task.stage !== Stage.Assigned) continue
      const session = this.sessionOf(task.worker, task.born, entry.job.upstream)
      const run = new Run(entry, task, task.run, session, chargeOf(entry.job.steps[task.step]!), '', this.parts.clock.now())
      run.state = RunState.Uncertain
      run.inherited = true
      this.ledger.add(run)
      if (entry.over()) run.stopping = StopReason.Cancelled
    }
    if (entry.cancelledMs > 0 && !isFinal(entry.phase)) this.cancel(entry)
    this.demands.refresh(entry)
  }

  private forgetJob (job: string): void {
    this.intake.forget(job)
    this.advice.forget(job)
  }

  /** The session of a worker; one without an address if the registry has not shown the worker yet. */
  private sessionOf (id: string, born: number, upstream: string): Session {
    const known = this.sessions.get(id)
    if (known !== undefined) return known
    const session = new Session({
      id,
      upstream,
      address: '',
      zone: '',
      draining: false,
      remainingMs: undefined,
      capacity: { cpuMilli: 0, memoryMb: 0, accelerators: 0 },
      labels: [],
      born,
      clockMs: 0,
      machine: ''
    }, this.host)
    this.sessions.set(id, session)
    return session
  }

  private onWorker (worker: Worker): void {
    const known = this.sessions.get(worker.id)
    if (known === undefined) {
      const session = new Session(worker, this.host)
      this.sessions.set(worker.id, session)
      detach(session.run())
      return
    }
    const unseen = known.worker.address === ''
    if (known.worker.draining !== worker.draining) {
      this.parts.log.event('worker state', { worker: worker.id, draining: worker.draining, remainingMs: worker.remainingMs })
    }
    known.update(worker)
    if (unseen) detach(known.run())
  }

  private onRegistryRead (): void {
    this.registry.settle()
    if (!this.registryRead) this.parts.log.event('registry read', { workers: this.registry.workers.size })
    this.registryRead = true
  }

  private createHost (): SessionHost {
    const { parts } = this
    return {
      fence: parts.epoch,
      leaseMs: parts.terms.leaseMs,
      fleet: parts.fleet,
      clock: parts.clock,
      mayAct: () => this.mayAct(),
      onEnds: (session, ended) => this.ends.settle(session, ended),
      onStranger: (session, task, run) => { this.onStranger(session, task, run) },
      onAdopted: (session) => {
        parts.log.event('worker adopted', { worker: session.id, runs: session.runs.size })
        for (const run of session.runs.values()) {
          if (run.stopping !== undefined) this.restop(run)
        }
        this.requestRound()
      },
      onLost: (session, runs, reason) => { this.ends.onLost(session, runs, reason) },
      onGone: (run, reason) => { this.ends.onGone(run, reason) },
      onStarted: (run) => {
        parts.metrics.starts.inc()
        parts.metrics.startSeconds.observe((run.startedMs - run.assignedMs) / 1000)
      },
      onFenced: (session) => {
        parts.log.event('fenced by a worker', { worker: session.id, epoch: parts.epoch })
        this.close()
      },
      onReachable: (session, reachable, failure) => { this.onReachable(session, reachable, failure) },
      onLook: () => { parts.metrics.looks.inc() }
    }
  }

  /** Sends the stop of a run that an earlier owner was to stop. */
  private restop (run: Run): void {
    const reason = run.stopping!
    run.stopping = undefined
    detach(run.session.stopRun(run, reason))
  }

  private onReachable (session: Session, reachable: boolean, failure: WorkerFailure | undefined): void {
    this.parts.log.event(reachable ? 'worker reachable' : 'worker unreachable', { worker: session.id, failure, runs: session.runs.size })
    if (reachable) this.requestRound()
  }

  private onStranger (session: Session, task: string, run: number): void {
    const known = this.ledger.find(task)
    if (known !== undefined && known.session === session && known.number === run) return
    this.parts.log.decision('stop unknown run', { task, run, worker: session.id })
    detach(session.stopStranger(task, run))
  }

  /** Decides soon; several asks in a row make one round. */
  requestRound (): void {
    if (this.roundDue || !this.registryRead) return
    this.roundDue = true
    setTimeout(() => {
      this.roundDue = false
      this.decide()
    }, ROUND_GATHER_MS)
  }

  private decide (): void {
    if (!this.mayAct()) return
    const startedMs = this.parts.clock.now()
    const { assignments, preemptions } = this.dispatcher.round()
    this.parts.metrics.roundSeconds.observe((this.parts.clock.now() - startedMs) / 1000)
    for (const run of preemptions) {
      this.parts.log.decision('preempt', { task: run.name, run: run.number, worker: run.session.id })
      detach(run.session.stopRun(run, StopReason.Preempted))
    }
    if (assignments.length > 0) detach(this.assign(assignments))
  }

  /** Journals assignments, then starts them. */
  private async assign (assignments: readonly Assignment[]): Promise<void> {
    const nowMs = this.parts.clock.now()
    const runs: Run[] = []
    const changed = new Set<JobEntry>()
    const numbers = this.numberRuns(assignments)
    for (const { demand, task, session, charge, ticket } of assignments) {
      const { entry } = demand
      task.run = numbers.get(task)!
      task.stage = Stage.Assigned
      task.worker = session.id
      task.born = session.born
      if (entry.phase === Phase.Pending) entry.phase = Phase.Active
      const run = new Run(entry, task, task.run, session, charge, ticket, nowMs)
      this.ledger.add(run)
      runs.push(run)
      changed.add(entry)
    }
    for (const entry of changed) this.demands.refresh(entry)
    if (!await this.commits.jobs([...changed])) return
    for (const run of runs) {
      // The journal can take longer than a ticket is valid.
      if (run.ticket !== '' && this.advice.admission(run.stepName, run.session) !== Admission.Valid) {
        this.ends.onGone(run, WorkerFailure.NoTicket)
        continue
      }
      this.parts.log.decision('start', {
        task: run.name, run: run.number, worker: run.session.id, waitedMs: this.parts.clock.wall() - run.entry.job.acceptedMs
      })
      detach(run.session.start(run))
    }
  }

  /** The members of a gang share the number of their run. */
  private numberRuns (assignments: readonly Assignment[]): Map<TaskEntry, number> {
    const numbers = new Map<TaskEntry, number>()
    for (const { demand, task } of assignments) {
      if (numbers.has(task)) continue
      const members = membersOf(demand.entry, task)
      const number = Math.max(...members.map((member) => member.run)) + 1
      for (const member of members) numbers.set(member, number)
    }
    return numbers
  }

  private async tickUntilStopped (): Promise<void> {
    const { signal } = this.stop
    while (!signal.aborted) {
      await sleep(TICK_MS, signal)
      this.sweeper.tick()
      detach(this.census.tick(this.sessions.values()))
      if (this.mayAct()) this.caretaker.tick()
      this.advice.advance()
      this.requestRound()
    }
  }
}
