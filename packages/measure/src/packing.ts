/**
 * Measures how densely tasks are packed and how long gangs wait, by size of the shard.
 */
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { WorkerSpec, Task } from '@fireflymount/policy/task'
import { Workload } from '@fireflymount/protocol/workload'
import type { Arrival } from './simulation.js'
import type { SchedulerFactory } from './fleet.js'
import { Simulation } from './simulation.js'
import { createArrivals, createQuotas, createTask } from './cases.js'
import { createSchedulerFactories, createWorkers, prepareScheduler } from './fleet.js'
import { Random } from './random.js'

const SHARD_SIZES = [10, 24, 48, 100, 300]
const FILL_RUNS = 10
const UNTIL_MS = 400_000
const TASKS_PER_GANG = 16
const TASK_SIZE = { cpuMilli: 4_000, memoryMb: 8_192, accelerators: 0 }
const GANG_RUNTIME_MS = 10_000
/** Gangs and batch tasks that arrive per second, for each worker of the shard. */
const GANGS_PER_S_PER_WORKER = 0.005
const BATCH_TASKS_PER_S_PER_WORKER = 0.14
const QUOTAS = createQuotas({ patterns: 1, motifs: 1 })

/** Results of one scheduler with one size of shard. */
export interface PackingResult {
  readonly scheduler: string
  readonly workers: number
  /** Mean utilization of the most utilized resource when the first task has to wait. */
  readonly packed: number
  readonly gangP50Ms: number
  readonly gangP99Ms: number
  /** Gangs that started. */
  readonly gangs: number
  /** Gangs that were still waiting at the end. */
  readonly gangsLeft: number
  readonly batchP99Ms: number
}

/**
 * Measures all sizes with all schedulers.
 *
 * @param seed seed of the random sizes and arrivals
 * @returns one entry for each size and scheduler
 */
export function measurePacking (seed: number): PackingResult[] {
  const packs: PackingResult[] = []
  for (const workers of SHARD_SIZES) {
    for (const factory of createSchedulerFactories(seed)) packs.push(measureSize(factory, workers, seed))
  }
  return packs
}

function measureSize (factory: SchedulerFactory, workers: number, seed: number): PackingResult {
  let packed = 0
  for (let run = 0; run < FILL_RUNS; run++) packed += fillUntilBlocked(factory.create(), workers, seed + run) / FILL_RUNS
  const fleet = createWorkers(workers)
  const scheduler = factory.create()
  prepareScheduler(scheduler, fleet, QUOTAS)
  const arrivals = createArrivalMix(workers, seed)
  const statistics = new Simulation(scheduler, { workers: fleet, arrivals, untilMs: UNTIL_MS }).run()
  const outcomes = new Map(statistics.outcomes().map(outcome => [outcome.kind, outcome]))
  const gang = outcomes.get('gang')!
  return {
    scheduler: factory.name,
    workers,
    packed,
    gangP50Ms: gang.p50Ms,
    gangP99Ms: gang.p99Ms,
    gangs: gang.started / TASKS_PER_GANG,
    gangsLeft: gang.left / TASKS_PER_GANG,
    batchP99Ms: outcomes.get('motif')!.p99Ms
  }
}

/**
 * Submits tasks of different sizes one at a time until one has to wait. Returns the utilization of the most utilized resource
 * at that point.
 */
function fillUntilBlocked (scheduler: Scheduler, workers: number, seed: number): number {
  const fleet = createWorkers(workers, { slots: 16 })
  prepareScheduler(scheduler, fleet, QUOTAS)
  const random = new Random(seed)
  for (let index = 0; scheduler.waiting() === 0; index++) {
    const size = { cpuMilli: 500 * (1 + random.integerBelow(8)), memoryMb: 512 * (1 + random.integerBelow(18)), accelerators: 0 }
    const task = createTask(`t${index}`, { kind: 'motif', team: 'motifs', workload: Workload.Batch, size })
    scheduler.enqueue(task, 0)
    scheduler.decide(0, 1)
  }
  return maxUtilization(scheduler, fleet)
}

function maxUtilization (scheduler: Scheduler, workers: readonly WorkerSpec[]): number {
  const used = scheduler.usedBy('motifs')
  let cpuMilli = 0
  let memoryMb = 0
  let slots = 0
  for (const worker of workers) {
    cpuMilli += worker.capacity.cpuMilli
    memoryMb += worker.capacity.memoryMb
    slots += worker.slots
  }
  return Math.max(used.cpuMilli / cpuMilli, used.memoryMb / memoryMb, used.tasks / slots)
}

function createArrivalMix (workers: number, seed: number): Arrival[] {
  const random = new Random(seed)
  const task = { kind: 'motif', team: 'motifs', workload: Workload.Batch, size: TASK_SIZE }
  const arrivals = createArrivals(random, {
    task, fromMs: 0, toMs: UNTIL_MS, tasksPerS: workers * BATCH_TASKS_PER_S_PER_WORKER, runtimeMs: 20_000
  })
  const meanIntervalMs = 1_000 / (workers * GANGS_PER_S_PER_WORKER)
  for (let atMs = random.exponential(meanIntervalMs); atMs < UNTIL_MS; atMs += random.exponential(meanIntervalMs)) {
    arrivals.push({ atMs, tasks: createGang(`gang-${arrivals.length}`, atMs), runtimeMs: GANG_RUNTIME_MS })
  }
  return arrivals
}

function createGang (group: string, submittedMs: number): Task[] {
  const tasks: Task[] = []
  for (let member = 0; member < TASKS_PER_GANG; member++) {
    tasks.push(createTask(`${group}-${member}`, {
      kind: 'gang',
      team: 'patterns',
      workload: Workload.Gang,
      size: TASK_SIZE,
      runtimeMs: GANG_RUNTIME_MS,
      submittedMs,
      group,
      groupSize: TASKS_PER_GANG
    }))
  }
  return tasks
}
