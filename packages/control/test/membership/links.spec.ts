import { createServer, type AddressInfo } from 'node:net'
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

const opened: Links[] = []

function createLinks (node: string, port: number, peer: NodeAddress | undefined): Links {
  const links = new Links({
    node,
    zone: 'z',
    host: HOST,
    port,
    entry: new Entry({ machine: {}, clock: new SystemClock(), log: new SilentLog(), metrics: new Metrics() }),
    addressOf: () => peer,
    handler: async () => ok(undefined),
    onLink: () => {},
    onHandlerError: () => {}
  })
  opened.push(links)
  return links
}

afterEach(() => { for (const links of opened.splice(0)) links.close() })

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
})
