/**
 * A small deployment on loopback addresses: nodes as separate processes with the command of the deploy file, and in this process the
 * stand-ins of the store, of the list of machines and of the workers, and the clients.
 */
// eslint-disable-next-line no-restricted-imports
import { spawn } from 'node:child_process'
import { appendFileSync, createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, createServer, request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Store, answer } from './store.mjs'
import { Worker } from './worker.mjs'

export const HOST = 'cell.example'
export const KEY = 'key-of-the-shop'
const FRONT_PORT = 8686
const READINESS_PORT = 8689
const STORE_PORT = 8683
const MACHINES_PORT = 8684
const ZONES = ['fukuoka', 'kumamoto', 'kagoshima']
const STORE_LIMITS = { writesPerS: 600, readsPerS: 2000, appendMs: 2, partMbS: 20, recordBytes: 262144, callBytes: 2097152 }

export const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** A route as the operator writes it. */
export function routeOf (name, prefix, service, more = {}) {
  return {
    name,
    host: HOST,
    pathPrefix: prefix,
    routeType: 'non_idempotent',
    timeoutMs: 3000,
    targetDurationMs: 3000,
    priority: 1,
    service,
    maxAttempts: 3,
    stretchFactor: 4,
    anonymous: false,
    ...more
  }
}

/** One deployment. */
export class Cell {
  nodes = []
  workers = []
  /** What happened to runs: { atMs, event, worker, task, run, how }. */
  events = []

