/**
 * The decisions of one shard: which waiting task starts next, and on which worker.
 */
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Resources } from '@fireflymount/protocol/resources'
import type { Result } from 'neverthrow'
import type { Claim, Condition, Ending, Explanation, Machine, Placement, Preemption, Task } from './task.js'

/** What one round of decisions asks for. */
export interface Round {
  readonly placements: readonly Placement[]
  readonly preemptions: readonly Preemption[]
  /** Tasks that cannot start in time any more, with the refusal for the caller. */
  readonly expired: readonly Expiry[]
}

/** A task that is given up. */
export interface Expiry {
  readonly task: Task
  readonly refusal: Refusal
}

/** What a team lacks to start its next task, or its next gang. */
export interface Shortage {
  readonly team: string
  readonly tasks: number
  readonly size: Resources
}

/** All decisions of one shard. Time is handed in, in milliseconds of any monotonic clock. */
export abstract class Scheduler {
  /** Replaces all teams' shares and allotments. */
  abstract setClaims (claims: readonly Claim[]): void
  /** Adds a worker, closed, or replaces its description. */
  abstract setMachine (machine: Machine): void
  abstract setCondition (worker: string, condition: Condition): void
  /** Removes a worker on which nothing runs any more. */
  abstract removeMachine (worker: string): void
  /** Bounds how many tasks of a kind may wait. */
  abstract setCapacity (kind: string, capacity: number): void
  /** Takes a task in, or refuses it at once: infeasible, queue full, or no start in time. */
  abstract enqueue (task: Task, nowMs: number): Result<void, Refusal>
  /** Takes a waiting task out; O(1). Returns false if it does not wait. */
  abstract cancel (task: string): boolean
  /** Accounts for a task that is found running, e.g. after takeover. Never refuses. */
  abstract adopt (task: Task, worker: string, nowMs: number): void
  /** Decides up to `most` placements. */
  abstract decide (nowMs: number, most: number): Round
  /** Releases a running task's room and learns from how it ended. */
  abstract finish (task: string, ending: Ending, nowMs: number, runtimeMs?: number, usage?: Resources): void
  /** Learns a running task's lagging usage. */
  abstract observe (task: string, usage: Resources): void
  abstract explain (task: string, nowMs: number): Explanation
  /** Number of waiting tasks. */
  abstract waiting (): number
  /** Number of running tasks. */
  abstract running (): number
  /** What a team has running in this shard. */
  abstract used (team: string): Claim['allotment']

  /** Teams whose next task waits only because their allotment in this shard is used up. */
  shortages (): readonly Shortage[] {
    return []
  }
}
