/**
 * Stand-in of the platform's store, as PROTOCOL.md describes it: topics with fenced appends, long polls and the newest record of each key.
 */
import { createServer } from 'node:http'

const LENGTH_BYTES = 4
const PAGE_ITEMS = 500
const PAGE_BYTES = 1024 * 1024
const REMEMBERED_APPENDS = 5
const MAX_QUEUE_MS = 2000

class Partition {
  records = []
  newest = new Map()
  producers = new Map()
  busyUntilMs = 0
  waiters = new Set()

  append (contents) {
    const offset = this.records.length
    for (const content of contents) {
      const keyLength = content[0]
      const key = content.toString('utf8', 1, 1 + keyLength)
      const value = content.subarray(1 + keyLength)
      if (value.length === 0) this.newest.delete(key)
      else this.newest.set(key, { value, offset: this.records.length })
      this.records.push(content)
    }
    for (const wake of [...this.waiters]) wake()
    return { offset, end: this.records.length }
  }
}

/** The store. `limits` has the fields of `[platform]` in the settings. */
export class Store {
  partitions = new Map()
  /** Called with each call; returns undefined, or what to do instead: 'busy', 'silent', or `{ lateMs }` for a lost answer. */
  fault = () => undefined
  writes = []
  reads = []

  constructor (limits, record) {
    this.limits = limits
    this.record = record
    this.server = createServer((request, response) => { this.receive(request, response) })
    this.server.keepAliveTimeout = 0
  }

  async listen (host, port) {
    await new Promise((resolve) => { this.server.listen(port, host, resolve) })
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  partition (topic) {
    let partition = this.partitions.get(topic)
    if (partition === undefined) this.partitions.set(topic, partition = new Partition())
    return partition
  }

  /** Writes a record as the operator or a worker does. */
  put (topic, key, value) {
    this.partition(topic).append([contentOf(key, value)])
  }

  receive (request, response) {
    const parts = []
    request.on('data', (part) => { parts.push(part) })
    request.on('error', () => {})
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      this.serve(request.method, url, Buffer.concat(parts), response, request.socket)
    })
  }

  isOverRate (times, perS) {
    const nowMs = performance.now()
    while (times.length > 0 && nowMs - times[0] >= 1000) times.shift()
    if (times.length >= perS) return true
    times.push(nowMs)
    return false
  }

  serve (method, url, body, response, socket) {
    const query = Object.fromEntries(url.searchParams)
    const isAppend = url.pathname === '/api/log-append'
    const fault = this.fault({ path: url.pathname, query, body, from: socket.remoteAddress })
    if (fault === 'silent') return
    if (fault === 'busy') return answer(response, 503, {})
    const { writesPerS, readsPerS } = this.limits
    const isOver = isAppend ? this.isOverRate(this.writes, writesPerS) : this.isOverRate(this.reads, readsPerS)
    if (isOver) return answer(response, 429, {})
    if (isAppend) return this.serveAppend(query, body, response, fault)
    if (url.pathname === '/api/log-read') return this.serveRead(query, response)
    if (url.pathname === '/api/log-newest') return this.serveNewest(query, response)
    answer(response, 404, {})
  }

  serveAppend (query, body, response, fault) {
    const contents = decodeRecords(body)
    const isTooLarge = contents === undefined || body.length > this.limits.callBytes ||
      contents.some((content) => content.length > this.limits.recordBytes)
    if (isTooLarge) {
      this.record(`store 400: append to ${query.topic} of ${body.length} bytes, ${contents?.length} records, the largest ` +
        `${Math.max(0, ...contents?.map((content) => content.length) ?? [])} bytes`)
      return answer(response, 400, { reason: 'size' })
    }
    const partition = this.partition(query.topic)
    const nowMs = performance.now()
    if (partition.busyUntilMs - nowMs > MAX_QUEUE_MS) return answer(response, 503, {})
    const costMs = this.limits.appendMs + body.length / (this.limits.partMbS * 1000)
    partition.busyUntilMs = Math.max(partition.busyUntilMs, nowMs) + costMs
    const lateMs = fault?.lateMs ?? 0
    setTimeout(() => {
      const { status, content } = appendFenced(partition, query, contents)
      if (fault === undefined) answer(response, status, content)
    }, partition.busyUntilMs - nowMs + lateMs)
  }

  serveRead (query, response) {
    const partition = this.partition(query.topic)
    const from = Number(query.from)
    const maxBytes = Number(query.maxKb ?? 1024) * 1024
    const waitMs = Number(query.waitMs ?? 0)
    let isSent = false
    const send = () => {
      if (isSent) return
      isSent = true
      partition.waiters.delete(send)
      clearTimeout(timer)
      const head = Buffer.alloc(16)
      head.writeBigUInt64BE(BigInt(partition.records.length), 0)
      const parts = [head]
      let bytes = 0
      for (let offset = from; offset < partition.records.length; offset++) {
        const content = partition.records[offset]
        if (bytes > 0 && bytes + content.length > maxBytes) break
        const length = Buffer.alloc(LENGTH_BYTES)
        length.writeUInt32BE(content.length)
        parts.push(length, content)
        bytes += content.length + LENGTH_BYTES
      }
      response.writeHead(200, { 'content-type': 'application/octet-stream' }).end(Buffer.concat(parts))
    }
    const timer = setTimeout(send, Math.min(30_000, waitMs))
    if (from < partition.records.length || waitMs === 0) return send()
    partition.waiters.add(send)
    response.on('close', () => {
      partition.waiters.delete(send)
      clearTimeout(timer)
    })
  }

  serveNewest (query, response) {
    const partition = this.partition(query.topic)
    const keys = [...partition.newest.keys()].sort()
    const items = []
    let bytes = 0
    let hasMore = false
    for (const key of keys) {
      if (query.dependsOn !== undefined && key <= query.dependsOn) continue
      const { value, offset } = partition.newest.get(key)
      if (items.length >= PAGE_ITEMS || (bytes > 0 && bytes + value.length > PAGE_BYTES)) {
        hasMore = true
        break
      }
      items.push({ key, value: value.toString('base64'), offset })
      bytes += value.length
    }
    answer(response, 200, { items, hasMore, end: partition.records.length })
  }
}

