/**
 * A reference model that records every input and decision of a shard and checks each decision.
 */
import type { SchedulingRound } from '@fireflymount/policy/scheduler'
import type { Shard } from '@fireflymount/policy/shard'
import type { TaskTotals, TeamQuota, WorkerSpec, Task } from '@fireflymount/policy/task'
import { expect } from 'vitest'
import { Condition, Ending } from '@fireflymount/policy/task'
import { Workload } from '@fireflymount/protocol/workload'

/** Recomputes all usage from the list of running tasks, independently of the shard's own sums. */
export class Model {
  readonly waiting = new Map<string, Task>()
  readonly running = new Map<string, { task: Task, worker: string }>()
  readonly specs = new Map<string, WorkerSpec>()
  readonly closed = new Set<string>()
  readonly quotas = new Map<string, TeamQuota>()
  nowMs = 0

  constructor (private readonly shard: Shard) {}

  enqueue (task: Task): void {
    if (this.shard.enqueue(task, this.nowMs).isOk()) this.waiting.set(task.id, task)
  }

  cancel (id: string): void {
    expect(this.shard.cancel(id)).toBe(this.waiting.delete(id))
  }

  adopt (task: Task, worker: string): void {
    this.shard.adopt(task, worker, this.nowMs)
    this.waiting.delete(task.id)
    this.running.set(task.id, { task, worker })
  }

  finish (id: string, ending: Ending): void {
    const runtimeMs = ending === Ending.Succeeded ? 50 : undefined
    this.shard.finish(id, ending, this.nowMs, runtimeMs)
    this.running.delete(id)
  }

  setWorker (spec: WorkerSpec): void {
    this.shard.setWorker(spec)
    this.specs.set(spec.id, spec)
    this.closed.add(spec.id)
  }

  setCondition (worker: string, condition: Condition): void {
    this.shard.setCondition(worker, condition)
    if (condition === Condition.Closed) this.closed.add(worker)
    else this.closed.delete(worker)
  }

  setQuotas (quotas: readonly TeamQuota[]): void {
    this.shard.setQuotas(quotas)
    for (const quota of quotas) this.quotas.set(quota.team, quota)
  }

  decide (maxPlacements: number): SchedulingRound {
    const waitingBefore = new Map(this.waiting)
    const round = this.shard.decide(this.nowMs, maxPlacements)
    for (const { task } of round.expired) {
      expect(task.startByMs).toBeLessThan(this.nowMs)
      expect(this.waiting.delete(task.id)).toBe(true)
    }
    for (const { task, worker } of round.placements) this.place(task, worker)
    for (const { task } of round.placements) this.checkGang(task, waitingBefore)
    for (const { task, worker } of round.preemptions) expect(this.running.get(task)?.worker).toBe(worker)
    return round
  }

  checkTotals (): void {
    expect(this.shard.waiting()).toBe(this.waiting.size)
    expect(this.shard.running()).toBe(this.running.size)
    for (const team of this.quotas.keys()) expect(this.shard.usedBy(team)).toEqual(this.usedBy(team))
  }

  /** Returns the waiting tasks, without members of gangs that are incomplete after a refusal or a cancellation. */
  startable (): Task[] {
    const tasks = [...this.waiting.values()]
    const arrived = (group: string) => tasks.filter(task => task.group === group).length
    return tasks.filter(task => task.workload !== Workload.Gang || arrived(task.group!) === task.groupSize)
  }

  private place (task: Task, worker: string): void {
    expect(this.waiting.delete(task.id), `${task.id} waits exactly once`).toBe(true)
    expect(this.closed.has(worker), `${worker} is open`).toBe(false)
    this.running.set(task.id, { task, worker })
    const { capacity, slots } = this.specs.get(worker)!
    expectWithin(this.usedOn(worker), { ...capacity, tasks: slots })
    expectWithin(this.usedBy(task.team), this.quotas.get(task.team)!.allotment)
  }

  private checkGang (task: Task, before: ReadonlyMap<string, Task>): void {
    if (task.workload !== Workload.Gang) return
    let members = 0
    for (const { task: other } of this.running.values()) if (other.group === task.group) members++
    expect(members).toBeGreaterThanOrEqual(task.groupSize!)
    for (const other of before.values()) if (other.group === task.group) expect(this.waiting.has(other.id)).toBe(false)
  }

  private usedOn (worker: string): TaskTotals {
    return sum([...this.running.values()].filter(entry => entry.worker === worker).map(entry => entry.task))
  }

  private usedBy (team: string): TaskTotals {
    return sum([...this.running.values()].map(entry => entry.task).filter(task => task.team === team))
  }
}

function sum (tasks: readonly Task[]): TaskTotals {
  const total = { tasks: 0, cpuMilli: 0, memoryMb: 0, accelerators: 0 }
  for (const { size } of tasks) {
    total.tasks++
    total.cpuMilli += size.cpuMilli
    total.memoryMb += size.memoryMb
    total.accelerators += size.accelerators
  }
  return total
}

function expectWithin (used: TaskTotals, bound: TaskTotals): void {
  expect(used.tasks).toBeLessThanOrEqual(bound.tasks)
  expect(used.cpuMilli).toBeLessThanOrEqual(bound.cpuMilli)
  expect(used.memoryMb).toBeLessThanOrEqual(bound.memoryMb)
  expect(used.accelerators).toBeLessThanOrEqual(bound.accelerators)
}
