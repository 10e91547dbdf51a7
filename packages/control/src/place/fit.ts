/**
 * Chooses workers for the tasks of a step: those with the lowest score. The score of a worker is the sum of:
 *
 * - the expected duration there, relative to a typical worker on the rack of the task's data. This term has by far the highest
 *   weight;
 * - for normal tasks: the shares of CPU, memory and accelerators that would remain free, and half the difference between the
 *   first two;
 * - for best-effort tasks: the number of best-effort tasks on the worker, and 5 if serving tasks run there. The share of the CPU
 *   that would remain free is subtracted.
 */
import { fitsResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Step } from '../model/job.js'

/** A worker as placement sees it. `free` changes during a scheduling round. */
export interface Candidate {
  readonly id: string
  readonly rack: string
  readonly labels: readonly string[]
  readonly capacity: Resources
  free: Resources
  /** Expected duration of a task relative to that on a typical worker; 1 means equally fast. */
  readonly slowness: number
  /** Serving tasks, which are those with a latency target, run on the worker. */
  readonly hasServingTasks: boolean
  /** Number of best-effort tasks on the worker. */
  readonly bestEffortCount: number
}

/** Settings of the placement. */
export interface PlacementSettings {
  /**
   * Factor on the duration of a task that does not run on the rack of its data. Placement applies it to each member of a gang in
   * the same way; it does not take into account whether the gang spans several racks.
   */
  readonly farFactor: number
}

/** Weight of the difference between the free shares of CPU and memory, relative to the free shares themselves. */
const IMBALANCE_WEIGHT = 0.5
/**
 * Score added if a task takes twice as long. For comparison, a resource that stays entirely free on a worker adds 1. For a
 * best-effort task, free CPU subtracts 1 instead, and the other resources do not count.
 */
const DURATION_WEIGHT = 20
/** Any number of serving tasks on a worker counts like this many best-effort tasks when a best-effort task is placed. */
const SERVING_WEIGHT = 5

/**
 * Returns true if a worker could ever run a task of a step.
 *
 * @param step the step
 * @param labels the worker's labels
 * @param capacity the worker's total capacity
 * @returns true if labels and size fit
 */
export function isEligible (step: Step, labels: readonly string[], capacity: Resources): boolean {
  if (step.label !== '' && !labels.includes(step.label)) return false
  return fitsResources(step.size, capacity)
}

/**
 * Chooses a worker for one task.
 *
 * @param step the task's step
 * @param charge resources that the task is charged on a worker
 * @param candidates workers that may run the task
 * @param runsByWorker number of tasks of the same occurrence of the step, by worker
 * @returns the worker, or undefined if none has enough free capacity
 */
export function fitTask<C extends Candidate> (
  step: Step,
  charge: Resources,
  candidates: readonly C[],
  runsByWorker: ReadonlyMap<string, number>,
  settings: PlacementSettings
): C | undefined {
  let best: C | undefined
  let lowestScore = Infinity
  for (const candidate of candidates) {
    if (!fitsResources(charge, candidate.free)) continue
    if (step.perWorker > 0 && (runsByWorker.get(candidate.id) ?? 0) >= step.perWorker) continue
    const score = scoreOf(step, charge, candidate, settings)
    if (score >= lowestScore) continue
    best = candidate
    lowestScore = score
  }
  return best
}

/**
 * Chooses workers for a whole gang: on one rack if the step prefers it and all members fit, otherwise on any racks.
 *
 * @param count number of members
 * @returns a worker for each member, or undefined if not all fit; the candidates are left unchanged
 */
export function fitGang<C extends Candidate> (
  step: Step, charge: Resources, count: number, candidates: readonly C[], settings: PlacementSettings
): C[] | undefined {
  const groups = step.sameRack ? groupByRack(candidates) : []
  let best: C[] | undefined
  let lowestScore = Infinity
  for (const group of groups) {
    const chosen = fitMembers(step, charge, count, group, settings)
    if (chosen === undefined) continue
    const score = chosen.reduce((sum, candidate) => sum + scoreOf(step, charge, candidate, settings), 0)
    if (score >= lowestScore) continue
    best = chosen
    lowestScore = score
  }
  return best ?? fitMembers(step, charge, count, candidates, settings)
}

function fitMembers<C extends Candidate> (
  step: Step, charge: Resources, count: number, candidates: readonly C[], settings: PlacementSettings
): C[] | undefined {
  const before = new Map<C, Resources>()
  const runsByWorker = new Map<string, number>()
  const chosen: C[] = []
  for (let member = 0; member < count; member++) {
    const candidate = fitTask(step, charge, candidates, runsByWorker, settings)
    if (candidate === undefined) break
    if (!before.has(candidate)) before.set(candidate, candidate.free)
    candidate.free = subtractResources(candidate.free, charge)
    runsByWorker.set(candidate.id, (runsByWorker.get(candidate.id) ?? 0) + 1)
    chosen.push(candidate)
  }
  for (const [candidate, free] of before) candidate.free = free
  return chosen.length === count ? chosen : undefined
}

function scoreOf (step: Step, charge: Resources, candidate: Candidate, settings: PlacementSettings): number {
  const distanceFactor = step.rack !== '' && step.rack !== candidate.rack ? settings.farFactor : 1
  const { free, capacity } = candidate
  const cpu = (free.cpuMilli - charge.cpuMilli) / Math.max(1, capacity.cpuMilli)
  const memory = (free.memoryMb - charge.memoryMb) / Math.max(1, capacity.memoryMb)
  const accelerators = capacity.accelerators === 0 ? 0 : (free.accelerators - charge.accelerators) / capacity.accelerators
  const remainingScore = step.bestEffort ? -cpu : cpu + memory + accelerators + IMBALANCE_WEIGHT * Math.abs(cpu - memory)
  const interference = step.bestEffort ? candidate.bestEffortCount + (candidate.hasServingTasks ? SERVING_WEIGHT : 0) : 0
  return DURATION_WEIGHT * (distanceFactor * candidate.slowness - 1) + remainingScore + interference
}

function groupByRack<C extends Candidate> (candidates: readonly C[]): C[][] {
  const groups = new Map<string, C[]>()
  for (const candidate of candidates) {
    const group = groups.get(candidate.rack)
    if (group === undefined) groups.set(candidate.rack, [candidate])
    else group.push(candidate)
  }
  return [...groups.values()]
}
