/**
 * One shard with its log, a worker and successive owners, for tests of what a successor can read.
 */
import { err, ok, type Result } from 'neverthrow'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { JournalFailure, type JournalError } from '@fireflymount/service-clients/journal'
import { VmRole, VmState, type Vm } from '@fireflymount/service-clients/vm-list'
import {
  TaskState, Worker, WorkerFailure, type Adoption, type TaskReport, type TaskStart, type WorkerError, type WorkerReport
} from '@fireflymount/service-clients/worker'
import { EMPTY_MANIFEST, type Manifest, type Service } from '@fireflymount/manifest/manifest'
import { DEFAULT_TIMING } from '@fireflymount/manifest/settings-codec'
import { compareEpochs, NO_EPOCH, type Epoch } from '@fireflymount/protocol/epoch'
import { MessageKind, type Job, type Request } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { Workload } from '@fireflymount/protocol/workload'
import type { Members } from '../../src/membership/members.js'
import { Allotments } from '../../src/owner/allotments.js'
import { BurnCounts } from '../../src/owner/burn.js'
import { Owner } from '../../src/owner/owner.js'
import { ShardState } from '../../src/owner/state.js'
import type { Router } from '../../src/peer/router.js'
import { createQueue, FakeMetrics } from '../entry-fakes.js'

const SHARD = 'cloth-studio'
export const JOB = `${SHARD}.a`
const SIZE = { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 }
const VM: Vm = {
  id: 'w1', role: VmRole.Worker, state: VmState.Live, address: '', zone: 'z', rack: 'r', resources: SIZE, slots: 1, upstream: SHARD
}
const MANIFEST: Manifest = {
  ...EMPTY_MANIFEST,
  upstreams: [{ name: SHARD, zones: ['z'], weights: { waiting: 1, share: 1, packing: 1 } }],
  teams: [{ name: 'guild', workspace: 'hakata', share: 1, upperLimit: {} }],
  queues: [createQueue({ name: 'render', upstream: SHARD, workload: Workload.Batch, size: SIZE, idempotent: false, attempts: 1 })]
}
const IDEMPOTENT: Manifest = { ...MANIFEST, queues: MANIFEST.queues.map((queue) => ({ ...queue, idempotent: true })) }
const SERVICE: Service = { name: 'shop', upstream: SHARD, team: 'guild', replicas: 1, size: SIZE, body: {} }
const WITH_SERVICE: Manifest = { ...MANIFEST, services: [SERVICE] }
export const REPLICA = 'service:shop/0'
const WRITE_MS = 10

/** A worker whose tasks run until they are stopped or a test ends them. */
export class TestWorker extends Worker {
  /** Whether commands to start or stop tasks reach the worker. */
  reachable = true
  /** While set, start commands get no answer, and are carried out when a test calls them. */
  lateStarts: Array<() => void> | undefined
  /** Number of adoptions that were carried out. */
  adoptions = 0
  /** Answers to adoptions are sent once this is settled. */
  heldAnswers: Promise<void> | undefined
  readonly started: string[] = []
  readonly reports = new Map<string, TaskReport>()
  private epoch: Epoch = NO_EPOCH
  private boot = 'b1'
  /** Runs whose start command was carried out: repeating it has no further effect. */
  private readonly keys = new Set<string>()

  /** Loses all runs, reports and the epoch. */
  restart (): void {
    this.boot += "'"
    this.epoch = NO_EPOCH
    this.reports.clear()
    this.keys.clear()
  }

  async adopt (epoch: Epoch): Promise<Result<WorkerReport, WorkerError>> {
    if (compareEpochs(epoch, this.epoch) >= 0) this.epoch = epoch
    const report = this.check(epoch).map(() => this.report())
    this.adoptions++
    await this.heldAnswers
    return report
  }

  start (adoption: Adoption, { id, attempt, team, kind, size }: TaskStart): Promise<Result<void, WorkerError>> {
    const effect = (): void => {
      if (this.keys.has(`${id}/${attempt}`)) return
      this.keys.add(`${id}/${attempt}`)
      this.started.push(id)
      this.reports.set(`${id}/${attempt}`, { id, attempt, team, kind, size, state: TaskState.Running, runtimeMs: 1 })
    }
    if (this.lateStarts === undefined) return Promise.resolve(this.command(adoption, effect))
    this.lateStarts.push(() => { this.command(adoption, effect) })
    return Promise.resolve(err({ failure: WorkerFailure.Unknown, detail: '' }))
  }

  stop (adoption: Adoption, task: string, attempt: number): Promise<Result<void, WorkerError>> {
    return Promise.resolve(this.command(adoption, () => { this.end(task, TaskState.Stopped, attempt) }))
  }

  /** Ends the runs of a task, or only that of one attempt. */
  end (task: string, state: TaskState, attempt?: number): void {
    for (const [key, report] of this.reports) {
      if (report.id !== task || report.state !== TaskState.Running) continue
      if (attempt === undefined || report.attempt === attempt) this.reports.set(key, { ...report, state })
    }
  }

