import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { assert, constantFrom, integer, array, property, tuple } from 'fast-check'
import { describe, expect, it } from 'vitest'
import { refuseBeyondBacklog } from '../../src/entry/backlog-refusal.js'
import { MAX_JOB_TASKS } from '../../src/model/job.js'
import { Backlog, Shortage, backlogBoundOf, heldBytesOf } from '../../src/place/backlog.js'
import { createJob, createStep } from '../fakes.js'

const MB = 1024 * 1024
const BOUND = 10_000
/** Part of each workspace, and of the jobs without one, if there are four workspaces. */
const GUARANTEED = 400

function createBacklog (): Backlog {
  return new Backlog(() => BOUND, () => 4)
}

describe('the bound of the backlog', () => {
  it.each([
    { memoryMb: undefined, boundMb: 51.2 },
    { memoryMb: 100, boundMb: 8 },
    { memoryMb: 160, boundMb: 12.8 },
    { memoryMb: 210, boundMb: 32.8 },
    { memoryMb: 602, boundMb: 189.6 }
  ])('is $boundMb MB if the smallest node has $memoryMb MB', ({ memoryMb, boundMb }) => {
    expect(backlogBoundOf(memoryMb) / MB).toBeCloseTo(boundMb)
  })
})

describe('the estimate of what a job holds', () => {
  const small = heldBytesOf(createJob({ payload: '', steps: [createStep()] }))
  it.each([
    { change: 'a payload', job: createJob({ payload: 'x'.repeat(4000), steps: [createStep()] }), more: 4000 },
    { change: 'a payload beyond Latin-1', job: createJob({ payload: '\u20ac'.repeat(1000), steps: [createStep()] }), more: 2000 },
    { change: 'tasks', job: createJob({ payload: '', steps: [createStep({ count: 91 })] }), more: 90 * 260 },
    { change: 'occurrences', job: createJob({ payload: '', steps: [createStep()], occurrences: 11 }), more: 10 * 260 },
    { change: 'a label', job: createJob({ payload: '', steps: [createStep({ label: 'x'.repeat(99) })] }), more: 99 }
  ])('grows with $change', ({ job, more }) => {
    expect(heldBytesOf(job) - small).toBe(more)
  })
})

describe('the largest job that is ever accepted', () => {
  it.each([
    { memoryMb: 100, tasks: 20_000 },
    { memoryMb: 160, tasks: 30_000 },
    { memoryMb: 210, tasks: 80_000 },
    { memoryMb: 250, tasks: MAX_JOB_TASKS }
  ])('has $tasks tasks with a node of $memoryMb MB, in whatever occurrences', ({ memoryMb, tasks }) => {
    const backlog = new Backlog(() => backlogBoundOf(memoryMb), () => 20)
    for (const occurrences of [0, 8, 1000]) {
      const job = createJob({ steps: [createStep({ count: tasks / Math.max(1, occurrences) })], occurrences })
      expect(refuseBeyondBacklog(backlog, 'a', heldBytesOf(job), 0)).toBeUndefined()
    }
  })

  // Guards against callers of scheduled jobs that do not learn why a job of few tasks is refused, nor what would be accepted.
  it('is told to the caller of a larger one', () => {
    const backlog = new Backlog(() => backlogBoundOf(160), () => 20)
    const job = createJob({ steps: [createStep({ count: 40 })], occurrences: 1000 })
    expect(refuseBeyondBacklog(backlog, 'a', heldBytesOf(job), 0)).toEqual(refuse(
      Reason.TooLarge,
      'The job needs 9.9 MB with the tasks of all occurrences; a workspace may use 8.3 MB. ' +
      'Split it into jobs with fewer tasks or fewer occurrences.'
    ))
  })
})

/** Adds jobs of a workspace until there is no room. Returns the bytes that were added. */
function fill (backlog: Backlog, workspace: string, bytes: number): number {
  let added = 0
  while (backlog.findShortage(workspace, bytes) === undefined) {
    backlog.add(workspace, bytes)
    added += bytes
  }
  return added
}

