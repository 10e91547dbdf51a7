/**
 * Fakes of the ports and of the clock: an in-memory store, scripted workers and a clock that tests advance.
 */
import { err, ok, type Result } from 'neverthrow'
import { Clock } from '../src/clock.js'
import type { Queue } from '../src/model/configuration.js'
import type { Job, Step } from '../src/model/job.js'
import type { Report, Worker, WorkerAddress } from '../src/model/worker.js'
import type { OwnerOptions } from '../src/owner/owner.js'
import { Fences, epochAfter } from '../src/owner/fence.js'
import type { SessionHost } from '../src/owner/session-host.js'
import { AdviceFailure } from '../src/ports/advisor.js'
import { Fleet, WorkerFailure, type ReportCommand, type RunCommand, type StartCommand } from '../src/ports/fleet.js'
import { Formats } from '../src/ports/formats.js'
import { MachineFailure, Machines, MachineState, type Machine } from '../src/ports/machines.js'
import {
  StoreFailure, StoreClient, Topic, type Fence, type KeyedRecord, type StoreAnswer, type StoreCall, type StoredRecord
} from '../src/ports/store.js'
import { SilentLog } from '../src/report/log.js'
import { Metrics } from '../src/report/metrics.js'
import type { ZoneStatus } from '../src/zones/evacuations.js'

/** A clock that tests control. */
export class FakeClock extends Clock {
  steadyMs = 1000
  wallMs = 1_700_000_000_000
  usedMs = 0

  now (): number {
    return this.steadyMs
  }

  wall (): number {
    return this.wallMs
  }

  processorMs (): number {
    return this.usedMs
  }

  /** Advances both clocks. */
  advance (ms: number): void {
    this.steadyMs += ms
    this.wallMs += ms
  }
}

/** Number of the last fenced appends whose repetition receives the first response again. */
const REPEATABLE_APPENDS = 5

/** An in-memory store of keyed topics with fenced appends, which follows the platform's documentation. */
export class FakeStore extends StoreClient {
  readonly records: Record<Topic, StoredRecord[]> = {
    [Topic.Journal]: [], [Topic.Configuration]: [], [Topic.Workers]: [], [Topic.Status]: []
  }

  /** Offset of the first retained record. */
  first = 0
  /** Injects a failure for a call; undefined lets the store handle the call. */
  fault: ((call: StoreCall) => StoreFailure | undefined) | undefined
  /** Executes a call although `fault` makes it fail, as if its answer had been lost. */
  loseAnswers = false
  calls = 0
  private epoch = 0
  private nextSequence: number | undefined
  private offsetsBySequence = new Map<number, number>()

  override call (call: StoreCall): Promise<Result<StoreAnswer, StoreFailure>> {
    this.calls++
    const fault = this.fault?.(call)
    if (fault !== undefined) {
      if (this.loseAnswers) this.answer(call)
      return Promise.resolve(err(fault))
    }
    return Promise.resolve(this.answer(call))
  }

  /** Raises the epoch as a claim does, without an append. */
  claim (epoch: number, sequence: number): void {
    this.epoch = epoch
    this.nextSequence = sequence + 1
    this.offsetsBySequence = new Map()
  }

  /** Appends a record without a fence, as writers other than the owner do. */
  put (topic: Topic, record: KeyedRecord): void {
    this.records[topic].push({ ...record, offset: this.records[topic].length })
  }

  private answer (call: StoreCall): Result<StoreAnswer, StoreFailure> {
    const records = this.records[call.topic]
    if ('append' in call) return this.append(call.topic, call.append)
    if ('read' in call) {
      if (call.read.from < this.first) return err(StoreFailure.Expired)
      return ok({ records: records.slice(call.read.from), end: records.length })
    }
    const newest = new Map<string, StoredRecord>()
    for (const record of records) newest.set(record.key, record)
    const kept = [...newest.values()].filter((record) => record.value !== undefined)
    return ok({ records: kept, end: records.length, next: undefined })
  }

