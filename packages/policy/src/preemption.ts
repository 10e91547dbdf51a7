/**
 * Stops running tasks for urgent work: of the same team, or of others while it is well below its share. Also stops what a
 * lowered allotment does not cover.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { Lane } from './lane.js'
import type { Lanes } from './lanes.js'
import type { Occupancy } from './occupancy.js'
import type { Preemption } from './task.js'
import type { Team } from './team.js'
import { Condition } from './task.js'
import { NONE, Phase } from './table.js'

/** A team may preempt other teams' work for its urgent work while its level is below this. */
const LOW_LEVEL = 0.5
/** Time that urgent work waits before it preempts, and between two rounds of preemption for one lane. */
export const PREEMPTION_WAIT_MS = 100
/** Tasks of one lane for which room is made in one round. */
const HEADS_MAX = 8
const WORKERS_EXAMINED = 64
/** Running tasks looked at in one round for all lanes. */
const TASKS_EXAMINED = 2_048
/** Time that more than a lowered allotment may run before tasks are stopped. */
export const EXCESS_GRACE_MS = 30_000

/** Chooses what to stop. */
export class Preemptor {
  private cursor = 0
  private examined = 0

  constructor (private readonly occupancy: Occupancy, private readonly lanes: Lanes) {}

  /**
   * Makes room for blocked urgent work.
   *
   * @param nowMs the time
   * @returns what to stop
   */
  preempt (nowMs: number): Preemption[] {
    const preemptions: Preemption[] = []
    this.examined = 0
    for (const team of this.lanes.active) {
      for (const lane of team.room) if (this.deserves(lane, nowMs)) this.preemptFor(lane, nowMs, preemptions)
    }
    return preemptions
  }

  private preemptFor (lane: Lane, nowMs: number, preemptions: Preemption[]): void {
    lane.retryMs = nowMs + PREEMPTION_WAIT_MS
    for (let head = Math.min(lane.length, HEADS_MAX); head > 0; head--) {
      if (!this.makeRoom(lane, preemptions)) return
    }
  }

  /**
   * Stops what a team has beyond a lowered allotment: tasks with checkpoint first, the latest started first.
   *
   * @param team the team
   * @returns what to stop
   */
  reduce (team: Team): Preemption[] {
    const { table } = this.occupancy
    const slots: number[] = []
    for (const [slot, task] of table.tasks.entries()) {
      if (task === undefined || task.team !== team.name || table.phase[slot] !== Phase.Running) continue
      if (task.workload !== Workload.Request) slots.push(slot)
    }
    slots.sort((left, right) => this.order(left, right))
    const preemptions: Preemption[] = []
    const left = { tasks: team.tasks, cpuMilli: team.cpuMilli, memoryMb: team.memoryMb, accelerators: team.accelerators }
    for (const slot of slots) {
      if (!exceeds(left, team)) break
      const { size } = table.at(slot)
      left.tasks--
      left.cpuMilli -= size.cpuMilli
      left.memoryMb -= size.memoryMb
      left.accelerators -= size.accelerators
      this.stop(slot, preemptions)
    }
    return preemptions
  }

  private order (left: number, right: number): number {
    const { table } = this.occupancy
    const checkpoints = Number(table.at(right).checkpoint) - Number(table.at(left).checkpoint)
    return checkpoints === 0 ? table.startMs[right]! - table.startMs[left]! : checkpoints
  }

  private deserves (lane: Lane, nowMs: number): boolean {
    if (lane.urgency !== Urgency.Urgent || lane.workload === Workload.Gang || nowMs < lane.retryMs) return false
    if (nowMs - lane.submittedMs < PREEMPTION_WAIT_MS) return false
    return lane.team.admits(lane.size, 1)
  }

  private makeRoom (lane: Lane, preemptions: Preemption[]): boolean {
    const { fleet, table } = this.occupancy
    const { size } = table.at(lane.head)
    const length = fleet.length()
    for (let step = Math.min(length, WORKERS_EXAMINED); step > 0 && this.examined < TASKS_EXAMINED; step--) {
      this.cursor = (this.cursor + 1) % length
      if (fleet.conditions[this.cursor] !== Condition.Ready) continue
      const victims = this.victims(this.cursor, size, lane.team)
      if (victims === undefined) continue
      for (const slot of victims) this.stop(slot, preemptions)
      return true
    }
    return false
  }

  /** Running tasks of a worker whose end makes room for a size; undefined if there are not enough. */
  private victims (worker: number, size: Resources, team: Team): number[] | undefined {
    const { fleet, table } = this.occupancy
    const victims: number[] = []
    let cpu = fleet.freeCpu[worker]!
    let memory = fleet.freeMemory[worker]!
    let accelerators = fleet.freeAccelerators[worker]!
    let slots = fleet.freeSlots[worker]!
    for (let slot = fleet.first[worker]!; slot !== NONE; slot = table.next[slot]!) {
      this.examined++
      if (!this.preemptible(slot, team)) continue
      const freed = table.at(slot).size
      victims.push(slot)
      cpu += freed.cpuMilli
      memory += freed.memoryMb
      accelerators += freed.accelerators
      slots++
      if (slots > 0 && cpu >= size.cpuMilli && memory >= size.memoryMb && accelerators >= size.accelerators) return victims
    }
    return undefined
  }

  private preemptible (slot: number, team: Team): boolean {
    const { table } = this.occupancy
    if (table.phase[slot] !== Phase.Running) return false
    const task = table.at(slot)
    if (!task.checkpoint || task.urgency === Urgency.Urgent || task.workload !== Workload.Batch) return false
    if (task.team === team.name) return true
    if (team.level >= LOW_LEVEL) return false
    const other = this.occupancy.team(task.team)
    other.refresh(this.lanes.totals)
    return other.level > 1
  }

  private stop (slot: number, preemptions: Preemption[]): void {
    const { fleet, table } = this.occupancy
    const task = table.at(slot)
    table.phase[slot] = Phase.Stopping
    preemptions.push({ task: task.id, worker: fleet.machines[table.worker[slot]!]!.id, checkpoint: task.checkpoint })
  }
}

function exceeds (left: Team['allotment'], { allotment }: Team): boolean {
  if (left.tasks > allotment.tasks || left.accelerators > allotment.accelerators) return true
  return left.cpuMilli > allotment.cpuMilli || left.memoryMb > allotment.memoryMb
}
