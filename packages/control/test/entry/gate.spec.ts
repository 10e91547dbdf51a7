import { describe, expect, it } from 'vitest'
import { Cutoff } from '../../src/entry/cutoff.js'
import { Gate } from '../../src/entry/gate.js'
import { Endpoint, limitsOf, type EntryLimits } from '../../src/entry/limits.js'
import { Line, Passage } from '../../src/entry/line.js'

const LIMITS: EntryLimits = {
  connections: 3,
  listenBacklog: 1,
  requestsPerConnection: 2,
  bytes: 100_000,
  bodyBytes: 50_000,
  headBytes: 1,
  headMs: 1,
  bodyMs: 1,
  stallMs: 500,
  answerMs: 1000,
  retryAfterS: 1,
  discardBytes: 1,
  receiveBufferBytes: 1,
  lingerMs: 1
}

/** A connection without a network. */
class FakeLine extends Line {
  unreadBytes = 0
  sentBytes = 0
  isHeld = false
  override hold (): void { this.isHeld = true }
  override resume (): void { this.isHeld = false }
  override close (): void {}
  override unread (): number { return this.unreadBytes }
  override sent (): number { return this.sentBytes }
}

/** Reports each time that the gate looks at what a connection holds. */
function countLooks (line: FakeLine, onLook: () => void): void {
  const { handled } = line
  let { freeable } = line
  Object.defineProperty(line, 'freeable', {
    get: () => {
      onLook()
      return freeable
    },
    set: (bytes: number) => { freeable = bytes }
  })
  Object.defineProperty(line, 'handled', {
    get: () => {
      onLook()
      return handled
    }
  })
}

class Scene {
  readonly cutoffs: Cutoff[] = []
  readonly handled: string[] = []
  readonly gate: Gate

  constructor (limits = LIMITS) {
    this.gate = new Gate(limits, (cutoff) => { this.cutoffs.push(cutoff) })
  }

  open (): FakeLine {
    const line = new FakeLine()
    if (!this.gate.enter(line)) line.closed = true
    return line
  }

  /** Lets a request with a body arrive; returns undefined if it is refused. */
  send (line: FakeLine, name: string, bodyBytes = 0): Passage | undefined {
    const passage = new Passage(line, bodyBytes, () => { this.handled.push(name) })
    const { gate } = this
    return gate.begin(passage) && gate.receive(passage, bodyBytes) && gate.complete(passage) ? passage : undefined
  }

  /** Lets a part of a body arrive whose request is not complete. */
  begin (line: FakeLine, bodyBytes: number): boolean {
    const passage = new Passage(line, bodyBytes, () => {})
    return this.gate.begin(passage) && this.gate.receive(passage, bodyBytes)
  }

  /** Lets connections have unread answers until they count as not reading. */
  stall (...lines: FakeLine[]): void {
    for (const line of lines) line.unreadBytes = 1
    for (const nowMs of [0, 500]) this.gate.sweep(nowMs)
  }

  finish (passage: Passage | undefined): void {
    this.gate.settle(passage!)
    this.gate.answer(passage!)
  }
}

