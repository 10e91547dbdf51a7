/**
 * The owner's session with one worker. It adopts the worker, renews its leases and reports when they have certainly expired.
 */
import { sleep, type Clock } from '@fireflymount/service-clients/clock'
import type { Vm } from '@fireflymount/service-clients/vm-list'
import {
  WorkerFailure,
  type Adoption,
  type TaskReport,
  type TaskStart,
  type Worker,
  type WorkerError,
  type WorkerReport,
  type WorkerRequest
} from '@fireflymount/service-clients/worker'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Timing } from '@fireflymount/manifest/settings'
import type { Result } from 'neverthrow'

/** Maximum difference in rate between two monotonic clocks. */
const MAX_CLOCK_DRIFT = 0.01
/** Allowance for delays between reading the clock and sending a command. */
const EXPIRY_MARGIN_MS = 100
const ADOPT_RETRY_DELAY_MS = 100
const MAX_ADOPT_RETRY_DELAY_MS = 2000
/** Interval between checks whether the owner is confirmed again; meanwhile no leases are renewed. */
const UNCONFIRMED_POLL_INTERVAL_MS = 50
/** Interval between renewals while reports are being written to the log, or while acknowledgements or a readoption are due. */
const SHORT_RENEW_INTERVAL_MS = 200
/** Time after which a worker is adopted again that did not answer a command to stop a task. */
const STOP_RETRY_DELAY_MS = 500
/** Number of consecutive failed renewals after which the worker has to be adopted again. */
const MAX_RENEW_FAILURES = 2

/** The owner's handlers for events of a session. */
export interface SessionEvents {
  /** The worker accepted the owner's epoch; the report lists all of its tasks. */
  onAdopted: (session: Session, report: WorkerReport) => void
  /**
   * The worker reported a task. Returns false if the next renewal would only return the same report again, e.g. because the end
   * of the run is still being written. If this is so for every report, the session pauses before the next renewal.
   */
  onReport: (session: Session, report: TaskReport) => boolean
  /** The worker does not answer; no new tasks may be placed on it. */
  onUnreachable: (session: Session) => void
  /** All leases that this and former owners granted to the worker have certainly expired, or its VM is terminated. */
  onExpired: (session: Session) => void
  /** The worker has accepted a newer epoch. */
  onStale: (epoch: Epoch) => void
}

/** Constructor arguments of `Session`. */
export interface SessionOptions {
  readonly vm: Vm
  readonly worker: Worker
  readonly epoch: Epoch
  readonly clock: Clock
  readonly timing: Timing
  /** True while the owner may grant and renew leases. */
  readonly confirmed: () => boolean
  /** Returns the monotonic time after which former owners' leases have certainly expired; undefined while that is unknown. */
  readonly inheritedExpiryMs: () => number | undefined
  /** True if the VM counts as terminated. */
  readonly isTerminated: () => boolean
  readonly events: SessionEvents
}

/** A session with one worker under one epoch. */
export class Session {
  /** Id of the worker's incarnation (one per process start). Empty before adoption. */
  boot = ''
  adopted = false
  /** Time on this node's clock at which the last adoption that was answered was sent. */
  adoptionSentMs = -Infinity
  /** The worker's clock in its last report. */
  private workerClockMs = 0
  /** Time on this node's clock when that report arrived. */
  private reportedAtMs = 0
  /** Time on this node's clock at which all leases that this owner granted, and those it found at an adoption, have certainly expired. */
  private leaseExpiryMs = -Infinity
  private expired = false
  private readoptAfterMs: number | undefined
  private readonly acknowledged = new Set<string>()
  private readonly abort = new AbortController()

  constructor (readonly options: SessionOptions) {}

  /** The worker's id. */
  get id (): string {
    return this.options.vm.id
  }

  /** Adopts the worker and renews its leases until `end` or `close` is called. */
  async run (): Promise<void> {
    let retryDelayMs = ADOPT_RETRY_DELAY_MS
    while (!this.abort.signal.aborted) {
      const adopted = await this.adopt()
      if (!adopted) {
        this.checkExpiry()
        await sleep(retryDelayMs, this.abort.signal)
        retryDelayMs = Math.min(retryDelayMs * 2, MAX_ADOPT_RETRY_DELAY_MS)
        continue
      }
      retryDelayMs = ADOPT_RETRY_DELAY_MS
      await this.renewLeases()
    }
  }

  /** Ends the session. Leases are not revoked, since the next owner to adopt the worker renews them; requests continue. */
  end (): void {
    this.abort.abort()
  }

  /** Ends the session and closes the connections to the worker. */
  close (): void {
    this.end()
    this.options.worker.close().catch(() => {})
  }

  /** True if the worker may still run tasks of a former owner that this owner does not know of. */
  mayHaveUnknownRuns (): boolean {
    return this.boot === '' && !this.expired
  }

  /** Starts a task under a lease. */
  async start (task: TaskStart, untilMs: number): Promise<Result<void, WorkerError>> {
    this.extendLeaseExpiry()
    const result = await this.options.worker.start(this.adoption(), task, untilMs)
    if (result.isErr()) this.reportStaleEpoch(result.error)
    return result
  }

  /** Stops a run. After a lost command or answer, the worker is adopted again: it reports the task if it still runs. */
  async stop (task: string, attempt: number, checkpoint: boolean): Promise<void> {
    const result = await this.options.worker.stop(this.adoption(), task, attempt, checkpoint)
    if (result.isOk()) return
    this.reportStaleEpoch(result.error)
    const { failure } = result.error
    if (failure !== WorkerFailure.Unreachable && failure !== WorkerFailure.Unknown) return
    this.readoptAfter(this.estimatedWorkerClockMs() + STOP_RETRY_DELAY_MS)
  }

