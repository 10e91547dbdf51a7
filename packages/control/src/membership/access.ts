/**
 * Access to the store: directly, or relayed through another node while the store is unavailable to this one.
 */
import { err, type Result } from 'neverthrow'
import { sleep, type Clock } from '../clock.js'
import {
  Store, StoreFailure, type Fence, type KeyedRecord, type NewestPage, type RecordPage, type StoreAnswer, type StoreCall,
  type StoreClient, type Topic
} from '../ports/store.js'
import { Transfer } from './transfer.js'

/** Bounds of the answer timeout. It doubles with each lost answer, so that a slow store can still answer in time. */
const MIN_ANSWER_TIMEOUT_MS = 1000
const MAX_ANSWER_TIMEOUT_MS = 8000
/**
 * Minimum time without data of an answer after which a call is sent again on another connection. A connection on which an answer was
 * lost delivers no further answers, even after the store has recovered.
 */
const MIN_RESEND_DELAY_MS = 1000
/**
 * Minimum time until the first data of a direct answer after which the call is also relayed: many times the answer time of a healthy
 * store.
 */
const MIN_HEDGE_DELAY_MS = 250
/** Both delays are at least this many mean answer times: more calls would only add load to a store that is slow for all nodes. */
const SLOW_ANSWER_FACTOR = 4
/** Weight of the latest answer in the moving average of answer times. */
const ANSWER_WEIGHT = 0.3
/** Interval between direct calls while the store is unavailable to this node. */
const PROBE_INTERVAL_MS = 700

/** Relays a call to the store through another node. */
export type RelayCall = (call: StoreCall, timeoutMs: number) => Promise<Result<StoreAnswer, StoreFailure>>

/** Calls the store directly, through a relay, or both. */
export class StoreAccess extends Store {
  private answerTimeoutMs = MIN_ANSWER_TIMEOUT_MS
  private unavailableSinceMs: number | undefined
  private lastDirectCallMs = -Infinity
  /** Moving average of the time until the first data of direct answers, without long polls. */
  meanAnswerMs = 0
  /** Steady time at which data of any direct answer last arrived. */
  private lastDataMs = -Infinity

  constructor (
    private readonly port: StoreClient,
    private readonly relay: RelayCall,
    private readonly clock: Clock,
    private readonly onAvailabilityChange: (available: boolean, failure: StoreFailure | undefined) => void
  ) {
    super()
  }

  override async append (topic: Topic, records: readonly KeyedRecord[], fence?: Fence): Promise<Result<number, StoreFailure>> {
    return (await this.callOrRelay({ topic, append: { records, fence } })).map((answer) => answer as number)
  }

  override async read (topic: Topic, from: number, waitMs: number): Promise<Result<RecordPage, StoreFailure>> {
    return (await this.callOrRelay({ topic, read: { from, waitMs } })).map((answer) => answer as RecordPage)
  }

  override async newest (topic: Topic, after: string | undefined): Promise<Result<NewestPage, StoreFailure>> {
    return (await this.callOrRelay({ topic, newest: { after } })).map((answer) => answer as NewestPage)
  }

  /** Makes a direct call, for this node or another one. */
  async callDirect (call: StoreCall, transfer = this.startTransfer(call)): Promise<Result<StoreAnswer, StoreFailure>> {
    this.lastDirectCallMs = this.clock.now()
    const answer = await this.callWithResends(call, transfer)
    const failure = answer.isErr() ? answer.error : undefined
    // A lost call is no sign of an outage if the store has sent data of other answers since this one fell silent.
    if (failure !== StoreFailure.NoAnswer || this.lastDataMs <= transfer.latestMs) this.recordOutcome(failure)
    if (failure === StoreFailure.NoAnswer) return answer
    this.recordData(transfer, 1)
    if (failure === undefined && longPollMsOf(call) === 0) {
      this.meanAnswerMs += ANSWER_WEIGHT * (transfer.firstDataAfterMs! - this.meanAnswerMs)
    }
    return answer
  }

  /**
   * Repeats a call until it is answered or refused, or until no data has arrived for the timeout. The first attempt stays in flight
   * until then, since a slow store may still answer it.
   */
  private async callWithResends (call: StoreCall, transfer: Transfer): Promise<Result<StoreAnswer, StoreFailure>> {
    const timeoutMs = this.answerTimeoutMs
    const longPollMs = longPollMsOf(call)
    const resendDelayMs = this.resendDelayMs()
    const attempts = [this.attempt(call, timeoutMs, transfer)]
    let resentMs = -Infinity
    for (;;) {
      const nowMs = this.clock.now()
      const deadlineMs = transfer.silentFromMs + timeoutMs
      const resendAtMs = Math.max(transfer.silentFromMs, resentMs + longPollMs) + resendDelayMs
      if (nowMs >= deadlineMs) return err(StoreFailure.NoAnswer)
      if (nowMs >= resendAtMs) {
        resentMs = nowMs
        // A repeated attempt waits for at most two resend delays, so that only the first and two repeated attempts are in flight.
        attempts.push(this.attempt(call, Math.min(2 * (resendDelayMs + longPollMs), deadlineMs - nowMs), transfer))
        continue
      }
      const answer = await Promise.race([...attempts, sleep(Math.min(resendAtMs, deadlineMs) - nowMs)])
      if (answer !== undefined) return answer
    }
  }

