import { setMaxListeners } from 'node:events'
import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import type { Change, Delta } from '@fireflymount/manifest/delta'
import { ConfigurationState, NO_REVISION } from '@fireflymount/manifest/configuration-state'
import { Section } from '@fireflymount/manifest/manifest'
import { Outcome } from '@fireflymount/manifest/delta-result'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { Log } from '@fireflymount/service-clients/log'
import { Execution, Reason } from '@fireflymount/protocol/refusal'
import { RecordsPageCodec, type RecordsPage } from '@fireflymount/protocol/message'
import { run } from '../../../service-clients/test/fake-clock.js'
import { CallOutcome, FakeLog, type Call } from '../../../service-clients/test/fake-log.js'
import { ReplicatedConfiguration } from '../../src/configuration/replicated-configuration.js'

const SNAPSHOT_INTERVAL_MS = 20_000
const CALL_SETTINGS = { appendTimeoutMs: 40, readTimeoutMs: 40, minRetryDelayMs: 2, maxRetryDelayMs: 20 }

/** One node's access to the log, which holds a stream of the configuration and a stream of its snapshots. */
class LogRoute extends Log {
  cut = false

  constructor (private readonly log: FakeLog, private readonly snapshotLog: FakeLog) {
    super()
  }

  async append (stream: string, data: unknown): ReturnType<Log['append']> {
    return this.cut ? await new Promise(() => {}) : await this.find(stream).append(stream, data)
  }

  async read (stream: string, from: number, waitMs: number, signal?: AbortSignal): ReturnType<Log['read']> {
    return this.cut ? await new Promise(() => {}) : await this.find(stream).read(stream, from, waitMs, signal)
  }

  private find (stream: string): FakeLog {
    return stream === 'configuration' ? this.log : this.snapshotLog
  }
}

interface Member { route: LogRoute, configuration: ReplicatedConfiguration }

/** Nodes that follow the same log and request records from each other. */
class Cluster {
  readonly log = new FakeLog()
  readonly snapshotLog = new FakeLog()
  readonly members: Member[] = []
  readonly stop = new AbortController()
  /** While set, no peer responds. */
  peersCut = false
  /** Nodes that do not respond to others. */
  readonly silent = new Set<Member>()
  private readonly runs: Array<Promise<void>> = []

  constructor (count: number) {
    setMaxListeners(0, this.stop.signal)
    for (let each = 0; each < count; each += 1) this.add()
  }

  add (): Member {
    const route = new LogRoute(this.log, this.snapshotLog)
    const index = this.members.length
    const configuration: ReplicatedConfiguration = new ReplicatedConfiguration({
      log: route,
      clock: new SystemClock(),
      askPeers: async (from) => this.ask(configuration, from),
      askAllNodes: async (from) => this.askAllNodes(configuration, from),
      isSnapshotWriter: () => index === 0,
      snapshotIntervalMs: SNAPSHOT_INTERVAL_MS,
      maxRecordsBetweenSnapshots: 3,
      publishTimeoutMs: 400,
      callSettings: CALL_SETTINGS
    })
    const member = { route, configuration }
    this.members.push(member)
    this.runs.push(configuration.run(this.stop.signal))
    return member
  }

  private ask (asking: ReplicatedConfiguration, from: number): RecordsPage | undefined {
    if (this.peersCut) return undefined
    const peers = this.members.filter((member) => member.configuration !== asking && !this.silent.has(member))
    const pages = peers.map(({ configuration }) => RecordsPageCodec.decode(
      JSON.parse(JSON.stringify(configuration.recordsFrom(from)))
    ))
    const page = pages.sort(() => Math.random() - 0.5)[0]
    return page?.unsafeCoerce() as RecordsPage | undefined
  }

  private askAllNodes (asking: ReplicatedConfiguration, from: number): RecordsPage[] | undefined {
    if (this.peersCut || this.silent.size > 0) return undefined
    return this.members.filter(({ configuration }) => configuration !== asking)
      .map(({ configuration }) => configuration.recordsFrom(from))
  }

  async close (): Promise<void> {
    this.stop.abort()
    await run(Promise.all(this.runs))
  }
}

async function createCluster (count: number): Promise<Cluster> {
  const cluster = new Cluster(count)
  await vi.advanceTimersByTimeAsync(50)
  return cluster
}

function putTeam (name: string, share = 1): Change {
  return { section: Section.Teams, name, value: { name, workspace: 'w', share, upperLimit: {} } }
}

const workspace: Change = { section: Section.Workspaces, name: 'w', value: { name: 'w' } }
let publications = 0

function createDelta (base: number, ...changes: Change[]): Delta {
  publications += 1
  return { publish: `p${publications}`, base, changes }
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  vi.useRealTimers()
  vi.restoreAllMocks()
})

