/**
 * Makes the owner's calls to workers through other nodes, so that a small owner keeps its processor for the decisions. Nothing is
 * decided there: a gateway makes the call and returns the result.
 */
import { MessageKind, type Command, type Disconnect } from '@fireflymount/protocol/message'
import { Execution, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { sleep, type Clock } from '../clock.js'
import { detach } from '../detach.js'
import type { Report, WorkerAddress } from '../model/worker.js'
import {
  COMMAND_TIMEOUT_MS, COMMAND_VALIDITY_MS, Fleet, WorkerFailure, type ReportCommand, type RunCommand, type StartCommand
} from '../ports/fleet.js'
import type { Log } from '../report/log.js'
import type { Metrics } from '../report/metrics.js'
import { expandReport } from './gateway-server.js'
import { GatewayRoutes } from './gateway-routes.js'
import type { Links } from './links.js'

/** Added to the time that a call may take, for the transfer to the gateway and back. */
const TRANSFER_MS = 200
/** Timeout of a repeated report request: a healthy worker and a healthy gateway answer within milliseconds. */
const REPEAT_TIMEOUT_MS = 400
const DISCONNECT_TIMEOUT_MS = 1000
/** How long another node may close the connections to a worker. Later calls may use them: the worker may be found again. */
const DISCONNECT_VALIDITY_MS = 1000
/** A timer that fires later than this after its time was held up, as was the reading of answers. */
const LATE_TIMER_MS = 200
/** Number of other nodes that are asked to make one call before this node makes it. */
const MAX_GATEWAYS_TRIED = 3
/**
 * How long calls wait while fewer than half of the other nodes are connected: after a takeover, and after all connections were
 * lost, they connect within this time. Without the wait the first node to connect would get the calls to all workers.
 */
const GATEWAY_WAIT_MS = 400
const GATEWAY_POLL_INTERVAL_MS = 20

/** What the fleet needs of its node. */
export interface FleetGatewaysOptions {
  /** This node, which is the owner. */
  readonly node: string
  /** Number of other nodes that the cell is known to have. Some of them may be gone. */
  readonly countOthers: () => number
  readonly links: Pick<Links, 'ask' | 'connected' | 'has'>
  /** `processorShare` is the processor of the node, in cores. */
  readonly addressOf: (node: string) => { readonly zone: string, readonly processorShare?: number } | undefined
  /** Calls workers from this node. */
  readonly direct: Fleet
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
}

const FAILURES: ReadonlySet<unknown> = new Set(Object.values(WorkerFailure))

/** One call, in the form for another node and in the form for this one. */
interface Call<T> {
  readonly worker: WorkerAddress
  readonly request: Omit<Command, 'kind' | 'worker'>
  /** Time within which a gateway answers even if the worker does not. */
  readonly timeoutMs: number
  /** Makes the call from this node. */
  readonly callDirectly: () => Promise<Result<T, WorkerFailure>>
  /** Decodes the answer of another node; undefined if it is none. */
  readonly decode: (answer: unknown) => T | undefined
}

/** Sends commands to workers through other nodes, and from this node while there is no other. */
export class FleetGateways extends Fleet {
  private readonly routes: GatewayRoutes
  /** Time on the steady clock at which at least half of the other nodes were last connected, or this fleet was created. */
  private connectedMs: number
  private waiting: Promise<void> | undefined

  constructor (private readonly options: FleetGatewaysOptions) {
    super()
    const { node, links, addressOf, clock, log } = options
    this.connectedMs = clock.now()
    this.routes = new GatewayRoutes({
      node,
      connected: () => links.connected(),
      isConnected: (name) => links.has(name),
      addressOf,
      clock,
      onChange: (worker, gateway, before) => { log.event('worker gateway changed', { worker, gateway, before }) }
    })
  }

  override get maxReportedEnds (): number {
    return this.options.direct.maxReportedEnds
  }

  override async start (worker: WorkerAddress, command: StartCommand): Promise<Result<number, WorkerFailure>> {
    return await this.send(commandCall(worker, { start: command }, () => this.options.direct.start(worker, command)))
  }

  override async stop (worker: WorkerAddress, command: RunCommand): Promise<Result<number, WorkerFailure>> {
    return await this.send(commandCall(worker, { stop: command }, () => this.options.direct.stop(worker, command)))
  }

  override async throttle (worker: WorkerAddress, command: RunCommand, percent: number): Promise<Result<number, WorkerFailure>> {
    const request = { throttle: { ...command, percent } }
    return await this.send(commandCall(worker, request, () => this.options.direct.throttle(worker, command, percent)))
  }

  /**
   * Requests a report. If the worker answered before and does not answer through one node now, another node is asked at once for a
   * report, without a long poll, without renewing the lease and without an acknowledgement: the worker may have restarted.
   */
  override async requestReport (worker: WorkerAddress, command: ReportCommand): Promise<Result<Report, WorkerFailure>> {
    const wasFailing = this.routes.isFailing(worker)
    const tried = new Set<string>()
    const report = await this.send(this.reportCall(worker, command, COMMAND_TIMEOUT_MS + command.waitMs + TRANSFER_MS), tried)
    if (report.isOk() || report.error !== WorkerFailure.NoAnswer || wasFailing) return report
    if (tried.has(this.routes.choose(worker, tried))) return report
    const repeated = { ...command, acknowledged: 0, deadlineMs: undefined, waitMs: 0 }
    return await this.send(this.reportCall(worker, repeated, REPEAT_TIMEOUT_MS), tried)
  }

  override closeConnections (worker: WorkerAddress): void {
    const { direct, links, node } = this.options
    const gateways = this.routes.forget(worker)
    // Another worker that has the address now shares the connections.
    if (this.routes.hasAddress(worker.address)) return
    direct.closeConnections(worker)
    const { id, address, zone, born } = worker
    const request: Disconnect = { kind: MessageKind.Disconnect, worker: { id, address, zone, born } }
    for (const gateway of gateways) {
      if (gateway === node || !links.has(gateway)) continue
      detach(links.ask(gateway, request, DISCONNECT_TIMEOUT_MS, DISCONNECT_VALIDITY_MS))
    }
  }

  private reportCall (worker: WorkerAddress, command: ReportCommand, timeoutMs: number): Call<Report> {
    return {
      worker,
      request: { report: command },
      timeoutMs,
      callDirectly: () => this.options.direct.requestReport(worker, command),
      decode: expandReport
    }
  }

  /**
   * Makes a call through the best node, and through the next one if a node has certainly not made it and the command is still valid.
   *
   * @param tried nodes that must not be asked; the nodes that are asked are added
   */
  private async send<T> (call: Call<T>, tried = new Set<string>()): Promise<Result<T, WorkerFailure>> {
    const { clock } = this.options
    const sentAt = clock.stamp()
    this.routes.add(call.worker)
    // Workers that become known together are added before the first of them is called.
    await this.waitForGateways()
    const askedAt = clock.stamp()
    for (let refusals = 0; ; refusals++) {
      const validMs = COMMAND_VALIDITY_MS - clock.ageOf(sentAt)
      // No node has made the call.
      if (validMs <= 0) return err(WorkerFailure.Unhealthy)
      const gateway = refusals < MAX_GATEWAYS_TRIED ? this.routes.choose(call.worker, tried) : this.options.node
      tried.add(gateway)
      if (gateway === this.options.node) return await this.callDirectly(call)
      const answer = await this.ask(gateway, call, validMs)
      if (answer.isOk()) return this.handleAnswer(gateway, call, answer.value)
      if (answer.error.execution !== Execution.NotRun) {
        this.options.metrics.gatewayCalls.inc({ outcome: 'unanswered' })
        // A repeated report request times out before the gateway gives up. A timer that fires late says nothing about the gateway.
        const wasLate = clock.ageOf(askedAt) > call.timeoutMs + LATE_TIMER_MS
        if (call.timeoutMs > COMMAND_TIMEOUT_MS && !wasLate) this.routes.onSilent(gateway)
        this.routes.onUnanswered(call.worker, gateway)
        return err(WorkerFailure.NoAnswer)
      }
      this.options.metrics.gatewayCalls.inc({ outcome: 'refused' })
      this.routes.onRefused(gateway, answer.error.reason)
    }
  }

  private async ask<T> (
    gateway: string, { worker, request, timeoutMs }: Call<T>, validMs: number
  ): Promise<Result<unknown, Refusal>> {
    const { id, address, zone, born } = worker
    const command: Command = { kind: MessageKind.Command, worker: { id, address, zone, born }, ...request }
    return await this.options.links.ask(gateway, command, timeoutMs, validMs)
  }

  private handleAnswer<T> (gateway: string, call: Call<T>, answer: unknown): Result<T, WorkerFailure> {
    this.options.metrics.gatewayCalls.inc({ outcome: 'answered' })
    const result = decodeAnswer(call, answer)
    if (result === undefined) this.options.log.event('gateway answer invalid', { worker: call.worker.id, gateway })
    if (result === undefined || (result.isErr() && result.error === WorkerFailure.NoAnswer)) {
      this.routes.onUnanswered(call.worker, gateway)
      return err(WorkerFailure.NoAnswer)
    }
    this.routes.onAnswered(call.worker, gateway)
    return result
  }

  private async callDirectly<T> (call: Call<T>): Promise<Result<T, WorkerFailure>> {
    this.options.metrics.gatewayCalls.inc({ outcome: 'direct' })
    const result = await call.callDirectly()
    if (result.isErr() && result.error === WorkerFailure.NoAnswer) this.routes.onUnanswered(call.worker, this.options.node)
    else this.routes.onAnswered(call.worker, this.options.node)
    return result
  }

  /** Resolves at once while at least half of the other nodes are connected, or if that has not been so for a while. */
  private async waitForGateways (): Promise<void> {
    if (this.areGatewaysConnected() || this.hasWaited()) return
    this.waiting ??= this.pollForGateways().finally(() => { this.waiting = undefined })
    await this.waiting
  }

  private async pollForGateways (): Promise<void> {
    while (!this.areGatewaysConnected() && !this.hasWaited()) await sleep(GATEWAY_POLL_INTERVAL_MS)
  }

  private areGatewaysConnected (): boolean {
    const { links, countOthers, clock } = this.options
    if (2 * links.connected().length < countOthers()) return false
    this.connectedMs = clock.now()
    return true
  }

  private hasWaited (): boolean {
    return this.options.clock.now() - this.connectedMs >= GATEWAY_WAIT_MS
  }
}

/** Decodes what a gateway answered: the result of the call, or why it failed; undefined if the answer is neither. */
function decodeAnswer<T> (call: Call<T>, answer: unknown): Result<T, WorkerFailure> | undefined {
  if (FAILURES.has(answer)) return err(answer as WorkerFailure)
  const value = call.decode(answer)
  return value === undefined ? undefined : ok(value)
}

function commandCall (
  worker: WorkerAddress, request: Call<number>['request'], callDirectly: Call<number>['callDirectly']
): Call<number> {
  return {
    worker,
    request,
    timeoutMs: COMMAND_TIMEOUT_MS + TRANSFER_MS,
    callDirectly,
    decode: (answer) => typeof answer === 'number' && Number.isFinite(answer) ? answer : undefined
  }
}
