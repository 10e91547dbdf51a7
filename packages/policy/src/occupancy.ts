/**
 * What runs where: keeps tasks, workers, teams, kinds and groups consistent with each other.
 */
import type { Task } from './task.js'
import { DeadlineHeap } from './deadline.js'
import { Fleet } from './fleet.js'
import { Group, groupKey } from './group.js'
import { Kind } from './kind.js'
import { NONE, Phase, TaskTable } from './table.js'
import { Team } from './team.js'

/** The state on which all policies of a shard decide. */
export class Occupancy {
  /** The time of the last event. */
  nowMs = 0
  readonly table = new TaskTable()
  readonly deadlines = new DeadlineHeap(this.table)
  readonly fleet = new Fleet()
  readonly teams = new Map<string, Team>()
  readonly kinds = new Map<string, Kind>()
  readonly groups = new Map<string, Group>()

  /**
   * Finds a team's accounts, and opens them if there are none.
   *
   * @param name the team
   * @returns its accounts
   */
  team (name: string): Team {
    const known = this.teams.get(name)
    if (known !== undefined) return known
    const team = new Team(name)
    this.teams.set(name, team)
    return team
  }

  /**
   * Finds what is learned about a kind.
   *
   * @param name the kind
   * @returns its estimates
   */
  kind (name: string): Kind {
    const known = this.kinds.get(name)
    if (known !== undefined) return known
    const kind = new Kind(name)
    this.kinds.set(name, kind)
    return kind
  }

  /**
   * Takes a task in, with its group.
   *
   * @param task the task, whose id is not in the table
   * @param phase where it stands
   * @returns its slot
   */
  add (task: Task, phase: Phase): number {
    const { table } = this
    const slot = table.add(task, phase, this.team(task.team), this.kind(task.kind))
    const group = this.join(task)
    table.groups[slot] = group
    if (phase !== Phase.Waiting) return slot
    group?.waiting.add(slot)
    table.kinds[slot]!.waiting++
    return slot
  }

  /**
   * Takes a waiting task out.
   *
   * @param slot its slot, unlinked from its lane
   */
  remove (slot: number): void {
    const { table } = this
    const group = table.groups[slot]
    table.kinds[slot]!.waiting--
    table.remove(slot)
    if (group === undefined) return
    group.waiting.delete(slot)
    this.leave(group)
  }

  /**
   * Starts a waiting task.
   *
   * @param slot its slot, unlinked from its lane
   * @param worker the worker's index
   * @param nowMs the time
   */
  start (slot: number, worker: number, nowMs: number): void {
    const { table } = this
    table.kinds[slot]!.waiting--
    table.groups[slot]?.waiting.delete(slot)
    table.run(slot)
    this.charge(slot, worker, nowMs)
  }

  /**
   * Charges a running slot to its worker, team, kind and group.
   *
   * @param slot the slot, already counted as running in the table
   * @param worker the worker's index
   * @param nowMs the time
   */
  charge (slot: number, worker: number, nowMs: number): void {
    const { table, fleet } = this
    const task = table.at(slot)
    const kind = table.kinds[slot]!
    const first = fleet.first[worker]!
    table.worker[slot] = worker
    table.startMs[slot] = nowMs
    table.endMs[slot] = nowMs + kind.upperMs(task.runtimeMs)
    table.next[slot] = first
    table.previous[slot] = NONE
    if (first !== NONE) table.previous[first] = slot
    fleet.first[worker] = slot
    fleet.charge(worker, task.size, 1)
    kind.running++
    this.countTeam(slot, kind, 1, nowMs)
    const group = table.groups[slot]
    if (group === undefined) return
    group.running.add(slot)
    group.count(worker, fleet.rack[worker]!, fleet.zone[worker]!, 1)
  }

  /**
   * Gives back what a running slot was charged for, and frees the slot.
   *
   * @param slot the slot
   * @param nowMs the time
   */
  release (slot: number, nowMs: number): void {
    const { table, fleet } = this
    const task = table.at(slot)
    const worker = table.worker[slot]!
    const kind = table.kinds[slot]!
    const next = table.next[slot]!
    const previous = table.previous[slot]!
    if (previous === NONE) fleet.first[worker] = next
    else table.next[previous] = next
    if (next !== NONE) table.previous[next] = previous
    fleet.charge(worker, task.size, -1)
    kind.running--
    this.countTeam(slot, kind, -1, nowMs)
    const group = table.groups[slot]
    table.remove(slot)
    if (group === undefined) return
    group.running.delete(slot)
    group.count(worker, fleet.rack[worker]!, fleet.zone[worker]!, -1)
    this.leave(group)
  }

  private countTeam (slot: number, kind: Kind, sign: number, nowMs: number): void {
    const { table } = this
    const { size } = table.at(slot)
    const team = table.teams[slot]!
    team.advance(nowMs)
    if (sign > 0) {
      const expectedCpu = size.cpuMilli * overuse(kind.cpuOveruse())
      table.setExpected(slot, expectedCpu, size.memoryMb * overuse(kind.memoryOveruse()))
    }
    const cpu = table.expectedCpu[slot]! * sign
    team.tasks += sign
    team.cpuMilli += size.cpuMilli * sign
    team.memoryMb += size.memoryMb * sign
    team.accelerators += size.accelerators * sign
    team.expectedCpu += cpu
    team.expectedMemory += table.expectedMemory[slot]! * sign
    this.fleet.overuse[table.worker[slot]!]! += cpu - size.cpuMilli * sign
  }

  private leave (group: Group): void {
    if (group.waiting.size === 0 && group.running.size === 0) this.groups.delete(group.key)
  }

  private join (task: Task): Group | undefined {
    const key = groupKey(task)
    if (key === undefined) return undefined
    const known = this.groups.get(key)
    if (known !== undefined) return known
    const group = new Group(key, task.groupSize ?? 1)
    this.groups.set(key, group)
    return group
  }
}

/** A team is never charged less than it declared. */
function overuse (factor: number): number {
  return Math.max(1, factor)
}
