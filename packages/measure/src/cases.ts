/**
 * Simulated cases in which the waiting times of different schedulers are compared.
 */
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { TeamQuota, Task } from '@fireflymount/policy/task'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { Arrival, SimulationPlan } from './simulation.js'
import { UNLIMITED_ALLOTMENT, createWorkers, prepareScheduler } from './fleet.js'
import { Random } from './random.js'

const LOOKUP_START_TIMEOUT_MS = 2_000

/** A case, which can be simulated with any scheduler. */
export interface WaitingCase {
  readonly name: string
  readonly quotas: readonly TeamQuota[]
  /** Scoring weights of the upstream. */
  readonly weights: { waiting: number, share: number, packing: number }
  readonly createPlan: (create: () => Scheduler) => SimulationPlan
}

/** Weights that favour short waiting times, as the deployment in Kyushu requires. */
export const WAITING_FIRST = { waiting: 3, share: 1, packing: 1 }
/** Weights that favour closeness to the teams' shares, as the deployment in Mauritius requires. */
export const SHARE_FIRST = { waiting: 1, share: 3, packing: 1 }

/** A stream of tasks of one kind that arrive at a constant mean rate. */
interface TaskStream {
  readonly task: Partial<Task> & Pick<Task, 'kind' | 'team' | 'workload'>
  readonly fromMs: number
  readonly toMs: number
  readonly tasksPerS: number
  /** Mean of the actual run time, which varies by ±50 %. Tasks also declare it, unless `task` declares another. */
  readonly runtimeMs: number
  /** Time after its arrival within which a task must start; unlimited if absent. */
  readonly startTimeoutMs?: number
  /** Actual resource usage as a multiple of the declared size; see Arrival. */
  readonly overuse?: number
}

/**
 * Creates all cases.
 *
 * @param seed seed of the random arrivals
 * @returns the cases
 */
export function createCases (seed: number): WaitingCase[] {
  return [
    lookupBurst(seed),
    lookupOverload(seed),
    longStudy(seed),
    cancellationWave(seed),
    misdeclaredTasks(seed),
    failingWorkers(seed),
    ownerCrash(seed)
  ]
}

/**
 * Creates the arrivals of a stream, with exponentially distributed intervals.
 *
 * @param random random number generator
 * @param stream the stream
 * @returns the arrivals
 */
export function createArrivals (random: Random, stream: TaskStream): Arrival[] {
  const arrivals: Arrival[] = []
  const intervalMs = 1_000 / stream.tasksPerS
  for (let atMs = stream.fromMs + random.exponential(intervalMs); atMs < stream.toMs; atMs += random.exponential(intervalMs)) {
    const runtimeMs = stream.runtimeMs * (0.5 + random.uniform())
    const startByMs = stream.startTimeoutMs === undefined ? undefined : atMs + stream.startTimeoutMs
    const id = `${stream.task.kind}-${stream.task.team}-${stream.fromMs}-${arrivals.length}`
    const task = createTask(id, { runtimeMs: stream.runtimeMs, ...stream.task, submittedMs: atMs, startByMs })
    arrivals.push({ atMs, tasks: [task], runtimeMs, overuse: stream.overuse })
  }
  return arrivals
}

/**
 * Creates a task that needs one core.
 *
 * @param id id of the task
 * @param overrides fields that differ from the defaults
 * @returns the task
 */
export function createTask (id: string, overrides: Partial<Task> & Pick<Task, 'kind' | 'team' | 'workload'>): Task {
  return {
    id,
    urgency: Urgency.Normal,
    size: { cpuMilli: 1_000, memoryMb: 2_048, accelerators: 0 },
    runtimeMs: 100,
    submittedMs: 0,
    checkpoint: false,
    ...overrides
  }
}

/**
 * Creates quotas of teams that have shares and no upper limits.
 *
 * @param shares share of each team
 * @returns the quotas
 */
