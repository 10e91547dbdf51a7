/**
 * How much runs at once, swept over the starts and ends of runs.
 */
import { NO_RESOURCES, addResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Run } from './evidence.js'

/** What runs right after a start. */
export interface Level {
  readonly run: Run
  readonly count: number
  readonly used: Resources
}

interface Edge {
  readonly atMs: number
  readonly start: boolean
  readonly run: Run
}

/**
 * Sweeps over runs in time. Runs that end when another starts do not count beside it.
 *
 * @param runs the runs of one worker or one team
 * @returns the level after each start, in time
 *
 * @example
 * for (const level of sweepRuns(runsOfWorker)) if (level.count > slots) report(level)
 */
export function sweepRuns (runs: readonly Run[]): Level[] {
  const edges: Edge[] = []
  for (const run of runs) {
    edges.push({ atMs: run.startedMs, start: true, run })
    if (run.endedMs !== undefined) edges.push({ atMs: run.endedMs, start: false, run })
  }
  edges.sort((left, right) => left.atMs - right.atMs || Number(left.start) - Number(right.start))
  const levels: Level[] = []
  let count = 0
  let used = NO_RESOURCES
  for (const edge of edges) {
    count += edge.start ? 1 : -1
    used = edge.start ? addResources(used, edge.run.size) : subtractResources(used, edge.run.size)
    if (edge.start) levels.push({ run: edge.run, count, used })
  }
  return levels
}

/**
 * Groups values by a name.
 *
 * @param values the values
 * @param nameOf the name of a value
 * @returns the values of each name, in the order given
 */
export function groupBy<T> (values: readonly T[], nameOf: (value: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const value of values) {
    const name = nameOf(value)
    const group = groups.get(name)
    if (group === undefined) groups.set(name, [value])
    else group.push(value)
  }
  return groups
}
