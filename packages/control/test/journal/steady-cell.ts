/**
 * An owner whose workers run every task to its end, and the journal that it writes.
 */
import { err, ok, type Result } from 'neverthrow'
import { vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { encodeJob } from '../../src/journal/record.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Configuration } from '../../src/model/configuration.js'
import { isFinal, type Step } from '../../src/model/job.js'
import { RunOutcome, type ActiveRun, type EndedRun, type Report, type Worker } from '../../src/model/worker.js'
import { epochAfter } from '../../src/owner/fence.js'
import { Owner } from '../../src/owner/owner.js'
import { AdviceFailure } from '../../src/ports/advisor.js'
import { Fleet, type ReportCommand, type StartCommand, type WorkerFailure } from '../../src/ports/fleet.js'
import { StoreFailure, Topic, type StoredRecord } from '../../src/ports/store.js'
import { SilentLog } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'
import { ALL_ZONES, FakeStore, NoMachines, PlainFormats, createJob, createQueue, createWorker } from '../fakes.js'

const CONFIGURATION: Configuration = {
  version: 1,
  queues: [createQueue({ stretch: 100, targetMs: 100_000 })],
  upstreams: [{ name: 'planner', checksRoom: false, spare: false }],
  workspaces: [],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}
const WORKERS = 40
const PAYLOAD = 'x'.repeat(400)
const SUBMIT_INTERVAL_MS = 28
const MIN_TASK_MS = 400
/** The durations of the tasks are spread over this time, so that few of them end together. */
const TASK_SPREAD_MS = 600
const REPORT_INTERVAL_MS = 5
const MAX_SECONDS = 60

/** A worker that runs each task for a time that depends on the name of the task, and lists ends until they are acknowledged. */
class SteadyWorker {
  readonly running = new Map<string, ActiveRun>()
  ended: EndedRun[] = []
  private position = 0

  constructor (readonly entry: Worker) {}

  start ({ task, run }: StartCommand): void {
    this.running.set(task, { task, run, checkpoint: '', progress: 100, load: 0 })
    setTimeout(() => {
      this.running.delete(task)
      this.ended.push({ position: ++this.position, task, run, ending: RunOutcome.Done, checkpoint: '' })
    }, durationMsOf(task))
  }
}

/** Delivers starts at once, and reports as soon as a run has ended. */
class SteadyFleet extends Fleet {
  override readonly maxReportedEnds = Infinity
  readonly workers = new Map<string, SteadyWorker>()

  override async start (worker: Worker, command: StartCommand): Promise<Result<number, WorkerFailure>> {
    this.workers.get(worker.id)!.start(command)
    return ok(clockMs())
  }

  override async stop (): Promise<Result<number, WorkerFailure>> {
    return ok(clockMs())
  }

  override async throttle (): Promise<Result<number, WorkerFailure>> {
    return ok(clockMs())
  }

  override async requestReport (worker: Worker, { acknowledged, waitMs }: ReportCommand): Promise<Result<Report, WorkerFailure>> {
    const model = this.workers.get(worker.id)!
    const untilMs = performance.now() + waitMs
    do {
      await new Promise((resolve) => setTimeout(resolve, REPORT_INTERVAL_MS))
      model.ended = model.ended.filter((end) => end.position > acknowledged)
    } while (model.ended.length === 0 && performance.now() < untilMs)
    return ok({ born: model.entry.born, clockMs: clockMs(), running: [...model.running.values()], ended: [...model.ended] })
  }

  override closeConnections (): void {}
}

/**
 * Runs jobs to their end. Requires fake timers.
 *
 * @returns the records that the owner wrote to the journal
 */
export async function runJobs (count: number, steps: readonly Step[]): Promise<readonly StoredRecord[]> {
  const clock = new SystemClock()
  const store = new FakeStore()
  const journalState = new JournalState()
  const owner = new Owner({
    epoch: epochAfter(0),
    sequence: 1,
    claimedAt: clock.stamp(),
    journalReadAt: () => clock.stamp(),
    journalState,
    store: new StoreAccess(store, async () => err(StoreFailure.Refused), clock, () => {}),
    fleet: createFleet(store, clock.wall()),
    machines: new NoMachines(),
    formats: new PlainFormats(),
    clock,
    configuration: () => CONFIGURATION,
    zones: ALL_ZONES,
    askAdvisor: async () => err(AdviceFailure.NoAnswer),
    nodes: () => [],
    settings: { leaseMs: 6000, farFactor: 2, keptMs: 120_000, stopMs: 200 },
    log: new SilentLog(),
    metrics: new Metrics()
  })
  const running = owner.run()
  await vi.advanceTimersByTimeAsync(1000)
  for (let index = 0; index < count; index++) {
    const id = index.toString(16).padStart(16, '0')
    const job = createJob({ id, workspace: '', payload: PAYLOAD, steps, acceptedMs: clock.wall() })
    const appending = owner.append([encodeJob(job)], 500)
    await vi.advanceTimersByTimeAsync(SUBMIT_INTERVAL_MS)
    await appending
  }
  for (let second = 0; second < MAX_SECONDS && !allEnded(journalState); second++) await vi.advanceTimersByTimeAsync(1000)
  if (!allEnded(journalState)) throw new Error('A job has not ended.')
  const records = [...store.records[Topic.Journal]]
  owner.close()
  await vi.advanceTimersByTimeAsync(20_000)
  await running
  return records
}

/** Returns the newest record of each key, as the store keeps them. */
export function newestOf (records: readonly StoredRecord[]): StoredRecord[] {
  const newest = new Map<string, StoredRecord>()
  for (const record of records) newest.set(record.key, record)
  const kept = [...newest.values()].filter((record) => record.value !== undefined)
  return kept.sort((left, right) => left.key < right.key ? -1 : 1)
}

/**
 * Returns what a state says about the jobs and their tasks.
 *
 * @returns a text that is equal for equal states
 */
export function describeState (state: JournalState): string {
  const jobs = [...state.jobs.values()].map((entry) => ({
    id: entry.job.id,
    queue: entry.job.queue,
    steps: entry.job.steps.length,
    phase: entry.visiblePhase(),
    endedMs: entry.endedMs,
    cancelledMs: entry.cancelledMs,
    tasks: [...entry.tasks.values()].sort((left, right) => left.key < right.key ? -1 : 1)
  }))
  return JSON.stringify(jobs.sort((left, right) => left.id < right.id ? -1 : 1))
}

/** Returns the state after some records. */
export function stateOf (records: readonly StoredRecord[]): JournalState {
  const state = new JournalState()
  for (const record of records) state.apply(record)
  return state
}

function createFleet (store: FakeStore, nowMs: number): SteadyFleet {
  const fleet = new SteadyFleet()
  for (let index = 0; index < WORKERS; index++) {
    const id = `worker-${index.toString().padStart(5, '0')}`
    const entry = createWorker({ id, born: nowMs - 3_600_000 })
    fleet.workers.set(id, new SteadyWorker(entry))
    store.put(Topic.Workers, { key: id, value: Buffer.from(JSON.stringify(entry)) })
  }
  return fleet
}

function allEnded (state: JournalState): boolean {
  return [...state.jobs.values()].every((entry) => isFinal(entry.visiblePhase()))
}

function clockMs (): number {
  return Math.floor(performance.now())
}

function durationMsOf (task: string): number {
  let hash = 0
  for (const character of task) hash = Math.imul(hash ^ character.charCodeAt(0), 16_777_619) >>> 0
  return MIN_TASK_MS + hash % TASK_SPREAD_MS
}
