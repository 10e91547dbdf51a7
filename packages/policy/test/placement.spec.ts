import { describe, expect, test } from 'vitest'
import type { Placement } from '@fireflymount/policy/task'
import { Ending } from '@fireflymount/policy/task'
import { Workload } from '@fireflymount/protocol/workload'
import { TaskKind } from '@fireflymount/policy/task-kind'
import { UNLIMITED, createWorkerSpec, createShard, createTask } from './fixture.js'

const WHOLE_WORKER_CPU = { cpuMilli: 16_000, memoryMb: 1_024, accelerators: 0 }

function countBy (placements: readonly Placement[], key: (worker: string) => string): number[] {
  const counts = new Map<string, number>()
  for (const { worker } of placements) counts.set(key(worker), (counts.get(key(worker)) ?? 0) + 1)
  return [...counts.values()].sort()
}

describe('replicas of a service', () => {
  test.each([
    { replicas: 6, workers: 15, perZone: [2, 2, 2], largestOnWorker: 1 },
    { replicas: 9, workers: 9, perZone: [3, 3, 3], largestOnWorker: 1 },
    { replicas: 4, workers: 3, perZone: [1, 1, 2], largestOnWorker: 2 }
  ])('$replicas on $workers workers spread over availability zones and workers', ({ replicas, workers, perZone, largestOnWorker }) => {
    const shard = createShard(workers)
    for (let replica = 0; replica < replicas; replica++) {
      shard.enqueue(createTask(`s${replica}`, { workload: Workload.Service, group: 'ledger', groupSize: replicas, runtimeMs: Infinity }), 0)
    }
    const { placements } = shard.decide(0, 100)
    expect(countBy(placements, worker => createWorkerSpec(Number(worker.slice(1))).zone)).toEqual(perZone)
    expect(countBy(placements, worker => worker).at(-1)).toBe(largestOnWorker)
  })
})

describe('batch tasks', () => {
  test('are placed on the worker with the best fit', () => {
    const shard = createShard(3)
    shard.adopt(createTask('large', { size: { cpuMilli: 12_000, memoryMb: 24_576, accelerators: 0 } }), 'w1', 0)
    shard.enqueue(createTask('small', { workload: Workload.Batch }), 0)
    expect(shard.decide(0, 1).placements[0]!.worker).toBe('w1')
  })

  test('avoid a worker where they failed while another one is ready', () => {
    const shard = createShard(2)
    for (let task = 0; task < 4; task++) shard.enqueue(createTask(`t${task}`, { workload: Workload.Batch, avoid: ['w0'] }), 0)
    expect(countBy(shard.decide(0, 4).placements, worker => worker)).toEqual([4])
    expect(shard.usedBy('guild').tasks).toBe(4)
  })
})

describe('teams', () => {
  test('run tasks in proportion to their shares when the shard is full', () => {
    const shard = createShard(4)
    shard.setQuotas([{ team: 'guild', share: 3, allotment: UNLIMITED }, { team: 'circle', share: 1, allotment: UNLIMITED }])
    for (const team of ['circle', 'guild']) {
      for (let task = 0; task < 100; task++) shard.enqueue(createTask(`${team}${task}`, { team, kind: team, workload: Workload.Batch }), 0)
    }
    shard.decide(0, 100)
    expect(shard.usedBy('guild').tasks).toBe(24)
    expect(shard.usedBy('circle').tasks).toBe(8)
  })

  test('start no tasks while their usage exceeds a lowered allotment, and continue when it is raised', () => {
    const shard = createShard(1)
    const allot = (tasks: number) => shard.setQuotas([{ team: 'guild', share: 1, allotment: { ...UNLIMITED, tasks } }])
    for (let task = 0; task < 6; task++) shard.enqueue(createTask(`t${task}`), 0)
    allot(4)
    expect(shard.decide(0, 10).placements).toHaveLength(4)
    allot(2)
    shard.finish('t0', Ending.Succeeded, 10)
    expect(shard.decide(10, 10).placements).toHaveLength(0)
    allot(5)
    expect(shard.decide(20, 10).placements).toHaveLength(2)
  })

  test('lose tasks by preemption after a grace period if they exceed a lowered allotment, tasks that can write a checkpoint first', () => {
    const shard = createShard(1)
    for (let task = 0; task < 4; task++) {
      shard.enqueue(createTask(`t${task}`, { workload: Workload.Batch, checkpoint: task === 1 }), 0)
    }
    shard.decide(0, 10)
    shard.setQuotas([{ team: 'guild', share: 1, allotment: { ...UNLIMITED, tasks: 3 } }])
    expect(shard.decide(29_000, 10).preemptions).toEqual([])
    expect(shard.decide(31_000, 10).preemptions).toMatchObject([{ task: 't1', checkpoint: true }])
  })

  test('are charged once for each adopted task after a takeover', () => {
    const shard = createShard(2)
    shard.enqueue(createTask('t0'), 0)
    for (const worker of ['w0', 'w0', 'w1']) shard.adopt(createTask('t0'), worker, 0)
    expect([shard.running(), shard.waiting(), shard.usedBy('guild').cpuMilli]).toEqual([1, 0, 2_000])
    shard.finish('t0', Ending.Succeeded, 10)
    expect(shard.usedBy('guild')).toEqual({ tasks: 0, cpuMilli: 0, memoryMb: 0, accelerators: 0 })
  })
})

