/**
 * Everything that a scenario works on while it runs.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { RecordPage } from '@fireflymount/standin/record'
import type { Cell } from '../cell/cell.js'
import type { Departure, Evidence, History } from '../check/evidence.js'
import { Recorder } from '../check/recorder.js'
import { Ledger } from './ledger.js'
import type { Load } from './load.js'
import { Operator, pause } from './operator.js'

/** Time after which the balancer sends nothing more to a node that is told to stop. */
const BALANCER_LAG_MS = 300

/** The state of one running scenario. */
export class Stage {
  readonly ledger: Ledger
  readonly operator: Operator
  readonly recorder: Recorder
  readonly aliases = new Map<string, string>()
  readonly loads = new Map<string, Load>()
  readonly leaving: Departure[] = []
  readonly pending: Promise<void>[] = []
  /** Nodes that are frozen. */
  readonly frozen = new Set<string>()
  /** Set when the scenario ends. */
  over = false
  private readonly stopping = new Map<string, number>()
  private readonly histories = new Map<string, number[]>()
  private readonly random: RandomGenerator

  /**
   * @param cell the processes
   * @param directory where the scenarios' manifests are
   * @param seed decides what is left to chance
   */
  constructor (readonly cell: Cell, directory: string, seed: number) {
    this.ledger = new Ledger(seed)
    this.operator = new Operator(directory)
    this.random = xoroshiro128plus(seed)
    this.recorder = new Recorder(async (worker, from) => {
      const page = await cell.askWorker(worker, 'GET', `record?from=${from}`)
      return page.isOk() ? page.value as RecordPage : undefined
    })
  }

  /** Remembers that a node was told to stop. */
  markStopping (node: string): void {
    this.stopping.set(node, performance.now())
  }

  /** Remembers that a node was started again. */
  markStarted (node: string): void {
    this.stopping.delete(node)
    this.frozen.delete(node)
  }

  /** Base URLs of the nodes to which a balancer sends. */
  available (): string[] {
    const apis: string[] = []
    for (const name of this.cell.servingNodes()) {
      if (this.frozen.has(name)) continue
      const stoppedMs = this.stopping.get(name)
      if (stoppedMs !== undefined && performance.now() > stoppedMs + BALANCER_LAG_MS) continue
      apis.push(this.cell.nodes.get(name)!.api)
    }
    return apis
  }

  /** Base URL of a node chosen by chance, as a balancer does. */
  pickApi (): string {
    const apis = this.available()
    if (apis.length === 0) return 'http://127.0.0.1:9'
    return apis[uniformInt(this.random, 0, apis.length - 1)] ?? ''
  }

  /** Reads what the workers recorded since the last time. */
  async refresh (): Promise<void> {
    await this.recorder.refresh(this.cell.workers.keys())
  }

  /** Follows the revision in effect on every node until the scenario ends. */
  async watchRevisions (): Promise<void> {
    while (!this.over) {
      await Promise.all(this.cell.runningNodes().map((name) => this.watchRevision(name)))
      await pause()
    }
  }

  /** Collects what the invariants are checked on. */
  async collect (): Promise<Evidence> {
    await this.refresh()
    const histories: History[] = []
    for (const [node, revisions] of this.histories) histories.push({ node, revisions })
    return {
      runs: this.recorder.runs(),
      answers: this.ledger.answers,
      capacities: this.cell.capacities(),
      limits: this.operator.limits,
      leaving: this.leaving,
      withdrawn: this.operator.withdrawn,
      histories,
      nonIdempotent: this.operator.nonIdempotent()
    }
  }

  private async watchRevision (name: string): Promise<void> {
    if (this.frozen.has(name)) return
    const node = this.cell.nodes.get(name)!
    const revision = await this.operator.fetchRevision(node.api)
    if (revision === undefined) return
    const process = `${name}/${node.child.id()}`
    const history = this.histories.get(process) ?? []
    if (history.at(-1) !== revision) history.push(revision)
    this.histories.set(process, history)
  }
}