export function createQuotas (shares: Readonly<Record<string, number>>): TeamQuota[] {
  return Object.entries(shares).map(([team, share]) => ({ team, share, allotment: UNLIMITED_ALLOTMENT }))
}

const TEAM_QUOTAS = createQuotas({ guild: 2, circle: 1, village: 1, ledger: 1 })
const PREVIEW_TASK = { kind: 'preview', team: 'guild', workload: Workload.Request, urgency: Urgency.Urgent }
const LOOKUP_TASK = { kind: 'lookup', team: 'circle', workload: Workload.Request }
const LOOKUP_STREAM = { task: LOOKUP_TASK, runtimeMs: 200, startTimeoutMs: LOOKUP_START_TIMEOUT_MS }
const YARDAGE_TASK = { kind: 'yardage', team: 'village', workload: Workload.Batch }

/** Normal traffic of the upstream bee-planner: previews, lookups, and yardage estimates that alone almost fill the workers. */
function createBaseTraffic (random: Random, toMs: number): Arrival[] {
  return [
    ...createArrivals(random, { task: PREVIEW_TASK, fromMs: 0, toMs, tasksPerS: 60, runtimeMs: 150 }),
    ...createArrivals(random, { ...LOOKUP_STREAM, fromMs: 0, toMs, tasksPerS: 150 }),
    ...createArrivals(random, { task: YARDAGE_TASK, fromMs: 0, toMs, tasksPerS: 45, runtimeMs: 4_000 })
  ]
}

/** A burst that adds almost five times the normal rate of lookups, which the workers can serve if batch tasks wait. */
function lookupBurst (seed: number): WaitingCase {
  const random = new Random(seed)
  const arrivals = [
    ...createBaseTraffic(random, 60_000),
    ...createArrivals(random, { ...LOOKUP_STREAM, fromMs: 20_000, toMs: 40_000, tasksPerS: 700 })
  ]
  const createPlan = () => ({ workers: createWorkers(24), arrivals, untilMs: 60_000 })
  return { name: 'evening swap rush', quotas: TEAM_QUOTAS, weights: WAITING_FIRST, createPlan }
}

/** A burst of more lookups than all workers together can serve. */
function lookupOverload (seed: number): WaitingCase {
  const random = new Random(seed)
  const arrivals = [
    ...createBaseTraffic(random, 60_000),
    ...createArrivals(random, { ...LOOKUP_STREAM, fromMs: 20_000, toMs: 40_000, tasksPerS: 1_400 })
  ]
  const createPlan = () => ({ workers: createWorkers(24), arrivals, untilMs: 60_000 })
  return { name: 'lookups beyond capacity', quotas: TEAM_QUOTAS, weights: WAITING_FIRST, createPlan }
}

/** Long batch tasks with checkpoints fill all accelerators; urgent requests of another team arrive. */
function longStudy (seed: number): WaitingCase {
  const random = new Random(seed)
  const study = { kind: 'drift-study', team: 'regulation', workload: Workload.Batch, checkpoint: true }
  const booking = { kind: 'booking', team: 'wardens', workload: Workload.Request, urgency: Urgency.Urgent }
  const size = { cpuMilli: 16_000, memoryMb: 65_536, accelerators: 1 }
  const arrivals = [
    ...createArrivals(random, { task: { ...study, size }, fromMs: 0, toMs: 1_000, tasksPerS: 600, runtimeMs: 30_000 }),
    ...createArrivals(random, { task: booking, fromMs: 2_000, toMs: 90_000, tasksPerS: 40, runtimeMs: 200 })
  ]
  const workers = createWorkers(10, { capacity: { cpuMilli: 128_000, memoryMb: 524_288, accelerators: 8 } })
  const createPlan = () => ({ workers, arrivals, untilMs: 90_000 })
  return { name: 'long study beside bookings', quotas: createQuotas({ regulation: 1, wardens: 1 }), weights: SHARE_FIRST, createPlan }
}

