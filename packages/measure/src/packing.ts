/**
 * Packing and gang waiting by size of the shard.
 */
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Machine, Task } from '@fireflymount/policy/task'
import { Workload } from '@fireflymount/protocol/workload'
import type { Arrival } from './arena.js'
import type { Contender } from './fleet.js'
import { Arena } from './arena.js'
import { createArrivals, createClaims, createTask } from './cases.js'
import { createContenders, createMachines, prepare } from './fleet.js'
import { Random } from './random.js'

const SIZES = [10, 24, 48, 100, 300]
const REPEATS = 10
const UNTIL_MS = 400_000
const GANG_TASKS = 16
const GANG_TASK = { cpuMilli: 4_000, memoryMb: 8_192, accelerators: 0 }
const GANG_RUNTIME_MS = 10_000
/** Gangs a second for each worker, and batch tasks. */
const GANGS_PER_S = 0.005
const BATCH_PER_S = 0.14
const CLAIMS = createClaims({ patterns: 1, motifs: 1 })

/** What was measured for one scheduler and one size of shard. */
export interface Pack {
  readonly scheduler: string
  readonly workers: number
  /** Mean share of the scarcest resource in use when the first task has to wait. */
  readonly packed: number
  readonly gangP50Ms: number
  readonly gangP99Ms: number
  readonly gangs: number
  readonly gangsLeft: number
  readonly batchP99Ms: number
}

/**
 * Measures all sizes with all schedulers.
 *
 * @param seed seed of sizes and arrivals
 * @returns one line for each size and scheduler
 */
export function measurePacking (seed: number): Pack[] {
  const packs: Pack[] = []
  for (const workers of SIZES) {
    for (const contender of createContenders(seed)) packs.push(measureSize(contender, workers, seed))
  }
  return packs
}

function measureSize (contender: Contender, workers: number, seed: number): Pack {
  let packed = 0
  for (let repeat = 0; repeat < REPEATS; repeat++) packed += fill(contender.create(), workers, seed + repeat) / REPEATS
  const machines = createMachines(workers)
  const scheduler = contender.create()
  prepare(scheduler, machines, CLAIMS)
  const arrivals = createMix(workers, seed)
  const tally = new Arena(scheduler, { machines, arrivals, untilMs: UNTIL_MS }).run()
  const outcomes = new Map(tally.outcomes().map(outcome => [outcome.kind, outcome]))
  const gang = outcomes.get('gang')!
  return {
    scheduler: contender.name,
    workers,
    packed,
    gangP50Ms: gang.p50Ms,
    gangP99Ms: gang.p99Ms,
    gangs: gang.started / GANG_TASKS,
    gangsLeft: gang.left / GANG_TASKS,
    batchP99Ms: outcomes.get('motif')!.p99Ms
  }
}

/** Adds tasks of unlike shapes, one after the other, until one has to wait. */
function fill (scheduler: Scheduler, workers: number, seed: number): number {
  const machines = createMachines(workers, { slots: 16 })
  prepare(scheduler, machines, CLAIMS)
  const random = new Random(seed)
  for (let sequence = 0; scheduler.waiting() === 0; sequence++) {
    const size = { cpuMilli: 500 * (1 + random.below(8)), memoryMb: 512 * (1 + random.below(18)), accelerators: 0 }
    const task = createTask(`t${sequence}`, { kind: 'motif', team: 'motifs', workload: Workload.Batch, size })
    scheduler.enqueue(task, 0)
    scheduler.decide(0, 1)
  }
  return scarcest(scheduler, machines)
}

function scarcest (scheduler: Scheduler, machines: readonly Machine[]): number {
  const used = scheduler.used('motifs')
  let cpuMilli = 0
  let memoryMb = 0
  let slots = 0
  for (const machine of machines) {
    cpuMilli += machine.capacity.cpuMilli
    memoryMb += machine.capacity.memoryMb
    slots += machine.slots
  }
  return Math.max(used.cpuMilli / cpuMilli, used.memoryMb / memoryMb, used.tasks / slots)
}

function createMix (workers: number, seed: number): Arrival[] {
  const random = new Random(seed)
  const task = { kind: 'motif', team: 'motifs', workload: Workload.Batch, size: GANG_TASK }
  const arrivals = createArrivals(random, { task, fromMs: 0, toMs: UNTIL_MS, perS: workers * BATCH_PER_S, runtimeMs: 20_000 })
  const gapMs = 1_000 / (workers * GANGS_PER_S)
  for (let atMs = random.exponential(gapMs); atMs < UNTIL_MS; atMs += random.exponential(gapMs)) {
    arrivals.push({ atMs, tasks: createGang(`gang-${arrivals.length}`, atMs), runtimeMs: GANG_RUNTIME_MS })
  }
  return arrivals
}

function createGang (group: string, submittedMs: number): Task[] {
  const tasks: Task[] = []
  for (let member = 0; member < GANG_TASKS; member++) {
    tasks.push(createTask(`${group}-${member}`, {
      kind: 'gang',
      team: 'patterns',
      workload: Workload.Gang,
      size: GANG_TASK,
      runtimeMs: GANG_RUNTIME_MS,
      submittedMs,
      group,
      groupSize: GANG_TASKS
    }))
  }
  return tasks
}
