/**
 * Relays calls to the store through other nodes, and serves the calls that other nodes relay.
 */
import { MessageKind, type Relay } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { StoreFailure, type StoreAnswer, type StoreCall } from '../ports/store.js'
import { isOutage, type StoreAccess } from './access.js'
import type { Links } from './links.js'

/** Maximum number of nodes that are tried for one call, without those that refuse at once. */
const MAX_RELAY_ATTEMPTS = 3
/** Maximum number of nodes that refuse one call at once, because the store is unavailable to them too or they are busy. */
const MAX_RELAY_REFUSALS = 8
/**
 * Added to the timeout of a relayed read: time for a page of the store over the link of a node that may be narrow. A node that stops
 * answering is noticed earlier, by the heartbeats of its connection.
 */
const PAGE_TRANSFER_MS = 3000
/** Maximum size of the records in a relayed answer. While one is transferred, no heartbeat arrives on its connection. */
const MAX_RELAYED_BYTES = 256 * 1024
/** Maximum number of calls for newest records that a node makes for others at a time, since each may fill its link for a second. */
const MAX_NEWEST_CALLS = 1

/** A node's answer to a relayed call. Exactly one of the two fields is set. */
interface Relayed {
  readonly failure?: StoreFailure
  readonly answer?: StoreAnswer
}

const FAILURES: ReadonlySet<unknown> = new Set(Object.values(StoreFailure))

/** Relays calls to the store through other nodes. */
export class StoreRelay {
  /** Node that relayed the last successful call; empty if there is none. */
  private lastRelayNode = ''
  /** Nodes whose last call failed, the oldest failure first. They are tried after all others. */
  private readonly failedNodes = new Set<string>()

  constructor (
    private readonly links: Pick<Links, 'ask' | 'connected'>,
    private readonly node: string,
    /** The nodes of the cell, the owner first. An empty name stands for an unknown owner. */
    private readonly relayNodes: () => readonly string[]
  ) {}

  /**
   * Relays a call through the first node that can make it.
   *
   * @param call the call
   * @param timeoutMs timeout of each node's answer, not counting the call's long-poll time and the transfer of a page
   */
  async call (call: StoreCall, timeoutMs: number): Promise<Result<StoreAnswer, StoreFailure>> {
    let attempts = 0
    let refusals = 0
    let failure = StoreFailure.Refused
    const totalTimeoutMs = timeoutMs + ('read' in call ? call.read.waitMs : 0) + ('append' in call ? 0 : PAGE_TRANSFER_MS)
    for (const name of this.candidates(call)) {
      if (attempts >= MAX_RELAY_ATTEMPTS || refusals >= MAX_RELAY_REFUSALS) break
      const answer = await this.links.ask(name, { kind: MessageKind.Relay, ...call } as Relay, totalTimeoutMs)
      if (answer.isErr()) {
        this.recordFailure(name)
        const refusedAtOnce = answer.error.execution === Execution.NotRun && answer.error.reason !== Reason.ConnectionLost
        if (refusedAtOnce) refusals++
        else attempts++
        if (answer.error.execution !== Execution.NotRun) failure = StoreFailure.NoAnswer
        continue
      }
      attempts++
      const relayed = decodeRelayed(answer.value)
      if (relayed === undefined) {
        this.recordFailure(name)
        failure = StoreFailure.NoAnswer
        continue
      }
      if (relayed.failure === undefined) {
        this.failedNodes.delete(name)
        this.lastRelayNode = name
        return ok(relayed.answer!)
      }
      if (!isOutage(relayed.failure)) return err(relayed.failure)
      this.recordFailure(name)
      // A refusal by the node just tried says nothing about the call's outcome on the nodes tried before.
      if (relayed.failure === StoreFailure.NoAnswer) failure = StoreFailure.NoAnswer
    }
    return err(failure)
  }

  private recordFailure (name: string): void {
    this.failedNodes.delete(name)
    this.failedNodes.add(name)
  }

