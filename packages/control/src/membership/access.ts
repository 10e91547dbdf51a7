/**
 * Access to the store: directly, or relayed through another node while the store is unavailable to this one.
 */
import { err, type Result } from 'neverthrow'
import { sleep, type Clock } from '../clock.js'
import {
  Store, StoreFailure, type Fence, type KeyedRecord, type NewestPage, type RecordPage, type StoreAnswer, type StoreCall,
  type StoreClient, type Topic
} from '../ports/store.js'

/** Bounds of the answer timeout. It doubles with each lost answer, so that a slow store can still answer in time. */
const MIN_ANSWER_TIMEOUT_MS = 1000
const MAX_ANSWER_TIMEOUT_MS = 8000
/**
 * Minimum time without an answer after which a call is sent again on another connection. A connection on which an answer was lost
 * delivers no further answers, even after the store has recovered.
 */
const MIN_RESEND_DELAY_MS = 1000
/** Minimum time without a direct answer after which the call is also relayed: many times the answer time of a healthy store. */
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
  /** Moving average of the time of direct answers, without long polls. */
  meanAnswerMs = 0
  /** Steady time of the latest direct answer. */
  private lastAnswerMs = -Infinity

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
  async callDirect (call: StoreCall): Promise<Result<StoreAnswer, StoreFailure>> {
    this.lastDirectCallMs = this.clock.now()
    const startedMs = this.clock.now()
    const answer = await this.callWithResends(call)
    const failure = answer.isErr() ? answer.error : undefined
    // A lost call is no sign of an outage if the store has answered other calls since it was sent.
    if (failure !== StoreFailure.NoAnswer || this.lastAnswerMs < startedMs) this.recordOutcome(failure)
    if (failure === StoreFailure.NoAnswer) return answer
    this.lastAnswerMs = this.clock.now()
    const tookMs = this.lastAnswerMs - startedMs
    if (failure === undefined && longPollMsOf(call) === 0) this.meanAnswerMs += ANSWER_WEIGHT * (tookMs - this.meanAnswerMs)
    return answer
  }

  /**
   * Repeats a call until it is answered or refused, or until the timeout. The first attempt stays in flight until the timeout,
   * since a slow store may still answer it.
   */
  private async callWithResends (call: StoreCall): Promise<Result<StoreAnswer, StoreFailure>> {
    const deadlineMs = this.clock.now() + this.answerTimeoutMs + longPollMsOf(call)
    const resendDelayMs = Math.max(MIN_RESEND_DELAY_MS, SLOW_ANSWER_FACTOR * this.meanAnswerMs) + longPollMsOf(call)
    const attempts = [this.port.call(call, this.answerTimeoutMs)]
    for (;;) {
      const answer = await Promise.race([...attempts, sleep(Math.min(resendDelayMs, Math.max(0, deadlineMs - this.clock.now())))])
      if (answer !== undefined) {
        const settled = attempts.length === 1 || answer.isOk() || !isOutage(answer.error)
        // An earlier attempt that is still in flight may take effect.
        return settled ? answer : err(StoreFailure.NoAnswer)
      }
      const remainingMs = deadlineMs - this.clock.now()
      if (remainingMs <= 0) return err(StoreFailure.NoAnswer)
      // A repeated attempt waits for at most two resend delays, so that only the first and two repeated attempts are in flight.
      attempts.push(this.port.call(call, Math.min(2 * resendDelayMs, remainingMs))
        .then(async (result) => await ignoreLostAnswer(result)))
    }
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
    const direct = this.callDirect(available ? call : withoutLongPoll(call))
    const hedgeDelayMs = available ? Math.max(MIN_HEDGE_DELAY_MS, SLOW_ANSWER_FACTOR * this.meanAnswerMs) + longPollMsOf(call) : 0
    const early = await Promise.race([direct, sleep(hedgeDelayMs)])
    if (early !== undefined && (early.isOk() || !isOutage(early.error))) return early
    const relayed = this.relay(call, this.answerTimeoutMs)
    return await firstConclusive(direct, relayed)
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

/** Never resolves if the answer of a repeated attempt was lost: the first attempt or the timeout then decides. */
async function ignoreLostAnswer (answer: Result<StoreAnswer, StoreFailure>): Promise<Result<StoreAnswer, StoreFailure>> {
  return answer.isErr() && answer.error === StoreFailure.NoAnswer ? await new Promise(() => {}) : answer
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
