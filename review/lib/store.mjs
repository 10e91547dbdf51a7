/**
 * Stand-in of the platform's log service: topics in memory with the calls append, read and newest.
 */
import { createServer } from 'node:http'

const APPEND_MS = 4
const MAX_RECORD_BYTES = 262_144
const MAX_CALL_BYTES = 2_097_152
const MAX_NEWEST_ITEMS = 500
const REMEMBERED_APPENDS = 5
const READ_ONLY_TOPICS = new Set(['keyed.op', 'keyed.servers'])

/** One partition. Records are never dropped, because a case is shorter than the retention time. */
class Partition {
  records = []
  newest = new Map()
  producers = new Map()
  /** Callbacks of reads that wait for a record. */
  waiting = new Set()
  /** Appends are processed one at a time. */
  last = Promise.resolve()

  push (contents) {
    const offset = this.records.length
    for (const content of contents) {
      const length = content[0] ?? 0
      const key = content.toString('utf8', 1, 1 + length)
      const value = content.subarray(1 + length)
      if (value.length === 0) this.newest.delete(key)
      else this.newest.set(key, { key, value, offset: this.records.length })
      this.records.push(content)
    }
    for (const wake of [...this.waiting]) wake()
    return { offset, end: this.records.length }
  }
}

export class Store {
  partitions = new Map()
  server = createServer((request, response) => { this.handle(request, response) })

  async listen (host) {
    await new Promise((resolve) => { this.server.listen(0, host, resolve) })
    return `${host}:${this.server.address().port}`
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes a record as the operator or a worker; no value deletes the key. */
  write (topic, key, value) {
    const name = Buffer.from(key)
    const body = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))
    this.partition(topic, '0').push([Buffer.concat([Buffer.from([name.length]), name, body])])
  }

  partition (topic, part) {
    const id = `${topic}/${part}`
    if (!this.partitions.has(id)) this.partitions.set(id, new Partition())
    return this.partitions.get(id)
  }

  async handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const query = url.searchParams
    const partition = this.partition(query.get('topic'), query.get('part') ?? '0')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    switch (url.pathname) {
      case '/api/log-append': {
        if (READ_ONLY_TOPICS.has(query.get('topic'))) return answer(response, 403, {})
        const done = partition.last.then(() => append(partition, query, Buffer.concat(chunks)))
        partition.last = done.then(() => wait(APPEND_MS))
        const [status, body] = await done
        await partition.last
        return answer(response, status, body)
      }
      case '/api/log-read': return await read(partition, query, response)
      case '/api/log-newest': return newest(partition, query, response)
      default: return answer(response, 404, {})
    }
  }
}

function append (partition, query, body) {
  const contents = []
  for (let index = 0; index < body.length;) {
    const length = body.readUInt32BE(index)
    contents.push(Buffer.from(body.subarray(index + 4, index + 4 + length)))
    index += 4 + length
  }
  if (body.length > MAX_CALL_BYTES || contents.some((content) => content.length > MAX_RECORD_BYTES)) return [400, {}]
  if (query.has('at') && Number(query.get('at')) !== partition.records.length) return [412, { end: partition.records.length }]
  if (!query.has('producer')) return [200, partition.push(contents)]
  const epoch = Number(query.get('epoch'))
  const sequence = Number(query.get('sequence'))
  let producer = partition.producers.get(query.get('producer'))
  if (producer !== undefined && epoch < producer.epoch) return [409, { reason: 'fenced' }]
  if (producer === undefined || epoch > producer.epoch) {
    producer = { epoch, next: sequence, done: [] }
    partition.producers.set(query.get('producer'), producer)
  }
  const repeated = producer.done.find((each) => each.sequence === sequence)
  if (repeated !== undefined) return [200, repeated.body]
  if (sequence !== producer.next) return [409, { reason: 'seq', sequence: producer.next }]
  const appended = partition.push(contents)
  producer.next++
  producer.done.push({ sequence, body: appended })
  if (producer.done.length > REMEMBERED_APPENDS) producer.done.shift()
  return [200, appended]
}

async function read (partition, query, response) {
  const from = Number(query.get('from'))
  if (partition.records.length <= from) {
    await new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer)
        partition.waiting.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, Number(query.get('waitMs') ?? 0))
      partition.waiting.add(finish)
      response.once('close', finish)
    })
  }
  const head = Buffer.alloc(16)
  head.writeBigUInt64BE(BigInt(partition.records.length), 0)
  const parts = [head]
  const maxBytes = 1024 * Number(query.get('maxKb') ?? 1024)
  let bytes = 0
  for (let offset = from; offset < partition.records.length; offset++) {
    const content = partition.records[offset]
    bytes += content.length + 4
    if (bytes > maxBytes && offset > from) break
    const length = Buffer.alloc(4)
    length.writeUInt32BE(content.length)
    parts.push(length, content)
  }
  response.writeHead(200, { 'content-type': 'application/octet-stream' }).end(Buffer.concat(parts))
}

function newest (partition, query, response) {
  const after = query.get('dependsOn')
  const keys = [...partition.newest.keys()].sort().filter((key) => after === null || key > after)
  const items = keys.slice(0, MAX_NEWEST_ITEMS).map((key) => {
    const { value, offset } = partition.newest.get(key)
    return { key, value: value.toString('base64'), offset }
  })
  answer(response, 200, { items, hasMore: keys.length > items.length, end: partition.records.length })
}

export function answer (response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

export function wait (ms) {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}
