import { describe, expect, test } from 'vitest'
import { Ending } from '@fireflymount/policy/task'
import { Workload } from '@fireflymount/protocol/workload'
import { createShard, createTask } from './fixture.js'

describe('a shard', () => {
  test.each([
    { workload: Workload.Request, workers: 2, tasks: 20, placed: 16 },
    { workload: Workload.Batch, workers: 2, tasks: 20, placed: 16 },
    { workload: Workload.Service, workers: 3, tasks: 3, placed: 3 }
  ])('places $placed of $tasks tasks of $workload on $workers workers', ({ workload, workers, tasks, placed }) => {
    const shard = createShard(workers)
    for (let task = 0; task < tasks; task++) expect(shard.enqueue(createTask(`t${task}`, { workload }), 0).isOk()).toBe(true)
    const { placements } = shard.decide(0, 100)
    expect(placements).toHaveLength(placed)
    expect(shard.running()).toBe(placed)
    expect(shard.waiting()).toBe(tasks - placed)
  })

  test('places the next task in the slot of a completed one', () => {
    const shard = createShard(1)
    for (let task = 0; task < 9; task++) shard.enqueue(createTask(`t${task}`), 0)
    shard.decide(0, 100)
    shard.finish('t3', Ending.Succeeded, 50, 50)
    expect(shard.decide(50, 100).placements.map(placement => placement.task.id)).toEqual(['t8'])
  })
})
