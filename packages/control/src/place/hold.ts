/**
 * Rules for holding workers for tasks that do not fit into the free capacity, and for preempting runs. Runs are preempted on held
 * workers or, for urgent tasks for which no worker is held, on other workers. While a worker is held, what ranks lower is placed on
 * it in the same round only if it does not delay the task for which it is held; each round chooses again. This prevents the starvation of large tasks by small
 * ones that fill every gap. The workers that lack the least capacity are held, and runs that lose little work by a stop are
 * preempted. (The lease of a worker, which the platform also calls a hold, is something else.)
 */
import { addResources, fitsResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Step } from '../model/job.js'
import { dominantShareOf } from './limit.js'
import type { Candidate } from './fit.js'

/** A task that needs at least this share of a worker is large. */
const LARGE_TASK_SHARE = 0.25
/**
 * Added to the estimated time until a worker is empty, because tasks run longer than estimated. It is also part of the
 * slack below which an urgent task preempts; see `mayPreempt`.
 */
const HOLD_MARGIN_MS = 1000
/** Urgent tasks with a slack of PREEMPT_SLACK_FACTOR * `stopMs` + HOLD_MARGIN_MS or more wait for runs to end by themselves. */
const PREEMPT_SLACK_FACTOR = 3
/** Maximum share of the workers of an upstream that are held at once. */
const MAX_HELD_SHARE = 0.25

/** A run that may be preempted: stopped to free capacity. */
export interface PreemptibleRun<R> {
  readonly run: R
  readonly charge: Resources
  /** Measure of the work lost by a stop: the CPU charged for the run, in thousandths of a core. */
  readonly stopCost: number
}

/** A task that could not be placed. */
export interface UnplacedTask {
  /** The task runs until its job is cancelled. */
  readonly longRunning: boolean
  /**
   * The task is urgent, that is, its queue has the highest priority of the upstream; and its job is within its workspace's rate.
   */
  readonly urgentWithinRate: boolean
  readonly charge: Resources
  /** Time until the task has to start. */
  readonly slackMs: number
}

/**
 * Returns true if a worker may be held for a task. Workers are held immediately for long-running tasks. For large urgent tasks
 * within the rate of their workspace they are held as late as possible.
 *
 * @param capacity the worker's total capacity
 * @param timeToEmptyMs time until the worker is empty if nothing more is placed on it
 */
export function mayHold (task: UnplacedTask, capacity: Resources, timeToEmptyMs: number): boolean {
  if (task.longRunning) return true
  return task.urgentWithinRate && task.slackMs <= timeToEmptyMs + HOLD_MARGIN_MS && isLarge(task.charge, capacity)
}

/**
 * Returns false if `mayHold` is certainly false for each of a group of workers.
 *
 * @param leastCapacity the smallest capacity of the workers in each dimension
 * @param longestToEmptyMs the longest time until one of the workers is empty
 */
export function mayHoldAny (task: UnplacedTask, leastCapacity: Resources, longestToEmptyMs: () => number): boolean {
  if (task.longRunning) return true
  return task.urgentWithinRate && isLarge(task.charge, leastCapacity) && task.slackMs <= longestToEmptyMs() + HOLD_MARGIN_MS
}

/** Maximum number of workers of an upstream that may be held at once. */
export function maxHoldsOf (workerCount: number): number {
  return Math.max(1, Math.floor(MAX_HELD_SHARE * workerCount))
}

/**
 * Returns true if runs of lower-priority queues may be stopped for a task. This is the case for long-running tasks, which must
 * not wait at all. It is also the case for urgent tasks within the rate of their workspace if their slack is below
 * PREEMPT_SLACK_FACTOR * `stopMs` + HOLD_MARGIN_MS. The slack of a late task is negative. For a long-running task
 * that is not urgent within the rate, the dispatcher stops runs only on workers that it holds for the task.
 *
 * @param stopMs maximum time that a worker takes to stop a run
 */
export function mayPreempt (task: UnplacedTask, stopMs: number): boolean {
  if (task.longRunning) return true
  return task.urgentWithinRate && task.slackMs < PREEMPT_SLACK_FACTOR * stopMs + HOLD_MARGIN_MS
}

/**
 * Chooses workers to hold: those that have the largest share of the needed capacity free.
 *
 * @param count number of tasks that could not be placed
 * @param candidates workers that may run the step
 */
export function chooseWorkersToHold<C extends Candidate> (
  step: Step, charge: Resources, count: number, candidates: readonly C[]
): C[] {
  const eligible: Array<{ candidate: C, missingShare: number }> = []
  for (const candidate of candidates) {
    if (fitsResources(charge, candidate.capacity)) eligible.push({ candidate, missingShare: missingShareOf(charge, candidate) })
  }
  eligible.sort((left, right) => left.missingShare - right.missingShare || (left.candidate.id < right.candidate.id ? -1 : 1))
  // With at most one task per worker, each task needs a worker of its own. Otherwise one worker is held for two tasks, rounded up.
  return eligible.slice(0, step.perWorker === 1 ? count : Math.ceil(count / 2)).map(({ candidate }) => candidate)
}

/**
 * Returns the part of a worker's free capacity that other tasks may take without delaying a task for which the worker is held. The
 * task starts once so many runs have ended that it fits; the rest of the capacity is not needed for it.
 *
 * @param charge capacity that the task needs
 * @param free free capacity of the worker
 * @param endingRuns charges of the runs on the worker that are expected to end, the earliest first
 */
export function spareBeside (charge: Resources, free: Resources, endingRuns: readonly Resources[]): Resources {
  let available = free
  for (const ending of endingRuns) {
    if (fitsResources(charge, available)) break
    available = addResources(available, ending)
  }
  const rest = subtractResources(available, charge)
  const spareOf = (restOf: number, freeOf: number): number => Math.max(0, Math.min(restOf, freeOf))
  return {
    cpuMilli: spareOf(rest.cpuMilli, free.cpuMilli),
    memoryMb: spareOf(rest.memoryMb, free.memoryMb),
    accelerators: spareOf(rest.accelerators, free.accelerators)
  }
}

/**
 * Chooses the runs to stop on a worker, in order of increasing lost work.
 *
 * @returns the runs, or none if the task fits without a stop, or if stopping all of them would not free enough capacity
 */
export function chooseRunsToStop<R> (charge: Resources, free: Resources, preemptibleRuns: ReadonlyArray<PreemptibleRun<R>>): R[] {
  const chosen: R[] = []
  let available = free
  for (const preemptibleRun of [...preemptibleRuns].sort((left, right) => left.stopCost - right.stopCost)) {
    if (fitsResources(charge, available)) break
    available = addResources(available, preemptibleRun.charge)
    chosen.push(preemptibleRun.run)
  }
  return fitsResources(charge, available) ? chosen : []
}

function isLarge (charge: Resources, capacity: Resources): boolean {
  return dominantShareOf(charge, capacity) >= LARGE_TASK_SHARE
}

/** Share of the needed capacity that a worker lacks, in its scarcest dimension. */
function missingShareOf (charge: Resources, candidate: Candidate): number {
  return Math.max(
    (charge.cpuMilli - candidate.free.cpuMilli) / Math.max(1, charge.cpuMilli),
    (charge.memoryMb - candidate.free.memoryMb) / Math.max(1, charge.memoryMb),
    (charge.accelerators - candidate.free.accelerators) / Math.max(1, charge.accelerators)
  )
}
