/**
 * Frees capacity for tasks that could not be placed: holds workers, and selects runs to stop.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Queue } from '../model/configuration.js'
import {
  chooseRunsToStop, chooseWorkersToHold, mayHold, mayHoldAny, mayPreempt, type PreemptibleRun, type UnplacedTask
} from '../place/hold.js'
import type { JobSettings } from './job-settings.js'
import type { PoolCandidate } from './candidates.js'
import type { Pool } from './pool.js'
import { RunState, type Run } from './run.js'
import type { Session } from './session.js'
import type { RankedStep } from './step-ranking.js'

/** Frees capacity in one scheduling round. */
export class CapacityReclaimer {
  /** Runs to stop so that long-running or urgent tasks can start. */
  readonly preemptions: Run[] = []

  /**
   * @param stopMs maximum time that a worker takes to stop a run
   */
  constructor (private readonly jobSettings: JobSettings, private readonly stopMs: number) {}

  /**
   * Frees capacity for tasks of a step that could not be placed, unless its job is too late to be of use. Holds workers for
   * long-running tasks, and for large urgent tasks within the rate of their workspace. If `mayPreempt` allows it, also preempts runs
   * that lose little work. This is done on the held workers. If none was held, urgent tasks within the rate preempt on any of the
   * candidates.
   *
   * @param permitted workers that may run the step
   * @param chosen the workers among them that were chosen for this step in the round
   */
  freeCapacityFor (
    ranked: RankedStep, unplaced: number, pool: Pool, permitted: readonly PoolCandidate[], chosen: readonly PoolCandidate[]
  ): void {
    const { readyStep, queue, slackMs } = ranked
    const { charge, step } = readyStep
    if (ranked.tooLate) return
    const urgentWithinRate = queue !== undefined && queue.priority <= pool.urgentPriority && !ranked.overRate
    if (!step.lasting && !urgentWithinRate) return
    const task = { longRunning: step.lasting, urgentWithinRate, charge, slackMs }
    const mayStopRuns = mayPreempt(task, this.stopMs)
    const candidates = chosen.length === 0 ? permitted : permitted.filter((candidate) => !chosen.includes(candidate))
    const held = pool.remainingHolds > 0
      ? chooseWorkersToHold(step, charge, unplaced, findHoldable(task, pool, candidates)).slice(0, pool.remainingHolds)
      : []
    for (const candidate of held) {
      if (mayStopRuns) this.preempt(queue, candidate, charge)
      pool.hold(candidate, charge)
    }
    if (held.length > 0 || !urgentWithinRate || !mayStopRuns) return
    this.preemptAnywhere(ranked, unplaced, pool, candidates)
  }

  private preemptAnywhere (
    { readyStep, queue }: RankedStep, unplaced: number, pool: Pool, candidates: readonly PoolCandidate[]
  ): void {
    let remaining = unplaced
    for (const candidate of candidates) {
      if (remaining <= 0 || pool.remainingForPreemption === 0) return
      if (candidate.consideredForPreemption) continue
      if (this.preempt(queue, candidate, readyStep.charge)) remaining--
      pool.considerForPreemption(candidate)
    }
  }

  /**
   * Stops runs on a worker to free capacity for a task, unless a run there is already being stopped. Returns true if a run
   * there is being stopped, even if that does not free enough for the task.
   */
  private preempt (queue: Queue | undefined, candidate: PoolCandidate, charge: Resources): boolean {
    const { session } = candidate
    for (const run of session.runs.values()) {
      if (run.stopping !== undefined) return true
    }
    const stopped = chooseRunsToStop(charge, candidate.free, this.preemptibleRunsOf(session, queue))
    this.preemptions.push(...stopped)
    return stopped.length > 0
  }

  /**
   * Returns the started runs that may be preempted: those of lower-priority queues (of all queues if the step's queue is not
   * known) that save checkpoints or are best-effort; never members of gangs or long-running runs.
   */
  private preemptibleRunsOf (session: Session, queue: Queue | undefined): Array<PreemptibleRun<Run>> {
    const preemptible: Array<PreemptibleRun<Run>> = []
    for (const run of session.runs.values()) {
      const { step } = run
      if (step.lasting || step.gang || run.state !== RunState.Running || !(step.checkpoints || step.bestEffort)) continue
      const priority = this.jobSettings.queueOf(run.entry.job)?.priority ?? 0
      const hasLowerPriority = queue === undefined || priority > queue.priority
      if (hasLowerPriority) preemptible.push({ run, charge: run.charge, stopCost: run.charge.cpuMilli })
    }
    return preemptible
  }
}

function findHoldable (task: UnplacedTask, pool: Pool, candidates: readonly PoolCandidate[]): PoolCandidate[] {
  if (!mayHoldAny(task, pool.leastCapacity, () => pool.longestToEmptyMs())) return []
  return candidates.filter((candidate) => mayHold(task, candidate.capacity, candidate.timeToEmptyMs()))
}
