/**
 * Waiting times by class in each case, for the scheduler and the baselines.
 */
import type { Outcome } from './tally.js'
import { Arena } from './arena.js'
import { createCases } from './cases.js'
import { createContenders, prepare } from './fleet.js'

/** What one scheduler made of one class in one case. */
export interface Wait extends Outcome {
  readonly case: string
  readonly scheduler: string
  /** Time spent in cancelling, for the whole case. */
  readonly cancelSpentMs: number
}

/**
 * Runs all cases with all schedulers.
 *
 * @param seed seed of arrivals and of random choices
 * @returns one line for each case, class and scheduler
 */
export function measureWaiting (seed: number): Wait[] {
  const waits: Wait[] = []
  for (const { name, claims, weights, course } of createCases(seed)) {
    for (const contender of createContenders(seed, weights)) {
      const planned = course(contender.create)
      const scheduler = contender.create()
      prepare(scheduler, planned.machines, claims)
      const arena = new Arena(scheduler, planned)
      for (const outcome of arena.run().outcomes()) {
        waits.push({ case: name, scheduler: contender.name, ...outcome, cancelSpentMs: arena.cancelSpentMs })
      }
    }
  }
  return waits
}
