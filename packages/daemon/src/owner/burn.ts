/**
 * Counts good and bad events for each service-level objective and team, in time steps of fixed length.
 */
import { Measure, type Objective } from '@fireflymount/manifest/manifest'
import { Reason } from '@fireflymount/protocol/refusal'
import type { ObjectiveCounts, TimeStep, Window } from '@fireflymount/protocol/survey'

/** Length of one time step. */
export const TIME_STEP_MS = 60_000
/** Number of time steps kept: six hours if every step has an event, else longer, since steps without events are not stored. */
export const MAX_TIME_STEPS = 360
/** Windows over which burn rates are reported: 5 minutes, 1 hour, 6 hours. */
export const WINDOWS_MS = [300_000, 3_600_000, 21_600_000]

/**
 * Refusals that onRefused does not count against an objective: caller errors and cancellations, which are not the service's
 * fault; TaskFailed, which only onFinished counts; and NotOwner, after which the next owner is asked. WorkerFailed is counted
 * here although onFinished counts the request too, so such a request counts twice for a success objective.
 */
const EXCLUDED_REASONS: ReadonlySet<Reason> = new Set([
  Reason.BadRequest, Reason.BadKey, Reason.NoSuchQueue, Reason.NoSuchJob, Reason.WrongTeam, Reason.TooLarge,
  Reason.Infeasible, Reason.KeyReused, Reason.Cancelled, Reason.Conflict, Reason.TaskFailed, Reason.NotOwner
])

interface Series {
  readonly objective: Objective
  readonly team: string
  readonly steps: TimeStep[]
}

/** The counts of one node for one shard. */
export class BurnCounts {
  private objectives: readonly Objective[] = []
  private readonly series = new Map<string, Series>()

  /** `sinceMs` is the wall-clock time at which counting starts. */
  constructor (private readonly node: string, readonly sinceMs: number) {}

  /** Sets the objectives of a new revision of the manifest. */
  setObjectives (objectives: readonly Objective[]): void {
    this.objectives = objectives
  }

  /** Counts the start of a task or request of a queue for the objectives on waiting time. */
  onStarted (queue: string, team: string, waitedMs: number, wallMs: number): void {
    for (const objective of this.objectives) {
      if (objective.queue !== queue || objective.measure !== Measure.Waiting) continue
      this.count(objective, team, waitedMs <= (objective.withinMs ?? Infinity), wallMs)
    }
  }

  /** Counts a request of a queue that was refused or failed, unless the reason is excluded. */
  onRefused (queue: string, team: string, reason: Reason, wallMs: number): void {
    if (EXCLUDED_REASONS.has(reason)) return
    for (const objective of this.objectives) {
      if (objective.queue === queue) this.count(objective, team, false, wallMs)
    }
  }

  /** Counts a task or request of a queue that finished. */
  onFinished (queue: string, team: string, succeeded: boolean, wallMs: number): void {
    for (const objective of this.objectives) {
      if (objective.queue !== queue || objective.measure !== Measure.Success) continue
      this.count(objective, team, succeeded, wallMs)
    }
  }

  /** Returns the counts for the operators' status report. */
  report (wallMs: number): ObjectiveCounts[] {
    const counts: ObjectiveCounts[] = []
    for (const series of this.series.values()) {
      counts.push({
        objective: series.objective.name,
        queue: series.objective.queue,
        team: series.team,
        node: this.node,
        sinceMs: this.sinceMs,
        windows: WINDOWS_MS.map((windowMs) => sumWindow(series.steps, windowMs, wallMs)),
        stepMs: TIME_STEP_MS,
        steps: series.steps
      })
    }
    return counts
  }

  private count (objective: Objective, team: string, good: boolean, wallMs: number): void {
    const key = `${objective.name}/${team}`
    let series = this.series.get(key)
    if (series === undefined) {
      series = { objective, team, steps: [] }
      this.series.set(key, series)
    }
    const startMs = wallMs - wallMs % TIME_STEP_MS
    let step = series.steps.at(-1)
    if (step?.startMs !== startMs) {
      step = { startMs, good: 0, total: 0 }
      series.steps.push(step)
      if (series.steps.length > MAX_TIME_STEPS) series.steps.shift()
    }
    step.total++
    if (good) step.good++
  }
}

function sumWindow (steps: readonly TimeStep[], windowMs: number, wallMs: number): Window {
  let good = 0
  let total = 0
  for (let index = steps.length - 1; index >= 0; index--) {
    const step = steps[index]!
    if (step.startMs + TIME_STEP_MS <= wallMs - windowMs) break
    good += step.good
    total += step.total
  }
  return { windowMs, good, total }
}
