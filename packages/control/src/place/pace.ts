/**
 * How fast best-effort tasks may work beside tasks that serve users. Answers the pattern of disturbance that changes within
 * seconds: halves the pace as long as a serving task is over its target, and raises it slowly when there is room again.
 */

/** The pace is cut to this part when a serving task is over its target. */
const CUT = 0.5
/** Paces below this stop the work altogether. */
const FLOOR_PERCENT = 12
/** Step by which the pace is raised while the tail is well below the target. */
const RAISE_PERCENT = 10
/** The tail must be below this part of its target for the pace to be raised. */
const RAISE_BELOW = 0.75

/** A serving task as the controller sees it. */
export interface Serving {
  readonly tailMs: number
  readonly targetMs: number
}

/**
 * Decides the pace of the best-effort tasks of one worker.
 *
 * @param percent their pace now
 * @param serving serving tasks of the worker
 * @returns the new pace, 0 to 100
 */
export function nextPace (percent: number, serving: readonly Serving[]): number {
  if (serving.length === 0) return 100
  const worst = Math.max(...serving.map(({ tailMs, targetMs }) => tailMs / targetMs))
  if (worst >= 1) {
    const cut = Math.floor(percent * CUT)
    return cut < FLOOR_PERCENT ? 0 : cut
  }
  return worst < RAISE_BELOW ? Math.min(100, percent + RAISE_PERCENT) : percent
}
