/**
 * Finds the settings that apply to jobs. Jobs run on after their queue or workspace has been removed from the configuration, under
 * the settings with which they were accepted.
 */
import type { Configuration, Queue, WorkspaceSettings } from '../model/configuration.js'
import type { Job } from '../model/job.js'

/** Finds settings in the newest configuration, or else in the jobs. */
export class JobSettings {
  private indexed: Configuration | undefined
  private queuesByName: ReadonlyMap<string, Queue> = new Map()
  private workspacesByName: ReadonlyMap<string, WorkspaceSettings> = new Map()
  /** The removed queues, as the jobs in them know them. */
  private readonly removedQueues = new WeakMap<Job, Queue>()

  constructor (private readonly configuration: () => Configuration) {}

  /** The queues in the configuration. */
  queues (): Iterable<Queue> {
    this.index()
    return this.queuesByName.values()
  }

  /** Returns the queue of a job; undefined if it has been removed and an earlier build accepted the job. */
  queueOf (job: Job): Queue | undefined {
    this.index()
    return this.queuesByName.get(job.queue) ?? this.removedQueueOf(job)
  }

  /** Returns the settings of a job's workspace; undefined if there are none, or if they are not known any more. */
  workspaceOf (job: Job): WorkspaceSettings | undefined {
    this.index()
    return this.workspacesByName.get(job.workspace) ?? job.workspaceSettings
  }

  private removedQueueOf (job: Job): Queue | undefined {
    const { queue: name, upstream, queueSettings } = job
    if (queueSettings === undefined) return undefined
    let queue = this.removedQueues.get(job)
    if (queue === undefined) {
      queue = { ...queueSettings, name, upstream, host: '', prefix: '', timeoutMs: 0, open: false }
      this.removedQueues.set(job, queue)
    }
    return queue
  }

  private index (): void {
    const configuration = this.configuration()
    if (this.indexed === configuration) return
    this.indexed = configuration
    this.queuesByName = new Map(configuration.queues.map((queue) => [queue.name, queue]))
    this.workspacesByName = new Map(configuration.workspaces.map((workspace) => [workspace.name, workspace]))
  }
}
