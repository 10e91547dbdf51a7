/**
 * What is learned about the tasks of one kind: true run times, true sizes, and how often they succeed.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Task } from './task.js'
import { Ending } from './task.js'

/** Run time assumed while nothing is declared or learned, in milliseconds. */
export const UNKNOWN_RUNTIME_MS = 60_000
/** Tasks of a kind that may wait where no capacity was set. */
export const DEFAULT_CAPACITY = 10_000

const UPPER_QUANTILE = 0.9
const QUANTILE_STEP = 0.25
const MEAN_SMOOTHING = 0.1
const SUCCESS_SMOOTHING = 0.1
const SIZE_SMOOTHING = 0.2
const SHORTEST_RUNTIME_MS = 0.1

/** Running estimates of one kind of task. */
export class Kind {
  waiting = 0
  running = 0
  capacity = DEFAULT_CAPACITY
  /** Smoothed share of tasks that succeed. Starts at 1: innocent until proven otherwise. */
  success = 1
  private samples = 0
  private logMean = 0
  private logUpper = 0
  private sizeSamples = 0
  private cpuFactor = 1
  private memoryFactor = 1

  constructor (readonly name: string) {}

  /**
   * Expected run time.
   *
   * @param declaredMs the declared run time, Infinity for a service
   * @returns the corrected run time in milliseconds
   */
  expectedMs (declaredMs: number): number {
    if (this.samples === 0) return declaredMs
    return Math.exp(this.logMean) * scale(declaredMs)
  }

  /**
   * Run time that nine tasks of ten do not exceed.
   *
   * @param declaredMs the declared run time, Infinity for a service
   * @returns the corrected run time in milliseconds
   */
  upperMs (declaredMs: number): number {
    if (this.samples === 0) return declaredMs
    return Math.exp(this.logUpper) * scale(declaredMs)
  }

  /**
   * Learns a finished task's run time. Upper quantile by stochastic approximation, on the logarithm.
   *
   * @param declaredMs the declared run time
   * @param runtimeMs the true one
   */
  learnRuntime (declaredMs: number, runtimeMs: number): void {
    const value = Math.log(Math.max(runtimeMs, SHORTEST_RUNTIME_MS) / scale(declaredMs))
    this.samples++
    if (this.samples === 1) {
      this.logMean = value
      this.logUpper = value
      return
    }
    this.logMean += Math.max(MEAN_SMOOTHING, 1 / this.samples) * (value - this.logMean)
    const distance = Math.max(QUANTILE_STEP, Math.abs(value - this.logUpper) / 2)
    if (value > this.logUpper) this.logUpper += distance * UPPER_QUANTILE
    else this.logUpper -= distance * (1 - UPPER_QUANTILE)
    this.logUpper = Math.max(this.logUpper, this.logMean)
  }

  /**
   * Learns a running or finished task's usage.
   *
   * @param size the declared size
   * @param usage what it used
   */
  learnSize (size: Resources, usage: Resources): void {
    const weight = this.sizeSamples === 0 ? 1 : SIZE_SMOOTHING
    this.sizeSamples++
    if (size.cpuMilli > 0) this.cpuFactor += weight * (usage.cpuMilli / size.cpuMilli - this.cpuFactor)
    if (size.memoryMb > 0) this.memoryFactor += weight * (usage.memoryMb / size.memoryMb - this.memoryFactor)
  }

  /**
   * Learns how a task ended.
   *
   * @param ending how it ended
   */
  learnEnding (ending: Ending): void {
    const outcome = ending === Ending.Succeeded ? 1 : 0
    this.success += SUCCESS_SMOOTHING * (outcome - this.success)
  }

  /**
   * How many times its declared processors a task of the kind uses.
   *
   * @returns the factor; 1 while nothing is known
   */
  cpuOveruse (): number {
    return this.cpuFactor
  }

  /**
   * How many times its declared memory a task of the kind uses.
   *
   * @returns the factor; 1 while nothing is known
   */
  memoryOveruse (): number {
    return this.memoryFactor
  }

  /**
   * Expected run time as a number that is always finite, for estimates of waiting time.
   *
   * @param task a task of the kind
   * @returns milliseconds
   */
  finiteMs (task: Task): number {
    const expected = this.expectedMs(task.runtimeMs)
    return Number.isFinite(expected) && expected > 0 ? expected : UNKNOWN_RUNTIME_MS
  }
}

function scale (declaredMs: number): number {
  return Number.isFinite(declaredMs) && declaredMs > 0 ? declaredMs : 1
}
