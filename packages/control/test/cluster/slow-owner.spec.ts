import { afterEach, beforeEach, expect, it } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { Subject, decodeValue, splitKey, type OwnerClaim } from '../../src/journal/record.js'
import { Topic } from '../../src/ports/store.js'
import { Cluster, sleep, waitFor } from './cluster.js'

/** Time for which the event loop is blocked at a time: shorter than the silence after which other nodes claim the cell. */
const BLOCKED_MS = 250
const REST_MS = 150
const NODES = ['n0', 'n1', 'n2']

/** The clock of a process that gets a given number of cores. */
class SharedProcessorClock extends SystemClock {
  cores = 1
  private usedMs = 0
  private readMs = this.now()

  override processorMs (): number {
    const nowMs = this.now()
    this.usedMs += this.cores * (nowMs - this.readMs)
    this.readMs = nowMs
    return this.usedMs
  }
}

let cluster: Cluster
beforeEach(() => { cluster = new Cluster(4) })
afterEach(() => { cluster.close() })

function currentOwner (): string | undefined {
  const claims = cluster.store.records[Topic.Journal].filter(({ key }) => splitKey(key).subject === Subject.Owner)
  const last = claims.at(-1)
  return last && decodeValue<OwnerClaim>(last.value!)._unsafeUnwrap().node
}

/** Blocks the event loop, which all nodes share, again and again while a condition holds. */
async function blockWhile (condition: () => boolean, maxMs: number): Promise<void> {
  const endMs = performance.now() + maxMs
  while (performance.now() < endMs && condition()) {
    const startedMs = performance.now()
    while (performance.now() - startedMs < BLOCKED_MS);
    await sleep(REST_MS)
  }
}

// Guards against an owner on a slowed machine that keeps the cell, because its connections stay open.
it.each([
  ['hands the cell over to another node, which keeps it', 0.5, 'n1', 1],
  ['keeps the cell if it is not asked for', undefined, 'n0', 0]
])('an owner that gets a tenth of its processor %s', async (_, minProcessorRatio, expected, handovers) => {
  cluster.minProcessorRatio = minProcessorRatio
  const clocks = new Map(NODES.map((name) => [name, new SharedProcessorClock()]))
  for (const [name, clock] of clocks) cluster.clocks.set(name, clock)
  await cluster.start(NODES.map((name) => ({ name, callMs: 1 })))
  expect(await waitFor(() => cluster.nodes.every((node) => node.ready()), 5000)).toBe(true)
  expect(await waitFor(() => currentOwner() === 'n0', 5000)).toBe(true)
  clocks.get('n0')!.cores = 0.1
  await blockWhile(() => currentOwner() === 'n0', 6000)
  await blockWhile(() => true, 2000)
  expect(currentOwner()).toBe(expected)
  expect(cluster.events.filter(({ name }) => name === 'cell handed over')).toHaveLength(handovers)
  expect(await cluster.submit(cluster.nodes[2]!, 'a'.repeat(16), 1, '100')).toBe(true)
  expect(await waitFor(() => cluster.workers.countStarted('a'.repeat(16)) === 1, 5000)).toBe(true)
})
