import { describe, expect, it } from 'vitest'
import { encodeJob, encodeJobEnd, encodeRecord, encodeValue, Stage, Subject, type Progress } from '../../src/journal/record.js'
import { JobEntry, JournalState, type TaskEntry } from '../../src/journal/journal-state.js'
import { Phase } from '../../src/model/job.js'
import { EARLY_CANCELLATION_BYTES, backlogBoundOf, heldBytesOf } from '../../src/place/backlog.js'
import type { KeyedRecord } from '../../src/ports/store.js'
import { createJob, createStep } from '../fakes.js'

const ID = '00000000000000aa'
const ACCEPTED = encodeJob(createJob({ id: ID }))
const CANCELLED = encodeRecord(Subject.Cancellation, ID, { atMs: 5 })

const DELETED = { key: ACCEPTED.key, value: undefined }
const RUNNING = { stage: Stage.Assigned, run: 3, worker: 'w1', born: 10 }

/** What an ended job counts in the backlog. */
const SUMMARY_BYTES = 600

const NODE = { node: 'n1', incarnation: '1', host: '10.0.0.1', port: 7000, zone: 'z' }
const EARLY = encodeRecord(Subject.Cancellation, ID, { atMs: 1_700_000_000_500, queue: 'preview', workspace: 'guild' })
const EARLY_ELSEWHERE = encodeRecord(Subject.Cancellation, ID, { atMs: 1_700_000_000_500, queue: 'another', workspace: 'guild' })
const INVALID_EARLY = encodeRecord(Subject.Cancellation, ID, { atMs: 5, queue: 1, workspace: 2 })
const UNCANCELLED = { key: `c/${ID}`, value: undefined }
const CLAIM = { epoch: 3, node: 'n2', incarnation: '1' }

/** A record of an earlier build. */
function progress (phase: Phase, fields: Partial<Progress> = {}): KeyedRecord {
  return encodeRecord(Subject.Progress, ID, { phase, endedMs: 0, tasks: [], ...fields })
}

/** The records that an owner commits after a change of the first task. */
function changed (fields: Partial<TaskEntry>): KeyedRecord[] {
  const entry = new JobEntry(createJob({ id: ID }))
  entry.markChanged(Object.assign(entry.task(0, 0, 0), fields))
  return [...entry.takeChanges().values()].map((encode) => encode())
}

