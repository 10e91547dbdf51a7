import { MessageKind, type Request } from '@fireflymount/protocol/message'
import { ok } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Subject, decodeValue, encodeRecord, splitKey, type NodeAddress, type OwnerClaim } from '../../src/journal/record.js'
import { epochAfter } from '../../src/owner/fence.js'
import { HANDOVER_DELAY_MS } from '../../src/membership/handover.js'
import { Metrics } from '../../src/report/metrics.js'
import { SilentLog } from '../../src/report/log.js'
import { SystemClock } from '../../src/clock.js'
import { Entry } from '../../src/entry/entry.js'
import { Links } from '../../src/membership/links.js'
import { StoreFailure, Topic, type RecordPage } from '../../src/ports/store.js'
import { Cluster, sleep, waitFor, type NodeSpecification } from './cluster.js'
import { LASTING } from './workers.js'

const TASK_MS = '100'
/** Target for the time from the end of the owner's process to the first start by its successor. */
const FIRST_START_WITHIN_MS = 1500
const LARGE_MS = 1
const SMALL_MS = 8
const NODES: readonly NodeSpecification[] = [
  { name: 'n0', callMs: SMALL_MS }, { name: 'n1', callMs: SMALL_MS }, { name: 'n2', callMs: LARGE_MS }, { name: 'n3', callMs: LARGE_MS }
]

let cluster: Cluster
beforeEach(() => { cluster = new Cluster(40) })
afterEach(() => { cluster.close() })

/** All claims in the journal, in order. */
function claims (): OwnerClaim[] {
  const records = cluster.store.records[Topic.Journal].filter((record) => splitKey(record.key).subject === Subject.Owner)
  return records.map((record) => decodeValue<OwnerClaim>(record.value!)._unsafeUnwrap())
}

function owners (): string[] {
  return claims().map((claim) => claim.node)
}

function hasStarted (job: string): boolean {
  return cluster.workers.countStarted(job) > 0
}

/** Connects another node, which is simulated, to a node of the cluster. Returns the announcements of stops that it receives. */
async function connectPeer (node: string): Promise<Request[]> {
  const { zone, host, port } = cluster.settings.get(node)!
  const announcements: Request[] = []
  const peer = new Links({
    node: 'peer',
    zone,
    host,
    port: 0,
    entry: new Entry({ machine: {}, clock: new SystemClock(), log: new SilentLog(), metrics: new Metrics() }),
    addressOf: () => ({ node, incarnation: '', host, port, zone }),
    handler: async (request) => {
      if (request.kind === MessageKind.Succeed) announcements.push(request)
      return ok(true)
    },
    onLink: () => {},
    onHandlerError: () => {}
  })
  ;(await peer.connect(node))._unsafeUnwrap()
  return announcements
}

/** Ends each page of the journal after the first record. No read after that of a claim is answered. */
class SplitJournal {
  claimRead = false
  waiting = false

  constructor () {
    const call = cluster.store.call.bind(cluster.store)
    cluster.store.call = async (request) => {
      if (!('read' in request) || request.topic !== Topic.Journal) return await call(request)
      this.waiting = this.claimRead
      if (this.waiting) return await new Promise(() => {})
      const answer = await call(request)
      return answer.map((page) => {
        const { records, end } = page as RecordPage
        this.claimRead = records[0]?.key.startsWith(Subject.Owner) === true
        return { records: records.slice(0, 1), end }
      })
    }
  }
}

