/**
 * What the waiting steps of each queue were short of in the last scheduling round.
 */
import type { Clock } from '../clock.js'
import type { Job } from '../model/job.js'
import { Shortage, shortageOf } from '../place/excess.js'
import type { JobSettings } from './job-settings.js'
import type { RankedStep } from './step-ranking.js'

/** Time for which the shortages of a round count. Rounds follow each other faster, unless they are paused. */
const MAX_AGE_MS = 2000

/** Records the shortages of one round at a time. */
export class Contention {
  /** Workspaces whose steps wait, by queue and shortage. */
  private readonly waiting = new Map<string, Map<Shortage, Set<string>>>()
  /** Steady time of the last round. */
  private roundMs = -Infinity

  constructor (private readonly jobSettings: JobSettings, private readonly clock: Clock) {}

  /** Starts a new round. */
  clear (): void {
    this.waiting.clear()
    this.roundMs = this.clock.now()
  }

  /**
   * Records a step of which some tasks were not placed.
   *
   * @param lacksCapacity the workers that may run the step have no free capacity for it
   */
  record ({ readyStep, queue, overRate, tooLate, slackMs, objectiveMs }: RankedStep, lacksCapacity: boolean): void {
    if (queue === undefined) return
    const totalSlackMs = objectiveMs - readyStep.criticalPathMs
    const shortage = shortageOf({ overRate, tooLate, slackMs, totalSlackMs, lacksCapacity })
    if (shortage === Shortage.None) return
    let byShortage = this.waiting.get(queue.name)
    if (byShortage === undefined) this.waiting.set(queue.name, byShortage = new Map())
    const { workspace } = readyStep.entry.job
    const workspaces = byShortage.get(shortage)
    if (workspaces === undefined) byShortage.set(shortage, new Set([workspace]))
    else workspaces.add(workspace)
  }

  /**
   * Returns true if steps of other workspaces on a job's upstream, from queues with at least the priority of the job's queue, are short
   * of what the job would take: of advice, or of capacity while none is free for the job either.
   */
  isContendedFor (job: Job, hasCapacity: () => boolean): boolean {
    if (this.clock.now() - this.roundMs > MAX_AGE_MS) return false
    const priority = this.jobSettings.queueOf(job)?.priority ?? 0
    let lacksCapacity = false
    for (const queue of this.jobSettings.queues()) {
      if (queue.upstream !== job.upstream || queue.priority > priority) continue
      if (this.hasOthersWaiting(queue.name, Shortage.Advice, job.workspace)) return true
      if (this.hasOthersWaiting(queue.name, Shortage.Capacity, job.workspace)) lacksCapacity = true
    }
    return lacksCapacity && !hasCapacity()
  }

  private hasOthersWaiting (queue: string, shortage: Shortage, workspace: string): boolean {
    const workspaces = this.waiting.get(queue)?.get(shortage)
    if (workspaces === undefined) return false
    return workspaces.size > (workspaces.has(workspace) ? 1 : 0)
  }
}
