/**
 * Admission control: decides whether a new task is queued. Refuses a task that can never start, or that would start too late.
 * Also refuses it if its queue is full, or if it has failed on several healthy workers.
 */
import type { Result } from 'neverthrow'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Resources } from '@fireflymount/protocol/resources'
import type { Health } from './health.js'
import type { TaskKind } from './task-kind.js'
import type { ShardState } from './shard-state.js'
import type { Task } from './task.js'
import type { Team } from './team.js'
import { err, ok } from 'neverthrow'
import { Workload } from '@fireflymount/protocol/workload'
import { Execution, Reason, refuse } from '@fireflymount/protocol/refusal'
import { tasksThatFitResource } from './reservation.js'
import { NONE } from './table.js'

/** A task that failed on this many healthy workers is assumed to be at fault itself. */
export const MIN_FAILED_WORKERS = 3
/** Shortest retry delay in a refusal. */
const MIN_RETRY_AFTER_MS = 100

/** Checks new tasks against the workers' sizes, the capacity of the queue and the estimated waiting time. */
export class Admission {
  constructor (private readonly state: ShardState, private readonly health: Health) {}

  /**
   * Checks whether a task may be queued.
   *
   * @param task the task
   * @param nowMs the current time
   * @returns nothing if the task is admitted, or the refusal
   */
  check (task: Task, nowMs: number): Result<void, Refusal> {
    const obstacle = this.sizeObstacle(task)
    if (this.hasFailedOnHealthyWorkers(task)) return err(taskFailedRefusal())
    if (obstacle !== undefined) return err(refuse(Reason.Infeasible, obstacle))
    const kind = this.state.peekKind(task.kind)
    if (kind.waiting >= kind.queueCapacity) return err(this.queueFullRefusal(task, kind))
    if (task.startByMs === undefined) return ok(undefined)
    return this.checkLatestStart(task, kind, task.startByMs, nowMs)
  }

  /**
   * Returns whether a task has failed on several healthy workers. Failures on workers that are quarantined now don't count.
   *
   * @param task the task
   * @returns true if the task is assumed to be at fault
   */
  hasFailedOnHealthyWorkers (task: Task): boolean {
    const { avoid } = task
    if (avoid === undefined || avoid.length < MIN_FAILED_WORKERS) return false
    let failedOnHealthy = 0
    for (const id of avoid) {
      const worker = this.state.fleet.find(id)
      if (worker === NONE || !this.health.isQuarantined(worker)) failedOnHealthy++
    }
    return failedOnHealthy >= MIN_FAILED_WORKERS
  }

  /**
   * Explains why a task, or its gang, is too large for the workers that the shard has.
   *
   * @param task the task
   * @returns the reason and a remedy, or undefined if the task is not too large or no worker is known
   */
  sizeObstacle (task: Task): string | undefined {
    const { workerTypes } = this.state.fleet
    if (workerTypes.size === 0) return undefined
    const needed = task.workload === Workload.Gang ? task.groupSize ?? 1 : 1
    let maxTasks = 0
    for (const { capacity, slots, count } of workerTypes.values()) {
      maxTasks += count * tasksThatFitWorker(task.size, capacity, slots)
    }
    if (maxTasks >= needed) return undefined
    if (maxTasks > 0) {
      return `The gang needs ${needed} tasks at once, but all workers together can run ${maxTasks}; request at most ${maxTasks} tasks, or request less for each task.`
    }
    const requested = describeResources(task.size)
    return `No worker has ${requested}; the worker with the most cores has ${this.describeLargest()}. Request less or add larger workers.`
  }

  /**
   * Estimates how long a new task would wait, from the tasks queued before it and the learned run times of its kind.
   *
   * @param task the task
   * @param kind the task's kind
   * @returns the waiting time in milliseconds
   */
  estimateWaitMs (task: Task, kind: TaskKind): number {
    const startable = this.startableNow(task.size, this.state.peekTeam(task.team))
    // Tasks ahead that can't start now; negative if a further task could start as well.
    const remainingAhead = kind.waiting - startable
    if (remainingAhead < 0) return 0
    const concurrency = Math.max(1, kind.running + startable)
    return (remainingAhead + 1) * kind.finiteRuntimeMs(task) / concurrency
  }

  /**
   * Estimates how many tasks of a size could start now, from the total free capacity of the ready workers and the unused part of
   * the team's allotment.
   */
  private startableNow (size: Resources, team: Team): number {
    const { fleet } = this.state
    const { allotment } = team
    const tasks = Math.min(fleet.readyFreeSlots, allotment.tasks - team.tasks)
    const cpu = tasksThatFitResource(Math.min(fleet.readyFreeCpu, allotment.cpuMilli - team.cpuMilli), size.cpuMilli)
    const memory = tasksThatFitResource(Math.min(fleet.readyFreeMemory, allotment.memoryMb - team.memoryMb), size.memoryMb)
    const accelerators = tasksThatFitResource(
      Math.min(fleet.readyFreeAccelerators, allotment.accelerators - team.accelerators),
      size.accelerators
    )
    return Math.max(0, Math.min(tasks, cpu, memory, accelerators))
  }

  private checkLatestStart (task: Task, kind: TaskKind, startByMs: number, nowMs: number): Result<void, Refusal> {
    if (startByMs < nowMs) return err(refuse(Reason.DeadlinePassed, 'The latest start time has passed; submit the work earlier.'))
    const waitMs = this.estimateWaitMs(task, kind)
    const excessMs = nowMs + waitMs - startByMs
    if (excessMs <= 0) return ok(undefined)
    const detail = `The work would start in about ${Math.ceil(waitMs)} ms, which is too late; retry later or allow more time.`
    return err(refuse(Reason.DeadlineUnreachable, detail, retryAfterMs(excessMs)))
  }

  /** Refuses a task, with the estimated time until one waiting task starts as the retry delay. */
  private queueFullRefusal (task: Task, kind: TaskKind): Refusal {
    const nextStartMs = this.estimateWaitMs(task, kind) / Math.max(1, kind.waiting)
    const detail = `The queue "${kind.name}" is full with ${kind.queueCapacity} waiting tasks; retry later or raise its capacity.`
    return refuse(Reason.QueueFull, detail, retryAfterMs(nextStartMs))
  }

  /** Describes the capacity of the worker with the most cores. */
  private describeLargest (): string {
    let best: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }
    for (const { capacity } of this.state.fleet.workerTypes.values()) {
      if (capacity.cpuMilli >= best.cpuMilli) best = capacity
    }
    return describeResources(best)
  }
}

/**
 * Formats resources for a message to a caller or an operator.
 *
 * @param size the resources
 * @returns for example "2 cores, 4096 MB and 1 accelerator(s)"
 */
export function describeResources (size: Resources): string {
  return `${size.cpuMilli / 1000} cores, ${size.memoryMb} MB and ${size.accelerators} accelerator(s)`
}

function tasksThatFitWorker (size: Resources, capacity: Resources, slots: number): number {
  return Math.min(
    slots,
    tasksThatFitResource(capacity.cpuMilli, size.cpuMilli),
    tasksThatFitResource(capacity.memoryMb, size.memoryMb),
    tasksThatFitResource(capacity.accelerators, size.accelerators)
  )
}

function taskFailedRefusal (): Refusal {
  const detail = `The task failed on at least ${MIN_FAILED_WORKERS} healthy workers; fix the job and submit it again.`
  return { reason: Reason.TaskFailed, detail, execution: Execution.Run }
}

function retryAfterMs (ms: number): number {
  return Math.ceil(Math.max(MIN_RETRY_AFTER_MS, ms))
}
