import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import fc from 'fast-check'
import { err, ok, type Result } from 'neverthrow'
import { afterEach, expect, test } from 'vitest'
import { WebSocket, WebSocketServer } from 'ws'
import { Connection, type Handler, type ConnectionSettings } from '@fireflymount/protocol/connection'
import { decodeFrame, decodeRequest, encodeFrame } from '@fireflymount/protocol/frame'
import { MessageKind, PROTOCOL_VERSION, type Ask, type Frame, type Request } from '@fireflymount/protocol/message'
import { encodeReading, readClocks } from '@fireflymount/protocol/peer-clock'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'

const WATCH: Request = { kind: MessageKind.Watch, shard: 'bee-planner' }
const servers: WebSocketServer[] = []

afterEach(() => {
  for (const server of servers.splice(0)) {
    for (const client of server.clients) client.terminate()
    server.close()
  }
})

function createSettings (node: string, fields: Partial<ConnectionSettings> = {}): ConnectionSettings {
  return { node, zone: 'z', heartbeatMs: 20, silenceMs: 120, openRequests: 4, ...fields }
}

async function serve (onSocket: (socket: WebSocket) => void): Promise<WebSocket> {
  const server = new WebSocketServer({ host: '127.0.0.1', port: 0 })
  servers.push(server)
  server.on('connection', onSocket)
  await once(server, 'listening')
  return new WebSocket(`ws://127.0.0.1:${(server.address() as AddressInfo).port}/`)
}

async function connect (handler: Handler, fields: Partial<ConnectionSettings> = {}): Promise<Connection> {
  const socket = await serve((incoming) => { Connection.open(incoming, createSettings('server'), handler).catch(() => {}) })
  const connection = await Connection.open(socket, createSettings('client', fields), () => Promise.resolve(ok(null)))
  return connection._unsafeUnwrap()
}

function answerWith (result: Result<unknown, Refusal>, delayMs = 0): Handler {
  return async () => {
    await new Promise((resolve) => setTimeout(resolve, delayMs))
    return result
  }
}

test.each<{ says: string, handler: Handler, expected: Result<unknown, Partial<Refusal>> }>([
  { says: 'a value is returned unchanged', handler: answerWith(ok({ rows: [1, 2, 3] })), expected: ok({ rows: [1, 2, 3] }) },
  { says: 'a refusal is returned as a refusal', handler: answerWith(err(refuse(Reason.QueueFull, 'full', 5))), expected: err({ reason: Reason.QueueFull, retryAfterMs: 5 }) },
  { says: 'a request that times out is refused with unknown execution', handler: answerWith(ok(1), 400), expected: err({ reason: Reason.ConnectionLost, execution: Execution.Unknown }) }
])('$says', async ({ handler, expected }) => {
  const connection = await connect(handler)
  const answer = await connection.ask(WATCH, 200)
  if (expected.isOk()) expect(answer).toEqual(expected)
  else expect(answer._unsafeUnwrapErr()).toMatchObject(expected.error)
  connection.close()
})

test('an answer that arrives after the timeout is counted as stray and resolves no request', async () => {
  const answers = [answerWith(ok('late'), 100), answerWith(ok('prompt'))]
  const connection = await connect(() => answers.shift()!(WATCH, 'client'))
  expect((await connection.ask(WATCH, 30)).isErr()).toBe(true)
  expect(await connection.ask(WATCH, 90)).toEqual(ok('prompt'))
  await new Promise((resolve) => setTimeout(resolve, 100))
  expect(connection.frameCounts.strayAnswers).toBe(1)
  connection.close()
})

test('requests over the limit of requests in flight are refused with Execution.NotRun', async () => {
  const connection = await connect(answerWith(ok(1), 50), { openRequests: 1 })
  const first = connection.ask(WATCH, 200)
  const second = await connection.ask(WATCH, 200)
  expect(second._unsafeUnwrapErr()).toMatchObject({ reason: Reason.QueueFull, execution: Execution.NotRun })
  expect((await first).isOk()).toBe(true)
  connection.close()
})

test('a connection that receives nothing is closed, and its requests fail with unknown execution', async () => {
  const socket = await serve((incoming) => {
    incoming.send(encodeFrame({ frame: 'hello', version: PROTOCOL_VERSION, node: 'server', zone: 'z' }))
    incoming.once('message', () => { incoming.pause() })
  })
  const connection = (await Connection.open(socket, createSettings('client'), () => Promise.resolve(ok(null))))._unsafeUnwrap()
  const answer = await connection.ask(WATCH, 5000)
  expect(answer._unsafeUnwrapErr()).toMatchObject({ reason: Reason.ConnectionLost, execution: Execution.Unknown })
  expect(connection.isUsable()).toBe(false)
})

