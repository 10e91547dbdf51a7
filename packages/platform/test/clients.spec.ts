/**
 * What the clients make of answers that no correct service gives.
 */
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { LogFailure } from '@fireflymount/platform/log'
import { RemoteLog } from '@fireflymount/platform/log-client'
import { RemoteMachines } from '@fireflymount/platform/machines-client'
import { WorkerFailure } from '@fireflymount/platform/worker'
import { RemoteWorker } from '@fireflymount/platform/worker-client'
import { afterAll, beforeAll, expect, test } from 'vitest'

const EPOCH = { counter: 1, node: 'node-a' }

const SIZE = { cpuMilli: 1, memoryMb: 1, accelerators: 0 }

const ANSWER_LIMIT_BYTES = 32_000_000

/** A proper answer to every call but an append, if it were shorter. */
const OVERSIZED = JSON.stringify({
  records: [],
  next: 0,
  earliest: 0,
  vms: [],
  boot: 'b',
  clockMs: 0,
  tasks: [],
  id: 'r',
  value: 'x'.repeat(ANSWER_LIMIT_BYTES)
})

let server: Server
let address: string
let answer: (response: ServerResponse) => void

beforeAll(async () => {
  server = createServer((request, response) => {
    request.resume()
    request.on('end', () => answer(response))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  address = `127.0.0.1:${port}`
})

afterAll(() => {
  server.closeAllConnections()
  server.close()
})

/** Answers with a status and a body. */
function say (status: number, body: string): (response: ServerResponse) => void {
  return (response) => {
    response.writeHead(status)
    response.end(body)
  }
}

const UNCLEAR: [string, (response: ServerResponse) => void][] = [
  ['no JSON', say(200, '<html>')],
  ['an empty body', say(200, '')],
  ['another message', say(200, '{"hello":1}')],
  ['a gateway\'s error', say(502, 'Bad Gateway')],
  ['a broken connection', (response) => response.destroy()],
  ['a body without end', (response) => response.write('{"id":"r","value"')],
  ['an answer of too many bytes', say(200, OVERSIZED)]
]

test.each(UNCLEAR)('%s leaves unknown whether an append took effect', async (_case, given) => {
  answer = given
  const log = new RemoteLog({ address, node: 'node-a', timeoutMs: 300 })
  expect((await log.append('s', 1))._unsafeUnwrapErr().failure).toBe(LogFailure.Unknown)
  expect((await log.read('s', 0, 0)).isErr()).toBe(true)
  await log.close()
})

test.each(UNCLEAR)('%s is no list of VMs', async (_case, given) => {
  answer = given
  const machines = new RemoteMachines({ address, node: 'node-a', timeoutMs: 300 })
  expect((await machines.list()).isErr()).toBe(true)
  await machines.close()
})

test.each([
  ...UNCLEAR,
  ['a refusal that is no refusal\'s status', say(500, '{"failure":"full"}')],
  ['a failure of another kind', say(409, '{"failure":"unreachable"}')],
  ['the answer of another request', say(200, '{"id":"other","value":1}')]
] satisfies typeof UNCLEAR)('%s leaves unknown whether a worker ran a request', async (_case, given) => {
  answer = given
  const worker = new RemoteWorker({ address, timeoutMs: 300 })
  const request = { id: 'r', team: 't', kind: 'k', size: SIZE, body: {} }
  expect((await worker.request(EPOCH, request, 300))._unsafeUnwrapErr().failure).toBe(WorkerFailure.Unknown)
  expect((await worker.adopt(EPOCH, 0))._unsafeUnwrapErr().failure).toBe(WorkerFailure.Unknown)
  await worker.close()
})

test.each([
  ['a record without an offset', say(201, '{}'), (log: RemoteLog) => log.append('s', 1)],
  ['an expired offset without the earliest one', say(410, '{}'), (log: RemoteLog) => log.read('s', 0, 0)]
])('%s is unknown', async (_case, given, call) => {
  answer = given
  const log = new RemoteLog({ address, node: 'node-a', timeoutMs: 300 })
  expect((await call(log))._unsafeUnwrapErr().failure).toBe(LogFailure.Unknown)
  await log.close()
})

test('a worker\'s client refuses more connections than a worker takes', () => {
  expect(() => new RemoteWorker({ address, requestConnections: 62 })).toThrow(RangeError)
})