describe('a gang', () => {
  const gang = (group: string, tasks: number) => Array.from({ length: tasks }, (_, member) =>
    createTask(`${group}${member}`, { workload: Workload.Gang, kind: 'gang', size: WHOLE_WORKER_CPU, group, groupSize: tasks, runtimeMs: 1_000 }))

  test('starts only when all tasks have arrived and all can start together', () => {
    const shard = createShard(3)
    const [first, ...rest] = gang('g', 3)
    shard.enqueue(first!, 0)
    expect(shard.decide(0, 10).placements).toHaveLength(0)
    shard.adopt(createTask('other', { size: WHOLE_WORKER_CPU }), 'w0', 0)
    for (const task of rest) shard.enqueue(task, 0)
    expect(shard.decide(30, 10).placements).toHaveLength(0)
    shard.finish('other', Ending.Succeeded, 60)
    expect(shard.decide(60, 10).placements).toHaveLength(3)
  })

  test('that needs all workers starts despite a continuous stream of small tasks, also if a second such gang waits', () => {
    const shard = createShard(4)
    let sequence = 0
    const started = new Set<string>()
    const ends: Array<{ atMs: number, id: string }> = []
    for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
      if (nowMs === 2_000) for (const task of [...gang('a', 4), ...gang('b', 4)]) shard.enqueue({ ...task, submittedMs: nowMs }, nowMs)
      while (shard.waiting() < 40) {
        const overrides = { team: 'circle', kind: 'small', workload: Workload.Batch, runtimeMs: 500, submittedMs: nowMs }
        shard.enqueue(createTask(`s${sequence++}`, overrides), nowMs)
      }
      while (ends.length > 0 && ends[0]!.atMs <= nowMs) shard.finish(ends.shift()!.id, Ending.Succeeded, nowMs, 500)
      for (const { task } of shard.decide(nowMs, 100).placements) {
        if (task.workload === Workload.Gang) started.add(task.id)
        ends.push({ atMs: nowMs + 500 + sequence % 7 * 10, id: task.id })
      }
      ends.sort((left, right) => left.atMs - right.atMs)
    }
    expect(started.size).toBe(8)
  })
})

test.each([
  { case: 'the mean', read: (kind: TaskKind) => kind.expectedRuntimeMs(100), from: 800, to: 1_200 },
  { case: 'the 90th percentile', read: (kind: TaskKind) => kind.p90RuntimeMs(100), from: 1_300, to: 2_500 }
])('run times declared ten times too short are corrected: $case', ({ read, from, to }) => {
  const kind = new TaskKind('order')
  for (let task = 0; task < 200; task++) kind.learnRuntime(100, task % 5 === 0 ? 2_000 : 900)
  expect(read(kind)).toBeGreaterThan(from)
  expect(read(kind)).toBeLessThan(to)
})