test.each([
  { says: 'another protocol version', first: () => encodeFrame({ frame: 'hello', version: PROTOCOL_VERSION + 1, node: 'n', zone: 'z' }) },
  { says: 'a first frame that is not a hello frame', first: () => encodeFrame({ frame: 'leave', drained: true }) },
  { says: 'bytes that are not a valid frame', first: () => Buffer.from([0xc1, 0xff, 0x00]) }
])('a connection is rejected for $says', async ({ first }) => {
  const socket = await serve((incoming) => { incoming.send(first()) })
  expect((await Connection.open(socket, createSettings('client'), () => Promise.resolve(ok(null)))).isErr()).toBe(true)
})

test('a request that follows the hello frame in the same chunk is answered', async () => {
  const answered: unknown[] = []
  const socket = await serve((incoming) => {
    incoming.on('message', (data: Buffer) => { answered.push(decodeFrame(data)._unsafeUnwrap()) })
    incoming.send(encodeFrame({ frame: 'hello', version: PROTOCOL_VERSION, node: 'server', zone: 'z' }))
    incoming.send(encodeFrame({ frame: 'ask', id: 9, request: WATCH }))
  })
  const connection = (await Connection.open(socket, createSettings('client'), () => Promise.resolve(ok('here'))))._unsafeUnwrap()
  await expect.poll(() => answered).toContainEqual(expect.objectContaining({ frame: 'answer', id: 9, value: 'here' }))
  connection.close()
})

// Guards against a process that ends because of one request of a peer: `request: null`, and a handler that throws.
test.each<{ says: string, request: unknown, handler: Handler, expected: Partial<Refusal> }>([
  {
    says: 'that is null', request: null, handler: answerWith(ok(1)), expected: { reason: Reason.Malformed, execution: Execution.NotRun }
  },
  {
    says: 'that is a string', request: 'watch', handler: answerWith(ok(1)), expected: { reason: Reason.Malformed, execution: Execution.NotRun }
  },
  {
    says: 'whose handler throws',
    request: WATCH,
    handler: () => { throw new Error('unexpected') },
    expected: { reason: Reason.Internal, execution: Execution.Unknown }
  },
  {
    says: 'whose handler rejects',
    request: WATCH,
    handler: () => Promise.reject(new Error('unexpected')),
    expected: { reason: Reason.Internal, execution: Execution.Unknown }
  }
])('a request $says is refused, and the next one is answered', async ({ request, handler, expected }) => {
  const failures: unknown[] = []
  const onHandlerError: ConnectionSettings['onHandlerError'] = (failure) => { failures.push(failure) }
  const answered: unknown[] = []
  const handlers = [handler, answerWith(ok('here'))]
  const settings = createSettings('client', { openRequests: 1, onHandlerError })
  const socket = await serve((incoming) => {
    incoming.on('message', (data: Buffer) => { answered.push(decodeFrame(data)._unsafeUnwrap()) })
    incoming.send(encodeFrame({ frame: 'hello', version: PROTOCOL_VERSION, node: 'server', zone: 'z' }))
    incoming.send(encodeFrame({ frame: 'ask', id: 1, request }))
  })
  const connection = (await Connection.open(socket, settings, (message, from) => {
    return (expected.reason === Reason.Internal ? handlers.shift()! : answerWith(ok('here')))(message, from)
  }))._unsafeUnwrap()
  await expect.poll(() => answered).toContainEqual(expect.objectContaining({ id: 1, refusal: expect.objectContaining(expected) }))
  for (const client of servers.at(-1)!.clients) client.send(encodeFrame({ frame: 'ask', id: 2, request: WATCH }))
  await expect.poll(() => answered).toContainEqual(expect.objectContaining({ id: 2, value: 'here' }))
  expect(failures).toEqual(expected.reason === Reason.Internal
    ? [{ kind: MessageKind.Watch, from: 'server', error: new Error('unexpected') }]
    : [])
  connection.close()
})

test('any bytes are decoded or rejected without an exception', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    decodeFrame(bytes)
    return true
  }))
})

