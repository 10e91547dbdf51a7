import { MessageKind, type Relay } from '@fireflymount/protocol/message'
import { Execution, Reason, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { RelayServer, StoreRelay } from '../../src/membership/relay.js'
import { StoreFailure, Topic, type StoreAnswer, type StoreCall, type StoredRecord } from '../../src/ports/store.js'

const CALL: StoreCall = { topic: Topic.Journal, append: { records: [] } }
const READ: StoreCall = { topic: Topic.Journal, read: { from: 0, waitMs: 1000 } }
const NEWEST: StoreCall = { topic: Topic.Journal, newest: {} }
const WRITTEN = ok({ answer: 7 })
const REFUSED = ok({ failure: StoreFailure.Refused })
const UNANSWERED = ok({ failure: StoreFailure.NoAnswer })
const FENCED = ok({ failure: StoreFailure.Fenced })
const LINK_TIMED_OUT = lost(Execution.Unknown)
/** The answer of a node to which the store is unavailable. */
const LACKING: Result<unknown, Refusal> = err({
  reason: Reason.LogUnavailable, detail: '', execution: Execution.NotRun, retryAfterMs: 0
})
const NODES = Array.from('abcdefghijkl')
const NOT_CONNECTED = lost(Execution.NotRun)

function lost (execution: Execution): Result<unknown, Refusal> {
  return err({ reason: Reason.ConnectionLost, detail: '', execution, retryAfterMs: 0 })
}

interface RelayFixture {
  readonly relays: StoreRelay
  readonly asked: string[]
  readonly timeoutsMs: number[]
}

function createRelay (answers: ReadonlyArray<Result<unknown, Refusal>>, owner = 'me'): RelayFixture {
  const asked: string[] = []
  const timeoutsMs: number[] = []
  const links = {
    connected: () => [],
    ask: async (node: string, _: unknown, timeoutMs: number) => {
      asked.push(node)
      timeoutsMs.push(timeoutMs)
      return answers[(asked.length - 1) % answers.length]!
    }
  }
  return { relays: new StoreRelay(links, 'me', () => [owner, 'me', 'a', 'b', 'c', 'd']), asked, timeoutsMs }
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
      [UNANSWERED, REFUSED, REFUSED], StoreFailure.NoAnswer],
    // Guards against a process that ends because another node's answer is none.
    ['tries the next node when the answer of a node is null', [ok(null), WRITTEN], 7],
    ['tries the next node when the failure that a node names is unknown', [ok({ failure: 'tired' }), WRITTEN], 7],
    ['tries the next node when the records of a page are none', [ok({ answer: { records: [5], end: 1 } }), WRITTEN], 7],
    ['tries the next node when a page has no end', [ok({ answer: { records: [] } }), WRITTEN], 7]
  ])('%s', async (_, answers, expected) => {
    const called = await createRelay(answers).relays.call(CALL, 100)
    expect(called.isOk() ? called.value : called.error).toBe(expected)
  })

  it('tries the node that relayed the last successful call first', async () => {
    const { relays, asked } = createRelay([REFUSED, WRITTEN])
    await relays.call(CALL, 100)
    await relays.call(CALL, 100)
    expect(asked).toEqual(['a', 'b', 'b', 'c'])
  })

  // Guards against an owner that stays without the store for as long as its first three connections lead to nodes that lack it too,
  // although others reach it.
  it.each<[string, Record<string, Result<unknown, Refusal>>, number, string[]]>([
    ['past nodes that lack it too, in one call', { a: LACKING, b: LACKING, c: LACKING, d: LACKING, e: WRITTEN }, 1, ['a', 'b', 'c', 'd', 'e']],
    ['past nodes that the store refuses, in the next call',
      { a: REFUSED, b: REFUSED, c: REFUSED, d: REFUSED, e: WRITTEN }, 2, ['a', 'b', 'c', 'd', 'e']],
    ['past nodes that do not answer, in the next call',
      { a: UNANSWERED, b: LINK_TIMED_OUT, c: NOT_CONNECTED, d: WRITTEN }, 2, ['a', 'b', 'c', 'd']],
    ['past a bounded number of nodes that lack it, in each call', {}, 1, NODES.slice(0, 8)]
  ])('finds the store %s', async (_, answers, calls, expected) => {
    const asked: string[] = []
    const links = {
      connected: () => [...NODES],
      ask: async (node: string) => {
        asked.push(node)
        return answers[node] ?? LACKING
      }
    }
    const relays = new StoreRelay(links, 'me', () => ['me'])
    let found = false
    for (let call = 0; call < calls; call++) found = (await relays.call(CALL, 100)).isOk()
    expect([asked, found]).toEqual([expected, Object.values(answers).includes(WRITTEN)])
  })

  it.each([
    ['the owner first for an append', CALL, ['owner', 'a', 'b']],
    ['the owner first for new records', READ, ['owner', 'a', 'b']],
    ['other nodes first for the newest records, whose pages would fill the owner\'s link', NEWEST, ['a', 'b', 'c']]
  ])('tries %s', async (_, call, expected) => {
    const { relays, asked } = createRelay([REFUSED], 'owner')
    await relays.call(call, 100)
    expect(asked).toEqual(expected)
  })

  // Guards against relayed pages that are cut and asked for again for ever: a page takes 1.2 s on a link of 7 Mbit/s.
  it.each([
    ['an append only for its timeout', CALL, 100, 100],
    ['new records also for the long poll and the transfer', READ, 2500, 6000],
    ['the newest records also for the transfer', NEWEST, 1500, 6000]
  ])('waits for %s', async (_, call, minMs, maxMs) => {
    const { relays, timeoutsMs } = createRelay([WRITTEN])
    await relays.call(call, 100)
    expect(timeoutsMs[0]).toBeGreaterThanOrEqual(minMs)
    expect(timeoutsMs[0]).toBeLessThanOrEqual(maxMs)
  })
})

