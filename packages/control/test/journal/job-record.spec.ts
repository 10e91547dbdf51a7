import { describe, expect, it } from 'vitest'
import { compactJob, decodeJob, encodeCompactJob } from '../../src/journal/job-record.js'
import { encodeJob, encodeRecord, Subject } from '../../src/journal/record.js'
import type { Job, Step } from '../../src/model/job.js'
import { createJob, createStep } from '../fakes.js'

const QUEUE = { priority: 1, attempts: 4, stretch: 1.5, targetMs: 300, advice: { callMs: 10, workerMs: 0.5, validMs: 1500 } }
const WORKSPACE = { weight: 2.5, upperLimit: { cpuMilli: 3000, memoryMb: 4000, accelerators: 0 } }

const ALL_FLAGS: Partial<Step> = {
  checkpoints: true, gang: true, sameRack: true, speculative: true, lasting: true, bestEffort: true
}

describe('the compact record of a job', () => {
  it.each<[string, Partial<Job>]>([
    ['a job', {}],
    ['a job with a schedule', { occurrences: 5, firstDueMs: 1_700_000_100_000, intervalMs: 2000 }],
    ['a job with the settings of its queue and workspace', { queueSettings: QUEUE, workspaceSettings: WORKSPACE }],
    ['a job with a schedule and the settings of a queue without advice', {
      occurrences: 5, firstDueMs: 1_700_000_100_000, intervalMs: 2000, queueSettings: { ...QUEUE, advice: undefined }
    }],
    ['a job of dependent steps', { steps: [createStep({ count: 3 }), createStep({ after: [0] })] }],
    ['steps with all fields', {
      steps: [createStep({
        ...ALL_FLAGS, label: 'a', rack: 'r1', perWorker: 2, image: 'i', latencyTargetMs: 50, disruptionBudget: 3
      })]
    }],
    ...Object.keys(ALL_FLAGS).map((flag): [string, Partial<Job>] => [`the flag ${flag}`, { steps: [createStep({ [flag]: true })] }])
  ])('keeps %s, and is smaller', (_, fields) => {
    const job = createJob(fields)
    const record = encodeJob(job)
    const compact = compactJob(record)
    expect(decodeJob(compact.key, compact.value!)._unsafeUnwrap()).toEqual(job)
    expect(decodeJob(record.key, record.value!)._unsafeUnwrap()).toEqual(job)
    expect(compact.value!.length).toBeLessThan(record.value!.length / 2)
    expect(compactJob(compact)).toBe(compact)
    expect(encodeCompactJob(job).value!.equals(compact.value!)).toBe(true)
  })

  it.each([
    ['attempts that are no number', { queueSettings: { ...QUEUE, attempts: 'four' } }],
    ['advice that is no object', { queueSettings: { ...QUEUE, advice: 5 } }],
    ['a weight that is not finite', { workspaceSettings: { ...WORKSPACE, weight: Infinity } }],
    ['a workspace without a limit', { workspaceSettings: { weight: 1 } }]
  ])('is rejected if the settings have %s', (_, fields) => {
    const record = encodeJob(createJob(fields as Partial<Job>))
    expect(decodeJob(record.key, record.value!).isErr()).toBe(true)
  })

  it.each([
    ['a cancellation', encodeRecord(Subject.Cancellation, '00000000000000aa', { atMs: 1 })],
    ['a tombstone', { key: 'j/00000000000000aa', value: undefined }],
    ['a record that cannot be decoded', { key: 'j/00000000000000aa', value: Buffer.from([0x92]) }]
  ])('leaves %s as it is', (_, record) => {
    expect(compactJob(record)).toBe(record)
  })
})