describe('a cell whose owner changes', () => {
  it.each([
    ['was killed', async () => { cluster.nodes[2]!.close() }],
    ['announced a planned stop', async () => { await cluster.nodes[2]!.drain() }]
  ])('is owned by the next large node in time after the owner %s', async (_, endOwner) => {
    await cluster.start(NODES)
    expect(await cluster.submit(cluster.nodes[0]!, '00000000000000aa', 2, TASK_MS)).toBe(true)
    expect(await waitFor(() => hasStarted('00000000000000aa'), 5000)).toBe(true)
    expect(owners()).toEqual(['n2'])
    const endedMs = performance.now()
    await endOwner()
    expect(await cluster.submit(cluster.nodes[1]!, '00000000000000bb', 2, TASK_MS)).toBe(true)
    expect(await waitFor(() => hasStarted('00000000000000bb'), endedMs + FIRST_START_WITHIN_MS - performance.now())).toBe(true)
    expect(owners()).toEqual(['n2', 'n3'])
  })

  // Guards against inc-bc7c: a claim whose answers were lost was followed by another one, or by seconds without an owner.
  it('is owned by a node whose claim was written although all answers to it were lost', async () => {
    cluster.store.loseAnswers = true
    cluster.store.fault = (call) => {
      const isClaim = 'append' in call && call.append.records.some((record) => splitKey(record.key).subject === Subject.Owner)
      return isClaim ? StoreFailure.NoAnswer : undefined
    }
    await cluster.start(NODES)
    expect(await cluster.submit(cluster.nodes[0]!, '00000000000000aa', 2, TASK_MS)).toBe(true)
    expect(await waitFor(() => hasStarted('00000000000000aa'), 5000)).toBe(true)
    expect(claims().map(({ epoch, node }) => [epoch, node])).toEqual([[epochAfter(0), 'n2']])
  })

  // Guards against a successor that drops all reports of a worker, since its copy of a job has another acceptance time than the
  // journal.
  it.each([
    { says: 'once', again: false },
    { says: 'once more at the successor, before it has read the job', again: true }
  ])('is owned by a node that adopts all workers of a job which was submitted $says', async ({ again }) => {
    await cluster.start(NODES)
    expect(await waitFor(() => owners().length === 1 && cluster.nodes.every((node) => node.ready()), 5000)).toBe(true)
    await sleep(1000)
    const submitting = [cluster.submit(cluster.nodes[0]!, '00000000000000aa', 10, LASTING, true)]
    await sleep(20)
    if (again) submitting.push(cluster.submit(cluster.nodes[3]!, '00000000000000aa', 10, LASTING, true))
    expect((await Promise.all(submitting)).every(Boolean)).toBe(true)
    expect(await waitFor(() => cluster.workers.countRunning('00000000000000aa') === 10, 5000)).toBe(true)
    await sleep(1500)
    cluster.nodes[2]!.close()
    await waitFor(() => owners().length === 2, 5000)
    await sleep(3000)
    const adopted = cluster.events.filter(({ node, name }) => node === 'n3' && name === 'worker adopted')
    expect([owners(), adopted.length]).toEqual([['n2', 'n3'], 40])
  }, 20_000)

  // Guards against a takeover from an owner that works: the address of a former process of its node, whose append the store carried
  // out late, was taken for that of a process which had replaced the owner.
  it('stays with an owner whose node has the address of a former process in the journal for a while', async () => {
    await cluster.start(NODES)
    expect(await waitFor(() => owners().length === 1 && cluster.nodes.every((node) => node.ready()), 5000)).toBe(true)
    const { node, host, port, zone } = cluster.settings.get(owners()[0]!)!
    const former: NodeAddress = { node, incarnation: 'former', startedMs: Date.now() - 60_000, host, port, zone, leaving: true }
    for (let count = 0; count < 10; count++) {
      cluster.store.put(Topic.Journal, encodeRecord(Subject.Node, node, former))
      await sleep(200)
    }
    expect(owners()).toEqual([node])
  })

  // Guards against a working owner whose candidates all claim the cell: a former owner, which had read the newer claim but not the
  // rest of the journal, announced its planned stop under the epoch of that claim.
  it('learns from an owner that stops while it reads a newer claim only of the stop of its own ownership', async () => {
    await cluster.start([{ name: 'n0', callMs: LARGE_MS }])
    expect(await waitFor(() => owners().length === 1, 5000)).toBe(true)
    const announcements = await connectPeer('n0')
    const journal = new SplitJournal()
    const newer: OwnerClaim = { epoch: claims()[0]!.epoch + 1, node: 'peer', incarnation: 'p' }
    cluster.store.put(Topic.Journal, encodeRecord(Subject.Owner, 'cell', newer))
    cluster.store.put(Topic.Journal, encodeRecord(Subject.Heartbeat, 'owner', newer.epoch))
    expect(await waitFor(() => journal.waiting, 5000)).toBe(true)
    await cluster.nodes[0]!.drain()
    expect(announcements).toEqual([{ kind: MessageKind.Succeed, epoch: claims()[0]!.epoch }])
  })

  it('is handed over once to a large node that joins a cell of small ones', async () => {
    await cluster.start(NODES.slice(0, 2))
    expect(await waitFor(() => owners().length === 1, 5000)).toBe(true)
    await cluster.start(NODES.slice(2))
    expect(await waitFor(() => owners().length === 2, HANDOVER_DELAY_MS + 5000)).toBe(true)
    expect(await cluster.submit(cluster.nodes[0]!, '00000000000000aa', 2, TASK_MS)).toBe(true)
    expect(await waitFor(() => hasStarted('00000000000000aa'), FIRST_START_WITHIN_MS)).toBe(true)
    await sleep(1000)
    expect(owners().map((node) => NODES.findIndex(({ name }) => name === node) >= 2)).toEqual([false, true])
  }, 30_000)
})
