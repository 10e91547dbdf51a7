/**
 * Burn rates of service-level objectives, from what the nodes counted.
 */
import type { Objective } from '@fireflymount/manifest/manifest'
import type { Burn, Step, Tally } from '@fireflymount/protocol/survey'
import type { Missing } from './operations.js'

const MINUTE_MS = 60_000
/** Rates are rounded to its inverse, so that a rate at a threshold counts as reaching it. */
const RATE_PRECISION = 1_000_000

/** The windows of a report, from short to long. */
export const WINDOWS_MS = [5 * MINUTE_MS, 60 * MINUTE_MS, 360 * MINUTE_MS] as const
/** Burn rate that spends 2 % of a 30-day budget in an hour. */
export const FAST_BURN = 14.4
/** Burn rate that spends 5 % of a 30-day budget in six hours. */
export const SLOW_BURN = 6

/** The owner that counts for a shard. */
export interface Counter {
  readonly shard: string
  readonly node: string
  readonly countingSinceMs?: number
}

/** The answer of `GET /v1/admin/burn`. */
export interface BurnCounts {
  readonly atMs: number
  readonly objectives: readonly Objective[]
  readonly shards: readonly Counter[]
  readonly counts: readonly Burn[]
  readonly missing: readonly Missing[]
}

/** How urgent a burn is. */
export enum Verdict {
  Ok = 'ok',
  /** The hour and the six hours both burn slowly. */
  Slow = 'slow burn',
  /** The five minutes and the hour both burn fast. */
  Fast = 'fast burn',
  NoEvents = 'no events'
}

/** The burn rate over one window. */
export interface Rate {
  readonly windowMs: number
  readonly events: Tally
  /** Bad share over allowed bad share; 1 spends the budget exactly. Absent without events. */
  readonly rate?: number
  /** Some node has not counted for the whole window. */
  readonly partial: boolean
}

/** One line of the report. */
export interface Line {
  readonly objective: string
  readonly queue: string
  readonly team: string
  readonly target: number
  readonly rates: readonly Rate[]
  readonly verdict: Verdict
  /** For the plot, by time. */
  readonly steps: ReadonlyArray<{ readonly startMs: number, readonly rate: number }>
}

/** The whole report. */
export interface Report {
  readonly atMs: number
  readonly lines: readonly Line[]
  /** Sentences on what the report does not hold. */
  readonly missing: readonly string[]
}

/**
 * Computes the report.
 *
 * @param burn what the nodes counted
 * @returns a line for each objective and team, and what is missing
 *
 * @example
 * const report = createReport(reply.body)
 */
export function createReport (burn: BurnCounts): Report {
  const lines: Line[] = []
  for (const objective of burn.objectives) {
    const own = burn.counts.filter((count) => count.objective === objective.name)
    const teams = new Set(own.map((count) => count.team))
    for (const team of [...teams].sort()) {
      lines.push(createLine(objective, team, own.filter((count) => count.team === team), burn.atMs))
    }
    if (teams.size === 0) lines.push(createLine(objective, '', [], burn.atMs))
  }
  return { atMs: burn.atMs, lines, missing: [...listLost(burn), ...listYoung(burn)] }
}

function createLine (objective: Objective, team: string, counts: readonly Burn[], atMs: number): Line {
  const allowed = 1 - objective.target
  const rates = WINDOWS_MS.map((windowMs) => createRate(counts, windowMs, allowed, atMs))
  const { name, queue, target } = objective
  return { objective: name, queue, team, target, rates, verdict: judge(rates), steps: mergeSteps(counts, allowed) }
}

function createRate (counts: readonly Burn[], windowMs: number, allowed: number, atMs: number): Rate {
  const events = { good: 0, total: 0 }
  for (const count of counts) {
    const window = count.windows.find((each) => each.windowMs === windowMs)
    events.good += window?.good ?? 0
    events.total += window?.total ?? 0
  }
  const partial = counts.some((count) => count.sinceMs > atMs - windowMs)
  return { windowMs, events, rate: burnRate(events, allowed), partial }
}

function burnRate ({ good, total }: Tally, allowed: number): number | undefined {
  if (total === 0) return undefined
  return Math.round((total - good) / total / allowed * RATE_PRECISION) / RATE_PRECISION
}

/** A burn counts only if a short and a long window agree, so that neither a blip nor a past burn alarms. */
function judge (rates: readonly Rate[]): Verdict {
  const [short, middle, long] = rates.map(({ rate }) => rate ?? 0)
  if (rates.every(({ rate }) => rate === undefined)) return Verdict.NoEvents
  if (short! >= FAST_BURN && middle! >= FAST_BURN) return Verdict.Fast
  if (middle! >= SLOW_BURN && long! >= SLOW_BURN) return Verdict.Slow
  return Verdict.Ok
}

function mergeSteps (counts: readonly Burn[], allowed: number): Line['steps'] {
  const merged = new Map<number, Step>()
  for (const step of counts.flatMap((count) => count.steps)) {
    const known = merged.get(step.startMs) ?? { startMs: step.startMs, good: 0, total: 0 }
    merged.set(step.startMs, { ...known, good: known.good + step.good, total: known.total + step.total })
  }
  const steps = [...merged.values()].filter(({ total }) => total > 0).sort((left, right) => left.startMs - right.startMs)
  return steps.map((step) => ({ startMs: step.startMs, rate: burnRate(step, allowed)! }))
}

function listLost ({ missing }: BurnCounts): string[] {
  return missing.map(({ shard, reason, detail }) => `Shard ${shard} did not answer (${reason}): ${detail} Its counts are missing.`)
}

/** An owner that took a shard over began to count then; what its predecessor had counted is lost. */
function listYoung ({ shards, atMs }: BurnCounts): string[] {
  const longest = Math.max(...WINDOWS_MS)
  const sentences: string[] = []
  for (const { shard, node, countingSinceMs = atMs } of shards) {
    if (countingSinceMs <= atMs - longest) continue
    const since = new Date(countingSinceMs).toISOString()
    sentences.push(`Shard ${shard}: ${node} counts since ${since}; what was counted before, by a node that died or stopped, is missing.`)
  }
  return sentences
}
