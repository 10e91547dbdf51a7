/**
 * The cell and the jobs of the owner's load model: two upstreams and five classes of jobs, of the size of the grown deployments.
 */
import type { Configuration, Queue } from '@fireflymount/control/model/configuration'
import type { Job, Step } from '@fireflymount/control/model/job'
import type { Worker } from '@fireflymount/control/model/worker'
import type { Resources } from '@fireflymount/protocol/resources'
import type { Random } from '../random.js'

const PLANNER = 'planner'
const STUDIO = 'studio'
/** Advice with short and with long calls; tickets are valid for 2 s. */
const SHORT_ADVICE = { callMs: 18.57, workerMs: 0.19, validMs: 2000 }
const LONG_ADVICE = { callMs: 100, workerMs: 3, validMs: 2000 }
const MB_PER_MILLI_CPU = 1.5
const WORKSPACES = 20
/** Share of the steps that need a label that half of the workers have. */
const LABEL_SHARE = 0.1
/** Share of the steps with a limit of tasks per worker. */
const SPREAD_SHARE = 0.1
const NO_LIMIT: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

interface Pool {
  readonly upstream: string
  readonly workers: number
  readonly capacity: Resources
  readonly workersPerRack: number
}

const POOLS: readonly Pool[] = [
  { upstream: PLANNER, workers: 177, capacity: { cpuMilli: 16_000, memoryMb: 32_000, accelerators: 0 }, workersPerRack: 8 },
  { upstream: STUDIO, workers: 68, capacity: { cpuMilli: 64_000, memoryMb: 256_000, accelerators: 8 }, workersPerRack: 16 }
]

/** A class of jobs that arrive at a constant mean rate. */
interface JobClass {
  readonly queue: Queue
  readonly jobsPerS: number
  /** Probability that a job has a second step, which depends on the first. */
  readonly secondStepShare: number
  readonly tasks: number
  readonly taskMs: number
  readonly cpuMilli: number
  readonly accelerators: number
  readonly gangShare: number
  readonly checkpoints: boolean
}

const LIMITS = { host: 'h', attempts: 3, timeoutMs: 3000, open: true }

const CLASSES: readonly JobClass[] = [
  {
    queue: { ...LIMITS, name: 'preview', prefix: '/p/', upstream: PLANNER, priority: 0, stretch: 1.2, targetMs: 300, advice: SHORT_ADVICE },
    jobsPerS: 28,
    secondStepShare: 0.5,
    tasks: 10,
    taskMs: 700,
    cpuMilli: 2700,
    accelerators: 0,
    gangShare: 0,
    checkpoints: false
  }, {
    queue: { ...LIMITS, name: 'estimate', prefix: '/e/', upstream: PLANNER, priority: 2, stretch: 4, targetMs: 3000, advice: LONG_ADVICE },
    jobsPerS: 1.5,
    secondStepShare: 1,
    tasks: 18,
    taskMs: 5600,
    cpuMilli: 4500,
    accelerators: 0,
    gangShare: 0.1,
    checkpoints: true
  }, {
    queue: { ...LIMITS, name: 'render', prefix: '/r/', upstream: STUDIO, priority: 0, stretch: 2, targetMs: 1000, advice: LONG_ADVICE },
    jobsPerS: 2.8,
    secondStepShare: 0,
    tasks: 5,
    taskMs: 3600,
    cpuMilli: 31_000,
    accelerators: 4,
    gangShare: 0.3,
    checkpoints: true
  }, {
    queue: { ...LIMITS, name: 'match', prefix: '/m/', upstream: STUDIO, priority: 1, stretch: 4, targetMs: 3000, advice: SHORT_ADVICE },
    jobsPerS: 3.2,
    secondStepShare: 0,
    tasks: 20,
    taskMs: 2400,
    cpuMilli: 5600,
    accelerators: 1,
    gangShare: 0,
    checkpoints: true
  }
]

/** Ledgers run until they are cancelled. They are submitted once, when a case starts. */
const LEDGER: Queue = { ...LIMITS, name: 'ledger', prefix: '/l/', upstream: PLANNER, priority: 1, stretch: 4, targetMs: 2500, advice: undefined }
const LEDGER_JOBS = 20
const LEDGER_TASKS = 15

