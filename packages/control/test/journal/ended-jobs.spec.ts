import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { describe, expect, it } from 'vitest'
import { compactJob } from '../../src/journal/job-record.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { Stage, encodeJob, encodeJobEnd } from '../../src/journal/record.js'
import { Phase, type Job } from '../../src/model/job.js'
import { backlogBoundOf, heldBytesOf } from '../../src/place/backlog.js'
import type { KeyedRecord } from '../../src/ports/store.js'
import { createJob, createStep } from '../fakes.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const JOBS = 5000
const SUMMARY_BYTES = heldBytesOf(createJob({ steps: [] }))
/** Time for which the end of a job is kept. */
const KEPT_SECONDS = 180

function jobOf (index: number, workspace: string): Job {
  const id = index.toString(16).padStart(16, '0')
  return createJob({ id, workspace, payload: 'x'.repeat(500) + id, acceptedMs: 1.7e12 + index + 0.25, steps: [createStep({ count: 6 })] })
}

function endOf ({ id, queue, workspace, acceptedMs }: Job): KeyedRecord {
  return encodeJobEnd(id, { queue, workspace, acceptedMs, phase: Phase.Completed, endedMs: acceptedMs + 3000 })
}

function apply (journalState: JournalState, records: readonly KeyedRecord[]): void {
  for (const record of records) journalState.apply({ ...record, offset: 0 })
}

/** Applies the whole life of a job as a node that follows the journal. */
function follow (journalState: JournalState, job: Job): void {
  apply(journalState, [compactJob(encodeJob(job)), endOf(job), { key: `j/${job.id}`, value: undefined }])
}

/** Runs a job as the owner does. */
function own (journalState: JournalState, job: Job): void {
  apply(journalState, [compactJob(encodeJob(job))])
  const entry = journalState.jobs.get(job.id)!
  for (let index = 0; index < 6; index++) {
    for (const stage of [Stage.Assigned, Stage.Done]) {
      entry.markChanged(Object.assign(entry.task(0, 0, index), { stage, run: 1, worker: 'w1' }))
      entry.takeChanges()
    }
  }
  Object.assign(entry, { phase: Phase.Completed, committedPhase: Phase.Completed, endedMs: job.acceptedMs + 3000 })
  entry.takeChanges()
  journalState.dropDetails(entry)
}

function heapBytes (): number {
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed
}

describe('a job that has ended', () => {
  it.each([
    { node: 'that followed it', live: follow },
    { node: 'that read only its end', live: (state: JournalState, job: Job) => { apply(state, [endOf(job)]) } },
    { node: 'that owned it', live: own }
  ])('holds what it counts, and not much less, on a node $node', ({ live }) => {
    const journalState = new JournalState()
    live(journalState, jobOf(JOBS, 'a'))
    const before = heapBytes()
    for (let index = 0; index < JOBS; index++) live(journalState, jobOf(index, 'a'))
    const held = (heapBytes() - before) / JOBS
    expect(journalState.backlog.totalBytes).toBe((JOBS + 1) * SUMMARY_BYTES)
    expect(held).toBeLessThanOrEqual(SUMMARY_BYTES)
    expect(held).toBeGreaterThan(0.5 * SUMMARY_BYTES)
  })
})

// Guards against a cell that refuses jobs although it keeps up, since its ended jobs fill the backlog for as long as they are kept.
describe('the backlog while jobs end as fast as they come', () => {
  it.each([
    { memoryMb: 250, perSecond: 300, workspaces: ['a'] },
    { memoryMb: 250, perSecond: 300, workspaces: ['a', 'b', 'c', 'd'] },
    { memoryMb: 210, perSecond: 200, workspaces: ['a'] },
    { memoryMb: 160, perSecond: 75, workspaces: ['a'] }
  ])('takes $perSecond jobs a second of $workspaces on nodes of $memoryMb MB', ({ memoryMb, perSecond, workspaces }) => {
    const { backlog } = new JournalState(() => {}, () => backlogBoundOf(memoryMb), () => 20)
    for (const workspace of workspaces) backlog.add(workspace, perSecond / workspaces.length * KEPT_SECONDS * SUMMARY_BYTES)
    for (const workspace of workspaces) {
      expect(backlog.findShortage(workspace, heldBytesOf(jobOf(0, workspace)))).toBeUndefined()
    }
  })
})
