/**
 * A cluster of real nodes in this process, connected over loopback, with a store in memory and simulated workers.
 */
import { createServer } from 'node:net'
import { NO_RESOURCES } from '@fireflymount/protocol/resources'
import { err, ok, type Result } from 'neverthrow'
import { SystemClock, type Clock } from '../../src/clock.js'
import type { AuthorizedRequest } from '../../src/entry/job-service.js'
import type { Configuration } from '../../src/model/configuration.js'
import type { Phase } from '../../src/model/job.js'
import { Node, type NodeSettings } from '../../src/node.js'
import { AdviceFailure } from '../../src/ports/advisor.js'
import { StoreClient, Topic, type StoreAnswer, type StoreCall, type StoreFailure } from '../../src/ports/store.js'
import { Log } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'
import { FakeStore, NoMachines, PlainFormats, createQueue, createStep } from '../fakes.js'
import { Processor } from './processor.js'
import { ProcessorBoundFleet, SimulatedWorkers } from './workers.js'

const STORE_ANSWER_MS = 4
const QUEUE = createQueue({ attempts: 3, stretch: 2, targetMs: 500 })
const CONFIGURATION: Configuration = {
  version: 1,
  queues: [QUEUE],
  upstreams: [{ name: 'planner', checksRoom: false, spare: false }],
  workspaces: [],
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}
const REQUEST: AuthorizedRequest = { queue: QUEUE, workspace: '', version: 1 }
const BUDGET_MS = 3000

/** Adds the time of a round trip to each call. */
class RemoteStore extends StoreClient {
  constructor (private readonly store: FakeStore) {
    super()
  }

  override async call (call: StoreCall): Promise<Result<StoreAnswer, StoreFailure>> {
    await sleep(STORE_ANSWER_MS)
    return await this.store.call(call)
  }
}

/** Decodes the configuration and the registry entries from JSON. */
class ClusterFormats extends PlainFormats {
  override decodeConfiguration (value: Buffer): Result<Configuration, string> {
    return ok(JSON.parse(value.toString()) as Configuration)
  }
}

/** An event that a node logged. */
export interface LoggedEvent {
  readonly node: string
  readonly name: string
  readonly fields: Record<string, unknown>
}

/** Collects the events of all nodes. */
class CollectingLog extends Log {
  constructor (private readonly node: string, private readonly events: LoggedEvent[]) {
    super()
  }

  override decision (): void {}
  override event (name: string, fields: Record<string, unknown>): void {
    this.events.push({ node: this.node, name, fields })
  }
}

/** Name of a node, and the processor time of one call to a worker there. */
export interface NodeSpecification {
  readonly name: string
  readonly callMs: number
}

/** Processor time of one call to a worker on a node that may use one core. */
const CORE_CALL_MS = 2

/** Real nodes with simulated surroundings. */
export class Cluster {
  readonly workers: SimulatedWorkers
  readonly store = new FakeStore()
  readonly nodes: Node[] = []
  /** Settings by node. */
  readonly settings = new Map<string, NodeSettings>()
  readonly events: LoggedEvent[] = []
  /** See NodeSettings. */
  evacuationLimitMs: number | undefined
  /** See NodeSettings. */
  minProcessorRatio: number | undefined
  /** Clocks by node; a node that is not listed has the system's. */
  readonly clocks = new Map<string, Clock>()

  constructor (workerCount: number) {
    this.workers = new SimulatedWorkers(workerCount)
    this.store.put(Topic.Configuration, { key: 'config', value: encode(CONFIGURATION) })
    for (const entry of this.workers.entries()) this.store.put(Topic.Workers, { key: entry.id, value: encode(entry) })
  }

  async start (specifications: readonly NodeSpecification[]): Promise<void> {
    for (const { name, callMs } of specifications) {
      const settings: NodeSettings = {
        node: name,
        zone: 'z',
        host: '127.0.0.1',
        port: await findFreePort(),
        processorShare: CORE_CALL_MS / callMs,
        processorTimeShare: 1,
        leaseMs: 6000,
        farFactor: 2,
        keptMs: 120_000,
        stopMs: 200,
        configurationAgeMaxMs: 3500,
        evacuationLimitMs: this.evacuationLimitMs,
        minProcessorRatio: this.minProcessorRatio
      }
      this.settings.set(name, settings)
      const node = new Node({
        settings,
        store: new RemoteStore(this.store),
        fleet: new ProcessorBoundFleet(this.workers, name, new Processor(callMs)),
        advisor: { advise: async () => err(AdviceFailure.NoAnswer) },
        machines: new NoMachines(),
        formats: new ClusterFormats(),
        clock: this.clocks.get(name) ?? new SystemClock(),
        log: new CollectingLog(name, this.events),
        metrics: new Metrics()
      })
      this.nodes.push(node)
      const started = await node.start()
      if (started.isErr()) throw new Error(started.error)
    }
  }

  /**
   * Submits a job of one step of equal tasks. Resolves to true if it was accepted.
   *
   * @param weight rate of the job's workspace; 0 if it has none
   */
  async submit (node: Node, id: string, tasks: number, payload: string, lasting = false, weight = 0): Promise<boolean> {
    const step = createStep({ count: tasks, estimateMs: lasting ? 1000 : Number(payload), lasting })
    const submission = { id, payload, steps: [step], occurrences: 0, firstDueMs: 0, intervalMs: 0 }
    const workspace = weight === 0
      ? {}
      : { workspace: 'limited', workspaceSettings: { weight, upperLimit: NO_RESOURCES } }
    return (await node.jobService.submit({ ...REQUEST, ...workspace }, submission, BUDGET_MS)).isOk()
  }

  /** Returns the phase of a job as callers of a queue see it; undefined if the lookup is refused. */
  async phase (node: Node, id: string, queue = QUEUE): Promise<Phase | undefined> {
    return (await node.jobService.lookup({ ...REQUEST, queue }, id)).unwrapOr(undefined)
  }

  /** Number of pending jobs that a node shows to callers. */
  async countPending (node: Node): Promise<number> {
    return (await node.jobService.countPending(REQUEST)).unwrapOr(NaN)
  }

  /** Cancels a job. Resolves to true once the cancellation is stored. */
  async cancel (node: Node, id: string): Promise<boolean> {
    return (await node.jobService.cancel(REQUEST, id, BUDGET_MS)).isOk()
  }

  /** Returns the name of a node. */
  nameOf (node: Node): string | undefined {
    return [...this.settings.keys()][this.nodes.indexOf(node) % this.settings.size]
  }

  close (): void {
    for (const node of this.nodes) node.close()
  }
}

/** Resolves to true once the condition holds, or to false after the timeout. */
export async function waitFor (condition: () => boolean, timeoutMs: number): Promise<boolean> {
  const startedMs = performance.now()
  while (performance.now() - startedMs < timeoutMs) {
    if (condition()) return true
    await sleep(20)
  }
  return condition()
}

export async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

async function findFreePort (): Promise<number> {
  return await new Promise((resolve) => {
    const server = createServer()
    server.listen(0, '127.0.0.1', () => {
      const address = server.address()
      server.close(() => { resolve(typeof address === 'object' && address !== null ? address.port : 0) })
    })
  })
}

function encode (value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value))
}
