import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { MessageKind } from '@fireflymount/protocol/message'
import { ok } from 'neverthrow'
import { afterEach, describe, expect, it } from 'vitest'
import { Entry } from '../../src/entry/entry.js'
import { Links } from '../../src/membership/links.js'
import { SystemClock } from '../../src/clock.js'
import { SilentLog } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'
import type { NodeAddress } from '../../src/journal/record.js'

const HOST = '127.0.0.1'

async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  return port
}

const NODE_CONNECTIONS = 4
const UPGRADE = 'GET / HTTP/1.1\r\nhost: a\r\nconnection: Upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n' +
  'sec-websocket-key: Y3Jvd2Qtb2Ytc3RyYW5nZQ==\r\n\r\n'
/** The head of a frame of 4 MB. */
const FRAME_HEAD = Buffer.from([0x82, 0xff, 0, 0, 0, 0, 0, 0x3f, 0xff, 0xff, 0, 0, 0, 0])

const opened: Links[] = []
const strangers: Socket[] = []

/** Opens a WebSocket without an introduction. */
async function visit (port: number): Promise<Socket> {
  const stranger = connect(port, HOST)
  stranger.on('error', () => {})
  strangers.push(stranger)
  stranger.write(UPGRADE)
  await once(stranger, 'data')
  return stranger
}

function createLinks (node: string, port: number, peer: NodeAddress | undefined, metrics = new Metrics()): Links {
  const links = new Links({
    node,
    zone: 'z',
    host: HOST,
    port,
    entry: new Entry({
      machine: {}, limits: { nodeConnections: NODE_CONNECTIONS }, clock: new SystemClock(), log: new SilentLog(), metrics
    }),
    addressOf: () => peer,
    handler: async () => ok(undefined),
    onLink: () => {},
    onHandlerError: () => {}
  })
  opened.push(links)
  return links
}

afterEach(() => {
  for (const links of opened.splice(0)) links.close()
  for (const stranger of strangers.splice(0)) stranger.destroy()
})

describe('the links of a node', () => {
  it('report that an address refuses connections until a process listens there', async () => {
    const port = await findFreePort()
    const links = createLinks('a', await findFreePort(), { node: 'b', incarnation: '1', host: HOST, port, zone: 'z' })
    expect((await links.connect('b')).isErr()).toBe(true)
    expect(links.refusesConnections('b')).toBe(true)
    const peer = createLinks('b', port, undefined)
    expect((await peer.listen()).isOk()).toBe(true)
    expect((await links.connect('b')).isOk()).toBe(true)
    expect([links.refusesConnections('b'), links.has('b')]).toEqual([false, true])
  })

  // Guards against a process that ends because the address of a node in the journal is none.
  it.each([
    ['a port above the range', { port: 65_536 }],
    ['a negative port', { port: -1 }],
    ['a host with a space', { host: 'not a host' }]
  ])('fail to connect to an address with %s', async (_, fields) => {
    const links = createLinks('a', await findFreePort(), { node: 'b', incarnation: '1', host: HOST, port: 1, zone: 'z', ...fields })
    expect((await links.connect('b')).isErr()).toBe(true)
    expect((await links.connect('b')).isErr()).toBe(true)
  })

  // Guards against the incident of the saturated owner: a busy owner looked like one that was gone.
  it('report that their port is in use', async () => {
    const port = await findFreePort()
    expect((await createLinks('a', port, undefined).listen()).isOk()).toBe(true)
    const listening = await createLinks('b', port, undefined).listen()
    expect(listening.isErr() && listening.error).toContain(`Cannot listen on ${HOST}:${port}`)
  })

  it('report that an address accepts connections although its process does not answer', async () => {
    const silent = createServer()
    await new Promise<void>((resolve) => { silent.listen(0, HOST, resolve) })
    const { port } = silent.address() as AddressInfo
    const links = createLinks('a', await findFreePort(), { node: 'b', incarnation: '1', host: HOST, port, zone: 'z' })
    expect((await links.connect('b')).isErr()).toBe(true)
    expect([links.acceptsConnections('b'), links.refusesConnections('b')]).toEqual([true, false])
    links.forgetDial('b')
    expect(links.acceptsConnections('b')).toBe(false)
    silent.close()
  })

  // Guards against a slow takeover from an owner without power: its last connection counted as a sign of life.
  it('know nothing of an address whose last connection was established, until they connect again', async () => {
    const port = await findFreePort()
    const peer = createLinks('b', port, undefined)
    expect((await peer.listen()).isOk()).toBe(true)
    const links = createLinks('a', await findFreePort(), { node: 'b', incarnation: '1', host: HOST, port, zone: 'z' })
    expect((await links.connect('b')).isOk()).toBe(true)
    expect([links.has('b'), links.acceptsConnections('b'), links.refusesConnections('b')]).toEqual([true, false, false])
  })

  it('close a client that sends more than an introduction instead of one, and read on from a node', async () => {
    const port = await findFreePort()
    const metrics = new Metrics()
    expect((await createLinks('b', port, undefined, metrics).listen()).isOk()).toBe(true)
    const links = createLinks('a', await findFreePort(), { node: 'b', incarnation: '1', host: HOST, port, zone: 'z' })
    const answer = await links.ask('b', { kind: MessageKind.Lookup, job: 'x'.repeat(1_000_000), queue: '' }, 3000)
    expect(answer.isOk()).toBe(true)
    const stranger = await visit(port)
    stranger.write(Buffer.concat([FRAME_HEAD, Buffer.alloc(1_000_000)]))
    await new Promise((resolve) => { stranger.once('close', resolve) })
    expect(await metrics.text()).toMatch(/endpoint="nodes",reason="body-too-large"[^}]*} 1\n/)
    expect(links.has('b')).toBe(true)
  })

  it('answer a client that sends other requests than an upgrade once, and close it', async () => {
    const port = await findFreePort()
    expect((await createLinks('b', port, undefined).listen()).isOk()).toBe(true)
    const stranger = connect(port, HOST)
    strangers.push(stranger)
    let received = ''
    stranger.on('error', () => {})
    stranger.on('data', (data) => { received += data.toString() })
    stranger.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(3))
    await new Promise((resolve) => { stranger.once('close', resolve) })
    expect(received.match(/HTTP\/1.1 \d+/g)).toEqual(['HTTP/1.1 426'])
  })

  it('close clients that have not introduced themselves for a node, and no node for them', async () => {
    const port = await findFreePort()
    expect((await createLinks('b', port, undefined).listen()).isOk()).toBe(true)
    for (let index = 0; index < NODE_CONNECTIONS; index++) await visit(port)
    const links = createLinks('a', await findFreePort(), { node: 'b', incarnation: '1', host: HOST, port, zone: 'z' })
    expect((await links.connect('b')).isOk()).toBe(true)
    for (let index = 0; index < 2 * NODE_CONNECTIONS; index++) await visit(port)
    expect(links.has('b')).toBe(true)
  })
})
