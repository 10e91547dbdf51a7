/**
 * Tests the stand-in's log service through its client.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { LogFailure } from '@fireflymount/service-clients/log'
import { RemoteLog } from '@fireflymount/service-clients/log-client'
import { PlatformControl, type Fault, type LogLimits } from '@fireflymount/standin/test-control'
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest'
import { startPlatform, stop, type Standin } from './process.js'

const TIMEOUT_MS = 200

let platform: Standin<string>
let control: PlatformControl
let log: RemoteLog
let stream: string
let streams = 0

beforeAll(async () => {
  platform = await startPlatform('--appends-per-second', '1000')
  control = new PlatformControl(platform.listening)
  log = new RemoteLog({ address: platform.listening, node: 'node-a', timeoutMs: TIMEOUT_MS })
})

afterEach(async () => {
  await control.clearLogFaults()
  await control.setLogLimits({ appendsPerSecond: 1_000, retention: 1_000 })
})

afterAll(async () => {
  await log.close()
  await stop(platform.child)
})

/** Creates a stream with a number of records. */
async function createStream (count: number): Promise<void> {
  stream = `stream.${streams++}`
  for (let index = 0; index < count; index++) await log.append(stream, { index })
}

describe('appends and reads', () => {
  test('offsets start at 0 in each stream and have no gaps', async () => {
    await createStream(3)
    const first = stream
    await createStream(1)
    expect((await log.append(first, 'x'))._unsafeUnwrap()).toBe(3)
    expect((await log.append(stream, 'x'))._unsafeUnwrap()).toBe(1)
  })

  test.each([
    ['from the start', 0, [0, 1, 2], 3],
    ['from the middle', 2, [2], 3],
    ['at the end', 3, [], 3]
  ])('a read %s returns the records from there on and the next offset', async (_case, from, offsets, next) => {
    await createStream(3)
    const page = (await log.read(stream, from, 0))._unsafeUnwrap()
    expect(page.records.map((record) => record.offset)).toEqual(offsets)
    expect(page.next).toBe(next)
  })

  test('a held read returns as soon as a record is appended', async () => {
    await createStream(1)
    const startMs = performance.now()
    const read = log.read(stream, 1, 5_000)
    await sleep(50)
    await log.append(stream, 'news')
    expect((await read)._unsafeUnwrap().records).toEqual([{ offset: 1, data: 'news' }])
    expect(performance.now() - startMs).toBeLessThan(2_000)
  })

  test('a held read returns no records after its timeout', async () => {
    await createStream(1)
    const startMs = performance.now()
    expect((await log.read(stream, 1, 150))._unsafeUnwrap().records).toEqual([])
    expect(performance.now() - startMs).toBeGreaterThanOrEqual(140)
  })

  test('a read is aborted by its signal', async () => {
    await createStream(1)
    const stop = new AbortController()
    const read = log.read(stream, 1, 30_000, stop.signal)
    setTimeout(() => stop.abort(), 30)
    expect((await read)._unsafeUnwrapErr().failure).toBe(LogFailure.Unknown)
  })
})