  private append (topic: Topic, call: { records: readonly KeyedRecord[], fence?: Fence }): Result<StoreAnswer, StoreFailure> {
    const { records, fence } = call
    if (fence !== undefined) {
      if (fence.epoch < this.epoch) return err(StoreFailure.Fenced)
      if (fence.epoch === this.epoch) {
        const earlierOffset = this.offsetsBySequence.get(fence.sequence)
        if (earlierOffset !== undefined) return ok(earlierOffset)
        if (fence.sequence !== this.nextSequence) return err(StoreFailure.OutOfSequence)
      } else {
        this.offsetsBySequence = new Map()
      }
      this.epoch = fence.epoch
      this.nextSequence = fence.sequence + 1
      this.offsetsBySequence.set(fence.sequence, this.records[topic].length)
      this.offsetsBySequence.delete(fence.sequence - REPEATABLE_APPENDS)
    }
    const offset = this.records[topic].length
    for (const record of records) this.put(topic, record)
    return ok(offset)
  }
}

/** Workers with scripted answers. Records the commands that it receives. */
export class FakeFleet extends Fleet {
  override maxReportedEnds = 500
  readonly started: StartCommand[] = []
  readonly stopped: RunCommand[] = []
  readonly throttled: Array<{ command: RunCommand, percent: number }> = []
  readonly reportCommands: ReportCommand[] = []
  readonly closedAddresses: string[] = []
  onStart: (command: StartCommand) => Result<number, WorkerFailure> = () => ok(1)
  onStop: (command: RunCommand) => Result<number, WorkerFailure> = () => ok(1)
  onReportRequest: (command: ReportCommand) => Promise<Result<Report, WorkerFailure>> = async () => err(WorkerFailure.NoAnswer)

  override async start (_worker: Worker, command: StartCommand): Promise<Result<number, WorkerFailure>> {
    this.started.push(command)
    return this.onStart(command)
  }

  override async stop (_worker: Worker, command: RunCommand): Promise<Result<number, WorkerFailure>> {
    this.stopped.push(command)
    return this.onStop(command)
  }

  override async throttle (_worker: Worker, command: RunCommand, percent: number): Promise<Result<number, WorkerFailure>> {
    this.throttled.push({ command, percent })
    return ok(1)
  }

  override async requestReport (_worker: Worker, command: ReportCommand): Promise<Result<Report, WorkerFailure>> {
    this.reportCommands.push(command)
    return await this.onReportRequest(command)
  }

  override closeConnections (worker: WorkerAddress): void {
    this.closedAddresses.push(worker.address)
  }
}

/** Creates a step of one small task; `fields` override the defaults. */
export function createStep (fields: Partial<Step> = {}): Step {
  return {
    count: 1,
    size: { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 },
    estimateMs: 1000,
    after: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    label: '',
    rack: '',
    perWorker: 0,
    speculative: false,
    lasting: false,
    image: '',
    latencyTargetMs: 0,
    bestEffort: false,
    disruptionBudget: 0,
    ...fields
  }
}

/** Creates an open queue; `fields` override the defaults. */
export function createQueue (fields: Partial<Queue> = {}): Queue {
  return {
    name: 'preview',
    host: 'h',
    prefix: '/',
    upstream: 'planner',
    priority: 0,
    attempts: 3,
    stretch: 2,
    targetMs: 500,
    timeoutMs: 3000,
    open: true,
    advice: undefined,
    ...fields
  }
}

/** Creates a job of one step; `fields` override the defaults. */
export function createJob (fields: Partial<Job> = {}): Job {
  return {
    id: '00000000000000aa',
    queue: 'preview',
    upstream: 'planner',
    workspace: 'guild',
    payload: 'text',
    steps: [createStep()],
    occurrences: 0,
    firstDueMs: 0,
    intervalMs: 0,
    acceptedMs: 1_700_000_000_000,
    ...fields
  }
}

/** Creates a worker with 16 cores; `fields` override the defaults. */
export function createWorker (fields: Partial<Worker> = {}): Worker {
  return {
    id: 'w1',
    upstream: 'planner',
    address: '10.0.0.1:80',
    zone: 'fukuoka',
    draining: false,
    remainingMs: undefined,
    capacity: { cpuMilli: 16_000, memoryMb: 32_000, accelerators: 0 },
    labels: ['a', 'r1'],
    born: 10,
    clockMs: 5000,
    machine: 'm1',
    ...fields
  }
}

