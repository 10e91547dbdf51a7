import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { Node } from '../../src/node.js'
import { Cluster, sleep, waitFor } from './cluster.js'

const WORKERS = 24
const TASKS_PER_JOB = 6
const TASK_MS = 100
/** Time in which all nodes are connected to the owner and the calls from before have ended. */
const SETTLE_MS = 2500
const NAMES = ['n0', 'n1', 'n2', 'n3', 'n4']
const CALL_MS = 0.1

let cluster: Cluster
let nextJob = 0
beforeEach(() => { cluster = new Cluster(WORKERS) })
afterEach(() => { cluster.close() })

async function startCell (names: readonly string[]): Promise<void> {
  await cluster.start(names.map((name) => ({ name, callMs: CALL_MS })))
  expect(await waitFor(() => cluster.nodes.every((node) => node.ready()), 5000)).toBe(true)
  await sleep(SETTLE_MS)
}

function ownerName (): string {
  return cluster.events.findLast((event) => event.name === 'ownership taken')!.node
}

function nodeOf (name: string): Node {
  return cluster.nodes[NAMES.indexOf(name)]!
}

/** Names of the logged events that concern the reachability of workers. */
function failuresOfWorkers (): string[] {
  const names = cluster.events.map((event) => event.name)
  return names.filter((name) => name === 'worker unreachable' || name === 'worker lost')
}

/** Runs jobs one after the other, handed in at the owner. Returns the number that completed. */
async function runJobs (count: number): Promise<number> {
  let completed = 0
  for (let index = 0; index < count; index++) {
    const id = (nextJob++).toString(16).padStart(16, '0')
    if (!await cluster.submit(nodeOf(ownerName()), id, TASKS_PER_JOB, String(TASK_MS))) continue
    const started = await waitFor(() => cluster.workers.countStarted(id) === TASKS_PER_JOB, 3000)
    if (started && await waitFor(() => cluster.workers.countRunning(id) === 0, 3000)) completed++
  }
  return completed
}

/** Calls to workers by node since `before`. */
function callsSince (before: ReadonlyMap<string, number>): Record<string, number> {
  return Object.fromEntries([...cluster.workers.callsByNode].map(([node, calls]) => [node, calls - (before.get(node) ?? 0)]))
}

describe('the calls to workers', () => {
  // Guards against the incident of the saturated owner, which made all calls itself.
  it('are made by the other nodes, and not by the owner', async () => {
    await startCell(NAMES)
    const before = new Map(cluster.workers.callsByNode)
    expect(await runJobs(10)).toBe(10)
    const calls = callsSince(before)
    const owner = ownerName()
    expect(calls[owner] ?? 0).toBe(0)
    for (const name of NAMES) if (name !== owner) expect(calls[name]).toBeGreaterThan(0)
  })

  it('are made by the owner if there is no other node', async () => {
    await startCell(['n0'])
    expect(await runJobs(3)).toBe(3)
    expect(cluster.workers.callsByNode.get('n0')).toBeGreaterThan(0)
  })

  it('leave a node that is stopping, where those in progress end', async () => {
    await startCell(NAMES)
    const stopping = NAMES.find((name) => name !== ownerName() && nodeOf(name).openCommands > 0)!
    await nodeOf(stopping).drain()
    expect(nodeOf(stopping).openCommands).toBeGreaterThan(0)
    const before = new Map(cluster.workers.callsByNode)
    expect(await runJobs(6)).toBe(6)
    expect(callsSince(before)[stopping]).toBe(0)
    expect(await waitFor(() => nodeOf(stopping).openCommands === 0, 2500)).toBe(true)
    nodeOf(stopping).close()
    expect(await runJobs(4)).toBe(4)
    expect(failuresOfWorkers()).toEqual([])
  })

  // Guards against workers that are declared unreachable because the node that called them has died.
  it('go on through other nodes when a node dies, without a worker that counts as unreachable', async () => {
    await startCell(NAMES)
    const dying = NAMES.find((name) => name !== ownerName() && nodeOf(name).openCommands > 0)!
    nodeOf(dying).close()
    expect(await runJobs(8)).toBe(8)
    expect(failuresOfWorkers()).toEqual([])
  })

  it.each([
    { says: 'dies', end: async (owner: Node) => { owner.close() } },
    { says: 'stops', end: async (owner: Node) => { await owner.drain() } }
  ])('are made by the remaining nodes when the owner $says', async ({ end }) => {
    await startCell(NAMES)
    const former = ownerName()
    await end(nodeOf(former))
    expect(await waitFor(() => ownerName() !== former, 5000)).toBe(true)
    await sleep(SETTLE_MS)
    const before = new Map(cluster.workers.callsByNode)
    expect(await runJobs(6)).toBe(6)
    const calls = callsSince(before)
    expect([calls[former] ?? 0, calls[ownerName()] ?? 0]).toEqual([0, 0])
    expect(failuresOfWorkers()).toEqual([])
  })

  // Guards against workers that are declared unreachable because the node that calls them is cut off from them.
  it('go on through other nodes when a node is cut off from workers, without a worker that counts as unreachable', async () => {
    await startCell(NAMES)
    const cut = NAMES.find((name) => name !== ownerName() && nodeOf(name).openCommands > 0)!
    for (const worker of cluster.workers.entries()) cluster.workers.cut(cut, worker.id)
    await sleep(4000)
    const before = cluster.events.filter((event) => event.name === 'worker gateway changed').length
    expect(await runJobs(8)).toBe(8)
    expect(before).toBeGreaterThan(0)
    expect(before).toBeLessThanOrEqual(WORKERS)
    expect(failuresOfWorkers()).toEqual([])
  })
})
