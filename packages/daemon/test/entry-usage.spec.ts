import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { ADMINISTRATOR_AUTHORIZATION, GUILD_AUTHORIZATION, USAGE, createHarness } from './entry-fakes.js'
import { WorkerConnections } from '../src/worker-connections.js'

const EPOCH = { counter: 1, node: 'node-1' }
const servers: Server[] = []

afterEach(() => {
  for (const server of servers.splice(0)) server.close()
})

async function startWorker (): Promise<string> {
  const server = createServer((_, response) => response.writeHead(409, { 'content-type': 'application/json' }).end('{"failure":"full"}'))
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

test.each([
  { title: 'an administrator can read the totals', headers: { authorization: ADMINISTRATOR_AUTHORIZATION }, status: 200 },
  { title: 'a caller cannot read the totals', headers: { authorization: GUILD_AUTHORIZATION }, status: 401 }
])('$title', async ({ headers, status }) => {
  const answer = await createHarness().request('GET', '/v1/admin/node', headers)
  expect(answer.status).toBe(status)
  if (status !== 200) return
  const body = await answer.json() as { cpu: { userMs: number }, memory: { residentBytes: number } }
  expect(body).toMatchObject({ node: 'node-1', ...USAGE })
  expect(body.cpu.userMs).toBeGreaterThan(0)
  expect(body.memory.residentBytes).toBeGreaterThan(1_000_000)
})

test.each([
  { title: 'commands are counted as control traffic, also after the connection is closed', control: true, send: (connection: ReturnType<WorkerConnections['connect']>) => connection.adopt(EPOCH, 0) },
  {
    title: 'requests are not counted as control traffic, not even after the connection is closed',
    control: false,
    send: (connection: ReturnType<WorkerConnections['connect']>) => {
      const size = { cpuMilli: 1, memoryMb: 1, accelerators: 0 }
      return connection.request({ epoch: EPOCH, boot: 'b' }, { id: 'r', team: 'guild', kind: 'preview', size, body: {} }, 1000)
    }
  }
])('$title', async ({ control, send }) => {
  const connections = new WorkerConnections()
  const address = await startWorker()
  for (let round = 0; round < 2; round++) {
    const before = control ? connections.traffic() : connections.requestTraffic()
    const connection = connections.connect(address)
    await send(connection)
    await connection.close()
    const after = control ? connections.traffic() : connections.requestTraffic()
    expect(after.sent - before.sent).toBeGreaterThan(100)
    expect(after.received - before.received).toBeGreaterThan(50)
    expect(control ? connections.requestTraffic() : connections.traffic()).toEqual({ sent: 0, received: 0 })
  }
})
