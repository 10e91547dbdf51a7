/**
 * Whether a job that arrives now can still meet its objective. Answers the pattern of more urgent jobs than an upstream has room
 * for: steps are placed by the time they have left, so that with a long queue every one of them starts just too late. A short queue
 * serves as many in time as there is room for, and tells the others at once when to come back.
 */

/** A step that could start and found no room. */
export interface Lack {
  /** Time until the step has to start for its job to meet its objective. */
  readonly slackMs: number
  /** The same when the job was accepted. */
  readonly wholeSlackMs: number
  /** Its waiting tasks, as time that all room of the upstream would need. */
  readonly workMs: number
  /** Its job goes beyond the rate of its workspace, and is placed after all others. */
  readonly beyondRate: boolean
}

/** A step with less than this part of its slack left has waited so long that a later one of its queue would miss its objective. */
const PRESSING_PART = 0.3
/** Time beside its tasks that a step needs: advice, journal, starts and ends. */
const OVERHEAD_MS = 150
/** Part of an upstream's room that waiting work gets in practice: gangs and large tasks leave gaps. */
const USABLE_PART = 0.8
/** Shortest and longest time after which a caller is told to come back. */
const RETRY_MIN_MS = 1000
const RETRY_MAX_MS = 20_000

/**
 * Works out when a caller should come back.
 *
 * @param lacks steps of the queue that wait for room; those that are late already say nothing about jobs that come now
 * @returns time until the steps that wait have room, or undefined if the queue takes jobs
 */
export function findReturnMs (lacks: readonly Lack[]): number | undefined {
  let pressing = false
  let workMs = 0
  for (const lack of lacks) {
    if (lack.slackMs < 0) continue
    workMs += lack.workMs
    if (lack.slackMs < PRESSING_PART * lack.wholeSlackMs + OVERHEAD_MS) pressing = true
  }
  return pressing ? Math.min(RETRY_MAX_MS, Math.max(RETRY_MIN_MS, workMs / USABLE_PART)) : undefined
}
