import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Phase } from '../../src/model/job.js'
import { createQueue } from '../fakes.js'
import { Cluster, waitFor } from './cluster.js'

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