  /** Sends a request and waits for its complete answer. */
  async request (request: WorkerRequest, timeoutMs: number): Promise<Result<unknown, WorkerError>> {
    const result = await this.options.worker.request(this.adoption(), request, timeoutMs)
    if (result.isErr()) this.reportStaleEpoch(result.error)
    return result
  }

  /** Acknowledges the report of an ended task with the next renewal, so that the worker drops it. */
  acknowledge (task: string, attempt: number): void {
    this.acknowledged.add(`${task}/${attempt}`)
  }

  /**
   * Returns the end of a lease granted now, in the worker's clock. It is at most `leaseMs` from now, because the worker
   * read its clock before this node received the report.
   */
  leaseUntilMs (): number {
    return this.estimatedWorkerClockMs() + this.options.timing.leaseMs
  }

  /** Adopts the worker again as soon as its clock is past `untilMs`, to learn the outcome of a command whose answer was lost. */
  readoptAfter (untilMs: number): void {
    this.readoptAfterMs = Math.max(this.readoptAfterMs ?? -Infinity, untilMs)
  }

  /** True if commands whose lease ends at `untilMs` can no longer take effect at the worker. */
  isPast (untilMs: number): boolean {
    return this.workerClockMs > untilMs
  }

  private adoption (): Adoption {
    return { epoch: this.options.epoch, boot: this.boot }
  }

  private async adopt (): Promise<boolean> {
    if (!this.options.confirmed()) return false
    const sentMs = this.options.clock.now()
    const report = await this.options.worker.adopt(this.options.epoch, 0)
    if (this.abort.signal.aborted) return false
    if (report.isErr()) {
      this.reportStaleEpoch(report.error)
      return false
    }
    this.recordClock(report.value)
    this.boot = report.value.boot
    this.adopted = true
    this.adoptionSentMs = sentMs
    this.expired = false
    this.readoptAfterMs = undefined
    // The last lease that a former owner could grant.
    this.extendLeaseExpiry()
    this.options.events.onAdopted(this, report.value)
    return true
  }

  private async renewLeases (): Promise<void> {
    let failures = 0
    while (!this.abort.signal.aborted && failures < MAX_RENEW_FAILURES && !this.isReadoptionDue()) {
      if (!this.options.confirmed()) {
        await sleep(UNCONFIRMED_POLL_INTERVAL_MS, this.abort.signal)
        this.checkExpiry()
        continue
      }
      const acknowledged = [...this.acknowledged]
      this.extendLeaseExpiry()
      const report = await this.options.worker.renew(this.adoption(), this.leaseUntilMs(), acknowledged, this.renewWaitMs())
      if (this.abort.signal.aborted) return
      if (report.isErr()) {
        failures++
        this.reportStaleEpoch(report.error)
        continue
      }
      failures = 0
      for (const key of acknowledged) this.acknowledged.delete(key)
      if (report.value.boot !== this.boot) return
      this.recordClock(report.value)
      await this.handleReports(report.value.tasks)
    }
    if (failures < MAX_RENEW_FAILURES) return
    this.adopted = false
    this.options.events.onUnreachable(this)
  }

  private async handleReports (reports: readonly TaskReport[]): Promise<void> {
    let mayRenewAtOnce = reports.length === 0
    for (const report of reports) {
      if (this.options.events.onReport(this, report)) mayRenewAtOnce = true
    }
    if (!mayRenewAtOnce) await sleep(SHORT_RENEW_INTERVAL_MS, this.abort.signal)
  }

  private renewWaitMs (): number {
    if (this.acknowledged.size > 0 || this.readoptAfterMs !== undefined) {
      return Math.min(SHORT_RENEW_INTERVAL_MS, this.options.timing.renewMs)
    }
    return this.options.timing.renewMs
  }

  private isReadoptionDue (): boolean {
    return this.readoptAfterMs !== undefined && this.isPast(this.readoptAfterMs)
  }

  private estimatedWorkerClockMs (): number {
    return this.workerClockMs + (this.options.clock.now() - this.reportedAtMs)
  }

  private recordClock (report: WorkerReport): void {
    this.workerClockMs = report.clockMs
    this.reportedAtMs = this.options.clock.now()
  }

  private reportStaleEpoch (error: WorkerError): void {
    if (error.failure === WorkerFailure.StaleEpoch && error.epoch !== undefined) this.options.events.onStale(error.epoch)
  }

  /**
   * Extends this node's estimate of when all leases have expired. Called before a command that grants or renews leases is sent, because
   * the command may take effect even if its answer is lost, and after an adoption, which former owners can precede by a renewal.
   */
  private extendLeaseExpiry (): void {
    const { leaseMs } = this.options.timing
    this.leaseExpiryMs = Math.max(
      this.leaseExpiryMs, this.options.clock.now() + leaseMs * (1 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_MS
    )
  }

  private checkExpiry (): void {
    if (this.expired) return
    if (!this.options.isTerminated() && !this.isExpiryCertain()) return
    this.expired = true
    this.options.events.onExpired(this)
  }

  private isExpiryCertain (): boolean {
    // An adopted worker refuses commands of former owners.
    if (this.boot !== '') return this.options.clock.now() > this.leaseExpiryMs
    const inheritedExpiryMs = this.options.inheritedExpiryMs()
    if (inheritedExpiryMs === undefined) return false
    return this.options.clock.now() > Math.max(inheritedExpiryMs, this.leaseExpiryMs)
  }
}
