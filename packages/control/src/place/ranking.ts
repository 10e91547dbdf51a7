/**
 * The order in which waiting steps are placed, which matters when an upstream is full. Steps are ordered by these keys:
 *
 * 1. the band (see `Band`): long-running steps, steps of jobs within the rate of their workspace, steps of jobs beyond it, and
 *    steps that are too late to be of use, which are never dropped;
 * 2. the priority of their queue;
 * 3. lateness: steps of jobs that can still meet their objective come before late ones;
 * 4. whether the job has started: steps of started jobs come before those of new jobs. Otherwise each new job would take capacity
 *    from the last steps of earlier jobs, and all of them would complete late;
 * 5. the latest time at which the step can start and still meet its objective, the earliest first. For a step of a new job, the time
 *    by which its workspace yields is added; see past-use.ts.
 */

/** Properties of a step that determine its rank. Times are Unix times in milliseconds. */
export interface RankingInput {
  /** The step's tasks run until the job is cancelled. While they do not run, their users are not served. */
  readonly longRunning: boolean
  /** Priority of the queue; 0 is the highest. */
  readonly priority: number
  /** When the job was accepted or its occurrence was due. */
  readonly dueMs: number
  /** The job's objective: the time from `dueMs` within which it should complete. */
  readonly objectiveMs: number
  /** Estimated duration of the longest chain of dependent steps that starts with this one. */
  readonly chainMs: number
  /** The job has had at least one task assigned; false for jobs with a schedule. */
  readonly started: boolean
  /** The job is beyond the rate of its workspace. */
  readonly overRate: boolean
  /** Time by which the step yields to steps of workspaces that have used less of the cell; 0 if past use does not count. */
  readonly yieldMs: number
}

/**
 * Time that a step needs in addition to its tasks: advice, journal writes, and the starts and ends of runs. A step with less time
 * left is already late.
 */
const OVERHEAD_MS = 150
/** A job that takes longer than this many times its objective is no longer of use to its caller. */
const TOO_LATE_FACTOR = 3

/** Groups of steps. A smaller value always ranks first, whatever the times within the group. */
enum Band {
  LongRunning = 0,
  WithinRate = 1,
  OverRate = 2,
  TooLate = 3
}

/**
 * Offsets of the sort key. Each exceeds the sum of all smaller ones and a Unix time (about 2e12 ms). Priorities above 99 count as
 * 99, so that all priorities of a band stay below the next band.
 */
const BAND_OFFSET = 1e16
const PRIORITY_OFFSET = 1e14
const LATE_OFFSET = 1e13
const NEW_JOB_OFFSET = 5e12

/**
 * Computes the sort key of a step.
 *
 * @param input properties of the step
 * @param nowMs Unix time
 * @returns the key; the smallest is placed first
 */
export function placementRankOf (input: RankingInput, nowMs: number): number {
  const { dueMs, objectiveMs, chainMs, priority } = input
  const latestStartMs = dueMs + objectiveMs - chainMs - OVERHEAD_MS
  const late = latestStartMs < nowMs
  const offset = bandOf(input, nowMs) * BAND_OFFSET + Math.min(priority, 99) * PRIORITY_OFFSET
  const orderMs = input.started ? latestStartMs : NEW_JOB_OFFSET + latestStartMs + input.yieldMs
  return offset + (late ? LATE_OFFSET : 0) + orderMs
}

/**
 * Returns true if a step's job can no longer complete while it is of use to its caller.
 *
 * @param slackMs time until the step has to start so that its job meets its objective
 */
export function isTooLate (slackMs: number, objectiveMs: number): boolean {
  return slackMs + (TOO_LATE_FACTOR - 1) * objectiveMs < 0
}

function bandOf (input: RankingInput, nowMs: number): Band {
  if (input.longRunning) return Band.LongRunning
  if (isTooLate(input.dueMs + input.objectiveMs - input.chainMs - nowMs, input.objectiveMs)) return Band.TooLate
  return input.overRate ? Band.OverRate : Band.WithinRate
}
