import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Reason } from '@fireflymount/protocol/refusal'
import { Subject, encodeJob, keyOf } from '../../src/journal/record.js'
import { Phase } from '../../src/model/job.js'
import { StoreFailure, Topic, type StoreCall } from '../../src/ports/store.js'
import type { Node } from '../../src/node.js'
import { createJob, createQueue } from '../fakes.js'
import { Cluster, sleep, waitFor } from './cluster.js'

const ID = '00000000000000aa'
const TASK_MS = '200'
const REQUEST = { queue: createQueue(), workspace: '', version: 1 }
const BUDGET_MS = 3000
const RETRY_DELAY_MS = 100
const KEPT_MS = 200
/** Longer than the interval at which the owner removes records. */
const COLLECTED_WITHIN_MS = 4000

let cluster: Cluster
beforeEach(async () => {
  cluster = new Cluster(4)
  await cluster.start(['n0', 'n1', 'n2'].map((name) => ({ name, callMs: 0.1 })))
  const isServing = (): boolean => cluster.nodes.every((node) => node.ready()) && cluster.events.some(({ name }) => name === 'worker adopted')
  expect(await waitFor(isServing, 5000)).toBe(true)
})
afterEach(() => { cluster.close() })

function appendsJob (call: StoreCall): boolean {
  return 'append' in call && call.append.records.some(({ key }) => key === keyOf(Subject.Job, ID))
}

function lastCancellation (): Buffer | undefined {
  return cluster.store.records[Topic.Journal].findLast(({ key }) => key === keyOf(Subject.Cancellation, ID))?.value
}

/** Stops the node that owns the cell, and waits until another one has adopted the workers. */
async function replaceOwner (): Promise<void> {
  const adoptions = cluster.events.filter(({ name }) => name === 'worker adopted')
  const owner = cluster.nodes.find((node) => cluster.nameOf(node) === adoptions.at(-1)!.node)!
  owner.close()
  const isAdopted = (): boolean => cluster.events.filter(({ name }) => name === 'worker adopted').length > adoptions.length
  expect(await waitFor(isAdopted, 10_000)).toBe(true)
}

/** Cancels a job as a client does that comes back after each refusal. Resolves to true if the node knew the job. */
async function cancel (node: Node): Promise<boolean> {
  for (;;) {
    const cancelled = await node.jobService.cancel(REQUEST, ID, BUDGET_MS)
    if (cancelled.isOk()) return true
    if (cancelled.error.reason === Reason.NoSuchJob) return false
    await sleep(RETRY_DELAY_MS)
  }
}

describe('a job whose cancellation was acknowledged before its record was stored', () => {
  // Guards against UNASKED: the store is away while a job is submitted. Its client gets no clear answer and cancels the job at a node that
  // reads the journal again before the append that has the job is carried out.
  it('does not run if it is stored by an append that the owner repeats', async () => {
    const [first, second] = cluster.nodes
    cluster.store.fault = (call) => appendsJob(call) ? StoreFailure.NoAnswer : undefined
    expect(await cluster.submit(first!, ID, 1, TASK_MS)).toBe(false)
    const cancelling = cancel(second!)
    await sleep(300)
    cluster.store.fault = undefined
    await cancelling
    await sleep(1500)
    expect([lastCancellation() !== undefined, cluster.workers.countRunning(ID)]).toEqual([true, 0])
    for (const node of cluster.nodes) expect(await cluster.phase(node, ID)).toBe(Phase.Cancelled)
  })

  it.each([
    { says: 'late', elapse: async () => {} },
    { says: 'late, after another node has become the owner', elapse: replaceOwner }
  ])('does not run if it is stored $says, by an append without a fence', async ({ elapse }) => {
    expect(await cancel(cluster.nodes[0]!)).toBe(false)
    await elapse()
    cluster.store.put(Topic.Journal, encodeJob(createJob({ id: ID, payload: TASK_MS, workspace: '', acceptedMs: Date.now() })))
    const node = cluster.nodes.find((each) => each.ready())!
    await expect.poll(() => cluster.phase(node, ID), { timeout: 3000 }).toBe(Phase.Cancelled)
    await sleep(500)
    expect(cluster.workers.countStarts(ID)).toBe(0)
  })

  it('does not run if it is submitted again', async () => {
    const [first, second, third] = cluster.nodes
    expect(await cluster.cancel(first!, ID)).toBe(false)
    expect(await cluster.submit(second!, ID, 1, TASK_MS)).toBe(true)
    await expect.poll(() => cluster.phase(third!, ID), { timeout: 3000 }).toBe(Phase.Cancelled)
    expect(cluster.workers.countStarts(ID)).toBe(0)
  })
})

describe('the cancellation of a job that is never stored', () => {
  it('shows callers no job, and is removed after the retention time', async () => {
    const [first] = cluster.nodes
    expect(await cluster.cancel(first!, ID)).toBe(false)
    expect(lastCancellation()).toBeDefined()
    for (const node of cluster.nodes) expect(await cluster.phase(node, ID)).toBeUndefined()
    for (const node of cluster.nodes) node.applySettings({ ...cluster.settings.get(cluster.nameOf(node)!)!, keptMs: KEPT_MS })
    expect(await waitFor(() => lastCancellation() === undefined, COLLECTED_WITHIN_MS)).toBe(true)
    expect(await cluster.submit(first!, ID, 1, TASK_MS)).toBe(true)
    await expect.poll(() => cluster.phase(first!, ID), { timeout: 3000 }).toBe(Phase.Completed)
  })
})
