/**
 * The owner of a shard under one epoch. It adopts the workers, decides all placements and answers all requests for the shard.
 */
import type { Clock } from '@fireflymount/service-clients/clock'
import { JournalFailure } from '@fireflymount/service-clients/journal'
import type { Vm } from '@fireflymount/service-clients/vm-list'
import type { TaskReport, Worker, WorkerReport } from '@fireflymount/service-clients/worker'
import { findQueue, findUpstream } from '@fireflymount/manifest/lookup'
import type { Manifest } from '@fireflymount/manifest/manifest'
import type { Timing } from '@fireflymount/manifest/settings'
import { Shard } from '@fireflymount/policy/shard'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import { Condition, Obstacle, type Placement, type Task } from '@fireflymount/policy/task'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { MessageKind, type Request } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { err, ok, type Result } from 'neverthrow'
import type { Metrics } from '../metrics.js'
import type { Members } from '../membership/members.js'
import type { Allotments } from './allotments.js'
import type { BurnCounts } from './burn.js'
import { Requests } from './requests.js'
import { ChangeKind, RunOutcome, type Drained, type Evacuated } from './change.js'
import { dryRunWork } from './dry-run.js'
import { Fleet } from './fleet.js'
import { Jobs, refusalOf } from './jobs.js'
import type { JournalWriter } from './journal-writer.js'
import { Transfers } from './transfers.js'
import { Replicas } from './replicas.js'
import { Runs } from './runs.js'
import type { Session } from './session.js'
import { Stage, type ShardState } from './state.js'
import { surveyShard } from './survey.js'
import type { Router } from '../peer/router.js'
import { stopProcess } from '../stop-process.js'

/** Maximum number of placements in one scheduling round, so that other work of the process is not blocked for long. */
const MAX_ROUND_PLACEMENTS = 64
/**
 * Interval at which the manifest, workers, allotments, deferred tasks and replicas are reconciled and a scheduling round is
 * requested. The round also refuses expired requests.
 */
const RECONCILE_INTERVAL_MS = 100
/** Time after which an uncommitted drain or evacuation is refused. */
const DRAIN_COMMIT_TIMEOUT_MS = 2000
/** Time that the sender of a request is told to wait if this node cannot confirm that it owns the shard. */
const NOT_OWNER_RETRY_AFTER_MS = 500
const UNKNOWN_QUEUE_RETRY_AFTER_MS = 500

/** Constructor arguments of `Owner`. */
export interface OwnerOptions {
  readonly shard: string
  readonly node: string
  readonly epoch: Epoch
  readonly journal: JournalWriter
  readonly state: ShardState
  readonly allotments: Allotments
  readonly burn: BurnCounts
  readonly members: Members
  readonly router: Router
  readonly manifest: () => Manifest
  readonly connect: (vm: Vm) => Worker
  readonly clock: Clock
  readonly timing: Timing
  readonly metrics: Metrics
  /** True if the claim is not known to be in the log, because the owner took over while the log was unavailable. */
  readonly provisional: boolean
  /** True while this owner may act. */
  readonly confirmed: () => boolean
  /** Returns the monotonic time after which former owners' leases have certainly expired; undefined while that is unknown. */
  readonly inheritedExpiryMs: () => number | undefined
  /** Called when a worker has accepted a newer epoch or the journal has a newer holder; the epoch is undefined for the latter. */
  readonly onStale: (epoch: Epoch | undefined) => void
}

/** The owner of one shard for one epoch. */
export class Owner {
  readonly scheduler: Scheduler
  readonly runs: Runs
  readonly requests: Requests
  readonly jobs: Jobs
  readonly replicas: Replicas
  readonly fleet: Fleet
  private readonly transfers: Transfers
  private manifest: Manifest | undefined
  private reconcileTimer: NodeJS.Timeout | undefined
  private roundDue = false
  private active = false