/** The caller cancels nine in ten of its waiting batch tasks at the same time. */
function cancellationWave (seed: number): WaitingCase {
  const random = new Random(seed)
  const yardage = createArrivals(random, { task: YARDAGE_TASK, fromMs: 0, toMs: 5_000, tasksPerS: 2_000, runtimeMs: 2_000 })
  const wave = yardage.map((arrival, position) => position % 10 === 0 ? arrival : { ...arrival, cancelAtMs: 10_000 })
  const order = { ...YARDAGE_TASK, team: 'circle', kind: 'block-order' }
  const arrivals = [
    ...wave,
    ...createArrivals(random, { task: PREVIEW_TASK, fromMs: 0, toMs: 30_000, tasksPerS: 60, runtimeMs: 150 }),
    ...createArrivals(random, { task: order, fromMs: 0, toMs: 30_000, tasksPerS: 20, runtimeMs: 500 })
  ]
  const createPlan = () => ({ workers: createWorkers(24), arrivals, untilMs: 60_000 })
  return { name: 'cancellation wave', quotas: TEAM_QUOTAS, weights: WAITING_FIRST, createPlan }
}

/** Run times are declared ten times too long or too short, and one team uses ten times the size that it declares. */
function misdeclaredTasks (seed: number): WaitingCase {
  const random = new Random(seed)
  const lookup = { ...LOOKUP_TASK, runtimeMs: 2_000 }
  const yardage = { ...YARDAGE_TASK, runtimeMs: 400, size: { cpuMilli: 500, memoryMb: 1_024, accelerators: 0 } }
  const order = { kind: 'block-order', team: 'guild', workload: Workload.Batch, runtimeMs: 10_000 }
  const arrivals = [
    ...createArrivals(random, { task: PREVIEW_TASK, fromMs: 0, toMs: 60_000, tasksPerS: 60, runtimeMs: 150 }),
    ...createArrivals(random, { ...LOOKUP_STREAM, task: lookup, fromMs: 0, toMs: 60_000, tasksPerS: 300 }),
    ...createArrivals(random, { task: yardage, fromMs: 0, toMs: 60_000, tasksPerS: 45, runtimeMs: 4_000, overuse: 10 }),
    ...createArrivals(random, { task: order, fromMs: 0, toMs: 60_000, tasksPerS: 20, runtimeMs: 1_000 })
  ]
  const createPlan = () => ({ workers: createWorkers(24), arrivals, untilMs: 60_000 })
  return { name: 'declared sizes ten times off', quotas: TEAM_QUOTAS, weights: WAITING_FIRST, createPlan }
}

/** Every run fails on two of the 24 workers. */
function failingWorkers (seed: number): WaitingCase {
  const arrivals = createBaseTraffic(new Random(seed), 60_000)
  const failing = new Set(['w3', 'w11'])
  const createPlan = () => ({ workers: createWorkers(24), arrivals, untilMs: 60_000, failing })
  return { name: 'a tenth of the workers failing', quotas: TEAM_QUOTAS, weights: WAITING_FIRST, createPlan }
}

/** The shard's owner crashes, and the next owner takes over after one second. */
function ownerCrash (seed: number): WaitingCase {
  const arrivals = createBaseTraffic(new Random(seed), 60_000)
  const workers = createWorkers(24)
  const createPlan = (create: () => Scheduler) => ({
    workers,
    arrivals,
    untilMs: 60_000,
    ownerCrash: { atMs: 30_000, downtimeMs: 1_000, create: () => createNextOwner(create, workers) }
  })
  return { name: "owner's death", quotas: TEAM_QUOTAS, weights: WAITING_FIRST, createPlan }
}

function createNextOwner (create: () => Scheduler, workers: SimulationPlan['workers']): Scheduler {
  const scheduler = create()
  prepareScheduler(scheduler, workers, TEAM_QUOTAS)
  return scheduler
}
