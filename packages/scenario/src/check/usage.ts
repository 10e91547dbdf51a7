/**
 * Computes how many runs are active at the same time and what they use, by a sweep over their starts and ends.
 */
import { NO_RESOURCES, addResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Run } from './evidence.js'

/** Number and resources of the active runs right after one of them started. */
export interface UsageLevel {
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
 * Sweeps over runs in order of time. A run that ends at the moment at which another starts does not overlap with it.
 *
 * @param runs the runs of one worker or one team
 * @returns the usage after each start, in order of time
 *
 * @example
 * for (const level of sweepRuns(runsOfWorker)) if (level.count > slots) report(level)
 */
export function sweepRuns (runs: readonly Run[]): UsageLevel[] {
  const edges: Edge[] = []
  for (const run of runs) {
    edges.push({ atMs: run.startedMs, start: true, run })
    if (run.endedMs !== undefined) edges.push({ atMs: run.endedMs, start: false, run })
  }
  edges.sort((left, right) => left.atMs - right.atMs || Number(left.start) - Number(right.start))
  const levels: UsageLevel[] = []
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
 * Groups values by a key.
 *
 * @param values the values
 * @param keyOf returns the key of a value
 * @returns the values of each key, in their original order
 */
export function groupBy<T> (values: readonly T[], keyOf: (value: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const value of values) {
    const key = keyOf(value)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [value])
    else group.push(value)
  }
  return groups
}
