/**
 * Measures the cost of scheduling decisions in one process: throughput and latency by workers, running and waiting tasks.
 */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { TeamQuota, Task } from '@fireflymount/policy/task'
import { Shard } from '@fireflymount/policy/shard'
import { Ending } from '@fireflymount/policy/task'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { FirstFit } from './baseline.js'
import { UNLIMITED_ALLOTMENT, createWorkers, prepareScheduler } from './fleet.js'
import { Random } from './random.js'
import { scanArrays } from './scan.js'

const TEAMS = 47
const KINDS = 6
const MAX_WARM_UP_CYCLES = 5_000
const MAX_CYCLES = 40_000
const FILL_BATCH_TASKS = 256
const SIMULATED_CYCLE_MS = 0.1
const NS_PER_US = 1_000
/** Actual run time of every task; half of the declared one. */
const ACTUAL_RUNTIME_MS = 50
/** Time after which the warm-up or the measurement ends even if it has not run all its cycles. */
const MAX_MEASURED_MS = 2_000

/** Load at which the cost is measured. */
export interface LoadPoint {
  readonly workers: number
  /** Slots of each worker; the benchmark keeps as many in use as the scheduler allows. */
  readonly slots: number
  readonly waiting: number
}

/** Cost measured at one load. */
export interface DecisionCost extends LoadPoint {
  readonly scheduler: string
  readonly running: number
  /** Placements per second of time spent in decide(), with at most one placement per call. */
  readonly decisionsPerS: number
  /**
   * Placements per second of whole cycles. In a cycle a task ends, as many tasks are placed as fit, and new ones
   * arrive. A cycle may place no task, one or several.
   */
  readonly cyclesPerS: number
  /** Latency of one call of decide(). */
  readonly p50Us: number
  readonly p99Us: number
  readonly p999Us: number
  /** Time of one best-fit scan over three plain arrays, measured in the same process for comparison. */
  readonly scanUs: number
}

const LOAD_POINTS: readonly LoadPoint[] = [
  { workers: 24, slots: 8, waiting: 10_000 },
  { workers: 300, slots: 8, waiting: 10_000 },
  { workers: 1_000, slots: 8, waiting: 10_000 },
  { workers: 9_300, slots: 8, waiting: 10_000 },
  { workers: 9_300, slots: 22, waiting: 10_000 },
  { workers: 300, slots: 8, waiting: 100 },
  { workers: 300, slots: 8, waiting: 50_000 },
  { workers: 300, slots: 100, waiting: 10_000 },
  { workers: 300, slots: 667, waiting: 10_000 }
]

/**
 * Measures the scheduler and the first-in-first-out baseline at all loads.
 *
 * @param seed seed of the random sizes, teams and completions
 * @returns one entry for each load and scheduler
 */
export function measureDecisions (seed: number): DecisionCost[] {
  const costs: DecisionCost[] = []
  for (const load of LOAD_POINTS) {
    costs.push(measureLoad('fireflymount', createShard(), load, seed))
    costs.push(measureLoad('FIFO + first fit', new FirstFit(), load, seed))
  }
  return costs
}

function createShard (): Shard {
  const shard = new Shard({ weights: { waiting: 1, share: 1, packing: 1 } })
  for (let kind = 0; kind < KINDS; kind++) shard.setQueueCapacity(`kind-${kind}`, Infinity)
  return shard
}

function measureLoad (name: string, scheduler: Scheduler, load: LoadPoint, seed: number): DecisionCost {
  const benchmark = new SchedulerBenchmark(scheduler, load, seed)
  benchmark.fill()
  benchmark.runCycles(MAX_WARM_UP_CYCLES)
  benchmark.reset()
  const elapsedMs = benchmark.runCycles(MAX_CYCLES)
  const { histogram } = benchmark
  return {
    scheduler: name,
    ...load,
    running: scheduler.running(),
    decisionsPerS: Math.round(benchmark.placed / benchmark.decideMs * 1_000),
    cyclesPerS: Math.round(benchmark.placed / elapsedMs * 1_000),
    p50Us: histogram.getValueAtPercentile(50) / NS_PER_US,
    p99Us: histogram.getValueAtPercentile(99) / NS_PER_US,
    p999Us: histogram.getValueAtPercentile(99.9) / NS_PER_US,
    scanUs: scanArrays(load.workers, seed)
  }
}