/** Decodes registry entries of workers from JSON. */
export class PlainFormats extends Formats {
  override readonly configurationKey = 'config'
  override decodeConfiguration (_: Buffer): ReturnType<Formats['decodeConfiguration']> { return err('unused') }
  override decodeWorker (_: string, value: Buffer): ReturnType<Formats['decodeWorker']> {
    return ok(JSON.parse(value.toString()) as Worker)
  }

  override evacuatedZoneOf (key: string): string | undefined {
    return key.startsWith('evacuate/') ? key.slice('evacuate/'.length) : undefined
  }

  override checkEvacuation (value: Buffer): ReturnType<Formats['checkEvacuation']> {
    return value.length === 0 ? err('It is empty.') : ok(undefined)
  }
}

/** A machine service that never answers. */
export class NoMachines extends Machines {
  override async list (): ReturnType<Machines['list']> { return err(MachineFailure.NoAnswer) }
  override async move (): ReturnType<Machines['move']> { return err(MachineFailure.NoAnswer) }
  override async startMaintenance (): ReturnType<Machines['startMaintenance']> { return err(MachineFailure.NoAnswer) }
}

/** A machine service that lists the same machines each time. */
export class ListedMachines extends NoMachines {
  constructor (private readonly machines: Machine[]) {
    super()
  }

  override async list (): ReturnType<Machines['list']> { return ok(this.machines) }
}

/** Creates a machine that is up; `fields` override the defaults. */
export function createMachine (fields: Partial<Machine> = {}): Machine {
  return {
    name: 'm1',
    upstream: 'planner',
    state: MachineState.Up,
    zone: '',
    labels: [],
    capacity: { cpuMilli: 16_000, memoryMb: 32_000, accelerators: 0 },
    worker: 'w1',
    ...fields
  }
}

/** No zone is evacuated, and starts may be valid for any time. */
export const ALL_ZONES: ZoneStatus = { evacuated: () => [], isEvacuated: () => false, maxStartValidityMs: () => Infinity }

/** Creates the host of a session that ignores all callbacks; `fields` override the defaults. */
export function createSessionHost (fields: Pick<SessionHost, 'fleet' | 'clock'> & Partial<SessionHost>): SessionHost {
  const ignore = (): void => {}
  return {
    fences: new Fences(epochAfter(0)),
    leaseMs: 6000,
    mayAct: () => true,
    mayStart: () => true,
    zones: ALL_ZONES,
    onRunsEnded: async (_, ended) => ended,
    onUnknownRun: ignore,
    onAdopted: ignore,
    onRunsLost: ignore,
    onRunReleased: ignore,
    onReleaseDelayed: ignore,
    onStartHeld: ignore,
    onStarted: ignore,
    onFenced: ignore,
    onFencesUsedUp: ignore,
    onReachabilityChange: ignore,
    onReportRequest: ignore,
    onRestart: ignore,
    onEndsSkipped: ignore,
    onRunMissing: ignore,
    onEndLost: ignore,
    hasLaterStarted: () => false,
    onReportFailed: ignore,
    onStopConfirmed: ignore,
    ...fields
  }
}

/** Creates options of an owner whose advisor and machine service never answer; `fields` override the defaults. */
export function createOwnerOptions (
  fields: Pick<OwnerOptions, 'epoch' | 'journalState' | 'store' | 'fleet' | 'clock' | 'configuration'> & Partial<OwnerOptions>
): OwnerOptions {
  return {
    sequence: 1,
    claimedAt: fields.clock.stamp(),
    journalReadAt: () => fields.clock.stamp(),
    machines: new NoMachines(),
    formats: new PlainFormats(),
    zones: ALL_ZONES,
    askAdvisor: async () => err(AdviceFailure.NoAnswer),
    nodes: () => [],
    settings: { leaseMs: 6000, farFactor: 2, keptMs: 120_000, stopMs: 200 },
    log: new SilentLog(),
    metrics: new Metrics(),
    ...fields
  }
}
