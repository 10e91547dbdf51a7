/**
 * Decides whether a job that arrives now can still meet its objective. Steps are placed by their remaining time. With a long
 * backlog, every step would therefore start just too late. Refusing jobs keeps the backlog short: as many jobs as the capacity
 * permits complete in time, and the callers of the others are told immediately when to retry.
 */

/** A ready step of which some tasks were allowed to start in the last round but found no worker with free capacity. */
export interface UnplacedStep {
  /** Time until the step has to start so that its job meets its objective. */
  readonly slackMs: number
  /** Slack of the job as a whole: its objective less the length of its critical path. */
  readonly totalSlackMs: number
  /** Work of the tasks that found no worker, as the time that the whole capacity of the upstream would need for it. */
  readonly workMs: number
  /**
   * The job is beyond the rate of its workspace. It is placed after all jobs within their rate that can still be of use; see
   * `Band` in ranking.ts.
   */
  readonly overRate: boolean
}

/**
 * A waiting step that has less than this share of its total slack left, plus OVERHEAD_MS, counts as delayed by the backlog. A job
 * submitted to its queue now is then expected to miss its objective.
 */
const MIN_SLACK_SHARE = 0.3
/** Time that a step needs in addition to its tasks: advice, journal writes, and the starts and ends of runs. */
const OVERHEAD_MS = 150
/** Share of an upstream's capacity that waiting work gets in practice, because gangs and large tasks leave gaps. */
const USABLE_CAPACITY_SHARE = 0.8
/** Minimum and maximum time after which a caller is told to retry. */
const MIN_RETRY_AFTER_MS = 1000
const MAX_RETRY_AFTER_MS = 20_000

/**
 * Computes when a caller should retry.
 *
 * @param unplacedSteps steps of the queue that wait for capacity. Those with a slack below 0 are ignored, because they are placed
 *   after new jobs. Those with a slack from 0 to the overhead in ranking.ts count, although they are placed after new jobs too.
 * @returns estimated time until the unplaced steps have capacity, or undefined if the queue accepts jobs
 */
export function findRetryAfterMs (unplacedSteps: readonly UnplacedStep[]): number | undefined {
  let saturated = false
  let workMs = 0
  for (const unplacedStep of unplacedSteps) {
    if (unplacedStep.slackMs < 0) continue
    workMs += unplacedStep.workMs
    if (unplacedStep.slackMs < MIN_SLACK_SHARE * unplacedStep.totalSlackMs + OVERHEAD_MS) saturated = true
  }
  return saturated ? Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, workMs / USABLE_CAPACITY_SHARE)) : undefined
}
