/**
 * Baseline schedulers for comparison. They take the tasks of all teams from one queue in order of arrival, skip those that
 * cannot be placed, and choose the worker by a simple rule: first fit, random, or the power of two choices.
 */
import type { Result } from 'neverthrow'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { DryRun } from '@fireflymount/policy/dry-run'
import type { ExpiredTask, SchedulingRound } from '@fireflymount/policy/scheduler'
import type { TeamQuota, Ending, Explanation, WorkerSpec, Placement, Task } from '@fireflymount/policy/task'
import { ok } from 'neverthrow'
import { NO_RESOURCES, addResources, fitsResources, subtractResources } from '@fireflymount/protocol/resources'
import type { Resources } from '@fireflymount/protocol/resources'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { Workload } from '@fireflymount/protocol/workload'
import { Scheduler } from '@fireflymount/policy/scheduler'
import { Condition, Obstacle } from '@fireflymount/policy/task'
import type { Random } from './random.js'

/** A round ends when more waiting tasks than this could not be placed. */
const MAX_BLOCKED_TASKS = 32

/** A worker with its free capacity. */
export interface WorkerState {
  readonly spec: WorkerSpec
  free: Resources
  freeSlots: number
  condition: Condition
}

interface RunningTask {
  readonly task: Task
  readonly workerState: WorkerState
}

/** Scheduler with one queue for all teams: it respects allotments and worker capacity, and ignores shares. */
export abstract class Baseline extends Scheduler {
  protected readonly workers: WorkerState[] = []
  private readonly workersById = new Map<string, WorkerState>()
  private readonly queue: Array<Task | undefined> = []
  private readonly positions = new Map<string, number>()
  private readonly runningTasks = new Map<string, RunningTask>()
  private readonly quotasByTeam = new Map<string, TeamQuota>()
  private readonly usageByTeam = new Map<string, TeamQuota['allotment']>()
  private head = 0

  /**
   * Chooses a worker.
   *
   * @param size resources that the worker must have free
   * @returns the worker, or undefined if none was found
   */
  protected abstract choose (size: Resources): WorkerState | undefined

  setQuotas (quotas: readonly TeamQuota[]): void {
    for (const quota of quotas) this.quotasByTeam.set(quota.team, quota)
  }

  setWorker (spec: WorkerSpec): void {
    const workerState = { spec, free: spec.capacity, freeSlots: spec.slots, condition: Condition.Closed }
    this.workers.push(workerState)
    this.workersById.set(spec.id, workerState)
  }

  setCondition (worker: string, condition: Condition): void {
    this.workersById.get(worker)!.condition = condition
  }

  removeWorker (): void {}

  setQueueCapacity (): void {}

  enqueue (task: Task): Result<void, Refusal> {
    this.positions.set(task.id, this.queue.length)
    this.queue.push(task)
    return ok(undefined)
  }

  cancel (task: string): boolean {
    const position = this.positions.get(task)
    if (position === undefined) return false
    this.queue[position] = undefined
    return this.positions.delete(task)
  }

  adopt (task: Task, worker: string): void {
    this.start(task, this.workersById.get(worker)!)
  }

  decide (nowMs: number, maxPlacements: number): SchedulingRound {
    const placements: Placement[] = []
    const expired: ExpiredTask[] = []
    let blocked = 0
    for (let position = this.head; position < this.queue.length; position++) {
      if (placements.length >= maxPlacements || blocked > MAX_BLOCKED_TASKS) break
      const task = this.queue[position]
      if (task === undefined) {
        if (position === this.head) this.head++
        continue
      }
      if (task.startByMs !== undefined && task.startByMs < nowMs) {
        this.cancel(task.id)
        expired.push({ task, refusal: refuse(Reason.DeadlinePassed, 'No worker had free capacity before the latest start time of the task.') })
      } else if (!this.place(task, placements)) blocked++
    }
    return { placements, preemptions: [], expired }
  }

  finish (task: string, _ending: Ending, _nowMs: number): void {
    const running = this.runningTasks.get(task)
    if (running === undefined) return
    this.runningTasks.delete(task)
    this.applyUsage(running.task, running.workerState, -1)
  }

  recordUsage (): void {}

  explain (): Explanation {
    return { obstacle: Obstacle.None, detail: '', remedy: '' }
  }

