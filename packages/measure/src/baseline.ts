/**
 * Plain schedulers to compare with: one queue, first in first out, and a simple choice of the worker.
 */
import type { Result } from 'neverthrow'
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { Expiry, Round } from '@fireflymount/policy/scheduler'
import type { Claim, Ending, Explanation, Machine, Placement, Task } from '@fireflymount/policy/task'
import { ok } from 'neverthrow'
import { NO_RESOURCES, addResources, fitsResources, subtractResources } from '@fireflymount/protocol/resources'
import type { Resources } from '@fireflymount/protocol/resources'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { Workload } from '@fireflymount/protocol/workload'
import { Scheduler } from '@fireflymount/policy/scheduler'
import { Condition, Obstacle } from '@fireflymount/policy/task'
import type { Random } from './random.js'

/** Waiting tasks behind a blocked one that are tried before a round ends. */
const LOOK_AHEAD = 32

/** A worker as a plain scan sees it. */
export interface Site {
  readonly machine: Machine
  free: Resources
  slots: number
  condition: Condition
}

interface Running {
  readonly task: Task
  readonly site: Site
}

/** One queue for all teams; allotments and capacity hold, shares count for nothing. */
export abstract class Baseline extends Scheduler {
  protected readonly sites: Site[] = []
  private readonly byName = new Map<string, Site>()
  private readonly queue: Array<Task | undefined> = []
  private readonly positions = new Map<string, number>()
  private readonly active = new Map<string, Running>()
  private readonly claims = new Map<string, Claim>()
  private readonly uses = new Map<string, Claim['allotment']>()
  private head = 0

  /**
   * Chooses a worker.
   *
   * @param size what has to fit
   * @returns the worker, or undefined if none is found
   */
  protected abstract choose (size: Resources): Site | undefined

  setClaims (claims: readonly Claim[]): void {
    for (const claim of claims) this.claims.set(claim.team, claim)
  }

  setMachine (machine: Machine): void {
    const site = { machine, free: machine.capacity, slots: machine.slots, condition: Condition.Closed }
    this.sites.push(site)
    this.byName.set(machine.id, site)
  }

  setCondition (worker: string, condition: Condition): void {
    this.byName.get(worker)!.condition = condition
  }

  removeMachine (): void {}

  setCapacity (): void {}

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
    this.start(task, this.byName.get(worker)!)
  }

  decide (nowMs: number, most: number): Round {
    const placements: Placement[] = []
    const expired: Expiry[] = []
    let blocked = 0
    for (let position = this.head; position < this.queue.length; position++) {
      if (placements.length >= most || blocked > LOOK_AHEAD) break
      const task = this.queue[position]
      if (task === undefined) {
        if (position === this.head) this.head++
        continue
      }
      if (task.startByMs !== undefined && task.startByMs < nowMs) {
        this.cancel(task.id)
        expired.push({ task, refusal: refuse(Reason.DeadlinePassed, 'The work found no place before its latest start.') })
      } else if (!this.place(task, placements)) blocked++
    }
    return { placements, preemptions: [], expired }
  }

  finish (task: string, _ending: Ending, _nowMs: number): void {
    const running = this.active.get(task)
    if (running === undefined) return
    this.active.delete(task)
    this.give(running.task, running.site, -1)
  }

  observe (): void {}

  explain (): Explanation {
    return { obstacle: Obstacle.None, detail: '', remedy: '' }
  }

  waiting (): number {
    return this.positions.size
  }

  running (): number {
    return this.active.size
  }

  used (team: string): Claim['allotment'] {
    return this.uses.get(team) ?? { ...NO_RESOURCES, tasks: 0 }
  }

  /**
   * Tells whether a worker is ready and has room.
   *
   * @param site the worker
   * @param size what has to fit
   * @returns true if it fits
   */
  protected fits (site: Site, size: Resources): boolean {
    return site.slots > 0 && site.condition === Condition.Ready && fitsResources(size, site.free)
  }

  private place (task: Task, placements: Placement[]): boolean {
    const tasks = task.workload === Workload.Gang ? this.gang(task) : [task]
    const started: Running[] = []
    for (const member of tasks) {
      const site = this.admits(member) ? this.choose(member.size) : undefined
      if (site === undefined) break
      this.start(member, site)
      started.push({ task: member, site })
    }
    if (tasks.length === 0 || started.length < tasks.length) {
      for (const { task: member, site } of started) this.undo(member, site)
      return false
    }
    for (const { task: member, site } of started) {
      this.cancel(member.id)
      placements.push({ task: member, worker: site.machine.id })
    }
    return true
  }

  /** Members of a gang, which are queued one behind the other; none if it is not whole. */
  private gang (task: Task): Task[] {
    const first = this.positions.get(task.id)!
    const members: Task[] = []
    for (let position = first; position < this.queue.length && members.length < task.groupSize!; position++) {
      const member = this.queue[position]
      if (member?.group !== task.group) break
      members.push(member!)
    }
    return members.length === task.groupSize ? members : []
  }

  private admits ({ team, size }: Task): boolean {
    const allotment = this.claims.get(team)?.allotment
    if (allotment === undefined) return false
    const used = this.used(team)
    if (used.tasks >= allotment.tasks) return false
    return fitsResources(addResources(used, size), allotment)
  }

  private start (task: Task, site: Site): void {
    this.active.set(task.id, { task, site })
    this.give(task, site, 1)
  }

  private undo (task: Task, site: Site): void {
    this.active.delete(task.id)
    this.give(task, site, -1)
  }

  private give ({ team, size }: Task, site: Site, sign: number): void {
    const { tasks, ...used } = this.used(team)
    const change = sign > 0 ? addResources : subtractResources
    site.free = sign > 0 ? subtractResources(site.free, size) : addResources(site.free, size)
    site.slots -= sign
    this.uses.set(team, { ...change(used, size), tasks: tasks + sign })
  }
}

/** Takes the first worker that fits. */
export class FirstFit extends Baseline {
  protected choose (size: Resources): Site | undefined {
    for (const site of this.sites) if (this.fits(site, size)) return site
    return undefined
  }
}

/** Takes any worker that fits, all with the same probability. */
export class RandomFit extends Baseline {
  constructor (private readonly random: Random) {
    super()
  }

  protected choose (size: Resources): Site | undefined {
    const fitting = this.sites.filter(site => this.fits(site, size))
    return fitting.length === 0 ? undefined : this.random.pick(fitting)
  }
}

/** Samples two workers and takes the one with more free slots. */
export class BestOfTwo extends Baseline {
  constructor (private readonly random: Random) {
    super()
  }

  protected choose (size: Resources): Site | undefined {
    const first = this.random.pick(this.sites)
    const second = this.random.pick(this.sites)
    const [better, worse] = first.slots >= second.slots ? [first, second] : [second, first]
    if (this.fits(better, size)) return better
    return this.fits(worse, size) ? worse : undefined
  }
}