  constructor (readonly options: OwnerOptions) {
    const { shard, clock, journal, state, metrics } = options
    const weights = findUpstream(options.manifest(), shard)?.weights
    this.scheduler = new Shard({ weights: weights ?? { waiting: 1, share: 1, packing: 1 } })
    const scheduler = this.scheduler
    this.fleet = new Fleet({
      ...options,
      scheduler,
      isBusy: (worker) => this.runs.runsOn(worker).length > 0 || this.requests.mayRunOn(worker),
      events: {
        onAdopted: (adopted, report) => { this.onAdopted(adopted, report) },
        onReport: (reporter, report) => this.onReport(reporter, report),
        onUnreachable: (unreachable) => { scheduler.setCondition(unreachable.id, Condition.Closed) },
        onExpired: (expired) => { this.onExpired(expired.id) },
        onStale: options.onStale
      }
    })
    const session = (worker: string): Session | undefined => this.fleet.session(worker)
    const requestRound = (): void => { this.requestRound() }
    const onSuperseded = (): void => { options.onStale(undefined) }
    this.runs = new Runs({
      scheduler,
      journal,
      state,
      clock,
      metrics,
      session,
      confirmed: options.confirmed,
      isEvacuated: (worker) => this.fleet.isEvacuated(worker),
      provisional: options.provisional,
      active: () => this.active,
      bodyOf: (taskId) => this.bodyOf(taskId),
      specHashOf: (taskId) => this.replicas.specHashOf(taskId),
      mayRetry: (taskId) => this.jobs.mayRetry(taskId),
      maxFailuresOf: (taskId) => this.jobs.maxFailuresOf(taskId),
      requeue: (taskId) => { this.requeue(taskId) },
      onFinished: (task, outcome) => { this.onTaskFinished(task, outcome) },
      onStarted: (task) => { this.onStarted(task) },
      onSuperseded,
      requestRound
    })
    this.requests = new Requests({
      epoch: options.epoch,
      scheduler,
      clock,
      metrics,
      session,
      onStarted: (task) => { this.onStarted(task) },
      onFinished: (task, succeeded) => { options.burn.onFinished(task.kind, task.team, succeeded, clock.wall()) },
      requestRound
    })
    this.jobs = new Jobs({
      scheduler,
      journal,
      state,
      runs: this.runs,
      clock,
      manifest: options.manifest,
      capacities: () => this.fleet.capacities(),
      onSuperseded,
      requestRound
    })
    this.replicas = new Replicas({
      shard,
      scheduler,
      journal,
      state,
      runs: this.runs,
      clock,
      manifest: options.manifest,
      isLeavingOrDrained: (worker) => this.fleet.isLeavingOrDrained(worker),
      requestRound
    })
    this.transfers = new Transfers({
      ...options,
      scheduler,
      unadoptedCapacity: () => this.fleet.unadoptedCapacity(),
      onChange: () => { this.refreshQuotas() }
    })
  }

  /**
   * Counts all runs of former owners against the capacity of their workers and the allotments of their teams, queues the waiting
   * tasks and starts to adopt the workers.
   */
  start (): void {
    this.active = true
    this.refreshManifest()
    this.fleet.refresh()
    this.inheritRuns()
    this.jobs.queueWaiting()
    this.reconcileTimer = setInterval(() => { this.reconcile() }, RECONCILE_INTERVAL_MS)
  }

  /** Stops scheduling and refuses new and waiting requests. Requests already at workers are still answered. */
  stop (): void {
    if (!this.active) return
    this.active = false
    clearInterval(this.reconcileTimer)
    this.requests.refuseAll(refuse(Reason.NotOwner, `The shard ${this.options.shard} has a new owner.`, 0))
    this.fleet.end(() => this.requests.size() === 0)
  }

  /** Answers a message (protocol `Request`) of this or another node. */
  async handle (message: Request): Promise<Result<unknown, Refusal>> {
    if (!this.active || !this.options.confirmed()) {
      return err(refuse(Reason.NotOwner, `This node cannot confirm that it owns the shard ${this.options.shard}.`, NOT_OWNER_RETRY_AFTER_MS))
    }
    switch (message.kind) {
      case MessageKind.Call: {
        const queue = findQueue(this.options.manifest(), message.queue)
        if (queue === undefined) return err(refuse(Reason.NoSuchQueue, `There is no queue ${message.queue}.`, UNKNOWN_QUEUE_RETRY_AFTER_MS))
        const answer = await this.requests.run(message, queue)
        if (answer.isErr()) this.countRefusal(message.queue, message.team, answer.error)
        return answer
      }
      case MessageKind.Submit: return await this.jobs.submit(message)
      case MessageKind.Status: return await this.jobs.status(message.job, message.waitMs)
      case MessageKind.Cancel: return await this.jobs.cancel(message.job)
      case MessageKind.Explain: return this.explain(message.job)
      case MessageKind.DryRun: return dryRunWork(this, message)
      case MessageKind.Survey: return ok(surveyShard(this))
      case MessageKind.Drain: return await this.drain(message.worker, message.drained)
      case MessageKind.Evacuate: return await this.evacuate(message.zone, message.evacuated)
      case MessageKind.Abandon: return ok(this.requests.abandon(message.call))
      case MessageKind.Borrow: return await this.transfers.give(message)
      case MessageKind.Transfer: return await this.transfers.receive(message)
      default: return err(refuse(Reason.Malformed, `An owner does not answer requests of kind ${message.kind}.`))
    }
  }

