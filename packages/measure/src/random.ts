/**
 * Seeded random number generator for measurements.
 */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Number of different values that uniform() can return. */
const RESOLUTION = 0x1000000

/** A deterministic sequence of random numbers for a seed. */
export class Random {
  private readonly generator: RandomGenerator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /**
   * Draws an integer from the uniform distribution.
   *
   * @param bound exclusive upper bound
   * @returns a number from 0 to bound - 1
   */
  integerBelow (bound: number): number {
    return uniformInt(this.generator, 0, bound - 1)
  }

  /**
   * Draws from the uniform distribution.
   *
   * @returns a number above 0 and at most 1
   */
  uniform (): number {
    return (this.integerBelow(RESOLUTION) + 1) / RESOLUTION
  }

  /**
   * Draws from the exponential distribution.
   *
   * @param mean mean of the distribution
   * @returns a number of at least 0
   */
  exponential (mean: number): number {
    return -mean * Math.log(this.uniform())
  }

  /**
   * Picks an element with uniform probability.
   *
   * @param items the elements, at least one
   * @returns one of them
   */
  pick<T> (items: readonly T[]): T {
    return items[this.integerBelow(items.length)]!
  }
}
