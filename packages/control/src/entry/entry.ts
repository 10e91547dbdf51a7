/**
 * The HTTP servers of a node, each behind a gate that holds its clients to the limits.
 */
import { createServer, type Server } from 'node:http'
import type { Socket } from 'node:net'
import { Blocks } from '@fireflymount/entry/body'
import { SOCKET_BUFFER_BYTES } from '@fireflymount/entry/feed'
import type { Clock } from '../clock.js'
import type { Log } from '../report/log.js'
import type { Metrics } from '../report/metrics.js'
import type { Cutoff } from './cutoff.js'
import { Gate } from './gate.js'
import { GatedServer, type RequestHandler, type UpgradeHandler } from './gated-server.js'
import { Endpoint, limitsOf, type EntrySettings, type MachineResources } from './limits.js'

/** Interval at which clients that do not read are looked for, and at which is reported what was refused or closed. */
const TICK_MS = 1000
/** Maximum interval at which slow heads and bodies are looked for. */
const MAX_SLOWNESS_CHECK_MS = 5000

/** Dependencies and settings of the servers. */
export interface EntryOptions {
  readonly machine: MachineResources
  /** Limits that are set by the operator. */
  readonly limits?: EntrySettings | undefined
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
}

/** Creates the servers of a node and reports on their gates. */
export class Entry {
  private readonly gates = new Map<Endpoint, Gate>()
  private readonly gatedServers = new Map<Endpoint, GatedServer>()
  /** What was refused or closed since the last tick. */
  private readonly cutoffs = new Map<Endpoint, Map<Cutoff, number>>()
  private readonly blocks = new Blocks()
  private readonly timer: NodeJS.Timeout

  constructor (private readonly options: EntryOptions) {
    this.timer = setInterval(() => { this.tick() }, TICK_MS)
    this.timer.unref()
  }

  /**
   * Creates a server, which does not listen yet.
   *
   * @param endpoint the server, of which there is one
   * @param handler handles its requests
   * @param onUpgrade takes upgraded connections; without it, requests for an upgrade are like others
   */
  createServer (endpoint: Endpoint, handler: RequestHandler, onUpgrade?: UpgradeHandler): Server {
    const limits = limitsOf(endpoint, this.options.machine, this.options.limits)
    const gate = new Gate(limits, (cutoff) => { this.count(endpoint, cutoff) })
    this.gates.set(endpoint, gate)
    // A keepAliveTimeout of 0 keeps idle connections open without a timeout.
    const server = createServer({
      highWaterMark: SOCKET_BUFFER_BYTES,
      maxHeaderSize: limits.headBytes,
      headersTimeout: limits.headMs,
      requestTimeout: limits.headMs + limits.bodyMs,
      connectionsCheckingInterval: Math.min(MAX_SLOWNESS_CHECK_MS, limits.headMs, limits.bodyMs),
      keepAliveTimeout: 0
    })
    const gated = new GatedServer(gate, this.blocks, handler, this.options.log)
    this.gatedServers.set(endpoint, gated)
    gated.attach(server)
    gated.feed(server)
    if (onUpgrade !== undefined) gated.acceptUpgrades(server, onUpgrade)
    return server
  }

  /** Maximum number of connections to a server that are completed before they are accepted. */
  listenBacklogOf (endpoint: Endpoint): number {
    return limitsOf(endpoint, this.options.machine, this.options.limits).listenBacklog
  }

  /** Notes that a client of the nodes' server has introduced itself as a node. Its connection is not closed to make room for others. */
  admitNode (socket: Socket): void {
    this.gatedServers.get(Endpoint.Nodes)?.admit(socket)
  }

  /** Number of requests to a server whose answer has not been sent to the end. */
  openRequests (endpoint: Endpoint): number {
    return this.gates.get(endpoint)?.requests ?? 0
  }

  /** Closes no more callers' connections with requests to make room, because the node stops gracefully. */
  drain (): void {
    this.gates.get(Endpoint.Callers)?.drain()
  }

  /** Ends the reports. */
  close (): void {
    clearInterval(this.timer)
  }

  private count (endpoint: Endpoint, cutoff: Cutoff): void {
    this.options.metrics.cutoffs.inc({ endpoint, reason: cutoff })
    let counts = this.cutoffs.get(endpoint)
    if (counts === undefined) this.cutoffs.set(endpoint, counts = new Map())
    counts.set(cutoff, (counts.get(cutoff) ?? 0) + 1)
  }

  private tick (): void {
    const { clock, log, metrics } = this.options
    this.blocks.trim()
    for (const [endpoint, gate] of this.gates) {
      gate.sweep(clock.now())
      metrics.entryConnections.set({ endpoint }, gate.connections)
      metrics.entryBytes.set({ endpoint }, gate.bytes)
    }
    for (const [endpoint, counts] of this.cutoffs) {
      for (const [reason, count] of counts) log.event('clients refused or closed', { endpoint, reason, count })
    }
    this.cutoffs.clear()
  }
}
