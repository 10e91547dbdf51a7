import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Relay } from '@fireflymount/scenario/cell/relay'
import { Link } from '@fireflymount/scenario/language/script'

let server: Server
let relay: Relay
const sockets: Socket[] = []

beforeEach(async () => {
  server = createServer((socket) => socket.on('error', () => {}).pipe(socket))
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  relay = new Relay(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  await relay.open()
})

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy()
  await relay.close()
  server.close()
})

async function open (): Promise<Socket | string> {
  const socket = connect(Number(relay.address().split(':')[1]), '127.0.0.1')
  sockets.push(socket)
  return new Promise((resolve) => {
    socket.once('connect', () => resolve(socket))
    socket.once('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''))
  })
}

/** What comes back for a byte sent: the byte, `silence`, or `closed`. */
async function echo (socket: Socket): Promise<string> {
  socket.write('x')
  return new Promise((resolve) => {
    socket.once('data', (bytes) => resolve(bytes.toString()))
    socket.once('close', () => resolve('closed'))
    setTimeout(() => resolve('silence'), 100)
  })
}

test.each([
  ['carries both ways', [], 'x', 'x'],
  ['closes and refuses when it is cut', [Link.Cut], 'closed', 'ECONNREFUSED'],
  ['stays open and carries nothing when it is silent', [Link.Silence], 'silence', 'silence'],
  ['carries again when it is healed', [Link.Silence, Link.Heal], 'x', 'x'],
  ['listens on the same port again after a cut', [Link.Cut, Link.Heal], 'closed', 'x'],
  ['keeps what was open silent and carries on new connections when it is stalled', [Link.Stall], 'silence', 'x'],
  ['keeps a stalled connection silent after a heal', [Link.Stall, Link.Heal], 'silence', 'x']
])('%s', async (_, links, onOld, onNew) => {
  const old = await open() as Socket
  expect(await echo(old)).toBe('x')
  for (const link of links) await relay.set(link)
  expect(await echo(old)).toBe(onOld)
  const fresh = await open()
  expect(typeof fresh === 'string' ? fresh : await echo(fresh)).toBe(onNew)
})
