/**
 * Ranks the ready steps: computes the order in which a scheduling round places them.
 */
import type { Clock } from '../clock.js'
import type { Queue } from '../model/configuration.js'
import { Phase } from '../model/job.js'
import type { PastUse } from '../place/past-use.js'
import { isTooLate, placementRankOf } from '../place/ranking.js'
import type { JobSettings } from './job-settings.js'
import type { ReadyStep, ReadySteps } from './ready-step.js'

/** Stretch factor in the objective of a job whose queue is not known; see `JobSettings.queueOf`. */
const UNKNOWN_QUEUE_STRETCH = 4

/** A ready step with its place in the order. */
export interface RankedStep {
  readonly readyStep: ReadyStep
  /** As `JobSettings.queueOf` returns it. */
  readonly queue: Queue | undefined
  /** The job is beyond the rate of its workspace. */
  readonly overRate: boolean
  /** Sort key; the smallest is placed first. */
  readonly rank: number
  /** Time until the step has to start so that its job meets its objective. */
  readonly slackMs: number
  /** The job's objective: the time from `dueMs` of the ready step within which it should complete. */
  readonly objectiveMs: number
  /** The job can no longer complete while it is of use to its caller. */
  readonly tooLate: boolean
  /** Time by which the step yields to others because of the past use of its workspace. */
  readonly yieldMs: number
}

/** What the ranking depends on. */
export interface StepRankingOptions {
  readonly readySteps: ReadySteps
  readonly jobSettings: JobSettings
  readonly clock: Clock
  /** Ids of the jobs beyond the rate of their workspace. */
  readonly overRateJobs: ReadonlySet<string>
  /** Undefined if past use does not count. */
  readonly pastUse: PastUse | undefined
  /** Steps that are ranked as if they were ready. */
  readonly additional?: readonly ReadyStep[]
}

/** Returns the ready steps that are due, in the order in which they are placed. */
export function rankReadySteps (
  { readySteps, jobSettings, clock, overRateJobs, pastUse, additional = [] }: StepRankingOptions
): RankedStep[] {
  const wallNowMs = clock.wall()
  const listed = [...readySteps.list(), ...additional]
  const yields = pastUse?.yieldsAmong(waitingWorkspaces(listed, wallNowMs))
  const ranked: RankedStep[] = []
  for (const readyStep of listed) {
    if (!isDue(readyStep, wallNowMs)) continue
    const { entry: { job, phase }, dueMs, chainMs, criticalPathMs } = readyStep
    const queue = jobSettings.queueOf(job)
    const overRate = overRateJobs.has(job.id)
    const objectiveMs = (queue?.stretch ?? UNKNOWN_QUEUE_STRETCH) * criticalPathMs + (queue?.targetMs ?? 0)
    const yieldMs = (yields?.get(job.workspace) ?? 0) * Math.max(0, objectiveMs - criticalPathMs)
    const rank = placementRankOf({
      longRunning: readyStep.step.lasting,
      // A job whose queue is not known is ranked with the highest priority, but does not count as urgent.
      priority: queue?.priority ?? 0,
      dueMs,
      objectiveMs,
      chainMs,
      started: job.occurrences === 0 && phase === Phase.Active,
      overRate,
      yieldMs
    }, wallNowMs)
    const slackMs = dueMs + objectiveMs - chainMs - wallNowMs
    const tooLate = !readyStep.step.lasting && isTooLate(slackMs, objectiveMs)
    ranked.push({ readyStep, queue, overRate, rank, slackMs, objectiveMs, tooLate, yieldMs })
  }
  return ranked.sort((left, right) => left.rank - right.rank)
}

function isDue ({ entry: { job }, dueMs }: ReadyStep, wallNowMs: number): boolean {
  return job.occurrences === 0 || dueMs <= wallNowMs
}

/** Returns the workspaces whose due steps wait. Long-running steps do not count: they rank first and yield to none. */
function waitingWorkspaces (readySteps: Iterable<ReadyStep>, wallNowMs: number): ReadonlySet<string> {
  const waiting = new Set<string>()
  for (const readyStep of readySteps) {
    if (!readyStep.step.lasting && isDue(readyStep, wallNowMs)) waiting.add(readyStep.entry.job.workspace)
  }
  return waiting
}
