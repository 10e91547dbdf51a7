/**
 * Burn rates of the error budgets of service-level objectives, computed from the events that the nodes counted.
 */
import type { Objective } from '@fireflymount/manifest/manifest'
import type { ObjectiveCounts, TimeStep, EventCounts } from '@fireflymount/protocol/survey'
import type { MissingShard } from './operations.js'

const MINUTE_MS = 60_000
/** Rates are rounded to six decimals; otherwise a rounding error could put a rate that is at a threshold below it. */
const RATE_PRECISION = 1_000_000

/** The windows of a report, from short to long; rates are in the same order. */
export const WINDOWS_MS = [5 * MINUTE_MS, 60 * MINUTE_MS, 360 * MINUTE_MS] as const
/** Burn rate that spends 2 % of a 30-day error budget in an hour. */
export const FAST_BURN = 14.4
/** Burn rate that spends 5 % of a 30-day error budget in six hours. */
export const SLOW_BURN = 6

/** The node that counts the events of a shard, and the time since which it counts. */
export interface ShardCounter {
  readonly shard: string
  readonly node: string
  readonly countingSinceMs?: number
}

/** The answer of `GET /v1/admin/burn`. */
export interface BurnCounts {
  readonly atMs: number
  readonly objectives: readonly Objective[]
  readonly shards: readonly ShardCounter[]
  readonly counts: readonly ObjectiveCounts[]
  readonly missing: readonly MissingShard[]
}

/** How fast an objective spends its error budget. */
export enum BurnVerdict {
  Ok = 'ok',
  /** The windows of 1 hour and 6 hours both reach the rate of a slow burn. */
  Slow = 'slow burn',
  /** The windows of 5 minutes and 1 hour both reach the rate of a fast burn. */
  Fast = 'fast burn',
  NoEvents = 'no events'
}

/** The burn rate over one window. */
export interface Rate {
  readonly windowMs: number
  readonly events: EventCounts
  /** Fraction of bad events divided by the error budget; 1 spends the budget exactly. Absent if there are no events. */
  readonly rate?: number
  /** True if a node has not counted over the whole window. */
  readonly partial: boolean
}

/** One line of the report: an objective and a team. */
export interface ReportLine {
  readonly objective: string
  readonly queue: string
  readonly team: string
  readonly target: number
  readonly rates: readonly Rate[]
  readonly verdict: BurnVerdict
  /** Burn rates for the plot, in the order of time. */
  readonly steps: ReadonlyArray<{ readonly startMs: number, readonly rate: number }>
}

/** A report on all objectives. */
export interface BurnReport {
  readonly atMs: number
  readonly lines: readonly ReportLine[]
  /** Sentences that name the counts that are missing from the report. */
  readonly missing: readonly string[]
}

/**
 * Computes the report.
 *
 * @param burnCounts the events that the nodes counted
 * @returns a line for each objective and team, and the counts that are missing
 *
 * @example
 * const report = createBurnReport(answer.body)
 */
export function createBurnReport (burnCounts: BurnCounts): BurnReport {
  const lines: ReportLine[] = []
  for (const objective of burnCounts.objectives) {
    const objectiveCounts = burnCounts.counts.filter((count) => count.objective === objective.name)
    const teams = new Set(objectiveCounts.map((count) => count.team))
    for (const team of [...teams].sort()) {
      lines.push(createLine(objective, team, objectiveCounts.filter((count) => count.team === team), burnCounts.atMs))
    }
    if (teams.size === 0) lines.push(createLine(objective, '', [], burnCounts.atMs))
  }
  return { atMs: burnCounts.atMs, lines, missing: [...listUnansweredShards(burnCounts), ...listRecentOwners(burnCounts)] }
}

function createLine (objective: Objective, team: string, counts: readonly ObjectiveCounts[], atMs: number): ReportLine {
  const errorBudget = 1 - objective.target
  const rates = WINDOWS_MS.map((windowMs) => createRate(counts, windowMs, errorBudget, atMs))
  const { name, queue, target } = objective
  return { objective: name, queue, team, target, rates, verdict: classifyBurn(rates), steps: mergeSteps(counts, errorBudget) }
}

function createRate (counts: readonly ObjectiveCounts[], windowMs: number, errorBudget: number, atMs: number): Rate {
  const events = { good: 0, total: 0 }
  for (const count of counts) {
    const window = count.windows.find((each) => each.windowMs === windowMs)
    events.good += window?.good ?? 0
    events.total += window?.total ?? 0
  }
  const partial = counts.some((count) => count.sinceMs > atMs - windowMs)
  return { windowMs, events, rate: computeRate(events, errorBudget), partial }
}

function computeRate ({ good, total }: EventCounts, errorBudget: number): number | undefined {
  if (total === 0) return undefined
  return Math.round((total - good) / total / errorBudget * RATE_PRECISION) / RATE_PRECISION
}

/** Requires that a short and a long window agree, so that neither a short spike nor a burn that is over is reported. */
function classifyBurn (rates: readonly Rate[]): BurnVerdict {
  const [short, middle, long] = rates.map(({ rate }) => rate ?? 0)
  if (rates.every(({ rate }) => rate === undefined)) return BurnVerdict.NoEvents
  if (short! >= FAST_BURN && middle! >= FAST_BURN) return BurnVerdict.Fast
  if (middle! >= SLOW_BURN && long! >= SLOW_BURN) return BurnVerdict.Slow
  return BurnVerdict.Ok
}

function mergeSteps (counts: readonly ObjectiveCounts[], errorBudget: number): ReportLine['steps'] {
  const merged = new Map<number, TimeStep>()
  for (const step of counts.flatMap((count) => count.steps)) {
    const sum = merged.get(step.startMs) ?? { startMs: step.startMs, good: 0, total: 0 }
    merged.set(step.startMs, { ...sum, good: sum.good + step.good, total: sum.total + step.total })
  }
  const steps = [...merged.values()].filter(({ total }) => total > 0).sort((left, right) => left.startMs - right.startMs)
  return steps.map((step) => ({ startMs: step.startMs, rate: computeRate(step, errorBudget)! }))
}

function listUnansweredShards ({ missing }: BurnCounts): string[] {
  return missing.map(({ shard, reason, detail }) => `Shard ${shard} did not answer (${reason}): ${detail} Its counts are missing.`)
}

/**
 * Lists the owners that started to count within the longest window. An owner counts from its takeover of the shard on; the counts
 * of its predecessor are lost. An owner that doesn't report when it started to count is taken to have started now.
 */
function listRecentOwners ({ shards, atMs }: BurnCounts): string[] {
  const longestMs = Math.max(...WINDOWS_MS)
  const sentences: string[] = []
  for (const { shard, node, countingSinceMs = atMs } of shards) {
    if (countingSinceMs <= atMs - longestMs) continue
    const since = new Date(countingSinceMs).toISOString()
    sentences.push(`Shard ${shard}: ${node} has counted since ${since}. Counts of an earlier owner, if there was one, are missing.`)
  }
  return sentences
}
