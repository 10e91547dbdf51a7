/**
 * Throttles best-effort tasks on workers that also run serving tasks. Interference changes within seconds. The speed is therefore
 * halved at each check that finds a serving task at or above its latency target, and raised slowly when there is headroom again.
 */

/** Factor on the speed when a serving task is at or above its latency target. */
const CUT_FACTOR = 0.5
/** A cut to a speed below this pauses best-effort tasks. After a pause, the speed rises from 0 and passes through lower values. */
const MIN_PERCENT = 12
/** Increase of the speed while the tail latency is well below the target. */
const RAISE_PERCENT = 10
/** The speed is only raised while the tail latency is below this share of its target. */
const RAISE_BELOW_RATIO = 0.75

/** A serving task as the throttle sees it. */
export interface ServingTask {
  readonly tailMs: number
  readonly targetMs: number
}

/**
 * Computes the speed of the best-effort tasks on one worker.
 *
 * @param percent their current speed in percent of full speed
 * @param serving serving tasks on the worker
 * @returns the new speed in percent of full speed, 0 to 100
 */
export function nextThrottlePercent (percent: number, serving: readonly ServingTask[]): number {
  if (serving.length === 0) return 100
  const worst = Math.max(...serving.map(({ tailMs, targetMs }) => tailMs / targetMs))
  if (worst >= 1) {
    const cut = Math.floor(percent * CUT_FACTOR)
    return cut < MIN_PERCENT ? 0 : cut
  }
  return worst < RAISE_BELOW_RATIO ? Math.min(100, percent + RAISE_PERCENT) : percent
}
