/**
 * The owner's session with one worker. Requests reports from the worker, receives the ends of its runs and sends commands. A
 * report request also renews the worker's lease, except while the worker is unreachable.
 */
import { setMaxListeners } from 'node:events'
import { NO_RESOURCES, addResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import { sleep } from '../clock.js'
import { detach } from '../detach.js'
import { Stage } from '../journal/record.js'
import { rackOf, type EndedRun, type Report, type Worker } from '../model/worker.js'
import { WorkerFailure } from '../ports/fleet.js'
import type { Fence } from './fence.js'
import { Lease } from './lease.js'
import { MAX_UNCONFIRMED_OWNERSHIP_MS } from './ownership.js'
import { ReportedEnds } from './reported-ends.js'
import { RunState, StopReason, type Run } from './run.js'
import type { SessionHost } from './session-host.js'
import { UnsettledStarts } from './unsettled-starts.js'
import { ZONE_EVACUATED } from '../zones/evacuations.js'

/**
 * Maximum time that a worker may delay its report until a run ends. Together with the round trip, it is far shorter than the
 * lease.
 */
const REPORT_LONG_POLL_TIMEOUT_MS = 1900
/** How long a start request is valid on the worker's clock. Limits how late a delayed request can be executed. */
export const START_VALIDITY_MS = 2000
/** Minimum and maximum delay after a failed report request. The delay doubles with each failure. */
const MIN_REPORT_RETRY_DELAY_MS = 60
const MAX_REPORT_RETRY_DELAY_MS = 400
/** Delay before an unconfirmed stop is sent again. */
const STOP_RETRY_DELAY_MS = 250
/**
 * Delay of the report request that acknowledges ended runs, counted from their journal write. It lets one request acknowledge
 * several ended runs, because each request costs a call to the worker.
 */
const ACKNOWLEDGE_BATCH_MS = 30
/** Time between two checks whether starts are answered, so that ended runs may be acknowledged. */
const START_POLL_INTERVAL_MS = 10
/** Time between two report requests while starts hold back the acknowledgement of ended runs. */
const BLOCKED_REPORT_INTERVAL_MS = 250
/** How long starts may hold back an acknowledgement before further ones wait for it, and how long each of those waits at most. */
const MAX_ACKNOWLEDGEMENT_DELAY_MS = 200
const MAX_ACKNOWLEDGEMENT_WAIT_MS = 1000
/** Added to the age that an unseen incarnation of the worker can have, when it is compared with the worker's clock. */
const INCARNATION_AGE_MARGIN_MS = 200
/** Delay before ended runs whose handling has failed are handled again. The worker lists them in each report until then. */
const FAILED_END_RETRY_DELAY_MS = 1000
/**
 * How long nothing is placed on a worker after it refused a start or did not answer it. There is no pause if the failure concerns
 * only that run: no ticket, or an outdated run number.
 */
const FAILED_START_PAUSE_MS = 600
/** Number of consecutive failed runs after which nothing is placed on a worker for a while. */
const QUARANTINE_AFTER_FAILURES = 4
const QUARANTINE_MS = 4000

/** The owner's session with one worker. */
export class Session {
  readonly runs = new Map<string, Run>()
  used: Resources = NO_RESOURCES
  /** A report request under this owner's fence was answered, so commands from previous owners have no effect any more. */
  adopted = false
  reachable = false
  /** Time on the steady clock of the last answer, or of the start of the session. */
  lastAnswerMs: number
  /** Start time of the current incarnation of the worker. */
  born: number
  /** Time on the steady clock at which a restart of the worker was detected. */
  restartSeenMs = -Infinity
  /** Time on the steady clock of the start of the session, or of the last restart of the worker. */
  private incarnationSeenMs: number
  /** Time on the steady clock until which nothing is placed on the worker. */
  pausedUntilMs = 0
  /** Tasks whose reported runs the owner does not know. They use capacity that is not charged. */
  unknownRuns = new Set<string>()
  private consecutiveFailures = 0
  /** Ended runs that the current incarnation has reported. */
  private reportedEnds = this.createReportedEnds(false)
  /**
   * Resolves once `ACKNOWLEDGE_BATCH_MS` has passed since each journal write of ended runs, or `FAILED_END_RETRY_DELAY_MS` since a
   * failed handling; undefined afterwards.
   */
  private journaling: Promise<void> | undefined
  private readonly lease: Lease
  private readonly fence: Fence
  /** A report request with the current fencing token has acknowledged ended runs. */
  private hasAcknowledged = false
  /** Starts after which the current incarnation has not confirmed the run. */
  private readonly unsettledStarts: UnsettledStarts
  /** Time on the steady clock since which ended runs could be acknowledged but for these starts; undefined if they can, or there are none. */
  private acknowledgementBlockedMs: number | undefined
  /** Time on the steady clock at which the last report request was sent that the current incarnation has answered. */
  private reportSentMs = -Infinity
  /** The worker's clock in the newest applied report. */
  private newestReportClockMs = -1
  /** Time on the steady clock at which the registry entry was last read. */
  private entryUpdatedMs: number
  private reportRetryDelayMs = MIN_REPORT_RETRY_DELAY_MS
  private readonly stopController = new AbortController()
  /** Resolves when the first report request was answered or has failed, or the session was closed. */
  readonly firstReport: Promise<void>
  private resolveFirstReport: () => void = () => {}

  constructor (public worker: Worker, private readonly host: SessionHost) {
    this.born = worker.born
    this.lease = new Lease(host.clock, worker.clockMs)
    this.fence = host.fences.create()
    this.unsettledStarts = new UnsettledStarts(host.hasLaterStarted)
    this.entryUpdatedMs = host.clock.now()
    this.incarnationSeenMs = this.entryUpdatedMs
    this.lastAnswerMs = this.entryUpdatedMs
    this.firstReport = new Promise((resolve) => { this.resolveFirstReport = resolve })
    // Every pending delay adds a listener to this one signal.
    setMaxListeners(0, this.stopController.signal)
  }

  get id (): string {
    return this.worker.id
  }

  get rack (): string {
    return rackOf(this.worker.labels)
  }

  /** Capacity that is not charged for runs. */
  freeCapacity (): Resources {
    return subtractResources(this.worker.capacity, this.used)
  }

  /** Returns true if new runs may be placed on the worker. */
  acceptsRuns (nowMs: number): boolean {
    if (!this.adopted || !this.reachable || this.worker.draining || this.isEvacuated()) return false
    return nowMs >= this.pausedUntilMs && this.unknownRuns.size === 0
  }

  /** Returns true while the worker's availability zone is being evacuated. */
  isEvacuated (): boolean {
    return this.host.zones.isEvacuated(this.worker.zone)
  }

  /** How long the worker has not answered; 0 while it is reachable. */
  silentMs (): number {
    return this.reachable ? 0 : this.host.clock.now() - this.lastAnswerMs
  }

  /** Estimated time until all runs on the worker have ended. Long-running tasks are not counted. */
  timeToEmptyMs (): number {
    const nowMs = this.host.clock.now()
    let longestMs = 0
    for (const run of this.runs.values()) {
      if (!run.step.lasting) longestMs = Math.max(longestMs, run.step.estimateMs - (nowMs - run.assignedMs))
    }
    return longestMs
  }

  /** Minimum time that a draining worker has left; undefined for other workers. */
  remainingMs (): number | undefined {
    if (!this.worker.draining) return undefined
    return Math.max(0, (this.worker.remainingMs ?? 0) - (this.host.clock.now() - this.entryUpdatedMs))
  }

  addRun (run: Run): void {
    this.runs.set(run.name, run)
    this.used = addResources(this.used, run.charge)
  }

  removeRun (run: Run): void {
    if (this.runs.get(run.name) !== run) return
    this.runs.delete(run.name)
    this.used = subtractResources(this.used, run.charge)
  }

  /** Applies a newer registry entry. */
  update (worker: Worker): void {
    if (worker.address !== this.worker.address) this.host.fleet.closeConnections(this.worker)
    // Without an entry, the owner had no reading of the worker's clock.
    if (this.worker.address === '' && worker.born === this.born) this.lease.updateClock(worker.clockMs)
    this.worker = worker
    this.entryUpdatedMs = this.host.clock.now()
    if (worker.born > this.born) this.handleRestart(worker.born, worker.clockMs, 'The registry shows a newer incarnation of the worker.')
  }

  /** Records the outcome of a run. A worker whose runs fail repeatedly is quarantined. */
  recordOutcome (failed: boolean): void {
    if (!failed) {
      this.consecutiveFailures = 0
      return
    }
    this.consecutiveFailures++
    if (this.consecutiveFailures < QUARANTINE_AFTER_FAILURES) return
    this.consecutiveFailures = QUARANTINE_AFTER_FAILURES - 1
    this.pausedUntilMs = this.host.clock.now() + QUARANTINE_MS
  }

  /**
   * Requests reports until the session is closed. A request also renews the lease, unless the worker is unreachable; see
   * `mayExtendLease`.
   */
  async run (): Promise<void> {
    const { signal } = this.stopController
    while (!signal.aborted) {
      if (!this.host.mayAct()) {
        await sleep(MIN_REPORT_RETRY_DELAY_MS, signal)
        continue
      }
      if (this.reachable && this.reportedEnds.acknowledged > 0) await this.waitForStarts()
      // Two kinds of workers are asked to answer immediately: those that may be unavailable, and those whose ended runs are still
      // being written to the journal.
      await this.requestReport(this.reachable && this.adopted && this.journaling === undefined ? REPORT_LONG_POLL_TIMEOUT_MS : 0)
      if (!this.reachable) {
        this.checkLeaseExpiry()
        await sleep(this.reportRetryDelayMs, signal)
        this.reportRetryDelayMs = Math.min(2 * this.reportRetryDelayMs, MAX_REPORT_RETRY_DELAY_MS)
      } else if (this.journaling !== undefined) {
        // Until the ended runs are in the journal and acknowledged, the worker answers every request immediately, so requests are
        // sent rarely.
        await Promise.race([this.journaling, sleep(REPORT_LONG_POLL_TIMEOUT_MS / 2, signal)])
      }
    }
  }

  /**
   * Waits for the answers to starts before a request that is to acknowledge ended runs. Until they are acknowledged, the worker answers
   * every request immediately, so requests are sent rarely.
   */
  private async waitForStarts (): Promise<void> {
    const { signal } = this.stopController
    const { clock } = this.host
    const nowMs = clock.now()
    if (!this.unsettledStarts.any(nowMs)) return
    // A report settles the starts that were answered.
    const isWaiting = this.unsettledStarts.anyUnanswered(nowMs)
    const untilMs = (isWaiting ? nowMs : this.reportSentMs) + BLOCKED_REPORT_INTERVAL_MS
    while (this.unsettledStarts.any(clock.now()) && clock.now() < untilMs && !signal.aborted) {
      if (isWaiting && !this.unsettledStarts.anyUnanswered(clock.now())) return
      await sleep(START_POLL_INTERVAL_MS, signal)
    }
  }

  /** Delays a start while others have held back the acknowledgement of ended runs for too long. */
  private async waitForAcknowledgement (): Promise<void> {
    const { signal } = this.stopController
    const { clock } = this.host
    const untilMs = clock.now() + MAX_ACKNOWLEDGEMENT_WAIT_MS
    while (this.isAcknowledgementOverdue() && clock.now() < untilMs && !signal.aborted) {
      await sleep(START_POLL_INTERVAL_MS, signal)
    }
  }

  private isAcknowledgementOverdue (): boolean {
    const { acknowledgementBlockedMs, unsettledStarts, host } = this
    if (acknowledgementBlockedMs === undefined || unsettledStarts.hasLost()) return false
    return host.clock.now() - acknowledgementBlockedMs > MAX_ACKNOWLEDGEMENT_DELAY_MS
  }

  /** Closes the session. The connections to the worker stay open for the next owner, whose calls go through the same nodes. */
  close (): void {
    this.stopController.abort()
    this.resolveFirstReport()
  }

  /** Closes the session with a worker that is gone, and the connections to it. */
  discard (): void {
    this.close()
    this.host.fences.retire(this.fence)
    this.host.fleet.closeConnections(this.worker)
  }

  /** Requests a report without waiting for the end of a run. */
  async requestReportNow (): Promise<void> {
    if (this.host.mayAct()) await this.requestReport(0)
  }

  /** Sends the start request of a run that is in the journal. */
  async start (run: Run): Promise<void> {
    if (this.isAcknowledgementOverdue()) await this.waitForAcknowledgement()
    // The run may have been released, and its task assigned again, while the assignment was being written.
    if (this.runs.get(run.name) !== run) return
    if (run.stopping !== undefined) {
      this.host.onRunReleased(run, 'stopped before it was started')
      return
    }
    if (!this.host.mayStart()) {
      this.host.onRunReleased(run, 'ownership not confirmed lately')
      return
    }
    if (this.startValidityMs() === 0) {
      this.host.onStartHeld(run, this.isEvacuated() ? ZONE_EVACUATED : 'evacuations not read lately')
      return
    }
    // A report request that is carried out late must not acknowledge the end of this run, which its sender cannot have read.
    if (this.hasAcknowledged && !this.raiseFence()) {
      this.host.onRunReleased(run, 'no fencing token left')
      return
    }
    if (!await this.sendStart(run)) await this.resolveUncertainStart(run)
  }

  /** How long a start may be valid that is sent now; 0 if none may be sent. */
  private startValidityMs (): number {
    return this.isEvacuated() ? 0 : Math.min(START_VALIDITY_MS, this.host.zones.maxStartValidityMs())
  }

  /** Sends one start request and handles its answer. Returns false if there was none. */
  private async sendStart (run: Run): Promise<boolean> {
    run.state = RunState.Starting
    // The deadline of a start also extends the lease.
    const deadlineMs = this.lease.grant(this.startValidityMs())
    const fence = this.fence.current
    const { born } = this
    run.starts.onSent(this.host.clock.now())
    this.unsettledStarts.add(run, this.host.clock.now())
    const started = await this.host.fleet.start(this.worker, {
      task: run.name,
      run: run.number,
      payload: run.entry.job.payload,
      deadlineMs,
      fence,
      checkpoint: run.task.checkpoint,
      ticket: run.ticket
    })
    this.unsettledStarts.onAnswered(run, started, this.host.clock.now())
    const isAnswered = started.isOk() || started.error !== WorkerFailure.NoAnswer
    if (isAnswered) run.starts.onAnswered()
    if (this.runs.get(run.name) !== run) return true
    if (started.isOk()) {
      // The answer may be that of a former incarnation; the run is unresolved then.
      if (this.born !== born) return true
      this.markRunning(run)
      if (this.isOfSeenIncarnation(started.value)) this.confirm(run, started.value)
      return true
    }
    this.pausedUntilMs = Math.max(this.pausedUntilMs, this.host.clock.now() + placementPauseOf(started.error))
    if (started.error === WorkerFailure.Fenced && this.isNewest(fence)) this.host.onFenced(this)
    else if (isAnswered) this.handleRefusedStart(run, started.error)
    return isAnswered
  }

  /** Gives up a run whose start was refused, unless an earlier start of it was not answered. */
  private handleRefusedStart (run: Run, failure: WorkerFailure): void {
    if (this.mayRelease(run)) this.host.onRunReleased(run, failure)
    else detach(this.stopRun(run, StopReason.Uncertain))
  }

  /**
   * Returns true if a run that is not running may be given up, so that its task is placed again: no start of it can be carried out any more,
   * also not by a later incarnation of the worker, or no other run can follow that must not run beside it. A later incarnation accepts no
   * ticket of an earlier one.
   */
  private mayRelease (run: Run): boolean {
    const { entry, task, step, starts, needsTicket } = run
    if (step.speculative || needsTicket || task.stage === Stage.Done || entry.isFinishedOrCancelled()) return true
    return starts.remainingMs(this.host.clock.now()) === 0
  }

  /** Gives up a run that is not running, as soon as no start of it can be carried out any more. */
  private release (run: Run, reason: string): void {
    if (this.mayRelease(run)) this.host.onRunReleased(run, reason)
    else this.delayRelease(run, reason)
  }

  private delayRelease (run: Run, reason: string): void {
    if (run.releaseDelayed) return
    run.releaseDelayed = true
    this.host.onReleaseDelayed(run, reason, run.starts.remainingMs(this.host.clock.now()))
  }

  /** Stops a run. Repeats the stop until the owner counts the run as ended or unable to start, or the session is closed. */
  async stopRun (run: Run, reason: StopReason): Promise<void> {
    if (run.stopping !== undefined) return
    run.stopping = reason
    // A run whose assignment is still being written will not be started.
    if (run.state === RunState.Committing) return
    const { signal } = this.stopController
    const decidedMs = this.host.clock.now()
    while (this.runs.get(run.name) === run && !signal.aborted) {
      if (!this.host.mayAct()) {
        await sleep(STOP_RETRY_DELAY_MS, signal)
        continue
      }
      const fence = this.fence.current
      const { born } = this
      const stopped = await this.host.fleet.stop(this.worker, { task: run.name, run: run.number, fence })
      if (stopped.isOk() && this.born !== born) continue
      if (stopped.isOk()) {
        if (run.stoppedClockMs === undefined) this.host.onStopConfirmed(run, this.host.clock.now() - decidedMs)
        run.stoppedClockMs = stopped.value
        if (run.state !== RunState.Running) await this.requestReportNow()
        await this.waitForRelease(run, born)
      } else if (stopped.error === WorkerFailure.Fenced) {
        this.handleFenced(fence)
      }
      await sleep(STOP_RETRY_DELAY_MS, signal)
    }
  }

  /** Waits after a confirmed stop while a start of the run may still be carried out by a later incarnation of the worker. */
  private async waitForRelease (run: Run, born: number): Promise<void> {
    const { signal } = this.stopController
    const isStopped = (): boolean => this.runs.get(run.name) === run && run.state !== RunState.Running && this.born === born
    while (isStopped() && !this.mayRelease(run) && !signal.aborted) await sleep(STOP_RETRY_DELAY_MS, signal)
  }

  /** Stops a run that the owner does not know. */
  async stopUnknownRun (task: string, run: number): Promise<void> {
    if (this.unknownRuns.has(task)) return
    this.unknownRuns.add(task)
    const { signal } = this.stopController
    while (this.unknownRuns.has(task) && !signal.aborted) {
      if (this.host.mayAct()) {
        const fence = this.fence.current
        const stopped = await this.host.fleet.stop(this.worker, { task, run, fence })
        if (stopped.isErr() && stopped.error === WorkerFailure.Fenced) this.handleFenced(fence)
      }
      await sleep(STOP_RETRY_DELAY_MS, signal)
    }
  }

  /** Throttles a run to a percentage of full speed, 0 to 100. Must not be called while another such command is in flight. */
  async throttle (run: Run, percent: number): Promise<void> {
    run.throttling = true
    run.throttlePercent = undefined
    const fence = this.fence.current
    const result = await this.host.fleet.throttle(this.worker, { task: run.name, run: run.number, fence }, percent)
    run.throttling = false
    if (result.isOk()) run.throttlePercent = percent
    else if (result.error === WorkerFailure.Fenced) this.handleFenced(fence)
    // The next command ends the effect of this one, which may be carried out after it.
    else if (result.error === WorkerFailure.NoAnswer) this.raiseFence()
  }

  private async requestReport (waitMs: number): Promise<void> {
    const { host, worker } = this
    const deadlineMs = this.mayExtendLease() ? this.lease.grant(host.leaseMs) : undefined
    const acknowledged = this.nextAcknowledgement()
    if (acknowledged > 0) this.hasAcknowledged = true
    const fence = this.fence.current
    host.onReportRequest()
    const sentMs = host.clock.now()
    const report = await host.fleet.requestReport(worker, { fence, acknowledged, deadlineMs, waitMs })
    this.resolveFirstReport()
    if (this.stopController.signal.aborted) return
    if (report.isErr()) {
      // A start has overtaken the request, which was not carried out.
      if (report.error === WorkerFailure.Fenced && !this.isNewest(fence)) return
      // The answer comes from an address that the worker has left.
      if (report.error === WorkerFailure.OtherWorker && worker.address !== this.worker.address) return
      this.handleFailure(report.error)
      return
    }
    try {
      this.handleReport(report.value, sentMs)
    } catch (error) {
      this.host.onReportFailed(this, error)
      this.handleFailure(WorkerFailure.Invalid)
    }
  }

  /** Returns the position that the next report request acknowledges; 0 for none. */
  private nextAcknowledgement (): number {
    const position = this.reachable ? this.reportedEnds.acknowledged : 0
    if (position === 0 || this.mayAcknowledge()) {
      this.acknowledgementBlockedMs = undefined
      return position
    }
    this.acknowledgementBlockedMs ??= this.host.clock.now()
    return 0
  }

  /**
   * A worker that did not answer may have restarted; its next answer shows whether it lists the ends of this incarnation. A run that no report
   * has listed may be one of a later incarnation, whose end the request would drop, under the fencing token of its start.
   */
  private mayAcknowledge (): boolean {
    return this.reachable && !this.unsettledStarts.any(this.host.clock.now())
  }

  /** Raises the fencing token. Returns false if the owner has no higher one left. */
  private raiseFence (): boolean {
    if (!this.fence.raise()) {
      this.host.onFencesUsedUp(this)
      return false
    }
    this.hasAcknowledged = false
    return true
  }

  private isNewest (fence: number): boolean {
    return fence === this.fence.current
  }

  /** Handles a refusal for a higher fencing token, unless that token is a later one of this owner. */
  private handleFenced (fence: number): void {
    if (this.isNewest(fence)) this.host.onFenced(this)
  }

  /**
   * A request that is not answered may still extend the lease. While a worker is unreachable, requests therefore do not extend its
   * lease, so that the time at which the lease expires is known. A worker that was never adopted may hold a lease of an earlier
   * owner anyway, so this owner may extend it for as long as that one may.
   */
  private mayExtendLease (): boolean {
    if (this.reachable) return true
    return !this.adopted && this.host.clock.now() - this.incarnationSeenMs < MAX_UNCONFIRMED_OWNERSHIP_MS
  }

  private handleFailure (failure: WorkerFailure): void {
    if (failure === WorkerFailure.Fenced) {
      this.host.onFenced(this)
      return
    }
    if (failure === WorkerFailure.OtherWorker) this.declareLost('Another worker answers at the address.')
    if (this.reachable) this.host.onReachabilityChange(this, false, failure)
    this.reachable = false
  }

  private handleReport (report: Report, sentMs: number): void {
    if (report.born < this.born) return
    if (report.born > this.born) this.handleRestart(report.born, report.clockMs, 'The worker restarted.')
    this.reportRetryDelayMs = MIN_REPORT_RETRY_DELAY_MS
    this.lastAnswerMs = this.host.clock.now()
    if (!this.reachable) {
      this.reachable = true
      this.host.onReachabilityChange(this, true, undefined)
    }
    this.lease.updateClock(report.clockMs)
    this.reportSentMs = Math.max(this.reportSentMs, sentMs)
    const first = !this.adopted
    this.adopted = true
    // Reports may arrive out of order. An older report says nothing about the current runs.
    if (report.clockMs > this.newestReportClockMs) this.reconcileRuns(report, sentMs)
    this.handleRunEnds(report.ended)
    if (!first) return
    // The start request of an unresolved run may have reached the previous or the new incarnation; only a confirmed stop settles
    // it.
    for (const run of this.runs.values()) {
      const unresolved = !run.listed && !run.inherited && run.assignedMs <= this.restartSeenMs
      if (unresolved) detach(this.repeatOrStop(run))
    }
    this.host.onAdopted(this)
  }

  /**
   * Reconciles the reported runs with the runs that the owner knows. Only a report that contains all ended runs shows that a run
   * does not exist.
   */
  private reconcileRuns (report: Report, sentMs: number): void {
    this.newestReportClockMs = report.clockMs
    const listed = new Set<string>()
    for (const active of report.running) {
      listed.add(active.task)
      const run = this.runs.get(active.task)
      if (run === undefined || run.number !== active.run) {
        this.host.onUnknownRun(this, active.task, active.run)
        continue
      }
      this.confirm(run, report.clockMs)
      run.listed = true
      run.starts.onReported()
      run.progress.record(active.progress, report.clockMs)
      run.load = active.load
      if (active.checkpoint !== '' && active.checkpoint !== run.checkpoint) {
        run.checkpoint = active.checkpoint
        run.checkpointChangedMs = this.host.clock.now()
      }
    }
    // A run that is not running may have ended and be omitted from a full report.
    if (report.ended.length >= this.host.fleet.maxReportedEnds) return
    this.unsettledStarts.onCompleteReport(sentMs)
    for (const ended of report.ended) {
      if (this.runs.get(ended.task)?.number === ended.run) listed.add(ended.task)
    }
    for (const task of this.unknownRuns) {
      if (!listed.has(task)) this.unknownRuns.delete(task)
    }
    for (const run of [...this.runs.values()]) {
      if (listed.has(run.name)) continue
      const cannotStart = run.inherited && run.state === RunState.Uncertain
      const stopped = run.stoppedClockMs !== undefined && report.clockMs > run.stoppedClockMs
      if (stopped && run.missing) {
        this.host.onEndLost(run)
      } else if (cannotStart && mayRepeat(run) && !this.mayRelease(run)) {
        run.inherited = false
        detach(this.repeatStart(run))
      } else if (cannotStart || stopped) {
        this.release(run, cannotStart ? 'not running and can no longer start' : 'stop confirmed')
      } else if (run.stopping === undefined && !run.missing && isMissing(run, report, sentMs)) {
        run.missing = true
        this.host.onRunMissing(run, this.host.clock.now() - run.confirmed!.atMs)
      }
    }
  }

  private handleRunEnds (ended: readonly EndedRun[]): void {
    const { reportedEnds } = this
    const unhandled = reportedEnds.receive(ended)
    if (unhandled.length === 0) return
    for (const { task } of unhandled) this.unknownRuns.delete(task)
    const journaling = Promise.all([this.journaling, this.applyRunEnds(reportedEnds, unhandled)]).then(() => {
      if (this.journaling === journaling) this.journaling = undefined
    })
    this.journaling = journaling
  }

  private createReportedEnds (isComplete: boolean): ReportedEnds {
    return new ReportedEnds(isComplete, (from, through) => { this.host.onEndsSkipped(this, from, through) })
  }

  private async applyRunEnds (reportedEnds: ReportedEnds, ended: readonly EndedRun[]): Promise<void> {
    let written: readonly EndedRun[] = []
    try {
      written = await this.host.onRunsEnded(this, ended)
    } catch (error) {
      this.host.onReportFailed(this, error)
    }
    reportedEnds.settle(ended, written)
    await sleep(written.length === ended.length ? ACKNOWLEDGE_BATCH_MS : FAILED_END_RETRY_DELAY_MS, this.stopController.signal)
  }

  /**
   * Returns true if an answer certainly comes from the incarnation that answered the last report request: a later one cannot be as old as the
   * worker's clock says.
   */
  private isOfSeenIncarnation (clockMs: number): boolean {
    return clockMs > this.host.clock.now() - this.reportSentMs + INCARNATION_AGE_MARGIN_MS
  }

  /** Notes that a run was there at a time on the worker's clock, in the current incarnation. */
  private confirm (run: Run, clockMs: number): void {
    run.confirmed = { clockMs, atMs: this.host.clock.now() }
    run.missing = false
    this.markRunning(run)
  }

  private markRunning (run: Run): void {
    if (run.state === RunState.Running) return
    run.state = RunState.Running
    run.startedMs = this.host.clock.now()
    run.checkpointChangedMs = run.startedMs
    this.host.onStarted(run)
  }

  /** Finds out whether a run started after its start request was not answered. */
  private async resolveUncertainStart (run: Run): Promise<void> {
    run.state = RunState.Uncertain
    await this.requestReportNow()
    if (this.runs.get(run.name) !== run || run.state !== RunState.Uncertain) return
    await this.repeatOrStop(run)
  }

  /** Handles a run that the worker does not report and whose start it may still carry out. */
  private async repeatOrStop (run: Run): Promise<void> {
    if (mayRepeat(run) && !this.mayRelease(run)) await this.repeatStart(run)
    else await this.stopRun(run, StopReason.Uncertain)
  }

  /**
   * Sends the start of a run again until the worker confirms the run. A request that is carried out late has no further effect beside the
   * run: it has the same number, and a later incarnation of the worker can only carry it out after the run has ended with this one.
   */
  private async repeatStart (run: Run): Promise<void> {
    if (run.repeating) return
    run.repeating = true
    const { signal } = this.stopController
    while (this.runs.get(run.name) === run && run.state === RunState.Uncertain && run.stopping === undefined && !signal.aborted) {
      if (this.worker.draining || this.startValidityMs() === 0) {
        detach(this.stopRun(run, StopReason.Uncertain))
      } else if (!this.reachable || !this.adopted || !this.host.mayStart() || (this.hasAcknowledged && !this.raiseFence())) {
        await sleep(STOP_RETRY_DELAY_MS, signal)
      } else if (!await this.sendStart(run)) {
        run.state = RunState.Uncertain
        await this.requestReportNow()
      }
    }
    run.repeating = false
  }

  /** True once every lease that this owner has granted to the worker has certainly expired. */
  hasLeaseExpired (): boolean {
    return this.lease.hasExpired()
  }

  private checkLeaseExpiry (): void {
    if (this.adopted && this.runs.size > 0 && this.lease.hasExpired()) this.declareLost('Every granted lease has expired.')
  }

  /**
   * Declares that all runs on the worker have ended.
   *
   * @param reason how this is known
   * @param isFinal true if the worker cannot start again under its id, so that no start can be carried out any more
   */
  declareLost (reason: string, isFinal = false): void {
    this.unknownRuns.clear()
    if (isFinal) for (const run of this.runs.values()) run.starts.settle()
    this.reportLost([...this.runs.values()], reason)
  }

  private reportLost (runs: readonly Run[], reason: string): void {
    const lost: Run[] = []
    for (const run of runs) {
      if (run.missing) this.host.onEndLost(run)
      else if (this.mayRelease(run)) lost.push(run)
      else this.delayRelease(run, reason)
    }
    if (lost.length > 0) this.host.onRunsLost(this, lost, reason)
  }

  /**
   * Handles a restart of the worker. Runs that the previous incarnation reported have ended, and runs whose start request was not
   * sent can no longer start: both are reported as lost. A start request in flight may have reached the new incarnation, or may reach a
   * later one. Its run is stopped if the first report of the new incarnation does not list it, and released once the stop is confirmed
   * and the request cannot be carried out any more. A run inherited from an earlier owner is released without a stop: see
   * `Run.inherited`.
   */
  private handleRestart (born: number, clockMs: number, reason: string): void {
    const lost: Run[] = []
    for (const run of this.runs.values()) {
      if (run.listed || run.state === RunState.Committing) lost.push(run)
      run.listed = false
      run.stoppedClockMs = undefined
      run.confirmed = undefined
      run.state = RunState.Uncertain
    }
    this.unknownRuns.clear()
    this.reportLost(lost, reason)
    this.host.onRestart(this, this.born)
    this.born = born
    this.restartSeenMs = this.host.clock.now()
    this.incarnationSeenMs = this.restartSeenMs
    this.reportedEnds = this.createReportedEnds(true)
    this.journaling = undefined
    this.lease.reset(clockMs, this.host.leaseMs)
    // The next request ends the effect of those to the incarnation before.
    this.raiseFence()
    this.newestReportClockMs = -1
    this.reportSentMs = -Infinity
    this.consecutiveFailures = 0
    this.adopted = false
  }
}

/**
 * Returns true if a complete report that does not list a run shows that it has ended. A request that was sent before the run was confirmed
 * may have been carried out before its start.
 */
function isMissing ({ state, confirmed }: Run, { clockMs }: Report, sentMs: number): boolean {
  return state === RunState.Running && confirmed !== undefined && clockMs > confirmed.clockMs && sentMs >= confirmed.atMs
}

/**
 * Returns true if the start of a run may be repeated although an earlier request may be carried out late. A task that ends as done might be
 * carried out again then, after its end.
 */
function mayRepeat ({ step, stopping }: Run): boolean {
  return step.lasting && stopping === undefined
}

function placementPauseOf (failure: WorkerFailure): number {
  switch (failure) {
    case WorkerFailure.NoTicket:
    case WorkerFailure.OutdatedRun:
      return 0
    default:
      return FAILED_START_PAUSE_MS
  }
}
