import { describe, expect, test } from 'vitest'
import type { Shard } from '@fireflymount/policy/shard'
import type { Task } from '@fireflymount/policy/task'
import { Condition, Ending } from '@fireflymount/policy/task'
import { Team } from '@fireflymount/policy/team'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { UNLIMITED, createShard, createTask } from './fixture.js'

const WHOLE_WORKER_CPU = { cpuMilli: 16_000, memoryMb: 1_024, accelerators: 0 }
const LARGE = { cpuMilli: 12_000, memoryMb: 1_024, accelerators: 0 }

function fill (shard: Shard, tasks: number, overrides: Partial<Task> = {}): void {
  for (let task = 0; task < tasks; task++) shard.enqueue(createTask(`fill${task}`, { team: 'circle', kind: 'fill', workload: Workload.Batch, ...overrides }), 0)
  expect(shard.decide(0, tasks).placements).toHaveLength(tasks)
}

function startTasks (shard: Shard, nowMs: number, maxPlacements = 1): string[] {
  return shard.decide(nowMs, maxPlacements).placements.map(({ task }) => task.id)
}

test.each([
  { case: 'urgent work before normal work of the team', first: {}, second: { urgency: Urgency.Urgent }, expected: 'second' },
  { case: 'requests before batch work of the team', first: { workload: Workload.Batch }, second: {}, expected: 'second' },
  { case: 'the task that was submitted first', first: {}, second: { kind: 'preview' }, expected: 'first' },
  { case: 'a task that is queued later but was submitted first, such as one queued again after a failed run', first: { submittedMs: 50 }, second: { submittedMs: 40 }, expected: 'second' }
])('the first placement goes to $case', ({ first, second, expected }) => {
  const shard = createShard(1)
  shard.enqueue(createTask('first', { submittedMs: 10, ...first }), 60)
  shard.enqueue(createTask('second', { submittedMs: 20, ...second }), 60)
  expect(startTasks(shard, 60)).toEqual([expected])
})

test('a team that uses more than it declares is ordered by the usage learned from its earlier tasks', () => {
  const shard = createShard(4, ['guild', 'circle'])
  shard.enqueue(createTask('sample', { kind: 'underdeclared', workload: Workload.Batch }), 0)
  shard.decide(0, 1)
  shard.finish('sample', Ending.Succeeded, 10, 10, { cpuMilli: 6_000, memoryMb: 4_096, accelerators: 0 })
  for (const [team, kind] of [['guild', 'underdeclared'], ['circle', 'exact']] as const) {
    for (let task = 0; task < 64; task++) shard.enqueue(createTask(`${team}${task}`, { team, kind, workload: Workload.Batch }), 20)
  }
  shard.decide(20, 100)
  expect(shard.usedBy('guild').tasks).toBe(8)
  expect(shard.usedBy('circle').tasks).toBe(24)
})

test.each([
  { case: 'is 1.5 at first, because past usage is zero', nowMs: 0, shareRatio: 1.5 },
  { case: 'has risen further after the time constant', nowMs: 60_000, shareRatio: 2 - 0.5 * Math.exp(-1) },
  { case: 'has reached the ratio of that usage to the share after an hour', nowMs: 3_600_000, shareRatio: 2 }
])('with constant usage, the share ratio $case', ({ nowMs, shareRatio }) => {
  const team = new Team('guild')
  team.share = 1
  team.expectedCpu = 100
  team.decayUsage(nowMs / 2)
  team.decayUsage(nowMs)
  team.updateShareRatio({ cpuMilli: 100, memoryMb: 100, accelerators: 1, shares: 2 })
  expect(team.shareRatio).toBeCloseTo(shareRatio, 6)
})