test('any value is decoded as a request or rejected without an exception', () => {
  fc.assert(fc.property(fc.anything(), (value) => {
    decodeRequest(value)
    decodeRequest({ kind: MessageKind.Call, queue: value })
    return true
  }))
})

test('optional fields that are absent from a request are also absent after decoding', () => {
  const submit = { kind: MessageKind.Submit, job: 's.a', queue: 'q', team: 't', digest: 'd', tasks: 1, runtimeMs: undefined, size: undefined, body: undefined }
  const frame = decodeFrame(encodeFrame({ frame: 'ask', id: 1, request: submit }))._unsafeUnwrap()
  expect(decodeRequest((frame as { request: unknown }).request)._unsafeUnwrap()).toEqual(submit)
})

test.each(['{"__proto__":1}', '[{"a":{"__proto__":{"x":[null,true,"y"]}},"b":{}}]', '"__proto__"'])('the value %s is unchanged after encoding and decoding', (text) => {
  const frame = decodeFrame(encodeFrame({ frame: 'answer', id: 1, value: JSON.parse(text) }))._unsafeUnwrap()
  expect(JSON.stringify((frame as { value: unknown }).value)).toBe(text)
})

test('a frame is unchanged after encoding and decoding', () => {
  fc.assert(fc.property(fc.nat(), fc.jsonValue(), (id, value) => {
    const frame = decodeFrame(encodeFrame({ frame: 'answer', id, value }))._unsafeUnwrap()
    expect(JSON.stringify(frame)).toBe(JSON.stringify({ frame: 'answer', id, value }))
  }))
})

test.each<{ says: string, request: Request, isCounted: boolean }>([
  { says: 'a call and its answer count as traffic of callers and operators', request: { kind: MessageKind.Call, queue: 'preview', team: 'guild', budgetMs: 100, body: null }, isCounted: true },
  { says: 'a watch and its answer do not count as traffic of callers and operators', request: WATCH, isCounted: false }
])('$says', async ({ request, isCounted }) => {
  const connection = await connect(answerWith(ok({ rows: [1, 2, 3] })))
  await connection.ask(request, 200)
  const { frameCounts } = connection
  expect(frameCounts.bytesSent * frameCounts.bytesReceived).toBeGreaterThan(0)
  const expected = isCounted ? [frameCounts.bytesSent, frameCounts.bytesReceived] : [0, 0]
  expect([frameCounts.requestBytesSent, frameCounts.requestBytesReceived]).toEqual(expected)
  connection.close()
})

// Guards against a command that is executed long after it was sent, because the node that should have executed it was suspended.
test.each<{ says: string, validMs: number | undefined, expected: string[], isHandled: boolean }>([
  { says: 'is refused as not run if it is no longer valid', validMs: 50, expected: [Reason.DeadlinePassed, Execution.NotRun], isHandled: false },
  { says: 'is handled if it is still valid', validMs: 2000, expected: [], isHandled: true },
  { says: 'is handled if it is valid without limit', validMs: undefined, expected: [], isHandled: true }
])('a request that waits at the peer for a while $says', async ({ validMs, expected, isHandled }) => {
  let serverSocket: WebSocket | undefined
  let handled = 0
  const socket = await serve((incoming) => {
    serverSocket = incoming
    Connection.open(incoming, createSettings('server', { silenceMs: 5000 }), async () => ok(++handled)).catch(() => {})
  })
  const connection = (await Connection.open(socket, createSettings('client', { silenceMs: 5000 }), async () => ok(null)))._unsafeUnwrap()
  serverSocket!.pause()
  const answering = connection.ask(WATCH, 1000, validMs)
  await new Promise((resolve) => setTimeout(resolve, 90))
  serverSocket!.resume()
  const answer = await answering
  expect(answer.isOk() ? [] : [answer.error.reason, answer.error.execution]).toEqual(expected)
  expect(handled > 0).toBe(isHandled)
  connection.close()
})

