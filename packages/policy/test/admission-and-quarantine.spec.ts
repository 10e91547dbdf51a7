import { describe, expect, test } from 'vitest'
import type { Shard } from '@fireflymount/policy/shard'
import { Condition, Ending, Obstacle } from '@fireflymount/policy/task'
import { Execution, Reason } from '@fireflymount/protocol/refusal'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { UNLIMITED, createShard, createTask } from './fixture.js'

const LONG_RUNTIME_MS = 3_600_000

function refusalOf (shard: Shard, overrides: Parameters<typeof createTask>[1], nowMs = 0) {
  return shard.enqueue(createTask('refused', overrides), nowMs)._unsafeUnwrapErr()
}

describe('work is refused at once', () => {
  test.each([
    { case: 'that is larger than any worker', overrides: { size: { cpuMilli: 16_001, memoryMb: 1, accelerators: 0 } }, reason: Reason.Infeasible, says: '16 cores' },
    { case: 'that needs accelerators which no worker has', overrides: { size: { cpuMilli: 1, memoryMb: 1, accelerators: 1 } }, reason: Reason.Infeasible, says: 'accelerator' },
    { case: 'whose gang exceeds all slots', overrides: { workload: Workload.Gang, group: 'g', groupSize: 17 }, reason: Reason.Infeasible, says: 'at most 16' },
    { case: 'whose latest start time has passed', overrides: { startByMs: -1 }, reason: Reason.DeadlinePassed, says: 'earlier' }
  ])('$case', ({ overrides, reason, says }) => {
    const refusal = refusalOf(createShard(2), overrides)
    expect(refusal).toMatchObject({ reason, execution: Execution.NotRun })
    expect(refusal.detail).toContain(says)
  })

  test('once its queue is full', () => {
    const shard = createShard(1)
    shard.setQueueCapacity('lookup', 2)
    for (const id of ['a', 'b']) expect(shard.enqueue(createTask(id), 0).isOk()).toBe(true)
    expect(refusalOf(shard, {})).toMatchObject({ reason: Reason.QueueFull, retryAfterMs: expect.any(Number) })
  })

  test('when, by learned run times, it is estimated to start after its latest start time', () => {
    const shard = createShard(1)
    for (let task = 0; task < 8; task++) shard.enqueue(createTask(`r${task}`, { runtimeMs: 10 }), 0)
    shard.decide(0, 8)
    shard.finish('r0', Ending.Succeeded, 1_000, 1_000)
    shard.enqueue(createTask('next', { runtimeMs: 10 }), 1_000)
    shard.decide(1_000, 8)
    for (let task = 0; task < 16; task++) shard.enqueue(createTask(`w${task}`, { runtimeMs: 10 }), 1_000)
    const refusal = refusalOf(shard, { runtimeMs: 10, startByMs: 1_500 }, 1_000)
    expect(refusal.reason).toBe(Reason.DeadlineUnreachable)
    expect(refusal.retryAfterMs).toBeGreaterThan(1_000)
  })

  test('when it failed on three healthy workers, and is reported as executed', () => {
    expect(refusalOf(createShard(4), { avoid: ['w0', 'w1', 'w2'] })).toMatchObject({ reason: Reason.TaskFailed, execution: Execution.Run })
  })
})

test('a waiting task expires when its latest start time has passed', () => {
  const shard = createShard(1)
  for (let task = 0; task < 8; task++) shard.enqueue(createTask(`r${task}`), 0)
  shard.decide(0, 8)
  shard.enqueue(createTask('late', { startByMs: 500 }), 0)
  expect(shard.decide(500, 8).expired).toEqual([])
  expect(shard.decide(501, 8).expired).toMatchObject([{ task: { id: 'late' }, refusal: { reason: Reason.DeadlinePassed } }])
  expect(shard.waiting()).toBe(0)
})

