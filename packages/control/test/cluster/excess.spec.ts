import { afterEach, beforeEach, expect, it } from 'vitest'
import { Subject, splitKey } from '../../src/journal/record.js'
import { Topic } from '../../src/ports/store.js'
import { Cluster, waitFor } from './cluster.js'

const WORKERS = 4
/** Number of tasks that all workers together have room for. */
const ROOM_TASKS = 16 * WORKERS
const FILLING_TASKS = 400
const TASK_MS = '30000'
const JOBS = 12
/** Jobs that a workspace with a rate of one job a second may submit at once, whoever waits. */
const BURST_JOBS = 2

let cluster: Cluster
beforeEach(() => { cluster = new Cluster(WORKERS) })
afterEach(() => { cluster.close() })

// Guards against an entry node that takes the owner's refusal for an owner that was not reached, and stores the job itself.
it('refuses jobs of a workspace far beyond its rate through every node, and stores none of them', async () => {
  await cluster.start(['n0', 'n1', 'n2'].map((name) => ({ name, callMs: 1 })))
  expect(await waitFor(() => cluster.nodes.every((node) => node.ready()), 5000)).toBe(true)
  expect(await cluster.submit(cluster.nodes[0]!, 'f'.repeat(16), FILLING_TASKS, TASK_MS)).toBe(true)
  expect(await waitFor(() => cluster.workers.countStarted('f'.repeat(16)) === ROOM_TASKS, 5000)).toBe(true)
  const startedMs = performance.now()
  const accepted: string[] = []
  for (let index = 0; index < JOBS; index++) {
    const id = index.toString(16).padStart(16, '0')
    if (await cluster.submit(cluster.nodes[index % 3]!, id, 1, TASK_MS, false, 1)) accepted.push(id)
  }
  const refilled = Math.ceil((performance.now() - startedMs) / 1000)
  const stored = cluster.store.records[Topic.Journal].map(({ key }) => splitKey(key))
  const jobs = stored.filter(({ subject, name }) => subject === Subject.Job && !name.startsWith('f')).map(({ name }) => name)
  expect(accepted.length).toBeLessThanOrEqual(BURST_JOBS + refilled)
  expect([...new Set(jobs)].sort()).toEqual(accepted)
})
