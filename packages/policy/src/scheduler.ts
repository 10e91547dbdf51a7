/**
 * Interface of the scheduler of one shard, which decides which waiting task starts next and on which worker.
 */
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Resources } from '@fireflymount/protocol/resources'
import type { Result } from 'neverthrow'
import type { ClosedVerdict, DryRun } from './dry-run.js'
import type { TeamQuota, Condition, Ending, Explanation, WorkerSpec, Placement, Preemption, Task } from './task.js'

/** The decisions of one scheduling round. */
export interface SchedulingRound {
  readonly placements: readonly Placement[]
  readonly preemptions: readonly Preemption[]
  /** Waiting tasks whose latest start time has passed, with the refusal for the caller. */
  readonly expired: readonly ExpiredTask[]
}

/** A waiting task that was removed because its latest start time has passed. */
export interface ExpiredTask {
  readonly task: Task
  readonly refusal: Refusal
}

/** The whole demand of a task or gang that the allotment of its team blocks. */
export interface BlockedDemand {
  readonly team: string
  readonly tasks: number
  readonly size: Resources
}

/** The scheduler of one shard. Callers pass the current time, in milliseconds of any monotonic clock. */
export abstract class Scheduler {
  /** Replaces the shares and allotments of all teams. */
  abstract setQuotas (quotas: readonly TeamQuota[]): void
  /** Adds a worker in the condition Closed, or replaces the description of a known one. */
  abstract setWorker (spec: WorkerSpec): void
  /** Sets the condition of a worker. A quarantined worker that is set to Ready stays quarantined until its quarantine ends. */
  abstract setCondition (worker: string, condition: Condition): void
  /** Removes a worker that runs no tasks. */
  abstract removeWorker (worker: string): void
  /** Sets how many tasks of a kind may wait. */
  abstract setQueueCapacity (kind: string, capacity: number): void
  /**
   * Queues a task or refuses it at once. It is refused if it is infeasible, if its queue is full, if it can't start in time, or
   * if it failed on several healthy workers. A task that is already known is accepted again without effect.
   */
  abstract enqueue (task: Task, nowMs: number): Result<void, Refusal>
  /**
   * Removes a waiting task; returns false if the task does not wait. Takes constant time unless the task or its gang holds the
   * reservation.
   */
  abstract cancel (task: string): boolean
  /** Charges a task that is already running, for example after a takeover. Never refuses it. */
  abstract adopt (task: Task, worker: string, nowMs: number): void
  /** Runs one round, with at most `maxPlacements` placements unless the first one is a larger gang. */
  abstract decide (nowMs: number, maxPlacements: number): SchedulingRound
  /** Releases the resources of a running task and learns from its ending, run time and usage. */
  abstract finish (task: string, ending: Ending, nowMs: number, runtimeMs?: number, usage?: Resources): void
  /** Learns from the usage of a running task, which may be reported late. */
  abstract recordUsage (task: string, usage: Resources): void
  /** Explains why a task waits and what would let it start. */
  abstract explain (task: string, nowMs: number): Explanation
  /**
   * Returns what would happen to a task or gang that is submitted now, without any change of state.
   *
   * @param task the task, or one task of a gang, which has `groupSize` tasks
   * @param nowMs the current time
   * @param closedVerdict why a closed worker takes no new tasks
   */
  abstract dryRun (task: Task, nowMs: number, closedVerdict: ClosedVerdict): DryRun
  /** Returns the number of waiting tasks. */
  abstract waiting (): number
  /** Returns the number of running tasks. */
  abstract running (): number
  /** Returns what the running tasks of a team use in this shard, at declared sizes. */
  abstract usedBy (team: string): TeamQuota['allotment']

  /**
   * Returns the teams whose allotment in this shard blocks a task or gang, each with the demand of one such task or gang. Whether
   * a worker has free capacity for it is not checked.
   */
  allotmentShortages (): readonly BlockedDemand[] {
    return []
  }
}
