/**
 * Calls to the store through another node, and for another node.
 */
import { Kind, type Relay } from '@fireflymount/protocol/message'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { StoreFailure, type StoreAnswer, type StoreCall } from '../ports/store.js'
import { isOutage, type StoreAccess } from './access.js'
import type { Links } from './links.js'

/** Nodes through which a call to the store is tried. */
const RELAYS_MAX = 3

/** What a node answers to a relayed call: one of the two. */
interface Relayed {
  readonly failure?: StoreFailure
  readonly answer?: StoreAnswer
}

/** The way to the store through other nodes. */
export class Relays {
  /** Node through which the store was last reached. */
  private last = ''

  constructor (private readonly links: Pick<Links, 'ask' | 'connected'>, private readonly node: string, private readonly others: () => readonly string[]) {}

  /** Makes a call through the node that last could, then through others. */
  async call (call: StoreCall, timeoutMs: number): Promise<Result<StoreAnswer, StoreFailure>> {
    const names = new Set([this.last, ...this.others().slice(0, 1), ...this.links.connected(), ...this.others()])
    names.delete(this.node)
    names.delete('')
    let tries = 0
    let failure = StoreFailure.Refused
    for (const name of names) {
      if (tries++ >= RELAYS_MAX) break
      const waitMs = 'read' in call ? call.read.waitMs : 0
      const answer = await this.links.ask(name, { kind: Kind.Relay, ...call } as Relay, timeoutMs + waitMs)
      if (answer.isErr()) {
        if (answer.error.execution !== Execution.NotRun) failure = StoreFailure.NoAnswer
        continue
      }
      const relayed = answer.value as Relayed
      if (relayed.failure === undefined) {
        this.last = name
        return ok(relayed.answer!)
      }
      if (!isOutage(relayed.failure)) return err(relayed.failure)
      // That this node was refused does not tell what became of the call at the nodes before it.
      if (relayed.failure === StoreFailure.NoAnswer) failure = StoreFailure.NoAnswer
    }
    return err(failure)
  }
}

/**
 * Makes a call for another node, unless the store does not serve this one either.
 *
 * @returns what the store answered
 */
export async function serveRelay (access: StoreAccess, request: Relay): Promise<Result<Relayed, Refusal>> {
  if (!access.served()) return err(refuse(Reason.LogUnavailable, 'The store does not serve this node either.', 0))
  const { kind, ...call } = request
  const answer = await access.direct(call as unknown as StoreCall)
  return ok(answer.isOk() ? { answer: answer.value } : { failure: answer.error })
}