function appendFenced (partition, query, contents) {
  if (query.producer === undefined) return { status: 200, content: partition.append(contents) }
  const epoch = Number(query.epoch)
  const sequence = Number(query.sequence)
  const known = partition.producers.get(query.producer)
  if (known !== undefined && epoch < known.epoch) return { status: 409, content: { reason: 'fenced' } }
  if (known === undefined || epoch > known.epoch) {
    partition.producers.set(query.producer, { epoch, sequence: undefined, last: [] })
  }
  const producer = partition.producers.get(query.producer)
  if (contents.length === 0) return { status: 200, content: { offset: partition.records.length, end: partition.records.length } }
  const repeated = producer.last.find((each) => each.sequence === sequence)
  if (repeated !== undefined) return { status: 200, content: repeated.content }
  if (producer.sequence !== undefined && sequence !== producer.sequence + 1) {
    return { status: 409, content: { reason: 'seq', sequence: producer.sequence + 1 } }
  }
  producer.sequence = sequence
  const content = partition.append(contents)
  producer.last = [...producer.last, { sequence, content }].slice(-REMEMBERED_APPENDS)
  return { status: 200, content }
}

function decodeRecords (body) {
  const contents = []
  let index = 0
  while (index < body.length) {
    if (index + LENGTH_BYTES > body.length) return undefined
    const length = body.readUInt32BE(index)
    index += LENGTH_BYTES
    if (index + length > body.length) return undefined
    contents.push(body.subarray(index, index + length))
    index += length
  }
  return contents
}

export function contentOf (key, value) {
  const name = Buffer.from(key, 'utf8')
  const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))
  return Buffer.concat([Buffer.from([name.length]), name, bytes])
}

export function answer (response, status, content) {
  if (response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(content))
}
