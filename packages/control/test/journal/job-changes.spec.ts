import { describe, expect, it } from 'vitest'
import { JobEntry, type TaskEntry } from '../../src/journal/journal-state.js'
import { decodeValue, Stage } from '../../src/journal/record.js'
import { Phase } from '../../src/model/job.js'
import { createJob, createStep } from '../fakes.js'

const ID = '00000000000000aa'

function createEntry (): JobEntry {
  return new JobEntry(createJob({ id: ID, steps: [createStep({ count: 6 }), createStep({ count: 600, after: [0] })] }))
}

function change (entry: JobEntry, step: number, index: number, fields: Partial<TaskEntry>): void {
  entry.markChanged(Object.assign(entry.task(0, step, index), fields))
}

function assign (entry: JobEntry, step: number, index: number): void {
  change(entry, step, index, { stage: Stage.Assigned, run: 1, worker: 'w1', born: 1_700_000_000_000 })
}

/** The keys of the records that the next commit writes, with a minus sign for those that it deletes. */
function commit (entry: JobEntry): string[] {
  const records = [...entry.takeChanges().values()].map((encode) => encode())
  return records.map(({ key, value }) => `${value === undefined ? '-' : ''}${key.replace(ID, 'ID')}`)
}

describe('the changes of a job', () => {
  it('are written once, with one record for each block of tasks', () => {
    const entry = createEntry()
    for (const index of [0, 1, 5]) assign(entry, 0, index)
    assign(entry, 1, 599)
    expect([commit(entry), commit(entry)]).toEqual([['r/ID.0', 'r/ID.1', 'r/ID.151'], []])
    change(entry, 0, 1, { stage: Stage.Done })
    change(entry, 1, 599, { stage: Stage.Done })
    expect(commit(entry)).toEqual(['t/ID.0', 't/ID.1'])
  })

  it('delete the runs of a block when all of its tasks are done', () => {
    const entry = createEntry()
    for (let index = 0; index < 4; index++) assign(entry, 0, index)
    commit(entry)
    for (let index = 0; index < 3; index++) change(entry, 0, index, { stage: Stage.Done })
    expect(commit(entry)).toEqual(['t/ID.0'])
    change(entry, 0, 3, { stage: Stage.Done })
    expect(commit(entry)).toEqual(['t/ID.0', '-r/ID.0'])
  })

  it('are encoded as they are at the time of the append', () => {
    const entry = createEntry()
    assign(entry, 0, 0)
    const [encode] = [...entry.takeChanges().values()]
    change(entry, 0, 0, { stage: Stage.Waiting })
    expect(decodeValue(encode!().value!)._unsafeUnwrap()).toEqual([[Stage.Waiting, 1, 'w1', 1_700_000_000_000], 0, 0, 0])
  })

  it('leave only the end of a job that has ended', () => {
    const entry = createEntry()
    for (const index of [0, 1, 4]) assign(entry, 0, index)
    commit(entry)
    for (const index of [0, 1, 4]) change(entry, 0, index, { stage: Stage.Done })
    entry.phase = Phase.Failed
    expect(commit(entry)).toEqual(['p/ID', '-j/ID', '-r/ID.0', '-r/ID.1'])
    change(entry, 0, 1, { stage: Stage.Done })
    expect([commit(entry), entry.storedKeys()]).toEqual([[], [`j/${ID}`, `p/${ID}`]])
  })

  // Guards against a successor that does not know a run which may exist, and places other tasks beside it.
  it('keep the job and its runs in the journal while a task of the ended job is assigned', () => {
    const entry = createEntry()
    for (const index of [0, 1]) assign(entry, 0, index)
    commit(entry)
    entry.phase = Phase.Cancelled
    expect(commit(entry)).toEqual(['p/ID'])
    change(entry, 0, 0, { stage: Stage.Waiting })
    expect(commit(entry)).toEqual(['r/ID.0'])
    change(entry, 0, 1, { stage: Stage.Waiting })
    expect(commit(entry)).toEqual(['-j/ID', '-r/ID.0'])
  })

  it('replace the record of an earlier build', () => {
    const entry = createEntry()
    entry.restore({
      phase: Phase.Active, endedMs: 0, tasks: [['0.0.0', Stage.Assigned, 1, 'w1', 10, 0, ''], ['0.0.5', Stage.Done, 1, 'w1', 10, 0, '']]
    })
    entry.phase = Phase.Cancelled
    expect(commit(entry)).toEqual(['p/ID', 'r/ID.0', 't/ID.0'])
  })

  it('do not bring back the tasks of a job whose details were dropped', () => {
    const entry = createEntry()
    assign(entry, 0, 0)
    const [record] = [...entry.takeChanges().values()].map((encode) => encode())
    const follower = createEntry()
    follower.restoreTasks(record!.key, record!.value)
    follower.phase = Phase.Failed
    follower.dropDetails()
    follower.restoreTasks(record!.key, record!.value)
    expect(follower.tasks.size).toBe(0)
  })
})
