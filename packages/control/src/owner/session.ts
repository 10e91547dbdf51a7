/**
 * The owner's session with one worker: renews the lease, receives ends, sends orders.
 */
import { setMaxListeners } from 'node:events'
import { NO_RESOURCES, addResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import { sleep, type Clock } from '../clock.js'
import { detach } from '../detach.js'
import { rackOf, type EndedRun, type Report, type Worker } from '../model/worker.js'
import { WorkerFailure, type Fleet } from '../ports/fleet.js'
import { Lease } from './lease.js'
import { RunState, StopReason, type Run } from './run.js'

/** Longest wait of one renewal for an end. With the round trip it stays far below the lease. */
const RENEW_WAIT_MS = 1900
/** How long a start stays valid on the worker's clock: bounds how late a lost one can be carried out. */
const START_VALID_MS = 2000
/** First and longest pause after a failed renewal; doubles between them. */
const RETRY_MIN_MS = 60
const RETRY_MAX_MS = 400
/** Pause before an unconfirmed stop is sent again. */
const STOP_RETRY_MS = 250
/** Ends that come within this time are acknowledged by one renewal: each look at a worker is priced. */
const GATHER_MS = 30
/** How long a worker that refused or lost a start gets no other. */
const COOL_OFF_MS = 600
/** Failed runs in a row after which a worker is left alone for a while. */
const FAILURES_MAX = 4
const QUARANTINE_MS = 4000

/** What a session needs of its owner. */
export interface SessionHost {
  readonly fence: number
  readonly leaseMs: number
  readonly fleet: Fleet
  readonly clock: Clock
  /** False while ownership is in doubt. */
  readonly mayAct: () => boolean
  /** Settles ends; resolves to true once they are journaled. */
  readonly onEnds: (session: Session, ended: readonly EndedRun[]) => Promise<boolean>
  /** A run that the owner does not know. */
  readonly onStranger: (session: Session, task: string, run: number) => void
  readonly onAdopted: (session: Session) => void
  /** All runs of the incarnation have provably ended. */
  readonly onLost: (session: Session, runs: readonly Run[], reason: string) => void
  /** The run provably never began, or has ended unseen. */
  readonly onGone: (run: Run, reason: string) => void
  readonly onStarted: (run: Run) => void
  readonly onFenced: (session: Session) => void
  readonly onReachable: (session: Session, reachable: boolean, failure: WorkerFailure | undefined) => void
  readonly onLook: () => void
}

/** One worker under this owner. */
export class Session {
  readonly runs = new Map<string, Run>()
  used: Resources = NO_RESOURCES
  /** A renewal under this owner's fence was answered: orders of earlier owners have no effect any more. */
  adopted = false
  reachable = false
  /** Steady time of the last answer, or of the session's begin. */
  private heardMs: number
  born: number
  /** Steady time at which the worker was seen to have started anew. */
  rebornMs = -Infinity
  /** Steady time until which nothing is placed here. */
  coolUntilMs = 0
  /** Runs that the worker reports and the owner does not know; they take room that is not charged. */
  strangers = new Set<string>()
  private failuresInRow = 0
  private received = 0
  private acknowledged = 0
  private settling: Promise<boolean> | undefined
  private readonly lease: Lease
  private newestReportMs = -1
  private updatedMs: number
  private retryMs = RETRY_MIN_MS
  private readonly stop = new AbortController()

  constructor (public worker: Worker, private readonly host: SessionHost) {
    this.born = worker.born
    this.lease = new Lease(host.clock, worker.clockMs)
    this.updatedMs = host.clock.now()
    this.heardMs = this.updatedMs
    // Every order that waits listens to the one signal.
    setMaxListeners(0, this.stop.signal)
  }

  get id (): string {
    return this.worker.id
  }

  get rack (): string {
    return rackOf(this.worker.labels)
  }

  /** What is left of the worker's room. */
  free (): Resources {
    return subtractResources(this.worker.capacity, this.used)
  }

  /** True if new work may be placed here. */
  open (nowMs: number): boolean {
    return this.adopted && this.reachable && !this.worker.draining && nowMs >= this.coolUntilMs && this.strangers.size === 0
  }

  /** How long the worker has not answered; 0 while it does. */
  silentMs (): number {
    return this.reachable ? 0 : this.host.clock.now() - this.heardMs
  }

  /** Time after which all that runs here should have ended, by its callers' estimates; lasting tasks do not count. */
  drainMs (): number {
    const nowMs = this.host.clock.now()
    let longestMs = 0
    for (const run of this.runs.values()) {
      if (!run.step.lasting) longestMs = Math.max(longestMs, run.step.estimateMs - (nowMs - run.assignedMs))
    }
    return longestMs
  }

  /** Least time that a draining worker has left; undefined for others. */
  remainingMs (): number | undefined {
    if (!this.worker.draining) return undefined
    return Math.max(0, (this.worker.remainingMs ?? 0) - (this.host.clock.now() - this.updatedMs))
  }

  attach (run: Run): void {
    this.runs.set(run.name, run)
    this.used = addResources(this.used, run.charge)
  }

  detach (run: Run): void {
    if (this.runs.get(run.name) !== run) return
    this.runs.delete(run.name)
    this.used = subtractResources(this.used, run.charge)
  }

  /** Takes over a newer entry of the registry. */
  update (worker: Worker): void {
    if (worker.address !== this.worker.address) this.host.fleet.forget(this.worker)
    this.worker = worker
    this.updatedMs = this.host.clock.now()
    if (worker.born > this.born) this.rebirth(worker.born, worker.clockMs, 'The registry shows a later start of the worker.')
  }

  /** Notes how a run ended, to leave alone a worker that fails all it starts. */
  noteOutcome (failed: boolean): void {
    if (!failed) {
      this.failuresInRow = 0
      return
    }
    this.failuresInRow++
    if (this.failuresInRow < FAILURES_MAX) return
    this.failuresInRow = FAILURES_MAX - 1
    this.coolUntilMs = this.host.clock.now() + QUARANTINE_MS
  }

  /** Renews the lease until closed. */
  async run (): Promise<void> {
    const { signal } = this.stop
    while (!signal.aborted) {
      if (!this.host.mayAct()) {
        await sleep(RETRY_MIN_MS, signal)
        continue
      }
      // A worker that is not known to be there is asked for a prompt answer.
      await this.renew(this.reachable && this.adopted && this.settling === undefined ? RENEW_WAIT_MS : 0)
      if (!this.reachable) {
        this.checkLapse()
        await sleep(this.retryMs, signal)
        this.retryMs = Math.min(2 * this.retryMs, RETRY_MAX_MS)
      } else if (this.settling !== undefined) {
        // While ends are being journaled the worker would answer at once: renew rarely until they are.
        await Promise.race([this.settling, sleep(RENEW_WAIT_MS / 2, signal)])
      }
    }
  }

  /** Ends the session. */
  close (): void {
    this.stop.abort()
    this.host.fleet.forget(this.worker)
  }

  /** Looks at the worker without waiting for an end. */
  async look (): Promise<void> {
    if (this.host.mayAct()) await this.renew(0)
  }

  /** Sends the start of a run that the journal holds. */
  async start (run: Run): Promise<void> {
    // The run can have been given up, and the task assigned anew, while its assignment was being written.
    if (this.runs.get(run.name) !== run) return
    if (run.stopping !== undefined) {
      this.host.onGone(run, 'stopped before its start')
      return
    }
    run.state = RunState.Starting
    const deadlineMs = this.lease.grant(START_VALID_MS)
    const started = await this.host.fleet.start(this.worker, {
      task: run.name,
      run: run.number,
      payload: run.entry.job.payload,
      deadlineMs,
      fence: this.host.fence,
      checkpoint: run.task.checkpoint,
      ticket: run.ticket
    })
    if (this.runs.get(run.name) !== run) return
    if (started.isOk()) {
      this.confirm(run)
      return
    }
    this.coolUntilMs = Math.max(this.coolUntilMs, this.host.clock.now() + coolOffOf(started.error))
    if (started.error === WorkerFailure.NoAnswer) await this.clarify(run)
    else if (started.error === WorkerFailure.Fenced) this.host.onFenced(this)
    else this.host.onGone(run, started.error)
  }

  /** Stops a run until its end, or that it never began, is known. */
  async stopRun (run: Run, reason: StopReason): Promise<void> {
    if (run.stopping !== undefined) return
    run.stopping = reason
    // A run whose assignment is still being written is not started any more.
    if (run.state === RunState.Committing) return
    const { signal } = this.stop
    while (this.runs.get(run.name) === run && !signal.aborted) {
      if (!this.host.mayAct()) {
        await sleep(STOP_RETRY_MS, signal)
        continue
      }
      const stopped = await this.host.fleet.stop(this.worker, { task: run.name, run: run.number, fence: this.host.fence })
      if (stopped.isOk()) {
        run.stoppedClockMs = stopped.value
        if (run.state !== RunState.Running) await this.look()
      } else if (stopped.error === WorkerFailure.Fenced) {
        this.host.onFenced(this)
      }
      await sleep(STOP_RETRY_MS, signal)
    }
  }

  /** Stops a run that the owner does not know. */
  async stopStranger (task: string, run: number): Promise<void> {
    if (this.strangers.has(task)) return
    this.strangers.add(task)
    const { signal } = this.stop
    while (this.strangers.has(task) && !signal.aborted) {
      if (this.host.mayAct()) {
        const stopped = await this.host.fleet.stop(this.worker, { task, run, fence: this.host.fence })
        if (stopped.isErr() && stopped.error === WorkerFailure.Fenced) this.host.onFenced(this)
      }
      await sleep(STOP_RETRY_MS, signal)
    }
  }

  /** Sets the share of its speed at which a run works. */
  async pace (run: Run, percent: number): Promise<void> {
    const paced = await this.host.fleet.pace(this.worker, { task: run.name, run: run.number, fence: this.host.fence }, percent)
    if (paced.isErr() && paced.error === WorkerFailure.Fenced) this.host.onFenced(this)
  }

  private async renew (waitMs: number): Promise<void> {
    const { host, worker } = this
    // A renewal that is not answered may still take effect. So that the lease of a worker that was lost is known to lapse, no
    // more is granted until the worker answers again.
    const granting = this.reachable || !this.adopted
    const deadlineMs = granting ? this.lease.grant(host.leaseMs) : undefined
    host.onLook()
    const report = await host.fleet.renew(worker, { fence: host.fence, acknowledged: this.acknowledged, deadlineMs, waitMs })
    if (this.stop.signal.aborted) return
    if (report.isOk()) this.receive(report.value)
    else this.fail(report.error)
  }

  private fail (failure: WorkerFailure): void {
    if (failure === WorkerFailure.Fenced) {
      this.host.onFenced(this)
      return
    }
    if (failure === WorkerFailure.OtherIncarnation) this.lose('Another worker answers at the address.')
    if (this.reachable) this.host.onReachable(this, false, failure)
    this.reachable = false
  }

  private receive (report: Report): void {
    if (report.born < this.born) return
    if (report.born > this.born) this.rebirth(report.born, report.clockMs, 'The worker has started anew.')
    this.retryMs = RETRY_MIN_MS
    this.heardMs = this.host.clock.now()
    if (!this.reachable) {
      this.reachable = true
      this.host.onReachable(this, true, undefined)
    }
    this.lease.read(report.clockMs)
    const first = !this.adopted
    this.adopted = true
    // Responses can overtake each other: an older one says nothing about what runs now.
    if (report.clockMs > this.newestReportMs) this.compare(report)
    this.settle(report.ended)
    if (!first) return
    for (const run of this.runs.values()) {
      const doubtful = !run.listed && !run.inherited && run.assignedMs <= this.rebornMs
      if (doubtful) detach(this.stopRun(run, StopReason.Uncertain))
    }
    this.host.onAdopted(this)
  }

  /** Compares the runs that the worker reports with those that the owner knows. */
  private compare (report: Report): void {
    this.newestReportMs = report.clockMs
    const listed = new Set<string>()
    for (const active of report.running) {
      listed.add(active.task)
      const run = this.runs.get(active.task)
      if (run === undefined || run.number !== active.run) {
        this.host.onStranger(this, active.task, active.run)
        continue
      }
      this.confirm(run)
      run.listed = true
      run.percent = active.percent
      run.load = active.load
      if (active.checkpoint !== '' && active.checkpoint !== run.checkpoint) {
        run.checkpoint = active.checkpoint
        run.progressMs = this.host.clock.now()
      }
    }
    for (const ended of report.ended) listed.add(ended.task)
    for (const task of this.strangers) {
      if (!listed.has(task)) this.strangers.delete(task)
    }
    for (const run of [...this.runs.values()]) {
      if (listed.has(run.name)) continue
      const neverBegan = run.inherited && run.state === RunState.Uncertain
      const stopped = run.stoppedClockMs !== undefined && report.clockMs > run.stoppedClockMs
      if (neverBegan || stopped) this.host.onGone(run, neverBegan ? 'never began under an earlier owner' : 'stop confirmed')
    }
  }

  private settle (ended: readonly EndedRun[]): void {
    const fresh = ended.filter((end) => end.position > this.received)
    if (fresh.length === 0) return
    for (const end of fresh) {
      this.received = Math.max(this.received, end.position)
      this.strangers.delete(end.task)
    }
    const through = this.received
    const { born } = this
    const before = this.settling
    const settling = this.host.onEnds(this, fresh).then(async (journaled) => {
      await before
      if (journaled && this.born === born) this.acknowledged = Math.max(this.acknowledged, through)
      await sleep(GATHER_MS)
      if (this.settling === settling) this.settling = undefined
      return journaled
    })
    this.settling = settling
  }

  private confirm (run: Run): void {
    if (run.state === RunState.Running) return
    run.state = RunState.Running
    run.startedMs = this.host.clock.now()
    run.progressMs = run.startedMs
    this.host.onStarted(run)
  }

  /** Finds out what became of a start that was not answered. */
  private async clarify (run: Run): Promise<void> {
    run.state = RunState.Uncertain
    await this.look()
    if (this.runs.get(run.name) !== run || run.state !== RunState.Uncertain) return
    await this.stopRun(run, StopReason.Uncertain)
  }

  private checkLapse (): void {
    if (this.adopted && this.runs.size > 0 && this.lease.lapsed()) this.lose('Every lease that was granted has lapsed.')
  }

  /**
   * Everything that ran here has ended.
   *
   * @param reason how that is known
   */
  lose (reason: string): void {
    this.strangers.clear()
    this.giveUp([...this.runs.values()], reason)
  }

  private giveUp (runs: readonly Run[], reason: string): void {
    if (runs.length > 0) this.host.onLost(this, runs, reason)
  }

  /**
   * The worker has started anew. What it listed before has ended. A start that was under way can have reached the new
   * incarnation: its run is lost only when that one is seen not to have it.
   */
  private rebirth (born: number, clockMs: number, reason: string): void {
    const ended: Run[] = []
    for (const run of this.runs.values()) {
      if (run.listed || run.state === RunState.Committing) ended.push(run)
      run.stoppedClockMs = undefined
      run.state = RunState.Uncertain
    }
    this.strangers.clear()
    this.giveUp(ended, reason)
    this.born = born
    this.rebornMs = this.host.clock.now()
    this.received = 0
    this.acknowledged = 0
    this.settling = undefined
    this.lease.reset(clockMs, this.host.leaseMs)
    this.newestReportMs = -1
    this.failuresInRow = 0
    this.adopted = false
  }
}

function coolOffOf (failure: WorkerFailure): number {
  switch (failure) {
    case WorkerFailure.NoTicket:
    case WorkerFailure.Superseded:
      return 0
    default:
      return COOL_OFF_MS
  }
}
