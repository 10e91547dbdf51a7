import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { ok } from 'neverthrow'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { WebSocketServer, type WebSocket } from 'ws'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { DEFAULT_TIMING } from '@fireflymount/manifest/settings-codec'
import { Connection } from '@fireflymount/protocol/connection'
import { MessageKind, type Request } from '@fireflymount/protocol/message'
import { Execution } from '@fireflymount/protocol/refusal'
import { Peers, type PeersOptions } from '../src/peer/peers.js'
import { FakeMetrics } from './entry-fakes.js'

const LONG_TIMEOUT_MS = 5000
const SHORT_TIMEOUT_MS = 200
const SHARD = 'cloth-studio'
let server: WebSocketServer
let peers: Peers
let handled: MessageKind[]
/** The connection at the owner. */
let ownerSocket: WebSocket

/** @param port on which the node listens for others */
function createPeers (port: number): Peers {
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return new Peers({
    settings: { node: 'entry', zone: 'z', peer: { host: '127.0.0.1', port }, timing: DEFAULT_TIMING },
    members: { vm: () => ({ address }), candidates: () => ['owner'] },
    metrics: new FakeMetrics(),
    logger: { warn: () => {} },
    clock: new SystemClock(),
    zonesOf: () => []
  } as unknown as PeersOptions)
}

beforeEach(async () => {
  handled = []
  server = new WebSocketServer({ host: '127.0.0.1', port: 0 })
  server.on('connection', (socket) => {
    ownerSocket = socket
    const settings = { node: 'owner', zone: 'z', heartbeatMs: 1000, silenceMs: 5000, openRequests: 4 }
    Connection.open(socket, settings, async ({ kind }) => {
      handled.push(kind)
      return ok(null)
    }).catch(() => {})
  })
  await once(server, 'listening')
  peers = createPeers(0)
})

afterEach(() => {
  peers.close()
  for (const client of server.clients) client.terminate()
  server.close()
})

test('a port that is in use is reported', async () => {
  const { port } = server.address() as AddressInfo
  const second = createPeers(port)
  const listening = await second.listen()
  second.close()
  expect(listening.isErr() && listening.error).toContain(`Cannot listen on 127.0.0.1:${port}`)
})

// Guards against a worker that is drained, or takes work, although the last command that an operator got an answer to says otherwise.
test.each<{ title: string, isLate: boolean, request: Request, isHandled: boolean }>([
  {
    title: 'a drain',
    isLate: false,
    request: { kind: MessageKind.Drain, shard: SHARD, worker: 'w1', drained: true },
    isHandled: true
  },
  {
    title: 'a drain that its sender has given up',
    isLate: true,
    request: { kind: MessageKind.Drain, shard: SHARD, worker: 'w1', drained: true },
    isHandled: false
  },
  {
    title: 'a cancellation, which nothing undoes, that its sender has given up',
    isLate: true,
    request: { kind: MessageKind.Cancel, job: `${SHARD}.a` },
    isHandled: true
  }
])('an owner that comes to $title handles it: $isHandled', async ({ isLate, request, isHandled }) => {
  await peers.askNode('owner', { kind: MessageKind.Watch, shard: SHARD }, LONG_TIMEOUT_MS)
  if (isLate) ownerSocket.pause()
  const answer = await peers.askNode('owner', request, isLate ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS)
  ownerSocket.resume()
  expect(answer.isErr() ? answer.error.execution : undefined).toBe(isLate ? Execution.Unknown : undefined)
  // The connection carries requests in order.
  await peers.askNode('owner', { kind: MessageKind.Watch, shard: SHARD }, LONG_TIMEOUT_MS)
  expect(handled.includes(request.kind)).toBe(isHandled)
})