  /** Requests a scheduling round; several calls before it starts result in one round. */
  requestRound (): void {
    if (this.roundDue) return
    this.roundDue = true
    queueMicrotask(() => { this.runRound() })
  }

  private runRound (): void {
    this.roundDue = false
    if (!this.active || !this.options.confirmed()) return
    const round = this.scheduler.decide(this.options.clock.now(), MAX_ROUND_PLACEMENTS)
    const durable: Placement[] = []
    for (const overdue of round.expired) this.requests.refuse(overdue.task.id, overdue.refusal)
    for (const preemption of round.preemptions) this.preempt(preemption.task, preemption.checkpoint)
    for (const placement of round.placements) {
      if (placement.task.workload === Workload.Request) {
        this.requests.place(placement.task.id, placement.worker)
        continue
      }
      if (placement.task.workload === Workload.Service) this.replicas.onPlaced(placement.task.id)
      else this.jobs.onPlaced(placement.task)
      durable.push(placement)
    }
    if (durable.length > 0) this.runs.launch(durable).catch(stopProcess)
    if (round.placements.length >= MAX_ROUND_PLACEMENTS) setImmediate(() => { this.requestRound() })
  }

  private reconcile (): void {
    this.refreshManifest()
    this.fleet.refresh()
    for (const worker of this.fleet.expiredWithoutSession(this.runs.workers())) this.onExpired(worker)
    this.refreshQuotas()
    if (this.options.journal.available()) this.jobs.retryDeferred()
    this.replicas.reconcile()
    this.transfers.reconcile()
    this.requestRound()
  }

  private refreshManifest (): void {
    const manifest = this.options.manifest()
    if (manifest === this.manifest) return
    this.manifest = manifest
    this.options.burn.setObjectives(manifest.objectives)
    for (const queue of manifest.queues) {
      if (queue.upstream === this.options.shard && queue.workload === Workload.Request) {
        this.scheduler.setQueueCapacity(queue.name, queue.capacity)
      }
    }
    this.refreshQuotas()
  }

  private refreshQuotas (): void {
    this.scheduler.setQuotas(this.transfers.quotas())
  }

  private onAdopted (session: Session, report: WorkerReport): void {
    this.options.metrics.count('worker.adopted')
    this.refreshQuotas()
    this.runs.onAdopted(session, report)
    this.requests.onAdopted(session, report)
    for (const task of report.tasks) this.onReport(session, task)
    this.fleet.refreshCondition(session)
    this.requestRound()
  }

  private onReport (session: Session, report: TaskReport): boolean {
    if (report.attempt > 0) return this.runs.onReport(session, report)
    this.requests.onReport(session, report)
    return true
  }

  private onExpired (worker: string): void {
    this.options.metrics.count('worker.lapsed')
    this.refreshQuotas()
    this.runs.onExpired(worker)
    this.requests.onExpired(worker)
  }

  /** Takes over every run that a former owner recorded, before new tasks are placed. */
  private inheritRuns (): void {
    for (const job of this.options.state.jobs.values()) {
      for (const record of job.tasks) {
        if (record.stage === Stage.Dispatched) this.runs.inherit(this.jobs.createTask(job, record.id), record, job.cancelled)
      }
    }
    for (const record of this.options.state.replicas.values()) {
      const service = this.replicas.serviceOf(record.id)
      if (record.stage !== Stage.Dispatched) continue
      this.runs.inherit(
        service === undefined ? createUndeclaredReplica(record.id) : this.replicas.createTask(record.id, service),
        record
      )
    }
  }

