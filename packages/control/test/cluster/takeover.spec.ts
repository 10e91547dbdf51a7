import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Subject, decodeValue, splitKey, type OwnerClaim } from '../../src/journal/record.js'
import { epochAfter } from '../../src/owner/fence.js'
import { HANDOVER_DELAY_MS } from '../../src/membership/handover.js'
import { StoreFailure, Topic } from '../../src/ports/store.js'
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
