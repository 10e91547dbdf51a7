/**
 * Client of the advisor, which decides which workers may run a step and issues a ticket for each of them. The advisor serves one
 * call at a time for each machine. Calls are therefore spread over the nodes, each of which calls from its own machine.
 */
import { detach } from '../detach.js'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.js'
import type { AdviceSettings } from '../model/configuration.js'
import { splitTask } from '../model/worker.js'
import type { AdviceFailure, Tickets } from '../ports/advisor.js'

/** Subtracted from the validity of a ticket to cover the transit of the advisor's answer and of the start request. */
const TICKET_EXPIRY_MARGIN_MS = 250
/**
 * Calls expected to take longer than this are long. A short call queued behind a long one would wait for many times its own
 * duration.
 */
const MAX_SHORT_CALL_MS = 120
/** Share of the nodes that may be busy with long calls at once. The other nodes stay available for short calls. */
const LONG_CALL_NODE_SHARE = 0.75
/**
 * Like `LONG_CALL_NODE_SHARE`, but for long calls for steps that cannot start now, because none of the workers asked about has
 * free capacity for the step. Such calls would delay calls for steps that can start now.
 */
const UNPLACEABLE_CALL_NODE_SHARE = 0.4
/** A node with less load than this counts as idle: adding and subtracting durations leaves rounding errors. */
const MAX_IDLE_LOAD_MS = 1
/** A short call is not sent through a node whose load at the advisor is higher than this. */
const MAX_SHORT_CALL_LOAD_MS = 60
/**
 * Added to twice the expected duration of a call to get its timeout. It covers the calls ahead of a short call, which are
 * together expected to take at most `MAX_SHORT_CALL_LOAD_MS`.
 */
const ANSWER_TIMEOUT_MARGIN_MS = 800
/** Maximum number of workers in one call. */
const MAX_WORKERS_PER_CALL = 100

/** Asks the advisor through a node which of the workers may run a step. */
export type AdvisorCall = (
  node: string, step: string, workers: readonly string[], timeoutMs: number
) => Promise<Result<Tickets, AdviceFailure>>

/** A worker id together with the start time that identifies the incarnation. */
export interface WorkerIncarnation {
  readonly id: string
  readonly born: number
}

/** A call of the advisor that has ended. */
export interface FinishedCall {
  readonly step: string
  /** Number of workers that may run the step; -1 if the call failed. */
  readonly granted: number
  /** Number of workers that the call asked about. */
  readonly asked: number
  readonly tookMs: number
  /** The node that made the call. */
  readonly node: string
  /** There was no advice for the step when the call was sent. */
  readonly first: boolean
}

interface Ticket {
  /** The ticket as the advisor issued it, to be sent with a start request. */
  readonly text: string
  /** Start time of the incarnation of the worker for which the ticket was requested. */
  readonly born: number
  /** Steady time at which the ticket expires, less the margin. */
  readonly untilMs: number
}

/** The advice received for a step. The set of workers that may run a step does not change. */
class StepAdvice {
  readonly tickets = new Map<string, Ticket>()
  readonly asked = new Set<string>()
  /** A request for the step is queued or in flight. */
  pending = false
  /** The request while it is queued. */
  queued: AdviceRequest | undefined
  /** Number of answers received. */
  revision = 0
  /** Steady time until which the tickets of the last answer are valid. */
  freshUntilMs = -Infinity
}

interface AdviceRequest {
  readonly step: string
  readonly workers: readonly WorkerIncarnation[]
  /** Expected duration of the call at the advisor. */
  readonly durationMs: number
  /** Time for which the tickets are valid. */
  readonly validMs: number
  /** Placement rank of the step; the smallest is sent first. */
  rank: number
  /** One of the workers has free capacity for the step. Such requests are sent before all others. */
  placeable: boolean
}

/** What the choice of a node for a request depends on: whether the call is long, and whether the step can start now. */
enum RequestKind {
  ShortWaiting = 0,
  ShortPlaceable = 1,
  LongWaiting = 2,
  LongPlaceable = 3
}

/** What is known about whether a worker may run a step. */
export enum TicketStatus {
  /** The worker may run the step and its ticket is valid. */
  Valid = 'valid',
  /** The worker may run the step but needs a new ticket. */
  Expired = 'expired',
  /** The advisor has not been asked about the worker. */
  Unknown = 'unknown',
  Forbidden = 'forbidden'
}