  /**
   * Returns the node that relayed the last successful call, then the owner, the connected nodes, all others, and the nodes whose last
   * call failed. The owner comes after them for the newest records, whose pages would delay its own calls.
   */
  private candidates (call: StoreCall): Set<string> {
    const nodes = this.relayNodes()
    const owner = nodes[0] ?? ''
    const names = new Set([this.lastRelayNode, owner, ...this.links.connected(), ...nodes])
    for (const node of this.failedNodes) {
      // A node that has left the cell is forgotten.
      if (!names.has(node)) this.failedNodes.delete(node)
      moveLast(names, node)
    }
    if ('newest' in call) moveLast(names, owner)
    names.delete(this.node)
    names.delete('')
    return names
  }
}

/** Moves a name behind all others, if it is among them. */
function moveLast (names: Set<string>, name: string): void {
  if (names.delete(name)) names.add(name)
}

/** Serves the calls to the store that other nodes relay through this one. */
export class RelayServer {
  private newestCalls = 0

  constructor (private readonly access: Pick<StoreAccess, 'isAvailable' | 'callDirect'>) {}

  /**
   * Makes a call for another node, unless the store is unavailable to this one too. A page that is too large for the link to the
   * other node is cut; its reader continues after the records that it got.
   *
   * @returns the store's answer, or a refusal if this node does not make the call
   */
  async serve (request: Relay): Promise<Result<Relayed, Refusal>> {
    if (!this.access.isAvailable()) return err(refuse(Reason.LogUnavailable, 'The store is unavailable to this node too.', 0))
    const { kind, ...fields } = request
    const call = fields as unknown as StoreCall
    if (!('newest' in call)) return await this.makeCall(call)
    if (this.newestCalls >= MAX_NEWEST_CALLS) return err(refuse(Reason.QueueFull, 'This node relays other pages already.', 0))
    this.newestCalls++
    try {
      return await this.makeCall(call)
    } finally {
      this.newestCalls--
    }
  }

  private async makeCall (call: StoreCall): Promise<Result<Relayed, Refusal>> {
    const answer = await this.access.callDirect(call)
    return ok(answer.isOk() ? { answer: cutPage(answer.value) } : { failure: answer.error })
  }
}

/** Limits a page to its first records, at least one. */
function cutPage (answer: StoreAnswer): StoreAnswer {
  if (typeof answer === 'number') return answer
  let bytes = 0
  for (const [index, { key, value }] of answer.records.entries()) {
    bytes += Buffer.byteLength(key) + (value?.length ?? 0)
    if (bytes <= MAX_RELAYED_BYTES || index === 0) continue
    const records = answer.records.slice(0, index)
    return 'next' in answer ? { ...answer, records, next: records.at(-1)!.key } : { ...answer, records }
  }
  return answer
}

/** Returns what another node answered, or undefined if it is no answer. */
function decodeRelayed (value: unknown): Relayed | undefined {
  const { failure, answer } = (value ?? {}) as { readonly failure?: unknown, readonly answer?: unknown }
  if (FAILURES.has(failure)) return { failure: failure as StoreFailure }
  return failure === undefined && isStoreAnswer(answer) ? { answer } : undefined
}

function isStoreAnswer (answer: unknown): answer is StoreAnswer {
  if (typeof answer === 'number') return Number.isSafeInteger(answer)
  const { records, end } = (answer ?? {}) as { readonly records?: unknown, readonly end?: unknown }
  return Number.isSafeInteger(end) && Array.isArray(records) && records.every(isStoredRecord)
}

function isStoredRecord (record: unknown): boolean {
  const { key, value, offset } = (record ?? {}) as { readonly key?: unknown, readonly value?: unknown, readonly offset?: unknown }
  return typeof key === 'string' && Number.isSafeInteger(offset) && (value === undefined || value instanceof Uint8Array)
}
