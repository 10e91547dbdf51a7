/**
 * Simulated workers that all nodes of a cluster call, and a client for them whose calls cost its node processor time.
 */
import { err, ok, type Result } from 'neverthrow'
import { RunOutcome, type ActiveRun, type EndedRun, type Report, type Worker } from '../../src/model/worker.js'
import { Fleet, WorkerFailure, type ReportCommand, type RunCommand, type StartCommand } from '../../src/ports/fleet.js'
import { createWorker } from '../fakes.js'
import type { Processor } from './processor.js'

/** Payload of tasks that run until they are stopped. Any other payload is the duration of a task in milliseconds. */
export const LASTING = 'lasting'
const STOP_MS = 20
/** Time after which a call over a cut link fails. */
const CUT_LINK_TIMEOUT_MS = 900

/** One worker: fences commands, runs tasks for the time in their payload, and lists ends until they are acknowledged. */
class SimulatedWorker {
  private readonly running = new Map<string, ActiveRun>()
  private ended: EndedRun[] = []
  private position = 0
  private fence = 0
  private wake: Array<() => void> = []
  /** Names of the tasks that were started, once for each start. */
  readonly started: string[] = []

  constructor (readonly entry: Worker) {}

  isFenced (fence: number): boolean {
    if (fence < this.fence) return true
    this.fence = fence
    return false
  }

  start ({ task, run, payload }: StartCommand): void {
    this.started.push(task)
    this.running.set(task, { task, run, checkpoint: '', progress: 100, load: 0 })
    if (payload !== LASTING) setTimeout(() => { this.end(task, run, RunOutcome.Done) }, Number(payload))
  }

  stop ({ task, run }: RunCommand): void {
    setTimeout(() => { this.end(task, run, RunOutcome.Stopped) }, STOP_MS)
  }

  async report ({ acknowledged, waitMs }: ReportCommand): Promise<Report> {
    this.ended = this.ended.filter((end) => end.position > acknowledged)
    if (this.ended.length === 0 && waitMs > 0) {
      await new Promise<void>((resolve) => {
        this.wake.push(resolve)
        setTimeout(resolve, waitMs)
      })
    }
    return { born: this.entry.born, clockMs: clockMs(), running: [...this.running.values()], ended: [...this.ended] }
  }

  tasks (): string[] {
    return [...this.running.keys()]
  }

  private end (task: string, run: number, ending: RunOutcome): void {
    if (this.running.get(task)?.run !== run) return
    this.running.delete(task)
    this.ended.push({ position: ++this.position, task, run, ending, checkpoint: '' })
    const { wake } = this
    this.wake = []
    for (const resolve of wake) resolve()
  }
}

/** All workers of a cluster. */
export class SimulatedWorkers {
  private readonly workers = new Map<string, SimulatedWorker>()
  /** Number of calls by the node that made them. */
  readonly callsByNode = new Map<string, number>()
  /** Links that carry nothing, as the name of a node and the id of a worker. */
  private readonly cuts = new Set<string>()
  /** Whether starts are neither carried out nor answered. */
  losesStarts = false

  constructor (count: number) {
    for (let index = 0; index < count; index++) {
      const id = `w${index}`
      this.workers.set(id, new SimulatedWorker(createWorker({
        id, address: `10.0.0.${index}:80`, zone: index % 2 === 0 ? 'east' : 'west', labels: ['a', `r${index % 8}`]
      })))
    }
  }

  entries (): Worker[] {
    return [...this.workers.values()].map((worker) => worker.entry)
  }

  /** Cuts the link between a node and a worker. */
  cut (node: string, worker: string): void {
    this.cuts.add(`${node} ${worker}`)
  }

  isCut (node: string, worker: string): boolean {
    return this.cuts.has(`${node} ${worker}`)
  }

  find (id: string): SimulatedWorker | undefined {
    return this.workers.get(id)
  }

  /** Number of tasks of a job that are running. */
  countRunning (job: string): number {
    let count = 0
    for (const worker of this.workers.values()) count += worker.tasks().filter((task) => task.startsWith(job)).length
    return count
  }

  /** Number of tasks of a job that were started at least once. */
  countStarted (job: string): number {
    const tasks = new Set<string>()
    for (const worker of this.workers.values()) {
      for (const task of worker.started) if (task.startsWith(job)) tasks.add(task)
    }
    return tasks.size
  }

  /** Number of starts in an availability zone. */
  countStartsIn (zone: string): number {
    let count = 0
    for (const worker of this.workers.values()) if (worker.entry.zone === zone) count += worker.started.length
    return count
  }

  /** Number of starts of a job's tasks. */
  countStarts (job: string): number {
    let count = 0
    for (const worker of this.workers.values()) count += worker.started.filter((task) => task.startsWith(job)).length
    return count
  }
}

/** One node's client. Each call costs the node's processor time, before it is sent. */
export class ProcessorBoundFleet extends Fleet {
  override readonly maxReportedEnds = Infinity
  constructor (
    private readonly workers: SimulatedWorkers, private readonly node: string, private readonly processor: Processor
  ) {
    super()
  }

  override async start (worker: Worker, command: StartCommand): Promise<Result<number, WorkerFailure>> {
    if (this.workers.losesStarts) return err(WorkerFailure.NoAnswer)
    return await this.call(worker, command.fence, (target) => { target.start(command) })
  }

  override async stop (worker: Worker, command: RunCommand): Promise<Result<number, WorkerFailure>> {
    return await this.call(worker, command.fence, (target) => { target.stop(command) })
  }

  override async throttle (worker: Worker, command: RunCommand): Promise<Result<number, WorkerFailure>> {
    return await this.call(worker, command.fence, () => {})
  }

  override async requestReport (worker: Worker, command: ReportCommand): Promise<Result<Report, WorkerFailure>> {
    const target = await this.reach(worker, command.fence)
    if (target.isErr()) return err(target.error)
    const report = await target.value.report(command)
    return this.workers.isCut(this.node, worker.id) ? err(WorkerFailure.NoAnswer) : ok(report)
  }

  override closeConnections (): void {}

  private async call (
    worker: Worker, fence: number, action: (target: SimulatedWorker) => void
  ): Promise<Result<number, WorkerFailure>> {
    const target = await this.reach(worker, fence)
    if (target.isErr()) return err(target.error)
    action(target.value)
    return ok(clockMs())
  }

  private async reach (worker: Worker, fence: number): Promise<Result<SimulatedWorker, WorkerFailure>> {
    await this.processor.use()
    this.workers.callsByNode.set(this.node, (this.workers.callsByNode.get(this.node) ?? 0) + 1)
    if (this.workers.isCut(this.node, worker.id)) {
      await new Promise((resolve) => setTimeout(resolve, CUT_LINK_TIMEOUT_MS))
      return err(WorkerFailure.NoAnswer)
    }
    const target = this.workers.find(worker.id)
    if (target === undefined) return err(WorkerFailure.NoAnswer)
    return target.isFenced(fence) ? err(WorkerFailure.Fenced) : ok(target)
  }
}

function clockMs (): number {
  return Math.floor(performance.now())
}