describe('replicas of a service', () => {
  test('share a worker only if every worker has one, even if the other workers have less free capacity', () => {
    const shard = createShard(2, ['guild', 'circle'], { zone: 'fukuoka', rack: 'r' })
    shard.adopt(createTask('other', { team: 'circle', size: LARGE }), 'w0', 0)
    for (const id of ['s0', 's1']) shard.enqueue(createTask(id, { workload: Workload.Service, group: 'ledger', groupSize: 2 }), 0)
    expect(new Set(shard.decide(0, 2).placements.map(({ worker }) => worker)).size).toBe(2)
  })

  test('use different racks of an availability zone before they share a rack', () => {
    const shard = createShard(0)
    for (const [position, rack] of ['r0', 'r0', 'r0', 'r1'].entries()) {
      shard.setWorker({ id: `w${position}`, zone: 'fukuoka', rack, capacity: { cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0 }, slots: 8 })
      shard.setCondition(`w${position}`, Condition.Ready)
    }
    shard.adopt(createTask('other', { size: LARGE }), 'w3', 0)
    for (const id of ['s0', 's1']) shard.enqueue(createTask(id, { workload: Workload.Service, group: 'ledger', groupSize: 2 }), 0)
    expect(shard.decide(0, 2).placements.map(({ worker }) => worker)).toContain('w3')
  })
})

test('a batch task avoids the worker where it failed, although that worker is the best fit', () => {
  const shard = createShard(2)
  shard.adopt(createTask('other'), 'w0', 0)
  shard.enqueue(createTask('again', { workload: Workload.Batch, avoid: ['w0'] }), 0)
  expect(shard.decide(0, 1).placements[0]!.worker).toBe('w1')
})

test.each([
  { bound: 'CPU and memory', size: { cpuMilli: 2_000, memoryMb: 4_096, accelerators: 0 } },
  { bound: 'slots', size: { cpuMilli: 0, memoryMb: 0, accelerators: 0 } }
])('batch work leaves headroom for the recent peak of concurrent requests: $bound', ({ size }) => {
  const shard = createShard(2)
  for (let task = 0; task < 3; task++) shard.enqueue(createTask(`r${task}`, { size }), 0)
  shard.decide(0, 3)
  for (let task = 0; task < 3; task++) shard.finish(`r${task}`, Ending.Succeeded, 100, 100)
  for (let task = 0; task < 20; task++) shard.enqueue(createTask(`b${task}`, { kind: 'yardage', workload: Workload.Batch, size }), 100)
  expect(shard.decide(100, 20).placements).toHaveLength(14)
  expect(shard.decide(600_000, 20).placements).toHaveLength(2)
})

