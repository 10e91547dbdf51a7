import { expect, test } from 'vitest'
import { findViolations, Invariant } from '@fireflymount/scenario/check/invariants'
import { NO_EVIDENCE, type Answer, type Evidence, type Run } from '@fireflymount/scenario/check/evidence'
import { findLongestGap } from '@fireflymount/scenario/run/condition-checks'

const SIZE = { cpuMilli: 1000, memoryMb: 100, accelerators: 0 }

function run (fields: Partial<Run>): Run {
  return { worker: 'w1', task: 't1', attempt: 1, isRequest: false, team: 'guild', kind: 'render', size: SIZE, startedMs: 0, endedMs: 10, ...fields }
}

function answer (fields: Partial<Answer>): Answer {
  return { nonce: 'n1', name: 'a', queue: 'render', sentMs: 0, answeredMs: 1, outcome: 'accepted', hasResult: false, isComplete: true, ...fields }
}

function limit (tasks: number, atMs: number) {
  return { team: 'guild', limit: { tasks }, sentMs: atMs, acceptedMs: atMs }
}

const WORKER = { worker: 'w1', slots: 2, resources: { cpuMilli: 2000, memoryMb: 150, accelerators: 0 } }

test.each<[string, Partial<Evidence>, Invariant]>([
  ['more tasks than slots', {
    capacities: [{ ...WORKER, resources: { cpuMilli: 9000, memoryMb: 9000, accelerators: 0 } }],
    runs: [run({}), run({ task: 't2' }), run({ task: 't3', startedMs: 9 })]
  }, Invariant.Capacity],
  ['more memory than the worker has', { capacities: [WORKER], runs: [run({}), run({ task: 't2', startedMs: 5 })] }, Invariant.Capacity],
  ['a task on two workers at the same time', { runs: [run({}), run({ worker: 'w2', attempt: 2, startedMs: 9 })] }, Invariant.OnePlace],
  ['a task that has not ended and runs on another worker too', {
    runs: [run({ endedMs: undefined }), run({ worker: 'w2', attempt: 2, startedMs: 900, endedMs: 950 })]
  }, Invariant.OnePlace],
  ['a second run of non-idempotent work', {
    nonIdempotent: ['render'], runs: [run({ nonce: 'n1' }), run({ nonce: 'n1', task: 't2', startedMs: 50, endedMs: 60 })]
  }, Invariant.AtMostOnce],
  ['a second request of non-idempotent work', {
    nonIdempotent: ['render'],
    runs: [run({ nonce: 'n1', isRequest: true }), run({ nonce: 'n1', isRequest: true, task: 't2', startedMs: 50, endedMs: 60 })]
  }, Invariant.AtMostOnce],
  ['more tasks than the team\'s limit', { limits: [limit(1, -9)], runs: [run({}), run({ task: 't2', startedMs: 5 })] }, Invariant.TeamLimit],
  ['more tasks than the limit long after it was lowered', {
    limits: [limit(5, -9000), limit(1, -8500)], runs: [run({ startedMs: -10 }), run({ task: 't2', startedMs: 5 })]
  }, Invariant.TeamLimit],
  ['a refusal which says that work did not run although it ran', {
    answers: [answer({ outcome: 'no-owner', execution: 'not-run' })], runs: [run({ nonce: 'n1' })]
  }, Invariant.NotRun],
  ['the answer to another request', {
    answers: [answer({ outcome: 'answered', hasResult: true, echoed: 'n2' })]
  }, Invariant.OwnAnswer],
  ['an incomplete answer', { answers: [answer({ outcome: 'half', isComplete: false })] }, Invariant.OwnAnswer],
  ['a late start on a leaving worker', { leaving: [{ name: 'w1', atMs: 0 }], runs: [run({ startedMs: 5001 })] }, Invariant.Leaving],
  ['a late acceptance with a withdrawn key', {
    withdrawn: [{ name: 'k', atMs: 0 }], answers: [answer({ key: 'k', sentMs: 5001 })]
  }, Invariant.Keys],
  ['an older revision after a newer one', { histories: [{ process: 'f1', revisions: [1, 3, 2] }] }, Invariant.Configuration]
])('finds %s', (_, evidence, invariant) => {
  const violations = findViolations({ ...NO_EVIDENCE, ...evidence })
  expect(violations.map((violation) => violation.invariant)).toEqual([invariant])
})

test.each<[string, Partial<Evidence>]>([
  ['a run that starts when another ends', { capacities: [{ ...WORKER, slots: 1 }], runs: [run({}), run({ task: 't2', startedMs: 10 })] }],
  ['a task that starts on another worker when its first run has ended', { runs: [run({}), run({ worker: 'w2', attempt: 2, startedMs: 10 })] }],
  ['a second run of idempotent work', { runs: [run({ nonce: 'n1' }), run({ nonce: 'n1', task: 't2', startedMs: 50 })] }],
  ['several tasks of one non-idempotent job', { nonIdempotent: ['render'], runs: [run({ nonce: 'n1', task: 'j/0' }), run({ nonce: 'n1', task: 'j/1' })] }],
  ['a start within the previous limit just after the limit was lowered', {
    limits: [limit(5, -9000), limit(1, -100)], runs: [run({ startedMs: -10 }), run({ task: 't2', startedMs: 5 })]
  }],
  ['a refusal of work that did not run', { answers: [answer({ outcome: 'no-owner', execution: 'not-run' })], runs: [run({ nonce: 'n2' })] }],
  ['a start on a worker that just started to leave', { leaving: [{ name: 'w1', atMs: 0 }], runs: [run({ startedMs: 4000 })] }],
  ['a refusal of a withdrawn key', { withdrawn: [{ name: 'k', atMs: 0 }], answers: [answer({ key: 'k', sentMs: 9000, outcome: 'bad-key' })] }],
  ['increasing revisions', { histories: [{ process: 'f1', revisions: [1, 3, 7] }] }]
])('accepts %s', (_, evidence) => {
  expect(findViolations({ ...NO_EVIDENCE, ...evidence })).toEqual([])
})

test.each([
  ['no run', [], Infinity],
  ['a run in progress', [run({ startedMs: 10, endedMs: undefined })], 0],
  ['a pause between two runs', [run({ endedMs: 10 }), run({ startedMs: 35, endedMs: undefined })], 25],
  ['a run that ended', [run({ endedMs: 10 })], 90]
])('measures the gap of a service with %s', (_, runs, gapMs) => {
  expect(findLongestGap(runs, 100)).toBe(gapMs)
})