  /** `folder` is the case's folder, in which record.txt is written; `root` that of the repository. */
  constructor ({ folder, root, nodeCount = 3 }) {
    this.root = root
    this.nodeCount = nodeCount
    this.recordPath = join(folder, 'record.txt')
    this.originMs = performance.now()
    writeFileSync(this.recordPath, '')
    this.temporary = mkdtempSync(join(tmpdir(), 'review-2-'))
    const seed = process.pid % 65_000
    this.network = `127.${16 + (seed >> 8) % 200}.${seed & 255}`
    this.store = new Store(STORE_LIMITS, (text) => { this.record(text) })
    this.agents = new Map()
    const [, command] = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))
    this.command = command.replace('{{limits.memoryMb}}', '350').split(' ')
  }

  get atMs () {
    return Math.round(performance.now() - this.originMs)
  }

  record (text) {
    appendFileSync(this.recordPath, `${String(this.atMs).padStart(7)} ${text}\n`)
  }

  get storeAddress () {
    return `${this.network}.250:${STORE_PORT}`
  }

  /** Starts the stand-ins, writes the configuration and starts the nodes. */
  async start (config, workers) {
    await this.store.listen(`${this.network}.250`, STORE_PORT)
    this.store.put('keyed.op', 'config', config)
    this.machines = createServer((_, response) => {
      const machines = this.workers.map(({ id, machine, service, zone, labels, capacity }) => {
        return { machine, pool: service, state: 'up', zone, labels, capacity, id }
      })
      answer(response, 200, { machines, nextToken: null })
    })
    await new Promise((resolve) => { this.machines.listen(MACHINES_PORT, `${this.network}.250`, resolve) })
    for (const [index, fields] of workers.entries()) await this.addWorker(index, fields)
    for (let index = 0; index < this.nodeCount; index++) this.startNode(index)
    await this.waitUntilReady()
  }

  async addWorker (index, fields) {
    const worker = new Worker({
      id: `i-${String(index).padStart(8, '0')}`,
      zone: ZONES[index % ZONES.length],
      address: `${this.network}.${100 + index}:8080`,
      labels: ['a', `r1-${1 + Math.floor(index / 5)}`],
      machine: `m-${String(index).padStart(5, '0')}`,
      holdMaxMs: 6000,
      trace: (event, details) => { this.trace(event, details) },
      publish: (id, entry) => { this.store.put('keyed.servers', id, entry) },
      ...fields
    })
    this.workers.push(worker)
    await worker.listen()
    return worker
  }

  trace (event, details) {
    this.events.push({ atMs: this.atMs, event, ...details })
    if (this.isTraced?.(details.task) !== false) {
      const { worker, task, run, how = '' } = details
      this.record(`${worker} ${event} ${task} run ${run} ${how}`)
    }
  }

  hostOf (index) {
    return `${this.network}.${1 + index}`
  }

  startNode (index, isFirst = true) {
    const path = join(this.temporary, `node-${index}.toml`)
    writeFileSync(path, this.settingsOf(index, isFirst))
    const [program, ...rest] = this.command
    const child = spawn(program === 'node' ? process.execPath : program, rest, {
      cwd: this.root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, FIREFLYMOUNT_CONFIG: path },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    const log = createWriteStream(join(this.temporary, `node-${index}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    const node = { index, child, ended: undefined }
    child.on('exit', (code, signal) => {
      node.ended = { code, signal }
      if (!this.stopping) this.record(`node-${index} ended: code ${code}, signal ${signal}`)
    })
    this.nodes[index] = node
    this.record(`node-${index} started, pid ${child.pid}`)
    return node
  }

  settingsOf (index, isFirst) {
    const host = this.hostOf(index)
    return `nodeName = "edge-${index}"
role = "node"
machineClass = "edge"
serves = ["edge"]
ip = "${host}"
zone = "${ZONES[index % ZONES.length]}"
region = "kyushu"
internalPortRange = [7180,7195]
seeds = []
bootstrap = ${isFirst}
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "invocation"
[listen]
front = "${host}:${FRONT_PORT}"
readiness = "${host}:${READINESS_PORT}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
[contractParams]
stabilityWindowMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
holdMaxMs = 6000
stopMs = 200
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 1.5
saveS = 1
restoreMs = 100
[platform]
address = "${this.storeAddress}"
form = "log"
writesPerS = 600
readsPerS = 2000
recordBytes = 262144
callBytes = 2097152
keep_s = 300
[cloudApi]
address = "${this.network}.250:${MACHINES_PORT}"
ratePerS = 60.0
`
  }

  async waitUntilReady (timeoutMs = 20_000) {
    const untilMs = performance.now() + timeoutMs
    for (let index = 0; index < this.nodeCount; index++) {
      while (!await this.isReady(index)) {
        if (performance.now() > untilMs) throw new CaseFailure(`node-${index} is not ready`)
        await sleep(100)
      }
    }
  }

  async isReady (index) {
    const { status } = await this.call(index, { port: READINESS_PORT, method: 'GET', path: '/api/readyz', timeoutMs: 1000 })
    return status === 200
  }

  /** Sends one request of a client. Status 0 stands for no answer. */
  call (index, { port = FRONT_PORT, method, path, body, timeoutMs = 3000, headers = {} }) {
    const host = this.hostOf(index)
    let agent = this.agents.get(host)
    if (agent === undefined) this.agents.set(host, agent = new Agent({ keepAlive: true }))
    const text = body === undefined ? undefined : JSON.stringify(body)
    return new Promise((resolve) => {
      const sent = httpRequest({
        host,
        port,
        method,
        path,
        agent,
        headers: {
          host: HOST,
          authorization: `Bearer ${KEY}`,
          'x-fireflymount-deadline-ms': String(timeoutMs),
          ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
          ...headers
        }
      }, (response) => {
        const parts = []
        response.on('data', (part) => { parts.push(part) })
        response.on('error', () => { finish({ status: 0, text: 'broken off' }) })
        response.on('end', () => { finish({ status: response.statusCode, text: Buffer.concat(parts).toString('utf8') }) })
      })
      const timer = setTimeout(() => {
        finish({ status: 0, text: 'no answer' })
        sent.destroy()
      }, timeoutMs + 200)
      const finish = (result) => {
        clearTimeout(timer)
        resolve(result)
      }
      sent.on('error', (error) => { finish({ status: 0, text: error.code ?? error.message }) })
      sent.end(text)
    })
  }

  /** Sends a request of a client and records it with its answer. */
  async ask (index, method, path, body, timeoutMs) {
    const sentMs = this.atMs
    const result = await this.call(index, { method, path, body, timeoutMs })
    const size = body === undefined ? '' : ` (${JSON.stringify(body).length} bytes)`
    this.record(`${method} ${path}${size} to node-${index}, sent at ${sentMs}: ${result.status} ${result.text.slice(0, 160)}`)
    return { ...result, sentMs, answeredMs: this.atMs }
  }

  stateOf ({ status, text }) {
    return status === 200 ? JSON.parse(text).state : undefined
  }

  logOf (index) {
    return readFileSync(join(this.temporary, `node-${index}.log`), 'utf8')
  }

  /** Ends everything that was started. */
  async stop () {
    this.stopping = true
    for (const { child, ended } of this.nodes) {
      if (ended !== undefined) continue
      const exited = new Promise((resolve) => { child.once('exit', resolve) })
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await exited
    }
    for (const agent of this.agents.values()) agent.destroy()
    for (const worker of this.workers) worker.close()
    this.machines?.close()
    this.machines?.closeAllConnections()
    this.store.close()
    if (process.env.KEEP_LOGS === '1') process.stderr.write(`logs in ${this.temporary}\n`)
    else rmSync(this.temporary, { recursive: true, force: true })
  }
}

/** The case could not run. */
export class CaseFailure extends Error {}

/** Runs a case: `play` returns the breaches of the rule that it has seen. Ends this process with 0, 1 or 2. */
export async function runCase (options, play) {
  const cell = new Cell(options)
  let code = 2
  const limit = setTimeout(() => {
    cell.record('the case took too long')
    cell.stop().finally(() => { process.exit(2) })
  }, 115_000)
  try {
    const breaches = await play(cell, process.env.TROUBLE !== '0')
    for (const breach of breaches) cell.record(`BROKEN: ${breach}`)
    cell.record(breaches.length > 0 ? 'the rule was broken' : 'the rule held')
    code = breaches.length > 0 ? 1 : 0
  } catch (error) {
    cell.record(`the case could not run: ${error.stack}`)
  }
  clearTimeout(limit)
  await cell.stop()
  process.stdout.write(`${readFileSync(cell.recordPath, 'utf8').split('\n').slice(-4).join('\n')}`)
  process.exit(code)
}