test('a burst of 10,000 cancellations keeps every other task in order and takes less than 200 ms', () => {
  const shard = createShard(1)
  shard.setQueueCapacity('lookup', 20_000)
  for (let task = 0; task < 10_010; task++) shard.enqueue(createTask(`t${task}`), 0)
  let cancelled = 0
  const startMs = performance.now()
  for (let task = 0; task < 10_010; task++) if (task % 1_001 !== 0 && shard.cancel(`t${task}`)) cancelled++
  expect(performance.now() - startMs).toBeLessThan(200)
  expect(cancelled).toBe(10_000)
  expect(shard.cancel('t1')).toBe(false)
  const ids = shard.decide(0, 100).placements.map(({ task }) => task.id)
  expect(ids).toEqual([0, 1, 2, 3, 4, 5, 6, 7].map(task => `t${task * 1_001}`))
})

/** Runs tasks one after another; `fails` selects the workers on which they fail. Returns the worker of each task. */
function runOneByOne (shard: Shard, tasks: number, fromMs: number, fails: (worker: string) => boolean): string[] {
  const workers: string[] = []
  for (let task = 0; task < tasks; task++) {
    const id = `t${fromMs}-${task}`
    shard.enqueue(createTask(id, { workload: Workload.Batch }), fromMs + task)
    for (const { worker } of shard.decide(fromMs + task, 1).placements) {
      workers.push(worker)
      shard.finish(id, fails(worker) ? Ending.Failed : Ending.Succeeded, fromMs + task, 1)
    }
  }
  return workers
}

describe('a worker on which tasks fail that succeed elsewhere', () => {
  function quarantine (): Shard {
    const shard = createShard(3)
    for (const worker of ['w1', 'w2']) shard.setCondition(worker, Condition.Closed)
    runOneByOne(shard, 3, 0, () => true)
    for (const worker of ['w1', 'w2']) shard.setCondition(worker, Condition.Ready)
    return shard
  }

  test('is quarantined after three failures and receives no tasks until the probe', () => {
    const shard = quarantine()
    expect(shard.condition('w0')).toBe(Condition.Quarantined)
    expect(runOneByOne(shard, 100, 10, () => false)).not.toContain('w0')
  })

  test('receives one probe at a time, and leaves quarantine after two successful probes', () => {
    const shard = quarantine()
    for (const id of ['p1', 'p2', 'p3']) shard.enqueue(createTask(id), 10_100)
    const workers = shard.decide(10_100, 3).placements.map(({ worker }) => worker)
    expect(workers.filter(worker => worker === 'w0')).toHaveLength(1)
    const probe = ['p1', 'p2', 'p3'][workers.indexOf('w0')]!
    shard.finish(probe, Ending.Succeeded, 10_200, 100)
    expect(shard.condition('w0')).toBe(Condition.Quarantined)
    runOneByOne(shard, 1, 40_000, () => false)
    expect(shard.condition('w0')).toBe(Condition.Ready)
  })

  test('receives no second probe while the first one runs, however long that takes', () => {
    const shard = quarantine()
    for (const id of ['p1', 'p2', 'p3']) shard.enqueue(createTask(id), 10_100)
    shard.decide(10_100, 3)
    for (const id of ['q1', 'q2', 'q3']) shard.enqueue(createTask(id), 50_000)
    expect(shard.decide(50_000, 3).placements.map(({ worker }) => worker)).not.toContain('w0')
  })

  test('does not count against a task that failed there', () => {
    const shard = quarantine()
    expect(shard.enqueue(createTask('again', { avoid: ['w0', 'w1', 'w2'] }), 10).isOk()).toBe(true)
  })

  test('is probed less often after every failed probe', () => {
    const shard = quarantine()
    expect(runOneByOne(shard, 1, 10_100, worker => worker === 'w0')).toEqual(['w0'])
    expect(runOneByOne(shard, 1, 25_000, worker => worker === 'w0')).not.toContain('w0')
    expect(runOneByOne(shard, 1, 30_200, worker => worker === 'w0')).toEqual(['w0'])
  })

  test('leaves quarantine until its next failure if no suitable task arrives to probe it', () => {
    const shard = quarantine()
    const enqueueAndDecide = (id: string, nowMs: number) => {
      shard.enqueue(createTask(id, { urgency: Urgency.Urgent, size: { cpuMilli: 16_000, memoryMb: 1, accelerators: 0 } }), nowMs)
      return shard.decide(nowMs, 1).placements[0]?.worker
    }
    expect([enqueueAndDecide('u1', 60_000), enqueueAndDecide('u2', 60_000), enqueueAndDecide('u3', 60_000)]).not.toContain('w0')
    // The placement on w0 is that of u3, which has waited since 60 s.
    expect(enqueueAndDecide('u4', 80_000)).toBe('w0')
    shard.finish('u3', Ending.Failed, 80_010)
    expect(shard.condition('w0')).toBe(Condition.Quarantined)
  })
})

