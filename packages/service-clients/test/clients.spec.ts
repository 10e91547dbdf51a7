/**
 * Tests how the clients handle responses that no correct service sends.
 */
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { LogFailure } from '@fireflymount/service-clients/log'
import { RemoteLog } from '@fireflymount/service-clients/log-client'
import { RemoteVmList } from '@fireflymount/service-clients/vm-list-client'
import { WorkerFailure } from '@fireflymount/service-clients/worker'
import { RemoteWorker } from '@fireflymount/service-clients/worker-client'
import { afterAll, beforeAll, expect, test } from 'vitest'

const EPOCH = { counter: 1, node: 'node-a' }

const SIZE = { cpuMilli: 1, memoryMb: 1, accelerators: 0 }

const MAX_RESPONSE_BYTES = 32_000_000

/** Would be a valid response to every call except an append, if it were shorter. */
const OVERSIZED = JSON.stringify({
  records: [],
  next: 0,
  earliest: 0,
  vms: [],
  boot: 'b',
  clockMs: 0,
  tasks: [],
  id: 'r',
  value: 'x'.repeat(MAX_RESPONSE_BYTES)
})

let server: Server
let address: string
let respond: (response: ServerResponse) => void

beforeAll(async () => {
  server = createServer((request, response) => {
    request.resume()
    request.on('end', () => respond(response))
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

/** Creates a handler that responds with a status and a body. */
function respondWith (status: number, body: string): (response: ServerResponse) => void {
  return (response) => {
    response.writeHead(status)
    response.end(body)
  }
}

const INVALID_RESPONSES: [string, (response: ServerResponse) => void][] = [
  ['a body that is not JSON', respondWith(200, '<html>')],
  ['an empty body', respondWith(200, '')],
  ['another message', respondWith(200, '{"hello":1}')],
  ['a gateway\'s error', respondWith(502, 'Bad Gateway')],
  ['a broken connection', (response) => response.destroy()],
  ['an incomplete body', (response) => response.write('{"id":"r","value"')],
  ['a response of too many bytes', respondWith(200, OVERSIZED)]
]

test.each(INVALID_RESPONSES)('%s makes an append fail with an unknown effect, and makes a read fail', async (_case, responder) => {
  respond = responder
  const log = new RemoteLog({ address, node: 'node-a', timeoutMs: 300 })
  expect((await log.append('s', 1))._unsafeUnwrapErr().failure).toBe(LogFailure.Unknown)
  expect((await log.read('s', 0, 0)).isErr()).toBe(true)
  await log.close()
})

test.each(INVALID_RESPONSES)('%s is rejected by the client of the list of VMs', async (_case, responder) => {
  respond = responder
  const vmList = new RemoteVmList({ address, node: 'node-a', timeoutMs: 300 })
  expect((await vmList.list()).isErr()).toBe(true)
  await vmList.close()
})

test.each([
  ...INVALID_RESPONSES,
  ['a refusal with a status that does not match it', respondWith(500, '{"failure":"full"}')],
  ['a failure that a worker never reports', respondWith(409, '{"failure":"unreachable"}')],
  ['the response to another request', respondWith(200, '{"id":"other","value":1}')]
] satisfies typeof INVALID_RESPONSES)('%s makes a request and an adoption fail with an unknown effect', async (_case, responder) => {
  respond = responder
  const worker = new RemoteWorker({ address, timeoutMs: 300 })
  const request = { id: 'r', team: 't', kind: 'k', size: SIZE, body: {} }
  expect((await worker.request({ epoch: EPOCH, boot: 'b' }, request, 300))._unsafeUnwrapErr().failure).toBe(WorkerFailure.Unknown)
  expect((await worker.adopt(EPOCH, 0))._unsafeUnwrapErr().failure).toBe(WorkerFailure.Unknown)
  await worker.close()
})

test.each([
  ['a response to an append that contains no offset', respondWith(201, '{}'), (log: RemoteLog) => log.append('s', 1)],
  ['an expired offset without the oldest retained offset', respondWith(410, '{}'), (log: RemoteLog) => log.read('s', 0, 0)]
])('%s is reported as unknown', async (_case, responder, call) => {
  respond = responder
  const log = new RemoteLog({ address, node: 'node-a', timeoutMs: 300 })
  expect((await call(log))._unsafeUnwrapErr().failure).toBe(LogFailure.Unknown)
  await log.close()
})

test('a worker\'s client refuses more connections than a worker allows', () => {
  expect(() => new RemoteWorker({ address, requestConnections: 62 })).toThrow(RangeError)
})
