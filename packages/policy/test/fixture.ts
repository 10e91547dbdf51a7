/**
 * Builders of tasks and shards for tests.
 */
import type { WorkerSpec, Task } from '@fireflymount/policy/task'
import { Shard } from '@fireflymount/policy/shard'
import { Condition } from '@fireflymount/policy/task'
import { Urgency, Workload } from '@fireflymount/protocol/workload'

const ZONES = ['fukuoka', 'kumamoto', 'kagoshima']
export const UNLIMITED = { tasks: Infinity, cpuMilli: Infinity, memoryMb: Infinity, accelerators: Infinity }

export function createWorkerSpec (position: number, overrides: Partial<WorkerSpec> = {}): WorkerSpec {
  return {
    id: `w${position}`,
    zone: ZONES[position % 3]!,
    rack: `r${Math.floor(position / 5)}`,
    capacity: { cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0 },
    slots: 8,
    ...overrides
  }
}

export function createTask (id: string, overrides: Partial<Task> = {}): Task {
  return {
    id,
    team: 'guild',
    kind: 'lookup',
    workload: Workload.Request,
    urgency: Urgency.Normal,
    size: { cpuMilli: 2_000, memoryMb: 4_096, accelerators: 0 },
    runtimeMs: 100,
    submittedMs: 0,
    checkpoint: false,
    ...overrides
  }
}

export function createShard (workers: number, teams: readonly string[] = ['guild', 'circle'], overrides: Partial<WorkerSpec> = {}): Shard {
  const shard = new Shard({ weights: { waiting: 1, share: 1, packing: 1 } })
  shard.setQuotas(teams.map(team => ({ team, share: 1, allotment: UNLIMITED })))
  for (let position = 0; position < workers; position++) {
    shard.setWorker(createWorkerSpec(position, overrides))
    shard.setCondition(`w${position}`, Condition.Ready)
  }
  return shard
}
