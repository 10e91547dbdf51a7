import { Execution, Reason, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { StoreRelay } from '../../src/membership/relay.js'
import { StoreFailure, Topic, type StoreCall } from '../../src/ports/store.js'

const CALL: StoreCall = { topic: Topic.Journal, append: { records: [] } }
const WRITTEN = ok({ answer: 7 })
const REFUSED = ok({ failure: StoreFailure.Refused })
const UNANSWERED = ok({ failure: StoreFailure.NoAnswer })
const FENCED = ok({ failure: StoreFailure.Fenced })
const LINK_TIMED_OUT = lost(Execution.Unknown)
const NOT_CONNECTED = lost(Execution.NotRun)

function lost (execution: Execution): Result<unknown, Refusal> {
  return err({ reason: Reason.ConnectionLost, detail: '', execution, retryAfterMs: 0 })
}

function createRelay (answers: ReadonlyArray<Result<unknown, Refusal>>): { relays: StoreRelay, asked: string[] } {
  const asked: string[] = []
  const links = {
    connected: () => [],
    ask: async (node: string) => {
      asked.push(node)
      return answers[(asked.length - 1) % answers.length]!
    }
  }
  return { relays: new StoreRelay(links, 'me', () => ['me', 'a', 'b', 'c', 'd']), asked }
}

describe('a call to the store through other nodes', () => {
  it.each([
    ['is answered by the first node that reaches the store', [WRITTEN], 7],
    ['tries the next node when a node cannot be reached', [NOT_CONNECTED, WRITTEN], 7],
    ['tries the next node when the store refuses a node', [REFUSED, WRITTEN], 7],
    ['fails when the store rejects the call itself', [FENCED], StoreFailure.Fenced],
    ['certainly had no effect when the store refuses all nodes', [REFUSED, NOT_CONNECTED, REFUSED], StoreFailure.Refused],
    ['has an unknown outcome when a node did not answer, although the next is refused',
      [LINK_TIMED_OUT, REFUSED, REFUSED], StoreFailure.NoAnswer],
    ['has an unknown outcome when the store did not answer a node, although the next is refused',
      [UNANSWERED, REFUSED, REFUSED], StoreFailure.NoAnswer]
  ])('%s', async (_, answers, expected) => {
    const called = await createRelay(answers).relays.call(CALL, 100)
    expect(called.isOk() ? called.value : called.error).toBe(expected)
  })

  it('tries the node that relayed the last successful call first', async () => {
    const { relays, asked } = createRelay([REFUSED, WRITTEN])
    await relays.call(CALL, 100)
    await relays.call(CALL, 100)
    expect(asked).toEqual(['a', 'b', 'b', 'a'])
  })
})