  async renew (
    { epoch, boot }: Adoption, _: number, acknowledged: readonly string[]
  ): Promise<Result<WorkerReport, WorkerError>> {
    await sleep(WRITE_MS)
    if (boot !== this.boot) return ok({ ...this.report(), tasks: [] })
    const check = this.check(epoch)
    if (check.isErr()) return err(check.error)
    for (const key of acknowledged) this.reports.delete(key)
    return this.check(epoch).map(() => {
      const report = this.report()
      return { ...report, tasks: report.tasks.filter(({ state }) => state !== TaskState.Running) }
    })
  }

  throttle (): Promise<Result<void, WorkerError>> { return Promise.resolve(ok(undefined)) }
  request (): Promise<Result<unknown, WorkerError>> { return Promise.resolve(ok(null)) }
  close (): Promise<void> { return Promise.resolve() }

  private command ({ epoch, boot }: Adoption, effect: () => void): Result<void, WorkerError> {
    const check = this.check(epoch)
    if (check.isErr()) return check
    if (boot !== this.boot) return err({ failure: WorkerFailure.Refused, detail: '' })
    if (!this.reachable) return err({ failure: WorkerFailure.Unreachable, detail: '' })
    effect()
    return ok(undefined)
  }

  private check (epoch: Epoch): Result<void, WorkerError> {
    if (compareEpochs(epoch, this.epoch) === 0) return ok(undefined)
    return err({ failure: WorkerFailure.StaleEpoch, detail: '', epoch: this.epoch })
  }

  private report (): WorkerReport {
    return { boot: this.boot, clockMs: performance.now(), tasks: [...this.reports.values()] }
  }
}

/** The shard. Every owner starts with what the log holds. */
export class SuccessiveOwners {
  readonly worker = new TestWorker()
  /** The changes in the log. */
  readonly log: unknown[] = []
  /** Whether the worker's VM is in the list; if not, it counts as terminated. */
  listed = true
  declaresService = false
  /** Whether jobs that are submitted from now on may run again after a run that had started. */
  idempotent = false
  /** Time that a write to the log takes. */
  writeMs = WRITE_MS
  /** Whether the log refuses changes. */
  refuses = false
  /** While set, the failure of all writes. */
  failure: JournalFailure | undefined
  state: ShardState
  owner: Owner
  private epoch = 0

  constructor () {
    this.state = new ShardState()
    this.owner = this.startOwner()
  }

  async ask (request: Request): Promise<Result<Job, Refusal>> {
    return (await this.owner.handle(request)).map((job) => job as Job)
  }

  async submit (): Promise<void> {
    const accepted = await this.ask({
      kind: MessageKind.Submit, job: JOB, queue: 'render', team: 'guild', digest: 'd', tasks: 1, body: {}
    })
    accepted._unsafeUnwrap()
  }

  async cancel (): Promise<void> {
    (await this.ask({ kind: MessageKind.Cancel, job: JOB }))._unsafeUnwrap()
  }

  async jobState (): Promise<string> {
    return (await this.ask({ kind: MessageKind.Status, job: JOB, waitMs: 0 }))._unsafeUnwrap().state
  }

  /** Ends the owner without a further write, and lets a successor take over what the log holds. */
  takeOver (): void {
    this.owner.stop()
    this.refuses = false
    this.worker.reachable = true
    this.state = new ShardState()
    for (const change of this.log) this.state.apply(change)
    this.owner = this.startOwner()
  }

  private async commit (state: ShardState, change: unknown): Promise<Result<void, JournalError>> {
    await sleep(this.writeMs)
    if (state !== this.state) return err({ failure: JournalFailure.Superseded, detail: '' })
    if (this.failure !== undefined) return err({ failure: this.failure, detail: '' })
    if (this.refuses) return err({ failure: JournalFailure.Unavailable, detail: '' })
    const copy: unknown = JSON.parse(JSON.stringify(change))
    this.log.push(copy)
    state.apply(copy)
    return ok(undefined)
  }

  private manifest (): Manifest {
    if (this.idempotent) return IDEMPOTENT
    return this.declaresService ? WITH_SERVICE : MANIFEST
  }

  private startOwner (): Owner {
    const { state } = this
    const clock = new SystemClock()
    const allotments = new Allotments(SHARD)
    allotments.setManifest(MANIFEST, clock.now())
    const owner: Owner = new Owner({
      shard: SHARD,
      node: 'n1',
      epoch: { counter: ++this.epoch, node: 'n1' },
      journal: { available: () => !this.refuses, commit: (change) => this.commit(state, change) },
      state,
      allotments,
      burn: new BurnCounts('n1', clock.wall()),
      members: {
        workers: () => this.listed ? [VM] : [], vm: () => this.listed ? VM : undefined, isTerminated: () => !this.listed
      } as unknown as Members,
      router: { askOwner: async () => err(refuse(Reason.NotOwner, '')) } as unknown as Router,
      manifest: () => this.manifest(),
      connect: () => this.worker,
      clock,
      timing: { ...DEFAULT_TIMING, renewMs: 20 },
      metrics: new FakeMetrics(),
      provisional: false,
      confirmed: () => this.owner === undefined || this.owner === owner,
      inheritedExpiryMs: () => undefined,
      onStale: () => {}
    })
    owner.start()
    return owner
  }
}

export async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