/** Queues and sends requests to the advisor and caches the tickets that it grants. */
export class AdvisorClient {
  private readonly steps = new Map<string, StepAdvice>()
  /** Names of the steps in `steps`, by job. */
  private readonly stepsByJob = new Map<string, string[]>()
  private readonly queue: AdviceRequest[] = []
  /** Expected duration of the calls in flight at the advisor, by node. */
  private readonly loadMsByNode = new Map<string, number>()
  /**
   * Kinds of requests that have found no node since the last call ended. Until the next one ends, the loads of the nodes only grow,
   * so that no other request of the kind finds one either. Nodes that connect meanwhile are found at the next tick of the owner.
   */
  private readonly kindsWithoutNode = new Set<RequestKind>()

  constructor (
    private readonly askAdvisor: AdvisorCall,
    private readonly nodes: () => readonly string[],
    private readonly clock: Clock,
    /** Called after each call. */
    private readonly onAdvice: (call: FinishedCall) => void
  ) {}

  /** Returns the state of a worker's ticket for a step. */
  ticketStatus (step: string, worker: WorkerIncarnation): TicketStatus {
    const known = this.steps.get(step)
    const ticket = known?.tickets.get(worker.id)
    if (ticket !== undefined) {
      const valid = ticket.born === worker.born && ticket.untilMs > this.clock.now()
      return valid ? TicketStatus.Valid : TicketStatus.Expired
    }
    return known?.asked.has(worker.id) === true ? TicketStatus.Forbidden : TicketStatus.Unknown
  }

  /** Returns a worker's ticket for a step, or an empty string if there is none. */
  ticketOf (step: string, worker: string): string {
    return this.steps.get(step)?.tickets.get(worker)?.text ?? ''
  }

  /** Returns true if the worker may run the step, whether or not its ticket is still valid. */
  hasTicket (step: string, worker: string): boolean {
    return this.steps.get(step)?.tickets.has(worker) ?? false
  }

  /** Returns true if the advisor has answered about a worker. */
  wasAsked (step: string, worker: string): boolean {
    return this.steps.get(step)?.asked.has(worker) ?? false
  }

  /** Returns a number that changes when more becomes known about which workers may run a step. */
  revisionOf (step: string): number {
    return this.steps.get(step)?.revision ?? 0
  }

  /** Returns the steady time until which the tickets of the last answer are valid; -Infinity if there was none. */
  freshUntilMs (step: string): number {
    return this.steps.get(step)?.freshUntilMs ?? -Infinity
  }

  /** Returns true while a request for the step is queued or in flight. */
  isPending (step: string): boolean {
    return this.steps.get(step)?.pending ?? false
  }

  /**
   * Requests tickets for workers, unless a request for the step is already queued or in flight. A queued request gets the new
   * rank and the new value of `placeable`.
   *
   * @param rank placement rank of the step; the smallest is sent first
   * @param placeable one of the workers has free capacity for the step now
   */
  request (
    step: string, workers: readonly WorkerIncarnation[], settings: AdviceSettings, rank: number, placeable: boolean
  ): void {
    if (workers.length === 0) return
    const known = this.steps.get(step) ?? this.addStep(step)
    // Workers on which the step can start now are more useful than those of a request made before.
    if (placeable && known.queued?.placeable === false) this.withdraw(known)
    if (this.reprioritize(step, rank, placeable)) return
    known.pending = true
    // The answer applies to the incarnations of now.
    const named = workers.slice(0, MAX_WORKERS_PER_CALL).map(({ id, born }) => ({ id, born }))
    const durationMs = settings.callMs + settings.workerMs * named.length
    known.queued = { step, workers: named, durationMs, validMs: settings.validMs, rank, placeable }
    this.queue.push(known.queued)
    if (!this.kindsWithoutNode.has(kindOf(known.queued))) this.sendQueued()
  }

  /**
   * Gives a queued request for a step a new rank and a new value of `placeable`.
   *
   * @returns true if a request for the step is queued or in flight, so that another one has no effect
   */
  reprioritize (step: string, rank: number, placeable: boolean): boolean {
    const known = this.steps.get(step)
    if (known?.pending !== true) return false
    if (known.queued !== undefined) Object.assign(known.queued, { rank, placeable })
    return true
  }

  /** Marks a ticket as expired after a worker refused it, so that a new one is requested. */
  expire (step: string, worker: string, refused: string): void {
    const known = this.steps.get(step)
    const ticket = known?.tickets.get(worker)
    if (ticket?.text === refused) known!.tickets.set(worker, { ...ticket, untilMs: 0 })
  }

  /** Drops the advice and the queued requests for a job that has ended. */
  forget (job: string): void {
    for (const step of this.stepsByJob.get(job) ?? []) {
      const known = this.steps.get(step)
      if (known !== undefined) this.withdraw(known)
      this.steps.delete(step)
    }
    this.stepsByJob.delete(job)
  }

