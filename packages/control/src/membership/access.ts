/**
 * The way to the store: directly, or through another node while the store does not serve this one.
 */
import { err, type Result } from 'neverthrow'
import { sleep, type Clock } from '../clock.js'
import {
  Store, StoreFailure, type Fence, type KeyedRecord, type NewestPage, type RecordPage, type StoreAnswer, type StoreCall,
  type StorePort, type Topic
} from '../ports/store.js'

/** Shortest and longest time for an answer; doubles while answers fail to come, so that a slow store is still heard. */
const PATIENCE_MIN_MS = 1000
const PATIENCE_MAX_MS = 8000
/**
 * Without an answer for this long a call is made again on another connection: one on which an answer was lost stays silent, also
 * after the store has recovered.
 */
const RESEND_MS = 1000
/** Without a direct answer for this long the call is also made through another node: many times a sound store's answer. */
const HEDGE_AFTER_MS = 250
/** The same as a multiple of recent answers: a store that is slow for all is not helped by more calls. */
const HEDGE_FACTOR = 4
/** Weight of one answer in the mean time of answers. */
const ANSWER_WEIGHT = 0.3
/** How often the direct way is tried while the store does not serve this node. */
const PROBE_INTERVAL_MS = 700

/** Makes a call through another node. */
export type Relay = (call: StoreCall, timeoutMs: number) => Promise<Result<StoreAnswer, StoreFailure>>

/** Reaches the store. */
export class StoreAccess extends Store {
  private patienceMs = PATIENCE_MIN_MS
  private failingSinceMs: number | undefined
  private probedMs = -Infinity
  /** Mean time of recent direct answers, without the time that calls let them wait. */
  answerMs = 0
  /** Steady time of the newest direct answer. */
  private answeredMs = -Infinity

  constructor (
    private readonly port: StorePort,
    private readonly relay: Relay,
    private readonly clock: Clock,
    private readonly onDependency: (reachable: boolean, failure: StoreFailure | undefined) => void
  ) {
    super()
  }

  override async append (topic: Topic, records: readonly KeyedRecord[], fence?: Fence): Promise<Result<number, StoreFailure>> {
    return (await this.reach({ topic, append: { records, fence } })).map((answer) => answer as number)
  }

  override async read (topic: Topic, from: number, waitMs: number): Promise<Result<RecordPage, StoreFailure>> {
    return (await this.reach({ topic, read: { from, waitMs } })).map((answer) => answer as RecordPage)
  }

  override async newest (topic: Topic, after: string | undefined): Promise<Result<NewestPage, StoreFailure>> {
    return (await this.reach({ topic, newest: { after } })).map((answer) => answer as NewestPage)
  }

  /** Makes a call directly, for this node or another. */
  async direct (call: StoreCall): Promise<Result<StoreAnswer, StoreFailure>> {
    this.probedMs = this.clock.now()
    const startedMs = this.clock.now()
    const answer = await this.persist(call)
    const failure = answer.isErr() ? answer.error : undefined
    // A call that got lost says little of a store that has answered others since it was sent.
    if (failure !== StoreFailure.NoAnswer || this.answeredMs < startedMs) this.note(failure)
    if (failure === StoreFailure.NoAnswer) return answer
    this.answeredMs = this.clock.now()
    const tookMs = this.answeredMs - startedMs
    if (failure === undefined && waitOf(call) === 0) this.answerMs += ANSWER_WEIGHT * (tookMs - this.answerMs)
    return answer
  }

  /** Makes a call until it is answered, the store turns it away, or patience ends. Earlier tries stay open for a slow store. */
  private async persist (call: StoreCall): Promise<Result<StoreAnswer, StoreFailure>> {
    const endMs = this.clock.now() + this.patienceMs + waitOf(call)
    const resendMs = Math.max(RESEND_MS, HEDGE_FACTOR * this.answerMs) + waitOf(call)
    const open = [this.port.call(call, this.patienceMs)]
    for (;;) {
      const answer = await Promise.race([...open, sleep(Math.min(resendMs, Math.max(0, endMs - this.clock.now())))])
      if (answer !== undefined) {
        const settled = open.length === 1 || answer.isOk() || !isOutage(answer.error)
        // An earlier try that is open can still be carried out.
        return settled ? answer : err(StoreFailure.NoAnswer)
      }
      const leftMs = endMs - this.clock.now()
      if (leftMs <= 0) return err(StoreFailure.NoAnswer)
      open.push(this.port.call(call, Math.min(2 * resendMs, leftMs)).then(async (again) => await unlessLost(again)))
    }
  }

  /** True if the store serves this node directly, as far as it knows. */
  served (): boolean {
    return this.failingSinceMs === undefined
  }

  /**
   * Makes a call directly, through another node, or both: the first useful answer counts. Every call may be carried out twice
   * without harm, since records are keyed and fenced appends carry a sequence number.
   */
  private async reach (call: StoreCall): Promise<Result<StoreAnswer, StoreFailure>> {
    const served = this.served()
    const probing = this.clock.now() - this.probedMs >= PROBE_INTERVAL_MS && mayProbe(call)
    if (!served && !probing) return await this.relay(call, this.patienceMs)
    const direct = this.direct(served ? call : withoutWait(call))
    const hedgeMs = served ? Math.max(HEDGE_AFTER_MS, HEDGE_FACTOR * this.answerMs) + waitOf(call) : 0
    const early = await Promise.race([direct, sleep(hedgeMs)])
    if (early !== undefined && (early.isOk() || !isOutage(early.error))) return early
    const relayed = this.relay(call, this.patienceMs)
    return await firstUseful(direct, relayed)
  }

  private note (failure: StoreFailure | undefined): void {
    if (failure === undefined || !isOutage(failure)) {
      if (this.failingSinceMs !== undefined) this.onDependency(true, undefined)
      this.failingSinceMs = undefined
      this.patienceMs = Math.max(PATIENCE_MIN_MS, this.patienceMs / 2)
      return
    }
    if (this.failingSinceMs === undefined) {
      this.failingSinceMs = this.clock.now()
      this.onDependency(false, failure)
    }
    if (failure === StoreFailure.NoAnswer) this.patienceMs = Math.min(2 * this.patienceMs, PATIENCE_MAX_MS)
  }
}

/** True for failures that say nothing about the call itself. */
export function isOutage (failure: StoreFailure): boolean {
  return failure === StoreFailure.Refused || failure === StoreFailure.NoAnswer
}

/** Records of callers do not try out a store that may be away: what became of them would be left in doubt. */
function mayProbe (call: StoreCall): boolean {
  return !('append' in call) || call.append.fence !== undefined
}

/** A store that may be away is asked for a prompt answer. */
function withoutWait (call: StoreCall): StoreCall {
  return 'read' in call ? { topic: call.topic, read: { ...call.read, waitMs: 0 } } : call
}

function waitOf (call: StoreCall): number {
  return 'read' in call ? call.read.waitMs : 0
}

/** A try without an answer decides nothing: the call ends with the first try or with patience. */
async function unlessLost (answer: Result<StoreAnswer, StoreFailure>): Promise<Result<StoreAnswer, StoreFailure>> {
  return answer.isErr() && answer.error === StoreFailure.NoAnswer ? await new Promise(() => {}) : answer
}

/** The first answer that is no outage. Of two outages the one that leaves open what happened. */
async function firstUseful (
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