const LINK_BYTES_PER_MS = 875
/** Time without a heartbeat after which a connection between nodes is closed. */
const SILENCE_TIMEOUT_MS = 1000

function createRecords (count: number, bytes: number): StoredRecord[] {
  return Array.from({ length: count }, (_, offset) => ({ key: `k${offset}`, value: Buffer.alloc(bytes), offset }))
}

describe('a node that makes calls for others', () => {
  const READ_REQUEST = { kind: MessageKind.Relay, ...READ } as Relay
  const NEWEST_REQUEST = { kind: MessageKind.Relay, ...NEWEST } as Relay

  function createServer (answer: () => Promise<StoreAnswer>, available = true): RelayServer {
    return new RelayServer({ isAvailable: () => available, callDirect: async () => ok(await answer()) })
  }

  async function serve (server: RelayServer, request: Relay): Promise<StoreAnswer | undefined> {
    const served = await server.serve(request)
    return served.isOk() ? served.value.answer : undefined
  }

  it('refuses them while the store is unavailable to it too', async () => {
    expect(await serve(createServer(async () => 7, false), READ_REQUEST)).toBeUndefined()
  })

  it.each([
    ['a small page of newest records as it is', NEWEST_REQUEST, { records: createRecords(3, 10), end: 9, next: undefined }],
    ['a last page of new records as it is', READ_REQUEST, { records: createRecords(3, 10), end: 9 }],
    ['the offset of an append', READ_REQUEST, 7]
  ])('passes on %s', async (_, request, answer: StoreAnswer) => {
    expect(await serve(createServer(async () => answer), request)).toEqual(answer)
  })

  // A frame that takes longer than the timeout for silence would end the connection to the other node.
  it.each([
    ['newest records, which continue after its last key', NEWEST_REQUEST, { records: createRecords(10, 100_000), end: 10, next: undefined }],
    ['new records, which continue at its last offset', READ_REQUEST, { records: createRecords(10, 100_000), end: 10 }]
  ])('cuts a large page of %s', async (_, request, page) => {
    const answer = await serve(createServer(async () => page), request) as typeof page
    const bytes = answer.records.reduce((sum, record) => sum + record.value!.length, 0)
    expect(answer.records).toEqual(page.records.slice(0, answer.records.length))
    expect([answer.records.length > 0, bytes / LINK_BYTES_PER_MS < SILENCE_TIMEOUT_MS / 2, answer.end]).toEqual([true, true, 10])
    if ('next' in page) expect(answer).toMatchObject({ next: `k${answer.records.length - 1}` })
  })

  it('passes on at least one record, however large it is', async () => {
    const answer = await serve(createServer(async () => ({ records: createRecords(2, 900_000), end: 2 })), READ_REQUEST)
    expect((answer as { records: readonly StoredRecord[] }).records.map((record) => record.offset)).toEqual([0])
  })

  it('reads one page of newest records at a time, since each may fill its link', async () => {
    let finish = (): void => {}
    const server = createServer(async () => {
      await new Promise<void>((resolve) => { finish = resolve })
      return { records: [], end: 0, next: undefined }
    })
    const first = serve(server, NEWEST_REQUEST)
    expect((await server.serve(NEWEST_REQUEST))._unsafeUnwrapErr()).toMatchObject({ execution: Execution.NotRun })
    finish()
    expect(await first).toBeDefined()
    const second = serve(server, NEWEST_REQUEST)
    finish()
    expect(await second).toBeDefined()
  })
})