describe('publication', () => {
  test('of two racing publications of one object, one takes effect on all nodes, and the other is refused with the conflicting object', async () => {
    const cluster = await createCluster(3)
    const [left, right] = cluster.members
    const results = await run(Promise.all([
      left!.configuration.publish(createDelta(NO_REVISION, workspace)),
      right!.configuration.publish(createDelta(NO_REVISION, workspace))
    ]))
    expect(results.map((result) => result.isOk()).sort()).toEqual([false, true])
    const refusal = results.find((result) => result.isErr())?._unsafeUnwrapErr()
    expect(refusal).toMatchObject({ reason: Reason.Conflict, execution: Execution.NotRun })
    expect(refusal?.detail).toContain('workspaces/w at revision 0')
    await vi.advanceTimersByTimeAsync(1500)
    for (const { configuration } of cluster.members) expect(configuration.current().revision).toBe(0)
    await cluster.close()
  })

  test.each<[string, Call[]]>([
    ['whose response is lost after it took effect', [{ callOutcome: CallOutcome.LostAfter, delayMs: 1 }]],
    ['that is lost before it takes effect', [{ callOutcome: CallOutcome.LostBefore, delayMs: 1 }]],
    ['whose response is lost and which reaches the log later', [{ callOutcome: CallOutcome.Late, delayMs: 1 }]],
    ['whose response is never sent', [{ callOutcome: CallOutcome.Hung, delayMs: 1 }]],
    ['that is first refused for too many appends', [{ callOutcome: CallOutcome.Throttled, delayMs: 1 }]]
  ])('a publication %s takes effect once', async (_, calls) => {
    const cluster = await createCluster(1)
    const { configuration } = cluster.members[0]!
    cluster.log.calls = calls
    const result = await run(configuration.publish(createDelta(NO_REVISION, workspace)))
    expect(result._unsafeUnwrap().manifest.workspaces).toEqual([{ name: 'w' }])
    await vi.advanceTimersByTimeAsync(200)
    expect(configuration.applied()).toHaveLength(1)
    await cluster.close()
  })

  test('an invalid publication is refused with all validation errors and changes nothing', async () => {
    const cluster = await createCluster(1)
    const { configuration } = cluster.members[0]!
    const refusal = (await run(configuration.publish(createDelta(NO_REVISION, putTeam('a', -1), putTeam('b', -1)))))._unsafeUnwrapErr()
    expect(refusal.reason).toBe(Reason.BadRequest)
    expect(refusal.detail).toContain('$.changes[0].value.share')
    expect(refusal.detail).toContain('$.changes[1].value.share')
    expect(configuration.current().revision).toBe(NO_REVISION)
    await cluster.close()
  })

  test.each([
    { title: 'is refused', callOutcome: CallOutcome.Refused, execution: Execution.NotRun, stored: false },
    { title: 'loses its response', callOutcome: CallOutcome.LostAfter, execution: Execution.Unknown, stored: true }
  ])('while every call to the log $title, a publication is refused as $execution; a retry after the outage gets the outcome', async ({ callOutcome, execution, stored }) => {
    const cluster = await createCluster(1)
    const { configuration } = cluster.members[0]!
    const delta = createDelta(NO_REVISION, workspace)
    cluster.log.defaultOutcome = callOutcome
    await vi.advanceTimersByTimeAsync(1500)
    const refusal = (await run(configuration.publish(delta)))._unsafeUnwrapErr()
    expect(refusal).toMatchObject({ reason: Reason.LogUnavailable, execution })
    expect(cluster.log.records.length > 0).toBe(stored)
    cluster.log.defaultOutcome = undefined
    expect((await run(configuration.publish(delta))).isOk()).toBe(true)
    expect((await run(configuration.publish(delta))).isOk()).toBe(true)
    expect(configuration.applied()).toHaveLength(1)
    await cluster.close()
  })
})

