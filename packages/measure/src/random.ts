/**
 * Seeded random numbers for measurements.
 */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const RESOLUTION = 0x1000000

/** A stream of random numbers that a seed determines. */
export class Random {
  private readonly generator: RandomGenerator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /**
   * Draws a whole number.
   *
   * @param bound exclusive upper bound
   * @returns a number from 0 to bound - 1
   */
  below (bound: number): number {
    return uniformInt(this.generator, 0, bound - 1)
  }

  /**
   * Draws from the uniform distribution.
   *
   * @returns a number above 0 and at most 1
   */
  uniform (): number {
    return (this.below(RESOLUTION) + 1) / RESOLUTION
  }

  /**
   * Draws from the exponential distribution.
   *
   * @param mean the mean
   * @returns a number above or equal to 0
   */
  exponential (mean: number): number {
    return -mean * Math.log(this.uniform())
  }

  /**
   * Picks an element.
   *
   * @param items the elements, at least one
   * @returns one of them
   */
  pick<T> (items: readonly T[]): T {
    return items[this.below(items.length)]!
  }
}