  dryRun (): DryRun {
    const place = { shareRatio: 0, tasksBefore: 0, teamsBefore: [] }
    return { refusal: undefined, explanation: this.explain(), place, startsInMs: undefined, workers: [] }
  }

  waiting (): number {
    return this.positions.size
  }

  running (): number {
    return this.runningTasks.size
  }

  usedBy (team: string): TeamQuota['allotment'] {
    return this.usageByTeam.get(team) ?? { ...NO_RESOURCES, tasks: 0 }
  }

  /**
   * Checks whether a worker is ready and has enough free capacity.
   *
   * @param workerState the worker
   * @param size resources of the task
   * @returns true if the task fits
   */
  protected fits (workerState: WorkerState, size: Resources): boolean {
    return workerState.freeSlots > 0 && workerState.condition === Condition.Ready && fitsResources(size, workerState.free)
  }

  private place (task: Task, placements: Placement[]): boolean {
    const tasks = task.workload === Workload.Gang ? this.findGangMembers(task) : [task]
    const started: RunningTask[] = []
    for (const member of tasks) {
      const workerState = this.fitsAllotment(member) ? this.choose(member.size) : undefined
      if (workerState === undefined) break
      this.start(member, workerState)
      started.push({ task: member, workerState })
    }
    if (tasks.length === 0 || started.length < tasks.length) {
      for (const { task: member, workerState } of started) this.rollBack(member, workerState)
      return false
    }
    for (const { task: member, workerState } of started) {
      this.cancel(member.id)
      placements.push({ task: member, worker: workerState.spec.id })
    }
    return true
  }

  /** Finds the members of a gang, which are adjacent in the queue; returns none if the gang is incomplete. */
  private findGangMembers (task: Task): Task[] {
    const first = this.positions.get(task.id)!
    const members: Task[] = []
    for (let position = first; position < this.queue.length && members.length < task.groupSize!; position++) {
      const member = this.queue[position]
      if (member?.group !== task.group) break
      members.push(member!)
    }
    return members.length === task.groupSize ? members : []
  }

  private fitsAllotment ({ team, size }: Task): boolean {
    const allotment = this.quotasByTeam.get(team)?.allotment
    if (allotment === undefined) return false
    const used = this.usedBy(team)
    if (used.tasks >= allotment.tasks) return false
    return fitsResources(addResources(used, size), allotment)
  }

  private start (task: Task, workerState: WorkerState): void {
    this.runningTasks.set(task.id, { task, workerState })
    this.applyUsage(task, workerState, 1)
  }

  private rollBack (task: Task, workerState: WorkerState): void {
    this.runningTasks.delete(task.id)
    this.applyUsage(task, workerState, -1)
  }

  private applyUsage ({ team, size }: Task, workerState: WorkerState, sign: number): void {
    const { tasks, ...used } = this.usedBy(team)
    const change = sign > 0 ? addResources : subtractResources
    workerState.free = sign > 0 ? subtractResources(workerState.free, size) : addResources(workerState.free, size)
    workerState.freeSlots -= sign
    this.usageByTeam.set(team, { ...change(used, size), tasks: tasks + sign })
  }
}

/** Takes the first worker that fits. */
export class FirstFit extends Baseline {
  protected choose (size: Resources): WorkerState | undefined {
    for (const workerState of this.workers) if (this.fits(workerState, size)) return workerState
    return undefined
  }
}

/** Takes a random one of the workers that fit, with uniform probability. */
export class RandomFit extends Baseline {
  constructor (private readonly random: Random) {
    super()
  }

  protected choose (size: Resources): WorkerState | undefined {
    const fitting = this.workers.filter(workerState => this.fits(workerState, size))
    return fitting.length === 0 ? undefined : this.random.pick(fitting)
  }
}

/** The power of two choices: samples two workers and takes the one with more free slots. */
export class PowerOfTwoChoices extends Baseline {
  constructor (private readonly random: Random) {
    super()
  }

  protected choose (size: Resources): WorkerState | undefined {
    const first = this.random.pick(this.workers)
    const second = this.random.pick(this.workers)
    const [better, worse] = first.freeSlots >= second.freeSlots ? [first, second] : [second, first]
    if (this.fits(better, size)) return better
    return this.fits(worse, size) ? worse : undefined
  }
}
