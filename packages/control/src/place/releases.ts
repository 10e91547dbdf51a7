/**
 * The capacity that running tasks are expected to give back.
 */
import type { Resources } from '@fireflymount/protocol/resources'

/** A task that is expected to end. */
export interface Release {
  readonly charge: Resources
  /** Time until the end; negative if the task is being stopped. */
  readonly endMs: number
}

/** The expected releases of one upstream in one scheduling round. */
export class Releases {
  constructor (private readonly ends: readonly Release[]) {}

  /** Returns the capacity that is given back within a time. */
  within (timeMs: number): Resources {
    // Plain numbers: this runs for each run of the upstream in each round.
    let [cpuMilli, memoryMb, accelerators] = [0, 0, 0]
    for (const { charge, endMs } of this.ends) {
      if (endMs > timeMs) continue
      cpuMilli += charge.cpuMilli
      memoryMb += charge.memoryMb
      accelerators += charge.accelerators
    }
    return { cpuMilli, memoryMb, accelerators }
  }
}
