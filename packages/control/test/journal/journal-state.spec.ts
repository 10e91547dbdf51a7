import { describe, expect, it } from 'vitest'
import { encodeJob, encodeRecord, Stage, Subject, type Progress } from '../../src/journal/record.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { Phase } from '../../src/model/job.js'
import type { KeyedRecord } from '../../src/ports/store.js'
import { createJob } from '../fakes.js'

const ID = '00000000000000aa'
const ACCEPTED = encodeJob(createJob({ id: ID }))
const CANCELLED = encodeRecord(Subject.Cancellation, ID, { atMs: 5 })

function progress (phase: Phase, fields: Partial<Progress> = {}): KeyedRecord {
  return encodeRecord(Subject.Progress, ID, { phase, endedMs: 0, tasks: [], ...fields })
}

function applyAll (records: readonly KeyedRecord[], ownEpoch = 0): JournalState {
  const journalState = new JournalState()
  for (const [offset, record] of records.entries()) journalState.apply({ ...record, offset }, ownEpoch)
  return journalState
}

describe('the journal state', () => {
  it.each([
    ['an accepted job', [ACCEPTED], Phase.Pending],
    ['a job accepted twice', [ACCEPTED, progress(Phase.Active), ACCEPTED], Phase.Active],
    ['a cancelled job', [ACCEPTED, CANCELLED], Phase.Cancelled],
    ['a cancellation that was read before the acceptance', [CANCELLED, ACCEPTED], Phase.Cancelled],
    ['progress that was read before the acceptance', [progress(Phase.Active), ACCEPTED], Phase.Active],
    ['a job that was completed before it was cancelled', [ACCEPTED, progress(Phase.Completed), CANCELLED], Phase.Completed],
    ['a completed job whose older progress record is read again',
      [ACCEPTED, progress(Phase.Completed), progress(Phase.Active)], Phase.Completed]
  ])('shows %s', (_, records, phase) => {
    expect(applyAll(records).jobs.get(ID)?.visiblePhase()).toBe(phase)
  })

  it('removes a job when a tombstone of its record is read', () => {
    expect(applyAll([ACCEPTED, { key: ACCEPTED.key, value: undefined }]).jobs.size).toBe(0)
  })

  // Guards against a cancellation that was read on an earlier page than the tombstone of its job, and applied to a new job of that id.
  it('forgets a cancellation whose job is removed before its record was read', () => {
    const records = [CANCELLED, { key: ACCEPTED.key, value: undefined }, ACCEPTED]
    expect(applyAll(records).jobs.get(ID)?.visiblePhase()).toBe(Phase.Pending)
  })

  it('restores runs, failures and checkpoints of tasks', () => {
    const journalState = applyAll([
      ACCEPTED, progress(Phase.Active, { tasks: [['0.0.0', Stage.Assigned, 3, 'w1', 10, 2, 'saved']] })
    ])
    expect(journalState.jobs.get(ID)?.taskByKey('0.0.0')).toMatchObject({
      stage: Stage.Assigned, run: 3, worker: 'w1', born: 10, failures: 2, checkpoint: 'saved'
    })
  })

  it('does not apply progress records on the owner, which wrote them', () => {
    expect(applyAll([ACCEPTED, progress(Phase.Completed)], 4).jobs.get(ID)?.visiblePhase()).toBe(Phase.Pending)
  })

  it.each([
    ['the first claim of an epoch', [[1, 'a'], [1, 'b']], 'a'],
    ['a claim of a higher epoch', [[1, 'a'], [2, 'b']], 'b'],
    ['no claim of a lower epoch', [[2, 'b'], [1, 'a']], 'b']
  ])('holds %s', (_, claims, node) => {
    const records = claims.map(([epoch, name]) => encodeRecord(Subject.Owner, 'cell', { epoch, node: name, incarnation: name }))
    expect(applyAll(records).ownerClaim?.node).toBe(node)
  })
})
