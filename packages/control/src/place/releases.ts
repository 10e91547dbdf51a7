/**
 * The capacity that running tasks are expected to give back.
 */
import { addResources, NO_RESOURCES, type Resources } from '@fireflymount/protocol/resources'

/** A task that is expected to end. */
export interface Release {
  readonly charge: Resources
  /** Time until the end; negative if the task is being stopped. */
  readonly endMs: number
}

/** The expected releases of one upstream in one scheduling round. */
export class Releases {
  private readonly ends: readonly Release[]
  /** The sum of each release and all before it. */
  private readonly sums: readonly Resources[]

  constructor (ends: readonly Release[]) {
    this.ends = [...ends].sort((left, right) => left.endMs - right.endMs)
    let sum = NO_RESOURCES
    this.sums = this.ends.map(({ charge }) => (sum = addResources(sum, charge)))
  }

  /** Returns the capacity that is given back within a time. */
  within (timeMs: number): Resources {
    let [low, high] = [0, this.ends.length]
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.ends[middle]!.endMs <= timeMs) low = middle + 1
      else high = middle
    }
    return low === 0 ? NO_RESOURCES : this.sums[low - 1]!
  }
}