describe('the gate', () => {
  it('does not read a connection with as many requests in progress as it may have, until one has ended', () => {
    const scene = new Scene()
    const line = scene.open()
    const first = scene.send(line, 'a')
    scene.send(line, 'b')
    scene.send(line, 'c')
    expect([line.isHeld, scene.handled]).toEqual([true, ['a', 'b']])
    scene.finish(first)
    expect([line.isHeld, scene.handled]).toEqual([true, ['a', 'b', 'c']])
  })

  // The end of a body is reported after the head of a request that arrived in one part with it.
  it('closes the connection of a body that does not end, although the request before it ended later', () => {
    const scene = new Scene({ ...LIMITS, connections: 1 })
    const line = scene.open()
    const first = new Passage(line, 1, () => {})
    scene.gate.begin(first)
    scene.begin(line, 1)
    scene.gate.complete(first)
    scene.finish(first)
    expect([scene.open().closed, scene.cutoffs]).toEqual([false, [Cutoff.Receiving]])
  })

  it.each([1, 2])('does not read a connection with %i requests before the one that is arriving', (requestsPerConnection) => {
    const scene = new Scene({ ...LIMITS, requestsPerConnection })
    const line = scene.open()
    const passages = Array.from({ length: requestsPerConnection + 1 }, () => new Passage(line, 1, () => {}))
    const held = passages.map((passage) => {
      scene.gate.begin(passage)
      return line.isHeld
    })
    expect(held).toEqual(passages.map((_, index) => index === requestsPerConnection))
    for (const passage of passages.slice(0, -1)) scene.gate.complete(passage)
    scene.finish(passages[0])
    expect(line.isHeld).toBe(false)
    scene.gate.complete(passages.at(-1)!)
    expect(line.isHeld).toBe(true)
  })

  it('sets everything free at the end, also if the answer ends before the handling', () => {
    const scene = new Scene()
    const lines = [scene.open(), scene.open()]
    const passages = lines.map((line) => scene.send(line, '', 1000)!)
    scene.finish(passages[0])
    scene.gate.answer(passages[1]!)
    scene.gate.settle(passages[1]!)
    expect([scene.gate.bytes, scene.gate.requests, lines.map((line) => line.freeable)]).toEqual([0, 0, [0, 0]])
  })

  // Guards against a client that leaves early, again and again, with its requests still in the memory.
  it('counts the requests of a closed connection until they were handled', () => {
    const scene = new Scene()
    const line = scene.open()
    const passage = scene.send(line, 'a', 1000)!
    scene.begin(line, 20_000)
    scene.gate.leave(line)
    expect([scene.gate.bytes, scene.gate.requests, scene.gate.connections]).toEqual([passage.bytes, 0, 0])
    scene.gate.settle(passage)
    expect(scene.gate.bytes).toBe(0)
  })

  it.each([
    ['the one idle longest', [], [], 0, Cutoff.Idle],
    ['an idle one before a busy one', [0], [], 1, Cutoff.Idle],
    ['one that does not read, if all are busy', [0, 1, 2], [1], 1, Cutoff.Unread],
    ['none, if all are busy and read', [0, 1, 2], [], undefined, Cutoff.Connections]
  ])('closes %s for a new connection', (_, busy, unread, closed, cutoff) => {
    const scene = new Scene()
    const lines = [scene.open(), scene.open(), scene.open()]
    for (const index of busy) scene.send(lines[index]!, '')
    scene.stall(...unread.map((index) => lines[index]!))
    const newcomer = scene.open()
    expect(scene.cutoffs).toEqual([cutoff])
    expect(newcomer.closed).toBe(closed === undefined)
    expect(lines.map((line) => line.closed)).toEqual(lines.map((__, index) => index === closed))
  })

  it.each([
    ['has a length', 6000, true],
    ['has no length', undefined, false]
  ])('counts a body beyond its first block by what it may become if it %s', (_, declaredBytes, admitted) => {
    const scene = new Scene({ ...LIMITS, bytes: 30_000 })
    const passage = new Passage(scene.open(), declaredBytes, () => {})
    expect([scene.gate.begin(passage), scene.gate.receive(passage, 4000)]).toEqual([true, true])
    expect(scene.gate.receive(passage, 2000)).toBe(admitted)
  })

  it.each([
    ['objects', 89, 0, true],
    ['more objects', 90, 0, false],
    ['values', 0, 1434, true],
    ['more values', 0, 1435, false]
  ])('counts what a body takes by its %s, and knows which never fits', (_, objects, values, fits) => {
    const scene = new Scene()
    const passage = new Passage(scene.open(), 1, () => {})
    scene.gate.begin(passage)
    Object.assign(passage.shape, { objects, values })
    expect([scene.gate.fits(passage), scene.gate.complete(passage)]).toEqual([fits, fits])
    expect(scene.gate.bytes).toBe(fits ? 8192 + 1024 * objects + 64 * values : 8192)
  })

  it.each([
    ['closes a connection whose data finds no room beside that of others', 60_000, [false, true], [Cutoff.Memory]],
    ['keeps data that finds room', 30_000, [false, false], []]
  ])('%s', (_, bytes, closed, cutoffs) => {
    const scene = new Scene()
    const lines = [scene.open(), scene.open()]
    for (const line of lines) scene.gate.keep(line, bytes)
    expect([lines.map((line) => line.closed), scene.cutoffs]).toEqual([closed, cutoffs])
    for (const line of lines) scene.gate.leave(line)
    expect(scene.gate.bytes).toBe(0)
  })

  it('closes the connections that have lingered longest if the kernel may hold too much for them', () => {
    const scene = new Scene({ ...LIMITS, receiveBufferBytes: 12_500 })
    const lines = [scene.open(), scene.open(), scene.open()]
    for (const line of lines) scene.gate.linger(line)
    expect(lines.map((line) => line.closed)).toEqual([true, false, false])
  })

  it('closes a connection that lingers for a new one, before one whose request may be on its way', () => {
    const scene = new Scene()
    const lines = [scene.open(), scene.open(), scene.open()]
    const [, refused, later] = lines
    for (const line of [refused!, later!]) scene.gate.linger(line)
    scene.open()
    expect([lines.map((line) => line.closed), scene.cutoffs]).toEqual([[false, true, false], [Cutoff.Idle]])
  })

  it('closes the connection whose only request has been arriving for the longest time, if none is idle or unread', () => {
    const scene = new Scene()
    const [handled, first, second] = [scene.open(), scene.open(), scene.open()]
    scene.send(handled, 'a')
    scene.begin(first, 1)
    scene.begin(second, 1)
    scene.open()
    expect([handled.closed, first.closed, second.closed, scene.cutoffs]).toEqual([false, true, false, [Cutoff.Receiving]])
  })

  it.each([
    ['the connection that holds most', [40_000, 25_000], [], 0, Cutoff.Largest, true],
    ['a connection that does not read before a larger one', [40_000, 25_000], [1], 1, Cutoff.Unread, true],
    ['none, if the request itself belongs to the largest', [13_000, 13_000], [], undefined, Cutoff.Memory, false]
  ])('closes %s for a request if the memory is used up', (_, bodies, unread, closed, cutoff, admitted) => {
    const scene = new Scene()
    const lines = bodies.map((bytes) => {
      const line = scene.open()
      scene.begin(line, bytes)
      return line
    })
    scene.stall(...unread.map((index) => lines[index]!))
    const line = scene.open()
    expect(scene.send(line, 'ordinary', admitted ? 3000 : 40_000) !== undefined).toBe(admitted)
    expect(scene.cutoffs).toEqual([cutoff])
    expect(lines.map(({ closed }) => closed)).toEqual(lines.map((__, index) => index === closed))
  })

  it.each([
    ['for too long', 500, [true, false, false], true],
    ['for a moment', 499, [false, false, false], false]
  ])('closes a connection for a request if its request of the same size has been arriving %s', (_, nowMs, closed, admitted) => {
    const scene = new Scene({ ...LIMITS, connections: 4, bytes: 40_000 })
    const lines = [scene.open(), scene.open(), scene.open()]
    scene.gate.sweep(0)
    for (const line of lines) scene.begin(line, 4000)
    scene.gate.sweep(nowMs)
    expect(scene.send(scene.open(), 'ordinary') !== undefined).toBe(admitted)
    expect(lines.map((line) => line.closed)).toEqual(closed)
  })

  it('refuses a request that has been arriving for too long rather than closing its own connection for it', () => {
    const scene = new Scene({ ...LIMITS, bytes: 13_000 })
    const passage = new Passage(scene.open(), 1500, () => {})
    scene.gate.begin(passage)
    scene.gate.receive(passage, 1500)
    scene.gate.sweep(500)
    expect(scene.gate.complete(passage)).toBe(false)
    expect([scene.cutoffs, passage.line.closed]).toEqual([[Cutoff.Memory], false])
  })

  it.each([
    ['has just begun to wait', () => {}, 499],
    ['was read in part', (line: FakeLine) => { line.sentBytes++ }, 500],
    ['was read to the end', (line: FakeLine) => { line.unreadBytes = 0 }, 500]
  ])('keeps a connection whose answer %s', (_, act, nowMs) => {
    const scene = new Scene()
    const lines = [scene.open(), scene.open(), scene.open()]
    const passages = lines.map((line) => scene.send(line, 'a', 2000)!)
    for (const line of lines) line.unreadBytes = 1
    scene.gate.sweep(0)
    scene.gate.sweep(nowMs)
    for (const line of lines) act(line)
    scene.open()
    for (const passage of passages) scene.gate.settle(passage)
    scene.send(lines[0]!, 'b', 15_000)
    expect(scene.cutoffs).toEqual([Cutoff.Connections, Cutoff.Memory])
    expect(lines.map(({ closed }) => closed)).toEqual([false, false, false])
  })

  it('closes a connection that does not read and has no work in progress before one that has', () => {
    const scene = new Scene()
    const lines = [scene.open(), scene.open(), scene.open()]
    const passages = lines.map((line) => scene.send(line, 'a')!)
    scene.gate.settle(passages[1]!)
    scene.stall(lines[0]!, lines[1]!)
    for (let newcomers = 0; newcomers < 2; newcomers++) scene.send(scene.open(), 'b')
    expect(lines.map(({ closed }) => closed)).toEqual([true, true, false])
    expect(scene.cutoffs).toEqual([Cutoff.Unread, Cutoff.Unread])
  })

  it.each([
    ['refuses a request', 13_000, [Cutoff.Memory]],
    ['admits a request for which there is room', 1000, []]
  ])('closes no connection with requests while it drains, and %s', (_, bytes, cutoffs) => {
    const scene = new Scene()
    const lines = [scene.open(), scene.open(), scene.open()]
    scene.begin(lines[0]!, 40_000)
    scene.gate.settle(scene.send(lines[1]!, 'a', 1000)!)
    scene.stall(lines[1]!)
    scene.gate.drain()
    scene.gate.sweep(2000)
    scene.send(lines[2]!, 'b', bytes)
    scene.open()
    expect([scene.cutoffs, lines.map(({ closed }) => closed)]).toEqual([[...cutoffs, Cutoff.Connections], [false, false, false]])
  })

  it.each([
    ['are handled', (scene: Scene, line: FakeLine) => { scene.send(line, 'a') }],
    ['are handled and whose answers are not read', (scene: Scene, line: FakeLine) => {
      scene.send(line, 'a')
      line.unreadBytes = 1
    }],
    ['arrive beside others that are handled', (scene: Scene, line: FakeLine) => {
      scene.send(line, 'a')
      scene.begin(line, 1)
    }]
  ])('looks at as many connections for a request without room, however many are open whose requests %s', (_, occupy) => {
    const looks = [20, 2000].map((connections) => {
      const scene = new Scene({ ...LIMITS, connections, bytes: connections * 20_000 })
      const lines = Array.from({ length: connections - 1 }, () => scene.open())
      for (const line of lines) occupy(scene, line)
      const requester = scene.open()
      scene.gate.sweep(0)
      scene.gate.sweep(500)
      let count = 0
      for (const line of lines) countLooks(line, () => count++)
      for (let attempt = 0; attempt < 50; attempt++) scene.begin(requester, connections * 20_000)
      return count
    })
    expect(looks[1]).toBeLessThanOrEqual(looks[0]! + 2000)
  })

  it('never closes a connection for the sake of its requests that are being handled', () => {
    const scene = new Scene()
    const line = scene.open()
    scene.send(line, 'a', 15_000)
    expect(scene.send(scene.open(), 'b', 15_000)).toBeUndefined()
    expect([scene.cutoffs, line.closed]).toEqual([[Cutoff.Memory], false])
  })

  it('closes a connection whose client has read nothing for the time that it may take', () => {
    const scene = new Scene()
    const [stalled, slow] = [scene.open(), scene.open()]
    stalled.unreadBytes = slow.unreadBytes = 1
    for (const nowMs of [0, 999, 1000]) {
      slow.sentBytes = nowMs
      scene.gate.sweep(nowMs)
    }
    expect([stalled.closed, slow.closed, scene.cutoffs]).toEqual([true, false, [Cutoff.SlowReader]])
  })
})

