/**
 * Advice on where steps may run. The advisor serves one call at a time for each machine, so calls are spread over the nodes.
 */
import { detach } from '../detach.js'
import type { Result } from 'neverthrow'
import type { Clock } from '../clock.js'
import type { AdviceTerms } from '../model/configuration.js'
import type { AdviceFailure, Tickets } from '../ports/advisor.js'

/** Subtracted from a ticket's time for the way of the answer and of the start. */
const TICKET_MARGIN_MS = 250
/** Calls that take longer than this are long: a short call behind one would wait for many times its own time. */
const LONG_CALL_MS = 120
/** Part of the nodes that may wait for long calls at once: the others are left to short ones. */
const LONG_PART = 0.75
/** The same for long calls about steps that have no room yet, which would keep those waiting that have. */
const EARLY_PART = 0.4
/** Less work than this is none: sums of durations are not exact. */
const IDLE_WORK_MS = 1
/** Work that may wait at the advisor for one machine before a short call goes elsewhere or waits here. */
const SHORT_WORK_MS = 60
/** Longest time for an answer, beside what the advisor needs for the calls ahead. */
const ANSWER_SLACK_MS = 800
/** Most workers that one call may name. */
const WORKERS_A_CALL = 100

/** Asks the advisor through a node. */
export type Ask = (
  node: string, step: string, workers: readonly string[], timeoutMs: number
) => Promise<Result<Tickets, AdviceFailure>>

/** A worker's incarnation. */
export interface Candidate {
  readonly id: string
  readonly born: number
}

interface Ticket {
  readonly text: string
  readonly born: number
  readonly untilMs: number
}

/** What is known of a step. The set of workers that may run it does not change. */
class Knowledge {
  readonly tickets = new Map<string, Ticket>()
  readonly asked = new Set<string>()
  /** An answer is on its way, or the inquiry waits to be sent. */
  pending = false
}

interface Inquiry {
  readonly step: string
  readonly candidates: readonly Candidate[]
  readonly costMs: number
  readonly validMs: number
  /** Smaller goes first. */
  urgency: number
  /** There is room that waits for the answer: goes before all inquiries that have none. */
  ready: boolean
}

/** Where a worker stands with a step. */
export enum Admission {
  /** The worker may run the step and its ticket is valid. */
  Valid = 'valid',
  /** The worker may run the step, with a new ticket. */
  Expired = 'expired',
  /** Nobody has asked. */
  Unknown = 'unknown',
  Forbidden = 'forbidden'
}

/** All advice that the owner has or waits for. */
export class AdviceDesk {
  private readonly steps = new Map<string, Knowledge>()
  private readonly queue: Inquiry[] = []
  /** Work that waits at the advisor, by node that asked. */
  private readonly load = new Map<string, number>()

  constructor (
    private readonly ask: Ask,
    private readonly nodes: () => readonly string[],
    private readonly clock: Clock,
    private readonly onAdvice: (step: string, granted: number, asked: number, tookMs: number, node: string) => void
  ) {}

  /** Tells where a worker stands with a step. */
  admission (step: string, worker: Candidate): Admission {
    const known = this.steps.get(step)
    const ticket = known?.tickets.get(worker.id)
    if (ticket !== undefined) {
      const valid = ticket.born === worker.born && ticket.untilMs > this.clock.now()
      return valid ? Admission.Valid : Admission.Expired
    }
    return known?.asked.has(worker.id) === true ? Admission.Forbidden : Admission.Unknown
  }

  /** The ticket of a worker for a step; empty without one. */
  ticketOf (step: string, worker: string): string {
    return this.steps.get(step)?.tickets.get(worker)?.text ?? ''
  }

  /** True while an answer for the step is on its way. */
  pending (step: string): boolean {
    return this.steps.get(step)?.pending ?? false
  }

  /**
   * Asks about workers, unless an answer for the step is on its way. An inquiry that still waits takes over the newer standing.
   *
   * @param urgency smaller goes first
   * @param ready one of the workers has room for the step now
   */
  request (step: string, workers: readonly Candidate[], terms: AdviceTerms, urgency: number, ready: boolean): void {
    let known = this.steps.get(step)
    if (known === undefined) this.steps.set(step, known = new Knowledge())
    if (known.pending) {
      const waiting = this.queue.find((inquiry) => inquiry.step === step)
      if (waiting !== undefined) Object.assign(waiting, { urgency, ready })
      return
    }
    if (workers.length === 0) return
    known.pending = true
    const candidates = workers.slice(0, WORKERS_A_CALL)
    const costMs = terms.callMs + terms.workerMs * candidates.length
    this.queue.push({ step, candidates, costMs, validMs: terms.validMs, urgency, ready })
    this.advance()
  }

  /** A ticket was rejected: it has to be asked for again. */
  expire (step: string, worker: string): void {
    const known = this.steps.get(step)
    const ticket = known?.tickets.get(worker)
    if (ticket !== undefined) known!.tickets.set(worker, { ...ticket, untilMs: 0 })
  }

  /** Forgets a job that has ended. */
  forget (job: string): void {
    for (const step of this.steps.keys()) {
      if (step.startsWith(job)) this.steps.delete(step)
    }
  }

  /** Sends waiting inquiries to nodes with little to wait for. */
  advance (): void {
    this.queue.sort((left, right) => Number(right.ready) - Number(left.ready) || left.urgency - right.urgency)
    for (let index = 0; index < this.queue.length;) {
      const inquiry = this.queue[index]!
      const node = this.chooseNode(inquiry)
      if (node === undefined) {
        index++
        continue
      }
      this.queue.splice(index, 1)
      detach(this.send(node, inquiry))
    }
  }

  private async send (node: string, inquiry: Inquiry): Promise<void> {
    const { step, candidates, costMs } = inquiry
    this.load.set(node, (this.load.get(node) ?? 0) + costMs)
    const sentMs = this.clock.now()
    const ids = candidates.map((candidate) => candidate.id)
    const advice = await this.ask(node, step, ids, 2 * costMs + ANSWER_SLACK_MS)
    this.load.set(node, this.load.get(node)! - costMs)
    const known = this.steps.get(step)
    if (known !== undefined) {
      known.pending = false
      if (advice.isOk()) this.learn(known, inquiry, advice.value)
    }
    this.onAdvice(step, advice.isOk() ? advice.value.length : -1, candidates.length, this.clock.now() - sentMs, node)
    this.advance()
  }

  private learn (known: Knowledge, inquiry: Inquiry, tickets: Tickets): void {
    const untilMs = this.clock.now() + inquiry.validMs - TICKET_MARGIN_MS
    const granted = new Map(tickets)
    for (const { id, born } of inquiry.candidates) {
      known.asked.add(id)
      const text = granted.get(id)
      if (text !== undefined) known.tickets.set(id, { text, born, untilMs })
    }
  }

  /** The node with the least work waiting; none if the call would wait too long, or make short calls wait. */
  private chooseNode ({ costMs, ready }: Inquiry): string | undefined {
    const nodes = this.nodes()
    const long = costMs > LONG_CALL_MS
    const most = long ? IDLE_WORK_MS : SHORT_WORK_MS
    let best: string | undefined
    let least = Infinity
    let busy = 0
    for (const node of nodes) {
      const load = this.load.get(node) ?? 0
      if (load > LONG_CALL_MS) busy++
      if (load > most || load >= least) continue
      best = node
      least = load
    }
    const longMost = Math.max(1, Math.floor((ready ? LONG_PART : EARLY_PART) * nodes.length))
    return long && busy >= longMost ? undefined : best
  }
}
