import { describe, it } from 'vitest'
import { Drip, Pipeline, expectTurns, expectWithstood, requestText, type Client } from '../../../../platform/test/crowd/crowd.js'
import { GUILD_AUTHORIZATION } from '../entry-fakes.js'
import { CROWD_QUEUE, RunningDaemon } from './running-daemon.js'

const MACHINE = { memoryMb: 192, maxFds: 600 }
const KEYED = { authorization: GUILD_AUTHORIZATION }
const JSON_TYPE = { 'content-type': 'application/json' }
const JOBS = `/v1/queues/${CROWD_QUEUE}/jobs`
const LOOKUP = requestText('GET', '/v1/jobs/bee-planner.00000000000000ff', KEYED)
const SUBMISSION = requestText('POST', JOBS, { ...KEYED, ...JSON_TYPE }, JSON.stringify({ body: 'x'.repeat(3900) }))
const KEYLESS = requestText('POST', JOBS, JSON_TYPE, JSON.stringify({ body: 'x'.repeat(3900) }))
const SLOW_HEAD = `GET /v1/jobs/ HTTP/1.1\r\nhost: slow\r\nx-${'a'.repeat(40)}`
const CHUNK = `400\r\n${'x'.repeat(1024)}\r\n`
const CHUNKED = requestText('POST', JOBS, { ...KEYED, ...JSON_TYPE, 'transfer-encoding': 'chunked' })
const UPGRADE = requestText('GET', '/', {
  connection: 'Upgrade', upgrade: 'websocket', 'sec-websocket-version': '13', 'sec-websocket-key': 'Y3Jvd2Qtb2Ytc3RyYW5nZQ=='
})
/** The head of a frame of 4 MB. */
const FRAME_HEAD = Buffer.from([0x82, 0xff, 0, 0, 0, 0, 0, 0x3f, 0xff, 0xff, 0, 0, 0, 0])
const FRAME_PART = Buffer.alloc(1 << 20)
const VALUES = requestText('POST', JOBS, { ...KEYED, ...JSON_TYPE }, JSON.stringify({ body: Array.from({ length: 80_000 }, () => ({})) }))
const OBJECTS = requestText('POST', JOBS, { ...KEYED, ...JSON_TYPE }, JSON.stringify({ body: Array.from({ length: 5000 }, () => ({})) }))
const LARGE = requestText('POST', JOBS, { ...KEYED, ...JSON_TYPE }, JSON.stringify({ body: 'x'.repeat(200_000) }))
const TRAILERS = `${CHUNKED}0\r\n${'t: 1\r\n'.repeat(1500)}\r\n`
const SMALL_CHUNKS = `${CHUNKED}${'1\r\n1\r\n'.repeat(2000)}0\r\n\r\n`
const endlessBody = (): Client => new Drip(CHUNKED + CHUNK.repeat(200), CHUNK, 50)
const idle = (): Client => new Drip(LOOKUP, '', 1)

describe('A crowd at the daemon', () => {
  it.each([
    { name: 'of connections, half of them leaving', clients: [...repeat(800, () => new Drip(LOOKUP, '', 1, true)), ...repeat(800, idle)] },
    {
      name: 'of slow heads and idle connections',
      clients: [...repeat(300, () => new Drip(SLOW_HEAD, 'a', 100)), ...repeat(250, idle), ...repeat(250, () => new Drip('', '', 1))]
    },
    { name: 'of bodies that do not end', clients: repeat(500, endlessBody) },
    { name: 'of reads sent ahead, unread', clients: repeat(200, () => new Pipeline(1000, () => LOOKUP)) },
    { name: 'of submissions on 100 connections', clients: repeat(100, () => new Pipeline(150, () => SUBMISSION)) },
    { name: 'of submissions on one connection', clients: [new Pipeline(12_000, () => SUBMISSION)] },
    { name: 'of submissions on one, read', clients: [new Pipeline(12_000, () => SUBMISSION, true)] },
    { name: 'of submissions of many values', clients: repeat(100, () => new Pipeline(5, () => VALUES)) },
    { name: 'of submissions of 5,000 objects', clients: repeat(10, () => new Pipeline(150, () => OBJECTS)) },
    { name: 'of large submissions', clients: repeat(10, () => new Pipeline(150, () => LARGE)) },
    { name: 'of submissions without a key', clients: repeat(100, () => new Pipeline(150, () => KEYLESS)) },
    {
      name: 'that does all of it at once',
      clients: [
        ...repeat(200, idle),
        ...repeat(200, () => new Drip(SLOW_HEAD, 'a', 100)),
        ...repeat(200, endlessBody),
        ...repeat(100, () => new Pipeline(300, () => LOOKUP)),
        ...repeat(50, () => new Pipeline(100, () => SUBMISSION))
      ]
    }
  ])('$name', async ({ clients }) => {
    await expectWithstood(MACHINE, clients, RunningDaemon.start)
  })

  it.each([
    { name: 'by many trailers', text: TRAILERS },
    { name: 'by chunks of one byte', text: SMALL_CHUNKS }
  ])('of requests that are costly to parse, $name', async ({ text }) => {
    await expectTurns(MACHINE, repeat(200, () => new Pipeline(100, () => text, true)), RunningDaemon.start)
  })

  it.each([
    { name: 'of connections', clients: repeat(1500, () => new Drip('', '', 1)) },
    { name: 'of slow heads', clients: repeat(800, () => new Drip(SLOW_HEAD, 'a', 100)) },
    { name: 'of requests sent ahead, unread', clients: repeat(200, () => new Pipeline(1000, () => LOOKUP)) },
    { name: 'of frames that do not end', clients: repeat(400, () => new Drip(Buffer.concat([Buffer.from(UPGRADE), FRAME_HEAD]), FRAME_PART, 3)) }
  ])('where other nodes connect, $name', async ({ clients }) => {
    await expectWithstood(MACHINE, clients, RunningDaemon.startForPeers)
  })
})

function repeat (count: number, create: () => Client): Client[] {
  return Array.from({ length: count }, create)
}
