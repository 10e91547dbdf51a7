/**
 * Estimates for the tasks of one kind: run times, learned from tasks that succeeded; usage, learned from running and ended tasks;
 * and the success rate.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Task } from './task.js'
import { Ending } from './task.js'

/** Run time assumed while none is declared or learned. */
export const DEFAULT_RUNTIME_MS = 60_000
/** Number of tasks of a kind that may wait if no queue capacity is set. */
export const DEFAULT_QUEUE_CAPACITY = 10_000

/** Fraction of the tasks of a kind whose run time is at most the 90th-percentile run time. */
const UPPER_RUNTIME_QUANTILE = 0.9
/**
 * Smallest step by which the estimated natural logarithm of the 90th-percentile run time is corrected. The estimate moves up by
 * 0.9 of the step, or down by 0.1 of it.
 */
const MIN_QUANTILE_STEP = 0.25
/** Weight of a new sample in the mean of the logarithms of the run times; the first samples weigh more. */
const MEAN_SMOOTHING = 0.1
/** Weight of a new ending in the success rate. */
const SUCCESS_SMOOTHING = 0.1
/** Weight of a new sample in the usage ratios; the first sample replaces the initial ratio. */
const USAGE_SMOOTHING = 0.2
/** Shorter run times count as this, so that the logarithm is finite. */
const MIN_RUNTIME_MS = 0.1

/** Counts and estimates of one kind of task. A kind is a queue or a service. */
export class TaskKind {
  waiting = 0
  running = 0
  /** Maximum number of waiting tasks. */
  queueCapacity = DEFAULT_QUEUE_CAPACITY
  /** Smoothed fraction of tasks that succeed. Starts at 1, so that a new kind counts as healthy until it fails. */
  successRate = 1
  private samples = 0
  private logMean = 0
  private logP90 = 0
  private usageSamples = 0
  private cpuRatio = 1
  private memoryRatio = 1

  constructor (readonly name: string) {}

  /**
   * Returns the expected run time.
   *
   * @param declaredMs the declared run time, Infinity for a service
   * @returns the expected run time in milliseconds; the declared one while none is learned
   */
  expectedRuntimeMs (declaredMs: number): number {
    if (this.samples === 0) return declaredMs
    return Math.exp(this.logMean) * runtimeScale(declaredMs)
  }

  /**
   * Returns the run time that nine tasks of ten do not exceed.
   *
   * @param declaredMs the declared run time, Infinity for a service
   * @returns that run time in milliseconds; the declared one while none is learned
   */
  p90RuntimeMs (declaredMs: number): number {
    if (this.samples === 0) return declaredMs
    return Math.exp(this.logP90) * runtimeScale(declaredMs)
  }

  /**
   * Learns the run time of a task that succeeded. Estimates the 90th percentile by stochastic approximation on the logarithm of
   * the ratio between actual and declared run time.
   *
   * @param declaredMs the declared run time
   * @param runtimeMs the actual run time
   */
  learnRuntime (declaredMs: number, runtimeMs: number): void {
    const value = Math.log(Math.max(runtimeMs, MIN_RUNTIME_MS) / runtimeScale(declaredMs))
    this.samples++
    if (this.samples === 1) {
      this.logMean = value
      this.logP90 = value
      return
    }
    this.logMean += Math.max(MEAN_SMOOTHING, 1 / this.samples) * (value - this.logMean)
    const step = Math.max(MIN_QUANTILE_STEP, Math.abs(value - this.logP90) / 2)
    if (value > this.logP90) this.logP90 += step * UPPER_RUNTIME_QUANTILE
    else this.logP90 -= step * (1 - UPPER_RUNTIME_QUANTILE)
    this.logP90 = Math.max(this.logP90, this.logMean)
  }

  /**
   * Learns the usage of a task that runs or has ended.
   *
   * @param size the declared size
   * @param usage the actual usage
   */
  learnUsage (size: Resources, usage: Resources): void {
    const weight = this.usageSamples === 0 ? 1 : USAGE_SMOOTHING
    this.usageSamples++
    if (size.cpuMilli > 0) this.cpuRatio += weight * (usage.cpuMilli / size.cpuMilli - this.cpuRatio)
    if (size.memoryMb > 0) this.memoryRatio += weight * (usage.memoryMb / size.memoryMb - this.memoryRatio)
  }

  /**
   * Learns how a task ended.
   *
   * @param ending how it ended
   */
  learnEnding (ending: Ending): void {
    const outcome = ending === Ending.Succeeded ? 1 : 0
    this.successRate += SUCCESS_SMOOTHING * (outcome - this.successRate)
  }

  /**
   * Returns the ratio between the CPU that a task of the kind uses and the CPU that it declares.
   *
   * @returns the ratio; 1 while no usage is known
   */
  cpuUsageRatio (): number {
    return this.cpuRatio
  }

  /**
   * Returns the ratio between the memory that a task of the kind uses and the memory that it declares.
   *
   * @returns the ratio; 1 while no usage is known
   */
  memoryUsageRatio (): number {
    return this.memoryRatio
  }

  /**
   * Returns the expected run time as a finite number, for estimates of the waiting time.
   *
   * @param task a task of the kind
   * @returns milliseconds
   */
  finiteRuntimeMs (task: Task): number {
    const expected = this.expectedRuntimeMs(task.runtimeMs)
    return Number.isFinite(expected) && expected > 0 ? expected : DEFAULT_RUNTIME_MS
  }
}

/** Returns the unit in which run times are learned: the declared run time, or 1 ms if none is declared. */
function runtimeScale (declaredMs: number): number {
  return Number.isFinite(declaredMs) && declaredMs > 0 ? declaredMs : 1
}
