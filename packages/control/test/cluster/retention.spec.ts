import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Subject, keyOf } from '../../src/journal/record.js'
import { Topic } from '../../src/ports/store.js'
import { Cluster, sleep, waitFor } from './cluster.js'

const JOB = '00000000000000aa'
const TASK_MS = '50'
const KEPT_MS = 200
/** Longer than the interval at which the owner removes records. */
const COLLECTED_WITHIN_MS = 3000

let cluster: Cluster
beforeEach(() => { cluster = new Cluster(1) })
afterEach(() => { cluster.close() })

/** Delays all reads of the journal. Returns a function that lets them through. */
function holdReads (): () => void {
  let release = (): void => {}
  const released = new Promise<void>((resolve) => { release = resolve })
  const call = cluster.store.call.bind(cluster.store)
  cluster.store.call = async (request) => {
    if (request.topic === Topic.Journal && !('append' in request)) await released
    return await call(request)
  }
  return release
}

function isRemoved (): boolean {
  const records = cluster.store.records[Topic.Journal]
  return records.some(({ key, value }) => key === keyOf(Subject.Progress, JOB) && value === undefined)
}

describe('a job that ended before the retention time', () => {
  // Guards against a job that runs twice: its owner had removed it, then read the record of its acceptance, and took it for a new job.
  it('is not started again by an owner that reads its record late', async () => {
    await cluster.start([{ name: 'a', callMs: 0 }])
    const [node] = cluster.nodes
    node!.applySettings({ ...cluster.settings.get('a')!, keptMs: KEPT_MS })
    expect(await waitFor(() => node!.ready() && cluster.events.some(({ name }) => name === 'worker adopted'), 5000)).toBe(true)
    const release = holdReads()
    expect(await cluster.submit(node!, JOB, 1, TASK_MS)).toBe(true)
    await waitFor(isRemoved, COLLECTED_WITHIN_MS)
    release()
    expect(await waitFor(isRemoved, COLLECTED_WITHIN_MS)).toBe(true)
    await sleep(500)
    expect(cluster.workers.countStarts(JOB)).toBe(1)
  })
})