test('a kind of task that fails everywhere leaves at least half of the workers ready', () => {
  const shard = createShard(6)
  runOneByOne(shard, 200, 0, () => true)
  const conditions = [0, 1, 2, 3, 4, 5].map(worker => shard.condition(`w${worker}`))
  expect(conditions.filter(condition => condition === Condition.Ready).length).toBeGreaterThanOrEqual(3)
})

describe('explain names the obstacle', () => {
  const fill = (shard: Shard) => {
    for (let task = 0; task < 8; task++) shard.enqueue(createTask(`r${task}`, { runtimeMs: LONG_RUNTIME_MS }), 0)
    shard.decide(0, 8)
  }
  test.each([
    { obstacle: Obstacle.Capacity, prepare: fill, overrides: {} },
    { obstacle: Obstacle.Limit, prepare: limit, overrides: {} },
    { obstacle: Obstacle.Workers, prepare: (shard: Shard) => shard.setCondition('w0', Condition.Closed), overrides: {} },
    { obstacle: Obstacle.Gang, prepare: fill, overrides: { workload: Workload.Gang, group: 'g', groupSize: 2 } },
    {
      obstacle: Obstacle.Shape,
      prepare: shrink,
      overrides: { size: { cpuMilli: 9_000, memoryMb: 1, accelerators: 0 } },
      after: true
    }
  ])('$obstacle', ({ obstacle, prepare, overrides, after }) => {
    const shard = createShard(1)
    if (after !== true) prepare(shard)
    shard.enqueue(createTask('waiting', overrides), 0)
    if (after === true) prepare(shard)
    shard.decide(0, 8)
    const explanation = shard.explain('waiting', 0)
    expect(explanation.obstacle).toBe(obstacle)
    expect(explanation.remedy).not.toBe('')
  })

  function limit (shard: Shard): void {
    shard.setQuotas([{ team: 'guild', share: 1, allotment: { ...UNLIMITED, tasks: 0 } }])
  }

  function shrink (shard: Shard): void {
    shard.setWorker({ id: 'w0', zone: 'z', rack: 'r', capacity: { cpuMilli: 8_000, memoryMb: 32_768, accelerators: 0 }, slots: 8 })
  }
})

test('urgent work of a team below its share preempts only tasks that can write a checkpoint', () => {
  const shard = createShard(2)
  for (let task = 0; task < 16; task++) {
    const overrides = { team: 'circle', workload: Workload.Batch, runtimeMs: LONG_RUNTIME_MS, checkpoint: task >= 8 }
    shard.enqueue(createTask(`study-${task}`, overrides), 0)
  }
  shard.decide(0, 16)
  shard.enqueue(createTask('booking', { urgency: Urgency.Urgent }), 0)
  expect(shard.decide(50, 16).preemptions).toEqual([])
  const { preemptions } = shard.decide(200, 16)
  expect(preemptions).toMatchObject([{ checkpoint: true }])
  expect(Number(preemptions[0]!.task.slice(6))).toBeGreaterThanOrEqual(8)
  shard.finish(preemptions[0]!.task, Ending.Released, 300)
  expect(shard.decide(300, 16).placements).toMatchObject([{ task: { id: 'booking' } }])
})
