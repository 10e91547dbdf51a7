/**
 * Decides at once whether a task is worth queueing.
 */
import type { Result } from 'neverthrow'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Resources } from '@fireflymount/protocol/resources'
import type { Health } from './health.js'
import type { Kind } from './kind.js'
import type { Occupancy } from './occupancy.js'
import type { Task } from './task.js'
import type { Team } from './team.js'
import { err, ok } from 'neverthrow'
import { Workload } from '@fireflymount/protocol/workload'
import { Execution, Reason, refuse } from '@fireflymount/protocol/refusal'
import { part } from './reservation.js'
import { NONE } from './table.js'

/** Workers on which a job has to fail before the fault is taken to be its own. */
export const FAILING_WORKERS = 3
/** Least time after which a refused caller is asked to come back. */
const RETRY_AFTER_MIN_MS = 100

/** Checks tasks against the fleet, the queue's capacity and the expected waiting time. */
export class Admission {
  constructor (private readonly occupancy: Occupancy, private readonly health: Health) {}

  /**
   * Checks a task that wants to wait.
   *
   * @param task the task
   * @param nowMs the time
   * @returns nothing, or why it is refused
   */
  check (task: Task, nowMs: number): Result<void, Refusal> {
    const obstacle = this.shapeObstacle(task)
    if (this.fails(task)) return err(failing(task))
    if (obstacle !== undefined) return err(refuse(Reason.Infeasible, obstacle))
    const kind = this.occupancy.kind(task.kind)
    if (kind.waiting >= kind.capacity) return err(this.fullRefusal(task, kind))
    if (task.startByMs === undefined) return ok(undefined)
    return this.checkDeadline(task, kind, task.startByMs, nowMs)
  }

  /**
   * Tells whether a task failed on several workers that work for others.
   *
   * @param task the task
   * @returns true if the job is at fault
   */
  fails (task: Task): boolean {
    const { avoid } = task
    if (avoid === undefined || avoid.length < FAILING_WORKERS) return false
    let blamed = 0
    for (const id of avoid) {
      const worker = this.occupancy.fleet.find(id)
      if (worker === NONE || !this.health.suspects(worker)) blamed++
    }
    return blamed >= FAILING_WORKERS
  }

  /**
   * Explains why a task can never start in this shard.
   *
   * @param task the task
   * @returns the reason and the remedy, or undefined if it can start
   */
  shapeObstacle (task: Task): string | undefined {
    const { shapes } = this.occupancy.fleet
    if (shapes.size === 0) return undefined
    const needed = task.workload === Workload.Gang ? task.groupSize ?? 1 : 1
    let places = 0
    for (const { capacity, slots, count } of shapes.values()) places += count * placesOn(task.size, capacity, slots)
    if (places >= needed) return undefined
    if (places > 0) {
      return `The gang needs ${needed} tasks at once, but all workers together hold ${places}; ask for at most ${places} tasks or smaller ones.`
    }
    const asked = describe(task.size)
    return `No worker is large enough for ${asked}; the largest offers ${this.largest()}. Ask for less, or add larger workers.`
  }

  /**
   * Estimates how long a new task would wait, from the queue before it and corrected run times.
   *
   * @param task the task
   * @param kind its kind
   * @returns milliseconds
   */
  waitMs (task: Task, kind: Kind): number {
    const room = this.room(task.size, this.occupancy.team(task.team))
    const behind = kind.waiting - room
    if (behind < 0) return 0
    const concurrency = Math.max(1, kind.running + room)
    return (behind + 1) * kind.finiteMs(task) / concurrency
  }

  /** How many tasks of a size could start now, by sums over the ready workers and the team's allotment. */
  private room (size: Resources, team: Team): number {
    const { fleet } = this.occupancy
    const { allotment } = team
    const tasks = Math.min(fleet.readySlots, allotment.tasks - team.tasks)
    const cpu = part(Math.min(fleet.readyCpu, allotment.cpuMilli - team.cpuMilli), size.cpuMilli)
    const memory = part(Math.min(fleet.readyMemory, allotment.memoryMb - team.memoryMb), size.memoryMb)
    const accelerators = part(Math.min(fleet.readyAccelerators, allotment.accelerators - team.accelerators), size.accelerators)
    return Math.max(0, Math.min(tasks, cpu, memory, accelerators))
  }

  private checkDeadline (task: Task, kind: Kind, startByMs: number, nowMs: number): Result<void, Refusal> {
    if (startByMs < nowMs) return err(refuse(Reason.DeadlinePassed, 'The latest start has passed already; send the work earlier.'))
    const waitMs = this.waitMs(task, kind)
    const excessMs = nowMs + waitMs - startByMs
    if (excessMs <= 0) return ok(undefined)
    const detail = `The work would start in about ${Math.ceil(waitMs)} ms, which is too late; come back later or allow more time.`
    return err(refuse(Reason.DeadlineUnreachable, detail, retryAfterMs(excessMs)))
  }

  private fullRefusal (task: Task, kind: Kind): Refusal {
    const drainMs = this.waitMs(task, kind) / Math.max(1, kind.waiting)
    const detail = `The queue "${kind.name}" holds its ${kind.capacity} tasks already; come back later or raise its capacity.`
    return refuse(Reason.QueueFull, detail, retryAfterMs(drainMs))
  }

  private largest (): string {
    let best: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }
    for (const { capacity } of this.occupancy.fleet.shapes.values()) {
      if (capacity.cpuMilli >= best.cpuMilli) best = capacity
    }
    return describe(best)
  }
}

/**
 * Words an amount for an operator.
 *
 * @param size the amount
 * @returns for example "2 cores, 4096 MB and 1 accelerator(s)"
 */
export function describe (size: Resources): string {
  return `${size.cpuMilli / 1000} cores, ${size.memoryMb} MB and ${size.accelerators} accelerator(s)`
}

function placesOn (size: Resources, capacity: Resources, slots: number): number {
  return Math.min(
    slots,
    part(capacity.cpuMilli, size.cpuMilli),
    part(capacity.memoryMb, size.memoryMb),
    part(capacity.accelerators, size.accelerators)
  )
}

function failing (task: Task): Refusal {
  const detail = `The task failed on ${task.avoid!.length} workers that work for others; mend the job and send it anew.`
  return { reason: Reason.TaskFailed, detail, execution: Execution.Run }
}

function retryAfterMs (ms: number): number {
  return Math.ceil(Math.max(RETRY_AFTER_MIN_MS, ms))
}
