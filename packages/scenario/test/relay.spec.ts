import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Relay } from '@fireflymount/scenario/cell/relay'
import { LinkState } from '@fireflymount/scenario/language/syntax-tree'

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

/** Sends a byte. Returns the byte if it comes back, `closed` if the connection closes, otherwise `silence`. */
async function echo (socket: Socket): Promise<string> {
  socket.write('x')
  return new Promise((resolve) => {
    socket.once('data', (bytes) => resolve(bytes.toString()))
    socket.once('close', () => resolve('closed'))
    setTimeout(() => resolve('silence'), 100)
  })
}

test.each([
  ['carries data in both directions', [], 'x', 'x'],
  ['closes open connections and refuses new ones when the link is cut', [LinkState.Cut], 'closed', 'ECONNREFUSED'],
  ['keeps connections open but carries no data when the link is silent', [LinkState.Silent], 'silence', 'silence'],
  ['carries data again when a silent link becomes healthy', [LinkState.Silent, LinkState.Healthy], 'x', 'x'],
  ['listens on the same port again when a cut link becomes healthy', [LinkState.Cut, LinkState.Healthy], 'closed', 'x'],
  ['carries data only on new connections when the link is stalled', [LinkState.Stalled], 'silence', 'x'],
  ['carries no data on a stalled connection even when the link becomes healthy', [LinkState.Stalled, LinkState.Healthy], 'silence', 'x']
])('%s', async (_, states, onOld, onNew) => {
  const old = await open() as Socket
  expect(await echo(old)).toBe('x')
  for (const state of states) await relay.set(state)
  expect(await echo(old)).toBe(onOld)
  const fresh = await open()
  expect(typeof fresh === 'string' ? fresh : await echo(fresh)).toBe(onNew)
})
