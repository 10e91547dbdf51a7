/**
 * The state of a scenario that runs: its processes, the work that it sent and the data for the invariants.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { EventPage } from '@fireflymount/standin/event-history'
import type { Cell } from '../cell/cell.js'
import type { Evidence, LeavingWorker, RevisionHistory } from '../check/evidence.js'
import { WorkerEventHistories } from '../check/event-histories.js'
import { SentWork } from './sent-work.js'
import type { Load } from './load.js'
import { Operator, waitForNextPoll } from './operator.js'

/** Time for which the load balancer still sends requests to a node that was told to stop. */
const BALANCER_LAG_MS = 300

/** Stands for a node when none is available: nothing listens on port 9, so that calls to it are refused. */
const UNREACHABLE_API = 'http://127.0.0.1:9'

/** The state of one running scenario. */
export class ScenarioContext {
  readonly sentWork: SentWork
  readonly operator: Operator
  readonly eventHistories: WorkerEventHistories
  readonly aliases = new Map<string, string>()
  readonly loads = new Map<string, Load>()
  readonly leaving: LeavingWorker[] = []
  readonly backgroundSends: Promise<void>[] = []
  /** Nodes that are frozen or killed. They are sent no requests. */
  readonly unresponsiveNodes = new Set<string>()
  /** True once the scenario has finished or its timeout has passed. */
  finished = false
  private readonly stopping = new Map<string, number>()
  private readonly histories = new Map<string, number[]>()
  private readonly random: RandomGenerator

  /**
   * @param cell the processes
   * @param directory directory of the scenarios' manifests
   * @param seed seed of the random choices
   */
  constructor (readonly cell: Cell, directory: string, seed: number) {
    this.sentWork = new SentWork(seed)
    this.operator = new Operator(directory)
    this.random = xoroshiro128plus(seed)
    this.eventHistories = new WorkerEventHistories(async (worker, from) => {
      const page = await cell.callWorker(worker, 'GET', `record?from=${from}`)
      return page.isOk() ? page.value as EventPage : undefined
    })
  }

  /** Records that a node was told to stop. */
  markStopping (node: string): void {
    this.stopping.set(node, performance.now())
  }

  /** Records that a node was started. */
  markStarted (node: string): void {
    this.stopping.delete(node)
    this.unresponsiveNodes.delete(node)
  }

  /** Base URLs of the nodes to which a load balancer would send requests. */
  availableApis (): string[] {
    const apis: string[] = []
    for (const name of this.cell.readyNodes()) {
      if (this.unresponsiveNodes.has(name)) continue
      const stoppedMs = this.stopping.get(name)
      if (stoppedMs !== undefined && performance.now() > stoppedMs + BALANCER_LAG_MS) continue
      apis.push(this.cell.nodes.get(name)!.api)
    }
    return apis
  }

  /** Base URL of a node chosen at random, as by a load balancer. */
  pickApi (): string {
    const apis = this.availableApis()
    if (apis.length === 0) return UNREACHABLE_API
    return apis[uniformInt(this.random, 0, apis.length - 1)] ?? ''
  }

  /** Reads the entries that the workers have recorded since the previous call. */
  async refresh (): Promise<void> {
    await this.eventHistories.refresh(this.cell.workers.keys())
  }

  /** Polls the revision in effect on every node until the scenario has finished. */
  async watchRevisions (): Promise<void> {
    while (!this.finished) {
      await Promise.all(this.cell.runningNodes().map((name) => this.watchRevision(name)))
      await waitForNextPoll()
    }
  }

  /** Collects the data on which the invariants are checked. */
  async collectEvidence (): Promise<Evidence> {
    await this.refresh()
    const histories: RevisionHistory[] = []
    for (const [process, revisions] of this.histories) histories.push({ process, revisions })
    return {
      runs: this.eventHistories.runs(),
      answers: this.sentWork.answers,
      capacities: this.cell.capacities(),
      limits: this.operator.limits,
      leaving: this.leaving,
      withdrawn: this.operator.withdrawn,
      histories,
      nonIdempotent: this.operator.nonIdempotent()
    }
  }

  private async watchRevision (name: string): Promise<void> {
    if (this.unresponsiveNodes.has(name)) return
    const node = this.cell.nodes.get(name)!
    const revision = await this.operator.fetchRevision(node.api)
    if (revision === undefined) return
    const process = `${name}/${node.child.id()}`
    const history = this.histories.get(process) ?? []
    if (history.at(-1) !== revision) history.push(revision)
    this.histories.set(process, history)
  }
}
