/**
 * The owner's task for one worker: adopts it, renews its leases, and tells when they certainly lapsed.
 */
import { sleep, type Clock } from '@fireflymount/platform/clock'
import type { Vm } from '@fireflymount/platform/machines'
import {
  WorkerFailure, type TaskReport, type TaskStart, type Worker, type WorkerError, type WorkerReport, type WorkerRequest
} from '@fireflymount/platform/worker'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Timing } from '@fireflymount/manifest/settings'
import type { Result } from 'neverthrow'

/** Bound on the difference in rate between two monotonic clocks. */
const CLOCK_DRIFT = 0.01
const LAPSE_MARGIN_MS = 100
const ADOPT_RETRY_MS = 100
const ADOPT_RETRY_LIMIT_MS = 2000
const UNCONFIRMED_WAIT_MS = 50
/** Pause between renewals that return only reports that are being written to the log. */
const REPEAT_WAIT_MS = 200
/** Renewals that may fail in a row before the worker is adopted again. */
const RENEW_FAILURES = 2

/** What the owner does about a worker's news. */
export interface SessionEvents {
  /** The worker is under the owner's epoch; the report lists all that it runs. */
  onAdopted: (session: Session, report: WorkerReport) => void
  /** A task's report. Returns false if it is being handled already. */
  onReport: (session: Session, report: TaskReport) => boolean
  /** The worker does not answer; nothing new goes there. */
  onSilent: (session: Session) => void
  /** All leases of the owner and of former owners on the worker have certainly lapsed. */
  onLapsed: (session: Session) => void
  /** The worker holds a newer epoch. */
  onStale: (epoch: Epoch) => void
}

/** What a session is built from. */
export interface SessionParts {
  readonly vm: Vm
  readonly worker: Worker
  readonly epoch: Epoch
  readonly clock: Clock
  readonly timing: Timing
  /** True while the owner may act on leases. */
  readonly confirmed: () => boolean
  /** Clock time after which former owners' leases have certainly lapsed; undefined while that is unknown. */
  readonly inheritedLapseMs: () => number | undefined
  /** True if the platform says that the VM is terminated. */
  readonly isGone: () => boolean
  readonly events: SessionEvents
}

/** One worker under one epoch. */
export class Session {
  /** Boot id of the worker; empty before adoption. */
  boot = ''
  adopted = false
  private clockMs = 0
  private heardAtMs = 0
  private leaseEndMs = -Infinity
  private lapsed = false
  private doubtUntilMs: number | undefined
  private readonly acknowledged = new Set<string>()
  private readonly abort = new AbortController()

  constructor (readonly parts: SessionParts) {}

  /** The worker's id. */
  get id (): string {
    return this.parts.vm.id
  }

  /** Runs until `close`. */
  async run (): Promise<void> {
    let retryMs = ADOPT_RETRY_MS
    while (!this.abort.signal.aborted) {
      const adopted = await this.adopt()
      if (!adopted) {
        this.checkLapse()
        await sleep(retryMs, this.abort.signal)
        retryMs = Math.min(retryMs * 2, ADOPT_RETRY_LIMIT_MS)
        continue
      }
      retryMs = ADOPT_RETRY_MS
      await this.renewLeases()
    }
  }

  /** Ends the session. Leases are left to whoever adopts the worker next; requests in progress go on. */
  end (): void {
    this.abort.abort()
  }

  /** Ends the session and closes the connections to the worker. */
  close (): void {
    this.end()
    this.parts.worker.close().catch(() => {})
  }

  /** True if a former owner may still have work here that this owner does not know of. */
  isUncertain (): boolean {
    return this.boot === '' && !this.lapsed
  }

  /** Starts a task under a lease. */
  async start (task: TaskStart, untilMs: number): Promise<Result<void, WorkerError>> {
    this.extendLease()
    const result = await this.parts.worker.start(this.parts.epoch, task, untilMs)
    if (result.isErr()) this.noteFailure(result.error)
    return result
  }

  /** Stops a task. A lost answer does no harm: the task's report or the lapse of its lease follows. */
  async stop (task: string, checkpoint: boolean): Promise<void> {
    const result = await this.parts.worker.stop(this.parts.epoch, task, checkpoint)
    if (result.isErr()) this.noteFailure(result.error)
  }

