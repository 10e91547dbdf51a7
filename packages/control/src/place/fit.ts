/**
 * Where the tasks of a step go: the quickest worker first, then the one that is left the least lopsided room.
 */
import { fitsResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Step } from '../model/job.js'

/** A worker as placement sees it. `free` is updated while one round of decisions goes on. */
export interface Site {
  readonly id: string
  readonly rack: string
  readonly labels: readonly string[]
  readonly capacity: Resources
  free: Resources
  /** Expected duration against that on a sound worker; 1 is as quick. */
  readonly slowness: number
  /** Tasks that serve users run here. */
  readonly serving: boolean
  /** Best-effort tasks that run here. */
  readonly fillers: number
}

/** How placement weighs a site. */
export interface FitTerms {
  /** Factor on the duration of a task that is away from its data, or of a gang on several racks. */
  readonly farFactor: number
}

/** Room left in one dimension counts this much against a difference between dimensions. */
const IMBALANCE_WEIGHT = 0.5
/** Weight of an expected duration twice as long, against a site that is left empty. */
const DURATION_WEIGHT = 20
/** Weight of a site where users are served, for best-effort tasks. */
const SERVING_WEIGHT = 5

/**
 * Tells whether a worker could ever run a task of a step.
 *
 * @param step the step
 * @param labels the worker's labels
 * @param capacity all of the worker's room
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
 * @param charge what the task takes of a worker's room
 * @param sites workers that may run it
 * @param taken tasks of the same occurrence of the step, by worker
 * @returns the worker, or undefined if none has room
 */
export function fitTask (
  step: Step, charge: Resources, sites: readonly Site[], taken: ReadonlyMap<string, number>, terms: FitTerms
): Site | undefined {
  let best: Site | undefined
  let least = Infinity
  for (const site of sites) {
    if (!fitsResources(charge, site.free)) continue
    if (step.perWorker > 0 && (taken.get(site.id) ?? 0) >= step.perWorker) continue
    const score = scoreOf(step, charge, site, terms)
    if (score >= least) continue
    best = site
    least = score
  }
  return best
}

/**
 * Chooses workers for a whole gang: on one rack if one has room, else anywhere.
 *
 * @param count members
 * @returns a worker for each member, or undefined if not all fit. The sites are left as they were
 */
export function fitGang (
  step: Step, charge: Resources, count: number, sites: readonly Site[], terms: FitTerms
): Site[] | undefined {
  const groups = step.sameRack ? groupByRack(sites) : []
  let best: Site[] | undefined
  let least = Infinity
  for (const group of groups) {
    const chosen = fitMembers(step, charge, count, group, terms)
    if (chosen === undefined) continue
    const score = chosen.reduce((sum, site) => sum + scoreOf(step, charge, site, terms), 0)
    if (score >= least) continue
    best = chosen
    least = score
  }
  return best ?? fitMembers(step, charge, count, sites, terms)
}

function fitMembers (
  step: Step, charge: Resources, count: number, sites: readonly Site[], terms: FitTerms
): Site[] | undefined {
  const before = new Map<Site, Resources>()
  const taken = new Map<string, number>()
  const chosen: Site[] = []
  for (let member = 0; member < count; member++) {
    const site = fitTask(step, charge, sites, taken, terms)
    if (site === undefined) break
    if (!before.has(site)) before.set(site, site.free)
    site.free = subtractResources(site.free, charge)
    taken.set(site.id, (taken.get(site.id) ?? 0) + 1)
    chosen.push(site)
  }
  for (const [site, free] of before) site.free = free
  return chosen.length === count ? chosen : undefined
}

function scoreOf (step: Step, charge: Resources, site: Site, terms: FitTerms): number {
  const far = step.rack !== '' && step.rack !== site.rack ? terms.farFactor : 1
  const left = subtractResources(site.free, charge)
  const cpu = left.cpuMilli / Math.max(1, site.capacity.cpuMilli)
  const memory = left.memoryMb / Math.max(1, site.capacity.memoryMb)
  const accelerators = site.capacity.accelerators === 0 ? 0 : left.accelerators / site.capacity.accelerators
  const room = step.bestEffort ? -cpu : cpu + memory + accelerators + IMBALANCE_WEIGHT * Math.abs(cpu - memory)
  const disturbed = step.bestEffort ? site.fillers + (site.serving ? SERVING_WEIGHT : 0) : 0
  return DURATION_WEIGHT * (far * site.slowness - 1) + room + disturbed
}

function groupByRack (sites: readonly Site[]): Site[][] {
  const groups = new Map<string, Site[]>()
  for (const site of sites) {
    const group = groups.get(site.rack)
    if (group === undefined) groups.set(site.rack, [site])
    else group.push(site)
  }
  return [...groups.values()]
}
