/**
 * The owner of a shard under one epoch: adopts the workers, decides every placement, answers every request.
 */
import type { Clock } from '@fireflymount/platform/clock'
import type { Vm } from '@fireflymount/platform/machines'
import type { TaskReport, Worker, WorkerReport } from '@fireflymount/platform/worker'
import { findQueue, findUpstream } from '@fireflymount/manifest/lookup'
import type { Manifest } from '@fireflymount/manifest/manifest'
import type { Timing } from '@fireflymount/manifest/settings'
import { Shard } from '@fireflymount/policy/shard'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import { Condition, Obstacle, type Placement, type Task } from '@fireflymount/policy/task'
import type { Epoch } from '@fireflymount/protocol/epoch'
import { Kind, type Request } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { err, ok, type Result } from 'neverthrow'
import type { Metrics } from '../counters.js'
import type { Members } from '../membership/members.js'
import type { Allotments } from './allotments.js'
import type { BurnCounts } from './burn.js'
import { Calls } from './calls.js'
import { ChangeKind, Outcome } from './change.js'
import { Fleet } from './fleet.js'
import { Jobs } from './jobs.js'
import type { Ledger } from './ledger.js'
import { Lending } from './lending.js'
import { Replicas } from './replicas.js'
import { Runs } from './runs.js'
import type { Session } from './session.js'
import { Stage, type ShardState } from './state.js'
import { surveyShard } from './survey.js'
import type { Router } from '../peer/router.js'
import { stopProcess } from '../invariant.js'

/** Placements decided in one go, before other work of the process gets a turn. */
const ROUND_PLACEMENTS = 64
/** Time between two rounds of upkeep: services, allotments, parked tasks, deadlines. */
const UPKEEP_MS = 100
/** Longest wait for a drain to be written. */
const DRAIN_PATIENCE_MS = 2000

/** What an owner is built from. */
export interface OwnerParts {
  readonly shard: string
  readonly node: string
  readonly epoch: Epoch
  readonly journal: Ledger
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
  /** The claim is not in the log: the owner took over while the log is away. */
  readonly provisional: boolean
  /** True while this owner may act. */
  readonly confirmed: () => boolean
  /** Clock time after which former owners' leases have certainly lapsed; undefined while that is unknown. */
  readonly inheritedLapseMs: () => number | undefined
  /** A worker or the journal knows a newer owner. */
  readonly onStale: (epoch: Epoch | undefined) => void
}

/** One period of ownership. */
export class Owner {
  readonly scheduler: Scheduler
  readonly runs: Runs
  readonly calls: Calls
  readonly jobs: Jobs
  readonly replicas: Replicas
  readonly fleet: Fleet
  private readonly lending: Lending
  private manifest: Manifest | undefined
  private upkeep: NodeJS.Timeout | undefined
  private roundDue = false
  private active = false

  constructor (readonly parts: OwnerParts) {
    const { shard, clock, journal, state, metrics } = parts
    const weights = findUpstream(parts.manifest(), shard)?.weights
    this.scheduler = new Shard({ weights: weights ?? { waiting: 1, share: 1, packing: 1 } })
    const scheduler = this.scheduler
    this.fleet = new Fleet({
      ...parts,
      scheduler,
      isBusy: (worker) => this.runs.on(worker).length > 0 || this.calls.isOn(worker),
      events: {
        onAdopted: (adopted, report) => { this.onAdopted(adopted, report) },
        onReport: (reporter, report) => this.onReport(reporter, report),
        onSilent: (silent) => { scheduler.setCondition(silent.id, Condition.Closed) },
        onLapsed: (lapsed) => { this.onLapsed(lapsed.id) },
        onStale: parts.onStale
      }
    })
    const session = (worker: string): Session | undefined => this.fleet.session(worker)
    const onRoom = (): void => { this.requestRound() }
    const onSuperseded = (): void => { parts.onStale(undefined) }
    this.runs = new Runs({
      scheduler,
      journal,
      state,
      clock,
      metrics,
      session,
      confirmed: parts.confirmed,
      provisional: parts.provisional,
      active: () => this.active,
      bodyOf: (task) => this.bodyOf(task),
      specOf: (task) => this.replicas.specOf(task),
      mayRepeat: (task) => this.jobs.mayRepeat(task),
      attemptsOf: (task) => this.jobs.attemptsOf(task),
      requeue: (task) => { this.requeue(task) },
      onOver: (task, outcome) => { this.onRunOver(task, outcome) },
      onStarted: (task) => { this.onStarted(task) },
      onSuperseded,
      onRoom
    })
    this.calls = new Calls({
      epoch: parts.epoch,
      scheduler,
      clock,
      metrics,
      session,
      onStarted: (task) => { this.onStarted(task) },
      onOver: (task, succeeded) => { parts.burn.onOver(task.kind, task.team, succeeded, clock.wall()) },
      onRoom
    })
    this.jobs = new Jobs({
      scheduler,
      journal,
      state,
      runs: this.runs,
      clock,
      manifest: parts.manifest,
      capacities: () => this.fleet.capacities(),
      onSuperseded,
      onRoom
    })
    this.replicas = new Replicas({
      shard,
      scheduler,
      journal,
      state,
      runs: this.runs,
      clock,
      manifest: parts.manifest,
      isLeaving: (worker) => this.fleet.isClosed(worker),
      onRoom
    })
    this.lending = new Lending({
      ...parts,
      scheduler,
      uncertain: () => this.fleet.uncertain(),
      onChange: () => { this.refreshClaims() }
    })
  }