  /**
   * Sends a call once. Does not resolve if other attempts or the timeout decide instead: if a repeated attempt was lost, or if any
   * attempt failed after the answer to another one had begun to arrive.
   */
  private async attempt (call: StoreCall, timeoutMs: number, transfer: Transfer): Promise<Result<StoreAnswer, StoreFailure>> {
    const number = ++transfer.attempts
    const answer = await this.port.call(call, timeoutMs, () => { this.recordData(transfer, number) })
    if (transfer.attempts === 1 || answer.isOk() || !isOutage(answer.error)) return answer
    const lost = number > 1 && answer.error === StoreFailure.NoAnswer
    if (lost || transfer.hasBegunElsewhere(number)) return await new Promise(() => {})
    // An earlier attempt that is still in flight may take effect.
    return err(StoreFailure.NoAnswer)
  }

  private startTransfer (call: StoreCall): Transfer {
    return new Transfer(this.clock.now(), longPollMsOf(call))
  }

  private recordData (transfer: Transfer, attempt: number): void {
    this.lastDataMs = this.clock.now()
    transfer.recordData(this.lastDataMs, attempt)
  }

  private resendDelayMs (): number {
    return Math.max(MIN_RESEND_DELAY_MS, SLOW_ANSWER_FACTOR * this.meanAnswerMs)
  }

  /** True if the store is available to this node, according to its latest direct calls. */
  isAvailable (): boolean {
    return this.unavailableSinceMs === undefined
  }

  /**
   * Makes a call directly, through another node, or both, and returns the first conclusive answer. Calls are idempotent, since
   * records are keyed and fenced appends carry a sequence number.
   */
  private async callOrRelay (call: StoreCall): Promise<Result<StoreAnswer, StoreFailure>> {
    const available = this.isAvailable()
    const probing = this.clock.now() - this.lastDirectCallMs >= PROBE_INTERVAL_MS && mayProbe(call)
    if (!available && !probing) return await this.relay(call, this.answerTimeoutMs)
    const directCall = available ? call : withoutLongPoll(call)
    const transfer = this.startTransfer(directCall)
    const direct = this.callDirect(directCall, transfer)
    const early = await this.answerBeforeHedge(direct, transfer, call, available)
    if (early !== undefined && (early.isOk() || !isOutage(early.error))) return early
    const relayed = this.relay(call, this.answerTimeoutMs)
    return await firstConclusive(direct, relayed)
  }

  /** Returns the direct answer, or undefined once it has been silent for so long that the call is also relayed. */
  private async answerBeforeHedge (
    direct: Promise<Result<StoreAnswer, StoreFailure>>, transfer: Transfer, call: StoreCall, available: boolean
  ): Promise<Result<StoreAnswer, StoreFailure> | undefined> {
    const remainingMs = (): number => transfer.silentFromMs + this.hedgeDelayMs(call, transfer, available) - this.clock.now()
    for (;;) {
      const early = await Promise.race([direct, sleep(Math.max(0, remainingMs()))])
      if (early !== undefined) return early
      if (remainingMs() <= 0) return undefined
    }
  }

  /**
   * Returns how long an answer may be silent before its call is also relayed. A page of the newest records, and an answer that has
   * begun to arrive, are given more time, since relaying them transfers them again over the links of two nodes.
   */
  private hedgeDelayMs (call: StoreCall, transfer: Transfer, available: boolean): number {
    if (transfer.begun || ('newest' in call && available)) return this.resendDelayMs()
    if (available) return Math.max(MIN_HEDGE_DELAY_MS, SLOW_ANSWER_FACTOR * this.meanAnswerMs)
    return 'newest' in call ? MIN_HEDGE_DELAY_MS : 0
  }

  private recordOutcome (failure: StoreFailure | undefined): void {
    if (failure === undefined || !isOutage(failure)) {
      if (this.unavailableSinceMs !== undefined) this.onAvailabilityChange(true, undefined)
      this.unavailableSinceMs = undefined
      this.answerTimeoutMs = Math.max(MIN_ANSWER_TIMEOUT_MS, this.answerTimeoutMs / 2)
      return
    }
    if (this.unavailableSinceMs === undefined) {
      this.unavailableSinceMs = this.clock.now()
      this.onAvailabilityChange(false, failure)
    }
    if (failure === StoreFailure.NoAnswer) this.answerTimeoutMs = Math.min(2 * this.answerTimeoutMs, MAX_ANSWER_TIMEOUT_MS)
  }
}

/** True for failures that are due to the store's availability and not to the call itself. */
export function isOutage (failure: StoreFailure): boolean {
  return failure === StoreFailure.Refused || failure === StoreFailure.NoAnswer
}

/**
 * Unfenced appends (callers' records and node addresses) do not probe the store, since a lost answer would leave their outcome
 * unknown.
 */
function mayProbe (call: StoreCall): boolean {
  return !('append' in call) || call.append.fence !== undefined
}

/** Removes the long poll from a probe, so that the store answers immediately. */
function withoutLongPoll (call: StoreCall): StoreCall {
  return 'read' in call ? { topic: call.topic, read: { ...call.read, waitMs: 0 } } : call
}

function longPollMsOf (call: StoreCall): number {
  return 'read' in call ? call.read.waitMs : 0
}

/**
 * Returns the first answer that is not an outage failure. If both are, NoAnswer takes precedence, since the call may
 * have taken effect.
 */
async function firstConclusive (
  left: Promise<Result<StoreAnswer, StoreFailure>>, right: Promise<Result<StoreAnswer, StoreFailure>>
): Promise<Result<StoreAnswer, StoreFailure>> {
  const [first, other] = await Promise.race([
    left.then((result) => [result, right] as const),
    right.then((result) => [result, left] as const)
  ])
  if (first.isOk() || !isOutage(first.error)) return first
  const second = await other
  if (second.isOk() || !isOutage(second.error)) return second
  return first.error === StoreFailure.NoAnswer ? first : second
}
