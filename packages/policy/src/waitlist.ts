/**
 * The waiting side of a shard: lanes, whole gangs and latest starts.
 */
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { Workload } from '@fireflymount/protocol/workload'
import type { Admission } from './admission.js'
import type { Group } from './group.js'
import type { Lanes } from './lanes.js'
import type { Occupancy } from './occupancy.js'
import type { Reservation } from './reservation.js'
import type { Expiry } from './scheduler.js'
import type { Task } from './task.js'
import { NONE, Phase } from './table.js'

/** Puts tasks into lanes and takes them out; a gang stands in its lane once it is whole. */
export class Waitlist {
  constructor (
    private readonly occupancy: Occupancy,
    private readonly lanes: Lanes,
    private readonly reservation: Reservation,
    private readonly admission: Admission
  ) {}

  /**
   * Adds a task.
   *
   * @param task the task, whose id is not known yet
   */
  add (task: Task): void {
    const slot = this.occupancy.add(task, Phase.Waiting)
    if (task.startByMs !== undefined) this.occupancy.deadlines.add(slot, task.startByMs)
    const group = task.workload === Workload.Gang ? this.occupancy.table.groups[slot] : undefined
    if (group === undefined) this.lanes.add(slot)
    else if (group.leader === NONE && group.complete()) this.link(group)
  }

  /**
   * Takes a task out; O(1), but for a gang that goes on without it.
   *
   * @param slot its slot
   */
  remove (slot: number): void {
    const { table } = this.occupancy
    const group = table.at(slot).workload === Workload.Gang ? table.groups[slot] : undefined
    if (group === undefined) this.unlink(slot)
    else this.unlinkGang(group)
    this.occupancy.remove(slot)
    if (group?.complete()) this.link(group)
  }

  /**
   * Takes out what cannot start in time any more.
   *
   * @param nowMs the time
   * @returns the tasks, with the refusal for the caller
   */
  expire (nowMs: number): Expiry[] {
    const { table, deadlines } = this.occupancy
    const expired: Expiry[] = []
    for (let slot = deadlines.expired(nowMs); slot !== NONE; slot = deadlines.expired(nowMs)) {
      const task = table.at(slot)
      const retryAfterMs = Math.ceil(this.admission.waitMs(task, table.kinds[slot]!))
      this.remove(slot)
      const refusal = refuse(Reason.DeadlinePassed, 'The work found no place before its latest start.', retryAfterMs)
      expired.push({ task, refusal })
    }
    return expired
  }

  private unlink (slot: number): void {
    const lane = this.occupancy.table.lanes[slot]
    const reserved = lane !== undefined && this.reservation.lane === lane && lane.head === slot
    this.lanes.remove(slot)
    if (reserved) this.reservation.cancel()
  }

  /** Lets one waiting member stand for the whole gang in its lane. */
  private link (group: Group): void {
    const [leader] = group.waiting
    group.leader = leader!
    this.lanes.add(leader!)
  }

  private unlinkGang (group: Group): void {
    if (group.leader !== NONE) this.unlink(group.leader)
    group.leader = NONE
  }
}