function ended (phase: Phase): KeyedRecord {
  return encodeJobEnd(ID, { ...createJob({ id: ID }), phase, endedMs: 1_700_000_000_900 })
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
      [ACCEPTED, progress(Phase.Completed), progress(Phase.Active)], Phase.Completed],
    ['a job with a task that has been assigned', [ACCEPTED, ...changed(RUNNING)], Phase.Active],
    ['runs that were read before the acceptance', [...changed(RUNNING), ACCEPTED], Phase.Active],
    ['an ended job whose record was deleted', [ACCEPTED, ...changed(RUNNING), ended(Phase.Failed), DELETED], Phase.Failed],
    ['an ended job of which only the end is left', [ended(Phase.Completed)], Phase.Completed],
    ['an ended job that was accepted once more', [ACCEPTED, ended(Phase.Completed), DELETED, ACCEPTED], Phase.Completed],
    ['an ended job that was accepted once more, read from scratch', [ACCEPTED, ended(Phase.Completed)], Phase.Completed],
    ['the end of a job that was read before the acceptance', [ended(Phase.Completed), ACCEPTED], Phase.Completed],
    ['the end of a cancelled job, read from scratch', [CANCELLED, ended(Phase.Cancelled)], Phase.Cancelled]
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

  it.each([
    ['a job and its end', [ACCEPTED, ended(Phase.Completed), DELETED]],
    ['a job that was accepted once more after its end', [ended(Phase.Completed), ACCEPTED, DELETED]],
    ['a job that ended under an earlier build', [ACCEPTED, progress(Phase.Completed), DELETED]]
  ])('keeps %s until the tombstone of its end is read', (_, records) => {
    const deletedEnd = { key: `p/${ID}`, value: undefined }
    expect([applyAll(records).jobs.size, applyAll([...records, deletedEnd]).jobs.size]).toEqual([1, 0])
  })

  it('keeps of an ended job what callers and the rate of its workspace need', () => {
    const { job, endedMs } = applyAll([ACCEPTED, ended(Phase.Completed), DELETED]).jobs.get(ID)!
    expect({ ...job, endedMs }).toMatchObject({
      id: ID, queue: 'preview', workspace: 'guild', acceptedMs: 1_700_000_000_000, endedMs: 1_700_000_000_900, payload: '', steps: []
    })
    expect(applyAll([ended(Phase.Completed)]).jobs.get(ID)?.job).toEqual(job)
  })

  it.each<[string, Partial<TaskEntry>]>([
    ['an assigned run', RUNNING],
    ['a run on a worker that started long ago', { ...RUNNING, born: 1_400_000_000_123 }],
    ['a task whose run failed', { stage: Stage.Waiting, run: 2, worker: 'w2', born: 1_700_000_000_010, failures: 1, failedRun: 2 }],
    ['a task with a checkpoint', { ...RUNNING, checkpoint: 'saved' }],
    ['a done task', { stage: Stage.Done }]
  ])('restores %s from the records of tasks, also after a record of an earlier build', (_, fields) => {
    const earlier = progress(Phase.Active, { tasks: [['0.0.0', Stage.Assigned, 1, 'w9', 9, 0, 'old']] })
    for (const records of [[ACCEPTED, ...changed(fields)], [ACCEPTED, earlier, ...changed(fields)]]) {
      expect(applyAll(records).jobs.get(ID)?.tasks.get('0.0.0')).toMatchObject(fields)
    }
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
    expect(applyAll([ACCEPTED, ...changed(RUNNING)], 4).jobs.get(ID)?.visiblePhase()).toBe(Phase.Pending)
  })

  it('keeps a job on the owner that reads the tombstone of its record', () => {
    const journalState = applyAll([ACCEPTED])
    const entry = journalState.jobs.get(ID)!
    Object.assign(entry, { phase: Phase.Completed })
    journalState.apply({ ...DELETED, offset: 1 }, 4)
    expect([journalState.jobs.get(ID) === entry, entry.job.steps.length]).toEqual([true, 1])
  })

  it.each([
    ['the first claim of an epoch', [[1, 'a'], [1, 'b']], 'a'],
    ['a claim of a higher epoch', [[1, 'a'], [2, 'b']], 'b'],
    ['no claim of a lower epoch', [[2, 'b'], [1, 'a']], 'b']
  ])('holds %s', (_, claims, node) => {
    const records = claims.map(([epoch, name]) => encodeRecord(Subject.Owner, 'cell', { epoch, node: name, incarnation: name }))
    expect(applyAll(records).ownerClaim?.node).toBe(node)
  })

  // Guards against processes that end, or a cell that nobody can claim, because of one record of a node that cannot be used.
  it.each<[string, KeyedRecord]>([
    ['an address that is null', encodeRecord(Subject.Node, 'n1', null)],
    ['an address without a host', encodeRecord(Subject.Node, 'n1', { ...NODE, host: undefined })],
    ['an address with a port out of range', encodeRecord(Subject.Node, 'n1', { ...NODE, port: 70_000 })],
    ['an address with an infinite processor', encodeRecord(Subject.Node, 'n1', { ...NODE, processorShare: Infinity })],
    ['an address with a start time that is no number', encodeRecord(Subject.Node, 'n1', { ...NODE, startedMs: 'x' })],
    ['a claim that is null', encodeRecord(Subject.Owner, 'cell', null)],
    ['a claim with an infinite epoch', encodeRecord(Subject.Owner, 'cell', { ...CLAIM, epoch: Infinity })],
    ['a claim with an epoch that is no number', encodeRecord(Subject.Owner, 'cell', { ...CLAIM, epoch: 'x' })],
    ['a node with an infinite memory', encodeRecord(Subject.Node, 'n1', { ...NODE, memoryMb: Infinity })],
    ['a claim without a node', encodeRecord(Subject.Owner, 'cell', { ...CLAIM, node: 5 })],
    ['a claim with an infinite start time', encodeRecord(Subject.Owner, 'cell', { ...CLAIM, epoch: 4, startedMs: Infinity })],
    ['a cancellation without a time', encodeRecord(Subject.Cancellation, ID, { atMs: 'x' })],
    ['an infinite cancellation', encodeRecord(Subject.Cancellation, ID, { atMs: Infinity })],
    ['an end with an unknown phase', encodeRecord(Subject.Progress, ID, [7, 'preview', '', 1, 1])],
    ['an end with an infinite time', encodeRecord(Subject.Progress, ID, [0, 'preview', '', Infinity, 1])],
    ['a job under the id of another one', { ...encodeJob(createJob({ id: '00000000000000bb' })), key: 'j/00000000000000cc' }],
    ['a job without a queue', encodeRecord(Subject.Job, '00000000000000cc', { ...createJob({ id: '00000000000000cc' }), queue: 7 })],
    ['a deeply nested record', { key: 'n/n1', value: Buffer.alloc(50_000, 0x91) }]
  ])('passes over %s, with one line, and keeps the others', (_, record) => {
    const rejected: string[] = []
    const journalState = new JournalState((key) => { rejected.push(key) })
    const sound = [encodeRecord(Subject.Owner, 'cell', CLAIM), encodeRecord(Subject.Node, 'n2', { ...NODE, node: 'n2' }), ACCEPTED]
    for (const [offset, each] of [...sound, record].entries()) journalState.apply({ ...each, offset })
    const { ownerClaim, nodes, jobs } = journalState
    expect([ownerClaim, [...nodes.keys()], [...jobs.keys()], rejected]).toEqual([CLAIM, ['n2'], [ID], [record.key]])
    expect(jobs.get(ID)?.visiblePhase()).toBe(Phase.Pending)
  })

  it.each([
    { records: 'an accepted job', applied: [ACCEPTED], bytes: heldBytesOf(createJob({ id: ID })) },
    { records: 'a job accepted twice', applied: [ACCEPTED, ACCEPTED], bytes: heldBytesOf(createJob({ id: ID })) },
    { records: 'an ended job', applied: [ACCEPTED, ended(Phase.Completed), DELETED], bytes: SUMMARY_BYTES },
    { records: 'the end of a job', applied: [ended(Phase.Completed)], bytes: SUMMARY_BYTES },
    { records: 'a removed job', applied: [ACCEPTED, ended(Phase.Completed), DELETED, { key: `p/${ID}`, value: undefined }], bytes: 0 },
    { records: 'a deleted job that has not ended', applied: [ACCEPTED, DELETED], bytes: 0 }
  ])('counts $bytes bytes in the backlog for $records', ({ applied, bytes }) => {
    const { backlog } = applyAll(applied)
    expect([backlog.totalBytes, backlog.heldBy(createJob().workspace)]).toEqual([bytes, bytes])
  })

  it.each([
    { nodes: 'without memory, as earlier builds write them', memories: [undefined, undefined], smallest: undefined },
    { nodes: 'of which one has none', memories: [602, undefined, 210], smallest: 210 },
    { nodes: 'of which the smallest is gone', memories: [602, 300, 210], smallest: 300, gone: 2 }
  ])('bounds the backlog by the smallest of the nodes $nodes', ({ memories, smallest, gone }) => {
    const records = memories.map((memoryMb, index) => encodeRecord(Subject.Node, `n${index}`, { ...NODE, node: `n${index}`, memoryMb }))
    if (gone !== undefined) records.push({ key: `n/n${gone}`, value: undefined })
    expect(applyAll(records).backlog.boundBytes).toBe(backlogBoundOf(smallest))
  })

  // Guards against a job that runs although its cancellation was acknowledged, because its record was stored only after that.
  it.each([
    { records: 'its job', applied: [EARLY, ACCEPTED], phase: Phase.Cancelled, waiting: 0 },
    { records: 'its job, after long', applied: [EARLY, 'collect', 'collect', ACCEPTED], phase: Phase.Cancelled, waiting: 0 },
    { records: 'its job before it', applied: [ACCEPTED, EARLY], phase: Phase.Cancelled, waiting: 0 },
    { records: 'its job, with runs', applied: [EARLY, ...changed(RUNNING), ACCEPTED], phase: Phase.Cancelled, waiting: 0 },
    { records: 'its job that had ended', applied: [ACCEPTED, ended(Phase.Completed), EARLY], phase: Phase.Completed, waiting: 0 },
    { records: 'the end of its job', applied: [EARLY, ended(Phase.Cancelled)], phase: Phase.Cancelled, waiting: 0 },
    { records: 'itself again', applied: [EARLY, EARLY, ACCEPTED], phase: Phase.Cancelled, waiting: 0 },
    { records: 'a job of another queue', applied: [EARLY_ELSEWHERE, ACCEPTED], phase: Phase.Pending, waiting: 1 },
    { records: 'a job of another queue before it', applied: [ACCEPTED, EARLY_ELSEWHERE], phase: Phase.Pending, waiting: 1 },
    { records: 'its own deletion', applied: [EARLY, UNCANCELLED, ACCEPTED], phase: Phase.Pending, waiting: 0 },
    { records: 'nothing', applied: [EARLY], phase: undefined, waiting: 1 },
    { records: 'nothing, if a field has another type', applied: [INVALID_EARLY], phase: undefined, waiting: 0 }
  ])('keeps the cancellation of an unknown job until it reads $records', ({ applied, phase, waiting }) => {
    const journalState = new JournalState()
    for (const record of applied) {
      if (typeof record === 'string') journalState.collectDeferred()
      else journalState.apply({ ...record, offset: 1 })
    }
    const entry = journalState.jobs.get(ID)
    const jobBytes = entry === undefined ? 0 : heldBytesOf(entry.job)
    const { earlyCancellations, deferredCount, backlog } = journalState
    expect([entry?.visiblePhase(), earlyCancellations.size, deferredCount, backlog.totalBytes])
      .toEqual([phase, waiting, 0, jobBytes + waiting * EARLY_CANCELLATION_BYTES])
  })

  it('drops records that still wait for their job at the second collection', () => {
    const journalState = applyAll([CANCELLED])
    const counts = [1, 2].map(() => {
      journalState.collectDeferred()
      return journalState.deferredCount
    })
    expect(counts).toEqual([1, 0])
  })

  it('applies a record that waited through one collection', () => {
    const journalState = applyAll([CANCELLED])
    journalState.collectDeferred()
    journalState.apply({ ...ACCEPTED, offset: 5 })
    expect([journalState.jobs.get(ID)?.visiblePhase(), journalState.deferredCount]).toEqual([Phase.Cancelled, 0])
  })

  // Guards against a job that no owner handles because one record of its runs cannot be read.
  it.each([
    ['a number', 7],
    ['null', null],
    ['a row that is none', ['x', [Stage.Assigned, 2, 'w2', 10]]],
    ['a row with an unknown stage', [[9, 1, 'w1', 10], [Stage.Assigned, 2, 'w2', 10]]],
    ['a row with an infinite run', [[Stage.Assigned, Infinity, 'w1', 10], [Stage.Assigned, 2, 'w2', 10]]],
    ['a row without a worker', [[Stage.Assigned, 1], [Stage.Assigned, 2, 'w2', 10]]]
  ])('passes over %s among the runs of a job, and notes it', (_, rows) => {
    const accepted = encodeJob(createJob({ id: ID, steps: [createStep({ count: 8 })] }))
    const { jobs } = applyAll([
      accepted,
      { key: `r/${ID}.0`, value: encodeValue(rows) },
      { key: `r/${ID}.1`, value: encodeValue([[Stage.Assigned, 3, 'w3', 10]]) }
    ])
    const entry = jobs.get(ID)!
    const runs = [...entry.tasks.values()].map(({ key, run }) => `${key}#${run}`)
    expect(runs).toEqual(Array.isArray(rows) ? ['0.0.1#2', '0.0.4#3'] : ['0.0.4#3'])
    expect([...entry.invalidKeys]).toEqual([`r/${ID}.0`])
  })
})
