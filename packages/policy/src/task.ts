/**
 * Tasks and workers as the decisions see them.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Urgency, Workload } from '@fireflymount/protocol/workload'

/** A task that waits, or a member of a gang. */
export interface Task {
  readonly id: string
  readonly team: string
  /** Queue or service, by which run times and sizes are learned. */
  readonly kind: string
  readonly workload: Workload
  readonly urgency: Urgency
  readonly size: Resources
  /** Declared run time; Infinity for a service. */
  readonly runtimeMs: number
  readonly submittedMs: number
  /** Latest start that is of use to the caller, on the same clock as submittedMs. */
  readonly startByMs?: number
  /** Tasks with the same group start together (gang) or are spread (service). */
  readonly group?: string
  /** Number of tasks in the group. */
  readonly groupSize?: number
  readonly checkpoint: boolean
  /** Workers on which the task failed before. */
  readonly avoid?: readonly string[]
}

/** Whether a worker takes new tasks. */
export enum Condition {
  /** Takes new tasks. */
  Ready = 'ready',
  /** Keeps what runs and takes nothing new: leaving, drained by an operator, or not adopted yet. */
  Closed = 'closed',
  /** Fails what succeeds elsewhere; takes one probe at a time. */
  Quarantined = 'quarantined'
}

/** A worker of the shard. */
export interface Machine {
  readonly id: string
  readonly zone: string
  readonly rack: string
  readonly capacity: Resources
  readonly slots: number
}

/** What a team may have, in this shard. */
export interface Claim {
  readonly team: string
  readonly share: number
  /** Hard bound in this shard. Infinity where there is none. */
  readonly allotment: Allowance
}

/** An amount of running work. */
export interface Allowance {
  readonly tasks: number
  readonly cpuMilli: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** A decision to start a task on a worker. Room and limits are already charged. */
export interface Placement {
  readonly task: Task
  readonly worker: string
}

/** A decision to stop a running task so that more urgent or underserved work can start. */
export interface Preemption {
  readonly task: string
  readonly worker: string
  readonly checkpoint: boolean
}

/** How a task ended, as far as the decisions care. */
export enum Ending {
  Succeeded = 'succeeded',
  Failed = 'failed',
  /** Ended for no fault of the task or the worker: cancelled, preempted, moved. */
  Released = 'released'
}

/** What a reader of `explain` learns. */
export enum Obstacle {
  None = 'none',
  /** No worker of the shard is large enough. */
  Shape = 'shape',
  /** The team is at its upper limit. */
  Limit = 'limit',
  /** Other teams are further below their share. */
  Share = 'share',
  /** There is no room at the moment. */
  Room = 'room',
  /** Not enough workers for the whole gang at once. */
  Gang = 'gang',
  /** The job failed on several workers and was stopped. */
  Failing = 'failing',
  /** Nothing is placed: no worker is ready. */
  Workers = 'workers'
}

/** Why a task waits and what would let it run. */
export interface Explanation {
  readonly obstacle: Obstacle
  readonly detail: string
  /** What would let it run. */
  readonly remedy: string
}
