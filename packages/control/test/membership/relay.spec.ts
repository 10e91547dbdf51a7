import { Execution, Reason, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { Relays } from '../../src/membership/relay.js'
import { StoreFailure, Topic, type StoreCall } from '../../src/ports/store.js'

const CALL: StoreCall = { topic: Topic.Journal, append: { records: [] } }
const WRITTEN = ok({ answer: 7 })
const REFUSED = ok({ failure: StoreFailure.Refused })
const SILENT = ok({ failure: StoreFailure.NoAnswer })
const FENCED = ok({ failure: StoreFailure.Fenced })
const TIMED_OUT = lost(Execution.Unknown)
const NOT_CONNECTED = lost(Execution.NotRun)

function lost (execution: Execution): Result<unknown, Refusal> {
  return err({ reason: Reason.ConnectionLost, detail: '', execution, retryAfterMs: 0 })
}

function createRelays (answers: ReadonlyArray<Result<unknown, Refusal>>): { relays: Relays, asked: string[] } {
  const asked: string[] = []
  const links = {
    connected: () => [],
    ask: async (node: string) => {
      asked.push(node)
      return answers[(asked.length - 1) % answers.length]!
    }
  }
  return { relays: new Relays(links, 'me', () => ['me', 'a', 'b', 'c', 'd']), asked }
}

describe('a call to the store through other nodes', () => {
  it.each([
    ['is done by the first that can', [WRITTEN], 7],
    ['goes on to the next when a node cannot be reached', [NOT_CONNECTED, WRITTEN], 7],
    ['goes on to the next when a node is refused', [REFUSED, WRITTEN], 7],
    ['ends with what the store says of the call itself', [FENCED], StoreFailure.Fenced],
    ['was provably not done when all nodes are refused', [REFUSED, NOT_CONNECTED, REFUSED], StoreFailure.Refused],
    ['may have been done by a node that did not answer, though the next is refused', [TIMED_OUT, REFUSED, REFUSED], StoreFailure.NoAnswer],
    ['may have been done by a node that got no answer, though the next is refused', [SILENT, REFUSED, REFUSED], StoreFailure.NoAnswer]
  ])('%s', async (_, answers, expected) => {
    const called = await createRelays(answers).relays.call(CALL, 100)
    expect(called.isOk() ? called.value : called.error).toBe(expected)
  })

  it('asks the node first that could last time', async () => {
    const { relays, asked } = createRelays([REFUSED, WRITTEN])
    await relays.call(CALL, 100)
    await relays.call(CALL, 100)
    expect(asked).toEqual(['a', 'b', 'b', 'a'])
  })
})