describe('a node that cannot reach the log', () => {
  test('gets records from its peers within 5 s and stays up to date as long as they are', async () => {
    const cluster = await createCluster(3)
    const [writer, , isolated] = cluster.members
    isolated!.route.cut = true
    await run(writer!.configuration.publish(createDelta(NO_REVISION, workspace)))
    await vi.advanceTimersByTimeAsync(5000)
    expect(isolated!.configuration.current().revision).toBe(0)
    expect(isolated!.configuration.ageMs()).toBeLessThan(5000)
    cluster.peersCut = true
    await vi.advanceTimersByTimeAsync(20_000)
    expect(isolated!.configuration.ageMs()).toBeGreaterThan(20_000)
    await cluster.close()
  })

  test('stays stale if only another cut-off node answers and the third node is silent', async () => {
    const cluster = await createCluster(3)
    const [left, right, withLog] = cluster.members
    left!.route.cut = true
    right!.route.cut = true
    cluster.silent.add(withLog!)
    await vi.advanceTimersByTimeAsync(20_000)
    for (const { configuration } of [left!, right!]) expect(configuration.ageMs()).toBeGreaterThan(19_000)
    await cluster.close()
  })

  test('gets a snapshot from a peer if it starts without any state', async () => {
    const cluster = await createCluster(1)
    const { configuration } = cluster.members[0]!
    for (let each = 0; each < 5; each += 1) await run(configuration.publish(createDelta(each - 1, workspace)))
    cluster.log.earliest = 3
    await cluster.close()
    const newCluster = await createCluster(0)
    newCluster.members.push(...cluster.members)
    const late = newCluster.add()
    late.route.cut = true
    await vi.advanceTimersByTimeAsync(3000)
    expect(late.configuration.current()).toEqual(configuration.current())
    await newCluster.close()
  })

  test('learns of a revision that only the node with access to the log knows', async () => {
    const cluster = await createCluster(3)
    const [withLog, cut] = cluster.members
    await run(withLog!.configuration.publish(createDelta(NO_REVISION, workspace)))
    for (const member of cluster.members.slice(1)) member.route.cut = true
    const { revision } = withLog!.configuration.current()
    const published = await run(withLog!.configuration.publish(createDelta(revision, putTeam('guild'))))
    await vi.advanceTimersByTimeAsync(5000)
    expect(cut!.configuration.current().revision).toBe(published._unsafeUnwrap().revision)
    await cluster.close()
  })
})

describe('recovery', () => {
  test('a node whose offset has expired restores the newest snapshot', async () => {
    const cluster = await createCluster(1)
    const { configuration } = cluster.members[0]!
    for (let each = 0; each < 40; each += 1) {
      await run(configuration.publish(createDelta(configuration.current().revision, workspace)))
    }
    await vi.advanceTimersByTimeAsync(1500)
    expect(configuration.counters().snapshots).toBeGreaterThan(0)
    cluster.log.earliest = cluster.log.records.length - 5
    cluster.peersCut = true
    const late = cluster.add()
    await vi.advanceTimersByTimeAsync(2000)
    expect(late.configuration.current()).toEqual(configuration.current())
    expect(late.configuration.counters().restarts).toBe(1)
    await cluster.close()
  })

  test('another node writes the snapshot if the designated writer does not', async () => {
    const cluster = await createCluster(2)
    await run(cluster.members[1]!.configuration.publish(createDelta(NO_REVISION, workspace)))
    cluster.members[0]!.route.cut = true
    await vi.advanceTimersByTimeAsync(3 * SNAPSHOT_INTERVAL_MS)
    expect(cluster.members[1]!.configuration.counters().snapshots).toBe(1)
    expect(cluster.snapshotLog.received.map((call) => call.kind)).not.toContain('read')
    await cluster.close()
  })

  test('after a timeout, a new node starts without records that are permanently lost; a node that has the state keeps it', async () => {
    const cluster = await createCluster(1)
    const { configuration, route } = cluster.members[0]!
    await run(configuration.publish(createDelta(NO_REVISION, workspace)))
    route.cut = true
    cluster.log.store({ publish: 'x', base: 0, changes: [putTeam('t')] })
    cluster.log.store({ publish: 'y', base: 0, changes: [putTeam('u')] })
    cluster.log.earliest = 2
    cluster.peersCut = true
    const late = cluster.add()
    route.cut = false
    await vi.advanceTimersByTimeAsync(3 * SNAPSHOT_INTERVAL_MS)
    expect(late.configuration.ageMs()).toBe(Infinity)
    await vi.advanceTimersByTimeAsync(2 * SNAPSHOT_INTERVAL_MS)
    expect(late.configuration.counters().gaps).toBe(1)
    expect(late.configuration.ageMs()).toBeLessThan(2000)
    expect(configuration.current().revision).toBe(0)
    expect(configuration.ageMs()).toBeGreaterThan(4 * SNAPSHOT_INTERVAL_MS)
    await cluster.close()
  })
})

const callOutcome = fc.record({
  callOutcome: fc.oneof(
    { weight: 8, arbitrary: fc.constant(CallOutcome.Served) }, fc.constantFrom(...Object.values(CallOutcome))
  ),
  delayMs: fc.integer({ min: 0, max: 30 })
})
const step = fc.record({
  member: fc.nat(2),
  kind: fc.constantFrom(
    'publish', 'publish', 'publish', 'publish', 'publish', 'cut', 'heal', 'heal', 'peers', 'expire', 'expire', 'join', 'join'
  ),
  team: fc.constantFrom('a', 'b', 'c'),
  lag: fc.nat(2),
  pauseMs: fc.integer({ min: 0, max: 700 })
})

