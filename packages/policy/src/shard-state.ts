/**
 * The state of a shard: keeps tasks, workers, teams, kinds and groups consistent with each other.
 */
import type { Task } from './task.js'
import { StartByHeap } from './start-by-heap.js'
import { Fleet } from './fleet.js'
import { Group, groupKey } from './group.js'
import { TaskKind } from './task-kind.js'
import { NONE, Phase, TaskTable } from './table.js'
import { Team } from './team.js'

/** Tasks, workers, teams, kinds and groups of a shard, shared by all policies. */
export class ShardState {
  /** Time of the last call that enqueued, adopted or finished a task or made decisions; other calls don't set it. */
  nowMs = 0
  readonly table = new TaskTable()
  readonly startByTimes = new StartByHeap(this.table)
  readonly fleet = new Fleet()
  readonly teams = new Map<string, Team>()
  readonly kinds = new Map<string, TaskKind>()
  readonly groups = new Map<string, Group>()

  /**
   * Finds a team, and creates it if it is unknown.
   *
   * @param name the name of the team
   * @returns the team's usage and limits
   */
  team (name: string): Team {
    const known = this.teams.get(name)
    if (known !== undefined) return known
    const team = new Team(name)
    this.teams.set(name, team)
    return team
  }

  /**
   * Finds a kind, and creates it if it is unknown.
   *
   * @param name the name of the kind
   * @returns the kind's counts and estimates
   */
  kind (name: string): TaskKind {
    const known = this.kinds.get(name)
    if (known !== undefined) return known
    const kind = new TaskKind(name)
    this.kinds.set(name, kind)
    return kind
  }

  /**
   * Finds a team without creating it.
   *
   * @param name the name of the team
   * @returns the team, or for an unknown one a team without usage and limits of its own that is not kept
   */
  peekTeam (name: string): Team {
    return this.teams.get(name) ?? new Team(name)
  }

  /**
   * Finds a kind without creating it.
   *
   * @param name the name of the kind
   * @returns the kind, or for an unknown one a kind without estimates that is not kept
   */
  peekKind (name: string): TaskKind {
    return this.kinds.get(name) ?? new TaskKind(name)
  }

  /**
   * Adds a task, and adds it to its group.
   *
   * @param task the task, whose id is not in the table
   * @param phase its phase
   * @returns its row
   */
  add (task: Task, phase: Phase): number {
    const { table } = this
    const row = table.add(task, phase, this.team(task.team), this.kind(task.kind))
    const group = this.groupOf(task)
    table.groups[row] = group
    if (phase !== Phase.Waiting) return row
    group?.waiting.add(row)
    table.kinds[row]!.waiting++
    return row
  }

  /**
   * Removes a waiting task.
   *
   * @param row its row, already removed from its lane
   */
  remove (row: number): void {
    const { table } = this
    const group = table.groups[row]
    table.kinds[row]!.waiting--
    table.remove(row)
    if (group === undefined) return
    group.waiting.delete(row)
    this.removeIfEmpty(group)
  }

  /**
   * Starts a waiting task.
   *
   * @param row its row, already removed from its lane
   * @param worker the worker's index
   * @param nowMs the current time
   */
  start (row: number, worker: number, nowMs: number): void {
    const { table } = this
    table.kinds[row]!.waiting--
    table.groups[row]?.waiting.delete(row)
    table.markRunning(row)
    this.charge(row, worker, nowMs)
  }

  /**
   * Charges a running task to its worker, team, kind and group.
   *
   * @param row the task's row, already counted as running in the table
   * @param worker the worker's index
   * @param nowMs the current time
   */
  charge (row: number, worker: number, nowMs: number): void {
    const { table, fleet } = this
    const task = table.at(row)
    const kind = table.kinds[row]!
    const first = fleet.firstRunning[worker]!
    table.worker[row] = worker
    table.startMs[row] = nowMs
    table.p90EndMs[row] = nowMs + kind.p90RuntimeMs(task.runtimeMs)
    table.next[row] = first
    table.previous[row] = NONE
    if (first !== NONE) table.previous[first] = row
    fleet.firstRunning[worker] = row
    fleet.charge(worker, task.size, 1)
    kind.running++
    this.countUsage(row, kind, 1, nowMs)
    const group = table.groups[row]
    if (group === undefined) return
    group.running.add(row)
    group.countRunning(worker, fleet.rack[worker]!, fleet.zone[worker]!, 1)
  }

  /**
   * Releases the charges of a running task, and frees its row.
   *
   * @param row the task's row
   * @param nowMs the current time
   */
  release (row: number, nowMs: number): void {
    const { table, fleet } = this
    const task = table.at(row)
    const worker = table.worker[row]!
    const kind = table.kinds[row]!
    const next = table.next[row]!
    const previous = table.previous[row]!
    if (previous === NONE) fleet.firstRunning[worker] = next
    else table.next[previous] = next
    if (next !== NONE) table.previous[next] = previous
    fleet.charge(worker, task.size, -1)
    kind.running--
    this.countUsage(row, kind, -1, nowMs)
    const group = table.groups[row]
    table.remove(row)
    if (group === undefined) return
    group.running.delete(row)
    group.countRunning(worker, fleet.rack[worker]!, fleet.zone[worker]!, -1)
    this.removeIfEmpty(group)
  }

  private countUsage (row: number, kind: TaskKind, sign: number, nowMs: number): void {
    const { table } = this
    const { size } = table.at(row)
    const team = table.teams[row]!
    team.decayUsage(nowMs)
    if (sign > 0) {
      const expectedCpu = size.cpuMilli * atLeastDeclared(kind.cpuUsageRatio())
      table.setExpected(row, expectedCpu, size.memoryMb * atLeastDeclared(kind.memoryUsageRatio()))
    }
    const cpu = table.expectedCpu[row]! * sign
    team.tasks += sign
    team.cpuMilli += size.cpuMilli * sign
    team.memoryMb += size.memoryMb * sign
    team.accelerators += size.accelerators * sign
    team.expectedCpu += cpu
    team.expectedMemory += table.expectedMemory[row]! * sign
    this.fleet.expectedExcessCpu[table.worker[row]!]! += cpu - size.cpuMilli * sign
  }

  private removeIfEmpty (group: Group): void {
    if (group.waiting.size === 0 && group.running.size === 0) this.groups.delete(group.key)
  }

  private groupOf (task: Task): Group | undefined {
    const key = groupKey(task)
    if (key === undefined) return undefined
    const known = this.groups.get(key)
    if (known !== undefined) return known
    const group = new Group(key, task.groupSize ?? 1)
    this.groups.set(key, group)
    return group
  }
}

/** Raises a usage ratio to at least 1, so that a team is never charged less than it declared. */
function atLeastDeclared (ratio: number): number {
  return Math.max(1, ratio)
}
