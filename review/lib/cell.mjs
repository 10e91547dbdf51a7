/**
 * A small cell: the stand-ins, the settings of the nodes, and calls as a client and as the operator. The nodes themselves are
 * started by run.sh, which writes their process ids.
 */
import { createServer, request as httpRequest } from 'node:http'
import { appendFileSync, existsSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Store, answer, wait } from './store.mjs'
import { Worker } from './worker.mjs'

const POLL_MS = 20
export const KEY = 'key-of-tenant-one'

export class Cell {
  workers = []
  nodes = []
  events = []
  store = new Store()
  startedMs = performance.now()

  /**
   * @param folder temporary folder for the settings
   * @param recordFile file for the record of the case
   */
  constructor (folder, recordFile) {
    this.folder = folder
    this.recordFile = recordFile
    // A network of its own for each case, so that the fixed port of the metrics is free.
    this.network = `127.${20 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}`
    writeFileSync(recordFile, '')
  }

  record (event, fields = {}) {
    const atMs = Math.round(performance.now() - this.startedMs)
    this.events.push({ atMs, event, ...fields })
    const text = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : value}`)
    appendFileSync(this.recordFile, `${(atMs / 1000).toFixed(3).padStart(8)} ${event} ${text.join(' ')}\n`)
  }

  /** Starts the platform and writes the settings of the nodes. */
  async prepare (nodeCount, parameters = {}) {
    const host = `${this.network}.200`
    this.storeAddress = await this.store.listen(host)
    this.machines = createServer((_, response) => { answer(response, 200, { machines: this.listMachines() }) })
    await new Promise((resolve) => { this.machines.listen(0, host, resolve) })
    for (let index = 1; index <= nodeCount; index++) {
      const ip = `${this.network}.${index}`
      this.nodes.push({ name: `edge-${index}`, ip, front: await freePort(ip), readiness: await freePort(ip), ports: await freePort(ip) })
    }
    for (const node of this.nodes) writeFileSync(join(this.folder, `${node.name}.toml`), this.settingsOf(node, parameters))
  }

  listMachines () {
    return this.workers.map(({ options, up }) => ({
      machine: options.machine,
      pool: options.service,
      state: up ? 'up' : 'down',
      zone: 'zone-a',
      labels: options.labels,
      capacity: options.capacity,
      id: up ? options.id : ''
    }))
  }

  settingsOf ({ name, ip, front, readiness, ports }, parameters) {
    const contract = {
      stabilityWindowMs: 3000,
      ackMs: 4000,
      drainMs: 2000,
      graceS: 6,
      configApplyMs: 2000,
      revokeMs: 5000,
      recoveryS: 12,
      holdMaxMs: 6000,
      stopMs: 200,
      gangMs: 3000,
      cancel_ms: 3000,
      visible_ms: 3000,
      finish_s: 14,
      status_s: 120,
      farX: 1.5,
      saveS: 1,
      ...parameters
    }
    return [
      `nodeName = "${name}"`, 'role = "node"', 'machineClass = "edge"', 'serves = ["edge"]', `ip = "${ip}"`, 'zone = "zone-a"',
      'region = "region-a"', `internalPortRange = [${ports},${ports}]`, 'seeds = []', 'bootstrap = true', 'heartbeatMs = 1500',
      'orders = "invocation"', '[listen]', `front = "${ip}:${front}"`, `readiness = "${ip}:${readiness}"`,
      '[limits]', 'cpuShare = 0.675', 'cores = 1', 'memoryMb = 350', 'maxFds = 4100',
      '[contractParams]', ...Object.entries(contract).map(([key, value]) => `${key} = ${value}`),
      '[platform]', `address = "${this.storeAddress}"`, 'form = "log"', 'writesPerS = 600', 'readsPerS = 2000',
      'recordBytes = 262144', 'callBytes = 2097152', 'keep_s = 300',
      '[cloudApi]', `address = "${this.network}.200:${this.machines.address().port}"`, 'ratePerS = 60.0', ''
    ].join('\n')
  }

  async addWorker (options) {
    const id = options.id
    const host = `${this.network}.${100 + this.workers.length}`
    const worker = new Worker({ host, machine: `machine-${id}`, ...options }, this.store, (event, fields) => { this.record(event, fields) })
    this.workers.push(worker)
    await worker.start()
    return worker
  }

  /** Publishes a configuration as the operator. The store's answer is its acknowledgement. */
  configure (configuration) {
    this.store.write('keyed.op', 'config', configuration)
    this.record('configuration acknowledged', { version: configuration.version, routes: configuration.routes.map(({ name }) => name) })
  }

  /** Waits until run.sh has started the nodes and all of them are ready. */
  async waitForNodes (timeoutMs) {
    writeFileSync(join(this.folder, 'ready'), this.nodes.map(({ name }) => name).join('\n') + '\n')
    const untilMs = performance.now() + timeoutMs
    for (const node of this.nodes) {
      const file = join(this.folder, `${node.name}.pid`)
      while (!existsSync(file)) await wait(POLL_MS)
      for (;;) {
        if (performance.now() > untilMs) return false
        const ready = await this.send(node, 'GET', '/api/readyz', { port: node.readiness, silent: true })
        if (ready.status === 200) break
        await wait(POLL_MS)
      }
    }
    this.record('nodes ready', {})
    return true
  }

  /** Returns the node that owns the cell: that with the newest claim in the journal. */
  owner () {
    const claim = this.store.partition('keyed.journal', '0').newest.get('o/cell')
    if (claim === undefined) return undefined
    const text = claim.value.toString('latin1')
    return this.nodes.find(({ name }) => text.includes(name))
  }

  async waitFor (condition, timeoutMs) {
    const untilMs = performance.now() + timeoutMs
    while (!condition()) {
      if (performance.now() > untilMs) return false
      await wait(POLL_MS / 4)
    }
    return true
  }

  /** Sends a signal to a node. run.sh starts the node again a second after its end. */
  signal (node, signal) {
    process.kill(Number(readFileSync(join(this.folder, `${node.name}.pid`), 'utf8')), signal)
    this.record('signal sent', { node: node.name, signal })
  }

  /** Sends a call as a client and records it with its answer; status 0 means that none arrived. */
  async send (node, method, path, { body, port = node.front, silent = false, timeoutMs = 3000 } = {}) {
    const answered = await new Promise((resolve) => {
      const headers = {
        host: 'queues.example',
        authorization: `Bearer ${KEY}`,
        'x-fireflymount-deadline-ms': String(timeoutMs),
        connection: 'close',
        ...(body === undefined ? {} : { 'content-type': 'application/json' })
      }
      const options = { host: node.ip, port, method, path, headers, agent: false, timeout: timeoutMs + 500 }
      const call = httpRequest(options, async (response) => {
        const chunks = []
        try {
          for await (const chunk of response) chunks.push(chunk)
        } catch {
          resolve({ status: 0, text: '' })
        }
        resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString() })
      })
      call.on('error', () => { resolve({ status: 0, text: '' }) })
      call.on('timeout', () => { call.destroy() })
      call.end(body === undefined ? undefined : JSON.stringify(body))
    })
    if (!silent) this.record('client call', { node: node.name, method, path, status: answered.status, answer: answered.text })
    return answered
  }

  /** Hands a job in, again with the same id after an answer that leaves it open or refuses it. Returns true once it is accepted. */
  async submit (path, job, attempts = 8) {
    for (let attempt = 0; attempt < attempts; attempt++) {
      const { status } = await this.send(this.nodes[attempt % this.nodes.length], 'POST', path, { body: job })
      if (status >= 200 && status < 300) return true
      await wait(300)
    }
    return false
  }

  async close () {
    for (const worker of this.workers) {
      if (worker.up) worker.crash()
    }
    this.machines.close()
    this.machines.closeAllConnections()
    this.store.close()
  }
}

async function freePort (host) {
  const server = createServer()
  await new Promise((resolve) => { server.listen(0, host, resolve) })
  const { port } = server.address()
  await new Promise((resolve) => { server.close(resolve) })
  return port
}

/** A configuration with one queue on one service, for one tenant. */
export function configurationOf (version, route = {}, routes = undefined) {
  return {
    version,
    routes: routes ?? [routeOf(route)],
    services: [{ name: 'service-a', admissionCheck: false }],
    tenants: [{ name: 'tenant-one', apiKeys: [KEY], weight: 1000, upperLimit: {} }],
    limits: { maxBodyBytes: 262_144 }
  }
}

export function routeOf (fields) {
  return {
    name: 'queue-a',
    host: 'queues.example',
    pathPrefix: '/queue-a/',
    service: 'service-a',
    timeoutMs: 3000,
    priority: 0,
    maxAttempts: 4,
    stretchFactor: 4,
    targetDurationMs: 60_000,
    ...fields
  }
}
