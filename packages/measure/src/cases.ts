/**
 * Courses of arrivals: the cases in which waiting times are compared.
 */
import type { Scheduler } from '@fireflymount/policy/scheduler'
import type { Claim, Task } from '@fireflymount/policy/task'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { Arrival, Course } from './arena.js'
import { UNLIMITED, createMachines, prepare } from './fleet.js'
import { Random } from './random.js'

const LOOKUP_DEADLINE_MS = 2_000

/** One case, for any scheduler. */
export interface Case {
  readonly name: string
  readonly claims: readonly Claim[]
  /** What the upstream weighs. */
  readonly weights: { waiting: number, share: number, packing: number }
  readonly course: (create: () => Scheduler) => Course
}

/** Waiting time first, as Hakata asks for. */
export const WAITING_FIRST = { waiting: 3, share: 1, packing: 1 }
/** Closeness to share first, as the cooperative asks for. */
export const SHARE_FIRST = { waiting: 1, share: 3, packing: 1 }

/** A stream of like tasks. */
interface Stream {
  readonly task: Partial<Task> & Pick<Task, 'kind' | 'team' | 'workload'>
  readonly fromMs: number
  readonly toMs: number
  readonly perS: number
  readonly runtimeMs: number
  readonly deadlineMs?: number
  readonly overuse?: number
}

/**
 * All cases.
 *
 * @param seed seed of the arrivals
 * @returns the cases
 */
export function createCases (seed: number): Case[] {
  return [
    swapRush(seed),
    beyondCapacity(seed),
    longStudy(seed),
    cancellationWave(seed),
    wrongSizes(seed),
    failingWorkers(seed),
    ownerDeath(seed)
  ]
}

/**
 * Builds the arrivals of a stream, exponentially spaced.
 *
 * @param random random numbers
 * @param stream the stream
 * @returns the arrivals
 */
export function createArrivals (random: Random, stream: Stream): Arrival[] {
  const arrivals: Arrival[] = []
  const gapMs = 1_000 / stream.perS
  for (let atMs = stream.fromMs + random.exponential(gapMs); atMs < stream.toMs; atMs += random.exponential(gapMs)) {
    const runtimeMs = stream.runtimeMs * (0.5 + random.uniform())
    const startByMs = stream.deadlineMs === undefined ? undefined : atMs + stream.deadlineMs
    const id = `${stream.task.kind}-${stream.task.team}-${stream.fromMs}-${arrivals.length}`
    const task = createTask(id, { runtimeMs: stream.runtimeMs, ...stream.task, submittedMs: atMs, startByMs })
    arrivals.push({ atMs, tasks: [task], runtimeMs, overuse: stream.overuse })
  }
  return arrivals
}

/**
 * Builds a task of one core.
 *
 * @param id its id
 * @param part what differs
 * @returns the task
 */
export function createTask (id: string, part: Partial<Task> & Pick<Task, 'kind' | 'team' | 'workload'>): Task {
  return {
    id,
    urgency: Urgency.Normal,
    size: { cpuMilli: 1_000, memoryMb: 2_048, accelerators: 0 },
    runtimeMs: 100,
    submittedMs: 0,
    checkpoint: false,
    ...part
  }
}

/**
 * Gives teams shares without upper limits.
 *
 * @param shares share by team
 * @returns the claims
 */
export function createClaims (shares: Readonly<Record<string, number>>): Claim[] {
  return Object.entries(shares).map(([team, share]) => ({ team, share, allotment: UNLIMITED }))
}

const BEES = createClaims({ guild: 2, circle: 1, village: 1, ledger: 1 })
const PREVIEW = { kind: 'preview', team: 'guild', workload: Workload.Request, urgency: Urgency.Urgent }
const LOOKUP = { kind: 'lookup', team: 'circle', workload: Workload.Request }
const LOOKUPS = { task: LOOKUP, runtimeMs: 200, deadlineMs: LOOKUP_DEADLINE_MS }
const YARDAGE = { kind: 'yardage', team: 'village', workload: Workload.Batch }

/** Everyday traffic on bee-planner: previews, lookups, and yardage estimates that alone fill the workers. */
function everyday (random: Random, toMs: number): Arrival[] {
  return [
    ...createArrivals(random, { task: PREVIEW, fromMs: 0, toMs, perS: 60, runtimeMs: 150 }),
    ...createArrivals(random, { ...LOOKUPS, fromMs: 0, toMs, perS: 150 }),
    ...createArrivals(random, { task: YARDAGE, fromMs: 0, toMs, perS: 45, runtimeMs: 4_000 })
  ]
}

function swapRush (seed: number): Case {
  const random = new Random(seed)
  const arrivals = [
    ...everyday(random, 60_000),
    ...createArrivals(random, { ...LOOKUPS, fromMs: 20_000, toMs: 40_000, perS: 700 })
  ]
  const course = () => ({ machines: createMachines(24), arrivals, untilMs: 60_000 })
  return { name: 'evening swap rush', claims: BEES, weights: WAITING_FIRST, course }
}