  /** Sends a request and waits for its whole answer. */
  async request (request: WorkerRequest, timeoutMs: number): Promise<Result<unknown, WorkerError>> {
    const result = await this.parts.worker.request(this.parts.epoch, request, timeoutMs)
    if (result.isErr()) this.noteFailure(result.error)
    return result
  }

  /** Forgets an ended task's report at the worker with the next renewal. */
  acknowledge (task: string, attempt: number): void {
    this.acknowledged.add(`${task}/${attempt}`)
  }

  /** Time in the worker's clock until which a lease granted now lasts. Never later than the true one. */
  untilMs (): number {
    return this.clockMs + (this.parts.clock.now() - this.heardAtMs) + this.parts.timing.leaseMs
  }

  /** Adopts the worker again as soon as its clock is past `untilMs`, to learn what became of a command. */
  doubt (untilMs: number): void {
    this.doubtUntilMs = Math.max(this.doubtUntilMs ?? -Infinity, untilMs)
  }

  /** True if commands with leases until then can no longer take effect at the worker. */
  isPast (untilMs: number): boolean {
    return this.clockMs > untilMs
  }

  private async adopt (): Promise<boolean> {
    if (!this.parts.confirmed()) return false
    const report = await this.parts.worker.adopt(this.parts.epoch, 0)
    if (this.abort.signal.aborted) return false
    if (report.isErr()) {
      this.noteFailure(report.error)
      return false
    }
    this.note(report.value)
    this.boot = report.value.boot
    this.adopted = true
    this.lapsed = false
    this.doubtUntilMs = undefined
    this.parts.events.onAdopted(this, report.value)
    return true
  }

  private async renewLeases (): Promise<void> {
    let failures = 0
    while (!this.abort.signal.aborted && failures < RENEW_FAILURES && !this.isDoubtDue()) {
      if (!this.parts.confirmed()) {
        await sleep(UNCONFIRMED_WAIT_MS, this.abort.signal)
        this.checkLapse()
        continue
      }
      const acknowledged = [...this.acknowledged]
      this.extendLease()
      const report = await this.parts.worker.renew(this.parts.epoch, this.untilMs(), acknowledged, this.renewWaitMs())
      if (this.abort.signal.aborted) return
      if (report.isErr()) {
        failures++
        this.noteFailure(report.error)
        continue
      }
      failures = 0
      for (const key of acknowledged) this.acknowledged.delete(key)
      if (report.value.boot !== this.boot) return
      this.note(report.value)
      await this.takeReports(report.value.tasks)
    }
    if (failures < RENEW_FAILURES) return
    this.adopted = false
    this.parts.events.onSilent(this)
  }

  private async takeReports (reports: readonly TaskReport[]): Promise<void> {
    let fresh = reports.length === 0
    for (const report of reports) {
      if (this.parts.events.onReport(this, report)) fresh = true
    }
    if (!fresh) await sleep(REPEAT_WAIT_MS, this.abort.signal)
  }

  private renewWaitMs (): number {
    if (this.acknowledged.size > 0 || this.doubtUntilMs !== undefined) return Math.min(REPEAT_WAIT_MS, this.parts.timing.renewMs)
    return this.parts.timing.renewMs
  }

  private isDoubtDue (): boolean {
    return this.doubtUntilMs !== undefined && this.isPast(this.doubtUntilMs)
  }

  private note (report: WorkerReport): void {
    this.clockMs = report.clockMs
    this.heardAtMs = this.parts.clock.now()
  }

  private noteFailure (error: WorkerError): void {
    if (error.failure === WorkerFailure.StaleEpoch && error.epoch !== undefined) this.parts.events.onStale(error.epoch)
  }

  private extendLease (): void {
    const { leaseMs } = this.parts.timing
    this.leaseEndMs = Math.max(this.leaseEndMs, this.parts.clock.now() + leaseMs * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_MS)
  }

  private checkLapse (): void {
    if (this.lapsed) return
    if (!this.parts.isGone() && !this.isLapseCertain()) return
    this.lapsed = true
    this.parts.events.onLapsed(this)
  }

  private isLapseCertain (): boolean {
    // Since the adoption, the worker has refused former owners.
    if (this.boot !== '') return this.parts.clock.now() > this.leaseEndMs
    const inherited = this.parts.inheritedLapseMs()
    if (inherited === undefined) return false
    return this.parts.clock.now() > Math.max(inherited, this.leaseEndMs)
  }
}
