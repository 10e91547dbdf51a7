/**
 * The order in which waiting steps are placed. Answers the pattern of an upstream that is full: what can still meet its
 * objective goes first, jobs that have begun before others, and among them by the time that is left; what can no longer earn
 * anything goes last but is never dropped. Without the rule for jobs that have begun, each new job takes room from the last steps
 * of earlier ones, and all of them end late.
 */

/** What the order looks at. Times are Unix time in milliseconds. */
export interface Standing {
  /** The step's tasks run until the job is cancelled: each moment away is a gap for its users. */
  readonly lasting: boolean
  /** 0 comes first. */
  readonly priority: number
  /** When the job was accepted, or its occurrence was due. */
  readonly sinceMs: number
  /** Time from then within which the job should end. */
  readonly objectiveMs: number
  /** Longest chain of steps from this one on. */
  readonly chainMs: number
  /** Tasks of the job run or have run. */
  readonly begun: boolean
  /** The workspace uses more than its share while others wait. */
  readonly overShare: boolean
}

/** Time beside its tasks that a step needs: advice, journal, starts and ends. A step with less left is late already. */
const OVERHEAD_MS = 150
/** A job later than this many times its objective is of no use to its caller in time. */
const LATE_FACTOR = 3

/** Groups of standings; a smaller one goes first whatever the times within. */
enum Band {
  Lasting = 0,
  InTime = 1,
  OverShare = 2,
  Hopeless = 3
}

const BAND_STEP = 1e16
const PRIORITY_STEP = 1e14
const LATE_STEP = 1e13
const NEW_STEP = 5e12

/**
 * Computes the sort key of a step.
 *
 * @param standing what is known of the step
 * @param nowMs Unix time
 * @returns the key; smaller goes first
 */
export function urgencyOf (standing: Standing, nowMs: number): number {
  const { sinceMs, objectiveMs, chainMs, priority } = standing
  const latestStartMs = sinceMs + objectiveMs - chainMs - OVERHEAD_MS
  const late = latestStartMs < nowMs
  const group = bandOf(standing, nowMs) * BAND_STEP + Math.min(priority, 99) * PRIORITY_STEP
  return group + (late ? LATE_STEP : 0) + (standing.begun ? 0 : NEW_STEP) + latestStartMs
}

function bandOf (standing: Standing, nowMs: number): Band {
  if (standing.lasting) return Band.Lasting
  if (standing.sinceMs + LATE_FACTOR * standing.objectiveMs - standing.chainMs < nowMs) return Band.Hopeless
  return standing.overShare ? Band.OverShare : Band.InTime
}