  /** Charges what may run, queues what waits, and adopts the workers. */
  start (): void {
    this.active = true
    this.refreshManifest()
    this.fleet.refresh()
    this.inheritRuns()
    this.jobs.resume()
    this.upkeep = setInterval(() => { this.keepUp() }, UPKEEP_MS)
  }

  /** Stops deciding and answering. Requests that are at workers are answered when they end. */
  stop (): void {
    if (!this.active) return
    this.active = false
    clearInterval(this.upkeep)
    this.calls.refuseAll(refuse(Reason.NotOwner, `The shard ${this.parts.shard} has a new owner.`, 0))
    this.fleet.end(() => this.calls.size() === 0)
  }

  /** Answers a request of another node. */
  async handle (request: Request): Promise<Result<unknown, Refusal>> {
    if (!this.active || !this.parts.confirmed()) {
      return err(refuse(Reason.NotOwner, `This node cannot confirm that it owns ${this.parts.shard}.`, 500))
    }
    switch (request.kind) {
      case Kind.Call: {
        const queue = findQueue(this.parts.manifest(), request.queue)
        if (queue === undefined) return err(refuse(Reason.NoSuchQueue, `There is no queue ${request.queue}.`, 500))
        const answer = await this.calls.run(request, queue)
        if (answer.isErr()) this.noteRefusal(request.queue, request.team, answer.error)
        return answer
      }
      case Kind.Submit: return await this.jobs.submit(request)
      case Kind.Status: return await this.jobs.status(request.job, request.waitMs)
      case Kind.Cancel: return await this.jobs.cancel(request.job)
      case Kind.Explain: return this.explain(request.job)
      case Kind.Survey: return ok(surveyShard(this))
      case Kind.Drain: return await this.drain(request.worker, request.drained)
      case Kind.Abandon: return ok(this.calls.abandon(request.call))
      case Kind.Borrow: return await this.lending.lend(request)
      case Kind.Transfer: return await this.lending.take(request)
      default: return err(refuse(Reason.Malformed, `An owner does not answer requests of kind ${request.kind}.`))
    }
  }

  /** Decides soon; several asks in a row make one round. */
  requestRound (): void {
    if (this.roundDue) return
    this.roundDue = true
    queueMicrotask(() => { this.runRound() })
  }

  private runRound (): void {
    this.roundDue = false
    if (!this.active || !this.parts.confirmed()) return
    const round = this.scheduler.decide(this.parts.clock.now(), ROUND_PLACEMENTS)
    const durable: Placement[] = []
    for (const expiry of round.expired) this.calls.refuse(expiry.task.id, expiry.refusal)
    for (const preemption of round.preemptions) this.preempt(preemption.task, preemption.checkpoint)
    for (const placement of round.placements) {
      if (placement.task.workload === Workload.Request) {
        this.calls.place(placement.task.id, placement.worker)
        continue
      }
      if (placement.task.workload === Workload.Service) this.replicas.onPlaced(placement.task.id)
      else this.jobs.onPlaced(placement.task)
      durable.push(placement)
    }
    if (durable.length > 0) this.runs.launch(durable).catch(stopProcess)
    if (round.placements.length >= ROUND_PLACEMENTS) setImmediate(() => { this.requestRound() })
  }

  private keepUp (): void {
    this.refreshManifest()
    this.fleet.refresh()
    for (const worker of this.fleet.unlisted(this.runs.workers())) this.onLapsed(worker)
    this.refreshClaims()
    if (this.parts.journal.available()) this.jobs.unpark()
    this.replicas.reconcile()
    this.lending.keepUp()
    this.requestRound()
  }

