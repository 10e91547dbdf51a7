/**
 * What the waiting steps of each queue were short of in the last scheduling round.
 */
import type { Job } from '../model/job.js'
import { Shortage, shortageOf } from '../place/excess.js'
import type { JobSettings } from './job-settings.js'
import type { RankedStep } from './step-ranking.js'

/** Records the shortages of one round at a time. */
export class Contention {
  private readonly shortages = new Map<string, Set<Shortage>>()

  constructor (private readonly jobSettings: JobSettings) {}

  /** Starts a new round. */
  clear (): void {
    this.shortages.clear()
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
    const shortages = this.shortages.get(queue.name)
    if (shortages === undefined) this.shortages.set(queue.name, new Set([shortage]))
    else shortages.add(shortage)
  }

  /**
   * Returns true if steps on a job's upstream, from queues with at least the priority of the job's queue, are short of what the job
   * would take: of advice, or of capacity while none is free for the job either.
   */
  isContendedFor (job: Job, hasCapacity: () => boolean): boolean {
    const priority = this.jobSettings.queueOf(job)?.priority ?? 0
    let lacksCapacity = false
    for (const queue of this.jobSettings.queues()) {
      if (queue.upstream !== job.upstream || queue.priority > priority) continue
      const shortages = this.shortages.get(queue.name)
      if (shortages?.has(Shortage.Advice) === true) return true
      if (shortages?.has(Shortage.Capacity) === true) lacksCapacity = true
    }
    return lacksCapacity && !hasCapacity()
  }
}