describe('the limits', () => {
  it.each([
    ['few descriptors', { memoryMb: 210, maxDescriptors: 2212 }, {}, { connections: 1006, bytes: 17_196_646 }],
    ['little memory', { memoryMb: 160, maxDescriptors: 4100 }, {}, { connections: 1280, bytes: 6_710_886 }],
    ['much memory', { memoryMb: 602, maxDescriptors: 8192 }, {}, { connections: 3996, bytes: 50_331_648 }],
    ['an unknown machine', {}, {}, { connections: 1948, bytes: 50_331_648 }],
    ['limits that are set', { memoryMb: 210 }, { connections: 5, headMs: undefined }, { connections: 5, headMs: 60_000 }]
  ])('follow from %s', (_, machine, settings, expected) => {
    expect(limitsOf(Endpoint.Callers, machine, settings)).toMatchObject(expected)
  })

  it.each([
    [160, { callers: 160, nodes: 80, readiness: 32, metrics: 32 }],
    [602, { callers: 511, nodes: 301, readiness: 32, metrics: 32 }]
  ])('let the kernel complete few connections ahead on a machine of %i MB', (memoryMb, expected) => {
    const backlogs = Object.values(Endpoint).map((endpoint) => [endpoint, limitsOf(endpoint, { memoryMb }).listenBacklog])
    expect(Object.fromEntries(backlogs)).toEqual(expected)
  })

  it.each([
    [Endpoint.Nodes, 7],
    [Endpoint.Readiness, 32]
  ])('of the server %s let %i connections be open if other nodes may have 7', (endpoint, connections) => {
    expect(limitsOf(endpoint, {}, { nodeConnections: 7, connections: 5 }).connections).toBe(connections)
  })

  it.each([160, 210, 602])('leave descriptors for 700 other nodes and for what the node opens on a machine of %i MB', (memoryMb) => {
    const maxConnections = (endpoint: Endpoint): number => limitsOf(endpoint, { memoryMb, maxDescriptors: 2212 }).connections
    expect(maxConnections(Endpoint.Nodes)).toBeGreaterThan(700)
    expect(maxConnections(Endpoint.Callers)).toBeGreaterThan(500)
    const all = Object.values(Endpoint).reduce((sum, endpoint) => sum + maxConnections(endpoint), 0)
    expect(2212 - 200 - all).toBeGreaterThan(150)
  })
})
