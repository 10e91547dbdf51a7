import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Phase } from '../../src/model/job.js'
import { Subject, splitKey } from '../../src/journal/record.js'
import { Topic } from '../../src/ports/store.js'
import { createQueue } from '../fakes.js'
import { Cluster, sleep, waitFor } from './cluster.js'

const ID = '00000000000000aa'
const TASK_MS = '3000'

let cluster: Cluster
beforeEach(() => { cluster = new Cluster(4) })
afterEach(() => { cluster.close() })

describe('a lookup of a job that is at work', () => {
  it.each([
    { queue: createQueue(), caller: 'of its queue', seen: Phase.Active },
    { queue: createQueue({ name: 'another' }), caller: 'of another queue', seen: undefined }
  ])('has the phase $seen for a caller $caller, at every node', async ({ queue, seen }) => {
    await cluster.start(['n0', 'n1'].map((name) => ({ name, callMs: 0.1 })))
    expect(await waitFor(() => cluster.nodes.every((node) => node.ready()), 5000)).toBe(true)
    expect(await cluster.submit(cluster.nodes[0]!, ID, 1, TASK_MS)).toBe(true)
    for (const node of cluster.nodes) await expect.poll(() => cluster.phase(node, ID), { timeout: 3000 }).toBe(Phase.Active)
    for (const node of cluster.nodes) expect(await cluster.phase(node, ID, queue)).toBe(seen)
  })
})

function isAssigned (): boolean {
  return cluster.store.records[Topic.Journal].some(({ key }) => splitKey(key).subject === Subject.Runs)
}

describe('a job whose only start was not answered', () => {
  // Guards against a job that no node counts as waiting, although none of its tasks has started: the journal shows it as assigned.
  it('is pending at every node until a task has started', async () => {
    await cluster.start(['n0', 'n1'].map((name) => ({ name, callMs: 0.1 })))
    expect(await waitFor(() => cluster.nodes.every((node) => node.ready()), 5000)).toBe(true)
    cluster.workers.losesStarts = true
    expect(await cluster.submit(cluster.nodes[0]!, ID, 1, TASK_MS)).toBe(true)
    expect(await waitFor(isAssigned, 5000)).toBe(true)
    await sleep(1000)
    for (const node of cluster.nodes) expect(await cluster.phase(node, ID)).toBe(Phase.Pending)
    for (const node of cluster.nodes) expect(await cluster.countPending(node)).toBe(1)
    cluster.workers.losesStarts = false
    for (const node of cluster.nodes) await expect.poll(() => cluster.phase(node, ID), { timeout: 20_000 }).toBe(Phase.Active)
    for (const node of cluster.nodes) expect(await cluster.countPending(node)).toBe(0)
  }, 30_000)
})
