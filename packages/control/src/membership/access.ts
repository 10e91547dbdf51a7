/**
 * The way to the store: directly, or through another node while the store does not serve this one.
 */
import { err, ok, type Result } from 'neverthrow'
import { NEVER, type Clock, type Stamp } from '../clock.js'
import {
  Store, StoreFailure, type Fence, type KeyedRecord, type NewestPage, type RecordPage, type StoreAnswer, type StoreCall,
  type StorePort, type Topic
} from '../ports/store.js'

/** Shortest and longest time for an answer; doubles while answers fail to come, so that a slow store is still heard. */
const PATIENCE_MIN_MS = 1000
const PATIENCE_MAX_MS = 8000
/** After this long without a direct answer, calls go through another node first. */
const DETOUR_AFTER_MS = 600
/** How often the direct way is tried while calls go through another node. */
const RETRY_DIRECT_MS = 1000

/** Makes a call through another node. */
export type Relay = (call: StoreCall, timeoutMs: number) => Promise<Result<StoreAnswer, StoreFailure>>

/** Reaches the store. */
export class StoreAccess extends Store {
  /** When the store last answered this node directly. */
  heardAt: Stamp = NEVER
  private patienceMs = PATIENCE_MIN_MS
  private failingSinceMs: number | undefined
  private triedDirectMs = -Infinity

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
    this.triedDirectMs = this.clock.now()
    const answer = await this.port.call(call, this.patienceMs)
    this.note(answer.isErr() ? answer.error : undefined)
    return answer
  }

  /** True if the store serves this node directly, as far as it knows. */
  served (): boolean {
    return this.failingSinceMs === undefined
  }

  private async reach (call: StoreCall): Promise<Result<StoreAnswer, StoreFailure>> {
    if (!this.detours()) {
      const answer = await this.direct(call)
      if (answer.isOk() || !isOutage(answer.error)) return answer
      // An append that may have taken effect is repeated by its caller, who knows whether that is safe.
      if (!this.detours()) return answer
    }
    const relayed = await this.relay(call, this.patienceMs)
    if (relayed.isOk() || !isOutage(relayed.error)) return relayed
    if (this.clock.now() - this.triedDirectMs < RETRY_DIRECT_MS) return relayed
    return await this.direct(call)
  }

  private detours (): boolean {
    if (this.failingSinceMs === undefined) return false
    const now = this.clock.now()
    return now - this.failingSinceMs > DETOUR_AFTER_MS && now - this.triedDirectMs < RETRY_DIRECT_MS
  }

  private note (failure: StoreFailure | undefined): void {
    if (failure === undefined || !isOutage(failure)) {
      if (this.failingSinceMs !== undefined) this.onDependency(true, undefined)
      this.failingSinceMs = undefined
      this.patienceMs = Math.max(PATIENCE_MIN_MS, this.patienceMs / 2)
      this.heardAt = this.clock.stamp()
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

/** An answer that a peer sent back, or the failure that it names. */
export function decodeRelayed (value: unknown): Result<StoreAnswer, StoreFailure> {
  const { failure, answer } = value as { failure?: StoreFailure, answer?: StoreAnswer }
  return failure === undefined ? ok(answer!) : err(failure)
}
