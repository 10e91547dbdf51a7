/**
 * Stand-in of a worker, with orders by invocation. It guards nothing: it starts what it is told to start.
 */
import { createServer } from 'node:http'
import { answer, wait } from './store.mjs'

const HEARTBEAT_MS = 1500
const MAX_HOLD_MS = 6000
const MAX_LISTED_ENDS = 500
const LEASE_CHECK_MS = 20

export class Worker {
  fence = 0
  running = new Map()
  /** Ends that are not acknowledged, in the order of their numbers. */
  ended = []
  endCount = 0
  /** Highest run of each task that was stopped or has ended. */
  closedRuns = new Map()
  leaseMs = 0
  waiting = new Set()
  up = false

  /**
   * @param options id, service, capacity, labels, host and machine of the worker; `plan(task, run)` returns how a run goes:
   *   `ms` until its end and `how` it ends; `stopMs` is the time that a stop takes; `refuse(task, run)` may return a status with
   *   which a start is refused
   * @param store the store in which the worker registers
   * @param record called with each event: its name and its fields
   */
  constructor (options, store, record) {
    this.options = options
    this.store = store
    this.record = record
  }

  get clockMs () {
    return Math.floor(performance.now() - this.startedMs)
  }

  async start () {
    const { host, id } = this.options
    this.startedMs = performance.now() - 1000
    this.born = Date.now()
    this.server = createServer((request, response) => { this.handle(request, response) })
    await new Promise((resolve) => { this.server.listen(this.port ?? 0, host, resolve) })
    this.port = this.server.address().port
    this.up = true
    this.record('worker up', { worker: id, born: this.born })
    this.register()
    this.heartbeat = setInterval(() => { this.register() }, HEARTBEAT_MS)
    this.leaseCheck = setInterval(() => { this.checkLease() }, LEASE_CHECK_MS)
  }

  /** Ends the process of the worker without a word; its runs end with it. */
  crash () {
    this.up = false
    clearInterval(this.heartbeat)
    clearInterval(this.leaseCheck)
    for (const run of this.running.values()) clearTimeout(run.timer)
    this.running.clear()
    this.ended = []
    this.endCount = 0
    this.closedRuns.clear()
    this.fence = 0
    this.leaseMs = 0
    this.server.close()
    this.server.closeAllConnections()
    this.record('worker down', { worker: this.options.id })
  }

  register () {
    const { id, service, capacity, labels, host, machine } = this.options
    this.store.write('keyed.servers', id, {
      service,
      address: `${host}:${this.port}`,
      zone: 'zone-a',
      version: '1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      sequence: Math.floor(this.clockMs / HEARTBEAT_MS),
      capacity,
      labels,
      born: this.born,
      clockMs: this.clockMs,
      machine
    })
  }

  async handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (request.headers['x-fireflymount-target-instance'] !== this.options.id) return answer(response, 421, { clockMs: this.clockMs })
    const order = JSON.parse(Buffer.concat(chunks).toString() || '{}')
    const [status, body] = await this.execute(request.url, order)
    if (!this.up) return request.socket.destroy()
    answer(response, status, { clockMs: this.clockMs, born: this.born, ...body })
  }

  async execute (path, order) {
    const token = order.fencingToken ?? 0
    if (token < this.fence) return [409, { reason: 'fence' }]
    switch (path) {
      case '/api/run-start': return this.startRun(order, token)
      case '/api/run-stop':
        this.fence = token
        return this.stopRun(order)
      case '/api/hold':
        this.fence = token
        return await this.hold(order)
      case '/api/pace':
        this.fence = token
        return [200, {}]
      default: return [404, {}]
    }
  }

  startRun ({ task, runId, spec, deadlineMs }, token) {
    const { id, refuse } = this.options
    const status = refuse?.(task, runId)
    if (status !== undefined) {
      this.record('start refused', { worker: id, task, run: runId, status })
      return [status, {}]
    }
    this.fence = token
    const current = this.running.get(task)
    if (current?.run === runId) return [200, {}]
    if (runId <= (this.closedRuns.get(task) ?? 0) || current !== undefined) {
      this.extendLease(deadlineMs)
      return [409, { reason: 'old' }]
    }
    if (deadlineMs < this.clockMs) return [409, { reason: 'late' }]
    this.extendLease(deadlineMs)
    const run = { run: runId, startedMs: performance.now() }
    this.running.set(task, run)
    this.record('run started', { worker: id, task, run: runId, token, spec })
    const { ms, how } = this.options.plan(task, runId, this)
    if (Number.isFinite(ms)) run.timer = setTimeout(() => { this.endRun(task, run, how) }, ms)
    return [200, {}]
  }

  stopRun ({ task, runId }) {
    const { id, stopMs = 0 } = this.options
    this.record('stop ordered', { worker: id, task, run: runId })
    const run = this.running.get(task)
    if (run === undefined) this.closedRuns.set(task, Math.max(runId, this.closedRuns.get(task) ?? 0))
    else if (run.run <= runId && !run.stopping) {
      run.stopping = true
      setTimeout(() => { this.endRun(task, run, 'stopped') }, stopMs)
    }
    return [200, {}]
  }

  endRun (task, run, how) {
    if (this.running.get(task) !== run) return
    clearTimeout(run.timer)
    this.running.delete(task)
    this.closedRuns.set(task, Math.max(run.run, this.closedRuns.get(task) ?? 0))
    this.ended.push([++this.endCount, task, run.run, how, ''])
    this.record('run ended', { worker: this.options.id, task, run: run.run, how, number: this.endCount })
    this.options.onEnd?.(task, run.run, how)
    for (const wake of [...this.waiting]) wake()
  }

  async hold ({ deadlineMs, ackedThrough, waitMs }) {
    this.acknowledge(ackedThrough)
    this.extendLease(deadlineMs)
    if (this.ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          this.waiting.delete(finish)
          resolve()
        }
        this.waiting.add(finish)
        wait(waitMs).then(finish)
      })
    }
    const running = [...this.running].map(([task, { run, startedMs }]) => {
      return [task, run, '', Math.min(99, Math.floor((performance.now() - startedMs) / 100)), 0]
    })
    return [200, { running, ended: this.ended.slice(0, MAX_LISTED_ENDS) }]
  }

  acknowledge (through) {
    for (const end of this.ended) {
      if (end[0] <= through) this.record('end taken note of', { worker: this.options.id, task: end[1], run: end[2], how: end[3] })
    }
    this.ended = this.ended.filter(([number]) => number > through)
  }

  extendLease (deadlineMs) {
    if (deadlineMs === undefined) return
    this.leaseMs = Math.max(this.leaseMs, Math.min(deadlineMs, this.clockMs + MAX_HOLD_MS))
  }

  checkLease () {
    if (this.clockMs <= this.leaseMs) return
    for (const [task, run] of [...this.running]) this.endRun(task, run, 'lapsed')
  }
}
