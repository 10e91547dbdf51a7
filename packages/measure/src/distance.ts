/**
 * Distance of teams from their shares over time.
 */
import { Workload } from '@fireflymount/protocol/workload'
import type { Arrival, Demand } from './arena.js'
import { Arena } from './arena.js'
import { SHARE_FIRST, WAITING_FIRST, createArrivals, createClaims } from './cases.js'
import { createContenders, createMachines, prepare } from './fleet.js'
import { Random } from './random.js'

const UNTIL_MS = 180_000
const WORKERS = 24
const PLACES = WORKERS * 8
const SHARES = { winders: 4, wardens: 3, estates: 2, recordings: 1 }

/** Distance at one second. */
export interface Distance {
  readonly scheduler: string
  readonly atS: number
  /** Part of the shard that runs for the wrong team: 0 is exactly at the shares. */
  readonly distance: number
}

/**
 * Runs teams of unlike demand with all schedulers, and with both sets of weights.
 *
 * @param seed seed of arrivals
 * @returns one line for each second and scheduler
 */
export function measureDistance (seed: number): Distance[] {
  const distances: Distance[] = []
  const contenders = createContenders(seed, SHARE_FIRST)
  const waitingFirst = createContenders(seed, WAITING_FIRST)[0]!
  contenders.splice(1, 0, { ...waitingFirst, name: `${waitingFirst.name}, waiting first` })
  for (const { name, create } of contenders) {
    const machines = createMachines(WORKERS)
    const scheduler = create()
    prepare(scheduler, machines, createClaims(SHARES))
    const course = { machines, arrivals: createDemand(seed), untilMs: UNTIL_MS }
    const arena = new Arena(scheduler, course, (sampled, nowMs) => {
      distances.push({ scheduler: name, atS: nowMs / 1_000, distance: distanceOf(sampled.demands()) })
    })
    arena.run()
  }
  return distances
}

/** One team floods from the start; the others come and go. */
function createDemand (seed: number): Arrival[] {
  const random = new Random(seed)
  const stream = (team: string, fromMs: number, toMs: number, perS: number) => {
    const task = { kind: team, team, workload: Workload.Batch }
    return createArrivals(random, { task, fromMs, toMs, perS, runtimeMs: 2_000 })
  }
  return [
    ...stream('recordings', 0, 120_000, 120),
    ...stream('winders', 10_000, 100_000, 60),
    ...stream('wardens', 30_000, 150_000, 30),
    ...stream('estates', 60_000, 180_000, 25)
  ]
}

function distanceOf (demands: ReadonlyMap<string, Demand>): number {
  const entitled = entitle(demands)
  let wrong = 0
  for (const [team, { running }] of demands) wrong += Math.abs(running - entitled.get(team)!)
  return wrong / 2 / PLACES
}

/**
 * Divides all places by share, without giving any team more than it asks for.
 *
 * @param demands what runs and waits, by team
 * @returns places by team
 */
export function entitle (demands: ReadonlyMap<string, Demand>): Map<string, number> {
  const entitled = new Map<string, number>()
  let open = [...demands.keys()]
  let places = PLACES
  while (open.length > 0) {
    const shares = open.reduce((sum, team) => sum + shareOf(team), 0)
    const perShare = places / shares
    const content = open.filter(team => wanted(demands, team) <= perShare * shareOf(team))
    const settled = content.length === 0 ? open : content
    for (const team of settled) {
      const granted = Math.min(wanted(demands, team), perShare * shareOf(team))
      entitled.set(team, granted)
      places -= granted
    }
    open = open.filter(team => !entitled.has(team))
  }
  return entitled
}

function shareOf (team: string): number {
  return SHARES[team as keyof typeof SHARES]
}

function wanted (demands: ReadonlyMap<string, Demand>, team: string): number {
  const { running, waiting } = demands.get(team)!
  return running + waiting
}