  /** Drops queued requests of whose workers none is of use any more, so that others can be asked about. */
  dropRequestsFor (isUnusable: (worker: string) => boolean): void {
    for (const request of [...this.queue]) {
      if (!request.workers.every(({ id }) => isUnusable(id))) continue
      this.withdraw(this.steps.get(request.step)!)
    }
  }

  /** Sends queued requests through nodes whose load at the advisor permits it. */
  sendQueued (): void {
    if (this.queue.length === 0) return
    this.queue.sort((left, right) => Number(right.placeable) - Number(left.placeable) || left.rank - right.rank)
    const nodes = this.nodes()
    this.kindsWithoutNode.clear()
    for (let index = 0; index < this.queue.length;) {
      const adviceRequest = this.queue[index]!
      const kind = kindOf(adviceRequest)
      const node = this.kindsWithoutNode.has(kind) ? undefined : this.chooseNode(nodes, adviceRequest)
      if (node === undefined) {
        this.kindsWithoutNode.add(kind)
        index++
        continue
      }
      this.queue.splice(index, 1)
      detach(this.send(node, adviceRequest))
    }
  }

  private withdraw (known: StepAdvice): void {
    if (known.queued === undefined) return
    this.queue.splice(this.queue.indexOf(known.queued), 1)
    known.queued = undefined
    known.pending = false
  }

  private addStep (step: string): StepAdvice {
    const known = new StepAdvice()
    this.steps.set(step, known)
    const { job } = splitTask(step)
    const steps = this.stepsByJob.get(job)
    if (steps === undefined) this.stepsByJob.set(job, [step])
    else steps.push(step)
    return known
  }

  private async send (node: string, adviceRequest: AdviceRequest): Promise<void> {
    const { step, workers, durationMs } = adviceRequest
    const known = this.steps.get(step)
    if (known !== undefined) known.queued = undefined
    const first = known?.revision === 0
    this.loadMsByNode.set(node, (this.loadMsByNode.get(node) ?? 0) + durationMs)
    const sentMs = this.clock.now()
    const ids = workers.map((worker) => worker.id)
    const advice = await this.askAdvisor(node, step, ids, 2 * durationMs + ANSWER_TIMEOUT_MARGIN_MS)
    this.loadMsByNode.set(node, this.loadMsByNode.get(node)! - durationMs)
    if (known !== undefined) {
      known.pending = false
      if (advice.isOk()) this.storeTickets(known, adviceRequest, advice.value)
    }
    const granted = advice.isOk() ? advice.value.length : -1
    this.onAdvice({ step, granted, asked: workers.length, tookMs: this.clock.now() - sentMs, node, first })
    this.sendQueued()
  }

  private storeTickets (known: StepAdvice, adviceRequest: AdviceRequest, tickets: Tickets): void {
    const untilMs = this.clock.now() + adviceRequest.validMs - TICKET_EXPIRY_MARGIN_MS
    known.revision++
    known.freshUntilMs = untilMs
    const granted = new Map(tickets)
    for (const { id, born } of adviceRequest.workers) {
      known.asked.add(id)
      const text = granted.get(id)
      if (text !== undefined) known.tickets.set(id, { text, born, untilMs })
    }
  }

  /** Returns the node with the least load. Returns undefined if the call would wait too long or would delay short calls. */
  private chooseNode (nodes: readonly string[], adviceRequest: AdviceRequest): string | undefined {
    const long = isLong(adviceRequest)
    const maxLoadMs = long ? MAX_IDLE_LOAD_MS : MAX_SHORT_CALL_LOAD_MS
    let best: string | undefined
    let leastLoadMs = Infinity
    let busyNodes = 0
    for (const node of nodes) {
      const loadMs = this.loadMsByNode.get(node) ?? 0
      if (loadMs > MAX_SHORT_CALL_MS) busyNodes++
      if (loadMs > maxLoadMs || loadMs >= leastLoadMs) continue
      best = node
      leastLoadMs = loadMs
    }
    const maxBusyShare = adviceRequest.placeable ? LONG_CALL_NODE_SHARE : UNPLACEABLE_CALL_NODE_SHARE
    const maxBusyNodes = Math.max(1, Math.floor(maxBusyShare * nodes.length))
    return long && busyNodes >= maxBusyNodes ? undefined : best
  }
}

function isLong ({ durationMs }: AdviceRequest): boolean {
  return durationMs > MAX_SHORT_CALL_MS
}

function kindOf (adviceRequest: AdviceRequest): RequestKind {
  if (isLong(adviceRequest)) return adviceRequest.placeable ? RequestKind.LongPlaceable : RequestKind.LongWaiting
  return adviceRequest.placeable ? RequestKind.ShortPlaceable : RequestKind.ShortWaiting
}