  private requeue (taskId: string): void {
    if (!this.active) return
    if (!this.replicas.isReplica(taskId)) this.jobs.requeue(taskId)
  }

  private onTaskFinished (task: Task, outcome: RunOutcome): void {
    if (this.replicas.isReplica(task.id)) return
    if (outcome !== RunOutcome.Cancelled) {
      this.options.burn.onFinished(task.kind, task.team, outcome === RunOutcome.Succeeded, this.options.clock.wall())
    }
    this.jobs.onFinished(task.id)
  }

  private onStarted (task: Task): void {
    const waitedMs = this.options.clock.now() - task.submittedMs
    this.options.metrics.timing(`wait.${task.kind}`, waitedMs)
    this.options.burn.onStarted(task.kind, task.team, waitedMs, this.options.clock.wall())
  }

  private countRefusal (queue: string, team: string, refusal: Refusal): void {
    this.options.burn.onRefused(queue, team, refusal.reason, this.options.clock.wall())
  }

  private preempt (taskId: string, checkpoint: boolean): void {
    if (!this.replicas.isReplica(taskId) && !this.jobs.mayRetry(taskId)) return
    this.options.metrics.count('run.preempted')
    this.runs.stop(taskId, checkpoint)
  }

  private bodyOf (taskId: string): unknown {
    if (this.replicas.isReplica(taskId)) return this.replicas.serviceOf(taskId)?.body
    return this.jobs.bodyOf(taskId)
  }

  private explain (id: string): Result<unknown, Refusal> {
    const job = this.options.state.jobs.get(id)
    if (job === undefined) return err(refuse(Reason.NoSuchJob, `There is no job ${id}.`))
    const waiting = job.tasks.find((task) => task.stage === Stage.Waiting)
    if (waiting === undefined) return ok({ job: id, obstacle: Obstacle.None, detail: 'No task of the job is waiting.', remedy: '' })
    const explanation = this.scheduler.explain(waiting.id, this.options.clock.now())
    const evacuated = [...this.options.state.evacuated]
    const lacksWorkers = explanation.obstacle === Obstacle.Workers || explanation.obstacle === Obstacle.Capacity
    if (evacuated.length === 0 || !lacksWorkers) return ok({ job: id, ...explanation })
    const detail = `${explanation.detail} Workers are left out while their zone is being evacuated: ${evacuated.join(', ')}.`
    return ok({ job: id, ...explanation, detail })
  }

  private async drain (worker: string, drained: boolean): Promise<Result<unknown, Refusal>> {
    if (this.fleet.session(worker) === undefined) {
      return err(refuse(Reason.BadRequest, `The shard ${this.options.shard} has no worker ${worker}.`))
    }
    const written = await this.writeOperation({ kind: ChangeKind.Drained, worker, drained }, 'The drain')
    return written.map(() => ({ shard: this.options.shard, worker, drained }))
  }

  /** Places nothing more on the workers of an availability zone, or uses them again. What runs there is left to end. */
  private async evacuate (zone: string, evacuated: boolean): Promise<Result<unknown, Refusal>> {
    const written = await this.writeOperation({ kind: ChangeKind.Evacuated, zone, evacuated }, 'The evacuation')
    return written.map(() => ({ shard: this.options.shard, zone, evacuated }))
  }

  /** Writes an operator's change of the workers that may get new tasks. */
  private async writeOperation (change: Drained | Evacuated, subject: string): Promise<Result<void, Refusal>> {
    const written = await this.options.journal.commit(change, DRAIN_COMMIT_TIMEOUT_MS)
    if (written.isErr()) {
      if (written.error.failure === JournalFailure.Superseded) this.options.onStale(undefined)
      return err(refusalOf(written.error, subject))
    }
    this.fleet.refresh()
    return ok()
  }
}

/** Describes a replica of a service that is no longer declared. It is stopped as soon as its worker is adopted. */
function createUndeclaredReplica (id: string): Task {
  return {
    id,
    team: '',
    // Only a key of the scheduler's statistics: the replica has no queue or service, and its kind is not reported.
    kind: 'orphan',
    workload: Workload.Service,
    urgency: Urgency.Normal,
    size: { cpuMilli: 0, memoryMb: 0, accelerators: 0 },
    runtimeMs: Infinity,
    submittedMs: 0,
    checkpoint: false
  }
}
