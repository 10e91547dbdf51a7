import { serialize } from 'node:v8'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { Shard } from '@fireflymount/policy/shard'
import type { DryRun } from '@fireflymount/policy/dry-run'
import type { Task } from '@fireflymount/policy/task'
import { Condition, Obstacle } from '@fireflymount/policy/task'
import { WorkerVerdict } from '@fireflymount/protocol/dry-run'
import { Reason } from '@fireflymount/protocol/refusal'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { UNLIMITED, createShard, createTask } from './fixture.js'

const SIZE = { cpuMilli: 2_000, memoryMb: 4_096, accelerators: 0 }
const BATCH = { workload: Workload.Batch, kind: 'yardage' }
const WHOLE_WORKER = { ...BATCH, size: { cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0 } }

function dryRun (shard: Shard, overrides: Partial<Task> = {}, nowMs = 0): DryRun {
  return shard.dryRun(createTask('dry-run', overrides), nowMs, (worker) => worker === 'w0' ? WorkerVerdict.Evacuated : WorkerVerdict.Draining)
}

function fill (shard: Shard, count: number, overrides: Partial<Task> = WHOLE_WORKER): void {
  for (let task = 0; task < count; task++) shard.enqueue(createTask(`fill${task}`, overrides), 0)
  shard.decide(0, 100)
}

test.each([
  { verdict: WorkerVerdict.Available, of: 'idle', play: () => {}, startable: 8 },
  { verdict: WorkerVerdict.Evacuated, of: 'closed', play: (shard: Shard) => { shard.setCondition('w0', Condition.Closed) } },
  { verdict: WorkerVerdict.Quarantined, of: 'quarantined', play: (shard: Shard) => { shard.setCondition('w0', Condition.Quarantined) } },
  { verdict: WorkerVerdict.TooSmall, of: 'small', play: () => {}, task: { size: { ...SIZE, memoryMb: 32_769 } } },
  { verdict: WorkerVerdict.Busy, of: 'full', play: (shard: Shard) => { fill(shard, 2) } },
  {
    verdict: WorkerVerdict.Reserved,
    of: 'reserved',
    play: (shard: Shard) => {
      fill(shard, 14, { ...BATCH, size: { ...SIZE, cpuMilli: 500 } })
      for (const id of ['g0', 'g1']) shard.enqueue(createTask(id, { ...WHOLE_WORKER, workload: Workload.Gang, group: 'g', groupSize: 2 }), 0)
      shard.decide(100, 100)
    }
  }
])('the verdict on a worker that is $of is $verdict', ({ verdict, play, task, startable }) => {
  const shard = createShard(2)
  play(shard)
  expect(dryRun(shard, task).workers[0]).toMatchObject({ id: 'w0', verdict, startable: startable ?? 0 })
})

test.each([
  { obstacle: Obstacle.None, of: 'free capacity', startsInMs: 0 },
  { obstacle: Obstacle.Shape, of: 'a task larger than any worker', task: { size: { ...SIZE, accelerators: 1 } }, reason: Reason.Infeasible },
  { obstacle: Obstacle.Capacity, of: 'a full shard', play: (shard: Shard) => { fill(shard, 4) }, startsInMs: expect.any(Number) },
  {
    obstacle: Obstacle.Capacity,
    of: 'a deadline too early for a full shard',
    play: (shard: Shard) => { fill(shard, 4) },
    task: { startByMs: 1 },
    reason: Reason.DeadlineUnreachable,
    startsInMs: expect.any(Number)
  },
  { obstacle: Obstacle.Gang, of: 'half a gang', play: (shard: Shard) => { fill(shard, 1) }, task: { ...WHOLE_WORKER, workload: Workload.Gang, group: 'g', groupSize: 2 } },
  {
    obstacle: Obstacle.Limit,
    of: 'a team at its limit',
    play: (shard: Shard) => { shard.setQuotas([{ team: 'guild', share: 1, allotment: { ...UNLIMITED, cpuMilli: 1_999 } }]) }
  },
  { obstacle: Obstacle.Limit, of: 'an unknown team', task: { team: 'nobody' } },
  {
    obstacle: Obstacle.Workers,
    of: 'drained workers',
    play: (shard: Shard) => { for (const worker of ['w0', 'w1']) shard.setCondition(worker, Condition.Closed) }
  },
  { obstacle: Obstacle.None, of: 'a full queue', play: (shard: Shard) => { shard.setQueueCapacity('lookup', 0) }, reason: Reason.QueueFull, startsInMs: 0 }
])('$of: the obstacle is $obstacle, the refusal $reason', ({ obstacle, play, task, reason, startsInMs }) => {
  const shard = createShard(2)
  play?.(shard)
  const found = dryRun(shard, task)
  expect([found.explanation.obstacle, found.refusal?.reason, found.startsInMs]).toEqual([obstacle, reason, startsInMs])
})

test.each([
  { of: 'urgent work', task: { urgency: Urgency.Urgent }, tasksBefore: 0, teamsBefore: ['circle'] },
  { of: 'other work', task: {}, tasksBefore: 3, teamsBefore: ['circle'] },
  { of: 'work of a team without use that is submitted at the same time', task: { team: 'village' }, nowMs: 0, tasksBefore: 0, teamsBefore: [] }
])('$of comes after $tasksBefore tasks of its team and teams $teamsBefore', ({ task, nowMs, tasksBefore, teamsBefore }) => {
  const shard = createShard(2, ['guild', 'circle', 'village'])
  fill(shard, 5)
  shard.enqueue(createTask('other', { ...WHOLE_WORKER, team: 'circle' }), 0)
  shard.decide(0, 100)
  expect(dryRun(shard, { ...WHOLE_WORKER, ...task }, nowMs ?? 1).place).toMatchObject({ tasksBefore, teamsBefore })
})

// What starts in the next round has to be what the dry run announced.
test('a task without an obstacle starts in the next round, and one with an obstacle does not', () => {
  const task = fc.record({
    team: fc.constantFrom('guild', 'circle', 'village'),
    workload: fc.constantFrom(Workload.Request, Workload.Batch),
    urgency: fc.constantFrom(Urgency.Normal, Urgency.Urgent),
    cpuMilli: fc.constantFrom(500, 3_000, 9_000, 17_000)
  })
  fc.assert(fc.property(fc.array(task, { maxLength: 30 }), task, fc.nat(5), (earlier, last, closed) => {
    const shard = createShard(4, ['guild', 'circle'])
    const create = ({ team, workload, urgency, cpuMilli }: typeof last, id: string): Task =>
      createTask(id, { team, workload, urgency, kind: workload, size: { ...SIZE, cpuMilli } })
    shard.setCondition(`w${closed}`, Condition.Closed)
    for (const [position, each] of earlier.entries()) shard.enqueue(create(each, `t${position}`), 0)
    shard.decide(0, 100)
    const before = serialize(shard)
    const { explanation, refusal } = dryRun(shard, create(last, 'dry-run'), 1)
    expect(serialize(shard).equals(before)).toBe(true)
    expect(shard.enqueue(create(last, 'last'), 1).isErr()).toBe(refusal !== undefined)
    const started = shard.decide(1, 100).placements.some(({ task: { id } }) => id === 'last')
    expect(started).toBe(explanation.obstacle === Obstacle.None)
  }), { numRuns: 300 })
})
