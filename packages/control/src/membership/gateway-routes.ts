/**
 * Which node calls which worker, and which nodes are passed over for a while because calls through them failed.
 */
import { Reason } from '@fireflymount/protocol/refusal'
import type { Clock } from '../clock.js'
import type { WorkerAddress } from '../model/worker.js'
import { assignGateways, GatewayRanking, type Gateway } from './gateway-choice.js'

/**
 * The owner calls workers itself only while fewer other nodes than this are connected. It needs its processor for the decisions,
 * but fewer nodes cannot make the calls of a whole cell, and the loss of one would concern too many workers.
 */
const MIN_OTHER_GATEWAYS = 3
/** Minimum time between two checks of which nodes are connected. A node that has just been disconnected is never chosen. */
const CHECK_INTERVAL_MS = 100
/** How long a node that refused a command or left it unanswered is passed over for all workers. */
const PAUSE_MS = 5000
/** How long a node through which a worker did not answer is passed over for this worker. Doubles with each further failure. */
const MIN_AVOIDANCE_MS = 5000
const MAX_AVOIDANCE_MS = 40_000
/**
 * Number of nodes that are passed over for one worker without a pause in between. If another one fails too, the worker itself is
 * probably silent, and a further node is tried only after this time, since each attempt may need a new connection.
 */
const MAX_AVOIDED_AT_ONCE = 2
const FURTHER_ATTEMPT_INTERVAL_MS = 900
/** A node through which a worker answered within this time shows that this node itself is not held up. */
const ANSWERED_RECENTLY_MS = 1000
/** Weight of a node whose processor is unknown, in cores. */
const DEFAULT_WEIGHT = 1

/** What the routes need to know of the cell. */
export interface GatewayRoutesOptions {
  /** This node, which is the owner. */
  readonly node: string
  readonly connected: () => readonly string[]
  readonly isConnected: (node: string) => boolean
  /** `processorShare` is the processor of the node, in cores. */
  readonly addressOf: (node: string) => { readonly zone: string, readonly processorShare?: number } | undefined
  readonly clock: Clock
  /** Called when a worker that did not answer through one node answers through another. At most once in a while per worker. */
  readonly onChange: (worker: string, gateway: string, before: string) => void
}

interface Avoidance {
  readonly untilMs: number
  readonly durationMs: number
}

/** The route to one worker. */
class Route {
  /** Names of the gateways, the best one first. */
  ranked: readonly string[] = []
  /** Gateways through which the worker did not answer. */
  readonly avoidances = new Map<string, Avoidance>()
  /** Gateways that may hold connections to the worker. */
  readonly used = new Set<string>()
  /** The gateway whose call was the first to fail since the worker last answered. */
  failedThrough: string | undefined
  changeReportedMs = -Infinity
  /** Time on the steady clock at which a gateway was last passed over for this worker. */
  avoidedMs = -Infinity

  constructor (readonly worker: WorkerAddress) {}

  countAvoided (nowMs: number): number {
    let count = 0
    for (const { untilMs } of this.avoidances.values()) if (nowMs < untilMs) count++
    return count
  }

  isAvoided (node: string, nowMs: number): boolean {
    const avoidance = this.avoidances.get(node)
    return avoidance !== undefined && nowMs < avoidance.untilMs
  }
}

/** The routes of one owner to all workers. */
export class GatewayRoutes {
  private readonly routes = new Map<string, Route>()
  /** Time on the steady clock until which a node that refused a command is passed over. */
  private readonly refusingUntilMs = new Map<string, number>()
  /** The same for a node that did not answer in time, unless most nodes seem silent. */
  private readonly silentUntilMs = new Map<string, number>()
  /** When a worker last answered through a node. */
  private readonly answeredMs = new Map<string, number>()
  private readonly ranking = new GatewayRanking()
  private gateways: readonly Gateway[] = []
  private gatewaysKey = ''
  private checkedMs = -Infinity
  /** The gateways or the workers have changed since the routes were computed. */
  private outdated = false

  constructor (private readonly options: GatewayRoutesOptions) {}

  /** Adds a worker. Workers that are added together are best added before the first of them is called. */
  add (worker: WorkerAddress): void {
    if (this.find(worker) !== undefined) return
    this.routes.set(worker.id, new Route(worker))
    this.outdated = true
  }

  /** True if the worker has not answered since a call to it failed. */
  isFailing (worker: WorkerAddress): boolean {
    return this.find(worker)?.failedThrough !== undefined
  }

  /**
   * Chooses the node for a call. It is this node if no other one can be asked.
   *
   * @param tried nodes that have already been asked to make this call
   */
  choose (worker: WorkerAddress, tried: ReadonlySet<string>): string {
    this.refresh()
    const { node: self, isConnected, clock } = this.options
    const route = this.find(worker)
    if (route === undefined) return self
    const nowMs = clock.now()
    let avoided: string | undefined
    for (const node of route.ranked) {
      if (tried.has(node) || (node !== self && !isConnected(node))) continue
      if (!route.isAvoided(node, nowMs)) return this.use(route, node)
      avoided ??= node
    }
    return this.use(route, avoided ?? self)
  }