/** More lookups than all workers can serve. */
function beyondCapacity (seed: number): Case {
  const random = new Random(seed)
  const arrivals = [
    ...everyday(random, 60_000),
    ...createArrivals(random, { ...LOOKUPS, fromMs: 20_000, toMs: 40_000, perS: 1_400 })
  ]
  const course = () => ({ machines: createMachines(24), arrivals, untilMs: 60_000 })
  return { name: 'lookups beyond capacity', claims: BEES, weights: WAITING_FIRST, course }
}

function longStudy (seed: number): Case {
  const random = new Random(seed)
  const study = { kind: 'drift-study', team: 'regulation', workload: Workload.Batch, checkpoint: true }
  const booking = { kind: 'booking', team: 'wardens', workload: Workload.Request, urgency: Urgency.Urgent }
  const size = { cpuMilli: 16_000, memoryMb: 65_536, accelerators: 1 }
  const arrivals = [
    ...createArrivals(random, { task: { ...study, size }, fromMs: 0, toMs: 1_000, perS: 600, runtimeMs: 30_000 }),
    ...createArrivals(random, { task: booking, fromMs: 2_000, toMs: 90_000, perS: 40, runtimeMs: 200 })
  ]
  const machines = createMachines(10, { capacity: { cpuMilli: 128_000, memoryMb: 524_288, accelerators: 8 } })
  const course = () => ({ machines, arrivals, untilMs: 90_000 })
  return { name: 'long study beside bookings', claims: createClaims({ regulation: 1, wardens: 1 }), weights: SHARE_FIRST, course }
}

function cancellationWave (seed: number): Case {
  const random = new Random(seed)
  const yardage = createArrivals(random, { task: YARDAGE, fromMs: 0, toMs: 5_000, perS: 2_000, runtimeMs: 2_000 })
  const wave = yardage.map((arrival, position) => position % 10 === 0 ? arrival : { ...arrival, cancelMs: 10_000 })
  const order = { ...YARDAGE, team: 'circle', kind: 'block-order' }
  const arrivals = [
    ...wave,
    ...createArrivals(random, { task: PREVIEW, fromMs: 0, toMs: 30_000, perS: 60, runtimeMs: 150 }),
    ...createArrivals(random, { task: order, fromMs: 0, toMs: 30_000, perS: 20, runtimeMs: 500 })
  ]
  const course = () => ({ machines: createMachines(24), arrivals, untilMs: 60_000 })
  return { name: 'cancellation wave', claims: BEES, weights: WAITING_FIRST, course }
}

/** Run times declared ten times too long or too short, sizes ten times too small for one team. */
function wrongSizes (seed: number): Case {
  const random = new Random(seed)
  const lookup = { ...LOOKUP, runtimeMs: 2_000 }
  const yardage = { ...YARDAGE, runtimeMs: 400, size: { cpuMilli: 500, memoryMb: 1_024, accelerators: 0 } }
  const order = { kind: 'block-order', team: 'guild', workload: Workload.Batch, runtimeMs: 10_000 }
  const arrivals = [
    ...createArrivals(random, { task: PREVIEW, fromMs: 0, toMs: 60_000, perS: 60, runtimeMs: 150 }),
    ...createArrivals(random, { ...LOOKUPS, task: lookup, fromMs: 0, toMs: 60_000, perS: 300 }),
    ...createArrivals(random, { task: yardage, fromMs: 0, toMs: 60_000, perS: 45, runtimeMs: 4_000, overuse: 10 }),
    ...createArrivals(random, { task: order, fromMs: 0, toMs: 60_000, perS: 20, runtimeMs: 1_000 })
  ]
  const course = () => ({ machines: createMachines(24), arrivals, untilMs: 60_000 })
  return { name: 'declared sizes ten times off', claims: BEES, weights: WAITING_FIRST, course }
}

function failingWorkers (seed: number): Case {
  const arrivals = everyday(new Random(seed), 60_000)
  const failing = new Set(['w3', 'w11'])
  const course = () => ({ machines: createMachines(24), arrivals, untilMs: 60_000, failing })
  return { name: 'a tenth of the workers failing', claims: BEES, weights: WAITING_FIRST, course }
}

function ownerDeath (seed: number): Case {
  const arrivals = everyday(new Random(seed), 60_000)
  const machines = createMachines(24)
  const course = (create: () => Scheduler) => ({
    machines,
    arrivals,
    untilMs: 60_000,
    death: { atMs: 30_000, gapMs: 1_000, create: () => createOwner(create, machines) }
  })
  return { name: "owner's death", claims: BEES, weights: WAITING_FIRST, course }
}

function createOwner (create: () => Scheduler, machines: Course['machines']): Scheduler {
  const scheduler = create()
  prepare(scheduler, machines, BEES)
  return scheduler
}
