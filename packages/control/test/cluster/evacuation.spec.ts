import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { StoreFailure, Topic } from '../../src/ports/store.js'
import { Cluster, sleep, waitFor, type NodeSpecification } from './cluster.js'

const TASK_MS = '100'
const TASKS = 30
const NODES: readonly NodeSpecification[] = [{ name: 'n0', callMs: 8 }, { name: 'n1', callMs: 1 }, { name: 'n2', callMs: 1 }]
/** Time within which nodes read a request. */
const READ_MS = 300
const LIMIT_MS = 1500

let cluster: Cluster
let jobs: number
beforeEach(async () => {
  jobs = 0
  cluster = new Cluster(20)
  cluster.evacuationLimitMs = LIMIT_MS
  await cluster.start(NODES)
  expect(await run(0)).toBe(true)
})
afterEach(() => { cluster.close() })

function evacuate (zone: string, value: Buffer | undefined = Buffer.from('{}')): void {
  cluster.store.put(Topic.Configuration, { key: `evacuate/${zone}`, value })
}

function takeBack (zone: string): void {
  cluster.store.put(Topic.Configuration, { key: `evacuate/${zone}`, value: undefined })
}

async function submit (node: number): Promise<string> {
  const id = String(++jobs).padStart(16, '0')
  const accepted = await waitForAsync(() => cluster.submit(cluster.nodes[node]!, id, TASKS, TASK_MS))
  expect(accepted).toBe(true)
  return id
}

/** Submits a job. Resolves to true once all of its tasks have started. */
async function run (node: number): Promise<boolean> {
  const id = await submit(node)
  return await waitFor(() => cluster.workers.countStarted(id) === TASKS, 5000)
}

async function waitForAsync (attempt: () => Promise<boolean>): Promise<boolean> {
  for (let attempts = 0; attempts < 20; attempts++) {
    if (await attempt()) return true
    await sleep(100)
  }
  return false
}

describe('the evacuation of a zone', () => {
  it.each([
    ['while its owner stays', async () => { await sleep(READ_MS) }],
    ['with a malformed value', async () => { evacuate('east', Buffer.alloc(0)); await sleep(READ_MS) }],
    ['requested twice', async () => { evacuate('east'); await sleep(READ_MS) }],
    ['beside that of an unknown zone', async () => { evacuate('nowhere'); await sleep(READ_MS) }],
    ['when the owner is killed at once', async () => { cluster.nodes.find(isOwner)!.close() }],
    ['when all nodes are restarted at once', async () => { cluster.close(); await cluster.start(NODES) }],
    ['when the first reads are not answered', async () => {
      cluster.store.fault = (call) => call.topic === Topic.Configuration ? StoreFailure.NoAnswer : undefined
      await sleep(LIMIT_MS / 2)
      cluster.store.fault = undefined
      await sleep(LIMIT_MS)
    }]
  ])('keeps all starts away from it %s', async (_, disturb) => {
    evacuate('east')
    await disturb()
    const before = cluster.workers.countStartsIn('east')
    expect(before).toBeGreaterThan(0)
    expect(await run(cluster.nodes.length - 3)).toBe(true)
    expect(cluster.workers.countStartsIn('east')).toBe(before)
  })

  it('is followed by the use of the zone once it is taken back', async () => {
    evacuate('east')
    evacuate('west')
    await sleep(READ_MS)
    const id = await submit(0)
    await sleep(500)
    expect(cluster.workers.countStarted(id)).toBe(0)
    const before = cluster.workers.countStartsIn('west')
    takeBack('east')
    expect(await waitFor(() => cluster.workers.countStarted(id) === TASKS, 3000)).toBe(true)
    expect(cluster.workers.countStartsIn('west')).toBe(before)
  })

  it('keeps all starts back while an owner cannot read the requests in time', async () => {
    cluster.store.fault = (call) => call.topic === Topic.Configuration ? StoreFailure.NoAnswer : undefined
    await sleep(LIMIT_MS)
    evacuate('east')
    const id = await submit(0)
    await sleep(500)
    expect(cluster.workers.countStarted(id)).toBe(0)
    cluster.store.fault = undefined
    const before = cluster.workers.countStartsIn('east')
    expect(await waitFor(() => cluster.workers.countStarted(id) === TASKS, 5000)).toBe(true)
    expect(cluster.workers.countStartsIn('east')).toBe(before)
  })

  it('lets what runs there end', async () => {
    expect(await cluster.submit(cluster.nodes[0]!, '00000000000000aa', TASKS, 'lasting', true)).toBe(true)
    expect(await waitFor(() => cluster.workers.countRunning('00000000000000aa') === TASKS, 5000)).toBe(true)
    evacuate('east')
    await sleep(1000)
    expect(cluster.workers.countRunning('00000000000000aa')).toBe(TASKS)
    expect(cluster.workers.countStarts('00000000000000aa')).toBe(TASKS)
  })
})

function isOwner (node: Cluster['nodes'][number]): boolean {
  return cluster.events.findLast(({ name }) => name === 'ownership taken')?.node === cluster.nameOf(node)
}
