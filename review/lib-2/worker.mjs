/**
 * Stand-in of a worker, as PROTOCOL.md describes it. How long a task works stands in its `spec`: `{"ms":500}`.
 */
import { createServer } from 'node:http'
import { answer } from './store.mjs'

const HEARTBEAT_MS = 1500
const MAX_ENDS = 500
const TICK_MS = 20

/** One worker. */
export class Worker {
  /** Called with each call; returns undefined, or the status to answer with instead. */
  fault = () => undefined
  running = new Map()
  ended = []
  nextEnd = 1
  /** Highest run that was stopped or has ended, by task. */
  closedRuns = new Map()
  fence = 0
  deadlineMs = 0
  /** When the lease was last found to have lapsed, on the worker's clock. */
  lapsedMs = -Infinity
  sequence = 0
  waiters = new Set()
  bornMs = Date.now()
  startedMs = performance.now()

  /** `trace` receives what happens to runs; `publish` writes the worker's entry. */
  constructor ({ id, service, zone, address, capacity, labels, machine, holdMaxMs, trace, publish }) {
    Object.assign(this, { id, service, zone, address, capacity, labels, machine, holdMaxMs, trace, publish })
    this.server = createServer((request, response) => { this.receive(request, response) })
    this.server.keepAliveTimeout = 0
  }

  get clockMs () {
    return Math.floor(performance.now() - this.startedMs)
  }

  async listen () {
    const [host, port] = this.address.split(':')
    await new Promise((resolve) => { this.server.listen(Number(port), host, resolve) })
    this.beat()
    this.beatTimer = setInterval(() => { this.beat() }, HEARTBEAT_MS)
    this.tickTimer = setInterval(() => { this.tick() }, TICK_MS)
  }

  close () {
    clearInterval(this.beatTimer)
    clearInterval(this.tickTimer)
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Ends without a word, with all that runs. */
  async crash () {
    clearInterval(this.beatTimer)
    clearInterval(this.tickTimer)
    for (const [task, { run }] of this.running) this.trace('end', { worker: this.id, task, run, how: 'crashed' })
    this.server.closeAllConnections()
    await new Promise((resolve) => { this.server.close(resolve) })
  }

  /** Starts again under the same id, and holds and knows nothing of before. */
  async startAgain () {
    this.running = new Map()
    this.ended = []
    this.nextEnd = 1
    this.closedRuns = new Map()
    this.fence = 0
    this.deadlineMs = 0
    this.lapsedMs = -Infinity
    this.sequence = 0
    this.waiters = new Set()
    this.bornMs = Date.now()
    this.startedMs = performance.now()
    await this.listen()
  }

  /** Carries out an order whose caller gets no answer. */
  carryOut (url, body) {
    const response = { destroyed: true, on () {} }
    this.serveOrder(url, body, response)
  }

  beat () {
    this.sequence++
    this.publish(this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      clockMs: this.clockMs,
      sequence: this.sequence,
      born: this.bornMs,
      machine: this.machine
    })
  }

  tick () {
    const { clockMs } = this
    if (clockMs > this.deadlineMs) this.lapsedMs = clockMs
    for (const [task, run] of this.running) {
      if (clockMs > this.deadlineMs) this.end(task, 'lapsed')
      else if (clockMs - run.startMs >= run.workMs) this.end(task, run.fails ? 'failed' : 'done')
    }
  }

  end (task, how) {
    const { run } = this.running.get(task)
    this.running.delete(task)
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0))
    this.ended.push([this.nextEnd++, task, run, how, '', this.clockMs])
    this.trace('end', { worker: this.id, task, run, how })
    for (const wake of [...this.waiters]) wake()
  }

  receive (request, response) {
    const parts = []
    request.on('data', (part) => { parts.push(part) })
    request.on('error', () => {})
    request.on('end', () => { this.serve(request, JSON.parse(Buffer.concat(parts).toString('utf8') || '{}'), response) })
  }

  serve (request, body, response) {
    const fault = this.fault(request.url, body)
    if (fault === 'silent') return
    if (fault !== undefined) return answer(response, fault, {})
    if (request.headers['x-fireflymount-target-instance'] !== this.id) return this.reply(response, 421, {})
    this.serveOrder(request.url, body, response)
  }

  serveOrder (url, body, response) {
    const fence = body.fencingToken ?? 0
    if (fence < this.fence) return this.reply(response, 409, { reason: 'fence' })
    this.fence = fence
    switch (url) {
      case '/api/run-start': return this.serveStart(body, response)
      case '/api/run-stop': return this.serveStop(body, response)
      case '/api/hold': return this.serveHold(body, response)
      case '/api/pace': return this.reply(response, 200, {})
      default: return this.reply(response, 404, {})
    }
  }

  extend (deadlineMs) {
    if (deadlineMs === undefined) return
    this.deadlineMs = Math.max(this.deadlineMs, Math.min(deadlineMs, this.clockMs + this.holdMaxMs))
  }

  serveStart ({ task, runId, spec, deadlineMs }, response) {
    if (deadlineMs < this.clockMs) return this.reply(response, 409, { reason: 'late' })
    this.extend(deadlineMs)
    const known = this.running.get(task)
    if (known?.run === runId) return this.reply(response, 200, {})
    if (known !== undefined || runId <= (this.closedRuns.get(task) ?? 0)) return this.reply(response, 409, { reason: 'old' })
    const { ms = 100, fails = false } = JSON.parse(spec === '' ? '{}' : spec)
    this.running.set(task, { run: runId, startMs: this.clockMs, workMs: ms, fails })
    this.trace('start', { worker: this.id, task, run: runId })
    this.reply(response, 200, {})
  }

  serveStop ({ task, runId }, response) {
    if (this.running.get(task)?.run <= runId) this.end(task, 'stopped')
    this.closedRuns.set(task, Math.max(runId, this.closedRuns.get(task) ?? 0))
    this.reply(response, 200, {})
  }

  serveHold ({ deadlineMs, ackedThrough = 0, waitMs = 0 }, response) {
    this.extend(deadlineMs)
    for (const [number, task, run, how, , endedMs] of this.ended) {
      // An end isn't taken note of if the lease lapsed between the end and its acknowledgement.
      if (number <= ackedThrough && this.lapsedMs < endedMs) this.trace('acked', { worker: this.id, task, run, how })
    }
    this.ended = this.ended.filter(([number]) => number > ackedThrough)
    if (this.ended.length > 0 || waitMs === 0) return this.report(response)
    const wake = () => {
      clearTimeout(timer)
      this.waiters.delete(wake)
      this.report(response)
    }
    const timer = setTimeout(wake, Math.min(2000, waitMs))
    this.waiters.add(wake)
    response.on('close', () => {
      clearTimeout(timer)
      this.waiters.delete(wake)
    })
  }

  report (response) {
    const running = []
    for (const [task, { run, startMs, workMs }] of this.running) {
      running.push([task, run, '', Math.min(100, Math.floor(100 * (this.clockMs - startMs) / workMs)), 0])
    }
    this.reply(response, 200, { running, ended: this.ended.slice(0, MAX_ENDS).map((end) => end.slice(0, 5)) })
  }

  reply (response, status, content) {
    answer(response, status, { clockMs: this.clockMs, born: this.bornMs, ...content })
  }
}
