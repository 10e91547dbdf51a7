/**
 * Room that is kept for urgent tasks. Answers the pattern of short urgent tasks that come in bursts to an upstream which long
 * tasks would fill: those can wait for many times as long as the urgent ones.
 */
import { NO_RESOURCES, type Resources } from '@fireflymount/protocol/resources'

/** Time constant of the mean and of the deviation of what urgent tasks use. */
const MEMORY_MS = 8000
/** Weight of one look in the mean slack. */
const SLACK_WEIGHT = 0.1
/** Deviations above the mean that are kept. */
const DEVIATIONS = 2
/** Largest part of an upstream that is kept. */
const PART_MAX = 0.4

/** What the urgent tasks of one upstream use, over time. */
export class UrgentUse {
  private mean: Resources = NO_RESOURCES
  private variance: Resources = NO_RESOURCES
  /** How long urgent jobs can typically wait beside their tasks' time. */
  slackMs = 0
  private now: Resources = NO_RESOURCES
  private notedMs: number | undefined

  /**
   * Notes what is used or waited for now.
   *
   * @param slackMs mean slack of the urgent jobs that wait, undefined if none waits
   */
  note (used: Resources, slackMs: number | undefined, nowMs: number): void {
    const weight = this.notedMs === undefined ? 1 : 1 - Math.exp(-(nowMs - this.notedMs) / MEMORY_MS)
    const { mean, variance } = this
    this.mean = combine(mean, used, (average, value) => average + weight * (value - average))
    this.variance = combine(variance, combine(used, mean, (value, average) => (value - average) ** 2), (spread, square) =>
      spread + weight * (square - spread))
    this.now = used
    if (slackMs === undefined) return
    this.slackMs += (this.slackMs === 0 ? 1 : SLACK_WEIGHT) * (slackMs - this.slackMs)
    this.notedMs = nowMs
  }

  /**
   * Works out how much room others have to leave free.
   *
   * @param total all of the upstream's room
   */
  reserve (total: Resources): Resources {
    const wanted = combine(this.mean, this.variance, (average, spread) => average + DEVIATIONS * Math.sqrt(spread))
    const missing = combine(wanted, this.now, (target, used) => Math.max(0, target - used))
    return combine(missing, total, (room, all) => Math.min(room, PART_MAX * all))
  }
}

function combine (left: Resources, right: Resources, join: (left: number, right: number) => number): Resources {
  return {
    cpuMilli: join(left.cpuMilli, right.cpuMilli),
    memoryMb: join(left.memoryMb, right.memoryMb),
    accelerators: join(left.accelerators, right.accelerators)
  }
}