  private refreshManifest (): void {
    const manifest = this.parts.manifest()
    if (manifest === this.manifest) return
    this.manifest = manifest
    this.parts.burn.setObjectives(manifest.objectives)
    for (const queue of manifest.queues) {
      if (queue.upstream === this.parts.shard && queue.workload === Workload.Request) {
        this.scheduler.setCapacity(queue.name, queue.capacity)
      }
    }
    this.refreshClaims()
  }

  private refreshClaims (): void {
    this.scheduler.setClaims(this.lending.claims())
  }

  private onAdopted (session: Session, report: WorkerReport): void {
    this.parts.metrics.count('worker.adopted')
    this.refreshClaims()
    this.runs.onAdopted(session, report)
    this.calls.onAdopted(session, report)
    for (const task of report.tasks) this.onReport(session, task)
    this.fleet.refreshCondition(session)
    this.requestRound()
  }

  private onReport (session: Session, report: TaskReport): boolean {
    if (report.attempt > 0) return this.runs.onReport(session, report)
    this.calls.onReport(session, report)
    return true
  }

  private onLapsed (worker: string): void {
    this.parts.metrics.count('worker.lapsed')
    this.refreshClaims()
    this.runs.onLapsed(worker)
    this.calls.onLapsed(worker)
  }

  /** Charges every run that a former owner wrote, before anything new is placed. */
  private inheritRuns (): void {
    for (const job of this.parts.state.jobs.values()) {
      for (const record of job.tasks) {
        if (record.stage === Stage.Out) this.runs.inherit(this.jobs.createTask(job, record.id), record)
      }
    }
    for (const record of this.parts.state.replicas.values()) {
      const service = this.replicas.serviceOf(record.id)
      if (record.stage !== Stage.Out) continue
      this.runs.inherit(service === undefined ? createOrphan(record.id) : this.replicas.createTask(record.id, service), record)
    }
  }

  private requeue (task: string): void {
    if (!this.active) return
    if (!this.replicas.owns(task)) this.jobs.requeue(task)
  }

  private onRunOver (task: Task, outcome: Outcome): void {
    if (this.replicas.owns(task.id)) return
    if (outcome !== Outcome.Cancelled) {
      this.parts.burn.onOver(task.kind, task.team, outcome === Outcome.Succeeded, this.parts.clock.wall())
    }
    this.jobs.onOver(task.id)
  }

  private onStarted (task: Task): void {
    const waitedMs = this.parts.clock.now() - task.submittedMs
    this.parts.metrics.timing(`wait.${task.kind}`, waitedMs)
    this.parts.burn.onStarted(task.kind, task.team, waitedMs, this.parts.clock.wall())
  }

  private noteRefusal (queue: string, team: string, refusal: Refusal): void {
    this.parts.burn.onRefused(queue, team, refusal.reason, this.parts.clock.wall())
  }

  private preempt (task: string, checkpoint: boolean): void {
    if (!this.replicas.owns(task) && !this.jobs.mayRepeat(task)) return
    this.parts.metrics.count('run.preempted')
    this.runs.stop(task, checkpoint)
  }

  private bodyOf (task: string): unknown {
    if (this.replicas.owns(task)) return this.replicas.serviceOf(task)?.body
    return this.jobs.bodyOf(task)
  }

  private explain (id: string): Result<unknown, Refusal> {
    const job = this.parts.state.jobs.get(id)
    if (job === undefined) return err(refuse(Reason.NoSuchJob, `There is no job ${id}.`))
    const waiting = job.tasks.find((task) => task.stage === Stage.Waiting)
    if (waiting === undefined) return ok({ job: id, obstacle: Obstacle.None, detail: 'No task of the job waits.', remedy: '' })
    return ok({ job: id, ...this.scheduler.explain(waiting.id, this.parts.clock.now()) })
  }

  private async drain (worker: string, drained: boolean): Promise<Result<unknown, Refusal>> {
    if (this.fleet.session(worker) === undefined) return err(refuse(Reason.BadRequest, `The shard ${this.parts.shard} has no worker ${worker}.`))
    const written = await this.parts.journal.commit({ kind: ChangeKind.Drained, worker, drained }, DRAIN_PATIENCE_MS)
    if (written.isErr()) return err(refuse(Reason.LogUnavailable, 'The drain was not written: the log is away.', 5000))
    this.fleet.refresh()
    return ok({ shard: this.parts.shard, worker, drained })
  }
}

/** A replica of a service that is no longer declared. It is stopped as soon as its worker is adopted. */
function createOrphan (id: string): Task {
  return {
    id,
    team: '',
    kind: 'orphan',
    workload: Workload.Service,
    urgency: Urgency.Normal,
    size: { cpuMilli: 0, memoryMb: 0, accelerators: 0 },
    runtimeMs: Infinity,
    submittedMs: 0,
    checkpoint: false
  }
}