interface Report { publish: string, outcome: Execution | 'accepted' }

/** Offset up to which records may expire because the newest complete snapshot includes them. */
function findExpiry (snapshotLog: FakeLog): number {
  let offset = 0
  for (const { data } of snapshotLog.records as Array<{ data: any }>) {
    if (data.part === data.parts - 1) offset = Math.max(offset, data.asOf + 1)
  }
  return offset
}

test('under faults, every node applies revisions in log order, and each publisher gets the actual outcome or that it is unknown', async () => {
  let accepted = 0
  let refused = 0
  let restarts = 0
  const faults = fc.array(callOutcome, { minLength: 30, maxLength: 200 })
  const schedule = fc.array(step, { minLength: 15, maxLength: 40 })
  const property = fc.asyncProperty(faults, schedule, fc.nat(), async (calls, steps, seed) => {
    let random = seed
    vi.spyOn(Math, 'random').mockImplementation(() => (random = (random * 16_807 + 7) % 2_147_483_647) / 2_147_483_647)
    const cluster = await createCluster(3)
    await run(cluster.members[0]!.configuration.publish(createDelta(NO_REVISION, workspace)))
    cluster.log.calls = [...calls]
    cluster.snapshotLog.calls = calls.slice(0, 20).reverse()
    const reports: Array<Promise<Report>> = []
    for (const { member, kind, team, lag, pauseMs } of steps) {
      const { configuration, route } = cluster.members[member]!
      if (kind === 'publish') {
        const delta = createDelta(Math.max(NO_REVISION, configuration.current().revision - lag), putTeam(team, seed % 100 + 1))
        reports.push(configuration.publish(delta).then((result) => ({
          publish: delta.publish, outcome: result.isOk() ? 'accepted' : result.error.execution
        })))
      }
      if (kind === 'cut') route.cut = true
      if (kind === 'heal') route.cut = false
      if (kind === 'peers') cluster.peersCut = !cluster.peersCut
      if (kind === 'expire') cluster.log.earliest = Math.max(cluster.log.earliest, findExpiry(cluster.snapshotLog))
      if (kind === 'join' && cluster.members.length < 7) cluster.add()
      await vi.advanceTimersByTimeAsync(pauseMs)
    }
    cluster.log.calls = []
    cluster.snapshotLog.calls = []
    for (const { route } of cluster.members) route.cut = false
    const outcomes = await run(Promise.all(reports))
    await vi.advanceTimersByTimeAsync(4000)

    const state = new ConfigurationState()
    const outcomesByPublish = new Map<string, Outcome>()
    for (const { data, offset } of cluster.log.records) {
      const { publish, outcome } = state.apply(data, offset)
      if (!outcomesByPublish.has(publish)) outcomesByPublish.set(publish, outcome)
    }
    for (const { configuration } of cluster.members) {
      expect(configuration.current()).toEqual({ revision: state.revision(), manifest: state.manifest() })
      const revisions = configuration.applied().map((each) => each.revision)
      expect(revisions).toEqual([...new Set(revisions)].sort((left, right) => left - right))
      expect(configuration.ageMs()).toBeLessThan(3000)
      restarts += configuration.counters().restarts
    }
    for (const { publish, outcome } of outcomes) {
      if (outcome === Execution.Unknown) continue
      const isAccepted = outcomesByPublish.get(publish) === Outcome.Accepted
      expect({ publish, isAccepted }).toEqual({ publish, isAccepted: outcome === 'accepted' })
      if (outcome === 'accepted') accepted += 1
      else refused += 1
    }
    await cluster.close()
  })
  await fc.assert(property, { numRuns: 60 })
  expect(accepted).toBeGreaterThan(200)
  expect(refused).toBeGreaterThan(50)
  expect(restarts).toBeGreaterThan(5)
}, 120_000)

describe('a log that is unavailable to all nodes', () => {
  test.each([
    { title: 'nodes stay up to date if all of them report that they know of nothing newer', silent: 0, fresh: true },
    { title: 'nodes become stale if one of them does not respond', silent: 1, fresh: false }
  ])('$title', async ({ silent, fresh }) => {
    const cluster = await createCluster(3)
    await run(cluster.members[0]!.configuration.publish(createDelta(NO_REVISION, workspace)))
    for (const member of cluster.members) member.route.cut = true
    for (const member of cluster.members.slice(0, silent)) cluster.silent.add(member)
    await vi.advanceTimersByTimeAsync(60_000)
    for (const { configuration } of cluster.members) expect(configuration.ageMs() < 6000).toBe(fresh)
    await cluster.close()
  })
})
