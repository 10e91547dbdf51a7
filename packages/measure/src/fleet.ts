/**
 * Workers, teams and schedulers for measurements.
 */
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { TaskTotals, TeamQuota, WorkerSpec } from '@fireflymount/policy/task'
import { Shard } from '@fireflymount/policy/shard'
import { Condition } from '@fireflymount/policy/task'
import { FirstFit, PowerOfTwoChoices, RandomFit } from './baseline.js'
import { Random } from './random.js'

const ZONES = ['fukuoka', 'kumamoto', 'kagoshima']
const WORKERS_PER_RACK = 5
const SLOTS = 8

/** Allotment of a team (TeamQuota.allotment) without any limit. */
export const UNLIMITED_ALLOTMENT: TaskTotals = { tasks: Infinity, cpuMilli: Infinity, memoryMb: Infinity, accelerators: Infinity }

/** Name of a measured scheduler, and a function that creates an instance. */
export interface SchedulerFactory {
  readonly name: string
  readonly create: () => Scheduler
}

/**
 * Lists the scheduler of the project and the baselines.
 *
 * @param seed seed of the baselines' random choices
 * @param weights scoring weights of the upstream
 * @returns their factories
 */
export function createSchedulerFactories (seed: number, weights = { waiting: 1, share: 1, packing: 1 }): SchedulerFactory[] {
  return [
    { name: 'fireflymount', create: () => new Shard({ weights }) },
    { name: 'FIFO + first fit', create: () => new FirstFit() },
    { name: 'random fit', create: () => new RandomFit(new Random(seed)) },
    { name: 'best of two', create: () => new PowerOfTwoChoices(new Random(seed)) }
  ]
}

/**
 * Creates workers with 16 cores each, five to a rack, in three availability zones.
 *
 * @param count number of workers
 * @param overrides fields that differ from 16 cores, 32 GB and 8 slots
 * @returns the workers
 */
export function createWorkers (count: number, overrides: Partial<WorkerSpec> = {}): WorkerSpec[] {
  const workers: WorkerSpec[] = []
  for (let position = 0; position < count; position++) {
    const rack = Math.floor(position / WORKERS_PER_RACK)
    workers.push({
      id: `w${position}`,
      zone: ZONES[rack % ZONES.length]!,
      rack: `rack-${rack}`,
      capacity: { cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0 },
      slots: SLOTS,
      ...overrides
    })
  }
  return workers
}

/**
 * Registers teams and workers with a scheduler, and marks the workers as ready.
 *
 * @param scheduler the scheduler
 * @param workers the workers
 * @param quotas shares and allotments of the teams
 */
export function prepareScheduler (scheduler: Scheduler, workers: readonly WorkerSpec[], quotas: readonly TeamQuota[]): void {
  scheduler.setQuotas(quotas)
  for (const worker of workers) {
    scheduler.setWorker(worker)
    scheduler.setCondition(worker.id, Condition.Ready)
  }
}