describe('the backlog', () => {
  it.each([
    { hogs: ['a'], leastShare: 0.65 },
    { hogs: ['a', 'b'], leastShare: 0.8 },
    { hogs: ['a', 'b', 'c'], leastShare: 0.8 },
    { hogs: [''], leastShare: 0.65 }
  ])('gives $hogs most of the room and leaves the guaranteed part of another workspace', ({ hogs, leastShare }) => {
    const backlog = createBacklog()
    for (const hog of hogs) fill(backlog, hog, 10)
    expect(backlog.totalBytes).toBeGreaterThanOrEqual(leastShare * BOUND)
    expect(fill(backlog, 'other', 10)).toBeGreaterThanOrEqual(GUARANTEED)
    expect(backlog.totalBytes).toBeLessThanOrEqual(BOUND)
  })

  it('has room again for the other workspaces first, then for all, when jobs end', () => {
    const backlog = createBacklog()
    fill(backlog, 'a', 10)
    fill(backlog, 'b', 10)
    backlog.remove('a', 1000)
    expect([backlog.findShortage('a', 10), backlog.findShortage('b', 10)]).toEqual([Shortage.Full, undefined])
    backlog.remove('a', backlog.heldBy('a'))
    backlog.remove('b', backlog.heldBy('b'))
    expect([backlog.totalBytes, fill(backlog, 'a', 10)]).toEqual([0, 0.64 * BOUND + GUARANTEED])
  })

  it.each([
    { bytes: 6801, parts: 1, shortage: Shortage.NeverFits },
    { bytes: 6800, parts: 1, shortage: undefined },
    { bytes: 6800, parts: 2, shortage: Shortage.Full },
    { bytes: 5000, parts: 2, shortage: undefined }
  ])('answers $shortage to a job of $bytes bytes at one of $parts nodes', ({ bytes, parts, shortage }) => {
    expect(createBacklog().findShortage('a', bytes, parts)).toBe(shortage)
  })

  it.each([
    { workspace: 'a', bytes: 10, shortage: Shortage.Full },
    { workspace: 'b', bytes: GUARANTEED, shortage: undefined },
    { workspace: 'b', bytes: GUARANTEED + 1, shortage: Shortage.Full }
  ])('answers $shortage to $bytes bytes of workspace $workspace after more than the bound was added', ({ workspace, bytes, shortage }) => {
    const backlog = createBacklog()
    backlog.add('a', BOUND + 500)
    expect(backlog.findShortage(workspace, bytes)).toBe(shortage)
  })

  it('counts a reservation once and until it is released', () => {
    const backlog = createBacklog()
    backlog.reserve('job', 'a', 100)
    backlog.reserve('job', 'a', 100)
    expect(backlog.totalBytes).toBe(100)
    backlog.release('job')
    backlog.release('job')
    expect([backlog.totalBytes, backlog.heldBy('a')]).toEqual([0, 0])
  })

  it.each([
    { rate: 'nothing has ended', released: 0, retryAfterMs: 20_000 },
    { rate: 'jobs end fast', released: 4000, retryAfterMs: 1000 },
    { rate: 'jobs end slowly', released: 100, retryAfterMs: 8000 }
  ])('tells when there will be room if $rate', ({ released, retryAfterMs }) => {
    const backlog = createBacklog()
    backlog.add('a', 6800 + released)
    backlog.retryAfterMs('a', 10, 0)
    backlog.remove('a', released)
    expect(backlog.retryAfterMs('a', 200, 4000)).toBeCloseTo(retryAfterMs)
  })

  it('does not take a reservation whose job is counted from then on for room that comes back', () => {
    const backlog = createBacklog()
    backlog.add('a', 6000)
    backlog.retryAfterMs('a', 10, 0)
    for (let job = 0; job < 80; job++) {
      backlog.reserve(String(job), 'a', 10)
      backlog.fulfil(String(job))
      backlog.add('a', 10)
    }
    backlog.remove('a', 100)
    expect([backlog.totalBytes, backlog.retryAfterMs('a', 300, 4000)]).toEqual([6700, 8000])
  })

  // Guards against a node whose first refusal, or first one after a calm time, tells a time from a rate of long ago.
  it('tells when there will be room by the latest releases', () => {
    const backlog = createBacklog()
    backlog.add('a', 6800 + 30 * 1000)
    for (let nowMs = 0; nowMs <= 600_000; nowMs += 1000) {
      backlog.measure(nowMs)
      if (nowMs >= 570_000 && nowMs < 600_000) backlog.remove('a', 1000)
    }
    expect(backlog.retryAfterMs('a', 5000, 600_000)).toBeLessThan(6000)
  })

  it('tells callers to return one after another at the rate at which room comes back', () => {
    const backlog = createBacklog()
    backlog.add('a', 6800 + 400)
    backlog.measure(0)
    backlog.remove('a', 400)
    const retryAfterMs = [1, 2, 3, 4, 5].map(() => backlog.retryAfterMs('a', 500, 4000))
    expect(retryAfterMs).toEqual([5000, 10_000, 15_000, 20_000, 20_000])
    expect(backlog.retryAfterMs('a', 500, 9000)).toBe(15_000)
  })

  it('never admits more than the bound, and always some of a workspace that holds nothing', () => {
    const submission = tuple(constantFrom('a', 'b', 'c', ''), integer({ min: 1, max: 300 }), integer({ min: 0, max: 3 }))
    assert(property(array(submission, { maxLength: 2000 }), (submissions) => {
      const backlog = createBacklog()
      const held: Array<[string, number]> = []
      for (const [workspace, bytes, ended] of submissions) {
        if (backlog.findShortage(workspace, bytes) === undefined) {
          backlog.add(workspace, bytes)
          held.push([workspace, bytes])
        }
        if (ended === 0 && held.length > 0) backlog.remove(...held.shift()!)
        expect(backlog.totalBytes).toBeLessThanOrEqual(BOUND)
        expect(backlog.findShortage('new', 1)).toBeUndefined()
      }
    }), { numRuns: 50, seed: 7 })
  })
})
