/**
 * Tasks, workers and decisions as the scheduler represents them.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Urgency, Workload } from '@fireflymount/protocol/workload'

/** A task to schedule: a request, a batch task, a replica of a service or a member of a gang. */
export interface Task {
  readonly id: string
  readonly team: string
  /** Name of the queue or service, which is the kind of the task. Run times, usage and success rates are learned for each kind. */
  readonly kind: string
  readonly workload: Workload
  readonly urgency: Urgency
  readonly size: Resources
  /** Declared run time; Infinity for a service. */
  readonly runtimeMs: number
  readonly submittedMs: number
  /** Latest start time that is useful to the caller, on the same clock as submittedMs. */
  readonly startByMs?: number
  /** Tasks of the same group start together (gang) or are spread over workers (service). */
  readonly group?: string
  /** Number of tasks in the group. */
  readonly groupSize?: number
  /** Whether the task can write a checkpoint before it is stopped. */
  readonly checkpoint: boolean
  /** Ids of the workers on which the task failed before. */
  readonly avoid?: readonly string[]
}

/** Whether a worker accepts new tasks. */
export enum Condition {
  /** Accepts new tasks. */
  Ready = 'ready',
  /**
   * Keeps its running tasks and accepts no new ones. The worker is leaving, an operator has drained it, or the shard's owner has
   * not taken it over yet.
   */
  Closed = 'closed',
  /** Consecutive tasks failed on it whose kinds mostly succeed; it accepts one probe (an ordinary task that tests it) at a time. */
  Quarantined = 'quarantined'
}

/** Description of a worker of the shard. */
export interface WorkerSpec {
  readonly id: string
  readonly zone: string
  readonly rack: string
  readonly capacity: Resources
  /** Maximum number of tasks that run at the same time. */
  readonly slots: number
}

/** The share and allotment of a team in this shard. */
export interface TeamQuota {
  readonly team: string
  /** Weight of the team in this shard; only the ratio to other shares matters. */
  readonly share: number
  /** The most that the team may have running in this shard; Infinity for an unlimited resource. */
  readonly allotment: TaskTotals
}

/** A number of running tasks and the sum of their sizes: what is running, or a limit on it. */
export interface TaskTotals {
  readonly tasks: number
  readonly cpuMilli: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** A decision to start a task on a worker. The task is already charged to the worker and its team. */
export interface Placement {
  readonly task: Task
  readonly worker: string
}

/** A decision to stop a running task so that urgent work can start or a lowered allotment is kept. */
export interface Preemption {
  readonly task: string
  readonly worker: string
  /** Whether the task can write a checkpoint before it is stopped. */
  readonly checkpoint: boolean
}

/** How a run ended, as far as scheduling distinguishes it. */
export enum Ending {
  Succeeded = 'succeeded',
  Failed = 'failed',
  /** Ended for another reason than the task or the worker: cancelled, preempted or moved. */
  Released = 'released'
}

/** What prevents the start of a task. */
export enum Obstacle {
  None = 'none',
  /** No worker of the shard is large enough, or all workers together can't run the whole gang. */
  Shape = 'shape',
  /** The team has used up its allotment in this shard. */
  Limit = 'limit',
  /**
   * Other work starts first, because another team is further below its share, or because that work is urgent or was submitted
   * earlier.
   */
  Share = 'share',
  /** No ready worker has enough free capacity. */
  Capacity = 'room',
  /** The gang is incomplete, or free capacity, the team's allotment or the headroom does not allow the whole gang at once. */
  Gang = 'gang',
  /** The task failed on several healthy workers, so it is assumed to be at fault. */
  Failing = 'failing',
  /** No worker is ready. */
  Workers = 'workers'
}

/** Why a task waits and what would let it start. */
export interface Explanation {
  readonly obstacle: Obstacle
  readonly detail: string
  /** What would let the task start. */
  readonly remedy: string
}
