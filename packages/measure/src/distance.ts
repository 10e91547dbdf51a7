/**
 * Measures over time how far the teams' usage is from their fair shares.
 */
import { Workload } from '@fireflymount/protocol/workload'
import type { Arrival, TeamDemand } from './simulation.js'
import { Simulation } from './simulation.js'
import { SHARE_FIRST, WAITING_FIRST, createArrivals, createQuotas } from './cases.js'
import { createSchedulerFactories, createWorkers, prepareScheduler } from './fleet.js'
import { Random } from './random.js'

const UNTIL_MS = 180_000
const WORKERS = 24
const TOTAL_SLOTS = WORKERS * 8
const SHARES = { winders: 4, wardens: 3, estates: 2, recordings: 1 }

/** How far the teams' usage is from their fair shares at one sampled second (`atS`). */
export interface DistancePoint {
  readonly scheduler: string
  readonly atS: number
  /** Half the sum of the teams' deviations from their fair shares, as a fraction of all slots; 0 means no deviation. */
  readonly distance: number
}

/**
 * Simulates teams with different demand, with all schedulers. The project's scheduler runs with both sets of weights.
 *
 * @param seed seed of the random arrivals
 * @returns one entry for each second and scheduler
 */
export function measureDistance (seed: number): DistancePoint[] {
  const distances: DistancePoint[] = []
  const factories = createSchedulerFactories(seed, SHARE_FIRST)
  const waitingFirst = createSchedulerFactories(seed, WAITING_FIRST)[0]!
  factories.splice(1, 0, { ...waitingFirst, name: `${waitingFirst.name}, waiting first` })
  for (const { name, create } of factories) {
    const workers = createWorkers(WORKERS)
    const scheduler = create()
    prepareScheduler(scheduler, workers, createQuotas(SHARES))
    const plan = { workers, arrivals: createArrivalMix(seed), untilMs: UNTIL_MS }
    const simulation = new Simulation(scheduler, plan, (sampled, nowMs) => {
      distances.push({ scheduler: name, atS: nowMs / 1_000, distance: computeDistance(sampled.countDemands()) })
    })
    simulation.run()
  }
  return distances
}

/** From the start, one team submits more than the shard can run; the others start and stop submitting later. */
function createArrivalMix (seed: number): Arrival[] {
  const random = new Random(seed)
  const stream = (team: string, fromMs: number, toMs: number, perS: number) => {
    const task = { kind: team, team, workload: Workload.Batch }
    return createArrivals(random, { task, fromMs, toMs, tasksPerS: perS, runtimeMs: 2_000 })
  }
  return [
    ...stream('recordings', 0, 120_000, 120),
    ...stream('winders', 10_000, 100_000, 60),
    ...stream('wardens', 30_000, 150_000, 30),
    ...stream('estates', 60_000, 180_000, 25)
  ]
}

function computeDistance (demands: ReadonlyMap<string, TeamDemand>): number {
  const fairShares = computeFairShares(demands)
  let deviation = 0
  for (const [team, { running }] of demands) deviation += Math.abs(running - fairShares.get(team)!)
  return deviation / 2 / TOTAL_SLOTS
}

/**
 * Divides all slots between the teams in proportion to their shares. No team gets more than its demand; the slots
 * that a team does not need go to the others.
 *
 * @param demands running and waiting tasks by team
 * @returns slots by team
 */
export function computeFairShares (demands: ReadonlyMap<string, TeamDemand>): Map<string, number> {
  const fairShares = new Map<string, number>()
  let remaining = [...demands.keys()]
  let freeSlots = TOTAL_SLOTS
  while (remaining.length > 0) {
    const shares = remaining.reduce((sum, team) => sum + shareOf(team), 0)
    const slotsPerShare = freeSlots / shares
    const satisfied = remaining.filter(team => demandOf(demands, team) <= slotsPerShare * shareOf(team))
    const settled = satisfied.length === 0 ? remaining : satisfied
    for (const team of settled) {
      const granted = Math.min(demandOf(demands, team), slotsPerShare * shareOf(team))
      fairShares.set(team, granted)
      freeSlots -= granted
    }
    remaining = remaining.filter(team => !fairShares.has(team))
  }
  return fairShares
}

function shareOf (team: string): number {
  return SHARES[team as keyof typeof SHARES]
}

function demandOf (demands: ReadonlyMap<string, TeamDemand>, team: string): number {
  const { running, waiting } = demands.get(team)!
  return running + waiting
}