  /** Records that a node refused a command without executing it. */
  onRefused (node: string, reason: Reason): void {
    // These refusals come from this end of the connection. They concern only the command, or the connection is down.
    if (reason === Reason.ConnectionLost || reason === Reason.QueueFull) return
    if (reason === Reason.DeadlinePassed) {
      this.onSilent(node)
      return
    }
    this.refusingUntilMs.set(node, this.options.clock.now() + PAUSE_MS)
    this.checkedMs = -Infinity
  }

  /** Records that a node came to a command too late, or did not answer in the time in which it answers even if the worker does not. */
  onSilent (node: string): void {
    this.silentUntilMs.set(node, this.options.clock.now() + PAUSE_MS)
    this.checkedMs = -Infinity
  }

  /** Records that the worker answered a call through a node. */
  onAnswered (worker: WorkerAddress, node: string): void {
    this.answeredMs.set(node, this.options.clock.now())
    const route = this.find(worker)
    if (route === undefined) return
    route.avoidances.delete(node)
    const before = route.failedThrough
    route.failedThrough = undefined
    if (before === undefined || before === node) return
    const nowMs = this.options.clock.now()
    if (nowMs - route.changeReportedMs < MIN_AVOIDANCE_MS) return
    route.changeReportedMs = nowMs
    this.options.onChange(worker.id, node, before)
  }

  /** Records that a call to the worker through a node was not answered. */
  onUnanswered (worker: WorkerAddress, node: string): void {
    const route = this.find(worker)
    if (route === undefined) return
    const nowMs = this.options.clock.now()
    // The call was sent before the node was passed over.
    if (route.isAvoided(node, nowMs)) return
    route.failedThrough ??= node
    const isPaused = nowMs - route.avoidedMs < FURTHER_ATTEMPT_INTERVAL_MS
    if (isPaused && route.countAvoided(nowMs) >= MAX_AVOIDED_AT_ONCE) return
    route.avoidedMs = nowMs
    const before = route.avoidances.get(node)
    const durationMs = before === undefined ? MIN_AVOIDANCE_MS : Math.min(2 * before.durationMs, MAX_AVOIDANCE_MS)
    route.avoidances.set(node, { untilMs: nowMs + durationMs, durationMs })
  }

  /** Forgets a worker. Returns the nodes that may hold connections to it. */
  forget (worker: WorkerAddress): ReadonlySet<string> {
    const route = this.find(worker)
    if (route === undefined) return new Set()
    this.routes.delete(worker.id)
    this.ranking.forget(worker.id)
    return route.used
  }

  /** True if there is a route to a worker with the address. */
  hasAddress (address: string): boolean {
    for (const { worker } of this.routes.values()) if (worker.address === address) return true
    return false
  }

  /** Returns the route to a worker; undefined if the worker has moved to another address since the call. */
  private find (worker: WorkerAddress): Route | undefined {
    const route = this.routes.get(worker.id)
    return route?.worker.address === worker.address ? route : undefined
  }

  private use (route: Route, node: string): string {
    route.used.add(node)
    return node
  }

  /** Computes the routes anew if the gateways or the workers have changed. */
  private refresh (): void {
    const nowMs = this.options.clock.now()
    if (nowMs - this.checkedMs >= CHECK_INTERVAL_MS) {
      this.checkedMs = nowMs
      this.gateways = this.findGateways(nowMs)
      const key = this.gateways.map(({ node, zone, weight }) => `${node} ${zone} ${weight}`).join()
      this.outdated ||= key !== this.gatewaysKey
      this.gatewaysKey = key
    }
    if (!this.outdated) return
    this.outdated = false
    const assignments = assignGateways([...this.routes.values()].map((route) => route.worker), this.gateways, this.ranking)
    for (const [id, route] of this.routes) route.ranked = assignments.get(id) ?? []
  }

  private findGateways (nowMs: number): Gateway[] {
    const { node: self, connected } = this.options
    const willing = connected().filter((node) => nowMs >= (this.refusingUntilMs.get(node) ?? 0)).sort()
    const answering = willing.filter((node) => nowMs >= (this.silentUntilMs.get(node) ?? 0))
    // If most nodes seem silent and none of the others has answered lately, this node was probably held up itself.
    const isAnswered = answering.some((node) => nowMs - (this.answeredMs.get(node) ?? -Infinity) < ANSWERED_RECENTLY_MS)
    const others = isAnswered || 2 * answering.length >= willing.length ? answering : willing
    const names = others.length < MIN_OTHER_GATEWAYS ? [...others, self] : others
    return names.map((node) => {
      const address = this.options.addressOf(node)
      return { node, zone: address?.zone ?? '', weight: address?.processorShare ?? DEFAULT_WEIGHT }
    })
  }
}