/** Keeps a scheduler at constant load: a new task arrives for each one that ends. Times every call of decide(). */
class SchedulerBenchmark {
  readonly histogram: Histogram = build({ highestTrackableValue: 10_000_000_000 })
  placed = 0
  decideMs = 0
  private readonly random: Random
  private readonly runningIds: string[] = []
  private nowMs = 0
  private sequence = 0

  constructor (private readonly scheduler: Scheduler, private readonly load: LoadPoint, seed: number) {
    this.random = new Random(seed)
    const { workers, slots } = load
    const capacity = { cpuMilli: slots * 2_000, memoryMb: slots * 4_096, accelerators: 0 }
    prepareScheduler(scheduler, createWorkers(workers, { slots, capacity }), createQuotas(workers * slots))
  }

  fill (): void {
    const { workers, slots, waiting } = this.load
    const totalSlots = workers * slots
    while (this.runningIds.length < totalSlots && this.scheduler.waiting() < waiting) {
      for (let task = 0; task < FILL_BATCH_TASKS; task++) this.enqueue()
      this.decide(FILL_BATCH_TASKS)
    }
    while (this.scheduler.waiting() < waiting) this.enqueue()
    this.decide(totalSlots)
    while (this.scheduler.waiting() < waiting) this.enqueue()
  }

  reset (): void {
    this.histogram.reset()
    this.placed = 0
    this.decideMs = 0
  }

  runCycles (maxCycles: number): number {
    const startMs = performance.now()
    for (let cycle = 0; cycle < maxCycles; cycle++) {
      this.nowMs += SIMULATED_CYCLE_MS
      if (this.runningIds.length > 0) this.end()
      while (this.decide(1) > 0);
      while (this.scheduler.waiting() < this.load.waiting) this.enqueue()
      if (cycle % 256 === 0 && performance.now() - startMs > MAX_MEASURED_MS) break
    }
    return performance.now() - startMs
  }

  private end (): void {
    const position = this.random.integerBelow(this.runningIds.length)
    const id = this.runningIds[position]!
    const last = this.runningIds.pop()!
    if (last !== id) this.runningIds[position] = last
    this.scheduler.finish(id, Ending.Succeeded, this.nowMs, ACTUAL_RUNTIME_MS)
  }

  private decide (maxPlacements: number): number {
    const start = process.hrtime.bigint()
    const { placements } = this.scheduler.decide(this.nowMs, maxPlacements)
    const elapsed = Number(process.hrtime.bigint() - start)
    this.histogram.recordValue(elapsed)
    this.decideMs += elapsed / 1e6
    this.placed += placements.length
    for (const { task } of placements) this.runningIds.push(task.id)
    return placements.length
  }

  private enqueue (): void {
    const accepted = this.scheduler.enqueue(createTask(this.random, this.sequence++, this.nowMs), this.nowMs)
    if (accepted.isErr()) throw new Error(accepted.error.detail)
  }
}

/**
 * Creates a task of a random kind. Kind 0 is a service, 1 an urgent request, 2 a request with a latest start time, and 3 a
 * request without one. Kind 4 is a batch task, and 5 a batch task with checkpoints.
 */
function createTask (random: Random, sequence: number, nowMs: number): Task {
  const kind = random.integerBelow(KINDS)
  const isService = kind === 0
  return {
    id: `task-${sequence}`,
    team: `team-${random.integerBelow(TEAMS)}`,
    kind: `kind-${kind}`,
    workload: isService ? Workload.Service : kind < 4 ? Workload.Request : Workload.Batch,
    urgency: kind === 1 ? Urgency.Urgent : Urgency.Normal,
    size: { cpuMilli: 1_000 + kind * 400, memoryMb: 2_048 + kind % 3 * 2_048, accelerators: 0 },
    runtimeMs: 100,
    submittedMs: nowMs,
    startByMs: kind === 2 ? nowMs + 3_600_000 : undefined,
    group: isService ? `service-${random.integerBelow(20)}` : undefined,
    groupSize: isService ? 100 : undefined,
    checkpoint: kind === 5
  }
}

/** Creates the teams' quotas; every third team has an upper limit of an equal part of the slots. */
function createQuotas (totalSlots: number): TeamQuota[] {
  const quotas: TeamQuota[] = []
  for (let team = 0; team < TEAMS; team++) {
    const tasks = team % 3 === 0 ? Math.ceil(totalSlots / TEAMS) : Infinity
    quotas.push({ team: `team-${team}`, share: 1 + team % 5, allotment: { ...UNLIMITED_ALLOTMENT, tasks } })
  }
  return quotas
}
