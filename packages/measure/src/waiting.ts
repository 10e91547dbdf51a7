/**
 * Measures the waiting times of each case by kind of task, for the scheduler and the baselines.
 */
import type { KindOutcome } from './task-statistics.js'
import { Simulation } from './simulation.js'
import { createCases } from './cases.js'
import { createSchedulerFactories, prepareScheduler } from './fleet.js'

/** Waiting times and outcomes of one kind of task in one case with one scheduler. */
export interface WaitResult extends KindOutcome {
  readonly case: string
  readonly scheduler: string
  /** Real time that the scheduler spent in cancelling tasks during the whole case. */
  readonly cancelSpentMs: number
}

/**
 * Simulates all cases with all schedulers.
 *
 * @param seed seed of the random arrivals and choices
 * @returns one entry for each case, kind of task and scheduler
 */
export function measureWaiting (seed: number): WaitResult[] {
  const waits: WaitResult[] = []
  for (const { name, quotas, weights, createPlan } of createCases(seed)) {
    for (const factory of createSchedulerFactories(seed, weights)) {
      const plan = createPlan(factory.create)
      const scheduler = factory.create()
      prepareScheduler(scheduler, plan.workers, quotas)
      const simulation = new Simulation(scheduler, plan)
      for (const outcome of simulation.run().outcomes()) {
        waits.push({ case: name, scheduler: factory.name, ...outcome, cancelSpentMs: simulation.cancelSpentMs })
      }
    }
  }
  return waits
}
