import { EventEmitter, once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { beforeEach, describe, expect, it } from 'vitest'
import { Feed, SOCKET_BUFFER_BYTES, type FeedOptions } from '../src/feed.js'
import { PART_BYTES, Turns } from '../src/turns.js'

const KERNEL_BYTES = 100_000

function optionsOf (): FeedOptions {
  return { turns: new Turns(), lingerMs: 1000, kernelBytes: 0, onWaiting: () => {} }
}

/** A socket without a network. It delivers data only while it is not paused. */
class FakeSocket extends EventEmitter {
  paused = false
  delivered = 0
  private readonly buffered: Buffer[] = []

  pause (): void { this.paused = true }
  resume (): void {
    this.paused = false
    for (const chunk of this.buffered.splice(0)) this.emit('data', chunk)
  }

  isPaused (): boolean { return this.paused }
  unshift (chunk: Buffer): void { this.buffered.unshift(chunk) }
  destroy (): void {}

  /** Offers data in small segments until the socket is paused. */
  press (segments: number, bytes: number): void {
    for (let segment = 0; segment < segments && !this.paused; segment++) {
      this.delivered += bytes
      this.emit('data', Buffer.alloc(bytes))
    }
  }
}

let socket: FakeSocket
let feed: Feed
beforeEach(() => {
  socket = new FakeSocket()
  feed = new Feed(socket as unknown as Socket, optionsOf())
})

describe('the feed of a connection', () => {
  // Guards against a server that has stopped reading a connection while small segments go on arriving.
  it.each([
    ['smaller than a part', 1000],
    ['as large as a part', 2048],
    ['larger than a part', 5000]
  ])('takes a bounded number of segments %s while the server reads nothing', (_, bytes) => {
    socket.press(1000, bytes)
    expect(socket.paused).toBe(true)
    expect(feed.readableLength).toBeLessThanOrEqual(feed.readableHighWaterMark + bytes)
  })

  it('hands on everything, in order, once the server reads', async () => {
    let read = 0
    socket.press(1000, 1000)
    feed.on('data', (part: Buffer) => { read += part.length })
    for (let round = 0; round < 20; round++) {
      await new Promise((resolve) => setImmediate(resolve))
      socket.press(100, 1000)
    }
    await new Promise((resolve) => setImmediate(resolve))
    expect(socket.delivered).toBeGreaterThan(100_000)
    expect(read).toBe(socket.delivered)
  })

  it.each([
    ['is ignored', (ended: Feed) => { ended.ignore() }],
    ['is stopped', (ended: Feed) => { ended.stop() }]
  ])('reads nothing more once it %s', async (_, end) => {
    const server = createServer({ highWaterMark: SOCKET_BUFFER_BYTES })
    await once(server.listen(0, '127.0.0.1'), 'listening')
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
    const [accepted] = await once(server, 'connection') as [Socket]
    const ignored = new Feed(accepted, optionsOf())
    ignored.once('data', () => { end(ignored) })
    client.write(Buffer.alloc(1_000_000))
    await once(ignored, 'data')
    const readBytes = accepted.bytesRead
    await sleep(200)
    expect(accepted.bytesRead).toBe(readBytes)
    client.destroy()
    ignored.destroy()
    server.close()
  })

  it.each([
    ['while it hands on a part', 0],
    ['once it waits for its reader', 100]
  ])('leaves the socket to another reader %s, without a loss', async (_, waitMs) => {
    const server = createServer({ highWaterMark: SOCKET_BUFFER_BYTES })
    await once(server.listen(0, '127.0.0.1'), 'listening')
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
    const [accepted] = await once(server, 'connection') as [Socket]
    const sent = Buffer.from(Array.from({ length: 300_000 }, (_, index) => index % 251))
    const handedOn: Buffer[] = []
    const released = new Feed(accepted, optionsOf())
    const first = once(released, 'data')
    released.on('data', (part: Buffer) => {
      handedOn.push(part)
      if (waitMs > 0) released.pause()
      else handOver()
    })
    client.write(sent)
    await first
    if (waitMs > 0) await sleep(waitMs).then(handOver)
    await expect.poll(() => Buffer.concat(handedOn).length).toBe(sent.length)
    expect(Buffer.concat(handedOn).equals(sent)).toBe(true)
    expect([released.destroyed, accepted.destroyed]).toEqual([true, false])
    client.destroy()
    server.close()

    function handOver (): void {
      // Emits what the feed itself has buffered.
      released.read()
      handedOn.push(released.release())
      accepted.on('data', (data: Buffer) => { handedOn.push(data) })
    }
  })

  it.each([
    ['nothing', 1000, false, 0],
    ['what it has received and the kernel may hold, while it is stopped', 5000, true, 5000 + KERNEL_BYTES],
    ['what it has received, while it waits for its turn', 60_000, false, 60_000 - 16 * PART_BYTES],
    ['that the kernel may hold more after a full read', 65_536, false, 65_536 - 16 * PART_BYTES + KERNEL_BYTES]
  ])('reports %s', async (_, bytes, isStopped, reported) => {
    const reports: number[] = []
    const reportingSocket = new FakeSocket()
    const reporting = new Feed(reportingSocket as unknown as Socket, {
      ...optionsOf(), kernelBytes: KERNEL_BYTES, onWaiting: (waitingBytes) => { reports.push(waitingBytes) }
    })
    reporting.on('data', () => {})
    await new Promise((resolve) => setImmediate(resolve))
    if (isStopped) reporting.stop()
    reportingSocket.emit('data', Buffer.alloc(bytes))
    expect(reports.at(-1) ?? 0).toBe(reported)
  })

  it('is not read while it is stopped, and goes on after it', async () => {
    let read = 0
    feed.on('data', (part: Buffer) => { read += part.length })
    await new Promise((resolve) => setImmediate(resolve))
    feed.stop()
    expect(socket.paused).toBe(true)
    socket.emit('data', Buffer.alloc(5000))
    expect(read).toBe(0)
    feed.goOn()
    await new Promise((resolve) => setImmediate(resolve))
    expect([read, socket.paused]).toEqual([5000, false])
  })

  // The event loop accepts one connection in an iteration.
  it.each([
    ['a few', 20],
    ['many', 200]
  ])('lets a new connection in behind %s others that have sent much, after parts of 8 kB for each of them', async (_, crowd) => {
    const turns = new Turns()
    const server = createServer({ highWaterMark: SOCKET_BUFFER_BYTES })
    await once(server.listen(0, '127.0.0.1'), 'listening')
    const clients = Array.from({ length: crowd + 1 }, () => connect((server.address() as AddressInfo).port, '127.0.0.1'))
    for (const client of clients) client.write(Buffer.alloc(100_000))
    const feeds: Feed[] = []
    let handedOnBytes = 0
    await new Promise<void>((resolve) => {
      server.on('connection', (accepted) => {
        turns.accept()
        if (feeds.length === crowd) resolve()
        const crowded = new Feed(accepted, { ...optionsOf(), turns })
        crowded.on('data', (part: Buffer) => { handedOnBytes += part.length })
        feeds.push(crowded)
      })
    })
    expect(handedOnBytes).toBeLessThanOrEqual(crowd * 8192)
    expect(handedOnBytes).toBeGreaterThan(0)
    for (const stream of [...clients, ...feeds]) stream.destroy()
    server.close()
  })
})
