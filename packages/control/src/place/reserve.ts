/**
 * Capacity that is reserved for urgent tasks. It keeps capacity free for bursts of short urgent tasks on an upstream that long
 * tasks would otherwise fill. The long tasks can wait many times longer than the urgent ones.
 */
import { NO_RESOURCES, type Resources } from '@fireflymount/protocol/resources'

/**
 * Sets the weight of a sample in the moving mean and variance of the urgent demand: 1 - exp(-t / TIME_CONSTANT_MS). Here t is not
 * the time since the last sample, but since the last one at which an urgent job waited. While no urgent job waits, each sample
 * therefore has a higher weight than the one before, and the mean approaches the current demand faster than a mean with a fixed
 * time constant.
 */
const TIME_CONSTANT_MS = 8000
/** Weight of one sample in the mean slack. */
const SLACK_WEIGHT = 0.1
/** Standard deviations above the mean that are reserved. */
const DEVIATIONS = 2
/** Maximum share of an upstream's capacity that is reserved. */
const MAX_RESERVE_SHARE = 0.4

/** Resources that urgent tasks of one upstream use or wait for, over time. */
export class UrgentDemand {
  private mean: Resources = NO_RESOURCES
  private variance: Resources = NO_RESOURCES
  /** Mean total slack of urgent jobs: how long they can wait in addition to the time that their tasks need. */
  totalSlackMs = 0
  /** The demand in the last sample. */
  private current: Resources = NO_RESOURCES
  /** Time of the last sample at which an urgent job waited. Until the first one, each sample replaces the mean and variance. */
  private recordedMs: number | undefined

  /**
   * Records the resources that urgent tasks use or wait for now.
   *
   * @param totalSlackMs mean total slack of the waiting urgent jobs, undefined if none waits
   */
  record (demand: Resources, totalSlackMs: number | undefined, nowMs: number): void {
    const weight = this.recordedMs === undefined ? 1 : 1 - Math.exp(-(nowMs - this.recordedMs) / TIME_CONSTANT_MS)
    const { mean, variance } = this
    this.mean = combine(mean, demand, (average, value) => average + weight * (value - average))
    this.variance = combine(variance, combine(demand, mean, (value, average) => (value - average) ** 2), (spread, square) =>
      spread + weight * (square - spread))
    this.current = demand
    if (totalSlackMs === undefined) return
    this.totalSlackMs += (this.totalSlackMs === 0 ? 1 : SLACK_WEIGHT) * (totalSlackMs - this.totalSlackMs)
    this.recordedMs = nowMs
  }

  /**
   * Computes how much capacity other tasks have to leave free.
   *
   * @param total the upstream's total capacity
   */
  reserve (total: Resources): Resources {
    const wanted = combine(this.mean, this.variance, (average, spread) => average + DEVIATIONS * Math.sqrt(spread))
    const missing = combine(wanted, this.current, (target, demand) => Math.max(0, target - demand))
    return combine(missing, total, (amount, all) => Math.min(amount, MAX_RESERVE_SHARE * all))
  }
}

function combine (left: Resources, right: Resources, combineValues: (left: number, right: number) => number): Resources {
  return {
    cpuMilli: combineValues(left.cpuMilli, right.cpuMilli),
    memoryMb: combineValues(left.memoryMb, right.memoryMb),
    accelerators: combineValues(left.accelerators, right.accelerators)
  }
}
