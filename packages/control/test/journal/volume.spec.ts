import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Phase } from '../../src/model/job.js'
import type { StoredRecord } from '../../src/ports/store.js'
import { createStep } from '../fakes.js'
import { describeState, newestOf, runJobs, stateOf } from './steady-cell.js'

/** Bytes that the store adds to a record: the length of the record and that of its key. */
const RECORD_OVERHEAD_BYTES = 5
/** Bytes of a record in an answer with newest records, beside its key and its value: `{"key":"","value":"","offset":12345678},`. */
const ITEM_OVERHEAD_BYTES = 40
/** Factor by which base64 makes a value longer. */
const BASE64_FACTOR = 4 / 3
/** Rate of jobs and retention of the largest site, and the link and the time of a node that reads the journal from scratch. */
const JOBS_PER_SECOND = 36
const RETENTION_SECONDS = 180
const LINK_BYTES_PER_SECOND = 875_000
const CATCH_UP_SECONDS = 6
/** Share of the link that may be needed for ended jobs. */
const ENDED_JOBS_SHARE = 0.2
/** How much more each task of a wide step may add to the journal than a task of a narrow one. */
const MAX_GROWTH = 1.25

function bytesOf (records: readonly StoredRecord[]): number {
  let bytes = 0
  for (const { key, value } of records) bytes += RECORD_OVERHEAD_BYTES + key.length + (value?.length ?? 0)
  return bytes
}

function bytesOfNewest (records: readonly StoredRecord[]): number {
  let bytes = 0
  for (const { key, value } of newestOf(records)) bytes += ITEM_OVERHEAD_BYTES + key.length + BASE64_FACTOR * value!.length
  return bytes
}

function isProgress ({ key }: StoredRecord): boolean {
  return 'prt'.includes(key[0]!)
}

beforeEach(() => {
  vi.useFakeTimers()
  // Retry delays have random jitter; the figures must be the same each time.
  vi.spyOn(Math, 'random').mockReturnValue(0.5)
})
afterEach(() => {
  vi.useRealTimers()
  vi.restoreAllMocks()
})

describe('the volume of the journal', () => {
  // Guards against records of all tasks of a job at each change of one task: the volume grew with the square of a step's width.
  it('grows in proportion to the number of tasks', async () => {
    const bytesPerTask = async (width: number): Promise<number> => {
      const records = await runJobs(4, [createStep({ count: width, size: { cpuMilli: 100, memoryMb: 100, accelerators: 0 } })])
      return bytesOf(records.filter(isProgress)) / (4 * width)
    }
    expect(await bytesPerTask(120) / await bytesPerTask(12)).toBeLessThan(MAX_GROWTH)
  })

  // Guards against ended jobs that keep their payload and their tasks until the end of the retention.
  it('keeps so little of ended jobs that a node behind a narrow link reads them in time', async () => {
    const jobs = 12
    const records = await runJobs(jobs, [createStep({ count: 10 }), createStep({ count: 5, after: [0] })])
    const keptJobs = JOBS_PER_SECOND * RETENTION_SECONDS
    const bytes = bytesOfNewest(records) / jobs * keptJobs
    expect(bytes).toBeLessThan(ENDED_JOBS_SHARE * CATCH_UP_SECONDS * LINK_BYTES_PER_SECOND)
    const phases = [...stateOf(newestOf(records)).jobs.values()].map((entry) => entry.visiblePhase())
    expect(phases).toEqual(new Array(jobs).fill(Phase.Completed))
  })
})

describe('a node that reads the journal from scratch', () => {
  it.each([
    ['tasks that run alone', {}],
    ['gangs', { gang: true }]
  ])('has at each record the state of a node that followed the journal, for jobs of %s', async (_, fields) => {
    const steps = [createStep({ count: 6, ...fields }), createStep({ count: 3, after: [0], ...fields })]
    const records = await runJobs(3, steps)
    for (let end = 1; end <= records.length; end++) {
      const followed = records.slice(0, end)
      expect(describeState(stateOf(newestOf(followed))), `after record ${end}`).toBe(describeState(stateOf(followed)))
    }
  })
})
