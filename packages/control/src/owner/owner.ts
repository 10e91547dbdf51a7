/**
 * The owner of the cell: keeps a session with each worker, schedules tasks, and writes to the journal before it acts.
 *
 * Every assignment is in the journal before its start is sent. The end of every run is in the journal before it is acknowledged
 * to its worker, which reports the end again until then. A successor therefore restores the runs that may exist from the journal,
 * and stops those of a gang of which a member has ended.
 */
import { setMaxListeners } from 'node:events'
import type { DryRunReport } from '@fireflymount/protocol/dry-run'
import type { DryRun } from '@fireflymount/protocol/message'
import { Reason, refuse, type Execution, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { detach } from '../detach.js'
import { supervise } from '../supervise.js'
import { sleep, type Clock, type Stamp } from '../clock.js'
import { Follower } from '../journal/follower.js'
import { Stage, UNKNOWN_OFFSET, splitKey } from '../journal/record.js'
import type { JobEntry, JournalState } from '../journal/journal-state.js'
import { Writer } from '../journal/writer.js'
import type { Configuration } from '../model/configuration.js'
import { isFinal, Phase } from '../model/job.js'
import type { Worker } from '../model/worker.js'
import type { Fleet, WorkerFailure } from '../ports/fleet.js'
import type { Machines } from '../ports/machines.js'
import type { Formats } from '../ports/formats.js'
import { Topic, type KeyedRecord, type Store } from '../ports/store.js'
import { JobStatistics } from '../report/job-statistics.js'
import { StartLog } from '../report/start-log.js'
import { describeError, type Log } from '../report/log.js'
import type { Metrics } from '../report/metrics.js'
import type { ZoneStatus } from '../zones/evacuations.js'
import { ZoneEvacuator } from '../zones/zone-evacuator.js'
import { SpeedEstimator } from '../place/speed.js'
import { AdvisorClient, type AdvisorCall, type FinishedCall } from './advisor-client.js'
import { MAX_UNCONFIRMED_OWNERSHIP_MS, MAX_UNCONFIRMED_START_MS } from './ownership.js'
import { RunSupervisor } from './run-supervisor.js'
import { WorkerLossDetector } from './worker-loss-detector.js'
import { JournalCommitter } from './journal-committer.js'
import { PastUseRecorder } from './past-use-recorder.js'
import { ReadySteps } from './ready-step.js'
import { Assigner } from './assigner.js'
import { Dispatcher } from './dispatcher.js'
import { dryRunJob, explainJob, type DryRunOptions, type JobSummary } from './dry-run.js'
import { RunEndHandler } from './run-end-handler.js'
import { Fences } from './fence.js'
import { Adoption } from './adoption.js'
import { AdmissionController } from './admission-controller.js'
import { MAX_COMMAND_DELAY_MS } from './lease.js'
import { Ledger, chargeOf } from './ledger.js'
import { Registry } from './registry.js'
import { RoundPacer } from './round-pacer.js'
import { Run, RunState, StopReason } from './run.js'
import { Session } from './session.js'
import type { SessionHost } from './session-host.js'
import { assignedToIncompleteGangs, endJob } from './run-end.js'
import { UnstartedJobs } from './unstarted-jobs.js'
import { GarbageCollector } from './garbage-collector.js'

/** Confirmations of stops are logged from this time after the decision on. The others are in the histogram. */
const LOGGED_STOP_MS = 1000
const TICK_INTERVAL_MS = 100
const REGISTRY_POLL_INTERVAL_MS = 400

/** Settings of the owner. */
export interface OwnerSettings {
  /** Maximum duration of a lease on a worker. */
  readonly leaseMs: number
  /** See PlacementSettings. */
  readonly farFactor: number
  /** How long the records of a job that ended are kept for callers. */
  readonly keptMs: number
  /** Maximum time that a worker takes to stop a run. */
  readonly stopMs: number
  /** Half-life of the past use that counts in the order of waiting work; undefined if past use does not count. */
  readonly pastUseHalfLifeMs?: number | undefined
}

/** Dependencies and initial state of the owner. */
export interface OwnerOptions {
  readonly epoch: number
  /** First sequence number for the owner's appends. */
  readonly sequence: number
  /** A time at which the claim was certainly the newest one. */
  readonly claimedAt: Stamp
  /** The last time at which the journal had been read to its end. */
  readonly journalReadAt: () => Stamp
  readonly journalState: JournalState
  readonly store: Store
  readonly fleet: Fleet
  readonly machines: Machines
  readonly formats: Formats
  readonly clock: Clock
  readonly configuration: () => Configuration
  readonly zones: ZoneStatus
  /** Calls the advisor through a node. */
  readonly askAdvisor: AdvisorCall
  /** This node and the connected ones, through which the advisor can be called. */
  readonly nodes: () => readonly string[]
  readonly settings: OwnerSettings
  readonly log: Log
  readonly metrics: Metrics
}

/** A node's ownership of the cell, from its claim until it is superseded or closed. */
export class Owner {
  readonly writer: Writer
  readonly ledger = new Ledger()
  readonly sessions = new Map<string, Session>()
  readonly readySteps: ReadySteps
  readonly epoch: number
  private readonly adoption = new Adoption()
  private readonly registry: Registry
  private readonly advisorClient: AdvisorClient
  private readonly dispatcher: Dispatcher
  private readonly assigner: Assigner
  private readonly zoneEvacuator: ZoneEvacuator
  private readonly overRateJobs = new Set<string>()
  private readonly speeds = new SpeedEstimator()
  private readonly committer: JournalCommitter
  private readonly statistics = new JobStatistics()
  /** Jobs that the journal shows as active although none of their tasks has started. */
  readonly unstartedJobs = new UnstartedJobs()
  private readonly startLog: StartLog
  private readonly runEndHandler: RunEndHandler
  private readonly admissionController: AdmissionController
  private readonly runSupervisor: RunSupervisor
  private readonly garbageCollector: GarbageCollector
  private readonly workerLossDetector: WorkerLossDetector
  /** Undefined if past use does not count. */
  private readonly pastUseRecorder: PastUseRecorder | undefined
  /** Time on the steady clock before which a task may not start, by task name. */
  private readonly notBeforeMs = new Map<string, number>()
  private readonly stopController = new AbortController()
  private readonly host: SessionHost
  private readonly roundPacer: RoundPacer
  private registryRead = false
  private registryFollower: Follower

  constructor (private readonly options: OwnerOptions) {
    const { clock, store, journalState, epoch, metrics, log } = options
    this.epoch = epoch
    setMaxListeners(0, this.stopController.signal)
    this.writer = new Writer(store, clock, epoch, options.sequence, options.claimedAt, (bytes, tookMs) => {
      metrics.appends.inc()
      metrics.appendBytes.inc(bytes)
      metrics.appendSeconds.observe(tookMs / 1000)
    })
    this.readySteps = new ReadySteps(this.ledger)
    this.startLog = new StartLog(log, clock)
    this.roundPacer = new RoundPacer(clock, () => { this.decide() })
    this.registry = new Registry(options.formats, clock, {
      onWorker: (worker) => { this.onWorker(worker) },
      onUnreadable: (worker, reason) => { log.event('worker registry entry invalid', { worker, mistake: reason }) }
    })
    this.registryFollower = new Follower(store, Topic.Workers, {
      onRecord: (record) => { this.registry.apply(record) },
      onRejected: ({ key }, error) => { this.registry.reject(key, describeError(error)) },
      onReset: () => { this.registry.startReload() },
      onCaughtUp: () => { this.onRegistryRead() }
    }, clock, REGISTRY_POLL_INTERVAL_MS)
    this.advisorClient = new AdvisorClient(options.askAdvisor, options.nodes, clock, (call) => { this.onAdvice(call) })
    this.committer = new JournalCommitter(this.writer)
    this.runEndHandler = new RunEndHandler({
      journalState,
      ledger: this.ledger,
      readySteps: this.readySteps,
      advisorClient: this.advisorClient,
      speeds: this.speeds,
      notBeforeMs: this.notBeforeMs,
      committer: this.committer,
      statistics: this.statistics,
      unstartedJobs: this.unstartedJobs,
      configuration: options.configuration,
      clock,
      log,
      metrics,
      stopJob: (entry, reason) => { this.stopJob(entry, reason) },
      requestRound: () => { this.requestRound() },
      onWorkDiscarded: (run) => { this.pastUseRecorder?.credit(run) }
    })
    this.pastUseRecorder = this.createPastUseRecorder()
    this.zoneEvacuator = new ZoneEvacuator({
      zones: options.zones, sessions: this.sessions, advisorClient: this.advisorClient, metrics, log
    })
    this.dispatcher = new Dispatcher({
      ledger: this.ledger,
      readySteps: this.readySteps,
      advisorClient: this.advisorClient,
      sessions: this.sessions,
      configuration: options.configuration,
      clock,
      settings: options.settings,
      notBeforeMs: this.notBeforeMs,
      overRateJobs: this.overRateJobs,
      slownessOf: (session) => this.speeds.slownessOf(session.id),
      pastUse: this.pastUseRecorder?.pastUse,
      onNoWorker: (readyStep, advised) => { this.zoneEvacuator.onNoWorker(readyStep, advised) },
      onStepFailed: (step, error) => { log.event('step failed unexpectedly', { step, error: describeError(error) }) }
    })
    this.assigner = new Assigner({
      ledger: this.ledger,
      readySteps: this.readySteps,
      advisorClient: this.advisorClient,
      committer: this.committer,
      statistics: this.statistics,
      clock,
      startLog: this.startLog,
      onRunReleased: (run, reason) => { this.runEndHandler.onRunReleased(run, reason) }
    })
    this.admissionController = new AdmissionController({
      journalState,
      writer: this.writer,
      committer: this.committer,
      dispatcher: this.dispatcher,
      configuration: options.configuration,
      clock,
      journalReadAt: options.journalReadAt,
      onWritten: (record) => { this.onWritten(record) },
      log
    }, this.overRateJobs)
    this.garbageCollector = new GarbageCollector({
      journalState,
      sessions: this.sessions,
      notBeforeMs: this.notBeforeMs,
      writer: this.writer,
      clock,
      claimedAt: options.claimedAt,
      journalReadAt: options.journalReadAt,
      settings: options.settings,
      missingMs: (worker) => this.registry.missingMs(worker),
      hasRuns: (entry) => this.ledger.hasRuns(entry),
      forgetJob: (job) => { this.forgetJob(job) }
    })
    this.workerLossDetector = new WorkerLossDetector(options.machines, clock, (worker) => this.registry.missingMs(worker))
    this.runSupervisor = new RunSupervisor({
      ledger: this.ledger,
      sessions: this.sessions,
      speeds: this.speeds,
      clock,
      get stopMs () { return options.settings.stopMs },
      log
    })
    this.host = this.createHost()
    const entries = [...journalState.jobs.values()].sort((left, right) => left.job.acceptedMs - right.job.acceptedMs)
    for (const entry of entries) {
      this.contain(entry, () => {
        this.admissionController.countAgainstRate(entry)
        this.restoreJob(entry)
      })
    }
  }

  private createPastUseRecorder (): PastUseRecorder | undefined {
    const { settings, journalState, configuration, clock, log, metrics } = this.options
    const { pastUseHalfLifeMs } = settings
    if (pastUseHalfLifeMs === undefined) return undefined
    return new PastUseRecorder({
      halfLifeMs: pastUseHalfLifeMs,
      recorded: journalState.pastUse.values(),
      ledger: this.ledger,
      sessions: this.sessions,
      configuration,
      writer: this.writer,
      clock,
      log,
      metrics
    })
  }

  /** Runs until the owner is superseded or closed. */
  async run (): Promise<void> {
    const { signal } = this.stopController
    const { log } = this.options
    detach(supervise('worker registry', () => this.registryFollower.run(signal), signal, log))
    detach(supervise('tick', () => this.tickUntilStopped(), signal, log))
    // Candidates see from this append, before any worker is adopted, that the owner lives.
    detach(this.writer.commit(new Map()))
    await this.writer.run(signal)
    this.close()
  }

  /** Stops acting as the owner. Runs on the workers continue under their leases. */
  close (): void {
    this.stopController.abort()
    this.roundPacer.close()
    this.startLog.close()
    for (const session of this.sessions.values()) session.close()
  }

  /** Returns true if the store confirmed the ownership recently enough. */
  mayAct (): boolean {
    return this.isConfirmedWithin(MAX_UNCONFIRMED_OWNERSHIP_MS)
  }

  private isConfirmedWithin (ms: number): boolean {
    return !this.stopController.signal.aborted && this.options.clock.ageOf(this.writer.confirmedAt) < ms
  }

  /**
   * Refuses a job that would miss its objective, and appends any other record.
   *
   * @param timeoutMs time after which the record is withdrawn if that is still possible
   */
  async admit (record: KeyedRecord, timeoutMs: number): Promise<Result<void, Refusal>> {
    return await this.admissionController.admit(record, timeoutMs)
  }

  /**
   * Appends callers' records and applies them once they are stored.
   *
   * @returns Run, NotRun or Unknown, see `JournalCommitter.appendRecords`
   */
  async append (records: readonly KeyedRecord[], timeoutMs: number): Promise<Execution> {
    return await this.admissionController.append(records, timeoutMs)
  }

  /**
   * Reports where a job would go if it were submitted now. Changes nothing, and asks no advisor.
   *
   * @param node name of this node
   */
  dryRun (request: DryRun, node: string): Result<DryRunReport, Refusal> {
    return dryRunJob(this.dryRunOptions(node), request)
  }

  /**
   * Reports why a job waits. Changes nothing.
   *
   * @param id id of the job
   * @param node name of this node
   */
  explain (id: string, node: string): Result<DryRunReport | JobSummary, Refusal> {
    const entry = this.options.journalState.jobs.get(id)
    if (entry === undefined) return err(refuse(Reason.NoSuchJob, `There is no job ${id}.`))
    return ok(explainJob(this.dryRunOptions(node), entry))
  }

  private dryRunOptions (node: string): DryRunOptions {
    const { configuration, clock, zones } = this.options
    const { ledger, readySteps, sessions, dispatcher, overRateJobs, advisorClient, notBeforeMs } = this
    const pastUse = this.pastUseRecorder?.pastUse
    const state = { ledger, readySteps, sessions, dispatcher, overRateJobs, advisorClient, notBeforeMs, pastUse }
    return { ...state, node, configuration, clock, zones }
  }

  private onWritten (record: KeyedRecord): void {
    this.options.journalState.apply({ ...record, offset: UNKNOWN_OFFSET }, this.epoch)
    this.onJob(splitKey(record.key).name)
  }

  /** Handles a job in the journal state that was accepted or cancelled. */
  onJob (id: string): void {
    const entry = this.options.journalState.jobs.get(id)
    if (entry === undefined || isFinal(entry.phase)) return
    this.contain(entry, () => {
      this.admissionController.countAgainstRate(entry)
      if (entry.cancelledMs > 0) this.cancel(entry)
      this.readySteps.refresh(entry)
    })
    this.requestRound()
  }

  /** Limits an unexpected error to one job, whose tasks are not placed then. */
  private contain ({ job }: JobEntry, handle: () => void): void {
    try {
      handle()
    } catch (error) {
      this.options.log.event('job failed unexpectedly', { job: job.id, error: describeError(error) })
    }
  }

  private cancel (entry: JobEntry): void {
    const nowMs = this.options.clock.wall()
    const runs = [...this.ledger.runsOf(entry)].length
    const ageMs = nowMs - entry.cancelledMs
    endJob(entry, Phase.Cancelled, nowMs)
    this.stopJob(entry, StopReason.Cancelled)
    this.options.metrics.cancellationSeconds.observe(Math.max(0, ageMs) / 1000)
    const { starts, ends } = this.statistics.endJob(entry.job.id)
    this.options.log.decision('job cancelled', { job: entry.job.id, ageMs, runs, starts, ends })
    detach(this.committer.commitJobs([entry]))
  }

  private stopJob (entry: JobEntry, reason: StopReason): void {
    for (const run of [...this.ledger.runsOf(entry)]) detach(run.session.stopRun(run, reason))
    this.readySteps.refresh(entry)
    this.advisorClient.forget(entry.job.id)
  }

  /** Restores the runs and ready steps of a job from its state in the journal. */
  private restoreJob (entry: JobEntry): void {
    this.unstartedJobs.restore(entry)
    const incomplete = assignedToIncompleteGangs(entry)
    for (const task of entry.tasks.values()) {
      if (task.stage !== Stage.Assigned) continue
      const session = this.sessionOf(task.worker, task.born, entry.job.upstream)
      const run = new Run(entry, task, task.run, session, chargeOf(entry.job.steps[task.step]!), '', this.options.clock.now())
      run.state = RunState.Uncertain
      run.inherited = true
      run.starts.inherit(this.options.clock.now() + MAX_UNCONFIRMED_START_MS + MAX_COMMAND_DELAY_MS)
      run.throttlePercent = undefined
      this.ledger.add(run)
      if (entry.isFinishedOrCancelled()) run.stopping = StopReason.Cancelled
      else if (incomplete.has(task)) run.stopping = StopReason.GangMemberEnded
    }
    for (const key of entry.invalidKeys) {
      this.options.log.event('journal record rejected', { key, mistake: 'A run of a task cannot be decoded.' })
    }
    if (entry.cancelledMs > 0 && !isFinal(entry.phase)) this.cancel(entry)
    this.readySteps.refresh(entry)
  }

  private forgetJob (job: string): void {
    this.admissionController.forget(job)
    this.advisorClient.forget(job)
    this.statistics.endJob(job)
    this.unstartedJobs.forget(job)
  }

  /** Returns the session of a worker, created if needed. A new session has no address until the registry contains the worker. */
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
      this.adoption.add(session)
      return
    }
    const hadNoEntry = known.worker.address === ''
    if (known.worker.draining !== worker.draining) {
      this.options.log.event('worker draining state changed', { worker: worker.id, draining: worker.draining, remainingMs: worker.remainingMs })
    }
    known.update(worker)
    if (hadNoEntry) this.adoption.add(known)
  }

  private onAdvice ({ step, granted, asked, tookMs, node, first }: FinishedCall): void {
    if (first || granted <= 0) {
      this.options.log.decision('advisor call finished', { step, granted, asked, tookMs: Math.round(tookMs), through: node })
    }
    this.requestRound()
  }

  private onRegistryRead (): void {
    this.registry.finishReload()
    if (this.registryRead) return
    this.options.log.event('worker registry read', { workers: this.registry.workers.size })
    this.registryRead = true
    this.zoneEvacuator.onWorkersKnown()
  }

  private createHost (): SessionHost {
    const { options } = this
    return {
      fences: new Fences(options.epoch),
      leaseMs: options.settings.leaseMs,
      fleet: options.fleet,
      clock: options.clock,
      mayAct: () => this.mayAct(),
      mayStart: () => this.isConfirmedWithin(MAX_UNCONFIRMED_START_MS),
      zones: options.zones,
      onRunsEnded: (session, ended) => this.runEndHandler.handleRunEnds(session, ended),
      onUnknownRun: (session, task, run) => { this.onUnknownRun(session, task, run) },
      onAdopted: (session) => {
        options.log.event('worker adopted', { worker: session.id, runs: session.runs.size })
        for (const run of session.runs.values()) {
          if (run.stopping !== undefined) this.resendStop(run)
        }
        this.requestRound()
      },
      onRunsLost: (session, runs, reason) => { this.runEndHandler.onRunsLost(session, runs, reason) },
      onRunReleased: (run, reason) => { this.runEndHandler.onRunReleased(run, reason) },
      onReleaseDelayed: (run, reason, delayMs) => {
        options.metrics.delayedReleases.inc()
        options.log.decision('run release delayed', {
          task: run.name, run: run.number, worker: run.session.id, reason, delayMs: Math.round(delayMs)
        })
        this.runEndHandler.onReleaseDelayed(run)
      },
      onStartHeld: (run, reason) => {
        options.metrics.heldStarts.inc({ reason })
        this.runEndHandler.onRunReleased(run, reason)
      },
      onStarted: (run) => {
        this.unstartedJobs.onStarted(run.entry)
        options.metrics.starts.inc()
        options.metrics.startSeconds.observe((run.startedMs - run.assignedMs) / 1000)
      },
      onFenced: (session) => {
        options.log.event('owner fenced by a worker', { worker: session.id, epoch: options.epoch })
        this.close()
      },
      onFencesUsedUp: (session) => {
        options.log.event('fencing tokens used up', { worker: session.id, epoch: options.epoch })
        this.close()
      },
      onReachabilityChange: (session, reachable, failure) => { this.onReachabilityChange(session, reachable, failure) },
      onReportRequest: () => { options.metrics.reportRequests.inc() },
      onRestart: (session, bornBefore) => {
        options.log.event('worker restarted', { worker: session.id, bornBefore, runs: session.runs.size })
      },
      onEndsSkipped: (session, from, through) => {
        options.log.event('run ends skipped', { worker: session.id, from, through })
      },
      onEndLost: (run) => { this.runEndHandler.onEndLost(run) },
      onRunMissing: (run, sinceMs) => { this.onRunMissing(run, sinceMs) },
      hasLaterStarted: ({ name, number }) => {
        const later = this.ledger.find(name)
        return later !== undefined && later.number > number && later.state === RunState.Running
      },
      onReportFailed: (session, error) => {
        options.log.event('report failed unexpectedly', { worker: session.id, error: describeError(error) })
      },
      onStopConfirmed: (run, tookMs) => {
        options.metrics.stopSeconds.observe(tookMs / 1000)
        if (tookMs < LOGGED_STOP_MS) return
        options.log.decision('stop confirmed', {
          task: run.name, run: run.number, worker: run.session.id, reason: run.stopping, tookMs: Math.round(tookMs)
        })
      }
    }
  }

  /** Sends the stop of a run that is already marked as stopping, whether or not a stop was sent before. */
  private resendStop (run: Run): void {
    const reason = run.stopping!
    run.stopping = undefined
    detach(run.session.stopRun(run, reason))
  }

  private onReachabilityChange (session: Session, reachable: boolean, failure: WorkerFailure | undefined): void {
    this.options.log.event(reachable ? 'worker reachable' : 'worker unreachable', { worker: session.id, failure, runs: session.runs.size })
    if (reachable) this.requestRound()
  }

  private onUnknownRun (session: Session, task: string, run: number): void {
    const known = this.ledger.find(task)
    if (known !== undefined && known.session === session && known.number === run) return
    this.options.log.decision('stop unknown run', { task, run, worker: session.id })
    detach(session.stopUnknownRun(task, run))
  }

  private onRunMissing (run: Run, sinceMs: number): void {
    this.options.metrics.missingRuns.inc()
    this.options.log.decision('run missing', {
      task: run.name, run: run.number, worker: run.session.id, confirmedAgoMs: Math.round(sinceMs)
    })
    detach(run.session.stopRun(run, StopReason.Missing))
  }

  /** Handles the request to evacuate an availability zone. */
  onZoneEvacuated (zone: string): void {
    this.zoneEvacuator.onEvacuated(zone)
    this.requestRound()
  }

  /** Handles the end of the evacuation of an availability zone. */
  onZoneReturned (zone: string): void {
    this.zoneEvacuator.onTakenBack(zone)
    this.requestRound()
  }

  /** Requests a round. Several requests in quick succession result in one round. */
  requestRound (): void {
    if (this.registryRead && !this.stopController.signal.aborted) this.roundPacer.request()
  }

  private decide (): void {
    if (!this.mayAct() || !this.zoneEvacuator.mayStart()) return
    const startedMs = this.options.clock.now()
    const { assignments, preemptions, renewedSteps } = this.dispatcher.round()
    const { metrics } = this.options
    metrics.roundSeconds.observe((this.options.clock.now() - startedMs) / 1000)
    metrics.ticketRenewals.inc(renewedSteps)
    for (const run of preemptions) {
      this.options.log.decision('preempt run', { task: run.name, run: run.number, worker: run.session.id })
      detach(run.session.stopRun(run, StopReason.Preempted))
    }
    if (assignments.length > 0) detach(this.assigner.assign(assignments))
  }

  private async tickUntilStopped (): Promise<void> {
    const { signal } = this.stopController
    while (!signal.aborted) {
      await sleep(TICK_INTERVAL_MS, signal)
      this.garbageCollector.tick()
      this.pastUseRecorder?.tick()
      this.admissionController.tick()
      detach(this.workerLossDetector.tick(this.sessions.values()))
      if (this.mayAct()) this.runSupervisor.tick()
      this.startLog.writeDue()
      this.advisorClient.sendQueued()
      this.requestRound()
    }
  }
}
