/**
 * Relays calls to the store through other nodes, and serves the calls that other nodes relay.
 */
import { MessageKind, type Relay } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { StoreFailure, type StoreAnswer, type StoreCall } from '../ports/store.js'
import { isOutage, type StoreAccess } from './access.js'
import type { Links } from './links.js'

/** Maximum number of nodes that are tried for one call. */
const MAX_RELAY_ATTEMPTS = 3

/** A node's answer to a relayed call. Exactly one of the two fields is set. */
interface Relayed {
  readonly failure?: StoreFailure
  readonly answer?: StoreAnswer
}

/** Relays calls to the store through other nodes. */
export class StoreRelay {
  /** Node that relayed the last successful call; empty if there is none. */
  private lastRelayNode = ''

  constructor (
    private readonly links: Pick<Links, 'ask' | 'connected'>,
    private readonly node: string,
    /** The nodes of the cell, the owner first. An empty name stands for an unknown owner. */
    private readonly relayNodes: () => readonly string[]
  ) {}

  /** Tries the node that relayed the last successful call, then the owner, the connected nodes and all others. */
  async call (call: StoreCall, timeoutMs: number): Promise<Result<StoreAnswer, StoreFailure>> {
    const names = new Set([this.lastRelayNode, ...this.relayNodes().slice(0, 1), ...this.links.connected(), ...this.relayNodes()])
    names.delete(this.node)
    names.delete('')
    let attempts = 0
    let failure = StoreFailure.Refused
    for (const name of names) {
      if (attempts++ >= MAX_RELAY_ATTEMPTS) break
      const waitMs = 'read' in call ? call.read.waitMs : 0
      const answer = await this.links.ask(name, { kind: MessageKind.Relay, ...call } as Relay, timeoutMs + waitMs)
      if (answer.isErr()) {
        if (answer.error.execution !== Execution.NotRun) failure = StoreFailure.NoAnswer
        continue
      }
      const relayed = answer.value as Relayed
      if (relayed.failure === undefined) {
        this.lastRelayNode = name
        return ok(relayed.answer!)
      }
      if (!isOutage(relayed.failure)) return err(relayed.failure)
      // A refusal by the node just tried says nothing about the call's outcome on the nodes tried before.
      if (relayed.failure === StoreFailure.NoAnswer) failure = StoreFailure.NoAnswer
    }
    return err(failure)
  }
}

/**
 * Makes a call for another node, unless the store is unavailable to this one too.
 *
 * @returns the store's answer, or a refusal if the store is unavailable to this node
 */
export async function serveRelay (access: StoreAccess, request: Relay): Promise<Result<Relayed, Refusal>> {
  if (!access.isAvailable()) return err(refuse(Reason.LogUnavailable, 'The store is unavailable to this node too.', 0))
  const { kind, ...call } = request
  const answer = await access.callDirect(call as unknown as StoreCall)
  return ok(answer.isOk() ? { answer: answer.value } : { failure: answer.error })
}