/** The configuration of the cell. */
export const CONFIGURATION: Configuration = {
  version: 1,
  queues: [...CLASSES.map(({ queue }) => queue), LEDGER],
  upstreams: POOLS.map(({ upstream }) => ({ name: upstream, checksRoom: false, spare: false })),
  workspaces: Array.from({ length: WORKSPACES }, (_, index) => ({ name: `t${index}`, keys: [], weight: 0, upperLimit: NO_LIMIT })),
  limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}

/** Creates the workers of all upstreams. */
export function createWorkers (): Worker[] {
  const workers: Worker[] = []
  for (const { upstream, workers: count, capacity, workersPerRack } of POOLS) {
    for (let index = 0; index < count; index++) {
      workers.push({
        id: `${upstream}-${String(index).padStart(4, '0')}`,
        upstream,
        address: `10.0.0.${index}:80`,
        zone: `z${index % 3}`,
        draining: false,
        remainingMs: undefined,
        capacity,
        labels: [index % 2 === 0 ? 'a' : 'b', `r${upstream}-${Math.floor(index / workersPerRack)}`],
        born: 10,
        clockMs: 0,
        machine: `m-${upstream}-${index}`
      })
    }
  }
  return workers
}

/** A job that arrives during a case. */
export interface Arrival {
  readonly atMs: number
  readonly job: Job
}

/**
 * Creates the jobs that arrive in a case, ordered by time.
 *
 * @param durationMs length of the case
 * @param factor factor on the usual rates
 * @param startMs Unix time at which the case starts
 */
export function createArrivals (random: Random, durationMs: number, factor: number, startMs: number): Arrival[] {
  const arrivals: Arrival[] = []
  for (const jobClass of CLASSES) {
    const meanGapMs = 1000 / (jobClass.jobsPerS * factor)
    for (let atMs = random.exponential(meanGapMs); atMs < durationMs; atMs += random.exponential(meanGapMs)) {
      arrivals.push({ atMs, job: createJob(random, jobClass.queue, createSteps(random, jobClass), startMs + atMs) })
    }
  }
  for (let index = 0; index < LEDGER_JOBS; index++) {
    const step = createStep({ count: LEDGER_TASKS, size: sizeOf(1500, 0), estimateMs: 600, lasting: true })
    arrivals.push({ atMs: 0, job: createJob(random, LEDGER, [step], startMs) })
  }
  return arrivals.sort((left, right) => left.atMs - right.atMs)
}

function createSteps (random: Random, jobClass: JobClass): Step[] {
  const { tasks, taskMs, cpuMilli, accelerators, gangShare, secondStepShare, checkpoints } = jobClass
  const spread = (mean: number): number => mean * (0.5 + random.uniform())
  const gang = random.uniform() < gangShare
  const create = (after: number[]): Step => createStep({
    count: Math.max(1, Math.round(spread(tasks))),
    size: sizeOf(Math.round(spread(cpuMilli)), accelerators),
    estimateMs: Math.round(spread(taskMs)),
    after,
    checkpoints,
    gang,
    sameRack: gang,
    label: random.uniform() < LABEL_SHARE ? 'a' : '',
    perWorker: random.uniform() < SPREAD_SHARE ? 2 : 0
  })
  const steps = [create([])]
  if (random.uniform() < secondStepShare) steps.push(create([0]))
  return steps
}

function createStep (fields: Partial<Step>): Step {
  return {
    count: 1,
    size: NO_LIMIT,
    estimateMs: 0,
    after: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    label: '',
    rack: '',
    perWorker: 0,
    speculative: false,
    lasting: false,
    image: 'i',
    latencyTargetMs: 0,
    bestEffort: false,
    disruptionBudget: 0,
    ...fields
  }
}

function createJob (random: Random, queue: Queue, steps: readonly Step[], acceptedMs: number): Job {
  const digits = Array.from({ length: 16 }, () => random.integerBelow(16).toString(16))
  return {
    id: digits.join(''),
    queue: queue.name,
    upstream: queue.upstream,
    workspace: `t${random.integerBelow(WORKSPACES)}`,
    payload: 'x'.repeat(200),
    steps,
    occurrences: 0,
    firstDueMs: 0,
    intervalMs: 0,
    acceptedMs: Math.round(acceptedMs)
  }
}

function sizeOf (cpuMilli: number, accelerators: number): Resources {
  return { cpuMilli, memoryMb: Math.round(MB_PER_MILLI_CPU * cpuMilli), accelerators }
}
