/**
 * Preemption: stops running tasks so that urgent work can start, or because their team exceeds a lowered allotment. Urgent work
 * preempts tasks of its own team. While that team is well below its share, urgent work also preempts tasks of teams above their
 * share. Only batch tasks that can write a checkpoint and are not urgent are preempted for it.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import type { Lane } from './lane.js'
import type { Lanes } from './lanes.js'
import type { ShardState } from './shard-state.js'
import type { Preemption } from './task.js'
import type { Team } from './team.js'
import { Condition } from './task.js'
import { NONE, Phase } from './table.js'

/** A team may preempt other teams' work for its urgent work while its share ratio is below this. */
const MAX_PREEMPTING_TEAM_SHARE_RATIO = 0.5
/** Time that urgent work waits before it preempts, and the delay between two preemptions for one lane. */
export const PREEMPTION_DELAY_MS = 100
/** Maximum number of tasks of one lane for which one review frees capacity. */
const MAX_TASKS_PER_LANE = 8
/** Maximum number of workers examined to free capacity for one task. */
const MAX_WORKERS_EXAMINED = 64
/** Maximum number of running tasks examined in one review for all lanes. The tasks of the last worker may exceed it. */
const MAX_TASKS_EXAMINED = 2_048
/** Time that a team may exceed a lowered allotment before its tasks are stopped. */
export const EXCESS_GRACE_MS = 30_000

/** Chooses the tasks to stop. */
export class PreemptionPlanner {
  private cursor = 0
  private examined = 0

  constructor (private readonly state: ShardState, private readonly lanes: Lanes) {}

  /**
   * Chooses tasks to stop so that urgent work blocked by missing capacity can start.
   *
   * @param nowMs the current time
   * @returns the tasks to stop
   */
  preempt (nowMs: number): Preemption[] {
    const preemptions: Preemption[] = []
    this.examined = 0
    for (const team of this.lanes.activeTeams) {
      for (const lane of team.capacityBlocked) if (this.mayPreempt(lane, nowMs)) this.preemptFor(lane, nowMs, preemptions)
    }
    return preemptions
  }

  private preemptFor (lane: Lane, nowMs: number, preemptions: Preemption[]): void {
    lane.retryAtMs = nowMs + PREEMPTION_DELAY_MS
    for (let remaining = Math.min(lane.length, MAX_TASKS_PER_LANE); remaining > 0; remaining--) {
      if (!this.preemptForHead(lane, preemptions)) return
    }
  }

  /**
   * Chooses tasks to stop until a team is within a lowered allotment. Tasks that can write a checkpoint come before the others;
   * in each of the two sets the task that started last comes first. Requests are not stopped.
   *
   * @param team the team
   * @returns the tasks to stop
   */
  stopExcess (team: Team): Preemption[] {
    const { table } = this.state
    const rows: number[] = []
    for (const [row, task] of table.tasks.entries()) {
      if (task === undefined || task.team !== team.name || table.phase[row] !== Phase.Running) continue
      if (task.workload !== Workload.Request) rows.push(row)
    }
    rows.sort((left, right) => this.compareExcess(left, right))
    const preemptions: Preemption[] = []
    const remaining = { tasks: team.tasks, cpuMilli: team.cpuMilli, memoryMb: team.memoryMb, accelerators: team.accelerators }
    for (const row of rows) {
      if (!exceeds(remaining, team)) break
      const { size } = table.at(row)
      remaining.tasks--
      remaining.cpuMilli -= size.cpuMilli
      remaining.memoryMb -= size.memoryMb
      remaining.accelerators -= size.accelerators
      this.stop(row, preemptions)
    }
    return preemptions
  }

  private compareExcess (left: number, right: number): number {
    const { table } = this.state
    const checkpoints = Number(table.at(right).checkpoint) - Number(table.at(left).checkpoint)
    return checkpoints === 0 ? table.startMs[right]! - table.startMs[left]! : checkpoints
  }

  /** Returns whether tasks may be stopped for a lane. Gangs get a reservation instead. */
  private mayPreempt (lane: Lane, nowMs: number): boolean {
    if (lane.urgency !== Urgency.Urgent || lane.workload === Workload.Gang || nowMs < lane.retryAtMs) return false
    if (nowMs - lane.submittedMs < PREEMPTION_DELAY_MS) return false
    return lane.team.admits(lane.size, 1)
  }

  /**
   * Chooses tasks to stop for one task of the size of the head. Called several times for the same head, which then stands for
   * the next tasks of the lane.
   */
  private preemptForHead (lane: Lane, preemptions: Preemption[]): boolean {
    const { fleet, table } = this.state
    const { size } = table.at(lane.head)
    const length = fleet.length()
    for (let step = Math.min(length, MAX_WORKERS_EXAMINED); step > 0 && this.examined < MAX_TASKS_EXAMINED; step--) {
      this.cursor = (this.cursor + 1) % length
      if (fleet.conditions[this.cursor] !== Condition.Ready) continue
      const victims = this.victims(this.cursor, size, lane.team)
      if (victims === undefined) continue
      for (const row of victims) this.stop(row, preemptions)
      return true
    }
    return false
  }

  /** Returns running tasks of a worker that free enough capacity if they are stopped; undefined if there are not enough. */
  private victims (worker: number, size: Resources, team: Team): number[] | undefined {
    const { fleet, table } = this.state
    const victims: number[] = []
    let cpu = fleet.freeCpu[worker]!
    let memory = fleet.freeMemory[worker]!
    let accelerators = fleet.freeAccelerators[worker]!
    let slots = fleet.freeSlots[worker]!
    for (let row = fleet.firstRunning[worker]!; row !== NONE; row = table.next[row]!) {
      this.examined++
      if (!this.isPreemptible(row, team)) continue
      const freed = table.at(row).size
      victims.push(row)
      cpu += freed.cpuMilli
      memory += freed.memoryMb
      accelerators += freed.accelerators
      slots++
      if (slots > 0 && cpu >= size.cpuMilli && memory >= size.memoryMb && accelerators >= size.accelerators) return victims
    }
    return undefined
  }

  private isPreemptible (row: number, team: Team): boolean {
    const { table } = this.state
    if (table.phase[row] !== Phase.Running) return false
    const task = table.at(row)
    if (!task.checkpoint || task.urgency === Urgency.Urgent || task.workload !== Workload.Batch) return false
    if (task.team === team.name) return true
    if (team.shareRatio >= MAX_PREEMPTING_TEAM_SHARE_RATIO) return false
    const other = this.state.team(task.team)
    other.updateShareRatio(this.lanes.totals)
    return other.shareRatio > 1
  }

  private stop (row: number, preemptions: Preemption[]): void {
    const { fleet, table } = this.state
    const task = table.at(row)
    table.phase[row] = Phase.Stopping
    preemptions.push({ task: task.id, worker: fleet.specs[table.worker[row]!]!.id, checkpoint: task.checkpoint })
  }
}

function exceeds (running: Team['allotment'], { allotment }: Team): boolean {
  if (running.tasks > allotment.tasks || running.accelerators > allotment.accelerators) return true
  return running.cpuMilli > allotment.cpuMilli || running.memoryMb > allotment.memoryMb
}