describe('failures', () => {
  interface Case {
    readonly behaviour: string
    readonly fault?: Fault
    readonly limits?: LogLimits
    readonly failure: LogFailure
    /** Records in the stream afterwards. */
    readonly effect: number
  }
  const cases: Case[] = [
    { behaviour: 'during an outage', fault: { outage: true }, failure: LogFailure.Refused, effect: 0 },
    { behaviour: 'refused by a counted fault', fault: { refuse: 1 }, failure: LogFailure.Refused, effect: 0 },
    { behaviour: 'to a service that hangs', fault: { hang: true }, failure: LogFailure.Unknown, effect: 0 },
    { behaviour: 'whose response is lost', fault: { lostAnswers: 1 }, failure: LogFailure.Unknown, effect: 1 },
    { behaviour: 'that takes effect after its timeout', fault: { slowMs: 300 }, failure: LogFailure.Unknown, effect: 1 },
    { behaviour: 'during an outage for this node', fault: { node: 'node-a', outage: true }, failure: LogFailure.Refused, effect: 0 },
    { behaviour: 'during an outage for this stream', fault: { streams: 'stream.', outage: true }, failure: LogFailure.Refused, effect: 0 },
    { behaviour: 'beyond the limit of appends per second', limits: { appendsPerSecond: 0 }, failure: LogFailure.Throttled, effect: 0 }
  ]

  test.each(cases)('an append $behaviour fails as $failure; number of records stored: $effect', async ({ fault, limits, failure, effect }) => {
    await createStream(0)
    if (fault !== undefined) await control.injectLogFault(fault)
    if (limits !== undefined) await control.setLogLimits(limits)
    const appended = await log.append(stream, 'x')
    expect(appended._unsafeUnwrapErr().failure).toBe(failure)
    await sleep(fault?.slowMs ?? 0)
    expect(await control.dump(stream)).toHaveLength(effect)
  })

  test.each([
    ['of another node', { node: 'node-b', outage: true }],
    ['of other streams', { streams: 'other.', outage: true }],
    ['with a count of 0', { refuse: 0 }]
  ])('a fault %s does not affect an append', async (_case, fault) => {
    await createStream(0)
    await control.injectLogFault(fault)
    expect((await log.append(stream, 'x')).isOk()).toBe(true)
  })

  test('an append to a service that is not running fails as refused', async () => {
    const stopped = await startPlatform()
    await stop(stopped.child)
    const client = new RemoteLog({ address: stopped.listening, node: 'node-a' })
    expect((await client.append('s', 'x'))._unsafeUnwrapErr().failure).toBe(LogFailure.Refused)
    await client.close()
  })

  test('an append of a record over 1 MB fails as refused', async () => {
    await createStream(0)
    expect((await log.append(stream, 'x'.repeat(1_000_001)))._unsafeUnwrapErr().failure).toBe(LogFailure.Refused)
    expect(await control.dump(stream)).toHaveLength(0)
  })

  test.each([
    ['beyond the retention', async () => await control.setLogLimits({ retention: 2 }), 3],
    ['that were expired explicitly', async () => await control.expireRecords(stream, 4), 4]
  ])('records %s are expired, and the error of a read contains the oldest retained offset', async (_case, expire, earliest) => {
    await createStream(5)
    await expire()
    const error = (await log.read(stream, 0, 0))._unsafeUnwrapErr()
    expect(error).toMatchObject({ failure: LogFailure.Expired, earliest })
    expect((await log.read(stream, earliest, 0))._unsafeUnwrap().records[0]?.offset).toBe(earliest)
    expect(await control.dump(stream)).toHaveLength(5)
  })

  test('a call on a connection that does not respond fails, and the next call uses a new connection', async () => {
    const stalled = new RemoteLog({ address: platform.listening, node: 'node-a', timeoutMs: TIMEOUT_MS })
    await stalled.append('stalled', 'w')
    await control.stallConnections()
    expect((await stalled.append('stalled', 'x'))._unsafeUnwrapErr().failure).toBe(LogFailure.Unknown)
    expect((await stalled.append('stalled', 'y')).isOk()).toBe(true)
    expect((await control.dump('stalled')).map((record) => record.data)).toEqual(['w', 'y'])
    await stalled.close()
  })
})

test('calls are counted by stream and by node, and the client counts its bytes', async () => {
  const counted = new RemoteLog({ address: platform.listening, node: 'node-c' })
  for (const data of ['a', 'b']) await counted.append('counted', data)
  await counted.read('counted', 0, 0)
  const counters = await control.counters()
  const count = { appends: 2, reads: 1, throttled: 0, lists: 0 }
  expect(counters.streams.counted).toMatchObject(count)
  expect(counters.nodes['node-c']).toMatchObject(count)
  expect(counted.traffic().sent).toBeGreaterThan(counters.nodes['node-c']?.bytesIn ?? Infinity)
  expect(counted.traffic().received).toBeGreaterThan(counters.nodes['node-c']?.bytesOut ?? Infinity)
  await counted.close()
})