test.each([
  { says: 'is not sent to a peer that has not sent its clocks', clock: false, pings: false, isSent: false },
  { says: 'is sent to a peer whose first frame had its clocks', clock: true, pings: false, isSent: true },
  { says: 'is sent to a peer that has sent its clocks with a ping', clock: false, pings: true, isSent: true }
])('a request with a limited validity $says', async ({ clock, pings, isSent }) => {
  const received: string[] = []
  const socket = await serve((incoming) => {
    incoming.on('message', (data: Buffer) => { received.push(decodeFrame(data)._unsafeUnwrap().frame) })
    const hello = { frame: 'hello' as const, version: PROTOCOL_VERSION, node: 'server', zone: 'z' }
    incoming.send(encodeFrame(clock ? { ...hello, clock: readClocks() } : hello))
    if (pings) incoming.ping(encodeReading(readClocks()))
  })
  const connection = (await Connection.open(socket, createSettings('client'), async () => ok(null)))._unsafeUnwrap()
  await new Promise((resolve) => setTimeout(resolve, 20))
  const answer = (await connection.ask(WATCH, 30, 1000))._unsafeUnwrapErr()
  expect(answer.execution).toBe(isSent ? Execution.Unknown : Execution.NotRun)
  expect(received.includes('ask')).toBe(isSent)
  connection.close()
})

const COMMANDED = { kind: MessageKind.Command, worker: { id: 'w', address: '10.0.0.1:80', zone: 'z', born: 1764800000000 } } as const
test.each<{ says: string, request: Request }>([
  { says: 'start', request: { ...COMMANDED, start: { task: 'a.0.0.0', run: 1, payload: 'p', deadlineMs: 5, fence: 3, checkpoint: '', ticket: '' } } },
  { says: 'stop', request: { ...COMMANDED, stop: { task: 'a.0.0.0', run: 1, fence: 3 } } },
  { says: 'throttle', request: { ...COMMANDED, throttle: { task: 'a.0.0.0', run: 1, fence: 3, percent: 40 } } },
  { says: 'report without a deadline', request: { ...COMMANDED, report: { fence: 3, acknowledged: 7, deadlineMs: undefined, waitMs: 1900 } } },
  { says: 'report with a deadline', request: { ...COMMANDED, report: { fence: 3, acknowledged: 7, deadlineMs: 6000, waitMs: 0 } } },
  { says: 'disconnect', request: { kind: MessageKind.Disconnect, worker: COMMANDED.worker } }
])('a message with the command $says is unchanged after encoding and decoding', ({ request }) => {
  const frame = decodeFrame(encodeFrame({ frame: 'ask', id: 1, request }))._unsafeUnwrap()
  expect(decodeRequest((frame as { request: unknown }).request)._unsafeUnwrap()).toEqual(request)
})

// Guards against the incident of the saturated owner: a process that was late closed its sound connections.
test('a connection stays open while its own process is blocked for longer than the silence timeout', async () => {
  const connection = await connect(answerWith(ok(1)))
  await new Promise((resolve) => setTimeout(resolve, 50))
  const blockedUntilMs = performance.now() + 300
  while (performance.now() < blockedUntilMs);
  await new Promise((resolve) => setTimeout(resolve, 100))
  expect(connection.isUsable()).toBe(true)
  connection.close()
})

/** Bytes of a frame in which the value of one field is nested. */
function nestedFrame (fields: object, key: string, depth: number): Uint8Array {
  const bytes = encodeFrame({ ...fields, [key]: 'nested' } as unknown as Frame)
  const mark = Buffer.from([0xa0 + 'nested'.length, ...Buffer.from('nested')])
  const at = bytes.indexOf(mark)
  return Buffer.concat([bytes.subarray(0, at), Buffer.alloc(depth, 0x91), Buffer.from([0xc0]), bytes.subarray(at + mark.length)])
}

// Guards against a process that ends because a peer sent a frame that is nested too deeply to be described.
test.each([100, 2000, 4000, 8000, 50_000])('frames of a peer that are nested %i deep do not throw', (depth) => {
  expect(decodeFrame(nestedFrame({ frame: 'hello', node: 'a', zone: 'z' }, 'version', depth)).isErr()).toBe(true)
  expect(decodeFrame(nestedFrame({ frame: 'ask', request: WATCH }, 'id', depth)).isErr()).toBe(true)
  const ask = decodeFrame(nestedFrame({ frame: 'ask', id: 1 }, 'request', depth))
  expect(ask.andThen((frame) => decodeRequest((frame as Ask).request)).isErr()).toBe(true)
})

test.each([100, 2000, 4000, 8000])('a request with a field that is nested %i deep is refused', (depth) => {
  let nested: unknown = 1
  for (let level = 0; level < depth; level++) nested = [nested]
  expect(decodeRequest({ kind: MessageKind.Watch, shard: nested }).isErr()).toBe(true)
})
