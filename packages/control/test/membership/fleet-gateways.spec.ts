import { MessageKind, type Command, type Request } from '@fireflymount/protocol/message'
import { Execution, Reason, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { FleetGateways } from '../../src/membership/fleet-gateways.js'
import { compactReport } from '../../src/membership/gateway-server.js'
import type { Report, Worker } from '../../src/model/worker.js'
import { COMMAND_VALIDITY_MS, WorkerFailure, type StartCommand } from '../../src/ports/fleet.js'
import { Log } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'
import { FakeClock, FakeFleet, createWorker } from '../fakes.js'

const SELF = 'owner'
const WORKER = createWorker()
const START: StartCommand = { task: 'aa.0.0.0', run: 1, payload: '', deadlineMs: 7000, fence: 3, checkpoint: '', ticket: '' }
const RUN = { task: 'aa.0.0.0', run: 1, fence: 3 }
const POLL = { fence: 3, acknowledged: 5, deadlineMs: 9000, waitMs: 1900 }
const REPORT: Report = { born: 10, clockMs: 6000, running: [], ended: [] }
const SILENT = WorkerFailure.NoAnswer

/** A call that was made through a node, or directly by the owner. */
interface Call {
  readonly through: string
  readonly request?: Request
  readonly timeoutMs?: number
  readonly validMs?: number | undefined
}

class EventLog extends Log {
  readonly events: Array<Record<string, unknown>> = []
  override decision (): void {}
  override event (name: string, fields: Record<string, unknown>): void { this.events.push({ name, ...fields }) }
}

function lost (reason: Reason, execution: Execution): Result<unknown, Refusal> {
  return err({ reason, detail: '', execution, retryAfterMs: 0 })
}
const NOT_SENT = lost(Reason.ConnectionLost, Execution.NotRun)
const UNANSWERED = lost(Reason.ConnectionLost, Execution.Unknown)
const LEAVING = lost(Reason.Leaving, Execution.NotRun)
const TOO_LATE = lost(Reason.DeadlinePassed, Execution.NotRun)

class Harness {
  readonly clock = new FakeClock()
  readonly calls: Call[] = []
  readonly log = new EventLog()
  readonly direct = new FakeFleet()
  connected: string[]
  /** Result of a call through a node; the worker answers unless a test replaces it. */
  answer: (through: string, command: Command) => Result<unknown, Refusal> = (_, command) => answered(command)
  readonly fleet: FleetGateways

  constructor (others: number) {
    this.connected = Array.from({ length: others }, (_, index) => `n${index}`)
    this.direct.onStart = () => { this.calls.push({ through: SELF }); return ok(1) }
    this.direct.onReportRequest = async () => { this.calls.push({ through: SELF }); return ok(REPORT) }
    this.fleet = new FleetGateways({
      node: SELF,
      countOthers: () => others,
      links: {
        connected: () => [...this.connected],
        has: (node) => this.connected.includes(node),
        ask: async (through, request, timeoutMs, validMs) => {
          this.calls.push({ through, request, timeoutMs, validMs })
          return request.kind === MessageKind.Command ? this.answer(through, request) : ok(true)
        }
      },
      addressOf: () => undefined,
      direct: this.direct,
      clock: this.clock,
      log: this.log,
      metrics: new Metrics()
    })
  }

  /** Sends a start and returns the names of the nodes that were asked to make the call. */
  async start (worker: Worker = WORKER): Promise<string[]> {
    const before = this.calls.length
    await this.fleet.start(worker, START)
    return this.calls.slice(before).map((call) => call.through)
  }

  /** Lets no call through a node reach the workers. */
  cut (...nodes: string[]): void {
    this.answer = (through, command) => nodes.includes(through) ? ok(SILENT) : answered(command)
  }
}

function answered (command: Command): Result<unknown, Refusal> {
  return ok(command.report === undefined ? 6000 : compactReport(REPORT))
}

const WORKERS = Array.from({ length: 60 }, (_, index) => createWorker({ id: `w${index}` }))

/** The nodes through which the workers are called. */
async function nodesUsed (harness: Harness): Promise<Set<string>> {
  const used = new Set<string>()
  for (const worker of WORKERS) for (const node of await harness.start(worker)) used.add(node)
  return used
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('the choice of the node that calls a worker', () => {
  it.each([
    { says: 'only the owner while no other node is connected', others: 0, owner: true },
    { says: 'the owner too while few others are connected', others: 2, owner: true },
    { says: 'only other nodes once there are enough', others: 3, owner: false },
    { says: 'only other nodes in a large cell', others: 12, owner: false }
  ])('is $says', async ({ others, owner }) => {
    const harness = new Harness(others)
    const expected = owner ? [...harness.connected, SELF] : harness.connected
    expect([...await nodesUsed(harness)].sort()).toEqual([...expected].sort())
  })

  it('stays the same from call to call', async () => {
    const harness = new Harness(5)
    const [first] = await harness.start()
    harness.clock.advance(10_000)
    expect(await harness.start()).toEqual([first])
  })

  it('falls back on the owner when the last connection is closed', async () => {
    const harness = new Harness(1)
    harness.connected = []
    harness.clock.advance(1000)
    expect(await harness.start()).toEqual([SELF])
  })

  // Guards against an owner that makes the calls to all workers itself, or through the first node to connect, after a takeover.
  it.each([
    { says: 'waits until half of the other nodes are connected', connected: ['n0', 'n1', 'n2'], elapsedMs: 0, waits: false },
    { says: 'waits while fewer are', connected: ['n0', 'n1'], elapsedMs: 0, waits: true },
    { says: 'waits while none is', connected: [], elapsedMs: 0, waits: true },
    { says: 'waits only for a short time', connected: [], elapsedMs: 400, waits: false }
  ])('$says', async ({ connected, elapsedMs, waits }) => {
    const harness = new Harness(6)
    harness.connected = []
    const starting = harness.start()
    await vi.advanceTimersByTimeAsync(100)
    expect(harness.calls).toEqual([])
    harness.connected = [...connected]
    harness.clock.advance(elapsedMs)
    await vi.advanceTimersByTimeAsync(100)
    expect(harness.calls.length).toBe(waits ? 0 : 1)
    harness.clock.advance(400)
    await vi.advanceTimersByTimeAsync(100)
    await starting
  })
})

describe('a call through another node', () => {
  it.each([
    { says: 'start', call: (fleet: FleetGateways) => fleet.start(WORKER, START), timeoutMs: 1100 },
    { says: 'stop', call: (fleet: FleetGateways) => fleet.stop(WORKER, RUN), timeoutMs: 1100 },
    { says: 'throttle', call: (fleet: FleetGateways) => fleet.throttle(WORKER, RUN, 40), timeoutMs: 1100 },
    { says: 'report with a long poll', call: (fleet: FleetGateways) => fleet.requestReport(WORKER, POLL), timeoutMs: 3000 }
  ])('names only what the call needs of the worker, and has its timeout and its validity: $says', async ({ call, timeoutMs }) => {
    const harness = new Harness(4)
    expect((await call(harness.fleet)).isOk()).toBe(true)
    expect(harness.calls).toMatchObject([{ timeoutMs, validMs: 1000 }])
    const { worker } = harness.calls[0]!.request as Command
    expect(worker).toEqual({ id: WORKER.id, address: WORKER.address, zone: WORKER.zone, born: WORKER.born })
  })

  it.each([
    { says: 'a number is the worker\'s clock', answer: ok(6000), expected: ok(6000) },
    ...Object.values(WorkerFailure).map((failure) => ({ says: `the failure ${failure}`, answer: ok(failure), expected: err(failure) })),
    { says: 'no answer of the node means that the worker may execute the command', answer: UNANSWERED, expected: err(SILENT) }
  ])('has the result of the call: $says', async ({ answer, expected }) => {
    const harness = new Harness(4)
    harness.answer = () => answer
    expect(await harness.fleet.start(WORKER, START)).toEqual(expected)
    expect(harness.calls.length).toBe(1)
  })

  it.each([
    { says: 'the connection was closed before it was sent', refusal: NOT_SENT },
    { says: 'the node is stopping', refusal: LEAVING },
    { says: 'the node came to it too late', refusal: TOO_LATE }
  ])('is made through the next node at once if $says', async ({ refusal }) => {
    const harness = new Harness(4)
    const [first] = await harness.start()
    harness.answer = (through, command) => through === first ? refusal : answered(command)
    const asked = await harness.start()
    expect([asked.length, asked[0]]).toEqual([2, first])
    expect(asked[1]).not.toBe(first)
  })

  // Guards against a lease that is taken for expired while a command sent before it was reset can still be executed: the bound of
  // owner/lease.ts assumes that no call starts later than COMMAND_VALIDITY_MS after the owner sent the command.
  it.each([
    { says: 'nodes that come to it too late', call: (fleet: FleetGateways) => fleet.start(WORKER, START), answer: TOO_LATE, answerMs: 1000 },
    { says: 'a node that does not answer a report request', call: (fleet: FleetGateways) => fleet.requestReport(WORKER, POLL), answer: UNANSWERED, answerMs: 3000 }
  ])('is not sent any more once its validity has passed: $says', async ({ call, answer, answerMs }) => {
    const harness = new Harness(6)
    const sentMs = harness.clock.now()
    const latestMs: number[] = []
    harness.answer = (_, command) => {
      // A request without a deadline grants no lease.
      const grants = command.report === undefined || command.report.deadlineMs !== undefined
      if (grants) latestMs.push(harness.clock.now() - sentMs + (harness.calls.at(-1)!.validMs ?? 0))
      harness.clock.advance(answerMs)
      return answer
    }
    harness.direct.onStart = () => { latestMs.push(harness.clock.now() - sentMs); return ok(1) }
    await call(harness.fleet)
    expect(Math.max(...latestMs)).toBeLessThanOrEqual(COMMAND_VALIDITY_MS)
  })

  // Guards against the same: the time for which a command waited for connections was not counted.
  it('is valid for less time if it has waited for other nodes', async () => {
    const harness = new Harness(6)
    const nodes = harness.connected
    harness.connected = []
    const starting = harness.start()
    await vi.advanceTimersByTimeAsync(100)
    harness.clock.advance(300)
    harness.connected = nodes
    await vi.advanceTimersByTimeAsync(100)
    await starting
    expect(harness.calls[0]!.validMs).toBe(COMMAND_VALIDITY_MS - 300)
  })

  it('is made by the owner if three nodes refuse it', async () => {
    const harness = new Harness(6)
    harness.answer = () => NOT_SENT
    const asked = await harness.start()
    expect([asked.length, asked[3], harness.direct.started.length]).toEqual([4, SELF, 1])
  })

  it.each([
    { says: 'a node that is stopping', refusal: LEAVING },
    { says: 'a node that does not know the command', refusal: lost(Reason.Malformed, Execution.NotRun) },
    { says: 'a node that does not answer', refusal: UNANSWERED },
    { says: 'a node that comes to its commands too late', refusal: TOO_LATE }
  ])('does not go through $says, for any worker, for some seconds', async ({ refusal }) => {
    const harness = new Harness(5)
    const [first] = await harness.start()
    harness.answer = (through, command) => through === first ? refusal : answered(command)
    await harness.start()
    expect([...await nodesUsed(harness)]).not.toContain(first)
    harness.answer = (_, command) => answered(command)
    harness.clock.advance(6000)
    expect([...await nodesUsed(harness)]).toContain(first)
  })

  // Guards against an owner that calls all workers itself after it was held up and all its calls timed out together.
  it('still goes through other nodes if all of them seemed silent', async () => {
    const harness = new Harness(5)
    harness.answer = () => UNANSWERED
    for (const worker of WORKERS) await harness.fleet.start(worker, START)
    harness.answer = (_, command) => answered(command)
    expect([...await nodesUsed(harness)]).not.toContain(SELF)
  })
})

describe('nodes that do not answer the owner', () => {
  // Guards against workers that get no stop and no lease because most nodes, for example those with narrow links, are choked: the owner
  // takes itself for held up and goes on asking them, although the other nodes answer.
  it.each([{ silent: 1 }, { silent: 3 }, { silent: 4 }, { silent: 5 }, { silent: 6 }])(
    'are $silent of eight: each worker is reached through another one within six seconds', async ({ silent }) => {
      const harness = new Harness(8)
      harness.answer = (through, command) => Number(through.slice(1)) < silent ? UNANSWERED : answered(command)
      const unreached = new Set(WORKERS.map(({ id }) => id))
      for (let round = 0; round < 6; round++) {
        for (const worker of WORKERS) {
          if ((await harness.fleet.stop(worker, RUN)).isOk()) unreached.delete(worker.id)
        }
        harness.clock.advance(1000)
      }
      expect([...unreached]).toEqual([])
    }
  )
})

describe('a node that cannot reach a worker which others reach', () => {
  // Guards against a worker that is declared unreachable because the node that calls it is cut off from it.
  it('does not fail a report request of a worker that answered before', async () => {
    const harness = new Harness(4)
    const [first] = await harness.start()
    harness.cut(first!)
    expect((await harness.fleet.requestReport(WORKER, POLL))._unsafeUnwrap()).toEqual(REPORT)
    const [, cut, other] = harness.calls
    expect(cut!.through).toBe(first)
    expect(other!.through).not.toBe(first)
    expect((other!.request as Command).report).toEqual({ ...POLL, acknowledged: 0, deadlineMs: undefined, waitMs: 0 })
    expect(other!.timeoutMs).toBe(400)
  })

  it('is passed over for this worker for longer after each failure, and used again afterwards', async () => {
    const harness = new Harness(4)
    const [first] = await harness.start()
    harness.cut(first!)
    await harness.start()
    const [second] = await harness.start()
    expect(second).not.toBe(first)
    harness.clock.advance(5001)
    expect(await harness.start()).toEqual([first])
    harness.clock.advance(5001)
    expect(await harness.start()).toEqual([second])
    harness.clock.advance(5001)
    harness.cut()
    expect(await harness.start()).toEqual([first])
    harness.clock.advance(60_000)
    expect(await harness.start()).toEqual([first])
  })

  // Guards against a worker that stays unreachable, until its lease has expired, although most nodes reach it.
  it.each([{ cut: 1 }, { cut: 2 }, { cut: 3 }, { cut: 4 }])(
    'is one of $cut of eight: the worker is reached within six seconds', async ({ cut }) => {
      const harness = new Harness(8)
      const best: string[] = []
      harness.answer = () => NOT_SENT
      for (let tries = 0; best.length < cut; tries++) {
        const [node] = await harness.start()
        best.push(node!)
        harness.connected = harness.connected.filter((name) => name !== node)
        harness.clock.advance(200)
      }
      harness.connected = Array.from({ length: 8 }, (_, index) => `n${index}`)
      harness.clock.advance(200)
      harness.cut(...best)
      const asked = new Set<string>()
      for (let call = 0; call < 6; call++) {
        for (const node of await harness.start()) asked.add(node)
        harness.clock.advance(1000)
      }
      expect([...asked].some((node) => !best.includes(node))).toBe(true)
    }
  )

  it('is passed over only for this worker', async () => {
    const harness = new Harness(4)
    const [first] = await harness.start()
    harness.cut(first!)
    await harness.start()
    harness.cut()
    expect([...await nodesUsed(harness)]).toContain(first)
  })

  it('is logged once when the worker answers through another node', async () => {
    const harness = new Harness(4)
    const [first] = await harness.start()
    harness.cut(first!)
    for (let call = 0; call < 5; call++) await harness.fleet.requestReport(WORKER, POLL)
    expect(harness.log.events).toMatchObject([{ name: 'worker gateway changed', worker: 'w1', before: first }])
  })

  it.each([
    { says: 'a start', call: (fleet: FleetGateways) => fleet.start(WORKER, START) },
    { says: 'a stop', call: (fleet: FleetGateways) => fleet.stop(WORKER, RUN) }
  ])('fails $says, whose repetition is for its sender to decide', async ({ call }) => {
    const harness = new Harness(4)
    harness.answer = () => ok(SILENT)
    expect(await call(harness.fleet)).toEqual(err(SILENT))
    expect(harness.calls.length).toBe(1)
  })
})

describe('a worker that answers through no node', () => {
  it('is called through three nodes by turns, and no change of the node is logged', async () => {
    const harness = new Harness(8)
    harness.answer = () => ok(SILENT)
    const asked = new Set<string>()
    for (let call = 0; call < 20; call++) for (const node of await harness.start()) asked.add(node)
    expect([asked.size, harness.log.events]).toEqual([3, []])
  })

  it('fails each further report request after one call', async () => {
    const harness = new Harness(8)
    harness.answer = () => ok(SILENT)
    await harness.fleet.requestReport(WORKER, POLL)
    const before = harness.calls.length
    expect(await harness.fleet.requestReport(WORKER, { ...POLL, waitMs: 0 })).toEqual(err(SILENT))
    expect([before, harness.calls.length]).toEqual([2, 3])
  })
})

describe('the connections to a worker', () => {
  it('are closed by the nodes through which it was called, and by no other', async () => {
    const harness = new Harness(8)
    const [first] = await harness.start()
    harness.fleet.closeConnections(WORKER)
    expect(harness.calls.slice(1)).toMatchObject([{ through: first, request: { kind: MessageKind.Disconnect } }])
  })

  // Guards against calls to a worker that are broken off because the one that had its address before is removed.
  it('stay open while another worker has the address, and are closed with the last one', async () => {
    const harness = new Harness(0)
    const successor = createWorker({ id: 'w2' })
    await harness.start()
    await harness.start(successor)
    harness.fleet.closeConnections(WORKER)
    expect(harness.direct.closedAddresses).toEqual([])
    harness.fleet.closeConnections(successor)
    expect(harness.direct.closedAddresses).toEqual([WORKER.address])
  })

  // Guards against calls that are broken off by a node which was suspended and then closes the connections of an earlier session.
  it('are closed by other nodes at once or not at all', async () => {
    const harness = new Harness(8)
    await harness.start()
    harness.fleet.closeConnections(WORKER)
    expect(harness.calls.at(-1)!.request!.kind).toBe(MessageKind.Disconnect)
    expect(harness.calls.at(-1)!.validMs).toBeLessThanOrEqual(COMMAND_VALIDITY_MS)
  })

  it('of an earlier address do not count as a failure of the new one', async () => {
    const harness = new Harness(8)
    const [first] = await harness.start()
    harness.fleet.closeConnections(WORKER)
    const moved = createWorker({ address: '10.0.0.2:80' })
    await harness.start(moved)
    harness.cut(first!)
    await harness.fleet.start(WORKER, START)
    harness.cut()
    expect(await harness.start(moved)).toEqual([first])
  })

  // Guards against a process that ends because another node's answer is no report.
  it.each([
    ['null', null], ['a number', 5], ['an object', {}], ['a short list', [10, 6000]], ['a row that is none', [10, 6000, [7], []]],
    ['a clock of another type', [10, 'x', [], []]], ['an end without a position', [10, 6000, [], [['x', 'aa.0.0.0', 1, 'done', '']]]]
  ])('counts an answer to a report request as none if it is %s', async (_, answer) => {
    const harness = new Harness(5)
    harness.answer = () => ok(answer)
    expect((await harness.fleet.requestReport(WORKER, POLL))._unsafeUnwrapErr()).toBe(WorkerFailure.NoAnswer)
  })

  it.each([['null', null], ['an object', {}], ['not finite', Infinity]])(
    'counts an answer to a start as none if it is %s', async (_, answer) => {
      const harness = new Harness(5)
      harness.answer = () => ok(answer)
      expect((await harness.fleet.start(WORKER, START))._unsafeUnwrapErr()).toBe(WorkerFailure.NoAnswer)
    })
})