describe('a reservation', () => {
  /** Fills two workers with tasks of 60 s, and lets a task that needs a whole worker wait for 11 s. */
  function reserve (): Shard {
    const shard = createShard(2)
    fill(shard, 16, { runtimeMs: 60_000 })
    shard.enqueue(createTask('whole', { workload: Workload.Batch, size: WHOLE_WORKER_CPU, kind: 'whole' }), 0)
    shard.decide(11_000, 10)
    return shard
  }

  /** Completes one task on each worker: fill0 and fill15 run on different workers. */
  function free (shard: Shard, nowMs: number): void {
    for (const id of ['fill0', 'fill15']) shard.finish(id, Ending.Succeeded, nowMs)
  }

  test.each([
    { case: 'is backfilled with tasks that complete before its workers are needed', runtimeMs: 1_000, starts: 2 },
    { case: 'keeps its worker free of tasks that complete later', runtimeMs: 100_000, starts: 1 }
  ])('$case', ({ runtimeMs, starts }) => {
    const shard = reserve()
    free(shard, 12_000)
    for (const id of ['a', 'b']) shard.enqueue(createTask(id, { kind: 'newcomer', workload: Workload.Batch, runtimeMs, submittedMs: 12_000 }), 12_000)
    expect(startTasks(shard, 12_000, 10)).toHaveLength(starts)
  })

  test.each([
    { case: 'when its task is cancelled', end: (shard: Shard) => { shard.cancel('whole') }, atMs: 12_000 },
    { case: 'when it expires', end: () => {}, atMs: 200_000 }
  ])('releases its worker $case', ({ end, atMs }) => {
    const shard = reserve()
    free(shard, 12_000)
    for (const id of ['a', 'b']) shard.enqueue(createTask(id, { kind: 'newcomer', workload: Workload.Batch, runtimeMs: 1e6, submittedMs: 12_000 }), 12_000)
    end(shard)
    shard.decide(atMs, 10)
    shard.decide(atMs + 10, 10)
    expect(shard.waiting()).toBe(atMs === 12_000 ? 0 : 1)
  })

  test.each([
    { workload: Workload.Batch, group: undefined },
    { workload: Workload.Gang, group: 'gang' }
  ])('lets $workload work that needs a whole worker start despite a continuous stream of small tasks', ({ workload, group }) => {
    const shard = createShard(2)
    let sequence = 0
    const running: string[] = []
    shard.enqueue(createTask('whole', { workload, group, size: WHOLE_WORKER_CPU, kind: 'whole' }), 0)
    for (let task = 0; task < 16; task++) shard.adopt(createTask(`a${task}`, { team: 'circle', kind: 'small', runtimeMs: 500 }), `w${task % 2}`, 0)
    running.push(...Array.from({ length: 16 }, (_, task) => `a${task}`))
    for (let nowMs = 0; nowMs < 60_000; nowMs += 50) {
      while (shard.waiting() < 10) {
        const overrides = { team: 'circle', kind: 'small', workload: Workload.Batch, runtimeMs: 500, submittedMs: nowMs }
        shard.enqueue(createTask(`s${sequence++}`, overrides), nowMs)
      }
      shard.finish(running.shift()!, Ending.Succeeded, nowMs, 500)
      const started = startTasks(shard, nowMs, 10)
      if (started.includes('whole')) return
      running.push(...started)
    }
    throw new Error('The task that needs a whole worker did not start.')
  })
})

test("a gang that was blocked first by its team's allotment and then by the headroom starts when the peak of requests has decayed", () => {
  const shard = createShard(2)
  const allot = (tasks: number) => shard.setQuotas([{ team: 'guild', share: 1, allotment: { ...UNLIMITED, tasks } }])
  for (let task = 0; task < 3; task++) shard.enqueue(createTask(`r${task}`), 0)
  shard.decide(0, 3)
  for (let task = 0; task < 3; task++) shard.finish(`r${task}`, Ending.Succeeded, 100, 100)
  for (let task = 0; task < 3; task++) shard.adopt(createTask(`a${task}`, { team: 'circle', kind: 'yardage', workload: Workload.Batch }), 'w0', 100)
  allot(0)
  for (let task = 0; task < 12; task++) {
    const size = { cpuMilli: 100, memoryMb: 128, accelerators: 0 }
    shard.enqueue(createTask(`g${task}`, { kind: 'gang', workload: Workload.Gang, group: 'g', groupSize: 12, size }), 100)
  }
  shard.decide(100, 20)
  allot(100)
  expect(shard.decide(200, 20).placements).toHaveLength(0)
  expect(shard.decide(900_000, 20).placements).toHaveLength(12)
})

test.each([
  { running: 5, says: 'does not preempt other teams while its team runs 5 tasks', preempted: 0 },
  { running: 2, says: 'preempts other teams while its team runs 2 tasks', preempted: 1 }
])('urgent work preempts only while its team is far below its share: it $says', ({ running, preempted }) => {
  const shard = createShard(2)
  for (let task = 0; task < 16; task++) {
    const overrides = task < running ? {} : { team: 'circle', workload: Workload.Batch, checkpoint: true }
    shard.adopt(createTask(`t${task}`, overrides), `w${task % 2}`, 0)
  }
  shard.enqueue(createTask('urgent', { urgency: Urgency.Urgent, submittedMs: 600_000 }), 600_000)
  shard.decide(600_000, 1)
  expect(shard.decide(600_200, 1).preemptions).toHaveLength(preempted)
})
